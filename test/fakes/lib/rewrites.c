/* Writes that a restored store lost. */
#include <string.h>
#include <utlist.h>

#include "core/random.h"
#include "fakes/lib/rewrites.h"

#define US_PER_MS 1000

struct fake_rewrites {
	struct fake_rewrite *list;
	int64_t max_pause_us;
	uint64_t random;
};

struct fake_rewrites *
fake_rewrites_new(TALLOC_CTX *mem, int64_t max_pause_us, uint64_t seed)
{
	struct fake_rewrites *w = talloc_zero(mem, struct fake_rewrites);

	w->max_pause_us = max_pause_us;
	w->random = seed;
	return w;
}

static struct fake_rewrite *
find(const struct fake_rewrites *w, const char *key)
{
	struct fake_rewrite *r;

	DL_FOREACH (w->list, r) {
		if (strcmp(r->key, key) == 0)
			return r;
	}
	return NULL;
}

void
fake_rewrites_add(struct fake_rewrites *w, int64_t now, const char *key,
    const char *value, size_t value_bytes)
{
	uint32_t max_ms = (uint32_t)(w->max_pause_us / US_PER_MS);
	struct fake_rewrite *r;

	if (find(w, key) != NULL)
		return;
	r = talloc_zero(w, struct fake_rewrite);
	r->key = talloc_strdup(r, key);
	if (value != NULL)
		r->value = talloc_strndup(r, value, value_bytes);
	r->value_bytes = value_bytes;
	r->due_us = now;
	r->due_us += ir_random_below(&w->random, max_ms + 1) * US_PER_MS;
	DL_APPEND(w->list, r);
}

void
fake_rewrites_cancel(struct fake_rewrites *w, const char *key)
{
	struct fake_rewrite *r = find(w, key);

	if (r == NULL)
		return;
	DL_DELETE(w->list, r);
	talloc_free(r);
}

bool
fake_rewrites_pending(const struct fake_rewrites *w, const char *key)
{
	return find(w, key) != NULL;
}

struct fake_rewrite *
fake_rewrites_take_due(struct fake_rewrites *w, int64_t now)
{
	struct fake_rewrite *r;

	DL_FOREACH (w->list, r) {
		if (r->due_us > now)
			continue;
		DL_DELETE(w->list, r);
		return r;
	}
	return NULL;
}
