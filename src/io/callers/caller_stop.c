/* The end of the callers' thread: no request is left in a socket. */
#include <inttypes.h>
#include <unistd.h>
#include <utlist.h>

#include "io/admin/io_log.h"
#include "io/callers/caller_conn.h"
#include "io/callers/caller_sockets.h"

/*
 * Time for requests that are on their way when the listeners are closed. They
 * are refused; connections without a request are closed after it.
 */
#define SETTLE_US (100 * IR_US_PER_MS)
/* From the last connection's end to the end of the process. */
#define END_MARGIN_US (100 * IR_US_PER_MS)
/* How often connections are checked. */
#define CHECK_PERIOD_US (5 * IR_US_PER_MS)

/*
 * Answers submitted requests up to last_call. Their outcome is unknown, because
 * they may have run.
 */
static void
answer_as_unknown(struct ir_callers *c, uint64_t last_call)
{
	struct caller_conn *conn, *next_conn;
	struct request *r, *next;

	HASH_ITER (hh, c->submitted, r, next) {
		if (r->id > last_call)
			continue;
		HASH_DEL(c->submitted, r);
		r->refusal =
		    ir_refusal_make(IR_E_HOST_LOST, "drain-ended", NULL);
		ir_request_refuse(r);
	}
	/* A failed write frees all requests of its connection. */
	DL_FOREACH_SAFE (c->conns, conn, next_conn)
		ir_caller_conn_write(conn);
}

static void
close_listener(struct listener *l)
{
	if (l->fd < 0)
		return;
	ir_listener_accept(l);
	TALLOC_FREE(l->event);
	close(l->fd);
	l->fd = -1;
}

void
ir_callers_stop(
    struct ir_callers *c, uint64_t last_call, int64_t now, int64_t end_us)
{
	c->stop.settled_us = now + SETTLE_US;
	c->stop.end_us = end_us - END_MARGIN_US;
	c->close_after_answers = true;
	answer_as_unknown(c, last_call);
	close_listener(&c->caller_listener);
	close_listener(&c->egress_listener);
}

/* Whether a request was read whose answer is not yet sent. */
static bool
owes_answer(const struct caller_conn *conn)
{
	const struct request *r;

	DL_FOREACH (conn->requests, r) {
		if (r->state != REQUEST_RECEIVING)
			return true;
	}
	return conn->output != NULL;
}

/*
 * Whether closing the connection loses nothing: neither a request that was
 * received nor a part of an answer.
 */
static bool
may_close(const struct caller_conn *conn, int64_t now)
{
	if (owes_answer(conn) || ir_socket_unread_bytes(conn->fd) != 0 ||
	    ir_socket_unsent_bytes(conn->fd) != 0)
		return false;
	return conn->lingering ||
	       now >= conn->listener->callers->stop.settled_us;
}

static void
add_socket(struct ir_caller_sockets *sum, const struct caller_conn *conn)
{
	uint32_t idle_ms = ir_socket_idle_ms(conn->fd);

	sum->open++;
	sum->unanswered += owes_answer(conn);
	sum->unsent +=
	    conn->output != NULL || ir_socket_unsent_bytes(conn->fd) != 0;
	if (ir_socket_unread_bytes(conn->fd) == 0)
		return;
	sum->unread++;
	if (idle_ms > sum->unread_ms)
		sum->unread_ms = idle_ms;
}

static uint32_t
queued(const struct ir_callers *c)
{
	uint32_t count = 0;

	if (c->caller_listener.fd >= 0)
		count += ir_socket_queued(c->caller_listener.fd);
	if (c->egress_listener.fd >= 0)
		count += ir_socket_queued(c->egress_listener.fd);
	return count;
}

void
ir_callers_close_all(struct ir_callers *c)
{
	struct ir_caller_sockets sum = {0};
	const struct caller_conn *conn;

	DL_FOREACH (c->conns, conn)
		add_socket(&sum, conn);
	ir_io_log_event(c->channel->log, IR_EVENT_CALLERS_CLOSED, NULL,
	    "open=%" PRIu32 " unread=%" PRIu32 " unread_ms=%" PRIu32
	    " unanswered=%" PRIu32 " unsent=%" PRIu32 " queued=%" PRIu32,
	    sum.open, sum.unread, sum.unread_ms, sum.unanswered, sum.unsent,
	    queued(c));
	while (c->conns != NULL)
		ir_caller_conn_cut(c->conns, "stopped");
}

bool
ir_callers_is_stopped(struct ir_callers *c, int64_t now)
{
	struct caller_conn *conn, *next;

	if (c->stop.end_us == 0)
		return false;
	if (now >= c->stop.end_us) {
		answer_as_unknown(c, UINT64_MAX);
		return true;
	}
	if (now < c->stop.next_check_us)
		return false;
	c->stop.next_check_us = now + CHECK_PERIOD_US;
	DL_FOREACH_SAFE (c->conns, conn, next) {
		if (may_close(conn, now))
			ir_caller_conn_close(conn, "stopped");
	}
	return c->conns == NULL;
}
