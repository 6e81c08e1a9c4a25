/* Which buckets a wallet asks, for how much, and when it has asked enough. */
#include <string.h>
#include <utlist.h>

#include "contract/seek.h"

#define MAX_WANT 1000
#define MAX_OPEN_ASKS 16
/* A minter that did not answer for so long is not the only one asked. */
#define HEDGE_MIN_US (5 * IR_US_PER_MS)
#define HEDGE_MAX_US (40 * IR_US_PER_MS)
/* When to try a host again that could not be sent to, or does not answer. */
#define UNSENT_RETRY_US (10 * IR_US_PER_MS)
#define AWAY_RETRY_US (100 * IR_US_PER_MS)
/*
 * For how long it may then go unasked and still count as out of reach: two
 * retries. A call that comes later waits for its answer.
 */
#define AWAY_BELIEF_US (2 * AWAY_RETRY_US)
/* Tokens are asked for in advance from this rate of spending on. */
#define AHEAD_MIN_PER_S 20
#define AHEAD_MIN_US (2 * IR_US_PER_MS)
/* The part of its share of the burst that a node may hold in advance. */
#define AHEAD_BURST_PART 8
#define DENIED_RETRY_US (100 * IR_US_PER_MS)

enum source_state {
	SOURCE_REFUSED, /* said no, and is not to be asked yet */
	SOURCE_OUT,	/* out of reach */
	SOURCE_LATE,	/* an ask is out for long */
	SOURCE_RETRY,	/* could not be sent to just now */
	SOURCE_OPEN	/* may be asked */
};

static int64_t
hedge_us(const struct ir_source *s)
{
	int64_t us = 2 * s->rtt_us;

	if (us < HEDGE_MIN_US)
		return HEDGE_MIN_US;
	return us < HEDGE_MAX_US ? us : HEDGE_MAX_US;
}

static bool
is_late(const struct ir_scene *c, const struct ir_open_ask *q)
{
	const struct ir_purse *p = c->purse;

	return q->bucket >= p->source_count ||
	       c->now - q->asked_us >= hedge_us(&p->sources[q->bucket]);
}

static enum source_state
state_of(const struct ir_scene *c, const struct ir_source *s)
{
	const struct ir_open_ask *q;

	if (!s->minter)
		return SOURCE_OUT;
	if (c->now < s->refused_until_us)
		return SOURCE_REFUSED;
	if (s->away && c->now - s->away_since_us >= IR_ASK_PATIENCE_US &&
	    c->now - s->try_us < AWAY_BELIEF_US)
		return SOURCE_OUT;
	DL_FOREACH (c->purse->asks, q) {
		if (q->bucket == s->bucket && !q->silent && is_late(c, q))
			return SOURCE_LATE;
	}
	if (s->away && c->now < s->try_us)
		return SOURCE_RETRY;
	return SOURCE_OPEN;
}

/* Tokens that were asked for and may be on their way. */
static uint32_t
expected(const struct ir_scene *c, uint32_t *open_asks)
{
	const struct ir_open_ask *q;
	uint32_t n = 0;

	*open_asks = 0;
	DL_FOREACH (c->purse->asks, q) {
		if (q->silent)
			continue;
		++*open_asks;
		if (!is_late(c, q))
			n += q->want;
	}
	return n;
}

/* Sends an ask, with the releases that are due. */
static bool
send_ask(const struct ir_scene *c, struct ir_source *s, uint64_t sequence,
    uint32_t want)
{
	const struct ir_host *h = ir_view_host(c->view, s->minter);
	struct ir_grant_request ask = {.sequence = sequence,
	    .incarnation = c->incarnation,
	    .account = (char *)c->purse->account,
	    .bucket = s->bucket,
	    .bucket_count = c->purse->source_count,
	    .requested_tokens = want};

	ask.spent_grants.spent_grants_len = s->released_count;
	ask.spent_grants.spent_grants_val = s->released;
	if (!h || !c->ask(c->wallet, c->now, h, &ask))
		return false;
	s->released_count = 0;
	return true;
}

/* It is away, since then, and may be tried again at try_us. */
static void
note_away(struct ir_source *s, int64_t since_us, int64_t try_us)
{
	if (!s->away) {
		s->away = true;
		s->away_since_us = since_us;
	}
	if (try_us > s->try_us)
		s->try_us = try_us;
}

static struct ir_open_ask *
ask(const struct ir_scene *c, struct ir_source *s, uint32_t want)
{
	uint64_t sequence = ++*c->sequence;
	struct ir_open_ask *q = talloc_zero(c->purse, struct ir_open_ask);

	q->sequence = sequence;
	q->bucket = s->bucket;
	q->want = want < MAX_WANT ? want : MAX_WANT;
	q->asked_us = c->now;
	q->host = talloc_strdup(q, s->minter);
	DL_APPEND(c->purse->asks, q);
	if (send_ask(c, s, sequence, q->want))
		return q;
	ir_purse_drop_ask(c->purse, q);
	note_away(s, c->now, c->now + UNSENT_RETRY_US);
	return NULL;
}

/* Asks a bucket that is out of reach whether it is back. */
static void
probe(const struct ir_scene *c, struct ir_source *s)
{
	struct ir_open_ask *q;

	if (!s->minter || c->now < s->try_us)
		return;
	q = ask(c, s, 1);
	if (!q)
		return;
	q->silent = true;
	s->try_us = c->now + AWAY_RETRY_US;
}

/* Tokens to hold in advance of need, by the rate of spending here. */
static double
ahead_limit(const struct ir_scene *c)
{
	double per_s = c->purse->spent_per_s;

	if (per_s < AHEAD_MIN_PER_S || c->account->rate_mt_per_s == 0)
		return 0;
	return (double)c->account->burst_mt * per_s /
	       (double)c->account->rate_mt_per_s / AHEAD_BURST_PART;
}

static double
ahead_low(const struct ir_scene *c, const struct ir_source *s)
{
	int64_t us = s->rtt_us * 3 / 2;

	if (us < AHEAD_MIN_US)
		us = AHEAD_MIN_US;
	return c->purse->spent_per_s * (double)us / (double)IR_US_PER_S;
}

static uint32_t
ahead_high(const struct ir_scene *c, const struct ir_source *s)
{
	double high = 2 * ahead_low(c, s) + 1;
	double limit = ahead_limit(c);

	return (uint32_t)(high < limit ? high : limit);
}

/* The nearest bucket first; the others in turn, so that all empty alike. */
static struct ir_source *
next_source(struct ir_purse *p, uint32_t i)
{
	uint32_t others = p->source_count - 1;

	if (i > 0)
		i = 1 + (p->turn + i) % others;
	return &p->sources[p->order[i]];
}

/* Asks for so many calls, where that may help. */
void
ir_seek(const struct ir_scene *c, uint32_t calls)
{
	struct ir_purse *p = c->purse;
	uint32_t open_asks;
	uint32_t coming = expected(c, &open_asks);
	uint32_t need = calls > coming ? calls - coming : 0;
	uint32_t asked = 0;

	for (uint32_t i = 0; i < p->source_count; i++) {
		struct ir_source *s = next_source(p, i);
		enum source_state state = state_of(c, s);

		if (state == SOURCE_OUT)
			probe(c, s);
		if (state != SOURCE_OPEN || need == 0 ||
		    open_asks >= MAX_OPEN_ASKS)
			continue;
		if (!ask(c, s, need + ahead_high(c, s)))
			continue;
		need = 0;
		asked = 1;
	}
	p->turn += asked;
}

/* Whether every bucket in reach has refused since then, or still does. */
bool
ir_all_refused(const struct ir_scene *c, int64_t since_us)
{
	for (uint32_t j = 0; j < c->purse->source_count; j++) {
		const struct ir_source *s = &c->purse->sources[j];
		enum source_state state = state_of(c, s);

		if (state != SOURCE_OUT && state != SOURCE_REFUSED &&
		    s->refused_us < since_us)
			return false;
	}
	return true;
}

/* Asks ahead of need when little is held. */
void
ir_top_up(const struct ir_scene *c)
{
	struct ir_purse *p = c->purse;
	uint32_t open_asks;
	uint32_t stock = expected(c, &open_asks) + ir_purse_held(p, c->now);

	if (ahead_limit(c) < 1 || open_asks >= MAX_OPEN_ASKS)
		return;
	for (uint32_t i = 0; i < p->source_count; i++) {
		struct ir_source *s = next_source(p, i);

		if (state_of(c, s) != SOURCE_OPEN)
			continue;
		if (stock <= ahead_low(c, s) && stock < ahead_high(c, s))
			ask(c, s, ahead_high(c, s) - stock);
		return;
	}
}

void
ir_report_spent(const struct ir_scene *c, uint32_t at_least)
{
	for (uint32_t j = 0; j < c->purse->source_count; j++) {
		struct ir_source *s = &c->purse->sources[j];

		if (s->released_count < at_least)
			continue;
		send_ask(c, s, ++*c->sequence, 0);
		s->released_count = 0;
	}
}

uint32_t
ir_denied_retry_ms(const struct ir_scene *c)
{
	int64_t us = INT64_MAX;

	for (uint32_t j = 0; j < c->purse->source_count; j++) {
		int64_t left_us =
		    c->purse->sources[j].refused_until_us - c->now;

		if (left_us > 0 && left_us < us)
			us = left_us;
	}
	if (us == INT64_MAX)
		us = DENIED_RETRY_US;
	return (uint32_t)((us + IR_US_PER_MS - 1) / IR_US_PER_MS);
}

/* Marks asks without an answer, and forgets those whose grants are void. */
void
ir_age_asks(const struct ir_scene *c)
{
	struct ir_purse *p = c->purse;
	struct ir_open_ask *q, *next;

	DL_FOREACH_SAFE (p->asks, q, next) {
		int64_t age_us = c->now - q->asked_us;

		if (age_us >= IR_ASK_PATIENCE_US && !q->silent) {
			q->silent = true;
			if (q->bucket < p->source_count)
				note_away(&p->sources[q->bucket], q->asked_us,
				    c->now);
		}
		if (age_us >= IR_GRANT_VALID_US)
			ir_purse_drop_ask(p, q);
	}
}
