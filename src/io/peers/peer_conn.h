/*
 * One TCP connection to a peer: bytes in, cut into records; bytes out, queued
 * when the socket does not take them.
 */
#ifndef IR_IO_PEER_CONN_H
#define IR_IO_PEER_CONN_H

#include <tevent.h>

#include "core/table.h"
#include "io/message.h"

struct ir_peer_conn;

struct ir_peer_conn_ops {
	void (*connected)(void *ctx, struct ir_peer_conn *c);
	/* One whole record, its mark included. False: no further reading. */
	bool (*record)(void *ctx, struct ir_peer_conn *c, const uint8_t *data,
	    size_t size_bytes);
	/* The connection is of no more use; reason is a word for the log. */
	void (*failed)(void *ctx, struct ir_peer_conn *c, const char *reason);
};

/* Bytes of one message, an array that the connection takes over. */
struct ir_unsent {
	uint8_t *data;
	size_t size_bytes;
	size_t sent_bytes;
	struct ir_unsent *prev;
	struct ir_unsent *next;
};

struct ir_peer_conn {
	uint32_t number;
	bool connecting;
	bool failing;	  /* failed() was called */
	int64_t heard_us; /* last bytes received, or made */
	int fd;
	const struct ir_peer_conn_ops *ops;
	void *ctx;
	struct tevent_fd *event;
	uint8_t *in;
	size_t in_bytes;
	struct ir_unsent *unsent;
	size_t unsent_bytes;
	UT_hash_handle hh; /* the owner's table, by number */
};

/* Takes the socket over; connecting: wait until it is connected. */
struct ir_peer_conn *ir_peer_conn_new(TALLOC_CTX *mem,
    struct tevent_context *loop, int fd, uint32_t number, bool connecting,
    const struct ir_peer_conn_ops *ops, void *ctx);

/* Takes data, a talloc array, over. May call failed(). */
void ir_peer_conn_send(
    struct ir_peer_conn *c, uint8_t *data, size_t size_bytes);

/* Stops all reading and writing, and calls failed() once. */
void ir_peer_conn_fail(struct ir_peer_conn *c, const char *reason);

/* Reading goes on; also handles records that were received meanwhile. */
void ir_peer_conn_resume(struct ir_peer_conn *c);

#endif
