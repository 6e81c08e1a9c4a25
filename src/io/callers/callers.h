/*
 * The callers' thread: HTTP servers for callers and for the outgoing calls of
 * the local upstream (egress). One event loop in this thread serves both, so
 * that a request and its answer each pass through one ring and no lock. It
 * uses sockets and http_parser directly, because libmicrohttpd does not
 * process the requests of one connection concurrently. See
 * docs/design/platform.md.
 *
 * The socket of a pending request is watched, and a caller that closes its
 * connection is reported to the core at once.
 */
#ifndef IR_IO_CALLERS_H
#define IR_IO_CALLERS_H

#include "ibisrail/dialect.h"
#include "io/message.h"

/* Maximum number of open connections, if the descriptor limit allows. */
#define IR_MAX_CALLER_CONNECTIONS 8192

struct ir_callers;

/*
 * Takes ownership of both listening sockets; egress_fd -1: none. Charges the
 * memory of the connections to IR_MEMORY_CALLERS in memory. NULL if the event
 * loop cannot be created.
 */
struct ir_callers *ir_callers_new(TALLOC_CTX *mem, struct ir_channel *channel,
    const struct ir_dialect *dialect, struct ir_memory *memory,
    uint32_t max_connections, int callers_fd, int egress_fd);

/* Start routine of the thread; ctx is the struct ir_callers. */
void *ir_callers_run(void *ctx);

#endif
