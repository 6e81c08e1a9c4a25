/*
 * An HTTP server on 127.0.0.1 for stand-ins, by libmicrohttpd.
 *
 * The handler is called once for each whole request, with the server's lock
 * held. It answers at once or later, from any thread that holds the lock; a
 * request that is not answered waits. All state of a stand-in is guarded by
 * this lock.
 */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define FAKE_MAX_BODY_BYTES (8 * 1024 * 1024)

struct fake_server;

/* A talloc context; freed by the server when the exchange has ended. */
struct fake_request {
	const char *method;
	const char *uri;  /* as received, with its query */
	const char *path; /* without the query */
	uint8_t *body;
	size_t body_bytes;
	void *handler_data; /* the handler's own */
	struct fake_exchange *exchange;
};

struct fake_handler {
	void (*request)(void *ctx, struct fake_request *r);
	/* The client closed the connection of a waiting request. */
	void (*disconnected)(void *ctx, struct fake_request *r);
};

/* NULL when it cannot listen. Prints "port N" on standard output. */
struct fake_server *fake_server_start(
    uint16_t port, const struct fake_handler *handler, void *ctx);
uint16_t fake_server_port(const struct fake_server *s);
void fake_server_lock(struct fake_server *s);
void fake_server_unlock(struct fake_server *s);
/* Looks for closed connections among waiting requests. Takes the lock. */
void fake_server_check_disconnects(struct fake_server *s);
/* Waiting requests are reset. The lock must not be held. */
void fake_server_stop(struct fake_server *s);

/* Adds a header to the answer to come. */
void fake_header_add(
    struct fake_request *r, const char *name, const char *value);
void fake_answer(struct fake_request *r, unsigned status, const char *type,
    const void *body, size_t body_bytes);
/* Text of a JSON document. */
void fake_answer_json(
    struct fake_request *r, unsigned status, const char *text);
/* Closes the connection without an answer. */
void fake_reset(struct fake_request *r);
/* Sends the head and half of the body, then closes. */
void fake_truncate(struct fake_request *r, const void *body, size_t body_bytes);

/* NULL when absent. */
const char *fake_header(const struct fake_request *r, const char *name);
void fake_headers_each(const struct fake_request *r,
    void (*each)(void *ctx, const char *name, const char *value), void *ctx);
/* A member of the query, decoded; NULL when absent. */
const char *fake_query(const struct fake_request *r, const char *name);
uint64_t fake_query_number(const struct fake_request *r, const char *name);

#endif
