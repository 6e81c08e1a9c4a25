/* Whether an upstream refuses or breaks a good part of its runs. */
#include "upstream/bad_runs.h"

#include "ibisrail/limits.h"

#define RUN_WEIGHT (1.0 / 32)
#define FREQUENT_RATIO 0.1
#define VALID_US IR_US_PER_S

void
ir_bad_runs_add(struct ir_bad_runs *r, int64_t now, bool bad)
{
	if (now - r->last_us > VALID_US)
		r->ratio = 0;
	r->last_us = now;
	r->ratio += RUN_WEIGHT * ((bad ? 1 : 0) - r->ratio);
}

bool
ir_bad_runs_are_frequent(const struct ir_bad_runs *r, int64_t now)
{
	return r->ratio > FREQUENT_RATIO && now - r->last_us <= VALID_US;
}
