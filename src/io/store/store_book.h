/*
 * What the last reads of the host list brought, by key, where items are
 * rewritten without telling anything new (heartbeats) and several items may
 * tell of one host (an ended upstream's, and its successor's).
 *
 * Of several, the one that was created last counts. Only what changes a
 * section goes on. Removals that show after a failure of the store wait:
 * upstreams whose item lapsed meanwhile write it again within the grace time.
 * Later ones count at once.
 */
#ifndef IR_IO_STORE_BOOK_H
#define IR_IO_STORE_BOOK_H

#include "ibisrail/dialect.h"
#include "ibisrail/node.h"

/* Upstreams are back in the list so long after the store's return. */
#define IR_RETURN_GRACE_US (2 * IR_US_PER_S)

struct ir_store_book;

struct ir_store_book *ir_store_book_new(TALLOC_CTX *mem);

/* A read of the whole list begins; what it does not name is gone. */
void ir_store_book_begin_whole(struct ir_store_book *b);
/* True when the item cannot be read (no section) and could be before. */
bool ir_store_book_put(struct ir_store_book *b, const struct ir_store_item *in);
void ir_store_book_end_whole(struct ir_store_book *b);
/*
 * The store answers again after a failure: what the read that follows shows
 * as gone may have lapsed only.
 */
void ir_store_book_returned(struct ir_store_book *b);

/*
 * Moves the sections that changed since the last call, or with all every
 * section, to r, under mem. r->revision becomes that of the last change,
 * r->reached is the store's already.
 */
void ir_store_book_take(struct ir_store_book *b, int64_t now, TALLOC_CTX *mem,
    bool all, struct ir_store_read *r);

#endif
