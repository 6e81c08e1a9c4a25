/* Simulated upstreams and callers, with the checks of runs and answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/internal.h"
#include "core/unconst.h"
#include "support/fleet_priv.h"
#include "zone/region_set.h"

#define HTTP_MISDIRECTED 421

const char fleet_deadly[] = "deadly";

struct fleet_call *
fleet_find_call(struct fleet *f, const char *marker)
{
	long i = marker[0] == 'm' ? strtol(marker + 1, NULL, 10) : -1;

	if (i < 0 || i >= f->call_count)
		return NULL;
	return &f->calls[i];
}

static struct fleet_attempt *
find_attempt(struct fleet *f, uint64_t incarnation, uint64_t sequence, int gate)
{
	for (int i = f->attempt_count - 1; i >= 0; i--) {
		struct fleet_attempt *a = &f->attempts[i];

		if (a->incarnation == incarnation && a->sequence == sequence &&
		    a->gate == gate)
			return a;
	}
	return NULL;
}

void
fleet_record_forward(
    struct fleet *f, int gate, const struct ir_forward *forward)
{
	const struct ir_attempt_id *id = &forward->attempt;

	if (f->attempt_count == FLEET_MAX_ATTEMPTS ||
	    find_attempt(f, id->incarnation, id->sequence, gate) != NULL)
		return;
	f->attempts[f->attempt_count++] =
	    (struct fleet_attempt){.incarnation = id->incarnation,
		.sequence = id->sequence,
		.gate = gate,
		.importance = forward->importance,
		.received_us = f->now_us,
		.deadline_us = f->now_us + forward->remaining_us};
}

void
fleet_record_reply(struct fleet *f, int gate, const struct ir_reply *reply)
{
	const struct ir_attempt_id *id = &reply->attempt;
	struct fleet_attempt *a;

	if (reply->error != IR_E_OVERLOAD)
		return;
	a = find_attempt(f, id->incarnation, id->sequence, gate);
	if (a != NULL)
		a->shed_us = f->now_us;
}

static void
record_run_start(struct fleet *f, int gate, const char *attempt)
{
	uint64_t incarnation, sequence;
	struct fleet_attempt *a;
	char *end;

	incarnation = strtoull(attempt, &end, 16);
	sequence = *end == '-' ? strtoull(end + 1, NULL, 16) : 0;
	a = find_attempt(f, incarnation, sequence, gate);
	if (a != NULL)
		a->started_us = f->now_us;
}

/*
 * A run must be allowed by the gate's own view, and by what was published as
 * soon as every gate must know it, or has lost its lease.
 */
static void
check_account_region(
    struct fleet *f, struct fleet_node *n, const struct fleet_call *c)
{
	const struct ir_account *a = ir_view_account(node_view(n->node), "a");

	if (!c->needs_key)
		return;
	if (a != NULL && !ir_region_set_has(a->regions, n->region))
		fleet_fail(f, "call %s ran in %s, which %s does not allow",
		    c->marker, n->region, n->name);
	if (f->only_region != NULL && strcmp(f->only_region, n->region) != 0 &&
	    fleet_readable_for_us(f, f->regions_published_us) >
		FLEET_KEY_WITHDRAWN_US)
		fleet_fail(f, "call %s ran in %s, published is %s", c->marker,
		    n->region, f->only_region);
}

/* Whether the account has the key, or has lost it only lately. */
static bool
may_have_key(const struct fleet *f, const char *account)
{
	if (f->key_account != NULL && strcmp(account, f->key_account) == 0)
		return true;
	return strcmp(account, "a") == 0 &&
	       (f->key_account == NULL ||
		   f->now_us - f->key_moved_us <= FLEET_KEY_WITHDRAWN_US);
}

static void
check_run(
    struct fleet *f, int node, const struct ir_run *r, struct fleet_call *c)
{
	struct fleet_node *n = &f->nodes[node];

	c->runs++;
	c->last_run_us = f->now_us;
	if (!c->idempotent && c->runs > 1)
		fleet_fail(f, "non-idempotent call %s ran %d times", c->marker,
		    c->runs);
	if (c->answers != 0 &&
	    ir_error_info(c->answer.error)->outcome == IR_OUTCOME_NOT_RUN)
		fleet_fail(
		    f, "call %s ran after the answer not-run", c->marker);
	if (c->needs_key && !c->has_key)
		fleet_fail(f, "call %s ran without a key", c->marker);
	if (c->needs_key && !may_have_key(f, r->account))
		fleet_fail(
		    f, "call %s ran for account '%s'", c->marker, r->account);
	if (c->needs_key && !f->key_published &&
	    fleet_readable_for_us(f, f->key_withdrawal_readable_us) >
		FLEET_KEY_WITHDRAWN_US)
		fleet_fail(f,
		    "call %s ran %lld ms after its key was withdrawn; %d "
		    "hosts can read the store",
		    c->marker,
		    (long long)(f->now_us - f->key_withdrawn_us) / 1000,
		    fleet_store_readers(f));
	if (n->leaving &&
	    fleet_readable_for_us(f, n->leaving_readable_since_us) >
		FLEET_LEAVING_US + f->max_list_lag_us)
		fleet_fail(f,
		    "call %s ran on leaving host %s; %d hosts can read the "
		    "store",
		    c->marker, n->name, fleet_store_readers(f));
	if (c->required_region != NULL &&
	    strcmp(c->required_region, n->region) != 0)
		fleet_fail(f, "call %s ran in %s instead of %s", c->marker,
		    n->region, c->required_region);
	check_account_region(f, n, c);
	if (ir_view_zone_is_evacuated(node_view(n->node), n->zone))
		fleet_fail(f, "call %s ran on %s, whose view evacuates %s",
		    c->marker, n->name, n->zone);
	if (fleet_evacuated_for_us(f, n->zone) >
	    FLEET_EVACUATED_US + f->max_list_lag_us)
		fleet_fail(f,
		    "call %s ran on %s of evacuated zone %s; %d hosts can "
		    "read the store",
		    c->marker, n->name, n->zone, fleet_store_readers(f));
	if (r->remaining_ms > IR_MAX_DEADLINE_MS)
		fleet_fail(f, "call %s ran after its deadline", c->marker);
	if (strstr(r->path, fleet_key) != NULL ||
	    strstr(r->attempt, fleet_key) != NULL)
		fleet_fail(f, "upstream of %s received the key", n->name);
}

static void
make_egress_call(struct fleet *f, int node, const struct ir_run *r,
    const struct fleet_call *parent, uint64_t run)
{
	struct fleet_call *c = &f->calls[f->call_count];
	struct ir_call in = {0};
	char path[64];

	if (f->call_count >= FLEET_MAX_CALLS)
		return;
	*c = (struct fleet_call){0};
	c->id = (run << 20 | (uint64_t)node << 16) + 1000000;
	c->node = node;
	c->egress = true;
	c->parent_run = run;
	c->required_region = parent->required_region;
	c->parent_incarnation = f->nodes[node].incarnation;
	(void)snprintf(
	    c->parent_marker, sizeof(c->parent_marker), "%s", parent->marker);
	c->needs_key = parent->needs_key;
	c->has_key = parent->has_key;
	c->idempotent = parent->idempotent;
	c->sent_us = f->now_us;
	c->deadline_us = f->now_us + r->remaining_ms * IR_US_PER_MS;
	(void)snprintf(c->marker, sizeof(c->marker), "m%d", f->call_count);
	f->call_count++;
	in.id = c->id;
	in.egress = true;
	in.parent_attempt = r->attempt;
	in.service = f->nodes[node].callee_service;
	in.method = r->method;
	(void)snprintf(path, sizeof(path), "%.*s/%s",
	    (int)strcspn(r->path + 1, "/") + 1, r->path, c->marker);
	in.path = path;
	ir_node_call(f->nodes[node].node, f->now_us, &in);
}

static void
schedule_run_end(struct fleet *f, int node, uint64_t run, const char *marker,
    uint16_t status)
{
	struct fleet_node *n = &f->nodes[node];
	struct fleet_event *ev;

	if (n->upstream_mode == UPSTREAM_HANGS)
		return;
	ev = fleet_event(
	    f, EVENT_RUN_ENDED, node, f->now_us + n->run_duration_us);
	ev->run = run;
	ev->result.status = status;
	ev->result.end = n->upstream_mode == UPSTREAM_BREAKS_CONNECTION
			     ? IR_RUN_BROKEN
			     : IR_RUN_ANSWERED;
	(void)snprintf(ev->marker, sizeof(ev->marker), "%s", marker);
	fleet_schedule(f, ev);
}

static void
schedule_unrun_end(struct fleet *f, int node, uint64_t run, enum ir_run_end end)
{
	struct fleet_event *ev =
	    fleet_event(f, EVENT_RUN_ENDED, node, f->now_us + f->delay_us);

	ev->run = run;
	ev->result.end = end;
	if (f->nodes[node].upstream_mode == UPSTREAM_IS_ANOTHER)
		ev->result.status = HTTP_MISDIRECTED;
	fleet_schedule(f, ev);
}

/* The upstream ends, and with it all its runs. */
static void
crash_upstream(struct fleet *f, int node, uint64_t run)
{
	struct fleet_node *n = &f->nodes[node];
	struct fleet_event *ev, *tmp;

	n->crashes++;
	n->upstream_down_until_us = f->now_us + FLEET_UPSTREAM_RESTART_US;
	DL_FOREACH_SAFE (f->events, ev, tmp) {
		if (ev->kind != EVENT_RUN_ENDED || ev->node != node)
			continue;
		schedule_unrun_end(f, node, ev->run, IR_RUN_UPSTREAM_ENDED);
		DL_DELETE(f->events, ev);
		talloc_free(ev);
	}
	schedule_unrun_end(f, node, run, IR_RUN_UPSTREAM_ENDED);
}

/* The call that a run is of: its marker ends the path or is its attempt id. */
static struct fleet_call *
find_call_of_run(struct fleet *f, const struct ir_run *r)
{
	const char *end = strrchr(r->path, '/');

	if (r->caller_attempt != NULL && r->caller_attempt[0] != '\0')
		return fleet_find_call(f, r->caller_attempt);
	return end != NULL ? fleet_find_call(f, end + 1) : NULL;
}

/* Whether a cold upstream got more than the bound in the last second. */
static bool
is_over_cold_bound(const struct fleet *f, int node)
{
	int count = 0;

	if (f->now_us >= f->nodes[node].cold_until_us)
		return false;
	for (int i = f->run_count - 1; i >= 0; i--) {
		if (f->runs[i].at_us <= f->now_us - IR_US_PER_S)
			break;
		count += f->runs[i].node == node;
	}
	return count > (int)f->cold_rate_per_s * 3 / 2 + FLEET_COLD_SLACK;
}

static void
op_check_upstream(void *ctx, const char *path)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;

	n->checks++;
	fleet_schedule(f, fleet_event(f, EVENT_CHECKED, (int)(n - f->nodes),
			      f->now_us + f->check_us));
}

void
fleet_deliver_check(struct fleet *f, struct fleet_event *ev)
{
	struct fleet_node *n = &f->nodes[ev->node];
	struct ir_check_result res = {
	    .answered = true, .status = 200, .upstream_id = ""};

	if (!n->alive)
		return;
	if (f->now_us < n->cold_until_us)
		res.cold_remaining_ms =
		    (uint32_t)((n->cold_until_us - f->now_us) / IR_US_PER_MS) +
		    1;
	if (n->checks_fail || n->upstream_mode == UPSTREAM_HANGS ||
	    f->now_us < n->upstream_down_until_us)
		ir_node_upstream_checked(n->node, f->now_us, NULL);
	else
		ir_node_upstream_checked(n->node, f->now_us, &res);
}

static void
op_run(void *ctx, const struct ir_run *r)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;
	int node = (int)(n - f->nodes);
	struct fleet_call *c = find_call_of_run(f, r);
	struct fleet_event *ev;
	bool calls;

	if (c == NULL) {
		fleet_fail(f, "run with unexpected path %s", r->path);
		return;
	}
	fleet_report_step(f, STEP_RUN_STARTED, node, -1, 0);
	if (!n->alive)
		return;
	if (f->now_us < n->upstream_down_until_us) {
		schedule_unrun_end(f, node, r->id, IR_RUN_NOT_CONNECTED);
		return;
	}
	if (n->upstream_mode == UPSTREAM_DROPS_CONNECTIONS) {
		schedule_unrun_end(f, node, r->id, IR_RUN_CONNECTION_LIMIT);
		return;
	}
	c->upstream_attempts++;
	if (f->run_count < FLEET_MAX_ATTEMPTS)
		f->runs[f->run_count++] = (struct fleet_run){.node = node,
		    .caller_node = c->node,
		    .call = (int)(c - f->calls),
		    .at_us = f->now_us};
	record_run_start(f, node, r->attempt);
	if (n->upstream_mode == UPSTREAM_SHEDS ||
	    n->upstream_mode == UPSTREAM_IS_ANOTHER) {
		schedule_unrun_end(f, node, r->id, IR_RUN_SHED);
		return;
	}
	check_run(f, node, r, c);
	if (strstr(r->path, fleet_deadly) != NULL ||
	    is_over_cold_bound(f, node)) {
		crash_upstream(f, node, r->id);
		return;
	}
	calls = n->callee_service != NULL && (!c->egress || n->calls_in_egress);
	if (!calls)
		schedule_run_end(f, node, r->id, c->marker, 200);
	if (calls) {
		ev = fleet_event(f, EVENT_EGRESS_CALL, node, f->now_us);
		ev->run = r->id;
		ev->parent_call = (int)(c - f->calls);
		ev->run_copy = *r;
		(void)snprintf(
		    ev->attempt, sizeof(ev->attempt), "%s", r->attempt);
		(void)snprintf(ev->path, sizeof(ev->path), "%s", r->path);
		(void)snprintf(ev->method, sizeof(ev->method), "%s", r->method);
		fleet_schedule(f, ev);
	}
}

void
fleet_deliver_egress(struct fleet *f, struct fleet_event *ev)
{
	fleet_report_step(f, STEP_EGRESS_CALL, ev->node, -1, 0);
	if (!f->nodes[ev->node].alive)
		return;
	ev->run_copy.attempt = ev->attempt;
	ev->run_copy.path = ev->path;
	ev->run_copy.method = ev->method;
	make_egress_call(
	    f, ev->node, &ev->run_copy, &f->calls[ev->parent_call], ev->run);
}

static void
add_answer_header(struct fleet_event *ev, const char *name, const char *value)
{
	struct ir_header *h = &ev->headers[ev->result.header_count++];

	h->name = ir_unconst(name);
	h->value = ir_unconst(value);
}

static void
add_statement(
    const struct fleet *f, struct fleet_node *n, struct fleet_event *ev)
{
	ev->result.headers = ev->headers;
	if (n->rate_limit != NULL) {
		add_answer_header(ev, FLEET_LIMIT_HEADER, n->rate_limit);
		if (n->first_limit_us == 0)
			n->first_limit_us = f->now_us;
	}
	if (n->load_report != NULL)
		add_answer_header(ev, FLEET_LOAD_HEADER, n->load_report);
	if (n->says_leaving) {
		add_answer_header(ev, FLEET_LEAVING_HEADER, "1");
		if (n->first_leaving_us == 0)
			n->first_leaving_us = f->now_us;
	}
}

void
fleet_deliver_run_end(struct fleet *f, struct fleet_event *ev)
{
	struct fleet_node *n = &f->nodes[ev->node];

	fleet_report_step(f, STEP_RUN_ENDED, ev->node, -1, 0);
	if (!n->alive || f->now_us < n->paused_until_us)
		return;
	ev->result.body = (const uint8_t *)ev->marker;
	ev->result.body_bytes = strlen(ev->marker);
	if (ev->result.end == IR_RUN_ANSWERED)
		add_statement(f, n, ev);
	ir_node_run_ended(n->node, f->now_us, ev->run, &ev->result);
}

static void
op_cancel_run(void *ctx, uint64_t id)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;
	struct fleet_event *ev, *tmp;

	if (!n->alive)
		return;
	DL_FOREACH_SAFE (f->events, ev, tmp) {
		if (ev->kind == EVENT_RUN_ENDED && ev->run == id &&
		    ev->node == (int)(n - f->nodes) &&
		    ev->incarnation == n->incarnation) {
			DL_DELETE(f->events, ev);
			talloc_free(ev);
		}
	}
}

/* Callers. */

static struct fleet_call *
find_call_by_id(struct fleet *f, int node, uint64_t id)
{
	for (int i = f->call_count - 1; i >= 0; i--) {
		if (f->calls[i].id == id && f->calls[i].node == node)
			return &f->calls[i];
	}
	return NULL;
}

static void
check_answer(struct fleet *f, struct fleet_call *c, const struct ir_answer *a)
{
	bool not_run = ir_error_info(a->error)->outcome == IR_OUTCOME_NOT_RUN;

	if (c->answers > 1)
		fleet_fail(f, "call %s got %d answers", c->marker, c->answers);
	if (not_run && c->runs != 0)
		fleet_fail(f, "call %s ran and was answered not-run (%s)",
		    c->marker, ir_error_info(a->error)->name);
	if (a->error == IR_OK &&
	    (a->body_bytes != strlen(c->marker) ||
		memcmp(a->body, c->marker, a->body_bytes) != 0))
		fleet_fail(
		    f, "call %s got the answer of another call", c->marker);
	if (a->error == IR_OK && c->runs == 0 && !c->is_repeat)
		fleet_fail(
		    f, "call %s was answered but did not run", c->marker);
}

static void
op_answer(void *ctx, uint64_t id, const struct ir_answer *a)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;
	struct fleet_call *c = find_call_by_id(f, (int)(n - f->nodes), id);

	if (!n->alive)
		return;
	if (c == NULL) {
		fleet_fail(f, "answer to an unknown call");
		return;
	}
	c->answers++;
	c->answer = *a;
	c->answered_us = f->now_us;
	check_answer(f, c, a);
	if (c->egress && n->incarnation == c->parent_incarnation)
		schedule_run_end(f, c->node, c->parent_run, c->parent_marker,
		    n->fails_with_callee && a->error != IR_OK ? 500 : 200);
	fleet_report_step(f, STEP_CALLER_ANSWERED, (int)(n - f->nodes), -1, 0);
}

int
fleet_call(struct fleet *f, int node, const struct fleet_request *r)
{
	struct fleet_call *c = &f->calls[f->call_count];
	struct ir_call in = {0};
	char path[64];
	bool write = strcmp(r->route, "write") == 0;
	bool open = strcmp(r->route, "open") == 0;

	if (f->call_count >= FLEET_MAX_CALLS || !f->nodes[node].alive)
		return -1;
	*c = (struct fleet_call){0};
	c->id = (uint64_t)f->call_count + 1;
	c->node = node;
	c->needs_key = !open;
	c->required_region = f->required_region;
	c->has_key = r->with_key;
	c->is_repeat = r->repeat_of != 0;
	c->idempotent = !write;
	c->sent_us = f->now_us;
	c->deadline_us =
	    f->now_us +
	    (r->deadline_ms != 0 ? r->deadline_ms : 5000) * IR_US_PER_MS;
	c->retries = open ? 1 : 2;
	f->retries_allowed += c->retries;
	(void)snprintf(c->marker, sizeof(c->marker), "m%d",
	    c->is_repeat ? r->repeat_of - 1 : f->call_count);
	f->call_count++;
	fleet_report_step(f, STEP_CALL_RECEIVED, node, -1, 0);
	if (!f->nodes[node].alive)
		return f->call_count - 1;
	(void)snprintf(path, sizeof(path), "/%s/%s", r->route,
	    r->path_end != NULL ? r->path_end : c->marker);
	in.caller_attempt = r->path_end != NULL ? c->marker : NULL;
	in.id = c->id;
	in.service = f->authority == NULL ? r->service : NULL;
	in.authority = f->authority;
	in.method = write ? "POST" : "GET";
	in.path = path;
	in.key = r->with_key ? fleet_key : NULL;
	in.idempotency_key = r->idempotency_key;
	in.first_attempt = r->first_attempt;
	in.deadline_ms = r->deadline_ms;
	ir_node_call(f->nodes[node].node, f->now_us, &in);
	fleet_check_event(f);
	return (int)(c - f->calls);
}

void
fleet_abandon_call(struct fleet *f, int call)
{
	struct fleet_call *c = &f->calls[call];

	if (c->answers != 0 || c->abandoned)
		return;
	c->abandoned = true;
	ir_node_caller_disconnected(
	    f->nodes[c->node].node, f->now_us, c->id, "caller-closed");
}

static void
op_log(void *ctx, enum ir_event e, const char *fields)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;

	if (f->verbose)
		(void)fprintf(stderr, "%10lld %s %d %s %s\n",
		    (long long)f->now_us - 1000 * IR_US_PER_S, n->name, (int)e,
		    ir_event_info(e) != NULL ? ir_event_info(e)->name : "?",
		    fields);
}

const struct ir_node_ops fleet_ops = {
    .connect = fleet_op_connect,
    .close = fleet_op_close,
    .send = fleet_op_send,
    .run = op_run,
    .cancel_run = op_cancel_run,
    .answer = op_answer,
    .log = op_log,
    .check_upstream = op_check_upstream,
};
