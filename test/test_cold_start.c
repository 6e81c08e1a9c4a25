/* Whether an upstream is cold, by events and status checks. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "upstream/cold_start.h"

#define MS IR_US_PER_MS
#define T0 IR_US_PER_S
#define RATE 13000
#define RUN_US (20 * MS)

static struct ir_cold_start
make(int64_t now)
{
	struct ir_cold_start c;

	ir_cold_start_init(&c, now);
	ir_cold_start_configure(&c, now, RATE, true);
	return c;
}

static struct ir_cold_start
make_warm(int64_t now)
{
	struct ir_cold_start c = make(now);

	ir_cold_start_check_sent(&c, now);
	ir_cold_start_check_answered(&c, now, 0, true);
	assert_int_equal(ir_cold_start_state(&c), IR_COLD_WARM);
	return c;
}

/* Sends each check that is due for for_us, each of which fails. */
static int
count_failing_checks(struct ir_cold_start *c, int64_t now, int64_t for_us)
{
	int count = 0;

	for (int64_t t = now; t < now + for_us; t += MS) {
		ir_cold_start_tick(c, t, RUN_US);
		if (!ir_cold_start_check_due(c, t))
			continue;
		count++;
		ir_cold_start_check_sent(c, t);
		ir_cold_start_check_failed(c, t);
	}
	return count;
}

static void
test_start_limits_until_the_first_answer(void **state)
{
	struct ir_cold_start c = make(T0);

	assert_true(ir_cold_start_limits(&c));
	assert_true(ir_cold_start_check_due(&c, T0));
	ir_cold_start_check_sent(&c, T0);
	assert_false(ir_cold_start_check_due(&c, T0 + 300 * MS));
	ir_cold_start_check_answered(&c, T0 + 2 * MS, 0, true);
	assert_false(ir_cold_start_limits(&c));
	assert_false(ir_cold_start_check_due(&c, T0 + IR_US_PER_S));
}

static void
test_unanswered_checks_repeat_and_keep_the_limit(void **state)
{
	struct ir_cold_start c = make(T0);

	assert_int_equal(count_failing_checks(&c, T0, 10 * IR_US_PER_S), 40);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_lost_check_is_repeated(void **state)
{
	struct ir_cold_start c = make(T0);

	ir_cold_start_check_sent(&c, T0);
	ir_cold_start_tick(&c, T0 + 3 * IR_US_PER_S, RUN_US);
	assert_true(ir_cold_start_check_due(&c, T0 + 3 * IR_US_PER_S));
}

static void
test_service_without_cold_rate_is_never_checked(void **state)
{
	struct ir_cold_start c;

	ir_cold_start_init(&c, T0);
	ir_cold_start_configure(&c, T0, 0, true);
	ir_cold_start_suspect(&c, T0);
	assert_false(ir_cold_start_limits(&c));
	assert_int_equal(count_failing_checks(&c, T0, IR_US_PER_S), 0);
	ir_cold_start_configure(&c, T0, RATE, true);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_cold_is_confirmed_once_at_its_end(void **state)
{
	struct ir_cold_start c = make(T0);
	int64_t end = T0 + 3 * IR_US_PER_S;

	ir_cold_start_check_sent(&c, T0);
	ir_cold_start_check_answered(&c, T0, 3000, true);
	assert_int_equal(ir_cold_start_state(&c), IR_COLD_UNTIL);
	assert_int_equal(count_failing_checks(&c, T0, end - T0), 0);
	ir_cold_start_tick(&c, end, RUN_US);
	assert_true(ir_cold_start_limits(&c));
	assert_true(ir_cold_start_check_due(&c, end));
	ir_cold_start_check_sent(&c, end);
	ir_cold_start_check_answered(&c, end + MS, 0, true);
	assert_false(ir_cold_start_limits(&c));
}

static void
test_answer_from_before_an_event_does_not_end_the_limit(void **state)
{
	struct ir_cold_start c = make(T0);

	ir_cold_start_check_sent(&c, T0);
	ir_cold_start_suspect(&c, T0 + 5 * MS);
	ir_cold_start_check_answered(&c, T0 + 6 * MS, 0, true);
	assert_true(ir_cold_start_limits(&c));
	assert_true(ir_cold_start_check_due(&c, T0 + 250 * MS));
}

static void
test_another_upstreams_answer_counts_when_the_list_has_had_time(void **state)
{
	struct ir_cold_start c = make(T0);

	ir_cold_start_check_sent(&c, T0);
	ir_cold_start_check_answered(&c, T0, 0, false);
	assert_true(ir_cold_start_limits(&c));
	ir_cold_start_check_sent(&c, T0 + 2500 * MS);
	ir_cold_start_check_answered(&c, T0 + 2500 * MS, 0, false);
	assert_false(ir_cold_start_limits(&c));
}

static void
test_flag_of_the_list_starts_and_ends_it(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	ir_cold_start_set_listed(&c, T0 + IR_US_PER_S, true);
	assert_true(ir_cold_start_check_due(&c, T0 + IR_US_PER_S));
	assert_int_equal(
	    count_failing_checks(&c, T0 + IR_US_PER_S, 2 * IR_US_PER_S), 8);
	ir_cold_start_set_listed(&c, T0 + 3 * IR_US_PER_S, false);
	assert_false(ir_cold_start_limits(&c));
}

static void
test_flag_removed_from_before_an_event_does_not_end_it(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	ir_cold_start_set_listed(&c, T0, true);
	ir_cold_start_suspect(&c, T0 + 2 * IR_US_PER_S);
	ir_cold_start_set_listed(&c, T0 + 3 * IR_US_PER_S, false);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_check_is_newer_than_the_removed_flag(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	ir_cold_start_set_listed(&c, T0, true);
	ir_cold_start_check_sent(&c, T0);
	ir_cold_start_check_answered(&c, T0, 5000, true);
	ir_cold_start_set_listed(&c, T0 + 3 * IR_US_PER_S, false);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_refused_connection_starts_it(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	ir_cold_start_run_started(&c, T0);
	ir_cold_start_run_ended(&c, T0 + MS, T0, IR_COLD_RUN_REFUSED);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_all_connections_broke_starts_it_one_does_not(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	for (int i = 0; i < 3; i++)
		ir_cold_start_run_started(&c, T0);
	ir_cold_start_run_ended(&c, T0 + MS, T0, IR_COLD_RUN_BROKEN);
	ir_cold_start_run_ended(&c, T0 + MS, T0, IR_COLD_RUN_ANSWERED);
	ir_cold_start_run_ended(&c, T0 + MS, T0, IR_COLD_RUN_BROKEN);
	assert_true(ir_cold_start_limits(&c));
	c = make_warm(T0);
	for (int i = 0; i < 3; i++)
		ir_cold_start_run_started(&c, T0);
	ir_cold_start_run_ended(&c, T0 + MS, T0, IR_COLD_RUN_BROKEN);
	/* Run of the upstream's next process. */
	ir_cold_start_run_started(&c, T0 + 2 * MS);
	ir_cold_start_run_ended(
	    &c, T0 + 3 * MS, T0 + 2 * MS, IR_COLD_RUN_ANSWERED);
	ir_cold_start_run_ended(&c, T0 + 4 * MS, T0, IR_COLD_RUN_BROKEN);
	assert_false(ir_cold_start_limits(&c));
	ir_cold_start_run_ended(&c, T0 + 4 * MS, T0, IR_COLD_RUN_BROKEN);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_silence_starts_it_slow_runs_do_not(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	ir_cold_start_run_started(&c, T0);
	ir_cold_start_tick(&c, T0 + 999 * MS, RUN_US);
	assert_false(ir_cold_start_limits(&c));
	ir_cold_start_tick(&c, T0 + 1500 * MS, 500 * MS);
	assert_false(ir_cold_start_limits(&c));
	ir_cold_start_tick(&c, T0 + 1500 * MS, RUN_US);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_silence_of_cancelled_runs_starts_it(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	for (int i = 0; i < 3; i++) {
		ir_cold_start_run_started(&c, T0 + i * MS);
		ir_cold_start_run_ended(
		    &c, T0 + 300 * MS, T0 + i * MS, IR_COLD_RUN_DROPPED);
	}
	ir_cold_start_tick(&c, T0 + 1001 * MS, RUN_US);
	assert_true(ir_cold_start_limits(&c));
}

static void
test_no_checks_while_runs_are_answered(void **state)
{
	struct ir_cold_start c = make_warm(T0);

	for (int i = 0; i < 10000; i++) {
		int64_t t = T0 + i * 2 * MS;

		ir_cold_start_run_started(&c, t);
		if (i >= 50)
			ir_cold_start_run_ended(
			    &c, t, t - 100 * MS, IR_COLD_RUN_ANSWERED);
		ir_cold_start_tick(&c, t, RUN_US);
		assert_false(ir_cold_start_check_due(&c, t));
	}
}

static void
test_upstream_without_check_path_ends_by_time(void **state)
{
	struct ir_cold_start c = make(T0);

	ir_cold_start_configure(&c, T0, RATE, false);
	assert_int_equal(count_failing_checks(&c, T0, 4 * IR_US_PER_S), 0);
	assert_true(ir_cold_start_limits(&c));
	ir_cold_start_tick(&c, T0 + 5 * IR_US_PER_S, RUN_US);
	assert_false(ir_cold_start_limits(&c));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_start_limits_until_the_first_answer),
	    cmocka_unit_test(test_unanswered_checks_repeat_and_keep_the_limit),
	    cmocka_unit_test(test_lost_check_is_repeated),
	    cmocka_unit_test(test_service_without_cold_rate_is_never_checked),
	    cmocka_unit_test(test_cold_is_confirmed_once_at_its_end),
	    cmocka_unit_test(
		test_answer_from_before_an_event_does_not_end_the_limit),
	    cmocka_unit_test(
		test_another_upstreams_answer_counts_when_the_list_has_had_time),
	    cmocka_unit_test(test_flag_of_the_list_starts_and_ends_it),
	    cmocka_unit_test(
		test_flag_removed_from_before_an_event_does_not_end_it),
	    cmocka_unit_test(test_check_is_newer_than_the_removed_flag),
	    cmocka_unit_test(test_refused_connection_starts_it),
	    cmocka_unit_test(test_all_connections_broke_starts_it_one_does_not),
	    cmocka_unit_test(test_silence_starts_it_slow_runs_do_not),
	    cmocka_unit_test(test_silence_of_cancelled_runs_starts_it),
	    cmocka_unit_test(test_no_checks_while_runs_are_answered),
	    cmocka_unit_test(test_upstream_without_check_path_ends_by_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
