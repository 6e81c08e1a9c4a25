/* A few nodes in one process: queue, clock, connections and store. */
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
	f->store_good_us = f->now_us;
	f->delay_us = 500;
	f->verbose = getenv("FLEET_VERBOSE") != NULL;
	f->calls = talloc_zero_array(f, struct fleet_call, FLEET_MAX_CALLS);
	f->attempts =
	    talloc_zero_array(f, struct fleet_attempt, FLEET_MAX_ATTEMPTS);
	f->spent_us = talloc_zero_array(f, int64_t, FLEET_MAX_CALLS);
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
fleet_push(struct fleet *f, struct fleet_item *it)
{
	struct fleet_item *at;

	it->sequence = f->sequence++;
	DL_FOREACH (f->items, at) {
		if (at->at_us > it->at_us)
			break;
	}
	if (at == NULL)
		DL_APPEND(f->items, it);
	else
		DL_PREPEND_ELEM(f->items, at, it);
}

struct fleet_item *
fleet_item(struct fleet *f, enum fleet_item_kind kind, int node, int64_t at_us)
{
	struct fleet_item *it = talloc_zero(f, struct fleet_item);

	it->kind = kind;
	it->node = node;
	it->at_us = at_us;
	it->incarnation = f->nodes[node].incarnation;
	return it;
}

/* Tells the test's fault hook where things stand. */
void
fleet_at(struct fleet *f, enum fleet_step step, int node, int other,
    enum ir_msg_kind kind)
{
	struct fleet_event_at at = {step, node, other, kind};

	f->next_delay_us = 0;
	f->next_drop = false;
	f->next_duplicate = false;
	if (f->hook != NULL)
		f->hook(f, &at);
}

/* Connections. */

static struct fleet_conn *
conn_end(struct fleet *f, int node, uint32_t id)
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
closed_at(struct fleet *f, int node, uint32_t id)
{
	struct fleet_item *it;

	it = fleet_item(f, ITEM_CLOSED, node, f->now_us + f->delay_us);
	it->conn = id;
	fleet_push(f, it);
}

static void
conn_drop(struct fleet *f, struct fleet_conn *c)
{
	DL_DELETE(f->conns, c);
	talloc_free(c);
}

static int
find_address(struct fleet *f, uint16_t port)
{
	int i = port - 7000;

	return i >= 0 && i < f->node_count && f->nodes[i].alive ? i : -1;
}

void
fleet_op_connect(void *ctx, uint32_t conn, const char *address, uint16_t port)
{
	struct fleet_node *fn = ctx;
	struct fleet *f = fn->fleet;
	int a = (int)(fn - f->nodes);
	int b = find_address(f, port);
	struct fleet_conn *c;
	struct fleet_item *it;

	if (!fn->alive)
		return;
	if (b < 0) {
		closed_at(f, a, conn);
		return;
	}
	if (f->cut[a][b] || f->cut[b][a])
		return;
	c = talloc_zero(f, struct fleet_conn);
	c->a = a;
	c->b = b;
	c->a_id = conn;
	f->sequence++;
	c->b_id = (uint32_t)(f->sequence * 2 + 1);
	DL_APPEND(f->conns, c);
	it = fleet_item(f, ITEM_CONNECTED, a, f->now_us + f->delay_us);
	it->conn = conn;
	fleet_push(f, it);
}

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* An end learns that the other one closed. */
static void
conn_closed(struct fleet *f, int node, uint32_t id)
{
	struct fleet_conn *c = conn_end(f, node, id);

	if (c == NULL)
		return;
	c->closed[c->a != node] = true;
	if (c->closed[0] && c->closed[1])
		conn_drop(f, c);
}

void
fleet_op_close(void *ctx, uint32_t conn)
{
	struct fleet_node *fn = ctx;
	struct fleet *f = fn->fleet;
	int node = (int)(fn - f->nodes);
	struct fleet_conn *c = conn_end(f, node, conn);
	struct fleet_item *it;
	bool from_a;

	if (c == NULL)
		return;
	from_a = c->a == node;
	c->closed[!from_a] = true;
	if (c->closed[from_a]) {
		conn_drop(f, c);
		return;
	}
	if (c->silent || f->cut[node][from_a ? c->b : c->a])
		return;
	it = fleet_item(f, ITEM_CLOSED, from_a ? c->b : c->a,
	    later(f->now_us + f->delay_us, c->busy_us[from_a]));
	it->conn = from_a ? c->b_id : c->a_id;
	fleet_push(f, it);
}

static void
push_message(struct fleet *f, int to, uint32_t conn, uint32_t xid, int from,
    const struct ir_msg *m, int64_t at_us)
{
	struct fleet_item *it = fleet_item(f, ITEM_MESSAGE, to, at_us);

	it->conn = conn;
	it->other = from;
	it->size_bytes = ir_codec_encode(it, xid, m, &it->data);
	if (memmem(it->data, it->size_bytes, fleet_key, strlen(fleet_key)))
		fleet_fail(f, "message of kind %d holds a key", (int)m->kind);
	if (it->size_bytes == 0) {
		fleet_fail(
		    f, "message of kind %d cannot be encoded", (int)m->kind);
		talloc_free(it);
		return;
	}
	fleet_push(f, it);
}

void
fleet_op_send(void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	struct fleet_node *fn = ctx;
	struct fleet *f = fn->fleet;
	int from = (int)(fn - f->nodes);
	struct fleet_conn *c = conn_end(f, from, conn);
	int64_t at;
	uint32_t id;
	int to;

	if (!fn->alive || c == NULL)
		return;
	to = c->a == from ? c->b : c->a;
	if (f->verbose)
		(void)fprintf(stderr, "%10lld %s sends %d to %s\n",
		    (long long)f->now_us - 1000 * IR_US_PER_S, fn->name,
		    (int)m->kind, f->nodes[to].name);
	id = c->a == from ? c->b_id : c->a_id;
	if (m->kind == IR_MSG_ANSWER)
		fleet_note_answer(f, from, &m->ir_msg_u.answer);
	fleet_at(f, STEP_SENT, from, to, m->kind);
	/* A fault of the hook may have ended the connection. */
	c = conn_end(f, from, conn);
	if (c == NULL || f->next_drop || c->silent || f->cut[from][to])
		return;
	/* Bytes were lost in a cut: what follows on the stream is of no use. */
	if (c->lossy && !f->cut[to][from])
		return;
	at = f->now_us + f->delay_us;
	/* A stream keeps its order; a delayed message holds up the rest. */
	if (at + f->next_delay_us < c->busy_us[c->a == from])
		at = c->busy_us[c->a == from];
	else
		at += f->next_delay_us;
	c->busy_us[c->a == from] = at;
	push_message(f, to, id, xid, from, m, at);
	if (f->next_duplicate)
		push_message(f, to, id, xid, from, m, at + f->delay_us);
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
		closed_at(f, c->a, c->a_id);
		closed_at(f, c->b, c->b_id);
		conn_drop(f, c);
	}
}

/* What is on its way in a cut direction is lost, connections stay open. */
void
fleet_cut(struct fleet *f, int a, int b, bool cut)
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
fleet_add(
    struct fleet *f, const char *service, const char *region, const char *zone)
{
	int i = f->node_count++;
	struct fleet_node *n = &f->nodes[i];

	n->fleet = f;
	(void)snprintf(n->name, sizeof(n->name), "h%d", i);
	(void)snprintf(n->service, sizeof(n->service), "%s", service);
	(void)snprintf(n->region, sizeof(n->region), "%s", region);
	(void)snprintf(n->zone, sizeof(n->zone), "%s", zone);
	n->run_us = 2000;
	fleet_list_state(f, i, "live");
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
	n->incarnation = ++f->incarnations;
	n->store_poll_us = 0;
	n->seen_config = 0;
	n->seen_list = 0;
	n->seen_rate_generation = 0;
	s.host = n->name;
	s.service = n->service;
	s.region = n->region;
	s.zone = n->zone;
	s.initial_slots = 4;
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
	fleet_count_past(f, n);
	DL_FOREACH_SAFE (f->conns, c, tmp) {
		if (c->a != node && c->b != node)
			continue;
		if (!c->silent && !f->cut[node][c->a == node ? c->b : c->a])
			closed_at(f, c->a == node ? c->b : c->a,
			    c->a == node ? c->b_id : c->a_id);
		conn_drop(f, c);
	}
	for (int i = 0; i < f->call_count; i++) {
		if (f->calls[i].node == node && f->calls[i].answers == 0)
			f->calls[i].gone = true;
	}
	n->doomed = n->mem;
	n->node = NULL;
	n->mem = NULL;
}

void
fleet_replace(struct fleet *f, int node)
{
	struct fleet_node *n = &f->nodes[node];

	fleet_kill(f, node);
	fleet_list_state(f, node, "gone");
	n->name[0] = 'r';
	fleet_list_state(f, node, "live");
}

void
fleet_pause(struct fleet *f, int node, int64_t for_us)
{
	f->nodes[node].paused_until_us = f->now_us + for_us;
}

/* Events. */

static void
deliver_message(struct fleet *f, struct fleet_item *it)
{
	struct fleet_node *n = &f->nodes[it->node];
	struct ir_msg m;
	const char *error;
	uint32_t xid;

	if (ir_codec_decode(it->data, it->size_bytes, &xid, &m, &error) != 0) {
		fleet_fail(f, "message cannot be decoded: %s", error);
		return;
	}
	if (conn_end(f, it->node, it->conn) != NULL || (it->conn & 1) == 0) {
		fleet_at(f, STEP_RECEIVED, it->node, it->other, m.kind);
		if (n->alive && conn_end(f, it->node, it->conn) != NULL &&
		    f->now_us >= n->paused_until_us) {
			if (m.kind == IR_MSG_FORWARD)
				fleet_note_forward(
				    f, it->node, &m.ir_msg_u.forward);
			ir_node_message_received(
			    n->node, f->now_us, it->conn, xid, &m);
		} else if (n->alive && f->now_us < n->paused_until_us)
			push_message(f, it->node, it->conn, xid, it->other, &m,
			    n->paused_until_us);
	}
	ir_codec_free(&m);
}

static void
deliver(struct fleet *f, struct fleet_item *it)
{
	struct fleet_node *n = &f->nodes[it->node];

	if (!n->alive || n->incarnation != it->incarnation)
		return;
	if (f->now_us < n->paused_until_us) {
		struct fleet_item *later = talloc_steal(f, it);

		later->at_us = n->paused_until_us;
		later->again = true;
		fleet_push(f, later);
		return;
	}
	switch (it->kind) {
	case ITEM_MESSAGE:
		deliver_message(f, it);
		break;
	case ITEM_CONNECTED:
		if (conn_end(f, it->node, it->conn) != NULL)
			ir_node_conn_established(n->node, f->now_us, it->conn);
		break;
	case ITEM_CLOSED:
		conn_closed(f, it->node, it->conn);
		ir_node_conn_closed(n->node, f->now_us, it->conn);
		break;
	case ITEM_RAN:
		fleet_deliver_ran(f, it);
		break;
	case ITEM_EGRESS:
		fleet_deliver_egress(f, it);
		break;
	case ITEM_STORE:
		fleet_deliver_store(f, it);
		break;
	}
}

static void
free_doomed(struct fleet *f)
{
	for (int i = 0; i < f->node_count; i++)
		TALLOC_FREE(f->nodes[i].doomed);
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
		fleet_observe(f);
		free_doomed(f);
	}
}

static void
step(struct fleet *f, int64_t next_tick_us)
{
	struct fleet_item *it = f->items;

	if (it == NULL || it->at_us > next_tick_us) {
		f->now_us = next_tick_us;
		tick_all(f);
		return;
	}
	DL_DELETE(f->items, it);
	it->again = false;
	if (it->at_us > f->now_us)
		f->now_us = it->at_us;
	deliver(f, it);
	fleet_observe(f);
	free_doomed(f);
	if (!it->again)
		talloc_free(it);
}

bool
fleet_run_until(struct fleet *f, int64_t for_us,
    bool (*done)(struct fleet *f, void *ctx), void *ctx)
{
	int64_t end = f->now_us + for_us;

	while (f->now_us < end && f->failure == NULL) {
		int64_t tick = (f->now_us / FLEET_TICK_US + 1) * FLEET_TICK_US;

		step(f, tick);
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
fleet_settle(struct fleet *f)
{
	return fleet_run_until(f, 10 * IR_US_PER_S, all_ready, NULL);
}
