/*
 * Reads the target and headers of a caller's request. Headers addressed to
 * ibisrail are removed, the others are forwarded. A request that contains its
 * API key anywhere but in a key header is refused, so that no upstream sees
 * the key.
 */
#ifndef IR_IO_CALLER_HEADERS_H
#define IR_IO_CALLER_HEADERS_H

#include "ibisrail/dialect.h"
#include "ibisrail/node.h"
#include "link/peer.h"

/* Bounds on the headers of a request as received, before any is removed. */
#define IR_MAX_RAW_HEADERS 96
#define IR_MAX_RAW_HEADER_BYTES 65536

/* Why a request is refused before the core gets it; error IR_OK: accepted. */
struct ir_refusal {
	enum ir_error error;
	uint16_t http_status;
	uint32_t retry_after_ms;
	const char *reason; /* one word for the log */
	const char *text;   /* one sentence for the body of the answer */
};

struct ir_raw_headers {
	struct ir_header headers[IR_MAX_RAW_HEADERS];
	size_t count;
	size_t bytes;
};

/* Adds one header without copying strings. False if a bound is exceeded. */
bool ir_raw_headers_add(
    struct ir_raw_headers *raw, const char *name, const char *value);

/*
 * Sets key, idempotency_key, caller_attempt, parent_attempt, deadline_ms,
 * first_attempt and headers of the call. Allocates the key and the array of
 * headers under mem; other strings point into raw.
 */
struct ir_refusal ir_caller_headers_read(TALLOC_CTX *mem,
    const struct ir_dialect *d, struct ir_raw_headers *raw,
    struct ir_call *call);

/*
 * Sets service and path (with query) of the call from the request target. In a
 * dialect that routes by host, sets authority and path instead. Allocates under
 * mem.
 */
struct ir_refusal ir_caller_target_read(TALLOC_CTX *mem,
    const struct ir_dialect *d, const char *target,
    const struct ir_raw_headers *raw, struct ir_call *call);

/* Refuses a call whose key occurs in its target, other headers or body. */
struct ir_refusal ir_caller_key_check(const struct ir_dialect *d,
    const struct ir_call *call, const char *target,
    const struct ir_raw_headers *raw);

/* A refusal with the HTTP status of the error; text NULL: the error's text. */
struct ir_refusal ir_refusal_make(
    enum ir_error error, const char *reason, const char *text);

#endif
