/*
 * The adaptive concurrency limit. Latency is measured in windows. The limit
 * grows while it is used and latency stays near its floor; otherwise a lower
 * limit is tried.
 */
#include "upstream/limit.h"
#include "ibisrail/limits.h"

#define MIN_LIMIT 1.0
#define START_LIMIT 2.0
/* In relation to the configured slots. */
#define MAX_LIMIT_PER_SLOT 4.0
#define START_SLOTS_FRACTION 0.25
/* Latency alone does not cut below this fraction of the slots. */
#define PROTECTED_SLOTS_FRACTION 0.8
/* A smaller cut changes latency too little to measure. */
#define MIN_CUT_FRACTION 0.05
/* Growth: by a factor in slow start, else by a rising fraction of the limit. */
#define SLOW_START_FACTOR 1.5
#define MIN_GROWTH_FRACTION 0.04
#define MAX_GROWTH_FRACTION 0.25
#define GROWTH_FRACTION_FACTOR 1.5
#define MIN_GROWTH_STEP 1.0
/* The limit counts as used if at least this fraction of it runs on average. */
#define MIN_USED_FRACTION 0.8
/* Latency / floor below which the limit grows, above which a trial starts. */
#define NEAR_FLOOR_RATIO 1.07
#define OVER_FLOOR_RATIO 1.25
/* Factors by which the limit is cut. */
#define MIN_LATENCY_CUT_FACTOR 0.8
#define PERIODIC_TRIAL_FACTOR 0.8
#define SHED_CUT_FACTOR 0.9
#define FAILURE_CUT_FACTOR 0.75
/* After a cut, the limit stays below running_at_shed for this time. */
#define SHED_HOLD_US IR_US_PER_S
/* Time between trials: a fixed part and a number of mean latencies. */
#define TRIAL_PERIOD_US (5 * IR_US_PER_S)
#define TRIAL_PERIOD_LATENCIES 50
/* Weights of new values in moving averages. */
#define LATENCY_WEIGHT (1.0 / 16)
#define FLOOR_DOWN_WEIGHT 0.3
#define FLOOR_UP_WEIGHT 0.25
/* Below this ratio to the floor, the floor follows latency at once. */
#define FASTER_SERVICE_RATIO 0.7
/* Latencies above this multiple of the usual one are capped to it. */
#define OUTLIER_RATIO 4.0
/* A window ends after enough samples, or after some time. */
#define MIN_WINDOW_SAMPLES 8
#define EXTRA_WINDOW_SAMPLES 8
#define MAX_WINDOW_US (500 * IR_US_PER_MS)
#define MAX_WINDOW_LATENCIES 20
/* Relative standard error of the mean at which a window may end. */
#define MAX_WINDOW_ERROR 0.07
#define MAX_SLOW_START_ERROR 0.1
#define MIN_ERROR_SQ 1e-6
/* Differences, in squared standard errors, that count as significant. */
#define QUEUEING_SIGMA_SQ 4
#define SLOW_START_SIGMA_SQ 8
#define SLOWER_SIGMA_SQ 1

static double
min(double a, double b)
{
	return a < b ? a : b;
}

static double
max(double a, double b)
{
	return a > b ? a : b;
}

static double
highest_limit(const struct ir_limit *l)
{
	return max(START_LIMIT, MAX_LIMIT_PER_SLOT * l->slots);
}

static void
set_limit(struct ir_limit *l, double limit)
{
	l->limit = min(max(limit, MIN_LIMIT), highest_limit(l));
}

static void
begin_window(struct ir_limit *l, int64_t now)
{
	l->window_start_us = now;
	l->measure_start_us = 0;
	l->settle_samples = 0;
	l->window_samples = 0;
	l->window_failed = 0;
	l->window_running_sum = 0;
	l->window_sum_us = 0;
	l->window_square_sum_us2 = 0;
}

static void
schedule_trial(struct ir_limit *l, int64_t now)
{
	l->next_trial_us =
	    now + TRIAL_PERIOD_US +
	    (int64_t)(TRIAL_PERIOD_LATENCIES * l->mean_latency_us);
}

void
ir_limit_init(struct ir_limit *l, int64_t now, uint32_t slots)
{
	*l = (struct ir_limit){.slots = slots > 0 ? slots : 1};
	set_limit(l, max(START_LIMIT, START_SLOTS_FRACTION * l->slots));
	l->last_cut_us = INT64_MIN / 2;
	l->slow_start = true;
	l->growth_fraction = MIN_GROWTH_FRACTION;
	begin_window(l, now);
	schedule_trial(l, now);
}

void
ir_limit_set_slots(struct ir_limit *l, uint32_t slots)
{
	l->slots = slots > 0 ? slots : 1;
	set_limit(l, l->limit);
}

/*
 * The lowest limit that latency alone may cause. On a busy host latency is too
 * noisy to show queueing at a low limit, so latency may not cut the limit below
 * most of the configured slots. Shedding and failures may.
 */
static double
protected_limit(const struct ir_limit *l)
{
	double slots = PROTECTED_SLOTS_FRACTION * l->slots;

	return l->running_at_shed > 0 ? min(slots, l->running_at_shed - 1)
				      : slots;
}

/* The next higher limit: grows by 1 from the load that the upstream shed. */
static double
next_limit(const struct ir_limit *l, int64_t now)
{
	double step = max(MIN_GROWTH_STEP, l->growth_fraction * l->limit);
	double next = l->limit + step;

	if (l->slow_start || l->limit < protected_limit(l))
		next = l->limit * SLOW_START_FACTOR;
	if (l->running_at_shed <= 0)
		return next;
	if (l->limit < l->running_at_shed - 1)
		return min(next, l->running_at_shed - 1);
	if (now - l->last_cut_us < SHED_HOLD_US)
		return l->limit;
	return l->limit + 1;
}

static void
grow(struct ir_limit *l, int64_t now)
{
	set_limit(l, next_limit(l, now));
	l->growth_fraction = min(
	    l->growth_fraction * GROWTH_FRACTION_FACTOR, MAX_GROWTH_FRACTION);
	if (l->limit >= l->slots)
		l->slow_start = false;
}

/* Square of the relative standard error of the window's mean. */
static double
window_error_sq(const struct ir_limit *l)
{
	double n = l->window_samples;
	double mean = l->window_sum_us / n;

	return max(0, l->window_square_sum_us2 / n / (mean * mean) - 1) / n;
}

/*
 * Returns false if the limit is already too close to the lowest allowed one for
 * a trial; the floor then moves towards the measured latency.
 */
static bool
begin_trial(struct ir_limit *l, int64_t now, double mean_us, double fraction)
{
	double lower = max(l->limit * fraction, protected_limit(l));

	l->slow_start = false;
	if (lower > (1 - MIN_CUT_FRACTION) * l->limit) {
		l->floor_us += FLOOR_UP_WEIGHT * (mean_us - l->floor_us);
		schedule_trial(l, now);
		return false;
	}
	l->limit_before_trial = l->limit;
	l->latency_before_trial_us = mean_us;
	l->error_sq_before_trial = window_error_sq(l);
	set_limit(l, lower);
	return true;
}

static void
lower_floor(struct ir_limit *l, int64_t now, double mean_us)
{
	double lower = l->floor_us / mean_us - 1;

	if (mean_us < FASTER_SERVICE_RATIO * l->floor_us) {
		l->floor_us = mean_us;
		l->next_trial_us = now;
	} else if (lower * lower >= window_error_sq(l) && lower > 0)
		l->floor_us += FLOOR_DOWN_WEIGHT * (mean_us - l->floor_us);
}

/*
 * If latency fell with the limit, requests were queueing; another trial follows
 * to see whether they still are. A raised floor is also confirmed by another
 * trial, as the latency before this one may have been measured while the
 * upstream was becoming slower. An inconclusive trial changes nothing.
 */
static void
end_trial(struct ir_limit *l, int64_t now, double mean_us, bool used)
{
	double latency_fall = 1 - mean_us / l->latency_before_trial_us;
	double half_of_cut = (1 - l->limit / l->limit_before_trial) / 2;
	double error_sq =
	    l->error_sq_before_trial + window_error_sq(l) + MIN_ERROR_SQ;
	double sigma_sq = (latency_fall - half_of_cut) *
			  (latency_fall - half_of_cut) / error_sq;
	bool queueing =
	    used && latency_fall > half_of_cut && sigma_sq >= QUEUEING_SIGMA_SQ;
	bool slower =
	    used && latency_fall < half_of_cut && sigma_sq >= SLOWER_SIGMA_SQ;

	schedule_trial(l, now);
	if (used && (latency_fall > half_of_cut ||
			mean_us > OVER_FLOOR_RATIO * l->floor_us))
		l->next_trial_us = now;
	if (!queueing)
		set_limit(l, l->limit_before_trial);
	if (slower || (queueing && mean_us < l->floor_us))
		l->floor_us = mean_us;
	l->limit_before_trial = 0;
}

/*
 * Whether latency is over its floor by more than the measurement error.
 * Stricter in slow start, when windows are short and the floor has few samples.
 */
static bool
over_floor(const struct ir_limit *l, double mean_us)
{
	double over = mean_us / l->floor_us - OVER_FLOOR_RATIO;
	double error_sq = window_error_sq(l);

	if (l->slow_start)
		error_sq *= SLOW_START_SIGMA_SQ;
	return over > 0 && over * over >= error_sq;
}

static void
adjust_limit(struct ir_limit *l, int64_t now, double mean_us, bool used)
{
	bool near_floor;

	if (l->floor_us <= 0)
		l->floor_us = mean_us;
	near_floor = mean_us <= NEAR_FLOOR_RATIO * l->floor_us;
	lower_floor(l, now, mean_us);
	if (!used) {
		l->floor_us += FLOOR_UP_WEIGHT * (mean_us - l->floor_us);
		return;
	}
	if (!near_floor)
		l->growth_fraction = MIN_GROWTH_FRACTION;
	if (l->limit < protected_limit(l))
		grow(l, now);
	else if (over_floor(l, mean_us))
		(void)begin_trial(l, now, mean_us,
		    max(MIN_LATENCY_CUT_FACTOR, l->floor_us / mean_us));
	else if (now >= l->next_trial_us &&
		 begin_trial(l, now, mean_us, PERIODIC_TRIAL_FACTOR))
		return;
	else if (near_floor || l->slow_start)
		grow(l, now);
}

/* The mean shows whether the limit is used: bursts reach any limit briefly. */
static double
mean_running(const struct ir_limit *l)
{
	return (double)l->window_running_sum / l->window_samples;
}

static void
end_window(struct ir_limit *l, int64_t now)
{
	bool used = mean_running(l) >= MIN_USED_FRACTION * ir_limit_current(l);
	double mean_us;

	if (l->window_failed > l->window_samples / 2) {
		l->limit_before_trial = 0;
		l->slow_start = false;
		set_limit(
		    l, max(FAILURE_CUT_FACTOR * l->limit,
			   min(l->limit, START_SLOTS_FRACTION * l->slots)));
	} else {
		mean_us = l->window_sum_us / l->window_samples;
		if (l->limit_before_trial > 0)
			end_trial(l, now, mean_us, used);
		else
			adjust_limit(l, now, mean_us, used);
	}
	begin_window(l, now);
}

/* Growth is easily undone, so it does not need a precise mean. */
static bool
may_grow(const struct ir_limit *l)
{
	double mean_us = l->window_sum_us / l->window_samples;

	return l->limit_before_trial <= 0 &&
	       mean_us <= NEAR_FLOOR_RATIO * l->floor_us;
}

static bool
window_full(const struct ir_limit *l, int64_t now)
{
	double wanted_samples = 2 * l->limit + EXTRA_WINDOW_SAMPLES;
	double error = MAX_WINDOW_ERROR;
	double longest_us;

	if (l->window_samples < MIN_WINDOW_SAMPLES)
		return false;
	if (l->slow_start) {
		wanted_samples = l->limit;
		error = MAX_SLOW_START_ERROR;
	}
	if (l->window_samples >= wanted_samples &&
	    (window_error_sq(l) <= error * error || may_grow(l)))
		return true;
	longest_us =
	    max(MAX_WINDOW_US, MAX_WINDOW_LATENCIES * l->mean_latency_us);
	return now - l->measure_start_us >= longest_us;
}

/* Cuts once per round trip: further requests shed were sent before the cut. */
static void
cut_after_shed(struct ir_limit *l, int64_t now, uint32_t running)
{
	if (now - l->last_cut_us <
	    (int64_t)max(l->mean_latency_us, IR_US_PER_MS))
		return;
	l->last_cut_us = now;
	l->running_at_shed = min(l->limit, max(running, 1));
	l->slow_start = false;
	l->limit_before_trial = 0;
	set_limit(l, SHED_CUT_FACTOR * l->running_at_shed);
	begin_window(l, now);
}

static void
add_latency(struct ir_limit *l, double us)
{
	double usual_us = max(l->floor_us, l->mean_latency_us);

	if (usual_us > 0)
		us = min(us, OUTLIER_RATIO * usual_us);
	if (l->mean_latency_us <= 0)
		l->mean_latency_us = us;
	l->mean_latency_us += LATENCY_WEIGHT * (us - l->mean_latency_us);
	if (l->measure_start_us == 0)
		return;
	l->window_samples++;
	l->window_sum_us += us;
	l->window_square_sum_us2 += us * us;
}

/* Starts measuring once most requests from before the window have ended. */
static void
count_settled(
    struct ir_limit *l, int64_t now, int64_t latency_us, uint32_t running)
{
	if (now - latency_us < l->window_start_us)
		return;
	l->settle_samples++;
	if (l->settle_samples >= running)
		l->measure_start_us = now;
}

void
ir_limit_sample(struct ir_limit *l, int64_t now, enum ir_sample s,
    int64_t latency_us, uint32_t running)
{
	double us = max(1.0, (double)latency_us);

	if (s == IR_SAMPLE_IGNORED || s == IR_SAMPLE_CALLEE_REFUSED)
		return;
	if (s == IR_SAMPLE_SHED) {
		cut_after_shed(l, now, running);
		return;
	}
	/* A quick failure must not lower the estimated service time. */
	if (s == IR_SAMPLE_FAILED)
		us = max(us, l->mean_latency_us);
	add_latency(l, us);
	if (l->measure_start_us == 0) {
		count_settled(l, now, latency_us, running);
		return;
	}
	l->window_running_sum += running;
	if (s == IR_SAMPLE_FAILED)
		l->window_failed++;
	if (window_full(l, now))
		end_window(l, now);
}

uint32_t
ir_limit_current(const struct ir_limit *l)
{
	return (uint32_t)max(l->limit, MIN_LIMIT);
}

int64_t
ir_limit_service_time_us(const struct ir_limit *l)
{
	return (int64_t)l->mean_latency_us;
}
