/*
 * Max-min fair division of the admitted requests of one route among client
 * accounts: an account with a demand below its weighted share is admitted
 * fully, and the rest of its share is divided among the others by weight.
 * Admitting the same fraction of each account's requests would instead give
 * most to the account with the highest demand.
 *
 * The demand of an account is the number of its requests since the last
 * ir_fair_share_update() plus the earlier count, which each update halves.
 */
#ifndef IR_UPSTREAM_FAIR_SHARE_H
#define IR_UPSTREAM_FAIR_SHARE_H

#include <stdint.h>
#include <talloc.h>

struct ir_fair_share;

/* NULL if out of memory. */
struct ir_fair_share *ir_fair_share_new(TALLOC_CTX *mem);
/*
 * Counts a request of the account. Returns the fraction of the account's
 * requests to admit, 0 to 1.
 */
double ir_fair_share_request(
    struct ir_fair_share *f, const char *account, uint32_t weight);
/*
 * Sets the fraction of all requests to admit, 0 to 1, and recomputes the shares
 * of the accounts from their demand.
 */
void ir_fair_share_update(struct ir_fair_share *f, double fraction);

#endif
