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
		/* Of another upstream: the list does not show it yet. */
		if (res->status == HTTP_MISDIRECTED)
			break;
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

void
local_upstream_tick(struct ir_node *n, int64_t now)
{
	const struct ir_upstream_load *l = &n->upstream.load;

	if (n->settings.baseline_policy)
		return;
	ir_gate_set_report(n->gate, ir_upstream_load_slots(l),
	    ir_upstream_load_slowdown(l, now));
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
	local_upstream_tick(n, now);
}

void
local_upstream_run_ended(struct ir_node *n, int64_t now,
    const struct ir_record *r, const struct ir_run_result *res)
{
	struct ir_statement s;

	follow_end(n, now, r, res);
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

void
local_upstream_view_changed(
    struct ir_node *n, int64_t now, const struct ir_host *self)
{
	struct local_upstream *u = &n->upstream;

	if (self == NULL || strcmp(self->upstream_id, u->id) == 0)
		return;
	(void)snprintf(u->id, sizeof(u->id), "%s", self->upstream_id);
	u->since_us = now;
	u->answered = false;
	u->ended = false;
	memset(&u->status, 0, sizeof(u->status));
	memset(&u->load, 0, sizeof(u->load));
	local_upstream_tick(n, now);
	apply_to_gate(n, now);
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
