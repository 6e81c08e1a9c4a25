/*
 * The gate of the local upstream: starts, queues or refuses work.
 *
 * Work is started while the limit allows. Otherwise it waits in a short
 * queue, ordered by importance, then inside a chain before entering, then
 * deficit round robin over client accounts by weight. Work that cannot end in
 * time is refused at once with a time to come back; when the queue is full,
 * the work that would be served last is refused, new or queued.
 *
 * A struct ir_work is embedded in the caller's record, which must live until
 * refuse() was called or ir_gate_done() / ir_gate_cancel() returned. Callbacks
 * may be called from within ir_gate_offer, _done, _cancel and _tick; they must
 * not call back into the gate, except that start() may be followed later by
 * done.
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
	const char *account; /* "" on open routes; owned by the record */
	uint32_t weight;     /* of the account, at least 1 */
	uint32_t priority;   /* ir_priority() */
	int64_t deadline_us; /* on this node's clock */
	void *owner;
	int64_t callee_us; /* of its run, spent waiting for its own calls */
	/* The gate's own. */
	enum ir_work_state state;
	int64_t offered_us;
	int64_t started_us;
	struct ir_flow *flow;
	struct ir_work *prev;
	struct ir_work *next;
};

struct ir_gate_ops {
	void (*start)(void *ctx, int64_t now, struct ir_work *w);
	void (*refuse)(void *ctx, int64_t now, struct ir_work *w,
	    enum ir_error kind, uint32_t retry_after_ms);
};

/* A policy switch for measurements; IR_GATE_FULL in the daemon. */
enum ir_gate_policy {
	IR_GATE_FULL,
	IR_GATE_PLAIN /* static limit, first in first out, no checks */
};

struct ir_gate;

struct ir_gate *ir_gate_new(TALLOC_CTX *mem, const struct ir_gate_ops *ops,
    void *ctx, uint32_t slots, uint64_t seed, int64_t now);
void ir_gate_set_policy(struct ir_gate *g, enum ir_gate_policy policy);
void ir_gate_set_slots(struct ir_gate *g, uint32_t slots);
/*
 * The upstream itself told its slots: as many run, no more and no fewer, as
 * there is nothing to find out. 0: the limit adapts again.
 */
void ir_gate_set_told_slots(struct ir_gate *g, uint32_t slots);
void ir_gate_offer(struct ir_gate *g, int64_t now, struct ir_work *w);
void ir_gate_done(
    struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_sample s);
/* Frees the slot or the place in the queue of work abandoned by its caller. */
void ir_gate_cancel(struct ir_gate *g, int64_t now, struct ir_work *w);
void ir_gate_tick(struct ir_gate *g, int64_t now);
/* The load to report, with the shed level of one account. */
struct ir_load ir_gate_load(
    const struct ir_gate *g, int64_t now, const char *account);
/* Work queued and running. */
uint32_t ir_gate_held(const struct ir_gate *g);

#endif
