/*
 * Private to the upstream thread: its state, the connections to the local
 * upstream, and the request in flight on each.
 *
 * A request is sent at most once. A request that is not idempotent gets a new
 * connection: the upstream may close a used connection at that moment, and it
 * would be unknown whether the request ran.
 */
#ifndef IR_IO_UPSTREAM_CONN_H
#define IR_IO_UPSTREAM_CONN_H

#include <http_parser.h>
#include <tevent.h>

#include "core/table.h"
#include "io/upstream/answer_head.h"
#include "io/upstream/upstream.h"
#include "io/upstream/upstream_answer.h"
#include "upstream/conn_demand.h"

struct upstream_conn;

/* A request at the upstream and its answer. */
struct transfer {
	uint64_t id;
	struct ir_upstream *upstream;
	struct ir_from_core *run_message; /* IR_FROM_CORE_RUN, owned */
	struct upstream_conn *conn;	  /* NULL while it has none */
	bool send_started;     /* bytes of the request were given to a socket */
	bool connection_limit; /* see IR_RUN_CONNECTION_LIMIT */
	struct ir_upstream_memory memory;
	struct ir_upstream_answer answer;
	/* Its connection broke; see upstream_check.h. */
	bool checked;
	bool upstream_ended;
	const char *check_reason;
	struct transfer *checked_prev;
	struct transfer *checked_next;
	UT_hash_handle hh;
};

struct upstream_conn {
	struct ir_upstream *upstream;
	int fd;
	size_t receive_bytes; /* granted for its receive buffer */
	struct tevent_fd *event;
	struct tevent_timer *timer; /* connect timeout; NULL once connected */
	struct ir_answer_head head;
	bool in_head; /* of an answer; false: in its body */
	http_parser parser;
	struct transfer *transfer; /* NULL: idle */
	bool connecting;
	bool read_paused;	    /* no room for more of the answer */
	bool answer_started;	    /* read bytes since the request was given */
	bool answer_complete;	    /* read the final answer to its end */
	bool keep_alive;	    /* the answer allows another request */
	uint32_t skipped_answers;   /* since the request was given */
	size_t read_bytes;	    /* since the request was given */
	const char *fault;	    /* why the answer is given up, or NULL */
	char *header_name;	    /* of the header being read, or NULL */
	char *header_value;	    /* of the header being read, or NULL */
	size_t header_bytes;	    /* reserved for header_name and _value */
	uint8_t *request;	    /* NULL once it was sent */
	size_t sent_bytes;	    /* of the request */
	int64_t idle_since_us;	    /* of an idle connection */
	int64_t max_idle_us;	    /* closed when idle for longer */
	struct upstream_conn *prev; /* in idle_conns or busy_conns */
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
	uint32_t busy_count; /* of busy_conns */
	struct ir_conn_demand demand;
	struct upstream_conn *idle_conns; /* most recently used first */
	struct upstream_conn *busy_conns;
	struct transfer *transfers;	  /* hashed by id */
	struct transfer *exempt_transfer; /* from the memory bound; or NULL */
	struct transfer *checked;	  /* wait for the check */
	int check_fd;			  /* -1: no check is going on */
	struct tevent_fd *check_event;
	struct tevent_timer *check_timer;
	struct status_check *status_check; /* that is going on, or NULL */
	uint32_t paused_count;		   /* connections with read_paused */
	bool sweep_scheduled;
	bool stopping;
};

/*
 * Sends the transfer's request on an idle or a new connection. If out
 * of memory or connections, finishes (and frees) the transfer before it
 * returns.
 */
void ir_upstream_conn_start(struct ir_upstream *u, struct transfer *t);
/* Closes and frees c. A transfer in flight on it stays, with conn NULL. */
void ir_upstream_conn_close(struct upstream_conn *c);
/* Lets all paused connections check again whether there is room to read. */
void ir_upstream_conn_resume_reads(struct ir_upstream *u);
/* Closes connections that were idle for too long, or are not needed. */
void ir_upstream_conn_close_expired(struct ir_upstream *u, int64_t now);

/*
 * upstream.c: sends the result to the core and frees the transfer. reason is
 * NULL if the answer was complete, else why the transfer failed, for the log.
 */
void ir_upstream_finish(struct transfer *t, const char *reason);

/*
 * upstream_request.c: the request as HTTP/1.1, headers and body, in a talloc
 * array under mem; its talloc size is the request's.
 */
uint8_t *ir_upstream_request_encode(TALLOC_CTX *mem, const struct ir_dialect *d,
    const struct ir_endpoint *upstream, const struct ir_run *r);

#endif
