/*
 * Bounds and periods that several modules share. Times of the core are
 * microseconds of a monotonic clock; durations in settings and on the wire
 * carry their unit in the name.
 */
#ifndef IBISRAIL_LIMITS_H
#define IBISRAIL_LIMITS_H

#include <stdint.h>

#define IR_US_PER_MS INT64_C(1000)
#define IR_US_PER_S INT64_C(1000000)

/* A view older than this is unconfirmed. */
#define IR_VIEW_LEASE_US (2200 * IR_US_PER_MS)
/* How often a node asks for confirmation of its view. */
#define IR_VIEW_POLL_US (400 * IR_US_PER_MS)
/* Heartbeat period of a link in use, and the silence that condemns it. */
#define IR_HEARTBEAT_PERIOD_US (200 * IR_US_PER_MS)
#define IR_LINK_TIMEOUT_US (700 * IR_US_PER_MS)
/* How long a grant may be spent, from when it was asked for. */
#define IR_GRANT_VALID_US (400 * IR_US_PER_MS)
/* A gate remembers an Idempotency-Key this long; over any deadline. */
#define IR_ATTEMPT_KEEP_US (60 * IR_US_PER_S)
#define IR_MAX_DEADLINE_MS 30000
/* Of a route; a call is cut to IR_MAX_DEADLINE_MS. */
#define IR_MAX_ROUTE_DEADLINE_MS 600000
/* Calls of callers and of the local upstream in one node at a time. */
#define IR_MAX_CALLS 16384

#define IR_MAX_IMPORTANCE 3
/* Of an account that is not told one: a step is left above, two below. */
#define IR_DEFAULT_ACCOUNT_IMPORTANCE 2

#endif
