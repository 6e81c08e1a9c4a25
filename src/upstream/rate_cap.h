/*
 * Spaces the starts of runs to the rate that the upstream says it takes.
 *
 * A run may start when the interval since the last one is over. An upstream
 * that takes many requests a second may get those of RATE_CAP_BURST_US at once.
 */
#ifndef IR_UPSTREAM_RATE_CAP_H
#define IR_UPSTREAM_RATE_CAP_H

#include <stdbool.h>
#include <stdint.h>

struct ir_rate_cap {
	int64_t interval_us; /* between two runs; 0: no cap */
	int64_t next_us;     /* when the next run would be on schedule */
};

/*
 * Sets the cap, in thousandths of a run a second. At 0 a run every two seconds
 * is left, as only an answer can show that the limit has ended.
 */
void ir_rate_cap_set(struct ir_rate_cap *c, int64_t now, uint64_t mt_per_s);
void ir_rate_cap_clear(struct ir_rate_cap *c);
/* Time until count runs, from now on, may have been started; 0 without cap. */
int64_t ir_rate_cap_wait_us(
    const struct ir_rate_cap *c, int64_t now, uint32_t count);
/* A run was started. */
void ir_rate_cap_take(struct ir_rate_cap *c, int64_t now);

#endif
