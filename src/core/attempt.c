/*
 * Attempts: each sends a call to one host's gate and handles its reply, even if
 * the link is lost in between or replies come late or twice.
 */
#include <string.h>

#include "core/internal.h"
#include "core/unconst.h"
#include "zone/region_set.h"

/*
 * Time reserved for the return of the answer: this fraction of the remaining
 * time, up to a maximum. The FORWARD carries the rest.
 */
#define RETURN_TIME_DIVISOR 16
#define MAX_RETURN_TIME_US (20 * IR_US_PER_MS)
/*
 * The link's round trip is reserved as well, up to these bounds: the gate's
 * deadline counts from the arrival of the FORWARD.
 */
#define ROUND_TRIP_DIVISOR 4
#define MAX_ROUND_TRIP_US (50 * IR_US_PER_MS)

struct ir_retry_budget *
attempt_retry_budget(struct ir_node *n, const char *service)
{
	struct service_retry_budget *b;

	HASH_FIND_STR(n->retry_budgets, service, b);
	if (b != NULL)
		return &b->budget;
	b = talloc_zero(n, struct service_retry_budget);
	b->service = talloc_strdup(b, service);
	HASH_ADD_KEYPTR(
	    hh, n->retry_budgets, b->service, strlen(b->service), b);
	return &b->budget;
}

static void
free_attempt(struct ir_node *n, struct attempt *a)
{
	struct call *c = a->call;

	if (c->attempt == a)
		c->attempt = NULL;
	else
		DL_DELETE2(c->lost_attempts, a, lost_prev, lost_next);
	DL_DELETE(a->peer->attempts, a);
	HASH_DEL(n->attempts, a);
	talloc_free(a);
}

static int64_t
min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static uint32_t
remaining_us(const struct attempt *a, int64_t now)
{
	int64_t left_us = a->call->deadline_us - now;
	int64_t reserve_us;

	if (left_us <= 0)
		return 0;
	reserve_us = min_us(left_us / RETURN_TIME_DIVISOR, MAX_RETURN_TIME_US);
	reserve_us += min_us(a->peer->link.round_trip_us,
	    min_us(left_us / ROUND_TRIP_DIVISOR, MAX_ROUND_TRIP_US));
	return (uint32_t)(left_us - reserve_us);
}

static void
fill_forward(struct ir_node *n, struct ir_forward *f, const struct attempt *a,
    int64_t now)
{
	struct call *c = a->call;

	f->attempt.incarnation = n->settings.incarnation;
	f->attempt.sequence = a->sequence;
	f->request = c->request;
	f->service = c->service;
	f->account = c->account;
	f->key_digest = c->key_digest;
	f->importance = c->importance;
	f->rank = c->rank;
	f->depth = c->depth;
	f->retry_tokens = a->retry_tokens;
	f->idempotent = c->idempotent;
	f->open = c->open;
	f->first_attempt = c->first_attempt;
	f->config_revision = c->config_revision;
	f->remaining_us = remaining_us(a, now);
	f->idempotency_key = c->idempotency_key;
	f->authority = c->authority;
	f->caller_attempt = c->caller_attempt;
	f->origin = ir_unconst(n->settings.service);
	f->method = c->method;
	f->path = c->path;
	f->headers.headers_val = c->headers;
	f->headers.headers_len = c->header_count;
	f->body.body_val = (char *)c->body;
	f->body.body_len = c->body_bytes;
}

static bool
in_other_region(struct ir_node *n, const struct peer *p)
{
	const struct ir_host *h = ir_view_host(node_view(n), p->name);

	return h != NULL && strcmp(h->region, n->settings.region) != 0;
}

static void
log_sent(struct ir_node *n, int64_t now, const struct attempt *a)
{
	const struct call *c = a->call;
	int64_t age_us = -IR_US_PER_MS;
	const struct ir_load *l =
	    ir_balancer_host_load(n->balancer, now, a->peer->name, &age_us);
	char id[NODE_LOG_ID_BYTES];

	node_log(n, IR_EVENT_ATTEMPT_SENT,
	    "id=%s attempt=%016llx-%llx host=%s try=%u held=%u limit=%u "
	    "age_ms=%lld",
	    node_log_id(id, c->caller_attempt, &c->request),
	    (unsigned long long)n->settings.incarnation,
	    (unsigned long long)a->sequence, a->peer->name, c->tried_count,
	    l != NULL ? l->running + l->queued : 0, l != NULL ? l->limit : 0,
	    (long long)(age_us / IR_US_PER_MS));
}

/* An attempt that was not sent does not count towards FREE_REFUSALS. */
static void
retry_unsent(struct ir_node *n, int64_t now, struct attempt *a, enum ir_error e)
{
	struct call *c = a->call;

	free_attempt(n, a);
	n->attempt_ops->retry(n, now, c, e, 0);
}

/* A call without allowed regions is sent as to earlier versions. */
static void
fill_message(
    struct ir_node *n, struct ir_msg *m, const struct attempt *a, int64_t now)
{
	struct ir_region_forward *f = &m->ir_msg_u.region_forward;
	const char *const *regions = a->call->regions;

	if (regions == NULL) {
		m->kind = IR_MSG_FORWARD;
		fill_forward(n, &m->ir_msg_u.forward, a, now);
		return;
	}
	m->kind = IR_MSG_REGION_FORWARD;
	fill_forward(n, &f->forward, a, now);
	/* The encoder only reads them. */
	(void)memcpy(&f->regions.regions_val, &regions, sizeof(regions));
	f->regions.regions_len = (u_int)ir_region_set_count(regions);
}

static void
send_forward(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct ir_msg m = {0};
	struct call *c = a->call;

	regions_update_call(n, c);
	if (!regions_may_send(n, c, a->peer)) {
		retry_unsent(n, now, a, IR_E_NO_HOST);
		return;
	}
	a->retry_tokens = ir_retry_quota_split(c->retry_quota);
	fill_message(n, &m, a, now);
	if (peer_send(n, now, a->peer, &m) == 0) {
		ir_retry_quota_return(
		    c->retry_quota, a->retry_tokens, a->retry_tokens);
		retry_unsent(n, now, a, IR_E_OVERLOAD);
		return;
	}
	a->sent_us = now;
	a->state = ATTEMPT_SENT;
	a->gate_incarnation = peer_is_self(n, a->peer)
				  ? n->settings.incarnation
				  : a->peer->link.incarnation;
	c->sent_attempts++;
	log_sent(n, now, a);
	ir_counters_add(&n->counters, IR_COUNTER_ATTEMPTS, 1);
	ir_balancer_request_sent(n->balancer, now, a->peer->name,
	    in_other_region(n, a->peer), c->body_bytes);
}

void
attempt_start(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_host *h)
{
	struct attempt *a = talloc_zero(n, struct attempt);
	struct peer *p = peer_get(n, h->name);

	if (a == NULL || p == NULL) {
		talloc_free(a);
		n->attempt_ops->give_up(n, now, c, IR_E_OVERLOAD, 0);
		return;
	}
	ir_balancer_host_tried(n->balancer, now, p->name);
	a->sequence = n->next_attempt_sequence++;
	a->call = c;
	a->peer = p;
	a->state = ATTEMPT_UNSENT;
	c->attempt = a;
	c->tried_hosts[c->tried_count++] = talloc_strdup(c, p->name);
	DL_APPEND(p->attempts, a);
	HASH_ADD(hh, n->attempts, sequence, sizeof(a->sequence), a);
	if (peer_ensure_link(n, now, p))
		send_forward(n, now, a);
}

static void
send_status_request(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct ir_msg m = {.kind = IR_MSG_STATUS};

	m.ir_msg_u.status.attempt.incarnation = n->settings.incarnation;
	m.ir_msg_u.status.attempt.sequence = a->sequence;
	m.ir_msg_u.status.gate_incarnation = a->gate_incarnation;
	if (peer_send(n, now, a->peer, &m) != 0)
		a->state = ATTEMPT_STATUS_REQUESTED;
	else
		a->peer->status_due = true;
}

/* The gate has restarted, so the attempt's outcome cannot be known. */
static void
fail_lost_gate(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct call *c = a->call;
	bool current = c->attempt == a;

	ir_balancer_request_done(
	    n->balancer, now, a->peer->name, c->account, NULL, 0);
	free_attempt(n, a);
	c->may_have_run = true;
	if (!current)
		return;
	c->upstream_attempts++;
	if (c->idempotent)
		n->attempt_ops->retry(n, now, c, IR_E_HOST_LOST, 0);
	else
		n->attempt_ops->fail(n, now, c, IR_E_HOST_LOST, 0);
}

void
attempt_link_up(struct ir_node *n, int64_t now, struct peer *p)
{
	struct attempt *a, *tmp;

	DL_FOREACH_SAFE (p->attempts, a, tmp) {
		if (a->state == ATTEMPT_UNSENT)
			send_forward(n, now, a);
		else if (a->state != ATTEMPT_LINK_LOST)
			continue;
		else if (a->gate_incarnation != p->link.incarnation)
			fail_lost_gate(n, now, a);
		else
			send_status_request(n, now, a);
	}
}

/*
 * A sent attempt waits until the link is up again and its status can be
 * requested. An idempotent call is retried elsewhere at once if it may be; its
 * lost attempt is kept, as the other host may refuse the retry.
 */
static void
sent_link_lost(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct call *c = a->call;
	const struct ir_host *h;

	a->state = ATTEMPT_LINK_LOST;
	if (c->attempt != a || !c->idempotent || c->retry_quota->tokens == 0)
		return;
	c->upstream_attempts++;
	h = n->attempt_ops->take_retry(n, now, c);
	if (h == NULL) {
		c->upstream_attempts--;
		return;
	}
	c->attempt = NULL;
	DL_APPEND2(c->lost_attempts, a, lost_prev, lost_next);
	attempt_start(n, now, c, h);
}

void
attempt_link_lost(struct ir_node *n, int64_t now, struct peer *p)
{
	struct attempt *a, *tmp;

	DL_FOREACH_SAFE (p->attempts, a, tmp) {
		if (a->state == ATTEMPT_UNSENT)
			retry_unsent(n, now, a, IR_E_NO_HOST);
		else
			sent_link_lost(n, now, a);
	}
}

void
attempt_cancel(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct ir_msg m = {.kind = IR_MSG_CANCEL};

	if (a->state != ATTEMPT_UNSENT) {
		m.ir_msg_u.cancel.attempt.incarnation = n->settings.incarnation;
		m.ir_msg_u.cancel.attempt.sequence = a->sequence;
		m.ir_msg_u.cancel.gate_incarnation = a->gate_incarnation;
		(void)peer_send_or_keep(n, now, a->peer, &m);
		ir_balancer_request_done(
		    n->balancer, now, a->peer->name, a->call->account, NULL, 0);
	}
	free_attempt(n, a);
}

/* Remembers what the host's upstream says of itself in its answer. */
static void
note_statement(struct ir_node *n, int64_t now, const char *host,
    int64_t sent_us, const struct ir_reply *r)
{
	const struct ir_host *h = ir_view_host(node_view(n), host);
	struct ir_statement s;

	if (h == NULL || r->error != IR_OK)
		return;
	s = ir_statement_read(&n->settings.statement_headers,
	    r->headers.headers_val, r->headers.headers_len);
	/* Another upstream may have taken its place at the host by now. */
	s.leaving = s.leaving && r->load.leaving;
	ir_balancer_upstream_said(n->balancer, now, h, sent_us, &s);
}

static void
answer_call(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_reply *r)
{
	struct ir_answer answer = {0};

	answer.error = IR_OK;
	answer.status = (uint16_t)r->status;
	answer.headers = r->headers.headers_val;
	answer.header_count = r->headers.headers_len;
	answer.body = (const uint8_t *)r->body.body_val;
	answer.body_bytes = r->body.body_len;
	n->attempt_ops->answer(n, now, c, &answer);
}

/*
 * A gate keeps an attempt's record until its call's deadline. After that,
 * IR_E_NEVER_RECEIVED does not prove that the attempt did not run.
 */
static enum ir_error
reply_error(int64_t now, const struct call *c, const struct ir_reply *r)
{
	if (r->error >= IR_ERROR_COUNT)
		return IR_E_INTERNAL;
	if (r->error == IR_E_NEVER_RECEIVED && now >= c->deadline_us)
		return IR_E_TIMEOUT;
	return (enum ir_error)r->error;
}

static void
handle_failed_reply(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_reply *r)
{
	enum ir_error e = reply_error(now, c, r);
	enum ir_outcome o = ir_error_info(e)->outcome;

	c->upstream_attempts +=
	    o != IR_OUTCOME_NOT_RUN || e == IR_E_UPSTREAM_SHED;
	c->may_have_run = c->may_have_run || o != IR_OUTCOME_NOT_RUN;
	if (o == IR_OUTCOME_NOT_RUN)
		n->attempt_ops->not_run(n, now, c, e, r->retry_after_ms);
	else if (o == IR_OUTCOME_UNKNOWN && c->idempotent)
		n->attempt_ops->retry(n, now, c, e, 0);
	else
		n->attempt_ops->give_up(n, now, c, e, 0);
}

/* Handles the failure of an attempt while a later one is in progress. */
static void
handle_failed_lost_attempt(
    int64_t now, struct call *c, const struct ir_reply *r)
{
	enum ir_error e = reply_error(now, c, r);

	if (ir_error_info(e)->outcome != IR_OUTCOME_NOT_RUN)
		c->may_have_run = true;
}

void
attempt_handle_reply(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_reply *r)
{
	uint64_t sequence = r->attempt.sequence;
	struct attempt *a;
	struct call *c;
	bool current;

	if (r->attempt.incarnation != n->settings.incarnation)
		return;
	HASH_FIND(hh, n->attempts, &sequence, sizeof(sequence), a);
	if (a == NULL || a->peer != p || a->state == ATTEMPT_UNSENT)
		return;
	if (r->incarnation != a->gate_incarnation)
		return;
	c = a->call;
	current = c->attempt == a;
	ir_retry_quota_return(c->retry_quota, a->retry_tokens, r->tokens_left);
	ir_balancer_request_done(
	    n->balancer, now, p->name, c->account, &r->load, now - a->sent_us);
	note_statement(n, now, p->name, a->sent_us, r);
	free_attempt(n, a);
	if (r->callee_refused && c->parent != NULL)
		c->parent->callee_refused = true;
	if (r->error == IR_OK)
		answer_call(n, now, c, r);
	else if (!current)
		handle_failed_lost_attempt(now, c, r);
	else
		handle_failed_reply(n, now, c, r);
}
