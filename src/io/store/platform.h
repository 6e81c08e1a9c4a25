/*
 * The platform's thread: reads and watches the store while the core wants it.
 *
 * There is one watch for the configuration and one for the host list. Each
 * returns within IR_VIEW_POLL_US, so that each confirms what is held that
 * often; one that hangs is given up, and failures are repeated after a
 * growing wait.
 */
#ifndef IR_IO_PLATFORM_H
#define IR_IO_PLATFORM_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"
#include "io/message.h"

struct ir_platform;

/* NULL when libcurl cannot be set up. */
struct ir_platform *ir_platform_new(TALLOC_CTX *mem, struct ir_channel *channel,
    const struct ir_settings *settings, const struct ir_store_dialect *dialect);

/* The thread's start routine: ctx is the struct ir_platform. */
void *ir_platform_run(void *ctx);

#endif
