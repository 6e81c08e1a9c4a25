/* Links to peers: greetings, heartbeats, loss; messages that had no room. */
#include <string.h>

#include "core/internal.h"
#include "core/unconst.h"

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
close_lost_link(struct ir_node *n, int64_t now, struct peer *p, const char *why)
{
	peer_disconnect(n, p);
	node_log(n, IR_EVENT_LINK_LOST, "host=%s why=%s", p->name, why);
	ir_counters_add(&n->counters, IR_COUNTER_LINKS_LOST, 1);
	ir_link_connection_closed(&p->link, now);
	p->view_request_xid = 0;
	peer_drop_pending(p);
	ir_balancer_set_reachable(n->balancer, now, p->name, false);
	attempt_link_lost(n, now, p);
	ir_rate_limiter_host_lost(n->rate_limiter, now, p->name);
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

void
link_hello_reply(struct ir_node *n, int64_t now, struct peer *p,
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
		peer_send_pending(n, now, p);
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
			peer_conn_remove(n, c);
		}
	}
}

void
link_hello(
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
		c = peer_conn_find(n, conn);
		if (c == NULL)
			c = peer_conn_add(n, conn, NULL);
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

void
link_heartbeat(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const char *from, const struct ir_heartbeat *h)
{
	struct ir_msg m = {.kind = IR_MSG_HEARTBEAT_REPLY};

	fill_heartbeat(n, now, &m.ir_msg_u.heartbeat_reply);
	unsent_reply(n, conn, xid, &m);
	if (ir_view_host(node_view(n), from) != NULL)
		control_check_peer_revisions(n, now, peer_get(n, from),
		    h->config_revision, h->list_revision);
}

void
link_heartbeat_reply(struct ir_node *n, int64_t now, struct peer *p,
    const struct ir_heartbeat *h)
{
	ir_balancer_load_reported(n->balancer, now, p->name, &h->load);
	control_check_peer_revisions(
	    n, now, p, h->config_revision, h->list_revision);
}

void
link_conn_established(struct ir_node *n, int64_t now, uint32_t conn)
{
	struct conn *c = peer_conn_find(n, conn);

	if (c == NULL || c->peer == NULL || c->peer->link.conn != conn)
		return;
	if (ir_link_connected(&c->peer->link, now) == IR_LINK_SEND_HELLO)
		send_hello(n, now, c->peer);
}

void
link_conn_closed(struct ir_node *n, int64_t now, uint32_t conn)
{
	struct conn *c = peer_conn_find(n, conn);
	struct peer *p;

	if (c == NULL)
		return;
	p = c->peer;
	peer_conn_remove(n, c);
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
		peer_send_pending(n, now, p);
}

void
link_conn_progress(struct ir_node *n, int64_t now, uint32_t conn)
{
	struct conn *c = peer_conn_find(n, conn);

	if (c != NULL && c->peer != NULL && c->peer->link.conn == conn)
		ir_link_bytes_moved(&c->peer->link, now);
}

static void
tick_link(struct ir_node *n, int64_t now, struct peer *p)
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
		peer_disconnect(n, p);
		/* Its next process may handle them. */
		ir_balancer_set_takes_regions(n->balancer, p->name, true);
		break;
	case IR_LINK_CONNECT:
		peer_connect(n, now, p);
		break;
	default:
		break;
	}
}

void
link_tick(struct ir_node *n, int64_t now)
{
	struct peer *p, *tmp;

	HASH_ITER (hh, n->peers, p, tmp) {
		if (peer_is_self(n, p))
			continue;
		tick_link(n, now, p);
		if (p->link.state == IR_LINK_DOWN && p->attempts == NULL &&
		    ir_view_host(node_view(n), p->name) == NULL) {
			HASH_DEL(n->peers, p);
			talloc_free(p);
		}
	}
}
