/* What callers' connections hold. */
#include <talloc.h>

#include "io/callers/caller_conn.h"

static size_t
size_of(const void *tree)
{
	return tree != NULL ? ir_memory_of(tree) : 0;
}

static void
count(struct caller_conn *c, size_t *counted, size_t bytes)
{
	struct ir_memory *m = c->listener->callers->memory;

	ir_memory_hold(m, IR_MEMORY_CALLERS, bytes);
	ir_memory_release(m, IR_MEMORY_CALLERS, *counted);
	c->held_bytes += bytes - *counted;
	*counted = bytes;
}

void
ir_caller_conn_count(struct caller_conn *c)
{
	if (c->dead)
		return;
	count(
	    c, &c->own_bytes, c->base_bytes + size_of(c->in) + size_of(c->out));
	if (c->reading != NULL)
		ir_request_count(c->reading);
}

void
ir_caller_conn_uncount(struct caller_conn *c)
{
	ir_memory_release(
	    c->listener->callers->memory, IR_MEMORY_CALLERS, c->held_bytes);
	c->held_bytes = 0;
}

void
ir_request_count(struct request *r)
{
	count(r->conn, &r->held_bytes, size_of(r) + size_of(r->call));
}

void
ir_request_uncount(struct request *r)
{
	count(r->conn, &r->held_bytes, 0);
}
