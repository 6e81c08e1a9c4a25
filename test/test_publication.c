/* Parsers of published sections: errors name the path of the member. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "conf/publication.h"
#include "host/section.h"

#define A64 "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define B64 "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static const char fleet[] =
    "{\"generation\":1,\"store_region\":\"r1\",\"link_bytes_per_s\":3750000,"
    "\"unconfirmed_view\":\"refuse\"}";
static const char accounts[] =
    "{\"generation\":1,\"accounts\":["
    "{\"name\":\"b\",\"rate_per_s\":0.5,\"burst\":2,\"weight\":1,"
    "\"key_digests\":[\"" A64 "\"]},"
    "{\"name\":\"a\",\"rate_per_s\":10,\"burst\":50,\"weight\":3,"
    "\"key_digests\":[\"" B64 "\"]}]}";
static const char service[] =
    "{\"generation\":4,\"name\":\"s\",\"slots\":36,\"routes\":["
    "{\"method\":\"GET\",\"path\":\"/\",\"importance\":0,\"deadline_ms\":500,"
    "\"idempotent\":true,\"open\":true,\"retries\":2},"
    "{\"method\":\"POST\",\"path\":\"/x\",\"importance\":3,"
    "\"deadline_ms\":900,"
    "\"idempotent\":false,\"open\":false,\"retries\":0}]}";
static const char host[] =
    "{\"name\":\"h1\",\"service\":\"s\",\"region\":\"r1\",\"zone\":\"z1\","
    "\"address\":\"127.0.0.1\",\"peer_port\":7001,\"caller_port\":7002,"
    "\"state\":\"live\"}";

/* Each is a valid text in which one substring is replaced. */
static const struct {
	const char *name;
	const char *text;
	const char *old;
	const char *new;
	const char *error;
} invalid[] = {
    {"fleets", fleet, "1", "1", "fleets: no such section"},
    {"service/s ", service, "4", "4", "service/s : no such section"},
    {"service/\x01", service, "4", "4", "service/\x01: no such section"},
    {"service/S", service, "\"s\"", "\"S\"",
	"name: must consist of a to z, 0 to 9 and '-'"},
    {"accounts/0", accounts, "1", "1", "accounts/0: no such section"},
    {"accounts/64", accounts, "1", "1", "accounts/64: no such section"},
    {"routes/x", accounts, "1", "1", "routes/x: no such section"},
    {"host/", host, "7", "7", "host/: no such section"},
    {"fleet", fleet, "1", "0",
	"generation: must be an integer from 1 to 9007199254740992"},
    {"fleet", fleet, "\"generation\":1,", "",
	"generation: is missing, must be an integer from 1 to "
	"9007199254740992"},
    {"fleet", fleet, "r1", "R1",
	"store_region: must consist of a to z, 0 to 9 and '-'"},
    {"fleet", fleet, "3750000", "0",
	"link_bytes_per_s: must be an integer from 1 to 1000000000000"},
    {"fleet", fleet, "\"refuse\"", "\"ask\"",
	"unconfirmed_view: must be \"refuse\" or \"serve\""},
    {"fleet", fleet, "unconfirmed_view", "unconfirmed",
	"unconfirmed: unknown key"},
    {"accounts", accounts, "0.5", "0",
	"accounts[0].rate_per_s: must be a number from 0.001 to 1000000000"},
    {"accounts", accounts, "0.5", "\"5\"",
	"accounts[0].rate_per_s: must be a number from 0.001 to 1000000000"},
    {"accounts", accounts, "50", "0.9",
	"accounts[1].burst: must be a number from 1 to 1000000000"},
    {"accounts", accounts, "\"weight\":3", "\"weight\":1001",
	"accounts[1].weight: must be an integer from 1 to 1000"},
    {"accounts", accounts, A64,
	"A"
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	"accounts[0].key_digests[0]: must be 64 lower-case hexadecimal "
	"digits"},
    {"accounts", accounts, "[\"" A64 "\"]", "[1]",
	"accounts[0].key_digests[0]: must be 64 lower-case hexadecimal "
	"digits"},
    {"accounts", accounts, A64, B64,
	"accounts: accounts a and b have the same key digest"},
    {"accounts", accounts, "\"" A64 "\"", "\"" A64 "\",\"" A64 "\"",
	"accounts: account b has a key digest twice"},
    {"accounts", accounts, "\"b\"", "\"a\"", "accounts: two accounts named a"},
    {"accounts", accounts, "\"weight\":1", "\"weight\":1,\"key\":\"k\"",
	"accounts[0].key: unknown key"},
    {"accounts", accounts, "[{", "[7,{", "accounts[0]: must be an object"},
    {"service/t", service, "4", "4", "name: must be \"t\""},
    {"service/s", service, "36", "0",
	"slots: must be an integer from 1 to 4096"},
    {"service/s", service, "GET", "get",
	"routes[0].method: must consist of A to Z"},
    {"service/s", service, "\"/\"", "\"x\"",
	"routes[0].path: must be a path from '/', without query, empty "
	"components or a '/' at its end"},
    {"service/s", service, "/x", "/x?y=1",
	"routes[1].path: must be a path from '/', without query, empty "
	"components or a '/' at its end"},
    {"service/s", service, "/x", "/x/",
	"routes[1].path: must be a path from '/', without query, empty "
	"components or a '/' at its end"},
    {"service/s", service, "\"importance\":3", "\"importance\":4",
	"routes[1].importance: must be an integer from 0 to 3"},
    {"service/s", service, "500", "30001",
	"routes[0].deadline_ms: must be an integer from 1 to 30000"},
    {"service/s", service, "\"idempotent\":true", "\"idempotent\":1",
	"routes[0].idempotent: must be true or false"},
    {"service/s", service, ",\"open\":true", "",
	"routes[0].open: is missing, must be true or false"},
    {"service/s", service, "\"retries\":2", "\"retries\":11",
	"routes[0].retries: must be an integer from 0 to 10"},
    {"service/s", service, "\"POST\",\"path\":\"/x\"", "\"GET\",\"path\":\"/\"",
	"routes: two routes for GET /"},
    {"service/s", service, "4", "4,\"generation\":5",
	"line 1, column 18: duplicate key \"generation\""},
    {"host/h2", host, "s", "s", "name: must be \"h2\""},
    {"host/h1", host, "127.0.0.1", "h1.example",
	"address: must be an IPv4 or IPv6 number"},
    {"host/h1", host, "7001", "0",
	"peer_port: must be an integer from 1 to 65535"},
    {"host/h1", host, "live", "down", "state: must be \"live\" or \"leaving\""},
    {"host/h1", host, "}", "} {}", "line 1, column 128: unexpected character"},
};

static void
test_invalid_texts_are_refused(void **state)
{
	for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		const char *at = strstr(invalid[i].text, invalid[i].old);
		char *text, *error;

		text = talloc_asprintf(mem, "%.*s%s%s",
		    (int)(at - invalid[i].text), invalid[i].text,
		    invalid[i].new, at + strlen(invalid[i].old));
		assert_int_equal(
		    ir_section_check(mem, invalid[i].name, text, &error), -1);
		assert_string_equal(error, invalid[i].error);
		talloc_free(mem);
	}
}

static void
test_valid_texts_are_parsed(void **state)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_json_reader in = {.mem = mem};
	struct ir_account_list *l;
	struct ir_service *s;
	struct ir_host *h;
	char *error;

	assert_int_equal(ir_section_check(mem, "fleet", fleet, &error), 0);
	assert_int_equal(ir_section_check(mem, "host/x", "", &error), 0);
	assert_null(error);
	l = ir_accounts_parse(&in, accounts, strlen(accounts));
	assert_int_equal(l->account_count, 2);
	assert_string_equal(l->accounts[1].name, "b");
	assert_int_equal(l->accounts[1].rate_mt_per_s, 500);
	assert_int_equal(l->accounts[0].burst_mt, 50000);
	assert_string_equal(l->keys[0].digest, A64);
	assert_ptr_equal(l->keys[0].account, &l->accounts[1]);
	s = ir_service_parse(&in, "s", service, strlen(service));
	assert_int_equal(s->generation, 4);
	assert_string_equal(s->routes[0].path, "/x");
	assert_int_equal(s->routes[0].importance, 3);
	assert_false(s->routes[0].idempotent);
	assert_true(s->routes[1].open);
	assert_int_equal(s->routes[1].retries, 2);
	h = ir_host_parse(&in, "h1", host, strlen(host));
	assert_int_equal(h->caller_port, 7002);
	assert_false(h->leaving);
	talloc_free(mem);
}

static void
test_upstream_id_adds_no_header(void **state)
{
	static const char text[] =
	    "{\"name\":\"h1\",\"service\":\"s\",\"region\":\"r1\","
	    "\"zone\":\"z1\",\"address\":\"127.0.0.1\",\"peer_port\":7001,"
	    "\"caller_port\":7002,\"state\":\"live\",\"upstream_id\":"
	    "\"i-1\\r\\nX-Api-Key: k\"}";
	char *error = NULL;
	TALLOC_CTX *mem = talloc_new(NULL);

	assert_int_not_equal(ir_section_check(mem, "host/h1", text, &error), 0);
	assert_non_null(strstr(error, "upstream_id"));
	talloc_free(mem);
}

/* The requests of the service do not depend on its status check. */
static void
test_check_path_adds_no_header(void **state)
{
	static const char *const paths[] = {
	    "/a HTTP/1.1\\r\\nX-Api-Key: k", "/a b", "a", "/\xc3\xa9"};
	TALLOC_CTX *mem = talloc_new(NULL);

	for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		struct ir_json_reader strict = {.mem = mem};
		struct ir_json_reader tolerant = {.mem = mem, .tolerant = true};
		const char *text = talloc_asprintf(mem,
		    "{\"generation\":1,\"name\":\"s\",\"routes\":[],"
		    "\"check_path\":\"%s\"}",
		    paths[i]);
		struct ir_service *s;

		assert_null(ir_service_parse(&strict, "s", text, strlen(text)));
		s = ir_service_parse(&tolerant, "s", text, strlen(text));
		assert_non_null(s);
		assert_null(s->check_path);
		assert_int_equal(tolerant.entry_error_count, 1);
	}
	talloc_free(mem);
}

/* Texts with random bytes are refused with an error, or accepted. */
static void
test_damaged_texts_do_not_crash(void **state)
{
	static const struct {
		const char *name;
		const char *text;
	} texts[] = {{"fleet", fleet}, {"accounts", accounts},
	    {"service/s", service}, {"host/h1", host}};
	static const char bytes[] = "\"\\{}[],:/*-+.eE019an \x01\xc3\xff";
	size_t refused = 0;

	srand(5);
	for (int i = 0; i < 20000; i++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		char *text = talloc_strdup(mem, texts[i % 4].text), *error;
		size_t n = strlen(text);

		for (int k = rand() % 4; k >= 0; k--)
			text[(size_t)rand() % n] =
			    bytes[(size_t)rand() % (sizeof bytes - 1)];
		if (rand() % 8 == 0)
			text[(size_t)rand() % n] = '\0';
		if (ir_section_check(mem, texts[i % 4].name, text, &error) !=
		    0) {
			refused++;
			assert_non_null(error);
		}
		talloc_free(mem);
	}
	assert_true(refused > 10000);
	assert_true(refused < 20000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_invalid_texts_are_refused),
	    cmocka_unit_test(test_valid_texts_are_parsed),
	    cmocka_unit_test(test_upstream_id_adds_no_header),
	    cmocka_unit_test(test_check_path_adds_no_header),
	    cmocka_unit_test(test_damaged_texts_do_not_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
