/*
 * A server on a loopback port that takes the place of a fake, for tests in
 * which it sends what no HTTP library would. Each connection has a thread.
 */
#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include "support/processes.h"

#define RAW_ID_BYTES 256

struct raw_server;

/* Serves a connection, which is closed when it returns. */
typedef void raw_server_fn(void *ctx, const struct raw_server *s, int fd);

/* Ends the child that listens on the port and takes its place. */
struct raw_server *raw_server_replace(struct processes *p,
    struct pr_child *child, uint16_t port, raw_server_fn *serve, void *ctx);
/* Whether the server is being stopped: atomic. */
bool raw_server_is_stopping(const struct raw_server *s);
/* Connections in progress end by themselves. */
void raw_server_stop(struct raw_server *s);

/*
 * Reads the head of a request. Copies its attempt id in the platform's dialect,
 * "" if it has none. Returns false at the end of the connection.
 */
bool raw_server_read_request(int fd, char id[RAW_ID_BYTES]);

#endif
