/* An upstream that says in its answers that it leaves, in a simulated fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet_press.h"

/* The bound of the users' rule, from when a host passed on such an answer. */
#define DRAIN_US (2 * IR_US_PER_S)

#define UPSTREAMS 4
#define LEAVING 0
#define ENTRIES 4
#define CALL_PERIOD_US (20 * IR_US_PER_MS)
#define RUN_US (30 * IR_US_PER_MS)

static const struct fleet_request request = {
    "s", "read", true, NULL, false, 0, 0, NULL};

/* Four upstreams of s and four other hosts, all in one zone. */
static struct fleet *
make_fleet(uint64_t seed)
{
	struct fleet *f = fleet_create(NULL, seed);

	for (int i = 0; i < UPSTREAMS; i++) {
		int s = fleet_add_node(f, "s", "r1", "z1");

		f->nodes[s].run_duration_us = RUN_US;
		f->nodes[s].slots = 36;
		f->nodes[s].upstream_id = "first";
		fleet_publish_host(f, s, "live");
	}
	for (int i = 0; i < ENTRIES; i++)
		(void)fleet_add_node(f, "t", "r1", "z1");
	fleet_start_all(f);
	return f;
}

static void
press(struct fleet *f, int64_t for_us)
{
	fleet_press(f, UPSTREAMS, ENTRIES, CALL_PERIOD_US, for_us, &request);
}

/* When the entry first passed on an answer that says so; INT64_MAX: never. */
static int64_t
told_us(const struct fleet *f, int entry)
{
	int64_t since_us = f->nodes[LEAVING].first_leaving_us;

	for (int i = 0; i < f->run_count; i++) {
		const struct fleet_run *r = &f->runs[i];
		const struct fleet_call *c = &f->calls[r->call];

		if (r->node == LEAVING && r->caller_node == entry &&
		    r->at_us + RUN_US >= since_us && c->answers != 0 &&
		    c->answer.error == IR_OK)
			return c->answered_us;
	}
	return INT64_MAX;
}

static int
runs_after(const struct fleet *f, int entry, int64_t since_us)
{
	int count = 0;

	for (int i = 0; i < f->run_count; i++) {
		const struct fleet_run *r = &f->runs[i];

		count += r->node == LEAVING && r->caller_node == entry &&
			 f->calls[r->call].sent_us >= since_us;
	}
	return count;
}

static void
assert_gets_no_work(const struct fleet *f)
{
	int told = 0;

	for (int e = UPSTREAMS; e < UPSTREAMS + ENTRIES; e++) {
		int64_t at_us = told_us(f, e);

		if (at_us == INT64_MAX)
			continue;
		told++;
		assert_int_equal(runs_after(f, e, at_us + DRAIN_US), 0);
	}
	assert_true(told > 0);
}

static void
test_upstream_that_says_it_leaves_gets_no_work_and_others_go_on(void **state)
{
	struct fleet *f = make_fleet(1);
	int first;

	press(f, IR_US_PER_S);
	f->nodes[LEAVING].says_leaving = true;
	first = f->call_count;
	press(f, 8 * IR_US_PER_S);
	fleet_run(f, IR_US_PER_S);
	assert_gets_no_work(f);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_leaving_upstream_gets_no_work_after_restarts_of_its_gate(void **state)
{
	struct fleet *f = make_fleet(2);

	press(f, IR_US_PER_S);
	f->nodes[LEAVING].says_leaving = true;
	press(f, 3 * IR_US_PER_S);
	for (int i = 0; i < 3; i++) {
		fleet_kill(f, LEAVING);
		press(f, 100 * IR_US_PER_MS);
		fleet_start(f, LEAVING);
		press(f, 3 * IR_US_PER_S);
	}
	assert_gets_no_work(f);
	fleet_finish(f);
}

static void
test_leaving_upstream_gets_no_work_after_its_entry_came_back(void **state)
{
	struct fleet *f = make_fleet(3);

	press(f, IR_US_PER_S);
	f->nodes[LEAVING].says_leaving = true;
	press(f, 3 * IR_US_PER_S);
	fleet_publish_host(f, LEAVING, "gone");
	press(f, 2 * IR_US_PER_S);
	fleet_publish_host(f, LEAVING, "live");
	fleet_kill(f, LEAVING);
	fleet_start(f, LEAVING);
	press(f, 4 * IR_US_PER_S);
	assert_gets_no_work(f);
	fleet_finish(f);
}

static void
test_next_upstream_at_that_host_gets_work(void **state)
{
	struct fleet *f = make_fleet(4);
	int64_t since_us;
	int runs = 0;

	press(f, IR_US_PER_S);
	f->nodes[LEAVING].says_leaving = true;
	press(f, 3 * IR_US_PER_S);
	f->nodes[LEAVING].says_leaving = false;
	f->nodes[LEAVING].upstream_id = "second";
	fleet_publish_host(f, LEAVING, "live");
	since_us = f->now_us;
	press(f, 4 * IR_US_PER_S);
	for (int e = UPSTREAMS; e < UPSTREAMS + ENTRIES; e++)
		runs += runs_after(f, e, since_us);
	assert_true(runs > 20);
	fleet_finish(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_upstream_that_says_it_leaves_gets_no_work_and_others_go_on),
	    cmocka_unit_test(
		test_leaving_upstream_gets_no_work_after_restarts_of_its_gate),
	    cmocka_unit_test(
		test_leaving_upstream_gets_no_work_after_its_entry_came_back),
	    cmocka_unit_test(test_next_upstream_at_that_host_gets_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
