/* One TCP connection to a peer. */
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "io/clock.h"
#include "io/peers/peer_conn.h"
#include "io/peers/peers.h"
#include "link/codec.h"

#define READ_BYTES 65536
/* A buffer larger than this is given back when it is empty. */
#define KEEP_BYTES (4 * READ_BYTES)

void
ir_peer_conn_fail(struct ir_peer_conn *c, const char *reason)
{
	if (c->failing)
		return;
	c->failing = true;
	TALLOC_FREE(c->event);
	c->ops->failed(c->ctx, c, reason);
}

/* True when all was sent. */
static bool
send_unsent(struct ir_peer_conn *c)
{
	struct ir_unsent *u;

	while ((u = c->unsent) != NULL) {
		size_t left = u->size_bytes - u->sent_bytes;
		ssize_t n =
		    send(c->fd, u->data + u->sent_bytes, left, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return false;
		if (n < 0) {
			ir_peer_conn_fail(c, "send");
			return false;
		}
		u->sent_bytes += (size_t)n;
		c->unsent_bytes -= (size_t)n;
		if (u->sent_bytes < u->size_bytes)
			continue;
		DL_DELETE(c->unsent, u);
		talloc_free(u);
	}
	return true;
}

void
ir_peer_conn_send(struct ir_peer_conn *c, uint8_t *data, size_t size_bytes)
{
	struct ir_unsent *u = talloc_zero(c, struct ir_unsent);

	if (u == NULL)
		abort();
	u->data = talloc_steal(u, data);
	u->size_bytes = size_bytes;
	DL_APPEND(c->unsent, u);
	c->unsent_bytes += size_bytes;
	if (c->failing || c->connecting)
		return;
	/* Something waits already when there was a first one before. */
	if (c->unsent == u && send_unsent(c))
		return;
	if (c->failing)
		return;
	if (c->unsent_bytes > IR_MAX_UNSENT_BYTES) {
		ir_peer_conn_fail(c, "unsent-bytes");
		return;
	}
	TEVENT_FD_WRITEABLE(c->event);
}

/* Hands whole records over. False when the owner wants no more for now. */
static bool
cut_records(struct ir_peer_conn *c)
{
	size_t at = 0;
	bool more = true;

	while (more && !c->failing) {
		size_t left = c->in_bytes - at;
		size_t size = ir_codec_record_size(c->in + at, left);

		if (size == SIZE_MAX) {
			ir_peer_conn_fail(c, "record-mark");
			return false;
		}
		if (size == 0 || size > left)
			break;
		more = c->ops->record(c->ctx, c, c->in + at, size);
		at += size;
	}
	if (c->failing)
		return false;
	c->in_bytes -= at;
	memmove(c->in, c->in + at, c->in_bytes);
	if (c->in_bytes == 0 && talloc_get_size(c->in) > KEEP_BYTES)
		TALLOC_FREE(c->in);
	return more;
}

/* Room for the rest of the record that is being received, and some more. */
static bool
make_room(struct ir_peer_conn *c)
{
	size_t wanted = c->in_bytes + READ_BYTES;
	size_t record = ir_codec_record_size(c->in, c->in_bytes);
	uint8_t *p;

	if (record != SIZE_MAX && record > wanted)
		wanted = c->in_bytes * 2 < record ? c->in_bytes * 2 : record;
	if (wanted < c->in_bytes + READ_BYTES)
		wanted = c->in_bytes + READ_BYTES;
	if (wanted <= talloc_get_size(c->in))
		return true;
	p = talloc_realloc(c, c->in, uint8_t, wanted);
	if (p == NULL)
		return false;
	c->in = p;
	return true;
}

static void
on_readable(struct ir_peer_conn *c)
{
	ssize_t n;

	if (!make_room(c)) {
		ir_peer_conn_fail(c, "memory");
		return;
	}
	n = recv(c->fd, c->in + c->in_bytes,
	    talloc_get_size(c->in) - c->in_bytes, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		ir_peer_conn_fail(c, n == 0 ? "closed" : "receive");
		return;
	}
	c->heard_us = ir_clock_now();
	c->in_bytes += (size_t)n;
	if (!cut_records(c) && !c->failing)
		TEVENT_FD_NOT_READABLE(c->event);
}

void
ir_peer_conn_resume(struct ir_peer_conn *c)
{
	if (c->connecting || c->failing)
		return;
	if (cut_records(c))
		TEVENT_FD_READABLE(c->event);
}

static void
on_connected(struct ir_peer_conn *c)
{
	int error = 0;
	socklen_t size = sizeof(error);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
	    error != 0) {
		ir_peer_conn_fail(c, "connect");
		return;
	}
	c->connecting = false;
	c->ops->connected(c->ctx, c);
}

static void
on_writable(struct ir_peer_conn *c)
{
	if (send_unsent(c))
		TEVENT_FD_NOT_WRITEABLE(c->event);
}

static void
on_event(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *p)
{
	struct ir_peer_conn *c = p;

	if (c->connecting)
		on_connected(c);
	else if ((flags & TEVENT_FD_WRITE) != 0)
		on_writable(c);
	else if ((flags & TEVENT_FD_READ) != 0)
		on_readable(c);
}

static int
close_conn(struct ir_peer_conn *c)
{
	TALLOC_FREE(c->event);
	close(c->fd);
	return 0;
}

struct ir_peer_conn *
ir_peer_conn_new(TALLOC_CTX *mem, struct tevent_context *loop, int fd,
    uint32_t number, bool connecting, const struct ir_peer_conn_ops *ops,
    void *ctx)
{
	struct ir_peer_conn *c = talloc_zero(mem, struct ir_peer_conn);
	uint16_t flags = TEVENT_FD_READ;
	int on = 1;

	if (c == NULL) {
		close(fd);
		return NULL;
	}
	c->fd = fd;
	c->number = number;
	c->connecting = connecting;
	c->heard_us = ir_clock_now();
	c->ops = ops;
	c->ctx = ctx;
	talloc_set_destructor(c, close_conn);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	/* tevent tells errors only to those who wait for reading. */
	if (connecting)
		flags |= TEVENT_FD_WRITE;
	c->event = tevent_add_fd(loop, c, fd, flags, on_event, c);
	if (c->event == NULL) {
		talloc_free(c);
		return NULL;
	}
	return c;
}
