/*
 * Private to the upstream's thread: connections to the local upstream and the
 * request that runs on each.
 *
 * A request is sent once. One that is not idempotent gets a connection of its
 * own, never one that was used before.
 */
#ifndef IR_IO_UPSTREAM_CONN_H
#define IR_IO_UPSTREAM_CONN_H

#include <http_parser.h>
#include <tevent.h>

#include "core/table.h"
#include "io/upstream/upstream.h"
#include "io/upstream/upstream_answer.h"

struct upstream_conn;

struct transfer {
	uint64_t id;
	struct ir_upstream *owner;
	struct ir_from_core *order;
	struct upstream_conn *conn; /* NULL when it ended */
	bool sent;		    /* a byte of it was handed to a socket */
	struct ir_upstream_bytes bytes;
	struct ir_upstream_answer answer;
	UT_hash_handle hh;
};

struct upstream_conn {
	struct ir_upstream *owner;
	int fd;
	struct tevent_fd *event;
	struct tevent_timer *timer; /* while it connects */
	http_parser parser;
	struct transfer *transfer; /* NULL: idle */
	bool connecting;
	bool paused; /* not read until there is room for more of its answer */
	bool heard;  /* bytes of an answer to the present request came */
	bool whole;  /* the answer is whole */
	bool keep;   /* it may be used again */
	char *field; /* name of the header being read, or NULL */
	char *value; /* the same of its value */
	size_t text_bytes; /* of both, as held by the transfer */
	uint8_t *out;	   /* NULL when it was sent */
	size_t out_sent;
	int64_t idle_us;	    /* since when */
	int64_t keep_idle_us;	    /* how long it may be idle */
	struct upstream_conn *prev; /* of the idle or the busy ones */
	struct upstream_conn *next;
};

struct ir_upstream {
	struct ir_channel *channel;
	struct ir_memory *memory;
	const struct ir_dialect *dialect;
	struct ir_outbox out;
	struct tevent_context *loop;
	struct ir_endpoint address;
	uint32_t max_connections;
	uint32_t conn_count;
	struct upstream_conn *idle; /* used last, first */
	struct upstream_conn *busy;
	struct transfer *transfers;
	struct transfer *over; /* the one whose answer needs no room, or NULL */
	uint32_t paused_count;
	bool sweep_set;
	bool stopping;
};

/* Runs a transfer on a kept or a new connection. */
void ir_upstream_conn_run(struct ir_upstream *u, struct transfer *t);
/* Closes it; a transfer on it is left without one. */
void ir_upstream_conn_close(struct upstream_conn *c);
/* Reads on where reading waits for room. */
void ir_upstream_conn_resume(struct ir_upstream *u);
/* Closes those idle for too long. */
void ir_upstream_conn_sweep(struct ir_upstream *u, int64_t now);

/* upstream.c: the transfer ended; reason is NULL when it was answered. */
void ir_upstream_finish(struct transfer *t, const char *reason);

/* upstream_request.c: the request's bytes, a talloc array under mem. */
uint8_t *ir_upstream_request_bytes(TALLOC_CTX *mem, const struct ir_dialect *d,
    const struct ir_endpoint *upstream, const struct ir_run *r);

#endif
