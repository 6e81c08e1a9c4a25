/*
 * Reading a caller's request: what is meant for this system is taken out of
 * its headers, the rest is passed on, and a key that stands anywhere but in
 * its own header makes the request refused, so that no upstream sees it.
 */
#ifndef IR_IO_CALLER_HEADERS_H
#define IR_IO_CALLER_HEADERS_H

#include "ibisrail/dialect.h"
#include "ibisrail/node.h"
#include "link/peer.h"

/* Headers of a request as received, before any is taken out. */
#define IR_MAX_RAW_HEADERS 96
#define IR_MAX_RAW_HEADER_BYTES 65536

/* Why a request is refused before the core sees it. error IR_OK: it is not. */
struct ir_refusal {
	enum ir_error error;
	uint16_t http_status;
	uint32_t retry_after_ms;
	const char *reason; /* one word for the log */
	const char *text;   /* one sentence for the caller */
};

struct ir_raw_headers {
	struct ir_header headers[IR_MAX_RAW_HEADERS];
	size_t count;
	size_t bytes;
};

/* Adds one header, strings not copied. False when over a bound. */
bool ir_raw_headers_add(
    struct ir_raw_headers *raw, const char *name, const char *value);

/*
 * Fills key, idempotency_key, parent, deadline_ms, first_attempt and headers
 * of the call, strings not copied, the array and a key under mem. The array
 * of raw is changed.
 */
struct ir_refusal ir_caller_headers_read(TALLOC_CTX *mem,
    const struct ir_dialect *d, struct ir_raw_headers *raw,
    struct ir_call *call);

/*
 * Splits the request target into service and path with query, under mem; or,
 * where routes are found by host, fills authority and path.
 */
struct ir_refusal ir_caller_target_read(TALLOC_CTX *mem,
    const struct ir_dialect *d, const char *target,
    const struct ir_raw_headers *raw, struct ir_call *call);

/* Refuses a call whose key stands in its target, other headers or body. */
struct ir_refusal ir_caller_key_check(const struct ir_dialect *d,
    const struct ir_call *call, const char *target,
    const struct ir_raw_headers *raw);

struct ir_refusal ir_refuse(
    enum ir_error error, const char *reason, const char *text);

#endif
