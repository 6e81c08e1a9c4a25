/* The queue of a gate. */
#include <utlist.h>

#include "upstream/queue.h"

/* Bound on the requests credited to a flow while it is empty. */
#define MAX_CREDIT 8.0

uint32_t
ir_priority_class(uint32_t priority)
{
	uint32_t class = priority >> IR_RANK_BITS;

	return class < IR_CLASS_COUNT ? class : IR_CLASS_COUNT - 1;
}

static int
free_tables(struct ir_queue *q)
{
	for (uint32_t i = 0; i < IR_CLASS_COUNT; i++)
		HASH_CLEAR(hh, q->classes[i].flows);
	return 0;
}

struct ir_queue *
ir_queue_new(TALLOC_CTX *mem)
{
	struct ir_queue *q = talloc_zero(mem, struct ir_queue);

	if (q != NULL)
		talloc_set_destructor(q, free_tables);
	return q;
}

/* The linter counts the expansion of uthash's macros as part of a function. */
/* NOLINTBEGIN(readability-function-size) */
static struct ir_flow *
find_flow(const struct ir_queue *q, uint32_t class, const char *account)
{
	struct ir_flow *f;

	HASH_FIND_STR(q->classes[class].flows, account, f);
	return f;
}

static void
add_flow(struct ir_queue *q, struct ir_flow *f)
{
	HASH_ADD_KEYPTR(
	    hh, q->classes[f->class].flows, f->account, strlen(f->account), f);
}
/* NOLINTEND(readability-function-size) */

static struct ir_flow *
new_flow(struct ir_queue *q, uint32_t class, const char *account)
{
	struct ir_flow *f = talloc_zero(q, struct ir_flow);

	if (f == NULL)
		return NULL;
	f->account = talloc_strdup(f, account);
	if (f->account == NULL) {
		talloc_free(f);
		return NULL;
	}
	f->class = class;
	f->rounds_when_idle = q->classes[class].rounds;
	add_flow(q, f);
	return f;
}

struct ir_flow *
ir_queue_get_flow(struct ir_queue *q, int64_t now, uint32_t class,
    const char *account, uint32_t weight)
{
	struct ir_flow *f = find_flow(q, class, account);

	if (f == NULL)
		f = new_flow(q, class, account);
	if (f == NULL)
		return NULL;
	f->weight = weight > 0 ? weight : 1;
	f->last_used_us = now;
	return f;
}

const struct ir_flow *
ir_queue_find_flow(
    const struct ir_queue *q, uint32_t class, const char *account)
{
	return find_flow(q, class, account);
}

/* Credits the flow with the rounds that it missed while it was empty. */
static void
earn_credit(const struct ir_class *c, struct ir_flow *f)
{
	f->deficit += (c->rounds - f->rounds_when_idle) * f->weight;
	if (f->deficit > MAX_CREDIT)
		f->deficit = MAX_CREDIT;
}

void
ir_queue_push(struct ir_queue *q, struct ir_work *w)
{
	struct ir_flow *f = w->flow;
	struct ir_class *c = &q->classes[f->class];

	DL_APPEND(f->head, w);
	if (f->count++ == 0) {
		earn_credit(c, f);
		DL_APPEND(c->active, f);
		q->active_count++;
	}
	c->count++;
	q->count++;
}

void
ir_queue_remove(struct ir_queue *q, struct ir_work *w)
{
	struct ir_flow *f = w->flow;
	struct ir_class *c = &q->classes[f->class];

	DL_DELETE(f->head, w);
	if (--f->count == 0) {
		f->rounds_when_idle = c->rounds;
		DL_DELETE(c->active, f);
		q->active_count--;
	}
	c->count--;
	q->count--;
}

/* Rounds until the flow may serve n requests. */
static double
rounds_until(const struct ir_flow *f, double n)
{
	double rounds = (n - f->deficit) / f->weight;

	return rounds > 0 ? rounds : 0;
}

/*
 * Advances the rounds of the class until a flow may serve a request; returns
 * that flow, with the request deducted.
 */
static struct ir_flow *
next_flow(struct ir_class *c)
{
	struct ir_flow *first = c->active;
	struct ir_flow *f;
	double rounds;

	DL_FOREACH (c->active, f) {
		if (rounds_until(f, 1) < rounds_until(first, 1))
			first = f;
	}
	rounds = rounds_until(first, 1);
	c->rounds += rounds;
	DL_FOREACH (c->active, f) {
		f->deficit += rounds * f->weight;
	}
	first->deficit--;
	return first;
}

struct ir_work *
ir_queue_pop(struct ir_queue *q)
{
	for (uint32_t i = IR_CLASS_COUNT; i-- > 0;) {
		struct ir_work *w;

		if (q->classes[i].count == 0)
			continue;
		w = next_flow(&q->classes[i])->head;
		ir_queue_remove(q, w);
		return w;
	}
	return NULL;
}

void
ir_queue_refund(struct ir_flow *f)
{
	f->deficit++;
}

/* The flow whose last request is to be served last. */
static const struct ir_flow *
longest_waiting_flow(const struct ir_class *c)
{
	const struct ir_flow *longest = c->active;
	const struct ir_flow *f;

	DL_FOREACH (c->active, f) {
		if (rounds_until(f, f->count) >
		    rounds_until(longest, longest->count))
			longest = f;
	}
	return longest;
}

struct ir_work *
ir_queue_find_victim(const struct ir_queue *q)
{
	const struct ir_class *c = q->classes;
	struct ir_work *victim, *w;
	const struct ir_flow *f;

	if (q->count == 0)
		return NULL;
	while (c->count == 0)
		c++;
	f = longest_waiting_flow(c);
	victim = f->head;
	DL_FOREACH (f->head, w) {
		if (w->priority <= victim->priority)
			victim = w;
	}
	return victim;
}

uint32_t
ir_queue_count_ahead(const struct ir_queue *q, const struct ir_flow *f)
{
	double rounds = rounds_until(f, f->count + 1.0);
	double ahead = f->count;
	const struct ir_flow *other;

	for (uint32_t i = f->class + 1; i < IR_CLASS_COUNT; i++)
		ahead += q->classes[i].count;
	DL_FOREACH (q->classes[f->class].active, other) {
		double served = rounds * other->weight + other->deficit;

		if (other != f)
			ahead += served < other->count ? served : other->count;
	}
	return (uint32_t)ahead;
}

struct ir_work *
ir_queue_find_overdue(const struct ir_queue *q, int64_t before_us)
{
	for (uint32_t i = 0; i < IR_CLASS_COUNT; i++) {
		struct ir_flow *f;
		struct ir_work *w;

		DL_FOREACH (q->classes[i].active, f) {
			DL_FOREACH (f->head, w) {
				if (w->deadline_us < before_us)
					return w;
			}
		}
	}
	return NULL;
}

struct ir_work *
ir_queue_find_lower_class(
    const struct ir_queue *q, uint32_t class, int64_t deadline_us)
{
	for (uint32_t i = 0; i < class; i++) {
		struct ir_flow *f;
		struct ir_work *w;

		DL_FOREACH (q->classes[i].active, f) {
			DL_FOREACH (f->head, w) {
				if (w->deadline_us <= deadline_us)
					return w;
			}
		}
	}
	return NULL;
}

void
ir_queue_free_idle_flows(struct ir_queue *q, int64_t before_us)
{
	for (uint32_t i = 0; i < IR_CLASS_COUNT; i++) {
		struct ir_flow *f, *tmp;

		HASH_ITER (hh, q->classes[i].flows, f, tmp) {
			if (f->count > 0 || f->last_used_us >= before_us)
				continue;
			HASH_DEL(q->classes[i].flows, f);
			talloc_free(f);
		}
	}
}
