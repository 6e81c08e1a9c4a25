/*
 * Estimates the size of the answers to pending requests: an exponential moving
 * average of recent answers, each with a weight of 1/64. A single large answer
 * changes it little; it follows a lasting change within a few hundred answers.
 */
#ifndef IR_IO_ANSWER_SIZE_H
#define IR_IO_ANSWER_SIZE_H

#include <stddef.h>
#include <stdint.h>

struct ir_answer_size {
	uint64_t sum_bytes; /* the average times 64 */
};

void ir_answer_size_init(struct ir_answer_size *e);
/* Adds the size of one answer to the average. */
void ir_answer_size_add(struct ir_answer_size *e, size_t bytes);
/* Expected total size, in bytes, of the answers to a number of requests. */
uint64_t ir_answer_size_expected(
    const struct ir_answer_size *e, size_t requests);

#endif
