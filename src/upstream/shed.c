/* Shed levels, updated at the end of each window. */
#include <string.h>

#include "ibisrail/limits.h"
#include "upstream/shed.h"

/*
 * A window with refusals but fewer than MIN_WINDOW_STARTS starts is extended up
 * to MAX_WINDOW_US.
 */
#define MIN_WINDOW_US (50 * IR_US_PER_MS)
#define MAX_WINDOW_US (100 * IR_US_PER_MS)
#define MIN_WINDOW_STARTS 16
#define RANKS (IR_RANK_MASK + 1)
/* A twentieth of the ranks of a flow is never shed. */
#define MAX_SHED_RANKS (RANKS / 20 * 19)
/* Without refusals, shed ranks fall by half each window, at least by this. */
#define MIN_FALL_RANKS (RANKS / 4)
/* The lowest class served falls by at most this in each window. */
#define CLASS_FALL_STEP 2
#define REFUSAL_RATIO_WEIGHT 0.3

void
ir_shed_init(struct ir_shed *s, int64_t now)
{
	*s = (struct ir_shed){.window_start_us = now};
}

void
ir_shed_count_started(struct ir_shed *s, struct ir_flow *f)
{
	s->started[f->class]++;
	f->started++;
}

void
ir_shed_count_refused(struct ir_shed *s, struct ir_flow *f)
{
	s->refused[f->class]++;
	f->refused++;
}

void
ir_shed_count_wasted(struct ir_shed *s, struct ir_flow *f)
{
	if (f->started > 0)
		f->started--;
	if (s->started[f->class] > 0)
		s->started[f->class]--;
	ir_shed_count_refused(s, f);
}

static uint32_t
total(const uint32_t *count)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < IR_CLASS_COUNT; i++)
		sum += count[i];
	return sum;
}

/*
 * Among the classes up to the highest one with refused requests, the lowest
 * with started ones. If there is none, the class above that highest one; if
 * nothing was refused, 0.
 */
static uint32_t
next_lowest_class(const struct ir_shed *s)
{
	uint32_t above_refused = 0;

	for (uint32_t i = 0; i < IR_CLASS_COUNT; i++) {
		if (s->refused[i] > 0)
			above_refused = i + 1;
	}
	for (uint32_t i = 0; i < above_refused; i++) {
		if (s->started[i] > 0)
			return i;
	}
	return above_refused < IR_CLASS_COUNT ? above_refused
					      : IR_CLASS_COUNT - 1;
}

static void
update_lowest_class(struct ir_shed *s)
{
	uint32_t next = next_lowest_class(s);

	if (next >= s->lowest_class && total(s->started) >= MIN_WINDOW_STARTS)
		s->lowest_class = next;
	else if (s->lowest_class >= next + CLASS_FALL_STEP)
		s->lowest_class -= CLASS_FALL_STEP;
	else if (next < s->lowest_class)
		s->lowest_class = next;
}

static void
update_shed_ranks(struct ir_flow *f)
{
	uint32_t fall = f->shed_ranks / 2;

	if (f->refused > 0) {
		uint64_t not_shed = MAX_SHED_RANKS - f->shed_ranks;

		f->shed_ranks += (uint32_t)(not_shed * f->refused /
					    (f->refused + f->started) / 2);
	} else {
		fall = fall > MIN_FALL_RANKS ? fall : MIN_FALL_RANKS;
		f->shed_ranks -= fall < f->shed_ranks ? fall : f->shed_ranks;
	}
	f->started = 0;
	f->refused = 0;
}

void
ir_shed_tick(struct ir_shed *s, struct ir_queue *q, int64_t now)
{
	int64_t age = now - s->window_start_us;
	uint32_t started = total(s->started);
	uint32_t refused = total(s->refused);
	double refusal_ratio;
	struct ir_flow *f, *tmp;

	if (age < MIN_WINDOW_US)
		return;
	if (refused > 0 && started < MIN_WINDOW_STARTS && age < MAX_WINDOW_US)
		return;
	refusal_ratio = (double)refused / (started > 0 ? started : 1);
	s->refusal_ratio +=
	    REFUSAL_RATIO_WEIGHT * (refusal_ratio - s->refusal_ratio);
	update_lowest_class(s);
	for (uint32_t i = 0; i < IR_CLASS_COUNT; i++) {
		HASH_ITER (hh, q->classes[i].flows, f, tmp) {
			update_shed_ranks(f);
		}
	}
	memset(s->started, 0, sizeof(s->started));
	memset(s->refused, 0, sizeof(s->refused));
	s->window_start_us = now;
}

uint32_t
ir_shed_level(const struct ir_shed *s)
{
	return s->lowest_class << IR_RANK_BITS;
}

uint32_t
ir_shed_account_level(
    const struct ir_shed *s, const struct ir_queue *q, const char *account)
{
	const struct ir_flow *f =
	    ir_queue_find_flow(q, s->lowest_class, account);

	return ir_shed_level(s) + (f != NULL ? f->shed_ranks : 0);
}
