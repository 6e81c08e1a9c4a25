/*
 * Allowed regions of calls and records: taken from the route, the account and
 * the run that made the call, and checked at the entry and at the gate.
 */
#include <string.h>

#include "core/internal.h"
#include "zone/region_set.h"

/* Sets are only ever made smaller, so that the strictest of views applies. */
static void
restrict_to(TALLOC_CTX *mem, const char *const **set, const char *const *by)
{
	if (by != NULL && !ir_region_set_is_within(*set, by))
		*set = ir_region_set_intersect(mem, *set, by);
}

static void
restrict_to_account(struct ir_node *n, TALLOC_CTX *mem, const char *const **set,
    const char *account)
{
	const struct ir_account *a = ir_view_account(node_view(n), account);

	if (a != NULL)
		restrict_to(mem, set, a->regions);
}

static void
restrict_to_view(struct ir_node *n, TALLOC_CTX *mem, const char *const **set,
    const char *authority, const char *path, const char *account)
{
	const struct ir_route *route = NULL;

	if (authority != NULL && authority[0] != '\0')
		route = ir_view_route(node_view(n), authority, path);
	if (route != NULL)
		restrict_to(mem, set, route->regions);
	restrict_to_account(n, mem, set, account);
}

void
regions_update_call(struct ir_node *n, struct call *c)
{
	uint64_t hash = node_view(n)->regions_hash;

	if (c->regions_hash == hash)
		return;
	c->regions_hash = hash;
	restrict_to_view(n, c, &c->regions, c->authority, c->path, c->account);
	if (c->parent != NULL)
		restrict_to_account(n, c, &c->regions, c->parent->account);
}

void
regions_admit_call(struct ir_node *n, struct call *c, const char *key)
{
	const struct ir_view *v = node_view(n);
	char digest[IR_KEY_DIGEST_HEX + 1] = "";
	const struct ir_account *a;

	if (c->parent != NULL)
		restrict_to(c, &c->regions, c->parent->regions);
	regions_update_call(n, c);
	/* The account of a call of an open route is not kept otherwise. */
	if (v->regions_hash == 0 || !c->open || key == NULL)
		return;
	ir_key_digest(key, digest);
	a = ir_view_account_by_key(v, digest);
	if (a != NULL)
		restrict_to(c, &c->regions, a->regions);
}

bool
regions_exclude_all(const struct call *c, const struct ir_service *s)
{
	bool live = false;

	if (c->regions == NULL)
		return false;
	for (size_t i = 0; i < s->host_count; i++) {
		const struct ir_host *h = s->hosts[i];

		if (!ir_host_takes_requests(h))
			continue;
		if (ir_region_set_has(c->regions, h->region))
			return false;
		live = true;
	}
	return live || c->regions[0] == NULL;
}

bool
regions_may_send(struct ir_node *n, const struct call *c, const struct peer *p)
{
	const struct ir_host *h;

	if (c->regions == NULL)
		return true;
	h = ir_view_host(node_view(n), p->name);
	return h != NULL && ir_region_set_has(c->regions, h->region) &&
	       (p->takes_regions || peer_is_self(n, p));
}

bool
regions_accept_record(struct ir_node *n, struct ir_record *r)
{
	uint64_t hash = node_view(n)->regions_hash;
	const struct ir_forward *f = r->forward;

	if (r->regions_hash != hash) {
		r->regions_hash = hash;
		restrict_to_view(
		    n, r, &r->regions, f->authority, f->path, f->account);
	}
	return ir_region_set_has(r->regions, n->settings.region);
}

bool
regions_accept_repeat(
    struct ir_node *n, const struct ir_forward *f, const char *const *regions)
{
	TALLOC_CTX *mem = talloc_new(n);
	bool ok;

	restrict_to_view(n, mem, &regions, f->authority, f->path, f->account);
	ok = ir_region_set_has(regions, n->settings.region);
	talloc_free(mem);
	return ok;
}

#define MAX_REGIONS_TEXT 256

void
regions_log_refused(struct ir_node *n, const char *at,
    const char *caller_attempt, const struct ir_request_id *request,
    const char *service, const char *account, const char *const *regions)
{
	char id[NODE_LOG_ID_BYTES], text[MAX_REGIONS_TEXT];

	ir_counters_add(&n->counters, IR_COUNTER_REGION_REFUSED, 1);
	node_log(n, IR_EVENT_REGION_REFUSED,
	    "id=%s at=%s service=%s account=%s allowed=%s config=%llu",
	    node_log_id(id, caller_attempt, request), at, service, account,
	    ir_region_set_text(regions, text, sizeof(text)),
	    (unsigned long long)node_view(n)->config_revision);
}
