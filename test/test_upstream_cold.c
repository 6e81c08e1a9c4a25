/* Cold upstreams in a simulated fleet, under more load than they take. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet_press.h"
#include "upstream/ramp.h"

/* The bound of the users' rule: 13 a second, times 1.5, and 8 more. */
#define COLD_RATE 13
#define ALLOWED_RUNS 27
#define CHECK_US (3 * IR_US_PER_MS)
#define COLD_US (3 * IR_US_PER_S)

#define UPSTREAMS 4
#define ENTRIES 4
#define SLOTS 36
#define RUN_US (30 * IR_US_PER_MS)
#define RATE_PER_S 100000

static const struct fleet_request read_request = {
    "s", "read", true, NULL, false, 0, 0, NULL};
static const struct fleet_request important_request = {
    "s", "write", true, NULL, false, 0, 0, NULL};

static struct fleet *
make_fleet_with(uint64_t seed, bool ramp)
{
	static const char *const regions[] = {"r1", "r1", "r2", "r2"};
	static const char *const zones[] = {"z1", "z2", "z3", "z4"};
	struct fleet *f = fleet_create(NULL, seed);

	f->cold_rate_per_s = COLD_RATE;
	f->check_us = CHECK_US;
	f->ramp = ramp;
	for (int i = 0; i < UPSTREAMS; i++) {
		int s = fleet_add_node(f, "s", regions[i], zones[i]);

		f->nodes[s].run_duration_us = RUN_US;
		f->nodes[s].slots = SLOTS;
		fleet_publish_host(f, s, "live");
	}
	for (int i = 0; i < ENTRIES; i++)
		(void)fleet_add_node(f, "t", regions[i], zones[i]);
	fleet_start_all(f);
	fleet_publish_account(f, RATE_PER_S, RATE_PER_S, true);
	fleet_run(f, IR_US_PER_S);
	return f;
}

static struct fleet *
make_fleet(uint64_t seed)
{
	return make_fleet_with(seed, false);
}

/* 400 requests a second, as many at each entry. */
static void
press(struct fleet *f, int64_t for_us)
{
	int64_t end_us = f->now_us + for_us;

	while (f->now_us < end_us) {
		for (int i = 0; i < ENTRIES; i++)
			(void)fleet_call(f, UPSTREAMS + i, &read_request);
		fleet_run(f, FLEET_TICK_US);
	}
}

/* The upstream is cold from now on, and listed so. */
static void
make_cold(struct fleet *f, int node)
{
	f->nodes[node].cold_until_us = f->now_us + COLD_US;
	f->nodes[node].listed_cold = true;
	fleet_publish_host(f, node, "live");
}

/* The first upstream gets the whole load. */
static void
leave_only_first(struct fleet *f)
{
	for (int i = 1; i < UPSTREAMS; i++)
		fleet_publish_host(f, i, "leaving");
	fleet_run(f, 2 * IR_US_PER_S);
}

static int
runs_between(const struct fleet *f, int node, int64_t from_us, int64_t to_us)
{
	int count = 0;

	for (int i = 0; i < f->run_count; i++)
		count += f->runs[i].node == node &&
			 f->runs[i].at_us > from_us &&
			 f->runs[i].at_us <= to_us;
	return count;
}

/* Each run from from_us on is within the bound of the second before it. */
static void
assert_bound_kept(
    const struct fleet *f, int node, int64_t from_us, int64_t to_us)
{
	for (int i = 0; i < f->run_count; i++) {
		int64_t at_us = f->runs[i].at_us;
		int n;

		if (f->runs[i].node != node || at_us < from_us || at_us > to_us)
			continue;
		n = runs_between(f, node, at_us - IR_US_PER_S, at_us);
		if (n > ALLOWED_RUNS)
			fail_msg("%d runs in a second", n);
	}
}

static void
test_warm_upstreams_are_checked_once(void **state)
{
	struct fleet *f = make_fleet(1);

	press(f, 5 * IR_US_PER_S);
	for (int i = 0; i < UPSTREAMS; i++)
		assert_int_equal(f->nodes[i].checks, 1);
	for (int i = 0; i < ENTRIES; i++)
		assert_int_equal(f->nodes[UPSTREAMS + i].checks, 0);
	assert_int_equal(fleet_count_failed(f, 0), 0);
	fleet_finish(f);
}

/* Dropped connections were taken for a restart, and the rate was kept. */
static void
test_upstream_that_drops_connections_is_not_taken_for_cold(void **state)
{
	struct fleet *f = make_fleet(10);

	press(f, IR_US_PER_S);
	for (int i = 0; i < UPSTREAMS; i++)
		f->nodes[i].upstream_mode = UPSTREAM_DROPS_CONNECTIONS;
	press(f, IR_US_PER_S);
	for (int i = 0; i < UPSTREAMS; i++) {
		assert_int_equal(f->nodes[i].checks, 1);
		assert_false(local_upstream_is_cold(f->nodes[i].node));
	}
	fleet_finish(f);
}

static void
test_cold_upstream_is_spared_and_others_take_its_load(void **state)
{
	struct fleet *f = make_fleet(2);
	int64_t learned_us;
	int first;

	press(f, 2 * IR_US_PER_S);
	make_cold(f, 0);
	learned_us = f->now_us + IR_US_PER_S;
	f->nodes[0].cold_until_us = learned_us + COLD_US;
	fleet_run(f, IR_US_PER_S);
	first = f->call_count;
	press(f, COLD_US);
	assert_bound_kept(f, 0, learned_us, f->now_us);
	assert_int_equal(f->nodes[0].crashes, 0);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_switch_to_cold_counts_runs_just_started(void **state)
{
	struct fleet *f = make_fleet(3);
	int64_t switched_us;

	leave_only_first(f);
	press(f, 2 * IR_US_PER_S);
	assert_true(runs_between(f, 0, f->now_us - IR_US_PER_S, f->now_us) >
		    4 * ALLOWED_RUNS);
	/* Found by a broken connection, at once. */
	f->nodes[0].upstream_mode = UPSTREAM_BREAKS_CONNECTION;
	press(f, 100 * IR_US_PER_MS);
	f->nodes[0].upstream_mode = UPSTREAM_OK;
	f->nodes[0].cold_until_us = f->now_us + COLD_US;
	switched_us = f->now_us;
	press(f, 2 * IR_US_PER_S);
	assert_bound_kept(f, 0, switched_us, f->now_us);
	assert_int_equal(f->nodes[0].crashes, 0);
	talloc_free(f);
}

static void
test_gate_that_restarts_assumes_a_cold_upstream(void **state)
{
	struct fleet *f = make_fleet(4);
	int64_t from_us;

	f->check_us = 200 * IR_US_PER_MS;
	make_cold(f, 0);
	f->nodes[0].cold_until_us = f->now_us + 60 * IR_US_PER_S;
	fleet_run(f, 2 * IR_US_PER_S);
	from_us = f->now_us;
	leave_only_first(f);
	for (int i = 0; i < 6; i++) {
		fleet_kill(f, 0);
		press(f, 50 * IR_US_PER_MS);
		fleet_start(f, 0);
		press(f, 3 * IR_US_PER_S);
	}
	assert_true(runs_between(f, 0, from_us, f->now_us) > COLD_RATE);
	assert_bound_kept(f, 0, from_us, f->now_us);
	assert_int_equal(f->nodes[0].crashes, 0);
	talloc_free(f);
}

static void
test_unanswered_status_check_keeps_the_bound(void **state)
{
	struct fleet *f = make_fleet(5);
	int64_t from_us;
	int checks, first;

	make_cold(f, 0);
	f->nodes[0].checks_fail = true;
	fleet_run(f, 2 * IR_US_PER_S);
	from_us = f->now_us;
	checks = f->nodes[0].checks;
	first = f->call_count;
	press(f, 4 * IR_US_PER_S);
	assert_bound_kept(f, 0, from_us, f->now_us);
	assert_in_range(f->nodes[0].checks - checks, 8, 16);
	assert_int_equal(fleet_count_failed(f, first), 0);
	fleet_finish(f);
}

static void
test_silent_upstream_that_comes_back_cold_is_spared(void **state)
{
	struct fleet *f = make_fleet(6);
	int64_t from_us;

	press(f, 2 * IR_US_PER_S);
	f->nodes[0].upstream_mode = UPSTREAM_HANGS;
	press(f, 4 * IR_US_PER_S);
	f->nodes[0].upstream_mode = UPSTREAM_OK;
	f->nodes[0].cold_until_us = f->now_us + COLD_US;
	from_us = f->now_us;
	press(f, COLD_US);
	assert_bound_kept(f, 0, from_us, f->now_us);
	assert_int_equal(f->nodes[0].crashes, 0);
	talloc_free(f);
}

static void
test_all_cold_serve_the_important_first(void **state)
{
	struct fleet *f = make_fleet(7);
	int first, important = 0, served = 0, refused = 0;

	for (int i = 0; i < UPSTREAMS; i++) {
		make_cold(f, i);
		f->nodes[i].cold_until_us = f->now_us + 20 * IR_US_PER_S;
	}
	fleet_run(f, 2 * IR_US_PER_S);
	first = f->call_count;
	for (int i = 0; i < 1000; i++) {
		const struct fleet_request *r =
		    i % 10 == 0 ? &important_request : &read_request;

		(void)fleet_call(f, UPSTREAMS + i % ENTRIES, r);
		fleet_run(f, FLEET_TICK_US);
	}
	fleet_run(f, 6 * IR_US_PER_S);
	for (int i = first; i < f->call_count; i++) {
		const struct ir_answer *a = &f->calls[i].answer;

		if ((i - first) % 10 == 0)
			important += a->error == IR_OK;
		served += a->error == IR_OK;
		refused += a->error != IR_OK && a->retry_after_ms > 0;
	}
	assert_int_equal(served + refused, 1000);
	assert_true(served >= 4 * COLD_RATE * 10 * 8 / 10);
	assert_in_range(important, 98, 100);
	for (int i = 0; i < UPSTREAMS; i++) {
		assert_bound_kept(
		    f, i, f->now_us - 10 * IR_US_PER_S, f->now_us);
		assert_int_equal(f->nodes[i].crashes, 0);
	}
	talloc_free(f);
}

static void
test_end_of_cold_leaves_no_gap(void **state)
{
	struct fleet *f = make_fleet(8);
	int64_t end_us;

	for (int i = 0; i < UPSTREAMS; i++)
		make_cold(f, i);
	fleet_run(f, IR_US_PER_S);
	end_us = f->nodes[0].cold_until_us;
	press(f, end_us + 500 * IR_US_PER_MS - f->now_us);
	for (int i = 0; i < UPSTREAMS; i++)
		assert_true(runs_between(f, i, end_us + 50 * IR_US_PER_MS,
				f->now_us) >= 2 * COLD_RATE / 2);
	fleet_finish(f);
}

/* The full load at the end of the cold period, unless the setting is absent. */
static void
test_end_of_cold_begins_the_ramp_if_set(void **state)
{
	for (int ramp = 0; ramp <= 1; ramp++) {
		struct fleet *f = make_fleet_with(9, ramp != 0);
		const struct ir_gate *gate = f->nodes[0].node->gate;
		bool seen = false;

		fleet_run(f, IR_RAMP_MAX_US);
		assert_int_equal(ir_gate_ramp_limit(gate), 0);
		make_cold(f, 0);
		for (int i = 0; i < 500; i++) {
			fleet_run(f, 10 * IR_US_PER_MS);
			seen = seen || ir_gate_ramp_limit(gate) > 0;
		}
		assert_int_equal(seen, ramp != 0);
		fleet_run(f, IR_RAMP_MAX_US);
		assert_int_equal(ir_gate_ramp_limit(gate), 0);
		talloc_free(f);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_warm_upstreams_are_checked_once),
	    cmocka_unit_test(
		test_upstream_that_drops_connections_is_not_taken_for_cold),
	    cmocka_unit_test(
		test_cold_upstream_is_spared_and_others_take_its_load),
	    cmocka_unit_test(test_switch_to_cold_counts_runs_just_started),
	    cmocka_unit_test(test_gate_that_restarts_assumes_a_cold_upstream),
	    cmocka_unit_test(test_unanswered_status_check_keeps_the_bound),
	    cmocka_unit_test(
		test_silent_upstream_that_comes_back_cold_is_spared),
	    cmocka_unit_test(test_all_cold_serve_the_important_first),
	    cmocka_unit_test(test_end_of_cold_leaves_no_gap),
	    cmocka_unit_test(test_end_of_cold_begins_the_ramp_if_set),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
