/*
 * A TCP connection to a peer: received bytes are split into records, and
 * messages that the socket does not take are queued.
 *
 * Received bytes are buffered only while a record is incomplete or the owner
 * cannot take more. Buffered bytes and queued messages are charged to
 * IR_MEMORY_PEERS until they are freed, at the latest on failure.
 */
#ifndef IR_IO_PEER_CONN_H
#define IR_IO_PEER_CONN_H

#include <tevent.h>

#include "core/table.h"
#include "ibisrail/memory.h"
#include "io/message.h"

struct ir_peer_conn;

/* Callbacks of the owner. */
struct ir_peer_conn_ops {
	void (*connected)(void *ctx, struct ir_peer_conn *c);
	/* Returns false to suspend receiving until ir_peer_conn_resume(). */
	bool (*may_receive)(void *ctx);
	/*
	 * Takes a complete record with its record mark. Returns false as
	 * may_receive() does.
	 */
	bool (*record)(void *ctx, struct ir_peer_conn *c, const uint8_t *data,
	    size_t size_bytes);
	/* c holds more memory; may call ir_peer_conn_fail() on any of them. */
	void (*memory_grew)(void *ctx, struct ir_peer_conn *c);
	/* The connection can no longer be used; reason is for the log. */
	void (*failed)(void *ctx, struct ir_peer_conn *c, const char *reason);
};

/* A queued message; data is a talloc array that it owns. */
struct ir_unsent_message {
	uint8_t *data;
	size_t size_bytes;
	size_t sent_bytes;
	struct ir_unsent_message *prev;
	struct ir_unsent_message *next;
};

struct ir_peer_conn {
	uint32_t number;
	bool connecting;
	bool failing;		 /* failed() was called */
	int64_t last_receive_us; /* or time of creation */
	int fd;
	size_t receive_bytes; /* granted for its receive buffer */
	const struct ir_peer_conn_ops *ops;
	void *ctx;
	struct tevent_fd *fd_event;
	struct ir_memory *memory;
	size_t charged_bytes; /* to memory, IR_MEMORY_PEERS */
	uint8_t *input;	      /* received, not handed over; or NULL */
	size_t input_bytes;
	struct ir_unsent_message *unsent; /* queue */
	size_t unsent_bytes;
	UT_hash_handle hh; /* in the owner's table, by number */
};

/*
 * Takes over the socket fd; connecting: its connect() is still in progress.
 * If out of memory, closes fd and returns NULL.
 */
struct ir_peer_conn *ir_peer_conn_new(TALLOC_CTX *mem,
    struct tevent_context *loop, struct ir_memory *memory, int fd,
    uint32_t number, bool connecting, const struct ir_peer_conn_ops *ops,
    void *ctx);

/*
 * Sends or queues data, a talloc array that it takes over. May call
 * memory_grew() and failed().
 */
void ir_peer_conn_send(
    struct ir_peer_conn *c, uint8_t *data, size_t size_bytes);

/* Ends all transfer, frees the buffers and calls failed(), once only. */
void ir_peer_conn_fail(struct ir_peer_conn *c, const char *reason);

/* Hands over the records buffered and continues to receive. */
void ir_peer_conn_resume(struct ir_peer_conn *c);

#endif
