/*
 * The upstream thread: sends requests to the local upstream and reads its
 * answers.
 *
 * Uses sockets and http_parser, as the callers' thread does, instead of an HTTP
 * client library: an answer has to be matched to its request by the id that it
 * carries, and a client library would accept an unsolicited answer as the
 * answer to the next request before the id could be checked.
 */
#ifndef IR_IO_UPSTREAM_H
#define IR_IO_UPSTREAM_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"
#include "ibisrail/memory.h"
#include "io/message.h"

struct ir_upstream;

/*
 * Opens at most `connections` connections to the address `upstream`. Requests
 * being sent and answers being read are counted in memory as
 * IR_MEMORY_UPSTREAM. channel, memory and dialect must outlive the result.
 * Returns NULL if memory or the event loop cannot be allocated.
 */
struct ir_upstream *ir_upstream_new(TALLOC_CTX *mem, struct ir_channel *channel,
    struct ir_memory *memory, const struct ir_dialect *dialect,
    const struct ir_endpoint *upstream, uint32_t connections);

/*
 * The thread's start routine; ctx is the struct ir_upstream. Returns NULL once
 * the core has sent IR_FROM_CORE_STOP.
 */
void *ir_upstream_run(void *ctx);

#endif
