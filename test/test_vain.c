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
		n += ir_vain_admits(v, now, route, rank);
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

	for (int i = 0; i < 4; i++)
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
 * 30 requests come in each 100 ms: three times what can be served. Returns
 * those served well in the last ten of twenty seconds.
 */
#define STEPS 200
#define CALLS 4
#define COME 30
#define CALLEE 40
#define RUN_STEPS 4

static uint32_t
play(bool with)
{
	struct ir_vain *v = ir_vain_new(NULL);
	uint32_t started[STEPS + RUN_STEPS] = {0}, served = 0;
	uint64_t random = 1;

	for (int t = 0; t < STEPS; t++) {
		int64_t now = t * 100 * MS;
		uint32_t ending = t >= RUN_STEPS ? started[t - RUN_STEPS] : 0;
		double taken = ending * CALLS <= CALLEE
				   ? 1
				   : (double)CALLEE / (ending * CALLS);

		for (uint32_t i = 0; i < COME; i++)
			started[t] += !with || ir_vain_admits(v, now, ROUTE,
						   ir_random_below(
						       &random, IR_RANK_MASK));
		for (uint32_t i = 0; i < ending; i++) {
			bool vain = false;

			for (int k = 0; k < CALLS; k++)
				vain = vain || ir_random_below(&random, 1000) >=
						   taken * 1000;
			ir_vain_ended(v, now, ROUTE, vain, 400 * MS);
			served += !vain && t >= STEPS / 2;
		}
	}
	talloc_free(v);
	return served;
}

static void
test_deep_load_is_served_to_its_capacity(void **state)
{
	uint32_t most = CALLEE / CALLS * STEPS / 2;

	/* Without it nearly all that is started fails at one of its calls. */
	assert_true(play(false) < most / 10);
	assert_true(play(true) > most / 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_all_is_admitted_at_first),
	    cmocka_unit_test(test_vain_runs_cut_their_route_only),
	    cmocka_unit_test(test_share_returns),
	    cmocka_unit_test(test_windows_last_as_long_as_runs),
	    cmocka_unit_test(test_deep_load_is_served_to_its_capacity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
