/* Counts the bytes that a run holds. */
#include "io/upstream/upstream_memory.h"

bool
ir_upstream_memory_reserve(struct ir_upstream_memory *b, size_t bytes)
{
	if (!b->exempt &&
	    !ir_memory_has_room(b->memory, IR_MEMORY_UPSTREAM, bytes)) {
		b->reserve_failed = true;
		return false;
	}
	b->held_bytes += bytes;
	ir_memory_hold(b->memory, IR_MEMORY_UPSTREAM, bytes);
	return true;
}

void
ir_upstream_memory_release(struct ir_upstream_memory *b, size_t bytes)
{
	b->held_bytes -= bytes;
	ir_memory_release(b->memory, IR_MEMORY_UPSTREAM, bytes);
}
