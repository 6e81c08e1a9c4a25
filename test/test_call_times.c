/* How long calls take, and whether they can end before the host stops. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "host/call_times.h"
#include "ibisrail/limits.h"

#define T0 (1000 * IR_US_PER_S)
#define S IR_US_PER_S
#define MS IR_US_PER_MS
#define ROUTE UINT64_C(17)

static void
test_longest_call_of_two_windows_is_kept(void **state)
{
	struct ir_call_times t = {0};

	assert_int_equal(ir_call_times_longest_us(&t, T0, ROUTE), 0);
	ir_call_times_add(&t, T0, ROUTE, 300 * MS);
	ir_call_times_add(&t, T0 + 2 * S, ROUTE, 200 * MS);
	assert_int_equal(
	    ir_call_times_longest_us(&t, T0 + 9 * S, ROUTE), 300 * MS);
	ir_call_times_add(&t, T0 + 11 * S, ROUTE, 100 * MS);
	assert_int_equal(
	    ir_call_times_longest_us(&t, T0 + 19 * S, ROUTE), 300 * MS);
	assert_int_equal(
	    ir_call_times_longest_us(&t, T0 + 21 * S, ROUTE), 100 * MS);
	assert_int_equal(ir_call_times_longest_us(&t, T0 + 40 * S, ROUTE), 0);
}

static void
test_routes_of_one_place_share_the_longest_call(void **state)
{
	struct ir_call_times t = {0};

	ir_call_times_add(&t, T0, ROUTE, 300 * MS);
	ir_call_times_add(&t, T0, ROUTE + IR_CALL_TIMES_PLACES, 900 * MS);
	assert_int_equal(ir_call_times_longest_us(&t, T0, ROUTE), 900 * MS);
	assert_int_equal(ir_call_times_longest_us(&t, T0, ROUTE + 1), 0);
}

static void
test_call_can_end_by_its_deadline_or_as_others_do(void **state)
{
	/* Its deadline comes before the end. */
	assert_true(ir_call_can_end(T0, T0 + 3 * S, T0 + 3 * S, 0));
	/* Later, and nothing is known of the route. */
	assert_false(ir_call_can_end(T0, T0 + 3 * S, T0 + 3 * S + 1, 0));
	/* The longest call, and a quarter of it, fit. */
	assert_true(ir_call_can_end(T0, T0 + 3 * S, T0 + 6 * S, 2400 * MS));
	assert_false(
	    ir_call_can_end(T0, T0 + 3 * S, T0 + 6 * S, 2400 * MS + 4));
	/* The end has passed. */
	assert_false(ir_call_can_end(T0, T0 - S, T0 + S, MS));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_longest_call_of_two_windows_is_kept),
	    cmocka_unit_test(test_routes_of_one_place_share_the_longest_call),
	    cmocka_unit_test(test_call_can_end_by_its_deadline_or_as_others_do),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
