/*
 * The queue of a gate. Its classes are combinations of importance and place in
 * the call chain (entering or inside); each class has one flow for each account
 * and each flow keeps work in order of arrival. A class is served only when
 * those above it are empty, its flows by deficit round robin: in each round a
 * flow may serve as many requests as its weight. Rounds are fractional, and
 * advance only until the next flow may serve one request. A flow that was empty
 * while others were served keeps a credit of a few requests, so that an account
 * that uses less than its share is not refused because its requests come in
 * bursts.
 */
#ifndef IR_UPSTREAM_QUEUE_H
#define IR_UPSTREAM_QUEUE_H

#include "core/table.h"
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/limits.h"
#include "upstream/gate.h"

/* Importance of accounts and of routes, entering and inside a chain. */
#define IR_CLASS_COUNT (2 * (IR_MAX_IMPORTANCE + 1) * (IR_MAX_IMPORTANCE + 1))

/* Work of one account in one class. */
struct ir_flow {
	char *account;
	uint32_t class;
	uint32_t weight;
	uint32_t count;
	double deficit;		 /* requests that it may serve now */
	double rounds_when_idle; /* rounds of the class when it became empty */
	struct ir_work *head;
	int64_t last_used_us;
	struct ir_flow *prev;
	struct ir_flow *next;
	/* For shed.h: requests in the current window. */
	uint32_t started;
	uint32_t refused;
	uint32_t shed_ranks; /* lower ranks are to be refused */
	UT_hash_handle hh;
};

struct ir_class {
	struct ir_flow *flows;	/* hashed by account */
	struct ir_flow *active; /* flows with queued work */
	uint32_t count;
	double rounds; /* served so far */
};

struct ir_queue {
	struct ir_class classes[IR_CLASS_COUNT]; /* the last is served first */
	uint32_t count;
	uint32_t active_count; /* flows with queued work */
};

/* Index of the class of work of this priority. */
uint32_t ir_priority_class(uint32_t priority);

struct ir_queue *ir_queue_new(TALLOC_CTX *mem);
/* Returns the flow, which is created if missing; NULL if out of memory. */
struct ir_flow *ir_queue_get_flow(struct ir_queue *q, int64_t now,
    uint32_t class, const char *account, uint32_t weight);
/* Returns the flow, or NULL if it does not exist. */
const struct ir_flow *ir_queue_find_flow(
    const struct ir_queue *q, uint32_t class, const char *account);
/* Appends w to w->flow. */
void ir_queue_push(struct ir_queue *q, struct ir_work *w);
void ir_queue_remove(struct ir_queue *q, struct ir_work *w);
/* Removes and returns the work to serve next, or NULL. */
struct ir_work *ir_queue_pop(struct ir_queue *q);
/* Credits the flow with a request, as its last one was not started. */
void ir_queue_refund(struct ir_flow *f);
/* The work to refuse first when the queue is too long, or NULL. */
struct ir_work *ir_queue_find_victim(const struct ir_queue *q);
/* Requests that would be served before a new one of the flow. */
uint32_t ir_queue_count_ahead(
    const struct ir_queue *q, const struct ir_flow *f);
/* Work with a deadline before a time, of the lowest such class; or NULL. */
struct ir_work *ir_queue_find_overdue(
    const struct ir_queue *q, int64_t before_us);
/* Work of a class lower than this with a deadline no later, or NULL. */
struct ir_work *ir_queue_find_lower_class(
    const struct ir_queue *q, uint32_t class, int64_t deadline_us);
/* Frees empty flows that were last used before a time. */
void ir_queue_free_idle_flows(struct ir_queue *q, int64_t before_us);

#endif
