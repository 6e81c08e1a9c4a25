/*
 * The admin thread: an HTTP server for operators and metric collectors. Serves
 * GET of /state, /counters (also as /metrics), the readiness path and
 * /version. State, counters and readiness are requested from the core's
 * thread.
 */
#ifndef IR_IO_ADMIN_H
#define IR_IO_ADMIN_H

#include "io/message.h"

/* Connections at a time, per listener. */
#define IR_MAX_ADMIN_CONNECTIONS 32

struct ir_admin;

/*
 * Starts the thread and takes over the listening sockets; metrics_fd is -1
 * if there is no second listener. Returns NULL on failure. host labels the
 * counters; it and ready_path must outlive the thread.
 */
struct ir_admin *ir_admin_start(TALLOC_CTX *mem, struct ir_channel *channel,
    const char *host, const char *ready_path, int listen_fd, int metrics_fd);
/* Ends the thread and frees a. */
void ir_admin_stop(struct ir_admin *a);

/*
 * Requests a report from the core and waits for it. Returns a message that the
 * caller frees, or NULL after a timeout. For the channel's thread only.
 */
struct ir_from_core *ir_admin_fetch_report(
    struct ir_channel *channel, enum ir_report_kind kind);

#endif
