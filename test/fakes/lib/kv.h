/*
 * Items of a key-value store with one revision counter, and its history.
 *
 * The store can be restored from an older copy: items and revisions go back,
 * revisions are given out again, and the era rises by one. What was written
 * since the copy is written again by fake_kv_write_due().
 */
#ifndef FAKE_KV_H
#define FAKE_KV_H

#include <json-c/json.h>

#include "core/table.h"
#include "fakes/lib/rewrites.h"

/* Longest pause of a writer before it repeats a lost write. */
#define FAKE_REWRITE_PAUSE_US INT64_C(2000000)

struct fake_kv_item {
	const char *key;
	char *value;
	size_t value_bytes;
	uint64_t revision;
	uint64_t created;
	UT_hash_handle hh;
};

/* A change, as watches report it. */
struct fake_kv_change {
	const char *key;
	uint64_t revision;
	char *value; /* NULL: deleted */
	size_t value_bytes;
	uint64_t created;
	struct fake_kv_change *prev;
	struct fake_kv_change *next;
};

struct fake_kv {
	struct fake_kv_item *items;
	struct fake_kv_change *history; /* oldest first */
	uint32_t history_count;
	uint64_t revision;
	uint64_t compacted_revision; /* of the last change dropped */
	uint64_t era;
	struct fake_rewrites *rewrites;
	struct fake_kv_undo *undo; /* newest first */
	uint32_t undo_count;
};

struct fake_kv *fake_kv_new(TALLOC_CTX *mem, uint64_t seed);
struct fake_kv_item *fake_kv_find(const struct fake_kv *s, const char *key);
void fake_kv_put(struct fake_kv *s, int64_t now, const char *key,
    const char *value, size_t value_bytes);
void fake_kv_delete(struct fake_kv *s, int64_t now, const char *key);
/* Whether a watch after this revision cannot be answered (410). */
bool fake_kv_is_gone(const struct fake_kv *s, uint64_t after);
/* Drops all history. */
void fake_kv_compact(struct fake_kv *s);
/* Goes back to the state of age_us ago. */
void fake_kv_restore(struct fake_kv *s, int64_t now, int64_t age_us);
/* Writes again what a restore lost and is due. */
void fake_kv_write_due(struct fake_kv *s, int64_t now);

#endif
