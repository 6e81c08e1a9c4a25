/*
 * How many bytes the answers of requests that are out will take: a mean of
 * recent answers, in which each counts 1/64. A rare large answer hardly moves
 * it; after some hundred answers of another size it tells that size.
 */
#ifndef IR_IO_CALLER_EXPECT_H
#define IR_IO_CALLER_EXPECT_H

#include <stddef.h>
#include <stdint.h>

struct ir_expect {
	uint64_t sum_bytes; /* of as many answers as the mean covers */
};

void ir_expect_init(struct ir_expect *e);
/* An answer of so many bytes came. */
void ir_expect_note(struct ir_expect *e, size_t bytes);
/* For the answers of so many requests. */
uint64_t ir_expect_bytes(const struct ir_expect *e, size_t requests);

#endif
