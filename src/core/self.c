/*
 * Messages of a node to itself. They are encoded, queued and handled like those
 * of a peer, but use no connection.
 */
#include "core/internal.h"
#include "link/codec.h"

void
self_send(struct ir_node *n, uint32_t xid, const struct ir_msg *m)
{
	struct pending_message *q = pending_message_new(n, xid, m);

	if (q == NULL)
		return;
	if (n->self_tail != NULL)
		n->self_tail->next = q;
	else
		n->self_head = q;
	n->self_tail = q;
}

void
self_drain(struct ir_node *n, int64_t now)
{
	struct peer *self = NULL;

	while (n->self_head != NULL) {
		struct pending_message *q = n->self_head;
		struct ir_msg m;
		const char *error;
		uint32_t xid;

		n->self_head = q->next;
		if (n->self_head == NULL)
			n->self_tail = NULL;
		if (self == NULL)
			self = peer_get(n, n->settings.host);
		if (ir_codec_decode(q->data, q->size_bytes, &xid, &m, &error) ==
		    0) {
			if (ir_msg_is_call(&m))
				peer_handle_request(n, now, SELF_CONN, xid,
				    n->settings.host, &m);
			else
				peer_handle_reply(n, now, self, xid, &m);
		}
		ir_codec_free(&m);
		talloc_free(q);
	}
}
