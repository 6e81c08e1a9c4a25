/*
 * An upstream in simulated time, for tests and benchmarks: serves up to
 * capacity requests at once and queues or refuses the others.
 */
#ifndef TEST_SUPPORT_UPSTREAM_SIM_H
#define TEST_SUPPORT_UPSTREAM_SIM_H

#include <stdbool.h>
#include <stdint.h>

#define UPSTREAM_SIM_MAX 16384

enum upstream_sim_spread {
	UPSTREAM_SIM_FIXED,
	UPSTREAM_SIM_UNIFORM, /* half to one and a half of the mean */
	UPSTREAM_SIM_EXPONENTIAL
};

struct upstream_sim {
	uint32_t capacity;
	int64_t service_us;
	enum upstream_sim_spread spread;
	bool sheds; /* refuses beyond the capacity, else queues */
	uint64_t random;
	/* Requests in service, in no order. */
	struct {
		uint32_t id;
		int64_t end_us;
	} busy[UPSTREAM_SIM_MAX];
	uint32_t busy_count;
	/* Requests queued inside, a ring buffer. */
	uint32_t waiting[UPSTREAM_SIM_MAX];
	uint32_t waiting_first;
	uint32_t waiting_count;
	uint32_t free_ids[UPSTREAM_SIM_MAX];
	uint32_t free_count;
};

void upstream_sim_init(struct upstream_sim *u, uint32_t capacity,
    int64_t service_us, uint64_t seed);
/* Returns false if the upstream refuses the request. */
bool upstream_sim_start(struct upstream_sim *u, int64_t now, uint32_t *id);
/* Takes the next request that ended by now; false if there is none. */
bool upstream_sim_ended(struct upstream_sim *u, int64_t now, uint32_t *id);
/* Cancels a request, queued or in service. */
void upstream_sim_cancel(struct upstream_sim *u, int64_t now, uint32_t id);

#endif
