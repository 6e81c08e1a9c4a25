/* Charges the memory of one run at the upstream. */
#include "io/upstream/upstream_memory.h"

bool
ir_upstream_memory_reserve(struct ir_upstream_memory *m, size_t bytes)
{
	if (!m->exempt &&
	    !ir_memory_has_room(m->process_memory, IR_MEMORY_UPSTREAM, bytes)) {
		m->reserve_failed = true;
		return false;
	}
	m->reserved_bytes += bytes;
	ir_memory_hold(m->process_memory, IR_MEMORY_UPSTREAM, bytes);
	return true;
}

void
ir_upstream_memory_release(struct ir_upstream_memory *m, size_t bytes)
{
	m->reserved_bytes -= bytes;
	ir_memory_release(m->process_memory, IR_MEMORY_UPSTREAM, bytes);
}
