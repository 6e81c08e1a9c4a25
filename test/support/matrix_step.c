/* Steps of the fault matrix, and which events of the fleet match them. */
#include "support/matrix.h"

const struct matrix_step matrix_steps[] = {
    {"call accepted", STEP_CALL_RECEIVED, 0, SIDE_ORIGIN, PREPARE_NOTHING,
	false},
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
    {"run started", STEP_RUN_STARTED, 0, SIDE_GATE, PREPARE_NOTHING, true},
    {"egress call made", STEP_EGRESS_CALL, 0, SIDE_GATE, PREPARE_NOTHING,
	false},
    {"egress forward sent", STEP_SENT, IR_MSG_FORWARD, SIDE_GATE,
	PREPARE_NOTHING, false},
    {"egress call answered", STEP_CALLER_ANSWERED, 0, SIDE_GATE,
	PREPARE_NOTHING, false},
    {"upstream answered", STEP_RUN_ENDED, 0, SIDE_GATE, PREPARE_NOTHING, false},
    {"answer sent", STEP_SENT, IR_MSG_ANSWER, SIDE_ORIGIN, PREPARE_NOTHING,
	true},
    {"answer received", STEP_RECEIVED, IR_MSG_ANSWER, SIDE_ORIGIN,
	PREPARE_NOTHING, false},
    {"answered to the caller", STEP_CALLER_ANSWERED, 0, SIDE_ORIGIN,
	PREPARE_NOTHING, false},
    {"status asked", STEP_SENT, IR_MSG_STATUS, SIDE_ORIGIN, PREPARE_CLOSE_LINK,
	false},
    {"status received", STEP_RECEIVED, IR_MSG_STATUS, SIDE_ORIGIN,
	PREPARE_CLOSE_LINK, false},
    {"status answered", STEP_SENT, IR_MSG_STATUS_REPLY, SIDE_ORIGIN,
	PREPARE_CLOSE_LINK, false},
    {"cancel sent", STEP_SENT, IR_MSG_CANCEL, SIDE_ORIGIN, PREPARE_ABANDON_CALL,
	false},
    {"cancel received", STEP_RECEIVED, IR_MSG_CANCEL, SIDE_ORIGIN,
	PREPARE_ABANDON_CALL, false},
    {"view asked", STEP_SENT, IR_MSG_VIEW_REQUEST, SIDE_ANY, PREPARE_CUT_STORE,
	false},
    {"view answered", STEP_SENT, IR_MSG_VIEW, SIDE_ANY, PREPARE_CUT_STORE,
	false},
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

/* Messages of even kinds are replies: their receiver is the origin. */
static void
step_ends(const struct matrix *m, const struct fleet_step_event *ev,
    int *origin, int *gate)
{
	bool sent = ev->step == STEP_SENT;
	bool reply = ev->kind % 2 == 0;

	if (ev->peer < 0) {
		*origin = ev->node;
		*gate = m->gate >= 0 ? m->gate : 1;
		if (ev->node == *gate)
			*origin = MATRIX_ORIGIN;
		return;
	}
	*origin = sent != reply ? ev->node : ev->peer;
	*gate = sent != reply ? ev->peer : ev->node;
}

static bool
matches_step(
    const struct matrix *m, const struct fleet_step_event *ev, int origin)
{
	const struct matrix_step *s = m->step;

	if (ev->step != s->step || (s->kind != 0 && s->kind != (int)ev->kind))
		return false;
	switch (s->side) {
	case SIDE_ORIGIN:
		return origin == MATRIX_ORIGIN &&
		       (ev->peer >= 0 || ev->node == MATRIX_ORIGIN);
	case SIDE_GATE:
		return m->gate >= 0 &&
		       (ev->peer >= 0 ? origin : ev->node) == m->gate;
	default:
		return true;
	}
}

static void
prepare_step(struct matrix *m, const struct fleet_step_event *ev)
{
	if (m->prepared || ev->step != STEP_RUN_STARTED || ev->node != m->gate)
		return;
	if (m->step->prepare == PREPARE_CLOSE_LINK)
		fleet_close(m->f, MATRIX_ORIGIN, m->gate);
	else if (m->step->prepare == PREPARE_ABANDON_CALL)
		matrix_schedule_task(m, TASK_ABANDON_CALL, MATRIX_ORIGIN, 0);
	m->prepared = true;
}

/* Message faults apply to the next message between the ends of the step. */
static void
apply_message_fault(struct matrix *m, const struct fleet_step_event *ev)
{
	if (ev->step != STEP_SENT ||
	    !((ev->node == m->fault_origin && ev->peer == m->fault_gate) ||
		(ev->node == m->fault_gate && ev->peer == m->fault_origin)))
		return;
	m->f->next_delay_us = m->message_delay_us;
	m->f->next_duplicate = m->message_duplicate;
	if (m->message_lost)
		fleet_close(m->f, ev->node, ev->peer);
	m->message_delay_us = 0;
	m->message_duplicate = false;
	m->message_lost = false;
}

void
matrix_hook(struct fleet *f, const struct fleet_step_event *ev)
{
	struct matrix *m = f->hook_ctx;
	int origin, gate;

	if (m->call < 0)
		return;
	if (m->gate < 0 && ev->step == STEP_SENT &&
	    ev->kind == IR_MSG_FORWARD && ev->node == MATRIX_ORIGIN)
		m->gate = ev->peer;
	step_ends(m, ev, &origin, &gate);
	if (m->faults_placed == 1 && m->faults[1] != FAULT_NONE &&
	    (origin == m->fault_origin || gate == m->fault_gate) &&
	    origin != gate) {
		m->faults_placed = 2;
		matrix_inject_fault(m, m->faults[1], origin, gate);
	} else if (m->faults_placed == 0 && matches_step(m, ev, origin)) {
		m->faults_placed = 1;
		m->first_fault_us = f->now_us;
		m->fault_origin = origin;
		m->fault_gate = gate;
		matrix_inject_fault(m, m->faults[0], origin, gate);
	}
	prepare_step(m, ev);
	apply_message_fault(m, ev);
}
