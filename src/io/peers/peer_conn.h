/*
 * One TCP connection to a peer: bytes in, cut into records; bytes out, queued
 * when the socket does not take them.
 *
 * Bytes received are held only while a record is not whole, or not wanted.
 * What a connection holds is counted as IR_MEMORY_PEERS, and given back when
 * it fails.
 */
#ifndef IR_IO_PEER_CONN_H
#define IR_IO_PEER_CONN_H

#include <tevent.h>

#include "core/table.h"
#include "ibisrail/memory.h"
#include "io/message.h"

struct ir_peer_conn;

struct ir_peer_conn_ops {
	void (*connected)(void *ctx, struct ir_peer_conn *c);
	/* False: no reading for now, until ir_peer_conn_resume(). */
	bool (*wants)(void *ctx);
	/* One whole record, its mark included. False: as wants(). */
	bool (*record)(void *ctx, struct ir_peer_conn *c, const uint8_t *data,
	    size_t size_bytes);
	/* It counts more bytes: c, or another, may be made to fail. */
	void (*grew)(void *ctx, struct ir_peer_conn *c);
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
	struct ir_memory *memory;
	size_t held_bytes; /* as counted there */
	uint8_t *in;	   /* NULL: nothing waits */
	size_t in_bytes;
	struct ir_unsent *unsent;
	size_t unsent_bytes;
	UT_hash_handle hh; /* the owner's table, by number */
};

/* Takes the socket over; connecting: wait until it is connected. */
struct ir_peer_conn *ir_peer_conn_new(TALLOC_CTX *mem,
    struct tevent_context *loop, struct ir_memory *memory, int fd,
    uint32_t number, bool connecting, const struct ir_peer_conn_ops *ops,
    void *ctx);

/* Takes data, a talloc array, over. May call grew() and failed(). */
void ir_peer_conn_send(
    struct ir_peer_conn *c, uint8_t *data, size_t size_bytes);

/* Stops reading and writing, frees what it holds, calls failed() once. */
void ir_peer_conn_fail(struct ir_peer_conn *c, const char *reason);

/* Reading goes on; also handles records that were received meanwhile. */
void ir_peer_conn_resume(struct ir_peer_conn *c);

#endif
