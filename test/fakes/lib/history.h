/*
 * One space of published sections with its revisions, and what a reader sees
 * of it: the newest state, or an older one.
 */
#ifndef FAKE_HISTORY_H
#define FAKE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#define FAKE_MAX_CHANGES 200000
#define FAKE_MAX_TEXT_BYTES (1024 * 1024)

struct fake_history;

struct fake_history *fake_history_new(TALLOC_CTX *mem);
/* Empty text removes. The new revision, 0 when a bound is exceeded. */
uint64_t fake_history_publish(
    struct fake_history *h, int64_t now_us, const char *name, const char *text);
uint64_t fake_history_revision(const struct fake_history *h);
/* The newest revision that existed at a time. */
uint64_t fake_history_revision_at(const struct fake_history *h, int64_t at_us);
/*
 * The answer to a read: the sections changed after a revision, as they were
 * at the revision seen. All that exist when after is 0.
 */
char *fake_history_read(const struct fake_history *h, TALLOC_CTX *mem,
    uint64_t after, uint64_t as_of);

#endif
