/*
 * A few nodes in one process, with a message queue and a clock of its own.
 *
 * No capacity or latency is modelled: a message takes one fixed delay, a run
 * takes what the test says. Faults are placed by the test: kill, pause, cut,
 * silence, delay, duplicate, drop, store down or stale, list lagging.
 *
 * The oracle knows only what was published, sent, run and answered. It fails
 * the test (fleet_fail) when a promise is broken.
 */
#ifndef TEST_FLEET_H
#define TEST_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/node.h"
#include "link/peer.h"

#define FLEET_MAX_NODES 16
#define FLEET_MAX_CALLS 20000
#define FLEET_TICK_US 10000
#define FLEET_KEY_WITHDRAWN_US (3 * IR_US_PER_S)
#define FLEET_LEAVING_US (4 * IR_US_PER_S)
#define FLEET_CONVERGED_US (6 * IR_US_PER_S)
#define FLEET_MAX_RATES 64
#define FLEET_MAX_ATTEMPTS 60000

/* Steps at which a fault can be placed. */
enum fleet_step {
	STEP_CALL_RECEIVED,   /* a caller's request reaches its node */
	STEP_SENT,	      /* a message leaves a node */
	STEP_RECEIVED,	      /* a message is about to be handled */
	STEP_RUN_STARTED,     /* the upstream starts a run */
	STEP_EGRESS_CALL,     /* the upstream calls on to another service */
	STEP_RUN_ENDED,	      /* the upstream's answer is about to be handled */
	STEP_CALLER_ANSWERED, /* the caller got its answer */
	STEP_STORE_READ	      /* a store read is about to be handled */
};

struct fleet_step_event {
	enum fleet_step step;
	int node;	       /* where it happens */
	int peer;	       /* the other end of a message, or -1 */
	enum ir_msg_kind kind; /* of a message */
};

/* How the upstream of a node behaves. */
enum fleet_upstream_mode {
	UPSTREAM_OK,
	UPSTREAM_SHEDS,
	UPSTREAM_BREAKS_CONNECTION, /* runs, and breaks the connection */
	UPSTREAM_HANGS		    /* runs, and never answers */
};

struct fleet_call {
	uint64_t id;
	int node;
	bool egress;
	bool needs_key;
	bool idempotent;
	char marker[24]; /* in the path, echoed in the answer */
	int64_t sent_us;
	int64_t deadline_us;
	int answers;
	struct ir_answer answer; /* without headers and body */
	int runs;		 /* of the marker, over all hosts */
	int64_t last_run_us;
	uint64_t parent_run; /* egress: the run that waits for it */
	uint64_t parent_incarnation;
	char parent_marker[24];
	int64_t answered_us;
	bool is_repeat;	  /* of another's Idempotency-Key */
	bool abandoned;	  /* caller gave up, or its node was killed */
	uint32_t retries; /* of its route */
	bool has_key;
	int upstream_attempts; /* runs that its upstreams were offered */
	int chain_retries;     /* counted at the end, over its chain */
};

/* A rate that was published, and until when it may have been in force. */
struct fleet_rate {
	uint64_t rate_mt_per_s;
	uint64_t burst_mt;
	int64_t published_us;
	int64_t superseded_us; /* the next one could be read; 0: not yet */
	int64_t in_force_until_us;
};

/* An attempt that came to a gate, for the order of shedding. */
struct fleet_attempt {
	uint64_t incarnation, sequence; /* its id */
	int gate;
	uint32_t importance;
	int64_t received_us;
	int64_t deadline_us;
	int64_t started_us; /* 0: not */
	int64_t shed_us;    /* 0: not */
};

struct fleet_node {
	struct fleet *fleet;
	struct ir_node *node;
	TALLOC_CTX *mem;
	char name[16];
	char service[16];
	char region[16];
	char zone[16];
	bool alive;
	int64_t paused_until_us;
	uint64_t incarnation;
	enum fleet_upstream_mode upstream_mode;
	int64_t run_duration_us;    /* time that a run takes */
	const char *callee_service; /* egress: "service", or NULL */
	bool fails_with_callee;	    /* answers 500 when that call fails */
	int64_t next_store_poll_us;
	bool leaving;
	int64_t leaving_published_us;
	int64_t leaving_readable_since_us; /* 0: no host could read it yet */
	uint64_t held_config_revision;
	uint64_t held_list_revision;
	uint64_t held_rate_generation; /* of the section "accounts" */
	uint64_t earlier_retries;      /* of killed processes */
	uint64_t earlier_tokens_spent;
	TALLOC_CTX
	*killed_mem; /* killed, freed once its own code has returned */
};

struct fleet {
	TALLOC_CTX *mem;
	int64_t now_us;
	int64_t delay_us; /* of a message */
	uint64_t seed;
	struct fleet_node nodes[FLEET_MAX_NODES];
	int node_count;
	bool cut[FLEET_MAX_NODES][FLEET_MAX_NODES]; /* from, to */
	bool store_down;
	bool store_cut[FLEET_MAX_NODES];
	bool store_stale; /* answers as of stale_config_revision,
			     stale_list_revision */
	uint64_t stale_config_revision;
	uint64_t stale_list_revision;
	int64_t list_lag_us;
	int64_t max_list_lag_us;
	int64_t last_leaving_us; /* when a host was last listed as leaving */
	int64_t store_correct_since_us; /* since when the store answers truly;
					   0: not now */
	uint64_t config_revision;
	uint64_t list_revision;
	struct fleet_section *sections;
	struct fleet_event *events;
	struct fleet_conn *conns;
	uint64_t sequence;
	uint64_t last_incarnation;
	struct fleet_call *calls;
	int call_count;
	uint64_t rate_mt_per_s; /* of account "a" */
	uint64_t burst_mt;
	struct fleet_rate rates[FLEET_MAX_RATES];
	int rate_count;
	struct fleet_attempt *attempts;
	int attempt_count;
	bool key_published;
	int64_t key_withdrawn_us;
	int64_t key_withdrawal_readable_us; /* the withdrawal; 0: no host could
					       read */
	uint64_t tokens_spent;
	int64_t *token_spent_us; /* time of each token spent */
	int token_spent_count;
	uint64_t retries_allowed;
	const char *failure; /* first broken promise, or NULL */
	/* Fault placement. */
	void (*hook)(struct fleet *f, const struct fleet_step_event *ev);
	void *hook_ctx;
	int64_t next_delay_us; /* extra delay of the message being sent */
	bool next_drop;	       /* the message being sent is lost, link silent */
	bool next_duplicate;
	bool verbose; /* print the nodes' events */
};

extern const char fleet_key[];

struct fleet *fleet_create(TALLOC_CTX *mem, uint64_t seed);
/* Adds a host of a service and lists it. Returns its number. */
int fleet_add_node(
    struct fleet *f, const char *service, const char *region, const char *zone);
/* Publishes the fleet, account "a" and services "s" and "t". */
void fleet_publish_defaults(struct fleet *f);
void fleet_publish(struct fleet *f, const char *name, const char *text);
void fleet_publish_account(
    struct fleet *f, uint64_t rate_per_s, uint64_t burst, bool with_key);
/* The same with a generation of the test's choice. */
void fleet_publish_rate(struct fleet *f, uint64_t generation,
    uint64_t rate_per_s, uint64_t burst, bool with_key);
void fleet_publish_host(struct fleet *f, int node, const char *state);
void fleet_start(struct fleet *f, int node);
void fleet_kill(struct fleet *f, int node);
/* Another host, of a new name, starts at the address of this one. */
void fleet_replace(struct fleet *f, int node);
void fleet_pause(struct fleet *f, int node, int64_t for_us);
void fleet_set_cut(struct fleet *f, int a, int b, bool cut);
/* Existing connections between a and b lose all that is sent on them. */
void fleet_silence(struct fleet *f, int a, int b);
void fleet_close(struct fleet *f, int a, int b);
void fleet_set_store_stale(struct fleet *f, bool stale);
void fleet_set_store_down(struct fleet *f, bool down);
void fleet_set_list_lag(struct fleet *f, int64_t lag_us);

struct fleet_request {
	const char *service;
	const char *route; /* "read", "write", "open" */
	bool with_key;
	const char *idempotency_key;
	bool first_attempt;
	uint32_t deadline_ms;
	int repeat_of; /* number of the call repeated, plus one */
};
/* Returns the call's number. */
int fleet_call(struct fleet *f, int node, const struct fleet_request *r);
void fleet_abandon_call(struct fleet *f, int call);

/* Runs until the time, or until done() is true. False when it never was. */
void fleet_run(struct fleet *f, int64_t for_us);
bool fleet_run_until(struct fleet *f, int64_t for_us,
    bool (*done)(struct fleet *f, void *ctx), void *ctx);
/* Ready nodes serve: all have the view and a confirmed lease. */
bool fleet_wait_ready(struct fleet *f);
/* Every node alive must hold what was published last, and all the same. */
void fleet_check_converged(struct fleet *f);
/* Checks what can be told only at the end. */
void fleet_check_end(struct fleet *f);
void fleet_fail(struct fleet *f, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
