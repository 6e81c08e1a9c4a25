/*
 * The store client's thread: reads and watches the deployment's configuration
 * store while the core asks it to poll.
 *
 * One watch reads the configuration, another one the host list. Each request
 * waits in the store for a change, for a time that the dialect sets, and is
 * repeated when it returns, so that every answer also confirms the data held.
 * A request without an answer times out. Failed requests are repeated with
 * exponential backoff.
 */
#ifndef IR_IO_STORE_CLIENT_H
#define IR_IO_STORE_CLIENT_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"
#include "io/message.h"

struct ir_store_client;

/* Returns NULL if out of memory or when libcurl cannot be initialized. */
struct ir_store_client *ir_store_client_new(TALLOC_CTX *mem,
    struct ir_channel *channel, const struct ir_settings *settings,
    const struct ir_store_dialect *dialect);

/* The thread's start routine: ctx is the struct ir_store_client. */
void *ir_store_client_run(void *ctx);

#endif
