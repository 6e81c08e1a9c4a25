/*
 * Adaptive concurrency limit of one upstream, from latency compared with its
 * long-term floor, from failures and from requests that the upstream sheds. The
 * limit starts low, as the upstream may have cold caches, and rises to at most
 * four times the configured slots.
 *
 * Latency above the floor means either that requests queue inside the upstream
 * or that it has become slower. A trial shows which: the limit is lowered. If
 * latency falls with it, requests were queueing; otherwise the former limit is
 * restored and the floor raised. See docs/design/overload.md.
 */
#ifndef IR_UPSTREAM_LIMIT_H
#define IR_UPSTREAM_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* How one started request ended. */
enum ir_sample {
	IR_SAMPLE_OK,
	IR_SAMPLE_SHED,		  /* the upstream refused it */
	IR_SAMPLE_CALLEE_REFUSED, /* failed, as a callee had no capacity */
	IR_SAMPLE_FAILED,	  /* error, timeout or broken connection */
	IR_SAMPLE_IGNORED	  /* cancelled; not counted */
};

struct ir_limit {
	double limit;		/* concurrent requests */
	double growth_fraction; /* next increase, relative to the limit */
	uint32_t slots;
	double floor_us;	/* latency without queueing */
	double mean_latency_us; /* moving average over about 16 requests */
	/*
	 * The current window. Measuring begins once most of the requests that
	 * started before the window have ended.
	 */
	int64_t window_start_us;
	int64_t measure_start_us; /* 0: not yet measuring */
	uint32_t settle_samples;  /* requests of this window ended before */
	uint32_t window_samples;
	uint32_t window_failed;
	uint64_t
	    window_running_sum; /* of the requests running at each sample */
	double window_sum_us;
	double window_square_sum_us2;
	/* Trial of a lower limit. */
	double limit_before_trial; /* 0 if no trial is running */
	double latency_before_trial_us;
	double error_sq_before_trial; /* squared relative error of it */
	int64_t next_trial_us;
	double running_at_shed; /* requests running at the last shed, or 0 */
	int64_t last_cut_us;
	bool slow_start;
};

void ir_limit_init(struct ir_limit *l, int64_t now, uint32_t slots);
void ir_limit_set_slots(struct ir_limit *l, uint32_t slots);
/*
 * Counts a request that ended. latency_us: without time waiting for callees;
 * running: requests in the upstream, including this one.
 */
void ir_limit_sample(struct ir_limit *l, int64_t now, enum ir_sample s,
    int64_t latency_us, uint32_t running);
/* Requests that may run at once, at least 1. */
uint32_t ir_limit_current(const struct ir_limit *l);
/* Estimated latency of one request in the upstream; 0 before the first. */
int64_t ir_limit_service_time_us(const struct ir_limit *l);

#endif
