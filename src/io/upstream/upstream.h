/*
 * The upstream's thread: runs requests at the local upstream, over sockets
 * and the parser that the callers' thread uses (upstream_conn.h): answers are
 * told apart by the id of their request, which the usual client library does
 * not see until the next one has taken them.
 */
#ifndef IR_IO_UPSTREAM_H
#define IR_IO_UPSTREAM_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"
#include "ibisrail/memory.h"
#include "io/message.h"

struct ir_upstream;

/*
 * memory is counted as IR_MEMORY_UPSTREAM. NULL when the loop cannot be made.
 */
struct ir_upstream *ir_upstream_new(TALLOC_CTX *mem, struct ir_channel *channel,
    struct ir_memory *memory, const struct ir_dialect *dialect,
    const struct ir_endpoint *upstream, uint32_t connections);

/* The thread's start routine: ctx is the struct ir_upstream. */
void *ir_upstream_run(void *ctx);

#endif
