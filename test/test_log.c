/* Log lines are valid JSON objects for any fields, and are limited in rate. */
#include <json-c/json.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "log/log.h"
#include "log/value.h"

static char text[1 << 20];

/* Reads the file into text and truncates it. */
static const char *
read_and_truncate(FILE *f)
{
	size_t n;

	rewind(f);
	n = fread(text, 1, sizeof(text) - 1, f);
	text[n] = '\0';
	assert_int_equal(ftruncate(fileno(f), 0), 0);
	rewind(f);
	return text;
}

static size_t
count_lines(const char *s)
{
	size_t n = 0;

	for (; *s != '\0'; s++)
		n += *s == '\n';
	return n;
}

static void
test_text_from_outside_adds_no_field(void **state)
{
	static const char key[] = "a\0b revision=7\"\\\n\xc3\xa9 =";
	char buffer[IR_LOG_VALUE_BYTES], large[2 * IR_LOG_VALUE_BYTES];

	assert_string_equal(ir_log_value(buffer, key, sizeof(key) - 1),
	    "a?b?revision=7\"\\?"
	    "???"
	    "=");
	assert_string_equal(ir_log_value(buffer, NULL, 0), "");
	memset(large, 'x', sizeof(large));
	assert_int_equal(strlen(ir_log_value(buffer, large, sizeof(large))),
	    IR_LOG_VALUE_BYTES - 1);
}

static struct json_object *
member(struct json_object *obj, const char *key)
{
	struct json_object *v = NULL;

	assert_true(json_object_object_get_ex(obj, key, &v));
	return v;
}

static int
set_up(void **state)
{
	FILE *f = tmpfile();

	*state = f;
	return f == NULL;
}

static int
tear_down(void **state)
{
	return fclose(*state);
}

static void
test_line_has_all_members(void **state)
{
	struct ir_log *l;
	struct json_object *obj, *fields;

	l = ir_log_new(NULL, fileno(*state), "h1", IR_LEVEL_NOTICE);
	ir_log_event(l, 1, IR_EVENT_STARTED,
	    "callers_port=8080 text=two words zone=z1 id=007");
	obj = json_tokener_parse(read_and_truncate(*state));
	assert_non_null(obj);
	assert_int_equal(json_object_get_int(member(obj, "event")), 100);
	assert_string_equal(
	    json_object_get_string(member(obj, "name")), "started");
	assert_string_equal(json_object_get_string(member(obj, "host")), "h1");
	fields = member(obj, "fields");
	assert_true(
	    json_object_is_type(member(fields, "callers_port"), json_type_int));
	assert_string_equal(
	    json_object_get_string(member(fields, "text")), "two words");
	assert_string_equal(
	    json_object_get_string(member(fields, "id")), "007");
	json_object_put(obj);
	talloc_free(l);
}

static void
test_untrusted_fields_stay_on_one_line(void **state)
{
	struct json_object *obj;
	struct ir_log *l;

	l = ir_log_new(NULL, fileno(*state), "h1", IR_LEVEL_NOTICE);
	ir_log_event(l, 1, IR_EVENT_STARTED,
	    "no name \"}\n{\"event\":1} path=/\xff\xfe\x01\\ =x");
	assert_int_equal(count_lines(read_and_truncate(*state)), 1);
	obj = json_tokener_parse(text);
	assert_non_null(obj);
	assert_int_equal(json_object_get_int(member(obj, "event")), 100);
	json_object_put(obj);
	talloc_free(l);
}

static void
test_less_severe_events_are_left_out(void **state)
{
	struct ir_log *l;

	l = ir_log_new(NULL, fileno(*state), "h1", IR_LEVEL_ERROR);
	ir_log_event(l, 1, IR_EVENT_STARTED, NULL);
	ir_log_event(l, 1, IR_EVENT_SETTINGS_BAD, NULL);
	ir_log_event(l, 1, (enum ir_event)99999, NULL);
	assert_int_equal(count_lines(read_and_truncate(*state)), 1);
	talloc_free(l);
}

static void
test_repeats_are_limited_and_counted(void **state)
{
	struct json_object *obj;
	struct ir_log *l;

	l = ir_log_new(NULL, fileno(*state), "h1", IR_LEVEL_NOTICE);
	for (int i = 0; i < IR_LOG_MAX_LINES_PER_S + 7; i++)
		ir_log_event(l, 5, IR_EVENT_LINK_LOST, "peer=h2");
	ir_log_event(l, 5, IR_EVENT_LINK_UP, "peer=h2");
	assert_int_equal(
	    count_lines(read_and_truncate(*state)), IR_LOG_MAX_LINES_PER_S + 1);
	ir_log_event(l, 5 + IR_US_PER_S, IR_EVENT_LINK_LOST, "peer=h2");
	obj = json_tokener_parse(read_and_truncate(*state));
	assert_int_equal(json_object_get_int(member(obj, "suppressed")), 7);
	json_object_put(obj);
	talloc_free(l);
}

static void *
log_events(void *arg)
{
	for (int i = 0; i < 200; i++)
		ir_log_event(arg, i * IR_US_PER_S, IR_EVENT_LINK_UP, "peer=h2");
	return NULL;
}

static void
test_threads_do_not_mix_lines(void **state)
{
	pthread_t threads[4];
	struct ir_log *l;
	char *line, *save;

	l = ir_log_new(NULL, fileno(*state), "h1", IR_LEVEL_NOTICE);
	for (int i = 0; i < 4; i++)
		assert_int_equal(
		    pthread_create(&threads[i], NULL, log_events, l), 0);
	for (int i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	read_and_truncate(*state);
	for (line = strtok_r(text, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		struct json_object *obj = json_tokener_parse(line);

		assert_non_null(obj);
		json_object_put(obj);
	}
	talloc_free(l);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_text_from_outside_adds_no_field),
	    cmocka_unit_test_setup_teardown(
		test_line_has_all_members, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_untrusted_fields_stay_on_one_line, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_less_severe_events_are_left_out, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_repeats_are_limited_and_counted, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_threads_do_not_mix_lines, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
