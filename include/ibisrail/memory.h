/*
 * Bytes that a process holds for work in progress, each use of them with a
 * bound of its own. Any thread may count and read.
 *
 * Counts are of what was asked of the allocator and of what it adds to each
 * chunk, not of pages: the bounds together leave 40% of the limit for views,
 * code, stacks, the system's socket buffers and what the allocator cannot use.
 */
#ifndef IBISRAIL_MEMORY_H
#define IBISRAIL_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Of a process whose settings tell no limit: what a host gives to a node. */
#define IR_MEMORY_DEFAULT_BYTES (256 * UINT64_C(1024) * 1024)

enum ir_memory_use {
	IR_MEMORY_CALLERS,  /* requests being read, answers not yet sent */
	IR_MEMORY_CALLS,    /* calls that have no answer yet */
	IR_MEMORY_RECORDS,  /* attempts at the gate, and their answers */
	IR_MEMORY_UPSTREAM, /* requests being sent, answers being read */
	IR_MEMORY_PEERS,    /* messages being read, and those not yet sent */
	IR_MEMORY_RINGS,    /* messages between threads, on their way */
	IR_MEMORY_USE_COUNT
};

struct ir_memory {
	uint64_t limit_bytes;
	bool enforced;		/* the process ends above limit_bytes */
	uint64_t process_bytes; /* as measured last, 0 before */
	bool is_short;		/* see ir_memory_is_short() */
	int64_t next_trim_us;	/* when free pages may be given back again */
	uint64_t bound_bytes[IR_MEMORY_USE_COUNT];
	uint64_t held_bytes[IR_MEMORY_USE_COUNT];
};

/* limit_bytes 0: none is told; the default divides, and nothing enforces it. */
void ir_memory_init(struct ir_memory *m, uint64_t limit_bytes);

void ir_memory_hold(struct ir_memory *m, enum ir_memory_use use, size_t bytes);
void ir_memory_release(
    struct ir_memory *m, enum ir_memory_use use, size_t bytes);

uint64_t ir_memory_held(const struct ir_memory *m, enum ir_memory_use use);
/* Whether so many bytes more stay within the bound. */
bool ir_memory_has_room(
    const struct ir_memory *m, enum ir_memory_use use, size_t bytes);

/*
 * Notes what the process was measured to hold. True when
 * ir_memory_is_short() changed. For one thread only.
 */
bool ir_memory_set_process_bytes(struct ir_memory *m, uint64_t process_bytes);
/*
 * Whether the process came close to the limit that is enforced on it, and has
 * not gone well below since. No new work is taken then, whatever the bounds
 * leave: what is in none of the counts fills the process too.
 */
bool ir_memory_is_short(const struct ir_memory *m);

/* Bytes of a talloc tree, with what each chunk takes beside its content. */
size_t ir_memory_tree_bytes(const void *tree);

#endif
