/* Tells the end of the upstream from that of one connection. */
#include "io/upstream/upstream_check.h"

#include <sys/socket.h>

#include <errno.h>
#include <unistd.h>
#include <utlist.h>

#include "io/event_loop.h"
#include "io/listen.h"

/* An upstream that neither accepts nor refuses by then may still run. */
#define CHECK_TIMEOUT_US (200 * IR_US_PER_MS)

void
ir_upstream_check_remove(struct transfer *t)
{
	if (!t->checked)
		return;
	t->checked = false;
	DL_DELETE2(t->upstream->checked, t, checked_prev, checked_next);
}

void
ir_upstream_check_stop(struct ir_upstream *u)
{
	TALLOC_FREE(u->check_event);
	TALLOC_FREE(u->check_timer);
	if (u->check_fd >= 0)
		close(u->check_fd);
	u->check_fd = -1;
}

static void
finish_all(struct ir_upstream *u, bool ended)
{
	struct transfer *t;

	ir_upstream_check_stop(u);
	while ((t = u->checked) != NULL) {
		ir_upstream_check_remove(t);
		t->upstream_ended = ended;
		ir_upstream_finish(t, t->check_reason);
	}
}

static void
on_connect_result(struct tevent_context *loop, struct tevent_fd *event,
    uint16_t flags, void *ctx)
{
	struct ir_upstream *u = ctx;
	socklen_t size = sizeof(int);
	int error = 0;

	if (getsockopt(u->check_fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
		error = errno;
	finish_all(u, error == ECONNREFUSED);
}

static void
on_timeout(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	struct ir_upstream *u = ctx;

	u->check_timer = NULL;
	finish_all(u, false);
}

static void
start_check(struct ir_upstream *u)
{
	const struct ir_endpoint *e = &u->address;
	struct sockaddr_storage s;
	socklen_t size = ir_socket_address(e->address, e->port, &s);

	u->check_fd =
	    socket(s.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (u->check_fd < 0) {
		finish_all(u, false);
		return;
	}
	if (connect(u->check_fd, (struct sockaddr *)&s, size) != 0 &&
	    errno != EINPROGRESS) {
		finish_all(u, errno == ECONNREFUSED);
		return;
	}
	u->check_event = ir_check_alloc(tevent_add_fd(u->loop, u, u->check_fd,
	    TEVENT_FD_READ | TEVENT_FD_WRITE, on_connect_result, u));
	u->check_timer = ir_check_alloc(tevent_add_timer(u->loop, u,
	    tevent_timeval_current_ofs(0, CHECK_TIMEOUT_US), on_timeout, u));
}

void
ir_upstream_check_finish(struct transfer *t, const char *reason)
{
	struct ir_upstream *u = t->upstream;

	t->check_reason = reason;
	t->checked = true;
	DL_APPEND2(u->checked, t, checked_prev, checked_next);
	if (u->check_fd < 0)
		start_check(u);
}
