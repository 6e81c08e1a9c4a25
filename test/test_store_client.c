/*
 * The store client: what it passes on, what counts as a failure, and that a
 * read without an answer does not delay the other one.
 */
#include <sys/socket.h>

#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <sodium.h>

#include "fakes/lib/server.h"
#include "host/position.h"
#include "io/listen.h"
#include "io/store/store_answer.h"
#include "io/store/store_client.h"
#include "platform/names.h"
#include "platform/platform.h"
#include "support/core_side.h"

#define RING_SLOTS 64
#define LARGE_ANSWER_BYTES (4 * 1024 * 1024)
#define FULL_ANSWER                                            \
	"{\"revision\":5,\"whole\":true,\"sections\":["        \
	"{\"name\":\"fleet\",\"revision\":4,\"text\":\"{}\"}," \
	"{\"name\":\"service/a\",\"revision\":5,\"text\":\"\"}]}"
#define ANSWER_WITH_SECTION(s) \
	"{\"revision\":1,\"whole\":true,\"sections\":[{" s "}]}"
#define UNCHANGED_ANSWER "{\"revision\":5,\"whole\":false,\"sections\":[]}"

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_settings settings;
	struct ir_store_client *client;
	struct fake_server *server;
	pthread_t thread;
	int config_reads;
	int list_reads;
	int first_pages;
	bool bad_query;
	const char *const *script; /* answers about the configuration */
	const char *next_full_answer;
};

/* A full read, an error, an invalid document, a truncated one, no change. */
static void
answer_config(struct fixture *f, struct fake_request *r)
{
	const char *after = f->config_reads == 0 ? "after=0&" : "after=5&";

	f->bad_query = f->bad_query || strstr(r->uri, after) == NULL;
	switch (f->config_reads++) {
	case 0:
		fake_answer_json(r, 200, FULL_ANSWER);
		break;
	case 1:
		fake_answer_json(r, 503, FULL_ANSWER);
		break;
	case 2:
		fake_answer_json(r, 200, "{\"revision\":6}");
		break;
	case 3:
		fake_truncate(r, FULL_ANSWER, strlen(FULL_ANSWER));
		break;
	default:
		fake_answer_json(r, 200, UNCHANGED_ANSWER);
		break;
	}
}

/* Answers by the script; its last answer is repeated. Full reads wait. */
static void
answer_by_script(struct fixture *f, struct fake_request *r)
{
	if (strstr(r->uri, "after=0&") != NULL) {
		fake_answer_json(r, 200, f->next_full_answer);
		return;
	}
	fake_answer_json(r, 200, *f->script);
	if (f->script[1] != NULL)
		f->script++;
}

/* Requests for the host list get no answer. */
static void
on_request(void *ctx, struct fake_request *r)
{
	struct fixture *f = ctx;

	if (f->script != NULL && strcmp(r->path, "/v1/config") == 0)
		answer_by_script(f, r);
	else if (strcmp(r->path, "/v1/config") == 0)
		answer_config(ctx, r);
}

static void
on_disconnect(void *ctx, struct fake_request *r)
{
	/* The client timed out. */
}

static const struct fake_handler handler = {on_request, on_disconnect};

static int
set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->server = fake_server_start(0, &handler, f);
	f->settings.platform.address = "127.0.0.1";
	f->settings.platform.port = fake_server_port(f->server);
	f->core = ir_wakeup_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, NULL, RING_SLOTS);
	f->client = ir_store_client_new(
	    f->core, f->channel, &f->settings, &ir_native_dialect.store);
	*state = f;
	return pthread_create(&f->thread, NULL, ir_store_client_run, f->client);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f->thread, NULL);
	talloc_free(f->client);
	fake_server_stop(f->server);
	talloc_free(f->core);
	talloc_free(f);
	return 0;
}

static struct ir_to_core *
next_message(struct fixture *f)
{
	return core_side_receive(f->core, f->channel);
}

static void
start_polling(struct fixture *f)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_STORE_POLLING);

	m->u.store.wanted = true;
	ir_ring_push(f->channel->from_core, m);
}

static void
expect_full_answer(const struct ir_store_read *r)
{
	assert_false(r->is_host_list);
	assert_true(r->complete);
	assert_int_equal(r->revision, 5);
	assert_int_equal(r->section_count, 2);
	assert_string_equal(r->sections[0].name, "fleet");
	assert_int_equal(r->sections[0].revision, 4);
	assert_string_equal(r->sections[0].text, "{}");
	assert_string_equal(r->sections[1].text, "");
}

/* Three reads of the configuration fail, and all of the host list. */
static void
test_reads_and_failures(void **state)
{
	struct fixture *f = *state;
	struct ir_to_core *m;
	int failures = 0;

	start_polling(f);
	m = next_message(f);
	assert_int_equal(m->kind, IR_TO_CORE_STORE_READ);
	expect_full_answer(&m->u.store);
	talloc_free(m);
	while ((m = next_message(f))->kind == IR_TO_CORE_STORE_FAILED) {
		assert_true(m->request_sent_us > 0);
		failures++;
		talloc_free(m);
	}
	assert_int_equal(m->kind, IR_TO_CORE_STORE_READ);
	assert_int_equal(m->u.store.section_count, 0);
	assert_int_equal(m->u.store.revision, 5);
	assert_true(failures >= 4);
	talloc_free(m);
	fake_server_lock(f->server);
	assert_false(f->bad_query);
	fake_server_unlock(f->server);
}

/* The process joins the thread while it exits, for which it has little time. */
static void
test_stopped_thread_starts_no_read(void **state)
{
	struct fixture f = {.settings.platform.address = "127.0.0.1"};
	struct ir_endpoint e = {"127.0.0.1", 0};
	int fd = ir_listen(&e, true, &f.settings.platform.port);
	struct pollfd p = {.fd = fd, .events = POLLIN};

	assert_true(fd >= 0);
	f.core = ir_wakeup_new(NULL);
	f.channel = ir_channel_new(f.core, f.core, NULL, RING_SLOTS);
	f.client = ir_store_client_new(
	    f.core, f.channel, &f.settings, &ir_native_dialect.store);
	start_polling(&f);
	ir_ring_push(f.channel->from_core, ir_from_core_new(IR_FROM_CORE_STOP));
	(void)ir_store_client_run(f.client);
	assert_int_equal(poll(&p, 1, 0), 0);
	talloc_free(f.client);
	talloc_free(f.core);
	close(fd);
}

#define ANSWER(revision, era, whole, sections)               \
	"{\"revision\":" revision "," era "\"whole\":" whole \
	",\"sections\":[" sections "]}"
#define FLEET(revision, text) \
	"{\"name\":\"fleet\",\"revision\":" revision ",\"text\":\"" text "\"}"
#define ERA(n) "\"era\":" n ","

/* Returns the next read that succeeded. */
static struct ir_to_core *
next_read(struct fixture *f, int *failures)
{
	struct ir_to_core *m;

	while ((m = next_message(f))->kind == IR_TO_CORE_STORE_FAILED) {
		(*failures)++;
		talloc_free(m);
	}
	assert_int_equal(m->kind, IR_TO_CORE_STORE_READ);
	return m;
}

/* Expects a read of the whole configuration. Returns its revision. */
static uint64_t
expect_fleet(struct fixture *f, const char *text)
{
	int failures = 0;
	struct ir_to_core *m = next_read(f, &failures);
	uint64_t revision = m->u.store.revision;

	assert_int_equal(m->u.store.section_count, 1);
	assert_string_equal(m->u.store.sections[0].text, text);
	/* An older copy may lack what peers hold. */
	assert_false(m->u.store.complete);
	talloc_free(m);
	return revision;
}

static void
test_restore_is_noticed_when_new_revisions_passed_the_old(void **state)
{
	static const char *const script[] = {
	    ANSWER("7", ERA("2"), "false", ""), NULL};
	struct fixture *f = *state;

	f->script = script;
	f->next_full_answer =
	    ANSWER("5", ERA("1"), "true", FLEET("5", "before"));
	start_polling(f);
	expect_fleet(f, "before");
	fake_server_lock(f->server);
	f->next_full_answer =
	    ANSWER("7", ERA("2"), "true", FLEET("4", "restored"));
	fake_server_unlock(f->server);
	assert_int_equal(expect_fleet(f, "restored"), ir_position(2, 7));
}

static void
test_lower_revisions_of_a_newer_era_are_passed_on_as_higher(void **state)
{
	static const char *const script[] = {
	    ANSWER("3", ERA("2"), "false", ""), NULL};
	struct fixture *f = *state;
	uint64_t before;

	f->script = script;
	f->next_full_answer =
	    ANSWER("5", ERA("1"), "true", FLEET("5", "before"));
	start_polling(f);
	before = expect_fleet(f, "before");
	fake_server_lock(f->server);
	f->next_full_answer =
	    ANSWER("3", ERA("2"), "true", FLEET("3", "restored"));
	fake_server_unlock(f->server);
	assert_true(expect_fleet(f, "restored") > before);
}

static void
test_answers_without_a_valid_era_are_not_used(void **state)
{
	static const char *const script[] = {
	    ANSWER("6", "", "false", FLEET("6", "none")),
	    ANSWER("7", ERA("\"x\""), "false", FLEET("7", "text")),
	    ANSWER("8", ERA("-1"), "false", FLEET("8", "negative")),
	    ANSWER("9", ERA("1"), "false", FLEET("9", "falling")),
	    ANSWER("5", ERA("2"), "false", ""), NULL};
	struct fixture *f = *state;
	struct ir_to_core *m;
	int failures = 0;

	f->script = script;
	f->next_full_answer = ANSWER("5", ERA("2"), "true", FLEET("5", "good"));
	start_polling(f);
	expect_fleet(f, "good");
	/* The configuration may be read whole once more in between. */
	while ((m = next_read(f, &failures))->u.store.section_count > 0) {
		assert_string_equal(m->u.store.sections[0].text, "good");
		talloc_free(m);
	}
	assert_true(failures >= 4);
	talloc_free(m);
}

/* Answers with more than a process of 48 MB may hold beside its work. */
static void
answer_large(void *ctx, struct fake_request *r)
{
	char *text = talloc_size(NULL, LARGE_ANSWER_BYTES + 1);

	memset(text, ' ', LARGE_ANSWER_BYTES);
	text[LARGE_ANSWER_BYTES] = '\0';
	memcpy(text, FULL_ANSWER, strlen(FULL_ANSWER));
	fake_answer_json(r, 200, text);
	talloc_free(text);
}

static void
test_answer_too_large_for_the_process_is_not_read(void **state)
{
	static const struct fake_handler large = {answer_large, on_disconnect};
	struct fixture f = {.settings.platform.address = "127.0.0.1"};
	struct ir_to_core *m;

	f.server = fake_server_start(0, &large, &f);
	f.settings.platform.port = fake_server_port(f.server);
	f.settings.memory_mb = 48;
	f.core = ir_wakeup_new(NULL);
	f.channel = ir_channel_new(f.core, f.core, NULL, RING_SLOTS);
	f.client = ir_store_client_new(
	    f.core, f.channel, &f.settings, &ir_native_dialect.store);
	pthread_create(&f.thread, NULL, ir_store_client_run, f.client);
	start_polling(&f);
	m = next_message(&f);
	assert_int_equal(m->kind, IR_TO_CORE_STORE_FAILED);
	talloc_free(m);
	ir_ring_push(f.channel->from_core, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f.thread, NULL);
	talloc_free(f.client);
	fake_server_stop(f.server);
	talloc_free(f.core);
}

/* A store that sends provisional answers until the connection closes. */
struct provisional_store {
	int listen_fd;
	bool all_taken;
};

static void *
answer_provisionally(void *ctx)
{
	static const char text[] = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
	struct provisional_store *s = ctx;
	int fd = accept(s->listen_fd, NULL, NULL);
	size_t sent = 0;

	while (sent < LARGE_ANSWER_BYTES &&
	       send(fd, text, strlen(text), MSG_NOSIGNAL) > 0)
		sent += strlen(text);
	close(fd);
	s->all_taken = sent >= LARGE_ANSWER_BYTES;
	return NULL;
}

static void
test_provisional_answers_without_end_are_not_read(void **state)
{
	struct ir_endpoint e = {"127.0.0.1", 0};
	struct fixture f = {.settings.platform.address = "127.0.0.1"};
	struct provisional_store s = {
	    .listen_fd = ir_listen(&e, true, &f.settings.platform.port)};
	struct ir_to_core *m;
	pthread_t store;

	fcntl(s.listen_fd, F_SETFL, 0);
	f.core = ir_wakeup_new(NULL);
	f.channel = ir_channel_new(f.core, f.core, NULL, RING_SLOTS);
	f.client = ir_store_client_new(
	    f.core, f.channel, &f.settings, &ir_native_dialect.store);
	pthread_create(&store, NULL, answer_provisionally, &s);
	pthread_create(&f.thread, NULL, ir_store_client_run, f.client);
	start_polling(&f);
	m = next_message(&f);
	assert_int_equal(m->kind, IR_TO_CORE_STORE_FAILED);
	talloc_free(m);
	pthread_join(store, NULL);
	assert_false(s.all_taken);
	ir_ring_push(f.channel->from_core, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f.thread, NULL);
	talloc_free(f.client);
	close(s.listen_fd);
	talloc_free(f.core);
}

/*
 * A store in which the configuration was written at revision 9 and again, in
 * the next generation, at 11: after the full read of it, at 10, and before the
 * one of the host list, at 12.
 */
#define CONFIG_TEXT(generation)                                     \
	"{\"" FIELD_VERSION "\":\"" generation "\",\"" FIELD_ROUTES \
	"\":{},\"" FIELD_SERVICES "\":{},\"" FIELD_TENANTS "\":{}}"
#define OLD_REVISION UINT64_C(9)
#define NEW_REVISION UINT64_C(11)

static char *
config_item(TALLOC_CTX *mem, const char *text, uint64_t revision)
{
	char value[512];

	sodium_bin2base64(value, sizeof(value), (const uint8_t *)text,
	    strlen(text), sodium_base64_VARIANT_ORIGINAL);
	return talloc_asprintf(mem,
	    "\"" FIELD_KEY "\":\"" CONFIG_KEY "\",\"" FIELD_VALUE
	    "\":\"%s\",\"" FIELD_REVISION "\":%" PRIu64 ",\"" FIELD_CREATED
	    "\":1",
	    value, revision);
}

static void
answer_watch(struct fake_request *r)
{
	const char *after = strstr(r->uri, "after=");
	uint64_t revision = strtoull(after + strlen("after="), NULL, 10);
	char *event = config_item(r, CONFIG_TEXT("00000008"), NEW_REVISION);

	if (revision < NEW_REVISION)
		fake_answer_json(r, 200,
		    talloc_asprintf(r,
			"{\"" FIELD_STORE_REVISION "\":12,\"" FIELD_EVENTS
			"\":[{%s}]}",
			event));
	else
		fake_answer_json(r, 200,
		    "{\"" FIELD_STORE_REVISION "\":12,\"" FIELD_EVENTS
		    "\":[]}");
}

/* The watch of the configuration alone gets no answer. */
static void
answer_as_platform(void *ctx, struct fake_request *r)
{
	struct fixture *f = ctx;

	if (strcmp(r->path, READ_KEY_PATH) == 0) {
		f->config_reads++;
		fake_answer_json(r, 200,
		    talloc_asprintf(r, "{\"" FIELD_STORE_REVISION "\":10,%s}",
			config_item(r, CONFIG_TEXT("00000007"), OLD_REVISION)));
	} else if (strcmp(r->path, READ_RANGE_PATH) == 0) {
		if (f->config_reads > 0)
			fake_answer_json(r, 200,
			    "{\"" FIELD_STORE_REVISION "\":12,\"" FIELD_ITEMS
			    "\":[],\"" FIELD_TRUNCATED "\":false}");
	} else if (strstr(r->uri, "path_prefix=&") != NULL) {
		answer_watch(r);
	}
}

/* Starts a client of the platform's store; zone z1 is known. */
static void
start_platform_client(
    struct fixture *f, const struct fake_handler *store, struct ir_log *log)
{
	static struct ir_zone_region zone = {.zone = "z1", .region = "r"};

	f->settings.platform.address = "127.0.0.1";
	f->settings.zones = &zone;
	f->settings.zone_count = 1;
	f->server = fake_server_start(0, store, f);
	f->settings.platform.port = fake_server_port(f->server);
	f->core = ir_wakeup_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, log, RING_SLOTS);
	f->client = ir_store_client_new(
	    f->core, f->channel, &f->settings, &platform_dialect.store);
	pthread_create(&f->thread, NULL, ir_store_client_run, f->client);
	start_polling(f);
}

static void
stop_platform_client(struct fixture *f)
{
	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f->thread, NULL);
	talloc_free(f->client);
	fake_server_stop(f->server);
	talloc_free(f->core);
}

static void
test_change_between_the_full_reads_is_not_missed(void **state)
{
	static const struct fake_handler platform = {
	    answer_as_platform, on_disconnect};
	struct fixture f = {0};
	struct ir_to_core *m;
	uint64_t held = 0;
	int failures = 0;

	start_platform_client(&f, &platform, NULL);
	while (held != NEW_REVISION) {
		m = next_read(&f, &failures);
		/* What is confirmed beyond a change includes that change. */
		if (!m->u.store.is_host_list) {
			if (m->u.store.section_count > 0)
				held = m->u.store.sections[0].revision;
			assert_true(
			    m->u.store.reached_revision < NEW_REVISION ||
			    held >= NEW_REVISION);
		}
		talloc_free(m);
	}
	stop_platform_client(&f);
}

#define INSTANCE(n)                                                           \
	"{\"service\":\"s\",\"address\":\"10.0.0." n ":80\",\"zone\":\"z1\"," \
	"\"version\":\"1\",\"slots\":8,\"state\":\"ready\","                  \
	"\"cold_remaining_ms\":0,\"sequence\":1}"
#define REPEATED_PAGES 5

static char *
list_page(TALLOC_CTX *mem, const char *id, const char *instance, bool more)
{
	char value[512];

	sodium_bin2base64(value, sizeof(value), (const uint8_t *)instance,
	    strlen(instance), sodium_base64_VARIANT_ORIGINAL);
	return talloc_asprintf(mem,
	    "{\"" FIELD_STORE_REVISION "\":12,\"" FIELD_TRUNCATED
	    "\":%s,\"" FIELD_ITEMS "\":[{\"" FIELD_KEY "\":\"" SERVERS_PREFIX
	    "%s\",\"" FIELD_VALUE "\":\"%s\",\"" FIELD_REVISION
	    "\":3,\"" FIELD_CREATED "\":3}]}",
	    more ? "true" : "false", id, value);
}

/* The list of two pages; the first one is repeated at first. */
static void
answer_pages(void *ctx, struct fake_request *r)
{
	struct fixture *f = ctx;
	bool first = strstr(r->uri, "after=") == NULL;

	if (strcmp(r->path, READ_RANGE_PATH) != 0)
		return;
	f->list_reads++;
	f->first_pages += first;
	if (first || f->list_reads <= REPEATED_PAGES)
		fake_answer_json(
		    r, 200, list_page(r, "i-1", INSTANCE("1"), true));
	else
		fake_answer_json(
		    r, 200, list_page(r, "i-2", INSTANCE("2"), false));
}

static void
test_list_that_gets_no_further_is_a_failed_read(void **state)
{
	static const struct fake_handler pages = {answer_pages, on_disconnect};
	struct fixture f = {0};
	struct ir_to_core *m;
	int failures = 0;

	start_platform_client(&f, &pages, NULL);
	m = next_read(&f, &failures);
	assert_true(m->u.store.is_host_list);
	assert_int_equal(m->u.store.section_count, 2);
	/* Two reads failed at their second page. */
	fake_server_lock(f.server);
	assert_int_equal(f.first_pages, 3);
	fake_server_unlock(f.server);
	talloc_free(m);
	stop_platform_client(&f);
}

static void
answer_odd_key(void *ctx, struct fake_request *r)
{
	if (strcmp(r->path, READ_RANGE_PATH) == 0)
		fake_answer_json(
		    r, 200, list_page(r, "i revision=7 a=b", "odd", false));
}

static void
test_key_adds_no_fields_to_the_log(void **state)
{
	static const struct fake_handler store = {
	    answer_odd_key, on_disconnect};
	struct fixture f = {0};
	FILE *file = tmpfile();
	struct ir_log *log =
	    ir_log_new(NULL, fileno(file), "h1", IR_LEVEL_NOTICE);
	char text[2048] = "";
	int failures = 0;

	start_platform_client(&f, &store, log);
	talloc_free(next_read(&f, &failures));
	stop_platform_client(&f);
	rewind(file);
	assert_true(fread(text, 1, sizeof(text) - 1, file) > 0);
	assert_non_null(strstr(text,
	    "\"key\":\"" SERVERS_PREFIX "i?revision=7?a=b\",\"revision\":3"));
	talloc_free(log);
	fclose(file);
}

static void
expect_rejected(const char *text)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct ir_store_read r = {0};
	const char *error = NULL;

	assert_int_equal(
	    ir_store_answer_parse(mem, text, strlen(text), &r, &error), -1);
	assert_non_null(error);
	talloc_free(mem);
}

static void
test_invalid_documents(void **state)
{
	expect_rejected("");
	expect_rejected("[]");
	expect_rejected("{");
	expect_rejected("{} x");
	expect_rejected("{\"revision\":-1,\"whole\":true,\"sections\":[]}");
	expect_rejected("{\"revision\":1,\"whole\":1,\"sections\":[]}");
	expect_rejected("{\"revision\":1,\"whole\":true,\"sections\":{}}");
	expect_rejected("{\"revision\":1,\"whole\":true,\"sections\":[1]}");
	expect_rejected(ANSWER_WITH_SECTION("\"name\":\"a\",\"revision\":1"));
	expect_rejected(ANSWER_WITH_SECTION(
	    "\"name\":\"a\",\"revision\":1,\"text\":\"\\u0000\""));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_reads_and_failures, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_restore_is_noticed_when_new_revisions_passed_the_old,
		set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_lower_revisions_of_a_newer_era_are_passed_on_as_higher,
		set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_answers_without_a_valid_era_are_not_used, set_up,
		tear_down),
	    cmocka_unit_test(test_stopped_thread_starts_no_read),
	    cmocka_unit_test(test_change_between_the_full_reads_is_not_missed),
	    cmocka_unit_test(test_list_that_gets_no_further_is_a_failed_read),
	    cmocka_unit_test(test_key_adds_no_fields_to_the_log),
	    cmocka_unit_test(test_answer_too_large_for_the_process_is_not_read),
	    cmocka_unit_test(test_provisional_answers_without_end_are_not_read),
	    cmocka_unit_test(test_invalid_documents),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
