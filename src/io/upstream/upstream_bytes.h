/*
 * Bytes that one run holds: its request until it is sent, and its answer while
 * it is collected. Counted as IR_MEMORY_UPSTREAM.
 */
#ifndef IR_IO_UPSTREAM_BYTES_H
#define IR_IO_UPSTREAM_BYTES_H

#include "ibisrail/memory.h"

struct ir_upstream_bytes {
	struct ir_memory *memory;
	size_t held_bytes;
	bool refused; /* there was no room for some */
	bool over;    /* it may hold more than there is room for */
};

/* False, and noted, when there is no room for them. */
bool ir_upstream_bytes_hold(struct ir_upstream_bytes *b, size_t bytes);
void ir_upstream_bytes_release(struct ir_upstream_bytes *b, size_t bytes);

#endif
