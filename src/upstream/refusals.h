/*
 * Whether an upstream refuses a good part of its runs.
 *
 * Designed for an upstream that refuses runs whatever its load: it seems to
 * have room and to be fast, so that a choice of hosts by load would send it
 * more than its share.
 */
#ifndef IR_UPSTREAM_REFUSALS_H
#define IR_UPSTREAM_REFUSALS_H

#include <stdbool.h>
#include <stdint.h>

/* All zeroes is a valid start. */
struct ir_refusals {
	double ratio; /* refused, of all runs; moving average */
	int64_t last_us;
};

/* Counts a run that the upstream refused, or ran. */
void ir_refusals_add(struct ir_refusals *r, int64_t now, bool refused);
/* False once no run has ended for a second: the upstream is tried again. */
bool ir_refusals_are_frequent(const struct ir_refusals *r, int64_t now);

#endif
