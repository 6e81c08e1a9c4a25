/*
 * Reads the head of an answer, which may come in pieces, and checks it before
 * it is parsed: see ir_http_answer_head_fault(). Empty lines before it are
 * skipped.
 */
#ifndef IR_IO_ANSWER_HEAD_H
#define IR_IO_ANSWER_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "io/upstream/upstream_memory.h"

/* A longer head is a fault. */
#define IR_MAX_ANSWER_HEAD_BYTES (80 * 1024)

struct ir_answer_head {
	struct ir_upstream_memory *memory; /* charged; NULL: none is */
	uint8_t *pieces;		   /* of a head that is not complete */
	size_t pieces_bytes;
	size_t charged_bytes;
	size_t line_bytes; /* of its last line, without CR and LF */
	/* Of the complete head; in pieces, or in the data that was read. */
	const uint8_t *text; /* NULL: not complete, or it has a fault */
	size_t text_bytes;
	const char *fault; /* one word for the log, or NULL */
};

/*
 * Reads from data until the head is complete, and returns the number of bytes
 * read. The caller stops if fault is set.
 */
size_t ir_answer_head_read(
    struct ir_answer_head *h, const uint8_t *data, size_t size_bytes);
/* Makes h ready for another head. */
void ir_answer_head_reset(struct ir_answer_head *h);

#endif
