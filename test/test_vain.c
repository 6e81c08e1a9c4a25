/* Shares of routes by runs in vain, and what callers get under a deep load. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "upstream/priority.h"
#include "upstream/vain.h"

#define MS IR_US_PER_MS
#define ROUTE 7
#define OTHER 8

static uint32_t
admitted(struct ir_vain *v, int64_t now, uint64_t route)
{
	uint32_t n = 0;

	for (uint32_t rank = 0; rank <= IR_RANK_MASK; rank += 256)
		n += ir_vain_admits(v, now, route, rank, "a", 1);
	return n;
}

static int64_t
end_runs(struct ir_vain *v, int64_t now, uint32_t in_vain, uint32_t well)
{
	for (uint32_t i = 0; i < in_vain + well; i++)
		ir_vain_ended(v, now, ROUTE, i < in_vain, 100 * MS);
	return now + 300 * MS;
}

static void
test_all_is_admitted_at_first(void **state)
{
	struct ir_vain *v = ir_vain_new(NULL);
	int64_t now = 0;

	assert_int_equal(admitted(v, now, ROUTE), 256);
	for (int i = 0; i < 20; i++)
		now = end_runs(v, now, 0, 20);
	assert_int_equal(admitted(v, now, ROUTE), 256);
	/* A few failures among many are none of overload. */
	for (int i = 0; i < 20; i++)
		now = end_runs(v, now, 1, 20);
	assert_int_equal(admitted(v, now, ROUTE), 256);
	talloc_free(v);
}

static void
test_vain_runs_cut_their_route_only(void **state)
{
	struct ir_vain *v = ir_vain_new(NULL);
	int64_t now = 0;

	/* Within the two seconds that goodput may take. */
	for (int i = 0; i < 6; i++)
		now = end_runs(v, now, 10, 10);
	assert_true(ir_vain_share(v, ROUTE) < 0.3);
	/* Asked in the last window: nothing is judged meanwhile. */
	assert_in_range(admitted(v, now - 300 * MS, ROUTE), 20, 80);
	assert_int_equal(admitted(v, now, OTHER), 256);
	/* Never nothing: that would never be corrected. */
	for (int i = 0; i < 40; i++)
		now = end_runs(v, now, 20, 0);
	assert_in_range(admitted(v, now, ROUTE), 10, 15);
	talloc_free(v);
}

static void
test_share_returns(void **state)
{
	struct ir_vain *v = ir_vain_new(NULL);
	int64_t now = 0;

	for (int i = 0; i < 10; i++)
		now = end_runs(v, now, 20, 0);
	for (int i = 0; i < 12; i++)
		now = end_runs(v, now, 0, 20);
	assert_int_equal(admitted(v, now, ROUTE), 256);
	/* Also without runs, a step a second. */
	for (int i = 0; i < 10; i++)
		now = end_runs(v, now, 20, 0);
	for (int i = 0; i < 12; i++) {
		now += IR_US_PER_S;
		admitted(v, now, ROUTE);
	}
	assert_int_equal(admitted(v, now, ROUTE), 256);
	talloc_free(v);
}

/* Goodput is to be back within 2 s: six windows of 0.3 s. */
static void
test_share_is_back_in_two_seconds(void **state)
{
	struct ir_vain *v = ir_vain_new(NULL);
	int64_t now = 0, end;

	for (int i = 0; i < 10; i++)
		now = end_runs(v, now, 20, 0);
	for (end = now + 2 * IR_US_PER_S - 300 * MS; now < end;)
		now = end_runs(v, now, 0, 20);
	assert_int_equal(admitted(v, now, ROUTE), 256);
	talloc_free(v);
}

/* One decision in a run's time: what is out was started before the last. */
static void
test_windows_last_as_long_as_runs(void **state)
{
	struct ir_vain *v = ir_vain_new(NULL);

	for (int i = 0; i < 100; i++)
		ir_vain_ended(v, i * 5 * MS, ROUTE, true, 900 * MS);
	assert_true(ir_vain_share(v, ROUTE) == 1);
	for (int i = 100; i < 200; i++)
		ir_vain_ended(v, i * 5 * MS, ROUTE, true, 900 * MS);
	assert_true(ir_vain_share(v, ROUTE) >= 0.5);
	talloc_free(v);
}

/*
 * A deep load: each request runs for 400 ms and makes four calls, of which the
 * callee takes 40 in each 100 ms and refuses the others, whosever they are.
 * 30 requests come in each 100 ms, of two accounts: three times what can be
 * served. Counts those served well in the last ten of twenty seconds.
 */
#define STEPS 200
#define CALLS 4
#define COME 30
#define COME_SMALL 4
#define CALLEE 40
#define RUN_STEPS 4

struct play {
	struct ir_vain *v;
	bool with;
	uint64_t random;
	uint32_t started[2][STEPS]; /* of the large account, of the small one */
	uint32_t served[2];
};

static void
come(struct play *p, int t)
{
	static const char *const names[] = {"large", "small"};

	for (uint32_t i = 0; i < COME; i++) {
		int who = i < COME_SMALL;
		uint32_t rank = ir_random_below(&p->random, IR_RANK_MASK);

		p->started[who][t] +=
		    !p->with || ir_vain_admits(p->v, t * 100 * MS, ROUTE, rank,
				    names[who], 1);
	}
}

/* A run ends well if the callee took each of its calls. */
static void
end(struct play *p, int t, int who, double taken)
{
	bool vain = false;

	for (int k = 0; k < CALLS; k++)
		vain =
		    vain || ir_random_below(&p->random, 1000) >= taken * 1000;
	ir_vain_ended(p->v, t * 100 * MS, ROUTE, vain, 400 * MS);
	p->served[who] += !vain && t >= STEPS / 2;
}

static void
play(struct play *p, bool with)
{
	*p = (struct play){.v = ir_vain_new(NULL), .with = with, .random = 1};
	for (int t = 0; t < STEPS; t++) {
		int from = t - RUN_STEPS;
		uint32_t calls = 0;
		double taken = 1;

		come(p, t);
		if (from < 0)
			continue;
		calls = CALLS * (p->started[0][from] + p->started[1][from]);
		if (calls > CALLEE)
			taken = (double)CALLEE / calls;
		for (int who = 0; who < 2; who++)
			for (uint32_t i = 0; i < p->started[who][from]; i++)
				end(p, t, who, taken);
	}
	talloc_free(p->v);
}

static void
test_deep_load_is_served_to_its_capacity(void **state)
{
	uint32_t most = CALLEE / CALLS * STEPS / 2;
	struct play p;

	/* Without it nearly all that is started fails at one of its calls. */
	play(&p, false);
	assert_true(p.served[0] + p.served[1] < most / 10);
	play(&p, true);
	assert_true(p.served[0] + p.served[1] > most / 2);
}

/*
 * Found by bench/fleet.sh: who asked for half of all got 2.3 times as much as
 * each of the others. The small account asks for less than half of what can be
 * served: most of what it asks for is served.
 */
static void
test_small_account_is_not_cut_with_the_large_one(void **state)
{
	uint32_t asked = COME_SMALL * STEPS / 2;
	struct play p;

	play(&p, true);
	assert_true(p.served[1] > asked / 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_all_is_admitted_at_first),
	    cmocka_unit_test(test_vain_runs_cut_their_route_only),
	    cmocka_unit_test(test_share_returns),
	    cmocka_unit_test(test_share_is_back_in_two_seconds),
	    cmocka_unit_test(test_windows_last_as_long_as_runs),
	    cmocka_unit_test(test_deep_load_is_served_to_its_capacity),
	    cmocka_unit_test(test_small_account_is_not_cut_with_the_large_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
