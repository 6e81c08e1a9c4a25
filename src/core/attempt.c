/*
 * Attempts: one try of a call at one gate, through lost links and late or
 * repeated answers.
 */
#include <string.h>

#include "core/internal.h"
#include "core/unconst.h"

/* Part of the remaining time kept back for the answer's way. */
#define WAY_SHARE 16
#define MAX_WAY_US (20 * IR_US_PER_MS)

struct ir_retry_budget *
attempt_budget(struct ir_node *n, const char *service)
{
	struct service_budget *b;

	HASH_FIND_STR(n->budgets, service, b);
	if (b != NULL)
		return &b->budget;
	b = talloc_zero(n, struct service_budget);
	b->service = talloc_strdup(b, service);
	HASH_ADD_KEYPTR(hh, n->budgets, b->service, strlen(b->service), b);
	return &b->budget;
}

static void
forget(struct ir_node *n, struct attempt *a)
{
	if (a->call != NULL)
		a->call->out = NULL;
	DL_DELETE(a->peer->attempts, a);
	HASH_DEL(n->attempts, a);
	talloc_free(a);
}

static uint32_t
remaining_us(const struct call *c, int64_t now)
{
	int64_t left = c->deadline_us - now;
	int64_t way = left / WAY_SHARE;

	if (left <= 0)
		return 0;
	if (way > MAX_WAY_US)
		way = MAX_WAY_US;
	return (uint32_t)(left - way);
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
	f->retry_tokens = a->lent;
	f->idempotent = c->idempotent;
	f->open = c->open;
	f->first_attempt = c->first_attempt;
	f->config_revision = c->config_revision;
	f->remaining_us = remaining_us(c, now);
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
	    ir_balancer_host_load(n->chooser, now, a->peer->name, &age_us);
	char id[NODE_ID_BYTES];

	node_log(n, IR_EVENT_ATTEMPT_SENT,
	    "id=%s attempt=%016llx-%llx host=%s try=%u held=%u limit=%u "
	    "age_ms=%lld",
	    node_id_text(id, c->caller_attempt, &c->request),
	    (unsigned long long)n->settings.incarnation,
	    (unsigned long long)a->sequence, a->peer->name, c->tried_count,
	    l != NULL ? l->running + l->queued : 0, l != NULL ? l->limit : 0,
	    (long long)(age_us / IR_US_PER_MS));
}

static void
transmit(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct ir_msg m = {.kind = IR_MSG_FORWARD};
	struct call *c = a->call;

	a->lent = ir_ledger_lend(c->ledger);
	a->sent_us = now;
	a->state = ATTEMPT_SENT;
	a->gate_incarnation = peer_is_self(n, a->peer)
				  ? n->settings.incarnation
				  : a->peer->link.incarnation;
	fill_forward(n, &m.ir_msg_u.forward, a, now);
	c->sent_count++;
	log_sent(n, now, a);
	ir_count(&n->counters, IR_ATTEMPTS, 1);
	ir_balancer_request_sent(n->chooser, now, a->peer->name,
	    in_other_region(n, a->peer), c->body_bytes);
	(void)peer_send(n, now, a->peer, &m);
}

void
attempt_start(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_host *h)
{
	struct attempt *a = talloc_zero(n, struct attempt);
	struct peer *p = peer_get(n, h->name);

	if (a == NULL || p == NULL) {
		talloc_free(a);
		call_fail(n, now, c, IR_E_OVERLOAD, 0);
		return;
	}
	a->sequence = n->next_attempt++;
	a->call = c;
	a->peer = p;
	a->state = ATTEMPT_LINK;
	c->out = a;
	c->tried[c->tried_count++] = talloc_strdup(c, p->name);
	DL_APPEND(p->attempts, a);
	HASH_ADD(hh, n->attempts, sequence, sizeof(a->sequence), a);
	if (peer_want(n, now, p))
		transmit(n, now, a);
}

static void
ask_status(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct ir_msg m = {.kind = IR_MSG_STATUS};

	m.ir_msg_u.status.attempt.incarnation = n->settings.incarnation;
	m.ir_msg_u.status.attempt.sequence = a->sequence;
	m.ir_msg_u.status.gate_incarnation = a->gate_incarnation;
	a->state = ATTEMPT_ASKED;
	(void)peer_send(n, now, a->peer, &m);
}

/* The process that held the attempt is gone, and its outcome with it. */
static void
gate_lost(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct call *c = a->call;

	ir_balancer_request_done(
	    n->chooser, now, a->peer->name, c->account, NULL, 0);
	forget(n, a);
	c->upstream_count++;
	c->doubt = true;
	if (c->idempotent)
		call_retry(n, now, c, IR_E_HOST_LOST, 0);
	else
		call_fail(n, now, c, IR_E_HOST_LOST, 0);
}

void
attempt_link_up(struct ir_node *n, int64_t now, struct peer *p)
{
	struct attempt *a, *tmp;

	DL_FOREACH_SAFE (p->attempts, a, tmp) {
		if (a->state == ATTEMPT_LINK)
			transmit(n, now, a);
		else if (a->state != ATTEMPT_DOUBT)
			continue;
		else if (a->gate_incarnation != p->link.incarnation)
			gate_lost(n, now, a);
		else
			ask_status(n, now, a);
	}
}

/* Never sent, so another host may be asked without a retry token. */
static void
unsent(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct call *c = a->call;

	forget(n, a);
	call_retry(n, now, c, IR_E_NO_HOST, 0);
}

/* An idempotent call need not wait for word of the lost link. */
static void
in_doubt(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct call *c = a->call;

	a->state = ATTEMPT_DOUBT;
	if (!c->idempotent || c->ledger->tokens == 0)
		return;
	c->upstream_count++;
	c->doubt = true;
	attempt_abandon(n, now, a);
	call_retry(n, now, c, IR_E_HOST_LOST, 0);
}

void
attempt_link_lost(struct ir_node *n, int64_t now, struct peer *p)
{
	struct attempt *a, *tmp;

	DL_FOREACH_SAFE (p->attempts, a, tmp) {
		if (a->state == ATTEMPT_LINK)
			unsent(n, now, a);
		else
			in_doubt(n, now, a);
	}
}

void
attempt_abandon(struct ir_node *n, int64_t now, struct attempt *a)
{
	struct ir_msg m = {.kind = IR_MSG_CANCEL};

	if (a->state != ATTEMPT_LINK) {
		m.ir_msg_u.cancel.attempt.incarnation = n->settings.incarnation;
		m.ir_msg_u.cancel.attempt.sequence = a->sequence;
		m.ir_msg_u.cancel.gate_incarnation = a->gate_incarnation;
		(void)peer_send_later(n, now, a->peer, &m);
		ir_balancer_request_done(
		    n->chooser, now, a->peer->name, a->call->account, NULL, 0);
	}
	forget(n, a);
}

static void
pass_on(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_reply *r)
{
	struct ir_answer answer = {0};

	answer.error = IR_OK;
	answer.status = (uint16_t)r->status;
	answer.headers = r->headers.headers_val;
	answer.header_count = r->headers.headers_len;
	answer.body = (const uint8_t *)r->body.body_val;
	answer.body_bytes = r->body.body_len;
	call_end(n, now, c, &answer);
}

/*
 * A gate remembers an attempt until its call's deadline; that it knows none
 * says nothing afterwards.
 */
static enum ir_error
error_of(int64_t now, const struct call *c, const struct ir_reply *r)
{
	if (r->error >= IR_ERROR_COUNT)
		return IR_E_INTERNAL;
	if (r->error == IR_E_NEVER_RECEIVED && now >= c->deadline_us)
		return IR_E_TIMEOUT;
	return (enum ir_error)r->error;
}

static void
failed_answer(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_reply *r)
{
	enum ir_error e = error_of(now, c, r);
	enum ir_outcome o = ir_error_info(e)->outcome;

	c->upstream_count += o != IR_OUTCOME_NOT_RUN || e == IR_E_UPSTREAM_SHED;
	c->doubt = c->doubt || o != IR_OUTCOME_NOT_RUN;
	if (o == IR_OUTCOME_NOT_RUN)
		call_refused(n, now, c, e, r->retry_after_ms);
	else if (o == IR_OUTCOME_UNKNOWN && c->idempotent)
		call_retry(n, now, c, e, 0);
	else
		call_fail(n, now, c, e, 0);
}

/* Answers are matched by attempt id; one that is not awaited is ignored. */
void
attempt_answered(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_reply *r)
{
	uint64_t sequence = r->attempt.sequence;
	struct attempt *a;
	struct call *c;

	if (r->attempt.incarnation != n->settings.incarnation)
		return;
	HASH_FIND(hh, n->attempts, &sequence, sizeof(sequence), a);
	if (a == NULL || a->peer != p || a->state == ATTEMPT_LINK)
		return;
	if (r->incarnation != a->gate_incarnation)
		return;
	c = a->call;
	ir_ledger_return(c->ledger, a->lent, r->tokens_left);
	ir_balancer_request_done(
	    n->chooser, now, p->name, c->account, &r->load, now - a->sent_us);
	forget(n, a);
	if (r->callee_refused && c->parent != NULL)
		c->parent->callee_shed = true;
	if (r->error == IR_OK)
		pass_on(n, now, c, r);
	else
		failed_answer(n, now, c, r);
}
