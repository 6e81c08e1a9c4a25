/*
 * What an upstream says of itself in headers of its answers: the rate of
 * requests that it takes, and that it leaves.
 */
#ifndef IR_UPSTREAM_STATEMENT_H
#define IR_UPSTREAM_STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibisrail/limits.h"
#include "ibisrail/node.h"
#include "link/peer.h"

/* A status counts for this long after it was last said. */
#define IR_UPSTREAM_STATUS_VALID_US (60 * IR_US_PER_S)

/* What one answer says. */
struct ir_statement {
	bool limited;
	uint64_t rate_mt_per_s; /* thousandths of a request a second */
	bool leaving;
};

/* What holds of an upstream after its answers so far. */
struct ir_upstream_status {
	struct ir_statement said;
	int64_t limit_said_us;	 /* last time; 0: never */
	int64_t leaving_said_us; /* last time; 0: never */
};

/*
 * Reads the headers of an answer. A rate that is no decimal number of 0 or more
 * is ignored; of several the lowest counts.
 */
struct ir_statement ir_statement_read(const struct ir_statement_headers *names,
    const struct ir_header *headers, size_t count);

/*
 * Applies what an answer to a run said that was started at run_started_us.
 * Answers of several connections may be read in another order than they were
 * given, so that a limit ends only with an answer without it to a run that was
 * started after the limit was last named. That an upstream leaves is not taken
 * back. Returns whether the status changed.
 */
bool ir_upstream_status_apply(struct ir_upstream_status *u, int64_t now,
    int64_t run_started_us, const struct ir_statement *s);

/* Whether the upstream said so no longer ago than a status counts. */
bool ir_upstream_status_limited(
    const struct ir_upstream_status *u, int64_t now);
bool ir_upstream_status_leaving(
    const struct ir_upstream_status *u, int64_t now);

#endif
