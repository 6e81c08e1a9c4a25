/*
 * Attempts received by this node's gate: checks, deduplication, queueing,
 * cancellation and the answers.
 */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "core/internal.h"
#include "zone/region_set.h"

static void
gate_start(void *ctx, int64_t now, struct ir_work *w)
{
	struct ir_node *n = ctx;
	struct ir_record *r = w->owner;

	r->state = IR_RECORD_STARTING;
	n->runs_to_start = true;
}

/* Fills m with the record's answer; strings and body stay the record's. */
static void
fill_reply(struct ir_node *n, int64_t now, const struct ir_record *r,
    const struct ir_waiter *w, struct ir_msg *m)
{
	struct ir_reply *out;

	m->kind = w->by_status ? IR_MSG_STATUS_REPLY : IR_MSG_ANSWER;
	out = w->by_status ? &m->ir_msg_u.status_reply : &m->ir_msg_u.answer;
	out->attempt = w->attempt;
	out->incarnation = n->settings.incarnation;
	out->error = r->error;
	out->status = r->status;
	out->retry_after_ms = r->retry_after_ms;
	out->callee_refused = r->wasted;
	out->load = node_load(n, now, r->account != NULL ? r->account : "");
	out->headers.headers_val = r->headers;
	out->headers.headers_len = r->header_count;
	out->body.body_val = (char *)r->body;
	out->body.body_len = r->body_bytes;
}

/*
 * Sends the record's answer to those of its waiters for whom there is room.
 * Returns whether none is left.
 */
static bool
send_to_waiters(struct ir_node *n, int64_t now, struct ir_record *r, bool room)
{
	struct ir_waiter *w, *tmp;

	LL_FOREACH_SAFE (r->waiters, w, tmp) {
		struct ir_msg m = {0};
		struct ir_reply *out;

		if (!room && w->conn != SELF_CONN)
			continue;
		fill_reply(n, now, r, w, &m);
		out = w->by_status ? &m.ir_msg_u.status_reply
				   : &m.ir_msg_u.answer;
		/* Retry tokens left are returned once, to the first waiter. */
		out->tokens_left = r->retry_quota.tokens;
		room = peer_reply(n, w->conn, w->xid, &m);
		if (!room)
			continue;
		r->retry_quota.tokens = 0;
		LL_DELETE(r->waiters, w);
		talloc_free(w);
	}
	return r->waiters == NULL;
}

/* Answers that have no room are sent in the order in which they were ready. */
static void
send_answers(struct ir_node *n, int64_t now, struct ir_record *r)
{
	bool room = ir_records_first_unsent(n->records) == NULL;

	if (!send_to_waiters(n, now, r, room) && !r->unsent)
		ir_records_mark_unsent(n->records, r);
}

bool
serve_send_unsent(struct ir_node *n, int64_t now)
{
	struct ir_record *r;

	while ((r = ir_records_first_unsent(n->records)) != NULL) {
		if (!send_to_waiters(n, now, r, true))
			return false;
		ir_records_mark_sent(n->records, r);
	}
	return true;
}

static void
abort_children(struct ir_node *n, int64_t now, struct ir_record *r)
{
	while (r->children != NULL)
		call_abort(n, now, r->children, IR_E_CANCELLED);
}

void
serve_finish_record(struct ir_node *n, int64_t now, struct ir_record *r,
    enum ir_error e, uint32_t retry_after_ms)
{
	r->error = e;
	r->retry_after_ms = retry_after_ms;
	abort_children(n, now, r);
	ir_records_mark_done(n->records, r, now);
	send_answers(n, now, r);
	ir_records_evict_answers(n->records, 0);
}

/* Logs a decision of the gate with the load that it was based on. */
static void
log_gate_decision(struct ir_node *n, int64_t now, const struct ir_record *r,
    enum ir_event event, const char *detail, uint32_t retry_after_ms)
{
	struct ir_load l = ir_gate_load(n->gate, now, "");
	char id[NODE_LOG_ID_BYTES];

	node_log(n, event,
	    "id=%s attempt=%s %s running=%u queued=%u limit=%u "
	    "expected_ms=%u left_ms=%lld retry_ms=%u",
	    node_log_id(id, r->forward->caller_attempt, &r->forward->request),
	    r->attempt_text, detail, l.running, l.queued, l.limit,
	    (unsigned)(ir_load_service_time_us(&l) / IR_US_PER_MS),
	    (long long)((r->work.deadline_us - now) / IR_US_PER_MS),
	    retry_after_ms);
}

static void
log_gate_refused(struct ir_node *n, int64_t now, const struct ir_record *r,
    enum ir_error e, uint32_t retry_after_ms)
{
	char detail[64];

	(void)snprintf(detail, sizeof(detail), "error=%s started_percent=%.0f",
	    ir_error_info(e)->name,
	    100 * ir_throttle_admitted_fraction(
		      n->callee_throttle, r->route_hash));
	log_gate_decision(
	    n, now, r, IR_EVENT_GATE_REFUSED, detail, retry_after_ms);
}

static void
gate_refuse(void *ctx, int64_t now, struct ir_work *w, enum ir_error kind,
    uint32_t retry_after_ms)
{
	struct ir_node *n = ctx;

	ir_counters_add(&n->counters, IR_COUNTER_GATE_REFUSED, 1);
	if (local_upstream_is_cold(n))
		ir_counters_add(&n->counters, IR_COUNTER_COLD_REFUSED, 1);
	log_gate_refused(n, now, w->owner, kind, retry_after_ms);
	serve_finish_record(n, now, w->owner, kind, retry_after_ms);
}

const struct ir_gate_ops serve_gate_ops = {
    .start = gate_start,
    .refuse = gate_refuse,
};

static void
add_waiter(struct ir_record *r, uint32_t conn, uint32_t xid,
    const struct ir_attempt_id *id, bool by_status)
{
	struct ir_waiter *w;

	/* A repeated attempt is answered on its newest connection. */
	LL_FOREACH (r->waiters, w) {
		if (memcmp(&w->attempt, id, sizeof(*id)) == 0)
			break;
	}
	if (w == NULL) {
		w = talloc_zero(r, struct ir_waiter);
		if (w == NULL)
			return;
		LL_APPEND(r->waiters, w);
	}
	w->conn = conn;
	w->xid = xid;
	w->attempt = *id;
	w->by_status = by_status;
}

/* A repeated attempt id or Idempotency-Key: answered from its record. */
static void
join_record(struct ir_node *n, int64_t now, struct ir_record *r, uint32_t conn,
    uint32_t xid, const struct ir_attempt_id *id, bool by_status)
{
	ir_counters_add(&n->counters, IR_COUNTER_REPEATS_ATTACHED, 1);
	add_waiter(r, conn, xid, id, by_status);
	if (r->state == IR_RECORD_DONE)
		send_answers(n, now, r);
}

static size_t
request_size_bytes(const struct ir_forward *f)
{
	size_t bytes = f->body.body_len + strlen(f->path);

	for (uint32_t i = 0; i < f->headers.headers_len; i++)
		bytes += strlen(f->headers.headers_val[i].value);
	return bytes;
}

static struct ir_forward *
copy_forward(TALLOC_CTX *mem, const struct ir_forward *f)
{
	struct ir_forward *c = talloc_memdup(mem, f, sizeof(*f));
	struct ir_header *h;

	if (c == NULL)
		return NULL;
	c->service = talloc_strdup(c, f->service);
	c->account = talloc_strdup(c, f->account);
	c->key_digest = talloc_strdup(c, f->key_digest);
	c->idempotency_key = talloc_strdup(c, f->idempotency_key);
	c->authority = talloc_strdup(c, f->authority);
	c->caller_attempt = talloc_strdup(c, f->caller_attempt);
	c->origin = talloc_strdup(c, f->origin);
	c->method = talloc_strdup(c, f->method);
	c->path = talloc_strdup(c, f->path);
	h = talloc_array(c, struct ir_header, f->headers.headers_len);
	for (uint32_t i = 0; h != NULL && i < f->headers.headers_len; i++) {
		h[i].name = talloc_strdup(c, f->headers.headers_val[i].name);
		h[i].value = talloc_strdup(c, f->headers.headers_val[i].value);
	}
	c->headers.headers_val = h;
	c->body.body_val =
	    f->body.body_len == 0
		? NULL
		: talloc_memdup(c, f->body.body_val, f->body.body_len);
	return c;
}

enum ir_error
serve_check_key(struct ir_node *n, int64_t now, const struct ir_forward *f)
{
	enum ir_error e =
	    node_check_key(n, now, f->open, f->account, f->key_digest);

	if (e != IR_E_KEY_UNKNOWN)
		return e;
	/* The origin may know a new key from a later configuration. */
	if (f->config_revision > node_view(n)->config_revision)
		return IR_OK;
	/* It may know the key of another account from an earlier one. */
	if (ir_view_account_by_key(node_view(n), f->key_digest) != NULL)
		return IR_OK;
	/* Earlier builds don't know IR_E_CONFIG. */
	return ir_view_key_is_unusable(node_view(n), f->key_digest)
		   ? IR_E_WRONG_GATE
		   : e;
}

void
serve_update_account(struct ir_node *n, struct ir_forward *f)
{
	const struct ir_view *v = node_view(n);
	const struct ir_account *a =
	    f->open ? NULL : ir_view_account_by_key(v, f->key_digest);

	if (a == NULL || f->config_revision > v->config_revision ||
	    strcmp(a->name, f->account) == 0)
		return;
	talloc_free(f->account);
	f->account = talloc_strdup(f, a->name);
}

enum ir_error
serve_check_regions(struct ir_node *n, struct ir_record *r)
{
	const struct ir_forward *f = r->forward;

	if (regions_accept_record(n, r))
		return IR_OK;
	regions_log_refused(n, "gate", f->caller_attempt, &f->request,
	    f->service, f->account, r->regions);
	return IR_E_WRONG_GATE;
}

/* Whether this gate may accept the request: IR_OK or why not. */
static enum ir_error
check_forward(struct ir_node *n, int64_t now, const struct ir_forward *f)
{
	const struct ir_view *v = node_view(n);
	const struct ir_host *self = node_self(n);
	const struct ir_service *s;
	const struct ir_route *route = NULL;
	enum ir_error e;

	if (n->stopping || (self != NULL && self->leaving) ||
	    local_upstream_is_leaving(n, now))
		return IR_E_STOPPING;
	if (strcmp(f->service, n->settings.service) != 0 || self == NULL)
		return IR_E_WRONG_GATE;
	e = evacuation_check(n);
	if (e != IR_OK)
		return e;
	if (f->remaining_us == 0)
		return IR_E_DEADLINE;
	s = ir_view_service(v, f->service);
	if (s != NULL)
		route = ir_service_route(s, f->method, f->path);
	if (route != NULL && f->open && !route->open)
		return IR_E_NO_KEY;
	e = serve_check_key(n, now, f);
	if (e == IR_OK && suspects_refuse(n, now, f))
		return IR_E_CRASHES_UPSTREAM;
	return e;
}

static uint64_t
request_fingerprint(const struct ir_forward *f)
{
	uint64_t h = XXH64(f->method, strlen(f->method), 0);

	h = XXH64(f->path, strlen(f->path), h);
	return XXH64(
	    f->body.body_len != 0 ? f->body.body_val : "", f->body.body_len, h);
}

static char *
idempotency_id(TALLOC_CTX *mem, const struct ir_forward *f)
{
	return talloc_asprintf(mem, "%s\n%s", f->account, f->idempotency_key);
}

/*
 * Checks a request whose Idempotency-Key has no record here. It must not run
 * when an earlier request with this key may have run at another host, or here
 * before this process started.
 */
static enum ir_error
check_first_use_of_key(
    struct ir_node *n, int64_t now, const struct ir_record *r)
{
	const struct ir_view *v = node_view(n);
	const struct ir_forward *f = r->forward;
	const struct ir_service *s = ir_view_service(v, f->service);
	const struct ir_host *h;

	if (s == NULL)
		return IR_E_WRONG_GATE;
	h = ir_idempotency_key_host(
	    s, r->regions, f->account, f->idempotency_key);
	if (h == NULL || h != node_self(n))
		return IR_E_WRONG_GATE;
	if (!f->first_attempt && now - n->hosts_changed_us < IR_ATTEMPT_KEEP_US)
		return IR_E_REPEAT_UNKNOWN;
	return IR_OK;
}

/* Replies with an error to an attempt that gets no record. */
static void
reply_without_record(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_forward *f, enum ir_error e)
{
	struct ir_msg m = {.kind = IR_MSG_ANSWER};
	struct ir_reply *out = &m.ir_msg_u.answer;

	out->attempt = f->attempt;
	out->incarnation = n->settings.incarnation;
	out->error = e;
	out->tokens_left = f->retry_tokens;
	out->load = node_load(n, now, f->account);
	unsent_reply(n, conn, xid, &m);
}

/*
 * Hash of a request's route; 0 if no route matches. The callee throttle counts
 * runs for each route, as the runs of one route make similar calls.
 */
static uint64_t
hash_route(struct ir_node *n, const struct ir_forward *f)
{
	const struct ir_view *v = node_view(n);
	const struct ir_service *s = ir_view_service(v, f->service);
	const struct ir_route *route = NULL;

	if (f->authority != NULL && f->authority[0] != '\0')
		route = ir_view_route(v, f->authority, f->path);
	else if (s != NULL)
		route = ir_service_route(s, f->method, f->path);
	return route != NULL ? admit_hash_route(route) : 0;
}

/*
 * Refuses a fraction of new requests while their callees are overloaded. Only
 * at depth 0, where no work was done yet that a refusal would waste.
 */
static enum ir_error
check_callee_capacity(struct ir_node *n, int64_t now, const struct ir_record *r)
{
	const struct ir_forward *f = r->forward;

	if (n->settings.baseline_policy || f->depth != 0 ||
	    ir_throttle_admits(n->callee_throttle, now, r->route_hash, f->rank,
		r->account, r->work.weight))
		return IR_OK;
	return IR_E_CALLEE_OVERLOAD;
}

/* Several windows of the callee throttle, after which it may admit more. */
#define CALLEE_RETRY_MS 500

static uint32_t
refusal_retry_ms(enum ir_error e)
{
	switch (e) {
	case IR_E_CALLEE_OVERLOAD:
		return CALLEE_RETRY_MS;
	case IR_E_CRASHES_UPSTREAM:
		return SUSPECT_RETRY_MS;
	default:
		return 100;
	}
}

static void
set_work(struct ir_node *n, int64_t now, struct ir_record *r)
{
	const struct ir_account *a;

	a = ir_view_account(node_view(n), r->account);
	r->work.account = r->account;
	r->work.weight = a != NULL && a->weight != 0 ? a->weight : 1;
	r->work.priority = ir_priority(
	    r->forward->importance, r->forward->depth != 0, r->forward->rank);
	r->work.deadline_us = now + r->forward->remaining_us;
	r->work.owner = r;
}

/* Creates the record of a new attempt, checks it and offers it to the gate. */
static void
offer_to_gate(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_forward *f, const char *const *regions)
{
	struct ir_record *r =
	    ir_records_add(n->records, &f->attempt, request_size_bytes(f));
	enum ir_error e;

	if (r == NULL) {
		reply_without_record(n, now, conn, xid, f, IR_E_OVERLOAD);
		return;
	}
	r->forward = copy_forward(r, f);
	r->account = talloc_strdup(r, f->account);
	r->regions = ir_region_set_intersect(r, regions, NULL);
	r->retry_quota.tokens = f->retry_tokens;
	add_waiter(r, conn, xid, &f->attempt, false);
	ir_records_update_size(n->records, r);
	e = check_forward(n, now, f);
	if (e == IR_OK)
		e = serve_check_regions(n, r);
	if (e == IR_OK && !f->idempotent && f->idempotency_key[0] != '\0') {
		char *key = idempotency_id(r, f);

		r->fingerprint = request_fingerprint(f);
		e = check_first_use_of_key(n, now, r);
		if (e == IR_OK)
			ir_records_set_key(n->records, r, key);
		talloc_free(key);
	}
	set_work(n, now, r);
	if (e == IR_OK) {
		r->route_hash = hash_route(n, f);
		e = check_callee_capacity(n, now, r);
	}
	if (e != IR_OK) {
		uint32_t retry_ms = node_jitter_ms(n, refusal_retry_ms(e));

		log_gate_refused(n, now, r, e, retry_ms);
		serve_finish_record(n, now, r, e, retry_ms);
		return;
	}
	ir_gate_offer(n->gate, now, &r->work);
	/* If the gate refused it, the record is done and may be freed. */
	r = ir_records_find(n->records, &f->attempt);
	if (r != NULL && r->state == IR_RECORD_QUEUED &&
	    local_upstream_is_cold(n))
		ir_counters_add(&n->counters, IR_COUNTER_COLD_DELAYED, 1);
	if (r != NULL && r->state != IR_RECORD_DONE)
		log_gate_decision(n, now, r, IR_EVENT_GATE_TOOK,
		    r->state == IR_RECORD_QUEUED ? "state=queued"
						 : "state=started",
		    0);
}

/*
 * The record of an earlier request with the same account and Idempotency-Key,
 * or NULL. A refused request does not count: its repeat may run.
 */
static struct ir_record *
find_keyed_record(struct ir_node *n, const struct ir_forward *f)
{
	struct ir_record *r;
	char *key;

	if (f->idempotent || f->idempotency_key[0] == '\0')
		return NULL;
	key = idempotency_id(n, f);
	r = ir_records_by_key(n->records, key);
	talloc_free(key);
	if (r != NULL && r->state == IR_RECORD_DONE && r->refused)
		return NULL;
	return r;
}

/* regions: the allowed ones as the origin knows them. */
static void
handle_forward(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_forward *f, const char *const *regions)
{
	struct ir_record *r = ir_records_find(n->records, &f->attempt);
	enum ir_error e;

	if (ir_records_is_evicted(n->records, &f->attempt)) {
		reply_without_record(n, now, conn, xid, f, IR_E_ANSWER_DROPPED);
		return;
	}
	if (r != NULL) {
		join_record(n, now, r, conn, xid, &f->attempt, false);
		return;
	}
	r = find_keyed_record(n, f);
	if (r == NULL) {
		offer_to_gate(n, now, conn, xid, f, regions);
		return;
	}
	e = serve_check_key(n, now, f);
	if (e == IR_OK && r->fingerprint != request_fingerprint(f))
		e = IR_E_BAD_REQUEST;
	/* The first request may have run, so "not run" would be wrong. */
	if (e == IR_OK &&
	    (!regions_accept_repeat(n, f, regions) ||
		!ir_records_add_alias(n->records, r, &f->attempt)))
		e = IR_E_REPEAT_UNKNOWN;
	if (e != IR_OK) {
		reply_without_record(n, now, conn, xid, f, e);
		return;
	}
	join_record(n, now, r, conn, xid, &f->attempt, false);
}

void
serve_forward(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_forward *f)
{
	handle_forward(n, now, conn, xid, f, NULL);
}

void
serve_region_forward(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_region_forward *f)
{
	TALLOC_CTX *mem = talloc_new(n);

	handle_forward(n, now, conn, xid, &f->forward,
	    ir_region_set_new(
		mem, f->regions.regions_val, f->regions.regions_len));
	talloc_free(mem);
}

static void
reply_answer_dropped(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_attempt_ref *ref)
{
	struct ir_msg m = {.kind = IR_MSG_STATUS_REPLY};
	struct ir_reply *out = &m.ir_msg_u.status_reply;

	out->attempt = ref->attempt;
	out->incarnation = n->settings.incarnation;
	out->error = IR_E_ANSWER_DROPPED;
	out->load = node_load(n, now, "");
	unsent_reply(n, conn, xid, &m);
}

void
serve_status(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_attempt_ref *ref)
{
	struct ir_record *r = ir_records_find(n->records, &ref->attempt);

	if (r != NULL) {
		join_record(n, now, r, conn, xid, &ref->attempt, true);
		return;
	}
	if (ir_records_is_evicted(n->records, &ref->attempt)) {
		reply_answer_dropped(n, now, conn, xid, ref);
		return;
	}
	if (ref->gate_incarnation != n->settings.incarnation)
		return;
	r = ir_records_add_never_received(n->records, &ref->attempt);
	if (r == NULL)
		return;
	add_waiter(r, conn, xid, &ref->attempt, true);
	serve_finish_record(n, now, r, IR_E_NEVER_RECEIVED, 0);
}
