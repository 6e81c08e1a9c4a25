/* How many connections to an upstream are kept. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "upstream/conn_demand.h"

#define T0 (100 * IR_US_PER_S)

static void
test_keeps_the_peak_of_the_last_seconds(void **state)
{
	struct ir_conn_demand d = {0};

	ir_conn_demand_add(&d, T0, 3);
	ir_conn_demand_add(&d, T0 + 1, 5);
	ir_conn_demand_add(&d, T0 + 2, 1);
	assert_int_equal(ir_conn_demand_kept(&d, T0 + 3), 5);
	ir_conn_demand_add(&d, T0 + 5 * IR_US_PER_S, 2);
	assert_int_equal(ir_conn_demand_kept(&d, T0 + 5 * IR_US_PER_S), 5);
	ir_conn_demand_add(&d, T0 + 9 * IR_US_PER_S, 1);
	assert_int_equal(ir_conn_demand_kept(&d, T0 + 9 * IR_US_PER_S), 2);
}

static void
test_keeps_none_after_a_pause(void **state)
{
	struct ir_conn_demand d = {0};

	assert_int_equal(ir_conn_demand_kept(&d, T0), 0);
	ir_conn_demand_add(&d, T0, 3);
	assert_int_equal(ir_conn_demand_kept(&d, T0 + 8 * IR_US_PER_S), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_keeps_the_peak_of_the_last_seconds),
	    cmocka_unit_test(test_keeps_none_after_a_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
