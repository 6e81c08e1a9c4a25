/* What the local upstream says of itself, and what the gate does about it. */
#include <stdio.h>
#include <string.h>

#include "core/internal.h"

#define HTTP_MISDIRECTED 421
/* Runs that try whether an upstream that ended accepts connections again. */
#define TRIAL_RATE_MT_PER_S 5000

static void
apply_to_gate(struct ir_node *n, int64_t now)
{
	const struct ir_statement *s = &n->upstream.status.said;
	uint64_t rate = s->limited ? s->rate_mt_per_s : UINT64_MAX;

	if (n->upstream.ended && rate > TRIAL_RATE_MT_PER_S)
		rate = TRIAL_RATE_MT_PER_S;
	if (ir_cold_start_limits(&n->upstream.cold) &&
	    rate > n->upstream.cold.rate_mt_per_s)
		rate = n->upstream.cold.rate_mt_per_s;
	if (rate == UINT64_MAX)
		ir_gate_clear_rate_cap(n->gate);
	else
		ir_gate_set_rate_cap(n->gate, now, rate);
}

static void
set_ended(struct ir_node *n, int64_t now, bool ended)
{
	if (n->upstream.ended == ended)
		return;
	n->upstream.ended = ended;
	apply_to_gate(n, now);
	if (!ended)
		ir_gate_begin_ramp(n->gate, now);
}

bool
local_upstream_is_cold(const struct ir_node *n)
{
	return ir_cold_start_limits(&n->upstream.cold);
}

int64_t
local_upstream_cold_remaining_ms(const struct ir_node *n, int64_t now)
{
	const struct ir_cold_start *c = &n->upstream.cold;

	if (ir_cold_start_state(c) != IR_COLD_UNTIL || c->until_us <= now)
		return 0;
	return (c->until_us - now) / IR_US_PER_MS;
}

/* Applies and logs a change of the upstream's state; sends a check if due. */
static void
follow_cold(struct ir_node *n, int64_t now, const char *cause)
{
	struct local_upstream *u = &n->upstream;
	enum ir_cold_state state = ir_cold_start_state(&u->cold);
	enum ir_cold_state before = u->cold_state;

	u->cold_state = state;
	if (state != before) {
		node_log(n, IR_EVENT_UPSTREAM_COLD,
		    "state=%s cause=%s remaining_ms=%lld rate_mt_per_s=%llu",
		    ir_cold_state_name(state), cause,
		    (long long)local_upstream_cold_remaining_ms(n, now),
		    (unsigned long long)u->cold.rate_mt_per_s);
		apply_to_gate(n, now);
	}
	if (state != IR_COLD_WARM && before == IR_COLD_WARM)
		ir_gate_hold_rate_cap(n->gate, now);
	if (state == IR_COLD_WARM && before != IR_COLD_WARM)
		ir_gate_begin_ramp(n->gate, now);
	if (!ir_cold_start_check_due(&u->cold, now))
		return;
	ir_cold_start_check_sent(&u->cold, now);
	ir_counters_add(&n->counters, IR_COUNTER_STATUS_CHECKS, 1);
	n->ops.check_upstream(n->ctx,
	    ir_view_service(node_view(n), n->settings.service)->check_path);
}

void
local_upstream_init(struct ir_node *n, int64_t now)
{
	ir_cold_start_init(&n->upstream.cold, now);
	if (n->gate == NULL || !n->settings.ramp || n->settings.baseline_policy)
		return;
	ir_gate_enable_ramp(n->gate);
	ir_gate_begin_ramp(n->gate, now);
}

void
local_upstream_run_started(struct ir_node *n, int64_t now)
{
	ir_cold_start_run_started(&n->upstream.cold, now);
}

void
local_upstream_run_dropped(
    struct ir_node *n, int64_t now, const struct ir_record *r)
{
	ir_cold_start_run_ended(
	    &n->upstream.cold, now, r->work.started_us, IR_COLD_RUN_DROPPED);
	follow_cold(n, now, "runs");
}

/* Passes the reported slots and present speed on to the gate. */
static void
apply_report(struct ir_node *n, int64_t now)
{
	const struct ir_upstream_load *l = &n->upstream.load;

	if (n->settings.baseline_policy)
		return;
	ir_gate_set_report(n->gate, ir_upstream_load_slots(l),
	    ir_upstream_load_slowdown(l, now));
}

void
local_upstream_tick(struct ir_node *n, int64_t now)
{
	struct ir_load l = ir_gate_load(n->gate, now, "");

	apply_report(n, now);
	ir_cold_start_tick(&n->upstream.cold, now, ir_load_service_time_us(&l));
	follow_cold(
	    n, now, n->upstream.cold_state == IR_COLD_WARM ? "runs" : "time");
}

/* Whether an answer with this id is of the upstream that is listed. */
static bool
is_listed_upstream(struct ir_node *n, const char *id)
{
	const struct ir_host *self = node_self(n);

	return id[0] == '\0' || self == NULL || self->upstream_id[0] == '\0' ||
	       strcmp(self->upstream_id, id) == 0;
}

/* This status and higher ones mean that the upstream failed. */
#define MIN_FAILED_STATUS 500

void
local_upstream_checked(
    struct ir_node *n, int64_t now, const struct ir_check_result *res)
{
	struct ir_cold_start *c = &n->upstream.cold;

	if (res == NULL || !res->answered ||
	    (res->status >= MIN_FAILED_STATUS && res->cold_remaining_ms == 0))
		ir_cold_start_check_failed(c, now);
	else
		ir_cold_start_check_answered(c, now, res->cold_remaining_ms,
		    is_listed_upstream(n, res->upstream_id));
	follow_cold(n, now, "check");
	/* Work that waited may start. */
	ir_gate_tick(n->gate, now);
}

static enum ir_cold_run_end
cold_run_end(const struct ir_run_result *res)
{
	switch (res->end) {
	case IR_RUN_ANSWERED:
	case IR_RUN_SHED:
		return IR_COLD_RUN_ANSWERED;
	case IR_RUN_BROKEN:
		return IR_COLD_RUN_BROKEN;
	case IR_RUN_NOT_CONNECTED:
	case IR_RUN_UPSTREAM_ENDED:
		return IR_COLD_RUN_REFUSED;
	default:
		return IR_COLD_RUN_DROPPED;
	}
}

static void
follow_run_end(struct ir_node *n, int64_t now, const struct ir_record *r,
    const struct ir_run_result *res)
{
	struct local_upstream *u = &n->upstream;

	ir_cold_start_run_ended(
	    &u->cold, now, r->work.started_us, cold_run_end(res));
	/* Another upstream has started, and is not listed yet. */
	if (res->end == IR_RUN_SHED && res->status == HTTP_MISDIRECTED &&
	    !u->misdirected) {
		u->misdirected = true;
		ir_cold_start_suspect(&u->cold, now);
		follow_cold(n, now, "misdirected");
	}
	follow_cold(n, now, "runs");
}

/* Follows whether the upstream has ended, or has started again. */
static void
follow_end(struct ir_node *n, int64_t now, const struct ir_record *r,
    const struct ir_run_result *res)
{
	switch (res->end) {
	case IR_RUN_UPSTREAM_ENDED:
		n->upstream.ended_us = now;
		set_ended(n, now, true);
		break;
	case IR_RUN_SHED:
		/*
		 * The listed upstream has ended: another one has its address.
		 * It refuses at once, and would seem to be the fastest.
		 */
		if (res->status == HTTP_MISDIRECTED) {
			n->upstream.ended_us = now;
			set_ended(n, now, true);
			break;
		}
		/* FALLTHROUGH */
	case IR_RUN_ANSWERED:
	case IR_RUN_BROKEN:
		if (r->work.started_us > n->upstream.ended_us)
			set_ended(n, now, false);
		break;
	default:
		break;
	}
}

static void
log_statement(struct ir_node *n, const char *source)
{
	const struct ir_statement *s = &n->upstream.status.said;

	node_log(n, IR_EVENT_UPSTREAM_STATEMENT,
	    "source=%s limited=%d rate_mt_per_s=%llu leaving=%d", source,
	    s->limited, (unsigned long long)s->rate_mt_per_s, s->leaving);
}

/* Takes the report of its own load from an answer of the upstream. */
static void
read_load_report(struct ir_node *n, int64_t now, const struct ir_record *r,
    const struct ir_run_result *res)
{
	struct ir_upstream_load *l = &n->upstream.load;
	enum ir_load_report_change change;
	bool refused;

	/* Another upstream than the one listed has answered. */
	if (res->status == HTTP_MISDIRECTED)
		return;
	change = ir_upstream_load_answered(l, now,
	    n->settings.statement_headers.load, res->headers, res->header_count,
	    &refused);
	if (refused)
		ir_counters_add(
		    &n->counters, IR_COUNTER_LOAD_REPORTS_REFUSED, 1);
	if (change != IR_LOAD_REPORT_SAME)
		node_log(n, IR_EVENT_UPSTREAM_REPORTS,
		    "attempt=%s speed=%d slots=%u work_percent=%u",
		    r->attempt_text, l->reports_speed, l->report.slots,
		    l->report.work_percent);
	apply_report(n, now);
}

void
local_upstream_run_ended(struct ir_node *n, int64_t now,
    const struct ir_record *r, const struct ir_run_result *res)
{
	struct ir_statement s;

	follow_end(n, now, r, res);
	follow_run_end(n, now, r, res);
	if (res->end != IR_RUN_ANSWERED && res->end != IR_RUN_SHED)
		return;
	/* A run that started earlier may have been another upstream's. */
	if (r->work.started_us < n->upstream.since_us)
		return;
	n->upstream.answered = true;
	read_load_report(n, now, r, res);
	s = ir_statement_read(
	    &n->settings.statement_headers, res->headers, res->header_count);
	if (!ir_upstream_status_apply(
		&n->upstream.status, now, r->work.started_us, &s))
		return;
	log_statement(n, r->attempt_text);
	apply_to_gate(n, now);
}

/* Follows what the view says of the service and this host. */
static void
follow_cold_in_view(
    struct ir_node *n, int64_t now, const struct ir_host *self, bool new_id)
{
	const struct ir_service *s =
	    ir_view_service(node_view(n), n->settings.service);
	struct local_upstream *u = &n->upstream;
	bool on = n->settings.cold_starts && !n->settings.baseline_policy &&
		  s != NULL;

	ir_cold_start_configure(&u->cold, now, on ? s->cold_rate_mt_per_s : 0,
	    on && s->check_path != NULL && n->ops.check_upstream != NULL);
	follow_cold(n, now, "config");
	if (self == NULL)
		return;
	if (new_id) {
		u->misdirected = false;
		ir_cold_start_suspect(&u->cold, now);
		follow_cold(n, now, "upstream-id");
	}
	if (u->evacuated && !self->evacuated) {
		ir_cold_start_suspect(&u->cold, now);
		follow_cold(n, now, "evacuation-end");
	}
	u->evacuated = self->evacuated;
	ir_cold_start_set_listed(&u->cold, now, self->cold);
	follow_cold(n, now, "host-list");
}

void
local_upstream_view_changed(
    struct ir_node *n, int64_t now, const struct ir_host *self)
{
	struct local_upstream *u = &n->upstream;
	bool new_id = self != NULL && strcmp(self->upstream_id, u->id) != 0;

	follow_cold_in_view(n, now, self, new_id);
	if (!new_id)
		return;
	(void)snprintf(u->id, sizeof(u->id), "%s", self->upstream_id);
	u->since_us = now;
	u->answered = false;
	u->ended = false;
	memset(&u->status, 0, sizeof(u->status));
	memset(&u->load, 0, sizeof(u->load));
	apply_report(n, now);
	apply_to_gate(n, now);
	ir_gate_begin_ramp(n->gate, now);
}

/* Whether the notice is of the upstream listed now, or none is known yet. */
static bool
is_of_this_upstream(struct ir_node *n, const struct ir_upstream_notice *notice)
{
	const struct ir_host *self = node_self(n);

	return self == NULL ||
	       strcmp(self->upstream_id, notice->upstream_id) == 0;
}

void
local_upstream_handle_notice(
    struct ir_node *n, int64_t now, const struct ir_upstream_notice *notice)
{
	struct local_upstream *u = &n->upstream;
	struct ir_statement s = {.limited = notice->limited,
	    .rate_mt_per_s = notice->rate_mt_per_s,
	    .leaving = notice->leaving};

	/* What this process has heard itself is newer. */
	if (u->answered || !is_of_this_upstream(n, notice))
		return;
	(void)snprintf(u->id, sizeof(u->id), "%s", notice->upstream_id);
	if (!ir_upstream_status_apply(&u->status, now, now, &s))
		return;
	log_statement(n, "notice");
	apply_to_gate(n, now);
}

bool
local_upstream_is_leaving(const struct ir_node *n, int64_t now)
{
	return ir_upstream_status_leaving(&n->upstream.status, now);
}
