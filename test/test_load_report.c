/* What upstreams report of their load and speed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/unconst.h"
#include "upstream/load_report.h"

#define MS IR_US_PER_MS
#define HEADER "Load"

static enum ir_load_report_change
answered(struct ir_upstream_load *l, int64_t now, const char *text)
{
	struct ir_header h = {ir_unconst("load"), ir_unconst(text)};
	bool refused;

	return ir_upstream_load_answered(
	    l, now, HEADER, &h, text[0] != '\0', &refused);
}

static void
test_reports_are_read(void **state)
{
	struct ir_load_report r;

	assert_true(ir_load_report_parse("3,0,36", &r));
	assert_int_equal(r.slots, 36);
	assert_int_equal(r.work_percent, 0);
	assert_true(ir_load_report_parse("36,12,36,250", &r));
	assert_int_equal(r.running, 36);
	assert_int_equal(r.waiting, 12);
	assert_int_equal(r.work_percent, 250);
}

static void
test_nonsense_changes_nothing(void **state)
{
	static const char *const bad[] = {"", ",", "1", "1,2", "1,2,", "1,2,0",
	    "1,2,0,100", "1,2,3,", "1,2,3,0", "1,2,3,10001", "1,2,3,100,",
	    "1,2,3,100,5", "-1,2,3,100", "1,2,3,+100", "1,2,3, 100",
	    "1,2,3,1e2", "1,2,3,100.0", "0x1,2,3,100", "1;2;3;100",
	    "1000001,2,3,100", "1,2,65537,100", "4294967297,2,3,100",
	    "1,99999999999999999999,3,100", "nan,2,3,100", "1,2,3,1\x01"};
	struct ir_upstream_load l = {0};
	struct ir_load_report r;

	(void)answered(&l, 0, "1,2,36,140");
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		assert_false(ir_load_report_parse(bad[i], &r));
		assert_int_equal(answered(&l, MS, bad[i]), IR_LOAD_REPORT_SAME);
		assert_float_equal(ir_upstream_load_slowdown(&l, MS), 1.4, 0);
		assert_int_equal(ir_upstream_load_slots(&l), 36);
	}
}

static void
test_speed_expires_and_slots_do_not(void **state)
{
	struct ir_upstream_load l = {0};

	assert_float_equal(ir_upstream_load_slowdown(&l, 0), 0, 0);
	(void)answered(&l, 5 * MS, "1,2,36,250");
	assert_float_equal(ir_upstream_load_slowdown(&l, 1005 * MS), 2.5, 0);
	assert_float_equal(ir_upstream_load_slowdown(&l, 1006 * MS), 0, 0);
	assert_int_equal(ir_upstream_load_slots(&l), 36);
}

static void
test_reports_without_speed_give_slots_until_they_stop(void **state)
{
	struct ir_upstream_load l = {0};

	assert_int_equal(answered(&l, 0, "1,2,36"), IR_LOAD_REPORT_SAME);
	assert_int_equal(ir_upstream_load_slots(&l), 36);
	assert_float_equal(ir_upstream_load_slowdown(&l, 0), 0, 0);
	assert_int_equal(answered(&l, 1000 * MS, ""), IR_LOAD_REPORT_SAME);
	assert_int_equal(ir_upstream_load_slots(&l), 36);
	assert_int_equal(answered(&l, 1001 * MS, ""), IR_LOAD_REPORT_SAME);
	assert_int_equal(ir_upstream_load_slots(&l), 0);
}

static void
test_end_of_reports_is_noticed_by_answers_without_them(void **state)
{
	struct ir_upstream_load l = {0};

	assert_int_equal(
	    answered(&l, 0, "1,2,36,100"), IR_LOAD_REPORT_APPEARED);
	assert_int_equal(answered(&l, MS, "1,2,36,90"), IR_LOAD_REPORT_SAME);
	assert_int_equal(answered(&l, 2 * MS, ""), IR_LOAD_REPORT_SAME);
	assert_int_equal(
	    answered(&l, 1002 * MS, "x"), IR_LOAD_REPORT_DISAPPEARED);
	assert_int_equal(ir_upstream_load_slots(&l), 0);
	assert_int_equal(answered(&l, 1003 * MS, ""), IR_LOAD_REPORT_SAME);
	assert_int_equal(
	    answered(&l, 2000 * MS, "1,2,36,100"), IR_LOAD_REPORT_APPEARED);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_reports_are_read),
	    cmocka_unit_test(test_nonsense_changes_nothing),
	    cmocka_unit_test(test_speed_expires_and_slots_do_not),
	    cmocka_unit_test(
		test_reports_without_speed_give_slots_until_they_stop),
	    cmocka_unit_test(
		test_end_of_reports_is_noticed_by_answers_without_them),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
