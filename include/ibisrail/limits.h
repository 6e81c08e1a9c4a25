/*
 * Bounds and periods shared by several modules. The core's times are
 * microseconds of a monotonic clock; durations in settings and on the wire
 * have their unit in the name.
 */
#ifndef IBISRAIL_LIMITS_H
#define IBISRAIL_LIMITS_H

#include <stdint.h>

#define IR_US_PER_MS INT64_C(1000)
#define IR_US_PER_S INT64_C(1000000)

/* Validity of a view's confirmation. An older view is unconfirmed. */
#define IR_VIEW_LEASE_US (2200 * IR_US_PER_MS)
/* Interval at which a node requests confirmation of its view. */
#define IR_VIEW_POLL_US (400 * IR_US_PER_MS)
/* Interval at which a reader that cannot read the store asks its deputy. */
#define IR_DEPUTY_POLL_US (200 * IR_US_PER_MS)
/* Heartbeat period of a link in use. */
#define IR_HEARTBEAT_PERIOD_US (200 * IR_US_PER_MS)
/* A link is lost if a reply is due and the peer sends nothing for this time. */
#define IR_LINK_TIMEOUT_US (700 * IR_US_PER_MS)
/* Validity of a token grant, counted from the request for it. */
#define IR_GRANT_VALID_US (400 * IR_US_PER_MS)
/* How long a gate keeps an Idempotency-Key. Exceeds any call's deadline. */
#define IR_ATTEMPT_KEEP_US (60 * IR_US_PER_S)
/* Longest deadline of a call. */
#define IR_MAX_DEADLINE_MS 30000
/*
 * Longest deadline that a route may be configured with. Each single call is
 * still limited to IR_MAX_DEADLINE_MS.
 */
#define IR_MAX_ROUTE_DEADLINE_MS 600000
/* Calls in flight in one node, from callers and from the local upstream. */
#define IR_MAX_CALLS 16384

#define IR_MAX_IMPORTANCE 3
/*
 * Importance of a client account that sets none. Accounts that set one can be
 * one level above this or two below.
 */
#define IR_DEFAULT_ACCOUNT_IMPORTANCE 2

#endif
