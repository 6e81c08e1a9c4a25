/* Every event has a catalogue entry, and docs/EVENTS.md is up to date. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "log/catalogue.h"

static void
test_every_event_is_explained(void **state)
{
	const struct ir_event_info *e;

	for (e = ir_event_table(); e->name != NULL; e++) {
		const struct ir_event_text *t = ir_event_text(e->event);

		assert_non_null(t);
		assert_string_not_equal(t->meaning, "");
		assert_string_not_equal(t->action, "");
	}
}

static void
test_events_are_found_by_name_and_number(void **state)
{
	assert_int_equal(ir_event_find("link-lost")->event, IR_EVENT_LINK_LOST);
	assert_int_equal(ir_event_find("301")->event, IR_EVENT_LINK_LOST);
	assert_null(ir_event_find("301x"));
	assert_null(ir_event_find(""));
	assert_null(ir_event_find("nothing"));
	assert_null(ir_event_find("99999"));
}

static void
test_page_equals_catalogue(void **state)
{
	static char page[1 << 18];
	FILE *f = fopen("docs/EVENTS.md", "re");
	char *expected = ir_catalogue_markdown(NULL);
	size_t n;

	assert_non_null(f);
	n = fread(page, 1, sizeof(page) - 1, f);
	fclose(f);
	page[n] = '\0';
	assert_string_equal(page, expected);
	talloc_free(expected);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_every_event_is_explained),
	    cmocka_unit_test(test_events_are_found_by_name_and_number),
	    cmocka_unit_test(test_page_equals_catalogue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
