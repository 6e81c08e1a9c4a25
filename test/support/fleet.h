/*
 * Several nodes in one process, with simulated messages, upstreams and time.
 *
 * Capacity and latency are not modelled: each message takes the same delay and
 * each run the time that the test sets. The test injects the faults: killed
 * and paused nodes; cut, silent and closed connections; delayed, duplicated
 * and lost messages; a store that is down or stale; a host list that lags.
 *
 * The checks compare what was published, sent, run and answered, and the
 * revisions and counters of the nodes. They record the first broken guarantee
 * with fleet_fail().
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
#define FLEET_TICK_US 10000 /* how often each node is ticked */
/* By when a change takes effect everywhere once the store shows it. */
#define FLEET_KEY_WITHDRAWN_US (3 * IR_US_PER_S)
#define FLEET_LEAVING_US (4 * IR_US_PER_S)
#define FLEET_EVACUATED_US (5 * IR_US_PER_S)
#define FLEET_CONVERGED_US (6 * IR_US_PER_S)
#define FLEET_MAX_ZONES 8 /* that a test evacuates */
#define FLEET_MAX_RATES 64
#define FLEET_MAX_ATTEMPTS 60000

/* Steps of a request or control exchange at which a fault can be injected. */
enum fleet_step {
	STEP_CALL_RECEIVED,   /* a caller's request reaches its node */
	STEP_SENT,	      /* a message leaves a node */
	STEP_RECEIVED,	      /* a message is about to be handled */
	STEP_RUN_STARTED,     /* the upstream starts a run */
	STEP_EGRESS_CALL,     /* the upstream calls another service */
	STEP_RUN_ENDED,	      /* the upstream's answer is about to be handled */
	STEP_CALLER_ANSWERED, /* the caller got its answer */
	STEP_STORE_READ	      /* a store read is about to be handled */
};

struct fleet_step_event {
	enum fleet_step step;
	int node;	       /* the node that takes the step */
	int peer;	       /* other end of the message; -1: none */
	enum ir_msg_kind kind; /* of the message; 0: none */
};

/* What the upstream of a node does with a request. */
enum fleet_upstream_mode {
	UPSTREAM_OK,
	UPSTREAM_SHEDS,
	UPSTREAM_BREAKS_CONNECTION, /* runs it, then breaks the connection */
	UPSTREAM_HANGS,		    /* runs it and never answers */
	UPSTREAM_IS_ANOTHER,	    /* refuses: not the upstream listed there */
	UPSTREAM_DROPS_CONNECTIONS  /* all new ones, before it reads */
};

struct fleet_call {
	uint64_t id;
	int node;
	bool egress;
	/* The only region in which it may run; NULL: any. */
	const char *required_region;
	bool needs_key;
	bool idempotent;
	char marker[24]; /* last part of the path, echoed as answer body */
	int64_t sent_us;
	int64_t deadline_us;
	int answers;
	struct ir_answer answer; /* without headers and body */
	int runs;		 /* of this marker, on all hosts */
	int64_t last_run_us;
	uint64_t parent_run; /* of an egress call: the run that made it */
	uint64_t parent_incarnation;
	char parent_marker[24];
	int64_t answered_us;
	bool is_repeat;	  /* reuses the Idempotency-Key of another call */
	bool abandoned;	  /* the caller left or its node was killed */
	uint32_t retries; /* of its route */
	bool has_key;
	int upstream_attempts; /* requests sent to upstreams */
	int chain_retries; /* of it and its egress calls, counted at the end */
};

/* A published rate and the time during which a host may have applied it. */
struct fleet_rate {
	uint64_t rate_mt_per_s;
	uint64_t burst_mt;
	int64_t published_us;
	int64_t superseded_us; /* the next rate became readable; 0: not yet */
	int64_t in_force_until_us;
};

/* An attempt that reached a gate, to check the order of load shedding. */
struct fleet_attempt {
	uint64_t incarnation, sequence; /* attempt id */
	int gate;
	uint32_t importance;
	int64_t received_us;
	int64_t deadline_us;
	int64_t started_us; /* 0: not started */
	int64_t shed_us;    /* 0: not shed */
};

/* A run that an upstream was given. */
struct fleet_run {
	int node;
	int caller_node; /* where its request began */
	int call;
	int64_t at_us;
};

/* Requests a second beyond 1.5 times its rate that end a cold upstream. */
#define FLEET_COLD_SLACK 8
/* How long an upstream that ended takes to start again. */
#define FLEET_UPSTREAM_RESTART_US (3 * IR_US_PER_S)
#define FLEET_REWRITE_PAUSE_US (2 * IR_US_PER_S)

struct fleet_node {
	struct fleet *fleet;
	struct ir_node *node;
	TALLOC_CTX *mem;
	char name[16];
	char service[16];
	char region[16];
	char zone[16];
	bool alive;
	bool no_room; /* send() and connect() return false */
	int64_t paused_until_us;
	uint64_t incarnation;
	enum fleet_upstream_mode upstream_mode;
	int64_t run_duration_us;
	uint32_t slots;			/* in the host list; 0: none */
	const char *upstream_id;	/* in the host list; NULL: none */
	int64_t upstream_down_until_us; /* it ended, and is started again */
	int crashes;			/* ends of its upstream */
	const char *rate_limit;		/* named in each answer; NULL: none */
	bool says_leaving;		/* in each answer */
	const char *load_report;	/* in each answer; NULL: none */
	/* When its answers first named a limit, said that it leaves. */
	int64_t first_limit_us;
	int64_t first_leaving_us;
	int64_t cold_until_us;	    /* of its upstream */
	bool listed_cold;	    /* in the host list */
	bool checks_fail;	    /* status checks get no answer */
	int checks;		    /* status checks sent to its upstream */
	const char *callee_service; /* service that its runs call; NULL: none */
	bool calls_in_egress;	    /* and those of egress calls, too */
	bool lacks_regions;	    /* a build without REGION_FORWARD */
	bool fails_with_callee;	    /* answers 500 if that call fails */
	int64_t next_store_poll_us;
	bool leaving;
	int64_t leaving_published_us;
	int64_t leaving_readable_since_us; /* 0: not readable yet */
	/* As of the last check; they may not decrease. */
	uint64_t last_config_revision;
	uint64_t last_list_revision;
	uint64_t last_rate_generation; /* of "accounts" */
	uint64_t earlier_retries;      /* of its killed processes */
	uint64_t earlier_tokens_spent;
	TALLOC_CTX *killed_mem; /* freed once the node's code has returned */
};

/* A zone that was evacuated at least once. */
struct fleet_zone {
	char name[16];
	bool evacuated;
	int64_t readable_since_us; /* 0: not readable yet */
};

struct fleet {
	TALLOC_CTX *mem;
	int64_t now_us;
	int64_t delay_us; /* of each message */
	uint64_t seed;
	struct fleet_node nodes[FLEET_MAX_NODES];
	int node_count;
	bool cut[FLEET_MAX_NODES][FLEET_MAX_NODES]; /* [from][to] */
	/* A read of the store is answered after this time; 0: at once. */
	int64_t store_wait_us;
	/* The nodes' setting, if reads may take longer than store_wait_us. */
	int64_t store_read_period_us;
	/* After which a read that is not answered fails; 0: store_wait_us. */
	int64_t store_timeout_us;
	/* The contract tolerates requests over the rate; views are believed
	   unconfirmed. To be set before fleet_publish_defaults(). */
	bool tolerant;
	/* Requests a second that a cold upstream of "s" takes; 0: cold starts
	   are off. To be set before fleet_publish_defaults(). */
	uint32_t cold_rate_per_s;
	bool ramp;	  /* setting of nodes that start from now on */
	int64_t check_us; /* until a status check is answered */
	bool store_down;
	bool store_cut[FLEET_MAX_NODES]; /* the node cannot reach the store */
	bool store_stale; /* answers with the stale revisions below */
	uint64_t stale_config_revision;
	uint64_t stale_list_revision;
	int64_t list_lag_us;
	int64_t max_list_lag_us;
	int64_t last_leaving_us; /* last time a host was listed as leaving */
	int64_t store_correct_since_us; /* 0: down or stale now */
	uint64_t config_revision;	/* of the store, in its present era */
	uint64_t list_revision;
	uint64_t era;		 /* how often the store was restored */
	uint64_t lost_revisions; /* of the configuration, by all restores */
	int lost_count;		 /* sections not published again yet */
	struct fleet_section *sections;
	struct fleet_event *events;
	struct fleet_conn *conns;
	uint64_t sequence;
	uint64_t last_incarnation;
	struct fleet_call *calls;
	int call_count;
	uint64_t rate_mt_per_s; /* of account "a", as published last */
	uint64_t burst_mt;
	struct fleet_rate rates[FLEET_MAX_RATES];
	int rate_count;
	struct fleet_zone zones[FLEET_MAX_ZONES];
	int zone_count;
	struct fleet_attempt *attempts;
	int attempt_count;
	struct fleet_run *runs;
	int run_count;
	bool key_published;
	/* The account that fleet_key was moved to, and when; NULL: account "a".
	 */
	const char *key_account;
	int64_t key_moved_us;
	int64_t key_withdrawn_us;
	int64_t key_withdrawal_readable_us; /* 0: not readable yet */
	uint64_t tokens_spent;
	int64_t *token_spent_us; /* when each token was spent */
	int token_spent_count;
	uint64_t retries_allowed;
	/* Host name of the calls to come; NULL: they name their service. */
	const char *authority;
	const char *required_region; /* of the calls to come */
	/* Allowed regions of account "a", as JSON; NULL: none are given. */
	const char *account_regions;
	const char *only_region; /* that of account_regions, or NULL */
	int64_t regions_published_us;
	const char *failure; /* the first broken guarantee, or NULL */
	/* Called at each step, to inject faults. */
	void (*hook)(struct fleet *f, const struct fleet_step_event *ev);
	void *hook_ctx;
	int64_t next_delay_us; /* added delay of the message being sent */
	bool next_drop;	       /* loses the message being sent */
	bool next_duplicate;   /* delivers the message being sent twice */
	bool verbose;	       /* prints messages and log events to stderr */
};

extern const char fleet_key[];

/* Returns a fleet without nodes; the seed determines the nodes' choices. */
struct fleet *fleet_create(TALLOC_CTX *mem, uint64_t seed);
/* Adds a host and lists it as live, not started. Returns its number. */
int fleet_add_node(
    struct fleet *f, const char *service, const char *region, const char *zone);
/* Publishes the sections of the fleet, account "a", services "s" and "t". */
void fleet_publish_defaults(struct fleet *f);
/*
 * Publishes fleet route "shop" to a service, for paths from /read and /write,
 * with its regions as JSON; NULL: none are given.
 */
void fleet_publish_route(
    struct fleet *f, const char *service, const char *regions);
/*
 * Publishes account "a" with only this region, NULL: any, in the list's place
 * otherwise given by regions (JSON), if that is not NULL.
 */
void fleet_publish_account_regions(
    struct fleet *f, const char *only, const char *regions);
/* Publishes a section of the configuration or, "host/NAME", of the list. */
void fleet_publish(struct fleet *f, const char *name, const char *text);
/* Publishes account "a", with or without the digest of fleet_key. */
void fleet_publish_account(
    struct fleet *f, uint64_t rate_per_s, uint64_t burst, bool with_key);
/* The same with the given generation. */
void fleet_publish_rate(struct fleet *f, uint64_t generation,
    uint64_t rate_per_s, uint64_t burst, bool with_key);
/* Publishes account "a" without fleet_key, and another one with it. */
void fleet_move_key(struct fleet *f, const char *account);
/* Lists the node as "live" or "leaving", or takes it off: "gone". */
void fleet_publish_host(struct fleet *f, int node, const char *state);
/* Begins or ends the evacuation of a zone. */
void fleet_evacuate(struct fleet *f, const char *zone, bool evacuated);
void fleet_start(struct fleet *f, int node);
/* Ends the node at once; its connections close. */
void fleet_kill(struct fleet *f, int node);
/*
 * Kills the node and lists another host, of a new name, at its address. The
 * caller starts it with fleet_start().
 */
void fleet_replace(struct fleet *f, int node);
void fleet_pause(struct fleet *f, int node, int64_t for_us);
/* While cut, messages from a to b are lost; connections stay open. */
void fleet_set_cut(struct fleet *f, int a, int b, bool cut);
/* Loses all that is sent on the existing connections between a and b. */
void fleet_silence(struct fleet *f, int a, int b);
/* Closes the connections between a and b. */
void fleet_close(struct fleet *f, int a, int b);
/* While stale, the store answers with the revisions as of this call. */
void fleet_set_store_stale(struct fleet *f, bool stale);
void fleet_set_store_down(struct fleet *f, bool down);
/*
 * Restores the store from a copy of this age: revisions are given out again, in
 * a new era. What was published since is published again after up to
 * FLEET_REWRITE_PAUSE_US each.
 */
void fleet_restore_store(struct fleet *f, int64_t age_us);
/* The store shows changes of the host list this much later. */
void fleet_set_list_lag(struct fleet *f, int64_t lag_us);

struct fleet_request {
	const char *service;
	const char *route; /* "read", "write", "open" */
	bool with_key;
	const char *idempotency_key;
	bool first_attempt;
	uint32_t deadline_ms;
	int repeat_of; /* call number plus one; 0: not a repeat */
	/* Last part of the path, the same for many calls; NULL: the marker. */
	const char *path_end;
};

/* The path_end of a request that ends each upstream that begins to run it. */
extern const char fleet_deadly[];
/* Returns the call's number; -1 if the node is dead or calls are used up. */
int fleet_call(struct fleet *f, int node, const struct fleet_request *r);
/* The caller leaves; does nothing once the call is answered. */
void fleet_abandon_call(struct fleet *f, int call);

/*
 * Runs for for_us, or until done() returns true or a check fails. Returns
 * whether done() returned true.
 */
void fleet_run(struct fleet *f, int64_t for_us);
bool fleet_run_until(struct fleet *f, int64_t for_us,
    bool (*done)(struct fleet *f, void *ctx), void *ctx);
/* Runs until all nodes that are alive are ready; false after 10 s. */
bool fleet_wait_ready(struct fleet *f);
/* Checks that all nodes alive hold the newest revisions and the same rate. */
void fleet_check_converged(struct fleet *f);
/* Makes the checks that need the complete run: answers, retries, rates. */
void fleet_check_end(struct fleet *f);
/* Records a broken guarantee; stores the first one and ends the run. */
void fleet_fail(struct fleet *f, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
