/* The expected completion time, and balancers that choose by it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "support/placement_sim.h"
#include "zone/completion_time.h"

#define MS IR_US_PER_MS

static struct ir_host_estimate
host(uint32_t present, uint32_t service_us, int64_t age_us)
{
	return (struct ir_host_estimate){.reported = true,
	    .age_us = age_us,
	    .limit = 10,
	    .present = present,
	    .speed_known = true,
	    .service_time_us = service_us};
}

static double
time_of(struct ir_host_estimate h, double network_us)
{
	struct ir_host_estimate usual = host(5, 20 * MS, 0);
	struct ir_service_estimate s = {0};

	ir_service_estimate_add(&s, &usual);
	return ir_completion_time_us(&h, &s, network_us);
}

static void
test_time_grows_with_queue_service_time_and_distance(void **state)
{
	double idle = time_of(host(0, 20 * MS, 0), 400);

	assert_true(idle >= 20 * MS + 400);
	assert_true(time_of(host(9, 20 * MS, 0), 400) > idle);
	assert_true(time_of(host(20, 20 * MS, 0), 400) >
		    time_of(host(9, 20 * MS, 0), 400) + 20 * MS);
	assert_true(time_of(host(0, 50 * MS, 0), 400) > idle + 29 * MS);
	assert_true(time_of(host(0, 20 * MS, 0), 2500) > idle + 2 * MS);
}

static void
test_own_requests_since_the_report_count(void **state)
{
	struct ir_host_estimate h = host(9, 20 * MS, 0);
	struct ir_service_estimate none = {0};
	double before = time_of(h, 0);

	h.sent_since = 5;
	assert_true(time_of(h, 0) > before);
	h = (struct ir_host_estimate){.limit = 10, .in_flight = 7};
	assert_float_equal(ir_expected_requests(&h, &none), 7, 0);
}

static void
test_old_reports_move_towards_the_mean(void **state)
{
	double fresh = time_of(host(5, 50 * MS, 0), 0);
	double old = time_of(host(5, 50 * MS, 500 * MS), 0);
	double unknown = time_of((struct ir_host_estimate){.limit = 10}, 0);

	assert_true(old < fresh);
	assert_true(old > unknown);
	assert_float_equal(
	    time_of(host(30, 50 * MS, 1000 * MS), 0), unknown, 0.001);
	assert_float_equal(time_of(host(5, 20 * MS, 0), 0), unknown, 0.001);
}

static struct placement_options
options(bool report_speed, double load)
{
	return (struct placement_options){.seed = 1,
	    .report_speed = report_speed,
	    .load = load,
	    .swing = 0.55,
	    .run_us = 18 * IR_US_PER_S,
	    .nonsense_host = -1,
	    .slow_phases = true};
}

static double
share(const struct placement_result *r)
{
	return (double)r->in_time / (double)r->offered;
}

static struct placement_result
play(const char *name, const struct placement_options *o)
{
	struct placement_result r = placement_simulate(o);

	print_message(
	    "%s, load %.2f, %s: in time %.4f, worst second %.3f, "
	    "p99 %.1f ms, refused %.4f, spilled %.3f, most work %.2f, "
	    "longest queue %.1f ms, "
	    "slowest host %.2f of its capacity, fastest %.2f\n",
	    name, o->load, o->report_speed ? "by time" : "previous rule",
	    share(&r), r.worst_second, (double)r.p99_us / MS,
	    (double)r.refused / (double)r.offered, r.spilled, r.most_work,
	    r.most_wait_us / MS, (double)r.served[0] / r.capacity[0],
	    (double)r.served[PLACEMENT_HOSTS - 1] /
		r.capacity[PLACEMENT_HOSTS - 1]);
	return r;
}

/* More in time and a lower 99th percentile than by the previous rule. */
static void
assert_better(const char *name, struct placement_options o)
{
	struct placement_result before, after;

	o.report_speed = false;
	before = play(name, &o);
	o.report_speed = true;
	after = play(name, &o);
	assert_true(share(&after) > share(&before));
	assert_true(after.p99_us < before.p99_us);
}

static void
test_slow_phases_and_swinging_zone_are_served_better(void **state)
{
	for (uint64_t seed = 1; seed <= 2; seed++) {
		struct placement_options o = options(true, 0.6);

		o.seed = seed;
		assert_better("swing", o);
		o.load = 0.7;
		assert_better("swing", o);
	}
}

static void
test_hosts_that_slow_down_when_full_are_not_filled(void **state)
{
	struct placement_options o = options(true, 0.7);

	o.slow_when_full = true;
	assert_better("slow when full", o);
}

static void
test_senders_with_the_same_reports_do_not_herd(void **state)
{
	struct placement_options o = options(true, 0.6);
	struct placement_result r;

	o.swing = 0;
	o.slow_phases = false;
	r = play("steady", &o);
	/* No queue alone makes requests miss the target. */
	assert_true(r.most_wait_us < PLACEMENT_TARGET_US);
	assert_true(r.p99_us < PLACEMENT_TARGET_US);
	assert_int_equal(r.refused, 0);
}

static void
test_slow_hosts_are_used_for_what_they_can_do(void **state)
{
	struct placement_options o = options(true, 1.1);
	struct placement_result r;

	o.swing = 0;
	o.slow_phases = false;
	o.run_us = 6 * IR_US_PER_S;
	r = play("overload", &o);
	/* Of 16 slots 15 are used. */
	for (int i = 0; i < PLACEMENT_HOSTS; i++)
		assert_true(r.served[i] >= 0.95 * 15 / 16 * r.capacity[i]);
}

static void
test_after_reports_stop_hosts_are_chosen_as_before(void **state)
{
	struct placement_options o = options(false, 0.6);
	struct placement_result before = play("reports stop", &o), after;

	o.report_speed = true;
	o.stop_from_us = 4 * IR_US_PER_S;
	after = play("reports stop", &o);
	assert_true(share(&after) > share(&before) - 0.01);
}

static void
test_nonsense_of_one_host_costs_at_most_that_host(void **state)
{
	struct placement_options o = options(false, 0.6);
	struct placement_result before = play("nonsense", &o), after;

	o.report_speed = true;
	o.nonsense_host = 7;
	after = play("nonsense", &o);
	assert_true(share(&after) > share(&before) - 1.0 / PLACEMENT_HOSTS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_time_grows_with_queue_service_time_and_distance),
	    cmocka_unit_test(test_own_requests_since_the_report_count),
	    cmocka_unit_test(test_old_reports_move_towards_the_mean),
	    cmocka_unit_test(
		test_slow_phases_and_swinging_zone_are_served_better),
	    cmocka_unit_test(
		test_hosts_that_slow_down_when_full_are_not_filled),
	    cmocka_unit_test(test_senders_with_the_same_reports_do_not_herd),
	    cmocka_unit_test(test_slow_hosts_are_used_for_what_they_can_do),
	    cmocka_unit_test(
		test_after_reports_stop_hosts_are_chosen_as_before),
	    cmocka_unit_test(test_nonsense_of_one_host_costs_at_most_that_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
