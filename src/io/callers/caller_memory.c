/* What callers' connections hold, and what they may hold. */
#include <talloc.h>

#include "io/callers/caller_conn.h"

/* Of a connection, and of a request with usual headers until its answer. */
#define CONN_ROOM_BYTES 1024
#define REQUEST_ROOM_BYTES 2048
/* Of the bound, what all connections' parts are together. */
#define PARTS_DIVISOR 4

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

bool
ir_callers_have_room(const struct ir_callers *c, size_t bytes)
{
	return ir_memory_has_room(c->memory, IR_MEMORY_CALLERS, bytes);
}

bool
ir_callers_have_room_to_accept(const struct ir_callers *c)
{
	return ir_callers_have_room(c, CONN_ROOM_BYTES);
}

bool
ir_callers_have_room_to_begin(const struct ir_callers *c)
{
	return ir_callers_have_room(c, REQUEST_ROOM_BYTES);
}

bool
ir_callers_have_room_to_wait(const struct ir_callers *c)
{
	size_t waiting = HASH_COUNT(c->waiting);

	return waiting == 0 || ir_callers_have_room(
				   c, ir_expect_bytes(&c->expect, waiting + 1));
}

bool
ir_callers_are_crowded(const struct ir_callers *c)
{
	return ir_memory_held(c->memory, IR_MEMORY_CALLERS) >
	       c->memory->bound_bytes[IR_MEMORY_CALLERS] / 2;
}

bool
ir_caller_conn_has_its_part(const struct caller_conn *c)
{
	const struct ir_callers *callers = c->listener->callers;
	uint64_t parts_bytes =
	    callers->memory->bound_bytes[IR_MEMORY_CALLERS] / PARTS_DIVISOR;

	return ir_callers_are_crowded(callers) &&
	       c->held_bytes > parts_bytes / callers->conn_count;
}
