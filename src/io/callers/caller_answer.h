/* Formats answers to callers as HTTP/1.1 messages. */
#ifndef IR_IO_CALLER_ANSWER_H
#define IR_IO_CALLER_ANSWER_H

#include "ibisrail/dialect.h"
#include "io/callers/caller_headers.h"

/* Options for formatting an answer. */
struct ir_answer_format {
	const struct ir_dialect *dialect;
	bool head_only; /* answer to HEAD: no body is sent */
	bool close;	/* add Connection: close */
};

/*
 * Return the message as a talloc array of bytes under mem; out of memory aborts
 * the process.
 */
uint8_t *ir_caller_format_refusal(TALLOC_CTX *mem,
    const struct ir_answer_format *format, const struct ir_refusal *r);
uint8_t *ir_caller_format_answer(TALLOC_CTX *mem,
    const struct ir_answer_format *format, const struct ir_answer *a);

#endif
