/* Runs of requests by the local upstream: start, result, answer and abort. */
#include <stdio.h>
#include <string.h>

#include "core/internal.h"
#include "log/value.h"
#include "upstream/priority.h"

/* Characters of a path that a log line shows. */
#define MAX_LOGGED_PATH 256

/* Work queued before this host began to leave may start for this long. */
#define LEAVE_GRACE_US IR_US_PER_S

static void
log_started(struct ir_node *n, int64_t now, const struct ir_record *r,
    const struct ir_run *run)
{
	char id[NODE_LOG_ID_BYTES], upstream[IR_LOG_VALUE_BYTES];

	ir_histogram_add(
	    &n->histograms, IR_HISTOGRAM_GATE_WAIT, now - r->work.offered_us);
	node_log(n, IR_EVENT_RUN_STARTED,
	    "id=%s attempt=%s waited_ms=%lld left_ms=%u upstream=%s",
	    node_log_id(id, r->forward->caller_attempt, &r->forward->request),
	    r->attempt_text,
	    (long long)((now - r->work.offered_us) / IR_US_PER_MS),
	    run->remaining_ms,
	    ir_log_value(upstream, run->upstream_id, strlen(run->upstream_id)));
}

static void
log_run_ended(struct ir_node *n, int64_t now, const struct ir_record *r,
    enum ir_error e, unsigned status)
{
	char id[NODE_LOG_ID_BYTES];

	ir_histogram_add(
	    &n->histograms, IR_HISTOGRAM_RUN, now - r->work.started_us);
	node_log(n, IR_EVENT_RUN_ENDED,
	    "id=%s attempt=%s error=%s status=%u ms=%lld",
	    node_log_id(id, r->forward->caller_attempt, &r->forward->request),
	    r->attempt_text, ir_error_info(e)->name, status,
	    (long long)((now - r->work.started_us) / IR_US_PER_MS));
}

static void
start_run(struct ir_node *n, int64_t now, struct ir_record *r)
{
	const struct ir_forward *f = r->forward;
	struct ir_run out = {0};
	char request[40];

	ir_records_set_run(n->records, r, n->next_run_id++);
	r->state = IR_RECORD_RUNNING;
	(void)snprintf(request, sizeof(request), "%016llx%016llx",
	    (unsigned long long)f->request.high,
	    (unsigned long long)f->request.low);
	out.id = r->run_id;
	out.attempt = r->attempt_text;
	out.request = request;
	out.account = f->account;
	out.authority = f->authority;
	out.caller_attempt = f->caller_attempt;
	out.origin = f->origin;
	out.upstream_id = node_self(n) != NULL ? node_self(n)->upstream_id : "";
	out.importance = ir_importance_of_route(f->importance);
	out.remaining_ms =
	    (uint32_t)((r->work.deadline_us - now) / IR_US_PER_MS);
	out.idempotent = f->idempotent;
	out.method = f->method;
	out.path = f->path;
	out.headers = f->headers.headers_val;
	out.header_count = f->headers.headers_len;
	out.body = (const uint8_t *)f->body.body_val;
	out.body_bytes = f->body.body_len;
	ir_counters_add(&n->counters, IR_COUNTER_RUNS, 1);
	log_started(n, now, r, &out);
	local_upstream_run_started(n, now);
	n->ops.run(n->ctx, &out);
}

static bool
leave_grace_over(struct ir_node *n, int64_t now)
{
	return n->leaving_since_us != 0 &&
	       now - n->leaving_since_us > LEAVE_GRACE_US;
}

/*
 * Repeats every check right before the start, as the process may have been
 * paused since the gate made its decision.
 */
static void
start_if_allowed(void *ctx, struct ir_record *r)
{
	struct ir_node *n = ctx;
	int64_t now = n->now_us;
	enum ir_error e;

	if (r->state != IR_RECORD_STARTING)
		return;
	e = serve_check_key(n, now, r->forward);
	if (e == IR_OK && now >= r->work.deadline_us)
		e = IR_E_DEADLINE;
	if (e == IR_OK && leave_grace_over(n, now))
		e = IR_E_STOPPING;
	if (e == IR_OK)
		e = evacuation_check(n);
	if (e == IR_OK && suspects_refuse(n, now, r->forward))
		e = IR_E_CRASHES_UPSTREAM;
	if (e == IR_OK)
		e = serve_check_regions(n, r);
	if (e == IR_OK) {
		serve_update_account(n, r->forward);
		start_run(n, now, r);
		return;
	}
	ir_gate_done(n->gate, now, &r->work, IR_SAMPLE_IGNORED);
	serve_finish_record(n, now, r, e,
	    node_jitter_ms(
		n, e == IR_E_CRASHES_UPSTREAM ? SUSPECT_RETRY_MS : 100));
}

void
run_start_all(struct ir_node *n, int64_t now)
{
	n->now_us = now;
	while (n->runs_to_start) {
		n->runs_to_start = false;
		ir_records_each_open(n->records, start_if_allowed, n);
	}
}

/* False if out of memory. */
static bool
copy_answer(struct ir_record *r, const struct ir_run_result *res)
{
	r->status = res->status;
	r->headers = talloc_array(r, struct ir_header, res->header_count);
	if (r->headers == NULL && res->header_count != 0)
		return false;
	for (size_t i = 0; i < res->header_count; i++) {
		r->headers[i].name = talloc_strdup(r, res->headers[i].name);
		r->headers[i].value = talloc_strdup(r, res->headers[i].value);
	}
	r->header_count = (uint32_t)res->header_count;
	if (res->body_bytes != 0)
		r->body = talloc_memdup(r, res->body, res->body_bytes);
	r->body_bytes = r->body != NULL ? (uint32_t)res->body_bytes : 0;
	return r->body_bytes == res->body_bytes;
}

static enum ir_error
error_of_run(const struct ir_node *n, const struct ir_run_result *res)
{
	switch (res->end) {
	case IR_RUN_ANSWERED:
		return IR_OK;
	case IR_RUN_NOT_CONNECTED:
		/* No upstream has seen the attempt: it may be sent on freely.
		 */
		return n->upstream.ended ? IR_E_STOPPING : IR_E_UPSTREAM_SHED;
	case IR_RUN_CONNECTION_LIMIT:
		return IR_E_UPSTREAM_SHED;
	case IR_RUN_SHED:
		return n->upstream.ended ? IR_E_WRONG_GATE : IR_E_UPSTREAM_SHED;
	case IR_RUN_NO_ROOM:
		return IR_E_OVERLOAD;
	default:
		return IR_E_UPSTREAM_FAILED;
	}
}

/* This status and higher ones mean that the upstream failed. */
#define MIN_FAILED_STATUS 500

static enum ir_sample
sample_of_run(const struct ir_record *r, const struct ir_run_result *res)
{
	if (res->end == IR_RUN_ANSWERED && r->callee_refused &&
	    res->status >= MIN_FAILED_STATUS)
		return IR_SAMPLE_CALLEE_REFUSED;
	switch (res->end) {
	case IR_RUN_ANSWERED:
		return IR_SAMPLE_OK;
	case IR_RUN_SHED:
		return IR_SAMPLE_SHED;
	case IR_RUN_NO_ROOM:
		return IR_SAMPLE_IGNORED;
	default:
		return IR_SAMPLE_FAILED;
	}
}

static bool
may_retry_later(enum ir_error e)
{
	return e == IR_E_UPSTREAM_SHED || e == IR_E_OVERLOAD;
}

static void
log_crashed(struct ir_node *n, int64_t now, const struct ir_record *r)
{
	const struct ir_forward *f = r->forward;
	char id[NODE_LOG_ID_BYTES];

	ir_counters_add(&n->counters, IR_COUNTER_RUNS_CRASHED, 1);
	node_log(n, IR_EVENT_RUN_CRASHED,
	    "id=%s attempt=%s method=%s path=%.*s account=%s ms=%lld",
	    node_log_id(id, f->caller_attempt, &f->request), r->attempt_text,
	    f->method, MAX_LOGGED_PATH, f->path, f->account,
	    (long long)((now - r->work.started_us) / IR_US_PER_MS));
}

void
run_ended(struct ir_node *n, int64_t now, uint64_t run,
    const struct ir_run_result *res)
{
	struct ir_record *r = ir_records_by_run(n->records, run);
	enum ir_error e = error_of_run(n, res);

	if (r == NULL)
		return;
	if (e == IR_OK && !copy_answer(r, res)) {
		e = IR_E_UPSTREAM_FAILED;
		node_log(n, IR_EVENT_UPSTREAM_BROKEN,
		    "attempt=%s reason=answer-not-kept", r->attempt_text);
	}
	log_run_ended(n, now, r, e, res->status);
	if (res->end == IR_RUN_UPSTREAM_ENDED)
		log_crashed(n, now, r);
	suspects_run_ended(n, now, r, res->end);
	local_upstream_run_ended(n, now, r, res);
	r->wasted = sample_of_run(r, res) == IR_SAMPLE_CALLEE_REFUSED;
	ir_throttle_run_ended(n->callee_throttle, now, r->route_hash, r->wasted,
	    now - r->work.started_us);
	ir_gate_done(n->gate, now, &r->work, sample_of_run(r, res));
	serve_finish_record(
	    n, now, r, e, may_retry_later(e) ? node_jitter_ms(n, 100) : 0);
}

/*
 * Ends a record before its answer and frees its slot or its place in the queue.
 * The error is ran if the upstream has begun to run it, else not_run.
 */
static void
abort_record(struct ir_node *n, int64_t now, struct ir_record *r,
    enum ir_error not_run, enum ir_error ran)
{
	bool running = r->state == IR_RECORD_RUNNING;

	if (running) {
		log_run_ended(n, now, r, ran, 0);
		n->ops.cancel_run(n->ctx, r->run_id);
		local_upstream_run_dropped(n, now, r);
	}
	ir_gate_cancel(n->gate, now, &r->work);
	serve_finish_record(n, now, r, running ? ran : not_run, 0);
}

void
run_cancel(struct ir_node *n, int64_t now, const struct ir_attempt_ref *ref)
{
	struct ir_record *r;

	if (ref->gate_incarnation != n->settings.incarnation)
		return;
	r = ir_records_find(n->records, &ref->attempt);
	if (r == NULL || r->state == IR_RECORD_DONE)
		return;
	if (r->state == IR_RECORD_RUNNING && r->idempotency_key != NULL)
		return;
	ir_counters_add(&n->counters, IR_COUNTER_CANCELLED, 1);
	abort_record(n, now, r, IR_E_CANCELLED, IR_E_UPSTREAM_FAILED);
}

/* Aborts a record past its deadline. Queued ones are refused by the gate. */
static void
expire_started(void *ctx, struct ir_record *r)
{
	struct ir_node *n = ctx;

	if (r->state != IR_RECORD_QUEUED && n->now_us >= r->work.deadline_us)
		abort_record(n, n->now_us, r, IR_E_DEADLINE, IR_E_TIMEOUT);
}

void
run_tick(struct ir_node *n, int64_t now)
{
	n->now_us = now;
	ir_records_each_open(n->records, expire_started, n);
	ir_gate_tick(n->gate, now);
	ir_records_expire(n->records, now);
	ir_throttle_free_idle(n->callee_throttle, now);
}
