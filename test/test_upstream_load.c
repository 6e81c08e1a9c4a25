/* Upstreams that report their speed, in a simulated fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet_press.h"

static const struct fleet_request request = {
    "s", "read", true, NULL, false, 0, 0, NULL};

/* The upstream of s calls t; one entry is on a host of t. */
static struct fleet *
make_fleet(void)
{
	struct fleet *f = fleet_create(NULL, 1);
	int s = fleet_add_node(f, "s", "r1", "z1");
	int t = fleet_add_node(f, "t", "r1", "z1");

	f->nodes[s].callee_service = "t";
	f->nodes[s].slots = 36;
	fleet_publish_host(f, s, "live");
	fleet_publish_host(f, t, "live");
	fleet_start_all(f);
	return f;
}

static struct ir_load
press(struct fleet *f, int node)
{
	fleet_press(f, 1, 1, 20 * IR_US_PER_MS, IR_US_PER_S / 2, &request);
	return node_load(f->nodes[node].node, f->now_us, "");
}

static void
test_report_of_a_callee_is_not_taken_for_the_own_upstreams(void **state)
{
	struct fleet *f = make_fleet();
	struct ir_load l;

	f->nodes[1].load_report = "1,0,4,250";
	l = press(f, 0);
	assert_false(ir_load_speed_known(&l));
	assert_int_equal(l.limit, 36);
	l = press(f, 1);
	assert_true(ir_load_speed_known(&l));
	assert_true(l.limit <= 4);
	fleet_finish(f);
}

static void
test_reports_that_stop_or_turn_to_nonsense_end_their_use(void **state)
{
	struct fleet *f = make_fleet();
	struct ir_load l;

	f->nodes[0].load_report = "1,0,20,250";
	l = press(f, 0);
	assert_true(ir_load_speed_known(&l));
	assert_int_equal(l.limit, 19);
	f->nodes[0].load_report = "1,0,0,250";
	(void)press(f, 0);
	(void)press(f, 0);
	l = press(f, 0);
	assert_false(ir_load_speed_known(&l));
	assert_int_equal(l.limit, 36);
	assert_true(ir_node_counter(
			f->nodes[0].node, IR_COUNTER_LOAD_REPORTS_REFUSED) > 0);
	f->nodes[0].load_report = "1,0,20,100";
	l = press(f, 0);
	assert_true(ir_load_speed_known(&l));
	fleet_finish(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_report_of_a_callee_is_not_taken_for_the_own_upstreams),
	    cmocka_unit_test(
		test_reports_that_stop_or_turn_to_nonsense_end_their_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
