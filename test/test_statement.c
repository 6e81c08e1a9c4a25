/* What an upstream says of itself in its answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/unconst.h"
#include "upstream/statement.h"

static const struct ir_statement_headers names = {"Limit", "Leaving", NULL};

static struct ir_header
header(const char *name, const char *value)
{
	struct ir_header h = {ir_unconst(name), ir_unconst(value)};

	return h;
}

static struct ir_statement
read_one(const char *name, const char *value)
{
	struct ir_header h = header(name, value);

	return ir_statement_read(&names, &h, 1);
}

static void
test_decimal_rates_are_read(void **state)
{
	assert_int_equal(read_one("limit", "4.2").rate_mt_per_s, 4200);
	assert_int_equal(read_one("Limit", "0").rate_mt_per_s, 0);
	assert_int_equal(read_one("Limit", ".5").rate_mt_per_s, 500);
	assert_true(read_one("Limit", "0").limited);
	assert_true(read_one("Leaving", "1").leaving);
}

static void
test_invalid_statements_are_ignored(void **state)
{
	static const char *const bad[] = {
	    "", "-1", "nan", "inf", "1e3", "0x10", "4 2", "4.2.1", "."};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_false(read_one("Limit", bad[i]).limited);
	assert_false(read_one("Leaving", "0").leaving);
	assert_false(read_one("Leaving", "yes").leaving);
}

static void
test_lowest_of_several_rates_counts(void **state)
{
	struct ir_header h[] = {
	    header("Limit", "9"), header("Limit", "3"), header("Limit", "5")};

	assert_int_equal(ir_statement_read(&names, h, 3).rate_mt_per_s, 3000);
}

static void
test_dialect_without_headers_reads_nothing(void **state)
{
	static const struct ir_statement_headers none;
	struct ir_header h = header("Limit", "9");

	assert_false(ir_statement_read(&none, &h, 1).limited);
}

static void
test_limit_ends_with_an_answer_to_a_later_run_only(void **state)
{
	static const struct ir_statement limit = {
	    .limited = true, .rate_mt_per_s = 4000};
	static const struct ir_statement nothing;
	struct ir_upstream_status u = {0};

	assert_true(ir_upstream_status_apply(&u, 100, 50, &limit));
	assert_false(ir_upstream_status_apply(&u, 110, 60, &nothing));
	assert_true(u.said.limited);
	assert_true(ir_upstream_status_apply(&u, 200, 120, &nothing));
	assert_false(u.said.limited);
}

static void
test_leaving_is_not_taken_back(void **state)
{
	static const struct ir_statement leaving = {.leaving = true};
	static const struct ir_statement nothing;
	struct ir_upstream_status u = {0};

	assert_true(ir_upstream_status_apply(&u, 100, 50, &leaving));
	assert_false(ir_upstream_status_apply(&u, 200, 150, &nothing));
	assert_true(u.said.leaving);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_decimal_rates_are_read),
	    cmocka_unit_test(test_invalid_statements_are_ignored),
	    cmocka_unit_test(test_lowest_of_several_rates_counts),
	    cmocka_unit_test(test_dialect_without_headers_reads_nothing),
	    cmocka_unit_test(
		test_limit_ends_with_an_answer_to_a_later_run_only),
	    cmocka_unit_test(test_leaving_is_not_taken_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
