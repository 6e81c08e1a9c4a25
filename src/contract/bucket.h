/*
 * One token bucket of a client account, at the host that issues its tokens.
 *
 * Tokens in the bucket plus tokens granted and perhaps unspent never exceed
 * the bucket's share of the burst, and the bucket refills at its share of the
 * rate. So the tokens spent in any t seconds are at most burst + rate * t. A
 * grant counts as outstanding until the requester reports it spent, or until
 * IR_GRANT_VALID_US after it was given.
 *
 * Fields and parameters named _mt are thousandths of a token. Grants are whole
 * tokens.
 */
#ifndef IR_CONTRACT_BUCKET_H
#define IR_CONTRACT_BUCKET_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct ir_bucket;

/* Returns an empty bucket that refills and grants from start_us on. */
struct ir_bucket *ir_bucket_new(TALLOC_CTX *mem, int64_t now, int64_t start_us,
    uint64_t rate_mt_per_s, uint64_t burst_mt);
/* Gives a new bucket its first tokens, at most its burst. */
void ir_bucket_set_level(struct ir_bucket *b, uint64_t level_mt);
/*
 * Changes the bucket's share of the account's rate and burst. A decrease
 * applies at once, an increase from effective_us on.
 */
void ir_bucket_set_share(struct ir_bucket *b, int64_t now, int64_t effective_us,
    uint64_t rate_mt_per_s, uint64_t burst_mt);
/*
 * Grants the requested whole tokens, or as many as there are, to the request
 * (incarnation, sequence) and returns their number. Idempotent: a repeated
 * request gets the same number and takes no more tokens. Returns 0, and when to
 * try again in *retry_after_us, if there is no token, the bucket is not active,
 * or the sequence is not above that of an expired grant to the same
 * incarnation.
 */
uint32_t ir_bucket_grant(struct ir_bucket *b, int64_t now, uint64_t incarnation,
    uint64_t sequence, uint32_t requested, int64_t *retry_after_us);
/*
 * Notes that the grant for this request is spent in full, so that it is no
 * longer outstanding. Does nothing if the grant is unknown.
 */
void ir_bucket_release(
    struct ir_bucket *b, int64_t now, uint64_t incarnation, uint64_t sequence);
/* Whether start_us has passed and the bucket was not stopped. */
bool ir_bucket_is_active(const struct ir_bucket *b, int64_t now);
/* Stops the bucket permanently and returns the amounts for a handover. */
void ir_bucket_stop(struct ir_bucket *b, int64_t now, uint64_t *available_mt,
    uint64_t *outstanding_mt);
/*
 * Activates the bucket at once with the amounts of the former issuer's
 * handover. Does nothing if it is active already or stopped.
 */
void ir_bucket_take_over(struct ir_bucket *b, int64_t now,
    uint64_t available_mt, uint64_t outstanding_mt);
/* Tokens that can be granted; 0 once stopped. */
uint64_t ir_bucket_level_mt(struct ir_bucket *b, int64_t now);
/* Tokens granted that may still be spent. */
uint64_t ir_bucket_outstanding_mt(struct ir_bucket *b, int64_t now);

#endif
