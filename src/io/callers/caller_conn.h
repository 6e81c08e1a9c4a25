/*
 * Private to the callers' thread: its state, a caller's connection and the
 * requests on it.
 *
 * A connection is read on while earlier requests of it are still out, up to
 * MAX_OPEN of them; answers are written in the order of the requests. An
 * ambiguous head is refused, and nothing behind it is read.
 */
#ifndef IR_IO_CALLER_CONN_H
#define IR_IO_CALLER_CONN_H

#include <http_parser.h>
#include <tevent.h>

#include "core/table.h"
#include "io/callers/caller_answer.h"
#include "io/callers/caller_expect.h"
#include "io/callers/caller_headers.h"
#include "io/callers/callers.h"

enum request_state {
	REQUEST_RECEIVING,
	REQUEST_WAITING, /* for the core's answer */
	REQUEST_ANSWERED
};

#define READ_BYTES 16384

struct caller_conn;

/* What only a request that is being received needs. */
struct request_head {
	char *method;
	char *target;
	char *field; /* name of the header being read */
	struct ir_raw_headers raw;
};

struct request {
	uint64_t id; /* 0 until the core has it */
	enum request_state state;
	struct caller_conn *conn;
	struct request_head *head; /* until handed over or refused, */
	struct ir_to_core *call;   /* as the message that is built */
	uint8_t *body;
	size_t body_bytes;
	struct ir_refusal refusal;
	bool no_body;	      /* of the answer: to HEAD */
	bool wants_continue;  /* until the provisional answer was written */
	bool last;	      /* the connection ends with its answer */
	uint8_t *answer;      /* bytes, when answered */
	size_t held_bytes;    /* as counted last */
	struct request *prev; /* of the connection, in order */
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
	struct tevent_fd *event;
	http_parser parser;
	uint8_t *in; /* what could not be parsed yet, or NULL */
	size_t in_bytes;
	struct request *requests; /* oldest first */
	uint32_t request_count;
	struct request *reading; /* its head came, its end has not */
	bool skipping;		 /* the rest of a body that was refused */
	uint8_t *out;		 /* unsent bytes of answers, or NULL */
	size_t out_sent;
	bool ending;	  /* no further request is read */
	bool lingering;	  /* all was sent; reads until the caller closes */
	bool dead;	  /* to be freed */
	int64_t used_us;  /* last progress */
	bool unread;	  /* the caller takes no more of out now */
	bool reads;	  /* it took something since it is unread */
	int64_t taken_us; /* when it took something last */
	int queued_bytes; /* sent, and not taken by then */
	struct caller_conn *unread_prev;
	struct caller_conn *unread_next;
	size_t base_bytes; /* of a connection that has nothing to do */
	size_t own_bytes;  /* as counted last, without its requests */
	size_t held_bytes; /* with them */
	struct caller_conn *prev;
	struct caller_conn *next;
};

struct ir_callers {
	struct ir_channel *channel;
	const struct ir_dialect *dialect;
	struct ir_memory *memory;
	struct ir_outbox out; /* only what must not be lost */
	struct tevent_context *loop;
	struct listener callers;
	struct listener egress;
	uint32_t max_connections;
	struct caller_conn *conns;
	uint32_t conn_count;
	struct caller_conn
	    *unread;		  /* the one that took nothing longest first */
	struct caller_conn *dead; /* freed at the end of the turn */
	uint64_t last_id;
	struct request *waiting; /* by id */
	struct ir_expect expect; /* of their answers */
	size_t open_requests;
	uint8_t read[READ_BYTES];
	bool closing;	      /* answers end their connections */
	int64_t flush_end_us; /* 0: not stopping */
	bool sweep_set;
};

/* callers.c: takes what the core sent. */
void ir_callers_take_messages(struct ir_callers *c);

/* Takes the socket over. */
void ir_caller_conn_new(struct listener *l, int fd);
/* Ends the connection; requests out are reported gone. */
void ir_caller_conn_end(struct caller_conn *c);
/* Writes the answers that are next in order. */
void ir_caller_conn_write(struct caller_conn *c);
/* Ends connections that make no progress or were idle for long. */
void ir_caller_conn_sweep(struct ir_callers *c, int64_t now);

/* caller_parse.c: takes requests out of what was read. False: it could not. */
bool ir_caller_conn_parse(struct caller_conn *c);
/* Whether more is read before an answer was written. */
bool ir_caller_conn_may_read(const struct caller_conn *c);

/* caller_request.c: the head of a request was read. */
void ir_request_begin(struct request *r);
/* A piece of its body. */
void ir_request_receive(struct request *r, const uint8_t *data, size_t size);
/* All of it came: hands it to the core, or refuses it. */
void ir_request_submit(struct request *r);
/* Not run: there is no room for it. */
void ir_request_refuse_memory(struct request *r);
/* The answer of the core, or a refusal, as bytes. */
void ir_request_answer(struct request *r, const struct ir_answer *a);
void ir_request_refuse(struct request *r);
/* Tells the core that the caller went away. */
void ir_request_report_gone(struct ir_callers *c, uint64_t id);

/*
 * caller_memory.c: what is held is counted again after a change. A request
 * that is dropped counts nothing any more, nor does a connection that ends.
 */
void ir_caller_conn_count(struct caller_conn *c);
void ir_caller_conn_uncount(struct caller_conn *c);
void ir_request_count(struct request *r);
void ir_request_uncount(struct request *r);
/* Whether a connection, a request or so many bytes of it more may be held. */
bool ir_callers_have_room_to_accept(const struct ir_callers *c);
bool ir_callers_have_room_to_begin(const struct ir_callers *c);
/*
 * Whether a further answer may be waited for. With none waited for always: an
 * expectation that is too high comes down by answers only.
 */
bool ir_callers_have_room_to_wait(const struct ir_callers *c);
bool ir_callers_have_room(const struct ir_callers *c, size_t bytes);
/* More than half of the bound is held: connections get equal parts only. */
bool ir_callers_are_crowded(const struct ir_callers *c);
/* Whether it holds more than its part, so that it has to wait for answers. */
bool ir_caller_conn_has_its_part(const struct caller_conn *c);

/*
 * caller_unread.c: the caller takes no more now; taken: it took something
 * since it was added last.
 */
void ir_caller_unread_add(struct caller_conn *c, bool taken, int64_t now);
void ir_caller_unread_remove(struct caller_conn *c);
/* Ends connections that took nothing for long, or without room for 1 s. */
void ir_callers_end_unread(struct ir_callers *c, int64_t now);
/*
 * Over the bound: ends connections at once until the rest fits. Stalled
 * callers go before those that may read, these before those that do; of equals
 * the one with most unsent bytes.
 */
void ir_callers_give_way(struct ir_callers *c, int64_t now);

#endif
