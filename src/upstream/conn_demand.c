/* How many connections to an upstream are worth keeping open. */
#include "upstream/conn_demand.h"

#include "ibisrail/limits.h"

/* A peak counts for one to two periods. */
#define PERIOD_US (4 * IR_US_PER_S)

static void
advance(struct ir_conn_demand *d, int64_t now)
{
	int64_t age_us = now - d->period_start_us;

	if (age_us < PERIOD_US)
		return;
	d->last_peak = age_us < 2 * PERIOD_US ? d->peak : 0;
	d->peak = 0;
	d->period_start_us = now;
}

void
ir_conn_demand_add(struct ir_conn_demand *d, int64_t now, uint32_t busy)
{
	advance(d, now);
	if (busy > d->peak)
		d->peak = busy;
}

uint32_t
ir_conn_demand_kept(struct ir_conn_demand *d, int64_t now)
{
	advance(d, now);
	return d->peak > d->last_peak ? d->peak : d->last_peak;
}
