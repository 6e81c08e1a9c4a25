/*
 * Expected time until a request sent now to a host is done: network, wait and
 * service time, from what the host reported and what this node sent there.
 *
 * Designed for many senders that see the same report, for hosts that differ in
 * speed by a factor of three, and for slow phases shorter than a second: a
 * report loses weight with its age towards the mean of the service's hosts.
 */
#ifndef IR_ZONE_COMPLETION_TIME_H
#define IR_ZONE_COMPLETION_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisrail/limits.h"

/* A report of this age has no weight left. */
#define IR_REPORT_WEIGHT_END_US IR_US_PER_S

/* What is known of one host. */
struct ir_host_estimate {
	bool reported;	  /* the host has reported its load */
	int64_t age_us;	  /* of that report */
	uint32_t limit;	  /* concurrent requests, at least 1 */
	uint32_t present; /* running and queued, by that report */
	/* Of this node: sent since the report, and all in flight. */
	uint32_t sent_since;
	uint32_t in_flight;
	bool speed_known;	  /* service_time_us is for the present speed */
	uint32_t service_time_us; /* by that report */
};

/* Weighted sums over the hosts of a service. */
struct ir_service_estimate {
	double service_weight;
	double service_sum_us;
	double utilization_weight;
	double utilization_sum;
};

void ir_service_estimate_add(
    struct ir_service_estimate *s, const struct ir_host_estimate *h);
/* Requests expected at the host, without the one to be sent. */
double ir_expected_requests(
    const struct ir_host_estimate *h, const struct ir_service_estimate *s);
/*
 * Expected time in microseconds. network_us: to the host and back. A host
 * without a known speed gets the mean of the service's others.
 */
double ir_completion_time_us(const struct ir_host_estimate *h,
    const struct ir_service_estimate *s, double network_us);

#endif
