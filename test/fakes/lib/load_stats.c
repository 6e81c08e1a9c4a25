/* Statistics of a load run's requests. */
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "core/table.h"
#include "fakes/lib/load_stats.h"

#define INITIAL_CAPACITY 1024

static const char *const outcome_names[FAKE_OUTCOMES] = {
    "ok", "failed", "refused", "unknown", "no_answer", "mixed"};

struct latencies {
	int64_t *us;
	size_t count;
	size_t capacity;
	bool sorted;
};

/* Counts under one name: a key, a path, or a reason. */
struct group {
	const char *name;
	uint64_t sent;
	uint64_t outcomes[FAKE_OUTCOMES];
	struct latencies ok;
	UT_hash_handle hh;
};

struct interval {
	uint32_t outcomes[FAKE_OUTCOMES];
	int64_t latency_sum_us; /* of requests with outcome ok */
	int64_t latency_max_us;
};

struct fake_load_stats {
	struct group all;
	struct latencies refused;
	struct group *keys;
	struct group *paths;
	struct group *reasons[FAKE_OUTCOMES];
	struct interval intervals[FAKE_MAX_INTERVALS]; /* by end time */
};

static int
load_stats_destroy(struct fake_load_stats *t)
{
	HASH_CLEAR(hh, t->keys);
	HASH_CLEAR(hh, t->paths);
	for (int i = 0; i < FAKE_OUTCOMES; i++)
		HASH_CLEAR(hh, t->reasons[i]);
	return 0;
}

struct fake_load_stats *
fake_load_stats_new(TALLOC_CTX *mem)
{
	struct fake_load_stats *t = talloc_zero(mem, struct fake_load_stats);

	talloc_set_destructor(t, load_stats_destroy);
	return t;
}

static struct group *
add_group(struct fake_load_stats *t, struct group **table, const char *name)
{
	struct group *g = talloc_zero(t, struct group);

	g->name = talloc_strdup(g, name);
	HASH_ADD_KEYPTR(hh, *table, g->name, strlen(g->name), g);
	return g;
}

static struct group *
find_or_add_group(
    struct fake_load_stats *t, struct group **table, const char *name)
{
	struct group *g;

	HASH_FIND_STR(*table, name, g);
	return g != NULL ? g : add_group(t, table, name);
}

static void
add_latency(struct fake_load_stats *t, struct latencies *l, int64_t us)
{
	if (l->count == l->capacity) {
		l->capacity =
		    l->capacity > 0 ? 2 * l->capacity : INITIAL_CAPACITY;
		l->us = talloc_realloc(t, l->us, int64_t, l->capacity);
	}
	l->us[l->count++] = us;
	l->sorted = false;
}

void
fake_load_stats_sent(
    struct fake_load_stats *t, const char *key, const char *path)
{
	t->all.sent++;
	find_or_add_group(t, &t->keys, key)->sent++;
	find_or_add_group(t, &t->paths, path)->sent++;
}

static void
count_outcome(struct fake_load_stats *t, struct group *g,
    const struct fake_request_result *e)
{
	g->outcomes[e->outcome]++;
	if (e->outcome == FAKE_OUTCOME_OK)
		add_latency(t, &g->ok, e->latency_us);
}

static void
count_in_interval(
    struct fake_load_stats *t, const struct fake_request_result *e)
{
	int64_t i = e->ended_us / (FAKE_INTERVAL_MS * 1000);
	struct interval *b;

	if (i < 0 || i >= FAKE_MAX_INTERVALS)
		return;
	b = &t->intervals[i];
	b->outcomes[e->outcome]++;
	if (e->outcome != FAKE_OUTCOME_OK)
		return;
	b->latency_sum_us += e->latency_us;
	if (e->latency_us > b->latency_max_us)
		b->latency_max_us = e->latency_us;
}

void
fake_load_stats_result(
    struct fake_load_stats *t, const struct fake_request_result *e)
{
	count_outcome(t, &t->all, e);
	count_outcome(t, find_or_add_group(t, &t->keys, e->key), e);
	count_outcome(t, find_or_add_group(t, &t->paths, e->path), e);
	find_or_add_group(t, &t->reasons[e->outcome], e->reason)
	    ->outcomes[e->outcome]++;
	if (e->outcome == FAKE_OUTCOME_REFUSED)
		add_latency(t, &t->refused, e->latency_us);
	count_in_interval(t, e);
}

static int
compare_us(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t
percentile(struct latencies *l, double fraction)
{
	if (l->count == 0)
		return 0;
	if (!l->sorted)
		qsort(l->us, l->count, sizeof(l->us[0]), compare_us);
	l->sorted = true;
	return l->us[(size_t)((double)(l->count - 1) * fraction)];
}

static void
put_number(struct json_object *obj, const char *key, uint64_t value)
{
	json_object_object_add(obj, key, json_object_new_int64((int64_t)value));
}

static struct json_object *
latency_json(struct latencies *l)
{
	struct json_object *obj = json_object_new_object();

	put_number(obj, "p50", (uint64_t)percentile(l, 0.5));
	put_number(obj, "p99", (uint64_t)percentile(l, 0.99));
	put_number(obj, "max", (uint64_t)percentile(l, 1));
	return obj;
}

static void
put_group(struct json_object *obj, struct group *g)
{
	put_number(obj, "sent", g->sent);
	for (int i = 0; i < FAKE_OUTCOMES; i++)
		put_number(obj, outcome_names[i], g->outcomes[i]);
	json_object_object_add(obj, "latency_us", latency_json(&g->ok));
}

static struct json_object *
groups_json(struct group *table)
{
	struct json_object *obj = json_object_new_object();
	struct group *g;

	for (g = table; g != NULL; g = g->hh.next) {
		struct json_object *one = json_object_new_object();

		put_group(one, g);
		json_object_object_add(obj, g->name, one);
	}
	return obj;
}

static struct json_object *
reasons_json(struct fake_load_stats *t)
{
	struct json_object *obj = json_object_new_object();

	for (int i = 0; i < FAKE_OUTCOMES; i++) {
		struct json_object *one;
		struct group *g;

		if (t->reasons[i] == NULL || i == FAKE_OUTCOME_OK)
			continue;
		one = json_object_new_object();
		for (g = t->reasons[i]; g != NULL; g = g->hh.next)
			put_number(one, g->name, g->outcomes[i]);
		json_object_object_add(obj, outcome_names[i], one);
	}
	return obj;
}

static struct json_object *
interval_json(const struct interval *b, int i)
{
	struct json_object *obj = json_object_new_object();
	uint32_t ok = b->outcomes[FAKE_OUTCOME_OK];

	put_number(obj, "t_ms", (uint64_t)i * FAKE_INTERVAL_MS);
	for (int k = 0; k < FAKE_OUTCOMES; k++)
		put_number(obj, outcome_names[k], b->outcomes[k]);
	put_number(obj, "latency_mean_us",
	    ok > 0 ? (uint64_t)b->latency_sum_us / ok : 0);
	put_number(obj, "latency_max_us", (uint64_t)b->latency_max_us);
	return obj;
}

static struct json_object *
series_json(const struct fake_load_stats *t, int64_t duration_us)
{
	struct json_object *list = json_object_new_array();
	int64_t count = duration_us / (FAKE_INTERVAL_MS * 1000) + 1;

	for (int i = 0; i < count && i < FAKE_MAX_INTERVALS; i++)
		json_object_array_add(list, interval_json(&t->intervals[i], i));
	return list;
}

void
fake_load_stats_report(struct fake_load_stats *t, struct json_object *out,
    int64_t duration_us, bool series)
{
	double seconds = (double)duration_us / 1e6;
	double good = (double)t->all.outcomes[FAKE_OUTCOME_OK];

	put_group(out, &t->all);
	json_object_object_add(
	    out, "refusal_latency_us", latency_json(&t->refused));
	json_object_object_add(out, "goodput_per_s",
	    json_object_new_double(seconds > 0 ? good / seconds : 0));
	json_object_object_add(out, "reasons", reasons_json(t));
	json_object_object_add(out, "keys", groups_json(t->keys));
	json_object_object_add(out, "paths", groups_json(t->paths));
	if (series)
		json_object_object_add(
		    out, "series", series_json(t, duration_us));
}
