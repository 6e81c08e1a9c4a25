/*
 * The peers' thread: TCP connections to and from other nodes, and the records
 * exchanged on them. This thread gives odd numbers to accepted connections;
 * the core gives even ones to those that it opens. The end of each connection,
 * also of one that was never established, is reported to the core.
 */
#ifndef IR_IO_PEERS_H
#define IR_IO_PEERS_H

#include "ibisrail/memory.h"
#include "io/message.h"

/* Open connections; the descriptor limit may allow fewer. */
#define IR_MAX_PEER_CONNECTIONS 8192
/* Queued on one connection. */
#define IR_MAX_UNSENT_BYTES (16 * 1024 * 1024)

struct ir_peers;

/*
 * Takes over the listening socket. Charges the memory of connections to
 * IR_MEMORY_PEERS. Returns NULL if out of memory or descriptors.
 */
struct ir_peers *ir_peers_new(TALLOC_CTX *mem, struct ir_channel *channel,
    struct ir_memory *memory, uint32_t max_connections, int listen_fd);

/* The thread's start routine: ctx is the struct ir_peers. */
void *ir_peers_run(void *ctx);

#endif
