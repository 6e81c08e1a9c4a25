/* The fake platform and upstream report correctly what they received. */
#include <json-c/json.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "fakes/lib/echo.h"
#include "fakes/lib/history.h"
#include "fakes/lib/kv.h"
#include "fakes/lib/lifetime.h"
#include "fakes/lib/upstream.h"

#define MAX_STEPS 2000
#define STEP_MS 5

static void
test_history_shows_any_past_revision(void **state)
{
	struct fake_history *h = fake_history_new(NULL);
	const char *text;

	assert_int_equal(fake_history_publish(h, 100, "a", "one"), 1);
	assert_int_equal(fake_history_publish(h, 200, "b", "two"), 2);
	assert_int_equal(fake_history_publish(h, 300, "a", ""), 3);
	assert_int_equal(fake_history_revision_at(h, 299), 2);
	assert_int_equal(fake_history_revision_at(h, 99), 0);
	text = fake_history_read(h, h, 0, 2);
	assert_non_null(strstr(text, "\"one\""));
	text = fake_history_read(h, h, 2, 3);
	assert_string_equal(text,
	    "{\"revision\":3,\"era\":1,\"whole\":false,\"sections\":["
	    "{\"name\":\"a\",\"revision\":3,\"text\":\"\"}]}");
	text = fake_history_read(h, h, 0, 3);
	assert_null(strstr(text, "\"a\""));
	assert_non_null(strstr(text, "\"whole\":true"));
	talloc_free(h);
}

static void
test_restored_history_repeats_lost_publications(void **state)
{
	struct fake_history *h = fake_history_new(NULL);
	struct fake_rewrites *lost = fake_rewrites_new(h, 1000000, 7);
	struct fake_rewrite *r;

	fake_history_publish(h, 100, "a", "one");
	fake_history_publish(h, 200, "a", "two");
	fake_history_publish(h, 300, "b", "three");
	fake_history_publish(h, 400, "b", "");
	fake_history_restore(h, 500, 100, lost);
	assert_int_equal(fake_history_revision(h), 1);
	assert_int_equal(fake_history_era(h), 2);
	assert_string_equal(fake_history_read(h, h, 0, 1),
	    "{\"revision\":1,\"era\":2,\"whole\":true,\"sections\":["
	    "{\"name\":\"a\",\"revision\":1,\"text\":\"one\"}]}");
	assert_null(fake_rewrites_take_due(lost, 499));
	for (int i = 0; i < 2; i++) {
		r = fake_rewrites_take_due(lost, 500 + 1000000);
		assert_non_null(r);
		assert_string_equal(
		    r->value, strcmp(r->key, "a") == 0 ? "two" : "");
	}
	assert_null(fake_rewrites_take_due(lost, INT64_MAX));
	talloc_free(h);
}

/* Items a to c at 100 us; then a is changed, b deleted and d added. */
static struct fake_kv *
make_changed_kv(void)
{
	struct fake_kv *s = fake_kv_new(NULL, 7);

	fake_kv_put(s, 100, "a", "1", 1);
	fake_kv_put(s, 100, "b", "2", 1);
	fake_kv_put(s, 100, "c", "3", 1);
	fake_kv_put(s, 200, "a", "4", 1);
	fake_kv_put(s, 250, "a", "5", 1);
	fake_kv_delete(s, 300, "b");
	fake_kv_put(s, 400, "d", "6", 1);
	return s;
}

static void
test_restored_store_gives_revisions_out_again(void **state)
{
	struct fake_kv *s = make_changed_kv();

	assert_int_equal(s->revision, 8);
	fake_kv_restore(s, 500, 400);
	assert_int_equal(s->revision, 4);
	assert_int_equal(s->era, 2);
	assert_string_equal(fake_kv_find(s, "a")->value, "1");
	assert_int_equal(fake_kv_find(s, "a")->revision, 2);
	assert_int_equal(fake_kv_find(s, "b")->revision, 3);
	assert_int_equal(fake_kv_find(s, "b")->created, 3);
	assert_null(fake_kv_find(s, "d"));
	assert_int_equal(s->history_count, 3);
	assert_true(fake_kv_is_gone(s, 8));
	assert_true(fake_kv_is_gone(s, 5));
	assert_false(fake_kv_is_gone(s, 4));
	fake_kv_put(s, 500, "e", "7", 1);
	assert_int_equal(fake_kv_find(s, "e")->revision, 5);
	/* The new revisions have reached the watch's: no sign of the loss. */
	assert_false(fake_kv_is_gone(s, 5));
	talloc_free(s);
}

static void
test_writers_repeat_what_a_restore_lost(void **state)
{
	struct fake_kv *s = make_changed_kv();

	fake_kv_restore(s, 500, 400);
	assert_true(fake_rewrites_pending(s->rewrites, "a"));
	assert_false(fake_rewrites_pending(s->rewrites, "c"));
	/* A second one, before they have done so. */
	fake_kv_restore(s, 600, 100);
	assert_int_equal(s->era, 3);
	fake_kv_put(s, 700, "d", "8", 1);
	fake_kv_write_due(s, 500 + FAKE_REWRITE_PAUSE_US);
	assert_string_equal(fake_kv_find(s, "a")->value, "5");
	assert_null(fake_kv_find(s, "b"));
	assert_string_equal(fake_kv_find(s, "c")->value, "3");
	assert_string_equal(fake_kv_find(s, "d")->value, "8");
	assert_false(fake_rewrites_pending(s->rewrites, "a"));
	talloc_free(s);
}

static void
test_record_finds_texts_and_double_runs(void **state)
{
	struct json_object *out = json_object_new_object(), *v;
	struct fake_record *s = fake_record_new(NULL);

	fake_record_header(s, "X-Some", "abc-SECRET-def");
	fake_record_text(s, "head", 4);
	fake_record_text(s, "tail", 4);
	fake_record_run(s, "r1");
	fake_record_run(s, "r2");
	fake_record_run(s, "r1");
	assert_true(fake_record_contains(s, "SECRET"));
	assert_false(fake_record_contains(s, "headtail"));
	assert_false(fake_record_contains(s, "other"));
	fake_record_report(s, out);
	assert_true(json_object_object_get_ex(out, "double_runs", &v));
	assert_int_equal(json_object_get_int(v), 1);
	json_object_put(out);
	talloc_free(s);
}

static void
test_echo_differs_by_request(void **state)
{
	char *a = fake_echo(NULL, "1", "/x", "b", 1, 100);

	assert_int_equal(strlen(a), 100);
	assert_string_not_equal(a, fake_echo(a, "2", "/x", "b", 1, 100));
	assert_string_not_equal(a, fake_echo(a, "1", "/y", "b", 1, 100));
	assert_string_not_equal(a, fake_echo(a, "1", "/x", "c", 1, 100));
	talloc_free(a);
}

/* A fake upstream in this process, and a client that calls it. */
struct fixture {
	struct fake_upstream up;
	struct fake_fetcher *client;
	uint32_t done;
	uint32_t complete;
	uint32_t not_run;
	uint32_t status;
};

static void
on_request(void *ctx, struct fake_request *r)
{
	if (!fake_upstream_control(ctx, r))
		fake_upstream_request(ctx, r);
}

static void
on_disconnect(void *ctx, struct fake_request *r)
{
	fake_upstream_disconnected(ctx, r);
}

static const struct fake_handler handler = {on_request, on_disconnect};

static int
set_up(void **state)
{
	struct fixture *b = talloc_zero(NULL, struct fixture);

	b->up.record = fake_record_new(b);
	b->up.options.slots = 1;
	b->up.options.call_timeout_ms = 10000;
	b->up.load_override = -1;
	b->up.timers = fake_timers_start();
	b->up.fetcher = fake_fetcher_new(8);
	b->up.server = fake_server_start(0, &handler, &b->up);
	b->client = fake_fetcher_new(8);
	*state = b;
	return b->up.server == NULL;
}

static int
tear_down(void **state)
{
	struct fixture *b = *state;

	fake_fetcher_free(b->client);
	fake_timers_stop(b->up.timers);
	fake_server_stop(b->up.server);
	fake_fetcher_free(b->up.fetcher);
	talloc_free(b);
	return 0;
}

static void
on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct fixture *b = ctx;

	b->done++;
	b->complete += r->complete;
	b->not_run += strcmp(r->outcome, "not-run") == 0;
	b->status = r->status;
}

static void
send_request(struct fixture *b, uint64_t id)
{
	static const char *const headers[] = {"X-Test-Id: t", NULL};
	struct fake_fetch in = {0};

	in.id = id;
	in.url = talloc_asprintf(
	    b, "http://127.0.0.1:%u/x", fake_server_port(b->up.server));
	in.method = "POST";
	in.headers = headers;
	in.timeout_ms = 10000;
	in.done = on_done;
	in.ctx = b;
	fake_fetch(b->client, &in);
}

static void
step(struct fixture *b)
{
	fake_fetcher_step(b->client, STEP_MS);
	fake_fetcher_step(b->up.fetcher, 0);
	fake_server_check_disconnects(b->up.server);
}

static void
step_until_done(struct fixture *b, uint32_t count)
{
	for (int i = 0; i < MAX_STEPS && b->done < count; i++)
		step(b);
	assert_int_equal(b->done, count);
}

static struct fake_upstream_stats
get_stats(struct fixture *b)
{
	struct fake_upstream_stats s;

	fake_server_lock(b->up.server);
	s = b->up.stats;
	fake_server_unlock(b->up.server);
	return s;
}

static void
test_full_upstream_refuses(void **state)
{
	struct fixture *b = *state;

	b->up.options.queue = 1;
	b->up.options.service_us = 200000;
	for (uint64_t i = 1; i <= 3; i++)
		send_request(b, i);
	step_until_done(b, 3);
	assert_int_equal(b->complete, 3);
	assert_int_equal(b->not_run, 1);
	assert_int_equal(get_stats(b).runs, 2);
	assert_int_equal(get_stats(b).shed, 1);
	assert_int_equal(get_stats(b).running_max, 1);
}

static void
test_failed_request_is_not_resent(void **state)
{
	struct fixture *b = *state;

	send_request(b, 1);
	step_until_done(b, 1);
	b->up.failure = FAKE_FAIL_RESET;
	b->up.failures_left = 1;
	send_request(b, 2);
	step_until_done(b, 2);
	assert_int_equal(b->complete, 1);
	assert_int_equal(get_stats(b).runs, 2);
	b->up.failure = FAKE_FAIL_TRUNCATE;
	b->up.failures_left = 1;
	send_request(b, 3);
	step_until_done(b, 3);
	assert_int_equal(b->complete, 1);
	assert_int_equal(get_stats(b).runs, 3);
}

static void
test_closed_connection_cancels(void **state)
{
	struct fixture *b = *state;

	b->up.options.service_us = 60000000;
	send_request(b, 1);
	for (int i = 0; i < MAX_STEPS && get_stats(b).runs == 0; i++)
		step(b);
	fake_fetch_cancel(b->client, 1);
	for (int i = 0; i < MAX_STEPS && get_stats(b).cancelled == 0; i++)
		step(b);
	assert_int_equal(get_stats(b).cancelled, 1);
	assert_int_equal(b->up.running, 0);
	b->up.options.service_us = 0;
	send_request(b, 2);
	step_until_done(b, 1);
	assert_int_equal(b->complete, 1);
}

static void
test_failed_egress_call_is_reported(void **state)
{
	struct fixture *b = *state;

	/* It has one slot, so its call to itself is shed. */
	b->up.options.calls[0] = "self/x";
	b->up.options.call_count = 1;
	b->up.options.egress_port = fake_server_port(b->up.server);
	send_request(b, 1);
	step_until_done(b, 1);
	assert_int_equal(b->status, 502);
	assert_int_equal(b->not_run, 0);
	assert_int_equal(get_stats(b).downstream_calls_failed, 1);
	assert_int_equal(get_stats(b).shed, 1);
}

#define WITH_FIXTURE(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_history_shows_any_past_revision),
	    cmocka_unit_test(test_restored_history_repeats_lost_publications),
	    cmocka_unit_test(test_restored_store_gives_revisions_out_again),
	    cmocka_unit_test(test_writers_repeat_what_a_restore_lost),
	    cmocka_unit_test(test_record_finds_texts_and_double_runs),
	    cmocka_unit_test(test_echo_differs_by_request),
	    WITH_FIXTURE(test_full_upstream_refuses),
	    WITH_FIXTURE(test_failed_request_is_not_resent),
	    WITH_FIXTURE(test_closed_connection_cancels),
	    WITH_FIXTURE(test_failed_egress_call_is_reported),
	};

	fake_block_signals();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
