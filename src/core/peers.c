/*
 * Peers: their links and connections, and the sending, queueing and dispatch
 * of messages.
 */
#include <string.h>

#include "core/internal.h"
#include "core/unconst.h"
#include "link/codec.h"

static struct conn *
conn_find(struct ir_node *n, uint32_t id)
{
	struct conn *c;

	HASH_FIND(hh, n->conns, &id, sizeof(id), c);
	return c;
}

static struct conn *
conn_add(struct ir_node *n, uint32_t id, struct peer *p)
{
	struct conn *c = talloc_zero(n, struct conn);

	if (c == NULL)
		return NULL;
	c->id = id;
	c->peer = p;
	HASH_ADD(hh, n->conns, id, sizeof(c->id), c);
	return c;
}

static void
conn_remove(struct ir_node *n, struct conn *c)
{
	HASH_DEL(n->conns, c);
	talloc_free(c);
}

struct peer *
peer_get(struct ir_node *n, const char *host)
{
	struct peer *p;

	HASH_FIND_STR(n->peers, host, p);
	if (p != NULL)
		return p;
	p = talloc_zero(n, struct peer);
	if (p == NULL)
		return NULL;
	p->name = talloc_strdup(p, host);
	ir_link_init(&p->link);
	HASH_ADD_KEYPTR(hh, n->peers, p->name, strlen(p->name), p);
	return p;
}

bool
peer_is_self(struct ir_node *n, const struct peer *p)
{
	return strcmp(p->name, n->settings.host) == 0;
}

static void
connect_peer(struct ir_node *n, int64_t now, struct peer *p)
{
	const struct ir_host *h = ir_view_host(node_view(n), p->name);
	uint32_t id = n->next_conn;
	struct conn *c;

	if (h == NULL)
		return;
	n->next_conn += 2;
	if (n->next_conn == SELF_CONN)
		n->next_conn = 2;
	c = conn_add(n, id, p);
	if (c == NULL)
		return;
	if (!n->ops.connect(n->ctx, id, h->address, h->peer_port)) {
		conn_remove(n, c);
		return;
	}
	p->hello_due = false;
	ir_link_connect_started(&p->link, now, id);
}

bool
peer_ensure_link(struct ir_node *n, int64_t now, struct peer *p)
{
	if (peer_is_self(n, p))
		return true;
	if (ir_link_use(&p->link, now) == IR_LINK_CONNECT)
		connect_peer(n, now, p);
	return p->link.state == IR_LINK_UP;
}

bool
peer_ensure_link_for_poll(struct ir_node *n, int64_t now, struct peer *p)
{
	if (peer_is_self(n, p))
		return true;
	if (ir_link_keep_open(&p->link, now) == IR_LINK_CONNECT)
		connect_peer(n, now, p);
	return p->link.state == IR_LINK_UP;
}

struct pending_message *
pending_message_new(TALLOC_CTX *mem, uint32_t xid, const struct ir_msg *m)
{
	struct pending_message *q = talloc_zero(mem, struct pending_message);

	if (q == NULL)
		return NULL;
	q->size_bytes = ir_codec_encode(q, xid, m, &q->data);
	if (q->size_bytes == 0)
		TALLOC_FREE(q);
	return q;
}

uint32_t
peer_send(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m)
{
	uint32_t xid = n->next_xid++;

	if (n->next_xid == 0)
		n->next_xid = 1;
	if (peer_is_self(n, p)) {
		self_send(n, xid, m);
		return xid;
	}
	if (!n->ops.send(n->ctx, p->link.conn, xid, m))
		return 0;
	ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_SENT, 1);
	ir_link_message_sent(&p->link, now);
	return xid;
}

static bool
queue_message(struct peer *p, const struct ir_msg *m)
{
	struct pending_message *q;

	if (p->pending_count >= MAX_PENDING_MESSAGES)
		return false;
	q = pending_message_new(p, 0, m);
	if (q == NULL)
		return false;
	LL_APPEND(p->pending, q);
	p->pending_count++;
	return true;
}

bool
peer_send_or_queue(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m)
{
	/*
	 * These messages keep no heartbeats going on the link: their senders
	 * time out on their own or need no reply.
	 */
	if (peer_ensure_link_for_poll(n, now, p))
		return peer_send(n, now, p, m) != 0;
	return p->link.state != IR_LINK_DOWN && queue_message(p, m);
}

bool
peer_send_or_keep(
    struct ir_node *n, int64_t now, struct peer *p, const struct ir_msg *m)
{
	if (peer_send_or_queue(n, now, p, m))
		return true;
	return p->link.state == IR_LINK_UP && queue_message(p, m);
}

bool
peer_reply(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	if (conn == SELF_CONN) {
		self_send(n, xid, m);
		return true;
	}
	if (conn_find(n, conn) == NULL)
		return true;
	if (!n->ops.send(n->ctx, conn, xid, m))
		return false;
	ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_SENT, 1);
	return true;
}

static void
fill_heartbeat(struct ir_node *n, int64_t now, struct ir_heartbeat *h)
{
	h->incarnation = n->settings.incarnation;
	ir_node_revisions(
	    n, (uint64_t *)&h->config_revision, (uint64_t *)&h->list_revision);
	h->load = node_load(n, now, "");
}

static void
send_hello(struct ir_node *n, int64_t now, struct peer *p)
{
	struct ir_msg m = {.kind = IR_MSG_HELLO};
	struct ir_hello *h = &m.ir_msg_u.hello;

	h->host = ir_unconst(n->settings.host);
	h->incarnation = n->settings.incarnation;
	h->expected_host = p->name;
	ir_node_revisions(
	    n, (uint64_t *)&h->config_revision, (uint64_t *)&h->list_revision);
	p->hello_due = peer_send(n, now, p, &m) == 0;
}

static void
send_heartbeat(struct ir_node *n, int64_t now, struct peer *p)
{
	struct ir_msg m = {.kind = IR_MSG_HEARTBEAT};

	fill_heartbeat(n, now, &m.ir_msg_u.heartbeat);
	if (peer_send(n, now, p, &m) == 0)
		ir_link_heartbeat_unsent(&p->link, now);
}

static void
drop_pending(struct peer *p)
{
	struct pending_message *q, *tmp;

	LL_FOREACH_SAFE (p->pending, q, tmp)
		talloc_free(q);
	p->pending = NULL;
	p->pending_count = 0;
}

static void
close_connection(struct ir_node *n, struct peer *p)
{
	struct conn *c = conn_find(n, p->link.conn);

	if (c == NULL)
		return;
	n->ops.close(n->ctx, c->id);
	conn_remove(n, c);
}

static void
close_lost_link(struct ir_node *n, int64_t now, struct peer *p, const char *why)
{
	close_connection(n, p);
	node_log(n, IR_EVENT_LINK_LOST, "host=%s why=%s", p->name, why);
	ir_counters_add(&n->counters, IR_COUNTER_LINKS_LOST, 1);
	ir_link_connection_closed(&p->link, now);
	p->view_request_xid = 0;
	drop_pending(p);
	ir_balancer_set_reachable(n->balancer, now, p->name, false);
	attempt_link_lost(n, now, p);
	ir_rate_limiter_host_lost(n->rate_limiter, now, p->name);
}

static void
send_pending(struct ir_node *n, int64_t now, struct peer *p)
{
	struct pending_message *q;

	while ((q = p->pending) != NULL) {
		struct ir_msg m;
		const char *error;
		uint32_t xid;
		bool room = true;

		if (ir_codec_decode(q->data, q->size_bytes, &xid, &m, &error) ==
		    0)
			room = peer_send(n, now, p, &m) != 0;
		ir_codec_free(&m);
		if (!room)
			return;
		LL_DELETE(p->pending, q);
		p->pending_count--;
		talloc_free(q);
	}
}

/* To be sent before work, as the host's process may have started since. */
static void
send_upstream_notice(struct ir_node *n, int64_t now, struct peer *p)
{
	struct ir_msg m = {.kind = IR_MSG_UPSTREAM_NOTICE};

	p->notice_due = p->takes_notices &&
			ir_balancer_upstream_notice(n->balancer, now, p->name,
			    &m.ir_msg_u.upstream_notice) &&
			peer_send(n, now, p, &m) == 0;
}

static void
handle_hello_reply(struct ir_node *n, int64_t now, struct peer *p,
    const struct ir_hello_reply *r)
{
	if (!ir_link_hello_reply(&p->link, now, p->name, r->host,
		r->accepted != 0, r->incarnation)) {
		node_log(n, IR_EVENT_LINK_REFUSED, "host=%s named=%s", p->name,
		    r->host);
		close_lost_link(n, now, p, "refused");
		return;
	}
	node_log(n, IR_EVENT_LINK_UP, "host=%s", p->name);
	ir_balancer_set_reachable(n->balancer, now, p->name, true);
	p->takes_notices = (r->accepted & IR_HELLO_TAKES_NOTICES) != 0;
	p->takes_suspects = (r->accepted & IR_HELLO_TAKES_SUSPECTS) != 0;
	p->takes_regions = (r->accepted & IR_HELLO_TAKES_REGIONS) != 0;
	ir_balancer_set_takes_regions(n->balancer, p->name, p->takes_regions);
	p->suspects_sent = 0;
	send_upstream_notice(n, now, p);
	attempt_link_up(n, now, p);
	if (p->link.state == IR_LINK_UP)
		send_pending(n, now, p);
}

/*
 * A host that connects again has given up its previous connection. Messages
 * still on their way there must not be handled.
 */
static void
close_previous_conns(struct ir_node *n, const char *host)
{
	struct conn *c, *tmp;

	HASH_ITER (hh, n->conns, c, tmp) {
		if (c->hello_host != NULL && strcmp(c->hello_host, host) == 0) {
			n->ops.close(n->ctx, c->id);
			conn_remove(n, c);
		}
	}
}

static void
handle_hello(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_hello *h)
{
	struct ir_msg m = {.kind = IR_MSG_HELLO_REPLY};
	struct ir_hello_reply *r = &m.ir_msg_u.hello_reply;
	struct conn *c;

	r->host = ir_unconst(n->settings.host);
	r->incarnation = n->settings.incarnation;
	if (strcmp(h->expected_host, n->settings.host) == 0 &&
	    strcmp(h->host, n->settings.host) != 0)
		r->accepted = IR_HELLO_ACCEPTED | IR_HELLO_SENDS_PARTS |
			      IR_HELLO_TAKES_NOTICES | IR_HELLO_TAKES_SUSPECTS |
			      IR_HELLO_TAKES_REGIONS;
	if (r->accepted != 0) {
		close_previous_conns(n, h->host);
		c = conn_find(n, conn);
		if (c == NULL)
			c = conn_add(n, conn, NULL);
		if (c != NULL)
			c->hello_host = talloc_strdup(c, h->host);
	} else {
		node_log(n, IR_EVENT_LINK_REFUSED, "host=%s expected=%s",
		    h->host, h->expected_host);
	}
	if (r->accepted)
		unsent_reply(n, conn, xid, &m);
	else if (n->ops.send(n->ctx, conn, xid, &m))
		ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_SENT, 1);
}

static void
handle_heartbeat(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const char *from, const struct ir_heartbeat *h)
{
	struct ir_msg m = {.kind = IR_MSG_HEARTBEAT_REPLY};

	fill_heartbeat(n, now, &m.ir_msg_u.heartbeat_reply);
	unsent_reply(n, conn, xid, &m);
	if (ir_view_host(node_view(n), from) != NULL)
		control_check_peer_revisions(n, now, peer_get(n, from),
		    h->config_revision, h->list_revision);
}

static void
handle_heartbeat_reply(struct ir_node *n, int64_t now, struct peer *p,
    const struct ir_heartbeat *h)
{
	ir_balancer_load_reported(n->balancer, now, p->name, &h->load);
	control_check_peer_revisions(
	    n, now, p, h->config_revision, h->list_revision);
}

/*
 * Only a listed host may request work and tokens. One that is no longer listed
 * may still request the outcome of its attempts.
 */
static bool
may_request(struct ir_node *n, const char *from, const struct ir_msg *m)
{
	switch (m->kind) {
	case IR_MSG_HEARTBEAT:
	case IR_MSG_VIEW_REQUEST:
	case IR_MSG_STATUS:
	case IR_MSG_CANCEL:
		return true;
	default:
		break;
	}
	return node_serves_unlisted(n) ||
	       ir_view_host(node_view(n), from) != NULL;
}

void
peer_handle_request(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const char *from, const struct ir_msg *m)
{
	if (!may_request(n, from, m)) {
		ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_REJECTED, 1);
		node_log(n, IR_EVENT_MESSAGE_BAD, "host=%s kind=%d unlisted=1",
		    from, (int)m->kind);
		return;
	}
	switch (m->kind) {
	case IR_MSG_HEARTBEAT:
		handle_heartbeat(
		    n, now, conn, xid, from, &m->ir_msg_u.heartbeat);
		break;
	case IR_MSG_FORWARD:
		serve_forward(n, now, conn, xid, &m->ir_msg_u.forward);
		break;
	case IR_MSG_REGION_FORWARD:
		serve_region_forward(
		    n, now, conn, xid, &m->ir_msg_u.region_forward);
		break;
	case IR_MSG_STATUS:
		serve_status(n, now, conn, xid, &m->ir_msg_u.status);
		break;
	case IR_MSG_CANCEL:
		serve_cancel(n, now, &m->ir_msg_u.cancel);
		break;
	case IR_MSG_SUSPECT_REPORT:
		suspects_handle_report(n, now, &m->ir_msg_u.suspect_report);
		break;
	case IR_MSG_UPSTREAM_NOTICE:
		local_upstream_handle_notice(
		    n, now, &m->ir_msg_u.upstream_notice);
		break;
	default:
		control_handle_message(n, now, conn, xid, from, NULL, m);
		break;
	}
}

void
peer_repeat_request(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_msg *m)
{
	struct conn *c = conn_find(n, conn);

	if (c != NULL && c->hello_host != NULL)
		peer_handle_request(n, now, conn, xid, c->hello_host, m);
}

void
peer_handle_reply(struct ir_node *n, int64_t now, struct peer *p, uint32_t xid,
    const struct ir_msg *m)
{
	switch (m->kind) {
	case IR_MSG_HELLO_REPLY:
		handle_hello_reply(n, now, p, &m->ir_msg_u.hello_reply);
		break;
	case IR_MSG_HEARTBEAT_REPLY:
		handle_heartbeat_reply(n, now, p, &m->ir_msg_u.heartbeat_reply);
		break;
	case IR_MSG_ANSWER:
		attempt_handle_reply(n, now, p, &m->ir_msg_u.answer);
		break;
	case IR_MSG_STATUS_REPLY:
		attempt_handle_reply(n, now, p, &m->ir_msg_u.status_reply);
		break;
	default:
		control_handle_message(
		    n, now, p->link.conn, xid, p->name, p, m);
		break;
	}
}

static void
reject_message(struct ir_node *n, uint32_t conn, const struct ir_msg *m)
{
	ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_REJECTED, 1);
	node_log(
	    n, IR_EVENT_MESSAGE_BAD, "conn=%u kind=%d", conn, (int)m->kind);
	n->ops.close(n->ctx, conn);
}

void
peer_message_received(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m)
{
	struct conn *c = conn_find(n, conn);

	ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_RECEIVED, 1);
	if (c != NULL && c->peer != NULL && !ir_msg_is_call(m) &&
	    c->peer->link.conn == conn) {
		bool up = c->peer->link.state == IR_LINK_UP;

		ir_link_message_received(&c->peer->link, now);
		if (up || m->kind == IR_MSG_HELLO_REPLY)
			peer_handle_reply(n, now, c->peer, xid, m);
	} else if (m->kind == IR_MSG_HELLO && (conn & 1) == 1) {
		handle_hello(n, conn, xid, &m->ir_msg_u.hello);
	} else if (c != NULL && c->hello_host != NULL && ir_msg_is_call(m)) {
		peer_handle_request(n, now, conn, xid, c->hello_host, m);
	} else {
		reject_message(n, conn, m);
	}
}

void
peer_conn_established(struct ir_node *n, int64_t now, uint32_t conn)
{
	struct conn *c = conn_find(n, conn);

	if (c == NULL || c->peer == NULL || c->peer->link.conn != conn)
		return;
	if (ir_link_connected(&c->peer->link, now) == IR_LINK_SEND_HELLO)
		send_hello(n, now, c->peer);
}

void
peer_conn_closed(struct ir_node *n, int64_t now, uint32_t conn)
{
	struct conn *c = conn_find(n, conn);
	struct peer *p;

	if (c == NULL)
		return;
	p = c->peer;
	conn_remove(n, c);
	if (p != NULL && p->link.conn == conn && p->link.state != IR_LINK_DOWN)
		close_lost_link(n, now, p, "closed");
}

/* Sends what had no room before. */
static void
send_due(struct ir_node *n, int64_t now, struct peer *p)
{
	if (p->link.state == IR_LINK_GREETING && p->hello_due)
		send_hello(n, now, p);
	if (p->link.state != IR_LINK_UP)
		return;
	if (p->notice_due)
		send_upstream_notice(n, now, p);
	if (p->status_due) {
		p->status_due = false;
		attempt_link_up(n, now, p);
	}
	if (p->pending != NULL)
		send_pending(n, now, p);
}

void
peer_conn_progress(struct ir_node *n, int64_t now, uint32_t conn)
{
	struct conn *c = conn_find(n, conn);

	if (c != NULL && c->peer != NULL && c->peer->link.conn == conn)
		ir_link_bytes_moved(&c->peer->link, now);
}

static void
tick_peer(struct ir_node *n, int64_t now, struct peer *p)
{
	send_due(n, now, p);
	if (p->attempts != NULL)
		(void)peer_ensure_link(n, now, p);
	switch (ir_link_tick(&p->link, now)) {
	case IR_LINK_SEND_HEARTBEAT:
		send_heartbeat(n, now, p);
		break;
	case IR_LINK_LOST:
		close_lost_link(n, now, p, "silent");
		break;
	case IR_LINK_CLOSE_IDLE:
		close_connection(n, p);
		/* Its next process may handle them. */
		ir_balancer_set_takes_regions(n->balancer, p->name, true);
		break;
	case IR_LINK_CONNECT:
		connect_peer(n, now, p);
		break;
	default:
		break;
	}
}

void
peer_tick(struct ir_node *n, int64_t now)
{
	struct peer *p, *tmp;

	HASH_ITER (hh, n->peers, p, tmp) {
		if (peer_is_self(n, p))
			continue;
		tick_peer(n, now, p);
		if (p->link.state == IR_LINK_DOWN && p->attempts == NULL &&
		    ir_view_host(node_view(n), p->name) == NULL) {
			HASH_DEL(n->peers, p);
			talloc_free(p);
		}
	}
}
