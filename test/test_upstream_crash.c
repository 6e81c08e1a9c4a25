/* A request that ends each upstream that runs it, in a simulated fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet_press.h"

/*
 * The bound of the users' rule: runs of the request later than SETTLE_US after
 * it has ended the third upstream.
 */
#define SETTLE_US (3 * IR_US_PER_S)
#define ENDS_BEFORE 3
#define ALLOWED_RUNS 3

#define UPSTREAMS 6
#define ENTRIES 4
#define CALL_PERIOD_US (20 * IR_US_PER_MS)
#define CALLS_PER_DEADLY 10
#define RUN_US (30 * IR_US_PER_MS)

static const struct fleet_request ordinary = {
    "s", "read", true, NULL, false, 0, 0, NULL};
static const struct fleet_request deadly_read = {
    "s", "read", true, NULL, false, 0, 0, fleet_deadly};
static const struct fleet_request deadly_write = {
    "s", "write", true, NULL, false, 0, 0, fleet_deadly};
static const struct fleet_request popular = {
    "s", "read", true, NULL, false, 0, 0, "popular"};

/* Upstreams of s and other hosts, in two regions in turn. */
static struct fleet *
make_fleet(uint64_t seed)
{
	static const char *const regions[] = {"r1", "r2"};
	static const char *const zones[] = {"z1", "z2"};
	struct fleet *f = fleet_create(NULL, seed);

	for (int i = 0; i < UPSTREAMS + ENTRIES; i++) {
		int n = fleet_add_node(
		    f, i < UPSTREAMS ? "s" : "t", regions[i % 2], zones[i % 2]);

		f->nodes[n].run_duration_us = RUN_US;
		f->nodes[n].slots = 36;
		fleet_publish_host(f, n, "live");
	}
	fleet_start_all(f);
	return f;
}

/* Calls at the entries in turn; each CALLS_PER_DEADLY-th one is the deadly. */
static void
press(struct fleet *f, int64_t for_us, const struct fleet_request *often,
    const struct fleet_request *deadly)
{
	int64_t end_us = f->now_us + for_us;

	for (int i = 0; f->now_us < end_us; i++) {
		int entry = UPSTREAMS + i % ENTRIES;

		(void)fleet_call(f, entry,
		    deadly != NULL && i % CALLS_PER_DEADLY == 0 ? deadly
								: often);
		fleet_run(f, CALL_PERIOD_US);
	}
}

static int
count_crashes(const struct fleet *f)
{
	int count = 0;

	for (int i = 0; i < UPSTREAMS; i++)
		count += f->nodes[i].crashes;
	return count;
}

/* Presses until the third upstream has ended, or 20 s, and SETTLE_US more. */
static void
press_until_settled(struct fleet *f, const struct fleet_request *often,
    const struct fleet_request *deadly)
{
	for (int i = 0; i < 100 && count_crashes(f) < ENDS_BEFORE; i++)
		press(f, 10 * CALL_PERIOD_US, often, deadly);
	assert_true(count_crashes(f) > 0);
	press(f, SETTLE_US, often, deadly);
}

static void
assert_request_is_stopped(uint64_t seed, const struct fleet_request *deadly)
{
	struct fleet *f = make_fleet(seed);
	int settled, first;

	press_until_settled(f, &ordinary, deadly);
	settled = count_crashes(f);
	press(f, 20 * IR_US_PER_S, &ordinary, deadly);
	assert_true(count_crashes(f) - settled <= ALLOWED_RUNS);
	fleet_run(f, 4 * IR_US_PER_S);
	first = f->call_count;
	press(f, 2 * IR_US_PER_S, &ordinary, NULL);
	fleet_run(f, IR_US_PER_S);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_deadly_read_is_stopped_at_all_hosts(void **state)
{
	assert_request_is_stopped(1, &deadly_read);
}

static void
test_deadly_write_is_stopped_at_all_hosts(void **state)
{
	assert_request_is_stopped(2, &deadly_write);
}

static void
test_deadly_request_stays_stopped_after_restarts_of_all_gates(void **state)
{
	struct fleet *f = make_fleet(3);
	int settled;

	press_until_settled(f, &ordinary, &deadly_read);
	settled = count_crashes(f);
	for (int i = 0; i < 2 * UPSTREAMS; i++) {
		fleet_kill(f, i % UPSTREAMS);
		press(f, 200 * IR_US_PER_MS, &ordinary, &deadly_read);
		fleet_start(f, i % UPSTREAMS);
		press(f, 4 * IR_US_PER_S, &ordinary, &deadly_read);
	}
	assert_true(count_crashes(f) - settled <= ALLOWED_RUNS);
	fleet_finish(f);
}

/* Ordinary requests that were not served, though no upstream ran them. */
static int
count_not_run(const struct fleet *f, int from_call)
{
	int count = 0;

	for (int i = from_call; i < f->call_count; i++) {
		const struct fleet_call *c = &f->calls[i];

		count += c->runs == 0 && c->answer.error != IR_OK &&
			 c->answer.error != IR_E_CRASHES_UPSTREAM;
	}
	return count;
}

static void
test_others_go_on_while_upstreams_are_down(void **state)
{
	struct fleet *f = make_fleet(6);
	int first = f->call_count;

	press_until_settled(f, &ordinary, &deadly_read);
	press(f, 4 * IR_US_PER_S, &ordinary, &deadly_read);
	fleet_run(f, IR_US_PER_S);
	assert_in_range(count_crashes(f), 1, ENDS_BEFORE);
	assert_int_equal(count_not_run(f, first), 0);
	fleet_finish(f);
}

static void
cut_regions(struct fleet *f, bool cut)
{
	for (int a = 0; a < f->node_count; a += 2) {
		for (int b = 1; b < f->node_count; b += 2)
			fleet_set_cut(f, a, b, cut);
	}
}

static void
test_deadly_request_is_stopped_in_a_cut_between_regions(void **state)
{
	struct fleet *f = make_fleet(4);
	int settled;

	cut_regions(f, true);
	press(f, 2 * IR_US_PER_S, &ordinary, NULL);
	press_until_settled(f, &ordinary, &deadly_read);
	settled = count_crashes(f);
	press(f, 8 * IR_US_PER_S, &ordinary, &deadly_read);
	cut_regions(f, false);
	press(f, 8 * IR_US_PER_S, &ordinary, &deadly_read);
	assert_true(count_crashes(f) - settled <= ALLOWED_RUNS);
	talloc_free(f);
}

/* Each upstream runs the popular request when the deadly one ends one. */
static void
crash_beside_popular(struct fleet *f)
{
	for (int i = 0; i < 8 * UPSTREAMS; i++)
		(void)fleet_call(f, UPSTREAMS + i % ENTRIES, &popular);
	fleet_run(f, 2 * CALL_PERIOD_US);
	(void)fleet_call(f, UPSTREAMS, &deadly_read);
	fleet_run(f, IR_US_PER_S);
	press(f, SETTLE_US, &popular, NULL);
}

static void
test_popular_request_beside_a_deadly_one_is_served(void **state)
{
	struct fleet *f = make_fleet(5);
	int first;

	for (int i = 0; i < UPSTREAMS; i++)
		f->nodes[i].run_duration_us = 10 * RUN_US;
	for (int i = 0; i < ENDS_BEFORE; i++)
		crash_beside_popular(f);
	assert_true(count_crashes(f) >= IR_SUSPECT_CRASHES);
	first = f->call_count;
	press(f, 4 * IR_US_PER_S, &popular, NULL);
	fleet_run(f, IR_US_PER_S);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static int
runs_at(const struct fleet *f, int node)
{
	int count = 0;

	for (int i = 0; i < f->run_count; i++)
		count += f->runs[i].node == node;
	return count;
}

/* One run each 200 ms, as at an upstream that ended. */
#define TRIALS_PER_S 5

static void
test_upstream_that_refuses_as_another_one_does_not_attract_requests(
    void **state)
{
	struct fleet *f = make_fleet(7);
	int first, before;

	press(f, 2 * IR_US_PER_S, &ordinary, NULL);
	f->nodes[0].upstream_mode = UPSTREAM_IS_ANOTHER;
	press(f, IR_US_PER_S, &ordinary, NULL);
	before = runs_at(f, 0);
	first = f->call_count;
	press(f, 4 * IR_US_PER_S, &ordinary, NULL);
	fleet_run(f, IR_US_PER_S);
	assert_in_range(runs_at(f, 0) - before, 0, 4 * TRIALS_PER_S + 1);
	assert_int_equal(fleet_count_failed(f, first), 0);
	f->nodes[0].upstream_mode = UPSTREAM_OK;
	press(f, IR_US_PER_S, &ordinary, NULL);
	before = runs_at(f, 0);
	press(f, 4 * IR_US_PER_S, &ordinary, NULL);
	assert_true(runs_at(f, 0) - before > 4 * TRIALS_PER_S);
	fleet_finish(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_deadly_read_is_stopped_at_all_hosts),
	    cmocka_unit_test(test_deadly_write_is_stopped_at_all_hosts),
	    cmocka_unit_test(
		test_deadly_request_stays_stopped_after_restarts_of_all_gates),
	    cmocka_unit_test(
		test_deadly_request_is_stopped_in_a_cut_between_regions),
	    cmocka_unit_test(test_others_go_on_while_upstreams_are_down),
	    cmocka_unit_test(
		test_popular_request_beside_a_deadly_one_is_served),
	    cmocka_unit_test(
		test_upstream_that_refuses_as_another_one_does_not_attract_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
