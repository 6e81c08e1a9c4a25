/*
 * The peers' thread: TCP connections to and from other nodes, and the records
 * on them. Accepted connections are given odd numbers here; the core numbers
 * its own with even ones. A connection's end is always told to the core.
 */
#ifndef IR_IO_PEERS_H
#define IR_IO_PEERS_H

#include "ibisrail/memory.h"
#include "io/message.h"

/* Connections held at a time, and bytes not yet sent on one. */
#define IR_MAX_PEER_CONNECTIONS 8192
#define IR_MAX_UNSENT_BYTES (16 * 1024 * 1024)

struct ir_peers;

/*
 * Takes the listening socket over; memory is counted as IR_MEMORY_PEERS. NULL
 * when the loop cannot be made.
 */
struct ir_peers *ir_peers_new(TALLOC_CTX *mem, struct ir_channel *channel,
    struct ir_memory *memory, uint32_t max_connections, int listen_fd);

/* The thread's start routine: ctx is the struct ir_peers. */
void *ir_peers_run(void *ctx);

#endif
