/*
 * Declarations shared by the files of the core: the node, its calls, its
 * attempts, its peers and their connections.
 *
 * A call is a request from a caller, or from the local upstream (egress). An
 * attempt is one FORWARD of a call to the gate of one host, which may be this
 * host. A record (upstream/record.h) is the state that a gate keeps of an
 * attempt that it received.
 *
 * Unless said otherwise: now and fields in _us are microseconds of the
 * caller's clock, strings are never NULL, and functions that return a pointer
 * return NULL only where that is stated. No function here blocks.
 */
#ifndef IR_CORE_INTERNAL_H
#define IR_CORE_INTERNAL_H

#include "core/table.h"
#include <utlist.h>

#include "contract/issuer.h"
#include "contract/key.h"
#include "contract/rate_limiter.h"
#include "contract/retry.h"
#include "host/call_times.h"
#include "host/section.h"
#include "host/view_lease.h"
#include "ibisrail/counter.h"
#include "ibisrail/node.h"
#include "link/link.h"
#include "link/peer.h"
#include "upstream/cold_start.h"
#include "upstream/gate.h"
#include "upstream/load_report.h"
#include "upstream/record.h"
#include "upstream/statement.h"
#include "upstream/suspects.h"
#include "upstream/throttle.h"
#include "zone/balancer.h"
#include "zone/placement.h"

/* Connection number of messages that a node sends to itself. */
#define SELF_CONN 0
/* Messages to one peer that may be queued until its link is up. */
#define MAX_PENDING_MESSAGES 256
/* Hosts that one call may be sent to. */
#define MAX_TRIED_HOSTS 16

enum call_state {
	CALL_AWAITING_TOKEN, /* queued for a token of its client account */
	CALL_IN_FLIGHT	     /* its attempt is sent, or waits for a link */
};

struct call {
	uint64_t id; /* ir_call.id */
	bool egress;
	char *service;
	char *authority;	  /* "" if none */
	char *caller_attempt;	  /* the caller's id of its attempt, or "" */
	uint64_t config_revision; /* of the view that admitted it */
	char *method;
	char *path;
	char *account;	       /* "" on open routes */
	char *key_digest;      /* "" on open routes */
	char *idempotency_key; /* "" if none */
	bool first_attempt;    /* caller's claim, for the Idempotency-Key */
	bool idempotent;
	bool open;	     /* the route needs no key */
	uint32_t importance; /* ir_importance() */
	uint32_t rank;	/* shed rank, the same at every hop of the request */
	uint32_t depth; /* hops before this one; 0 for a caller's request */
	struct ir_request_id request;
	int64_t start_us;
	int64_t deadline_us;
	uint64_t route_hash;
	struct ir_header *headers;
	uint32_t header_count;
	uint8_t *body;
	uint32_t body_bytes;
	const char *const *regions; /* allowed ones, see region_set.h */
	uint64_t regions_hash;	    /* of the view they were last taken from */
	size_t accounted_bytes;	    /* in IR_MEMORY_CALLS */
	enum call_state state;
	struct ir_retry_quota own_retry_quota;
	struct ir_retry_quota *retry_quota; /* own, or the parent record's */
	struct ir_record *parent; /* run that made this call, or NULL */
	const char *tried_hosts[MAX_TRIED_HOSTS];
	uint32_t tried_count;	/* attempts begun; entries of tried_hosts */
	uint32_t sent_attempts; /* attempts whose FORWARD was sent */
	/* Attempts that an upstream may have seen. */
	uint32_t upstream_attempts;
	bool may_have_run;	 /* an earlier attempt may have run */
	struct attempt *attempt; /* the current one, or NULL */
	/* Earlier ones whose link was lost; they may still be answered. */
	struct attempt *lost_attempts;
	enum ir_error last_error;     /* not used */
	uint32_t last_retry_after_ms; /* not used */
	struct call *sibling_prev;    /* in the parent's list of children */
	struct call *sibling_next;
	struct call *wait_prev; /* in ir_node.token_waiters */
	struct call *wait_next;
	UT_hash_handle hh;
};

/*
 * How attempts tell their calls what became of them. Each but take_retry() may
 * end the call and free it.
 */
struct attempt_ops {
	/* Passes the upstream's answer to the caller. */
	void (*answer)(struct ir_node *n, int64_t now, struct call *c,
	    const struct ir_answer *a);
	/*
	 * A gate refused the attempt, which did not run: tries another host if
	 * e allows it, else fails the call.
	 */
	void (*not_run)(struct ir_node *n, int64_t now, struct call *c,
	    enum ir_error e, uint32_t retry_after_ms);
	/*
	 * Retries at another host after an attempt that ended in e. If there is
	 * no time, retry token or retry budget of the service left, give_up().
	 */
	void (*retry)(struct ir_node *n, int64_t now, struct call *c,
	    enum ir_error e, uint32_t retry_after_ms);
	/*
	 * Takes what a retry costs and returns the host to retry at. NULL if
	 * there is none, or no time, retry token or retry budget left.
	 */
	const struct ir_host *(*take_retry)(
	    struct ir_node *n, int64_t now, struct call *c);
	/*
	 * The current attempt ended in e and the call is not retried: waits for
	 * an earlier attempt whose link was lost, if there is one, else fails
	 * the call.
	 */
	void (*give_up)(struct ir_node *n, int64_t now, struct call *c,
	    enum ir_error e, uint32_t retry_after_ms);
	/*
	 * Answers the call with an error. An e that says "not run" becomes
	 * IR_E_HOST_LOST when an earlier attempt may have run. retry_after_ms
	 * 0: a default, where e lets the caller retry later.
	 */
	void (*fail)(struct ir_node *n, int64_t now, struct call *c,
	    enum ir_error e, uint32_t retry_after_ms);
};

enum attempt_state {
	ATTEMPT_UNSENT, /* not sent: the link is not up */
	ATTEMPT_SENT,
	ATTEMPT_LINK_LOST,	 /* sent, then the link was lost */
	ATTEMPT_STATUS_REQUESTED /* STATUS was sent on a new connection */
};

struct attempt {
	uint64_t sequence; /* unique in this process */
	struct call *call;
	struct peer *peer;
	enum attempt_state state;
	uint64_t gate_incarnation; /* process that the FORWARD was sent to */
	uint32_t retry_tokens;	   /* sent with the FORWARD */
	int64_t sent_us;
	struct attempt *prev; /* in the peer's list */
	struct attempt *next;
	struct attempt *lost_prev; /* in the call's lost_attempts */
	struct attempt *lost_next;
	UT_hash_handle hh;
};

/* An encoded message that waits to be sent. */
struct pending_message {
	uint8_t *data;
	size_t size_bytes;
	struct pending_message *next;
};

struct peer {
	char *name;
	struct ir_link link;
	struct attempt *attempts;
	struct pending_message *pending; /* oldest first */
	uint32_t pending_count;
	bool hello_due;		   /* on the current connection; had no room */
	uint64_t suspects_sent;	   /* revision that its process was sent */
	bool takes_suspects;	   /* its process handles SUSPECT_REPORT */
	bool takes_notices;	   /* its process handles UPSTREAM_NOTICE */
	bool takes_regions;	   /* its process handles REGION_FORWARD */
	bool notice_due;	   /* had no room */
	bool status_due;	   /* of some attempts; had no room */
	uint32_t view_request_xid; /* of the unanswered VIEW_REQUEST, or 0 */
	int64_t view_request_sent_us;
	bool view_report_only; /* it asked for no sections */
	UT_hash_handle hh;
};

struct conn {
	uint32_t id;
	struct peer *peer; /* of a connection that this node made, or NULL */
	char *hello_host;  /* sender of an accepted HELLO, or NULL */
	UT_hash_handle hh;
};

struct service_retry_budget {
	char *service;
	struct ir_retry_budget budget;
	UT_hash_handle hh;
};

/* Fixed share of an account's rate at one host; baseline policy only. */
struct static_share {
	char *account;
	struct ir_bucket *bucket;
	uint64_t sequence;
	UT_hash_handle hh;
};

/* The upstream of this host, as its answers describe it. */
struct local_upstream {
	char id[IR_MAX_NAME + 1]; /* as listed last, or "" */
	int64_t since_us;	  /* when it was first listed */
	bool ended;		  /* and has not answered since */
	int64_t ended_us;
	bool answered; /* since then, to this process */
	struct ir_upstream_status status;
	struct ir_upstream_load load; /* as it reports it */
	uint64_t crash_count;	      /* its ends, since this process started */
	int64_t crashed_us;	      /* last time */
	struct ir_cold_start cold;
	enum ir_cold_state cold_state; /* as logged and applied last */
	bool misdirected; /* an answer named another upstream than listed */
	bool evacuated;	  /* its zone, in the view applied last */
};

struct ir_node {
	struct ir_node_settings settings;
	struct ir_host placeholder_self; /* this host while not listed */
	struct ir_node_ops ops;
	void *ctx; /* for ops */
	struct ir_counters counters;
	struct ir_histograms histograms;
	struct ir_sections *sections;
	struct ir_view_lease *view_lease;
	struct ir_balancer *balancer;	      /* picks hosts */
	struct ir_rate_limiter *rate_limiter; /* of client accounts */
	struct ir_issuer *issuer;	      /* of rate tokens */
	struct ir_gate *gate;
	/* Refuses requests whose callees are overloaded. */
	struct ir_throttle *callee_throttle;
	struct ir_records *records;
	struct local_upstream upstream;
	struct ir_suspects *suspects;
	int64_t suspects_expired_us;
	uint64_t random_state;
	uint64_t next_attempt_sequence;
	uint64_t next_run_id;
	uint32_t next_xid;
	uint32_t next_conn; /* even; the I/O side uses odd numbers */
	struct call *calls;
	struct call *token_waiters; /* oldest first */
	struct attempt *attempts;
	const struct attempt_ops *attempt_ops;
	struct peer *peers;
	struct conn *conns;
	struct service_retry_budget *retry_budgets;
	struct static_share *static_shares;
	struct unsent_reply *unsent_replies; /* oldest first */
	uint32_t unsent_reply_count;
	struct pending_message *self_head; /* to this node, oldest first */
	struct pending_message *self_tail;
	int64_t now_us; /* time of the event being handled */
	int64_t start_us;
	int64_t last_view_poll_us;
	int64_t sections_requested_us; /* last time */
	char *sections_source;	       /* host that they were requested from */
	uint32_t view_source_tries;    /* polls since the last VIEW reply */
	/* Of a reader whose reads fail: last request to a deputy, and since
	   when no confirmation has been recent. */
	int64_t deputy_polled_us;
	int64_t deputy_since_us;
	int64_t asked_to_read_us; /* by a reader, last time; INT64_MIN: never */
	/* A poll was skipped to let the link to its source come up. */
	bool view_source_waited;
	/* Last change to the hosts of this service or to allowed regions. */
	int64_t hosts_changed_us;
	uint64_t seen_host_changes; /* as of ir_sections_host_changes() */
	uint64_t seen_regions;	    /* ir_view.regions_hash */
	int64_t lease_valid_us; /* last time that the view's lease was valid */
	/*
	 * Earliest time at which the list may have marked this host as
	 * leaving; 0 while it is live.
	 */
	int64_t leaving_since_us;
	enum ir_view_state view_state;	  /* as logged last */
	uint64_t handled_config_revision; /* of the view applied last */
	uint64_t handled_list_revision;
	/* Of the view applied last, sorted; a change of them is logged. */
	const char **evacuated_zones;
	size_t evacuated_zone_count;
	uint64_t seen_accounts; /* not used */
	bool store_down;	/* the last store read failed */
	bool view_received;	/* a peer has answered a VIEW_REQUEST */
	bool runs_to_start;	/* records wait in IR_RECORD_STARTING */
	bool stopping;
	struct ir_stop_times stop_times;
	struct ir_call_times call_times;
};

/* context.c */
const struct ir_view *node_view(struct ir_node *n);
/* This host's entry in the list, or NULL when it is not listed. */
const struct ir_host *node_self(struct ir_node *n);
/*
 * This host's entry in the list or, when it is not listed, a leaving host
 * with this host's name, service, region and zone.
 */
const struct ir_host *node_self_or_placeholder(struct ir_node *n);
/*
 * Whether a host that is not listed still serves its callers. If the fleet's
 * unconfirmed_view is "serve", a host is removed from the list when its
 * upstream ends, but its callers still send requests to it.
 */
bool node_serves_unlisted(struct ir_node *n);
/* Pseudo-random, repeatable from settings.seed. Not for secrets. */
uint64_t node_random(struct ir_node *n);
/* Uniform in base_ms to 2 * base_ms, so that retries spread out. */
uint32_t node_jitter_ms(struct ir_node *n, uint32_t base_ms);
/* Always IR_VIEW_CONFIRMED in the baseline policy. */
enum ir_view_state node_view_state(struct ir_node *n, int64_t now);
/* Size of the buffer for node_log_id(), with the terminating NUL. */
#define NODE_LOG_ID_BYTES (IR_MAX_CALLER_ATTEMPT + 1)
/*
 * The id under which a request is logged: caller_attempt unless it is NULL or
 * empty, else the request id in hexadecimal, written to buffer.
 */
const char *node_log_id(char *buffer, const char *caller_attempt,
    const struct ir_request_id *request);
/* Logs an event; fmt yields name=value pairs, cut off at 1023 bytes. */
void node_log(struct ir_node *n, enum ir_event e, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/*
 * IR_OK when a request with this key may act for this account now, else
 * IR_E_VIEW_UNCONFIRMED, IR_E_NO_KEY or IR_E_KEY_UNKNOWN. With an unconfirmed
 * view requests of open routes are refused too, as this host may by now be
 * listed as leaving.
 */
enum ir_error node_check_key(struct ir_node *n, int64_t now, bool open,
    const char *account, const char *key_digest);

/* load.c */
/*
 * The load to report to peers. While memory is short or the zone is evacuated,
 * both shed levels are UINT32_MAX, so that they send no new work.
 */
struct ir_load node_load(struct ir_node *n, int64_t now, const char *account);

/* evacuation.c */
/* Whether the zone of this host is evacuated, as far as the host is listed. */
bool evacuation_is_here(struct ir_node *n);
/*
 * IR_E_WRONG_GATE, counted, if the zone of this host is evacuated, else IR_OK.
 * The error has no kind of its own: peers of previous builds take an unknown
 * kind for an unknown outcome.
 */
enum ir_error evacuation_check(struct ir_node *n);
/* Logs the changes of a new view; refuses queued work of an evacuated zone. */
void evacuation_view_changed(
    struct ir_node *n, int64_t now, const struct ir_view *v);

/* children.c */
/* Adds c to, or removes it from, the calls that the run of r waits for. */
void children_add(struct ir_record *r, int64_t now, struct call *c);
void children_remove(struct ir_record *r, int64_t now, struct call *c);

/* admit.c */
/*
 * Returns the running record whose caller gave the attempt id that precedes the
 * last settings.child_separator in attempt. NULL if no record has that id,
 * attempt is NULL or no separator is set.
 */
/* Identifies a route to tables of limited size; authority and path only. */
uint64_t admit_hash_route(const struct ir_route *route);
struct ir_record *admit_find_parent(struct ir_node *n, const char *attempt);
/*
 * IR_E_TOO_LARGE when a part of the call exceeds its bound in the peer
 * protocol, else IR_OK. Checked before admission, so that the caller gets this
 * error.
 */
enum ir_error admit_check_sizes(const struct ir_call *in);
/* Copies a call, under n. NULL if out of memory. */
struct call *admit_copy_call(
    struct ir_node *n, int64_t now, const struct ir_call *in);
/*
 * Checks route, key and parent of a call and sets the fields that depend on
 * them: deadline, account, importance, retry tokens. On an error the call may
 * already be linked to its parent; children_remove() then unlinks it.
 */
enum ir_error admit_call(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_call *in);

/* call.c: each but call_accept() may end the call and free it. */
extern const struct attempt_ops call_attempt_ops;
/* A request of a caller or of the local upstream. */
void call_accept(struct ir_node *n, int64_t now, const struct ir_call *in);
/* Ends the call without an answer: its caller has disconnected. */
void call_disconnected(
    struct ir_node *n, int64_t now, uint64_t id, const char *reason);
/*
 * Fails the call before its attempt was answered: with not_run if no attempt
 * was sent, else with IR_E_TIMEOUT.
 */
void call_abort(
    struct ir_node *n, int64_t now, struct call *c, enum ir_error not_run);
/* Aborts the calls whose deadline has passed. */
void call_tick(struct ir_node *n, int64_t now);
/* Tries the account's calls that wait for tokens, in order of arrival. */
void call_retry_token_waiters(
    struct ir_node *n, int64_t now, const char *account);

/* attempt.c */
/*
 * Begins an attempt at h; sends it at once, or when the link comes up. If there
 * is no room for it then, the call is retried elsewhere or fails as overload.
 */
void attempt_start(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_host *h);
/*
 * The link to p came up: sends the unsent attempts and requests the status of
 * those sent before it was lost. If p has restarted, these are retried when
 * idempotent, and fail otherwise.
 */
void attempt_link_up(struct ir_node *n, int64_t now, struct peer *p);
/*
 * The link to p was lost: retries attempts that were not sent, and idempotent
 * ones that may be retried elsewhere. All that were sent wait for
 * attempt_link_up(); the first answer to any attempt of a call ends it.
 */
void attempt_link_lost(struct ir_node *n, int64_t now, struct peer *p);
/*
 * Handles an ANSWER or STATUS_REPLY of p, matched by its attempt id. Replies
 * that no attempt waits for are ignored.
 */
void attempt_handle_reply(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_reply *r);
/* Sends CANCEL if the attempt was sent, and frees the attempt. */
void attempt_cancel(struct ir_node *n, int64_t now, struct attempt *a);
/* The retry budget toward a service, created on first use. */
struct ir_retry_budget *attempt_retry_budget(
    struct ir_node *n, const char *service);

/* serve.c */
/*
 * node_check_key() for a forwarded request. A key unknown here is accepted
 * when the origin admitted it by a later configuration; one that has moved to
 * another account, always.
 */
enum ir_error serve_check_key(
    struct ir_node *n, int64_t now, const struct ir_forward *f);
/* Sets the account to the one that has the key in the later configuration. */
void serve_update_account(struct ir_node *n, struct ir_forward *f);
/*
 * IR_OK if the request may run in this region, else IR_E_WRONG_GATE, which
 * earlier versions also know.
 */
enum ir_error serve_check_regions(struct ir_node *n, struct ir_record *r);
extern const struct ir_gate_ops serve_gate_ops;
/*
 * FORWARD: if the attempt has a record, answers from the record; otherwise
 * checks the attempt and offers it to the gate.
 */
void serve_forward(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_forward *f);
/* REGION_FORWARD: the same within the regions that the origin knows of. */
void serve_region_forward(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_region_forward *f);
/*
 * STATUS: an origin requests the status of an attempt whose connection was
 * lost. One that was never received is recorded as refused, so that it cannot
 * run later. One meant for an earlier process at this host gets no reply.
 */
void serve_status(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_attempt_ref *r);
/* Ends a record with e, aborts its child calls and sends its answer. */
void serve_finish_record(struct ir_node *n, int64_t now, struct ir_record *r,
    enum ir_error e, uint32_t retry_after_ms);
/*
 * Sends answers that had no room, oldest first. Returns whether all were sent.
 */
bool serve_send_unsent(struct ir_node *n, int64_t now);

/* run.c */
/* Starts the runs to which the gate has given slots. */
void run_start_all(struct ir_node *n, int64_t now);
void run_ended(struct ir_node *n, int64_t now, uint64_t run,
    const struct ir_run_result *res);
/* CANCEL: ends the attempt, unless it runs with an Idempotency-Key. */
void run_cancel(struct ir_node *n, int64_t now, const struct ir_attempt_ref *r);
/* Aborts what is past its deadline, and ticks the gate and the records. */
void run_tick(struct ir_node *n, int64_t now);

/* local_upstream.c */
/*
 * Follows whether the upstream runs, and what a complete answer of it, also one
 * that refuses the run, says.
 */
void local_upstream_run_ended(struct ir_node *n, int64_t now,
    const struct ir_record *r, const struct ir_run_result *res);
/*
 * UPSTREAM_NOTICE: a peer was told this by an earlier process of this host. It
 * holds until an answer says otherwise.
 */
void local_upstream_handle_notice(
    struct ir_node *n, int64_t now, const struct ir_upstream_notice *notice);
/* Whether its answers say that it leaves. */
bool local_upstream_is_leaving(const struct ir_node *n, int64_t now);
/* Applies the process's start, to be called before any other event. */
void local_upstream_init(struct ir_node *n, int64_t now);
void local_upstream_run_started(struct ir_node *n, int64_t now);
/* A run was cancelled. */
void local_upstream_run_dropped(
    struct ir_node *n, int64_t now, const struct ir_record *r);
/* Result of a status check. */
void local_upstream_checked(
    struct ir_node *n, int64_t now, const struct ir_check_result *res);
void local_upstream_tick(struct ir_node *n, int64_t now);
/* Whether the upstream is taken for cold. */
bool local_upstream_is_cold(const struct ir_node *n);
/* Time for which it is expected to stay cold; 0 if not known. */
int64_t local_upstream_cold_remaining_ms(const struct ir_node *n, int64_t now);
/* Forgets what an upstream said when another one is listed in its place. */
void local_upstream_view_changed(
    struct ir_node *n, int64_t now, const struct ir_host *self);

/* suspect_reports.c */
/* Retry-After of a refused request: an upstream's repair takes longer. */
#define SUSPECT_RETRY_MS 30000
/* Counts the end of the upstream, or an answer, for the request of r. */
void suspects_run_ended(struct ir_node *n, int64_t now,
    const struct ir_record *r, enum ir_run_end end);
/* Whether the request has ended too many upstreams to be run. */
bool suspects_refuse(
    const struct ir_node *n, int64_t now, const struct ir_forward *f);
/* SUSPECT_REPORT of a host of this service. */
void suspects_handle_report(
    struct ir_node *n, int64_t now, const struct ir_suspect_report *m);
/* Tells hosts of this service what they have not been told. */
void suspects_tick(struct ir_node *n, int64_t now);

/* regions.c */
/*
 * Sets the allowed regions of a call that was admitted: those of its route, of
 * its account (on an open route, of the account with this key) and of the run
 * that made it. key may be NULL.
 */
void regions_admit_call(struct ir_node *n, struct call *c, const char *key);
/* Takes what the view has allowed less since then; cheap if nothing. */
void regions_update_call(struct ir_node *n, struct call *c);
/*
 * Whether the call is refused for its regions: they exclude all live hosts of
 * the service, or are none.
 */
bool regions_exclude_all(const struct call *c, const struct ir_service *s);
/* Whether the peer is in a region of the call and can be told the regions. */
bool regions_may_send(
    struct ir_node *n, const struct call *c, const struct peer *p);
/*
 * Whether the request of a record that is not done may run here. First makes
 * the record's set smaller by what this node's view allows.
 */
bool regions_accept_record(struct ir_node *n, struct ir_record *r);
/* Whether a repeat of a request that has a record may be answered here. */
bool regions_accept_repeat(
    struct ir_node *n, const struct ir_forward *f, const char *const *regions);
/* Counts and logs a refusal at "entry" or "gate". */
void regions_log_refused(struct ir_node *n, const char *at,
    const char *caller_attempt, const struct ir_request_id *request,
    const char *service, const char *account, const char *const *regions);

/* peers.c */
/* The peer of that name, created on first use. NULL if out of memory. */
struct peer *peer_get(struct ir_node *n, const char *host);
/* Connects the link if it is down and may be connected; true if it is up. */
bool peer_ensure_link(struct ir_node *n, int64_t now, struct peer *p);
/*
 * Like peer_ensure_link(), for periodic messages that themselves detect a
 * silent peer: the link sends no heartbeats for them.
 */
bool peer_ensure_link_for_poll(struct ir_node *n, int64_t now, struct peer *p);
/*
 * Sends a message on a link that is up. Returns its xid; 0 when there is no
 * room for it now, and then the link does not count as used.
 */
uint32_t peer_send(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m);
/*
 * Sends a message now, or queues it while the link is being connected. False
 * when the link stays down, there is no room, the queue is full or memory is
 * short.
 */
bool peer_send_or_queue(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m);
/* The same, but also queues it when the link is up and there is no room. */
bool peer_send_or_keep(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m);
/*
 * Replies on the connection that the request came on, if it still exists. False
 * when there is no room for the reply now.
 */
bool peer_reply(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_msg *m);
bool peer_is_self(struct ir_node *n, const struct peer *p);

/* The connection with this number, or NULL. */
struct conn *peer_conn_find(struct ir_node *n, uint32_t id);
/* p: the peer that this node connected to, or NULL. NULL if out of memory. */
struct conn *peer_conn_add(struct ir_node *n, uint32_t id, struct peer *p);
void peer_conn_remove(struct ir_node *n, struct conn *c);
void peer_connect(struct ir_node *n, int64_t now, struct peer *p);
/* Closes the connection of the peer's link, if it has one. */
void peer_disconnect(struct ir_node *n, struct peer *p);
/* Sends, or forgets, the messages that wait for the link. */
void peer_send_pending(struct ir_node *n, int64_t now, struct peer *p);
void peer_drop_pending(struct peer *p);

/* pending.c */
/* Encodes a message for later, under mem. NULL if out of memory. */
struct pending_message *pending_message_new(
    TALLOC_CTX *mem, uint32_t xid, const struct ir_msg *m);

/* unsent.c */
/* Replies; when there is no room now, keeps the reply until it is sent. */
void unsent_reply(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_msg *m);
/*
 * Keeps a message until there may be room: a reply to send, or a request to
 * handle again. Dropped if out of memory.
 */
void unsent_keep(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_msg *m);
/* Handles a request that was kept again. */
typedef void (*unsent_repeat_fn)(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m);
/* Sends what is kept, oldest first. Returns whether nothing is left. */
bool unsent_send(struct ir_node *n, int64_t now, unsent_repeat_fn repeat);

/* self.c */
/* Queues a message to this node; dropped if out of memory. */
void self_send(struct ir_node *n, uint32_t xid, const struct ir_msg *m);
/* Takes the oldest one, which the caller frees; NULL if there is none. */
struct pending_message *self_next(struct ir_node *n);

/* control.c */
/* Result of a read of the store. */
void control_store_read(
    struct ir_node *n, int64_t now, const struct ir_store_read *r);
void control_store_failed(
    struct ir_node *n, int64_t now, int64_t request_sent_us);
/*
 * Handles a VIEW, GRANT or HANDOVER message or its request; others are
 * ignored. p is the peer that a reply came from, NULL for requests.
 */
void control_handle_message(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const char *from, struct peer *p, const struct ir_msg *m);
/* Requests the view of p at once when p reports a later revision. */
void control_check_peer_revisions(struct ir_node *n, int64_t now,
    struct peer *p, uint64_t config, uint64_t list);
/* Records whether the lease is valid now; to be called before it changes. */
void control_update_lease(struct ir_node *n, int64_t now);
void control_tick(struct ir_node *n, int64_t now);
/* Applies the view if its revisions changed since the last call. */
void control_view_changed(struct ir_node *n, int64_t now);
/* Callbacks of ir_rate_limiter_ops; ctx is the node. */
void control_retry_token_waiters(void *ctx, int64_t now, const char *account);
bool control_send_token_request(void *ctx, int64_t now,
    const struct ir_host *issuer, const struct ir_grant_request *request);

/* links.c */
/* Events of connections, see ir_node_conn_established() and others. */
void link_conn_established(struct ir_node *n, int64_t now, uint32_t conn);
void link_conn_closed(struct ir_node *n, int64_t now, uint32_t conn);
void link_conn_progress(struct ir_node *n, int64_t now, uint32_t conn);
/* HELLO and HEARTBEAT of a peer, and its replies to those of this node. */
void link_hello(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_hello *h);
void link_hello_reply(struct ir_node *n, int64_t now, struct peer *p,
    const struct ir_hello_reply *r);
void link_heartbeat(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const char *from, const struct ir_heartbeat *h);
void link_heartbeat_reply(struct ir_node *n, int64_t now, struct peer *p,
    const struct ir_heartbeat *h);
void link_tick(struct ir_node *n, int64_t now);

/* dispatch.c */
void dispatch_message(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m);
/* Handles a request that was kept again, if its connection still exists. */
void dispatch_repeat_request(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m);
/* Handles the messages to this node, and those queued while doing so. */
void dispatch_own_messages(struct ir_node *n, int64_t now);

#endif
