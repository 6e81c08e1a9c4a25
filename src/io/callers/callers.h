/*
 * The callers' thread: HTTP servers for callers and for the local upstream's
 * own calls. Both are run by one loop in this thread, so that a request and
 * its answer each pass one ring and no lock. Sockets and their parser are
 * used directly: requests of one connection run side by side, which the
 * usual server library does not offer. See docs/design/platform.md.
 *
 * While a request waits its socket is watched, and a caller that goes away
 * is reported to the core at once.
 */
#ifndef IR_IO_CALLERS_H
#define IR_IO_CALLERS_H

#include "ibisrail/dialect.h"
#include "io/message.h"

/* Connections held at a time, when descriptors allow. */
#define IR_MAX_CALLER_CONNECTIONS 8192

struct ir_callers;

/*
 * Takes both listening sockets over; egress_fd -1: none. What connections hold
 * is counted in memory as IR_MEMORY_CALLERS. NULL when the loop cannot be made.
 */
struct ir_callers *ir_callers_new(TALLOC_CTX *mem, struct ir_channel *channel,
    const struct ir_dialect *dialect, struct ir_memory *memory,
    uint32_t max_connections, int callers_fd, int egress_fd);

/* The thread's start routine: ctx is the struct ir_callers. */
void *ir_callers_run(void *ctx);

#endif
