/*
 * Private to the callers' thread: its state, the connections of callers and
 * the requests on them.
 *
 * Further requests of a connection are read while earlier ones are unanswered,
 * up to a limit (MAX_PIPELINED in caller_parse.c). Answers are written in the
 * order of the requests. A request whose head is ambiguous is refused, and
 * nothing after it is read.
 */
#ifndef IR_IO_CALLER_CONN_H
#define IR_IO_CALLER_CONN_H

#include <http_parser.h>
#include <tevent.h>

#include "core/table.h"
#include "io/callers/answer_size.h"
#include "io/callers/caller_answer.h"
#include "io/callers/caller_headers.h"
#include "io/callers/callers.h"

enum request_state {
	REQUEST_RECEIVING,
	REQUEST_SUBMITTED, /* to the core, not yet answered */
	REQUEST_ANSWERED   /* the answer is not yet being sent */
};

#define READ_BYTES 16384

struct caller_conn;

/* Data of a request that is needed only while it is received. */
struct request_head {
	char *method;
	char *target;
	char *field; /* name of the header being parsed */
	struct ir_raw_headers raw;
};

struct request {
	uint64_t id; /* of the call; 0 until submitted */
	enum request_state state;
	struct caller_conn *conn;
	/* Both are NULL once the request is submitted or refused. */
	struct request_head *head;
	struct ir_to_core *call; /* message to the core, being built */
	uint8_t *body;
	size_t body_bytes;
	struct ir_refusal refusal;
	bool is_head_method;   /* the answer has no body */
	bool continue_pending; /* 100 Continue is expected and not yet sent */
	bool close_after;      /* the connection ends with this answer */
	uint8_t *answer;       /* formatted message, talloc array */
	size_t charged_bytes;  /* to IR_MEMORY_CALLERS */
	struct request *prev;  /* of the connection, oldest first */
	struct request *next;
	UT_hash_handle hh;
};

struct listener {
	struct ir_callers *callers;
	struct tevent_fd *event;
	int fd;
	bool egress;
};

struct caller_conn {
	struct listener *listener;
	int fd;
	size_t receive_bytes; /* granted for its receive buffer */
	struct tevent_fd *event;
	http_parser parser;
	uint8_t *input; /* read and not yet parsed, or NULL */
	size_t input_bytes;
	struct request *requests; /* oldest first */
	uint32_t request_count;
	struct request *receiving; /* its head is complete, its body is not */
	bool discarding_body;	   /* the rest of a refused request's body */
	size_t blank_bytes;	   /* of empty lines before the next request */
	size_t request_bytes;	   /* parsed of the current request */
	uint8_t *output;	   /* message being sent, or NULL */
	size_t output_sent_bytes;
	bool no_more_requests;	  /* no further request is read */
	bool lingering;		  /* all sent; waits for the caller to close */
	bool closed;		  /* to be freed */
	int64_t last_progress_us; /* when bytes were last read or sent */
	bool blocked;		  /* output does not fit into the socket */
	bool has_drained;	  /* progress was made since it was blocked */
	int64_t last_drain_us;	  /* last progress seen, or start of blocking */
	int send_queue_bytes;	  /* of the socket at last_drain_us */
	struct caller_conn *blocked_prev;
	struct caller_conn *blocked_next;
	size_t idle_bytes;    /* memory of the connection without buffers */
	size_t buffers_bytes; /* charged, without requests */
	size_t total_bytes;   /* charged, with requests */
	struct caller_conn *prev;
	struct caller_conn *next;
};

struct ir_callers {
	struct ir_channel *channel;
	const struct ir_dialect *dialect;
	struct ir_memory *memory;
	struct ir_outbox outbox; /* for messages that must not be dropped */
	struct tevent_context *loop;
	struct listener caller_listener;
	struct listener egress_listener;
	uint32_t max_connections;
	struct caller_conn *conns;
	uint32_t conn_count;
	struct caller_conn *blocked;	  /* longest without progress first */
	struct caller_conn *closed_conns; /* freed after the iteration */
	uint64_t last_call_id;
	struct request *submitted;	   /* hashed by id */
	struct ir_answer_size answer_size; /* expected, of these requests */
	size_t open_requests;
	uint32_t answered_requests; /* with an answer that is not being sent */
	uint8_t read_buffer[READ_BYTES];
	bool close_after_answers;   /* close each connection after an answer */
	struct {		    /* of the thread; 0 until it begins */
		int64_t settled_us; /* until then requests may arrive */
		int64_t end_us;	    /* all connections are closed */
		int64_t next_check_us; /* of the connections */
	} stop;
	bool sweep_scheduled;
};

/* callers.c: handles all messages in the ring from the core. */
void ir_callers_handle_core_messages(struct ir_callers *c);
/* Accepts all connections that wait, as far as the bounds allow. */
void ir_listener_accept(struct listener *l);

/*
 * caller_stop.c: begins the end of the thread, once the core has ended its
 * work. Closes the listeners. Submitted requests up to last_call are answered
 * as unknown; requests that arrive later are refused. The process ends at
 * end_us.
 */
void ir_callers_stop(
    struct ir_callers *c, uint64_t last_call, int64_t now, int64_t end_us);
/*
 * Closes the connections that have neither received bytes to read nor answers
 * to send. True once none is left, or shortly before the end of the process;
 * false if the thread does not stop.
 */
bool ir_callers_is_stopped(struct ir_callers *c, int64_t now);
/* Logs what is left, and closes it. */
void ir_callers_close_all(struct ir_callers *c);

/* caller_conn.c: creates a connection that owns the socket fd. */
void ir_caller_conn_new(struct listener *l, int fd);
/*
 * Closes the connection; reports its submitted requests as abandoned. reason: a
 * string constant, for the log. The second function is for a connection that
 * this node gives up: it counts those requests in IR_COUNTER_CALLS_CUT.
 */
void ir_caller_conn_close(struct caller_conn *c, const char *reason);
void ir_caller_conn_cut(struct caller_conn *c, const char *reason);
/* Sends the answers that are next in order, then parses buffered input. */
void ir_caller_conn_write(struct caller_conn *c);
/*
 * Closes idle, lingering and blocked connections whose timeout has expired, and
 * resumes those that waited for memory. Called once a second.
 */
void ir_callers_sweep(struct ir_callers *c, int64_t now);

/* caller_parse.c: parses the input; false if none of it could be consumed. */
bool ir_caller_conn_parse(struct caller_conn *c);
/* Whether more may be read before the pending requests are answered. */
bool ir_caller_conn_may_read(const struct caller_conn *c);

/*
 * caller_request.c: reads the complete head of a request into its call; sets
 * the refusal if it is not acceptable.
 */
void ir_request_check_head(struct request *r);
/* Appends to the body; sets the refusal if it is too large. */
void ir_request_add_body(struct request *r, const uint8_t *data, size_t size);
/* Passes the complete request to the core, or refuses it. */
void ir_request_submit(struct request *r);
/* Sets the refusal for lack of memory and logs it; does not answer yet. */
void ir_request_set_memory_refusal(struct request *r);
/* Formats the core's answer, or the refusal, as the request's answer. */
void ir_request_answer(struct request *r, const struct ir_answer *a);
void ir_request_refuse(struct request *r);
/* Tells the core that the caller of a submitted request disconnected. */
void ir_request_report_abandoned(
    struct ir_callers *c, uint64_t id, const char *reason);

/*
 * caller_memory.c: charges to IR_MEMORY_CALLERS. The update functions adjust
 * the charge after a change of size; the release functions end the charge for a
 * closed connection or a finished request.
 */
void ir_caller_conn_update_memory(struct caller_conn *c);
void ir_caller_conn_release_memory(struct caller_conn *c);
void ir_request_update_memory(struct request *r);
void ir_request_release_memory(struct request *r);
/* Whether another connection or request fits into the bound. */
bool ir_callers_can_accept(const struct ir_callers *c);
bool ir_callers_can_begin_request(const struct ir_callers *c);
/*
 * Whether the expected answers to all submitted requests and one more fit into
 * the bound. Always true without submitted requests: only further answers can
 * lower an expected size that has become too high.
 */
bool ir_callers_can_submit_request(const struct ir_callers *c);
/* Whether more bytes fit into the bound; with 0, whether the bound is kept. */
bool ir_callers_have_memory(const struct ir_callers *c, size_t bytes);
/*
 * Whether more than half of the bound is used. Each connection is then limited
 * to an equal share.
 */
bool ir_callers_under_memory_pressure(const struct ir_callers *c);
/*
 * Whether memory is under pressure and the connection uses more than its share;
 * no further requests are then read from it until answers were sent.
 */
bool ir_caller_conn_over_share(const struct caller_conn *c);

/*
 * caller_blocked.c: adds a connection whose socket accepts no more output;
 * drained: some output was sent since it was last added.
 */
void ir_caller_blocked_add(struct caller_conn *c, bool drained, int64_t now);
void ir_caller_blocked_remove(struct caller_conn *c);
/*
 * Closes blocked connections without progress for 10 s, or for 1 s while the
 * bound is exceeded.
 */
void ir_callers_close_blocked(struct ir_callers *c, int64_t now);
/*
 * While the bound is exceeded, closes connections, in this order: blocked ones
 * without progress for 500 ms; blocked ones where it is not known whether the
 * caller reads; other blocked ones; those that use most memory. Among equal
 * ones, the connection with most unsent bytes is closed first.
 */
void ir_callers_evict(struct ir_callers *c, int64_t now);

#endif
