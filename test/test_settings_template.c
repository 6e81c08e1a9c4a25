/*
 * The settings that deploy/settings.tmpl gives a program that fills in a fixed
 * set of placeholders, as stand-ins of other projects do.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "conf/file.h"
#include "conf/settings.h"

#define MAX_BYTES 65536
#define MEMORY_SECTION \
	"{{#limits.memory_mb}}\"memory_mb\": {{.}},{{/limits.memory_mb}}"

struct placeholder {
	const char *text;
	const char *value;
};

static const struct placeholder known[] = {
    {MEMORY_SECTION, "\"memory_mb\": 260,"},
    {"{{internal_port_range.0}}", "7000"},
    {"{{listen_addresses.outbound}}", "10.1.0.26:8548"},
    {"{{listen_addresses.ready}}", "10.1.0.26:8546"},
    {"{{platform.address}}", "10.200.1.7:8545"},
    {"{{application_address}}", "10.1.0.26:8547"},
    {"{{ip}}", "10.1.0.26"},
    {"{{service}}", "catalogo"},
    {"{{region}}", "sierra"},
    {"{{zone}}", "sierra-cuenca"},
    {"{{bounds.quota_overage}}", "0.25"},
    {"{{bounds.quota_slack}}", "20"},
    {"{{bounds.quota_window_s}}", "5"},
    {"{{zones|json}}", "{\"sierra-cuenca\":\"sierra\"}"},
};

static char *
replace_all(TALLOC_CTX *mem, const char *text, const char *old, const char *new)
{
	char *out = talloc_strdup(mem, "");
	const char *at;

	while ((at = strstr(text, old)) != NULL) {
		out = talloc_strndup_append(out, text, (size_t)(at - text));
		out = talloc_strdup_append(out, new);
		text = at + strlen(old);
	}
	return talloc_strdup_append(out, text);
}

static char *
drop_section(TALLOC_CTX *mem, char *text, const char *name)
{
	char *begin = strstr(text, talloc_asprintf(mem, "{{#%s}}", name));
	const char *close = talloc_asprintf(mem, "{{/%s}}", name), *end;

	if (begin == NULL)
		return text;
	end = strstr(begin, close);
	assert_non_null(end);
	*begin = '\0';
	return talloc_asprintf(mem, "%s%s", text, end + strlen(close));
}

static struct ir_settings *
read_filled_template(TALLOC_CTX *mem)
{
	size_t size;
	char *error = NULL;
	const char *bytes =
	    ir_file_read(mem, "deploy/settings.tmpl", MAX_BYTES, &size, &error);
	struct ir_settings *s;
	char *text;

	assert_non_null(bytes);
	text = talloc_strndup(mem, bytes, size);
	for (size_t i = 0; i < sizeof(known) / sizeof(known[0]); i++)
		text = replace_all(mem, text, known[i].text, known[i].value);
	text = drop_section(mem, text, "bounds.cold_overage");
	text = drop_section(mem, text, "bounds.evacuation_ms");
	if (strstr(text, "{{") != NULL)
		fail_msg("not filled in: %.40s", strstr(text, "{{"));
	s = ir_settings_parse(mem, "f", text, &error);
	if (s == NULL)
		fail_msg("%s", error);
	return s;
}

/* Programs that do not know a placeholder cannot start a node. */
static void
test_template_has_no_unknown_placeholder(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_settings *s = read_filled_template(mem);

	assert_string_equal(s->host, "10.1.0.26");
	assert_int_equal(s->memory_mb, 260);
	talloc_free(mem);
}

/* A stop without a grace period takes only short work, and cuts none. */
static void
test_stop_without_a_known_grace_period(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_settings *s = read_filled_template(mem);

	assert_false(s->has_stop_times);
	assert_int_equal(s->finish_ms, 2500);
	assert_int_equal(s->drain_ms, 20000);
	ir_settings_set_grace(s, 0);
	assert_int_equal(s->drain_ms, 20000);
	ir_settings_set_grace(s, 6);
	assert_int_equal(s->drain_ms, 5000);
	assert_int_equal(s->stop_ms, 5600);
	assert_int_equal(s->finish_ms, 5000);
	assert_int_equal(s->leave_ms, 3000);
	talloc_free(mem);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_template_has_no_unknown_placeholder),
	    cmocka_unit_test(test_stop_without_a_known_grace_period),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
