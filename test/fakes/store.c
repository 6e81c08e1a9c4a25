/*
 * Stand-in for the key-value store of our users' platform.
 *
 * Readers: the calls of platform/names.h. In place of the upstreams, entries
 * under SERVERS_PREFIX are rewritten at each heartbeat with the next sequence
 * number.
 * Controls: PUT and DELETE of /control/kv/KEY (the body is the value; KEY may
 * contain slashes and is percent-encoded), POST /control/faults, GET
 * /control/stats.
 *
 * Faults, each in force until it is set again:
 *   page_items items in a page of a range, 500 at first
 *   down    resets the connections of readers
 *   hang    readers get no answer
 *   slow_ms delays answers
 *   forget  drops the history once: watches of older revisions get 410
 *   restore_ms goes back once to the state of this long ago: revisions are
 *           given out again, watches of those that do not exist get 410, and
 *           the header Store-Era of all answers to readers rises by one. What
 *           was written since is written again after random pauses.
 *   other_writes with restore_ms: this many changes of another key follow at
 *           once, so that watches of higher revisions get no 410
 */
#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "fakes/lib/kv.h"
#include "fakes/lib/lifetime.h"
#include "fakes/lib/server.h"
#include "fakes/lib/timers.h"
#include "platform/names.h"

#define POLL_US 5000
#define HEARTBEAT_MS 500
#define MAX_WAIT_MS 30000
#define PAGE_ITEMS 500
#define OTHER_KEY "other/key" /* of no interest to readers */
#define F_SEQUENCE "sequence"
#define US_PER_MS 1000

/* A read that waits: for a change, or because of a fault. */
struct pending_read {
	struct fake_request *request;
	int64_t not_before_us;
	int64_t until_us;
	struct pending_read *prev;
	struct pending_read *next;
};

struct store {
	struct fake_server *server;
	struct fake_timers *timers;
	struct fake_kv *kv;
	struct pending_read *reads;
	bool down;
	bool hang;
	int64_t slow_us;
	int64_t heartbeat_us;
	size_t page_items;
	uint64_t read_count;
	uint64_t compacted_count;
};

static bool
has_prefix(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

static void
put_number(struct json_object *o, const char *key, uint64_t value)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)value));
}

static void
put_text(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

static struct json_object *
item_json(const struct fake_kv_item *i)
{
	size_t size = sodium_base64_encoded_len(
	    i->value_bytes, sodium_base64_VARIANT_ORIGINAL);
	char *text = talloc_array(NULL, char, size);
	struct json_object *o = json_object_new_object();

	sodium_bin2base64(text, size, (const uint8_t *)i->value, i->value_bytes,
	    sodium_base64_VARIANT_ORIGINAL);
	put_text(o, FIELD_KEY, i->key);
	put_text(o, FIELD_VALUE, text);
	put_number(o, FIELD_REVISION, i->revision);
	put_number(o, FIELD_CREATED, i->created);
	put_number(o, "lease", 0);
	talloc_free(text);
	return o;
}

static struct json_object *
deletion_json(const char *key, uint64_t revision)
{
	struct json_object *o = json_object_new_object();

	put_text(o, FIELD_KEY, key);
	put_number(o, FIELD_REVISION, revision);
	json_object_object_add(o, FIELD_DELETED, json_object_new_boolean(true));
	return o;
}

static struct json_object *
event_json(const struct fake_kv_change *c)
{
	struct fake_kv_item item = {
	    .key = c->key,
	    .value = c->value,
	    .value_bytes = c->value_bytes,
	    .revision = c->revision,
	    .created = c->created,
	};

	if (c->value == NULL)
		return deletion_json(c->key, c->revision);
	return item_json(&item);
}

/* All answers of the platform's dialect bear the era, refusals too. */
static void
answer_json(
    struct store *s, struct fake_request *r, unsigned status, const char *text)
{
	char era[24];

	snprintf(era, sizeof(era), "%" PRIu64, s->kv->era);
	fake_header_add(r, HEADER_STORE_ERA, era);
	fake_answer_json(r, status, text);
}

static void
answer_object(struct store *s, struct fake_request *r, struct json_object *o)
{
	put_number(o, FIELD_STORE_REVISION, s->kv->revision);
	answer_json(s, r, 200,
	    json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static void
answer_key(struct store *s, struct fake_request *r)
{
	const char *key = fake_query(r, "key");
	const struct fake_kv_item *i = NULL;

	if (key != NULL)
		i = fake_kv_find(s->kv, key);
	if (i == NULL)
		answer_json(s, r, 404, "{}\n");
	else
		answer_object(s, r, item_json(i));
}

static int
by_key(const struct fake_kv_item *a, const struct fake_kv_item *b)
{
	return strcmp(a->key, b->key);
}

static void
answer_range(struct store *s, struct fake_request *r)
{
	const char *prefix = fake_query(r, "path_prefix");
	const char *after = fake_query(r, "after");
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	bool more = false;
	const struct fake_kv_item *i;

	HASH_SRT(hh, s->kv->items, by_key);
	for (i = s->kv->items; i != NULL && !more; i = i->hh.next) {
		if (!has_prefix(i->key, prefix != NULL ? prefix : ""))
			continue;
		if (after != NULL && strcmp(i->key, after) <= 0)
			continue;
		more = json_object_array_length(list) == s->page_items;
		if (!more)
			json_object_array_add(list, item_json(i));
	}
	json_object_object_add(o, FIELD_ITEMS, list);
	json_object_object_add(
	    o, FIELD_TRUNCATED, json_object_new_boolean(more));
	answer_object(s, r, o);
}

/* Returns the changes that a watch waits for, NULL if there are none. */
static struct json_object *
matching_events(const struct store *s, const struct fake_request *r)
{
	const char *prefix = fake_query(r, "path_prefix");
	uint64_t after = fake_query_number(r, "after");
	struct json_object *list = NULL;
	const struct fake_kv_change *c;

	DL_FOREACH (s->kv->history, c) {
		if (c->revision <= after ||
		    !has_prefix(c->key, prefix != NULL ? prefix : ""))
			continue;
		if (list == NULL)
			list = json_object_new_array();
		json_object_array_add(list, event_json(c));
	}
	return list;
}

/* Returns false, without answering, if the watch has to wait for a change. */
static bool
answer_watch(struct store *s, struct fake_request *r, bool waited)
{
	struct json_object *events, *o;

	if (fake_kv_is_gone(s->kv, fake_query_number(r, "after"))) {
		s->compacted_count++;
		answer_json(s, r, 410, "{}\n");
		return true;
	}
	events = matching_events(s, r);
	if (events == NULL && !waited)
		return false;
	o = json_object_new_object();
	json_object_object_add(
	    o, FIELD_EVENTS, events != NULL ? events : json_object_new_array());
	answer_object(s, r, o);
	return true;
}

/* Answers a read; returns false if it has to wait. */
static bool
try_answer(struct store *s, const struct pending_read *w, int64_t now)
{
	struct fake_request *r = w->request;

	if (s->down) {
		fake_reset(r);
		return true;
	}
	if (s->hang || now < w->not_before_us)
		return false;
	if (strcmp(r->path, READ_KEY_PATH) == 0)
		answer_key(s, r);
	else if (strcmp(r->path, READ_RANGE_PATH) == 0)
		answer_range(s, r);
	else
		return answer_watch(s, r, now >= w->until_us);
	return true;
}

static void
on_read(struct store *s, struct fake_request *r)
{
	uint64_t wait_ms = fake_query_number(r, "wait_ms");
	struct pending_read *w = talloc_zero(r, struct pending_read);
	int64_t now = fake_now_us();

	if (wait_ms > MAX_WAIT_MS)
		wait_ms = MAX_WAIT_MS;
	s->read_count++;
	w->request = r;
	w->not_before_us = now + s->slow_us;
	w->until_us = now + (int64_t)wait_ms * US_PER_MS;
	if (try_answer(s, w, now))
		return;
	r->handler_data = w;
	DL_APPEND(s->reads, w);
}

static void
answer_due_reads(struct store *s)
{
	int64_t now = fake_now_us();
	struct pending_read *w, *next;

	DL_FOREACH_SAFE (s->reads, w, next) {
		struct fake_request *r = w->request;

		if (!try_answer(s, w, now))
			continue;
		r->handler_data = NULL;
		DL_DELETE(s->reads, w);
	}
}

/* Rewrites the entry of an upstream with the next sequence number. */
static void
write_heartbeat(struct store *s, const struct fake_kv_item *i)
{
	struct json_object *o = json_tokener_parse(i->value);
	struct json_object *v;
	const char *text;

	if (json_object_object_get_ex(o, F_SEQUENCE, &v)) {
		put_number(o, F_SEQUENCE, json_object_get_uint64(v) + 1);
		text =
		    json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
		fake_kv_put(s->kv, fake_now_us(), i->key, text, strlen(text));
	}
	json_object_put(o);
}

static void
on_heartbeat(void *ctx, uint64_t id)
{
	struct store *s = ctx;
	const struct fake_kv_item *i;

	fake_server_lock(s->server);
	/* A store that is down accepts no writes. */
	for (i = s->kv->items; i != NULL && !s->down; i = i->hh.next) {
		/* Its writer has not noticed yet that the store went back. */
		if (fake_rewrites_pending(s->kv->rewrites, i->key))
			continue;
		if (has_prefix(i->key, SERVERS_PREFIX))
			write_heartbeat(s, i);
	}
	fake_server_unlock(s->server);
	fake_timers_add(
	    s->timers, fake_now_us() + s->heartbeat_us, on_heartbeat, s, 0);
}

static void
on_poll_timer(void *ctx, uint64_t id)
{
	struct store *s = ctx;

	fake_server_check_disconnects(s->server);
	fake_server_lock(s->server);
	if (!s->down)
		fake_kv_write_due(s->kv, fake_now_us());
	answer_due_reads(s);
	fake_server_unlock(s->server);
	fake_timers_add(
	    s->timers, fake_now_us() + POLL_US, on_poll_timer, s, 0);
}

static void
on_disconnect(void *ctx, struct fake_request *r)
{
	struct store *s = ctx;
	struct pending_read *w = r->handler_data;

	if (w == NULL)
		return;
	r->handler_data = NULL;
	DL_DELETE(s->reads, w);
}

static void
on_write(struct store *s, struct fake_request *r, const char *encoded_key)
{
	char *key = talloc_strdup(r, encoded_key);

	MHD_http_unescape(key);
	if (strcmp(r->method, "PUT") == 0)
		fake_kv_put(s->kv, fake_now_us(), key, (const char *)r->body,
		    r->body_bytes);
	else
		fake_kv_delete(s->kv, fake_now_us(), key);
	fake_answer_json(r, 200,
	    talloc_asprintf(
		r, "{\"revision\":%" PRIu64 "}\n", s->kv->revision));
	answer_due_reads(s);
}

static bool
get_flag(struct json_object *o, const char *key, bool current)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, key, &v))
		return current;
	return json_object_get_boolean(v);
}

static int64_t
get_number(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v)
						     : 0;
}

/* Cuts the reads that wait: the store is away while it is restored. */
static void
restore(struct store *s, int64_t age_us, int64_t other_writes)
{
	struct pending_read *w, *next;
	int64_t now = fake_now_us();

	DL_FOREACH_SAFE (s->reads, w, next) {
		w->request->handler_data = NULL;
		DL_DELETE(s->reads, w);
		fake_reset(w->request);
	}
	fake_kv_restore(s->kv, now, age_us);
	while (other_writes-- > 0)
		fake_kv_put(s->kv, now, OTHER_KEY, "", 0);
}

/* Faults that are absent from the JSON object keep their value. */
static void
on_faults(struct store *s, struct fake_request *r)
{
	char *text = talloc_strndup(r, (char *)r->body, r->body_bytes);
	struct json_object *o = json_tokener_parse(text != NULL ? text : "");
	struct json_object *v;

	s->down = get_flag(o, "down", s->down);
	s->hang = get_flag(o, "hang", s->hang);
	if (json_object_object_get_ex(o, "slow_ms", &v))
		s->slow_us = json_object_get_int64(v) * US_PER_MS;
	if (json_object_object_get_ex(o, "page_items", &v))
		s->page_items = (size_t)json_object_get_int64(v);
	if (get_flag(o, "forget", false))
		fake_kv_compact(s->kv);
	if (json_object_object_get_ex(o, "restore_ms", &v))
		restore(s, json_object_get_int64(v) * US_PER_MS,
		    get_number(o, "other_writes"));
	json_object_put(o);
	fake_answer_json(r, 200, "{}\n");
	answer_due_reads(s);
}

static void
on_stats(struct store *s, struct fake_request *r)
{
	const struct fake_kv_item *config = fake_kv_find(s->kv, CONFIG_KEY);

	fake_answer_json(r, 200,
	    talloc_asprintf(r,
		"{\"revision\":%" PRIu64 ",\"era\":%" PRIu64
		",\"config_revision\":%" PRIu64 ",\"reads\":%" PRIu64
		",\"gone\":%" PRIu64 "}\n",
		s->kv->revision, s->kv->era,
		config != NULL ? config->revision : 0, s->read_count,
		s->compacted_count));
}

static void
on_request(void *ctx, struct fake_request *r)
{
	static const char control[] = "/control/kv/";
	struct store *s = ctx;

	if (strcmp(r->path, READ_KEY_PATH) == 0 ||
	    strcmp(r->path, READ_RANGE_PATH) == 0 ||
	    strcmp(r->path, WATCH_PATH) == 0)
		on_read(s, r);
	else if (has_prefix(r->path, control))
		on_write(s, r, r->path + sizeof(control) - 1);
	else if (strcmp(r->path, "/control/faults") == 0)
		on_faults(s, r);
	else if (strcmp(r->path, "/control/stats") == 0)
		on_stats(s, r);
	else
		fake_answer_json(r, 404, "{}\n");
}

static const struct fake_handler handler = {on_request, on_disconnect};

static int
serve(uint16_t port, int heartbeat_ms, int lifetime_s)
{
	struct store *s = talloc_zero(NULL, struct store);

	fake_block_signals();
	s->kv = fake_kv_new(s, 1);
	s->heartbeat_us = (int64_t)heartbeat_ms * US_PER_MS;
	s->page_items = PAGE_ITEMS;
	s->server = fake_server_start(port, &handler, s);
	if (s->server == NULL) {
		fprintf(stderr, "store: cannot listen on port %u\n", port);
		talloc_free(s);
		return 1;
	}
	s->timers = fake_timers_start();
	fake_timers_add(
	    s->timers, fake_now_us() + POLL_US, on_poll_timer, s, 0);
	fake_timers_add(
	    s->timers, fake_now_us() + s->heartbeat_us, on_heartbeat, s, 0);
	fake_wait_for_signal(lifetime_s);
	fake_timers_stop(s->timers);
	fake_server_stop(s->server);
	talloc_free(s);
	return 0;
}

int
main(int argc, char **argv)
{
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "port on 127.0.0.1, 0 for any");
	struct arg_int *heartbeat = arg_int0(
	    NULL, "heartbeat-ms", "N", "time between writes of an entry");
	struct arg_int *lifetime =
	    arg_int0(NULL, "lifetime", "S", "seconds until it ends itself");
	struct arg_end *end = arg_end(5);
	void *table[] = {port, heartbeat, lifetime, end};
	int rc = 2;

	port->ival[0] = 0;
	heartbeat->ival[0] = HEARTBEAT_MS;
	lifetime->ival[0] = FAKE_LIFETIME_S;
	if (arg_parse(argc, argv, table) == 0) {
		rc = serve((uint16_t)port->ival[0], heartbeat->ival[0],
		    lifetime->ival[0]);
	} else {
		arg_print_errors(stderr, end, "store");
		arg_print_syntax(stderr, table, "\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
