/* Counts the memory held for work in progress. */
#include <talloc.h>

#include "ibisrail/memory.h"

#define PERCENT 100
/* Percentages of the limit above which memory becomes short and stays short. */
#define SHORT_PERCENT 80
#define RELIEVED_PERCENT 75
/* Room left above SHORT_PERCENT, for what the system holds for sockets. */
#define SOCKETS_ROOM_PERCENT (PERCENT - SHORT_PERCENT)
/* A grant is at most this fraction of what is left of the share. */
#define SOCKET_GRANT_DIVISOR 16
#define KB 1024
/* Overhead of a chunk: talloc's header, malloc's header and its rounding. */
#define CHUNK_OVERHEAD_BYTES 112

static const uint8_t share_percent[IR_MEMORY_USE_COUNT] = {
    [IR_MEMORY_CALLERS] = 15,
    [IR_MEMORY_CALLS] = 8,
    [IR_MEMORY_RECORDS] = 15,
    [IR_MEMORY_UPSTREAM] = 5,
    [IR_MEMORY_PEERS] = 9,
    [IR_MEMORY_RINGS] = 8,
};

/* The shares are part of the 40% that the uses leave. */
static const struct {
	uint8_t share_percent;
	size_t min_bytes;
	size_t max_bytes;
} sockets[IR_SOCKET_KIND_COUNT] = {
    [IR_SOCKET_CALLER] = {4, 4 * KB, 16 * KB},
    [IR_SOCKET_UPSTREAM] = {2, 8 * KB, 64 * KB},
    [IR_SOCKET_PEER] = {6, 8 * KB, 64 * KB},
};

void
ir_memory_init(struct ir_memory *m, uint64_t limit_bytes)
{
	*m = (struct ir_memory){0};
	m->enforced = limit_bytes != 0;
	m->limit_bytes =
	    limit_bytes != 0 ? limit_bytes : IR_MEMORY_DEFAULT_BYTES;
	for (int u = 0; u < IR_MEMORY_USE_COUNT; u++)
		m->bound_bytes[u] = m->limit_bytes * share_percent[u] / PERCENT;
	for (int k = 0; k < IR_SOCKET_KIND_COUNT; k++)
		m->socket_bound_bytes[k] =
		    m->limit_bytes * sockets[k].share_percent / PERCENT;
}

void
ir_memory_hold(struct ir_memory *m, enum ir_memory_use use, size_t bytes)
{
	__atomic_add_fetch(&m->held_bytes[use], bytes, __ATOMIC_RELAXED);
}

void
ir_memory_release(struct ir_memory *m, enum ir_memory_use use, size_t bytes)
{
	__atomic_sub_fetch(&m->held_bytes[use], bytes, __ATOMIC_RELAXED);
}

uint64_t
ir_memory_held(const struct ir_memory *m, enum ir_memory_use use)
{
	return __atomic_load_n(&m->held_bytes[use], __ATOMIC_RELAXED);
}

bool
ir_memory_has_room(
    const struct ir_memory *m, enum ir_memory_use use, size_t bytes)
{
	return ir_memory_held(m, use) + bytes <= m->bound_bytes[use];
}

size_t
ir_memory_max_socket_bytes(enum ir_socket_kind kind)
{
	return sockets[kind].max_bytes;
}

size_t
ir_memory_grant_socket(struct ir_memory *m, enum ir_socket_kind kind)
{
	uint64_t *held_bytes = &m->socket_held_bytes[kind];
	uint64_t held = __atomic_load_n(held_bytes, __ATOMIC_RELAXED);
	uint64_t bound = m->socket_bound_bytes[kind];
	size_t bytes = held < bound ? (bound - held) / SOCKET_GRANT_DIVISOR : 0;

	if (bytes > sockets[kind].max_bytes)
		bytes = sockets[kind].max_bytes;
	if (bytes < sockets[kind].min_bytes)
		bytes = sockets[kind].min_bytes;
	__atomic_add_fetch(held_bytes, bytes, __ATOMIC_RELAXED);
	return bytes;
}

void
ir_memory_return_socket(
    struct ir_memory *m, enum ir_socket_kind kind, size_t bytes)
{
	__atomic_sub_fetch(
	    &m->socket_held_bytes[kind], bytes, __ATOMIC_RELAXED);
}

uint64_t
ir_memory_sockets_held(const struct ir_memory *m)
{
	uint64_t sum = 0;

	for (int k = 0; k < IR_SOCKET_KIND_COUNT; k++)
		sum +=
		    __atomic_load_n(&m->socket_held_bytes[k], __ATOMIC_RELAXED);
	return sum;
}

/* What the grants exceed the room left for them by. */
static uint64_t
sockets_excess(const struct ir_memory *m)
{
	uint64_t room = m->limit_bytes * SOCKETS_ROOM_PERCENT / PERCENT;
	uint64_t held = ir_memory_sockets_held(m);

	return held > room ? held - room : 0;
}

bool
ir_memory_set_process_bytes(struct ir_memory *m, uint64_t process_bytes)
{
	bool was_short = ir_memory_is_short(m);
	uint64_t percent = was_short ? RELIEVED_PERCENT : SHORT_PERCENT;
	bool now_short = m->enforced && process_bytes + sockets_excess(m) >
					    m->limit_bytes * percent / PERCENT;

	__atomic_store_n(&m->process_bytes, process_bytes, __ATOMIC_RELAXED);
	__atomic_store_n(&m->is_short, now_short, __ATOMIC_RELAXED);
	return now_short != was_short;
}

bool
ir_memory_is_short(const struct ir_memory *m)
{
	return __atomic_load_n(&m->is_short, __ATOMIC_RELAXED);
}

size_t
ir_memory_tree_bytes(const void *tree)
{
	return talloc_total_size(tree) +
	       talloc_total_blocks(tree) * CHUNK_OVERHEAD_BYTES;
}
