/* The choice of a host, on a fleet of two regions of two zones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "upstream/priority.h"
#include "zone/choose.h"

#define MS IR_US_PER_MS
#define PER_ZONE 3
#define HOSTS (4 * PER_ZONE)

struct fixture {
	struct ir_host hosts[HOSTS];
	struct ir_host *pointers[HOSTS];
	struct ir_zone zones[4];
	struct ir_service service;
	struct ir_account account;
	struct ir_view view;
	struct ir_chooser *chooser;
	struct ir_want want;
	int64_t now;
	uint32_t retry_after_ms;
	int chosen[HOSTS];
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
	f->want = (struct ir_want){.service = "s",
	    .account = "a",
	    .priority = ir_priority(1, false, 5),
	    .request_bytes = 100};
	f->chooser = ir_chooser_new(f, 1);
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

/* Chooses n times and counts; self is the first host. */
static enum ir_choice
choose(struct fixture *f, int n)
{
	enum ir_choice choice = IR_CHOICE_NONE;

	memset(f->chosen, 0, sizeof(f->chosen));
	f->shed = 0;
	while (n-- > 0) {
		const struct ir_host *h;

		choice = ir_choose(f->chooser, f->now, &f->view, &f->hosts[0],
		    &f->want, &h, &f->retry_after_ms);
		if (choice == IR_CHOSEN)
			f->chosen[h - f->hosts]++;
		else
			assert_null(h);
		f->shed += choice == IR_CHOICE_SHED;
	}
	return choice;
}

static int
chosen_in(const struct fixture *f, int z)
{
	int n = 0;

	for (int i = 0; i < PER_ZONE; i++)
		n += f->chosen[z * PER_ZONE + i];
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

	ir_chooser_sent(f->chooser, f->now, f->hosts[host].name, false, 0);
	ir_chooser_done(
	    f->chooser, f->now, f->hosts[host].name, "a", &load, MS);
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

	choose(f, 300);
	assert_int_equal(chosen_in(f, 0), 300);
	for (int i = 0; i < PER_ZONE; i++)
		assert_true(f->chosen[i] > 50);
}

static void
test_saturated_zone_overflows(void **state)
{
	struct fixture *f = *state;

	report_zone(f, 0, 10, 0);
	choose(f, 100);
	assert_int_equal(chosen_in(f, 1), 100);
	report_zone(f, 1, 10, 0);
	choose(f, 100);
	assert_int_equal(chosen_in(f, 2) + chosen_in(f, 3), 100);
	/* Saturated everywhere: stay near. */
	report_zone(f, 2, 10, 0);
	report_zone(f, 3, 10, 0);
	choose(f, 100);
	assert_int_equal(chosen_in(f, 0), 100);
}

static void
test_less_loaded_is_chosen(void **state)
{
	struct fixture *f = *state;

	report(f, 0, 9, 0, 0);
	report(f, 1, 1, 0, 0);
	report(f, 2, 9, 0, 0);
	choose(f, 300);
	assert_true(f->chosen[1] > 150);
	assert_true(f->chosen[1] < 250);
	/* A report ages; what this node has out does not. */
	f->now += 2 * IR_US_PER_S;
	ir_chooser_sent(f->chooser, f->now, "h01", false, 0);
	choose(f, 300);
	assert_true(f->chosen[1] < 50);
	ir_chooser_done(f->chooser, f->now, "h01", "a", NULL, 0);
	choose(f, 300);
	assert_true(f->chosen[1] > 50);
}

static void
test_own_requests_count_once(void **state)
{
	struct fixture *f = *state;

	/* Seven out, which the report contains; two more are not. */
	for (int i = 0; i < 7; i++)
		ir_chooser_sent(f->chooser, f->now, "h00", false, 0);
	report(f, 0, 7, 0, 0);
	report(f, 1, 10, 0, 0);
	report(f, 2, 10, 0, 0);
	ir_chooser_sent(f->chooser, f->now, "h00", false, 0);
	ir_chooser_sent(f->chooser, f->now, "h00", false, 0);
	choose(f, 10);
	assert_int_equal(f->chosen[0], 10);
	ir_chooser_sent(f->chooser, f->now, "h00", false, 0);
	choose(f, 10);
	assert_int_equal(chosen_in(f, 1), 10);
	/* Those out may still be under way when the host reports none. */
	report(f, 0, 0, 0, 0);
	choose(f, 10);
	assert_int_equal(chosen_in(f, 1), 10);
}

static void
test_leaving_hosts_are_never_chosen(void **state)
{
	struct fixture *f = *state;
	struct ir_load load = {.limit = 10, .leaving = true};

	f->hosts[0].leaving = true;
	ir_chooser_heard(f->chooser, f->now, "h01", &load);
	f->now += 10 * IR_US_PER_S;
	choose(f, 100);
	assert_int_equal(f->chosen[2], 100);
	for (int i = 0; i < HOSTS; i++)
		f->hosts[i].leaving = true;
	assert_int_equal(choose(f, 1), IR_CHOICE_NONE);
}

static void
test_excluded_hosts_are_skipped(void **state)
{
	struct fixture *f = *state;
	const char *tried[HOSTS];

	for (int i = 0; i < HOSTS; i++)
		tried[i] = f->hosts[i].name;
	f->want.exclude = tried;
	f->want.exclude_count = 2;
	choose(f, 100);
	assert_int_equal(f->chosen[2], 100);
	f->want.exclude_count = HOSTS;
	assert_int_equal(choose(f, 1), IR_CHOICE_NONE);
}

static void
test_lost_hosts_back_off(void **state)
{
	struct fixture *f = *state;

	f->service.host_count = 1;
	ir_chooser_reachable(f->chooser, f->now, "h00", false);
	assert_int_equal(choose(f, 100), IR_CHOICE_NONE);
	f->now += 199 * MS;
	assert_int_equal(choose(f, 1), IR_CHOICE_NONE);
	/* One request tries it, the others wait for the next turn. */
	f->now += MS;
	choose(f, 100);
	assert_int_equal(f->chosen[0], 1);
	ir_chooser_reachable(f->chooser, f->now, "h00", false);
	f->now += 399 * MS;
	assert_int_equal(choose(f, 1), IR_CHOICE_NONE);
	for (int i = 0; i < 10; i++)
		ir_chooser_reachable(f->chooser, f->now, "h00", false);
	f->now += 2 * IR_US_PER_S;
	assert_int_equal(choose(f, 1), IR_CHOSEN);
	ir_chooser_reachable(f->chooser, f->now, "h00", true);
	choose(f, 100);
	assert_int_equal(f->chosen[0], 100);
}

static void
test_shed_zone_overflows_then_refuses(void **state)
{
	struct fixture *f = *state;
	uint32_t level = ir_priority(1, false, 6);

	report_zone(f, 0, 5, level);
	choose(f, 320);
	assert_true(chosen_in(f, 1) > 280);
	assert_true(chosen_in(f, 0) > 0); /* probes */
	for (int z = 1; z < 4; z++)
		report_zone(f, z, 5, level);
	choose(f, 3200);
	assert_true(f->shed > 3000);
	assert_true(f->shed < 3200);
	f->want.priority = level;
	choose(f, 320);
	assert_int_equal(chosen_in(f, 0), 320);
	/* Old levels say nothing. */
	f->want.priority = 0;
	f->now += 200 * MS;
	choose(f, 320);
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
		if (choose(f, 1) == IR_CHOSEN)
			continue;
		least = f->retry_after_ms < least ? f->retry_after_ms : least;
		most = f->retry_after_ms > most ? f->retry_after_ms : most;
	}
	assert_true(least >= 50);
	assert_true(most > least + 50);
	choose(f, 1000);
	while (choose(f, 1) == IR_CHOSEN)
		continue;
	assert_true(f->retry_after_ms > 2 * most);
}

/* An account's own level goes before the one of all; ranks of that don't. */
static void
test_account_level_goes_first(void **state)
{
	struct fixture *f = *state;
	uint32_t high = ir_priority(3, false, 0);

	f->service.host_count = 1;
	report(f, 0, 5, high, 0);
	choose(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 5, 0, high);
	choose(f, 100);
	assert_true(f->shed > 80);
	f->want.account = "b";
	choose(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 5, ir_priority(1, false, 9), 0);
	choose(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 5, high, 0);
	choose(f, 100);
	assert_true(f->shed > 80);
}

/* 6000 bytes a second over six hosts: 1000 for this node. */
static void
test_other_region_within_its_budget(void **state)
{
	struct fixture *f = *state;
	int sent = 0;

	for (int i = 0; i < 2 * PER_ZONE; i++)
		f->hosts[i].leaving = true;
	while (choose(f, 1) == IR_CHOSEN && sent < 100) {
		ir_chooser_sent(f->chooser, f->now, "h07", true, 100);
		ir_chooser_done(f->chooser, f->now, "h07", "a", NULL, 0);
		sent++;
	}
	assert_int_equal(sent, 10);
	assert_int_equal(choose(f, 1), IR_CHOICE_SHED);
	assert_true(f->retry_after_ms > 0);
	/* Many looks do not wear the refill away. */
	for (int i = 0; i < 1000; i++) {
		f->now += 250;
		choose(f, 1);
	}
	for (sent = 0; choose(f, 1) == IR_CHOSEN; sent++)
		ir_chooser_sent(f->chooser, f->now, "h07", true, 100);
	assert_in_range(sent, 2, 3);
	/* A long pause saves up no more than the burst. */
	f->now += 100 * IR_US_PER_S;
	for (sent = 0; choose(f, 1) == IR_CHOSEN; sent++)
		ir_chooser_sent(f->chooser, f->now, "h07", true, 100);
	assert_int_equal(sent, 10);
	f->view.link_bytes_per_s = 0;
	f->now += IR_US_PER_S;
	assert_int_equal(choose(f, 1), IR_CHOICE_SHED);
	/* Near hosts need no budget. */
	f->hosts[4].leaving = false;
	assert_int_equal(choose(f, 1), IR_CHOSEN);
}

static const struct ir_load *
load_of(const struct fixture *f)
{
	int64_t age_us;

	return ir_chooser_load(f->chooser, f->now, "h00", &age_us);
}

static void
test_greeting_and_trim_forget(void **state)
{
	struct fixture *f = *state;
	uint32_t high = ir_priority(3, false, 0);

	f->service.host_count = 1;
	report(f, 0, 10, high, high);
	assert_non_null(load_of(f));
	ir_chooser_reachable(f->chooser, f->now, "h00", true);
	assert_null(load_of(f));
	choose(f, 100);
	assert_int_equal(f->shed, 0);
	report(f, 0, 10, 0, high);
	f->view.account_count = 0;
	ir_chooser_trim(f->chooser, &f->view);
	assert_non_null(load_of(f));
	choose(f, 100);
	assert_int_equal(f->shed, 0);
	f->view.host_count = 0;
	ir_chooser_trim(f->chooser, &f->view);
	assert_null(load_of(f));
	ir_chooser_done(f->chooser, f->now, "h00", "a", NULL, 0);
}

static void
test_unknown_service(void **state)
{
	struct fixture *f = *state;

	f->want.service = "none";
	assert_int_equal(choose(f, 1), IR_CHOICE_NONE);
}

#define CHOOSE_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

/*
 * Found by processes that restart: a host that was leaving when it was heard
 * last was never tried again, as nothing but a try would hear it.
 */
static void
test_host_that_was_leaving_is_tried_again(void **state)
{
	struct fixture *f = *state;
	struct ir_load load = {.limit = 10, .leaving = true};

	for (int i = 1; i < HOSTS; i++)
		f->hosts[i].leaving = true;
	/* The list said so too, and says now that it is back. */
	ir_chooser_heard(f->chooser, f->now, "h00", &load);
	f->hosts[0].leaving = true;
	ir_chooser_trim(f->chooser, &f->view);
	ir_chooser_heard(f->chooser, f->now, "h00", &load);
	f->hosts[0].leaving = false;
	assert_int_equal(choose(f, 1), IR_CHOICE_NONE);
	ir_chooser_trim(f->chooser, &f->view);
	assert_int_equal(choose(f, 1), IR_CHOSEN);
	/* Its link was lost: it may have restarted. */
	ir_chooser_heard(f->chooser, f->now, "h00", &load);
	ir_chooser_reachable(f->chooser, f->now, "h00", false);
	assert_int_equal(choose(f, 1), IR_CHOICE_NONE);
	f->now += IR_US_PER_S / 2;
	assert_int_equal(choose(f, 1), IR_CHOSEN);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    CHOOSE_TEST(test_prefers_the_same_zone),
	    CHOOSE_TEST(test_saturated_zone_overflows),
	    CHOOSE_TEST(test_less_loaded_is_chosen),
	    CHOOSE_TEST(test_own_requests_count_once),
	    CHOOSE_TEST(test_leaving_hosts_are_never_chosen),
	    CHOOSE_TEST(test_host_that_was_leaving_is_tried_again),
	    CHOOSE_TEST(test_excluded_hosts_are_skipped),
	    CHOOSE_TEST(test_lost_hosts_back_off),
	    CHOOSE_TEST(test_shed_zone_overflows_then_refuses),
	    CHOOSE_TEST(test_retry_after_spreads_and_grows),
	    CHOOSE_TEST(test_account_level_goes_first),
	    CHOOSE_TEST(test_other_region_within_its_budget),
	    CHOOSE_TEST(test_greeting_and_trim_forget),
	    CHOOSE_TEST(test_unknown_service),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
