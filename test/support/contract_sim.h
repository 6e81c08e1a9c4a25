/*
 * Simulation of the issuers and rate limiters of a fleet in one process, with
 * simulated time. Messages are lost, duplicated or delayed; new views reach the
 * hosts at different times; hosts restart, pause and lose connection.
 *
 * The clock of each host has an offset of its own. A host requests its view
 * every IR_VIEW_POLL_US; its lease runs from the last request that was
 * answered. All other times are simulated time in microseconds.
 */
#ifndef TEST_CONTRACT_SIM_H
#define TEST_CONTRACT_SIM_H

#include "contract/issuer.h"
#include "contract/rate_limiter.h"
#include "support/contract_view.h"

struct sim_faults {
	uint32_t loss_percent;
	uint32_t duplicate_percent;
	uint32_t delay_percent; /* by up to 2 s, so out of order */
};

struct sim_ops {
	void (*admitted)(void *ctx, int64_t t, uint32_t host);
	void (*denied)(void *ctx, int64_t t, uint32_t host);
};

struct sim;

/*
 * Simulates the hosts of the view; calls take tokens of its first account. A
 * host is named by its index in the view.
 */
struct sim *sim_new(TALLOC_CTX *mem, const struct ir_view *view, uint64_t seed,
    const struct sim_faults *faults, const struct sim_ops *ops, void *ctx);
/* Makes view the newest one. */
void sim_publish(struct sim *s, const struct ir_view *view);
/* A call arrives at host at time t. */
void sim_call(struct sim *s, int64_t t, uint32_t host);
/* Ends the host's process and starts a new one at once. */
void sim_restart(struct sim *s, uint32_t host);
/* Delays all events of the host until then. */
void sim_pause(struct sim *s, uint32_t host, int64_t until_us);
/* No message and no view reaches or leaves the host until then. */
void sim_disconnect(struct sim *s, uint32_t host, int64_t until_us);
/* No view reaches the host until then, but messages do. */
void sim_block_views(struct sim *s, uint32_t host, int64_t until_us);
/* Runs all events up to then. */
void sim_run(struct sim *s, int64_t until_us);
int64_t sim_now(const struct sim *s);
/* The number of messages sent. */
uint64_t sim_messages(const struct sim *s);
/* The sum of the times that calls waited for tokens. */
int64_t sim_waited_us(const struct sim *s);

#endif
