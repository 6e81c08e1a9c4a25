/*
 * Charges the memory of one run at the upstream to IR_MEMORY_UPSTREAM: its
 * request until it is sent, and its answer while it is read.
 */
#ifndef IR_IO_UPSTREAM_MEMORY_H
#define IR_IO_UPSTREAM_MEMORY_H

#include "ibisrail/memory.h"

struct ir_upstream_memory {
	struct ir_memory *process_memory; /* of the process */
	size_t reserved_bytes;
	bool reserve_failed; /* a reservation exceeded the bound */
	bool exempt;	     /* may exceed the bound */
};

/*
 * Counts the bytes as reserved. If that would exceed the bound, sets
 * reserve_failed and returns false, unless the run is exempt.
 */
bool ir_upstream_memory_reserve(struct ir_upstream_memory *m, size_t bytes);
void ir_upstream_memory_release(struct ir_upstream_memory *m, size_t bytes);

#endif
