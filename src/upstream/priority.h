/*
 * Importance of a request, from 0 up: that of its account goes before that of
 * its route, each 0 to IR_MAX_IMPORTANCE.
 *
 * Shed priority of a request, one number that means the same at every hop:
 * importance, then inside a chain before entering, then the rank of the whole
 * request. Higher is shed later. A gate's shed level is the lowest priority
 * that it takes; 0 takes all.
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
