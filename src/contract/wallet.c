/*
 * Tokens granted to this node, and whom to ask for more.
 *
 * A call that finds no token makes the wallet ask the nearest bucket that has
 * not refused lately; its answer, when it is not enough, leads on to the next.
 * Refusals are remembered as long as the minter says, so that an account far
 * over its rate costs few asks. Where an account is spent steadily, tokens are
 * asked for in advance, in proportion to this node's part of the rate.
 */
#include <string.h>
#include <utlist.h>

#include "contract/seek.h"
#include "contract/wallet.h"

#define PURSE_KEEP_US (10 * IR_US_PER_S)

/* A grant that came from within ops.ask(). */
struct early_grant {
	const char *host;
	struct ir_grant grant;
	struct early_grant *prev, *next;
};

struct ir_wallet {
	struct ir_wallet_ops ops;
	void *ctx;
	uint64_t incarnation;
	uint64_t sequence;
	struct ir_purse *purses; /* by account */
	bool asking;		 /* ops.ask() is running */
	struct early_grant *early;
};

static int
wallet_destroy(struct ir_wallet *w)
{
	HASH_CLEAR(hh, w->purses);
	return 0;
}

struct ir_wallet *
ir_wallet_new(TALLOC_CTX *mem, const struct ir_wallet_ops *ops, void *ctx,
    uint64_t incarnation)
{
	struct ir_wallet *w = talloc_zero(mem, struct ir_wallet);

	talloc_set_destructor(w, wallet_destroy);
	w->ops = *ops;
	w->ctx = ctx;
	w->incarnation = incarnation;
	/* A grant to an earlier process must fit no ask of this one. */
	w->sequence = XXH64(&incarnation, sizeof incarnation, 0) >> 1;
	return w;
}

static struct ir_purse *
find_purse(const struct ir_wallet *w, const char *account)
{
	struct ir_purse *p;

	HASH_FIND(hh, w->purses, account, strlen(account), p);
	return p;
}

static struct ir_purse *
get_purse(struct ir_wallet *w, int64_t now, const char *account)
{
	struct ir_purse *p = find_purse(w, account);

	if (p)
		return p;
	p = ir_purse_new(w, now, account);
	HASH_ADD_KEYPTR(hh, w->purses, p->account, strlen(p->account), p);
	return p;
}

static void
drop_purse(struct ir_wallet *w, struct ir_purse *p)
{
	if (w->purses)
		HASH_DEL(w->purses, p);
	talloc_free(p);
}

/* Lets the waiting calls try again. */
static void
wake(struct ir_wallet *w, int64_t now, struct ir_purse *p)
{
	if (p->waiting == 0)
		return;
	ir_purse_wake(p);
	w->ops.ready(w->ctx, now, p->account);
	ir_purse_woken(p);
}

static void
defer_grant(struct ir_wallet *w, const char *host, const struct ir_grant *g)
{
	struct early_grant *e = talloc_zero(w, struct early_grant);

	e->host = talloc_strdup(e, host);
	e->grant = *g;
	e->grant.account = talloc_strdup(e, g->account);
	DL_APPEND(w->early, e);
}

/* Takes grants that came while asking; false when there were none. */
static bool
take_early(struct ir_wallet *w, int64_t now)
{
	struct early_grant *e, *next;
	bool any = false;

	DL_FOREACH_SAFE (w->early, e, next) {
		struct ir_purse *p = find_purse(w, e->grant.account);

		if (p && ir_purse_granted(p, now, e->host, &e->grant)) {
			p->wake_due = true;
			any = true;
		}
		DL_DELETE(w->early, e);
		talloc_free(e);
	}
	return any;
}

static bool
send_ask(struct ir_wallet *w, int64_t now, const struct ir_host *minter,
    const struct ir_grant_request *ask)
{
	bool sent;

	w->asking = true;
	sent = w->ops.ask(w->ctx, now, minter, ask);
	w->asking = false;
	return sent;
}

static struct ir_scene
scene(struct ir_wallet *w, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	struct ir_scene c = {.wallet = w,
	    .now = now,
	    .view = v,
	    .self = self,
	    .incarnation = w->incarnation,
	    .sequence = &w->sequence,
	    .ask = send_ask};

	return c;
}

enum ir_take
ir_wallet_take(struct ir_wallet *w, int64_t now, const struct ir_view *v,
    const struct ir_host *self, const struct ir_account *a,
    uint32_t *retry_after_ms)
{
	struct ir_scene c = scene(w, now, v, self);
	int64_t began_us;

	c.account = a;
	c.purse = get_purse(w, now, a->name);
	c.purse->used_us = now;
	began_us = ir_purse_began(c.purse, now);
	ir_purse_sync(c.purse, v, self, a);
	while (!ir_purse_spend(c.purse, now)) {
		ir_seek(&c, c.purse->waiting + 1);
		if (take_early(w, now))
			continue;
		if (ir_all_refused(&c, began_us)) {
			*retry_after_ms = ir_denied_retry_ms(&c);
			return IR_TAKE_DENIED;
		}
		ir_purse_wait(c.purse, began_us);
		return IR_TAKE_WAIT;
	}
	ir_report_spent(&c, IR_MAX_SPENT_GRANTS);
	ir_top_up(&c);
	take_early(w, now);
	return IR_TAKEN;
}

void
ir_wallet_granted(struct ir_wallet *w, int64_t now, const char *host,
    const struct ir_grant *g)
{
	struct ir_purse *p;

	if (w->asking) {
		defer_grant(w, host, g);
		return;
	}
	p = find_purse(w, g->account);
	if (p && ir_purse_granted(p, now, host, g))
		wake(w, now, p);
}

static bool
lose_asks(struct ir_purse *p, const char *host)
{
	struct ir_open_ask *q, *next;
	bool any = false;

	DL_FOREACH_SAFE (p->asks, q, next) {
		if (strcmp(q->host, host) != 0)
			continue;
		ir_purse_drop_ask(p, q);
		any = true;
	}
	return any;
}

void
ir_wallet_host_lost(struct ir_wallet *w, int64_t now, const char *host)
{
	struct ir_purse *p, *next;

	if (w->asking) /* ops.ask() tells by its result */
		return;
	HASH_ITER (hh, w->purses, p, next) {
		if (lose_asks(p, host))
			wake(w, now, p);
	}
}

static void
tick_purse(const struct ir_scene *c)
{
	ir_purse_sync(c->purse, c->view, c->self, c->account);
	ir_purse_settle(c->purse, c->now);
	ir_age_asks(c);
	if (c->purse->waiting > 0)
		ir_seek(c, c->purse->waiting);
	ir_top_up(c);
	ir_report_spent(c, 1);
	take_early(c->wallet, c->now);
	if (c->purse->waiting > 0 &&
	    (c->purse->wake_due || ir_all_refused(c, c->purse->since_us[0])))
		wake(c->wallet, c->now, c->purse);
}

static bool
is_idle(const struct ir_scene *c)
{
	return c->purse->waiting == 0 && !c->purse->batches &&
	       !c->purse->asks && c->now - c->purse->used_us > PURSE_KEEP_US;
}

void
ir_wallet_tick(struct ir_wallet *w, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	struct ir_scene c = scene(w, now, v, self);
	struct ir_purse *next;

	HASH_ITER (hh, w->purses, c.purse, next) {
		c.account = ir_view_account(v, c.purse->account);
		if (c.account)
			tick_purse(&c);
		else
			wake(w, now, c.purse);
		if (!c.account || is_idle(&c))
			drop_purse(w, c.purse);
	}
}

uint32_t
ir_wallet_held(const struct ir_wallet *w, int64_t now, const char *account)
{
	const struct ir_purse *p = find_purse(w, account);

	return p ? ir_purse_held(p, now) : 0;
}
