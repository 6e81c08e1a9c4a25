/*
 * Compares the gate with its plain policy (static limit, first in first out, no
 * checks) in simulated time, with a simulated upstream and clients that make up
 * to five attempts. "Ours" is the full policy. Prints lines
 *     name, baseline, ours, ratio, target, met|not met
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "support/upstream_sim.h"
#include "upstream/gate.h"

#define CAPACITY 36
#define SERVICE_US (10 * IR_US_PER_MS)
#define DEADLINE_US (500 * IR_US_PER_MS)
#define MAX_ATTEMPTS 5
#define IMPATIENT_RETRY_US (20 * IR_US_PER_MS)
#define STEP_US 100
#define ARRIVAL_TRIALS_PER_STEP 8
#define WHEEL_SLOTS 16384
#define MAX_ACCOUNTS 8
#define WINDOW_US (250 * IR_US_PER_MS)
#define MAX_WINDOWS 400

/* One attempt of a client's request. */
struct attempt {
	struct ir_work work;
	struct attempt *next_timer;
	uint32_t account;
	uint32_t importance;
	uint32_t number;
	uint32_t sim_id;
	bool offered;
	bool given_up; /* by the client */
	bool in_gate;
	bool in_wheel;
};

struct load {
	double rate_per_s;
	uint32_t slots;
	uint32_t accounts;
	uint32_t relative_rate[MAX_ACCOUNTS];
	uint32_t weight[MAX_ACCOUNTS];
	double important_share;
	bool impatient; /* ignores the retry time */
	int64_t slow_from_us;
	int64_t slow_to_us;
	int64_t measure_from_us;
	int64_t end_us;
};

struct bench {
	const struct load *load;
	enum ir_gate_policy policy;
	struct ir_gate *gate;
	struct upstream_sim sim;
	struct attempt *running[UPSTREAM_SIM_MAX];
	struct attempt *wheel[WHEEL_SLOTS];
	uint64_t random;
	int64_t now;
	/* Results since measure_from_us. */
	uint64_t served[MAX_ACCOUNTS];
	uint64_t important;
	uint64_t important_lost;
	uint32_t window[MAX_WINDOWS]; /* served in each, from the start */
};

static void
free_if_unused(struct attempt *a)
{
	if (!a->in_gate && !a->in_wheel)
		talloc_free(a);
}

static void
add_to_wheel(struct bench *b, struct attempt *a, int64_t after_us)
{
	int64_t slot = (b->now + after_us) / IR_US_PER_MS + 1;

	a->next_timer = b->wheel[slot % WHEEL_SLOTS];
	b->wheel[slot % WHEEL_SLOTS] = a;
	a->in_wheel = true;
}

static struct attempt *
new_attempt(struct bench *b, uint32_t account, uint32_t importance)
{
	struct attempt *a = talloc_zero(b->gate, struct attempt);

	if (a == NULL)
		abort();
	a->account = account;
	a->importance = importance;
	return a;
}

static void
offer(struct bench *b, struct attempt *a)
{
	static const char *const name[MAX_ACCOUNTS] = {
	    "a", "b", "c", "d", "e", "f", "g", "h"};
	uint32_t rank = ir_random_below(&b->random, IR_RANK_MASK);

	a->work = (struct ir_work){.account = name[a->account],
	    .weight = b->load->weight[a->account],
	    .priority = ir_priority(a->importance, false, rank),
	    .deadline_us = b->now + DEADLINE_US,
	    .owner = a};
	a->offered = true;
	a->in_gate = true;
	add_to_wheel(b, a, DEADLINE_US);
	ir_gate_offer(b->gate, b->now, &a->work);
}

static void
count_lost_important(struct bench *b, const struct attempt *a)
{
	if (a->importance > 0 && b->now >= b->load->measure_from_us)
		b->important_lost++;
}

static void
retry(struct bench *b, const struct attempt *a, int64_t after_us)
{
	struct attempt *next;

	count_lost_important(b, a);
	if (a->number + 1 >= MAX_ATTEMPTS)
		return;
	next = new_attempt(b, a->account, a->importance);
	next->number = a->number + 1;
	add_to_wheel(b, next, after_us);
}

static void
on_start(void *ctx, int64_t now, struct ir_work *w)
{
	struct bench *b = ctx;
	struct attempt *a = w->owner;

	if (!upstream_sim_start(&b->sim, now, &a->sim_id))
		abort();
	b->running[a->sim_id] = a;
}

static void
on_refuse(void *ctx, int64_t now, struct ir_work *w, enum ir_error kind,
    uint32_t retry_after_ms)
{
	struct bench *b = ctx;
	struct attempt *a = w->owner;

	a->in_gate = false;
	if (!a->given_up) {
		a->given_up = true;
		retry(b, a,
		    b->load->impatient ? IMPATIENT_RETRY_US
				       : retry_after_ms * IR_US_PER_MS);
	}
	free_if_unused(a);
}

/* The client times out. Only the full policy is notified. */
static void
give_up(struct bench *b, struct attempt *a)
{
	if (a->in_gate && !a->given_up) {
		a->given_up = true;
		if (b->policy == IR_GATE_FULL) {
			if (a->work.state == IR_WORK_RUNNING)
				upstream_sim_cancel(&b->sim, b->now, a->sim_id);
			ir_gate_cancel(b->gate, b->now, &a->work);
			a->in_gate = false;
		}
		retry(b, a, 0);
	}
	free_if_unused(a);
}

static void
fire_timers(struct bench *b)
{
	struct attempt **slot = &b->wheel[b->now / IR_US_PER_MS % WHEEL_SLOTS];
	struct attempt *a = *slot;

	*slot = NULL;
	while (a != NULL) {
		struct attempt *next = a->next_timer;

		a->in_wheel = false;
		if (a->offered)
			give_up(b, a);
		else
			offer(b, a);
		a = next;
	}
}

static void
count_served(struct bench *b, const struct attempt *a)
{
	if (a->given_up)
		return;
	b->window[b->now / WINDOW_US]++;
	if (b->now < b->load->measure_from_us)
		return;
	b->served[a->account]++;
	if (a->importance > 0)
		b->important++;
}

static void
end_served(struct bench *b)
{
	uint32_t id;

	while (upstream_sim_ended(&b->sim, b->now, &id)) {
		struct attempt *a = b->running[id];

		count_served(b, a);
		a->given_up = true;
		a->in_gate = false;
		ir_gate_done(b->gate, b->now, &a->work, IR_SAMPLE_OK);
		free_if_unused(a);
	}
}

static uint32_t
pick_account(struct bench *b)
{
	uint32_t sum = 0, at, i;

	for (i = 0; i < b->load->accounts; i++)
		sum += b->load->relative_rate[i];
	at = ir_random_below(&b->random, sum);
	for (i = 0; at >= b->load->relative_rate[i]; i++)
		at -= b->load->relative_rate[i];
	return i;
}

static bool
random_bool(struct bench *b, double p)
{
	return ir_random_below(&b->random, 1 << 30) < p * (1 << 30);
}

static void
arrive(struct bench *b)
{
	double p = b->load->rate_per_s * STEP_US / (double)IR_US_PER_S /
		   ARRIVAL_TRIALS_PER_STEP;

	for (int i = 0; i < ARRIVAL_TRIALS_PER_STEP; i++) {
		uint32_t importance;

		if (!random_bool(b, p))
			continue;
		importance = random_bool(b, b->load->important_share) ? 3 : 0;
		offer(b, new_attempt(b, pick_account(b), importance));
	}
}

static struct bench *
run(const struct load *load, enum ir_gate_policy policy)
{
	static const struct ir_gate_ops ops = {
	    .start = on_start, .refuse = on_refuse};
	struct bench *b = talloc_zero(NULL, struct bench);

	if (b == NULL)
		abort();
	b->load = load;
	b->policy = policy;
	b->random = 11;
	upstream_sim_init(&b->sim, CAPACITY, SERVICE_US, 5);
	b->sim.spread = UPSTREAM_SIM_UNIFORM;
	b->gate = ir_gate_new(b, &ops, b, load->slots, 3, 0);
	ir_gate_set_policy(b->gate, policy);
	for (b->now = STEP_US; b->now < load->end_us; b->now += STEP_US) {
		bool slow =
		    b->now >= load->slow_from_us && b->now < load->slow_to_us;

		b->sim.service_us = slow ? 10 * SERVICE_US : SERVICE_US;
		end_served(b);
		if (b->now % IR_US_PER_MS == 0)
			fire_timers(b);
		arrive(b);
		if (b->now % (10 * IR_US_PER_MS) == 0)
			ir_gate_tick(b->gate, b->now);
	}
	return b;
}

static double
capacity_per_s(void)
{
	return CAPACITY * (double)IR_US_PER_S / SERVICE_US;
}

static double
goodput(const struct bench *b)
{
	double served = 0;

	for (int i = 0; i < MAX_ACCOUNTS; i++)
		served += (double)b->served[i];
	return served * (double)IR_US_PER_S /
	       (double)(b->load->end_us - b->load->measure_from_us) /
	       capacity_per_s();
}

static double
lost_share(const struct bench *b)
{
	double all = (double)(b->important + b->important_lost);

	return all > 0 ? (double)b->important_lost / all : 1;
}

/* Requests served to the worst account, by its weighted share of all served. */
static double
worst_share(const struct bench *b)
{
	const struct load *l = b->load;
	double served = 0, weights = 0, worst = 1;

	for (uint32_t i = 0; i < l->accounts; i++) {
		served += (double)b->served[i];
		weights += l->weight[i];
	}
	if (served <= 0)
		return 0;
	for (uint32_t i = 0; i < l->accounts; i++) {
		double share = served * l->weight[i] / weights;

		if ((double)b->served[i] / share < worst)
			worst = (double)b->served[i] / share;
	}
	return worst;
}

/*
 * Seconds from the end of the slowdown until two windows in a row had 95% of
 * the goodput before it, or to the end of the run.
 */
static double
recovery_s(const struct bench *b)
{
	int64_t from = b->load->slow_from_us / WINDOW_US;
	int64_t to = b->load->slow_to_us / WINDOW_US;
	int64_t end = b->load->end_us / WINDOW_US;
	double before = 0;

	for (int64_t i = from - 8; i < from; i++)
		before += b->window[i] / 8.0;
	for (int64_t i = to; i + 1 < end; i++) {
		if (b->window[i] >= 0.95 * before &&
		    b->window[i + 1] >= 0.95 * before) {
			end = i + 1;
			break;
		}
	}
	return (double)((end - to) * WINDOW_US) / (double)IR_US_PER_S;
}

static void
print_result(
    const char *name, double plain, double full, bool at_least, double target)
{
	bool met = at_least ? full >= target : full <= target;

	printf("%s, %.4f, %.4f, ", name, plain, full);
	if (plain > 0)
		printf("%.2f, ", full / plain);
	else
		printf("-, ");
	printf("%s%g, %s\n", at_least ? ">=" : "<=", target,
	    met ? "met" : "not met");
}

static void
measure(const char *name, const struct load *l,
    double (*figure)(const struct bench *), bool at_least, double target)
{
	struct bench *plain = run(l, IR_GATE_BASELINE);
	struct bench *full = run(l, IR_GATE_FULL);

	print_result(name, figure(plain), figure(full), at_least, target);
	talloc_free(plain);
	talloc_free(full);
}

static struct load
base_load(double times_capacity)
{
	return (struct load){.rate_per_s = times_capacity * capacity_per_s(),
	    .slots = CAPACITY,
	    .accounts = MAX_ACCOUNTS,
	    .relative_rate = {1, 1, 1, 1, 1, 1, 1, 1},
	    .weight = {1, 1, 1, 1, 1, 1, 1, 1},
	    .measure_from_us = 5 * IR_US_PER_S,
	    .end_us = 25 * IR_US_PER_S};
}

static void
measure_goodput(void)
{
	struct load l = base_load(3);

	measure("goodput at 3x (of capacity)", &l, goodput, true, 0.95);
	l.impatient = true;
	measure("goodput at 3x, times to come back ignored", &l, goodput, true,
	    0.95);
	l.impatient = false;
	l.slots = 4 * CAPACITY;
	measure("goodput at 3x, slots published 4x too high", &l, goodput, true,
	    0.95);
	l.slots = CAPACITY / 3;
	measure("goodput at 3x, slots published 3x too low", &l, goodput, true,
	    0.95);
	l = base_load(0.9);
	measure("goodput at 0.9x", &l, goodput, true, 0.9 * 0.99);
}

static void
measure_priorities_and_shares(void)
{
	struct load l = base_load(3);

	l.important_share = 0.2 / 3;
	measure("important attempts lost at 3x (share)", &l, lost_share, false,
	    0.001);
	l = base_load(3);
	l.relative_rate[0] = 10;
	measure("worst account at 3x, one sends 10x (of its share)", &l,
	    worst_share, true, 0.95);
	for (int i = 4; i < MAX_ACCOUNTS; i++)
		l.weight[i] = 2;
	measure("worst account at 3x, weights 1 and 2 (of its share)", &l,
	    worst_share, true, 0.95);
}

static void
measure_recovery(void)
{
	struct load l = base_load(0.9);

	l.slow_from_us = 10 * IR_US_PER_S;
	l.slow_to_us = 15 * IR_US_PER_S;
	l.end_us = 45 * IR_US_PER_S;
	measure("recovery from a 10x slowdown (s)", &l, recovery_s, false, 2);
	l.impatient = true;
	measure("recovery, times to come back ignored (s)", &l, recovery_s,
	    false, 2);
}

int
main(void)
{
	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("name, baseline, ours, ratio, target, met\n");
	measure_goodput();
	measure_priorities_and_shares();
	measure_recovery();
	return 0;
}
