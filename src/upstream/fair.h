/*
 * Divides what a route may start among the client accounts that ask for it:
 * who asks for less than an even part gets all of it, the others get the same
 * for each unit of weight (max-min fairness). A part of each account's
 * requests would instead give most to the one that asks for most.
 *
 * What accounts ask for is counted from one division to the next; earlier
 * counts fade by half at each.
 */
#ifndef IR_UPSTREAM_FAIR_H
#define IR_UPSTREAM_FAIR_H

#include <stdint.h>
#include <talloc.h>

struct ir_fair;

struct ir_fair *ir_fair_new(TALLOC_CTX *mem);
/*
 * Counts a request of the account. Returns which part of its requests is to
 * be started, 0 to 1.
 */
double ir_fair_ask(struct ir_fair *f, const char *account, uint32_t weight);
/* From now on that part, 0 to 1, of all that is asked for is started. */
void ir_fair_divide(struct ir_fair *f, double part);

#endif
