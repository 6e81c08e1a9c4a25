/*
 * The admin thread: an HTTP server for operators. GET /state, /counters (also
 * /metrics), /ready and /version, on one listener or two. State and counters
 * are asked of the core's thread.
 */
#ifndef IR_IO_ADMIN_H
#define IR_IO_ADMIN_H

#include "io/message.h"

/* Connections held at a time. */
#define IR_MAX_ADMIN_CONNECTIONS 32

struct ir_admin;

/*
 * Takes the listening sockets over and starts; metrics_fd -1: none. NULL when
 * it cannot. host names the process in its counters; it and ready_path must
 * outlive the thread.
 */
struct ir_admin *ir_admin_start(TALLOC_CTX *mem, struct ir_channel *channel,
    const char *host, const char *ready_path, int listen_fd, int metrics_fd);
/* Ends the thread. */
void ir_admin_stop(struct ir_admin *a);

/*
 * Asks the core for a report and waits for it. NULL when none came in time.
 * The caller frees it. Of one thread only, that of the channel.
 */
struct ir_from_core *ir_ask_core(
    struct ir_channel *channel, enum ir_report_kind kind);

#endif
