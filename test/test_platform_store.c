/*
 * Targets of reads of the platform's store, and its answers: pages, the keys of
 * evacuated zones, entries of other writers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <sodium.h>

#include "link/peer.h"
#include "platform/names.h"
#include "platform/platform.h"

/* Bytes that a target has as they are (RFC 3986, 2.3). */
#define UNRESERVED                   \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ" \
	"abcdefghijklmnopqrstuvwxyz0123456789-._~"

struct fixture {
	TALLOC_CTX *mem;
	struct ir_settings settings;
	struct ir_store_page page;
};

static struct fixture
start(bool evacuations)
{
	struct fixture f = {.mem = talloc_new(NULL)};

	f.settings.evacuations = evacuations;
	return f;
}

static void
parse(struct fixture *f, const char *text)
{
	struct ir_store_query query = {.hosts = true};
	const char *error = NULL;

	f->page = (struct ir_store_page){0};
	if (platform_store_parse(&f->settings, f->mem, &query, 200, text,
		strlen(text), &f->page, &error) != IR_STORE_OK)
		fail_msg("%s", error);
}

static const char *
target_after(struct fixture *f, struct ir_store_key key)
{
	struct ir_store_query query = {.hosts = true, .after_key = key};

	return platform_store_target(&f->settings, f->mem, &query);
}

static const char *
target(struct fixture *f, const char *after_key)
{
	struct ir_store_key key = {
	    after_key, after_key != NULL ? strlen(after_key) : 0};

	return target_after(f, key);
}

/* The key that the store reads from the target, which must be a valid one. */
static void
expect_after(const char *text, const char *key)
{
	const char *after = strstr(text, "&after=");
	char *decoded;

	assert_non_null(after);
	after += strlen("&after=");
	assert_int_equal(strspn(after, UNRESERVED "%"), strlen(after));
	decoded = curl_easy_unescape(NULL, after, 0, NULL);
	assert_string_equal(decoded, key);
	curl_free(decoded);
}

static void
expect_item(
    const struct fixture *f, size_t i, const char *section, const char *text)
{
	assert_true(i < f->page.item_count);
	assert_string_equal(f->page.items[i].section, section);
	assert_string_equal(f->page.items[i].text, text);
}

#define ZONE_ITEM(zone)                                             \
	"{\"key\":\"" EVACUATE_PREFIX zone "\",\"value\":\"e30=\"," \
	"\"revision\":7,\"created\":7}"

#define CONFIG_BYTES (1024 * 1024) /* the largest value of the store */
#define PATH_BYTES_PER_MS (60000 / 8)
#define ANSWER_MS 350

/* Readers of the region without the store give up a large configuration. */
static void
test_six_readers_can_read_a_large_configuration_at_once(void **state)
{
	const struct ir_store_dialect *d = &platform_dialect.store;
	uint32_t transfer_ms = 6 * CONFIG_BYTES / PATH_BYTES_PER_MS;

	assert_true(d->full_read_ms >= transfer_ms + ANSWER_MS);
	assert_true(d->full_read_ms >= d->config_wait_ms + ANSWER_MS);
}

static void
test_key_is_the_section_of_its_zone(void **state)
{
	struct fixture f = start(true);

	parse(&f, "{\"store_revision\":9,\"items\":[" ZONE_ITEM("z1") "]}");
	assert_true(f.page.full);
	assert_null(f.page.next_key.bytes);
	assert_int_equal(f.page.item_count, 1);
	expect_item(&f, 0, "zone/z1", "{\"name\":\"z1\",\"evacuated\":true}");
	assert_int_equal(f.page.items[0].created_revision, 7);
	talloc_free(f.mem);
}

static void
test_removed_key_removes_its_section(void **state)
{
	struct fixture f = start(true);

	parse(&f,
	    "{\"store_revision\":9,\"events\":[" ZONE_ITEM(
		"z1") ",{\"key\":\"" EVACUATE_PREFIX "z1\",\"deleted\":true,"
		      "\"revision\":9}]}");
	assert_int_equal(f.page.item_count, 2);
	assert_string_equal(
	    f.page.items[1].key.bytes, f.page.items[0].key.bytes);
	assert_string_equal(f.page.items[1].text, "");
	assert_int_equal(f.page.items[1].revision, 9);
	talloc_free(f.mem);
}

static void
test_key_without_a_zone_cannot_be_decoded(void **state)
{
	struct fixture f = start(true);

	parse(&f, "{\"store_revision\":9,\"items\":[" ZONE_ITEM(
		      "") "," ZONE_ITEM("z/1") "]}");
	assert_int_equal(f.page.item_count, 2);
	assert_null(f.page.items[0].section);
	assert_null(f.page.items[1].section);
	talloc_free(f.mem);
}

static void
test_key_is_not_read_without_the_setting(void **state)
{
	struct fixture f = start(false);

	parse(&f, "{\"store_revision\":9,\"items\":[" ZONE_ITEM("z1") "]}");
	assert_int_equal(f.page.item_count, 0);
	assert_null(strstr(target(&f, NULL), "after="));
	assert_non_null(strstr(target(&f, NULL), SERVERS_PREFIX));
	talloc_free(f.mem);
}

/* A page that has keys of others only would otherwise end the read early. */
static void
test_next_page_follows_a_page_without_items(void **state)
{
	struct fixture f = start(true);

	parse(&f, "{\"store_revision\":9,\"truncated\":true,\"items\":["
		  "{\"key\":\"op/other\",\"value\":\"\",\"revision\":3}]}");
	assert_int_equal(f.page.item_count, 0);
	assert_string_equal(f.page.next_key.bytes, "op/other");
	assert_int_equal(f.page.next_key.size_bytes, strlen("op/other"));
	expect_after(target(&f, "op/other"), "op/other");
	expect_after(target(&f, NULL), CONFIG_KEY);
	assert_true(strcmp(CONFIG_KEY, EVACUATE_PREFIX) < 0);
	talloc_free(f.mem);
}

static void
test_every_key_can_begin_a_page(void **state)
{
	for (int evacuations = 0; evacuations < 2; evacuations++) {
		struct fixture f = start(evacuations);

		for (int c = 1; c <= UINT8_MAX; c++) {
			char key[] = SERVERS_PREFIX "a?b";

			*strchr(key, '?') = (char)c;
			expect_after(target(&f, key), key);
		}
		talloc_free(f.mem);
	}
}

static void
test_key_with_a_zero_byte_is_no_other_key(void **state)
{
	static const char key[] = SERVERS_PREFIX "a\0b";
	struct fixture f = start(true);

	parse(&f, "{\"store_revision\":9,\"truncated\":true,\"items\":["
		  "{\"key\":\"" EVACUATE_PREFIX "z1\\u0000\",\"revision\":7},"
		  "{\"key\":\"" SERVERS_PREFIX "a\\u0000b\",\"value\":\"e30=\","
		  "\"revision\":8}]}");
	assert_int_equal(f.page.item_count, 2);
	assert_null(f.page.items[0].section);
	assert_null(f.page.items[1].section);
	assert_int_equal(f.page.items[1].key.size_bytes, sizeof(key) - 1);
	assert_memory_equal(f.page.items[1].key.bytes, key, sizeof(key));
	assert_non_null(
	    strstr(target_after(&f, f.page.next_key), "after=servers%2Fa%00b"));
	parse(&f, "{\"store_revision\":9,\"events\":[{\"key\":\"" CONFIG_KEY
		  "\\u0000\",\"value\":\"e30=\",\"revision\":9}]}");
	assert_null(f.page.config_items);
	talloc_free(f.mem);
}

#define ENTRY_BEGIN                                              \
	"{\"service\":\"s\",\"zone\":\"z1\",\"version\":\"v1\"," \
	"\"cold_remaining_ms\":0,\"sequence\":4"
#define ADDRESS ",\"address\":\"10.0.0.9:80\""
#define SLOTS ",\"slots\":8"
#define STATE ",\"state\":\"ready\""
#define DEEP_10 "[[[[[[[[[["

static const char valid_entry[] = ENTRY_BEGIN ADDRESS SLOTS STATE "}";

/* A range or a watch with three items that cannot be read before a fourth. */
static void
expect_fourth_alone(struct fixture *f, const char *list)
{
	char value[512];
	struct ir_zone_region zone = {.zone = "z1", .region = "r"};

	f->settings.zones = &zone;
	f->settings.zone_count = 1;
	f->settings.peers.port = 7000;
	f->settings.callers.port = 7001;
	sodium_bin2base64(value, sizeof(value), (const uint8_t *)valid_entry,
	    strlen(valid_entry), sodium_base64_VARIANT_ORIGINAL);
	parse(f, talloc_asprintf(f->mem,
		     "{\"store_revision\":9,\"%s\":[7,{\"key\":3,"
		     "\"revision\":4},{\"key\":\"" SERVERS_PREFIX
		     "i-0\",\"value\":\"%s\"},{\"key\":\"" SERVERS_PREFIX
		     "i-1\",\"value\":\"%s\",\"revision\":5}]}",
		     list, value, value));
	assert_int_equal(f->page.item_count, 4);
	for (size_t i = 0; i < 3; i++)
		assert_null(f->page.items[i].section);
	assert_string_equal(f->page.items[3].section, "host/10.0.0.9");
}

static void
test_items_without_key_or_revision_hide_no_others(void **state)
{
	struct fixture f = start(false);

	expect_fourth_alone(&f, FIELD_ITEMS);
	expect_fourth_alone(&f, FIELD_EVENTS);
	talloc_free(f.mem);
}

/* It would be taken for the whole list. */
static void
test_truncated_page_goes_on_from_its_last_key_or_fails(void **state)
{
	static const char empty[] =
	    "{\"store_revision\":9,\"truncated\":true,\"items\":[]}";
	struct fixture f = start(false);
	struct ir_store_query query = {.hosts = true};
	const char *error = NULL;

	parse(&f, "{\"store_revision\":9,\"truncated\":true,\"items\":["
		  "{\"key\":\"" SERVERS_PREFIX "i-1\"},{\"key\":3}]}");
	assert_string_equal(f.page.next_key.bytes, SERVERS_PREFIX "i-1");
	assert_int_equal(platform_store_parse(&f.settings, f.mem, &query, 200,
			     empty, strlen(empty), &f.page, &error),
	    IR_STORE_FAILED);
	talloc_free(f.mem);
}

/* Other writers' entries. */
static const char *const odd_entries[] = {
    "",
    "null",
    "7",
    "{",
    "{}",
    "\xff\xfe",
    DEEP_10 DEEP_10 DEEP_10 DEEP_10 DEEP_10,
    ENTRY_BEGIN ADDRESS SLOTS STATE ",\"x\":" DEEP_10 DEEP_10 "]]}",
    ENTRY_BEGIN ADDRESS SLOTS "}",
    ENTRY_BEGIN ADDRESS STATE "}",
    ENTRY_BEGIN SLOTS STATE "}",
    ENTRY_BEGIN ADDRESS SLOTS ",\"state\":\"gone\"}",
    ENTRY_BEGIN ADDRESS SLOTS ",\"state\":1}",
    ENTRY_BEGIN ADDRESS STATE ",\"slots\":0}",
    ENTRY_BEGIN ADDRESS STATE ",\"slots\":4097}",
    ENTRY_BEGIN ADDRESS STATE ",\"slots\":99999999999999999999999}",
    ENTRY_BEGIN ADDRESS STATE ",\"slots\":1e400}",
    ENTRY_BEGIN ADDRESS STATE ",\"slots\":\"8\"}",
    ENTRY_BEGIN ADDRESS SLOTS STATE ",\"born\":1e400}",
    ENTRY_BEGIN ADDRESS SLOTS STATE ",\"born\":\"now\"}",
    ENTRY_BEGIN ADDRESS SLOTS STATE ",\"sequence\":[]}",
    ENTRY_BEGIN ADDRESS SLOTS STATE ",\"cold_remaining_ms\":-1}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.9\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.9:\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.9:0\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.9:65536\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.9:-80\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.9:99999999999\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.300:80\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"h:80\"}",
    ENTRY_BEGIN SLOTS STATE ",\"address\":\"10.0.0.9:80\\u0000\"}",
    ENTRY_BEGIN ADDRESS SLOTS ",\"state\":\"ready\\u0000x\"}",
    "{\"service\":\"s\\u0000x\",\"zone\":\"z1\",\"version\":\"v1\","
    "\"cold_remaining_ms\":0,\"sequence\":4" ADDRESS SLOTS STATE "}",
    "{\"service\":\"s\",\"zone\":\"z1\"" ADDRESS SLOTS STATE "}",
};

/* Not as they are in the header that names the instance expected. */
static const char *const odd_ids[] = {
    "", "i-1\r\nX-A: b", "i\t1", "i\0011", "i\1771", " i-1", "i-1 "};

static char *
decode(struct fixture *f, const char *id, const char *entry)
{
	struct ir_zone_region zone = {.zone = "z1", .region = "r"};
	struct ir_store_item item = {0};

	f->settings.zones = &zone;
	f->settings.zone_count = 1;
	f->settings.peers.port = 7000;
	f->settings.callers.port = 7001;
	platform_host_section(
	    &f->settings, f->mem, id, entry, strlen(entry), &item);
	return item.text;
}

static void
test_odd_entry_of_another_writer_names_no_instance(void **state)
{
	struct fixture f = start(false);
	char long_id[IR_MAX_NAME + 2] = "";

	memset(long_id, 'x', IR_MAX_NAME + 1);
	assert_non_null(decode(&f, "i-1", valid_entry));
	assert_null(decode(&f, long_id, valid_entry));
	for (size_t i = 0; i < sizeof(odd_ids) / sizeof(*odd_ids); i++)
		if (decode(&f, odd_ids[i], valid_entry) != NULL)
			fail_msg("%s", odd_ids[i]);
	assert_non_null(decode(&f, "a&b+c#d%41 e", valid_entry));
	for (size_t i = 0; i < sizeof(odd_entries) / sizeof(*odd_entries); i++)
		if (decode(&f, "i-1", odd_entries[i]) != NULL)
			fail_msg("%s", odd_entries[i]);
	talloc_free(f.mem);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_six_readers_can_read_a_large_configuration_at_once),
	    cmocka_unit_test(test_key_is_the_section_of_its_zone),
	    cmocka_unit_test(test_removed_key_removes_its_section),
	    cmocka_unit_test(test_key_without_a_zone_cannot_be_decoded),
	    cmocka_unit_test(test_key_is_not_read_without_the_setting),
	    cmocka_unit_test(test_next_page_follows_a_page_without_items),
	    cmocka_unit_test(test_every_key_can_begin_a_page),
	    cmocka_unit_test(test_key_with_a_zero_byte_is_no_other_key),
	    cmocka_unit_test(test_items_without_key_or_revision_hide_no_others),
	    cmocka_unit_test(
		test_truncated_page_goes_on_from_its_last_key_or_fails),
	    cmocka_unit_test(
		test_odd_entry_of_another_writer_names_no_instance),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
