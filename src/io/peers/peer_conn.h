/*
 * A TCP connection to a peer: received bytes are split into records, and
 * messages that the socket does not take are queued.
 *
 * Large VIEW messages wait until nothing else is queued, or until other
 * messages of VIEW_WAIT_FACTOR times their size were sent meanwhile. To a peer
 * that takes parts they are sent in parts, so that others go between them.
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
	/* Bytes of a message moved that isn't received or sent in full. */
	void (*progressed)(void *ctx, struct ir_peer_conn *c);
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
	bool starts_view; /* a view or its first part */
	struct ir_unsent_message *prev;
	struct ir_unsent_message *next;
};

struct ir_peer_conn {
	uint32_t number;
	bool connecting;
	bool failing;		      /* failed() was called */
	int64_t last_receive_us;      /* or time of creation */
	int64_t progress_reported_us; /* for the owner */
	int fd;
	size_t receive_bytes; /* granted for its receive buffer */
	const struct ir_peer_conn_ops *ops;
	void *ctx;
	struct tevent_fd *fd_event;
	struct ir_memory *memory;
	size_t charged_bytes; /* to memory, IR_MEMORY_PEERS */
	uint8_t *input;	      /* received, not handed over; or NULL */
	size_t input_bytes;
	/* Queues; a message of which bytes were sent stays first. */
	struct ir_unsent_message *unsent;
	struct ir_unsent_message *unsent_views;
	size_t unsent_bytes;	   /* of both */
	size_t bytes_before_views; /* sent while the first view waited */
	bool takes_parts;	   /* the peer takes large views in parts */
	uint8_t *parts; /* received, of an incomplete record; or NULL */
	size_t parts_bytes;
	size_t parts_record_bytes; /* of the whole record */
	UT_hash_handle hh;	   /* in the owner's table, by number */
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

/*
 * Adds a part of a record. Returns true when parts then has the whole record;
 * the owner must call ir_peer_conn_free_parts(). A part that doesn't follow the
 * ones before fails the connection.
 */
bool ir_peer_conn_add_part(struct ir_peer_conn *c, const struct ir_part *part);
void ir_peer_conn_free_parts(struct ir_peer_conn *c);

/*
 * Drops the queued views of which no byte was sent; the peer asks again, or
 * another host. Returns whether there were any.
 */
bool ir_peer_conn_drop_views(struct ir_peer_conn *c);

/* Ends all transfer, frees the buffers and calls failed(), once only. */
void ir_peer_conn_fail(struct ir_peer_conn *c, const char *reason);

/* Hands over the records buffered and continues to receive. */
void ir_peer_conn_resume(struct ir_peer_conn *c);

#endif
