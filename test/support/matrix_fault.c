/* Faults of the fault matrix, and its tasks. */
#include <string.h>

#include "support/matrix.h"

#define RATE_PER_S 200
#define BURST 100
#define RESTART_US (100 * IR_US_PER_MS)
#define PAUSE_US (3 * IR_US_PER_S)
#define DELAY_US (2 * IR_US_PER_S)
/* How long a host has no room for messages to peers. */
#define NO_ROOM_US (300 * IR_US_PER_MS)
#define ANSWER_DELIVERY_US (20 * IR_US_PER_MS)
#define SURGE_CALLS 60

static const char *const fault_names[FAULT_COUNT] = {
    [FAULT_NONE] = "none",
    [FAULT_KILL_ORIGIN] = "origin killed",
    [FAULT_KILL_GATE] = "gate killed",
    [FAULT_PAUSE_ORIGIN] = "origin paused",
    [FAULT_PAUSE_GATE] = "gate paused",
    [FAULT_CUT_TO_GATE] = "cut to the gate",
    [FAULT_CUT_TO_ORIGIN] = "cut to the origin",
    [FAULT_CUT_BOTH] = "cut both ways",
    [FAULT_SILENT_CONNECTION] = "connection silent",
    [FAULT_DELAY_MESSAGE] = "message delayed",
    [FAULT_DUPLICATE_MESSAGE] = "message doubled",
    [FAULT_LOSE_MESSAGE] = "message lost, closed",
    [FAULT_CROSS_ANSWERS] = "answers crossed",
    [FAULT_STORE_DOWN] = "store down",
    [FAULT_STORE_STALE] = "store stale",
    [FAULT_LIST_LAG] = "list lagging",
    [FAULT_KEY_WITHDRAWN] = "key withdrawn",
    [FAULT_RATE_LOWERED] = "rate lowered",
    [FAULT_RATE_RAISED] = "rate raised",
    [FAULT_SAME_GENERATION] = "one generation twice",
    [FAULT_OLD_GENERATION] = "older generation late",
    [FAULT_HOST_REPLACED] = "host replaced",
    [FAULT_UPSTREAM_SHEDS] = "upstream sheds",
    [FAULT_UPSTREAM_BREAKS] = "upstream breaks",
    [FAULT_UPSTREAM_HANGS] = "upstream hangs",
    [FAULT_HOST_LEAVES] = "host leaves",
    [FAULT_STOP_ORIGIN] = "origin stopped",
    [FAULT_STOP_GATE] = "gate stopped",
    [FAULT_REGION_CUT] = "regions cut",
    [FAULT_SURGE] = "demand surge",
    [FAULT_NO_ROOM_ORIGIN] = "origin has no room",
    [FAULT_NO_ROOM_GATE] = "gate has no room",
};

const char *
matrix_fault_name(enum matrix_fault fault)
{
	return fault_names[fault];
}

void
matrix_schedule_task(
    struct matrix *m, enum matrix_task_kind kind, int node, int64_t after_us)
{
	struct matrix_task *t = &m->tasks[m->task_count];

	if (m->task_count == MATRIX_MAX_TASKS)
		return;
	m->task_count++;
	*t = (struct matrix_task){kind, m->f->now_us + after_us, node, false};
}

static void
cut_regions(struct fleet *f, bool cut)
{
	for (int a = 0; a < f->node_count; a++) {
		for (int b = 0; b < f->node_count; b++) {
			if (strcmp(f->nodes[a].region, f->nodes[b].region) != 0)
				fleet_set_cut(f, a, b, cut);
		}
		if (strcmp(f->nodes[a].region, "r2") == 0)
			f->store_cut[a] = cut;
	}
}

static void
kill_node(struct matrix *m, int node)
{
	fleet_kill(m->f, node);
	matrix_schedule_task(m, TASK_START, node, RESTART_US);
}

static void
take_room(struct matrix *m, int node)
{
	m->f->nodes[node].no_room = true;
	matrix_schedule_task(m, TASK_MAKE_ROOM, node, NO_ROOM_US);
}

static void
publish_change(struct matrix *m, enum matrix_fault fault)
{
	struct fleet *f = m->f;
	bool key = f->key_published;

	switch (fault) {
	case FAULT_KEY_WITHDRAWN:
		fleet_publish_account(f, RATE_PER_S, BURST, false);
		break;
	case FAULT_RATE_LOWERED:
		fleet_publish_account(f, RATE_PER_S / 10, BURST / 10, key);
		break;
	case FAULT_RATE_RAISED:
		fleet_publish_account(f, RATE_PER_S * 2, BURST * 2, key);
		break;
	case FAULT_SAME_GENERATION:
		fleet_publish_account(f, RATE_PER_S / 2, BURST, key);
		fleet_publish_rate(
		    f, f->config_revision, RATE_PER_S, BURST / 2, key);
		break;
	default:
		fleet_publish_rate(
		    f, f->config_revision + 3, RATE_PER_S / 2, BURST, key);
		matrix_schedule_task(
		    m, TASK_PUBLISH_OLD, 0, 700 * IR_US_PER_MS);
		break;
	}
}

static void
inject_host_fault(
    struct matrix *m, enum matrix_fault fault, int origin, int gate)
{
	struct fleet *f = m->f;

	switch (fault) {
	case FAULT_KILL_ORIGIN:
		kill_node(m, origin);
		break;
	case FAULT_KILL_GATE:
		kill_node(m, gate);
		break;
	case FAULT_PAUSE_ORIGIN:
		fleet_pause(f, origin, PAUSE_US);
		break;
	case FAULT_PAUSE_GATE:
		fleet_pause(f, gate, PAUSE_US);
		break;
	case FAULT_HOST_REPLACED:
		if (!f->nodes[gate].alive)
			break;
		fleet_replace(f, gate);
		matrix_schedule_task(m, TASK_START, gate, RESTART_US);
		break;
	case FAULT_UPSTREAM_SHEDS:
		f->nodes[gate].upstream_mode = UPSTREAM_SHEDS;
		break;
	case FAULT_UPSTREAM_BREAKS:
		f->nodes[gate].upstream_mode = UPSTREAM_BREAKS_CONNECTION;
		break;
	case FAULT_UPSTREAM_HANGS:
		f->nodes[gate].upstream_mode = UPSTREAM_HANGS;
		break;
	case FAULT_HOST_LEAVES:
		fleet_publish_host(f, gate, "leaving");
		break;
	case FAULT_NO_ROOM_ORIGIN:
		take_room(m, origin);
		break;
	case FAULT_NO_ROOM_GATE:
		take_room(m, gate);
		break;
	case FAULT_STOP_ORIGIN:
		matrix_schedule_task(m, TASK_STOP, origin, 0);
		break;
	case FAULT_STOP_GATE:
		matrix_schedule_task(m, TASK_STOP, gate, 0);
		break;
	default:
		publish_change(m, fault);
		break;
	}
}

void
matrix_inject_fault(
    struct matrix *m, enum matrix_fault fault, int origin, int gate)
{
	struct fleet *f = m->f;

	switch (fault) {
	case FAULT_NONE:
		break;
	case FAULT_CUT_TO_GATE:
		fleet_set_cut(f, origin, gate, true);
		break;
	case FAULT_CUT_TO_ORIGIN:
		fleet_set_cut(f, gate, origin, true);
		break;
	case FAULT_CUT_BOTH:
		fleet_set_cut(f, origin, gate, true);
		fleet_set_cut(f, gate, origin, true);
		break;
	case FAULT_SILENT_CONNECTION:
		fleet_silence(f, origin, gate);
		break;
	case FAULT_DELAY_MESSAGE:
		m->message_delay_us = DELAY_US;
		break;
	case FAULT_DUPLICATE_MESSAGE:
		m->message_duplicate = true;
		break;
	case FAULT_LOSE_MESSAGE:
		m->message_lost = true;
		break;
	case FAULT_CROSS_ANSWERS:
		matrix_schedule_task(m, TASK_CROSS, MATRIX_ORIGIN, 0);
		break;
	case FAULT_STORE_DOWN:
		fleet_set_store_down(f, true);
		break;
	case FAULT_STORE_STALE:
		fleet_set_store_stale(f, true);
		break;
	case FAULT_LIST_LAG:
		fleet_set_list_lag(f, 3 * IR_US_PER_S / 2);
		break;
	case FAULT_REGION_CUT:
		cut_regions(f, true);
		break;
	case FAULT_SURGE:
		matrix_schedule_task(m, TASK_SURGE, MATRIX_ORIGIN, 0);
		break;
	default:
		inject_host_fault(m, fault, origin, gate);
		break;
	}
}

/* Calls that are unanswered now must end with a known outcome. */
static void
start_graceful_stop(struct matrix *m, int node)
{
	struct fleet *f = m->f;
	const struct ir_stop_times times = {f->now_us, INT64_MAX, INT64_MAX};

	if (!f->nodes[node].alive || m->stopping_count == 2)
		return;
	for (int i = 0; i < f->call_count; i++) {
		const struct fleet_call *c = &f->calls[i];

		if (!c->egress && !c->abandoned && c->answers == 0 &&
		    m->calls_at_stop_count < 64)
			m->calls_at_stop[m->calls_at_stop_count++] = i;
	}
	m->stopping[m->stopping_count++] = node;
	fleet_publish_host(f, node, "leaving");
	ir_node_stop(f->nodes[node].node, f->now_us, &times);
}

/* Ends a stopping node once it is idle and its answers were delivered. */
static void
end_stopped_nodes(struct matrix *m)
{
	struct fleet *f = m->f;

	for (int i = 0; i < m->stopping_count; i++) {
		int node = m->stopping[i];
		struct fleet_node *n;

		if (node < 0)
			continue;
		n = &f->nodes[node];
		if (!n->alive || !ir_node_is_idle(n->node)) {
			m->idle_since_us[i] = 0;
			continue;
		}
		if (m->idle_since_us[i] == 0)
			m->idle_since_us[i] = f->now_us;
		if (f->now_us < m->idle_since_us[i] + ANSWER_DELIVERY_US)
			continue;
		m->stopping[i] = -1;
		kill_node(m, node);
	}
}

/* Runs are made quick, so that a second request is answered first. */
static void
cross_answers(struct matrix *m)
{
	static const struct fleet_request r = {
	    "s", "write", true, NULL, false, 0, 0, NULL};

	for (int i = 0; i < m->f->node_count; i++)
		m->f->nodes[i].run_duration_us = IR_US_PER_MS;
	(void)fleet_call(m->f, MATRIX_ORIGIN, &r);
	m->message_delay_us = RESTART_US;
}

static void
send_surge(struct matrix *m)
{
	static const char *const routes[] = {"open", "read", "write"};
	struct fleet_request r = {"t", NULL, true, NULL, false, 0, 0, NULL};

	m->surge_first = m->f->call_count;
	for (int i = 0; i < 3 * SURGE_CALLS; i++) {
		r.route = routes[i % 3];
		(void)fleet_call(m->f, MATRIX_ORIGIN, &r);
	}
	m->surge_last = m->f->call_count;
}

static void
run_task(struct matrix *m, const struct matrix_task *t)
{
	struct fleet *f = m->f;

	switch (t->kind) {
	case TASK_START:
		if (!f->nodes[t->node].alive)
			fleet_start(f, t->node);
		break;
	case TASK_STOP:
		start_graceful_stop(m, t->node);
		break;
	case TASK_CROSS:
		cross_answers(m);
		break;
	case TASK_SURGE:
		send_surge(m);
		break;
	case TASK_ABANDON_CALL:
		if (f->nodes[t->node].alive)
			fleet_abandon_call(f, m->call);
		break;
	case TASK_MAKE_ROOM:
		f->nodes[t->node].no_room = false;
		break;
	case TASK_PUBLISH_OLD:
		fleet_publish_rate(f, f->config_revision + 1, RATE_PER_S / 4,
		    BURST, f->key_published);
		break;
	}
}

void
matrix_run_due_tasks(struct matrix *m)
{
	for (int i = 0; i < m->task_count; i++) {
		struct matrix_task *t = &m->tasks[i];

		if (t->done || m->f->now_us < t->at_us ||
		    m->f->now_us < m->f->nodes[t->node].paused_until_us)
			continue;
		t->done = true;
		run_task(m, t);
	}
	end_stopped_nodes(m);
}

void
matrix_remove_faults(struct matrix *m)
{
	struct fleet *f = m->f;

	for (int a = 0; a < f->node_count; a++) {
		for (int b = 0; b < f->node_count; b++)
			f->cut[a][b] = false;
		f->store_cut[a] = false;
		f->nodes[a].upstream_mode = UPSTREAM_OK;
		f->nodes[a].no_room = false;
	}
	fleet_set_store_down(f, false);
	fleet_set_store_stale(f, false);
	fleet_set_list_lag(f, 0);
	fleet_publish_rate(
	    f, f->config_revision + 10, RATE_PER_S, BURST, f->key_published);
}
