/* Limits the concurrency of an upstream that has started or recovered. */
#include "upstream/ramp.h"

#define START_DIVISOR 8
#define MIN_START 2
/* The mean of fewer answers is too noisy to compare. */
#define MIN_ROUND_ANSWERS 8
/* A round is bad if one in so many runs failed. */
#define BAD_DIVISOR 8
/*
 * Step after the first fall, relative to the limit. Doubling after a round that
 * was just not slower would give three times what the upstream takes.
 */
#define STEP_DIVISOR 4
/* A round is slower if it takes this multiple of the fastest one. */
#define SLOWER_RATIO 1.5

static uint32_t
min(uint64_t a, uint64_t b)
{
	return (uint32_t)(a < b ? a : b);
}

static void
begin_round(struct ir_ramp *r, int64_t now)
{
	r->round_start_us = now;
	r->good = 0;
	r->bad = 0;
	r->sum_us = 0;
}

void
ir_ramp_begin(struct ir_ramp *r, int64_t now, uint32_t target)
{
	uint32_t start = target / START_DIVISOR;

	if (target % START_DIVISOR > 0)
		start++;
	*r = (struct ir_ramp){.begin_us = now};
	r->lowest = start > MIN_START ? start : MIN_START;
	r->allowed = r->lowest;
	begin_round(r, now);
	if (r->lowest >= target)
		r->allowed = 0;
	r->target = target;
}

void
ir_ramp_tick(struct ir_ramp *r, int64_t now, uint32_t target)
{
	if (now - r->begin_us >= IR_RAMP_MAX_US)
		r->allowed = 0;
	if (r->allowed > target)
		r->allowed = target;
	r->target = target;
}

static uint32_t
round_answers(const struct ir_ramp *r)
{
	return r->allowed > MIN_ROUND_ANSWERS ? r->allowed : MIN_ROUND_ANSWERS;
}

static uint64_t
next_limit(const struct ir_ramp *r)
{
	uint64_t allowed = r->allowed;

	return r->has_fallen ? allowed + allowed / STEP_DIVISOR + 1
			     : 2 * allowed;
}

static void
raise_limit(struct ir_ramp *r, int64_t now, uint32_t regular)
{
	if (r->allowed >= r->target && r->target <= regular)
		r->allowed = 0;
	else if (r->allowed <= regular)
		r->allowed = min(r->target, next_limit(r));
	begin_round(r, now);
}

static void
lower_limit(struct ir_ramp *r, int64_t now)
{
	r->has_fallen = true;
	r->allowed /= 2;
	if (r->allowed < r->lowest)
		r->allowed = r->lowest;
	begin_round(r, now);
}

/* Runs of earlier rounds ran at another concurrency. */
static bool
is_of_round(const struct ir_ramp *r, int64_t started_us)
{
	return r->allowed > 0 && started_us >= r->round_start_us;
}

static void
end_round(struct ir_ramp *r, int64_t now, uint32_t regular)
{
	double mean_us = r->sum_us / r->good;

	if (r->fastest_us > 0 && mean_us > SLOWER_RATIO * r->fastest_us) {
		lower_limit(r, now);
		return;
	}
	if (r->fastest_us <= 0 || mean_us < r->fastest_us)
		r->fastest_us = mean_us;
	raise_limit(r, now, regular);
}

void
ir_ramp_run_good(struct ir_ramp *r, int64_t now, int64_t started_us,
    int64_t latency_us, uint32_t regular)
{
	if (!is_of_round(r, started_us))
		return;
	r->good++;
	r->sum_us += latency_us > 0 ? (double)latency_us : 1;
	if (r->good + r->bad >= round_answers(r))
		end_round(r, now, regular);
}

void
ir_ramp_run_bad(
    struct ir_ramp *r, int64_t now, int64_t started_us, uint32_t regular)
{
	if (!is_of_round(r, started_us))
		return;
	r->bad++;
	if (r->bad >= round_answers(r) / BAD_DIVISOR)
		lower_limit(r, now);
	else if (r->good + r->bad >= round_answers(r))
		end_round(r, now, regular);
}

uint32_t
ir_ramp_limit(const struct ir_ramp *r, uint32_t regular)
{
	return r->allowed > 0 && r->allowed < regular ? r->allowed : regular;
}
