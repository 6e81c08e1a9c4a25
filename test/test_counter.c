/* Names of counters, and the text exposition format. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "metric/exposition.h"

static void
test_names_have_prefix_and_suffix_and_are_unique(void **state)
{
	for (int i = 0; i < IR_COUNTER_COUNT; i++) {
		const char *name = ir_counter_name(i);

		assert_non_null(name);
		assert_non_null(ir_counter_help(i));
		assert_int_equal(strncmp(name, "ibisrail_", 9), 0);
		assert_string_equal(name + strlen(name) - 6, "_total");
		for (int k = 0; k < i; k++)
			assert_string_not_equal(name, ir_counter_name(k));
	}
	assert_null(ir_counter_name(IR_COUNTER_COUNT));
	assert_null(ir_counter_help(IR_COUNTER_COUNT));
}

static void
test_exposition_has_counters_and_gauges(void **state)
{
	struct ir_gauge g = {"ibisrail_running", "Requests running.", -3};
	struct ir_counters c = {{0}};
	const struct ir_metric_set e = {&c, &g, 1, NULL};
	char *text;
	double v;

	ir_counters_add(&c, IR_COUNTER_RUNS, 40);
	ir_counters_add(&c, IR_COUNTER_RUNS, 2);
	text = ir_exposition_write(NULL, "h\"1\\\n", &e);
	assert_non_null(
	    strstr(text, "# TYPE ibisrail_runs_total counter\n"
			 "ibisrail_runs_total{host=\"h\\\"1\\\\\\n\"} 42\n"));
	assert_non_null(
	    strstr(text, "# TYPE ibisrail_running gauge\n"
			 "ibisrail_running{host=\"h\\\"1\\\\\\n\"} -3\n"));
	assert_true(ir_exposition_read(text, "ibisrail_runs_total", &v));
	assert_true(v == 42);
	assert_true(ir_exposition_read(text, "ibisrail_running", &v));
	assert_true(v == -3);
	assert_false(ir_exposition_read(text, "ibisrail_run", &v));
	assert_false(ir_exposition_read("a{b=\"", "a", &v));
	for (int i = 0; i < IR_COUNTER_COUNT; i++)
		assert_non_null(strstr(text, ir_counter_name(i)));
	talloc_free(text);
}

static void
test_exposition_has_cumulative_histograms(void **state)
{
	struct ir_histograms h = {0};
	struct ir_counters c = {{0}};
	const struct ir_metric_set e = {&c, NULL, 0, &h};
	char *text;

	ir_histogram_add(&h, IR_HISTOGRAM_RUN, 1000);
	ir_histogram_add(&h, IR_HISTOGRAM_RUN, 1001);
	ir_histogram_add(&h, IR_HISTOGRAM_RUN, 20000000);
	text = ir_exposition_write(NULL, "h", &e);
	assert_non_null(
	    strstr(text, "# TYPE ibisrail_run_seconds histogram\n"
			 "ibisrail_run_seconds_bucket{host=\"h\",le=\"0.001\"} "
			 "1\n"
			 "ibisrail_run_seconds_bucket{host=\"h\",le=\"0.005\"} "
			 "2\n"));
	assert_non_null(strstr(text, "{host=\"h\",le=\"10\"} 2\n"
				     "ibisrail_run_seconds_bucket{host=\"h\","
				     "le=\"+Inf\"} 3\n"));
	assert_non_null(
	    strstr(text, "ibisrail_run_seconds_sum{host=\"h\"} 20.002001\n"
			 "ibisrail_run_seconds_count{host=\"h\"} 3\n"));
	talloc_free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_names_have_prefix_and_suffix_and_are_unique),
	    cmocka_unit_test(test_exposition_has_counters_and_gauges),
	    cmocka_unit_test(test_exposition_has_cumulative_histograms),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
