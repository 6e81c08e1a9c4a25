/*
 * Items of the host list: heartbeats are not passed on, the newest of several
 * items of a host is used, and removals are delayed only after a failure.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "io/store/host_items.h"
#include "link/peer.h"

struct fixture {
	struct ir_host_items *items;
	struct ir_store_read read; /* of the last take_changes() */
	uint64_t revision;
};

static int
set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->items = ir_host_items_new(f);
	*state = f;
	return 0;
}

static int
tear_down(void **state)
{
	talloc_free(*state);
	return 0;
}

/* Stores an item; text "" removes it, NULL makes it unreadable. */
static bool
put_item(struct fixture *f, const char *key, const char *host, const char *text,
    uint64_t created)
{
	struct ir_store_item in = {.key = {key, strlen(key)},
	    .section = text != NULL ? (char *)host : NULL,
	    .text = text != NULL ? (char *)text : (char *)"",
	    .revision = ++f->revision,
	    .created_revision = created};

	return ir_host_items_put(f->items, &in);
}

static size_t
take_changes(struct fixture *f, int64_t now)
{
	f->read = (struct ir_store_read){.reached_revision = f->revision};
	ir_host_items_take_changes(f->items, now, f, false, &f->read);
	return f->read.section_count;
}

static void
expect_one_change(
    struct fixture *f, int64_t now, const char *name, const char *text)
{
	assert_int_equal(take_changes(f, now), 1);
	assert_string_equal(f->read.sections[0].name, name);
	assert_string_equal(f->read.sections[0].text, text);
}

static void
test_heartbeats_change_nothing(void **state)
{
	struct fixture *f = *state;
	uint64_t revision_before;

	put_item(f, "a", "host/1", "live", 1);
	expect_one_change(f, 0, "host/1", "live");
	revision_before = f->read.revision;
	for (int i = 0; i < 5; i++)
		put_item(f, "a", "host/1", "live", 1);
	assert_int_equal(take_changes(f, 0), 0);
	assert_int_equal(f->read.revision, revision_before);
	put_item(f, "a", "host/1", "leaving", 1);
	expect_one_change(f, 0, "host/1", "leaving");
	assert_int_equal(f->read.revision, f->revision);
}

static void
test_newest_item_of_a_host_is_used(void **state)
{
	struct fixture *f = *state;

	put_item(f, "old", "host/1", "old", 1);
	put_item(f, "new", "host/1", "new", 2);
	expect_one_change(f, 0, "host/1", "new");
	/* The removal of the older one changes nothing. */
	put_item(f, "old", "host/1", "", 0);
	assert_int_equal(take_changes(f, 0), 0);
	put_item(f, "new", "host/1", "", 0);
	expect_one_change(f, 0, "host/1", "");
}

static void
put_started_item(struct fixture *f, const char *key, const char *text,
    uint64_t created, int64_t started_ms)
{
	struct ir_store_item in = {.key = {key, strlen(key)},
	    .section = (char *)"host/1",
	    .text = (char *)text,
	    .revision = ++f->revision,
	    .created_revision = created,
	    .upstream_started_ms = started_ms};

	ir_host_items_put(f->items, &in);
}

static void
test_late_heartbeat_of_an_ended_upstream_does_not_replace_its_successor(
    void **state)
{
	struct fixture *f = *state;

	put_started_item(f, "ended", "ended", 1, 1000);
	put_started_item(f, "running", "running", 2, 5000);
	expect_one_change(f, 0, "host/1", "running");
	/* The item of the ended upstream expires and is created anew. */
	put_item(f, "ended", "host/1", "", 0);
	put_started_item(f, "ended", "ended", 4, 1000);
	assert_int_equal(take_changes(f, 0), 0);
	/* Without the time of a start the creation decides, as before. */
	put_started_item(f, "ended", "ended", 4, 0);
	expect_one_change(f, 0, "host/1", "ended");
}

static void
test_recreated_item_is_passed_on_again(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	assert_int_equal(take_changes(f, 0), 1);
	/* Removed and created again between two reads. */
	put_item(f, "a", "host/1", "live", 7);
	expect_one_change(f, 0, "host/1", "live");
}

static void
test_unreadable_item_removes_its_host(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	put_item(f, "b", "host/2", "live", 2);
	assert_int_equal(take_changes(f, 0), 2);
	assert_true(put_item(f, "a", "host/1", NULL, 1));
	expect_one_change(f, 0, "host/1", "");
	/* Reported once, until it was readable again. */
	assert_false(put_item(f, "a", "host/1", NULL, 1));
	assert_int_equal(take_changes(f, 0), 0);
	assert_false(put_item(f, "a", "host/1", "live", 1));
	expect_one_change(f, 0, "host/1", "live");
	assert_true(put_item(f, "a", "host/1", NULL, 1));
}

static void
test_changes_follow_beside_an_unreadable_item(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	expect_one_change(f, 0, "host/1", "live");
	assert_true(put_item(f, "odd", NULL, NULL, 2));
	put_item(f, "a", "host/1", "leaving", 1);
	expect_one_change(f, 0, "host/1", "leaving");
	put_item(f, "a", "host/1", "live", 1);
	assert_false(put_item(f, "odd", NULL, NULL, 2));
	expect_one_change(f, 0, "host/1", "live");
}

/* Another host may have read the change and passed it on. */
static void
test_change_that_was_undone_between_two_reads_is_passed_on(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	expect_one_change(f, 0, "host/1", "live");
	put_item(f, "a", "host/1", "leaving", 1);
	put_item(f, "a", "host/1", "live", 1);
	expect_one_change(f, 0, "host/1", "live");
	assert_int_equal(f->read.sections[0].revision, f->revision);
	put_item(f, "a", "host/1", "live", 1);
	assert_int_equal(take_changes(f, 0), 0);
}

static void
test_removals_are_delayed_after_a_failure(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	put_item(f, "b", "host/2", "live", 2);
	assert_int_equal(take_changes(f, 0), 2);
	ir_host_items_store_recovered(f->items, 3 * IR_US_PER_S);
	put_item(f, "a", "host/1", "", 0);
	put_item(f, "b", "host/2", "", 0);
	assert_int_equal(take_changes(f, 100), 0);
	/* One is written again in time; the other is removed at the end. */
	put_item(f, "a", "host/1", "live", 9);
	expect_one_change(f, 200, "host/1", "live");
	assert_int_equal(take_changes(f, 99 + IR_REMOVAL_GRACE_US), 0);
	expect_one_change(f, 100 + IR_REMOVAL_GRACE_US, "host/2", "");
}

/* Each cut watch delayed what the next read found by two seconds. */
static void
test_short_failures_delay_removals_by_their_duration(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	put_item(f, "b", "host/2", "live", 2);
	assert_int_equal(take_changes(f, 0), 2);
	ir_host_items_store_recovered(f->items, 300);
	put_item(f, "a", "host/1", "", 0);
	assert_int_equal(take_changes(f, 1000), 0);
	/* Another failure does not delay it further. */
	ir_host_items_store_recovered(f->items, 200);
	put_item(f, "b", "host/2", "", 0);
	assert_int_equal(take_changes(f, 1250), 0);
	expect_one_change(f, 1300, "host/1", "");
	assert_int_equal(take_changes(f, 1449), 0);
	expect_one_change(f, 1450, "host/2", "");
}

/*
 * An upstream that leaves just after the store's recovery. When this removal
 * was delayed too, its host was given work for another 2.1 s (seen in an
 * incident).
 */
static void
begin_restored_read(struct fixture *f)
{
	ir_host_items_store_restored(f->items);
	ir_host_items_begin_full_read(f->items);
}

static void
test_older_copy_does_not_undo_a_change_that_is_written_again(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "leaving", 1);
	expect_one_change(f, 0, "host/1", "leaving");
	begin_restored_read(f);
	put_item(f, "a", "host/1", "live", 1);
	ir_host_items_end_full_read(f->items);
	assert_int_equal(take_changes(f, 100), 0);
	put_item(f, "a", "host/1", "leaving", 1);
	assert_int_equal(take_changes(f, 200), 0);
	assert_int_equal(take_changes(f, 100 + IR_REMOVAL_GRACE_US), 0);
}

static void
test_older_copy_is_used_if_nothing_is_written_again(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "leaving", 1);
	expect_one_change(f, 0, "host/1", "leaving");
	begin_restored_read(f);
	put_item(f, "a", "host/1", "live", 1);
	put_item(f, "gone", "host/2", "live", 1);
	ir_host_items_end_full_read(f->items);
	assert_int_equal(take_changes(f, 100), 0);
	assert_int_equal(take_changes(f, 99 + IR_REMOVAL_GRACE_US), 0);
	assert_int_equal(take_changes(f, 100 + IR_REMOVAL_GRACE_US), 2);
}

static void
test_entry_that_an_older_copy_brings_back_is_dropped_when_removed(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	put_item(f, "successor", "host/2", "live", 5);
	assert_int_equal(take_changes(f, 0), 2);
	begin_restored_read(f);
	put_item(f, "a", "host/1", "live", 1);
	put_item(f, "left", "host/2", "old", 2);
	ir_host_items_end_full_read(f->items);
	assert_int_equal(take_changes(f, 100), 0);
	/* The successor writes its entry again; that of the other expires. */
	put_item(f, "successor", "host/2", "live", 5);
	put_item(f, "left", "host/2", "", 2);
	assert_int_equal(take_changes(f, 200), 0);
	assert_int_equal(take_changes(f, 100 + IR_REMOVAL_GRACE_US), 0);
}

static void
test_removal_after_the_recovery_is_passed_on_at_once(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	assert_int_equal(take_changes(f, 0), 1);
	ir_host_items_store_recovered(f->items, 3 * IR_US_PER_S);
	assert_int_equal(take_changes(f, 100), 0);
	put_item(f, "a", "host/1", "", 0);
	expect_one_change(f, 200, "host/1", "");
}

static void
test_zone_that_returns_and_is_evacuated_again_is_passed_on(void **state)
{
	struct fixture *f = *state;

	put_item(f, "z", "zone/1", "evacuated", 1);
	expect_one_change(f, 0, "zone/1", "evacuated");
	put_item(f, "z", "zone/1", "", 0);
	put_item(f, "z", "zone/1", "evacuated", 3);
	expect_one_change(f, 0, "zone/1", "evacuated");
	assert_int_equal(f->read.sections[0].revision, 3);
	put_item(f, "z", "zone/1", "", 0);
	expect_one_change(f, 0, "zone/1", "");
}

static void
test_item_missing_from_a_full_read_is_removed(void **state)
{
	struct fixture *f = *state;

	put_item(f, "a", "host/1", "live", 1);
	put_item(f, "b", "host/2", "live", 2);
	assert_int_equal(take_changes(f, 0), 2);
	ir_host_items_begin_full_read(f->items);
	put_item(f, "b", "host/2", "live", 2);
	ir_host_items_end_full_read(f->items);
	f->read = (struct ir_store_read){.reached_revision = f->revision};
	ir_host_items_take_changes(f->items, 0, f, true, &f->read);
	assert_true(f->read.complete);
	assert_int_equal(f->read.section_count, 2);
	assert_int_equal(take_changes(f, 0), 0);
}

static void
test_keys_with_zero_bytes_are_different_items(void **state)
{
	static const char *const hosts[] = {"host/1", "host/2"};
	static const char keys[][4] = {"a\0b", "a\0c"};
	struct fixture *f = *state;

	for (int i = 0; i < 2; i++) {
		struct ir_store_item in = {.key = {keys[i], 3},
		    .section = (char *)hosts[i],
		    .text = (char *)"live",
		    .revision = ++f->revision,
		    .created_revision = f->revision};

		ir_host_items_put(f->items, &in);
	}
	assert_int_equal(take_changes(f, 0), 2);
}

#define PORT 8080
#define OTHER_PORT 8580
#define HEARTBEAT_US (1500 * IR_US_PER_MS)

static void
put_listed(struct fixture *f, const char *key, const char *service,
    uint16_t port, const char *text, uint64_t created)
{
	struct ir_store_item in = {.key = {key, strlen(key)},
	    .section = (char *)"host/1",
	    .text = (char *)text,
	    .revision = ++f->revision,
	    .created_revision = created,
	    .service = service,
	    .upstream_port = port};

	ir_host_items_put(f->items, &in);
}

static void
set_services(struct fixture *f)
{
	char **services = talloc_array(f, char *, 2);

	services[0] = (char *)"alpha";
	services[1] = (char *)"beta";
	ir_host_items_set_services(f->items, services, 2);
}

/* Heartbeats of the upstream pass; nothing is to change. */
static void
expect_upstream_stays(struct fixture *f, int64_t *now)
{
	for (int i = 0; i < 8; i++) {
		*now += HEARTBEAT_US;
		put_listed(f, "i-1", "beta", PORT, "live", 1);
		assert_int_equal(take_changes(f, *now), 0);
	}
}

static const struct {
	const char *service;
	uint16_t port;
	const char *text;
} neighbors[] = {
    {"agent", OTHER_PORT, "agent live"},
    {"agent", OTHER_PORT, "agent leaving"},
    {"agent", PORT, "agent live"},
    {"alpha", OTHER_PORT, "alpha live"},
    {"beta", OTHER_PORT, "other live"},
    {"beta", OTHER_PORT, "other leaving"},
};

/* Guards against an entry of another process that hides an upstream's. */
static void
test_listed_neighbor_does_not_hide_the_upstream(void **state)
{
	for (size_t i = 0; i < sizeof(neighbors) / sizeof(*neighbors); i++) {
		struct fixture *f;
		int64_t now = 0;

		set_up((void **)&f);
		set_services(f);
		put_listed(f, "i-1", "beta", PORT, "live", 1);
		expect_one_change(f, now, "host/1", "live");
		put_listed(f, "n", neighbors[i].service, neighbors[i].port,
		    neighbors[i].text, f->revision + 1);
		assert_int_equal(take_changes(f, now), 0);
		expect_upstream_stays(f, &now);
		/* It is rewritten, or lapses and comes back. */
		put_listed(f, "n", neighbors[i].service, neighbors[i].port,
		    "again", 3);
		assert_int_equal(take_changes(f, now), 0);
		put_item(f, "n", "host/1", "", 0);
		assert_int_equal(take_changes(f, now), 0);
		put_listed(f, "n", neighbors[i].service, neighbors[i].port,
		    "again", f->revision + 1);
		assert_int_equal(take_changes(f, now), 0);
		/* The upstream's own changes are passed on. */
		put_listed(f, "i-1", "beta", PORT, "leaving", 1);
		expect_one_change(f, now, "host/1", "leaving");
		/* Nor is the neighbor its successor. */
		put_item(f, "i-1", "host/1", "", 0);
		if (neighbors[i].port != PORT)
			expect_one_change(f, now, "host/1", "");
		tear_down((void **)&f);
	}
}

static void
test_new_reader_takes_the_upstream_that_writes(void **state)
{
	struct fixture *f = *state;

	put_listed(f, "n", "beta", PORT, "stale", 9);
	put_listed(f, "i-1", "beta", PORT, "live", 1);
	assert_int_equal(take_changes(f, 0), 1);
	for (int64_t now = 0; now <= 3 * HEARTBEAT_US; now += HEARTBEAT_US) {
		put_listed(f, "i-1", "beta", PORT, "live", 1);
		(void)take_changes(f, now);
	}
	f->read = (struct ir_store_read){.reached_revision = f->revision};
	ir_host_items_take_changes(
	    f->items, 3 * HEARTBEAT_US, f, true, &f->read);
	assert_int_equal(f->read.section_count, 1);
	assert_string_equal(f->read.sections[0].text, "live");
}

static void
count_not_used(void *ctx, const struct ir_store_key *key, const char *section,
    const struct ir_store_key *used)
{
	assert_string_equal(key->bytes, "n");
	assert_string_equal(section, "host/1");
	assert_string_equal(used->bytes, "i-1");
	(*(int *)ctx)++;
}

static void
test_entry_that_is_not_used_is_reported_once(void **state)
{
	struct fixture *f = *state;
	int64_t now = 0;
	int count = 0;

	ir_host_items_on_not_used(f->items, count_not_used, &count);
	put_listed(f, "i-1", "beta", PORT, "live", 1);
	put_listed(f, "n", "beta", OTHER_PORT, "other", 2);
	expect_one_change(f, now, "host/1", "live");
	expect_upstream_stays(f, &now);
	put_listed(f, "n", "beta", OTHER_PORT, "other", 2);
	assert_int_equal(take_changes(f, now), 0);
	assert_int_equal(count, 1);
}

/* Peers accept the text of a higher revision only. */
static void
test_other_choice_is_passed_on_with_the_revision_reached(void **state)
{
	struct fixture *f = *state;

	put_listed(f, "a", "beta", PORT, "a", 1);
	put_listed(f, "n", "agent", PORT, "n", 2);
	expect_one_change(f, 0, "host/1", "n");
	f->revision = 40;
	set_services(f);
	expect_one_change(f, 0, "host/1", "a");
	assert_int_equal(f->read.sections[0].revision, 40);
}

static void
test_successor_on_another_port_follows_a_silent_upstream(void **state)
{
	struct fixture *f = *state;
	int64_t now = 0;

	put_listed(f, "i-1", "beta", PORT, "live", 1);
	expect_one_change(f, now, "host/1", "live");
	now = 2 * HEARTBEAT_US;
	put_listed(f, "i-2", "alpha", OTHER_PORT, "next", 9);
	assert_int_equal(take_changes(f, now), 0);
	now += HEARTBEAT_US;
	put_listed(f, "i-2", "alpha", OTHER_PORT, "next", 9);
	expect_one_change(f, now, "host/1", "next");
	put_item(f, "i-1", "host/1", "", 0);
	assert_int_equal(take_changes(f, now), 0);
}

#define WITH_HOST_ITEMS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_HOST_ITEMS(test_heartbeats_change_nothing),
	    WITH_HOST_ITEMS(test_newest_item_of_a_host_is_used),
	    WITH_HOST_ITEMS(
		test_late_heartbeat_of_an_ended_upstream_does_not_replace_its_successor),
	    WITH_HOST_ITEMS(test_recreated_item_is_passed_on_again),
	    WITH_HOST_ITEMS(test_unreadable_item_removes_its_host),
	    WITH_HOST_ITEMS(test_changes_follow_beside_an_unreadable_item),
	    WITH_HOST_ITEMS(
		test_change_that_was_undone_between_two_reads_is_passed_on),
	    WITH_HOST_ITEMS(test_removals_are_delayed_after_a_failure),
	    WITH_HOST_ITEMS(
		test_short_failures_delay_removals_by_their_duration),
	    WITH_HOST_ITEMS(
		test_older_copy_does_not_undo_a_change_that_is_written_again),
	    WITH_HOST_ITEMS(
		test_older_copy_is_used_if_nothing_is_written_again),
	    WITH_HOST_ITEMS(
		test_entry_that_an_older_copy_brings_back_is_dropped_when_removed),
	    WITH_HOST_ITEMS(
		test_removal_after_the_recovery_is_passed_on_at_once),
	    WITH_HOST_ITEMS(
		test_zone_that_returns_and_is_evacuated_again_is_passed_on),
	    cmocka_unit_test(test_listed_neighbor_does_not_hide_the_upstream),
	    WITH_HOST_ITEMS(test_new_reader_takes_the_upstream_that_writes),
	    WITH_HOST_ITEMS(test_entry_that_is_not_used_is_reported_once),
	    WITH_HOST_ITEMS(test_keys_with_zero_bytes_are_different_items),
	    WITH_HOST_ITEMS(
		test_other_choice_is_passed_on_with_the_revision_reached),
	    WITH_HOST_ITEMS(
		test_successor_on_another_port_follows_a_silent_upstream),
	    WITH_HOST_ITEMS(test_item_missing_from_a_full_read_is_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
