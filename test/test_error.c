/* The table of error kinds: complete, and its retry rules consistent. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/error.h"

static void
test_every_kind_has_a_row(void **state)
{
	for (int k = 0; k < IR_ERROR_COUNT; k++) {
		const struct ir_error_info *i = ir_error_info(k);

		assert_non_null(i->name);
		assert_non_null(i->text);
		assert_in_range(i->http_status, 200, 599);
	}
}

static void
test_only_errors_not_run_are_retried_elsewhere(void **state)
{
	for (int k = 0; k < IR_ERROR_COUNT; k++) {
		const struct ir_error_info *i = ir_error_info(k);

		if (i->retry_elsewhere)
			assert_int_equal(i->outcome, IR_OUTCOME_NOT_RUN);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_every_kind_has_a_row),
	    cmocka_unit_test(test_only_errors_not_run_are_retried_elsewhere),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
