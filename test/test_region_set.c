/* Sets of allowed regions. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/unconst.h"
#include "link/peer.h"
#include "zone/region_set.h"

static const char *const none[] = {NULL};
static const char *const r1[] = {"r1", NULL};
static const char *const r12[] = {"r1", "r2", NULL};
static const char *const r23[] = {"r2", "r3", NULL};

/* The set as text, in a buffer that the next call overwrites. */
static const char *
text(const char *const *set)
{
	static char buffer[64];

	return ir_region_set_text(set, buffer, sizeof(buffer));
}

static void
test_null_allows_all_and_an_empty_set_none(void **state)
{
	assert_true(ir_region_set_has(NULL, "r1"));
	assert_false(ir_region_set_has(none, "r1"));
	assert_true(ir_region_set_has(r12, "r2"));
	assert_false(ir_region_set_has(r12, "r"));
	assert_true(ir_region_set_is_within(none, r1));
	assert_true(ir_region_set_is_within(r1, r12));
	assert_false(ir_region_set_is_within(r12, r1));
	assert_false(ir_region_set_is_within(NULL, r12));
	assert_true(ir_region_set_is_within(NULL, NULL));
	assert_int_equal(ir_region_set_count(r12), 2);
	assert_int_equal(ir_region_set_count(NULL), 0);
}

/* Guards against an empty intersection that is taken for all regions. */
static void
test_intersection(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	const char *const *set;

	assert_null(ir_region_set_intersect(mem, NULL, NULL));
	assert_string_equal(
	    text(ir_region_set_intersect(mem, r12, NULL)), "r1,r2");
	assert_string_equal(
	    text(ir_region_set_intersect(mem, NULL, r23)), "r2,r3");
	assert_string_equal(text(ir_region_set_intersect(mem, r12, r23)), "r2");
	set = ir_region_set_intersect(mem, r1, r23);
	assert_non_null(set);
	assert_string_equal(text(set), "none");
	assert_string_equal(
	    text(ir_region_set_intersect(mem, NULL, set)), "none");
	talloc_free(mem);
}

/* Guards against a name that makes the message to the gate unsendable. */
static void
test_names_that_no_host_has_are_left_out(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char name[IR_MAX_NAME + 2];
	char *names[] = {name, ir_unconst("r1"), ir_unconst("r1")};

	memset(name, 'r', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	assert_string_equal(text(ir_region_set_new(mem, names, 3)), "r1");
	assert_string_equal(text(ir_region_set_new(mem, names, 1)), "none");
	assert_string_equal(text(ir_region_set_new(mem, NULL, 0)), "none");
	talloc_free(mem);
}

static void
test_text_is_cut_off(void **state)
{
	char buffer[5];

	assert_string_equal(
	    ir_region_set_text(r12, buffer, sizeof(buffer)), "r1,r");
	assert_string_equal(text(NULL), "any");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_null_allows_all_and_an_empty_set_none),
	    cmocka_unit_test(test_intersection),
	    cmocka_unit_test(test_names_that_no_host_has_are_left_out),
	    cmocka_unit_test(test_text_is_cut_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
