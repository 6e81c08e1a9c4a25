/*
 * Admission of calls: checks a call's sizes, route, key and parent, and derives
 * from them its account, deadline, importance and retry tokens.
 */
#include <string.h>
#include <xxhash.h>

#include "core/internal.h"
#include "upstream/priority.h"

/* Baseline policy: retries of a call at each hop. */
#define BASELINE_RETRIES 3

static bool
copy_headers(struct call *c, const struct ir_call *in)
{
	c->headers = talloc_array(c, struct ir_header, in->header_count);
	if (c->headers == NULL && in->header_count != 0)
		return false;
	for (size_t i = 0; i < in->header_count; i++) {
		c->headers[i].name = talloc_strdup(c, in->headers[i].name);
		c->headers[i].value = talloc_strdup(c, in->headers[i].value);
		if (c->headers[i].name == NULL || c->headers[i].value == NULL)
			return false;
	}
	c->header_count = (uint32_t)in->header_count;
	return true;
}

struct call *
admit_copy_call(struct ir_node *n, int64_t now, const struct ir_call *in)
{
	struct call *c = talloc_zero(n, struct call);

	if (c == NULL)
		return NULL;
	c->id = in->id;
	c->egress = in->egress;
	c->service = talloc_strdup(c, in->service != NULL ? in->service : "");
	c->authority =
	    talloc_strdup(c, in->authority != NULL ? in->authority : "");
	c->caller_attempt = talloc_strdup(
	    c, in->caller_attempt != NULL ? in->caller_attempt : "");
	c->method = talloc_strdup(c, in->method);
	c->path = talloc_strdup(c, in->path);
	c->idempotency_key = talloc_strdup(
	    c, in->idempotency_key != NULL ? in->idempotency_key : "");
	c->first_attempt = in->first_attempt;
	c->start_us = now;
	c->body_bytes = (uint32_t)in->body_bytes;
	if (in->body_bytes != 0)
		c->body = talloc_memdup(c, in->body, in->body_bytes);
	if (c->service == NULL || c->authority == NULL ||
	    c->caller_attempt == NULL || c->method == NULL || c->path == NULL ||
	    c->idempotency_key == NULL || !copy_headers(c, in) ||
	    (in->body_bytes != 0 && c->body == NULL)) {
		talloc_free(c);
		return NULL;
	}
	return c;
}

static size_t
length_or_zero(const char *text)
{
	return text != NULL ? strlen(text) : 0;
}

enum ir_error
admit_check_sizes(const struct ir_call *in)
{
	if (length_or_zero(in->service) > IR_MAX_NAME ||
	    length_or_zero(in->authority) > IR_MAX_AUTHORITY ||
	    length_or_zero(in->caller_attempt) > IR_MAX_CALLER_ATTEMPT ||
	    strlen(in->method) > 16 || strlen(in->path) > IR_MAX_PATH ||
	    in->header_count > IR_MAX_HEADERS || in->body_bytes > IR_MAX_BODY)
		return IR_E_TOO_LARGE;
	if (in->idempotency_key != NULL &&
	    strlen(in->idempotency_key) > IR_MAX_NAME)
		return IR_E_TOO_LARGE;
	for (size_t i = 0; i < in->header_count; i++) {
		if (strlen(in->headers[i].name) > IR_MAX_NAME ||
		    strlen(in->headers[i].value) > IR_MAX_HEADER_VALUE)
			return IR_E_TOO_LARGE;
	}
	return IR_OK;
}

uint64_t
admit_hash_route(const struct ir_route *route)
{
	return XXH64(route->path, strlen(route->path),
	    route->authority != NULL
		? XXH64(route->authority, strlen(route->authority), 0)
		: 0);
}

static void
set_deadline(
    struct call *c, const struct ir_route *route, uint32_t requested_ms)
{
	uint32_t ms = route->deadline_ms;

	if (requested_ms != 0 && requested_ms < ms)
		ms = requested_ms;
	if (ms > IR_MAX_DEADLINE_MS)
		ms = IR_MAX_DEADLINE_MS;
	c->deadline_us = c->start_us + ms * IR_US_PER_MS;
}

struct ir_record *
admit_find_parent(struct ir_node *n, const char *attempt)
{
	const char *end;

	if (n->settings.child_separator == '\0' || attempt == NULL)
		return NULL;
	end = strrchr(attempt, n->settings.child_separator);
	if (end == NULL)
		return NULL;
	return ir_records_by_caller_attempt(
	    n->records, attempt, (size_t)(end - attempt));
}

/*
 * A call of the local upstream that arrived on the callers' port. If it has a
 * parent, it takes over that run's importance, rank and request id, and its
 * deadline if that is earlier. The call is aborted with that run, and a refusal
 * of the call counts as a failure of that run through a callee. It has a
 * separate retry quota.
 */
static void
admit_keyless_call(struct ir_node *n, struct call *c)
{
	struct ir_record *r = admit_find_parent(n, c->caller_attempt);

	c->depth = 1;
	if (r == NULL)
		return;
	c->importance = r->forward->importance;
	c->request = r->forward->request;
	c->rank = r->forward->rank;
	c->depth = r->forward->depth + 1;
	if (r->work.deadline_us < c->deadline_us)
		c->deadline_us = r->work.deadline_us;
	c->parent = r;
	children_add(r, c->start_us, c);
}

/*
 * Admits a call from the callers' port by its route and key or, if the settings
 * say so, as a call of the local upstream.
 */
static enum ir_error
admit_caller_request(struct ir_node *n, int64_t now, struct call *c,
    const struct ir_call *in, const struct ir_route *route)
{
	const struct ir_account *a;
	char digest[IR_KEY_DIGEST_HEX + 1] = "";

	c->open = route->open;
	c->importance =
	    ir_importance(IR_DEFAULT_ACCOUNT_IMPORTANCE, route->importance);
	c->own_retry_quota.tokens = route->retries;
	c->retry_quota = &c->own_retry_quota;
	c->request.high = node_random(n);
	c->request.low = node_random(n);
	c->rank =
	    (uint32_t)XXH64(&c->request, sizeof(c->request), 0) & IR_RANK_MASK;
	c->account = talloc_strdup(c, "");
	c->key_digest = talloc_strdup(c, "");
	if (n->settings.keyless_calls_from_upstream && c->open &&
	    in->key == NULL)
		admit_keyless_call(n, c);
	if (node_view_state(n, now) == IR_VIEW_UNCONFIRMED &&
	    !node_view(n)->serve_unconfirmed)
		return IR_E_VIEW_UNCONFIRMED;
	if (in->key == NULL)
		return c->open ? IR_OK : IR_E_NO_KEY;
	ir_key_digest(in->key, digest);
	/* Also on open routes, as its allowed regions are not known. */
	if (ir_view_key_is_unusable(node_view(n), digest))
		return IR_E_CONFIG;
	if (c->open)
		return IR_OK;
	a = ir_view_account_by_key(node_view(n), digest);
	if (a == NULL)
		return IR_E_KEY_UNKNOWN;
	c->account = talloc_strdup(c, a->name);
	c->key_digest = talloc_strdup(c, digest);
	c->importance = ir_importance(a->importance, route->importance);
	return IR_OK;
}

/* One of a route's services, chosen at random by weight. */
static const char *
pick_weighted_service(struct ir_node *n, const struct ir_route *route)
{
	uint64_t sum = 0, at;
	size_t i;

	for (i = 0; i < route->service_count; i++)
		sum += route->services[i].weight;
	/* The parser refuses routes whose weights are all 0. */
	at = sum > 0 ? node_random(n) % sum : 0;
	for (i = 0; i + 1 < route->service_count; i++) {
		if (at < route->services[i].weight)
			break;
		at -= route->services[i].weight;
	}
	return route->services[i].service;
}

/* Returns NULL if no route matches. Sets the service if the call has none. */
static const struct ir_route *
find_route(struct ir_node *n, struct call *c, const struct ir_call *in)
{
	const struct ir_view *v = node_view(n);
	const struct ir_service *s;
	const struct ir_route *route;

	if (in->service != NULL) {
		s = ir_view_service(v, in->service);
		return s != NULL ? ir_service_route(s, in->method, in->path)
				 : NULL;
	}
	route = ir_view_route(v, c->authority, in->path);
	if (route != NULL && !route->unusable) {
		talloc_free(c->service);
		c->service = talloc_strdup(c, pick_weighted_service(n, route));
	}
	return route;
}

/* A call of the local upstream's running request in->parent. */
static enum ir_error
admit_egress(struct ir_node *n, struct call *c, const struct ir_call *in,
    const struct ir_route *route)
{
	struct ir_record *r = NULL;

	if (in->parent_attempt != NULL)
		r = ir_records_by_attempt_text(n->records, in->parent_attempt);
	if (r == NULL || r->state != IR_RECORD_RUNNING)
		return IR_E_NO_PARENT;
	if (!route->open && r->forward->open)
		return IR_E_NO_KEY;
	c->open = route->open;
	c->importance = r->forward->importance;
	c->retry_quota = &r->retry_quota;
	c->request = r->forward->request;
	c->rank = r->forward->rank;
	c->depth = r->forward->depth + 1;
	c->account = talloc_strdup(c, c->open ? "" : r->forward->account);
	c->key_digest = talloc_strdup(c, c->open ? "" : r->forward->key_digest);
	if (r->work.deadline_us < c->deadline_us)
		c->deadline_us = r->work.deadline_us;
	c->parent = r;
	children_add(r, c->start_us, c);
	return IR_OK;
}

enum ir_error
admit_call(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_call *in)
{
	const struct ir_view *v = node_view(n);
	const struct ir_route *route = find_route(n, c, in);
	enum ir_error e;

	if (route == NULL && v->config_revision == 0)
		return IR_E_VIEW_UNCONFIRMED;
	if (route == NULL)
		return IR_E_NO_ROUTE;
	if (route->unusable)
		return IR_E_CONFIG;
	c->config_revision = v->config_revision;
	c->idempotent = route->idempotent;
	c->route_hash = admit_hash_route(route);
	set_deadline(c, route, in->deadline_ms);
	e = in->egress ? admit_egress(n, c, in, route)
		       : admit_caller_request(n, now, c, in, route);
	if (e == IR_OK)
		regions_admit_call(n, c, in->key);
	if (n->settings.baseline_policy) {
		c->own_retry_quota.tokens = BASELINE_RETRIES;
		c->retry_quota = &c->own_retry_quota;
	}
	return e;
}
