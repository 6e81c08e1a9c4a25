/* The peers' thread. */
#include <sys/socket.h>

#include <errno.h>
#include <stdlib.h>
#include <unistd.h>

#include "io/admin/io_log.h"
#include "io/clock.h"
#include "io/event_loop.h"
#include "io/listen.h"
#include "io/peers/peer_conn.h"
#include "io/peers/peers.h"
#include "io/receive_buffer.h"
#include "link/codec.h"

/* Interval between attempts to push messages into a full ring. */
#define BACKLOG_RETRY_US 1000
/* Time to send queued messages when the thread is stopped. */
#define FLUSH_TIMEOUT_US (500 * IR_US_PER_MS)
/* Least interval between two reports of progress on a connection. */
#define PROGRESS_PERIOD_US (50 * IR_US_PER_MS)
#define ACCEPT_BATCH 32
#define ACCEPT_RETRY_US (100 * IR_US_PER_MS)
/* Twice the time after which peers close unused links. */
#define IDLE_TIMEOUT_US (60 * IR_US_PER_S)
#define IDLE_CHECK_PERIOD_US (10 * IR_US_PER_S)

struct ir_peers {
	struct ir_channel *channel;
	struct ir_memory *memory;
	struct ir_outbox outbox;
	struct tevent_context *loop;
	struct tevent_fd *listen_event;
	int listen_fd;
	uint32_t max_connections;
	struct ir_peer_conn *conns; /* hashed by number */
	uint32_t last_accepted_number;
	int64_t next_idle_check_us; /* close_idle_conns() is due */
	struct tevent_timer *backlog_timer;
	int64_t flush_deadline_us; /* 0: not stopping */
};

static void
notify_core(struct ir_peers *p, enum ir_to_core_kind kind, uint32_t number)
{
	struct ir_to_core *m = ir_to_core_new(kind);

	m->conn = number;
	ir_outbox_push(&p->outbox, m);
}

static void
remove_conn(struct ir_peers *p, struct ir_peer_conn *c)
{
	notify_core(p, IR_TO_CORE_PEER_CLOSED, c->number);
	HASH_DEL(p->conns, c);
	talloc_free(c);
}

/* Runs from the event loop: callers of on_failed() still use the connection. */
static void
remove_failed_conn(
    struct tevent_context *loop, struct tevent_immediate *im, void *ctx)
{
	struct ir_peer_conn *c = ctx;

	talloc_free(im);
	remove_conn(c->ctx, c);
}

static void
on_failed(void *ctx, struct ir_peer_conn *c, const char *reason)
{
	struct ir_peers *p = ctx;
	struct tevent_immediate *im = tevent_create_immediate(c);

	if (im == NULL)
		abort();
	tevent_schedule_immediate(im, p->loop, remove_failed_conn, c);
}

static void
on_conn_connected(void *ctx, struct ir_peer_conn *c)
{
	notify_core(ctx, IR_TO_CORE_PEER_CONNECTED, c->number);
}

/* Dropped while messages wait for the core: those come first. */
static void
on_progressed(void *ctx, struct ir_peer_conn *c)
{
	struct ir_peers *p = ctx;
	int64_t now = ir_clock_now();

	if (now - c->progress_reported_us < PROGRESS_PERIOD_US ||
	    p->outbox.backlog_count != 0)
		return;
	c->progress_reported_us = now;
	notify_core(p, IR_TO_CORE_PEER_PROGRESS, c->number);
}

static void
report_bad_message(
    struct ir_peers *p, const struct ir_peer_conn *c, const char *error)
{
	ir_counters_add(&p->channel->counters, IR_COUNTER_MESSAGES_REJECTED, 1);
	ir_io_log_event(
	    p->channel->log, IR_EVENT_MESSAGE_BAD, error, "conn=%u", c->number);
}

static void resume_conns(struct tevent_context *loop,
    struct tevent_timer *timer, struct timeval now, void *ctx);

static void
set_backlog_timer(struct ir_peers *p)
{
	if (p->backlog_timer != NULL)
		return;
	p->backlog_timer = tevent_add_timer(p->loop, p,
	    tevent_timeval_current_ofs(0, BACKLOG_RETRY_US), resume_conns, p);
}

static bool
core_has_room(const struct ir_peers *p)
{
	return p->outbox.backlog_count == 0 &&
	       ir_message_charge_has_room(p->memory, 0);
}

/* Resumes the first connection and moves it to the end, for fairness. */
static void
resume_next(struct ir_peers *p)
{
	struct ir_peer_conn *c = p->conns;

	HASH_DEL(p->conns, c);
	HASH_ADD(hh, p->conns, number, sizeof(c->number), c);
	ir_peer_conn_resume(c);
}

/* Resumes connections that were suspended while the ring was full. */
static void
resume_conns(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	struct ir_peers *p = ctx;
	unsigned left = HASH_COUNT(p->conns);

	p->backlog_timer = NULL;
	(void)ir_outbox_flush(&p->outbox);
	for (; left > 0 && core_has_room(p); left--)
		resume_next(p);
	if (!core_has_room(p))
		set_backlog_timer(p);
}

/* No connection receives before all have handed over buffered records. */
static bool
on_may_receive(void *ctx)
{
	struct ir_peers *p = ctx;

	if (core_has_room(p) && p->backlog_timer == NULL)
		return true;
	set_backlog_timer(p);
	return false;
}

/* Returns false, with the connection failed, when the record is malformed. */
static bool
decode_record(struct ir_peers *p, struct ir_peer_conn *c, struct ir_to_core *m,
    const uint8_t *data, size_t size_bytes)
{
	const char *error;

	if (ir_codec_decode(data, size_bytes, &m->xid, &m->u.msg, &error) == 0)
		return true;
	report_bad_message(p, c, error);
	ir_peer_conn_fail(c, error);
	return false;
}

/*
 * Returns true when m is then the message whose last part it was, of
 * *size_bytes.
 */
static bool
take_part(struct ir_peers *p, struct ir_peer_conn *c, struct ir_to_core *m,
    size_t *size_bytes)
{
	bool whole = ir_peer_conn_add_part(c, &m->u.msg.ir_msg_u.part);

	if (!whole) {
		if (!c->failing)
			on_progressed(p, c);
		return false;
	}
	ir_codec_free(&m->u.msg);
	if (!decode_record(p, c, m, c->parts, c->parts_bytes))
		return false;
	*size_bytes = c->parts_bytes;
	ir_peer_conn_free_parts(c);
	return true;
}

static void
send_take_parts(struct ir_peer_conn *c)
{
	struct ir_msg m = {.kind = IR_MSG_TAKE_PARTS};
	uint8_t *data;
	size_t size = ir_codec_encode(c, 0, &m, &data);

	if (size != 0)
		ir_peer_conn_send(c, data, size);
}

/* Returns whether m is a message for the core. */
static bool
handle_parts(struct ir_peers *p, struct ir_peer_conn *c, struct ir_to_core *m,
    size_t *size_bytes)
{
	const struct ir_msg *msg = &m->u.msg;

	switch (msg->kind) {
	case IR_MSG_TAKE_PARTS:
		c->takes_parts = true;
		return false;
	case IR_MSG_PART:
		return take_part(p, c, m, size_bytes);
	case IR_MSG_HELLO_REPLY:
		if ((msg->ir_msg_u.hello_reply.accepted &
			IR_HELLO_SENDS_PARTS) != 0)
			send_take_parts(c);
		return true;
	default:
		return true;
	}
}

static bool
on_record(
    void *ctx, struct ir_peer_conn *c, const uint8_t *data, size_t size_bytes)
{
	struct ir_peers *p = ctx;
	struct ir_to_core *m = ir_to_core_new(IR_TO_CORE_PEER_MESSAGE);

	m->conn = c->number;
	if (!decode_record(p, c, m, data, size_bytes) ||
	    !handle_parts(p, c, m, &size_bytes)) {
		talloc_free(m);
		return !c->failing;
	}
	ir_message_charge_hold(&m->charge, p->memory, size_bytes);
	ir_outbox_push(&p->outbox, m);
	if (core_has_room(p))
		return true;
	set_backlog_timer(p);
	return false;
}

static void
close_over_limit(struct ir_peers *p, struct ir_peer_conn *c, const char *reason)
{
	ir_io_log_event(p->channel->log, IR_EVENT_LINK_LOST, NULL,
	    "conn=%u why=%s", c->number, reason);
	ir_peer_conn_fail(c, reason);
}

/* The connection that holds most memory; NULL if none holds any. */
static struct ir_peer_conn *
largest_conn(const struct ir_peers *p)
{
	struct ir_peer_conn *c, *largest = NULL;

	for (c = p->conns; c != NULL; c = c->hh.next) {
		if (c->charged_bytes >
		    (largest != NULL ? largest->charged_bytes : 0))
			largest = c;
	}
	return largest;
}

static uint64_t
max_unsent_bytes(const struct ir_peers *p)
{
	uint64_t bound = p->memory->bound_bytes[IR_MEMORY_PEERS];

	return bound < IR_MAX_UNSENT_BYTES ? bound : IR_MAX_UNSENT_BYTES;
}

static bool
drop_views(struct ir_peers *p, struct ir_peer_conn *c)
{
	if (!ir_peer_conn_drop_views(c))
		return false;
	ir_counters_add(&p->channel->counters, IR_COUNTER_VIEWS_DROPPED, 1);
	return true;
}

/* A peer asks again for a view; attempts on a closed link are in doubt. */
static void
drop_views_over_limit(struct ir_peers *p)
{
	struct ir_peer_conn *c;

	for (c = p->conns; c != NULL; c = c->hh.next) {
		if (ir_memory_has_room(p->memory, IR_MEMORY_PEERS, 0))
			return;
		(void)drop_views(p, c);
	}
}

static void
on_memory_grew(void *ctx, struct ir_peer_conn *c)
{
	struct ir_peers *p = ctx;
	struct ir_peer_conn *largest;

	if (c->unsent_bytes > max_unsent_bytes(p))
		(void)drop_views(p, c);
	if (c->unsent_bytes > max_unsent_bytes(p))
		close_over_limit(p, c, "unsent-bytes");
	drop_views_over_limit(p);
	while (!ir_memory_has_room(p->memory, IR_MEMORY_PEERS, 0) &&
	       (largest = largest_conn(p)) != NULL)
		close_over_limit(p, largest, "memory");
}

static const struct ir_peer_conn_ops conn_ops = {
    .connected = on_conn_connected,
    .may_receive = on_may_receive,
    .record = on_record,
    .progressed = on_progressed,
    .memory_grew = on_memory_grew,
    .failed = on_failed,
};

static void
add_conn(struct ir_peers *p, int fd, uint32_t number, bool connecting)
{
	struct ir_peer_conn *c;

	c = ir_peer_conn_new(
	    p, p->loop, p->memory, fd, number, connecting, &conn_ops, p);
	if (c == NULL) {
		notify_core(p, IR_TO_CORE_PEER_CLOSED, number);
		return;
	}
	HASH_ADD(hh, p->conns, number, sizeof(c->number), c);
}

static void
add_accepted_conn(struct ir_peers *p, int fd)
{
	if (HASH_COUNT(p->conns) >= p->max_connections) {
		close(fd);
		return;
	}
	do {
		struct ir_peer_conn *taken;

		p->last_accepted_number += 2;
		HASH_FIND(hh, p->conns, &p->last_accepted_number,
		    sizeof(p->last_accepted_number), taken);
		if (taken == NULL)
			break;
	} while (true);
	add_conn(p, fd, p->last_accepted_number, false);
}

static void
resume_accepting(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	struct ir_peers *p = ctx;

	TEVENT_FD_READABLE(p->listen_event);
}

/* Without descriptors the listener stays readable and the loop would spin. */
static void
pause_accepting(struct ir_peers *p)
{
	TEVENT_FD_NOT_READABLE(p->listen_event);
	tevent_add_timer(p->loop, p,
	    tevent_timeval_current_ofs(0, ACCEPT_RETRY_US), resume_accepting,
	    p);
}

static void
on_listen(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	struct ir_peers *p = ctx;

	for (int i = 0; i < ACCEPT_BATCH; i++) {
		int fd = accept4(
		    p->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0 && errno != EAGAIN && errno != ECONNABORTED)
			pause_accepting(p);
		if (fd < 0)
			return;
		add_accepted_conn(p, fd);
	}
}

static void
connect_to_peer(struct ir_peers *p, const struct ir_from_core *m)
{
	struct sockaddr_storage s;
	socklen_t size;
	int fd;

	size = ir_socket_address(m->u.connect.address, m->u.connect.port, &s);
	if (size == 0 || HASH_COUNT(p->conns) >= p->max_connections)
		goto fail;
	fd = socket(s.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	ir_receive_buffer_set_max(fd, IR_SOCKET_PEER);
	if (connect(fd, (struct sockaddr *)&s, size) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		goto fail;
	}
	add_conn(p, fd, m->conn, true);
	return;

fail:
	notify_core(p, IR_TO_CORE_PEER_CLOSED, m->conn);
}

static struct ir_peer_conn *
find_conn(const struct ir_peers *p, uint32_t number)
{
	struct ir_peer_conn *c;

	HASH_FIND(hh, p->conns, &number, sizeof(number), c);
	return c;
}

static void
handle_core_message(struct ir_peers *p, struct ir_from_core *m)
{
	struct ir_peer_conn *c;

	switch (m->kind) {
	case IR_FROM_CORE_PEER_CONNECT:
		connect_to_peer(p, m);
		break;
	case IR_FROM_CORE_PEER_CLOSE:
		c = find_conn(p, m->conn);
		if (c != NULL)
			remove_conn(p, c);
		break;
	case IR_FROM_CORE_PEER_SEND:
		c = find_conn(p, m->conn);
		if (c != NULL)
			ir_peer_conn_send(
			    c, m->u.send.data, m->u.send.size_bytes);
		break;
	case IR_FROM_CORE_STOP:
		p->flush_deadline_us = ir_clock_now() + FLUSH_TIMEOUT_US;
		break;
	default:
		break;
	}
	talloc_free(m);
}

static bool
all_sent(const struct ir_peers *p)
{
	const struct ir_peer_conn *c;

	for (c = p->conns; c != NULL; c = c->hh.next) {
		if (c->unsent_bytes != 0 && !c->connecting && !c->failing)
			return false;
	}
	return true;
}

static bool
may_stop(const struct ir_peers *p)
{
	if (p->flush_deadline_us == 0)
		return false;
	return all_sent(p) || ir_clock_now() >= p->flush_deadline_us;
}

static void set_idle_check_timer(struct ir_peers *p);

/*
 * Closes accepted connections that received nothing: a peer that vanished
 * doesn't close its end. Skipped when the timer fires late, because a process
 * that was suspended has not yet read what arrived meanwhile.
 */
static void
close_idle_conns(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval at, void *ctx)
{
	struct ir_peers *p = ctx;
	struct ir_peer_conn *c, *next;
	int64_t now = ir_clock_now();
	bool late = now - p->next_idle_check_us > IDLE_CHECK_PERIOD_US;

	set_idle_check_timer(p);
	if (late)
		return;
	HASH_ITER (hh, p->conns, c, next) {
		if (c->number % 2 == 1 &&
		    now - c->last_receive_us > IDLE_TIMEOUT_US)
			ir_peer_conn_fail(c, "silent");
	}
}

static void
set_idle_check_timer(struct ir_peers *p)
{
	p->next_idle_check_us = ir_clock_now() + IDLE_CHECK_PERIOD_US;
	tevent_add_timer(p->loop, p,
	    tevent_timeval_current_ofs(IDLE_CHECK_PERIOD_US / IR_US_PER_S, 0),
	    close_idle_conns, p);
}

void *
ir_peers_run(void *ctx)
{
	struct ir_peers *p = ctx;
	struct ir_from_core *m;

	set_idle_check_timer(p);
	while (!may_stop(p)) {
		while ((m = ir_ring_pop(p->channel->from_core)) != NULL)
			handle_core_message(p, m);
		if (!ir_outbox_flush(&p->outbox))
			set_backlog_timer(p);
		if (p->flush_deadline_us != 0)
			ir_event_loop_limit_wait(p->loop, p, BACKLOG_RETRY_US);
		ir_event_loop_run_once(
		    p->loop, p->channel->wakeup, p->channel->from_core);
	}
	return NULL;
}

static int
free_peers(struct ir_peers *p)
{
	struct ir_peer_conn *c, *next;

	HASH_ITER (hh, p->conns, c, next) {
		HASH_DEL(p->conns, c);
		talloc_free(c);
	}
	TALLOC_FREE(p->listen_event);
	close(p->listen_fd);
	ir_outbox_clear(&p->outbox);
	return 0;
}

struct ir_peers *
ir_peers_new(TALLOC_CTX *mem, struct ir_channel *channel,
    struct ir_memory *memory, uint32_t max_connections, int listen_fd)
{
	struct ir_peers *p = talloc_zero(mem, struct ir_peers);

	if (p == NULL)
		return NULL;
	p->channel = channel;
	p->memory = memory;
	p->listen_fd = listen_fd;
	p->max_connections = max_connections;
	p->last_accepted_number = UINT32_MAX;
	ir_receive_buffer_set_max(listen_fd, IR_SOCKET_PEER);
	ir_outbox_init(&p->outbox, channel->to_core);
	talloc_set_destructor(p, free_peers);
	p->loop = tevent_context_init(p);
	if (p->loop == NULL)
		goto fail;
	p->listen_event =
	    tevent_add_fd(p->loop, p, listen_fd, TEVENT_FD_READ, on_listen, p);
	if (p->listen_event == NULL)
		goto fail;
	if (!ir_event_loop_add_wakeup(p->loop, p, channel->wakeup))
		goto fail;
	return p;

fail:
	talloc_free(p);
	return NULL;
}
