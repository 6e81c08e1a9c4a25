/* Spaces the starts of runs to the rate that the upstream says it takes. */
#include "upstream/rate_cap.h"

#include "ibisrail/limits.h"

#define RATE_CAP_BURST_US (250 * IR_US_PER_MS)
#define MAX_INTERVAL_US (2 * IR_US_PER_S)
#define MT_PER_RUN 1000
#define SLICE_US (IR_US_PER_S / IR_RATE_CAP_SLICES)

static int64_t
interval_of(uint64_t mt_per_s)
{
	uint64_t us;

	if (mt_per_s == 0)
		return MAX_INTERVAL_US;
	us = MT_PER_RUN * IR_US_PER_S / mt_per_s;
	if (us == 0)
		return 1;
	return us < MAX_INTERVAL_US ? (int64_t)us : MAX_INTERVAL_US;
}

void
ir_rate_cap_set(struct ir_rate_cap *c, int64_t now, uint64_t mt_per_s)
{
	int64_t interval_us = interval_of(mt_per_s);

	/* Runs were started before: the next one is an interval away. */
	if (c->interval_us == 0 || c->next_us > now + interval_us)
		c->next_us = now + interval_us;
	c->interval_us = interval_us;
}

void
ir_rate_cap_clear(struct ir_rate_cap *c)
{
	c->interval_us = 0;
	c->hold_us = 0;
}

/* Empties the slices that are over a second old. */
static void
advance_slices(struct ir_rate_cap *c, int64_t now)
{
	int64_t slice = now / SLICE_US;
	int64_t gap = slice - c->last_slice;

	if (gap > IR_RATE_CAP_SLICES)
		gap = IR_RATE_CAP_SLICES;
	for (int64_t i = 0; i < gap; i++)
		c->starts[(slice - i) % IR_RATE_CAP_SLICES] = 0;
	if (gap > 0)
		c->last_slice = slice;
}

void
ir_rate_cap_hold(struct ir_rate_cap *c, int64_t now)
{
	int64_t us = 0;

	advance_slices(c, now);
	for (int i = 0; i < IR_RATE_CAP_SLICES && us < IR_US_PER_S; i++)
		us += c->starts[i] * c->interval_us;
	c->hold_us = now + (us < IR_US_PER_S ? us : IR_US_PER_S);
}

int64_t
ir_rate_cap_wait_us(const struct ir_rate_cap *c, int64_t now, uint32_t count)
{
	int64_t burst_us = RATE_CAP_BURST_US - c->interval_us;
	int64_t start_us = c->next_us > now ? c->next_us : now;
	int64_t last_us;

	if (c->interval_us == 0 || count == 0)
		return 0;
	last_us = start_us + (int64_t)(count - 1) * c->interval_us;
	if (burst_us > 0)
		last_us -= burst_us;
	if (last_us < c->hold_us)
		last_us = c->hold_us;
	return last_us > now ? last_us - now : 0;
}

void
ir_rate_cap_take(struct ir_rate_cap *c, int64_t now)
{
	int64_t start_us = c->next_us > now ? c->next_us : now;

	c->next_us = start_us + c->interval_us;
	advance_slices(c, now);
	c->starts[now / SLICE_US % IR_RATE_CAP_SLICES]++;
}
