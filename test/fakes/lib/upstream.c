/* Stand-in upstream: slots, queue, service time, calls to other services. */
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/table.h"
#include "fakes/lib/echo.h"
#include "fakes/lib/instance.h"
#include "fakes/lib/lifetime.h"

struct fake_run {
	uint64_t id;
	struct fake_request *request;
	const char *test_id;
	uint32_t next_call;
	const char *call_path; /* of the current call, as received there */
	bool calling;
	struct fake_run *prev; /* while queued */
	struct fake_run *next;
	UT_hash_handle hh; /* while running */
};

static void start_queued(struct fake_upstream *u);
static void continue_run(struct fake_upstream *u, struct fake_run *run);

static bool
is_instance(const struct fake_upstream *u)
{
	return u->options.instance_id != NULL;
}

static void
refuse_busy(struct fake_upstream *u, struct fake_request *r)
{
	u->stats.shed++;
	if (is_instance(u))
		fake_instance_add_not_run_headers(u, r);
	else
		fake_header_add(r, "Ibisrail-Outcome", "not-run");
	fake_answer_json(r, 503, "{\"error\":\"busy\"}\n");
}

static void
release_slot(struct fake_upstream *u, struct fake_run *run)
{
	HASH_DEL(u->runs, run);
	run->request->handler_data = NULL;
	u->running--;
}

static bool
use_failure(struct fake_upstream *u)
{
	if (u->failure == FAKE_FAIL_NONE || u->failures_left == 0)
		return false;
	if (u->failures_left > 0)
		u->failures_left--;
	u->stats.failed++;
	return true;
}

static void
answer_request(struct fake_upstream *u, struct fake_run *run)
{
	struct fake_request *r = run->request;
	char *text;

	release_slot(u, run);
	text = fake_echo(r, run->test_id, r->uri, r->body, r->body_bytes,
	    u->options.answer_bytes);
	if (use_failure(u)) {
		if (u->failure == FAKE_FAIL_RESET)
			fake_reset(r);
		else
			fake_truncate(r, text, strlen(text));
	} else {
		u->stats.answered++;
		if (is_instance(u))
			fake_instance_add_answer_headers(u, r);
		fake_header_add(r, "X-Test-Id", run->test_id);
		fake_answer(r, 200, "text/plain", text, strlen(text));
	}
	start_queued(u);
}

/* The request has already run: the answer is a failure, not a refusal. */
static void
answer_failed_call(
    struct fake_upstream *u, struct fake_run *run, const char *error)
{
	struct fake_request *r = run->request;

	release_slot(u, run);
	u->stats.downstream_calls_failed++;
	if (is_instance(u))
		fake_instance_add_answer_headers(u, r);
	fake_header_add(r, "X-Test-Id", run->test_id);
	fake_answer_json(r, is_instance(u) ? 500 : 502,
	    talloc_asprintf(r, "{\"error\":\"call failed: %s\"}\n", error));
	start_queued(u);
}

static bool
answer_matches(const struct fake_upstream *u, const struct fake_run *run,
    const struct fake_fetch_result *result)
{
	char *expected;
	bool matches;

	expected = fake_echo(NULL, run->test_id, run->call_path, NULL, 0, 0);
	matches = result->body_bytes >= strlen(expected) &&
		  memcmp(result->body, expected, strlen(expected)) == 0;
	talloc_free(expected);
	return matches;
}

static void
on_call_done(void *ctx, uint64_t id, const struct fake_fetch_result *result)
{
	struct fake_upstream *u = ctx;
	struct fake_run *run;

	fake_server_lock(u->server);
	HASH_FIND(hh, u->runs, &id, sizeof(id), run);
	if (run == NULL)
		goto out;
	run->calling = false;
	if (!result->complete) {
		answer_failed_call(u, run, result->failure);
	} else if (result->status != 200) {
		answer_failed_call(u, run,
		    result->error[0] != '\0' ? result->error : "status");
	} else {
		if (!answer_matches(u, run, result))
			u->stats.mismatched_answers++;
		continue_run(u, run);
	}
out:
	fake_server_unlock(u->server);
}

static const char *
copied_header(struct fake_run *run, const char *name)
{
	const char *value = fake_header(run->request, name);

	if (value == NULL)
		return NULL;
	return talloc_asprintf(run, "%s: %s", name, value);
}

/* Returns the call's path and fills in its headers, without the platform. */
static const char *
build_call(struct fake_run *run, const char *call,
    const char *headers[FAKE_CALL_HEADERS])
{
	const char *path = strchr(call, '/');
	size_t n = 0;

	headers[n] = copied_header(run, "Ibisrail-Attempt");
	n += headers[n] != NULL;
	headers[n] = copied_header(run, "X-Test-Id");
	return path != NULL ? path : "/";
}

static void
call_next_service(struct fake_upstream *u, struct fake_run *run)
{
	const char *call = u->options.calls[run->next_call++];
	const char *headers[FAKE_CALL_HEADERS] = {NULL};
	struct fake_fetch in = {0};

	if (is_instance(u))
		run->call_path = fake_instance_build_call(
		    run, run->request, run->next_call, call, headers);
	else
		run->call_path = build_call(run, call, headers);
	in.id = run->id;
	in.url = talloc_asprintf(run, "http://127.0.0.1:%u%s%s",
	    u->options.egress_port, is_instance(u) ? "" : "/",
	    is_instance(u) ? run->call_path : call);
	in.method = "GET";
	in.headers = headers;
	in.timeout_ms = u->options.call_timeout_ms;
	in.done = on_call_done;
	in.ctx = u;
	u->stats.downstream_calls++;
	run->calling = true;
	fake_fetch(u->fetcher, &in);
}

static void
continue_run(struct fake_upstream *u, struct fake_run *run)
{
	if (run->next_call < u->options.call_count)
		call_next_service(u, run);
	else
		answer_request(u, run);
}

static void
on_service_time_over(void *ctx, uint64_t id)
{
	struct fake_upstream *u = ctx;
	struct fake_run *run;

	fake_server_lock(u->server);
	HASH_FIND(hh, u->runs, &id, sizeof(id), run);
	if (run != NULL)
		continue_run(u, run);
	fake_server_unlock(u->server);
}

static int64_t
service_time(const struct fake_upstream *u, uint64_t id, int64_t now)
{
	const struct fake_upstream_options *o = &u->options;
	int64_t time_us = o->service_us;

	if (o->jitter_us > 0)
		time_us += (int64_t)(XXH64(&id, sizeof(id), 0) %
				     (uint64_t)o->jitter_us);
	if (now - u->started_us < o->cold_us)
		time_us *= o->cold_factor;
	return time_us;
}

static void
take_slot(struct fake_upstream *u, struct fake_run *run)
{
	HASH_ADD(hh, u->runs, id, sizeof(run->id), run);
	u->running++;
	if (u->running > u->stats.running_max)
		u->stats.running_max = u->running;
}

static void
start(struct fake_upstream *u, struct fake_run *run)
{
	int64_t now = fake_now_us();

	u->stats.runs++;
	take_slot(u, run);
	if (run->test_id[0] != '\0')
		fake_record_run(u->record, run->test_id);
	fake_timers_add(u->timers, now + service_time(u, run->id, now),
	    on_service_time_over, u, run->id);
}

static void
start_queued(struct fake_upstream *u)
{
	struct fake_run *run;

	while (u->queue != NULL && u->running < u->options.slots) {
		run = u->queue;
		DL_DELETE(u->queue, run);
		u->queued--;
		start(u, run);
	}
}

static void
on_header(void *ctx, const char *name, const char *value)
{
	fake_record_header(ctx, name, value);
}

static void
record_request(struct fake_upstream *u, const struct fake_request *r)
{
	u->stats.received++;
	fake_headers_each(r, on_header, u->record);
	fake_record_text(u->record, r->uri, strlen(r->uri));
	if (r->body_bytes > 0)
		fake_record_text(u->record, r->body, r->body_bytes);
}

void
fake_upstream_request(struct fake_upstream *u, struct fake_request *r)
{
	const char *id = fake_header(r, "X-Test-Id");
	struct fake_run *run;

	if (is_instance(u) && fake_instance_refuse(u, r))
		return;
	record_request(u, r);
	if (u->draining ||
	    (u->running >= u->options.slots && u->queued >= u->options.queue)) {
		refuse_busy(u, r);
		return;
	}
	run = talloc_zero(r, struct fake_run);
	run->id = ++u->next_id;
	run->request = r;
	run->test_id = talloc_strdup(run, id != NULL ? id : "");
	r->handler_data = run;
	if (u->running < u->options.slots) {
		start(u, run);
		return;
	}
	DL_APPEND(u->queue, run);
	u->queued++;
}

void
fake_upstream_disconnected(struct fake_upstream *u, struct fake_request *r)
{
	struct fake_run *run = r->handler_data, *found;

	if (run == NULL)
		return;
	u->stats.cancelled++;
	HASH_FIND(hh, u->runs, &run->id, sizeof(run->id), found);
	if (found == NULL) {
		DL_DELETE(u->queue, run);
		u->queued--;
		r->handler_data = NULL;
		return;
	}
	if (run->calling)
		fake_fetch_cancel(u->fetcher, run->id);
	release_slot(u, run);
	start_queued(u);
}
