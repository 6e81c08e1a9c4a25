/*
 * Throttles routes whose runs fail because of overloaded callees.
 *
 * A run is wasted when it fails because one of its own calls was refused for
 * overload or found no host, at any depth of the call chain. A callee with too
 * little capacity refuses one of the several calls of nearly every request,
 * after most of the work on that request has been done. Starting fewer requests
 * of the route then serves more of them.
 *
 * For each route, a fraction of the requests is admitted. It is adjusted at the
 * end of a window, which lasts at least as long as an average run (but at most
 * about 1 s), so that its runs reflect the last adjustment. The fraction is
 * lowered in proportion to the wasted runs and raised by a step after a window
 * with next to none; the step doubles after several such windows in a row. The
 * admitted requests are divided among the client accounts by demand
 * (fair_share.h). Which requests of an account are admitted depends on their
 * rank, which is the same at each host.
 *
 * To be used only for requests on which no host has done any work yet.
 */
#ifndef IR_UPSTREAM_THROTTLE_H
#define IR_UPSTREAM_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct ir_throttle;

/* NULL if out of memory. */
struct ir_throttle *ir_throttle_new(TALLOC_CTX *mem);
/*
 * Whether to start a request of this route, rank (priority.h) and account.
 * route_hash identifies the route; weight is that of the account.
 */
bool ir_throttle_admits(struct ir_throttle *t, int64_t now, uint64_t route_hash,
    uint32_t rank, const char *account, uint32_t weight);
/* Counts a run of the route that ended after run_us. */
void ir_throttle_run_ended(struct ir_throttle *t, int64_t now,
    uint64_t route_hash, bool wasted, int64_t run_us);
/* Fraction of the route's requests that is admitted, up to 1. */
double ir_throttle_admitted_fraction(
    const struct ir_throttle *t, uint64_t route_hash);
/* Frees the state of routes without requests and runs for 30 s. */
void ir_throttle_free_idle(struct ir_throttle *t, int64_t now);

#endif
