/* The example configuration is valid. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "conf/collect.h"
#include "conf/settings.h"
#include "host/section.h"

static const char *const examples[] = {
    "accounts",
    "fleet",
    "service/catalogue",
    "service/search",
    "service/stock",
};

#define EXAMPLES (sizeof(examples) / sizeof(examples[0]))

static void
test_sections_are_collected(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char *error = NULL;
	const struct ir_config_files *sources = ir_config_files_read(mem,
	    "conf/fleet.json", "conf/accounts.json", "conf/service", &error);
	const struct ir_collect_result *c;

	if (sources == NULL)
		fail_msg("%s", error);
	c = ir_collect(mem, sources, NULL, 0, 1);
	if (c->error_count > 0)
		fail_msg("%s", c->errors[0]);
	assert_int_equal(c->section_count, EXAMPLES);
	for (size_t i = 0; i < EXAMPLES; i++) {
		const struct ir_section *s = &c->sections[i];

		assert_string_equal(s->name, examples[i]);
		if (ir_section_check(mem, s->name, s->text, &error) != 0)
			fail_msg("%s: %s", s->name, error);
	}
	talloc_free(mem);
}

static void
test_settings_parse(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char *error = NULL;

	if (ir_settings_read(mem, "conf/settings.json", &error) == NULL)
		fail_msg("%s", error);
	talloc_free(mem);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_sections_are_collected),
	    cmocka_unit_test(test_settings_parse),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
