/*
 * The issuer of rate tokens on one host: the token buckets that the current
 * view assigns to this host, by account and bucket number. The state dump and
 * the texts of metrics say minter instead.
 */
#ifndef IR_CONTRACT_ISSUER_H
#define IR_CONTRACT_ISSUER_H

#include "contract/bucket.h"
#include "host/view.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

struct ir_issuer;

/*
 * How long a bucket waits before it issues tokens, if this host becomes its
 * issuer without a handover. A former issuer may issue tokens for one
 * view lease after the view moved the bucket, and its grants are valid for
 * IR_GRANT_VALID_US more. The second lease covers a former issuer that learns
 * of two moves at once: when it keeps the bucket or hands it over, its previous
 * view was confirmed at most one lease and IR_GRANT_VALID_US before.
 */
#define IR_ISSUER_WAIT_US (2 * IR_VIEW_LEASE_US + ISSUER_WAIT_MARGIN_US)
#define ISSUER_WAIT_MARGIN_US (2 * IR_GRANT_VALID_US + 50 * IR_US_PER_MS)

/*
 * The wait if the contract tolerates some requests over the rate. It covers
 * only the grants of this host's previous process. A former issuer on another
 * host may issue tokens at the same time until it learns of the move, which
 * takes one read of the host list and its relay. The excess is at most the
 * bucket's share of the rate over that time, and what it starts with.
 */
#define IR_ISSUER_SHORT_WAIT_US (IR_GRANT_VALID_US + 50 * IR_US_PER_MS)

struct ir_issuer *ir_issuer_new(TALLOC_CTX *mem);
/*
 * Sets the length of the lease on the view, IR_VIEW_LEASE_US before; the wait
 * of buckets that are started from now on follows it.
 */
void ir_issuer_set_lease(struct ir_issuer *iss, int64_t lease_us);
/*
 * To be called after ir_issuer_set_lease() if the contract tolerates some
 * requests over the rate. Buckets then wait for IR_ISSUER_SHORT_WAIT_US, those
 * of a new process not at all, and start with their share of the account's
 * restart_mt. One that waits keeps its start time also over skipped revisions.
 */
void ir_issuer_tolerate_overlap(struct ir_issuer *iss);
/*
 * Notes whether the lease of the current view is valid. To be called on every
 * tick, before a newer view is applied.
 */
void ir_issuer_note_lease(struct ir_issuer *iss, int64_t now, bool lease_valid);
/*
 * Applies a new view. To be called for every view, before the view is used for
 * anything else. self is NULL if the view does not list this host.
 *
 * A bucket that is newly assigned to this host starts empty after the wait. A
 * bucket that stays here and is active goes on if the lease was valid until
 * now; one that still waits keeps its start time if no revision was skipped (or
 * overlap is tolerated) and the burst is the same. Otherwise both start again,
 * empty and with the full wait. A bucket that is no longer assigned to this
 * host is stopped; if it was active and the lease was valid, handover() is
 * called with its new issuer. If the number of an account's buckets changes,
 * all of them start again.
 */
void ir_issuer_set_view(struct ir_issuer *iss, int64_t now,
    const struct ir_view *v, const struct ir_host *self,
    void (*handover)(
	void *ctx, const struct ir_host *to, const struct ir_handover *h),
    void *ctx);
/*
 * Answers a token request in *out. lease_valid: whether the lease of the view
 * is valid. out->issuing is false if this host does not issue tokens of that
 * bucket now.
 */
void ir_issuer_grant(struct ir_issuer *iss, int64_t now, bool lease_valid,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_grant_request *request, struct ir_grant *out);
/*
 * Handles a handover from the former issuer of a bucket. It is applied if the
 * bucket was assigned to this host in the handover's view and in every view
 * since the bucket began to wait. If the handover's view is newer than the
 * current one, it is kept for a lease. The caller must make sure that
 * it was sent to this process, not to a previous one on this host (the greeting
 * of a link carries the incarnation).
 */
void ir_issuer_handover(struct ir_issuer *iss, int64_t now,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_handover *h);
/* The number of buckets that are assigned to this host. */
size_t ir_issuer_bucket_count(const struct ir_issuer *iss);

#endif
