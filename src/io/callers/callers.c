/* The callers' thread. */
#include <sys/socket.h>

#include <errno.h>
#include <unistd.h>
#include <utlist.h>

#include "io/callers/caller_conn.h"
#include "io/clock.h"
#include "io/turn.h"

#define FLUSH_US (500 * IR_US_PER_MS)
#define BACKLOG_RETRY_US 1000
#define ACCEPT_BATCH 32
#define ACCEPT_RETRY_US (100 * IR_US_PER_MS)
#define SWEEP_US IR_US_PER_S

static struct request *
find(const struct ir_callers *c, uint64_t id)
{
	struct request *r;

	HASH_FIND(hh, c->waiting, &id, sizeof(id), r);
	return r;
}

static void
take_answer(struct ir_callers *c, const struct ir_from_core *m)
{
	struct request *r = find(c, m->id);

	if (r == NULL)
		return;
	HASH_DEL(c->waiting, r);
	ir_request_answer(r, &m->u.answer);
	ir_caller_conn_write(r->conn);
	if (!ir_callers_have_room(c, 0))
		ir_callers_give_way(c, ir_clock_now());
}

/* What the core left unanswered at its end may have run. */
static void
begin_flush(struct ir_callers *c)
{
	struct request *r, *next;

	c->flush_end_us = ir_clock_now() + FLUSH_US;
	c->closing = true;
	HASH_ITER (hh, c->waiting, r, next) {
		HASH_DEL(c->waiting, r);
		r->refusal = ir_refuse(IR_E_HOST_LOST, "drain-ended", NULL);
		ir_request_refuse(r);
		ir_caller_conn_write(r->conn);
	}
}

void
ir_callers_take_messages(struct ir_callers *c)
{
	struct ir_from_core *m;

	while ((m = ir_ring_pop(c->channel->from_core)) != NULL) {
		if (m->kind == IR_FROM_CORE_ANSWER)
			take_answer(c, m);
		if (m->kind == IR_FROM_CORE_LEAVING)
			c->closing = true;
		if (m->kind == IR_FROM_CORE_STOP)
			begin_flush(c);
		talloc_free(m);
	}
}

static void
free_dead(struct ir_callers *c)
{
	struct caller_conn *d;

	while ((d = c->dead) != NULL) {
		LL_DELETE(c->dead, d);
		talloc_free(d);
	}
}

static void
accept_again(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	struct listener *l = ctx;

	TEVENT_FD_READABLE(l->event);
}

/* Without this the listener would stay readable without end. */
static void
pause_accepting(struct listener *l)
{
	TEVENT_FD_NOT_READABLE(l->event);
	ir_must(tevent_add_timer(l->callers->loop, l->callers,
	    tevent_timeval_current_ofs(0, ACCEPT_RETRY_US), accept_again, l));
}

static void
on_listen(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	struct listener *l = ctx;

	for (int i = 0; i < ACCEPT_BATCH; i++) {
		int fd;

		if (l->callers->conn_count >= l->callers->max_connections ||
		    !ir_callers_have_room_to_accept(l->callers)) {
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

static void set_sweep(struct ir_callers *c);

static void
sweep(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval at, void *ctx)
{
	struct ir_callers *c = ctx;

	c->sweep_set = false;
	ir_caller_conn_sweep(c, ir_clock_now());
}

/* While there is a connection. */
static void
set_sweep(struct ir_callers *c)
{
	if (c->sweep_set || c->conns == NULL)
		return;
	c->sweep_set = true;
	ir_must(tevent_add_timer(c->loop, c,
	    tevent_timeval_current_ofs(SWEEP_US / IR_US_PER_S, 0), sweep, c));
}

static bool
is_flushed(const struct ir_callers *c)
{
	const struct caller_conn *conn;

	DL_FOREACH (c->conns, conn) {
		if (conn->out != NULL || conn->requests != NULL)
			return false;
	}
	return true;
}

static bool
is_ended(const struct ir_callers *c)
{
	if (c->flush_end_us == 0)
		return false;
	return is_flushed(c) || ir_clock_now() >= c->flush_end_us;
}

void *
ir_callers_run(void *ctx)
{
	struct ir_callers *c = ctx;

	for (;;) {
		ir_callers_take_messages(c);
		if (!ir_callers_have_room(c, 0))
			ir_callers_end_unread(c, ir_clock_now());
		free_dead(c);
		if (is_ended(c))
			break;
		if (!ir_outbox_flush(&c->out) || c->flush_end_us != 0)
			ir_turn_ends_after(c->loop, c, BACKLOG_RETRY_US);
		set_sweep(c);
		ir_turn(c->loop, c->channel->wake, c->channel->from_core);
	}
	return NULL;
}

static bool
start(struct ir_callers *c, struct listener *l, int fd)
{
	l->callers = c;
	l->fd = fd;
	if (fd < 0)
		return true;
	l->event = tevent_add_fd(c->loop, c, fd, TEVENT_FD_READ, on_listen, l);
	return l->event != NULL;
}

static int
free_callers(struct ir_callers *c)
{
	while (c->conns != NULL)
		ir_caller_conn_end(c->conns);
	free_dead(c);
	TALLOC_FREE(c->callers.event);
	TALLOC_FREE(c->egress.event);
	close(c->callers.fd);
	if (c->egress.fd >= 0)
		close(c->egress.fd);
	ir_outbox_clear(&c->out);
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
	c->callers.fd = callers_fd;
	c->egress.fd = egress_fd;
	ir_outbox_init(&c->out, channel->to_core);
	ir_expect_init(&c->expect);
	c->egress.egress = true;
	talloc_set_destructor(c, free_callers);
	c->loop = tevent_context_init(c);
	if (c->loop == NULL)
		goto fail;
	if (!ir_turn_watch(c->loop, c, channel->wake))
		goto fail;
	if (!start(c, &c->callers, callers_fd))
		goto fail;
	if (!start(c, &c->egress, egress_fd))
		goto fail;
	return c;

fail:
	talloc_free(c);
	return NULL;
}
