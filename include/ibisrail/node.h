/*
 * The core of one node: every decision, and no I/O, clock, thread or global.
 *
 * Events go in by the functions below, each with the present time; actions
 * come out by struct ir_node_ops, called from within those functions. All
 * memory is under the node's talloc context. One thread owns a node.
 *
 * Strings and bodies passed in are copied when kept; those passed out are
 * valid during the callback only.
 */
#ifndef IBISRAIL_NODE_H
#define IBISRAIL_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/counter.h"
#include "ibisrail/error.h"
#include "ibisrail/event.h"
#include "ibisrail/histogram.h"
#include "ibisrail/limits.h"
#include "ibisrail/memory.h"

struct ir_node;
struct ir_msg;
struct ir_attempt_id;
struct ir_header;
struct json_object;

/* A request from a caller, or from the local upstream (egress). */
struct ir_call {
	uint64_t id; /* chosen by the I/O side, unique in the process */
	bool egress;
	const char *parent_attempt; /* egress: the attempt it belongs to */
	const char *service;   /* NULL: the route of authority and path tells */
	const char *authority; /* host name asked for, or NULL */
	const char *caller_attempt; /* the caller's own id of it, or NULL */
	const char *method;
	const char *path;	     /* with its query */
	const char *key;	     /* NULL without one */
	const char *idempotency_key; /* NULL without one */
	bool first_attempt;   /* the caller says that it did not ask before */
	uint32_t deadline_ms; /* 0: the route's */
	const struct ir_header *headers; /* key and hop headers taken out */
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

/* The answer to a call, always exactly one. */
struct ir_answer {
	enum ir_error error;
	uint16_t status;	 /* HTTP status for the caller */
	uint32_t retry_after_ms; /* 0: none */
	const struct ir_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

/* A request to be run by the local upstream. */
struct ir_run {
	uint64_t id;	     /* chosen by the core, unique in the process */
	const char *attempt; /* opaque text that egress calls give as parent */
	const char *request; /* request id, hexadecimal */
	const char *account;
	const char *authority;	    /* "" without one */
	const char *caller_attempt; /* "" without one */
	const char *origin;	    /* service beside which the call began */
	const char *upstream_id;    /* of the upstream meant, or "" */
	uint32_t importance;
	uint32_t remaining_ms;
	bool idempotent; /* may be sent on a connection used before */
	const char *method;
	const char *path;
	const struct ir_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

/* How the upstream ended a run. */
enum ir_run_end {
	IR_RUN_ANSWERED,      /* a whole answer */
	IR_RUN_SHED,	      /* refused by the upstream, not run */
	IR_RUN_NOT_CONNECTED, /* no connection: not run */
	IR_RUN_BROKEN	      /* connection broke or answer incomplete */
};

struct ir_run_result {
	enum ir_run_end end;
	uint16_t status;
	const struct ir_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

struct ir_node_ops {
	/* Peers. A connection ends in ir_node_conn_closed(), also one never
	 * made. */
	void (*connect)(
	    void *ctx, uint32_t conn, const char *address, uint16_t port);
	void (*close)(void *ctx, uint32_t conn);
	void (*send)(
	    void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m);
	/* The local upstream. Each run ends in ir_node_run_ended() unless
	 * cancelled.
	 */
	void (*run)(void *ctx, const struct ir_run *r);
	void (*cancel_run)(void *ctx, uint64_t id);
	/* Callers and the local upstream's own calls. */
	void (*answer)(void *ctx, uint64_t call, const struct ir_answer *a);
	/* One numbered event; fields is a text of name=value pairs. */
	void (*log)(void *ctx, enum ir_event event, const char *fields);
};

struct ir_node_settings {
	const char *host;    /* this host's name in the list */
	const char *service; /* served by the local upstream */
	const char *region;
	const char *zone;
	uint32_t initial_slots; /* until the publication tells */
	/* What all hosts together may grant over an account's rate. */
	double rate_tolerance_share;
	double rate_tolerance_requests; /* in a window, over the share */
	double rate_tolerance_window_s;
	int64_t
	    store_read_period_us; /* of the store, by a reader; 0: the usual */
	/*
	 * A call whose attempt id is that of a request running here, this
	 * character and more, belongs to that request; 0: ids tell nothing.
	 */
	char child_separator;
	bool keyless_calls_are_egress; /* calls without key are the upstream's
					  own */
	uint64_t incarnation; /* unique to this start of the process, above 0 */
	uint64_t seed;
	struct ir_memory *memory; /* NULL: the node keeps one of its own */
	bool baseline_policy;	  /* baseline policy, for measurements only */
};

struct ir_node *ir_node_new(TALLOC_CTX *mem, int64_t now,
    const struct ir_node_settings *settings, const struct ir_node_ops *ops,
    void *ctx);

/* Callers. */
void ir_node_call(struct ir_node *n, int64_t now, const struct ir_call *in);
/* The caller went away; no answer is wanted. */
void ir_node_caller_gone(struct ir_node *n, int64_t now, uint64_t id);

/* The local upstream. */
void ir_node_run_ended(struct ir_node *n, int64_t now, uint64_t run,
    const struct ir_run_result *res);

/* Peers. */
void ir_node_conn_established(struct ir_node *n, int64_t now, uint32_t conn);
void ir_node_conn_closed(struct ir_node *n, int64_t now, uint32_t conn);
void ir_node_message_received(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m);

/*
 * The platform. A read that was asked at asked_us returned: sections changed
 * since the revisions held (whole: all of them), and the revisions reached.
 */
struct ir_section;
struct ir_store_read {
	int64_t asked_us;
	bool is_host_list; /* the host list, else the configuration */
	bool complete;
	uint64_t revision; /* of the last change that was passed on */
	/*
	 * Nothing of this part above it existed; above revision where the
	 * store's revision rises without a change. 0: revision.
	 */
	uint64_t reached_revision;
	const struct ir_section *sections;
	size_t section_count;
};
void ir_node_store_read(
    struct ir_node *n, int64_t now, const struct ir_store_read *r);
void ir_node_store_failed(struct ir_node *n, int64_t now, int64_t asked_us);
/* Whether this node is to read the store now: it is a reader, or has no view.
 */
bool ir_node_should_read_store(struct ir_node *n);
void ir_node_revisions(
    const struct ir_node *n, uint64_t *config, uint64_t *list);

/* At least every 10 ms while anything is held, else every 100 ms. */
void ir_node_tick(struct ir_node *n, int64_t now);

/*
 * Refuses work from peers, ends what is held, hands buckets over; refuses new
 * callers from refuse_us on: until then they may not know.
 */
void ir_node_stop(struct ir_node *n, int64_t now, int64_t refuse_us);
/* What may change while it runs; the rest of s is not looked at. */
void ir_node_set_rate_tolerance(
    struct ir_node *n, const struct ir_node_settings *s);
/* True when a stopping node holds nothing more. */
bool ir_node_is_idle(const struct ir_node *n);
/* True when the node has a view and may serve callers. */
bool ir_node_is_ready(struct ir_node *n, int64_t now);

/* The whole state and the counters, as JSON that the caller puts. */
struct json_object *ir_node_state_json(struct ir_node *n, int64_t now);
struct json_object *ir_node_counters_json(const struct ir_node *n);
uint64_t ir_node_counter(const struct ir_node *n, enum ir_counter which);
const struct ir_histograms *ir_node_histograms(const struct ir_node *n);
/* What the node holds and knows at this moment, for metrics. */
struct ir_node_gauges {
	int64_t calls; /* of callers and the local upstream, open */
	int64_t gate_running;
	int64_t gate_queued;
	int64_t gate_limit;
	int64_t hosts; /* that the list names */
	int64_t config_revision;
	int64_t list_revision;
	int64_t records;     /* attempts that the gate remembers */
	int64_t view_age_ms; /* of the last confirmation; -1 without one */
};
void ir_node_gauges(struct ir_node *n, int64_t now, struct ir_node_gauges *out);

#endif
