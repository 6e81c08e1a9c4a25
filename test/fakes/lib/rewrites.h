/*
 * Writes that a store lost when it was restored from an older copy. Their
 * writers repeat them, each after a random pause.
 */
#ifndef FAKE_REWRITES_H
#define FAKE_REWRITES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct fake_rewrite {
	char *key;
	char *value; /* NULL: the key is deleted again */
	size_t value_bytes;
	int64_t due_us;
	struct fake_rewrite *prev;
	struct fake_rewrite *next;
};

struct fake_rewrites;

/* max_pause_us: of all later fake_rewrites_add(); seed: of the pauses. */
struct fake_rewrites *fake_rewrites_new(
    TALLOC_CTX *mem, int64_t max_pause_us, uint64_t seed);
/* Adds a write unless one of the key is pending already. value may be NULL. */
void fake_rewrites_add(struct fake_rewrites *w, int64_t now, const char *key,
    const char *value, size_t value_bytes);
/* Forgets the write of a key that has been written since. */
void fake_rewrites_cancel(struct fake_rewrites *w, const char *key);
bool fake_rewrites_pending(const struct fake_rewrites *w, const char *key);
/* Removes and returns one that is due, for the caller to free; NULL: none. */
struct fake_rewrite *fake_rewrites_take_due(
    struct fake_rewrites *w, int64_t now);

#endif
