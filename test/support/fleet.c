/* The simulated fleet: event queue, clock, connections and nodes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "contract/key.h"
#include "link/codec.h"
#include "support/fleet.h"
#include "support/fleet_priv.h"

const char fleet_key[] = "correct-horse-battery";

struct fleet *
fleet_create(TALLOC_CTX *mem, uint64_t seed)
{
	struct fleet *f = talloc_zero(mem, struct fleet);

	f->mem = f;
	f->seed = seed;
	f->now_us = 1000 * IR_US_PER_S;
	f->store_correct_since_us = f->now_us;
	f->delay_us = 500;
	f->verbose = getenv("FLEET_VERBOSE") != NULL;
	f->calls = talloc_zero_array(f, struct fleet_call, FLEET_MAX_CALLS);
	f->runs = talloc_array(f, struct fleet_run, FLEET_MAX_ATTEMPTS);
	f->attempts =
	    talloc_zero_array(f, struct fleet_attempt, FLEET_MAX_ATTEMPTS);
	f->token_spent_us = talloc_zero_array(f, int64_t, FLEET_MAX_CALLS);
	return f;
}

void
fleet_fail(struct fleet *f, const char *fmt, ...)
{
	va_list ap;

	if (f->failure != NULL)
		return;
	va_start(ap, fmt);
	f->failure = talloc_vasprintf(f, fmt, ap);
	va_end(ap);
}

void
fleet_schedule(struct fleet *f, struct fleet_event *ev)
{
	struct fleet_event *later;

	ev->sequence = f->sequence++;
	DL_FOREACH (f->events, later) {
		if (later->at_us > ev->at_us)
			break;
	}
	if (later == NULL)
		DL_APPEND(f->events, ev);
	else
		DL_PREPEND_ELEM(f->events, later, ev);
}

struct fleet_event *
fleet_event(
    struct fleet *f, enum fleet_event_kind kind, int node, int64_t at_us)
{
	struct fleet_event *ev = talloc_zero(f, struct fleet_event);

	ev->kind = kind;
	ev->node = node;
	ev->at_us = at_us;
	ev->incarnation = f->nodes[node].incarnation;
	return ev;
}

void
fleet_report_step(struct fleet *f, enum fleet_step step, int node, int peer,
    enum ir_msg_kind kind)
{
	struct fleet_step_event ev = {step, node, peer, kind};

	f->next_delay_us = 0;
	f->next_drop = false;
	f->next_duplicate = false;
	if (f->hook != NULL)
		f->hook(f, &ev);
}

/* Connections. */

static struct fleet_conn *
find_conn(struct fleet *f, int node, uint32_t id)
{
	struct fleet_conn *c;

	DL_FOREACH (f->conns, c) {
		if ((c->a == node && c->a_id == id && !c->closed[0]) ||
		    (c->b == node && c->b_id == id && !c->closed[1]))
			return c;
	}
	return NULL;
}

static void
schedule_closed(struct fleet *f, int node, uint32_t id)
{
	struct fleet_event *ev;

	ev = fleet_event(f, EVENT_CLOSED, node, f->now_us + f->delay_us);
	ev->conn = id;
	fleet_schedule(f, ev);
}

static void
conn_free(struct fleet *f, struct fleet_conn *c)
{
	DL_DELETE(f->conns, c);
	talloc_free(c);
}

static int
node_at_port(struct fleet *f, uint16_t port)
{
	int i = port - 7000;

	return i >= 0 && i < f->node_count && f->nodes[i].alive ? i : -1;
}

bool
fleet_op_connect(void *ctx, uint32_t conn, const char *address, uint16_t port)
{
	struct fleet_node *fn = ctx;
	struct fleet *f = fn->fleet;
	int a = (int)(fn - f->nodes);
	int b = node_at_port(f, port);
	struct fleet_conn *c;
	struct fleet_event *ev;

	if (!fn->alive)
		return true;
	if (fn->no_room)
		return false;
	if (b < 0) {
		schedule_closed(f, a, conn);
		return true;
	}
	if (f->cut[a][b] || f->cut[b][a])
		return true;
	c = talloc_zero(f, struct fleet_conn);
	c->a = a;
	c->b = b;
	c->a_id = conn;
	f->sequence++;
	c->b_id = (uint32_t)(f->sequence * 2 + 1);
	DL_APPEND(f->conns, c);
	ev = fleet_event(f, EVENT_CONNECTED, a, f->now_us + f->delay_us);
	ev->conn = conn;
	fleet_schedule(f, ev);
	return true;
}

static int64_t
max_us(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* The end at node learns that the other end closed. */
static void
conn_mark_closed(struct fleet *f, int node, uint32_t id)
{
	struct fleet_conn *c = find_conn(f, node, id);

	if (c == NULL)
		return;
	c->closed[c->a != node] = true;
	if (c->closed[0] && c->closed[1])
		conn_free(f, c);
}

void
fleet_op_close(void *ctx, uint32_t conn)
{
	struct fleet_node *fn = ctx;
	struct fleet *f = fn->fleet;
	int node = (int)(fn - f->nodes);
	struct fleet_conn *c = find_conn(f, node, conn);
	struct fleet_event *ev;
	bool from_a;

	if (c == NULL)
		return;
	from_a = c->a == node;
	c->closed[!from_a] = true;
	if (c->closed[from_a]) {
		conn_free(f, c);
		return;
	}
	if (c->silent || f->cut[node][from_a ? c->b : c->a])
		return;
	ev = fleet_event(f, EVENT_CLOSED, from_a ? c->b : c->a,
	    max_us(f->now_us + f->delay_us, c->last_arrival_us[from_a]));
	ev->conn = from_a ? c->b_id : c->a_id;
	fleet_schedule(f, ev);
}

static void
schedule_message(struct fleet *f, int to, uint32_t conn, uint32_t xid, int from,
    const struct ir_msg *m, int64_t at_us)
{
	struct fleet_event *ev = fleet_event(f, EVENT_MESSAGE, to, at_us);

	ev->conn = conn;
	ev->peer = from;
	ev->size_bytes = ir_codec_encode(ev, xid, m, &ev->data);
	if (memmem(ev->data, ev->size_bytes, fleet_key, strlen(fleet_key)))
		fleet_fail(
		    f, "message of kind %d contains the key", (int)m->kind);
	if (ev->size_bytes == 0) {
		fleet_fail(
		    f, "message of kind %d cannot be encoded", (int)m->kind);
		talloc_free(ev);
		return;
	}
	fleet_schedule(f, ev);
}

static void
check_region_forward(struct fleet *f, int to, const struct ir_region_forward *r)
{
	const struct fleet_node *n = &f->nodes[to];
	bool allowed = false;

	for (u_int i = 0; i < r->regions.regions_len; i++)
		allowed = allowed ||
			  strcmp(r->regions.regions_val[i], n->region) == 0;
	if (!allowed)
		fleet_fail(f, "request for other regions sent to %s", n->name);
	if (n->lacks_regions)
		fleet_fail(f,
		    "REGION_FORWARD sent to %s, which does not "
		    "announce it",
		    n->name);
}

bool
fleet_op_send(void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	struct fleet_node *fn = ctx;
	struct fleet *f = fn->fleet;
	int from = (int)(fn - f->nodes);
	struct fleet_conn *c = find_conn(f, from, conn);
	struct ir_msg copy;
	int64_t at;
	uint32_t id;
	int to;

	if (!fn->alive || c == NULL)
		return true;
	if (fn->no_room)
		return false;
	to = c->a == from ? c->b : c->a;
	copy = *m;
	if (m->kind == IR_MSG_HELLO_REPLY && fn->lacks_regions)
		copy.ir_msg_u.hello_reply.accepted &= ~IR_HELLO_TAKES_REGIONS;
	if (m->kind == IR_MSG_REGION_FORWARD)
		check_region_forward(f, to, &m->ir_msg_u.region_forward);
	m = &copy;
	if (f->verbose)
		(void)fprintf(stderr, "%10lld %s sends %d to %s\n",
		    (long long)f->now_us - 1000 * IR_US_PER_S, fn->name,
		    (int)m->kind, f->nodes[to].name);
	id = c->a == from ? c->b_id : c->a_id;
	if (m->kind == IR_MSG_ANSWER)
		fleet_record_reply(f, from, &m->ir_msg_u.answer);
	fleet_report_step(f, STEP_SENT, from, to, m->kind);
	/* The hook may have closed the connection. */
	c = find_conn(f, from, conn);
	if (c == NULL || f->next_drop || c->silent || f->cut[from][to])
		return true;
	/* Once a cut has ended, TCP delivers nothing after the lost bytes. */
	if (c->lossy && !f->cut[to][from])
		return true;
	at = f->now_us + f->delay_us;
	/* Messages of a stream stay in order: a delay holds up later ones. */
	if (at + f->next_delay_us < c->last_arrival_us[c->a == from])
		at = c->last_arrival_us[c->a == from];
	else
		at += f->next_delay_us;
	c->last_arrival_us[c->a == from] = at;
	schedule_message(f, to, id, xid, from, m, at);
	if (f->next_duplicate)
		schedule_message(f, to, id, xid, from, m, at + f->delay_us);
	return true;
}

void
fleet_silence(struct fleet *f, int a, int b)
{
	struct fleet_conn *c;

	DL_FOREACH (f->conns, c) {
		if ((c->a == a && c->b == b) || (c->a == b && c->b == a))
			c->silent = true;
	}
}

void
fleet_close(struct fleet *f, int a, int b)
{
	struct fleet_conn *c, *tmp;

	DL_FOREACH_SAFE (f->conns, c, tmp) {
		if (!((c->a == a && c->b == b) || (c->a == b && c->b == a)))
			continue;
		schedule_closed(f, c->a, c->a_id);
		schedule_closed(f, c->b, c->b_id);
		conn_free(f, c);
	}
}

void
fleet_set_cut(struct fleet *f, int a, int b, bool cut)
{
	f->cut[a][b] = cut;
	if (cut) {
		struct fleet_conn *c;

		DL_FOREACH (f->conns, c) {
			if ((c->a == a && c->b == b) ||
			    (c->a == b && c->b == a))
				c->lossy = true;
		}
	}
}

/* Nodes. */

int
fleet_add_node(
    struct fleet *f, const char *service, const char *region, const char *zone)
{
	int i = f->node_count++;
	struct fleet_node *n = &f->nodes[i];

	n->fleet = f;
	(void)snprintf(n->name, sizeof(n->name), "h%d", i);
	(void)snprintf(n->service, sizeof(n->service), "%s", service);
	(void)snprintf(n->region, sizeof(n->region), "%s", region);
	(void)snprintf(n->zone, sizeof(n->zone), "%s", zone);
	n->run_duration_us = 2000;
	fleet_publish_host(f, i, "live");
	return i;
}

void
fleet_start(struct fleet *f, int node)
{
	struct fleet_node *n = &f->nodes[node];
	struct ir_node_settings s = {0};

	n->mem = talloc_named_const(f, 0, "node");
	n->alive = true;
	n->paused_until_us = 0;
	n->incarnation = ++f->last_incarnation;
	n->next_store_poll_us = 0;
	n->last_config_revision = 0;
	n->last_list_revision = 0;
	n->last_rate_generation = 0;
	s.host = n->name;
	s.service = n->service;
	s.region = n->region;
	s.zone = n->zone;
	s.initial_slots = 4;
	s.statement_headers.rate_limit = FLEET_LIMIT_HEADER;
	s.statement_headers.load = FLEET_LOAD_HEADER;
	s.statement_headers.leaving = FLEET_LEAVING_HEADER;
	s.cold_starts = f->cold_rate_per_s != 0;
	s.ramp = f->ramp;
	s.store_read_period_us = f->store_read_period_us != 0
				     ? f->store_read_period_us
				     : f->store_wait_us;
	if (f->tolerant) {
		s.rate_tolerance_fraction = 0.25;
		s.rate_tolerance_requests = 20;
		s.rate_tolerance_window_s = 5;
	}
	s.incarnation = n->incarnation;
	s.seed = f->seed * 1000 + n->incarnation;
	n->node = ir_node_new(n->mem, f->now_us, &s, &fleet_ops, n);
}

void
fleet_kill(struct fleet *f, int node)
{
	struct fleet_node *n = &f->nodes[node];
	struct fleet_conn *c, *tmp;

	if (!n->alive)
		return;
	n->alive = false;
	fleet_keep_counters(f, n);
	DL_FOREACH_SAFE (f->conns, c, tmp) {
		if (c->a != node && c->b != node)
			continue;
		if (!c->silent && !f->cut[node][c->a == node ? c->b : c->a])
			schedule_closed(f, c->a == node ? c->b : c->a,
			    c->a == node ? c->b_id : c->a_id);
		conn_free(f, c);
	}
	for (int i = 0; i < f->call_count; i++) {
		if (f->calls[i].node == node && f->calls[i].answers == 0)
			f->calls[i].abandoned = true;
	}
	n->killed_mem = n->mem;
	n->node = NULL;
	n->mem = NULL;
}

void
fleet_replace(struct fleet *f, int node)
{
	struct fleet_node *n = &f->nodes[node];

	fleet_kill(f, node);
	fleet_publish_host(f, node, "gone");
	n->name[0] = 'r';
	fleet_publish_host(f, node, "live");
}

void
fleet_pause(struct fleet *f, int node, int64_t for_us)
{
	f->nodes[node].paused_until_us = f->now_us + for_us;
}

/* Events. */

static void
deliver_message(struct fleet *f, struct fleet_event *ev)
{
	struct fleet_node *n = &f->nodes[ev->node];
	struct ir_msg m;
	const char *error;
	uint32_t xid;

	if (ir_codec_decode(ev->data, ev->size_bytes, &xid, &m, &error) != 0) {
		fleet_fail(f, "message cannot be decoded: %s", error);
		return;
	}
	if (find_conn(f, ev->node, ev->conn) != NULL || (ev->conn & 1) == 0) {
		fleet_report_step(f, STEP_RECEIVED, ev->node, ev->peer, m.kind);
		if (n->alive && find_conn(f, ev->node, ev->conn) != NULL &&
		    f->now_us >= n->paused_until_us) {
			if (m.kind == IR_MSG_FORWARD)
				fleet_record_forward(
				    f, ev->node, &m.ir_msg_u.forward);
			if (m.kind == IR_MSG_REGION_FORWARD)
				fleet_record_forward(f, ev->node,
				    &m.ir_msg_u.region_forward.forward);
			ir_node_message_received(
			    n->node, f->now_us, ev->conn, xid, &m);
		} else if (n->alive && f->now_us < n->paused_until_us)
			schedule_message(f, ev->node, ev->conn, xid, ev->peer,
			    &m, n->paused_until_us);
	}
	ir_codec_free(&m);
}

static void
deliver_event(struct fleet *f, struct fleet_event *ev)
{
	struct fleet_node *n = &f->nodes[ev->node];

	if (!n->alive || n->incarnation != ev->incarnation)
		return;
	if (f->now_us < n->paused_until_us) {
		struct fleet_event *deferred = talloc_steal(f, ev);

		deferred->at_us = n->paused_until_us;
		deferred->deferred = true;
		fleet_schedule(f, deferred);
		return;
	}
	switch (ev->kind) {
	case EVENT_MESSAGE:
		deliver_message(f, ev);
		break;
	case EVENT_CONNECTED:
		if (find_conn(f, ev->node, ev->conn) != NULL)
			ir_node_conn_established(n->node, f->now_us, ev->conn);
		break;
	case EVENT_CLOSED:
		conn_mark_closed(f, ev->node, ev->conn);
		ir_node_conn_closed(n->node, f->now_us, ev->conn);
		break;
	case EVENT_RUN_ENDED:
		fleet_deliver_run_end(f, ev);
		break;
	case EVENT_EGRESS_CALL:
		fleet_deliver_egress(f, ev);
		break;
	case EVENT_STORE_READ:
		fleet_deliver_store(f, ev);
		break;
	case EVENT_CHECKED:
		fleet_deliver_check(f, ev);
		break;
	}
}

static void
free_killed(struct fleet *f)
{
	for (int i = 0; i < f->node_count; i++)
		TALLOC_FREE(f->nodes[i].killed_mem);
}

static void
tick_all(struct fleet *f)
{
	for (int i = 0; i < f->node_count; i++) {
		struct fleet_node *n = &f->nodes[i];

		if (!n->alive || f->now_us < n->paused_until_us)
			continue;
		ir_node_tick(n->node, f->now_us);
		if (n->alive)
			fleet_poll_store(f, i);
		fleet_check_event(f);
		free_killed(f);
	}
}

static void
run_next_event(struct fleet *f, int64_t next_tick_us)
{
	struct fleet_event *ev = f->events;

	if (ev == NULL || ev->at_us > next_tick_us) {
		f->now_us = next_tick_us;
		tick_all(f);
		return;
	}
	DL_DELETE(f->events, ev);
	ev->deferred = false;
	if (ev->at_us > f->now_us)
		f->now_us = ev->at_us;
	deliver_event(f, ev);
	fleet_check_event(f);
	free_killed(f);
	if (!ev->deferred)
		talloc_free(ev);
}

bool
fleet_run_until(struct fleet *f, int64_t for_us,
    bool (*done)(struct fleet *f, void *ctx), void *ctx)
{
	int64_t end = f->now_us + for_us;

	while (f->now_us < end && f->failure == NULL) {
		int64_t tick = (f->now_us / FLEET_TICK_US + 1) * FLEET_TICK_US;

		run_next_event(f, tick);
		if (done != NULL && done(f, ctx))
			return true;
	}
	return false;
}

void
fleet_run(struct fleet *f, int64_t for_us)
{
	(void)fleet_run_until(f, for_us, NULL, NULL);
}

static bool
all_ready(struct fleet *f, void *ctx)
{
	for (int i = 0; i < f->node_count; i++) {
		struct fleet_node *n = &f->nodes[i];

		if (n->alive && !ir_node_is_ready(n->node, f->now_us))
			return false;
	}
	return true;
}

bool
fleet_wait_ready(struct fleet *f)
{
	return fleet_run_until(f, 10 * IR_US_PER_S, all_ready, NULL);
}
