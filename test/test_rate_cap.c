/* The spacing of runs to the rate that an upstream names. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "upstream/rate_cap.h"

#define STEP_US IR_US_PER_MS

/* Starts as many runs as are allowed in for_us. */
static int
start_runs(struct ir_rate_cap *c, int64_t *now, int64_t for_us)
{
	int64_t end_us = *now + for_us;
	int count = 0;

	for (; *now < end_us; *now += STEP_US) {
		while (ir_rate_cap_wait_us(c, *now, 1) == 0) {
			ir_rate_cap_take(c, *now);
			count++;
		}
	}
	return count;
}

static void
test_no_cap_never_waits(void **state)
{
	struct ir_rate_cap c = {0};

	assert_int_equal(ir_rate_cap_wait_us(&c, 5, 1000), 0);
	ir_rate_cap_set(&c, 5, 1000);
	assert_true(ir_rate_cap_wait_us(&c, 5, 1) > 0);
	ir_rate_cap_clear(&c);
	assert_int_equal(ir_rate_cap_wait_us(&c, 5, 1000), 0);
}

static void
test_rate_is_kept_and_used(void **state)
{
	static const uint64_t rates_mt[] = {500, 1000, 4200, 40000, 400000};

	for (size_t i = 0; i < sizeof(rates_mt) / sizeof(rates_mt[0]); i++) {
		struct ir_rate_cap c = {0};
		int64_t now = IR_US_PER_S;
		int expected = (int)(rates_mt[i] * 20 / 1000);
		int burst = (int)(rates_mt[i] / 4000);
		int runs;

		ir_rate_cap_set(&c, now, rates_mt[i]);
		runs = start_runs(&c, &now, 20 * IR_US_PER_S);
		assert_in_range(runs, expected * 9 / 10, expected + burst + 1);
	}
}

static void
test_a_pause_saves_no_more_than_the_burst(void **state)
{
	struct ir_rate_cap c = {0};
	int64_t now = 0;

	ir_rate_cap_set(&c, now, 40000);
	now += 60 * IR_US_PER_S;
	assert_in_range(start_runs(&c, &now, STEP_US), 1, 11);
}

static void
test_rate_of_0_leaves_a_run_every_two_seconds(void **state)
{
	struct ir_rate_cap c = {0};
	int64_t now = 0;

	ir_rate_cap_set(&c, now, 0);
	assert_in_range(start_runs(&c, &now, 20 * IR_US_PER_S), 9, 10);
}

static void
test_lower_and_higher_rates_take_effect_at_once(void **state)
{
	struct ir_rate_cap c = {0};
	int64_t now = 0;

	ir_rate_cap_set(&c, now, 0);
	ir_rate_cap_set(&c, now, 100000);
	assert_true(start_runs(&c, &now, IR_US_PER_S) > 80);
	ir_rate_cap_set(&c, now, 1000);
	assert_in_range(start_runs(&c, &now, 10 * IR_US_PER_S), 9, 11);
}

static void
test_wait_grows_with_what_is_ahead(void **state)
{
	struct ir_rate_cap c = {0};

	ir_rate_cap_set(&c, 0, 2000);
	assert_int_equal(ir_rate_cap_wait_us(&c, 0, 0), 0);
	assert_int_equal(ir_rate_cap_wait_us(&c, 0, 1), IR_US_PER_S / 2);
	assert_int_equal(ir_rate_cap_wait_us(&c, 0, 3), 3 * IR_US_PER_S / 2);
}

/* Runs just before the cap is set must count in the second after it. */
static void
test_hold_counts_runs_of_the_last_second(void **state)
{
	for (int before = 0; before <= 40; before += 5) {
		struct ir_rate_cap c = {0};
		int64_t now = 7 * IR_US_PER_S;
		int runs;

		for (int i = 0; i < before; i++)
			ir_rate_cap_take(&c, now);
		ir_rate_cap_set(&c, now, 13000);
		ir_rate_cap_hold(&c, now);
		runs = start_runs(&c, &now, IR_US_PER_S);
		if (before <= 13)
			assert_in_range(before + runs, 12, 18);
		else
			assert_in_range(runs, 0, 1);
	}
}

static void
test_hold_forgets_older_runs(void **state)
{
	struct ir_rate_cap c = {0};
	int64_t now = 7 * IR_US_PER_S;

	for (int i = 0; i < 100; i++)
		ir_rate_cap_take(&c, now);
	now += IR_US_PER_S + 60 * IR_US_PER_MS;
	ir_rate_cap_set(&c, now, 13000);
	ir_rate_cap_hold(&c, now);
	assert_int_equal(ir_rate_cap_wait_us(&c, now, 1), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_cap_never_waits),
	    cmocka_unit_test(test_rate_is_kept_and_used),
	    cmocka_unit_test(test_a_pause_saves_no_more_than_the_burst),
	    cmocka_unit_test(test_rate_of_0_leaves_a_run_every_two_seconds),
	    cmocka_unit_test(test_lower_and_higher_rates_take_effect_at_once),
	    cmocka_unit_test(test_wait_grows_with_what_is_ahead),
	    cmocka_unit_test(test_hold_counts_runs_of_the_last_second),
	    cmocka_unit_test(test_hold_forgets_older_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
