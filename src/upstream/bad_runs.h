/*
 * Whether an upstream refuses or breaks a good part of its runs.
 *
 * Designed for an upstream that does so whatever its load, with a good status:
 * it seems to have room and to be fast, so that a choice of hosts by load would
 * send it more than its share.
 */
#ifndef IR_UPSTREAM_BAD_RUNS_H
#define IR_UPSTREAM_BAD_RUNS_H

#include <stdbool.h>
#include <stdint.h>

/* All zeroes is a valid start. */
struct ir_bad_runs {
	double ratio; /* bad ones, of all runs; moving average */
	int64_t last_us;
};

/* Counts a run that ended; bad: the upstream refused or broke it. */
void ir_bad_runs_add(struct ir_bad_runs *r, int64_t now, bool bad);
/* False once no run has ended for a second: the upstream is tried again. */
bool ir_bad_runs_are_frequent(const struct ir_bad_runs *r, int64_t now);

#endif
