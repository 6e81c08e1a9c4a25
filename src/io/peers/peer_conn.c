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

static void
hold(struct ir_peer_conn *c, size_t bytes)
{
	c->held_bytes += bytes;
	ir_memory_hold(c->memory, IR_MEMORY_PEERS, bytes);
}

static void
release(struct ir_peer_conn *c, size_t bytes)
{
	c->held_bytes -= bytes;
	ir_memory_release(c->memory, IR_MEMORY_PEERS, bytes);
}

static void
free_in(struct ir_peer_conn *c)
{
	if (c->in != NULL)
		release(c, ir_memory_tree_bytes(c->in));
	TALLOC_FREE(c->in);
	c->in_bytes = 0;
}

static void
free_first_unsent(struct ir_peer_conn *c)
{
	struct ir_unsent *u = c->unsent;

	DL_DELETE(c->unsent, u);
	c->unsent_bytes -= u->size_bytes - u->sent_bytes;
	release(c, ir_memory_tree_bytes(u));
	talloc_free(u);
}

static void
free_held(struct ir_peer_conn *c)
{
	free_in(c);
	while (c->unsent != NULL)
		free_first_unsent(c);
}

void
ir_peer_conn_fail(struct ir_peer_conn *c, const char *reason)
{
	if (c->failing)
		return;
	c->failing = true;
	TALLOC_FREE(c->event);
	free_held(c);
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
		if (u->sent_bytes == u->size_bytes)
			free_first_unsent(c);
	}
	return true;
}

static void
append_unsent(struct ir_peer_conn *c, uint8_t *data, size_t size_bytes)
{
	struct ir_unsent *u = talloc_zero(c, struct ir_unsent);

	if (u == NULL)
		abort();
	u->data = talloc_steal(u, data);
	u->size_bytes = size_bytes;
	DL_APPEND(c->unsent, u);
	c->unsent_bytes += size_bytes;
	hold(c, ir_memory_tree_bytes(u));
}

void
ir_peer_conn_send(struct ir_peer_conn *c, uint8_t *data, size_t size_bytes)
{
	bool idle = c->unsent == NULL && !c->connecting;

	if (c->failing) {
		talloc_free(data);
		return;
	}
	append_unsent(c, data, size_bytes);
	if (idle && send_unsent(c))
		return;
	if (!c->failing)
		c->ops->grew(c->ctx, c);
	if (!c->failing && !c->connecting)
		TEVENT_FD_WRITEABLE(c->event);
}

/*
 * Hands whole records over; *used counts their bytes. False when the owner
 * wants no more for now, or the connection failed.
 */
static bool
cut_records(
    struct ir_peer_conn *c, const uint8_t *data, size_t bytes, size_t *used)
{
	bool more = true;

	*used = 0;
	while (more && *used < bytes) {
		size_t left = bytes - *used;
		size_t size = ir_codec_record_size(data + *used, left);

		if (size == SIZE_MAX) {
			ir_peer_conn_fail(c, "record-mark");
			return false;
		}
		if (size == 0 || size > left)
			break;
		more = c->ops->record(c->ctx, c, data + *used, size);
		if (c->failing)
			return false;
		*used += size;
	}
	return more;
}

/* False when the connection failed. */
static bool
resize_in(struct ir_peer_conn *c, size_t wanted)
{
	size_t before = c->in != NULL ? ir_memory_tree_bytes(c->in) : 0;
	uint8_t *p = talloc_realloc(c, c->in, uint8_t, wanted);

	if (p == NULL) {
		ir_peer_conn_fail(c, "memory");
		return false;
	}
	c->in = p;
	release(c, before);
	hold(c, ir_memory_tree_bytes(p));
	c->ops->grew(c->ctx, c);
	return !c->failing;
}

/*
 * Room for wanted bytes of which the first record is data's: up to twice as
 * much, so that a large record is not moved at each read.
 */
static bool
make_room(
    struct ir_peer_conn *c, const uint8_t *data, size_t bytes, size_t wanted)
{
	size_t record = ir_codec_record_size(data, bytes);

	if (wanted <= talloc_get_size(c->in))
		return true;
	if (record != SIZE_MAX && record > wanted)
		wanted = record < 2 * wanted ? record : 2 * wanted;
	return resize_in(c, wanted);
}

/* Keeps the first bytes of what does not make a record yet. */
static void
keep(struct ir_peer_conn *c, const uint8_t *data, size_t bytes)
{
	if (bytes == 0 || !make_room(c, data, bytes, bytes))
		return;
	memcpy(c->in, data, bytes);
	c->in_bytes = bytes;
}

/* What is left of the bytes held, after some were used. */
static void
keep_rest(struct ir_peer_conn *c, size_t used)
{
	if (used == 0)
		return;
	if (used == c->in_bytes) {
		free_in(c);
		return;
	}
	c->in_bytes -= used;
	memmove(c->in, c->in + used, c->in_bytes);
	(void)resize_in(c, c->in_bytes);
}

/* The functions from here on return false when no more is to be read. */
static bool
cut_held(struct ir_peer_conn *c)
{
	size_t used;
	bool more = cut_records(c, c->in, c->in_bytes, &used);

	if (!c->failing)
		keep_rest(c, used);
	return more && !c->failing;
}

static bool
take_bytes(struct ir_peer_conn *c, const uint8_t *data, size_t bytes)
{
	size_t used;
	bool more;

	if (c->in != NULL) {
		if (!make_room(c, c->in, c->in_bytes, c->in_bytes + bytes))
			return false;
		memcpy(c->in + c->in_bytes, data, bytes);
		c->in_bytes += bytes;
		return cut_held(c);
	}
	more = cut_records(c, data, bytes, &used);
	if (!c->failing)
		keep(c, data + used, bytes - used);
	return more && !c->failing;
}

static bool
read_some(struct ir_peer_conn *c)
{
	uint8_t data[READ_BYTES];
	ssize_t n;

	if (!c->ops->wants(c->ctx))
		return false;
	n = recv(c->fd, data, sizeof(data), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n <= 0) {
		ir_peer_conn_fail(c, n == 0 ? "closed" : "receive");
		return false;
	}
	c->heard_us = ir_clock_now();
	return take_bytes(c, data, (size_t)n);
}

static void
on_readable(struct ir_peer_conn *c)
{
	if (!read_some(c) && !c->failing)
		TEVENT_FD_NOT_READABLE(c->event);
}

void
ir_peer_conn_resume(struct ir_peer_conn *c)
{
	if (c->connecting || c->failing)
		return;
	if (cut_held(c))
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
	free_held(c);
	close(c->fd);
	return 0;
}

struct ir_peer_conn *
ir_peer_conn_new(TALLOC_CTX *mem, struct tevent_context *loop,
    struct ir_memory *memory, int fd, uint32_t number, bool connecting,
    const struct ir_peer_conn_ops *ops, void *ctx)
{
	struct ir_peer_conn *c = talloc_zero(mem, struct ir_peer_conn);
	uint16_t flags = TEVENT_FD_READ;
	int on = 1;

	if (c == NULL) {
		close(fd);
		return NULL;
	}
	c->memory = memory;
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
