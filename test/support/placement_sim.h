/*
 * Many senders and the hosts of one service in simulated time, with the real
 * balancer and the real gate. Hosts differ in speed, and are slow for short
 * phases; the demand of one zone swings.
 */
#ifndef TEST_SUPPORT_PLACEMENT_SIM_H
#define TEST_SUPPORT_PLACEMENT_SIM_H

#include <stdbool.h>
#include <stdint.h>

#define PLACEMENT_HOSTS 20
#define PLACEMENT_ZONES 2
#define PLACEMENT_TARGET_US 60000 /* latency */

struct placement_options {
	uint64_t seed;
	bool report_speed;    /* the fourth figure; false: the previous rule */
	double load;	      /* mean demand of the capacity */
	double swing;	      /* of the demand of zone 0 */
	int64_t run_us;	      /* simulated time */
	int64_t stop_from_us; /* reports stop here; 0: never */
	int nonsense_host;    /* reports a 40th of its duration; -1: none */
	bool slow_phases;
	bool slow_when_full; /* 1.3 times as long beyond 95% of the slots */
};

struct placement_result {
	uint64_t offered, in_time, refused;
	int64_t p99_us;
	double worst_second; /* share in time of the worst second */
	double spilled;	     /* share of the senders of zone 0 sent away */
	uint64_t served[PLACEMENT_HOSTS];
	double capacity[PLACEMENT_HOSTS]; /* of runs, within run_us */
	/* Most work at a host, queued and running, by its limit. */
	double most_work;
	double most_wait_us; /* longest queue by the time it takes */
};

struct placement_result placement_simulate(const struct placement_options *o);

#endif
