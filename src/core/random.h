/*
 * Pseudo-random numbers (splitmix64). The caller keeps the state, so that a
 * sequence can be repeated from its seed. Not for secrets.
 */
#ifndef IR_CORE_RANDOM_H
#define IR_CORE_RANDOM_H

#include <stdint.h>

static inline uint64_t
ir_random(uint64_t *state)
{
	uint64_t z = *state += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ z >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ z >> 27) * UINT64_C(0x94d049bb133111eb);
	return z ^ z >> 31;
}

/* Uniform in 0 to n - 1; n is at least 1. */
static inline uint32_t
ir_random_below(uint64_t *state, uint32_t n)
{
	return (uint32_t)((ir_random(state) >> 32) * n >> 32);
}

#endif
