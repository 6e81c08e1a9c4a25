/* Whether an upstream refuses or breaks a good part of its runs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "upstream/bad_runs.h"

#define T0 (100 * IR_US_PER_S)

/* One run in so many is bad, of 100. */
static struct ir_bad_runs
spoil_one_in(int n)
{
	struct ir_bad_runs r = {0};

	for (int i = 0; i < 100; i++)
		ir_bad_runs_add(&r, T0 + i, i % n == 0);
	return r;
}

static void
test_half_is_frequent_and_single_ones_are_not(void **state)
{
	struct ir_bad_runs half = spoil_one_in(2), few = spoil_one_in(50);

	assert_true(ir_bad_runs_are_frequent(&half, T0 + 100));
	assert_false(ir_bad_runs_are_frequent(&few, T0 + 100));
}

static void
test_good_runs_end_it(void **state)
{
	struct ir_bad_runs r = spoil_one_in(2);

	for (int i = 0; i < 64; i++)
		ir_bad_runs_add(&r, T0 + 100, false);
	assert_false(ir_bad_runs_are_frequent(&r, T0 + 100));
}

/* An upstream without runs would never be tried again. */
static void
test_time_without_runs_ends_it(void **state)
{
	struct ir_bad_runs r = spoil_one_in(2);

	assert_false(ir_bad_runs_are_frequent(&r, T0 + 2 * IR_US_PER_S));
	ir_bad_runs_add(&r, T0 + 2 * IR_US_PER_S, true);
	assert_false(ir_bad_runs_are_frequent(&r, T0 + 2 * IR_US_PER_S));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_half_is_frequent_and_single_ones_are_not),
	    cmocka_unit_test(test_good_runs_end_it),
	    cmocka_unit_test(test_time_without_runs_ends_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
