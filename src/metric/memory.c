/* Counts the memory held for work in progress. */
#include <talloc.h>

#include "ibisrail/memory.h"

#define PERCENT 100
/* Percentages of the limit above which memory becomes short and stays short. */
#define SHORT_PERCENT 80
#define RELIEVED_PERCENT 75
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

void
ir_memory_init(struct ir_memory *m, uint64_t limit_bytes)
{
	*m = (struct ir_memory){0};
	m->enforced = limit_bytes != 0;
	m->limit_bytes =
	    limit_bytes != 0 ? limit_bytes : IR_MEMORY_DEFAULT_BYTES;
	for (int u = 0; u < IR_MEMORY_USE_COUNT; u++)
		m->bound_bytes[u] = m->limit_bytes * share_percent[u] / PERCENT;
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

bool
ir_memory_set_process_bytes(struct ir_memory *m, uint64_t process_bytes)
{
	bool was_short = ir_memory_is_short(m);
	uint64_t percent = was_short ? RELIEVED_PERCENT : SHORT_PERCENT;
	bool now_short =
	    m->enforced && process_bytes > m->limit_bytes * percent / PERCENT;

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
