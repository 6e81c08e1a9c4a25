/* Passes each message of a peer, or of this node, to the module it is for. */
#include "core/internal.h"
#include "link/codec.h"

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

static void
dispatch_request(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
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
		link_heartbeat(n, now, conn, xid, from, &m->ir_msg_u.heartbeat);
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
		run_cancel(n, now, &m->ir_msg_u.cancel);
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
dispatch_repeat_request(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m)
{
	struct conn *c = peer_conn_find(n, conn);

	if (c != NULL && c->hello_host != NULL)
		dispatch_request(n, now, conn, xid, c->hello_host, m);
}

static void
dispatch_reply(struct ir_node *n, int64_t now, struct peer *p, uint32_t xid,
    const struct ir_msg *m)
{
	switch (m->kind) {
	case IR_MSG_HELLO_REPLY:
		link_hello_reply(n, now, p, &m->ir_msg_u.hello_reply);
		break;
	case IR_MSG_HEARTBEAT_REPLY:
		link_heartbeat_reply(n, now, p, &m->ir_msg_u.heartbeat_reply);
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
dispatch_message(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_msg *m)
{
	struct conn *c = peer_conn_find(n, conn);

	ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_RECEIVED, 1);
	if (c != NULL && c->peer != NULL && !ir_msg_is_call(m) &&
	    c->peer->link.conn == conn) {
		bool up = c->peer->link.state == IR_LINK_UP;

		ir_link_message_received(&c->peer->link, now);
		if (up || m->kind == IR_MSG_HELLO_REPLY)
			dispatch_reply(n, now, c->peer, xid, m);
	} else if (m->kind == IR_MSG_HELLO && (conn & 1) == 1) {
		link_hello(n, conn, xid, &m->ir_msg_u.hello);
	} else if (c != NULL && c->hello_host != NULL && ir_msg_is_call(m)) {
		dispatch_request(n, now, conn, xid, c->hello_host, m);
	} else {
		reject_message(n, conn, m);
	}
}

static void
dispatch_own_message(
    struct ir_node *n, int64_t now, const struct pending_message *q)
{
	struct ir_msg m;
	const char *error;
	uint32_t xid;

	if (ir_codec_decode(q->data, q->size_bytes, &xid, &m, &error) == 0) {
		if (ir_msg_is_call(&m))
			dispatch_request(
			    n, now, SELF_CONN, xid, n->settings.host, &m);
		else
			dispatch_reply(
			    n, now, peer_get(n, n->settings.host), xid, &m);
	}
	ir_codec_free(&m);
}

void
dispatch_own_messages(struct ir_node *n, int64_t now)
{
	struct pending_message *q;

	while ((q = self_next(n)) != NULL) {
		dispatch_own_message(n, now, q);
		talloc_free(q);
	}
}
