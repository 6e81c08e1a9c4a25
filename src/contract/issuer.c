/* The token buckets that the view assigns to this host. */
#include <string.h>
#include <utlist.h>

#include "contract/issuer.h"
#include "core/table.h"
#include "zone/placement.h"

#define TOKEN_MT 1000
/* Early handovers that are kept; one more drops the oldest. */
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

/* A handover whose view has not arrived here yet. */
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
	int64_t lease_us;
	int64_t wait_us;
	bool tolerates_overlap;
	bool has_issued;	/* a view assigned buckets to this process */
	int64_t lease_valid_us; /* when the lease was last valid */
};

/* The change to a new view. */
struct view_change {
	struct ir_issuer *issuer;
	int64_t now;
	const struct ir_view *view;
	const struct ir_host *self;
	bool lease_valid; /* on the previous view, until now */
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
	iss->lease_valid_us = INT64_MIN / 2;
	ir_issuer_set_lease(iss, IR_VIEW_LEASE_US);
	return iss;
}

void
ir_issuer_set_lease(struct ir_issuer *iss, int64_t lease_us)
{
	iss->lease_us = lease_us;
	iss->wait_us = 2 * lease_us + ISSUER_WAIT_MARGIN_US;
}

void
ir_issuer_tolerate_overlap(struct ir_issuer *iss)
{
	iss->tolerates_overlap = true;
	iss->wait_us = IR_ISSUER_SHORT_WAIT_US;
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
share_of_tokens(uint64_t total_mt, uint32_t bucket, uint32_t count)
{
	uint64_t tokens = total_mt / TOKEN_MT;
	uint64_t share_mt = tokens / count * TOKEN_MT;

	if (bucket < tokens % count)
		share_mt += TOKEN_MT;
	if (bucket == 0)
		share_mt += total_mt % TOKEN_MT;
	return share_mt;
}

static uint64_t
burst_share(const struct ir_account *a, uint32_t bucket, uint32_t count)
{
	return share_of_tokens(a->burst_mt, bucket, count);
}

/*
 * A bucket that moves waits for its handover. A new process has nothing to wait
 * for where overlap is tolerated.
 */
static int64_t
bucket_start_us(const struct view_change *c)
{
	const struct ir_issuer *iss = c->issuer;

	if (iss->tolerates_overlap && !iss->has_issued)
		return c->now;
	return c->now + iss->wait_us;
}

static void
start_bucket(const struct view_change *c, struct account_buckets *e, uint32_t j,
    const struct ir_account *a)
{
	struct slot *slot = &e->slots[j];

	TALLOC_FREE(slot->bucket);
	slot->bucket = ir_bucket_new(e, c->now, bucket_start_us(c),
	    rate_share(a, j, e->bucket_count),
	    burst_share(a, j, e->bucket_count));
	if (c->issuer->tolerates_overlap)
		ir_bucket_set_level(slot->bucket,
		    share_of_tokens(a->restart_mt, j, e->bucket_count));
	slot->assigned_since.config = c->view->config_revision;
	slot->assigned_since.list = c->view->list_revision;
	slot->taken_over = false;
}

/* Whether the bucket was active when the lease was last valid. */
static bool
was_active(const struct view_change *c, const struct slot *slot)
{
	return ir_bucket_is_active(slot->bucket, c->issuer->lease_valid_us);
}

static void
keep_bucket(const struct view_change *c, struct account_buckets *e, uint32_t j,
    const struct ir_account *a)
{
	struct slot *slot = &e->slots[j];
	bool unchanged = (c->consecutive || c->issuer->tolerates_overlap) &&
			 e->burst_mt == a->burst_mt;

	if (!slot->bucket ||
	    !(was_active(c, slot) ? c->lease_valid : unchanged)) {
		start_bucket(c, e, j, a);
		return;
	}
	ir_bucket_set_share(slot->bucket, c->now, c->now + c->issuer->lease_us,
	    rate_share(a, j, e->bucket_count),
	    burst_share(a, j, e->bucket_count));
}

static void
give_up_bucket(const struct view_change *c, struct account_buckets *e,
    uint32_t j, const struct ir_host *to)
{
	struct slot *slot = &e->slots[j];
	bool hand_over = to && c->lease_valid && was_active(c, slot);
	struct ir_handover h = {.account = (char *)e->account,
	    .bucket = j,
	    .bucket_count = e->bucket_count,
	    .config_revision = c->view->config_revision,
	    .list_revision = c->view->list_revision};
	uint64_t available_mt, outstanding_mt;

	ir_bucket_stop(slot->bucket, c->now, &available_mt, &outstanding_mt);
	TALLOC_FREE(slot->bucket);
	if (!hand_over)
		return;
	h.available_mt = available_mt;
	h.outstanding_mt = outstanding_mt;
	c->handover(c->ctx, to, &h);
}

static bool
is_this_host(const struct view_change *c, const struct ir_host *h)
{
	return h && c->self && !c->self->leaving &&
	       strcmp(h->name, c->self->name) == 0;
}

static void
update_account(const struct view_change *c, const struct ir_account *a)
{
	uint32_t count = ir_bucket_count(c->view, a);
	struct account_buckets *e = find_account(c->issuer, a->name);

	if (e && e->bucket_count != count) {
		drop_account(c->issuer, e);
		e = NULL;
	}
	for (uint32_t j = 0; j < count; j++) {
		const struct ir_host *h = ir_bucket_issuer(c->view, a, j);

		if (is_this_host(c, h)) {
			if (!e)
				e = add_account(c->issuer, a, count);
			keep_bucket(c, e, j, a);
		} else if (e && e->slots[j].bucket) {
			give_up_bucket(c, e, j, h);
		}
	}
	if (!e)
		return;
	e->burst_mt = a->burst_mt;
	if (slots_used(e) == 0)
		drop_account(c->issuer, e);
}

static void
drop_removed_accounts(const struct view_change *c)
{
	struct account_buckets *e, *next;

	HASH_ITER (hh, c->issuer->accounts, e, next) {
		if (!ir_view_account(c->view, e->account))
			drop_account(c->issuer, e);
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
drop_early(struct ir_issuer *iss, struct early_handover *e)
{
	DL_DELETE(iss->early, e);
	iss->early_count--;
	talloc_free(e);
}

static void
apply_early(struct ir_issuer *iss, int64_t now)
{
	struct early_handover *e, *next;

	DL_FOREACH_SAFE (iss->early, e, next) {
		if (now >= e->expiry_us ||
		    apply_handover(iss, now, &e->handover))
			drop_early(iss, e);
	}
}

static void
keep_early(struct ir_issuer *iss, int64_t now, const struct ir_handover *h)
{
	struct early_handover *e;

	if (iss->early_count == EARLY_HANDOVERS_MAX)
		drop_early(iss, iss->early);
	e = talloc_zero(iss, struct early_handover);
	e->handover = *h;
	e->handover.account = talloc_strdup(e, h->account);
	e->expiry_us = now + iss->lease_us;
	DL_APPEND(iss->early, e);
	iss->early_count++;
}

void
ir_issuer_note_lease(struct ir_issuer *iss, int64_t now, bool lease_valid)
{
	if (lease_valid)
		iss->lease_valid_us = now;
}

void
ir_issuer_set_view(struct ir_issuer *iss, int64_t now, const struct ir_view *v,
    const struct ir_host *self,
    void (*handover)(
	void *ctx, const struct ir_host *to, const struct ir_handover *h),
    void *ctx)
{
	struct view_change c = {.issuer = iss,
	    .now = now,
	    .view = v,
	    .self = self,
	    .lease_valid = now - iss->lease_valid_us <= IR_GRANT_VALID_US,
	    .consecutive = is_consecutive(iss, v),
	    .handover = handover,
	    .ctx = ctx};

	drop_removed_accounts(&c);
	for (size_t i = 0; i < v->account_count; i++)
		update_account(&c, &v->accounts[i]);
	iss->revisions.config = v->config_revision;
	iss->revisions.list = v->list_revision;
	iss->has_view = true;
	iss->has_issued = iss->has_issued || iss->accounts != NULL;
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
    struct ir_bucket *b, int64_t now, const struct ir_grant_request *request)
{
	for (u_int i = 0; i < request->spent_grants.spent_grants_len; i++)
		ir_bucket_release(b, now, request->incarnation,
		    request->spent_grants.spent_grants_val[i]);
}

void
ir_issuer_grant(struct ir_issuer *iss, int64_t now, bool lease_valid,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_grant_request *request, struct ir_grant *out)
{
	struct slot *slot = find_slot(
	    iss, request->account, request->bucket, request->bucket_count);
	int64_t retry_us = 0;

	*out = (struct ir_grant){.sequence = request->sequence,
	    .account = request->account,
	    .bucket = request->bucket,
	    .valid_us = IR_GRANT_VALID_US};
	if (!slot || !self || !is_current(iss, v))
		return;
	ir_issuer_note_lease(iss, now, lease_valid);
	release_spent(slot->bucket, now, request);
	if (!lease_valid || !ir_bucket_is_active(slot->bucket, now))
		return;
	out->issuing = true;
	if (request->requested_tokens == 0)
		return;
	out->count = ir_bucket_grant(slot->bucket, now, request->incarnation,
	    request->sequence, request->requested_tokens, &retry_us);
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
