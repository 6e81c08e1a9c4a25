/* Tokens, token requests, waiters and buckets of one client account. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "contract/account_tokens.h"
#include "zone/placement.h"

/* spent_per_s decays by a fiftieth each step: its window is about 1 s. */
#define DECAY_STEP_US (20 * IR_US_PER_MS)
#define DECAY_FACTOR 0.98
#define DECAY_MAX_STEPS 1000
#define WINDOW_S 1.0

/* Tokens expire here earlier than at the issuer, to allow for clock drift. */
#define SPEND_MARGIN_US (5 * IR_US_PER_MS)
/* Shortest time for which a refusal is remembered. */
#define MIN_REFUSAL_MS 1
/* When to send another request to a host that issues no tokens of a bucket. */
#define NOT_ISSUING_RETRY_US (100 * IR_US_PER_MS)

/* Assumed round-trip time before the first answer, by distance. */
static const int64_t initial_rtt_us[] = {
    2 * IR_US_PER_MS, 4 * IR_US_PER_MS, 30 * IR_US_PER_MS};

struct ir_account_tokens *
ir_account_tokens_new(TALLOC_CTX *mem, int64_t now, const char *account)
{
	struct ir_account_tokens *t =
	    talloc_zero(mem, struct ir_account_tokens);

	t->account = talloc_strdup(t, account);
	t->decayed_us = now;
	t->used_us = now;
	t->region_refused_us = INT64_MIN / 2;
	return t;
}

/* The distance of hosts of another region. */
#define DISTANCE_REGION 2

static uint8_t
distance(const struct ir_host *self, const struct ir_host *h)
{
	if (strcmp(self->region, h->region) != 0)
		return DISTANCE_REGION;
	return strcmp(self->zone, h->zone) != 0;
}

static void
init_bucket(struct ir_account_tokens *t, struct ir_remote_bucket *r,
    uint32_t bucket, const struct ir_host *self, const struct ir_host *issuer)
{
	memset(r, 0, sizeof *r);
	r->bucket = bucket;
	r->refused_us = INT64_MIN / 2;
	r->refused_until_us = INT64_MIN / 2;
	if (!issuer)
		return;
	r->issuer = talloc_strdup(t->buckets, issuer->name);
	r->distance = distance(self, issuer);
	r->rtt_us = initial_rtt_us[r->distance];
}

static bool
is_issued_by(const struct ir_remote_bucket *r, const char *host)
{
	return r->issuer && strcmp(r->issuer, host) == 0;
}

/*
 * Sorts the buckets by distance. Among buckets of equal distance, each host
 * begins with the one that its hash selects, to spread the requests.
 */
static void
sort_by_distance(struct ir_account_tokens *t, const struct ir_host *self)
{
	uint64_t part = self->hash >> 32;
	uint32_t first = (uint32_t)(part * t->bucket_count >> 32);
	uint32_t n = 0;

	for (uint8_t d = 0; d <= DISTANCE_REGION; d++) {
		if (d == DISTANCE_REGION)
			t->region_bucket_count = n;
		for (uint32_t i = 0; i < t->bucket_count; i++) {
			uint32_t j = (first + i) % t->bucket_count;

			if (t->buckets[j].distance == d)
				t->nearest[n++] = j;
		}
	}
}

static void
set_bucket_count(struct ir_account_tokens *t, uint32_t count)
{
	TALLOC_FREE(t->buckets);
	TALLOC_FREE(t->nearest);
	t->buckets = talloc_zero_array(t, struct ir_remote_bucket, count);
	t->nearest = talloc_zero_array(t, uint32_t, count);
	t->bucket_count = count;
}

void
ir_account_tokens_set_view(struct ir_account_tokens *t, const struct ir_view *v,
    const struct ir_host *self, const struct ir_account *a)
{
	uint32_t count;

	if (t->has_view && t->config_revision == v->config_revision &&
	    t->list_revision == v->list_revision)
		return;
	t->has_view = true;
	t->config_revision = v->config_revision;
	t->list_revision = v->list_revision;
	count = ir_bucket_count(v, a);
	if (count != t->bucket_count)
		set_bucket_count(t, count);
	for (uint32_t j = 0; j < count; j++) {
		const struct ir_host *h = ir_bucket_issuer(v, a, j);
		struct ir_remote_bucket *r = &t->buckets[j];

		if (!h || !is_issued_by(r, h->name))
			init_bucket(t, r, j, self, h);
	}
	sort_by_distance(t, self);
}

static void
decay(struct ir_account_tokens *t, int64_t now)
{
	int64_t steps = (now - t->decayed_us) / DECAY_STEP_US;

	if (steps <= 0)
		return;
	t->decayed_us += steps * DECAY_STEP_US;
	if (steps > DECAY_MAX_STEPS)
		t->spent_per_s = 0;
	for (int64_t i = 0; i < steps && t->spent_per_s > 0; i++)
		t->spent_per_s *= DECAY_FACTOR;
}

static void
drop_batch(struct ir_account_tokens *t, struct ir_token_batch *b)
{
	DL_DELETE(t->batches, b);
	talloc_free(b);
}

/* Notes a grant spent in full, to be reported with the next token request. */
static void
add_spent(struct ir_account_tokens *t, const struct ir_token_batch *b)
{
	struct ir_remote_bucket *r;

	if (b->bucket >= t->bucket_count)
		return;
	r = &t->buckets[b->bucket];
	if (r->spent_count < IR_MAX_SPENT_GRANTS)
		r->spent[r->spent_count++] = b->sequence;
}

void
ir_account_tokens_expire(struct ir_account_tokens *t, int64_t now)
{
	struct ir_token_batch *b, *next;

	decay(t, now);
	DL_FOREACH_SAFE (t->batches, b, next) {
		if (now >= b->expiry_us)
			drop_batch(t, b);
	}
}

bool
ir_account_tokens_spend(struct ir_account_tokens *t, int64_t now)
{
	struct ir_token_batch *b;

	ir_account_tokens_expire(t, now);
	b = t->batches;
	if (!b)
		return false;
	t->spent_per_s += 1 / WINDOW_S;
	if (--b->count == 0) {
		add_spent(t, b);
		drop_batch(t, b);
	}
	return true;
}

uint32_t
ir_account_tokens_available(const struct ir_account_tokens *t, int64_t now)
{
	const struct ir_token_batch *b;
	uint32_t n = 0;

	DL_FOREACH (t->batches, b) {
		if (now < b->expiry_us)
			n += b->count;
	}
	return n;
}

static int
by_expiry(const struct ir_token_batch *a, const struct ir_token_batch *b)
{
	return (a->expiry_us > b->expiry_us) - (a->expiry_us < b->expiry_us);
}

static void
add_batch(struct ir_account_tokens *t, int64_t now,
    const struct ir_token_request *q, const struct ir_grant *g)
{
	int64_t valid_us = g->valid_us;
	struct ir_token_batch *b;

	if (valid_us > IR_GRANT_VALID_US)
		valid_us = IR_GRANT_VALID_US;
	if (now >= q->sent_us + valid_us - SPEND_MARGIN_US)
		return;
	b = talloc_zero(t, struct ir_token_batch);
	b->sequence = q->sequence;
	b->bucket = q->bucket;
	b->count =
	    g->count < q->requested_tokens ? g->count : q->requested_tokens;
	b->expiry_us = q->sent_us + valid_us - SPEND_MARGIN_US;
	DL_INSERT_INORDER(t->batches, b, by_expiry);
}

/* Updates the state of a bucket from its issuer's answer. */
static void
update_bucket(struct ir_remote_bucket *r, int64_t now,
    const struct ir_token_request *q, const struct ir_grant *g)
{
	u_int refused_ms = g->retry_after_ms;

	if (!q->timed_out)
		r->rtt_us += (now - q->sent_us - r->rtt_us) / 8;
	r->unavailable = !g->issuing;
	if (r->unavailable) {
		/* Counts as unreachable at once, as after a timeout. */
		r->unavailable_since_us = now - IR_TOKEN_REQUEST_TIMEOUT_US;
		r->retry_us = now + NOT_ISSUING_RETRY_US;
		return;
	}
	if (g->count > 0)
		return;
	if (refused_ms < MIN_REFUSAL_MS)
		refused_ms = MIN_REFUSAL_MS;
	r->refused_us = now;
	r->refused_until_us = now + refused_ms * IR_US_PER_MS;
}

static struct ir_token_request *
find_request(const struct ir_account_tokens *t, const char *host,
    const struct ir_grant *g)
{
	struct ir_token_request *q;

	DL_FOREACH (t->requests, q) {
		if (q->sequence == g->sequence && q->bucket == g->bucket &&
		    strcmp(q->host, host) == 0)
			return q;
	}
	return NULL;
}

void
ir_account_tokens_drop_request(
    struct ir_account_tokens *t, struct ir_token_request *q)
{
	DL_DELETE(t->requests, q);
	talloc_free(q);
}

bool
ir_account_tokens_add_grant(struct ir_account_tokens *t, int64_t now,
    const char *host, const struct ir_grant *g)
{
	struct ir_token_request *q = find_request(t, host, g);

	if (!q)
		return false;
	if (q->bucket < t->bucket_count &&
	    is_issued_by(&t->buckets[q->bucket], host))
		update_bucket(&t->buckets[q->bucket], now, q, g);
	if (g->issuing && g->count > 0)
		add_batch(t, now, q, g);
	if (g->issuing && g->count == 0 && q->requested_tokens > 0 &&
	    q->bucket < t->bucket_count &&
	    t->buckets[q->bucket].distance < DISTANCE_REGION)
		t->region_refused_us = now;
	ir_account_tokens_drop_request(t, q);
	return true;
}

void
ir_account_tokens_add_waiter(struct ir_account_tokens *t, int64_t start_us)
{
	size_t capacity =
	    t->waiter_start_us ? talloc_array_length(t->waiter_start_us) : 0;

	if (t->waiter_count >= capacity)
		t->waiter_start_us = talloc_realloc(t, t->waiter_start_us,
		    int64_t, 2 * (size_t)t->waiter_count + 4);
	t->waiter_start_us[t->waiter_count++] = start_us;
}

void
ir_account_tokens_start_retries(struct ir_account_tokens *t)
{
	t->retry_start_us = t->waiter_start_us;
	t->retry_count = t->waiter_count;
	t->retry_next = 0;
	t->waiter_start_us = NULL;
	t->waiter_count = 0;
	t->retry_due = false;
}

void
ir_account_tokens_end_retries(struct ir_account_tokens *t)
{
	TALLOC_FREE(t->retry_start_us);
	t->retry_count = 0;
	t->retry_next = 0;
}

int64_t
ir_account_tokens_call_start(struct ir_account_tokens *t, int64_t now)
{
	if (t->retry_next == t->retry_count)
		return now;
	return t->retry_start_us[t->retry_next++];
}
