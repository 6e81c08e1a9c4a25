/* The table of requests during which upstreams ended. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/unconst.h"
#include "upstream/suspects.h"

#define BATCH 64

static const uint8_t request_a[IR_DIGEST_BYTES] = {1};
static const uint8_t request_b[IR_DIGEST_BYTES] = {2};

static struct ir_suspects *
table_with_crashes(const uint8_t *digest, uint64_t first, uint64_t last)
{
	struct ir_suspects *t = ir_suspects_new(NULL);

	for (uint64_t id = first; id <= last; id++)
		ir_suspects_add(t, 0, digest, id);
	return t;
}

/* Passes all that changed in from to the other table. */
static void
merge_all(struct ir_suspects *from, struct ir_suspects *to, int64_t now)
{
	struct ir_suspect batch[BATCH];
	uint64_t after = 0;

	while (after < ir_suspects_revision(from)) {
		size_t n = ir_suspects_changes(from, now, &after, batch, BATCH);

		for (size_t i = 0; i < n; i++)
			ir_suspects_merge(to, now, &batch[i]);
	}
}

static void
test_two_ends_refuse_a_request(void **state)
{
	struct ir_suspects *t = table_with_crashes(request_a, 1, 1);

	assert_false(ir_suspects_refuses(t, 0, request_a));
	ir_suspects_add(t, 0, request_a, 1);
	assert_false(ir_suspects_refuses(t, 0, request_a));
	ir_suspects_add(t, 0, request_a, 2);
	assert_true(ir_suspects_refuses(t, 0, request_a));
	assert_false(ir_suspects_refuses(t, 0, request_b));
	talloc_free(t);
}

static void
test_answer_clears_a_request(void **state)
{
	struct ir_suspects *t = table_with_crashes(request_a, 1, 1);

	ir_suspects_clear(t, 0, request_a);
	ir_suspects_add(t, 0, request_a, 2);
	assert_false(ir_suspects_refuses(t, 0, request_a));
	ir_suspects_add(t, 0, request_a, 3);
	assert_true(ir_suspects_refuses(t, 0, request_a));
	talloc_free(t);
}

static void
test_refused_request_may_run_once_after_a_time(void **state)
{
	struct ir_suspects *t = table_with_crashes(request_a, 1, 3);
	int64_t now = IR_SUSPECT_REFUSED_US;

	assert_true(ir_suspects_refuses(t, now - 1, request_a));
	assert_false(ir_suspects_refuses(t, now, request_a));
	ir_suspects_add(t, now, request_a, 9);
	assert_true(ir_suspects_refuses(t, now, request_a));
	talloc_free(t);
}

static void
test_ends_seen_by_several_hosts_add_up(void **state)
{
	struct ir_suspects *t = table_with_crashes(request_a, 1, 1);
	struct ir_suspects *u = table_with_crashes(request_a, 2, 2);

	merge_all(u, t, 0);
	assert_true(ir_suspects_refuses(t, 0, request_a));
	assert_false(ir_suspects_refuses(u, 0, request_a));
	merge_all(t, u, 0);
	assert_true(ir_suspects_refuses(u, 0, request_a));
	ir_suspects_clear(u, 0, request_a);
	merge_all(u, t, 0);
	assert_false(ir_suspects_refuses(t, 0, request_a));
	talloc_free(t);
	talloc_free(u);
}

static void
test_tables_that_exchange_entries_come_to_rest(void **state)
{
	struct ir_suspects *t = table_with_crashes(request_a, 1, 8);
	struct ir_suspects *u = table_with_crashes(request_a, 5, 14);
	uint64_t revisions;

	for (int i = 0; i < 3; i++) {
		merge_all(t, u, 0);
		merge_all(u, t, 0);
	}
	revisions = ir_suspects_revision(t) + ir_suspects_revision(u);
	merge_all(t, u, 0);
	merge_all(u, t, 0);
	assert_int_equal(
	    ir_suspects_revision(t) + ir_suspects_revision(u), revisions);
	talloc_free(t);
	talloc_free(u);
}

static void
test_merged_end_is_as_old_as_it_was(void **state)
{
	struct ir_suspects *t = table_with_crashes(request_a, 1, 3);
	struct ir_suspects *u = ir_suspects_new(NULL);

	merge_all(t, u, IR_SUSPECT_REFUSED_US - 1);
	assert_true(
	    ir_suspects_refuses(u, IR_SUSPECT_REFUSED_US - 1, request_a));
	assert_false(ir_suspects_refuses(u, IR_SUSPECT_REFUSED_US, request_a));
	talloc_free(t);
	talloc_free(u);
}

static void
test_table_is_bounded_and_expires(void **state)
{
	struct ir_suspects *t = ir_suspects_new(NULL);
	uint8_t digest[IR_DIGEST_BYTES] = {0};

	for (uint32_t i = 0; i < 5000; i++) {
		memcpy(digest, &i, sizeof(i));
		ir_suspects_add(t, 0, digest, i);
	}
	assert_in_range(ir_suspects_count(t), 1, 1024);
	assert_true(talloc_total_size(t) < 512 * 1024);
	ir_suspects_expire(t, 2 * IR_SUSPECT_REFUSED_US);
	assert_true(ir_suspects_is_empty(t));
	talloc_free(t);
}

static struct ir_forward
forward(
    const char *method, const char *path, const char *account, const char *body)
{
	struct ir_forward f = {0};

	f.authority = ir_unconst("a.example");
	f.method = ir_unconst(method);
	f.path = ir_unconst(path);
	f.account = ir_unconst(account);
	f.origin = ir_unconst("entry");
	f.body.body_val = ir_unconst(body);
	f.body.body_len = (u_int)strlen(body);
	return f;
}

static bool
same(const struct ir_forward *a, const struct ir_forward *b)
{
	uint8_t x[IR_DIGEST_BYTES], y[IR_DIGEST_BYTES];

	ir_suspects_digest(a, x);
	ir_suspects_digest(b, y);
	return memcmp(x, y, sizeof(x)) == 0;
}

static void
test_request_is_known_by_path_caller_and_body(void **state)
{
	struct ir_forward a = forward("GET", "/p/q", "shops", "x");
	struct ir_forward others[] = {forward("PUT", "/p/q", "shops", "x"),
	    forward("GET", "/p/r", "shops", "x"),
	    forward("GET", "/p/q", "homes", "x"),
	    forward("GET", "/p/q", "shops", "y"),
	    forward("GET", "/p/qs", "hops", "x")};
	struct ir_forward b = a;

	b.origin = ir_unconst("other");
	b.attempt.sequence = 7;
	assert_true(same(&a, &b));
	b.depth = 1;
	assert_false(same(&a, &b));
	for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++)
		assert_false(same(&a, &others[i]));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_two_ends_refuse_a_request),
	    cmocka_unit_test(test_answer_clears_a_request),
	    cmocka_unit_test(test_refused_request_may_run_once_after_a_time),
	    cmocka_unit_test(test_ends_seen_by_several_hosts_add_up),
	    cmocka_unit_test(test_tables_that_exchange_entries_come_to_rest),
	    cmocka_unit_test(test_merged_end_is_as_old_as_it_was),
	    cmocka_unit_test(test_table_is_bounded_and_expires),
	    cmocka_unit_test(test_request_is_known_by_path_caller_and_body),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
