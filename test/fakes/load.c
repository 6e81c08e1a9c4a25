/*
 * Load generator: sends requests to nodes, or directly to upstreams (--direct).
 *
 * Open loop (--rate) sends at a constant rate regardless of the answers, and
 * measures latency from the planned time of sending. Closed loop
 * (--concurrency) keeps that many requests in flight. Keys, paths and nodes are
 * used in turn. With --retries, a request that fails is retried immediately,
 * without backoff. Prints one line of JSON.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/table.h"
#include "fakes/lib/echo.h"
#include "fakes/lib/fetch.h"
#include "fakes/lib/lifetime.h"
#include "fakes/lib/load_stats.h"

#define MAX_ADDRESSES 64
#define MAX_KEYS 64
#define MAX_PATHS 16
#define MAX_DURATION_MS 120000
#define MAX_RATE_PER_S 20000
#define MAX_CONCURRENCY 4096
#define MAX_IN_FLIGHT 4096
#define MAX_RETRIES 100
#define MAX_BODY_BYTES (4 * 1024 * 1024)
#define MAX_HEADERS 8
#define US_PER_S 1000000

struct arguments {
	struct arg_str *address, *path, *key, *method;
	struct arg_int *rate, *concurrency, *duration, *retries, *deadline;
	struct arg_int *timeout, *body, *seed, *answer, *count;
	struct arg_lit *idempotency, *direct, *series, *unchecked;
	struct arg_end *end;
};

struct key {
	char *name;
	const char *text; /* NULL: no key is sent */
};

struct load {
	const struct arguments *args;
	struct fake_fetcher *fetcher;
	struct fake_load_stats *stats;
	struct key keys[MAX_KEYS];
	uint32_t key_count;
	uint8_t *body;
	struct call *calls;
	uint32_t in_flight;
	uint64_t sent;
	uint64_t skipped; /* not sent, as MAX_IN_FLIGHT was reached */
	uint64_t retries;
	uint64_t next_fetch;
	int64_t started_us;
	int64_t stop_us;
};

/* A request of the caller, with its retries. */
struct call {
	uint64_t fetch; /* id of the current attempt */
	uint64_t number;
	const struct key *key;
	const char *path;
	char *test_id;
	uint32_t attempt;
	int64_t planned_us;
	UT_hash_handle hh;
};

static void on_done(
    void *ctx, uint64_t id, const struct fake_fetch_result *result);

static const char *
upstream_path(const struct load *l, const char *path)
{
	const char *rest;

	if (l->args->direct->count > 0)
		return path;
	rest = strchr(path + 1, '/');
	return rest != NULL ? rest : "/";
}

/* Retries have test ids of their own, unless an idempotency key joins them. */
static void
set_test_id(struct load *l, struct call *c)
{
	int32_t seed = l->args->seed->ival[0];

	talloc_free(c->test_id);
	if (c->attempt == 0 || l->args->idempotency->count > 0)
		c->test_id =
		    talloc_asprintf(c, "l%d-%" PRIu64, seed, c->number);
	else
		c->test_id = talloc_asprintf(
		    c, "l%d-%" PRIu64 "r%u", seed, c->number, c->attempt);
}

static void
set_headers(const struct load *l, struct call *c, const char **h)
{
	const struct arguments *a = l->args;

	*h++ = talloc_asprintf(c, "X-Test-Id: %s", c->test_id);
	if (c->key->text != NULL)
		*h++ = talloc_asprintf(c, "Ibisrail-Key: %s", c->key->text);
	if (a->deadline->ival[0] > 0)
		*h++ = talloc_asprintf(
		    c, "Ibisrail-Deadline-Ms: %d", a->deadline->ival[0]);
	if (a->idempotency->count > 0) {
		*h++ = talloc_asprintf(c, "Idempotency-Key: l%d-%" PRIu64,
		    a->seed->ival[0], c->number);
		if (c->attempt == 0)
			*h++ = "Ibisrail-First-Attempt: 1";
	}
	*h = NULL;
}

static void
add_call(struct load *l, struct call *c)
{
	HASH_ADD(hh, l->calls, fetch, sizeof(c->fetch), c);
}

static void
send_attempt(struct load *l, struct call *c)
{
	const struct arguments *a = l->args;
	const char *headers[MAX_HEADERS];
	struct fake_fetch in = {0};
	uint64_t node;

	node = (c->number + c->attempt) % (uint64_t)a->address->count;
	set_test_id(l, c);
	set_headers(l, c, headers);
	c->fetch = ++l->next_fetch;
	add_call(l, c);
	in.id = c->fetch;
	in.url =
	    talloc_asprintf(c, "http://%s%s", a->address->sval[node], c->path);
	in.method = a->method->sval[0];
	in.headers = headers;
	in.body = l->body;
	in.body_bytes = talloc_get_size(l->body);
	in.timeout_ms = (uint32_t)a->timeout->ival[0];
	in.done = on_done;
	in.ctx = l;
	fake_fetch(l->fetcher, &in);
}

static void
send_call(struct load *l, int64_t planned_us)
{
	const struct arguments *a = l->args;
	struct call *c = talloc_zero(l, struct call);

	c->number = l->sent++;
	c->key = &l->keys[c->number % l->key_count];
	c->path =
	    a->path->sval[c->number / l->key_count % (uint64_t)a->path->count];
	c->planned_us = planned_us;
	l->in_flight++;
	fake_load_stats_sent(l->stats, c->key->name, c->path);
	send_attempt(l, c);
}

static bool
body_matches(const struct load *l, const struct call *c,
    const struct fake_fetch_result *r)
{
	char *expected;
	bool matches;

	if (l->args->unchecked->count > 0)
		return true;
	expected =
	    fake_echo(NULL, c->test_id, upstream_path(l, c->path), l->body,
		talloc_get_size(l->body), (size_t)l->args->answer->ival[0]);
	matches = r->body_bytes == strlen(expected) &&
		  memcmp(r->body, expected, r->body_bytes) == 0;
	talloc_free(expected);
	return matches;
}

/* An answer without an outcome comes directly from an upstream. */
static enum fake_outcome
classify(const struct load *l, const struct call *c,
    const struct fake_fetch_result *r)
{
	if (!r->complete)
		return FAKE_OUTCOME_NO_ANSWER;
	if (strcmp(r->outcome, "not-run") == 0)
		return FAKE_OUTCOME_REFUSED;
	if (strcmp(r->outcome, "unknown") == 0)
		return FAKE_OUTCOME_UNKNOWN;
	if (r->status != 200)
		return FAKE_OUTCOME_FAILED;
	return body_matches(l, c, r) ? FAKE_OUTCOME_OK
				     : FAKE_OUTCOME_MISMATCHED;
}

static bool
may_retry(const struct load *l, const struct call *c, enum fake_outcome outcome)
{
	if (outcome == FAKE_OUTCOME_OK || outcome == FAKE_OUTCOME_MISMATCHED)
		return false;
	if (fake_now_us() >= l->stop_us)
		return false;
	return c->attempt < (uint32_t)l->args->retries->ival[0];
}

static void
end_call(struct load *l, struct call *c, enum fake_outcome outcome,
    const struct fake_fetch_result *r)
{
	struct fake_request_result e = {0};
	int64_t now = fake_now_us();
	char status[16];

	snprintf(status, sizeof(status), "http-%u", r->status);
	e.outcome = outcome;
	e.reason = r->error[0] != '\0' ? r->error : status;
	if (!r->complete)
		e.reason = r->failure;
	e.key = c->key->name;
	e.path = c->path;
	e.latency_us = now - c->planned_us;
	e.started_us = c->planned_us - l->started_us;
	e.ended_us = now - l->started_us;
	fake_load_stats_result(l->stats, &e);
	talloc_free(c);
	l->in_flight--;
}

static void
on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct load *l = ctx;
	enum fake_outcome outcome;
	struct call *c;

	HASH_FIND(hh, l->calls, &id, sizeof(id), c);
	if (c == NULL)
		return;
	HASH_DEL(l->calls, c);
	outcome = classify(l, c, r);
	if (may_retry(l, c, outcome)) {
		c->attempt++;
		l->retries++;
		send_attempt(l, c);
		return;
	}
	end_call(l, c, outcome, r);
}

static bool
may_send(const struct load *l, int64_t now)
{
	int count = l->args->count->ival[0];

	if (count > 0 && l->sent + l->skipped >= (uint64_t)count)
		return false;
	return now < l->stop_us;
}

/* Sends requests that are due; returns when the next one is, or INT64_MAX. */
static int64_t
send_due(struct load *l, int64_t now)
{
	int64_t rate = l->args->rate->ival[0];
	int64_t due = INT64_MAX;

	if (rate == 0) {
		while (may_send(l, now) &&
		       l->in_flight < (uint32_t)l->args->concurrency->ival[0])
			send_call(l, now);
		return INT64_MAX;
	}
	while (may_send(l, now)) {
		due = l->started_us +
		      (int64_t)(l->sent + l->skipped) * US_PER_S / rate;
		if (due > now)
			return due;
		if (l->in_flight < MAX_IN_FLIGHT)
			send_call(l, due);
		else
			l->skipped++;
	}
	return INT64_MAX;
}

static void
run_load(struct load *l)
{
	int64_t now, due, wait_ms;

	l->started_us = fake_now_us();
	l->stop_us = l->started_us + l->args->duration->ival[0] * INT64_C(1000);
	for (;;) {
		now = fake_now_us();
		due = send_due(l, now);
		if ((!may_send(l, now) && l->in_flight == 0) ||
		    fake_signal_received())
			break;
		wait_ms = due == INT64_MAX ? 10 : (due - now) / 1000;
		fake_fetcher_step(l->fetcher, wait_ms > 10 ? 10 : (int)wait_ms);
	}
}

/* Parses "NAME=KEY" or "KEY", which is named by its position. */
static void
parse_keys(struct load *l)
{
	const struct arg_str *in = l->args->key;

	for (int i = 0; i < in->count; i++) {
		struct key *k = &l->keys[l->key_count++];
		const char *equals = strchr(in->sval[i], '=');

		if (equals == NULL) {
			k->name = talloc_asprintf(l, "key%d", i + 1);
			k->text = in->sval[i];
			continue;
		}
		k->name = talloc_strndup(
		    l, in->sval[i], (size_t)(equals - in->sval[i]));
		k->text = equals + 1;
	}
	if (l->key_count == 0)
		l->keys[l->key_count++].name = talloc_strdup(l, "none");
}

static void
clamp(struct arg_int *a, int max)
{
	if (a->ival[0] < 0)
		a->ival[0] = 0;
	if (a->ival[0] > max)
		a->ival[0] = max;
}

static void
clamp_arguments(const struct arguments *a)
{
	clamp(a->rate, MAX_RATE_PER_S);
	clamp(a->concurrency, MAX_CONCURRENCY);
	clamp(a->duration, MAX_DURATION_MS);
	clamp(a->retries, MAX_RETRIES);
	clamp(a->body, MAX_BODY_BYTES);
	clamp(a->timeout, MAX_DURATION_MS);
	if (a->rate->ival[0] == 0 && a->concurrency->ival[0] == 0)
		a->concurrency->ival[0] = 1;
}

static void
print_report(struct load *l)
{
	struct json_object *out = json_object_new_object();

	json_object_object_add(
	    out, "skipped", json_object_new_int64((int64_t)l->skipped));
	json_object_object_add(
	    out, "retries", json_object_new_int64((int64_t)l->retries));
	fake_load_stats_report(l->stats, out, fake_now_us() - l->started_us,
	    l->args->series->count > 0);
	puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
	json_object_put(out);
}

static int
run_program(const struct arguments *a)
{
	struct load *l = talloc_zero(NULL, struct load);

	clamp_arguments(a);
	l->args = a;
	l->stats = fake_load_stats_new(l);
	l->fetcher = fake_fetcher_new(MAX_IN_FLIGHT);
	l->body = talloc_zero_array(l, uint8_t, (size_t)a->body->ival[0]);
	memset(l->body, 'b', (size_t)a->body->ival[0]);
	parse_keys(l);
	run_load(l);
	print_report(l);
	fake_fetcher_free(l->fetcher);
	talloc_free(l);
	return 0;
}

static void
set_defaults(const struct arguments *a)
{
	a->method->sval[0] = "GET";
	a->rate->ival[0] = 0;
	a->concurrency->ival[0] = 0;
	a->duration->ival[0] = 1000;
	a->retries->ival[0] = 0;
	a->deadline->ival[0] = 0;
	a->timeout->ival[0] = 35000;
	a->body->ival[0] = 0;
	a->seed->ival[0] = 1;
	a->answer->ival[0] = 0;
	a->count->ival[0] = 0;
}

int
main(int argc, char **argv)
{
	struct arguments a;
	void *table[] = {
	    a.address =
		arg_strn(NULL, NULL, "ADDRESS:PORT", 1, MAX_ADDRESSES, "nodes"),
	    a.path = arg_strn(
		NULL, "path", "/SERVICE/...", 1, MAX_PATHS, "paths, in turn"),
	    a.key = arg_strn(
		NULL, "key", "[NAME=]KEY", 0, MAX_KEYS, "keys, in turn"),
	    a.method = arg_str0(NULL, "method", "M", "HTTP method"),
	    a.rate = arg_int0(NULL, "rate", "N", "requests a second"),
	    a.concurrency = arg_int0(
		NULL, "concurrency", "N", "requests in flight, without a rate"),
	    a.duration = arg_int0(NULL, "duration-ms", "N", "time to send"),
	    a.count = arg_int0(NULL, "count", "N", "requests in total"),
	    a.retries = arg_int0(
		NULL, "retries", "N", "immediate retries of a request"),
	    a.deadline =
		arg_int0(NULL, "deadline-ms", "N", "deadline sent to nodes"),
	    a.timeout =
		arg_int0(NULL, "timeout-ms", "N", "time-out of a request"),
	    a.body = arg_int0(NULL, "body-bytes", "N", "size of bodies"),
	    a.seed = arg_int0(NULL, "seed", "N", "part of the test ids"),
	    a.answer =
		arg_int0(NULL, "answer-bytes", "N", "as set for the upstreams"),
	    a.idempotency =
		arg_lit0(NULL, "idempotency", "an Idempotency-Key for each"),
	    a.direct = arg_lit0(
		NULL, "direct", "addresses and paths are those of upstreams"),
	    a.unchecked =
		arg_lit0(NULL, "unchecked", "answers are not from stand-ins"),
	    a.series = arg_lit0(NULL, "series", "adds counts per 100 ms"),
	    a.end = arg_end(5),
	};
	int rc = 2;

	set_defaults(&a);
	fake_block_signals();
	if (arg_parse(argc, argv, table) == 0) {
		rc = run_program(&a);
	} else {
		arg_print_errors(stderr, a.end, "load");
		arg_print_glossary(stderr, table, "  %-26s %s\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
