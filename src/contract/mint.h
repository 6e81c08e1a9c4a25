/*
 * The minter role of a node: its buckets, by account and number, made and
 * dropped as the view places them.
 */
#ifndef IR_CONTRACT_MINT_H
#define IR_CONTRACT_MINT_H

#include "contract/bucket.h"
#include "host/view.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

struct ir_mint;

/*
 * How long a bucket waits when this host becomes its minter without a
 * handover. A former minter mints for at most a lease after the view moved the
 * bucket on, and its grants are valid a little longer. The second lease covers
 * one that learns of two moves at once: when it goes on or hands over, its
 * former view was confirmed at most a lease and IR_GRANT_VALID_US before.
 */
#define IR_MINT_WAIT_US \
	(2 * IR_VIEW_LEASE_US + 2 * IR_GRANT_VALID_US + 50 * IR_US_PER_MS)

/*
 * The wait where the contract tolerates some requests over the rate: only the
 * grants of this host's former process run out. A former minter elsewhere may
 * mint beside it until it learns of the move, within a read of the list and a
 * relay; the bucket starts empty, so that this is at most its share of the
 * rate for that time.
 */
#define IR_MINT_SHORT_WAIT_US (IR_GRANT_VALID_US + 50 * IR_US_PER_MS)

struct ir_mint *ir_mint_new(TALLOC_CTX *mem);
/* Which wait applies; IR_MINT_WAIT_US at first. */
void ir_mint_set_wait(struct ir_mint *m, int64_t wait_us);
/*
 * Notes whether the lease holds on the view that is being followed. To be
 * called on every tick, before a newer view is taken.
 */
void ir_mint_lease(struct ir_mint *m, int64_t now, bool lease_ok);
/*
 * Follows a new view; to be called for each, before anything else is done
 * with it. self is NULL when the view names this host no more.
 *
 * A bucket that this host now mints starts empty after IR_MINT_WAIT_US. One
 * that it mints already goes on, if the lease held up to now; one that waits
 * goes on waiting, if no revision was skipped; else both start anew. A bucket
 * that it mints no longer is stopped; handover() is called for it if the lease
 * held and it was minting.
 */
void ir_mint_view(struct ir_mint *m, int64_t now, const struct ir_view *v,
    const struct ir_host *self,
    void (*handover)(
	void *ctx, const struct ir_host *to, const struct ir_handover *h),
    void *ctx);
/* Answers an ask; lease_ok tells whether the view's lease holds. */
void ir_mint_ask(struct ir_mint *m, int64_t now, bool lease_ok,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_grant_request *ask, struct ir_grant *out);
/*
 * A handover came. It counts if its view and every view here since this
 * bucket began to wait place it on this host; one of a view that is not yet
 * known here is kept for a while. It must have been sent to this process, not
 * to one that the host ran before (links are greeted by incarnation).
 */
void ir_mint_handover(struct ir_mint *m, int64_t now, const struct ir_view *v,
    const struct ir_host *self, const struct ir_handover *h);
size_t ir_mint_bucket_count(const struct ir_mint *m);

#endif
