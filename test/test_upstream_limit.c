/* An upstream that names a rate limit in its answers, in a simulated fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet_press.h"

/* The bound of the users' rule, from SETTLE_US after the limit was named. */
#define SETTLE_US (3 * IR_US_PER_S)
#define WINDOW_US (4 * IR_US_PER_S)
#define ALLOWED_FACTOR 1.5
#define ALLOWED_REQUESTS 5

#define UPSTREAMS 4
#define LIMITED 0
#define ENTRIES 4
#define SLOTS 36
#define CALL_PERIOD_US (20 * IR_US_PER_MS)
#define RUN_US (30 * IR_US_PER_MS)

static const struct fleet_request request = {
    "s", "read", true, NULL, false, 0, 0, NULL};

/* Four upstreams of s, each in a zone of its own, and four other hosts. */
static struct fleet *
make_fleet(uint64_t seed)
{
	static const char *const regions[] = {"r1", "r1", "r2", "r2"};
	static const char *const zones[] = {"z1", "z2", "z3", "z4"};
	struct fleet *f = fleet_create(NULL, seed);

	for (int i = 0; i < UPSTREAMS; i++) {
		int s = fleet_add_node(f, "s", regions[i], zones[i]);

		f->nodes[s].run_duration_us = RUN_US;
		f->nodes[s].slots = SLOTS;
		fleet_publish_host(f, s, "live");
	}
	for (int i = 0; i < ENTRIES; i++)
		(void)fleet_add_node(f, "t", regions[i], zones[i]);
	fleet_start_all(f);
	return f;
}

/* Calls at the entries in turn, where they are alive. */
static void
press(struct fleet *f, int64_t for_us)
{
	fleet_press(f, UPSTREAMS, ENTRIES, CALL_PERIOD_US, for_us, &request);
}

/* Calls at one entry, the one in the zone of the limited upstream. */
static void
press_near(struct fleet *f, int64_t for_us)
{
	fleet_press(f, UPSTREAMS, 1, CALL_PERIOD_US, for_us, &request);
}

/* Requests from other hosts that the node's upstream got in the window. */
static int
runs_in_window(const struct fleet *f, int node, int64_t from_us)
{
	int count = 0;

	for (int i = 0; i < f->run_count; i++) {
		const struct fleet_run *r = &f->runs[i];

		count += r->node == node && r->caller_node != node &&
			 r->at_us >= from_us && r->at_us < from_us + WINDOW_US;
	}
	return count;
}

static void
assert_limit_kept(const struct fleet *f, int node, double rate_per_s)
{
	const double seconds = (double)WINDOW_US / IR_US_PER_S;
	int allowed =
	    (int)(ALLOWED_FACTOR * rate_per_s * seconds + ALLOWED_REQUESTS);
	int64_t from_us = f->nodes[node].first_limit_us + SETTLE_US;

	assert_true(f->nodes[node].first_limit_us > 0);
	for (; from_us + WINDOW_US <= f->now_us; from_us += CALL_PERIOD_US) {
		int n = runs_in_window(f, node, from_us);

		if (n > allowed)
			fail_msg("%d runs in a window, %d allowed", n, allowed);
	}
}

static void
test_named_limit_binds_all_hosts_and_others_go_on(void **state)
{
	struct fleet *f = make_fleet(1);
	int first;

	press(f, 2 * IR_US_PER_S);
	f->nodes[LIMITED].rate_limit = "4.2";
	first = f->call_count;
	press(f, 12 * IR_US_PER_S);
	fleet_run(f, IR_US_PER_S);
	assert_limit_kept(f, LIMITED, 4.2);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_named_limit_outlasts_restarts_of_its_gate(void **state)
{
	struct fleet *f = make_fleet(2);

	press_near(f, 2 * IR_US_PER_S);
	f->nodes[LIMITED].rate_limit = "0.5";
	press_near(f, 2 * IR_US_PER_S);
	f->nodes[LIMITED].run_duration_us = 400 * IR_US_PER_MS;
	for (int i = 0; i < 8; i++) {
		fleet_kill(f, LIMITED);
		press_near(f, 100 * IR_US_PER_MS);
		fleet_start(f, LIMITED);
		press_near(f, 1100 * IR_US_PER_MS);
	}
	assert_limit_kept(f, LIMITED, 0.5);
	fleet_finish(f);
}

static void
test_named_limit_holds_in_a_cut_between_regions(void **state)
{
	struct fleet *f = make_fleet(3);

	f->nodes[LIMITED].rate_limit = "4.2";
	press(f, 2 * IR_US_PER_S);
	for (int a = 0; a < f->node_count; a++) {
		for (int b = 0; b < f->node_count; b++) {
			if (a % 4 < 2 && b % 4 >= 2)
				fleet_set_cut(f, a, b, true);
		}
	}
	press(f, 10 * IR_US_PER_S);
	assert_limit_kept(f, LIMITED, 4.2);
	talloc_free(f);
}

static void
test_limit_that_is_named_no_more_ends(void **state)
{
	struct fleet *f = make_fleet(4);
	int64_t lifted_us;

	f->nodes[LIMITED].rate_limit = "0";
	press(f, 10 * IR_US_PER_S);
	assert_limit_kept(f, LIMITED, 0);
	f->nodes[LIMITED].rate_limit = NULL;
	lifted_us = f->now_us + 4 * IR_US_PER_S;
	press(f, 8 * IR_US_PER_S);
	assert_true(runs_in_window(f, LIMITED, lifted_us) > 20);
	fleet_finish(f);
}

static void
test_service_whose_upstreams_all_name_a_limit_serves_what_they_take(
    void **state)
{
	struct fleet *f = make_fleet(5);
	int first, served;

	for (int i = 0; i < UPSTREAMS; i++)
		f->nodes[i].rate_limit = "5";
	press(f, 2 * IR_US_PER_S);
	first = f->call_count;
	press(f, 10 * IR_US_PER_S);
	fleet_run(f, IR_US_PER_S);
	for (int i = 0; i < UPSTREAMS; i++)
		assert_limit_kept(f, i, 5);
	served = f->call_count - first - fleet_count_failed(f, first);
	assert_true(served >= 0.9 * UPSTREAMS * 5 * 10);
	fleet_finish(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_named_limit_binds_all_hosts_and_others_go_on),
	    cmocka_unit_test(test_named_limit_outlasts_restarts_of_its_gate),
	    cmocka_unit_test(test_named_limit_holds_in_a_cut_between_regions),
	    cmocka_unit_test(test_limit_that_is_named_no_more_ends),
	    cmocka_unit_test(
		test_service_whose_upstreams_all_name_a_limit_serves_what_they_take),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
