/*
 * Calls refused although they are within the account's rate and burst, in a
 * simulated fleet. The baseline divides the contract evenly over the hosts.
 *
 * Prints a line for each measure: name, baseline, ours, ratio, target, met or
 * not. Wrongful refusals are those in excess of the refusals of one exact
 * bucket that sees the same calls.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "support/contract_sim.h"

#define S IR_US_PER_S
#define WARMUP_US (30 * S)
#define RUN_US (300 * S)
#define STEP_US 20
#define MAX_HOSTS 64

/* A token bucket without messages or delays. */
struct exact_bucket {
	double rate_per_s, burst, level;
	int64_t refilled_us;
	uint64_t refused;
};

struct run {
	uint64_t calls, admitted, denied, messages;
	int64_t waited_us;
	struct exact_bucket one_bucket;
	struct exact_bucket per_host[MAX_HOSTS];
};

struct workload {
	uint32_t zones, hosts_per_zone;
	uint32_t rate, burst;
	double relative_rate; /* calls per second, as a part of the rate */
	double host0_share;   /* part of the calls that arrive at host 0 */
	bool restarts;	      /* a host restarts without notice every 20 s */
};

static void
on_admitted(void *ctx, int64_t t, uint32_t host)
{
	((struct run *)ctx)->admitted++;
}

static void
on_denied(void *ctx, int64_t t, uint32_t host)
{
	((struct run *)ctx)->denied++;
}

static void
exact_bucket_take(struct exact_bucket *e, int64_t t)
{
	e->level += e->rate_per_s * (double)(t - e->refilled_us) / S;
	e->refilled_us = t;
	if (e->level > e->burst)
		e->level = e->burst;
	if (e->level < 1)
		e->refused++;
	else
		e->level -= 1;
}

static double
uniform(uint64_t *rng)
{
	return (double)(contract_view_random(rng) >> 11) / 9007199254740992.0;
}

static uint32_t
host_count(const struct workload *l)
{
	return l->zones * l->hosts_per_zone;
}

static void
add_call(struct run *r, struct sim *s, const struct workload *l, int64_t t,
    uint64_t *rng)
{
	uint32_t host = (uint32_t)(contract_view_random(rng) % host_count(l));

	if (uniform(rng) < l->host0_share)
		host = 0;
	sim_call(s, t, host);
	exact_bucket_take(&r->one_bucket, t);
	exact_bucket_take(&r->per_host[host], t);
	r->calls++;
}

static void
init_run(struct run *r, const struct workload *l)
{
	struct exact_bucket e = {.rate_per_s = l->rate,
	    .burst = l->burst,
	    .level = l->burst,
	    .refilled_us = WARMUP_US};

	memset(r, 0, sizeof *r);
	r->one_bucket = e;
	e.rate_per_s /= host_count(l);
	e.burst /= host_count(l);
	e.level = e.burst;
	for (uint32_t i = 0; i < host_count(l); i++)
		r->per_host[i] = e;
}

static void
run(struct run *r, const struct workload *l)
{
	const struct sim_ops ops = {on_admitted, on_denied};
	const struct sim_faults faults = {0};
	struct ir_view *v =
	    contract_view_new(NULL, l->zones, l->hosts_per_zone);
	double chance = l->rate * l->relative_rate * STEP_US / S;
	uint64_t rng = 1;
	struct sim *s;

	init_run(r, l);
	contract_view_set_account(v, "acme", l->rate, l->burst);
	s = sim_new(v, v, 1, &faults, &ops, r);
	sim_run(s, WARMUP_US);
	for (int64_t t = WARMUP_US; t < WARMUP_US + RUN_US; t += STEP_US) {
		if (uniform(&rng) < chance)
			add_call(r, s, l, t, &rng);
		if (l->restarts && t % (20 * S) == 0)
			sim_restart(
			    s, (uint32_t)(t / (20 * S)) % host_count(l));
		if (t % S == 0)
			sim_run(s, t - S);
	}
	sim_run(s, WARMUP_US + RUN_US + S);
	r->messages = sim_messages(s);
	r->waited_us = sim_waited_us(s);
	talloc_free(v);
}

static void
report(
    const char *name, double baseline, double ours, double target, bool at_most)
{
	bool met = at_most ? ours <= target : ours >= target;

	printf("%s baseline=%.5f ours=%.5f ratio=%.4f target%s%g %s\n", name,
	    baseline, ours, baseline > 0 ? ours / baseline : 0,
	    at_most ? "<=" : ">=", target, met ? "met" : "not met");
}

static double
excess_ratio(uint64_t refused, uint64_t expected, uint64_t calls)
{
	if (refused <= expected)
		return 0;
	return (double)(refused - expected) / (double)calls;
}

static uint64_t
per_host_refused(const struct run *r)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < MAX_HOSTS; i++)
		n += r->per_host[i].refused;
	return n;
}

static void
report_counts(const struct run *r)
{
	printf("# requests=%lu refused_by_exact_bucket=%lu refused_by_us=%lu "
	       "messages_a_request=%.2f mean_wait_ms=%.2f\n",
	    (unsigned long)r->calls, (unsigned long)r->one_bucket.refused,
	    (unsigned long)r->denied, (double)r->messages / (double)r->calls,
	    (double)r->waited_us / 1000 / (double)r->calls);
}

static void
report_wrongful(const char *name, const struct workload *l, double target)
{
	struct run r;

	run(&r, l);
	report(name,
	    excess_ratio(per_host_refused(&r), r.one_bucket.refused, r.calls),
	    excess_ratio(r.denied, r.one_bucket.refused, r.calls), target,
	    true);
	report_counts(&r);
}

/* The part of the contract that is used when calls come at 3 times its rate. */
static void
report_overload(const char *name, const struct workload *l)
{
	struct run r;
	double allowed = l->burst + (double)l->rate * RUN_US / S;

	run(&r, l);
	report(name, (double)(r.calls - per_host_refused(&r)) / allowed,
	    (double)r.admitted / allowed, 0.95, false);
	report_counts(&r);
}

static double
seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Time that one host takes to apply a view; the baseline has no such work. */
static void
report_view(void)
{
	struct ir_view *v = contract_view_new(NULL, 7, 443);
	struct ir_issuer *issuer = ir_issuer_new(v);
	double start;

	for (int i = 0; i < 500; i++)
		contract_view_set_account(
		    v, talloc_asprintf(v, "account%d", i), 10, 100);
	start = seconds();
	ir_issuer_set_view(issuer, 0, v, &v->hosts[0], NULL, NULL);
	report("view_change_ms_3101_hosts_500_accounts", 0,
	    (seconds() - start) * 1000, 10, true);
	talloc_free(v);
}

int
main(void)
{
	const struct workload even = {4, 4, 200, 100, 0.9, 0, false};
	const struct workload skewed = {4, 4, 200, 100, 0.9, 0.8, false};
	const struct workload one = {4, 4, 200, 100, 0.9, 1, false};
	const struct workload small = {4, 4, 20, 40, 0.9, 0.5, false};
	const struct workload large = {4, 4, 2000, 400, 0.9, 0.5, false};
	const struct workload large_fleet = {7, 9, 500, 200, 0.9, 0.3, false};
	const struct workload restarts = {4, 4, 200, 100, 0.6, 0.3, true};
	const struct workload restarts_full = {4, 4, 200, 100, 0.9, 0.3, true};
	const struct workload overload = {4, 4, 200, 100, 3, 0, false};
	const struct workload overload_one = {4, 4, 200, 100, 3, 1, false};

	report_wrongful("wrongful_even", &even, 0.001);
	report_wrongful("wrongful_80%_at_one_host", &skewed, 0.001);
	report_wrongful("wrongful_all_at_one_host", &one, 0.001);
	report_wrongful("wrongful_rate_20_per_s", &small, 0.001);
	report_wrongful("wrongful_rate_2000_per_s", &large, 0.001);
	report_wrongful("wrongful_63_hosts_in_7_zones", &large_fleet, 0.001);
	report_wrongful("wrongful_deaths_at_60%_load", &restarts, 0.001);
	report_wrongful("wrongful_deaths_at_90%_load", &restarts_full, 0.001);
	report_overload("rate_used_at_3x_even", &overload);
	report_overload("rate_used_at_3x_one_host", &overload_one);
	report_view();
	return 0;
}
