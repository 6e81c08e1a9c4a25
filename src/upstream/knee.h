/*
 * Finds whether an upstream is better used with a few of its slots free.
 *
 * Some upstreams take longer for each run when nearly all of their slots are
 * in use, which costs more than the slots left free. Designed for an upstream
 * whose slots are known, under more demand than they take. Nothing is counted
 * below that, where the limit does not matter.
 *
 * A few slots are left free unless a trial has shown that this gains nothing. A
 * trial alternates between both, in windows that are long compared with a run,
 * and compares the mean latency of the runs started in them. Its result is kept
 * for some time.
 */
#ifndef IR_UPSTREAM_KNEE_H
#define IR_UPSTREAM_KNEE_H

#include <stdbool.h>
#include <stdint.h>

struct ir_knee_side {
	uint32_t count;
	double sum_us;
};

/* All zeroes is a valid start. */
struct ir_knee {
	bool use_all; /* result of the last trial */
	bool in_trial;
	bool window_uses_all; /* in a trial: what this window tries */
	/* When the result was found, or the trial began; 0: no run counted. */
	int64_t since_us;
	int64_t window_start_us;
	struct ir_knee_side all;
	struct ir_knee_side most;
};

/* Runs to allow of this many slots. */
uint32_t ir_knee_limit(const struct ir_knee *k, uint32_t slots);
/*
 * A run ended that took latency_us, without waits for callees and for the
 * upstream's usual speed. running: runs in progress, including this one.
 */
void ir_knee_run_ended(struct ir_knee *k, int64_t now, int64_t started_us,
    double latency_us, uint32_t running, uint32_t slots);

#endif
