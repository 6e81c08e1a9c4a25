/* Whether an upstream refuses a good part of its runs. */
#include "upstream/refusals.h"

#include "ibisrail/limits.h"

#define RUN_WEIGHT (1.0 / 32)
#define FREQUENT_RATIO 0.1
#define VALID_US IR_US_PER_S

void
ir_refusals_add(struct ir_refusals *r, int64_t now, bool refused)
{
	if (now - r->last_us > VALID_US)
		r->ratio = 0;
	r->last_us = now;
	r->ratio += RUN_WEIGHT * ((refused ? 1 : 0) - r->ratio);
}

bool
ir_refusals_are_frequent(const struct ir_refusals *r, int64_t now)
{
	return r->ratio > FREQUENT_RATIO && now - r->last_us <= VALID_US;
}
