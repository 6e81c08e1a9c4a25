/* Callbacks of the node: they send its actions to the other threads. */
#include <utlist.h>

#include "io/admin/io_log.h"
#include "io/clock.h"
#include "io/core/core_out.h"
#include "link/codec.h"

/* Messages that may wait in an outbox; core_loop.h says what happens beyond. */
#define MAX_PENDING_RUNS 4096
#define MAX_PENDING_PEER_MESSAGES 16384

static void
defer_event(struct core *c, struct ir_to_core *m)
{
	struct deferred_event *e =
	    ir_check_alloc(talloc_zero(NULL, struct deferred_event));

	e->message = m;
	DL_APPEND(c->deferred_events, e);
}

static void
report_full(struct core *c, const char *ring, const char *what)
{
	ir_counters_add(&c->loop->counters, IR_COUNTER_RING_FULL, 1);
	ir_io_log_event(c->loop->log, IR_EVENT_RING_FULL, NULL,
	    "ring=%s what=%s", ring, what);
}

static bool
is_closing(const struct core *c, uint32_t conn)
{
	struct closing_conn *cc;

	HASH_FIND(hh, c->closing_conns, &conn, sizeof(conn), cc);
	return cc != NULL;
}

static void
mark_closing(struct core *c, uint32_t conn)
{
	struct closing_conn *cc =
	    ir_check_alloc(talloc_zero(NULL, struct closing_conn));

	cc->conn = conn;
	HASH_ADD(hh, c->closing_conns, conn, sizeof(cc->conn), cc);
}

void
ir_core_conn_closed(struct core *c, uint32_t conn)
{
	struct closing_conn *cc;

	HASH_FIND(hh, c->closing_conns, &conn, sizeof(conn), cc);
	if (cc == NULL)
		return;
	HASH_DEL(c->closing_conns, cc);
	talloc_free(cc);
}

/*
 * Whether the peers' thread may be sent this many more bytes. When it has taken
 * all messages it may always be sent one: each then has room at some time,
 * whatever its size and whoever fills the rings.
 */
static bool
peers_have_room(const struct core *c, size_t size_bytes)
{
	const struct ir_outbox *o = &c->outboxes[IR_THREAD_PEERS];

	if (ir_outbox_is_empty(o))
		return true;
	return o->backlog_count < MAX_PENDING_PEER_MESSAGES &&
	       ir_message_charge_has_room(c->loop->memory, size_bytes);
}

/* Reported once until a message is taken again, as messages are repeated. */
static void
report_peers_full(struct core *c, const char *what)
{
	if (!c->peers_full)
		report_full(c, "peers", what);
	c->peers_full = true;
}

/* At most the bytes of the encoded message. */
static size_t
body_bytes(const struct ir_msg *m)
{
	switch (m->kind) {
	case IR_MSG_FORWARD:
		return m->ir_msg_u.forward.body.body_len;
	case IR_MSG_REGION_FORWARD:
		return m->ir_msg_u.region_forward.forward.body.body_len;
	case IR_MSG_ANSWER:
		return m->ir_msg_u.answer.body.body_len;
	case IR_MSG_STATUS_REPLY:
		return m->ir_msg_u.status_reply.body.body_len;
	default:
		return 0;
	}
}

static void
send_close(struct core *c, uint32_t conn)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_PEER_CLOSE);

	m->conn = conn;
	ir_outbox_push(&c->outboxes[IR_THREAD_PEERS], m);
}

static bool
on_connect(void *ctx, uint32_t conn, const char *address, uint16_t port)
{
	struct core *c = ctx;
	struct ir_from_core *m;

	if (!peers_have_room(c, 0)) {
		report_peers_full(c, "connect");
		return false;
	}
	m = ir_from_core_new(IR_FROM_CORE_PEER_CONNECT);
	m->conn = conn;
	m->u.connect.address = ir_text_copy(m, address);
	m->u.connect.port = port;
	ir_outbox_push(&c->outboxes[IR_THREAD_PEERS], m);
	return true;
}

static void
on_close(void *ctx, uint32_t conn)
{
	struct core *c = ctx;

	if (!is_closing(c, conn))
		send_close(c, conn);
}

/* A message that cannot be encoded would be repeated for ever. */
static void
close_unencodable(struct core *c, uint32_t conn, const struct ir_msg *m)
{
	ir_io_log_event(c->loop->log, IR_EVENT_MESSAGE_BAD, "encode",
	    "conn=%u kind=%d", conn, (int)m->kind);
	mark_closing(c, conn);
	send_close(c, conn);
}

static bool
on_send(void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *msg)
{
	struct core *c = ctx;
	struct ir_from_core *m;

	if (is_closing(c, conn))
		return true;
	if (!peers_have_room(c, body_bytes(msg))) {
		report_peers_full(c, "send");
		return false;
	}
	m = ir_from_core_new(IR_FROM_CORE_PEER_SEND);
	m->conn = conn;
	m->u.send.size_bytes = ir_codec_encode(m, xid, msg, &m->u.send.data);
	if (m->u.send.size_bytes == 0) {
		talloc_free(m);
		close_unencodable(c, conn, msg);
		return true;
	}
	if (!peers_have_room(c, m->u.send.size_bytes)) {
		talloc_free(m);
		report_peers_full(c, "send");
		return false;
	}
	ir_message_charge_hold(
	    &m->charge, c->loop->memory, m->u.send.size_bytes);
	ir_outbox_push(&c->outboxes[IR_THREAD_PEERS], m);
	c->peers_full = false;
	return true;
}

static void
copy_run(struct ir_from_core *m, const struct ir_run *r)
{
	struct ir_run *to = &m->u.run;

	*to = *r;
	to->attempt = ir_text_copy(m, r->attempt);
	to->request = ir_text_copy(m, r->request);
	to->account = ir_text_copy(m, r->account);
	to->authority = ir_text_copy(m, r->authority);
	to->caller_attempt = ir_text_copy(m, r->caller_attempt);
	to->origin = ir_text_copy(m, r->origin);
	to->upstream_id = ir_text_copy(m, r->upstream_id);
	to->method = ir_text_copy(m, r->method);
	to->path = ir_text_copy(m, r->path);
	to->headers = ir_headers_copy(m, r->headers, r->header_count);
	to->body = ir_bytes_copy(m, r->body, r->body_bytes);
}

static void
on_run(void *ctx, const struct ir_run *r)
{
	struct core *c = ctx;
	struct ir_from_core *m;
	struct ir_to_core *ended;

	if (c->outboxes[IR_THREAD_UPSTREAM].backlog_count >= MAX_PENDING_RUNS ||
	    !ir_message_charge_has_room(c->loop->memory, r->body_bytes)) {
		report_full(c, "upstream", "run");
		ended = ir_to_core_new(IR_TO_CORE_RUN_ENDED);
		ended->id = r->id;
		ended->u.result.end = IR_RUN_NO_ROOM;
		defer_event(c, ended);
		return;
	}
	m = ir_from_core_new(IR_FROM_CORE_RUN);
	m->id = r->id;
	ir_message_charge_hold(&m->charge, c->loop->memory, r->body_bytes);
	copy_run(m, r);
	ir_outbox_push(&c->outboxes[IR_THREAD_UPSTREAM], m);
}

static void
on_cancel_run(void *ctx, uint64_t id)
{
	struct core *c = ctx;
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_CANCEL_RUN);

	m->id = id;
	ir_outbox_push(&c->outboxes[IR_THREAD_UPSTREAM], m);
}

static void
on_check_upstream(void *ctx, const char *path)
{
	struct core *c = ctx;
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_CHECK_UPSTREAM);

	m->u.check_path = ir_text_copy(m, path);
	ir_outbox_push(&c->outboxes[IR_THREAD_UPSTREAM], m);
}

static void
on_answer(void *ctx, uint64_t call, const struct ir_answer *a)
{
	struct core *c = ctx;
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_ANSWER);
	struct ir_answer *to = &m->u.answer;

	m->id = call;
	ir_message_charge_hold(&m->charge, c->loop->memory, a->body_bytes);
	*to = *a;
	to->headers = ir_headers_copy(m, a->headers, a->header_count);
	to->body = ir_bytes_copy(m, a->body, a->body_bytes);
	ir_outbox_push(&c->outboxes[IR_THREAD_CALLERS], m);
}

static void
on_log(void *ctx, enum ir_event event, const char *fields)
{
	struct core *c = ctx;

	ir_log_event(c->loop->log, ir_clock_now(), event, fields);
}

const struct ir_node_ops ir_core_ops = {
    .connect = on_connect,
    .close = on_close,
    .send = on_send,
    .run = on_run,
    .cancel_run = on_cancel_run,
    .check_upstream = on_check_upstream,
    .answer = on_answer,
    .log = on_log,
};
