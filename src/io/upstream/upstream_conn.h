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
	struct ir_upstream *upstream;
	struct ir_from_core *run_message;
	struct upstream_conn *conn; /* NULL when it ended */
	bool send_started;	    /* a byte of it was handed to a socket */
	struct ir_upstream_memory memory;
	struct ir_upstream_answer answer;
	UT_hash_handle hh;
};

struct upstream_conn {
	struct ir_upstream *upstream;
	int fd;
	struct tevent_fd *event;
	struct tevent_timer *timer; /* while it connects */
	http_parser parser;
	struct transfer *transfer; /* NULL: idle */
	bool connecting;
	bool read_paused; /* not read until there is room for more of its answer
			   */
	bool
	    answer_started; /* bytes of an answer to the present request came */
	bool answer_complete; /* the answer is whole */
	bool keep_alive;      /* it may be used again */
	char *header_name;    /* name of the header being read, or NULL */
	char *header_value;   /* the same of its value */
	size_t header_bytes;  /* of both, as held by the transfer */
	uint8_t *request;     /* NULL when it was sent */
	size_t sent_bytes;
	int64_t idle_since_us;	    /* since when */
	int64_t max_idle_us;	    /* how long it may be idle */
	struct upstream_conn *prev; /* of the idle or the busy ones */
	struct upstream_conn *next;
};

struct ir_upstream {
	struct ir_channel *channel;
	struct ir_memory *memory;
	const struct ir_dialect *dialect;
	struct ir_outbox outbox;
	struct tevent_context *loop;
	struct ir_endpoint address;
	uint32_t max_connections;
	uint32_t conn_count;
	struct upstream_conn *idle_conns; /* used last, first */
	struct upstream_conn *busy_conns;
	struct transfer *transfers;
	struct transfer
	    *exempt_transfer; /* the one whose answer needs no room, or NULL */
	uint32_t paused_count;
	bool sweep_scheduled;
	bool stopping;
};

/* Runs a transfer on a kept or a new connection. */
void ir_upstream_conn_start(struct ir_upstream *u, struct transfer *t);
/* Closes it; a transfer on it is left without one. */
void ir_upstream_conn_close(struct upstream_conn *c);
/* Reads on where reading waits for room. */
void ir_upstream_conn_resume_reads(struct ir_upstream *u);
/* Closes those idle for too long. */
void ir_upstream_conn_close_expired(struct ir_upstream *u, int64_t now);

/* upstream.c: the transfer ended; reason is NULL when it was answered. */
void ir_upstream_finish(struct transfer *t, const char *reason);

/* upstream_request.c: the request's bytes, a talloc array under mem. */
uint8_t *ir_upstream_request_encode(TALLOC_CTX *mem, const struct ir_dialect *d,
    const struct ir_endpoint *upstream, const struct ir_run *r);

#endif
