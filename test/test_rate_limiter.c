/*
 * Rate limiter: it denies a call only when each issuer in reach refuses, and a
 * fleet of rate limiters and issuers admits no more than burst + rate * t calls
 * in any t seconds, whatever happens to messages, views and processes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "support/contract_sim.h"
#include "zone/placement.h"

#define MS IR_US_PER_MS
#define S IR_US_PER_S

/* One rate limiter in the first of two zones; its requests are recorded. */
struct fixture {
	struct ir_view *view;
	const struct ir_host *self;
	struct ir_account *account;
	struct ir_rate_limiter *limiter;
	struct ir_grant_request last_request;
	const char *issuer; /* the host that last_request was sent to */
	uint64_t released;
	int requests, retry_rounds;
	bool unreachable;
	uint32_t immediate_grant; /* tokens granted from within the request */
	int waiting_calls; /* calls that retry_calls() takes tokens for */
	enum ir_take_result retry_results[2];
};

static enum ir_take_result take(struct fixture *f, int64_t now);
static void grant(
    struct fixture *f, int64_t now, uint32_t count, uint32_t retry_after_ms);

static bool
record_request(void *ctx, int64_t now, const struct ir_host *issuer,
    const struct ir_grant_request *request)
{
	struct fixture *f = ctx;

	if (f->unreachable)
		return false;
	f->released += request->spent_grants.spent_grants_len;
	if (request->requested_tokens == 0)
		return true;
	f->last_request = *request;
	f->issuer = issuer->name;
	f->requests++;
	if (f->immediate_grant > 0)
		grant(f, now, f->immediate_grant, 0);
	return true;
}

static void
retry_calls(void *ctx, int64_t now, const char *account)
{
	struct fixture *f = ctx;

	f->retry_rounds++;
	for (int i = 0; i < f->waiting_calls; i++)
		f->retry_results[i] = take(f, now);
}

/* Answers the last request: the host does not issue tokens yet. */
static void
reply_not_issuing(struct fixture *f, int64_t now)
{
	struct ir_grant g = {.sequence = f->last_request.sequence,
	    .account = (char *)"acme",
	    .bucket = f->last_request.bucket,
	    .valid_us = IR_GRANT_VALID_US};

	ir_rate_limiter_add_grant(f->limiter, now, f->issuer, &g);
}

static int
setup(void **state)
{
	const struct ir_rate_limiter_ops ops = {record_request, retry_calls};
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->view = contract_view_new(f, 2, 2);
	contract_view_set_account(f->view, "acme", 100, 100);
	f->account = &f->view->accounts[0];
	f->self = &f->view->hosts[0];
	f->limiter = ir_rate_limiter_new(f, &ops, f, 7);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

static enum ir_take_result
take(struct fixture *f, int64_t now)
{
	uint32_t retry_after_ms;

	return ir_rate_limiter_take(
	    f->limiter, now, f->view, f->self, f->account, &retry_after_ms);
}

/* Answers the last request with count tokens. */
static void
grant(struct fixture *f, int64_t now, uint32_t count, uint32_t retry_after_ms)
{
	struct ir_grant g = {.sequence = f->last_request.sequence,
	    .account = (char *)"acme",
	    .bucket = f->last_request.bucket,
	    .count = count,
	    .valid_us = IR_GRANT_VALID_US,
	    .retry_after_ms = retry_after_ms,
	    .issuing = true};

	ir_rate_limiter_add_grant(f->limiter, now, f->issuer, &g);
}

/* Of four zones, the first two are of this host's region. */
static void
use_four_zones(struct fixture *f)
{
	f->view = contract_view_new(f, 4, 2);
	f->view->list_revision = 9;
	contract_view_set_account(f->view, "acme", 100, 100);
	f->account = &f->view->accounts[0];
	f->self = &f->view->hosts[0];
}

static bool
asked_own_region(const struct fixture *f)
{
	return strcmp(ir_view_host(f->view, f->issuer)->region, "r1") == 0;
}

/* Token requests that cross regions cost bytes of a slow, narrow link. */
static void
test_other_regions_are_asked_last(void **state)
{
	struct fixture *f = *state;

	use_four_zones(f);
	for (int64_t t = 0; t < 20 * S; t += S) {
		assert_int_equal(take(f, t), IR_TAKE_WAIT);
		assert_true(asked_own_region(f));
		/* Overdue: the next bucket is asked as well. */
		ir_rate_limiter_tick(f->limiter, t + 60 * MS, f->view, f->self);
		assert_true(asked_own_region(f));
		grant(f, t + 61 * MS, 1, 0);
		assert_int_equal(take(f, t + 62 * MS), IR_TAKE_OK);
	}
}

/* Buckets of other regions would stand full and lose what they are refilled. */
static void
test_all_regions_are_asked_in_turn_while_the_own_is_short(void **state)
{
	struct fixture *f = *state;
	int others = 0;

	use_four_zones(f);
	f->waiting_calls = 1;
	for (int64_t t = 0; t < 20 * S; t += S) {
		assert_int_equal(take(f, t), IR_TAKE_WAIT);
		/* Refused: the call asks the next bucket. */
		grant(f, t + MS, 0, 1);
		others += !asked_own_region(f);
		grant(f, t + 2 * MS, 1, 0);
		assert_int_equal(f->retry_results[0], IR_TAKE_OK);
	}
	assert_in_range(others, 8, 18);
}

static void
test_requests_from_own_zone_and_spends(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(take(f, 0), IR_TAKE_WAIT);
	assert_int_equal(f->requests, 1);
	assert_string_equal(ir_view_host(f->view, f->issuer)->zone, "z1");
	grant(f, MS, 1, 0);
	assert_int_equal(f->retry_rounds, 1);
	assert_int_equal(take(f, MS), IR_TAKE_OK);
	ir_rate_limiter_tick(f->limiter, 10 * MS, f->view, f->self);
	assert_int_equal(f->released, 1);
	assert_int_equal(take(f, 11 * MS), IR_TAKE_WAIT);
}

static void
test_denies_only_after_every_issuer_refused(void **state)
{
	struct fixture *f = *state;
	const char *first;

	take(f, 0);
	first = f->issuer;
	grant(f, MS, 0, 50);
	assert_int_equal(take(f, MS), IR_TAKE_WAIT);
	assert_int_equal(f->requests, 2);
	assert_string_not_equal(f->issuer, first);
	grant(f, 2 * MS, 0, 20);
	assert_int_equal(take(f, 2 * MS), IR_TAKE_DENIED);
	/* Until the refusals end, further calls cause no requests. */
	for (int i = 0; i < 100; i++)
		assert_int_equal(take(f, 21 * MS), IR_TAKE_DENIED);
	assert_int_equal(f->requests, 2);
	assert_int_equal(take(f, 22 * MS), IR_TAKE_WAIT);
	assert_int_equal(f->requests, 3);
}

static void
test_grant_counts_once_and_expires_after_its_request(void **state)
{
	struct fixture *f = *state;

	take(f, 0);
	grant(f, 300 * MS, 1, 0);
	grant(f, 300 * MS, 1, 0);
	assert_int_equal(
	    ir_rate_limiter_tokens(f->limiter, 300 * MS, "acme"), 1);
	assert_int_equal(
	    ir_rate_limiter_tokens(f->limiter, IR_GRANT_VALID_US, "acme"), 0);
	assert_int_equal(take(f, IR_GRANT_VALID_US), IR_TAKE_WAIT);
	grant(f, 2 * IR_GRANT_VALID_US, 1, 0);
	assert_int_equal(
	    ir_rate_limiter_tokens(f->limiter, 2 * IR_GRANT_VALID_US, "acme"),
	    0);
}

static void
test_accepts_only_what_was_requested(void **state)
{
	struct fixture *f = *state;
	const char *issuer;

	take(f, 0);
	issuer = f->issuer;
	f->issuer = "z2-h0002";
	grant(f, MS, 1, 0);
	assert_int_equal(ir_rate_limiter_tokens(f->limiter, MS, "acme"), 0);
	f->issuer = issuer;
	grant(f, MS, 99, 0);
	assert_int_equal(ir_rate_limiter_tokens(f->limiter, MS, "acme"),
	    f->last_request.requested_tokens);
}

static void
test_new_process_uses_other_sequences(void **state)
{
	struct fixture *f = *state;
	struct ir_rate_limiter *first = f->limiter;
	const struct ir_rate_limiter_ops ops = {record_request, retry_calls};
	struct ir_grant_request last_request;

	take(f, 0);
	last_request = f->last_request;
	f->limiter = ir_rate_limiter_new(f, &ops, f, 8);
	take(f, MS);
	assert_int_equal(f->last_request.bucket, last_request.bucket);
	assert_int_not_equal(f->last_request.sequence, last_request.sequence);
	f->last_request = last_request;
	grant(f, 2 * MS, 1, 0);
	assert_int_equal(ir_rate_limiter_tokens(f->limiter, 2 * MS, "acme"), 0);
	assert_int_equal(ir_rate_limiter_tokens(first, 2 * MS, "acme"), 0);
}

static void
test_unanswered_requests_time_out(void **state)
{
	struct fixture *f = *state;
	int64_t now = 0;

	assert_int_equal(take(f, now), IR_TAKE_WAIT);
	for (; f->retry_rounds == 0 && now < S; now += 10 * MS)
		ir_rate_limiter_tick(f->limiter, now, f->view, f->self);
	assert_true(f->requests >= 2);
	assert_in_range(now, 60 * MS, 150 * MS);
	assert_int_equal(take(f, now), IR_TAKE_DENIED);
	/* A late answer counts at once. */
	grant(f, now, 1, 0);
	assert_int_equal(take(f, now), IR_TAKE_OK);
}

/*
 * Guards against calls that are denied because of what an issuer answered
 * seconds ago, when it did not issue tokens yet.
 */
static void
test_formerly_unavailable_issuer_gets_new_request(void **state)
{
	struct fixture *f = *state;
	int requests;

	f->immediate_grant = 0;
	assert_int_equal(take(f, 1 * S), IR_TAKE_WAIT);
	reply_not_issuing(f, 1 * S + MS);
	assert_int_equal(take(f, 1 * S + 10 * MS), IR_TAKE_WAIT);
	assert_int_equal(f->requests, 2);
	reply_not_issuing(f, 1 * S + 11 * MS);
	assert_int_equal(take(f, 1 * S + 50 * MS), IR_TAKE_DENIED);
	requests = f->requests;
	assert_int_equal(take(f, 3 * S), IR_TAKE_WAIT);
	assert_true(f->requests > requests);
	grant(f, 3 * S + MS, 1, 0);
	assert_int_equal(take(f, 3 * S + MS), IR_TAKE_OK);
}

/* While no issuer answers, a few calls wait for them, not each of many. */
static void
test_call_does_not_wait_for_unavailable_issuers(void **state)
{
	struct fixture *f = *state;
	int waited = 0;

	for (int64_t t = 1 * S; t < 3 * S; t += 20 * MS) {
		if (t >= 2 * S)
			waited += take(f, t) == IR_TAKE_WAIT;
		else
			(void)take(f, t);
		ir_rate_limiter_tick(f->limiter, t + 10 * MS, f->view, f->self);
	}
	assert_int_equal(waited, 0);
}

static void
test_issuer_in_this_process_may_answer_at_once(void **state)
{
	struct fixture *f = *state;

	take(f, 0);
	f->immediate_grant = 2;
	assert_int_equal(take(f, 6 * MS), IR_TAKE_OK);
	assert_int_equal(f->retry_rounds, 0);
	ir_rate_limiter_tick(f->limiter, 10 * MS, f->view, f->self);
	assert_int_equal(f->retry_rounds, 1);
	assert_int_equal(take(f, 10 * MS), IR_TAKE_OK);
}

/* The second call arrives after the first issuer's refusal has ended. */
static void
test_call_is_denied_by_refusals_since_its_arrival(void **state)
{
	struct fixture *f = *state;
	struct ir_grant_request second;

	assert_int_equal(take(f, 0), IR_TAKE_WAIT);
	f->waiting_calls = 1;
	grant(f, MS, 0, 1);
	assert_int_equal(f->retry_results[0], IR_TAKE_WAIT);
	second = f->last_request;
	assert_int_equal(take(f, 3 * MS), IR_TAKE_WAIT);
	assert_int_not_equal(f->last_request.bucket, second.bucket);
	f->last_request = second;
	f->issuer = ir_bucket_issuer(f->view, f->account, second.bucket)->name;
	f->waiting_calls = 2;
	grant(f, 4 * MS, 0, 1);
	assert_int_equal(f->retry_results[0], IR_TAKE_DENIED);
	assert_int_equal(f->retry_results[1], IR_TAKE_WAIT);
}

static void
test_unsent_requests_are_retried(void **state)
{
	struct fixture *f = *state;

	f->unreachable = true;
	assert_int_equal(take(f, 0), IR_TAKE_WAIT);
	f->unreachable = false;
	ir_rate_limiter_tick(f->limiter, 10 * MS, f->view, f->self);
	assert_int_equal(f->requests, 1);
	f->unreachable = true;
	ir_rate_limiter_host_lost(f->limiter, 20 * MS, f->issuer);
	assert_int_equal(f->retry_rounds, 1);
	assert_int_equal(take(f, 80 * MS), IR_TAKE_DENIED);
}

static void
test_prefetches_for_steady_demand_only(void **state)
{
	struct fixture *f = *state;
	uint32_t waits = 0, max_available = 0;

	for (int64_t now = 0; now < 5 * S; now += 12500) {
		uint32_t available;

		while (take(f, now) == IR_TAKE_WAIT) {
			grant(f, now, f->last_request.requested_tokens, 0);
			waits++;
		}
		grant(f, now, f->last_request.requested_tokens, 0);
		available = ir_rate_limiter_tokens(f->limiter, now, "acme");
		max_available =
		    available > max_available ? available : max_available;
	}
	assert_in_range(waits, 1, 40);
	assert_in_range(max_available, 1, 12);
	grant(f, 6 * S, 1, 0);
	f->requests = 0;
	ir_rate_limiter_tick(f->limiter, 20 * S, f->view, f->self);
	assert_int_equal(f->requests, 0);
}

/*
 * One exact bucket that sees all admitted calls. A call that finds it empty
 * exceeds burst + rate * t in some window. After a change of the contract the
 * higher of both values applies until all previous leases and grants expired.
 */
struct exact_bucket {
	uint64_t rate_mt_per_s, burst_mt;
	uint64_t next_rate_mt_per_s, next_burst_mt;
	int64_t next_us;
	int64_t refilled_us;
	__int128 level; /* millionths of a thousandth of a token */
	uint32_t admitted, denied, violations;
};

static void
exact_refill(struct exact_bucket *e, int64_t t)
{
	__int128 full = (__int128)e->burst_mt * S;

	e->level += (__int128)e->rate_mt_per_s * (t - e->refilled_us);
	if (e->level > full)
		e->level = full;
	e->refilled_us = t;
}

static void
exact_advance(struct exact_bucket *e, int64_t t)
{
	if (e->next_us > 0 && e->next_us <= t) {
		exact_refill(e, e->next_us);
		e->rate_mt_per_s = e->next_rate_mt_per_s;
		e->burst_mt = e->next_burst_mt;
		e->next_us = 0;
	}
	exact_refill(e, t);
}

static void
exact_set_contract(
    struct exact_bucket *e, int64_t t, const struct ir_account *a)
{
	exact_advance(e, t);
	if (e->rate_mt_per_s < a->rate_mt_per_s)
		e->rate_mt_per_s = a->rate_mt_per_s;
	if (e->burst_mt < a->burst_mt) {
		e->level += (__int128)(a->burst_mt - e->burst_mt) * S;
		e->burst_mt = a->burst_mt;
	}
	e->next_rate_mt_per_s = a->rate_mt_per_s;
	e->next_burst_mt = a->burst_mt;
	e->next_us = t + IR_VIEW_LEASE_US + IR_GRANT_VALID_US;
}

static void
on_admitted(void *ctx, int64_t t, uint32_t host)
{
	struct exact_bucket *e = ctx;

	exact_advance(e, t);
	e->level -= (__int128)1000 * S;
	e->violations += e->level < 0;
	e->admitted++;
}

static void
on_denied(void *ctx, int64_t t, uint32_t host)
{
	((struct exact_bucket *)ctx)->denied++;
}

/*
 * Calls within one second, three times the rate, at one host or at all. The
 * next second is without calls.
 */
static void
add_calls(struct sim *s, uint64_t *rng, int64_t from_us, uint32_t hosts)
{
	uint32_t first = (uint32_t)(contract_view_random(rng) % hosts);
	bool skewed = contract_view_random(rng) % 2 == 0;

	for (uint32_t i = 0; i < 150; i++)
		sim_call(s, from_us + (int64_t)(contract_view_random(rng) % S),
		    skewed ? first
			   : (uint32_t)(contract_view_random(rng) % hosts));
}

/* The next view: a host is leaving, is removed, or all are live again. */
static struct ir_view *
next_view(struct ir_view *mem, const struct ir_view *first,
    const struct ir_view *last, uint64_t *rng)
{
	size_t i = contract_view_random(rng) % last->host_count;
	const char *host = last->hosts[i].name;
	struct ir_view *v;

	switch (contract_view_random(rng) % 4) {
	case 0:
		v = last->host_count > 2
			? contract_view_without(mem, last, host)
			: contract_view_without(mem, first, NULL);
		break;
	case 1:
		v = contract_view_leaving(mem, last, host);
		break;
	case 2:
		v = contract_view_without(mem, first, NULL);
		break;
	default: /* a host becomes leaving, or live again */
		v = contract_view_without(mem, last, NULL);
		v->hosts[i].leaving = !v->hosts[i].leaving;
		break;
	}
	v->config_revision = last->config_revision;
	v->list_revision = last->list_revision + 1;
	v->accounts = last->accounts;
	return v;
}

static struct ir_view *
next_contract(struct ir_view *mem, const struct ir_view *last, uint64_t *rng)
{
	static const uint32_t bursts[] = {2, 12, 30};
	struct ir_view *v = contract_view_without(mem, last, NULL);

	v->list_revision = last->list_revision;
	v->config_revision++;
	contract_view_set_account(v, "acme",
	    20 + (uint32_t)(contract_view_random(rng) % 2) * 60,
	    bursts[contract_view_random(rng) % 3]);
	return v;
}

static void
inject_fault(struct sim *s, uint64_t *rng, uint32_t hosts)
{
	uint32_t host = (uint32_t)(contract_view_random(rng) % hosts);
	int64_t until_us =
	    sim_now(s) + (int64_t)(contract_view_random(rng) % (20 * S));

	switch (contract_view_random(rng) % 5) {
	case 0:
		sim_restart(s, host);
		break;
	case 1:
		sim_pause(s, host, until_us);
		break;
	case 2:
	case 3:
		sim_block_views(s, host, until_us);
		break;
	default:
		sim_disconnect(s, host, until_us);
		break;
	}
}

struct scenario {
	uint32_t zones, hosts_per_zone;
	struct sim_faults faults;
	uint32_t views_percent;	    /* chance of a new view each 100 ms */
	uint32_t faults_percent;    /* chance of a fault each 100 ms */
	uint32_t contracts_percent; /* chance of a new contract each 3 s */
};

static struct exact_bucket
run_scenario(uint64_t seed, const struct scenario *c)
{
	const struct sim_ops ops = {on_admitted, on_denied};
	struct ir_view *first =
	    contract_view_new(NULL, c->zones, c->hosts_per_zone);
	const uint32_t hosts = (uint32_t)first->host_count;
	const struct ir_view *last = first;
	struct exact_bucket e = {.rate_mt_per_s = 50000, .burst_mt = 12000};
	uint64_t rng = seed;
	struct sim *s;

	contract_view_set_account(first, "acme", 50, 12);
	e.level = (__int128)e.burst_mt * S;
	s = sim_new(first, first, seed, &c->faults, &ops, &e);
	for (int64_t t = 0; t < 120 * S; t += 100 * MS) {
		if (t % (2 * S) == 0)
			add_calls(s, &rng, t, hosts);
		if (contract_view_random(&rng) % 100 < c->views_percent)
			sim_publish(
			    s, last = next_view(first, first, last, &rng));
		if (t % (3 * S) == 0 &&
		    contract_view_random(&rng) % 100 < c->contracts_percent) {
			last = next_contract(first, last, &rng);
			exact_set_contract(&e, t, &last->accounts[0]);
			sim_publish(s, last);
		}
		if (contract_view_random(&rng) % 100 < c->faults_percent)
			inject_fault(s, &rng, hosts);
		sim_run(s, t + 100 * MS);
	}
	talloc_free(first);
	return e;
}

static void
assert_bound(const struct scenario *c, uint64_t seeds, uint32_t min_admitted)
{
	for (uint64_t seed = 1; seed <= seeds; seed++) {
		struct exact_bucket e = run_scenario(seed, c);

		if (e.violations > 0 || e.admitted < min_admitted)
			print_error("seed %u: %u admitted, %u denied, %u over "
				    "the bound\n",
			    (unsigned)seed, e.admitted, e.denied, e.violations);
		assert_int_equal(e.violations, 0);
		assert_true(e.admitted >= min_admitted);
	}
}

static void
test_bound_holds_without_faults(void **state)
{
	const struct scenario c = {.zones = 3, .hosts_per_zone = 2};

	assert_bound(&c, 3, 2000);
}

static void
test_bound_holds_with_lost_and_late_messages(void **state)
{
	const struct scenario c = {
	    .zones = 3, .hosts_per_zone = 2, .faults = {10, 20, 20}};

	assert_bound(&c, 10, 500);
}

static void
test_bound_holds_over_view_changes(void **state)
{
	const struct scenario rare = {
	    .zones = 3, .hosts_per_zone = 2, .views_percent = 2};
	const struct scenario frequent = {.zones = 3,
	    .hosts_per_zone = 2,
	    .views_percent = 10,
	    .faults = {5, 10, 10}};

	assert_bound(&rare, 10, 300);
	assert_bound(&frequent, 10, 10);
}

static void
test_bound_holds_under_all_faults(void **state)
{
	const struct scenario c = {.zones = 3,
	    .hosts_per_zone = 2,
	    .views_percent = 3,
	    .faults_percent = 3,
	    .faults = {5, 10, 10}};

	assert_bound(&c, 40, 10);
}

static void
test_bound_holds_for_one_moving_bucket(void **state)
{
	struct scenario c = {.zones = 1,
	    .hosts_per_zone = 3,
	    .views_percent = 2,
	    .faults_percent = 2,
	    .faults = {0, 10, 5}};

	assert_bound(&c, 40, 0);
	c.views_percent = 6;
	c.faults_percent = 6;
	assert_bound(&c, 40, 0);
}

static void
test_bound_holds_over_contract_changes(void **state)
{
	const struct scenario c = {.zones = 3,
	    .hosts_per_zone = 2,
	    .contracts_percent = 25,
	    .views_percent = 1,
	    .faults_percent = 1,
	    .faults = {2, 5, 5}};

	assert_bound(&c, 20, 10);
}

#define with_fixture(t) cmocka_unit_test_setup_teardown(t, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    with_fixture(test_requests_from_own_zone_and_spends),
	    with_fixture(test_other_regions_are_asked_last),
	    with_fixture(
		test_all_regions_are_asked_in_turn_while_the_own_is_short),
	    with_fixture(test_denies_only_after_every_issuer_refused),
	    with_fixture(test_grant_counts_once_and_expires_after_its_request),
	    with_fixture(test_accepts_only_what_was_requested),
	    with_fixture(test_new_process_uses_other_sequences),
	    with_fixture(test_unanswered_requests_time_out),
	    with_fixture(test_formerly_unavailable_issuer_gets_new_request),
	    with_fixture(test_call_does_not_wait_for_unavailable_issuers),
	    with_fixture(test_issuer_in_this_process_may_answer_at_once),
	    with_fixture(test_call_is_denied_by_refusals_since_its_arrival),
	    with_fixture(test_unsent_requests_are_retried),
	    with_fixture(test_prefetches_for_steady_demand_only),
	    cmocka_unit_test(test_bound_holds_without_faults),
	    cmocka_unit_test(test_bound_holds_with_lost_and_late_messages),
	    cmocka_unit_test(test_bound_holds_over_view_changes),
	    cmocka_unit_test(test_bound_holds_under_all_faults),
	    cmocka_unit_test(test_bound_holds_for_one_moving_bucket),
	    cmocka_unit_test(test_bound_holds_over_contract_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
