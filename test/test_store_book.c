/*
 * The book of the host list: heartbeats change nothing, the newest of several
 * items of a host counts, and removals wait only after a failure.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "io/store/store_book.h"
#include "link/peer.h"

struct fixture {
	struct ir_store_book *book;
	struct ir_store_read read; /* the last one taken */
	uint64_t revision;
};

static int
set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->book = ir_store_book_new(f);
	*state = f;
	return 0;
}

static int
tear_down(void **state)
{
	talloc_free(*state);
	return 0;
}

/* An item as it was written; text "" removes, NULL cannot be read. */
static bool
put(struct fixture *f, const char *key, const char *host, const char *text,
    uint64_t created)
{
	struct ir_store_item in = {.key = (char *)key,
	    .section = text != NULL ? (char *)host : NULL,
	    .text = text != NULL ? (char *)text : (char *)"",
	    .revision = ++f->revision,
	    .created = created};

	return ir_store_book_put(f->book, &in);
}

static size_t
take(struct fixture *f, int64_t now)
{
	f->read = (struct ir_store_read){.reached_revision = f->revision};
	ir_store_book_take(f->book, now, f, false, &f->read);
	return f->read.section_count;
}

static void
expect_one(struct fixture *f, int64_t now, const char *name, const char *text)
{
	assert_int_equal(take(f, now), 1);
	assert_string_equal(f->read.sections[0].name, name);
	assert_string_equal(f->read.sections[0].text, text);
}

static void
test_heartbeats_change_nothing(void **state)
{
	struct fixture *f = *state;
	uint64_t told;

	put(f, "a", "host/1", "live", 1);
	expect_one(f, 0, "host/1", "live");
	told = f->read.revision;
	for (int i = 0; i < 5; i++)
		put(f, "a", "host/1", "live", 1);
	assert_int_equal(take(f, 0), 0);
	assert_int_equal(f->read.revision, told);
	put(f, "a", "host/1", "leaving", 1);
	expect_one(f, 0, "host/1", "leaving");
	assert_int_equal(f->read.revision, f->revision);
}

static void
test_newest_item_of_a_host_counts(void **state)
{
	struct fixture *f = *state;

	put(f, "old", "host/1", "old", 1);
	put(f, "new", "host/1", "new", 2);
	expect_one(f, 0, "host/1", "new");
	/* The end of the former one takes nothing away. */
	put(f, "old", "host/1", "", 0);
	assert_int_equal(take(f, 0), 0);
	put(f, "new", "host/1", "", 0);
	expect_one(f, 0, "host/1", "");
}

static void
test_rewritten_item_is_told_again(void **state)
{
	struct fixture *f = *state;

	put(f, "a", "host/1", "live", 1);
	assert_int_equal(take(f, 0), 1);
	/* Removed and written anew between two reads. */
	put(f, "a", "host/1", "live", 7);
	expect_one(f, 0, "host/1", "live");
}

static void
test_unreadable_item_names_no_host(void **state)
{
	struct fixture *f = *state;

	put(f, "a", "host/1", "live", 1);
	put(f, "b", "host/2", "live", 2);
	assert_int_equal(take(f, 0), 2);
	assert_true(put(f, "a", "host/1", NULL, 1));
	expect_one(f, 0, "host/1", "");
	/* Said once, until it could be read again. */
	assert_false(put(f, "a", "host/1", NULL, 1));
	assert_int_equal(take(f, 0), 0);
	assert_false(put(f, "a", "host/1", "live", 1));
	expect_one(f, 0, "host/1", "live");
	assert_true(put(f, "a", "host/1", NULL, 1));
}

static void
test_lapsed_items_wait_after_a_failure(void **state)
{
	struct fixture *f = *state;

	put(f, "a", "host/1", "live", 1);
	put(f, "b", "host/2", "live", 2);
	assert_int_equal(take(f, 0), 2);
	ir_store_book_returned(f->book);
	put(f, "a", "host/1", "", 0);
	put(f, "b", "host/2", "", 0);
	assert_int_equal(take(f, 100), 0);
	/* One is back in time; the other is gone at the end of the wait. */
	put(f, "a", "host/1", "live", 9);
	expect_one(f, 200, "host/1", "live");
	assert_int_equal(take(f, 99 + IR_RETURN_GRACE_US), 0);
	expect_one(f, 100 + IR_RETURN_GRACE_US, "host/2", "");
}

/*
 * An upstream that leaves just after the store's return: found in an incident,
 * where its host went on to take work for 2.1 s.
 */
static void
test_removal_after_the_return_counts_at_once(void **state)
{
	struct fixture *f = *state;

	put(f, "a", "host/1", "live", 1);
	assert_int_equal(take(f, 0), 1);
	ir_store_book_returned(f->book);
	assert_int_equal(take(f, 100), 0);
	put(f, "a", "host/1", "", 0);
	expect_one(f, 200, "host/1", "");
}

static void
test_absent_from_a_whole_read(void **state)
{
	struct fixture *f = *state;

	put(f, "a", "host/1", "live", 1);
	put(f, "b", "host/2", "live", 2);
	assert_int_equal(take(f, 0), 2);
	ir_store_book_begin_whole(f->book);
	put(f, "b", "host/2", "live", 2);
	ir_store_book_end_whole(f->book);
	f->read = (struct ir_store_read){.reached_revision = f->revision};
	ir_store_book_take(f->book, 0, f, true, &f->read);
	assert_true(f->read.complete);
	assert_int_equal(f->read.section_count, 2);
	assert_int_equal(take(f, 0), 0);
}

#define WITH_BOOK(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_BOOK(test_heartbeats_change_nothing),
	    WITH_BOOK(test_newest_item_of_a_host_counts),
	    WITH_BOOK(test_rewritten_item_is_told_again),
	    WITH_BOOK(test_unreadable_item_names_no_host),
	    WITH_BOOK(test_lapsed_items_wait_after_a_failure),
	    WITH_BOOK(test_removal_after_the_return_counts_at_once),
	    WITH_BOOK(test_absent_from_a_whole_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
