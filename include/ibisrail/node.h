/*
 * The core of one node. It makes all decisions, and has no I/O, clock, threads
 * or global variables.
 *
 * The functions below report events, each with the current time. The core acts
 * through struct ir_node_ops, whose functions are called from within them. All
 * memory is under the node's talloc context. Not thread-safe.
 *
 * Strings and bodies passed to the core are copied when they are kept. Those
 * passed to struct ir_node_ops are valid during the call only.
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
	const char *parent_attempt; /* egress: ir_run.attempt of its request */
	const char *service;	    /* NULL: found by authority and path */
	const char *authority;	    /* requested host name, or NULL */
	const char *caller_attempt; /* the caller's attempt id, or NULL */
	const char *method;
	const char *path;	     /* with the query */
	const char *key;	     /* or NULL */
	const char *idempotency_key; /* or NULL */
	bool first_attempt;   /* the caller declares that this is no retry */
	uint32_t deadline_ms; /* 0: the deadline of the route */
	/* Without key and hop-by-hop headers. */
	const struct ir_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

/* The answer to a call. Every call gets exactly one. */
struct ir_answer {
	enum ir_error error;
	uint16_t status;	 /* HTTP status for the caller */
	uint32_t retry_after_ms; /* 0: none */
	const struct ir_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

/* A request for the local upstream. */
struct ir_run {
	uint64_t id;	     /* chosen by the core, unique in the process */
	const char *attempt; /* opaque; parent_attempt of its egress calls */
	const char *request; /* request id, hexadecimal */
	const char *account;
	const char *authority;	    /* "" if none */
	const char *caller_attempt; /* "" if none */
	const char *origin; /* service of the node that the call entered at */
	const char *upstream_id; /* expected id of the upstream, or "" */
	uint32_t importance;
	uint32_t remaining_ms;
	bool idempotent; /* may be sent on a reused connection */
	const char *method;
	const char *path;
	const struct ir_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

/* How a run ended. */
enum ir_run_end {
	IR_RUN_ANSWERED,      /* complete answer */
	IR_RUN_SHED,	      /* refused by the upstream, not run */
	IR_RUN_NOT_CONNECTED, /* the upstream refuses connections: not run */
	/*
	 * The upstream dropped the connection before the request was sent, or
	 * this process has no further one: not run.
	 */
	IR_RUN_CONNECTION_LIMIT,
	IR_RUN_NO_ROOM,	      /* no memory in this process: not run */
	IR_RUN_BROKEN,	      /* connection broke, or answer incomplete */
	IR_RUN_UPSTREAM_ENDED /* so did all: it accepts none any more */
};

struct ir_run_result {
	enum ir_run_end end;
	uint16_t status;
	const struct ir_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_bytes;
};

/* Result of a status check of the local upstream. */
struct ir_check_result {
	bool answered; /* with valid headers */
	uint16_t status;
	/* Time for which the upstream stays cold; 0 if not named. */
	uint32_t cold_remaining_ms;
	const char *upstream_id; /* "" if not named */
};

struct ir_node_ops {
	/*
	 * Peers. The I/O side reports the end of each connection, also of one
	 * that could not be established, by ir_node_conn_closed().
	 *
	 * connect() and send() return false when there is no room for the
	 * message now. Nothing was done then, and no close will be reported. A
	 * message on a connection that is being closed needs no room.
	 */
	bool (*connect)(
	    void *ctx, uint32_t conn, const char *address, uint16_t port);
	void (*close)(void *ctx, uint32_t conn);
	bool (*send)(
	    void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m);
	/*
	 * The local upstream. The I/O side reports the end of each run that is
	 * not cancelled by ir_node_run_ended().
	 */
	void (*run)(void *ctx, const struct ir_run *r);
	void (*cancel_run)(void *ctx, uint64_t id);
	/* Answers a call of a caller or of the local upstream. */
	void (*answer)(void *ctx, uint64_t call, const struct ir_answer *a);
	/* Logs an event. fields: "name=value name=value". */
	void (*log)(void *ctx, enum ir_event event, const char *fields);
	/*
	 * Sends a status check (GET) to the upstream. Its end is reported by
	 * ir_node_upstream_checked(). NULL: there are no status checks.
	 */
	void (*check_upstream)(void *ctx, const char *path);
};

/* Headers in which an upstream speaks of itself; NULL: there is no such one. */
struct ir_statement_headers {
	const char *rate_limit; /* requests a second that it takes, decimal */
	const char *leaving;	/* value 1: it takes no new work and will end */
	const char *load;	/* its load and speed: upstream/load_report.h */
};

struct ir_node_settings {
	const char *host;    /* this host's name in the host list */
	const char *service; /* served by the local upstream */
	const char *region;
	const char *zone;
	uint32_t initial_slots; /* until configuration gives a number */
	/*
	 * By how much all hosts together may exceed an account's rate and
	 * burst: by a fraction of both and by a number of requests.
	 */
	double rate_tolerance_fraction;
	double rate_tolerance_requests; /* per window, beyond the fraction */
	double rate_tolerance_window_s;
	/* Interval between reads of the store; 0: the default. */
	int64_t store_read_period_us;
	/*
	 * A call belongs to a request running here if its attempt id is the
	 * attempt id of that request, this character and more text. 0: attempt
	 * ids are not compared.
	 */
	char child_separator;
	/* Calls without a key are treated as calls of the local upstream. */
	bool keyless_calls_from_upstream;
	struct ir_statement_headers statement_headers; /* not copied */
	bool cold_starts;     /* upstreams are cold after a start */
	bool ramp;	      /* raises the load slowly after a start */
	uint64_t incarnation; /* unique to this process start, above 0 */
	uint64_t seed;
	struct ir_memory *memory; /* NULL: the node creates its own */
	bool baseline_policy;	  /* for benchmarks only */
};

struct ir_node *ir_node_new(TALLOC_CTX *mem, int64_t now,
    const struct ir_node_settings *settings, const struct ir_node_ops *ops,
    void *ctx);

/* Callers. */
void ir_node_call(struct ir_node *n, int64_t now, const struct ir_call *in);
/*
 * The caller's connection was closed. The call gets no answer. reason is for
 * the log.
 */
void ir_node_caller_disconnected(
    struct ir_node *n, int64_t now, uint64_t id, const char *reason);

/* The local upstream. */
void ir_node_run_ended(struct ir_node *n, int64_t now, uint64_t run,
    const struct ir_run_result *res);
/* A status check ended. res NULL: it got no answer. */
void ir_node_upstream_checked(
    struct ir_node *n, int64_t now, const struct ir_check_result *res);

/* Peers. */
void ir_node_conn_established(struct ir_node *n, int64_t now, uint32_t conn);
void ir_node_conn_closed(struct ir_node *n, int64_t now, uint32_t conn);
/* Bytes of a large message moved, in either direction; see link.h. */
void ir_node_conn_progress(struct ir_node *n, int64_t now, uint32_t conn);
void ir_node_message_received(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m);

/*
 * The platform. The result of a read of the configuration service: the sections
 * that changed since the revision held by the node, or all of them.
 */
struct ir_section;
struct ir_store_read {
	int64_t request_sent_us; /* when the read was sent */
	bool is_host_list;	 /* the host list; false: the configuration */
	bool complete;		 /* all sections, not only those changed */
	uint64_t revision;	 /* of the last change passed to the node */
	/*
	 * Store revision up to which the read is complete. Greater than
	 * revision if the store's revision also rises without a change to
	 * these sections. 0: same as revision.
	 */
	uint64_t reached_revision;
	uint64_t era; /* of the answer, if has_era: see ir_store_page */
	bool has_era;
	const struct ir_section *sections;
	size_t section_count;
};
void ir_node_store_read(
    struct ir_node *n, int64_t now, const struct ir_store_read *r);
void ir_node_store_failed(
    struct ir_node *n, int64_t now, int64_t request_sent_us);
/* Whether to read the store: the node is a store reader, or has no view. */
bool ir_node_should_read_store(struct ir_node *n);
/*
 * Names of the services in the configuration, sorted, as an array under mem
 * that owns them; returns their number.
 */
size_t ir_node_service_names(struct ir_node *n, TALLOC_CTX *mem, char ***names);
/* Revisions of configuration and host list in force. */
void ir_node_revisions(
    const struct ir_node *n, uint64_t *config, uint64_t *list);

/* Call at least every 10 ms while work is in progress, else every 100 ms. */
void ir_node_tick(struct ir_node *n, int64_t now);

/*
 * Sends answers that send() had no room for, oldest first. Returns whether no
 * reply is left unsent. To be called when there may be room again, before
 * further messages of peers are passed on; ir_node_tick() sends all replies.
 */
bool ir_node_send_unsent(struct ir_node *n, int64_t now);
/*
 * Whether messages of peers may be passed on. False while too many replies are
 * unsent; all other events may be reported then.
 */
bool ir_node_may_receive(const struct ir_node *n);

/*
 * Starts a graceful shutdown. Refuses work from peers, finishes work in
 * progress and hands token buckets over. A new call, attempt or retry that
 * cannot end in time is refused, or not made.
 */
struct ir_stop_times {
	/* New calls of callers are refused from then on. Until then callers may
	   not know that the host is leaving. */
	int64_t refuse_us;
	int64_t finish_us; /* new calls of callers must end by then */
	int64_t end_us;	   /* all others are broken off */
};

void ir_node_stop(
    struct ir_node *n, int64_t now, const struct ir_stop_times *times);
/* Changes the rate tolerance while the node runs. Ignores all else in s. */
void ir_node_set_rate_tolerance(
    struct ir_node *n, const struct ir_node_settings *s);
/* True when a stopping node has no work left. */
bool ir_node_is_idle(const struct ir_node *n);
/*
 * True when the node has a view and may serve callers. Without any host in the
 * list it can only refuse them, and callers are better off elsewhere.
 */
bool ir_node_is_ready(struct ir_node *n, int64_t now);

/* State and counters as JSON. The caller frees them by json_object_put(). */
struct json_object *ir_node_state_json(struct ir_node *n, int64_t now);
struct json_object *ir_node_counters_json(const struct ir_node *n);
uint64_t ir_node_counter(const struct ir_node *n, enum ir_counter which);
const struct ir_histograms *ir_node_histograms(const struct ir_node *n);
/* Current values, for metrics. */
struct ir_node_gauges {
	int64_t calls; /* in flight, of callers and the local upstream */
	int64_t gate_running;
	int64_t gate_queued;
	int64_t gate_limit;
	/* As named by the upstream, in thousandths; -1: none. */
	int64_t upstream_rate_limit_mt_per_s;
	int64_t upstream_leaving; /* 1: it says so */
	int64_t upstream_ended;	  /* 1: and has not answered since */
	int64_t upstream_cold;	  /* enum ir_cold_state */
	int64_t upstream_slots;	  /* as reported with its speed; 0: unknown */
	/* Duration of work as reported, 100 is usual; -1: unknown. */
	int64_t upstream_work_percent;
	int64_t suspects; /* requests during which upstreams ended */
	int64_t hosts;	  /* in the host list */
	int64_t config_revision;
	int64_t list_revision;
	int64_t records;     /* attempts recorded by the gate */
	int64_t view_age_ms; /* since the last confirmation; -1: none */
};
void ir_node_gauges(struct ir_node *n, int64_t now, struct ir_node_gauges *out);

#endif
