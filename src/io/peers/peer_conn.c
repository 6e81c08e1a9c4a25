/* A TCP connection to a peer. */
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
#include "io/receive_buffer.h"
#include "link/codec.h"

#define READ_BYTES 65536

static void
account_memory(struct ir_peer_conn *c, size_t bytes)
{
	c->charged_bytes += bytes;
	ir_memory_hold(c->memory, IR_MEMORY_PEERS, bytes);
}

static void
release_memory(struct ir_peer_conn *c, size_t bytes)
{
	c->charged_bytes -= bytes;
	ir_memory_release(c->memory, IR_MEMORY_PEERS, bytes);
}

static void
free_input(struct ir_peer_conn *c)
{
	if (c->input != NULL)
		release_memory(c, ir_memory_tree_bytes(c->input));
	TALLOC_FREE(c->input);
	c->input_bytes = 0;
}

static void
free_first_unsent(struct ir_peer_conn *c)
{
	struct ir_unsent_message *u = c->unsent;

	DL_DELETE(c->unsent, u);
	c->unsent_bytes -= u->size_bytes - u->sent_bytes;
	release_memory(c, ir_memory_tree_bytes(u));
	talloc_free(u);
}

static void
free_buffers(struct ir_peer_conn *c)
{
	free_input(c);
	while (c->unsent != NULL)
		free_first_unsent(c);
}

void
ir_peer_conn_fail(struct ir_peer_conn *c, const char *reason)
{
	if (c->failing)
		return;
	c->failing = true;
	TALLOC_FREE(c->fd_event);
	free_buffers(c);
	c->ops->failed(c->ctx, c, reason);
}

/* Returns true when the queue is empty. */
static bool
send_queued(struct ir_peer_conn *c)
{
	struct ir_unsent_message *u;

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
queue_message(struct ir_peer_conn *c, uint8_t *data, size_t size_bytes)
{
	struct ir_unsent_message *u = talloc_zero(c, struct ir_unsent_message);

	if (u == NULL)
		abort();
	u->data = talloc_steal(u, data);
	u->size_bytes = size_bytes;
	DL_APPEND(c->unsent, u);
	c->unsent_bytes += size_bytes;
	account_memory(c, ir_memory_tree_bytes(u));
}

void
ir_peer_conn_send(struct ir_peer_conn *c, uint8_t *data, size_t size_bytes)
{
	bool idle = c->unsent == NULL && !c->connecting;

	if (c->failing) {
		talloc_free(data);
		return;
	}
	queue_message(c, data, size_bytes);
	if (idle && send_queued(c))
		return;
	if (!c->failing)
		c->ops->memory_grew(c->ctx, c);
	if (!c->failing && !c->connecting)
		TEVENT_FD_WRITEABLE(c->fd_event);
}

/*
 * Hands complete records to the owner and sets *used to their bytes. Returns
 * false when the owner cannot take more or the connection failed.
 */
static bool
deliver_records(
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

/* Returns false when the connection failed. */
static bool
resize_input(struct ir_peer_conn *c, size_t wanted)
{
	size_t before = c->input != NULL ? ir_memory_tree_bytes(c->input) : 0;
	uint8_t *p = talloc_realloc(c, c->input, uint8_t, wanted);

	if (p == NULL) {
		ir_peer_conn_fail(c, "memory");
		return false;
	}
	c->input = p;
	release_memory(c, before);
	account_memory(c, ir_memory_tree_bytes(p));
	c->ops->memory_grew(c->ctx, c);
	return !c->failing;
}

/*
 * Makes the buffer hold at least wanted bytes. data starts with the record to
 * be buffered. For a larger record, up to twice wanted is allocated, so that
 * the record is not copied at each read. Returns false when the connection
 * failed.
 */
static bool
reserve_input(
    struct ir_peer_conn *c, const uint8_t *data, size_t bytes, size_t wanted)
{
	size_t record = ir_codec_record_size(data, bytes);

	if (wanted <= talloc_get_size(c->input))
		return true;
	if (record != SIZE_MAX && record > wanted)
		wanted = record < 2 * wanted ? record : 2 * wanted;
	return resize_input(c, wanted);
}

/* Buffers the start of an incomplete record. */
static void
store_partial_record(struct ir_peer_conn *c, const uint8_t *data, size_t bytes)
{
	if (bytes == 0 || !reserve_input(c, data, bytes, bytes))
		return;
	memcpy(c->input, data, bytes);
	c->input_bytes = bytes;
}

/* Frees the first bytes of the buffer, those of records handed over. */
static void
discard_delivered(struct ir_peer_conn *c, size_t used)
{
	if (used == 0)
		return;
	if (used == c->input_bytes) {
		free_input(c);
		return;
	}
	c->input_bytes -= used;
	memmove(c->input, c->input + used, c->input_bytes);
	(void)resize_input(c, c->input_bytes);
}

/*
 * This function and the next two return false when receiving is to be
 * suspended or the connection failed.
 */
static bool
deliver_buffered(struct ir_peer_conn *c)
{
	size_t used;
	bool more = deliver_records(c, c->input, c->input_bytes, &used);

	if (!c->failing)
		discard_delivered(c, used);
	return more && !c->failing;
}

static bool
process_bytes(struct ir_peer_conn *c, const uint8_t *data, size_t bytes)
{
	size_t used;
	bool more;

	if (c->input != NULL) {
		if (!reserve_input(
			c, c->input, c->input_bytes, c->input_bytes + bytes))
			return false;
		memcpy(c->input + c->input_bytes, data, bytes);
		c->input_bytes += bytes;
		return deliver_buffered(c);
	}
	more = deliver_records(c, data, bytes, &used);
	if (!c->failing)
		store_partial_record(c, data + used, bytes - used);
	return more && !c->failing;
}

static bool
receive_bytes(struct ir_peer_conn *c)
{
	uint8_t data[READ_BYTES];
	ssize_t n;

	if (!c->ops->may_receive(c->ctx))
		return false;
	n = recv(c->fd, data, sizeof(data), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n <= 0) {
		ir_peer_conn_fail(c, n == 0 ? "closed" : "receive");
		return false;
	}
	c->last_receive_us = ir_clock_now();
	return process_bytes(c, data, (size_t)n);
}

static void
on_readable(struct ir_peer_conn *c)
{
	if (!receive_bytes(c) && !c->failing)
		TEVENT_FD_NOT_READABLE(c->fd_event);
}

void
ir_peer_conn_resume(struct ir_peer_conn *c)
{
	if (c->connecting || c->failing)
		return;
	if (deliver_buffered(c))
		TEVENT_FD_READABLE(c->fd_event);
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
	if (send_queued(c))
		TEVENT_FD_NOT_WRITEABLE(c->fd_event);
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
free_conn(struct ir_peer_conn *c)
{
	TALLOC_FREE(c->fd_event);
	free_buffers(c);
	close(c->fd);
	ir_memory_return_socket(c->memory, IR_SOCKET_PEER, c->receive_bytes);
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
	c->receive_bytes = ir_receive_buffer_grant(memory, fd, IR_SOCKET_PEER);
	c->number = number;
	c->connecting = connecting;
	c->last_receive_us = ir_clock_now();
	c->ops = ops;
	c->ctx = ctx;
	talloc_set_destructor(c, free_conn);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	/* tevent reports errors only with TEVENT_FD_READ set. */
	if (connecting)
		flags |= TEVENT_FD_WRITE;
	c->fd_event = tevent_add_fd(loop, c, fd, flags, on_event, c);
	if (c->fd_event == NULL) {
		talloc_free(c);
		return NULL;
	}
	return c;
}
