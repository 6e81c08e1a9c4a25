/*
 * The queue of a gate: classes by importance and place in the chain, in each
 * a flow an account, in each flow work in order of arrival. Classes are served
 * strictly, flows of a class by deficit round robin after their weights. In a
 * round each flow earns its weight in requests; the round is turned only as far
 * as the next flow needs. A flow that held nothing while others were served
 * keeps a few requests of credit, so that sparse work of an account under its
 * share isn't lost for arriving in bursts.
 */
#ifndef IR_UPSTREAM_QUEUE_H
#define IR_UPSTREAM_QUEUE_H

#include "core/table.h"
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/limits.h"
#include "upstream/gate.h"

/* Importance of accounts and routes, entering and inside a chain. */
#define IR_CLASS_COUNT (2 * (IR_MAX_IMPORTANCE + 1) * (IR_MAX_IMPORTANCE + 1))

/* Work of one account in one class. */
struct ir_flow {
	char *account;
	uint32_t class;
	uint32_t weight;
	uint32_t count;
	double deficit;	    /* requests earned and not served */
	double idle_rounds; /* the class's rounds when it became empty */
	struct ir_work *head;
	int64_t used_us; /* last use */
	struct ir_flow *prev;
	struct ir_flow *next;
	/* For the shed level (shed.h): this window's counts, and the share of
	 * ranks refused, in ranks. */
	uint32_t started;
	uint32_t refused;
	uint32_t shed_ranks;
	UT_hash_handle hh;
};

struct ir_class {
	struct ir_flow *flows;	/* by account */
	struct ir_flow *active; /* those with work */
	uint32_t count;
	double rounds; /* rounds served so far */
};

struct ir_queue {
	struct ir_class classes[IR_CLASS_COUNT]; /* the last is served first */
	uint32_t count;
	uint32_t active_count;
};

uint32_t ir_priority_class(uint32_t priority);

struct ir_queue *ir_queue_new(TALLOC_CTX *mem);
/* The flow, made when missing; NULL without memory. */
struct ir_flow *ir_queue_flow(struct ir_queue *q, int64_t now, uint32_t class,
    const char *account, uint32_t weight);
const struct ir_flow *ir_queue_find(
    const struct ir_queue *q, uint32_t class, const char *account);
/* Appends w to w->flow. */
void ir_queue_push(struct ir_queue *q, struct ir_work *w);
void ir_queue_remove(struct ir_queue *q, struct ir_work *w);
/* Takes the work to serve next, or NULL. */
struct ir_work *ir_queue_pop(struct ir_queue *q);
/* Gives a flow its turn back, when what it popped was not started. */
void ir_queue_refund(struct ir_flow *f);
/* The work to drop first, or NULL. */
struct ir_work *ir_queue_victim(const struct ir_queue *q);
/* How much work is served before one more of a flow. */
uint32_t ir_queue_ahead(const struct ir_queue *q, const struct ir_flow *f);
/* The first work in class order whose deadline is before a time, or NULL. */
struct ir_work *ir_queue_overdue(const struct ir_queue *q, int64_t before_us);
/* Work of a class below one, whose deadline is no later than one; or NULL. */
struct ir_work *ir_queue_below(
    const struct ir_queue *q, uint32_t class, int64_t deadline_us);
/* Frees flows that were last used before a time and hold nothing. */
void ir_queue_trim(struct ir_queue *q, int64_t before_us);

#endif
