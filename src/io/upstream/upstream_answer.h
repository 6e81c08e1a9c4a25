/*
 * Collects the answer of the upstream to one request, and decides what it
 * says about the request: answered, shed, or an invalid answer.
 */
#ifndef IR_IO_UPSTREAM_ANSWER_H
#define IR_IO_UPSTREAM_ANSWER_H

#include "ibisrail/dialect.h"
#include "io/message.h"
#include "io/upstream/upstream_memory.h"

struct ir_upstream_answer {
	const struct ir_dialect *dialect;
	const char *caller_attempt; /* id that the caller gave, or "" */
	struct ir_to_core *message; /* owns the headers and the body */
	struct ir_upstream_memory *memory;
	size_t reserved_bytes; /* reserved in memory for headers and body */
	struct ir_header headers[IR_MAX_HEADERS];
	size_t header_count;
	uint8_t *body;
	size_t body_bytes;
	bool head_ended;   /* headers from here on are trailers: ignored */
	bool says_not_run; /* a header says that the request was not run */
	bool has_digest;   /* has the digest that the upstream itself adds */
	bool has_content_encoding; /* the body was encoded on the way */
	bool has_attempt;	   /* has the header with the attempt's id */
	bool attempt_differs;	   /* that id is not caller_attempt */
	bool conn_was_used;	   /* for an earlier request */
	bool too_large;		   /* headers or the body exceed a limit */
};

/*
 * Drops what was collected and releases its memory: the answer was
 * provisional, belonged to another request, or was invalid.
 */
void ir_upstream_answer_reset(struct ir_upstream_answer *a);

/*
 * Adds one header. Trailers are ignored; a header over the limits sets
 * too_large. If out of memory, drops the header and sets
 * a->memory->reserve_failed: the caller then ends the run.
 */
void ir_upstream_answer_add_header(
    struct ir_upstream_answer *a, const char *name, const char *value);

/* Notes that what follows is the body. */
void ir_upstream_answer_end_head(struct ir_upstream_answer *a);

/*
 * Appends to the body. Returns false if the body would exceed IR_MAX_BODY
 * (sets too_large) or there is no memory (sets a->memory->reserve_failed).
 */
bool ir_upstream_answer_append_body(
    struct ir_upstream_answer *a, const uint8_t *data, size_t size);

/*
 * Whether a complete answer with that status belongs to another request: its
 * attempt id differs, or the status is a success and there is no attempt id.
 * Always false in a dialect without attempt ids.
 */
bool ir_upstream_answer_is_mismatched(
    const struct ir_upstream_answer *a, uint16_t status);

/*
 * Fills the result in a->message from a complete answer: IR_RUN_SHED,
 * IR_RUN_ANSWERED, or IR_RUN_BROKEN if the answer is invalid: too large or,
 * where the dialect requires a digest, a success without it or with an encoded
 * body, or an error that callers would take as not run; or if it names no
 * attempt on a connection that was used before, as it may be a copy of an
 * earlier answer. Headers that are only for this connection are left out.
 */
void ir_upstream_answer_finish(struct ir_upstream_answer *a, uint16_t status);

#endif
