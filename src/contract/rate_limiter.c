/*
 * Spending of granted tokens, and waiting for more.
 *
 * A call that finds no token makes the rate limiter request tokens from the
 * nearest bucket that has not refused lately. If the answer brings too few, it
 * requests more from the next bucket. A refusal is remembered as long as the
 * issuer says, so that an account far over its rate causes few messages. If an
 * account's tokens are spent steadily, more are prefetched, in proportion to
 * this host's part of the rate.
 */
#include <string.h>
#include <utlist.h>

#include "contract/rate_limiter.h"
#include "contract/token_requests.h"

/* An account is dropped after this time without calls and tokens. */
#define IDLE_ACCOUNT_KEEP_US (10 * IR_US_PER_S)

/*
 * A grant that arrived from within ops.send_request(). It is applied after
 * send_request() returns, since the function that called it still uses the
 * account.
 */
struct deferred_grant {
	const char *host;
	struct ir_grant grant;
	struct deferred_grant *prev, *next;
};

struct ir_rate_limiter {
	struct ir_rate_limiter_ops ops;
	void *ctx;
	uint64_t incarnation;
	uint64_t sequence;
	struct ir_account_tokens *accounts; /* hashed by name */
	bool sending;			    /* ops.send_request() is running */
	struct deferred_grant *deferred;
};

static int
rate_limiter_destroy(struct ir_rate_limiter *rl)
{
	HASH_CLEAR(hh, rl->accounts);
	return 0;
}

struct ir_rate_limiter *
ir_rate_limiter_new(TALLOC_CTX *mem, const struct ir_rate_limiter_ops *ops,
    void *ctx, uint64_t incarnation)
{
	struct ir_rate_limiter *rl = talloc_zero(mem, struct ir_rate_limiter);

	talloc_set_destructor(rl, rate_limiter_destroy);
	rl->ops = *ops;
	rl->ctx = ctx;
	rl->incarnation = incarnation;
	/* A grant to an earlier process must match no request of this one. */
	rl->sequence = XXH64(&incarnation, sizeof incarnation, 0) >> 1;
	return rl;
}

static struct ir_account_tokens *
find_account(const struct ir_rate_limiter *rl, const char *account)
{
	struct ir_account_tokens *t;

	HASH_FIND(hh, rl->accounts, account, strlen(account), t);
	return t;
}

static struct ir_account_tokens *
get_account(struct ir_rate_limiter *rl, int64_t now, const char *account)
{
	struct ir_account_tokens *t = find_account(rl, account);

	if (t)
		return t;
	t = ir_account_tokens_new(rl, now, account);
	HASH_ADD_KEYPTR(hh, rl->accounts, t->account, strlen(t->account), t);
	return t;
}

static void
drop_account(struct ir_rate_limiter *rl, struct ir_account_tokens *t)
{
	if (rl->accounts)
		HASH_DEL(rl->accounts, t);
	talloc_free(t);
}

static void
retry_waiters(
    struct ir_rate_limiter *rl, int64_t now, struct ir_account_tokens *t)
{
	if (t->waiter_count == 0)
		return;
	ir_account_tokens_start_retries(t);
	rl->ops.retry_waiting(rl->ctx, now, t->account);
	ir_account_tokens_end_retries(t);
}

static void
defer_grant(
    struct ir_rate_limiter *rl, const char *host, const struct ir_grant *g)
{
	struct deferred_grant *d = talloc_zero(rl, struct deferred_grant);

	d->host = talloc_strdup(d, host);
	d->grant = *g;
	d->grant.account = talloc_strdup(d, g->account);
	DL_APPEND(rl->deferred, d);
}

/* Returns whether any of the deferred grants answered a pending request. */
static bool
apply_deferred_grants(struct ir_rate_limiter *rl, int64_t now)
{
	struct deferred_grant *d, *next;
	bool any = false;

	DL_FOREACH_SAFE (rl->deferred, d, next) {
		struct ir_account_tokens *t =
		    find_account(rl, d->grant.account);

		if (t &&
		    ir_account_tokens_add_grant(t, now, d->host, &d->grant)) {
			t->retry_due = true;
			any = true;
		}
		DL_DELETE(rl->deferred, d);
		talloc_free(d);
	}
	return any;
}

static bool
send_request(struct ir_rate_limiter *rl, int64_t now,
    const struct ir_host *issuer, const struct ir_grant_request *request)
{
	bool sent;

	rl->sending = true;
	sent = rl->ops.send_request(rl->ctx, now, issuer, request);
	rl->sending = false;
	return sent;
}

static struct ir_limiter_context
new_context(struct ir_rate_limiter *rl, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	struct ir_limiter_context c = {.limiter = rl,
	    .now = now,
	    .view = v,
	    .self = self,
	    .incarnation = rl->incarnation,
	    .sequence = &rl->sequence,
	    .send = send_request};

	return c;
}

enum ir_take_result
ir_rate_limiter_take(struct ir_rate_limiter *rl, int64_t now,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_account *a, uint32_t *retry_after_ms)
{
	struct ir_limiter_context c = new_context(rl, now, v, self);
	int64_t start_us;

	c.account = a;
	c.tokens = get_account(rl, now, a->name);
	c.tokens->used_us = now;
	start_us = ir_account_tokens_call_start(c.tokens, now);
	ir_account_tokens_set_view(c.tokens, v, self, a);
	while (!ir_account_tokens_spend(c.tokens, now)) {
		ir_request_tokens(&c, c.tokens->waiter_count + 1);
		if (apply_deferred_grants(rl, now))
			continue;
		if (ir_all_buckets_refused(&c, start_us)) {
			*retry_after_ms = ir_denied_retry_after_ms(&c);
			return IR_TAKE_DENIED;
		}
		ir_account_tokens_add_waiter(c.tokens, start_us);
		return IR_TAKE_WAIT;
	}
	ir_report_spent_grants(&c, IR_MAX_SPENT_GRANTS);
	ir_prefetch_tokens(&c);
	apply_deferred_grants(rl, now);
	return IR_TAKE_OK;
}

void
ir_rate_limiter_add_grant(struct ir_rate_limiter *rl, int64_t now,
    const char *host, const struct ir_grant *g)
{
	struct ir_account_tokens *t;

	if (rl->sending) {
		defer_grant(rl, host, g);
		return;
	}
	t = find_account(rl, g->account);
	if (t && ir_account_tokens_add_grant(t, now, host, g))
		retry_waiters(rl, now, t);
}

static bool
drop_requests_to(struct ir_account_tokens *t, const char *host)
{
	struct ir_token_request *q, *next;
	bool any = false;

	DL_FOREACH_SAFE (t->requests, q, next) {
		if (strcmp(q->host, host) != 0)
			continue;
		ir_account_tokens_drop_request(t, q);
		any = true;
	}
	return any;
}

void
ir_rate_limiter_host_lost(
    struct ir_rate_limiter *rl, int64_t now, const char *host)
{
	struct ir_account_tokens *t, *next;

	if (rl->sending) /* send_request() reports it by its result */
		return;
	HASH_ITER (hh, rl->accounts, t, next) {
		if (drop_requests_to(t, host))
			retry_waiters(rl, now, t);
	}
}

static void
tick_account(const struct ir_limiter_context *c)
{
	ir_account_tokens_set_view(c->tokens, c->view, c->self, c->account);
	ir_account_tokens_expire(c->tokens, c->now);
	ir_expire_token_requests(c);
	if (c->tokens->waiter_count > 0)
		ir_request_tokens(c, c->tokens->waiter_count);
	ir_prefetch_tokens(c);
	ir_report_spent_grants(c, 1);
	apply_deferred_grants(c->limiter, c->now);
	if (c->tokens->waiter_count > 0 &&
	    (c->tokens->retry_due ||
		ir_all_buckets_refused(c, c->tokens->waiter_start_us[0])))
		retry_waiters(c->limiter, c->now, c->tokens);
}

static bool
is_idle(const struct ir_limiter_context *c)
{
	return c->tokens->waiter_count == 0 && !c->tokens->batches &&
	       !c->tokens->requests &&
	       c->now - c->tokens->used_us > IDLE_ACCOUNT_KEEP_US;
}

void
ir_rate_limiter_tick(struct ir_rate_limiter *rl, int64_t now,
    const struct ir_view *v, const struct ir_host *self)
{
	struct ir_limiter_context c = new_context(rl, now, v, self);
	struct ir_account_tokens *next;

	HASH_ITER (hh, rl->accounts, c.tokens, next) {
		c.account = ir_view_account(v, c.tokens->account);
		if (c.account)
			tick_account(&c);
		else
			retry_waiters(rl, now, c.tokens);
		if (!c.account || is_idle(&c))
			drop_account(rl, c.tokens);
	}
}

uint32_t
ir_rate_limiter_tokens(
    const struct ir_rate_limiter *rl, int64_t now, const char *account)
{
	const struct ir_account_tokens *t = find_account(rl, account);

	return t ? ir_account_tokens_available(t, now) : 0;
}
