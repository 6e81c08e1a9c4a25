/* The load balancer, on a fleet of two regions with two zones each. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "upstream/priority.h"
#include "zone/balancer.h"

#define MS IR_US_PER_MS
#define PER_ZONE 3
#define HOSTS (4 * PER_ZONE)
#define ACCOUNTS 1000

struct fixture {
	struct ir_host hosts[HOSTS];
	struct ir_host *pointers[HOSTS];
	struct ir_zone zones[4];
	struct ir_service service;
	struct ir_account account;
	struct ir_view view;
	struct ir_balancer *balancer;
	struct ir_pick_criteria criteria;
	int64_t now;
	uint32_t retry_after_ms;
	int picked[HOSTS];
	int shed;
};

static const char *const region[] = {"r0", "r0", "r1", "r1"};
static const char *const zone[] = {"z0", "z1", "z2", "z3"};

static int
setup(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	for (int i = 0; i < HOSTS; i++) {
		struct ir_host *h = &f->hosts[i];

		f->pointers[i] = h;
		h->name = talloc_asprintf(f, "h%02d", i);
		h->service = "s";
		h->region = region[i / PER_ZONE];
		h->zone = zone[i / PER_ZONE];
		h->upstream_id = "";
	}
	for (int i = 0; i < 4; i++) {
		f->zones[i] = (struct ir_zone){.name = zone[i],
		    .region = region[i],
		    .hosts = &f->pointers[i * PER_ZONE],
		    .host_count = PER_ZONE};
	}
	f->service = (struct ir_service){.name = "s",
	    .slots = 10,
	    .hosts = f->pointers,
	    .host_count = HOSTS};
	f->account.name = "a";
	f->view = (struct ir_view){.link_bytes_per_s = 6000,
	    .services = &f->service,
	    .service_count = 1,
	    .accounts = &f->account,
	    .account_count = 1,
	    .hosts = f->hosts,
	    .host_count = HOSTS,
	    .zones = f->zones,
	    .zone_count = 4};
	f->criteria = (struct ir_pick_criteria){.service = "s",
	    .account = "a",
	    .priority = ir_priority(1, false, 5),
	    .request_bytes = 100};
	f->balancer = ir_balancer_new(f, 1);
	f->now = IR_US_PER_S;
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

/*
 * Picks n times with the first host as self; counts the picks by host and
 * those that shed. Returns the last result.
 */
static enum ir_pick_result
pick(struct fixture *f, int n)
{
	enum ir_pick_result result = IR_PICK_NO_HOST;

	memset(f->picked, 0, sizeof(f->picked));
	f->shed = 0;
	while (n-- > 0) {
		const struct ir_host *h;

		result = ir_balancer_pick(f->balancer, f->now, &f->view,
		    &f->hosts[0], &f->criteria, &h, &f->retry_after_ms);
		if (result == IR_PICK_OK) {
			f->picked[h - f->hosts]++;
			ir_balancer_host_tried(f->balancer, f->now, h->name);
		} else {
			assert_null(h);
		}
		f->shed += result == IR_PICK_SHED;
	}
	return result;
}

static int
picked_in_zone(const struct fixture *f, int z)
{
	int n = 0;

	for (int i = 0; i < PER_ZONE; i++)
		n += f->picked[z * PER_ZONE + i];
	return n;
}

static void
report(struct fixture *f, int host, uint32_t running, uint32_t shed_level,
    uint32_t account_level)
{
	struct ir_load load = {.limit = 10,
	    .running = running,
	    .shed_level = shed_level,
	    .account_shed_level = account_level};

	ir_balancer_request_sent(
	    f->balancer, f->now, f->hosts[host].name, false, 0);
	ir_balancer_request_done(
	    f->balancer, f->now, f->hosts[host].name, "a", &load, MS);
}

static void
report_zone(struct fixture *f, int z, uint32_t running, uint32_t level)
{
	for (int i = 0; i < PER_ZONE; i++)
		report(f, z * PER_ZONE + i, running, level, level);
}

static void
test_prefers_the_same_zone(void **state)
{
	struct fixture *f = *state;

	pick(f, 300);
	assert_int_equal(picked_in_zone(f, 0), 300);
	for (int i = 0; i < PER_ZONE; i++)
		assert_true(f->picked[i] > 50);
}

static void
test_hosts_of_evacuated_zones_are_never_picked(void **state)
{
	struct fixture *f = *state;

	for (int i = 0; i < PER_ZONE; i++)
		f->hosts[i].evacuated = true;
	report_zone(f, 1, 10, 0);
	pick(f, 300);
	assert_int_equal(picked_in_zone(f, 0), 0);
	assert_int_equal(f->shed, 0);
	for (int i = 0; i < HOSTS; i++)
		f->hosts[i].evacuated = true;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
	for (int i = 0; i < PER_ZONE; i++)
		f->hosts[i].evacuated = false;
	pick(f, 300);
	assert_int_equal(picked_in_zone(f, 0), 300);
}

static void
test_saturated_zone_overflows(void **state)
{
	struct fixture *f = *state;

	report_zone(f, 0, 10, 0);
	pick(f, 100);
	assert_int_equal(picked_in_zone(f, 1), 100);
	report_zone(f, 1, 10, 0);
	pick(f, 100);
	assert_int_equal(picked_in_zone(f, 2) + picked_in_zone(f, 3), 100);
	/* All zones are saturated: the nearest one is used. */
	report_zone(f, 2, 10, 0);
	report_zone(f, 3, 10, 0);
	pick(f, 100);
	assert_int_equal(picked_in_zone(f, 0), 100);
}

static void
test_less_loaded_host_is_picked(void **state)
{
	struct fixture *f = *state;

	report(f, 0, 9, 0, 0);
	report(f, 1, 1, 0, 0);
	report(f, 2, 9, 0, 0);
	pick(f, 300);
	assert_true(f->picked[1] > 150);
	assert_true(f->picked[1] < 250);
	/* A load report expires; the node's own requests in flight do not. */
	f->now += 2 * IR_US_PER_S;
	ir_balancer_request_sent(f->balancer, f->now, "h01", false, 0);
	pick(f, 300);
	assert_true(f->picked[1] < 50);
	ir_balancer_request_done(f->balancer, f->now, "h01", "a", NULL, 0);
	pick(f, 300);
	assert_true(f->picked[1] > 50);
}

static void
test_own_requests_count_once(void **state)
{
	struct fixture *f = *state;

	/* Seven in flight, which the report includes, then two more. */
	for (int i = 0; i < 7; i++)
		ir_balancer_request_sent(f->balancer, f->now, "h00", false, 0);
	report(f, 0, 7, 0, 0);
	report(f, 1, 10, 0, 0);
	report(f, 2, 10, 0, 0);
	ir_balancer_request_sent(f->balancer, f->now, "h00", false, 0);
	ir_balancer_request_sent(f->balancer, f->now, "h00", false, 0);
	pick(f, 10);
	assert_int_equal(f->picked[0], 10);
	ir_balancer_request_sent(f->balancer, f->now, "h00", false, 0);
	pick(f, 10);
	assert_int_equal(picked_in_zone(f, 1), 10);
	/* Those in flight may not have arrived when the host reported none. */
	report(f, 0, 0, 0, 0);
	pick(f, 10);
	assert_int_equal(picked_in_zone(f, 1), 10);
}

static void
test_leaving_hosts_are_never_picked(void **state)
{
	struct fixture *f = *state;
	struct ir_load load = {.limit = 10, .leaving = true};

	f->hosts[0].leaving = true;
	ir_balancer_load_reported(f->balancer, f->now, "h01", &load);
	f->now += 10 * IR_US_PER_S;
	pick(f, 100);
	assert_int_equal(f->picked[2], 100);
	for (int i = 0; i < HOSTS; i++)
		f->hosts[i].leaving = true;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
}

static void
test_excluded_hosts_are_skipped(void **state)
{
	struct fixture *f = *state;
	const char *tried[HOSTS];

	for (int i = 0; i < HOSTS; i++)
		tried[i] = f->hosts[i].name;
	f->criteria.excluded_hosts = tried;
	f->criteria.excluded_count = 2;
	pick(f, 100);
	assert_int_equal(f->picked[2], 100);
	f->criteria.excluded_count = HOSTS;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
}

static void
test_unreachable_hosts_back_off(void **state)
{
	struct fixture *f = *state;

	f->service.host_count = 1;
	ir_balancer_set_reachable(f->balancer, f->now, "h00", false);
	assert_int_equal(pick(f, 100), IR_PICK_NO_HOST);
	f->now += 199 * MS;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
	/* One request is sent; the others wait for the next attempt. */
	f->now += MS;
	pick(f, 100);
	assert_int_equal(f->picked[0], 1);
	ir_balancer_set_reachable(f->balancer, f->now, "h00", false);
	f->now += 399 * MS;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
	for (int i = 0; i < 10; i++)
		ir_balancer_set_reachable(f->balancer, f->now, "h00", false);
	f->now += 2 * IR_US_PER_S;
	assert_int_equal(pick(f, 1), IR_PICK_OK);
	ir_balancer_set_reachable(f->balancer, f->now, "h00", true);
	pick(f, 100);
	assert_int_equal(f->picked[0], 100);
}

static void
test_shed_zone_overflows_then_refuses(void **state)
{
	struct fixture *f = *state;
	uint32_t level = ir_priority(1, false, 6);

	report_zone(f, 0, 5, level);
	pick(f, 320);
	assert_true(picked_in_zone(f, 1) > 280);
	assert_true(picked_in_zone(f, 0) > 0); /* probes */
	for (int z = 1; z < 4; z++)
		report_zone(f, z, 5, level);
	pick(f, 3200);
	assert_true(f->shed > 3000);
	assert_true(f->shed < 3200);
	f->criteria.priority = level;
	pick(f, 320);
	assert_int_equal(picked_in_zone(f, 0), 320);
	/* Expired shed levels are ignored. */
	f->criteria.priority = 0;
	f->now += 200 * MS;
	pick(f, 320);
	assert_int_equal(f->shed, 0);
}

static void
test_retry_after_spreads_and_grows(void **state)
{
	struct fixture *f = *state;
	uint32_t least = UINT32_MAX, most = 0;

	f->service.host_count = 1;
	report(f, 0, 5, UINT32_MAX, UINT32_MAX);
	for (int n = 0; n < 20; n++) {
		if (pick(f, 1) == IR_PICK_OK)
			continue;
		least = f->retry_after_ms < least ? f->retry_after_ms : least;
		most = f->retry_after_ms > most ? f->retry_after_ms : most;
	}
	assert_true(least >= 50);
	assert_true(most > least + 50);
	pick(f, 1000);
	while (pick(f, 1) == IR_PICK_OK)
		continue;
	assert_true(f->retry_after_ms > 2 * most);
}

/*
 * The shed level of an account overrides the level of the host. Of the host's
 * level the rank bits are ignored.
 */
static void
test_account_level_overrides_host_level(void **state)
{
	struct fixture *f = *state;
	uint32_t high = ir_priority(3, false, 0);

	f->service.host_count = 1;
	report(f, 0, 5, high, 0);
	pick(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 5, 0, high);
	pick(f, 100);
	assert_true(f->shed > 80);
	f->criteria.account = "b";
	pick(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 5, ir_priority(1, false, 9), 0);
	pick(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 5, high, 0);
	pick(f, 100);
	assert_true(f->shed > 80);
}

static void
report_account(struct fixture *f, int host, const char *account)
{
	const struct ir_load load = {.limit = 10};
	const char *name = f->hosts[host].name;

	ir_balancer_request_sent(f->balancer, f->now, name, false, 0);
	ir_balancer_request_done(f->balancer, f->now, name, account, &load, MS);
}

static void
test_outdated_levels_of_many_accounts_are_freed(void **state)
{
	struct fixture *f = *state;
	size_t bytes;

	for (int i = 0; i < HOSTS; i++)
		report_account(f, i, "a");
	bytes = talloc_total_size(f->balancer);
	for (int n = 0; n < ACCOUNTS; n++) {
		char *account = talloc_asprintf(f, "account-%d", n);

		for (int i = 0; i < HOSTS; i++)
			report_account(f, i, account);
	}
	f->now += 201 * MS;
	report_account(f, 0, "a");
	assert_true(talloc_total_size(f->balancer) <= bytes);
}

/* 6000 bytes/s shared by the six hosts of a region: 1000 for this node. */
static void
test_other_region_within_its_budget(void **state)
{
	struct fixture *f = *state;
	int sent = 0;

	for (int i = 0; i < 2 * PER_ZONE; i++)
		f->hosts[i].leaving = true;
	while (pick(f, 1) == IR_PICK_OK && sent < 100) {
		ir_balancer_request_sent(f->balancer, f->now, "h07", true, 100);
		ir_balancer_request_done(
		    f->balancer, f->now, "h07", "a", NULL, 0);
		sent++;
	}
	assert_int_equal(sent, 10);
	assert_int_equal(pick(f, 1), IR_PICK_SHED);
	assert_true(f->retry_after_ms > 0);
	/* Frequent refills lose nothing to rounding. */
	for (int i = 0; i < 1000; i++) {
		f->now += 250;
		pick(f, 1);
	}
	for (sent = 0; pick(f, 1) == IR_PICK_OK; sent++)
		ir_balancer_request_sent(f->balancer, f->now, "h07", true, 100);
	assert_in_range(sent, 2, 3);
	/* After a long pause the budget is no more than the burst. */
	f->now += 100 * IR_US_PER_S;
	for (sent = 0; pick(f, 1) == IR_PICK_OK; sent++)
		ir_balancer_request_sent(f->balancer, f->now, "h07", true, 100);
	assert_int_equal(sent, 10);
	f->view.link_bytes_per_s = 0;
	f->now += IR_US_PER_S;
	assert_int_equal(pick(f, 1), IR_PICK_SHED);
	/* Hosts of the same region need no budget. */
	f->hosts[4].leaving = false;
	assert_int_equal(pick(f, 1), IR_PICK_OK);
}

static const struct ir_load *
load_of(const struct fixture *f)
{
	int64_t age_us;

	return ir_balancer_host_load(f->balancer, f->now, "h00", &age_us);
}

static void
test_reconnect_and_new_view_discard_status(void **state)
{
	struct fixture *f = *state;
	uint32_t high = ir_priority(3, false, 0);

	f->service.host_count = 1;
	report(f, 0, 10, high, high);
	assert_non_null(load_of(f));
	ir_balancer_set_reachable(f->balancer, f->now, "h00", true);
	assert_null(load_of(f));
	pick(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 10, 0, high);
	f->view.account_count = 0;
	ir_balancer_apply_view(f->balancer, f->now, &f->view);
	assert_non_null(load_of(f));
	pick(f, 100);
	assert_int_equal(f->shed, 0);
	f->view.host_count = 0;
	ir_balancer_apply_view(f->balancer, f->now, &f->view);
	assert_null(load_of(f));
	ir_balancer_request_done(f->balancer, f->now, "h00", "a", NULL, 0);
}

static void
test_unknown_service(void **state)
{
	struct fixture *f = *state;

	f->criteria.service = "none";
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
}

#define BALANCER_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

/*
 * Guards against a fault seen with restarted processes: a host whose last
 * report said that it was leaving was never picked again, since only a request
 * to it would have brought a new report.
 */
static void
test_host_that_was_leaving_is_tried_again(void **state)
{
	struct fixture *f = *state;
	struct ir_load load = {.limit = 10, .leaving = true};

	for (int i = 1; i < HOSTS; i++)
		f->hosts[i].leaving = true;
	/* The host list had it as leaving, too, and now as live. */
	ir_balancer_load_reported(f->balancer, f->now, "h00", &load);
	f->hosts[0].leaving = true;
	ir_balancer_apply_view(f->balancer, f->now, &f->view);
	ir_balancer_load_reported(f->balancer, f->now, "h00", &load);
	f->hosts[0].leaving = false;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
	ir_balancer_apply_view(f->balancer, f->now, &f->view);
	assert_int_equal(pick(f, 1), IR_PICK_OK);
	/* Its link was lost, so it may have restarted. */
	ir_balancer_load_reported(f->balancer, f->now, "h00", &load);
	ir_balancer_set_reachable(f->balancer, f->now, "h00", false);
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
	f->now += IR_US_PER_S / 2;
	assert_int_equal(pick(f, 1), IR_PICK_OK);
}

/* Guards against a request that overflows to a region it may not be in. */
static void
test_hosts_outside_the_allowed_regions_are_left_out(void **state)
{
	static const char *const far[] = {"r1", NULL}, *const none[] = {NULL};
	struct fixture *f = *state;

	f->criteria.regions = far;
	assert_int_equal(pick(f, 100), IR_PICK_OK);
	for (int i = 0; i < 2 * PER_ZONE; i++)
		assert_int_equal(f->picked[i], 0);
	ir_balancer_set_takes_regions(f->balancer, "h06", false);
	f->picked[6] = 0;
	assert_int_equal(pick(f, 100), IR_PICK_OK);
	assert_int_equal(f->picked[6], 0);
	for (int i = 2 * PER_ZONE; i < HOSTS; i++)
		f->hosts[i].leaving = true;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
	f->criteria.regions = none;
	assert_int_equal(pick(f, 1), IR_PICK_NO_HOST);
	f->criteria.regions = NULL;
	assert_int_equal(pick(f, 1), IR_PICK_OK);
}

/* A random operation on the balancer; reports have no known speed. */
static void
random_step(struct fixture *f, uint64_t *random)
{
	const char *host = f->hosts[ir_random_below(random, HOSTS)].name;
	struct ir_load load = {0};

	load.limit = ir_random_below(random, 20);
	load.running = ir_random_below(random, 20);
	load.queued = ir_random_below(random, 4);
	load.service_time_us = ir_random_below(random, 200000);
	if (ir_random_below(random, 2) == 0)
		load.shed_level = ir_random_below(random, 8 << IR_RANK_BITS);
	f->now += ir_random_below(random, 40 * MS);
	switch (ir_random_below(random, 4)) {
	case 0:
		ir_balancer_load_reported(f->balancer, f->now, host, &load);
		break;
	case 1:
		ir_balancer_request_done(
		    f->balancer, f->now, host, "a", &load, MS);
		break;
	case 2:
		ir_balancer_set_reachable(
		    f->balancer, f->now, host, ir_random_below(random, 8) != 0);
		break;
	default:
		ir_balancer_request_sent(f->balancer, f->now, host, false, 9);
	}
}

/* The digest is that of the balancer that did not use speeds (33633eb). */
static void
test_choices_without_reported_speed_are_those_of_the_previous_rule(void **state)
{
	struct fixture *f = *state;
	uint64_t random = 7, digest = 0;

	for (int n = 0; n < 20000; n++) {
		const struct ir_host *h;

		random_step(f, &random);
		f->criteria.priority =
		    ir_random_below(&random, 8 << IR_RANK_BITS);
		(void)ir_balancer_pick(f->balancer, f->now, &f->view,
		    &f->hosts[0], &f->criteria, &h, &f->retry_after_ms);
		digest = 31 * digest + f->retry_after_ms +
			 (h != NULL ? (uint64_t)(h - f->hosts) + 1 : 0);
	}
	assert_int_equal(digest, 0xf601b2063309f22e);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    BALANCER_TEST(test_prefers_the_same_zone),
	    BALANCER_TEST(test_hosts_of_evacuated_zones_are_never_picked),
	    BALANCER_TEST(
		test_choices_without_reported_speed_are_those_of_the_previous_rule),
	    BALANCER_TEST(test_saturated_zone_overflows),
	    BALANCER_TEST(test_less_loaded_host_is_picked),
	    BALANCER_TEST(test_own_requests_count_once),
	    BALANCER_TEST(test_leaving_hosts_are_never_picked),
	    BALANCER_TEST(test_host_that_was_leaving_is_tried_again),
	    BALANCER_TEST(test_excluded_hosts_are_skipped),
	    BALANCER_TEST(test_unreachable_hosts_back_off),
	    BALANCER_TEST(test_shed_zone_overflows_then_refuses),
	    BALANCER_TEST(test_retry_after_spreads_and_grows),
	    BALANCER_TEST(test_account_level_overrides_host_level),
	    BALANCER_TEST(test_outdated_levels_of_many_accounts_are_freed),
	    BALANCER_TEST(test_other_region_within_its_budget),
	    BALANCER_TEST(test_reconnect_and_new_view_discard_status),
	    BALANCER_TEST(test_unknown_service),
	    BALANCER_TEST(test_hosts_outside_the_allowed_regions_are_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
