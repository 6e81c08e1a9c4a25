/* Evacuated zones: changes between views, and a simulated fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet_press.h"
#include "zone/evacuation.h"

#define UPSTREAMS 6 /* in z1 and z2 in turn */
#define ENTRIES 4
#define CALL_PERIOD_US (20 * IR_US_PER_MS)
#define RUN_US (30 * IR_US_PER_MS)
/* evacuation_ms, and outer_ms while the store is unstable. */
#define BOUND_US (5 * IR_US_PER_S)
#define UNSTABLE_BOUND_US (10 * IR_US_PER_S)

static const struct fleet_request request = {
    "s", "read", true, NULL, false, 0, 0, NULL};

static struct fleet *
make_fleet(uint64_t seed)
{
	struct fleet *f = fleet_create(NULL, seed);

	for (int i = 0; i < UPSTREAMS + ENTRIES; i++) {
		int h = fleet_add_node(f, i < UPSTREAMS ? "s" : "t", "r1",
		    i % 2 == 0 ? "z1" : "z2");

		f->nodes[h].run_duration_us = RUN_US;
		f->nodes[h].slots = 36;
		fleet_publish_host(f, h, "live");
	}
	fleet_start_all(f);
	return f;
}

static void
press(struct fleet *f, int64_t for_us)
{
	fleet_press(f, UPSTREAMS, ENTRIES, CALL_PERIOD_US, for_us, &request);
}

static int
runs_in_zone(const struct fleet *f, const char *zone, int64_t since_us)
{
	int count = 0;

	for (int i = 0; i < f->run_count; i++)
		count += f->runs[i].at_us >= since_us &&
			 strcmp(f->nodes[f->runs[i].node].zone, zone) == 0;
	return count;
}

static bool
is_refused_as_not_run(const struct fleet_call *c)
{
	const struct ir_error_info *e = ir_error_info(c->answer.error);

	return c->answers == 1 && e->outcome == IR_OUTCOME_NOT_RUN &&
	       e->http_status == 503 && c->answer.retry_after_ms > 0;
}

static void
test_changes_are_the_differences_of_two_lists(void **state)
{
	static const char *const before[] = {"z1", "z2", "z4"};
	static const char *const after[] = {"z2", "z3"};
	struct ir_evacuation_change c[5];

	assert_int_equal(ir_evacuation_changes(before, 3, after, 2, c), 3);
	assert_string_equal(c[0].zone, "z1");
	assert_false(c[0].began);
	assert_string_equal(c[1].zone, "z3");
	assert_true(c[1].began);
	assert_string_equal(c[2].zone, "z4");
	assert_false(c[2].began);
	assert_int_equal(ir_evacuation_changes(before, 3, before, 3, c), 0);
	assert_int_equal(ir_evacuation_changes(NULL, 0, after, 2, c), 2);
	assert_int_equal(ir_evacuation_changes(after, 2, NULL, 0, c), 2);
}

static void
test_zone_gets_no_work_and_its_callers_are_served(void **state)
{
	struct fleet *f = make_fleet(1);
	int first = f->call_count;
	int64_t at_us;

	press(f, IR_US_PER_S);
	assert_true(runs_in_zone(f, "z1", 0) > 0);
	at_us = f->now_us;
	fleet_evacuate(f, "z1", true);
	press(f, BOUND_US + 2 * IR_US_PER_S);
	assert_int_equal(runs_in_zone(f, "z1", at_us + BOUND_US), 0);
	at_us = f->now_us;
	fleet_evacuate(f, "z1", false);
	press(f, 3 * IR_US_PER_S);
	assert_true(runs_in_zone(f, "z1", at_us) > 0);
	fleet_run(f, IR_US_PER_S);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_calls_of_a_run_in_the_zone_are_served_elsewhere(void **state)
{
	struct fleet *f = make_fleet(2);
	int first = f->call_count;

	for (int i = 0; i < UPSTREAMS; i++) {
		f->nodes[i].callee_service = "t";
		f->nodes[i].run_duration_us = 3 * IR_US_PER_S;
	}
	press(f, 100 * IR_US_PER_MS);
	fleet_evacuate(f, "z1", true);
	fleet_run(f, 5 * IR_US_PER_S);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_service_in_evacuated_zones_only_is_refused_as_not_run(void **state)
{
	struct fleet *f = make_fleet(3);
	int first;

	fleet_evacuate(f, "z1", true);
	fleet_evacuate(f, "z2", true);
	fleet_run(f, BOUND_US);
	first = f->call_count;
	press(f, IR_US_PER_S);
	fleet_run(f, IR_US_PER_S);
	for (int i = first; i < f->call_count; i++)
		assert_true(is_refused_as_not_run(&f->calls[i]));
	fleet_finish(f);
}

/* Fails when the queue is kept until a slot is free. */
static void
test_queued_work_is_refused_while_runs_go_on(void **state)
{
	struct fleet *f = make_fleet(4);
	struct ir_node *gate = f->nodes[0].node;
	struct ir_load before, after;

	for (int i = 1; i < UPSTREAMS; i++)
		fleet_kill(f, i);
	f->nodes[0].slots = 1;
	fleet_publish_host(f, 0, "live");
	fleet_run(f, 2 * IR_US_PER_S);
	f->nodes[0].run_duration_us = 3 * IR_US_PER_S;
	for (int i = 0; i < 4; i++)
		(void)fleet_call(f, UPSTREAMS, &request);
	fleet_run(f, 20 * IR_US_PER_MS);
	before = node_load(gate, f->now_us, "");
	assert_true(before.queued > 0);
	fleet_evacuate(f, "z1", true);
	fleet_run(f, 1500 * IR_US_PER_MS);
	after = node_load(gate, f->now_us, "");
	assert_int_equal(after.queued, 0);
	assert_int_equal(after.running, before.running);
	assert_true(ir_node_counter(gate, IR_COUNTER_EVACUATION_REFUSED) >=
		    before.queued);
	fleet_finish(f);
}

/* Drops the views that are sent to the first entry. */
static void
drop_views(struct fleet *f, const struct fleet_step_event *ev)
{
	f->next_drop = ev->step == STEP_SENT && ev->kind == IR_MSG_VIEW &&
		       ev->peer == UPSTREAMS;
}

/* Fails when only the entry's view decides: the gate must refuse as well. */
static void
test_gate_refuses_work_of_an_entry_with_an_older_view(void **state)
{
	struct fleet *f = make_fleet(5);
	struct ir_node *entry = f->nodes[UPSTREAMS].node;
	uint64_t refused = 0;
	int first;

	/* The entry goes on serving with its last view. */
	f->tolerant = true;
	fleet_publish_defaults(f);
	fleet_run(f, 2 * IR_US_PER_S);
	f->store_cut[UPSTREAMS] = true;
	f->hook = drop_views;
	fleet_evacuate(f, "z1", true);
	fleet_run(f, BOUND_US);
	first = f->call_count;
	fleet_press(f, UPSTREAMS, 1, CALL_PERIOD_US, 3 * IR_US_PER_S, &request);
	fleet_run(f, IR_US_PER_S);
	assert_false(ir_view_zone_is_evacuated(node_view(entry), "z1"));
	for (int i = 0; i < UPSTREAMS; i++)
		refused += ir_node_counter(
		    f->nodes[i].node, IR_COUNTER_EVACUATION_REFUSED);
	assert_true(refused > 0);
	assert_int_equal(runs_in_zone(f, "z1", f->calls[first].sent_us), 0);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_host_that_starts_during_the_evacuation_takes_no_work(void **state)
{
	struct fleet *f = make_fleet(6);
	int64_t at_us = f->now_us;

	fleet_kill(f, 0);
	fleet_kill(f, UPSTREAMS);
	fleet_evacuate(f, "z1", true);
	press(f, BOUND_US);
	fleet_start(f, 0);
	fleet_start(f, UPSTREAMS);
	press(f, 4 * IR_US_PER_S);
	assert_int_equal(runs_in_zone(f, "z1", at_us + BOUND_US), 0);
	assert_true(evacuation_is_here(f->nodes[0].node));
	fleet_finish(f);
}

static void
test_evacuation_stays_while_the_store_is_lost_and_restored(void **state)
{
	struct fleet *f = make_fleet(7);
	int64_t at_us = f->now_us;

	fleet_evacuate(f, "z1", true);
	press(f, BOUND_US);
	fleet_set_store_down(f, true);
	press(f, 4 * IR_US_PER_S);
	fleet_set_store_down(f, false);
	/* The copy is older than the evacuation. */
	fleet_restore_store(f, 10 * IR_US_PER_S);
	press(f, UNSTABLE_BOUND_US);
	assert_int_equal(runs_in_zone(f, "z1", at_us + BOUND_US), 0);
	fleet_evacuate(f, "z1", false);
	at_us = f->now_us;
	press(f, UNSTABLE_BOUND_US);
	assert_true(runs_in_zone(f, "z1", at_us) > 0);
	fleet_finish(f);
}

static void
test_last_of_several_quick_changes_holds_everywhere(void **state)
{
	struct fleet *f = make_fleet(8);

	for (int i = 0; i < 9; i++) {
		fleet_evacuate(f, "z1", i % 2 == 0);
		fleet_run(f, (i * 170 % 500) * IR_US_PER_MS);
	}
	fleet_run(f, 4 * IR_US_PER_S);
	for (int i = 0; i < f->node_count; i++)
		assert_true(ir_view_zone_is_evacuated(
		    node_view(f->nodes[i].node), "z1"));
	fleet_finish(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_changes_are_the_differences_of_two_lists),
	    cmocka_unit_test(test_zone_gets_no_work_and_its_callers_are_served),
	    cmocka_unit_test(
		test_calls_of_a_run_in_the_zone_are_served_elsewhere),
	    cmocka_unit_test(
		test_service_in_evacuated_zones_only_is_refused_as_not_run),
	    cmocka_unit_test(test_queued_work_is_refused_while_runs_go_on),
	    cmocka_unit_test(
		test_gate_refuses_work_of_an_entry_with_an_older_view),
	    cmocka_unit_test(
		test_host_that_starts_during_the_evacuation_takes_no_work),
	    cmocka_unit_test(
		test_evacuation_stays_while_the_store_is_lost_and_restored),
	    cmocka_unit_test(
		test_last_of_several_quick_changes_holds_everywhere),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
