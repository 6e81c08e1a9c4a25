/*
 * Requests during which upstreams of the service ended.
 *
 * A request is known by a digest of what makes two of them the same. Each end
 * of an upstream has an id, and counts for all the requests that ran at it. One
 * that ran at IR_SUSPECT_CRASHES ends is refused for IR_SUSPECT_REFUSED_US
 * after the last. An answer of an upstream to the request shows that it ends
 * none: the ends counted so far then no longer do.
 *
 * The tables of several hosts are merged: of each request the ends that either
 * knows, and which of them no longer count.
 */
#ifndef IR_UPSTREAM_SUSPECTS_H
#define IR_UPSTREAM_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/limits.h"
#include "link/peer.h"

#define IR_SUSPECT_CRASHES 2
#define IR_SUSPECT_REFUSED_US (600 * IR_US_PER_S)

struct ir_suspects;

/* NULL if out of memory. */
struct ir_suspects *ir_suspects_new(TALLOC_CTX *mem);
bool ir_suspects_is_empty(const struct ir_suspects *t);
size_t ir_suspects_count(const struct ir_suspects *t);

/* The digest of a request, of IR_DIGEST_BYTES. */
void ir_suspects_digest(const struct ir_forward *f, uint8_t *digest);

/* The request ran when an upstream ended. crash: id of that end. */
void ir_suspects_add(
    struct ir_suspects *t, int64_t now, const uint8_t *digest, uint64_t crash);
/* An upstream answered the request. */
void ir_suspects_clear(
    struct ir_suspects *t, int64_t now, const uint8_t *digest);
/* Whether the request is to be refused. */
bool ir_suspects_refuses(
    const struct ir_suspects *t, int64_t now, const uint8_t *digest);
/* Frees what has not changed for twice IR_SUSPECT_REFUSED_US. */
void ir_suspects_expire(struct ir_suspects *t, int64_t now);

/* Rises with each change of the table; 0 while it never had an entry. */
uint64_t ir_suspects_revision(const struct ir_suspects *t);
/*
 * Copies entries that changed after the revision *after, oldest change first,
 * and sets *after to the revision of the last one. Returns their number, at
 * most max.
 */
size_t ir_suspects_changes(const struct ir_suspects *t, int64_t now,
    uint64_t *after, struct ir_suspect *out, size_t max);
/* Merges an entry of another host. */
void ir_suspects_merge(
    struct ir_suspects *t, int64_t now, const struct ir_suspect *from);

#endif
