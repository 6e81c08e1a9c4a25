/*
 * A position in the store's history: its era and a revision, as one number, so
 * that every comparison of revisions in the product is one of the pair. A store
 * without eras has era 0.
 */
#ifndef IR_HOST_POSITION_H
#define IR_HOST_POSITION_H

#include <stdint.h>

#define IR_POSITION_REVISION_BITS 43
#define IR_MAX_STORE_REVISION ((UINT64_C(1) << IR_POSITION_REVISION_BITS) - 1)
/* Positions stay below 2^63, as JSON's integers must. */
#define IR_MAX_STORE_ERA ((UINT64_C(1) << 20) - 1)

static inline uint64_t
ir_position(uint64_t era, uint64_t revision)
{
	return era << IR_POSITION_REVISION_BITS | revision;
}

static inline uint64_t
ir_position_era(uint64_t position)
{
	return position >> IR_POSITION_REVISION_BITS;
}

static inline uint64_t
ir_position_revision(uint64_t position)
{
	return position & IR_MAX_STORE_REVISION;
}

#endif
