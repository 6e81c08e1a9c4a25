/*
 * One token bucket at its issuer.
 *
 * Refills and expiries are applied in the order of their times. Up to the
 * expiry of a grant the bucket refills as if the grant were unspent, since it
 * may be spent at the last moment. Each grant is kept until it expires, to
 * answer repeated requests. Of expired grants only the highest sequence is kept
 * for each requester, so that a late duplicate gets no tokens.
 */
#include <utlist.h>

#include "contract/bucket.h"
#include "core/table.h"
#include "ibisrail/limits.h"

#define TOKEN_MT 1000
/* The fraction of a thousandth of a token is kept in millionths. */
#define FRACTIONS_PER_MT IR_US_PER_S
/* Bounds of the time after which a refused requester may try again. */
#define RETRY_MIN_US IR_US_PER_MS
#define RETRY_MAX_US (500 * IR_US_PER_MS)
/* A requester is dropped after this time without a request. */
#define REQUESTER_KEEP_US (60 * IR_US_PER_S)

struct request_key {
	uint64_t incarnation;
	uint64_t sequence;
};

/*
 * The grant for one token request. In a grant with incarnation 0, which answers
 * no request, outstanding_mt is what the former issuer had granted before the
 * handover.
 */
struct grant {
	struct request_key key;
	uint32_t count;
	uint64_t outstanding_mt;
	int64_t expiry_us;
	UT_hash_handle hh;
	struct grant *prev, *next;
};

/* A process that requests tokens of this bucket. */
struct requester {
	uint64_t incarnation;
	uint64_t max_discarded_sequence;
	int64_t used_us;
	UT_hash_handle hh;
	struct requester *prev, *next;
};

struct ir_bucket {
	uint64_t rate_mt_per_s;
	uint64_t burst_mt;
	uint64_t next_rate_mt_per_s; /* from effective_us on */
	uint64_t next_burst_mt;
	int64_t effective_us;
	uint64_t level_mt;
	uint64_t fraction;
	uint64_t outstanding_mt;
	int64_t refilled_us;
	int64_t start_us;
	int64_t last_retry_us; /* latest time given to a refused requester */
	bool stopped;
	struct grant *grants;		  /* hashed by key */
	struct grant *by_expiry;	  /* first to expire first */
	struct requester *requesters;	  /* hashed by incarnation */
	struct requester *requesters_lru; /* least recently used first */
};

static int
bucket_destroy(struct ir_bucket *b)
{
	HASH_CLEAR(hh, b->grants);
	HASH_CLEAR(hh, b->requesters);
	return 0;
}

struct ir_bucket *
ir_bucket_new(TALLOC_CTX *mem, int64_t now, int64_t start_us,
    uint64_t rate_mt_per_s, uint64_t burst_mt)
{
	struct ir_bucket *b = talloc_zero(mem, struct ir_bucket);

	talloc_set_destructor(b, bucket_destroy);
	b->rate_mt_per_s = rate_mt_per_s;
	b->burst_mt = burst_mt;
	b->next_rate_mt_per_s = rate_mt_per_s;
	b->next_burst_mt = burst_mt;
	b->refilled_us = start_us > now ? start_us : now;
	b->start_us = start_us;
	return b;
}

/* The burst share less the outstanding tokens. */
static uint64_t
max_level_mt(const struct ir_bucket *b)
{
	if (b->outstanding_mt >= b->burst_mt)
		return 0;
	return b->burst_mt - b->outstanding_mt;
}

static void
cap_level(struct ir_bucket *b)
{
	if (b->level_mt < max_level_mt(b))
		return;
	b->level_mt = max_level_mt(b);
	b->fraction = 0;
}

static void
refill(struct ir_bucket *b, int64_t now)
{
	int64_t elapsed_us = now - b->refilled_us;
	unsigned __int128 fraction = b->fraction;
	unsigned __int128 level_mt = b->level_mt;

	if (elapsed_us <= 0)
		return;
	b->refilled_us = now;
	fraction += (unsigned __int128)b->rate_mt_per_s * (uint64_t)elapsed_us;
	level_mt += fraction / FRACTIONS_PER_MT;
	b->fraction = fraction % FRACTIONS_PER_MT;
	b->level_mt = level_mt < max_level_mt(b) ? level_mt : max_level_mt(b);
	cap_level(b);
}

void
ir_bucket_set_level(struct ir_bucket *b, uint64_t level_mt)
{
	b->level_mt = level_mt;
	cap_level(b);
}

static struct requester *
requester_add(struct ir_bucket *b, uint64_t incarnation)
{
	struct requester *r = talloc_zero(b, struct requester);

	r->incarnation = incarnation;
	HASH_ADD(hh, b->requesters, incarnation, sizeof r->incarnation, r);
	return r;
}

static struct requester *
requester_get(struct ir_bucket *b, int64_t now, uint64_t incarnation)
{
	struct requester *r;

	HASH_FIND(hh, b->requesters, &incarnation, sizeof incarnation, r);
	if (r)
		DL_DELETE(b->requesters_lru, r);
	else
		r = requester_add(b, incarnation);
	r->used_us = now;
	DL_APPEND(b->requesters_lru, r);
	return r;
}

static void
drop_idle_requesters(struct ir_bucket *b, int64_t now)
{
	while (b->requesters &&
	       now - b->requesters_lru->used_us > REQUESTER_KEEP_US) {
		struct requester *r = b->requesters_lru;

		DL_DELETE(b->requesters_lru, r);
		HASH_DEL(b->requesters, r);
		talloc_free(r);
	}
}

static void
expire_grant(struct ir_bucket *b, struct grant *g)
{
	struct requester *r;

	b->outstanding_mt -= g->outstanding_mt;
	if (g->key.incarnation != 0) {
		r = requester_get(b, g->expiry_us, g->key.incarnation);
		if (r->max_discarded_sequence < g->key.sequence)
			r->max_discarded_sequence = g->key.sequence;
		HASH_DEL(b->grants, g);
	}
	DL_DELETE(b->by_expiry, g);
	talloc_free(g);
}

static void
advance_over_expiries(struct ir_bucket *b, int64_t now)
{
	while (b->by_expiry && b->by_expiry->expiry_us <= now) {
		refill(b, b->by_expiry->expiry_us);
		expire_grant(b, b->by_expiry);
	}
	refill(b, now);
}

static void
apply_increase(struct ir_bucket *b)
{
	b->rate_mt_per_s = b->next_rate_mt_per_s;
	b->burst_mt = b->next_burst_mt;
}

static bool
has_pending_increase(const struct ir_bucket *b)
{
	return b->rate_mt_per_s != b->next_rate_mt_per_s ||
	       b->burst_mt != b->next_burst_mt;
}

/* Applies all refills, expiries and increases up to now. */
static void
advance(struct ir_bucket *b, int64_t now)
{
	if (has_pending_increase(b) && b->effective_us <= now) {
		advance_over_expiries(b, b->effective_us);
		apply_increase(b);
	}
	advance_over_expiries(b, now);
	drop_idle_requesters(b, now);
}

static uint64_t
min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

void
ir_bucket_set_share(struct ir_bucket *b, int64_t now, int64_t effective_us,
    uint64_t rate_mt_per_s, uint64_t burst_mt)
{
	advance(b, now);
	if (rate_mt_per_s == b->next_rate_mt_per_s &&
	    burst_mt == b->next_burst_mt)
		return;
	b->next_rate_mt_per_s = rate_mt_per_s;
	b->next_burst_mt = burst_mt;
	b->effective_us = effective_us;
	b->rate_mt_per_s = min_u64(b->rate_mt_per_s, rate_mt_per_s);
	b->burst_mt = min_u64(b->burst_mt, burst_mt);
	cap_level(b);
}

/*
 * Returns the delay after which a refused requester may try again. The times
 * assigned to successive requesters are one token refill apart, so that each
 * requester finds a token.
 */
static int64_t
reserve_retry_delay_us(struct ir_bucket *b, int64_t now)
{
	uint64_t missing_mt = TOKEN_MT - b->level_mt % TOKEN_MT;
	int64_t interval_us = RETRY_MAX_US;
	int64_t next_token_us = RETRY_MAX_US;

	if (b->rate_mt_per_s > 0) {
		interval_us =
		    TOKEN_MT * IR_US_PER_S / (int64_t)b->rate_mt_per_s;
		next_token_us = (int64_t)missing_mt * IR_US_PER_S /
				(int64_t)b->rate_mt_per_s;
	}
	if (b->last_retry_us < now + next_token_us)
		b->last_retry_us = now + next_token_us;
	else
		b->last_retry_us += interval_us;
	if (b->last_retry_us > now + RETRY_MAX_US)
		b->last_retry_us = now + RETRY_MAX_US;
	if (b->last_retry_us < now + RETRY_MIN_US)
		return RETRY_MIN_US;
	return b->last_retry_us - now;
}

static struct grant *
add_outstanding(struct ir_bucket *b, int64_t now, uint64_t outstanding_mt)
{
	struct grant *g = talloc_zero(b, struct grant);

	g->outstanding_mt = outstanding_mt;
	g->expiry_us = now + IR_GRANT_VALID_US;
	b->outstanding_mt += outstanding_mt;
	DL_APPEND(b->by_expiry, g);
	return g;
}

static void
index_grant(struct ir_bucket *b, struct grant *g, struct request_key key)
{
	g->key = key;
	HASH_ADD(hh, b->grants, key, sizeof g->key, g);
}

static struct grant *
find_grant(struct ir_bucket *b, const struct request_key *key)
{
	struct grant *g;

	HASH_FIND(hh, b->grants, key, sizeof *key, g);
	return g;
}

static uint32_t
grant_new(struct ir_bucket *b, int64_t now, struct request_key key,
    uint32_t requested)
{
	struct requester *r = requester_get(b, now, key.incarnation);
	uint64_t count = min_u64(requested, b->level_mt / TOKEN_MT);
	struct grant *g;

	if (key.sequence <= r->max_discarded_sequence)
		return 0;
	b->level_mt -= count * TOKEN_MT;
	g = add_outstanding(b, now, count * TOKEN_MT);
	g->count = (uint32_t)count;
	index_grant(b, g, key);
	return g->count;
}

uint32_t
ir_bucket_grant(struct ir_bucket *b, int64_t now, uint64_t incarnation,
    uint64_t sequence, uint32_t requested, int64_t *retry_after_us)
{
	struct request_key key = {
	    .incarnation = incarnation, .sequence = sequence};
	const struct grant *g;
	uint32_t count = 0;

	*retry_after_us = 0;
	if (incarnation == 0 || !ir_bucket_is_active(b, now)) {
		*retry_after_us = RETRY_MAX_US;
		return 0;
	}
	advance(b, now);
	g = find_grant(b, &key);
	if (g)
		count = g->count;
	else
		count = grant_new(b, now, key, requested);
	if (count == 0)
		*retry_after_us = reserve_retry_delay_us(b, now);
	return count;
}

void
ir_bucket_release(
    struct ir_bucket *b, int64_t now, uint64_t incarnation, uint64_t sequence)
{
	struct request_key key = {
	    .incarnation = incarnation, .sequence = sequence};
	struct grant *g;

	advance(b, now);
	g = find_grant(b, &key);
	if (!g)
		return;
	b->outstanding_mt -= g->outstanding_mt;
	g->outstanding_mt = 0;
	g->count = 0;
}

bool
ir_bucket_is_active(const struct ir_bucket *b, int64_t now)
{
	return !b->stopped && now >= b->start_us;
}

void
ir_bucket_stop(struct ir_bucket *b, int64_t now, uint64_t *available_mt,
    uint64_t *outstanding_mt)
{
	advance(b, now);
	*available_mt = b->level_mt;
	*outstanding_mt = b->outstanding_mt;
	b->level_mt = 0;
	b->stopped = true;
}

void
ir_bucket_take_over(struct ir_bucket *b, int64_t now, uint64_t available_mt,
    uint64_t outstanding_mt)
{
	if (b->stopped || ir_bucket_is_active(b, now))
		return;
	b->start_us = now;
	b->refilled_us = now;
	add_outstanding(b, now, outstanding_mt);
	b->level_mt = available_mt;
	cap_level(b);
}

uint64_t
ir_bucket_level_mt(struct ir_bucket *b, int64_t now)
{
	advance(b, now);
	return b->stopped ? 0 : b->level_mt;
}

uint64_t
ir_bucket_outstanding_mt(struct ir_bucket *b, int64_t now)
{
	advance(b, now);
	return b->outstanding_mt;
}
