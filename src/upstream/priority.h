/*
 * Importance and shed priority of a request.
 *
 * Importance is one number made of the importance of the account and that of
 * the route, each 0 to IR_MAX_IMPORTANCE. Requests are compared by account
 * first.
 *
 * Shed priority is one number that has the same meaning at each hop. Requests
 * are compared by importance, then by place in the call chain (inside a chain
 * is higher than entering it), then by rank, a number that all calls of one
 * request share. Higher priorities are shed later. The shed level of a gate is
 * the lowest priority that it serves; 0 serves all.
 */
#ifndef IR_UPSTREAM_PRIORITY_H
#define IR_UPSTREAM_PRIORITY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisrail/limits.h"

#define IR_RANK_BITS 16
#define IR_RANK_MASK ((UINT32_C(1) << IR_RANK_BITS) - 1)

static inline uint32_t
ir_importance(uint32_t account, uint32_t route)
{
	return account * (IR_MAX_IMPORTANCE + 1) + route;
}

static inline uint32_t
ir_importance_of_account(uint32_t importance)
{
	return importance / (IR_MAX_IMPORTANCE + 1);
}

static inline uint32_t
ir_importance_of_route(uint32_t importance)
{
	return importance % (IR_MAX_IMPORTANCE + 1);
}

static inline uint32_t
ir_priority(uint32_t importance, bool inside_chain, uint32_t rank)
{
	return importance << (IR_RANK_BITS + 1) |
	       (uint32_t)inside_chain << IR_RANK_BITS | (rank & IR_RANK_MASK);
}

#endif
