/* Steps of the fault matrix, and how an event of the fleet is told as one. */
#include "support/matrix.h"

const struct matrix_step matrix_steps[] = {
    {"call accepted", STEP_CALL, 0, SIDE_ORIGIN, PREPARE_NOTHING, false},
    {"token asked", STEP_SENT, IR_MSG_GRANT_REQUEST, SIDE_ANY, PREPARE_NOTHING,
	false},
    {"token ask received", STEP_RECEIVED, IR_MSG_GRANT_REQUEST, SIDE_ANY,
	PREPARE_NOTHING, false},
    {"token given", STEP_SENT, IR_MSG_GRANT, SIDE_ANY, PREPARE_NOTHING, true},
    {"token received", STEP_RECEIVED, IR_MSG_GRANT, SIDE_ANY, PREPARE_NOTHING,
	false},
    {"forward sent", STEP_SENT, IR_MSG_FORWARD, SIDE_ORIGIN, PREPARE_NOTHING,
	true},
    {"forward received", STEP_RECEIVED, IR_MSG_FORWARD, SIDE_ORIGIN,
	PREPARE_NOTHING, false},
    {"run started", STEP_RUN, 0, SIDE_GATE, PREPARE_NOTHING, true},
    {"egress call made", STEP_EGRESS, 0, SIDE_GATE, PREPARE_NOTHING, false},
    {"egress forward sent", STEP_SENT, IR_MSG_FORWARD, SIDE_GATE,
	PREPARE_NOTHING, false},
    {"egress call answered", STEP_ANSWERED, 0, SIDE_GATE, PREPARE_NOTHING,
	false},
    {"upstream answered", STEP_RAN, 0, SIDE_GATE, PREPARE_NOTHING, false},
    {"answer sent", STEP_SENT, IR_MSG_ANSWER, SIDE_ORIGIN, PREPARE_NOTHING,
	true},
    {"answer received", STEP_RECEIVED, IR_MSG_ANSWER, SIDE_ORIGIN,
	PREPARE_NOTHING, false},
    {"answered to the caller", STEP_ANSWERED, 0, SIDE_ORIGIN, PREPARE_NOTHING,
	false},
    {"status asked", STEP_SENT, IR_MSG_STATUS, SIDE_ORIGIN, PREPARE_CLOSE,
	false},
    {"status received", STEP_RECEIVED, IR_MSG_STATUS, SIDE_ORIGIN,
	PREPARE_CLOSE, false},
    {"status answered", STEP_SENT, IR_MSG_STATUS_REPLY, SIDE_ORIGIN,
	PREPARE_CLOSE, false},
    {"cancel sent", STEP_SENT, IR_MSG_CANCEL, SIDE_ORIGIN, PREPARE_GONE, false},
    {"cancel received", STEP_RECEIVED, IR_MSG_CANCEL, SIDE_ORIGIN, PREPARE_GONE,
	false},
    {"view asked", STEP_SENT, IR_MSG_VIEW_REQUEST, SIDE_ANY, PREPARE_CUT_OFF,
	false},
    {"view answered", STEP_SENT, IR_MSG_VIEW, SIDE_ANY, PREPARE_CUT_OFF, false},
    {"view read from the store", STEP_STORE_READ, 0, SIDE_ANY, PREPARE_NOTHING,
	false},
    {"drain announced", STEP_STORE_READ, 0, SIDE_ANY, PREPARE_DRAIN, false},
    {"handover sent", STEP_SENT, IR_MSG_HANDOVER, SIDE_ANY, PREPARE_DRAIN,
	true},
    {"handover received", STEP_RECEIVED, IR_MSG_HANDOVER, SIDE_ANY,
	PREPARE_DRAIN, false},
    {"heartbeat sent", STEP_SENT, IR_MSG_HEARTBEAT, SIDE_ORIGIN,
	PREPARE_NOTHING, false},
};

const int matrix_step_count = sizeof(matrix_steps) / sizeof(matrix_steps[0]);

/* Even kinds are replies: their origin is the receiver. */
static void
ends(const struct matrix *m, const struct fleet_event_at *at, int *origin,
    int *end)
{
	bool sent = at->step == STEP_SENT;
	bool reply = at->kind % 2 == 0;

	if (at->other < 0) {
		*origin = at->node;
		*end = m->gate >= 0 ? m->gate : 1;
		if (at->node == *end)
			*origin = MATRIX_ORIGIN;
		return;
	}
	*origin = sent != reply ? at->node : at->other;
	*end = sent != reply ? at->other : at->node;
}

static bool
is_step(const struct matrix *m, const struct fleet_event_at *at, int origin)
{
	const struct matrix_step *s = m->step;

	if (at->step != s->step || (s->kind != 0 && s->kind != (int)at->kind))
		return false;
	switch (s->side) {
	case SIDE_ORIGIN:
		return origin == MATRIX_ORIGIN &&
		       (at->other >= 0 || at->node == MATRIX_ORIGIN);
	case SIDE_GATE:
		return m->gate >= 0 &&
		       (at->other >= 0 ? origin : at->node) == m->gate;
	default:
		return true;
	}
}

static void
prepare(struct matrix *m, const struct fleet_event_at *at)
{
	if (m->prepared || at->step != STEP_RUN || at->node != m->gate)
		return;
	if (m->step->prepare == PREPARE_CLOSE)
		fleet_close(m->f, MATRIX_ORIGIN, m->gate);
	else if (m->step->prepare == PREPARE_GONE)
		matrix_task(m, TASK_GONE, MATRIX_ORIGIN, 0);
	m->prepared = true;
}

/* Faults of one message hit the next one that is sent between the ends. */
static void
disturb_message(struct matrix *m, const struct fleet_event_at *at)
{
	if (at->step != STEP_SENT ||
	    !((at->node == m->origin && at->other == m->end) ||
		(at->node == m->end && at->other == m->origin)))
		return;
	m->f->next_delay_us = m->message_delay_us;
	m->f->next_duplicate = m->message_duplicate;
	if (m->message_drop)
		fleet_close(m->f, at->node, at->other);
	m->message_delay_us = 0;
	m->message_duplicate = false;
	m->message_drop = false;
}

void
matrix_hook(struct fleet *f, const struct fleet_event_at *at)
{
	struct matrix *m = f->hook_ctx;
	int origin, end;

	if (m->call < 0)
		return;
	if (m->gate < 0 && at->step == STEP_SENT &&
	    at->kind == IR_MSG_FORWARD && at->node == MATRIX_ORIGIN)
		m->gate = at->other;
	ends(m, at, &origin, &end);
	if (m->fired == 1 && m->faults[1] != FAULT_NONE &&
	    (origin == m->origin || end == m->end) && origin != end) {
		m->fired = 2;
		matrix_place(m, m->faults[1], origin, end);
	} else if (m->fired == 0 && is_step(m, at, origin)) {
		m->fired = 1;
		m->fired_us = f->now_us;
		m->origin = origin;
		m->end = end;
		matrix_place(m, m->faults[0], origin, end);
	}
	prepare(m, at);
	disturb_message(m, at);
}
