/* Counts the bytes that a run holds. */
#include "io/upstream/upstream_bytes.h"

bool
ir_upstream_bytes_hold(struct ir_upstream_bytes *b, size_t bytes)
{
	if (!b->over &&
	    !ir_memory_has_room(b->memory, IR_MEMORY_UPSTREAM, bytes)) {
		b->refused = true;
		return false;
	}
	b->held_bytes += bytes;
	ir_memory_hold(b->memory, IR_MEMORY_UPSTREAM, bytes);
	return true;
}

void
ir_upstream_bytes_release(struct ir_upstream_bytes *b, size_t bytes)
{
	b->held_bytes -= bytes;
	ir_memory_release(b->memory, IR_MEMORY_UPSTREAM, bytes);
}
