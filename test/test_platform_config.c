/*
 * A configuration of the platform that is odd in one entry is in force in all
 * others, and in full where the oddity has a meaning.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "contract/key.h"
#include "host/section.h"
#include "link/codec.h"
#include "platform/platform.h"

#define SERVICES                                                       \
	"\"services\":{\"alpha\":{\"health_check_path\":\"/health\"}," \
	"\"beta\":{\"health_check_path\":\"/health\"}%s}"
#define ROUTE                                          \
	"\"kind\":\"idempotent\",\"timeout_ms\":1500," \
	"\"target_latency_ms\":1000,\"priority\":1,\"max_attempts\":2"
#define ONE_ROUTE                                                              \
	"\"r-a\":{\"host\":\"a.example\",\"path_prefix\":\"/a/\",\"service\":" \
	"\"alpha\"," ROUTE "}"
#define MEMORY_BYTES ((size_t)160 << 20)

struct fixture {
	struct ir_sections *sections;
	char *error; /* of a section; NULL: none */
};

static int
set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->sections = ir_sections_new(f);
	/* As the smallest node has it. */
	ir_sections_set_max_bytes(f->sections, MEMORY_BYTES / 16);
	*state = f;
	return 0;
}

static int
tear_down(void **state)
{
	talloc_free(*state);
	return 0;
}

/* Applies a version of the configuration, as a full read of the store. */
static const struct ir_view *
apply(struct fixture *f, const char *value, uint64_t revision)
{
	struct ir_store_page page = {0};
	const char *error, **names;

	assert_int_equal(platform_config_sections(
			     f, value, strlen(value), revision, &page, &error),
	    0);
	names = talloc_array(f, const char *, page.item_count);
	TALLOC_FREE(f->error);
	for (size_t i = 0; i < page.item_count; i++) {
		struct ir_section s = {.name = page.items[i].section,
		    .text = page.items[i].text,
		    .revision = revision};
		char *e;

		names[i] = s.name;
		assert_true(strlen(s.text) <= IR_MAX_SECTION_TEXT);
		(void)ir_sections_put(f->sections, f, &s, &e);
		if (e != NULL && f->error == NULL)
			f->error = e;
	}
	ir_sections_remove_absent(
	    f->sections, false, names, page.item_count, revision);
	ir_sections_raise_revisions(f->sections, revision, 0);
	talloc_free(page.items);
	talloc_free(names);
	return ir_sections_view(f->sections);
}

static const struct ir_view *
apply_first_version(struct fixture *f)
{
	return apply(f,
	    "{\"version\":\"00000007\",\"routes\":{" ONE_ROUTE "},"
	    "\"services\":{\"alpha\":{},\"beta\":{}},\"tenants\":{"
	    "\"two\":{\"api_keys\":[\"dropped-key\"],\"priority\":1}}}",
	    7);
}

/* The second version drops a key, adds one and a route, and has two texts. */
static const struct ir_view *
apply_second_version(struct fixture *f, const char *tenants, const char *routes,
    const char *services)
{
	char *value = talloc_asprintf(f,
	    "{\"version\":\"0000000c\",\"routes\":{" ONE_ROUTE
	    ",\"r-b\":{\"host\":\"b.example\",\"path_prefix\":\"/b/\","
	    "\"service\":\"beta\"," ROUTE "}%s}," SERVICES
	    ",\"tenants\":{%s\"two\":{\"api_keys\":[\"new-key\"],"
	    "\"priority\":1}}}",
	    routes, services, tenants);
	const struct ir_view *v = apply(f, value, 12);

	talloc_free(value);
	return v;
}

static const struct ir_account *
account_of(const struct ir_view *v, const char *key)
{
	char digest[IR_KEY_DIGEST_HEX + 1];

	ir_key_digest(key, digest);
	return ir_view_account_by_key(v, digest);
}

static void
assert_second_version_is_in_force(const struct ir_view *v)
{
	assert_null(account_of(v, "dropped-key"));
	assert_non_null(account_of(v, "new-key"));
	assert_string_equal(account_of(v, "new-key")->name, "two");
	assert_non_null(ir_view_route(v, "b.example", "/b/1"));
	assert_string_equal(ir_view_route(v, "a.example", "/a/1")->path, "/a/");
}

static char *
many_keys(TALLOC_CTX *mem, const char *tenant, unsigned count)
{
	char *text = talloc_asprintf(mem, "\"%s\":{\"api_keys\":[", tenant);

	for (unsigned i = 0; i < count; i++)
		text = talloc_asprintf_append_buffer(
		    text, "%s\"onekeyonekeyone%05u\"", i > 0 ? "," : "", i);
	return talloc_asprintf_append_buffer(
	    text, "],\"priority\":1,\"rate_per_s\":400,\"burst\":400},");
}

static char *
many_tenants(TALLOC_CTX *mem, unsigned count)
{
	char *text = talloc_strdup(mem, "");

	for (unsigned i = 0; i < count; i++)
		text = talloc_asprintf_append_buffer(text,
		    "\"t%05u\":{\"api_keys\":[\"keykeykeykeykey%05u\"],"
		    "\"priority\":1,\"rate_per_s\":400,\"burst\":400},",
		    i, i);
	return text;
}

static void
test_65th_key_of_an_account_withholds_no_change_of_others(void **state)
{
	static const unsigned counts[] = {64, 65, 1000, 12000, 30000, 40000};
	const struct ir_view *v;
	char *tenants, last[32];

	for (size_t i = 0; i < sizeof(counts) / sizeof(*counts); i++) {
		struct fixture *f;

		set_up((void **)&f);
		apply_first_version(f);
		tenants = many_keys(f, "one", counts[i]);
		v = apply_second_version(f, tenants, "", "");
		assert_null(f->error);
		assert_second_version_is_in_force(v);
		snprintf(
		    last, sizeof(last), "onekeyonekeyone%05u", counts[i] - 1);
		assert_string_equal(
		    account_of(v, "onekeyonekeyone00000")->name, "one");
		assert_string_equal(account_of(v, last)->name, "one");
		assert_int_equal(v->account_count, 2);
		assert_int_equal(v->key_count, counts[i] + 1);
		talloc_free(f);
	}
}

static void
test_many_accounts_withhold_no_change(void **state)
{
	struct fixture *f = *state;
	const struct ir_view *v;

	apply_first_version(f);
	v = apply_second_version(f, many_tenants(f, 9000), "", "");
	assert_null(f->error);
	assert_second_version_is_in_force(v);
	assert_int_equal(v->account_count, 9001);
	assert_string_equal(
	    account_of(v, "keykeykeykeykey08999")->name, "t08999");
}

static void
test_key_with_a_zero_byte_grants_nothing(void **state)
{
	struct fixture *f = *state;
	const struct ir_view *v;

	apply_first_version(f);
	v = apply_second_version(f,
	    "\"one\":{\"api_keys\":[\"short\\u0000er\",\"long-key\"],"
	    "\"priority\":1},",
	    "", "");
	assert_second_version_is_in_force(v);
	assert_null(account_of(v, "short"));
	assert_string_equal(account_of(v, "long-key")->name, "one");
}

/* Each of them would take the place of the entry that is named before it. */
static void
test_names_with_a_zero_byte_replace_no_others(void **state)
{
	struct fixture *f = *state;
	const struct ir_view *v = apply(f,
	    "{\"version\":\"00000007\",\"routes\":{" ONE_ROUTE
	    ",\"r-a\\u0000\" : {\"host\":\"c.example\",\"path_prefix\":"
	    "\"/c/\",\"service\":\"beta\"," ROUTE "}},"
	    "\"services\":{\"alpha\":{},\"beta\":{}},\"tenants\":{"
	    "\"t\":{\"api_keys\":[\"first-key\"]},"
	    "\"t\\u0000\":{\"api_keys\":[\"second-key\"]},"
	    "\"t\\\\u0000\":{\"api_keys\":[\"third-key\"]}}}",
	    7);

	assert_non_null(account_of(v, "first-key"));
	assert_string_equal(account_of(v, "first-key")->name, "t");
	assert_null(account_of(v, "second-key"));
	assert_string_equal(account_of(v, "third-key")->name, "t\\u0000");
	assert_non_null(ir_view_route(v, "a.example", "/a/1"));
	assert_non_null(ir_view_route(v, "c.example", "/c/1"));
}

/* A list that shrinks to fewer sections leaves nothing behind. */
static void
test_keys_of_a_longer_list_are_withdrawn(void **state)
{
	struct fixture *f = *state;
	const struct ir_view *v;

	apply_second_version(f, many_keys(f, "one", 30000), "", "");
	v = apply(f,
	    "{\"version\":\"0000000d\",\"routes\":{" ONE_ROUTE "},"
	    "\"services\":{\"alpha\":{}},\"tenants\":{"
	    "\"one\":{\"api_keys\":[\"onekeyonekeyone29999\"]}}}",
	    13);
	assert_int_equal(v->key_count, 1);
	assert_null(account_of(v, "onekeyonekeyone00000"));
	assert_null(account_of(v, "onekeyonekeyone20000"));
	assert_non_null(account_of(v, "onekeyonekeyone29999"));
}

/* The sections of the largest value go into one message to a peer. */
static void
test_largest_configuration_fits_into_a_message(void **state)
{
	struct fixture *f = *state;
	struct ir_msg m = {.kind = IR_MSG_VIEW};
	struct ir_section *list;
	uint8_t *record;
	bool full;

	apply_second_version(f, many_keys(f, "one", 45000), "", "");
	m.ir_msg_u.view.sections.sections_len =
	    (u_int)ir_sections_since(f->sections, f, 0, 0, &list, &full);
	m.ir_msg_u.view.sections.sections_val = list;
	assert_true(ir_codec_encode(f, 1, &m, &record) > 0);
}

#define ODD_TENANT(name, more) \
	"\"" name "\":{\"api_keys\":[\"odd-key\"" more "},"

static const char *const odd_tenants[] = {
    ODD_TENANT("Acme_1.x", "]"),
    ODD_TENANT("Acme and sons", "]"),
    ODD_TENANT("odd", "],\"rate_per_s\":0.0005,\"burst\":1"),
    ODD_TENANT("odd", "],\"rate_per_s\":1e10,\"burst\":1e10"),
    ODD_TENANT("odd", ",\"odd-key\"]"),
    ODD_TENANT("odd", "]") ODD_TENANT("other", "]"),
    ODD_TENANT("odd", "],\"priority\":9"),
    ODD_TENANT("odd", "],\"priority\":-1"),
};

static void
test_odd_account_is_served_beside_the_others(void **state)
{
	for (size_t i = 0; i < sizeof(odd_tenants) / sizeof(*odd_tenants);
	     i++) {
		const struct ir_view *v;
		struct fixture *f;

		set_up((void **)&f);
		apply_first_version(f);
		v = apply_second_version(f, odd_tenants[i], "", "");
		assert_second_version_is_in_force(v);
		assert_non_null(account_of(v, "odd-key"));
		assert_memory_equal(account_of(v, "odd-key")->name,
		    odd_tenants[i] + 1, strlen(account_of(v, "odd-key")->name));
		talloc_free(f);
	}
}

#define ODD_ROUTE \
	",\"r-odd\":{\"host\":\"odd.example\",\"path_prefix\":\"/odd/\","
#define ODD_SPLIT(parts) ODD_ROUTE ROUTE ",\"traffic_split\":[" parts "]}"
#define PART(service, weight) \
	"{\"service\":\"" service "\",\"weight\":" weight "}"

static const char *const odd_routes[] = {
    ODD_SPLIT(PART("alpha", "0.9") "," PART("beta", "0.1")),
    ODD_SPLIT(PART("alpha", "0.5") "," PART("beta", "0.5")),
    ODD_SPLIT(PART("alpha", "9e9") "," PART("beta", "1e9")),
    ODD_ROUTE "\"service\":\"alpha\",\"kind\":\"idempotent\","
	      "\"timeout_ms\":700000,\"target_latency_ms\":700000,"
	      "\"priority\":9,\"max_attempts\":100}",
    ODD_ROUTE "\"service\":\"alpha\",\"kind\":\"idempotent\","
	      "\"timeout_ms\":0.5,\"target_latency_ms\":0.5}",
    ODD_ROUTE "\"service\":\"alpha\",\"kind\":\"any\"}",
    ODD_ROUTE "\"service\":\"Beta_2.x\"," ROUTE "}",
    ODD_ROUTE "\"service\":\"alpha\"," ROUTE "},\"r-odd-2\":{"
	      "\"host\":\"odd.example\",\"path_prefix\":\"/odd/\",\"service\":"
	      "\"beta\"," ROUTE "}",
};

static void
test_odd_route_is_served_beside_the_others(void **state)
{
	for (size_t i = 0; i < sizeof(odd_routes) / sizeof(*odd_routes); i++) {
		const struct ir_route *r;
		const struct ir_view *v;
		struct fixture *f;

		set_up((void **)&f);
		apply_first_version(f);
		v = apply_second_version(
		    f, "", odd_routes[i], ",\"Beta_2.x\":{}");
		assert_second_version_is_in_force(v);
		assert_non_null(ir_view_service(v, "Beta_2.x"));
		r = ir_view_route(v, "odd.example", "/odd/1");
		assert_non_null(r);
		assert_true(r->service_count > 0);
		assert_true(r->deadline_ms > 0);
		talloc_free(f);
	}
}

static double
weight_share(const struct ir_route *r, const char *service)
{
	double sum = 0, own = 0;

	for (size_t i = 0; i < r->service_count; i++) {
		sum += r->services[i].weight;
		if (strcmp(r->services[i].service, service) == 0)
			own += r->services[i].weight;
	}
	return own / sum;
}

static void
test_fractional_weights_keep_their_ratio(void **state)
{
	struct fixture *f = *state;
	const struct ir_view *v;

	v = apply_second_version(
	    f, "", ODD_SPLIT(PART("alpha", "0.9") "," PART("beta", "0.1")), "");
	assert_float_equal(
	    weight_share(ir_view_route(v, "odd.example", "/odd/"), "alpha"),
	    0.9, 1e-6);
	/* Integers stay as they are: other builds read them so. */
	v = apply(f,
	    "{\"version\":\"00000010\",\"routes\":{\"r\":{\"host\":\"c\","
	    "\"path_prefix\":\"/\"," ROUTE
	    ",\"traffic_split\":[" PART("alpha", "70") "," PART(
		"beta", "30") "]}},"
			      "\"services\":{\"alpha\":{},\"beta\":{}}}",
	    16);
	assert_int_equal(ir_view_route(v, "c", "/")->services[0].weight, 70);
}

static void
test_long_list_of_a_split_is_in_force(void **state)
{
	struct fixture *f = *state;
	char *routes = talloc_strdup(f, ODD_ROUTE ROUTE ",\"traffic_split\":[");
	const struct ir_view *v;

	for (int i = 0; i < 300; i++)
		routes = talloc_asprintf_append_buffer(routes,
		    "%s{\"service\":\"s%d\",\"weight\":1}", i > 0 ? "," : "",
		    i);
	routes = talloc_asprintf_append_buffer(routes, "]}");
	v = apply_second_version(f, "", routes, "");
	assert_null(f->error);
	assert_second_version_is_in_force(v);
	assert_int_equal(
	    ir_view_route(v, "odd.example", "/odd/")->service_count, 300);
}

static void
test_long_path_prefix_is_in_force(void **state)
{
	struct fixture *f = *state;
	char path[1501], *routes;
	const struct ir_view *v;

	memset(path, 'x', sizeof(path));
	path[0] = path[sizeof(path) - 2] = '/';
	path[sizeof(path) - 1] = '\0';
	routes = talloc_asprintf(f,
	    ",\"r-odd\":{\"host\":\"odd.example\",\"path_prefix\":\"%s\","
	    "\"service\":\"alpha\"," ROUTE "}",
	    path);
	v = apply_second_version(f, "", routes, "");
	assert_second_version_is_in_force(v);
	assert_non_null(ir_view_route(v, "odd.example", path));
}

static void
test_many_routes_are_in_force(void **state)
{
	struct fixture *f = *state;
	char *routes = talloc_strdup(f, "");
	const struct ir_view *v;

	for (int i = 0; i < 10000; i++)
		routes = talloc_asprintf_append_buffer(routes,
		    ",\"x%d\":{\"host\":\"x\",\"path_prefix\":\"/%d/\","
		    "\"kind\":\"idempotent\",\"service\":\"alpha\"}",
		    i, i);
	v = apply_second_version(f, "", routes, "");
	assert_null(f->error);
	assert_second_version_is_in_force(v);
	assert_int_equal(v->route_count, 10002);
	assert_non_null(ir_view_route(v, "x", "/9999/1"));
}

#define WITH_SECTIONS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_65th_key_of_an_account_withholds_no_change_of_others),
	    WITH_SECTIONS(test_many_accounts_withhold_no_change),
	    WITH_SECTIONS(test_key_with_a_zero_byte_grants_nothing),
	    WITH_SECTIONS(test_names_with_a_zero_byte_replace_no_others),
	    WITH_SECTIONS(test_keys_of_a_longer_list_are_withdrawn),
	    WITH_SECTIONS(test_largest_configuration_fits_into_a_message),
	    cmocka_unit_test(test_odd_account_is_served_beside_the_others),
	    cmocka_unit_test(test_odd_route_is_served_beside_the_others),
	    WITH_SECTIONS(test_fractional_weights_keep_their_ratio),
	    WITH_SECTIONS(test_long_list_of_a_split_is_in_force),
	    WITH_SECTIONS(test_long_path_prefix_is_in_force),
	    WITH_SECTIONS(test_many_routes_are_in_force),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
