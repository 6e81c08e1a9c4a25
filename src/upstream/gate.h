/*
 * Admission control of the local upstream: starts, queues or refuses work.
 *
 * Work is started while the concurrency limit allows. Otherwise it waits in a
 * short queue: by importance, then inside a call chain before entering one,
 * then by deficit round robin over client accounts, by weight. Work that is not
 * expected to finish before its deadline is refused at once, with a time after
 * which to retry. When the queue is full, the work that would be served last is
 * refused, be it new or queued.
 *
 * struct ir_work is part of a record of the caller, which must exist until
 * refuse() was called or ir_gate_done() or ir_gate_cancel() has returned.
 * ir_gate_offer(), ir_gate_done(), ir_gate_cancel(), ir_gate_refuse_queued()
 * and ir_gate_tick() may call start() and refuse(); these must not call
 * functions that change the gate.
 */
#ifndef IR_UPSTREAM_GATE_H
#define IR_UPSTREAM_GATE_H

#include <talloc.h>

#include "ibisrail/error.h"
#include "link/peer.h"
#include "upstream/limit.h"
#include "upstream/priority.h"

enum ir_work_state {
	IR_WORK_NEW,
	IR_WORK_QUEUED,
	IR_WORK_RUNNING,
	IR_WORK_ENDED
};

struct ir_work {
	const char *account; /* "" on open routes; owned by the caller */
	uint32_t weight;     /* of the account, at least 1 */
	uint32_t priority;   /* ir_priority() */
	int64_t deadline_us; /* by the clock of this node */
	void *owner;
	int64_t
	    callee_wait_us; /* time of the run with calls to callees pending */
	/* Set by the gate; for the caller to read only. */
	enum ir_work_state state;
	int64_t offered_us;
	int64_t started_us;
	double start_slowdown; /* of the upstream at started_us; 0: unknown */
	struct ir_flow *flow;
	struct ir_work *prev;
	struct ir_work *next;
};

struct ir_gate_ops {
	void (*start)(void *ctx, int64_t now, struct ir_work *w);
	void (*refuse)(void *ctx, int64_t now, struct ir_work *w,
	    enum ir_error kind, uint32_t retry_after_ms);
};

/* IR_GATE_FULL unless set; IR_GATE_BASELINE is the baseline of measurements. */
enum ir_gate_policy {
	IR_GATE_FULL,	 /* all that is described above */
	IR_GATE_BASELINE /* static limit, first in first out, no checks */
};

/*
 * Set in ir_load.service_time_us if the time is for the upstream's present
 * speed, as it reports it. Gates without such reports never set it: no run
 * takes 35 minutes. Processes of earlier builds do not use the field.
 */
#define IR_LOAD_SPEED_KNOWN 0x80000000U

static inline bool
ir_load_speed_known(const struct ir_load *l)
{
	return (l->service_time_us & IR_LOAD_SPEED_KNOWN) != 0;
}

static inline uint32_t
ir_load_service_time_us(const struct ir_load *l)
{
	return l->service_time_us & ~IR_LOAD_SPEED_KNOWN;
}

struct ir_gate;

/*
 * slots: concurrent requests that the upstream is configured for. seed: of the
 * random retry times. NULL if out of memory.
 */
struct ir_gate *ir_gate_new(TALLOC_CTX *mem, const struct ir_gate_ops *ops,
    void *ctx, uint32_t slots, uint64_t seed, int64_t now);
void ir_gate_set_policy(struct ir_gate *g, enum ir_gate_policy policy);
void ir_gate_set_slots(struct ir_gate *g, uint32_t slots);
/*
 * Sets the limit to the slots that the upstream itself reported, so that it
 * need not be estimated. 0 makes the limit adaptive again.
 */
void ir_gate_set_reported_slots(struct ir_gate *g, uint32_t slots);
/*
 * Follows the reports of the upstream: its slots, which bound the limit, and
 * how much longer than usual (1.0) work takes there now. 0 for either:
 * unknown.
 */
void ir_gate_set_report(struct ir_gate *g, uint32_t slots, double slowdown);
/*
 * Sets the rate of runs, in thousandths a second, that the upstream itself says
 * it takes, whatever the limit.
 */
void ir_gate_set_rate_cap(struct ir_gate *g, int64_t now, uint64_t mt_per_s);
void ir_gate_clear_rate_cap(struct ir_gate *g);
/* Counts the runs of the last second towards the cap; see ir_rate_cap_hold().
 */
void ir_gate_hold_rate_cap(struct ir_gate *g, int64_t now);
/* Lets ir_gate_begin_ramp() take effect. */
void ir_gate_enable_ramp(struct ir_gate *g);
/* The upstream has started or recovered: raises the limit step by step. */
void ir_gate_begin_ramp(struct ir_gate *g, int64_t now);
/* Limit of the ramp; 0 if there is none. */
uint32_t ir_gate_ramp_limit(const struct ir_gate *g);
/* Starts, queues or refuses w. */
void ir_gate_offer(struct ir_gate *g, int64_t now, struct ir_work *w);
/* Ends work that was started; does nothing for other work. */
void ir_gate_done(
    struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_sample s);
/* Ends work that its caller gave up, running or queued. */
void ir_gate_cancel(struct ir_gate *g, int64_t now, struct ir_work *w);
/*
 * Refuses all queued work, with this error; it does not count as shed. Returns
 * its amount.
 */
uint32_t ir_gate_refuse_queued(
    struct ir_gate *g, int64_t now, enum ir_error kind);
/* Refuses queued work that is overdue and updates the shed levels. */
void ir_gate_tick(struct ir_gate *g, int64_t now);
/* The load to report to peers, with the shed level of one account. */
struct ir_load ir_gate_load(
    const struct ir_gate *g, int64_t now, const char *account);
/* Number of queued and running requests. */
uint32_t ir_gate_work_count(const struct ir_gate *g);

#endif
