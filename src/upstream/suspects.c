/* Requests during which upstreams of the service ended. */
#include "upstream/suspects.h"

#include <sodium.h>
#include <string.h>
#include <utlist.h>

#include "core/table.h"

/* Without a free entry the one that changed least recently gives way. */
#define MAX_SUSPECTS 1024
#define KEEP_US (2 * IR_SUSPECT_REFUSED_US)

struct entry {
	uint8_t digest[IR_DIGEST_BYTES];
	struct ir_crash crashes[IR_MAX_CRASHES]; /* by id */
	uint32_t crash_count;
	int64_t crashed_us; /* last time */
	uint64_t revision;
	struct entry *prev; /* least recently changed first */
	struct entry *next;
	UT_hash_handle hh;
};

struct ir_suspects {
	struct entry *entries;
	struct entry *by_change;
	uint64_t revision;
};

static int
clear_entries(struct ir_suspects *t)
{
	HASH_CLEAR(hh, t->entries);
	return 0;
}

struct ir_suspects *
ir_suspects_new(TALLOC_CTX *mem)
{
	struct ir_suspects *t = talloc_zero(mem, struct ir_suspects);

	if (t != NULL)
		talloc_set_destructor(t, clear_entries);
	return t;
}

bool
ir_suspects_is_empty(const struct ir_suspects *t)
{
	return t->entries == NULL;
}

size_t
ir_suspects_count(const struct ir_suspects *t)
{
	return HASH_COUNT(t->entries);
}

uint64_t
ir_suspects_revision(const struct ir_suspects *t)
{
	return t->revision;
}

static void
hash_text(crypto_generichash_state *h, const char *text)
{
	/* With the NUL, so that two texts are not taken for one. */
	crypto_generichash_update(
	    h, (const unsigned char *)text, strlen(text) + 1);
}

void
ir_suspects_digest(const struct ir_forward *f, uint8_t *digest)
{
	crypto_generichash_state h;

	crypto_generichash_init(&h, NULL, 0, IR_DIGEST_BYTES);
	hash_text(&h, f->authority != NULL ? f->authority : "");
	hash_text(&h, f->method);
	hash_text(&h, f->path);
	hash_text(&h, f->account);
	/* The caller of a call without an account is the service. */
	hash_text(&h, f->depth != 0 && f->origin != NULL ? f->origin : "");
	crypto_generichash_update(
	    &h, (const unsigned char *)f->body.body_val, f->body.body_len);
	crypto_generichash_final(&h, digest, IR_DIGEST_BYTES);
}

/* The linter counts uthash's macros towards the size of a function. */
/* NOLINTBEGIN(readability-function-size) */
static struct entry *
find(const struct ir_suspects *t, const uint8_t *digest)
{
	struct entry *e;

	HASH_FIND(hh, t->entries, digest, IR_DIGEST_BYTES, e);
	return e;
}

static void
free_entry(struct ir_suspects *t, struct entry *e)
{
	HASH_DEL(t->entries, e);
	DL_DELETE(t->by_change, e);
	talloc_free(e);
}

static struct entry *
add_entry(struct ir_suspects *t, const uint8_t *digest)
{
	struct entry *e = talloc_zero(t, struct entry);

	if (e == NULL)
		return NULL;
	if (ir_suspects_count(t) >= MAX_SUSPECTS)
		free_entry(t, t->by_change);
	memcpy(e->digest, digest, IR_DIGEST_BYTES);
	HASH_ADD(hh, t->entries, digest, IR_DIGEST_BYTES, e);
	DL_APPEND(t->by_change, e);
	return e;
}
/* NOLINTEND(readability-function-size) */

static void
mark_changed(struct ir_suspects *t, struct entry *e)
{
	e->revision = ++t->revision;
	DL_DELETE(t->by_change, e);
	DL_APPEND(t->by_change, e);
}

static struct ir_crash *
find_crash(struct entry *e, uint64_t id)
{
	for (uint32_t i = 0; i < e->crash_count; i++) {
		if (e->crashes[i].id == id)
			return &e->crashes[i];
	}
	return NULL;
}

static uint32_t
count_held(const struct entry *e)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < e->crash_count; i++)
		count += !e->crashes[i].cleared;
	return count;
}

static void
insert_crash(struct entry *e, uint32_t i, uint64_t id, bool cleared)
{
	memmove(&e->crashes[i + 1], &e->crashes[i],
	    (e->crash_count - i) * sizeof(e->crashes[0]));
	e->crashes[i] = (struct ir_crash){.id = id, .cleared = cleared};
	e->crash_count++;
}

static void
remove_first_crash(struct entry *e)
{
	e->crash_count--;
	memmove(&e->crashes[0], &e->crashes[1],
	    e->crash_count * sizeof(e->crashes[0]));
}

/*
 * Returns whether the crash is new or newly cleared. The highest ids are kept,
 * whatever the order in which they come, so that hosts that exchange entries
 * come to the same ones.
 */
static bool
add_crash(struct entry *e, uint64_t id, bool cleared)
{
	struct ir_crash *c = find_crash(e, id);
	bool changed = c != NULL && cleared && !c->cleared;
	uint32_t i = 0;

	if (c != NULL) {
		c->cleared = c->cleared || cleared;
		return changed;
	}
	if (e->crash_count == IR_MAX_CRASHES) {
		if (id < e->crashes[0].id)
			return false;
		remove_first_crash(e);
	}
	while (i < e->crash_count && e->crashes[i].id < id)
		i++;
	insert_crash(e, i, id, cleared);
	return true;
}

void
ir_suspects_add(
    struct ir_suspects *t, int64_t now, const uint8_t *digest, uint64_t crash)
{
	struct entry *e = find(t, digest);

	if (e == NULL)
		e = add_entry(t, digest);
	if (e == NULL || !add_crash(e, crash, false))
		return;
	e->crashed_us = now;
	mark_changed(t, e);
}

void
ir_suspects_clear(struct ir_suspects *t, int64_t now, const uint8_t *digest)
{
	struct entry *e = find(t, digest);

	if (e == NULL || count_held(e) == 0)
		return;
	for (uint32_t i = 0; i < e->crash_count; i++)
		e->crashes[i].cleared = true;
	mark_changed(t, e);
}

bool
ir_suspects_refuses(
    const struct ir_suspects *t, int64_t now, const uint8_t *digest)
{
	const struct entry *e = find(t, digest);

	return e != NULL && count_held(e) >= IR_SUSPECT_CRASHES &&
	       now - e->crashed_us < IR_SUSPECT_REFUSED_US;
}

void
ir_suspects_expire(struct ir_suspects *t, int64_t now)
{
	struct entry *e, *tmp;

	HASH_ITER (hh, t->entries, e, tmp) {
		if (now - e->crashed_us >= KEEP_US)
			free_entry(t, e);
	}
}

size_t
ir_suspects_changes(const struct ir_suspects *t, int64_t now, uint64_t *after,
    struct ir_suspect *out, size_t max)
{
	struct entry *e;
	size_t count = 0;

	DL_FOREACH (t->by_change, e) {
		struct ir_suspect *s = &out[count];

		if (e->revision <= *after)
			continue;
		if (count == max)
			return count;
		memcpy(s->digest, e->digest, IR_DIGEST_BYTES);
		s->age_us = (uint64_t)(now - e->crashed_us);
		s->crashes.crashes_len = e->crash_count;
		s->crashes.crashes_val = e->crashes;
		*after = e->revision;
		count++;
	}
	*after = t->revision;
	return count;
}

void
ir_suspects_merge(
    struct ir_suspects *t, int64_t now, const struct ir_suspect *from)
{
	const uint8_t *digest = (const uint8_t *)from->digest;
	struct entry *e = find(t, digest);
	int64_t crashed_us;
	bool changed = false;

	if (from->age_us >= KEEP_US)
		return;
	crashed_us = now - (int64_t)from->age_us;
	if (e == NULL)
		e = add_entry(t, digest);
	if (e == NULL)
		return;
	for (uint32_t i = 0; i < from->crashes.crashes_len; i++) {
		const struct ir_crash *c = &from->crashes.crashes_val[i];

		changed = add_crash(e, c->id, c->cleared) || changed;
	}
	if (e->crashed_us < crashed_us)
		e->crashed_us = crashed_us;
	if (changed)
		mark_changed(t, e);
}
