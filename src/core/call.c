/*
 * Calls: requests from callers and from the local upstream, from admission to
 * the answer. Each gets exactly one answer unless its caller disconnects.
 */
#include <string.h>

#include "core/internal.h"
#include "upstream/priority.h"

/* Retry-after before jitter. Default, for refusals whose cause passes soon. */
#define DEFAULT_RETRY_MS 200
/* While the view is unconfirmed. */
#define VIEW_RETRY_MS 1000
/* Without a host in an allowed region: a host list or configuration changes. */
#define REGION_RETRY_MS 2000

/*
 * Answers with an error's status and text. Where the error lets the caller
 * retry later, retry_after_ms 0 means a jittered default.
 */
static void
send_error(
    struct ir_node *n, uint64_t id, enum ir_error e, uint32_t retry_after_ms)
{
	const struct ir_error_info *i = ir_error_info(e);
	struct ir_answer a = {0};

	a.error = e;
	a.status = i->http_status;
	if (i->retry_later)
		a.retry_after_ms = retry_after_ms != 0
				       ? retry_after_ms
				       : node_jitter_ms(n, DEFAULT_RETRY_MS);
	a.body = (const uint8_t *)i->text;
	a.body_bytes = strlen(i->text);
	if (i->outcome == IR_OUTCOME_NOT_RUN)
		ir_counters_add(&n->counters, IR_COUNTER_REFUSED, 1);
	else
		ir_counters_add(&n->counters, IR_COUNTER_OUTCOME_UNKNOWN, 1);
	if (e == IR_E_RATE)
		ir_counters_add(&n->counters, IR_COUNTER_RATE_REFUSED, 1);
	n->ops.answer(n->ctx, id, &a);
}

static void
log_call_ended(struct ir_node *n, int64_t now, const struct call *c,
    enum ir_error e, unsigned status, const char *reason)
{
	const struct ir_error_info *i = ir_error_info(e);
	char id[NODE_LOG_ID_BYTES];

	ir_histogram_add(&n->histograms, IR_HISTOGRAM_CALL, now - c->start_us);
	node_log(n, IR_EVENT_CALL_ENDED,
	    "id=%s error=%s outcome=%s status=%u ms=%lld tries=%u host=%s "
	    "reason=%s",
	    node_log_id(id, c->caller_attempt, &c->request), i->name,
	    ir_outcome_name(i->outcome), status,
	    (long long)((now - c->start_us) / IR_US_PER_MS), c->tried_count,
	    c->tried_count > 0 ? c->tried_hosts[c->tried_count - 1] : "none",
	    reason);
}

static void
free_call(struct ir_node *n, int64_t now, struct call *c)
{
	if (c->sent_attempts > 0)
		ir_call_times_add(
		    &n->call_times, now, c->route_hash, now - c->start_us);
	if (c->attempt != NULL)
		attempt_cancel(n, now, c->attempt);
	while (c->lost_attempts != NULL)
		attempt_cancel(n, now, c->lost_attempts);
	if (c->state == CALL_AWAITING_TOKEN)
		DL_DELETE2(n->token_waiters, c, wait_prev, wait_next);
	if (c->parent != NULL)
		children_remove(c->parent, now, c);
	HASH_DEL(n->calls, c);
	ir_memory_release(
	    n->settings.memory, IR_MEMORY_CALLS, c->accounted_bytes);
	talloc_free(c);
}

static void
answer(
    struct ir_node *n, int64_t now, struct call *c, const struct ir_answer *a)
{
	ir_counters_add(&n->counters, IR_COUNTER_ANSWERED, 1);
	log_call_ended(n, now, c, IR_OK, a->status, "answered");
	n->ops.answer(n->ctx, c->id, a);
	free_call(n, now, c);
}

/*
 * Whether a call failed because its callee was overloaded or had no host.
 * Refusals by an upstream itself (IR_E_UPSTREAM_SHED) are left out: they may
 * be random, and then admitting fewer runs does not reduce them.
 */
static bool
is_callee_refusal(enum ir_error e)
{
	switch (e) {
	case IR_E_OVERLOAD:
	case IR_E_DEADLINE:
	case IR_E_CALLEE_OVERLOAD:
	case IR_E_NO_HOST:
		return true;
	default:
		return false;
	}
}

static void
fail(struct ir_node *n, int64_t now, struct call *c, enum ir_error e,
    uint32_t retry_after_ms)
{
	bool in_doubt = c->may_have_run || c->lost_attempts != NULL;

	if (in_doubt && ir_error_info(e)->outcome == IR_OUTCOME_NOT_RUN)
		e = IR_E_HOST_LOST;
	if (ir_error_info(e)->outcome == IR_OUTCOME_UNKNOWN)
		node_log(n, IR_EVENT_OUTCOME_UNKNOWN,
		    "error=%s service=%s account=%s", ir_error_info(e)->name,
		    c->service, c->account);
	if (c->parent != NULL && is_callee_refusal(e))
		c->parent->callee_refused = true;
	if (e == IR_E_REGION)
		regions_log_refused(n, "entry", c->caller_attempt, &c->request,
		    c->service, c->account, c->regions);
	log_call_ended(n, now, c, e, 0, "answered");
	send_error(n, c->id, e, retry_after_ms);
	free_call(n, now, c);
}

static void
give_up(struct ir_node *n, int64_t now, struct call *c, enum ir_error e,
    uint32_t retry_after_ms)
{
	struct attempt *a = c->lost_attempts;

	if (a == NULL || now >= c->deadline_us) {
		fail(n, now, c, e, retry_after_ms);
		return;
	}
	DL_DELETE2(c->lost_attempts, a, lost_prev, lost_next);
	c->attempt = a;
}

/* Refuses a call that was not admitted. */
static void
refuse_unadmitted(struct ir_node *n, const struct ir_call *in, enum ir_error e)
{
	uint32_t retry_ms = 0;

	node_log(n, IR_EVENT_CALL_REFUSED,
	    "id=%s error=%s service=%s path=%s config=%llu",
	    in->caller_attempt != NULL ? in->caller_attempt : "none",
	    ir_error_info(e)->name,
	    in->service != NULL ? in->service : in->authority, in->path,
	    (unsigned long long)node_view(n)->config_revision);
	if (e == IR_E_KEY_UNKNOWN || e == IR_E_NO_KEY)
		node_log(n, IR_EVENT_KEY_REFUSED, "error=%s service=%s",
		    ir_error_info(e)->name,
		    in->service != NULL ? in->service : in->authority);
	if (e == IR_E_VIEW_UNCONFIRMED)
		retry_ms = node_jitter_ms(n, VIEW_RETRY_MS);
	send_error(n, in->id, e, retry_ms);
}

static void
log_admitted(struct ir_node *n, int64_t now, const struct call *c)
{
	char id[NODE_LOG_ID_BYTES];

	node_log(n, IR_EVENT_CALL_ADMITTED,
	    "id=%s service=%s account=%s importance=%u "
	    "account_importance=%u depth=%u deadline_ms=%lld config=%llu",
	    node_log_id(id, c->caller_attempt, &c->request), c->service,
	    c->account, ir_importance_of_route(c->importance),
	    ir_importance_of_account(c->importance), c->depth,
	    (long long)((c->deadline_us - now) / IR_US_PER_MS),
	    (unsigned long long)c->config_revision);
}

static void
free_unadmitted(struct call *c)
{
	if (c->parent != NULL)
		children_remove(c->parent, c->start_us, c);
	talloc_free(c);
}

/* Typical memory of a call, not counting its body. */
#define CALL_OVERHEAD_BYTES 4096

/*
 * Whether the call belongs to a run of this host. Such calls are accepted while
 * memory is short: the run that waits for them holds more memory than they
 * need.
 */
static bool
belongs_to_run(struct ir_node *n, const struct ir_call *in)
{
	return in->egress || admit_find_parent(n, in->caller_attempt) != NULL;
}

static bool
can_accept_call(struct ir_node *n, const struct ir_call *in)
{
	if (ir_memory_is_short(n->settings.memory) && !belongs_to_run(n, in))
		return false;
	return HASH_COUNT(n->calls) < IR_MAX_CALLS &&
	       ir_memory_has_room(n->settings.memory, IR_MEMORY_CALLS,
		   CALL_OVERHEAD_BYTES + in->body_bytes);
}

/*
 * Chooses the host of the next attempt. If there is none, returns NULL and sets
 * *e. Sets *retry_ms to the time after which to retry if it is known, else to
 * 0.
 */
static const struct ir_host *
choose_host(struct ir_node *n, int64_t now, struct call *c, enum ir_error *e,
    uint32_t *retry_ms)
{
	const struct ir_view *v = node_view(n);
	const struct ir_service *s = ir_view_service(v, c->service);
	const struct ir_host *h = NULL;
	struct ir_pick_criteria criteria = {0};

	*retry_ms = 0;
	/* A host that is no longer listed must not send work. */
	if (node_self(n) == NULL && !node_serves_unlisted(n)) {
		*e = IR_E_STOPPING;
		return NULL;
	}
	if (s == NULL) {
		*e = IR_E_NO_ROUTE;
		return NULL;
	}
	regions_update_call(n, c);
	if (regions_exclude_all(c, s)) {
		*e = IR_E_REGION;
		*retry_ms = node_jitter_ms(n, REGION_RETRY_MS);
		return NULL;
	}
	if (!c->idempotent && c->idempotency_key[0] != '\0') {
		h = ir_idempotency_key_host(
		    s, c->regions, c->account, c->idempotency_key);
		*e = IR_E_NO_HOST;
		if (h != NULL && c->tried_count != 0 &&
		    strcmp(c->tried_hosts[0], h->name) == 0)
			h = NULL;
		return h;
	}
	criteria.service = c->service;
	criteria.account = c->account;
	criteria.priority = ir_priority(c->importance, c->depth != 0, c->rank);
	criteria.request_bytes =
	    c->body_bytes + (uint32_t)strlen(c->path) + 256;
	criteria.excluded_hosts = c->tried_hosts;
	criteria.excluded_count = c->tried_count;
	criteria.regions = c->regions;
	switch (ir_balancer_pick(n->balancer, now, v,
	    node_self_or_placeholder(n), &criteria, &h, retry_ms)) {
	case IR_PICK_OK:
		return h;
	case IR_PICK_SHED:
		*e = IR_E_OVERLOAD;
		return NULL;
	default:
		*e = IR_E_NO_HOST;
		return NULL;
	}
}

/* Baseline policy: each host gets an equal share of the account's rate. */
static enum ir_take_result
take_static_share(struct ir_node *n, int64_t now, const struct ir_account *a,
    uint32_t *retry_ms)
{
	const struct ir_view *v = node_view(n);
	size_t hosts = v->host_count != 0 ? v->host_count : 1;
	uint64_t rate = a->rate_mt_per_s / hosts;
	uint64_t burst = a->burst_mt / hosts;
	struct static_share *s;
	int64_t wait_us = 0;

	if (burst < 1000)
		burst = 1000;
	HASH_FIND_STR(n->static_shares, a->name, s);
	if (s == NULL) {
		s = talloc_zero(n, struct static_share);
		s->account = talloc_strdup(s, a->name);
		s->bucket = ir_bucket_new(s, now, now, rate, burst);
		HASH_ADD_KEYPTR(
		    hh, n->static_shares, s->account, strlen(s->account), s);
	}
	ir_bucket_set_share(s->bucket, now, now, rate, burst);
	s->sequence++;
	if (ir_bucket_grant(s->bucket, now, 1, s->sequence, 1, &wait_us) == 1) {
		ir_bucket_release(s->bucket, now, 1, s->sequence);
		return IR_TAKE_OK;
	}
	*retry_ms = (uint32_t)(wait_us / IR_US_PER_MS) + 1;
	return IR_TAKE_DENIED;
}

static enum ir_take_result
take_token(struct ir_node *n, int64_t now, struct call *c, uint32_t *retry_ms)
{
	const struct ir_account *a = ir_view_account(node_view(n), c->account);

	if (c->open || c->egress)
		return IR_TAKE_OK;
	if (a == NULL)
		return IR_TAKE_DENIED;
	if (a->unlimited)
		return IR_TAKE_OK;
	if (n->settings.baseline_policy)
		return take_static_share(n, now, a, retry_ms);
	return ir_rate_limiter_take(n->rate_limiter, now, node_view(n),
	    node_self_or_placeholder(n), a, retry_ms);
}

static void
wait_for_token(struct ir_node *n, struct call *c)
{
	if (c->state == CALL_AWAITING_TOKEN)
		return;
	c->state = CALL_AWAITING_TOKEN;
	DL_APPEND2(n->token_waiters, c, wait_prev, wait_next);
}

/* Whether an attempt that begins now can be answered before end_us. */
static bool
can_end(
    const struct ir_node *n, int64_t now, const struct call *c, int64_t end_us)
{
	return !n->stopping || ir_call_can_end(now, end_us, c->deadline_us,
				   ir_call_times_longest_us(
				       &n->call_times, now, c->route_hash));
}

/*
 * Starts the first attempt. Takes the token after choosing the host, so that
 * none is spent where no host is available. Without a token the call fails, or
 * waits for call_retry_token_waiters().
 */
static void
start_call(struct ir_node *n, int64_t now, struct call *c)
{
	const struct ir_host *h;
	enum ir_error e = IR_E_NO_HOST;
	uint32_t retry_ms;

	if (now >= c->deadline_us) {
		fail(n, now, c, IR_E_DEADLINE, 0);
		return;
	}
	if (!can_end(n, now, c, n->stop_times.end_us)) {
		fail(n, now, c, IR_E_STOPPING, 0);
		return;
	}
	h = choose_host(n, now, c, &e, &retry_ms);
	if (h == NULL) {
		fail(n, now, c, e, retry_ms);
		return;
	}
	switch (take_token(n, now, c, &retry_ms)) {
	case IR_TAKE_WAIT:
		wait_for_token(n, c);
		return;
	case IR_TAKE_DENIED:
		fail(n, now, c, IR_E_RATE, retry_ms);
		return;
	default:
		break;
	}
	if (c->state == CALL_AWAITING_TOKEN)
		DL_DELETE2(n->token_waiters, c, wait_prev, wait_next);
	c->state = CALL_IN_FLIGHT;
	ir_counters_add(
	    &n->counters, IR_COUNTER_TOKENS_SPENT, !c->open && !c->egress);
	attempt_start(n, now, c, h);
}

/*
 * Attempts of a call that gates may refuse before another attempt takes a
 * retry token: no upstream has seen the call, and the load by which its host
 * was chosen may be a round trip old.
 */
#define FREE_REFUSALS 2

static bool
may_retry(struct ir_node *n, int64_t now, struct call *c)
{
	bool ok;

	if (c->upstream_attempts == 0 && c->sent_attempts <= FREE_REFUSALS)
		return true;
	ok = c->retry_quota->tokens != 0 &&
	     (n->settings.baseline_policy ||
		 ir_retry_budget_take(
		     attempt_retry_budget(n, c->service), now)) &&
	     ir_retry_quota_take(c->retry_quota);
	ir_counters_add(&n->counters,
	    ok ? IR_COUNTER_RETRIES : IR_COUNTER_RETRIES_DENIED, 1);
	return ok;
}

static const struct ir_host *
take_retry(struct ir_node *n, int64_t now, struct call *c)
{
	const struct ir_host *h;
	enum ir_error e; /* the caller has its own */
	uint32_t retry_ms;

	if (now >= c->deadline_us || c->tried_count >= MAX_TRIED_HOSTS ||
	    !can_end(n, now, c, n->stop_times.end_us))
		return NULL;
	h = choose_host(n, now, c, &e, &retry_ms);
	return h != NULL && may_retry(n, now, c) ? h : NULL;
}

static void
retry(struct ir_node *n, int64_t now, struct call *c, enum ir_error e,
    uint32_t retry_after_ms)
{
	const struct ir_host *h = take_retry(n, now, c);

	if (h != NULL)
		attempt_start(n, now, c, h);
	else
		give_up(n, now, c, e, retry_after_ms);
}

static void
not_run(struct ir_node *n, int64_t now, struct call *c, enum ir_error e,
    uint32_t retry_after_ms)
{
	if (ir_error_info(e)->retry_elsewhere)
		retry(n, now, c, e, retry_after_ms);
	else
		give_up(n, now, c, e, retry_after_ms);
}

void
call_abort(
    struct ir_node *n, int64_t now, struct call *c, enum ir_error not_run)
{
	bool sent = c->attempt != NULL && c->attempt->state != ATTEMPT_UNSENT;

	fail(n, now, c, sent ? IR_E_TIMEOUT : not_run, 0);
}

void
call_tick(struct ir_node *n, int64_t now)
{
	struct call *c, *tmp;

	HASH_ITER (hh, n->calls, c, tmp) {
		if (now >= c->deadline_us)
			call_abort(n, now, c, IR_E_DEADLINE);
	}
}

void
call_retry_token_waiters(struct ir_node *n, int64_t now, const char *account)
{
	struct call *c, *tmp;

	DL_FOREACH_SAFE2(n->token_waiters, c, tmp, wait_next)
	{
		if (strcmp(c->account, account) == 0)
			start_call(n, now, c);
	}
}

void
call_accept(struct ir_node *n, int64_t now, const struct ir_call *in)
{
	struct call *c = NULL;
	enum ir_error e;

	ir_counters_add(&n->counters,
	    in->egress ? IR_COUNTER_EGRESS_CALLS : IR_COUNTER_CALLS, 1);
	e = admit_check_sizes(in);
	if (e == IR_OK && n->stopping && now >= n->stop_times.refuse_us &&
	    !belongs_to_run(n, in))
		e = IR_E_STOPPING;
	if (e == IR_OK && !can_accept_call(n, in))
		e = IR_E_OVERLOAD;
	if (e == IR_OK) {
		c = admit_copy_call(n, now, in);
		e = c == NULL ? IR_E_OVERLOAD : admit_call(n, now, c, in);
	}
	if (e == IR_OK && !belongs_to_run(n, in) &&
	    !can_end(n, now, c, n->stop_times.finish_us))
		e = IR_E_STOPPING;
	if (e != IR_OK) {
		if (c != NULL)
			free_unadmitted(c);
		refuse_unadmitted(n, in, e);
		return;
	}
	HASH_ADD(hh, n->calls, id, sizeof(c->id), c);
	c->accounted_bytes = ir_memory_tree_bytes(c);
	ir_memory_hold(n->settings.memory, IR_MEMORY_CALLS, c->accounted_bytes);
	c->state = CALL_IN_FLIGHT;
	log_admitted(n, now, c);
	ir_retry_budget_add_first_attempt(
	    attempt_retry_budget(n, c->service), now);
	start_call(n, now, c);
}

void
call_disconnected(
    struct ir_node *n, int64_t now, uint64_t id, const char *reason)
{
	struct call *c;

	HASH_FIND(hh, n->calls, &id, sizeof(id), c);
	if (c == NULL)
		return;
	ir_counters_add(&n->counters, IR_COUNTER_CANCELLED, 1);
	log_call_ended(n, now, c, IR_E_CANCELLED, 0, reason);
	free_call(n, now, c);
}

const struct attempt_ops call_attempt_ops = {
    .answer = answer,
    .not_run = not_run,
    .retry = retry,
    .take_retry = take_retry,
    .give_up = give_up,
    .fail = fail,
};
