/* Keys of the store: copies and order. */
#ifndef IR_IO_STORE_KEY_H
#define IR_IO_STORE_KEY_H

#include "ibisrail/dialect.h"

static inline bool
ir_store_key_is_none(const struct ir_store_key *k)
{
	return k->bytes == NULL;
}

/* Whether a stands after b in the order of the store, that of the bytes. */
bool ir_store_key_is_after(
    const struct ir_store_key *a, const struct ir_store_key *b);
/* A copy whose bytes are under mem. If out of memory, aborts the process. */
struct ir_store_key ir_store_key_copy(
    TALLOC_CTX *mem, const struct ir_store_key *k);

#endif
