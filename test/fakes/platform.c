/*
 * Stand-in for the platform's configuration service and host list.
 *
 * Readers: GET /v1/config and /v1/hosts, with parameters after (a revision) and
 * wait_ms (how long to wait for a newer one).
 * Controls: PUT and DELETE of /control/config/NAME and /control/hosts/NAME
 * (the body is the section's text; NAME may contain slashes; hosts are
 * published as "host/NAME"), POST /control/faults, GET /control/stats.
 *
 * Faults, each in force until it is set again:
 *   down   resets the connections of readers
 *   hang   with down: readers get no answer instead of a reset
 *   stale  shows readers the state as of the time when the fault was set
 *   lag_ms shows readers the host list with this delay
 *   restore_ms goes back once to the state of this long ago: revisions are
 *          given out again, and the member era of all answers to readers rises
 *          by one. What was published since is published again after random
 *          pauses.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "fakes/lib/history.h"
#include "fakes/lib/lifetime.h"
#include "fakes/lib/server.h"
#include "fakes/lib/timers.h"

#define POLL_US 5000
#define MAX_WAIT_MS 60000
#define US_PER_MS 1000
/* Longest pause of a publisher before it repeats a lost publication. */
#define REWRITE_PAUSE_US (2000 * US_PER_MS)

enum collection_kind {
	CONFIG,
	HOSTS,
	COLLECTIONS
};

struct collection {
	struct fake_history *history;
	struct fake_rewrites *rewrites; /* of section names */
	uint64_t stale_revision;	/* shown while stale */
	uint64_t reads;
	uint64_t empty_reads;
};

struct watch {
	struct fake_request *request;
	struct collection *collection;
	uint64_t after;
	int64_t until_us;
	struct watch *prev;
	struct watch *next;
};

struct platform {
	struct fake_server *server;
	struct fake_timers *timers;
	struct collection collections[COLLECTIONS];
	struct watch *watches;
	bool down;
	bool hang;
	bool stale;
	int64_t lag_us;
	uint64_t dropped_reads;
};

static uint64_t
visible_revision(
    const struct platform *p, const struct collection *s, int64_t now)
{
	uint64_t visible = fake_history_revision(s->history);
	uint64_t lagging;

	if (p->stale && visible > s->stale_revision)
		visible = s->stale_revision;
	if (s != &p->collections[HOSTS] || p->lag_us == 0)
		return visible;
	lagging = fake_history_revision_at(s->history, now - p->lag_us);
	return lagging < visible ? lagging : visible;
}

static void
answer_read(struct platform *p, struct fake_request *r, struct collection *s,
    uint64_t after, int64_t now)
{
	uint64_t visible = visible_revision(p, s, now);

	if (visible <= after)
		s->empty_reads++;
	fake_answer_json(
	    r, 200, fake_history_read(s->history, r, after, visible));
}

static void
drop_read(struct platform *p, struct fake_request *r)
{
	p->dropped_reads++;
	if (!p->hang)
		fake_reset(r);
}

static void
on_read(struct platform *p, struct fake_request *r, enum collection_kind kind)
{
	struct collection *s = &p->collections[kind];
	uint64_t after = fake_query_number(r, "after");
	uint64_t wait_ms = fake_query_number(r, "wait_ms");
	int64_t now = fake_now_us();
	struct watch *w;

	s->reads++;
	if (p->down) {
		drop_read(p, r);
		return;
	}
	if (wait_ms == 0 || visible_revision(p, s, now) > after) {
		answer_read(p, r, s, after, now);
		return;
	}
	if (wait_ms > MAX_WAIT_MS)
		wait_ms = MAX_WAIT_MS;
	w = talloc_zero(r, struct watch);
	w->request = r;
	w->collection = s;
	w->after = after;
	w->until_us = now + (int64_t)wait_ms * 1000;
	r->handler_data = w;
	DL_APPEND(p->watches, w);
}

static void
remove_watch(struct platform *p, struct watch *w)
{
	w->request->handler_data = NULL;
	DL_DELETE(p->watches, w);
}

/* Answers watches for which there is a newer revision or whose time is up. */
static void
answer_due_watches(struct platform *p)
{
	int64_t now = fake_now_us();
	struct watch *w, *tmp;

	DL_FOREACH_SAFE (p->watches, w, tmp) {
		if (p->down) {
			remove_watch(p, w);
			drop_read(p, w->request);
			continue;
		}
		if (visible_revision(p, w->collection, now) <= w->after &&
		    now < w->until_us)
			continue;
		remove_watch(p, w);
		answer_read(p, w->request, w->collection, w->after, now);
	}
}

/* Publishes again what a restore lost and is due. */
static void
republish_due(struct platform *p)
{
	int64_t now = fake_now_us();
	struct fake_rewrite *r;

	for (int i = 0; i < COLLECTIONS && !p->down; i++) {
		struct collection *c = &p->collections[i];

		while ((r = fake_rewrites_take_due(c->rewrites, now)) != NULL) {
			(void)fake_history_publish(
			    c->history, now, r->key, r->value);
			talloc_free(r);
		}
	}
}

static void
restore(struct platform *p, int64_t age_us)
{
	int64_t now = fake_now_us();

	for (int i = 0; i < COLLECTIONS; i++) {
		struct collection *c = &p->collections[i];

		fake_history_restore(
		    c->history, now, now - age_us, c->rewrites);
	}
}

static void
on_poll_timer(void *ctx, uint64_t id)
{
	struct platform *p = ctx;

	fake_server_check_disconnects(p->server);
	fake_server_lock(p->server);
	republish_due(p);
	answer_due_watches(p);
	fake_server_unlock(p->server);
	fake_timers_add(
	    p->timers, fake_now_us() + POLL_US, on_poll_timer, p, 0);
}

static void
on_disconnect(void *ctx, struct fake_request *r)
{
	if (r->handler_data != NULL)
		remove_watch(ctx, r->handler_data);
}

static void
on_publish(struct platform *p, struct fake_request *r,
    enum collection_kind kind, const char *name)
{
	struct collection *s = &p->collections[kind];
	uint64_t revision;
	char *text;

	if (strcmp(r->method, "PUT") == 0)
		text = talloc_strndup(r, (char *)r->body, r->body_bytes);
	else
		text = talloc_strdup(r, "");
	if (kind == HOSTS)
		name = talloc_asprintf(r, "host/%s", name);
	fake_rewrites_cancel(s->rewrites, name);
	revision = fake_history_publish(s->history, fake_now_us(), name, text);
	fake_answer_json(r, revision > 0 ? 200 : 507,
	    talloc_asprintf(r, "{\"revision\":%" PRIu64 "}\n", revision));
	answer_due_watches(p);
}

static bool
get_flag(struct json_object *obj, const char *key, bool current)
{
	struct json_object *v;

	if (!json_object_object_get_ex(obj, key, &v))
		return current;
	return json_object_get_boolean(v);
}

static void
set_stale(struct platform *p, bool stale)
{
	int64_t now = fake_now_us();

	if (stale && !p->stale) {
		for (int i = 0; i < COLLECTIONS; i++)
			p->collections[i].stale_revision =
			    visible_revision(p, &p->collections[i], now);
	}
	p->stale = stale;
}

/* Faults that are absent from the JSON object keep their value. */
static void
on_faults(struct platform *p, struct fake_request *r)
{
	struct json_object *obj, *v;
	char *text;

	text = talloc_strndup(r, (char *)r->body, r->body_bytes);
	obj = json_tokener_parse(text != NULL ? text : "");
	if (!json_object_is_type(obj, json_type_object)) {
		fake_answer_json(r, 400, "{\"error\":\"not an object\"}\n");
		json_object_put(obj);
		return;
	}
	p->down = get_flag(obj, "down", p->down);
	p->hang = get_flag(obj, "hang", p->hang);
	set_stale(p, get_flag(obj, "stale", p->stale));
	if (json_object_object_get_ex(obj, "lag_ms", &v))
		p->lag_us = json_object_get_int64(v) * US_PER_MS;
	if (json_object_object_get_ex(obj, "restore_ms", &v))
		restore(p, json_object_get_int64(v) * US_PER_MS);
	json_object_put(obj);
	fake_answer_json(r, 200, "{}\n");
	answer_due_watches(p);
}

static void
on_stats(struct platform *p, struct fake_request *r)
{
	const struct collection *c = &p->collections[CONFIG],
				*h = &p->collections[HOSTS];
	struct watch *w;
	int watches = 0;

	DL_COUNT(p->watches, w, watches);
	fake_answer_json(r, 200,
	    talloc_asprintf(r,
		"{\"era\":%" PRIu64 ",\"config_revision\":%" PRIu64
		",\"list_revision\":%" PRIu64 ",\"config_reads\":%" PRIu64
		",\"list_reads\":%" PRIu64 ",\"empty_reads\":%" PRIu64
		",\"dropped_reads\":%" PRIu64 ",\"watches\":%d}\n",
		fake_history_era(c->history), fake_history_revision(c->history),
		fake_history_revision(h->history), c->reads, h->reads,
		c->empty_reads + h->empty_reads, p->dropped_reads, watches));
}

/* Returns the part of the path after a prefix, NULL if it does not match. */
static const char *
after_prefix(const char *path, const char *prefix)
{
	size_t n = strlen(prefix);

	return strncmp(path, prefix, n) == 0 ? path + n : NULL;
}

static bool
is_publication(const struct fake_request *r)
{
	return strcmp(r->method, "PUT") == 0 ||
	       strcmp(r->method, "DELETE") == 0;
}

static void
on_request(void *ctx, struct fake_request *r)
{
	const char *name;
	struct platform *p = ctx;

	if (strcmp(r->path, "/v1/config") == 0)
		on_read(p, r, CONFIG);
	else if (strcmp(r->path, "/v1/hosts") == 0)
		on_read(p, r, HOSTS);
	else if (strcmp(r->path, "/control/stats") == 0)
		on_stats(p, r);
	else if (strcmp(r->path, "/control/faults") == 0)
		on_faults(p, r);
	else if (!is_publication(r))
		fake_answer_json(r, 404, "{}\n");
	else if ((name = after_prefix(r->path, "/control/config/")) != NULL)
		on_publish(p, r, CONFIG, name);
	else if ((name = after_prefix(r->path, "/control/hosts/")) != NULL)
		on_publish(p, r, HOSTS, name);
	else
		fake_answer_json(r, 404, "{}\n");
}

static const struct fake_handler handler = {on_request, on_disconnect};

static void
init_collection(struct platform *p, struct collection *c, uint64_t seed)
{
	c->history = fake_history_new(p);
	c->rewrites = fake_rewrites_new(p, REWRITE_PAUSE_US, seed);
}

static int
serve(uint16_t port, int lifetime_s)
{
	struct platform *p = talloc_zero(NULL, struct platform);

	fake_block_signals();
	for (int i = 0; i < COLLECTIONS; i++)
		init_collection(p, &p->collections[i], (uint64_t)i);
	p->server = fake_server_start(port, &handler, p);
	if (p->server == NULL) {
		fprintf(stderr, "platform: cannot listen on port %u\n", port);
		talloc_free(p);
		return 1;
	}
	p->timers = fake_timers_start();
	fake_timers_add(
	    p->timers, fake_now_us() + POLL_US, on_poll_timer, p, 0);
	fake_wait_for_signal(lifetime_s);
	fake_timers_stop(p->timers);
	fake_server_stop(p->server);
	talloc_free(p);
	return 0;
}

int
main(int argc, char **argv)
{
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "port on 127.0.0.1, 0 for any");
	struct arg_int *lifetime =
	    arg_int0(NULL, "lifetime", "S", "seconds until it ends itself");
	struct arg_end *end = arg_end(5);
	void *table[] = {port, lifetime, end};
	int rc = 2;

	port->ival[0] = 0;
	lifetime->ival[0] = FAKE_LIFETIME_S;
	if (arg_parse(argc, argv, table) == 0) {
		rc = serve((uint16_t)port->ival[0], lifetime->ival[0]);
	} else {
		arg_print_errors(stderr, end, "platform");
		arg_print_syntax(stderr, table, "\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
