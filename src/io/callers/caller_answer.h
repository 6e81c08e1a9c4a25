/* Answers to callers as bytes of HTTP/1.1. */
#ifndef IR_IO_CALLER_ANSWER_H
#define IR_IO_CALLER_ANSWER_H

#include "ibisrail/dialect.h"
#include "io/callers/caller_headers.h"

/* How an answer is to be written. */
struct ir_answer_form {
	const struct ir_dialect *dialect;
	bool head;  /* of a HEAD request: no body follows */
	bool close; /* the connection ends with it */
};

/* A talloc array of bytes under mem; out of memory ends the process. */
uint8_t *ir_caller_refusal_bytes(TALLOC_CTX *mem,
    const struct ir_answer_form *form, const struct ir_refusal *r);
uint8_t *ir_caller_answer_bytes(TALLOC_CTX *mem,
    const struct ir_answer_form *form, const struct ir_answer *a);

#endif
