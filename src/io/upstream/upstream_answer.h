/* Collects an upstream's answer and judges what it says of its request. */
#ifndef IR_IO_UPSTREAM_ANSWER_H
#define IR_IO_UPSTREAM_ANSWER_H

#include "ibisrail/dialect.h"
#include "io/message.h"
#include "io/upstream/upstream_memory.h"

struct ir_upstream_answer {
	const struct ir_dialect *dialect;
	const char *caller_attempt; /* the caller's id of the request, or "" */
	struct ir_to_core *message; /* owns what is collected */
	struct ir_upstream_memory *memory;
	size_t held_bytes; /* of it, for headers and body */
	struct ir_header headers[IR_MAX_HEADERS];
	size_t header_count;
	uint8_t *body;
	size_t body_bytes;
	bool body_started; /* trailers are ignored */
	bool says_not_run; /* the upstream says that it did not run it */
	bool has_digest;   /* it bears one */
	bool has_content_encoding; /* its body is not the upstream's own */
	bool has_attempt;	   /* it names an attempt */
	bool attempt_differs;	   /* and that is another one */
	bool too_large;		   /* a bound was exceeded */
};

/* Forgets what was collected: a provisional, a spare or a broken answer. */
void ir_upstream_answer_reset(struct ir_upstream_answer *a);
/* Left out when there is no room; the run is then to end (a->bytes). */
void ir_upstream_answer_add_header(
    struct ir_upstream_answer *a, const char *name, const char *value);
/* False when the body grows over IR_MAX_BODY, or there is no room. */
bool ir_upstream_answer_append_body(
    struct ir_upstream_answer *a, const uint8_t *data, size_t size);
/* Whether a whole answer of that status belongs to another request. */
bool ir_upstream_answer_is_mismatched(
    const struct ir_upstream_answer *a, uint16_t status);
/* Fills the message's result from an answer that is whole. */
void ir_upstream_answer_finish(struct ir_upstream_answer *a, uint16_t status);

#endif
