/* The ramp of an upstream that starts or recovers, alone and in a gate. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "upstream/gate.h"
#include "upstream/ramp.h"

#define MS IR_US_PER_MS
#define REGULAR 64

/* Ends count runs that started and ended at now. */
static void
answer(struct ir_ramp *r, int64_t now, int count, int64_t latency_us)
{
	for (int i = 0; i < count; i++)
		ir_ramp_run_good(r, now, now, latency_us, REGULAR);
	ir_ramp_tick(r, now, REGULAR);
}

static void
test_without_begin_regular_limit_holds(void **state)
{
	struct ir_ramp r = {0};

	answer(&r, MS, 100, MS);
	ir_ramp_run_bad(&r, MS, MS, REGULAR);
	assert_int_equal(ir_ramp_limit(&r, REGULAR), REGULAR);
}

static void
test_starts_at_a_share(void **state)
{
	static const uint32_t regular[] = {1, 2, 3, 16, 36, 1000};
	static const uint32_t expected[] = {1, 2, 2, 2, 5, 125};

	for (size_t i = 0; i < sizeof(regular) / sizeof(regular[0]); i++) {
		struct ir_ramp r = {0};

		ir_ramp_begin(&r, 0, regular[i]);
		assert_int_equal(ir_ramp_limit(&r, regular[i]), expected[i]);
	}
}

static void
test_good_rounds_double_until_regular_limit(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	answer(&r, 1 * MS, 7, MS);
	assert_int_equal(r.allowed, 8);
	answer(&r, 2 * MS, 1, MS);
	assert_int_equal(r.allowed, 16);
	answer(&r, 3 * MS, 16, MS);
	assert_int_equal(r.allowed, 32);
	answer(&r, 4 * MS, 32, MS);
	assert_int_equal(ir_ramp_limit(&r, REGULAR), REGULAR);
	answer(&r, 5 * MS, REGULAR, MS);
	assert_int_equal(r.allowed, 0);
	assert_int_equal(ir_ramp_limit(&r, REGULAR), REGULAR);
}

static void
test_slower_rounds_halve_but_not_below_start(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	answer(&r, 1 * MS, 8, 10 * MS);
	answer(&r, 2 * MS, 16, 14 * MS);
	assert_int_equal(r.allowed, 32);
	answer(&r, 3 * MS, 32, 16 * MS);
	assert_int_equal(r.allowed, 16);
	answer(&r, 4 * MS, 16, 16 * MS);
	answer(&r, 5 * MS, 8, 16 * MS);
	assert_int_equal(r.allowed, 8);
}

/* Doubling again would repeat the overload that made the limit fall. */
static void
test_rises_by_a_quarter_after_a_fall(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	answer(&r, 1 * MS, 8, MS);
	answer(&r, 2 * MS, 16, MS);
	answer(&r, 3 * MS, 32, 2 * MS);
	assert_int_equal(r.allowed, 16);
	answer(&r, 4 * MS, 16, MS);
	assert_int_equal(r.allowed, 21);
}

static void
test_failures_halve_before_the_round_ends(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	answer(&r, 1 * MS, 8, MS);
	answer(&r, 2 * MS, 16, MS);
	for (int i = 0; i < 3; i++)
		ir_ramp_run_bad(&r, 3 * MS, 3 * MS, REGULAR);
	assert_int_equal(r.allowed, 32);
	ir_ramp_run_bad(&r, 3 * MS, 3 * MS, REGULAR);
	assert_int_equal(r.allowed, 16);
}

/* One burst of failures must not lower the limit several times. */
static void
test_runs_of_earlier_rounds_do_not_count(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	answer(&r, 1 * MS, 8, MS);
	answer(&r, 2 * MS, 16, MS);
	for (int i = 0; i < 100; i++)
		ir_ramp_run_bad(&r, 3 * MS, 1 * MS, REGULAR);
	assert_int_equal(r.allowed, 32);
}

/* The last doubling must be undone like any other. */
static void
test_first_round_at_the_target_counts(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	answer(&r, 1 * MS, 8, MS);
	answer(&r, 2 * MS, 16, MS);
	answer(&r, 3 * MS, 32, MS);
	answer(&r, 4 * MS, REGULAR, 2 * MS);
	assert_int_equal(r.allowed, REGULAR / 2);
}

/* An upstream that always fails, or gets no work, must not be held back. */
static void
test_ends_after_bounded_time(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 5, REGULAR);
	for (int64_t now = 5; now < 5 + IR_RAMP_MAX_US; now += 10 * MS) {
		ir_ramp_run_bad(&r, now, now, REGULAR);
		ir_ramp_tick(&r, now, REGULAR);
		assert_int_equal(ir_ramp_limit(&r, REGULAR), REGULAR / 8);
	}
	ir_ramp_tick(&r, 5 + IR_RAMP_MAX_US, REGULAR);
	assert_int_equal(ir_ramp_limit(&r, REGULAR), REGULAR);
}

/* A limit that is not used must not be raised on answers at a lower one. */
static void
test_is_not_raised_above_what_runs(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	for (int i = 0; i < 200; i++)
		ir_ramp_run_good(&r, MS, MS, MS, 10);
	assert_int_equal(r.allowed, 16);
}

static void
test_follows_a_target_that_falls(void **state)
{
	struct ir_ramp r = {0};

	ir_ramp_begin(&r, 0, REGULAR);
	ir_ramp_tick(&r, MS, 4);
	assert_int_equal(ir_ramp_limit(&r, 4), 4);
	for (int i = 0; i < 8; i++)
		ir_ramp_run_good(&r, MS, MS, MS, 4);
	assert_int_equal(r.allowed, 0);
}

/* Simulation of a gate with an upstream, in steps of 1 ms. */

#define SLOTS 40
#define MAX_WORK 60000
#define RUN_US (20 * MS)
#define FAILED_RUN_US (100 * MS)
#define DEADLINE_US (300 * MS)
#define RATE_PER_MS 2 /* on average */
#define EVENT_US (5 * IR_US_PER_S)
#define END_US (15 * IR_US_PER_S)
#define WARM_UP_US (4 * IR_US_PER_S)
#define OUTAGE_US IR_US_PER_S

enum scenario {
	FAST,
	STARTS,
	RECOVERS
};

struct job {
	struct ir_work work;
	int64_t end_us; /* 0: not running */
	bool fails;
};

struct sim {
	enum scenario scenario;
	uint64_t random;
	int64_t now;
	struct ir_gate *gate;
	uint32_t running;
	uint32_t first; /* all jobs before it have ended */
	uint32_t count;
	uint32_t served; /* in time, after the event */
	uint32_t failed;
	uint32_t limit_before; /* the event */
	int64_t regular_us;    /* when the limit was that again; 0: not yet */
	int64_t ramp_end_us;
	int64_t longest_run_us;
	struct job jobs[MAX_WORK];
};

static bool
is_out(const struct sim *s)
{
	return s->scenario == RECOVERS && s->now >= EVENT_US - OUTAGE_US &&
	       s->now < EVENT_US;
}

/* Runs that the upstream takes at once without becoming slower. */
static uint32_t
capacity(const struct sim *s)
{
	int64_t up_us = s->now - (s->scenario == STARTS ? 0 : EVENT_US);

	if (s->scenario == FAST || up_us < 0 || up_us >= WARM_UP_US)
		return SLOTS;
	return 4 + (uint32_t)((SLOTS - 4) * up_us / WARM_UP_US);
}

static void
on_start(void *ctx, int64_t now, struct ir_work *w)
{
	struct sim *s = ctx;
	struct job *j = w->owner;
	int64_t us =
	    RUN_US * (900 + (int64_t)ir_random_below(&s->random, 200)) / 1000;

	s->running++;
	if (s->running > capacity(s))
		us = us * s->running / capacity(s);
	j->fails = is_out(s) || s->running > 2 * capacity(s);
	if (j->fails)
		us = FAILED_RUN_US;
	if (us > s->longest_run_us)
		s->longest_run_us = us;
	j->end_us = now + us;
}

static void
on_refuse(void *ctx, int64_t now, struct ir_work *w, enum ir_error kind,
    uint32_t retry_after_ms)
{
}

static const struct ir_gate_ops sim_ops = {
    .start = on_start, .refuse = on_refuse};

static void
end_job(struct sim *s, struct job *j)
{
	bool counts = s->scenario == STARTS || s->now >= EVENT_US;

	s->running--;
	j->end_us = 0;
	if (counts && j->fails)
		s->failed++;
	else if (counts && s->now <= j->work.deadline_us)
		s->served++;
	ir_gate_done(s->gate, s->now, &j->work,
	    j->fails ? IR_SAMPLE_FAILED : IR_SAMPLE_OK);
}

static void
end_jobs(struct sim *s)
{
	for (uint32_t i = s->first; i < s->count; i++) {
		struct job *j = &s->jobs[i];

		if (j->end_us > 0 && j->end_us <= s->now)
			end_job(s, j);
	}
	while (s->first < s->count &&
	       s->jobs[s->first].work.state == IR_WORK_ENDED)
		s->first++;
}

static void
offer_job(struct sim *s)
{
	struct job *j = &s->jobs[s->count++];

	assert_true(s->count <= MAX_WORK);
	j->work = (struct ir_work){.account = "a",
	    .weight = 1,
	    .deadline_us = s->now + DEADLINE_US,
	    .owner = j};
	ir_gate_offer(s->gate, s->now, &j->work);
}

static uint32_t
current_limit(const struct sim *s)
{
	return ir_gate_load(s->gate, s->now, "").limit;
}

static void
step(struct sim *s)
{
	end_jobs(s);
	for (uint64_t n = ir_random_below(&s->random, 2 * RATE_PER_MS + 1);
	     n > 0; n--)
		offer_job(s);
	ir_gate_tick(s->gate, s->now);
	if (s->regular_us == 0 && s->limit_before > 0 &&
	    current_limit(s) >= s->limit_before)
		s->regular_us = s->now;
	if (ir_gate_ramp_limit(s->gate) > 0)
		s->ramp_end_us = s->now + MS;
}

static struct sim *
simulate(enum scenario scenario, uint64_t seed, bool ramp)
{
	struct sim *s = talloc_zero(NULL, struct sim);

	s->scenario = scenario;
	s->random = seed;
	s->gate = ir_gate_new(s, &sim_ops, s, SLOTS, seed, 0);
	if (ramp)
		ir_gate_enable_ramp(s->gate);
	if (scenario == STARTS)
		ir_gate_begin_ramp(s->gate, 0);
	for (; s->now < END_US; s->now += MS) {
		if (scenario != STARTS && s->now == EVENT_US) {
			s->longest_run_us = 0;
			s->limit_before = current_limit(s);
			ir_gate_begin_ramp(s->gate, s->now);
		}
		step(s);
	}
	return s;
}

/* Prints what callers got, and returns both simulations. */
static void
compare(enum scenario scenario, uint64_t seed, struct sim **without,
    struct sim **with)
{
	*without = simulate(scenario, seed, false);
	*with = simulate(scenario, seed, true);
	print_message("scenario %d seed %d: served %u, failed %u; with ramp: "
		      "served %u, failed %u, ended at %lld ms\n",
	    scenario, (int)seed, (*without)->served, (*without)->failed,
	    (*with)->served, (*with)->failed,
	    (long long)((*with)->ramp_end_us / MS));
}

/* The ramp must not cost a fast upstream more than its longest time of work. */
static void
test_fast_upstream_reaches_its_limit_in_twelve_run_times(void **state)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		struct sim *without, *with;
		int64_t bound_us;

		compare(FAST, seed, &without, &with);
		bound_us = IR_RAMP_MAX_RUN_TIMES * with->longest_run_us;
		assert_true(with->regular_us > EVENT_US);
		assert_true(with->regular_us - EVENT_US <= bound_us);
		assert_int_equal(with->failed, 0);
		assert_true(with->served + RATE_PER_MS * bound_us / MS >=
			    without->served);
		talloc_free(without);
		talloc_free(with);
	}
}

static void
check_callers_get_no_less(enum scenario scenario)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		struct sim *without, *with;

		compare(scenario, seed, &without, &with);
		assert_true(with->failed <= without->failed);
		assert_true(with->served >= without->served);
		talloc_free(without);
		talloc_free(with);
	}
}

static void
test_starting_upstream_serves_no_less_and_fails_no_more(void **state)
{
	check_callers_get_no_less(STARTS);
}

static void
test_recovering_upstream_serves_no_less_and_fails_no_more(void **state)
{
	check_callers_get_no_less(RECOVERS);
}

static void
test_not_enabled_changes_nothing(void **state)
{
	struct sim *s = simulate(RECOVERS, 1, false);

	assert_int_equal(ir_gate_ramp_limit(s->gate), 0);
	ir_gate_begin_ramp(s->gate, s->now);
	assert_int_equal(ir_gate_ramp_limit(s->gate), 0);
	talloc_free(s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_without_begin_regular_limit_holds),
	    cmocka_unit_test(test_starts_at_a_share),
	    cmocka_unit_test(test_good_rounds_double_until_regular_limit),
	    cmocka_unit_test(test_slower_rounds_halve_but_not_below_start),
	    cmocka_unit_test(test_rises_by_a_quarter_after_a_fall),
	    cmocka_unit_test(test_failures_halve_before_the_round_ends),
	    cmocka_unit_test(test_runs_of_earlier_rounds_do_not_count),
	    cmocka_unit_test(test_first_round_at_the_target_counts),
	    cmocka_unit_test(test_ends_after_bounded_time),
	    cmocka_unit_test(test_is_not_raised_above_what_runs),
	    cmocka_unit_test(test_follows_a_target_that_falls),
	    cmocka_unit_test(
		test_fast_upstream_reaches_its_limit_in_twelve_run_times),
	    cmocka_unit_test(
		test_starting_upstream_serves_no_less_and_fails_no_more),
	    cmocka_unit_test(
		test_recovering_upstream_serves_no_less_and_fails_no_more),
	    cmocka_unit_test(test_not_enabled_changes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
