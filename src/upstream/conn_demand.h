/*
 * How many connections to an upstream are worth keeping open: as many as were
 * busy at once lately.
 *
 * Designed for requests that each need a new connection: the connections that
 * they leave idle are more than can be reused, and count towards the number
 * that the upstream accepts.
 */
#ifndef IR_UPSTREAM_CONN_DEMAND_H
#define IR_UPSTREAM_CONN_DEMAND_H

#include <stdint.h>

/* All zeroes is a valid start. */
struct ir_conn_demand {
	int64_t period_start_us;
	uint32_t peak;	    /* of the busy connections, in this period */
	uint32_t last_peak; /* in the one before */
};

/* Counts the connections that are busy now. */
void ir_conn_demand_add(struct ir_conn_demand *d, int64_t now, uint32_t busy);
/* Connections to keep, busy and idle together. */
uint32_t ir_conn_demand_kept(struct ir_conn_demand *d, int64_t now);

#endif
