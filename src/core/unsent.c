/*
 * Replies without a record that had no room. Each is kept, encoded, until it
 * can be sent. Of a view its request is kept, as the view may be large and its
 * ages change.
 */
#include "core/internal.h"
#include "link/codec.h"

/* From this number on, messages of peers wait with the I/O side. */
#define MANY_UNSENT_REPLIES 1024

struct unsent_reply {
	uint32_t conn;
	struct pending_message *message;
	size_t accounted_bytes; /* in IR_MEMORY_RECORDS */
	struct unsent_reply *prev;
	struct unsent_reply *next;
};

void
unsent_keep(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	struct unsent_reply *u = talloc_zero(n, struct unsent_reply);

	if (u == NULL)
		return;
	u->conn = conn;
	u->message = pending_message_new(u, xid, m);
	if (u->message == NULL) {
		talloc_free(u);
		return;
	}
	u->accounted_bytes = ir_memory_tree_bytes(u);
	ir_memory_hold(
	    n->settings.memory, IR_MEMORY_RECORDS, u->accounted_bytes);
	DL_APPEND(n->unsent_replies, u);
	n->unsent_reply_count++;
}

void
unsent_reply(
    struct ir_node *n, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	if (!peer_reply(n, conn, xid, m))
		unsent_keep(n, conn, xid, m);
}

static void
free_reply(struct ir_node *n, struct unsent_reply *u)
{
	DL_DELETE(n->unsent_replies, u);
	n->unsent_reply_count--;
	ir_memory_release(
	    n->settings.memory, IR_MEMORY_RECORDS, u->accounted_bytes);
	talloc_free(u);
}

/* A request that is repeated is kept again when there is still no room. */
static bool
repeat_request(struct ir_node *n, int64_t now, struct unsent_reply *u,
    uint32_t xid, const struct ir_msg *m, unsent_repeat_fn repeat)
{
	uint32_t count = n->unsent_reply_count;

	repeat(n, now, u->conn, xid, m);
	free_reply(n, u);
	return n->unsent_reply_count < count;
}

/* Returns whether there was room. */
static bool
send_first(struct ir_node *n, int64_t now, unsent_repeat_fn repeat)
{
	struct unsent_reply *u = n->unsent_replies;
	struct ir_msg m;
	const char *error;
	uint32_t xid;
	bool room = true;

	if (ir_codec_decode(u->message->data, u->message->size_bytes, &xid, &m,
		&error) == 0) {
		if (ir_msg_is_call(&m))
			room = repeat_request(n, now, u, xid, &m, repeat);
		else if ((room = peer_reply(n, u->conn, xid, &m)))
			free_reply(n, u);
	} else {
		free_reply(n, u);
	}
	ir_codec_free(&m);
	return room;
}

bool
unsent_send(struct ir_node *n, int64_t now, unsent_repeat_fn repeat)
{
	while (n->unsent_replies != NULL) {
		if (!send_first(n, now, repeat))
			return false;
	}
	return true;
}

bool
ir_node_may_receive(const struct ir_node *n)
{
	return n->unsent_reply_count < MANY_UNSENT_REPLIES;
}
