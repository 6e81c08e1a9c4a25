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

/* Parts of the last second for which starts are counted. */
#define IR_RATE_CAP_SLICES 20

struct ir_rate_cap {
	int64_t interval_us; /* between two runs; 0: no cap */
	int64_t next_us;     /* when the next run would be on schedule */
	int64_t hold_us;     /* no run starts before, while there is a cap */
	/* Starts in the last second, also without cap. */
	uint32_t starts[IR_RATE_CAP_SLICES];
	int64_t last_slice; /* number of the slice of the last start */
};

/*
 * Sets the cap, in thousandths of a run a second. At 0 a run every two seconds
 * is left, as only an answer can show that the limit has ended.
 */
void ir_rate_cap_set(struct ir_rate_cap *c, int64_t now, uint64_t mt_per_s);
void ir_rate_cap_clear(struct ir_rate_cap *c);
/*
 * Counts the runs started in the last second as started at the cap's rate: none
 * starts for as long as that rate would have taken for them, at most a second.
 */
void ir_rate_cap_hold(struct ir_rate_cap *c, int64_t now);
/* Time until count runs, from now on, may have been started; 0 without cap. */
int64_t ir_rate_cap_wait_us(
    const struct ir_rate_cap *c, int64_t now, uint32_t count);
/* A run was started. */
void ir_rate_cap_take(struct ir_rate_cap *c, int64_t now);

#endif
