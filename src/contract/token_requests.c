/* Which buckets to request tokens from, and how many. */
#include <string.h>
#include <utlist.h>

#include "contract/token_requests.h"

#define MAX_TOKENS_PER_REQUEST 1000
#define MAX_PENDING_REQUESTS 16
/*
 * If an issuer has not answered for twice its round-trip time, within these
 * bounds, the request is overdue and the next issuer is asked as well.
 */
#define HEDGE_MIN_US (5 * IR_US_PER_MS)
#define HEDGE_MAX_US (40 * IR_US_PER_MS)
/* Delay before retrying a host to which a request could not be sent. */
#define UNSENT_RETRY_US (10 * IR_US_PER_MS)
/* Delay before retrying a host that did not answer. */
#define UNAVAILABLE_RETRY_US (100 * IR_US_PER_MS)
/*
 * How long after retry_us a bucket still counts as unreachable if no request
 * was sent to it since: two retries. A later call sends one and waits for the
 * answer.
 */
#define UNAVAILABLE_VALID_US (2 * UNAVAILABLE_RETRY_US)
/* Tokens are prefetched only if at least this many are spent per second. */
#define PREFETCH_MIN_PER_S 20
/* Prefetched tokens are to last 1.5 round trips, but at least this long. */
#define PREFETCH_MIN_US (2 * IR_US_PER_MS)
/*
 * A host prefetches at most this fraction of its share of the burst. The share
 * is in proportion to the fraction of the account's rate that the host uses.
 */
#define PREFETCH_BURST_DIVISOR 8
/* How long a refusal by a bucket of this region shows that they are short. */
#define REGION_SHORT_US (IR_US_PER_S / 2)
/* Delay before a denied call may be retried if no issuer gave a time. */
#define DENIED_RETRY_US (100 * IR_US_PER_MS)

enum bucket_state {
	BUCKET_REFUSED,	    /* refused, and not to be asked yet */
	BUCKET_UNREACHABLE, /* no live issuer, or it does not answer */
	BUCKET_OVERDUE,	    /* did not answer in time; may still do so */
	BUCKET_BACKOFF, /* unavailable for a short while; not to be asked yet */
	BUCKET_AVAILABLE /* can be asked */
};

static int64_t
hedge_us(const struct ir_remote_bucket *r)
{
	int64_t us = 2 * r->rtt_us;

	if (us < HEDGE_MIN_US)
		return HEDGE_MIN_US;
	return us < HEDGE_MAX_US ? us : HEDGE_MAX_US;
}

static bool
is_overdue(const struct ir_limiter_context *c, const struct ir_token_request *q)
{
	const struct ir_account_tokens *t = c->tokens;

	return q->bucket >= t->bucket_count ||
	       c->now - q->sent_us >= hedge_us(&t->buckets[q->bucket]);
}

static enum bucket_state
get_state(const struct ir_limiter_context *c, const struct ir_remote_bucket *r)
{
	const struct ir_token_request *q;

	if (!r->issuer)
		return BUCKET_UNREACHABLE;
	if (c->now < r->refused_until_us)
		return BUCKET_REFUSED;
	if (r->unavailable &&
	    c->now - r->unavailable_since_us >= IR_TOKEN_REQUEST_TIMEOUT_US &&
	    c->now - r->retry_us < UNAVAILABLE_VALID_US)
		return BUCKET_UNREACHABLE;
	DL_FOREACH (c->tokens->requests, q) {
		if (q->bucket == r->bucket && !q->timed_out && is_overdue(c, q))
			return BUCKET_OVERDUE;
	}
	if (r->unavailable && c->now < r->retry_us)
		return BUCKET_BACKOFF;
	return BUCKET_AVAILABLE;
}

/*
 * Tokens requested and not overdue. Sets *pending to the number of requests
 * that have not timed out.
 */
static uint32_t
requested_tokens(const struct ir_limiter_context *c, uint32_t *pending)
{
	const struct ir_token_request *q;
	uint32_t n = 0;

	*pending = 0;
	DL_FOREACH (c->tokens->requests, q) {
		if (q->timed_out)
			continue;
		++*pending;
		if (!is_overdue(c, q))
			n += q->requested_tokens;
	}
	return n;
}

/* Sends a token request together with the spent grants to report. */
static bool
send_request(const struct ir_limiter_context *c, struct ir_remote_bucket *r,
    uint64_t sequence, uint32_t tokens)
{
	const struct ir_host *h = ir_view_host(c->view, r->issuer);
	struct ir_grant_request request = {.sequence = sequence,
	    .incarnation = c->incarnation,
	    .account = (char *)c->tokens->account,
	    .bucket = r->bucket,
	    .bucket_count = c->tokens->bucket_count,
	    .requested_tokens = tokens};

	request.spent_grants.spent_grants_len = r->spent_count;
	request.spent_grants.spent_grants_val = r->spent;
	if (!h || !c->send(c->limiter, c->now, h, &request))
		return false;
	r->spent_count = 0;
	return true;
}

/*
 * since_us: when it became unavailable, unless it already was. retry_us: when
 * to try again, unless a later time is set.
 */
static void
mark_unavailable(struct ir_remote_bucket *r, int64_t since_us, int64_t retry_us)
{
	if (!r->unavailable) {
		r->unavailable = true;
		r->unavailable_since_us = since_us;
	}
	if (retry_us > r->retry_us)
		r->retry_us = retry_us;
}

static struct ir_token_request *
send_new_request(const struct ir_limiter_context *c, struct ir_remote_bucket *r,
    uint32_t tokens)
{
	uint64_t sequence = ++*c->sequence;
	struct ir_token_request *q =
	    talloc_zero(c->tokens, struct ir_token_request);

	q->sequence = sequence;
	q->bucket = r->bucket;
	q->requested_tokens =
	    tokens < MAX_TOKENS_PER_REQUEST ? tokens : MAX_TOKENS_PER_REQUEST;
	q->sent_us = c->now;
	q->host = talloc_strdup(q, r->issuer);
	DL_APPEND(c->tokens->requests, q);
	if (send_request(c, r, sequence, q->requested_tokens))
		return q;
	ir_account_tokens_drop_request(c->tokens, q);
	mark_unavailable(r, c->now, c->now + UNSENT_RETRY_US);
	return NULL;
}

/*
 * Requests one token from an unreachable bucket, to detect when it is available
 * again. No call waits for the answer.
 */
static void
probe(const struct ir_limiter_context *c, struct ir_remote_bucket *r)
{
	struct ir_token_request *q;

	if (!r->issuer || c->now < r->retry_us)
		return;
	q = send_new_request(c, r, 1);
	if (!q)
		return;
	q->timed_out = true;
	r->retry_us = c->now + UNAVAILABLE_RETRY_US;
}

/* The most tokens to prefetch, in proportion to this host's spending. */
static double
prefetch_limit(const struct ir_limiter_context *c)
{
	double per_s = c->tokens->spent_per_s;

	if (per_s < PREFETCH_MIN_PER_S || c->account->rate_mt_per_s == 0)
		return 0;
	return (double)c->account->burst_mt * per_s /
	       (double)c->account->rate_mt_per_s / PREFETCH_BURST_DIVISOR;
}

/* Tokens are prefetched if no more than this number is left. */
static double
prefetch_low(
    const struct ir_limiter_context *c, const struct ir_remote_bucket *r)
{
	int64_t us = r->rtt_us * 3 / 2;

	if (us < PREFETCH_MIN_US)
		us = PREFETCH_MIN_US;
	return c->tokens->spent_per_s * (double)us / (double)IR_US_PER_S;
}

/* The number of tokens to have after prefetching. */
static uint32_t
prefetch_high(
    const struct ir_limiter_context *c, const struct ir_remote_bucket *r)
{
	double high = 2 * prefetch_low(c, r) + 1;
	double limit = prefetch_limit(c);

	return (uint32_t)(high < limit ? high : limit);
}

/*
 * The nearest bucket first, then those of this region, then those of others;
 * of each group in rotation, to drain them evenly. If this region spends more
 * than its buckets are refilled, all others are one group: those of other
 * regions would stand full and lose what they are refilled.
 */
static struct ir_remote_bucket *
bucket_by_preference(struct ir_account_tokens *t, int64_t now, uint32_t i)
{
	uint32_t first = 1, end = t->region_bucket_count;

	if (now - t->region_refused_us < REGION_SHORT_US)
		end = t->bucket_count;
	if (i == 0)
		return &t->buckets[t->nearest[0]];
	if (i >= end) {
		first = end > 0 ? end : 1;
		end = t->bucket_count;
	}
	i = first + (t->rotation + i) % (end - first);
	return &t->buckets[t->nearest[i]];
}

void
ir_request_tokens(const struct ir_limiter_context *c, uint32_t calls)
{
	struct ir_account_tokens *t = c->tokens;
	uint32_t pending;
	uint32_t requested = requested_tokens(c, &pending);
	uint32_t need = calls > requested ? calls - requested : 0;
	uint32_t sent = 0;

	for (uint32_t i = 0; i < t->bucket_count; i++) {
		struct ir_remote_bucket *r = bucket_by_preference(t, c->now, i);
		enum bucket_state state = get_state(c, r);

		if (state == BUCKET_UNREACHABLE)
			probe(c, r);
		if (state != BUCKET_AVAILABLE || need == 0 ||
		    pending >= MAX_PENDING_REQUESTS)
			continue;
		if (!send_new_request(c, r, need + prefetch_high(c, r)))
			continue;
		need = 0;
		sent = 1;
	}
	t->rotation += sent;
}

bool
ir_all_buckets_refused(const struct ir_limiter_context *c, int64_t since_us)
{
	for (uint32_t j = 0; j < c->tokens->bucket_count; j++) {
		const struct ir_remote_bucket *r = &c->tokens->buckets[j];
		enum bucket_state state = get_state(c, r);

		if (state != BUCKET_UNREACHABLE && state != BUCKET_REFUSED &&
		    r->refused_us < since_us)
			return false;
	}
	return true;
}

void
ir_prefetch_tokens(const struct ir_limiter_context *c)
{
	struct ir_account_tokens *t = c->tokens;
	uint32_t pending;
	uint32_t available = requested_tokens(c, &pending) +
			     ir_account_tokens_available(t, c->now);

	if (prefetch_limit(c) < 1 || pending >= MAX_PENDING_REQUESTS)
		return;
	for (uint32_t i = 0; i < t->bucket_count; i++) {
		struct ir_remote_bucket *r = bucket_by_preference(t, c->now, i);

		if (get_state(c, r) != BUCKET_AVAILABLE)
			continue;
		if (available <= prefetch_low(c, r) &&
		    available < prefetch_high(c, r))
			send_new_request(c, r, prefetch_high(c, r) - available);
		return;
	}
}

void
ir_report_spent_grants(const struct ir_limiter_context *c, uint32_t at_least)
{
	for (uint32_t j = 0; j < c->tokens->bucket_count; j++) {
		struct ir_remote_bucket *r = &c->tokens->buckets[j];

		if (r->spent_count < at_least)
			continue;
		send_request(c, r, ++*c->sequence, 0);
		r->spent_count = 0;
	}
}

uint32_t
ir_denied_retry_after_ms(const struct ir_limiter_context *c)
{
	int64_t us = INT64_MAX;

	for (uint32_t j = 0; j < c->tokens->bucket_count; j++) {
		int64_t left_us =
		    c->tokens->buckets[j].refused_until_us - c->now;

		if (left_us > 0 && left_us < us)
			us = left_us;
	}
	if (us == INT64_MAX)
		us = DENIED_RETRY_US;
	return (uint32_t)((us + IR_US_PER_MS - 1) / IR_US_PER_MS);
}

void
ir_expire_token_requests(const struct ir_limiter_context *c)
{
	struct ir_account_tokens *t = c->tokens;
	struct ir_token_request *q, *next;

	DL_FOREACH_SAFE (t->requests, q, next) {
		int64_t age_us = c->now - q->sent_us;

		if (age_us >= IR_TOKEN_REQUEST_TIMEOUT_US && !q->timed_out) {
			q->timed_out = true;
			if (q->bucket < t->bucket_count)
				mark_unavailable(
				    &t->buckets[q->bucket], q->sent_us, c->now);
		}
		if (age_us >= IR_GRANT_VALID_US)
			ir_account_tokens_drop_request(t, q);
	}
}
