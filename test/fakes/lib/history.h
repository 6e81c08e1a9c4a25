/*
 * Revision history of a collection of published sections. A reader may be shown
 * the newest revision or an older one.
 */
#ifndef FAKE_HISTORY_H
#define FAKE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "fakes/lib/rewrites.h"

#define FAKE_MAX_CHANGES 200000
#define FAKE_MAX_TEXT_BYTES (1024 * 1024)

struct fake_history;

struct fake_history *fake_history_new(TALLOC_CTX *mem);
/*
 * Publishes a section's text, or removes the section if the text is empty.
 * Returns the new revision; 0 after FAKE_MAX_CHANGES changes or for a text over
 * FAKE_MAX_TEXT_BYTES, without a change.
 */
uint64_t fake_history_publish(
    struct fake_history *h, int64_t now_us, const char *name, const char *text);
uint64_t fake_history_revision(const struct fake_history *h);
/* Returns the newest revision that existed at a time. */
uint64_t fake_history_revision_at(const struct fake_history *h, int64_t at_us);
/* How often the history went back, from 1. */
uint64_t fake_history_era(const struct fake_history *h);
/*
 * Goes back to the state at a time: later revisions are given out again, and
 * the era rises by one. What was published since is added to lost.
 */
void fake_history_restore(struct fake_history *h, int64_t now, int64_t at_us,
    struct fake_rewrites *lost);
/*
 * Returns the JSON answer to a read, under mem: the sections changed after a
 * revision, as of another one. If after is 0, all sections that exist.
 */
char *fake_history_read(const struct fake_history *h, TALLOC_CTX *mem,
    uint64_t after, uint64_t as_of);

#endif
