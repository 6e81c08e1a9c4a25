/*
 * Shed levels of a gate: the lowest priorities that it currently serves, taken
 * from the requests that it had to refuse. The nodes of callers refuse requests
 * below these levels at the first hop. Levels fall at the end of each window in
 * which there was capacity to spare, so that callers send such requests again.
 */
#ifndef IR_UPSTREAM_SHED_H
#define IR_UPSTREAM_SHED_H

#include <stdint.h>

#include "upstream/queue.h"

struct ir_shed {
	int64_t window_start_us;
	/* Requests of each class in the window. */
	uint32_t started[IR_CLASS_COUNT];
	uint32_t refused[IR_CLASS_COUNT];
	uint32_t lowest_class; /* lowest class served */
	double refusal_ratio;  /* refused for each started; moving average */
};

void ir_shed_init(struct ir_shed *s, int64_t now);
void ir_shed_count_started(struct ir_shed *s, struct ir_flow *f);
void ir_shed_count_refused(struct ir_shed *s, struct ir_flow *f);
/* Counts a started request as refused instead: its run was wasted. */
void ir_shed_count_wasted(struct ir_shed *s, struct ir_flow *f);
/* Updates the levels if the window is over; call it every few milliseconds. */
void ir_shed_tick(struct ir_shed *s, struct ir_queue *q, int64_t now);
/* Requests of lower priority are refused, whatever their account. */
uint32_t ir_shed_level(const struct ir_shed *s);
/* Requests of this account with a lower priority are refused. */
uint32_t ir_shed_account_level(
    const struct ir_shed *s, const struct ir_queue *q, const char *account);

#endif
