/* Views without a store, for tests of placement and of rate limits. */
#ifndef TEST_CONTRACT_VIEW_H
#define TEST_CONTRACT_VIEW_H

#include "host/view.h"

/*
 * Returns a view of zones "z1", "z2", ... with hosts "z1-h0001", ... each. The
 * first half of the zones is in region "r1", which has the store, the rest in
 * "r2".
 */
struct ir_view *contract_view_new(
    TALLOC_CTX *mem, uint32_t zones, uint32_t hosts_per_zone);
/* Returns a copy with the next list revision, without host unless NULL. */
struct ir_view *contract_view_without(
    TALLOC_CTX *mem, const struct ir_view *from, const char *host);
/* Returns a copy with the next list revision, where host is leaving. */
struct ir_view *contract_view_leaving(
    TALLOC_CTX *mem, const struct ir_view *from, const char *host);
/* Adds or changes an account; rate_per_s and burst are in tokens. */
void contract_view_set_account(
    struct ir_view *v, const char *name, uint32_t rate_per_s, uint32_t burst);

/* Returns the next pseudo-random number (SplitMix64) and advances *state. */
uint64_t contract_view_random(uint64_t *state);

#endif
