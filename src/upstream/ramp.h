/*
 * Limits the concurrency of an upstream that has started or recovered.
 *
 * Starts at a share of the target. Doubles after each round of runs that was
 * good and not clearly slower than the fastest one; otherwise it halves, and
 * from then on rises by a quarter after each good round.
 * A good round at the target ends it: without that round a limit that is too
 * high would go unnoticed in the last step.
 * Designed for one upstream with enough load to use its limit. With less load
 * than that, it ends after IR_RAMP_MAX_US.
 */
#ifndef IR_UPSTREAM_RAMP_H
#define IR_UPSTREAM_RAMP_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisrail/limits.h"

/* A ramp ends after this time, whatever the answers. */
#define IR_RAMP_MAX_US (10 * IR_US_PER_S)
/*
 * With demand for the whole limit, answers that are good and equally fast end
 * the ramp within this number of run times: three doublings from an eighth, or
 * from 2 if the target is at most 16, and the round at the target. A round of 8
 * answers takes at most 5 run times at 2 runs, 3 at 4, and 2 at 8 or more; one
 * of them is for the runs from before the round.
 */
#define IR_RAMP_MAX_RUN_TIMES 12

struct ir_ramp {
	uint32_t allowed; /* concurrent runs; 0: not ramping */
	uint32_t lowest;  /* value of allowed at the start */
	uint32_t target;
	bool has_fallen; /* since the start */
	int64_t begin_us;
	double fastest_us; /* mean latency of the fastest round; 0: none */
	/* The current round: runs that started since its start. */
	int64_t round_start_us;
	uint32_t good;
	uint32_t bad;
	double sum_us; /* of the latencies of good runs */
};

/*
 * The upstream has started or recovered. target: concurrent runs that it is
 * configured for or reports.
 */
void ir_ramp_begin(struct ir_ramp *r, int64_t now, uint32_t target);
/* Ends the ramp if its time is over; follows changes of the target. */
void ir_ramp_tick(struct ir_ramp *r, int64_t now, uint32_t target);
/*
 * A run was answered. latency_us: without waits for callees. regular: limit
 * without the ramp. While that is the lower one, the ramp's limit is not used
 * and answers do not show that a higher one is possible.
 */
void ir_ramp_run_good(struct ir_ramp *r, int64_t now, int64_t started_us,
    int64_t latency_us, uint32_t regular);
/* A run failed, or the upstream refused it. */
void ir_ramp_run_bad(
    struct ir_ramp *r, int64_t now, int64_t started_us, uint32_t regular);
/* The lower of the regular limit and the ramp's. */
uint32_t ir_ramp_limit(const struct ir_ramp *r, uint32_t regular);

#endif
