/* Finds whether an upstream is better used with a few of its slots free. */
#include "upstream/knee.h"

#include "ibisrail/limits.h"

/* Slots used while some are left free. */
#define USED_PERCENT 95
/* With fewer slots, one that is left free costs too much. */
#define MIN_SLOTS 10
#define MIN_WINDOW_US (100 * IR_US_PER_MS)
#define WINDOW_LATENCIES 4
/* Runs counted for each side of a trial. */
#define SIDE_RUNS 200
/* A trial that takes longer, as not all slots are wanted, changes nothing. */
#define MAX_TRIAL_US IR_US_PER_S
/* How long a result holds. */
#define RESULT_US (5 * IR_US_PER_S)

static uint32_t
most_of(uint32_t slots)
{
	return (uint32_t)((uint64_t)slots * USED_PERCENT / 100);
}

static bool
uses_all(const struct ir_knee *k)
{
	return k->in_trial ? k->window_uses_all : k->use_all;
}

uint32_t
ir_knee_limit(const struct ir_knee *k, uint32_t slots)
{
	return slots < MIN_SLOTS || uses_all(k) ? slots : most_of(slots);
}

static void
begin_window(struct ir_knee *k, int64_t now, bool use_all)
{
	k->window_uses_all = use_all;
	k->window_start_us = now;
}

static void
begin_trial(struct ir_knee *k, int64_t now)
{
	k->in_trial = true;
	k->since_us = now;
	k->all = (struct ir_knee_side){0};
	k->most = (struct ir_knee_side){0};
	begin_window(k, now, !k->use_all);
}

static double
mean(const struct ir_knee_side *s)
{
	return s->sum_us / s->count;
}

/* All slots serve more unless each run takes longer by more than their part. */
static bool
all_serve_more(const struct ir_knee *k, uint32_t slots)
{
	return mean(&k->all) * most_of(slots) < mean(&k->most) * slots;
}

static void
end_trial(struct ir_knee *k, int64_t now)
{
	k->in_trial = false;
	k->since_us = now;
}

static bool
window_is_over(const struct ir_knee *k, int64_t now)
{
	const struct ir_knee_side *s = k->window_uses_all ? &k->all : &k->most;
	double us = s->count > 0 ? WINDOW_LATENCIES * mean(s) : 0;

	if (us < MIN_WINDOW_US)
		us = MIN_WINDOW_US;
	return (double)(now - k->window_start_us) >= us;
}

static void
count_run(struct ir_knee *k, int64_t started_us, double latency_us)
{
	struct ir_knee_side *s = k->window_uses_all ? &k->all : &k->most;

	/* Runs of the window before ran under its limit for a part. */
	if (started_us < k->window_start_us)
		return;
	s->count++;
	s->sum_us += latency_us;
}

static void
advance_trial(struct ir_knee *k, int64_t now, uint32_t slots)
{
	if (k->all.count >= SIDE_RUNS && k->most.count >= SIDE_RUNS) {
		k->use_all = all_serve_more(k, slots);
		end_trial(k, now);
	} else if (now - k->since_us >= MAX_TRIAL_US) {
		end_trial(k, now);
	} else if (window_is_over(k, now)) {
		begin_window(k, now, !k->window_uses_all);
	}
}

void
ir_knee_run_ended(struct ir_knee *k, int64_t now, int64_t started_us,
    double latency_us, uint32_t running, uint32_t slots)
{
	if (slots < MIN_SLOTS)
		return;
	if (k->in_trial)
		advance_trial(k, now, slots);
	if (running < ir_knee_limit(k, slots))
		return;
	if (k->since_us == 0)
		k->since_us = now;
	if (k->in_trial)
		count_run(k, started_us, latency_us);
	else if (now - k->since_us >= RESULT_US)
		begin_trial(k, now);
}
