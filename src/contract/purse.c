/* Tokens, open asks and known buckets of one client account at a wallet. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "contract/purse.h"
#include "zone/placement.h"

/* The rate of spending decays by a fiftieth each step: about 1 s long. */
#define DECAY_STEP_US (20 * IR_US_PER_MS)
#define DECAY_FACTOR 0.98
#define DECAY_MAX_STEPS 1000
#define WINDOW_S 1.0

/* Grants are given up so much before their end, for clocks that run apart. */
#define SPEND_MARGIN_US (5 * IR_US_PER_MS)
#define REFUSED_MIN_MS 1
/* How long a bucket that its host does not mint is left alone. */
#define NOT_MINTING_US (100 * IR_US_PER_MS)

static const int64_t first_rtt_us[] = {
    2 * IR_US_PER_MS, 4 * IR_US_PER_MS, 30 * IR_US_PER_MS};

struct ir_purse *
ir_purse_new(TALLOC_CTX *mem, int64_t now, const char *account)
{
	struct ir_purse *p = talloc_zero(mem, struct ir_purse);

	p->account = talloc_strdup(p, account);
	p->decayed_us = now;
	p->used_us = now;
	return p;
}

static uint8_t
distance(const struct ir_host *self, const struct ir_host *h)
{
	if (strcmp(self->region, h->region) != 0)
		return 2;
	return strcmp(self->zone, h->zone) != 0;
}

static void
set_source(struct ir_purse *p, struct ir_source *s, uint32_t bucket,
    const struct ir_host *self, const struct ir_host *minter)
{
	memset(s, 0, sizeof *s);
	s->bucket = bucket;
	s->refused_us = INT64_MIN / 2;
	s->refused_until_us = INT64_MIN / 2;
	if (!minter)
		return;
	s->minter = talloc_strdup(p->sources, minter->name);
	s->distance = distance(self, minter);
	s->rtt_us = first_rtt_us[s->distance];
}

static bool
is_minter(const struct ir_source *s, const char *host)
{
	return s->minter && strcmp(s->minter, host) == 0;
}

/* Nearest first; equally near ones start at another bucket on each host. */
static void
set_order(struct ir_purse *p, const struct ir_host *self)
{
	uint64_t part = self->hash >> 32;
	uint32_t first = (uint32_t)(part * p->source_count >> 32);
	uint32_t n = 0;

	for (uint8_t d = 0; d <= 2; d++)
		for (uint32_t i = 0; i < p->source_count; i++) {
			uint32_t j = (first + i) % p->source_count;

			if (p->sources[j].distance == d)
				p->order[n++] = j;
		}
}

static void
resize(struct ir_purse *p, uint32_t count)
{
	TALLOC_FREE(p->sources);
	TALLOC_FREE(p->order);
	p->sources = talloc_zero_array(p, struct ir_source, count);
	p->order = talloc_zero_array(p, uint32_t, count);
	p->source_count = count;
}

void
ir_purse_sync(struct ir_purse *p, const struct ir_view *v,
    const struct ir_host *self, const struct ir_account *a)
{
	uint32_t count;

	if (p->synced && p->config_revision == v->config_revision &&
	    p->list_revision == v->list_revision)
		return;
	p->synced = true;
	p->config_revision = v->config_revision;
	p->list_revision = v->list_revision;
	count = ir_bucket_count(v, a);
	if (count != p->source_count)
		resize(p, count);
	for (uint32_t j = 0; j < count; j++) {
		const struct ir_host *h = ir_bucket_host(v, a, j);
		struct ir_source *s = &p->sources[j];

		if (!h || !is_minter(s, h->name))
			set_source(p, s, j, self, h);
	}
	set_order(p, self);
}

static void
decay(struct ir_purse *p, int64_t now)
{
	int64_t steps = (now - p->decayed_us) / DECAY_STEP_US;

	if (steps <= 0)
		return;
	p->decayed_us += steps * DECAY_STEP_US;
	if (steps > DECAY_MAX_STEPS)
		p->spent_per_s = 0;
	for (int64_t i = 0; i < steps && p->spent_per_s > 0; i++)
		p->spent_per_s *= DECAY_FACTOR;
}

static void
drop_batch(struct ir_purse *p, struct ir_batch *b)
{
	DL_DELETE(p->batches, b);
	talloc_free(b);
}

/* Remembers that a grant is spent in full, for the next ask. */
static void
note_spent(struct ir_purse *p, const struct ir_batch *b)
{
	struct ir_source *s;

	if (b->bucket >= p->source_count)
		return;
	s = &p->sources[b->bucket];
	if (s->released_count < IR_MAX_SPENT_GRANTS)
		s->released[s->released_count++] = b->sequence;
}

void
ir_purse_settle(struct ir_purse *p, int64_t now)
{
	struct ir_batch *b, *next;

	decay(p, now);
	DL_FOREACH_SAFE (p->batches, b, next) {
		if (now >= b->expiry_us)
			drop_batch(p, b);
	}
}

bool
ir_purse_spend(struct ir_purse *p, int64_t now)
{
	struct ir_batch *b;

	ir_purse_settle(p, now);
	b = p->batches;
	if (!b)
		return false;
	p->spent_per_s += 1 / WINDOW_S;
	if (--b->left == 0) {
		note_spent(p, b);
		drop_batch(p, b);
	}
	return true;
}

uint32_t
ir_purse_held(const struct ir_purse *p, int64_t now)
{
	const struct ir_batch *b;
	uint32_t n = 0;

	DL_FOREACH (p->batches, b) {
		if (now < b->expiry_us)
			n += b->left;
	}
	return n;
}

static int
by_expiry(const struct ir_batch *a, const struct ir_batch *b)
{
	return (a->expiry_us > b->expiry_us) - (a->expiry_us < b->expiry_us);
}

static void
add_batch(struct ir_purse *p, int64_t now, const struct ir_open_ask *q,
    const struct ir_grant *g)
{
	int64_t valid_us = g->valid_us;
	struct ir_batch *b;

	if (valid_us > IR_GRANT_VALID_US)
		valid_us = IR_GRANT_VALID_US;
	if (now >= q->asked_us + valid_us - SPEND_MARGIN_US)
		return;
	b = talloc_zero(p, struct ir_batch);
	b->sequence = q->sequence;
	b->bucket = q->bucket;
	b->left = g->count < q->want ? g->count : q->want;
	b->expiry_us = q->asked_us + valid_us - SPEND_MARGIN_US;
	DL_INSERT_INORDER(p->batches, b, by_expiry);
}

/* Learns of a bucket from its minter's answer. */
static void
note_answer(struct ir_source *s, int64_t now, const struct ir_open_ask *q,
    const struct ir_grant *g)
{
	u_int refused_ms = g->retry_after_ms;

	if (!q->silent)
		s->rtt_us += (now - q->asked_us - s->rtt_us) / 8;
	s->away = !g->issuing;
	if (s->away) {
		s->away_since_us = now - IR_ASK_PATIENCE_US;
		s->try_us = now + NOT_MINTING_US;
		return;
	}
	if (g->count > 0)
		return;
	if (refused_ms < REFUSED_MIN_MS)
		refused_ms = REFUSED_MIN_MS;
	s->refused_us = now;
	s->refused_until_us = now + refused_ms * IR_US_PER_MS;
}

static struct ir_open_ask *
find_ask(const struct ir_purse *p, const char *host, const struct ir_grant *g)
{
	struct ir_open_ask *q;

	DL_FOREACH (p->asks, q) {
		if (q->sequence == g->sequence && q->bucket == g->bucket &&
		    strcmp(q->host, host) == 0)
			return q;
	}
	return NULL;
}

void
ir_purse_drop_ask(struct ir_purse *p, struct ir_open_ask *q)
{
	DL_DELETE(p->asks, q);
	talloc_free(q);
}

bool
ir_purse_granted(
    struct ir_purse *p, int64_t now, const char *host, const struct ir_grant *g)
{
	struct ir_open_ask *q = find_ask(p, host, g);

	if (!q)
		return false;
	if (q->bucket < p->source_count &&
	    is_minter(&p->sources[q->bucket], host))
		note_answer(&p->sources[q->bucket], now, q, g);
	if (g->issuing && g->count > 0)
		add_batch(p, now, q, g);
	ir_purse_drop_ask(p, q);
	return true;
}

void
ir_purse_wait(struct ir_purse *p, int64_t since_us)
{
	size_t room = p->since_us ? talloc_array_length(p->since_us) : 0;

	if (p->waiting >= room)
		p->since_us = talloc_realloc(
		    p, p->since_us, int64_t, 2 * (size_t)p->waiting + 4);
	p->since_us[p->waiting++] = since_us;
}

void
ir_purse_wake(struct ir_purse *p)
{
	p->woken_since_us = p->since_us;
	p->woken = p->waiting;
	p->woken_next = 0;
	p->since_us = NULL;
	p->waiting = 0;
	p->wake_due = false;
}

void
ir_purse_woken(struct ir_purse *p)
{
	TALLOC_FREE(p->woken_since_us);
	p->woken = 0;
	p->woken_next = 0;
}

int64_t
ir_purse_began(struct ir_purse *p, int64_t now)
{
	if (p->woken_next == p->woken)
		return now;
	return p->woken_since_us[p->woken_next++];
}
