/* Whether an upstream is better used with a few of its slots free. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "upstream/knee.h"

#define SLOTS 40
#define MOST 38
#define RUN_US (20 * IR_US_PER_MS)

/*
 * Keeps all allowed slots in use for for_us. Beyond MOST runs each takes
 * slower times as long. Returns the runs that ended.
 */
static int
press(struct ir_knee *k, int64_t *now, int64_t for_us, double slower)
{
	int64_t started_us[SLOTS];
	int64_t end_us = *now + for_us;
	int ended = 0;

	for (int i = 0; i < SLOTS; i++)
		started_us[i] = *now;
	for (; *now < end_us; *now += IR_US_PER_MS) {
		uint32_t limit = ir_knee_limit(k, SLOTS);
		double us = limit > MOST ? slower * RUN_US : RUN_US;

		for (uint32_t i = 0; i < limit; i++) {
			double age_us = (double)(*now - started_us[i]);

			if (age_us < us)
				continue;
			ir_knee_run_ended(
			    k, *now, started_us[i], age_us, limit, SLOTS);
			started_us[i] = *now;
			ended++;
		}
	}
	return ended;
}

/* After the first trial. */
static void
press_until_tried(struct ir_knee *k, int64_t *now, double slower)
{
	press(k, now, 7 * IR_US_PER_S, slower);
	assert_false(k->in_trial);
}

static void
test_slots_are_left_free_if_the_last_ones_slow_all(void **state)
{
	struct ir_knee k = {0};
	int64_t now = IR_US_PER_S;

	assert_int_equal(ir_knee_limit(&k, SLOTS), MOST);
	press_until_tried(&k, &now, 1.3);
	assert_int_equal(ir_knee_limit(&k, SLOTS), MOST);
	/* All slots would serve 40 / 1.3 runs at a time in place of 38. */
	assert_true(press(&k, &now, 5 * IR_US_PER_S, 1.3) >= 9200);
}

static void
test_all_slots_are_used_if_they_slow_nothing(void **state)
{
	struct ir_knee k = {0};
	int64_t now = IR_US_PER_S;

	press_until_tried(&k, &now, 1.0);
	assert_int_equal(ir_knee_limit(&k, SLOTS), SLOTS);
	assert_true(press(&k, &now, 4 * IR_US_PER_S, 1.0) >= 7800);
}

/* The upstream was replaced by one with a knee. */
static void
test_result_is_tried_again(void **state)
{
	struct ir_knee k = {0};
	int64_t now = IR_US_PER_S;

	press_until_tried(&k, &now, 1.0);
	press(&k, &now, 6 * IR_US_PER_S, 1.3);
	assert_int_equal(ir_knee_limit(&k, SLOTS), MOST);
}

/* Windows with all slots went on while there was too little demand to count. */
static void
test_trial_without_demand_ends(void **state)
{
	struct ir_knee k = {0};
	int64_t now = IR_US_PER_S;

	press(&k, &now, 5 * IR_US_PER_S + 50 * IR_US_PER_MS, 1.3);
	assert_true(k.in_trial);
	ir_knee_run_ended(&k, now + IR_US_PER_S, now, RUN_US, 1, SLOTS);
	assert_false(k.in_trial);
	assert_int_equal(ir_knee_limit(&k, SLOTS), MOST);
}

static void
test_few_slots_are_all_used(void **state)
{
	struct ir_knee k = {0};

	assert_int_equal(ir_knee_limit(&k, 9), 9);
	assert_int_equal(ir_knee_limit(&k, 10), 9);
}

static void
test_runs_below_the_limit_begin_no_trial(void **state)
{
	struct ir_knee k = {0};

	for (int i = 0; i < 100; i++)
		ir_knee_run_ended(
		    &k, i * IR_US_PER_S, 0, RUN_US, MOST - 1, SLOTS);
	assert_false(k.in_trial);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_slots_are_left_free_if_the_last_ones_slow_all),
	    cmocka_unit_test(test_all_slots_are_used_if_they_slow_nothing),
	    cmocka_unit_test(test_result_is_tried_again),
	    cmocka_unit_test(test_trial_without_demand_ends),
	    cmocka_unit_test(test_few_slots_are_all_used),
	    cmocka_unit_test(test_runs_below_the_limit_begin_no_trial),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
