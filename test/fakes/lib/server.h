/*
 * HTTP server on 127.0.0.1 for stand-ins, by libmicrohttpd.
 *
 * The handler is called once per complete request, with the server's lock held.
 * It answers at once, or later from any thread that holds the lock; until then
 * the request waits. The lock guards all state of a stand-in.
 */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define FAKE_MAX_BODY_BYTES (8 * 1024 * 1024)

struct fake_server;

/* A request, a talloc context that the server frees when the exchange ends. */
struct fake_request {
	const char *method;
	const char *uri;  /* as received, with its query */
	const char *path; /* without the query */
	uint8_t *body;
	size_t body_bytes;
	void *handler_data; /* free for use by the handler */
	struct fake_exchange *exchange;
};

struct fake_handler {
	void (*request)(void *ctx, struct fake_request *r);
	/* The client closed the connection of a waiting request. */
	void (*disconnected)(void *ctx, struct fake_request *r);
};

/*
 * Starts a server on a port, 0 for any, and prints "port N" on standard output.
 * Returns NULL if it cannot listen.
 */
struct fake_server *fake_server_start(
    uint16_t port, const struct fake_handler *handler, void *ctx);
uint16_t fake_server_port(const struct fake_server *s);
void fake_server_lock(struct fake_server *s);
void fake_server_unlock(struct fake_server *s);
/*
 * Calls disconnected() for waiting requests whose clients closed the
 * connection. Takes the lock. To be called repeatedly.
 */
void fake_server_check_disconnects(struct fake_server *s);
/* Resets waiting requests and stops. The lock must not be held. */
void fake_server_stop(struct fake_server *s);

/* Adds a header to the later answer. */
void fake_header_add(
    struct fake_request *r, const char *name, const char *value);
/* Answers a request; copies the body. */
void fake_answer(struct fake_request *r, unsigned status, const char *type,
    const void *body, size_t body_bytes);
/* Answers with a JSON document. */
void fake_answer_json(
    struct fake_request *r, unsigned status, const char *text);
/* Resets the connection instead of answering. */
void fake_reset(struct fake_request *r);
/* Answers 200 with half of the body, then closes the connection. */
void fake_truncate(struct fake_request *r, const void *body, size_t body_bytes);

/* Returns the value of a request header, NULL if absent. */
const char *fake_header(const struct fake_request *r, const char *name);
/* Calls each() for every request header. */
void fake_headers_each(const struct fake_request *r,
    void (*each)(void *ctx, const char *name, const char *value), void *ctx);
/* Return a decoded parameter of the query; NULL or the number 0 if absent. */
const char *fake_query(const struct fake_request *r, const char *name);
uint64_t fake_query_number(const struct fake_request *r, const char *name);

#endif
