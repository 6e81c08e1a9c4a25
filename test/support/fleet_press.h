/* Steps that tests of a simulated fleet under steady calls share. */
#ifndef TEST_FLEET_PRESS_H
#define TEST_FLEET_PRESS_H

#include "support/fleet.h"

/* Publishes the defaults and starts all nodes; runs until rates are issued. */
void fleet_start_all(struct fleet *f);
/* Calls every period_us at count nodes from first on, in turn. */
void fleet_press(struct fleet *f, int first, int count, int64_t period_us,
    int64_t for_us, const struct fleet_request *r);
/* Calls from that number on that were not answered by an upstream. */
int fleet_count_failed(const struct fleet *f, int from_call);
/* Fails the test if a guarantee was broken, and frees the fleet. */
void fleet_finish(struct fleet *f);

#endif
