/* The token buckets that the view assigns to this host. */
#include <string.h>
#include <utlist.h>

#include "contract/issuer.h"
#include "core/table.h"
#include "zone/placement.h"

#define TOKEN_MT 1000
/* Bound on stored early handovers; beyond it, the oldest is dropped. */
#define EARLY_HANDOVERS_MAX 4096

/* The revisions that identify a view. */
struct revisions {
	uint64_t config;
	uint64_t list;
};

/* One bucket of an account; bucket is NULL if it is assigned elsewhere. */
struct slot {
	struct ir_bucket *bucket;
	/* Every view since this one assigns the bucket to this host. */
	struct revisions assigned_since;
	bool taken_over; /* a handover was applied */
};

struct account_buckets {
	const char *account;
	uint64_t burst_mt;
	uint32_t bucket_count;
	struct slot *slots;
	UT_hash_handle hh;
};

/* A handover of a view that has not arrived here yet. */
struct early_handover {
	struct ir_handover handover;
	int64_t expiry_us;
	struct early_handover *prev, *next;
};

struct ir_issuer {
	struct account_buckets *accounts; /* hashed by name */
	struct early_handover *early;
	size_t early_count;
	struct revisions revisions; /* of the current view */
	bool has_view;
	int64_t wait_us;
	int64_t lease_ok_us; /* the last time at which the lease held */
};

/* The change to a new view. */
struct view_change {
	struct ir_issuer *issuer;
	int64_t now;
	const struct ir_view *view;
	const struct ir_host *self;
	bool lease_held;  /* on the previous view, until now */
	bool consecutive; /* no view was skipped */
	void (*handover)(
	    void *ctx, const struct ir_host *to, const struct ir_handover *h);
	void *ctx;
};

static int
issuer_destroy(struct ir_issuer *iss)
{
	HASH_CLEAR(hh, iss->accounts);
	return 0;
}

struct ir_issuer *
ir_issuer_new(TALLOC_CTX *mem)
{
	struct ir_issuer *iss = talloc_zero(mem, struct ir_issuer);

	talloc_set_destructor(iss, issuer_destroy);
	iss->lease_ok_us = INT64_MIN / 2;
	iss->wait_us = IR_ISSUER_WAIT_US;
	return iss;
}

void
ir_issuer_set_wait(struct ir_issuer *iss, int64_t wait_us)
{
	iss->wait_us = wait_us;
}

static struct account_buckets *
find_account(struct ir_issuer *iss, const char *account)
{
	struct account_buckets *e;

	HASH_FIND(hh, iss->accounts, account, strlen(account), e);
	return e;
}

static struct account_buckets *
add_account(
    struct ir_issuer *iss, const struct ir_account *a, uint32_t bucket_count)
{
	struct account_buckets *e = talloc_zero(iss, struct account_buckets);

	e->account = talloc_strdup(e, a->name);
	e->bucket_count = bucket_count;
	e->slots = talloc_zero_array(e, struct slot, bucket_count);
	HASH_ADD_KEYPTR(hh, iss->accounts, e->account, strlen(e->account), e);
	return e;
}

static void
drop_account(struct ir_issuer *iss, struct account_buckets *e)
{
	HASH_DEL(iss->accounts, e);
	talloc_free(e);
}

static size_t
slots_used(const struct account_buckets *e)
{
	size_t n = 0;

	for (uint32_t j = 0; j < e->bucket_count; j++)
		n += e->slots[j].bucket != NULL;
	return n;
}

/*
 * The shares of all buckets add up to the account's rate and burst. Shares of
 * the burst are whole tokens, except the share of bucket 0.
 */
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
start_bucket(const struct view_change *s, struct account_buckets *e, uint32_t j,
    const struct ir_account *a)
{
	struct slot *slot = &e->slots[j];

	TALLOC_FREE(slot->bucket);
	slot->bucket = ir_bucket_new(e, s->now, s->now + s->issuer->wait_us,
	    rate_share(a, j, e->bucket_count),
	    burst_share(a, j, e->bucket_count));
	slot->assigned_since.config = s->view->config_revision;
	slot->assigned_since.list = s->view->list_revision;
	slot->taken_over = false;
}

/* Whether the bucket was active at the last time at which the lease held. */
static bool
was_active(const struct view_change *s, const struct slot *slot)
{
	return ir_bucket_is_active(slot->bucket, s->issuer->lease_ok_us);
}

static void
keep_bucket(const struct view_change *s, struct account_buckets *e, uint32_t j,
    const struct ir_account *a)
{
	struct slot *slot = &e->slots[j];
	bool unchanged = s->consecutive && e->burst_mt == a->burst_mt;

	if (!slot->bucket ||
	    !(was_active(s, slot) ? s->lease_held : unchanged)) {
		start_bucket(s, e, j, a);
		return;
	}
	ir_bucket_set_share(slot->bucket, s->now, s->now + IR_VIEW_LEASE_US,
	    rate_share(a, j, e->bucket_count),
	    burst_share(a, j, e->bucket_count));
}

static void
give_up_bucket(const struct view_change *s, struct account_buckets *e,
    uint32_t j, const struct ir_host *to)
{
	struct slot *slot = &e->slots[j];
	bool hand_over = to && s->lease_held && was_active(s, slot);
	struct ir_handover h = {.account = (char *)e->account,
	    .bucket = j,
	    .bucket_count = e->bucket_count,
	    .config_revision = s->view->config_revision,
	    .list_revision = s->view->list_revision};
	uint64_t balance_mt, outstanding_mt;

	ir_bucket_stop(slot->bucket, s->now, &balance_mt, &outstanding_mt);
	TALLOC_FREE(slot->bucket);
	if (!hand_over)
		return;
	h.available_mt = balance_mt;
	h.outstanding_mt = outstanding_mt;
	s->handover(s->ctx, to, &h);
}

static bool
is_this_host(const struct view_change *s, const struct ir_host *h)
{
	return h && s->self && !s->self->leaving &&
	       strcmp(h->name, s->self->name) == 0;
}

static void
update_account(const struct view_change *s, const struct ir_account *a)
{
	uint32_t count = ir_bucket_count(s->view, a);
	struct account_buckets *e = find_account(s->issuer, a->name);

	if (e && e->bucket_count != count) {
		drop_account(s->issuer, e);
		e = NULL;
	}
	for (uint32_t j = 0; j < count; j++) {
		const struct ir_host *h = ir_bucket_host(s->view, a, j);

		if (is_this_host(s, h)) {
			if (!e)
				e = add_account(s->issuer, a, count);
			keep_bucket(s, e, j, a);
		} else if (e && e->slots[j].bucket) {
			give_up_bucket(s, e, j, h);
		}
	}
	if (!e)
		return;
	e->burst_mt = a->burst_mt;
	if (slots_used(e) == 0)
		drop_account(s->issuer, e);
}

static void
drop_removed_accounts(const struct view_change *s)
{
	struct account_buckets *e, *next;

	HASH_ITER (hh, s->issuer->accounts, e, next) {
		if (!ir_view_account(s->view, e->account))
			drop_account(s->issuer, e);
	}
}

static bool
is_consecutive(const struct ir_issuer *iss, const struct ir_view *v)
{
	uint64_t configs = v->config_revision - iss->revisions.config;
	uint64_t lists = v->list_revision - iss->revisions.list;

	return iss->has_view && configs <= 1 && lists <= 1 &&
	       configs + lists <= 1;
}

static bool
is_not_after(struct revisions a, struct revisions b)
{
	return a.config <= b.config && a.list <= b.list;
}

static struct slot *
find_slot(
    struct ir_issuer *iss, const char *account, uint32_t bucket, uint32_t count)
{
	struct account_buckets *e = find_account(iss, account);

	if (!e || e->bucket_count != count || bucket >= count ||
	    !e->slots[bucket].bucket)
		return NULL;
	return &e->slots[bucket];
}

/*
 * Applies the handover if it fits. Returns true if it was applied or never will
 * be; false if its view has not arrived yet and the handover must be stored.
 */
static bool
apply_handover(struct ir_issuer *iss, int64_t now, const struct ir_handover *h)
{
	struct revisions r = {h->config_revision, h->list_revision};
	struct slot *slot;

	if (!is_not_after(r, iss->revisions))
		return false;
	slot = find_slot(iss, h->account, h->bucket, h->bucket_count);
	if (!slot || slot->taken_over ||
	    !is_not_after(slot->assigned_since, r) ||
	    ir_bucket_is_active(slot->bucket, now))
		return true;
	slot->taken_over = true;
	ir_bucket_take_over(
	    slot->bucket, now, h->available_mt, h->outstanding_mt);
	return true;
}

static void
drop_early(struct ir_issuer *iss, struct early_handover *k)
{
	DL_DELETE(iss->early, k);
	iss->early_count--;
	talloc_free(k);
}

static void
apply_early(struct ir_issuer *iss, int64_t now)
{
	struct early_handover *k, *next;

	DL_FOREACH_SAFE (iss->early, k, next) {
		if (now >= k->expiry_us ||
		    apply_handover(iss, now, &k->handover))
			drop_early(iss, k);
	}
}

static void
keep_early(struct ir_issuer *iss, int64_t now, const struct ir_handover *h)
{
	struct early_handover *k;

	if (iss->early_count == EARLY_HANDOVERS_MAX)
		drop_early(iss, iss->early);
	k = talloc_zero(iss, struct early_handover);
	k->handover = *h;
	k->handover.account = talloc_strdup(k, h->account);
	k->expiry_us = now + IR_VIEW_LEASE_US;
	DL_APPEND(iss->early, k);
	iss->early_count++;
}

void
ir_issuer_note_lease(struct ir_issuer *iss, int64_t now, bool lease_ok)
{
	if (lease_ok)
		iss->lease_ok_us = now;
}

void
ir_issuer_set_view(struct ir_issuer *iss, int64_t now, const struct ir_view *v,
    const struct ir_host *self,
    void (*handover)(
	void *ctx, const struct ir_host *to, const struct ir_handover *h),
    void *ctx)
{
	struct view_change s = {.issuer = iss,
	    .now = now,
	    .view = v,
	    .self = self,
	    .lease_held = now - iss->lease_ok_us <= IR_GRANT_VALID_US,
	    .consecutive = is_consecutive(iss, v),
	    .handover = handover,
	    .ctx = ctx};

	drop_removed_accounts(&s);
	for (size_t i = 0; i < v->account_count; i++)
		update_account(&s, &v->accounts[i]);
	iss->revisions.config = v->config_revision;
	iss->revisions.list = v->list_revision;
	iss->has_view = true;
	apply_early(iss, now);
}

static bool
is_current(const struct ir_issuer *iss, const struct ir_view *v)
{
	return iss->has_view && v->config_revision == iss->revisions.config &&
	       v->list_revision == iss->revisions.list;
}

static void
release_spent(
    struct ir_bucket *b, int64_t now, const struct ir_grant_request *ask)
{
	for (u_int i = 0; i < ask->spent_grants.spent_grants_len; i++)
		ir_bucket_release(b, now, ask->incarnation,
		    ask->spent_grants.spent_grants_val[i]);
}

void
ir_issuer_grant(struct ir_issuer *iss, int64_t now, bool lease_ok,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_grant_request *ask, struct ir_grant *out)
{
	struct slot *slot =
	    find_slot(iss, ask->account, ask->bucket, ask->bucket_count);
	int64_t retry_us = 0;

	*out = (struct ir_grant){.sequence = ask->sequence,
	    .account = ask->account,
	    .bucket = ask->bucket,
	    .valid_us = IR_GRANT_VALID_US};
	if (!slot || !self || !is_current(iss, v))
		return;
	ir_issuer_note_lease(iss, now, lease_ok);
	release_spent(slot->bucket, now, ask);
	if (!lease_ok || !ir_bucket_is_active(slot->bucket, now))
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
ir_issuer_handover(struct ir_issuer *iss, int64_t now, const struct ir_view *v,
    const struct ir_host *self, const struct ir_handover *h)
{
	if (!apply_handover(iss, now, h))
		keep_early(iss, now, h);
}

size_t
ir_issuer_bucket_count(const struct ir_issuer *iss)
{
	size_t n = 0;

	for (const struct account_buckets *e = iss->accounts; e; e = e->hh.next)
		n += slots_used(e);
	return n;
}
