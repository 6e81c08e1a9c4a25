/* Peers: their connections, and the sending and queueing of messages. */
#include <string.h>

#include "core/internal.h"
#include "link/codec.h"

struct conn *
peer_conn_find(struct ir_node *n, uint32_t id)
{
	struct conn *c;

	HASH_FIND(hh, n->conns, &id, sizeof(id), c);
	return c;
}

struct conn *
peer_conn_add(struct ir_node *n, uint32_t id, struct peer *p)
{
	struct conn *c = talloc_zero(n, struct conn);

	if (c == NULL)
		return NULL;
	c->id = id;
	c->peer = p;
	HASH_ADD(hh, n->conns, id, sizeof(c->id), c);
	return c;
}

void
peer_conn_remove(struct ir_node *n, struct conn *c)
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

void
peer_connect(struct ir_node *n, int64_t now, struct peer *p)
{
	const struct ir_host *h = ir_view_host(node_view(n), p->name);
	uint32_t id = n->next_conn;
	struct conn *c;

	if (h == NULL)
		return;
	n->next_conn += 2;
	if (n->next_conn == SELF_CONN)
		n->next_conn = 2;
	c = peer_conn_add(n, id, p);
	if (c == NULL)
		return;
	if (!n->ops.connect(n->ctx, id, h->address, h->peer_port)) {
		peer_conn_remove(n, c);
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
		peer_connect(n, now, p);
	return p->link.state == IR_LINK_UP;
}

bool
peer_ensure_link_for_poll(struct ir_node *n, int64_t now, struct peer *p)
{
	if (peer_is_self(n, p))
		return true;
	if (ir_link_keep_open(&p->link, now) == IR_LINK_CONNECT)
		peer_connect(n, now, p);
	return p->link.state == IR_LINK_UP;
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
	if (peer_conn_find(n, conn) == NULL)
		return true;
	if (!n->ops.send(n->ctx, conn, xid, m))
		return false;
	ir_counters_add(&n->counters, IR_COUNTER_MESSAGES_SENT, 1);
	return true;
}

void
peer_drop_pending(struct peer *p)
{
	struct pending_message *q, *tmp;

	LL_FOREACH_SAFE (p->pending, q, tmp)
		talloc_free(q);
	p->pending = NULL;
	p->pending_count = 0;
}

void
peer_disconnect(struct ir_node *n, struct peer *p)
{
	struct conn *c = peer_conn_find(n, p->link.conn);

	if (c == NULL)
		return;
	n->ops.close(n->ctx, c->id);
	peer_conn_remove(n, c);
}

void
peer_send_pending(struct ir_node *n, int64_t now, struct peer *p)
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
