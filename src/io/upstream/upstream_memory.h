/*
 * Bytes that one run holds: its request until it is sent, and its answer while
 * it is collected. Counted as IR_MEMORY_UPSTREAM.
 */
#ifndef IR_IO_UPSTREAM_MEMORY_H
#define IR_IO_UPSTREAM_MEMORY_H

#include "ibisrail/memory.h"

struct ir_upstream_memory {
	struct ir_memory *memory;
	size_t held_bytes;
	bool reserve_failed; /* there was no room for some */
	bool exempt;	     /* it may hold more than there is room for */
};

/* False, and noted, when there is no room for them. */
bool ir_upstream_memory_reserve(struct ir_upstream_memory *b, size_t bytes);
void ir_upstream_memory_release(struct ir_upstream_memory *b, size_t bytes);

#endif
