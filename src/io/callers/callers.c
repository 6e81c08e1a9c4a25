/* The callers' thread. */
#include <sys/socket.h>

#include <errno.h>
#include <inttypes.h>
#include <unistd.h>
#include <utlist.h>

#include "io/admin/io_log.h"
#include "io/callers/caller_conn.h"
#include "io/callers/caller_sockets.h"
#include "io/clock.h"
#include "io/event_loop.h"
#include "io/receive_buffer.h"

/* How long the thread sends remaining answers after IR_FROM_CORE_STOP. */
#define FLUSH_TIMEOUT_US (500 * IR_US_PER_MS)
/* Longest wait of the loop while the outbox has a backlog or answers flush. */
#define BACKLOG_RETRY_US 1000
#define ACCEPT_BATCH 32
#define ACCEPT_RETRY_US (100 * IR_US_PER_MS)
#define SWEEP_PERIOD_US IR_US_PER_S

static struct request *
find_submitted(const struct ir_callers *c, uint64_t id)
{
	struct request *r;

	HASH_FIND(hh, c->submitted, &id, sizeof(id), r);
	return r;
}

static void
handle_answer(struct ir_callers *c, const struct ir_from_core *m)
{
	struct request *r = find_submitted(c, m->id);

	if (r == NULL)
		return;
	HASH_DEL(c->submitted, r);
	ir_request_answer(r, &m->u.answer);
	ir_caller_conn_write(r->conn);
	if (!ir_callers_have_memory(c, 0))
		ir_callers_evict(c, ir_clock_now());
}

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

/*
 * Answers the requests that the core left unanswered when it stopped. Those
 * that it had not taken by then, it refuses.
 */
static void
begin_flush(struct ir_callers *c, uint64_t last_call)
{
	c->flush_end_us = ir_clock_now() + FLUSH_TIMEOUT_US;
	c->close_after_answers = true;
	answer_as_unknown(c, last_call);
}

void
ir_callers_handle_core_messages(struct ir_callers *c)
{
	struct ir_from_core *m;

	while ((m = ir_ring_pop(c->channel->from_core)) != NULL) {
		if (m->kind == IR_FROM_CORE_ANSWER)
			handle_answer(c, m);
		if (m->kind == IR_FROM_CORE_LEAVING)
			c->close_after_answers = true;
		if (m->kind == IR_FROM_CORE_STOP)
			begin_flush(c, m->id);
		talloc_free(m);
	}
}

static void
free_closed(struct ir_callers *c)
{
	struct caller_conn *conn;

	while ((conn = c->closed_conns) != NULL) {
		LL_DELETE(c->closed_conns, conn);
		talloc_free(conn);
	}
}

static void
resume_accepting(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	struct listener *l = ctx;

	TEVENT_FD_READABLE(l->event);
}

/* Without the pause the loop would spin, as the listener stays readable. */
static void
pause_accepting(struct listener *l)
{
	TEVENT_FD_NOT_READABLE(l->event);
	ir_check_alloc(tevent_add_timer(l->callers->loop, l->callers,
	    tevent_timeval_current_ofs(0, ACCEPT_RETRY_US), resume_accepting,
	    l));
}

static void
on_connection(struct tevent_context *loop, struct tevent_fd *event,
    uint16_t flags, void *ctx)
{
	struct listener *l = ctx;

	for (int i = 0; i < ACCEPT_BATCH; i++) {
		int fd;

		if (l->callers->conn_count >= l->callers->max_connections ||
		    !ir_callers_can_accept(l->callers)) {
			pause_accepting(l);
			return;
		}
		fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && errno != EAGAIN && errno != ECONNABORTED)
			pause_accepting(l);
		if (fd < 0)
			return;
		ir_caller_conn_new(l, fd);
	}
}

static void schedule_sweep(struct ir_callers *c);

static void
sweep(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval at, void *ctx)
{
	struct ir_callers *c = ctx;

	c->sweep_scheduled = false;
	ir_callers_sweep(c, ir_clock_now());
}

/* Schedules the next sweep if there are connections. */
static void
schedule_sweep(struct ir_callers *c)
{
	if (c->sweep_scheduled || c->conns == NULL)
		return;
	c->sweep_scheduled = true;
	ir_check_alloc(tevent_add_timer(c->loop, c,
	    tevent_timeval_current_ofs(SWEEP_PERIOD_US / IR_US_PER_S, 0), sweep,
	    c));
}

static bool
is_flushed(const struct ir_callers *c)
{
	const struct caller_conn *conn;

	DL_FOREACH (c->conns, conn) {
		if (conn->output != NULL || conn->requests != NULL)
			return false;
	}
	return true;
}

/* At the end of the flush, answers what the core did not refuse. */
static bool
is_finished(struct ir_callers *c)
{
	if (c->flush_end_us == 0)
		return false;
	if (is_flushed(c))
		return true;
	if (ir_clock_now() < c->flush_end_us)
		return false;
	answer_as_unknown(c, UINT64_MAX);
	return true;
}

void *
ir_callers_run(void *ctx)
{
	struct ir_callers *c = ctx;

	for (;;) {
		ir_callers_handle_core_messages(c);
		if (!ir_callers_have_memory(c, 0))
			ir_callers_close_blocked(c, ir_clock_now());
		free_closed(c);
		if (is_finished(c))
			break;
		if (!ir_outbox_flush(&c->outbox) || c->flush_end_us != 0)
			ir_event_loop_limit_wait(c->loop, c, BACKLOG_RETRY_US);
		schedule_sweep(c);
		ir_event_loop_run_once(
		    c->loop, c->channel->wakeup, c->channel->from_core);
	}
	return NULL;
}

static bool
start_listener(struct ir_callers *c, struct listener *l, int fd)
{
	l->callers = c;
	l->fd = fd;
	if (fd < 0)
		return true;
	ir_receive_buffer_set_max(fd, IR_SOCKET_CALLER);
	l->event =
	    tevent_add_fd(c->loop, c, fd, TEVENT_FD_READ, on_connection, l);
	return l->event != NULL;
}

static void
add_socket(struct ir_caller_sockets *sum, const struct caller_conn *conn)
{
	uint32_t idle_ms = ir_socket_idle_ms(conn->fd);

	sum->open++;
	sum->unanswered += conn->requests != NULL;
	sum->unsent +=
	    conn->output != NULL || ir_socket_unsent_bytes(conn->fd) != 0;
	if (ir_socket_unread_bytes(conn->fd) == 0)
		return;
	sum->unread++;
	if (idle_ms > sum->unread_ms)
		sum->unread_ms = idle_ms;
}

static void
log_closed(const struct ir_callers *c)
{
	struct ir_caller_sockets sum = {0};
	const struct caller_conn *conn;
	uint32_t queued = ir_socket_queued(c->caller_listener.fd);

	if (c->egress_listener.fd >= 0)
		queued += ir_socket_queued(c->egress_listener.fd);
	DL_FOREACH (c->conns, conn)
		add_socket(&sum, conn);
	ir_io_log_event(c->channel->log, IR_EVENT_CALLERS_CLOSED, NULL,
	    "open=%" PRIu32 " unread=%" PRIu32 " unread_ms=%" PRIu32
	    " unanswered=%" PRIu32 " unsent=%" PRIu32 " queued=%" PRIu32,
	    sum.open, sum.unread, sum.unread_ms, sum.unanswered, sum.unsent,
	    queued);
}

static int
free_callers(struct ir_callers *c)
{
	log_closed(c);
	while (c->conns != NULL)
		ir_caller_conn_cut(c->conns, "stopped");
	free_closed(c);
	TALLOC_FREE(c->caller_listener.event);
	TALLOC_FREE(c->egress_listener.event);
	close(c->caller_listener.fd);
	if (c->egress_listener.fd >= 0)
		close(c->egress_listener.fd);
	ir_outbox_clear(&c->outbox);
	return 0;
}

struct ir_callers *
ir_callers_new(TALLOC_CTX *mem, struct ir_channel *channel,
    const struct ir_dialect *dialect, struct ir_memory *memory,
    uint32_t max_connections, int callers_fd, int egress_fd)
{
	struct ir_callers *c = talloc_zero(mem, struct ir_callers);

	if (c == NULL)
		return NULL;
	c->channel = channel;
	c->dialect = dialect;
	c->memory = memory;
	c->max_connections = max_connections;
	c->caller_listener.fd = callers_fd;
	c->egress_listener.fd = egress_fd;
	ir_outbox_init(&c->outbox, channel->to_core);
	ir_answer_size_init(&c->answer_size);
	c->egress_listener.egress = true;
	talloc_set_destructor(c, free_callers);
	c->loop = tevent_context_init(c);
	if (c->loop == NULL)
		goto fail;
	if (!ir_event_loop_add_wakeup(c->loop, c, channel->wakeup))
		goto fail;
	if (!start_listener(c, &c->caller_listener, callers_fd))
		goto fail;
	if (!start_listener(c, &c->egress_listener, egress_fd))
		goto fail;
	return c;

fail:
	talloc_free(c);
	return NULL;
}
