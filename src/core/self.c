/*
 * Messages of a node to itself. They are encoded, queued and handled like those
 * of a peer, but use no connection.
 */
#include "core/internal.h"

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

struct pending_message *
self_next(struct ir_node *n)
{
	struct pending_message *q = n->self_head;

	if (q == NULL)
		return NULL;
	n->self_head = q->next;
	if (n->self_head == NULL)
		n->self_tail = NULL;
	return q;
}
