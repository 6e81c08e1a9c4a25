/*
 * Minters and wallets of a fleet in one process, with messages, views that
 * reach each host late, pauses, deaths and cuts. Time is simulated.
 *
 * Each host has a clock of its own offset. It asks for its view every
 * IR_VIEW_POLL_US; its lease runs from when it asked last.
 */
#ifndef TEST_CONTRACT_SIM_H
#define TEST_CONTRACT_SIM_H

#include "contract/issuer.h"
#include "contract/rate_limiter.h"
#include "support/contract_fleet.h"

struct sim_faults {
	uint32_t loss_percent;
	uint32_t repeat_percent;
	uint32_t late_percent; /* by up to 2 s, so out of order */
};

struct sim_ops {
	void (*spent)(void *ctx, int64_t t, uint32_t host);
	void (*denied)(void *ctx, int64_t t, uint32_t host);
};

struct sim;

/* The fleet is that of the view; its first account is the one spent. */
struct sim *sim_new(TALLOC_CTX *mem, const struct ir_view *view, uint64_t seed,
    const struct sim_faults *faults, const struct sim_ops *ops, void *ctx);
void sim_publish(struct sim *s, const struct ir_view *view);
/* A request enters at host at time t. */
void sim_request(struct sim *s, int64_t t, uint32_t host);
/* The process ends; a new one starts at once. */
void sim_restart(struct sim *s, uint32_t host);
/* The process does nothing until then, and wakes with all that waited. */
void sim_pause(struct sim *s, uint32_t host, int64_t until_us);
/* No message and no view reaches or leaves the host until then. */
void sim_cut(struct sim *s, uint32_t host, int64_t until_us);
/* No view reaches the host until then, but messages do. */
void sim_blind(struct sim *s, uint32_t host, int64_t until_us);
void sim_run(struct sim *s, int64_t until_us);
int64_t sim_now(const struct sim *s);
/* Messages sent. */
uint64_t sim_messages(const struct sim *s);
/* The time that all requests together waited for tokens. */
int64_t sim_waited_us(const struct sim *s);

#endif
