/*
 * Decides whether the local upstream is cold: it has just started, is slow, and
 * may end when it gets more than a configured rate of requests.
 *
 * Designed for one upstream behind one gate, which sees all of its requests, at
 * any load. Events that may mean a restart make it "may be cold". A status
 * check, or the host list, then tells. Status checks have a cost: none is due
 * while it is warm, and while it is cold one when that is expected to end.
 */
#ifndef IR_UPSTREAM_COLD_START_H
#define IR_UPSTREAM_COLD_START_H

#include <stdbool.h>
#include <stdint.h>

enum ir_cold_state {
	IR_COLD_WARM,
	IR_COLD_MAYBE, /* the rate is kept until a check has been answered */
	IR_COLD_UNTIL  /* a check named the time at which it ends */
};

/* How a run at the upstream ended. */
enum ir_cold_run_end {
	IR_COLD_RUN_ANSWERED,
	IR_COLD_RUN_BROKEN,  /* its connection broke */
	IR_COLD_RUN_REFUSED, /* the upstream accepts no connections */
	IR_COLD_RUN_DROPPED  /* cancelled, or not sent */
};

struct ir_cold_start {
	uint64_t rate_mt_per_s; /* while cold; 0: nothing applies */
	bool can_check;
	enum ir_cold_state state;
	int64_t event_us; /* last event that may mean a restart */
	int64_t until_us; /* IR_COLD_UNTIL: expected end */
	bool listed;	  /* the host list says that it is cold */
	bool check_pending;
	int64_t check_sent_us; /* last one; 0: none yet */
	/* Runs, to find an upstream that answers none. */
	uint32_t running;
	uint32_t unanswered;	    /* started since the last answer */
	int64_t unanswered_from_us; /* 0: none */
	uint32_t silences;	    /* found since the last answer */
	/* Runs, to find that all connections broke. */
	int64_t broken_us; /* first break; 0: none */
	uint32_t older;	   /* runs left that were started before it */
};

/* The process has started: the upstream may be cold. */
void ir_cold_start_init(struct ir_cold_start *c, int64_t now);
/*
 * rate_mt_per_s: thousandths of a request a second that the upstream takes
 * while it is cold; 0: no bound. can_check: there is a status check.
 */
void ir_cold_start_configure(struct ir_cold_start *c, int64_t now,
    uint64_t rate_mt_per_s, bool can_check);
/*
 * The upstream may have started anew: it has another id, or the evacuation of
 * its zone has ended.
 */
void ir_cold_start_suspect(struct ir_cold_start *c, int64_t now);
/* Whether the host list says that the upstream is cold. */
void ir_cold_start_set_listed(struct ir_cold_start *c, int64_t now, bool cold);
void ir_cold_start_run_started(struct ir_cold_start *c, int64_t now);
void ir_cold_start_run_ended(struct ir_cold_start *c, int64_t now,
    int64_t started_us, enum ir_cold_run_end end);
/* expected_run_us: usual time of a run. */
void ir_cold_start_tick(
    struct ir_cold_start *c, int64_t now, int64_t expected_run_us);

/* Whether to send a status check now; then call ir_cold_start_check_sent(). */
bool ir_cold_start_check_due(const struct ir_cold_start *c, int64_t now);
void ir_cold_start_check_sent(struct ir_cold_start *c, int64_t now);
/*
 * The last check was answered. remaining_ms: time for which the upstream stays
 * cold, 0 if it is not. is_listed: the answer is of the listed upstream.
 */
void ir_cold_start_check_answered(
    struct ir_cold_start *c, int64_t now, int64_t remaining_ms, bool is_listed);
/* The last check got no valid answer. */
void ir_cold_start_check_failed(struct ir_cold_start *c, int64_t now);

/* Whether the rate below is to be kept. */
bool ir_cold_start_limits(const struct ir_cold_start *c);
/* State for reports; IR_COLD_WARM if nothing applies. */
enum ir_cold_state ir_cold_start_state(const struct ir_cold_start *c);
const char *ir_cold_state_name(enum ir_cold_state s);

#endif
