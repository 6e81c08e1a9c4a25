/* The buckets that this host mints, as the view places them. */
#include <string.h>
#include <utlist.h>

#include "contract/mint.h"
#include "core/table.h"
#include "zone/placement.h"

#define TOKEN_MT 1000
#define HELD_MAX 4096

struct revisions {
	uint64_t config;
	uint64_t list;
};

/* One bucket of an account; bucket is NULL when another host mints it. */
struct slot {
	struct ir_bucket *bucket;
	struct revisions since; /* placed here in every view from this one on */
	bool handed;
};

struct minted {
	const char *account;
	uint64_t burst_mt;
	uint32_t bucket_count;
	struct slot *slots;
	UT_hash_handle hh;
};

/* A handover of a view that is not yet known here. */
struct held {
	struct ir_handover handover;
	int64_t expiry_us;
	struct held *prev, *next;
};

struct ir_mint {
	struct minted *accounts; /* by name */
	struct held *held;
	size_t held_count;
	struct revisions revisions; /* of the view followed */
	bool viewed;
	int64_t wait_us;
	int64_t lease_ok_us; /* when the lease was last seen to hold */
};

/* A step from one view to the next. */
struct step {
	struct ir_mint *mint;
	int64_t now;
	const struct ir_view *view;
	const struct ir_host *self;
	bool fresh; /* the lease on the former view held up to now */
	bool clean; /* no view was skipped */
	void (*handover)(
	    void *ctx, const struct ir_host *to, const struct ir_handover *h);
	void *ctx;
};

static int
mint_destroy(struct ir_mint *m)
{
	HASH_CLEAR(hh, m->accounts);
	return 0;
}

struct ir_mint *
ir_mint_new(TALLOC_CTX *mem)
{
	struct ir_mint *m = talloc_zero(mem, struct ir_mint);

	talloc_set_destructor(m, mint_destroy);
	m->lease_ok_us = INT64_MIN / 2;
	m->wait_us = IR_MINT_WAIT_US;
	return m;
}

void
ir_mint_set_wait(struct ir_mint *m, int64_t wait_us)
{
	m->wait_us = wait_us;
}

static struct minted *
find(struct ir_mint *m, const char *account)
{
	struct minted *e;

	HASH_FIND(hh, m->accounts, account, strlen(account), e);
	return e;
}

static struct minted *
add(struct ir_mint *m, const struct ir_account *a, uint32_t bucket_count)
{
	struct minted *e = talloc_zero(m, struct minted);

	e->account = talloc_strdup(e, a->name);
	e->bucket_count = bucket_count;
	e->slots = talloc_zero_array(e, struct slot, bucket_count);
	HASH_ADD_KEYPTR(hh, m->accounts, e->account, strlen(e->account), e);
	return e;
}

static void
drop(struct ir_mint *m, struct minted *e)
{
	HASH_DEL(m->accounts, e);
	talloc_free(e);
}

static size_t
slots_used(const struct minted *e)
{
	size_t n = 0;

	for (uint32_t j = 0; j < e->bucket_count; j++)
		n += e->slots[j].bucket != NULL;
	return n;
}

/* The shares of all buckets sum up to the account's rate and burst. */
static uint64_t
rate_share(const struct ir_account *a, uint32_t bucket, uint32_t count)
{
	return a->rate_mt_per_s / count + (bucket < a->rate_mt_per_s % count);
}

static uint64_t
burst_share(const struct ir_account *a, uint32_t bucket, uint32_t count)
{
	uint64_t tokens = a->burst_mt / TOKEN_MT;
	uint64_t share_mt = tokens / count * TOKEN_MT;

	if (bucket < tokens % count)
		share_mt += TOKEN_MT;
	if (bucket == 0)
		share_mt += a->burst_mt % TOKEN_MT;
	return share_mt;
}

static void
start(const struct step *s, struct minted *e, uint32_t j,
    const struct ir_account *a)
{
	struct slot *slot = &e->slots[j];

	TALLOC_FREE(slot->bucket);
	slot->bucket = ir_bucket_new(e, s->now, s->now + s->mint->wait_us,
	    rate_share(a, j, e->bucket_count),
	    burst_share(a, j, e->bucket_count));
	slot->since.config = s->view->config_revision;
	slot->since.list = s->view->list_revision;
	slot->handed = false;
}

/* Whether the bucket was minting when the lease was last seen to hold. */
static bool
was_minting(const struct step *s, const struct slot *slot)
{
	return ir_bucket_minting(slot->bucket, s->mint->lease_ok_us);
}

static void
keep(const struct step *s, struct minted *e, uint32_t j,
    const struct ir_account *a)
{
	struct slot *slot = &e->slots[j];
	bool steady = s->clean && e->burst_mt == a->burst_mt;

	if (!slot->bucket || !(was_minting(s, slot) ? s->fresh : steady)) {
		start(s, e, j, a);
		return;
	}
	ir_bucket_set_share(slot->bucket, s->now, s->now + IR_VIEW_LEASE_US,
	    rate_share(a, j, e->bucket_count),
	    burst_share(a, j, e->bucket_count));
}

static void
lose(const struct step *s, struct minted *e, uint32_t j,
    const struct ir_host *to)
{
	struct slot *slot = &e->slots[j];
	bool hand = to && s->fresh && was_minting(s, slot);
	struct ir_handover h = {.account = (char *)e->account,
	    .bucket = j,
	    .bucket_count = e->bucket_count,
	    .config_revision = s->view->config_revision,
	    .list_revision = s->view->list_revision};
	uint64_t balance_mt, outstanding_mt;

	ir_bucket_stop(slot->bucket, s->now, &balance_mt, &outstanding_mt);
	TALLOC_FREE(slot->bucket);
	if (!hand)
		return;
	h.available_mt = balance_mt;
	h.outstanding_mt = outstanding_mt;
	s->handover(s->ctx, to, &h);
}

static bool
is_self(const struct step *s, const struct ir_host *h)
{
	return h && s->self && !s->self->leaving &&
	       strcmp(h->name, s->self->name) == 0;
}

static void
follow_account(const struct step *s, const struct ir_account *a)
{
	uint32_t count = ir_bucket_count(s->view, a);
	struct minted *e = find(s->mint, a->name);

	if (e && e->bucket_count != count) {
		drop(s->mint, e);
		e = NULL;
	}
	for (uint32_t j = 0; j < count; j++) {
		const struct ir_host *minter = ir_bucket_host(s->view, a, j);

		if (is_self(s, minter)) {
			if (!e)
				e = add(s->mint, a, count);
			keep(s, e, j, a);
		} else if (e && e->slots[j].bucket) {
			lose(s, e, j, minter);
		}
	}
	if (!e)
		return;
	e->burst_mt = a->burst_mt;
	if (slots_used(e) == 0)
		drop(s->mint, e);
}

static void
drop_withdrawn(const struct step *s)
{
	struct minted *e, *next;

	HASH_ITER (hh, s->mint->accounts, e, next) {
		if (!ir_view_account(s->view, e->account))
			drop(s->mint, e);
	}
}

static bool
is_clean(const struct ir_mint *m, const struct ir_view *v)
{
	uint64_t configs = v->config_revision - m->revisions.config;
	uint64_t lists = v->list_revision - m->revisions.list;

	return m->viewed && configs <= 1 && lists <= 1 && configs + lists <= 1;
}

static bool
not_after(struct revisions a, struct revisions b)
{
	return a.config <= b.config && a.list <= b.list;
}

static struct slot *
slot_of(struct ir_mint *m, const char *account, uint32_t bucket, uint32_t count)
{
	struct minted *e = find(m, account);

	if (!e || e->bucket_count != count || bucket >= count ||
	    !e->slots[bucket].bucket)
		return NULL;
	return &e->slots[bucket];
}

/* Whether the handover's fate is settled: taken, or never to be taken. */
static bool
take(struct ir_mint *m, int64_t now, const struct ir_handover *h)
{
	struct revisions r = {h->config_revision, h->list_revision};
	struct slot *slot;

	if (!not_after(r, m->revisions))
		return false;
	slot = slot_of(m, h->account, h->bucket, h->bucket_count);
	if (!slot || slot->handed || !not_after(slot->since, r) ||
	    ir_bucket_minting(slot->bucket, now))
		return true;
	slot->handed = true;
	ir_bucket_resume(slot->bucket, now, h->available_mt, h->outstanding_mt);
	return true;
}

static void
held_drop(struct ir_mint *m, struct held *k)
{
	DL_DELETE(m->held, k);
	m->held_count--;
	talloc_free(k);
}

static void
take_held(struct ir_mint *m, int64_t now)
{
	struct held *k, *next;

	DL_FOREACH_SAFE (m->held, k, next) {
		if (now >= k->expiry_us || take(m, now, &k->handover))
			held_drop(m, k);
	}
}

static void
hold(struct ir_mint *m, int64_t now, const struct ir_handover *h)
{
	struct held *k;

	if (m->held_count == HELD_MAX)
		held_drop(m, m->held);
	k = talloc_zero(m, struct held);
	k->handover = *h;
	k->handover.account = talloc_strdup(k, h->account);
	k->expiry_us = now + IR_VIEW_LEASE_US;
	DL_APPEND(m->held, k);
	m->held_count++;
}

void
ir_mint_lease(struct ir_mint *m, int64_t now, bool lease_ok)
{
	if (lease_ok)
		m->lease_ok_us = now;
}

void
ir_mint_view(struct ir_mint *m, int64_t now, const struct ir_view *v,
    const struct ir_host *self,
    void (*handover)(
	void *ctx, const struct ir_host *to, const struct ir_handover *h),
    void *ctx)
{
	struct step s = {.mint = m,
	    .now = now,
	    .view = v,
	    .self = self,
	    .fresh = now - m->lease_ok_us <= IR_GRANT_VALID_US,
	    .clean = is_clean(m, v),
	    .handover = handover,
	    .ctx = ctx};

	drop_withdrawn(&s);
	for (size_t i = 0; i < v->account_count; i++)
		follow_account(&s, &v->accounts[i]);
	m->revisions.config = v->config_revision;
	m->revisions.list = v->list_revision;
	m->viewed = true;
	take_held(m, now);
}

static bool
is_followed(const struct ir_mint *m, const struct ir_view *v)
{
	return m->viewed && v->config_revision == m->revisions.config &&
	       v->list_revision == m->revisions.list;
}

static void
release(struct ir_bucket *b, int64_t now, const struct ir_grant_request *ask)
{
	for (u_int i = 0; i < ask->spent_grants.spent_grants_len; i++)
		ir_bucket_release(b, now, ask->incarnation,
		    ask->spent_grants.spent_grants_val[i]);
}

void
ir_mint_ask(struct ir_mint *m, int64_t now, bool lease_ok,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_grant_request *ask, struct ir_grant *out)
{
	struct slot *slot =
	    slot_of(m, ask->account, ask->bucket, ask->bucket_count);
	int64_t retry_us = 0;

	*out = (struct ir_grant){.sequence = ask->sequence,
	    .account = ask->account,
	    .bucket = ask->bucket,
	    .valid_us = IR_GRANT_VALID_US};
	if (!slot || !self || !is_followed(m, v))
		return;
	ir_mint_lease(m, now, lease_ok);
	release(slot->bucket, now, ask);
	if (!lease_ok || !ir_bucket_minting(slot->bucket, now))
		return;
	out->issuing = true;
	if (ask->requested_tokens == 0)
		return;
	out->count = ir_bucket_grant(slot->bucket, now, ask->incarnation,
	    ask->sequence, ask->requested_tokens, &retry_us);
	out->retry_after_ms =
	    (u_int)((retry_us + IR_US_PER_MS - 1) / IR_US_PER_MS);
}

void
ir_mint_handover(struct ir_mint *m, int64_t now, const struct ir_view *v,
    const struct ir_host *self, const struct ir_handover *h)
{
	if (!take(m, now, h))
		hold(m, now, h);
}

size_t
ir_mint_bucket_count(const struct ir_mint *m)
{
	size_t n = 0;

	for (const struct minted *e = m->accounts; e; e = e->hh.next)
		n += slots_used(e);
	return n;
}
