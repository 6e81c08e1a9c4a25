/* Charges the memory of callers' connections, and checks its bound. */
#include <talloc.h>

#include "io/callers/caller_conn.h"

/* Estimated memory of a new connection. */
#define CONN_ESTIMATE_BYTES 1024
/* Estimated memory of a request with usual headers, until it is answered. */
#define REQUEST_ESTIMATE_BYTES 2048
/* Under memory pressure, connections share a quarter of the bound. */
#define SHARED_DIVISOR 4

static size_t
size_of(const void *tree)
{
	return tree != NULL ? ir_memory_tree_bytes(tree) : 0;
}

static void
update_charged_bytes(struct caller_conn *c, size_t *charged_bytes, size_t bytes)
{
	struct ir_memory *m = c->listener->callers->memory;

	ir_memory_hold(m, IR_MEMORY_CALLERS, bytes);
	ir_memory_release(m, IR_MEMORY_CALLERS, *charged_bytes);
	c->total_bytes += bytes - *charged_bytes;
	*charged_bytes = bytes;
}

void
ir_caller_conn_update_memory(struct caller_conn *c)
{
	if (c->closed)
		return;
	update_charged_bytes(c, &c->buffers_bytes,
	    c->idle_bytes + size_of(c->input) + size_of(c->output));
	if (c->receiving != NULL)
		ir_request_update_memory(c->receiving);
}

void
ir_caller_conn_release_memory(struct caller_conn *c)
{
	ir_memory_release(
	    c->listener->callers->memory, IR_MEMORY_CALLERS, c->total_bytes);
	c->total_bytes = 0;
}

void
ir_request_update_memory(struct request *r)
{
	update_charged_bytes(
	    r->conn, &r->charged_bytes, size_of(r) + size_of(r->call));
}

void
ir_request_release_memory(struct request *r)
{
	update_charged_bytes(r->conn, &r->charged_bytes, 0);
}

bool
ir_callers_have_memory(const struct ir_callers *c, size_t bytes)
{
	return ir_memory_has_room(c->memory, IR_MEMORY_CALLERS, bytes);
}

bool
ir_callers_can_accept(const struct ir_callers *c)
{
	return ir_callers_have_memory(c, CONN_ESTIMATE_BYTES);
}

bool
ir_callers_can_begin_request(const struct ir_callers *c)
{
	return ir_callers_have_memory(c, REQUEST_ESTIMATE_BYTES);
}

bool
ir_callers_can_submit_request(const struct ir_callers *c)
{
	size_t pending = HASH_COUNT(c->submitted);

	return pending == 0 ||
	       ir_callers_have_memory(
		   c, ir_answer_size_expected(&c->answer_size, pending + 1));
}

bool
ir_callers_under_memory_pressure(const struct ir_callers *c)
{
	return ir_memory_held(c->memory, IR_MEMORY_CALLERS) >
	       c->memory->bound_bytes[IR_MEMORY_CALLERS] / 2;
}

bool
ir_caller_conn_over_share(const struct caller_conn *c)
{
	const struct ir_callers *callers = c->listener->callers;
	uint64_t shared_bytes =
	    callers->memory->bound_bytes[IR_MEMORY_CALLERS] / SHARED_DIVISOR;

	return ir_callers_under_memory_pressure(callers) &&
	       c->total_bytes > shared_bytes / callers->conn_count;
}
