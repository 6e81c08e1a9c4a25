/* Controls, health and load of a stand-in upstream. */
#include <json-c/json.h>
#include <string.h>

#include "fakes/lib/upstream.h"

static bool
get_number(struct json_object *obj, const char *key, int64_t *out)
{
	struct json_object *v;

	if (!json_object_object_get_ex(obj, key, &v))
		return false;
	*out = json_object_get_int64(v);
	return true;
}

static const char *
get_text(struct json_object *obj, const char *key)
{
	struct json_object *v;

	if (!json_object_object_get_ex(obj, key, &v))
		return "";
	return json_object_get_string(v);
}

static void
set_failure(struct fake_upstream *u, struct json_object *obj)
{
	const char *fail = get_text(obj, "fail");

	if (strcmp(fail, "reset") == 0)
		u->failure = FAKE_FAIL_RESET;
	else if (strcmp(fail, "truncate") == 0)
		u->failure = FAKE_FAIL_TRUNCATE;
	else if (strcmp(fail, "none") == 0)
		u->failure = FAKE_FAIL_NONE;
	else
		return;
	u->failures_left = -1;
	get_number(obj, "fail_count", &u->failures_left);
}

static void
set_overrides(struct fake_upstream *u, struct json_object *obj)
{
	const char *override = get_text(obj, "health_lie");

	if (strcmp(override, "up") == 0)
		u->health_override = FAKE_OVERRIDE_UP;
	else if (strcmp(override, "down") == 0)
		u->health_override = FAKE_OVERRIDE_DOWN;
	else if (strcmp(override, "none") == 0)
		u->health_override = FAKE_OVERRIDE_NONE;
	get_number(obj, "load_lie", &u->load_override);
}

/* Settings that are absent from the JSON object keep their value. */
static void
on_control(struct fake_upstream *u, struct fake_request *r)
{
	struct json_object *obj, *v;
	char *text;
	int64_t n;

	text = talloc_strndup(r, (char *)r->body, r->body_bytes);
	obj = json_tokener_parse(text != NULL ? text : "");
	if (!json_object_is_type(obj, json_type_object)) {
		json_object_put(obj);
		fake_answer_json(r, 400, "{\"error\":\"not an object\"}\n");
		return;
	}
	if (get_number(obj, "service_ms", &n))
		u->options.service_us = n * 1000;
	if (get_number(obj, "slots", &n) && n > 0)
		u->options.slots = (uint32_t)n;
	if (get_number(obj, "queue", &n) && n >= 0)
		u->options.queue = (uint32_t)n;
	if (get_number(obj, "answer_bytes", &n) && n >= 0)
		u->options.answer_bytes = (size_t)n;
	if (get_number(obj, "egress", &n) && n > 0)
		u->options.egress_port = (uint16_t)n;
	if (json_object_object_get_ex(obj, "drain", &v))
		u->draining = json_object_get_boolean(v);
	set_failure(u, obj);
	set_overrides(u, obj);
	json_object_put(obj);
	fake_answer_json(r, 200, "{}\n");
}

static void
put(struct json_object *obj, const char *key, uint64_t value)
{
	json_object_object_add(obj, key, json_object_new_int64((int64_t)value));
}

static void
answer_object(struct fake_request *r, unsigned status, struct json_object *obj)
{
	fake_answer_json(r, status,
	    json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
	json_object_put(obj);
}

static void
on_stats(struct fake_upstream *u, struct fake_request *r)
{
	struct json_object *obj = json_object_new_object();
	const struct fake_upstream_stats *s = &u->stats;

	put(obj, "received", s->received);
	put(obj, "runs", s->runs);
	put(obj, "answered", s->answered);
	put(obj, "shed", s->shed);
	put(obj, "cancelled", s->cancelled);
	put(obj, "failed", s->failed);
	put(obj, "calls_on", s->downstream_calls);
	put(obj, "calls_on_failed", s->downstream_calls_failed);
	put(obj, "mixed_answers", s->mismatched_answers);
	put(obj, "running", u->running);
	put(obj, "running_max", s->running_max);
	put(obj, "queued", u->queued);
	fake_record_report(u->record, obj);
	answer_object(r, 200, obj);
}

static void
on_seen(struct fake_upstream *u, struct fake_request *r)
{
	struct json_object *obj = json_object_new_object();
	const char *text = fake_query(r, "text");
	bool seen;

	seen = text != NULL && fake_record_contains(u->record, text);
	json_object_object_add(obj, "seen", json_object_new_boolean(seen));
	json_object_object_add(obj, "complete",
	    json_object_new_boolean(fake_record_is_complete(u->record)));
	answer_object(r, 200, obj);
}

static void
on_runs(struct fake_upstream *u, struct fake_request *r)
{
	struct json_object *obj = json_object_new_object();
	const char *id = fake_query(r, "id");

	put(obj, "runs", id != NULL ? fake_record_run_count(u->record, id) : 0);
	answer_object(r, 200, obj);
}

static void
on_health(const struct fake_upstream *u, struct fake_request *r)
{
	bool up = !u->draining;

	if (u->health_override != FAKE_OVERRIDE_NONE)
		up = u->health_override == FAKE_OVERRIDE_UP;
	fake_answer_json(r, up ? 200 : 503, up ? "\"up\"\n" : "\"down\"\n");
}

static void
on_load(const struct fake_upstream *u, struct fake_request *r)
{
	struct json_object *obj = json_object_new_object();

	put(obj, "running",
	    u->load_override >= 0 ? (uint64_t)u->load_override : u->running);
	put(obj, "slots", u->options.slots);
	answer_object(r, 200, obj);
}

bool
fake_upstream_control(struct fake_upstream *u, struct fake_request *r)
{
	if (strcmp(r->path, "/control") == 0)
		on_control(u, r);
	else if (strcmp(r->path, "/control/stats") == 0)
		on_stats(u, r);
	else if (strcmp(r->path, "/control/seen") == 0)
		on_seen(u, r);
	else if (strcmp(r->path, "/control/runs") == 0)
		on_runs(u, r);
	else if (strcmp(r->path, "/health") == 0)
		on_health(u, r);
	else if (strcmp(r->path, "/load") == 0)
		on_load(u, r);
	else
		return false;
	return true;
}
