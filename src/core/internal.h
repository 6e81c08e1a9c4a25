/*
 * What the files of the core share: the node, its calls, its attempts at
 * other hosts, its peers.
 *
 * A call is a request from a caller or from the local upstream. An attempt is
 * one try of a call at one gate, the own one included. A record (see
 * upstream/record.h) is what the gate keeps of an attempt that came in.
 */
#ifndef IR_CORE_INTERNAL_H
#define IR_CORE_INTERNAL_H

#include "core/table.h"
#include <utlist.h>

#include "contract/key.h"
#include "contract/ledger.h"
#include "contract/mint.h"
#include "contract/wallet.h"
#include "host/section.h"
#include "host/view_lease.h"
#include "ibisrail/counter.h"
#include "ibisrail/node.h"
#include "link/link.h"
#include "link/peer.h"
#include "upstream/gate.h"
#include "upstream/record.h"
#include "upstream/vain.h"
#include "zone/balancer.h"
#include "zone/placement.h"

/* Connection number of messages that a node sends to itself. */
#define SELF_CONN 0
/* Messages that wait for a link to come up. */
#define MAX_PENDING 256
/* Hosts that one call may be sent to. */
#define MAX_TRIED 16

enum call_state {
	CALL_TOKEN, /* waits for a token of its account */
	CALL_OUT    /* an attempt is out, or waits for its link */
};

struct call {
	uint64_t id;
	bool egress;
	char *service;
	char *authority;
	char *caller_attempt;
	uint64_t config_revision; /* by which it was admitted */
	char *method;
	char *path;
	char *account; /* "" on open routes */
	char *key_digest;
	char *idempotency_key; /* "" without one */
	bool first_attempt;
	bool idempotent;
	bool open;
	uint32_t importance;
	uint32_t rank;
	uint32_t depth;
	struct ir_request_id request;
	int64_t start_us;
	int64_t deadline_us;
	struct ir_header *headers;
	uint32_t header_count;
	uint8_t *body;
	uint32_t body_bytes;
	size_t held_bytes; /* of this call, counted */
	enum call_state state;
	struct ir_ledger own;
	struct ir_ledger *ledger; /* own, or that of the parent's record */
	struct ir_record *parent; /* egress only */
	const char *tried[MAX_TRIED];
	uint32_t tried_count;
	uint32_t sent_count;
	uint32_t upstream_count; /* attempts that an upstream may have seen */
	bool doubt;		 /* an earlier attempt may have run */
	struct attempt *out;
	enum ir_error last_error; /* of the last attempt that was refused */
	uint32_t last_retry_after_ms;
	struct call *sibling_prev; /* among the parent's calls */
	struct call *sibling_next;
	struct call *wait_prev; /* among the calls that wait for tokens */
	struct call *wait_next;
	UT_hash_handle hh;
};

enum attempt_state {
	ATTEMPT_LINK, /* not sent: the link is not up */
	ATTEMPT_SENT,
	ATTEMPT_DOUBT, /* sent, and the link was lost */
	ATTEMPT_ASKED  /* status was asked on a new connection */
};

struct attempt {
	uint64_t sequence;
	struct call *call;
	struct peer *peer;
	enum attempt_state state;
	uint64_t gate_incarnation;
	uint32_t lent;
	int64_t sent_us;
	struct attempt *prev; /* among the peer's */
	struct attempt *next;
	UT_hash_handle hh;
};

/* A message that waits for a link, encoded. */
struct pending {
	uint8_t *data;
	size_t size_bytes;
	struct pending *next;
};

struct peer {
	char *name;
	struct ir_link link;
	struct attempt *attempts;
	struct pending *pending;
	uint32_t pending_count;
	uint32_t view_xid; /* of the VIEW_REQUEST that is out, or 0 */
	int64_t view_asked_us;
	UT_hash_handle hh;
};

struct conn {
	uint32_t id;
	struct peer *peer; /* of a connection that this node made */
	char *host;	   /* greeted name on an accepted one, or NULL */
	UT_hash_handle hh;
};

struct service_budget {
	char *service;
	struct ir_retry_budget budget;
	UT_hash_handle hh;
};

/* Static share of an account's rate at one host, baseline policy only. */
struct share {
	char *account;
	struct ir_bucket *bucket;
	uint64_t sequence;
	UT_hash_handle hh;
};

struct ir_node {
	struct ir_node_settings settings;
	struct ir_host place; /* stands for this host while it is not listed */
	struct ir_node_ops ops;
	void *ctx;
	struct ir_counters counters;
	struct ir_histograms histograms;
	struct ir_sections *sections;
	struct ir_view_lease *lease;
	struct ir_balancer *chooser;
	struct ir_wallet *wallet;
	struct ir_mint *mint;
	struct ir_gate *gate;
	struct ir_vain *vain;
	struct ir_records *records;
	uint64_t random;
	uint64_t next_attempt;
	uint64_t next_run;
	uint32_t next_xid;
	uint32_t next_conn;
	struct call *calls;
	struct call *waiting;
	struct attempt *attempts;
	struct peer *peers;
	struct conn *conns;
	struct service_budget *budgets;
	struct share *shares;
	struct pending *self_head; /* messages to itself, oldest first */
	struct pending *self_tail;
	int64_t now_us; /* of the event being handled */
	int64_t start_us;
	int64_t view_poll_us; /* last VIEW_REQUEST of the poll */
	uint32_t view_try;
	bool view_waited;	  /* for the link to that source */
	int64_t hosts_changed_us; /* last change to the own service's hosts */
	uint64_t hosts_changes;
	int64_t lease_ok_us; /* when the view's lease was last seen to hold */
	int64_t leaving_us;  /* since when the list may have it leaving; 0: not
			      */
	enum ir_view_state view_state;
	uint64_t seen_config; /* revisions of the last view handled */
	uint64_t seen_list;
	uint64_t seen_accounts;
	bool store_down;
	bool heard_view; /* a peer has told all that it holds */
	bool starting;	 /* the gate gave slots that are not yet used */
	bool stopping;
	int64_t refuse_us; /* stopping: callers are refused from then on */
};

/* node.c */
const struct ir_view *node_view(struct ir_node *n);
/* This host as the list has it, or NULL. */
const struct ir_host *node_self(struct ir_node *n);
/* The same, or a stand-in that tells where this host is. */
const struct ir_host *node_place(struct ir_node *n);
/*
 * Whether hosts that the list does not name serve their callers all the same:
 * a host whose upstream has ended is no place for work, but still an entry.
 */
bool node_serves_unlisted(struct ir_node *n);
uint64_t node_random(struct ir_node *n);
uint32_t node_jitter_ms(struct ir_node *n, uint32_t base_ms);
enum ir_view_state node_view_state(struct ir_node *n, int64_t now);
/* The id that logs know a request by: the caller's own, or the request's. */
#define NODE_ID_BYTES (IR_MAX_CALLER_ATTEMPT + 1)
const char *node_id_text(char *buffer, const char *caller_attempt,
    const struct ir_request_id *request);
void node_log(struct ir_node *n, enum ir_event e, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
struct ir_load node_load(struct ir_node *n, int64_t now, const char *account);
void node_finish(struct ir_node *n, int64_t now);
/*
 * IR_OK when a request of this account and key may act now. An unconfirmed
 * view stops open routes too: this host itself may be listed as leaving.
 */
enum ir_error node_key_check(struct ir_node *n, int64_t now, bool open,
    const char *account, const char *key_digest);

/* admit.c */
/*
 * Bounds that the peer protocol sets too, checked where the caller is told.
 */
/* The running request whose attempt id this one extends, or NULL. */
struct ir_record *admit_parent(struct ir_node *n, const char *attempt);
enum ir_error admit_check(const struct ir_call *in);
/* A copy of what the caller sent. NULL without memory. */
struct call *admit_new(
    struct ir_node *n, int64_t now, const struct ir_call *in);
/* Sets what the call may do; on an error it may have a parent already. */
enum ir_error admit_call(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_call *in);

/* call.c */
void call_try(struct ir_node *n, int64_t now, struct call *c);
void call_refused(struct ir_node *n, int64_t now, struct call *c,
    enum ir_error e, uint32_t retry_after_ms);
void call_end(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_answer *a);
void call_fail(struct ir_node *n, int64_t now, struct call *c, enum ir_error e,
    uint32_t retry_after_ms);
void call_give_up(
    struct ir_node *n, int64_t now, struct call *c, enum ir_error not_run);
void call_retry(struct ir_node *n, int64_t now, struct call *c, enum ir_error e,
    uint32_t retry_after_ms);
void call_drop(struct ir_node *n, int64_t now, struct call *c);
void call_tick(struct ir_node *n, int64_t now);
void call_wake_waiting(struct ir_node *n, int64_t now, const char *account);

/* attempt.c */
void attempt_start(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_host *h);
void attempt_link_up(struct ir_node *n, int64_t now, struct peer *p);
void attempt_link_lost(struct ir_node *n, int64_t now, struct peer *p);
void attempt_answered(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_reply *r);
/* Tells the gate that no answer is wanted, and forgets the attempt. */
void attempt_abandon(struct ir_node *n, int64_t now, struct attempt *a);
struct ir_retry_budget *attempt_budget(struct ir_node *n, const char *service);

/* serve.c */
/* Whether the key that came with the request still stands. */
enum ir_error serve_key_check(
    struct ir_node *n, int64_t now, const struct ir_forward *f);
void serve_child_began(struct ir_record *r, int64_t now, struct call *c);
void serve_child_ended(struct ir_record *r, int64_t now, struct call *c);
extern const struct ir_gate_ops serve_gate_ops;
void serve_forward(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_forward *f);
void serve_status(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_attempt_ref *r);
void serve_cancel(
    struct ir_node *n, int64_t now, const struct ir_attempt_ref *r);
/* Ends a record with its answer, sends that and drops its children. */
void serve_end_record(struct ir_node *n, int64_t now, struct ir_record *r,
    enum ir_error e, uint32_t retry_after_ms);
void serve_tick(struct ir_node *n, int64_t now);

/* run.c */
/* A run ended so; the record still has its request. */
void serve_log_ended(struct ir_node *n, int64_t now, const struct ir_record *r,
    enum ir_error e, unsigned status);
/* Starts the runs for which the gate gave slots. */
void serve_started(struct ir_node *n, int64_t now);

/* peers.c */
struct peer *peer_get(struct ir_node *n, const char *host);
/* Wants the link up; true when it is. */
bool peer_want(struct ir_node *n, int64_t now, struct peer *p);
/* The same for polls, which find a silent peer without heartbeats. */
bool peer_keep(struct ir_node *n, int64_t now, struct peer *p);
/* Sends a call message on a link that is up. Returns its xid. */
uint32_t peer_send(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m);
/* Sends now or when the link comes up; false when it cannot be kept. */
bool peer_send_later(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m);
void peer_reply(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_msg *m);
void peer_tick(struct ir_node *n, int64_t now);
bool peer_is_self(struct ir_node *n, const struct peer *p);

/* A message encoded for later; NULL when it cannot be kept. */
struct pending *peer_pending_new(
    TALLOC_CTX *mem, uint32_t xid, const struct ir_msg *m);
/* Handle a message that a peer, or the node itself, sent. */
void peer_call_message(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const char *from, const struct ir_msg *m);
void peer_reply_message(struct ir_node *n, int64_t now, struct peer *p,
    uint32_t xid, const struct ir_msg *m);

/* self.c */
void self_send(struct ir_node *n, uint32_t xid, const struct ir_msg *m);
/* Handles what the node sent to itself, and what that leads to. */
void self_drain(struct ir_node *n, int64_t now);

/* control.c */
void control_message(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const char *from, struct peer *p, const struct ir_msg *m);
void control_revisions_seen(struct ir_node *n, int64_t now, struct peer *p,
    uint64_t config, uint64_t list);
void control_note_lease(struct ir_node *n, int64_t now);
void control_tick(struct ir_node *n, int64_t now);
void control_view_changed(struct ir_node *n, int64_t now);
void control_grant_ready(void *ctx, int64_t now, const char *account);
bool control_grant_ask(void *ctx, int64_t now, const struct ir_host *minter,
    const struct ir_grant_request *ask);

#endif
