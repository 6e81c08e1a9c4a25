/* Items of a key-value store that can go back to an older copy. */
#include <string.h>
#include <utlist.h>

#include "fakes/lib/kv.h"

#define MAX_HISTORY 4000 /* changes */
#define MAX_UNDO 20000	 /* changes */

/* What a change replaced. */
struct fake_kv_undo {
	int64_t at_us;
	uint64_t revision_before; /* of the store */
	const char *key;
	char *value; /* NULL: there was no item */
	size_t value_bytes;
	uint64_t revision;
	uint64_t created;
	struct fake_kv_undo *prev;
	struct fake_kv_undo *next;
};

static int
free_kv(struct fake_kv *s)
{
	HASH_CLEAR(hh, s->items);
	return 0;
}

struct fake_kv *
fake_kv_new(TALLOC_CTX *mem, uint64_t seed)
{
	struct fake_kv *s = talloc_zero(mem, struct fake_kv);

	s->revision = 1;
	s->era = 1;
	s->rewrites = fake_rewrites_new(s, FAKE_REWRITE_PAUSE_US, seed);
	talloc_set_destructor(s, free_kv);
	return s;
}

struct fake_kv_item *
fake_kv_find(const struct fake_kv *s, const char *key)
{
	struct fake_kv_item *i;

	HASH_FIND_STR(s->items, key, i);
	return i;
}

static void
remove_change(struct fake_kv *s, struct fake_kv_change *c)
{
	DL_DELETE(s->history, c);
	s->history_count--;
	talloc_free(c);
}

static void
drop_oldest_change(struct fake_kv *s)
{
	s->compacted_revision = s->history->revision;
	remove_change(s, s->history);
}

static void
append_change(struct fake_kv *s, const char *key, const struct fake_kv_item *i)
{
	struct fake_kv_change *c = talloc_zero(s, struct fake_kv_change);

	c->key = talloc_strdup(c, key);
	c->revision = s->revision;
	if (i != NULL) {
		c->value = talloc_strndup(c, i->value, i->value_bytes);
		c->value_bytes = i->value_bytes;
		c->created = i->created;
	}
	DL_APPEND(s->history, c);
	if (++s->history_count > MAX_HISTORY)
		drop_oldest_change(s);
}

static void
remove_undo(struct fake_kv *s, struct fake_kv_undo *u)
{
	DL_DELETE(s->undo, u);
	s->undo_count--;
	talloc_free(u);
}

/* Keeps what a change is about to replace. */
static void
add_undo(struct fake_kv *s, int64_t now, const char *key)
{
	const struct fake_kv_item *i = fake_kv_find(s, key);
	struct fake_kv_undo *u = talloc_zero(s, struct fake_kv_undo);

	u->at_us = now;
	u->revision_before = s->revision;
	u->key = talloc_strdup(u, key);
	if (i != NULL) {
		u->value = talloc_strndup(u, i->value, i->value_bytes);
		u->value_bytes = i->value_bytes;
		u->revision = i->revision;
		u->created = i->created;
	}
	DL_PREPEND(s->undo, u);
	if (++s->undo_count > MAX_UNDO)
		remove_undo(s, s->undo->prev);
}

static struct fake_kv_item *
set_item(struct fake_kv *s, const char *key, const char *value, size_t size)
{
	struct fake_kv_item *i = fake_kv_find(s, key);
	char *old;

	if (i == NULL) {
		i = talloc_zero(s, struct fake_kv_item);
		i->key = talloc_strdup(i, key);
		HASH_ADD_KEYPTR(hh, s->items, i->key, strlen(i->key), i);
	}
	old = i->value;
	i->value = talloc_strndup(i, value, size);
	i->value_bytes = size;
	talloc_free(old);
	return i;
}

static void
remove_item(struct fake_kv *s, struct fake_kv_item *i)
{
	HASH_DEL(s->items, i);
	talloc_free(i);
}

void
fake_kv_put(struct fake_kv *s, int64_t now, const char *key, const char *value,
    size_t value_bytes)
{
	struct fake_kv_item *i;

	fake_rewrites_cancel(s->rewrites, key);
	add_undo(s, now, key);
	i = set_item(s, key, value, value_bytes);
	i->revision = ++s->revision;
	if (i->created == 0)
		i->created = i->revision;
	append_change(s, key, i);
}

void
fake_kv_delete(struct fake_kv *s, int64_t now, const char *key)
{
	struct fake_kv_item *i = fake_kv_find(s, key);

	fake_rewrites_cancel(s->rewrites, key);
	if (i == NULL)
		return;
	add_undo(s, now, key);
	s->revision++;
	append_change(s, key, NULL);
	remove_item(s, i);
}

bool
fake_kv_is_gone(const struct fake_kv *s, uint64_t after)
{
	return after < s->compacted_revision || after > s->revision;
}

void
fake_kv_compact(struct fake_kv *s)
{
	while (s->history != NULL)
		drop_oldest_change(s);
}

/* Undoes the newest change. */
static void
undo_change(struct fake_kv *s, int64_t now)
{
	struct fake_kv_undo *u = s->undo;
	struct fake_kv_item *i = fake_kv_find(s, u->key);

	fake_rewrites_add(s->rewrites, now, u->key, i != NULL ? i->value : NULL,
	    i != NULL ? i->value_bytes : 0);
	if (u->value != NULL) {
		i = set_item(s, u->key, u->value, u->value_bytes);
		i->revision = u->revision;
		i->created = u->created;
	} else if (i != NULL) {
		remove_item(s, i);
	}
	s->revision = u->revision_before;
	remove_undo(s, u);
}

void
fake_kv_restore(struct fake_kv *s, int64_t now, int64_t age_us)
{
	while (s->undo != NULL && s->undo->at_us > now - age_us)
		undo_change(s, now);
	while (s->history != NULL && s->history->prev->revision > s->revision)
		remove_change(s, s->history->prev);
	if (s->compacted_revision > s->revision)
		s->compacted_revision = s->revision;
	s->era++;
}

void
fake_kv_write_due(struct fake_kv *s, int64_t now)
{
	struct fake_rewrite *r;

	while ((r = fake_rewrites_take_due(s->rewrites, now)) != NULL) {
		if (r->value != NULL)
			fake_kv_put(s, now, r->key, r->value, r->value_bytes);
		else
			fake_kv_delete(s, now, r->key);
		talloc_free(r);
	}
}
