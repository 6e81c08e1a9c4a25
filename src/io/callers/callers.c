/* The callers' thread. */
#include <sys/socket.h>

#include <errno.h>
#include <unistd.h>
#include <utlist.h>

#include "io/callers/caller_conn.h"
#include "io/clock.h"
#include "io/event_loop.h"
#include "io/receive_buffer.h"

/* Longest wait of the loop while the outbox has a backlog. */
#define BACKLOG_RETRY_US 1000
/* The same while the thread stops. */
#define STOP_CHECK_US 5000
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
			ir_callers_stop(c, m->id, ir_clock_now(), m->end_us);
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

	if (l->event != NULL)
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

/* Accepts one connection. False if there is none or the thread must wait. */
static bool
accept_one(struct listener *l)
{
	int fd;

	if (l->callers->conn_count >= l->callers->max_connections ||
	    !ir_callers_can_accept(l->callers)) {
		pause_accepting(l);
		return false;
	}
	fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0 && errno == ECONNABORTED)
		return true;
	if (fd < 0 && errno != EAGAIN)
		pause_accepting(l);
	if (fd < 0)
		return false;
	ir_caller_conn_new(l, fd);
	return true;
}

static void
on_connection(struct tevent_context *loop, struct tevent_fd *event,
    uint16_t flags, void *ctx)
{
	for (int i = 0; i < ACCEPT_BATCH; i++) {
		if (!accept_one(ctx))
			return;
	}
}

void
ir_listener_accept(struct listener *l)
{
	while (accept_one(l))
		continue;
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

/* Tells the core whether callers have answers to take. */
static void
publish_unsent(struct ir_callers *c)
{
	uint32_t count = c->answered_requests + (c->blocked != NULL);

	__atomic_store_n(&c->channel->unsent_answers, count, __ATOMIC_RELAXED);
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
		if (ir_callers_is_stopped(c, ir_clock_now()))
			break;
		if (!ir_outbox_flush(&c->outbox))
			ir_event_loop_limit_wait(c->loop, c, BACKLOG_RETRY_US);
		if (c->stop.end_us != 0)
			ir_event_loop_limit_wait(c->loop, c, STOP_CHECK_US);
		publish_unsent(c);
		schedule_sweep(c);
		ir_event_loop_run_once(
		    c->loop, c->channel->wakeup, c->channel->from_core);
	}
	ir_callers_close_all(c);
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

static int
free_callers(struct ir_callers *c)
{
	while (c->conns != NULL)
		ir_caller_conn_cut(c->conns, "stopped");
	free_closed(c);
	TALLOC_FREE(c->caller_listener.event);
	TALLOC_FREE(c->egress_listener.event);
	if (c->caller_listener.fd >= 0)
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
