/*
 * Counts the memory that a process holds for work in progress. Each use has its
 * own bound. Any thread may add, subtract and read.
 *
 * Counts are allocated bytes plus the allocator's overhead per chunk, not
 * pages. Together the bounds leave 40% of the limit for views, code, stacks,
 * fragmentation and the system's socket buffers, which have a bound of their
 * own.
 */
#ifndef IBISRAIL_MEMORY_H
#define IBISRAIL_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Assumed when the settings give no limit: memory of a host for one node. */
#define IR_MEMORY_DEFAULT_BYTES (256 * UINT64_C(1024) * 1024)

/* Connections, by what bounds their receive buffers. */
enum ir_socket_kind {
	IR_SOCKET_CALLER,
	IR_SOCKET_UPSTREAM,
	IR_SOCKET_PEER,
	IR_SOCKET_KIND_COUNT
};

enum ir_memory_use {
	IR_MEMORY_CALLERS,  /* requests being read, unsent answers */
	IR_MEMORY_CALLS,    /* calls without an answer */
	IR_MEMORY_RECORDS,  /* attempts at the gate, and their answers */
	IR_MEMORY_UPSTREAM, /* requests being sent, answers being read */
	IR_MEMORY_PEERS,    /* messages being read, unsent messages */
	IR_MEMORY_RINGS,    /* messages in rings between threads */
	IR_MEMORY_USE_COUNT
};

struct ir_memory {
	uint64_t limit_bytes;
	bool enforced;		/* the process is killed above limit_bytes */
	uint64_t process_bytes; /* last measurement; 0: none yet */
	bool is_short;		/* see ir_memory_is_short() */
	int64_t next_trim_us;	/* earliest time of the next malloc_trim() */
	uint64_t bound_bytes[IR_MEMORY_USE_COUNT];
	uint64_t held_bytes[IR_MEMORY_USE_COUNT];
	/* See ir_memory_grant_socket(). */
	uint64_t socket_bound_bytes[IR_SOCKET_KIND_COUNT];
	uint64_t socket_held_bytes[IR_SOCKET_KIND_COUNT];
};

/*
 * Divides limit_bytes among the uses. With limit_bytes 0 (unknown),
 * IR_MEMORY_DEFAULT_BYTES is divided and ir_memory_is_short() is always false.
 */
void ir_memory_init(struct ir_memory *m, uint64_t limit_bytes);

/* Adds to, or subtracts from, the bytes that are held for a use. */
void ir_memory_hold(struct ir_memory *m, enum ir_memory_use use, size_t bytes);
void ir_memory_release(
    struct ir_memory *m, enum ir_memory_use use, size_t bytes);

uint64_t ir_memory_held(const struct ir_memory *m, enum ir_memory_use use);
/* Whether the use may hold this many more bytes within its bound. */
bool ir_memory_has_room(
    const struct ir_memory *m, enum ir_memory_use use, size_t bytes);

/*
 * Grants a connection room for bytes that the system has received and the
 * process has not read, which count towards its limit. Returns
 * ir_memory_max_socket_bytes(), or less when many connections are open: all
 * grants of a kind together exceed its bound by at most the smallest grant,
 * 4 KB for callers and 8 KB for others, for each connection.
 */
size_t ir_memory_grant_socket(struct ir_memory *m, enum ir_socket_kind kind);
void ir_memory_return_socket(
    struct ir_memory *m, enum ir_socket_kind kind, size_t bytes);
/* The grants of all kinds. */
uint64_t ir_memory_sockets_held(const struct ir_memory *m);
size_t ir_memory_max_socket_bytes(enum ir_socket_kind kind);

/*
 * Stores the measured size of the process. Returns true when
 * ir_memory_is_short() changed. Must be called from one thread only.
 */
bool ir_memory_set_process_bytes(struct ir_memory *m, uint64_t process_bytes);
/*
 * Whether the process is close to its enforced limit. Grants to sockets count
 * where they exceed the room that is always left for them. Has hysteresis:
 * stays true until the size has fallen well below the limit. Meanwhile the node
 * accepts no new work, even within the bounds of the uses, since the process
 * also has memory that is not counted.
 */
bool ir_memory_is_short(const struct ir_memory *m);

/* Bytes of a talloc tree, with the allocator's overhead for each chunk. */
size_t ir_memory_tree_bytes(const void *tree);

#endif
