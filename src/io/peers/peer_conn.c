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
#include "link/codec.h"

#define READ_BYTES 65536
/* Views get at least 1 / (1 + VIEW_WAIT_FACTOR) of the bytes sent. */
#define VIEW_WAIT_FACTOR 4
/* Bytes that the system takes before it can send them; nothing overtakes. */
#define MAX_BYTES_IN_SYSTEM 32768

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

/* The message to send from now, or NULL. */
static struct ir_unsent_message *
next_unsent(const struct ir_peer_conn *c)
{
	if (c->unsent != NULL && c->unsent->sent_bytes != 0)
		return c->unsent;
	if (c->unsent_views == NULL)
		return c->unsent;
	if (c->unsent == NULL || c->unsent_views->sent_bytes != 0 ||
	    c->bytes_before_views / VIEW_WAIT_FACTOR >=
		c->unsent_views->size_bytes)
		return c->unsent_views;
	return c->unsent;
}

static void
free_unsent(struct ir_peer_conn *c, struct ir_unsent_message *u)
{
	if (u == c->unsent)
		DL_DELETE(c->unsent, u);
	else
		DL_DELETE(c->unsent_views, u);
	c->unsent_bytes -= u->size_bytes - u->sent_bytes;
	release_memory(c, ir_memory_tree_bytes(u));
	talloc_free(u);
}

void
ir_peer_conn_free_parts(struct ir_peer_conn *c)
{
	if (c->parts != NULL)
		release_memory(c, ir_memory_tree_bytes(c->parts));
	TALLOC_FREE(c->parts);
	c->parts_bytes = 0;
}

static void
free_buffers(struct ir_peer_conn *c)
{
	free_input(c);
	ir_peer_conn_free_parts(c);
	while (c->unsent != NULL)
		free_unsent(c, c->unsent);
	while (c->unsent_views != NULL)
		free_unsent(c, c->unsent_views);
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

static void
count_sent(struct ir_peer_conn *c, struct ir_unsent_message *u, size_t bytes)
{
	u->sent_bytes += bytes;
	c->unsent_bytes -= bytes;
	if (u == c->unsent_views || c->unsent_views == NULL)
		c->bytes_before_views = 0;
	else
		c->bytes_before_views += bytes;
	if (u->sent_bytes == u->size_bytes)
		free_unsent(c, u);
}

/* Returns true when the queues are empty. */
static bool
send_queued(struct ir_peer_conn *c)
{
	struct ir_unsent_message *u;

	while ((u = next_unsent(c)) != NULL) {
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
		count_sent(c, u, (size_t)n);
	}
	return true;
}

static struct ir_unsent_message *
queue_message(struct ir_peer_conn *c, struct ir_unsent_message **queue,
    uint8_t *data, size_t size_bytes)
{
	struct ir_unsent_message *u = talloc_zero(c, struct ir_unsent_message);

	if (u == NULL)
		abort();
	u->data = talloc_steal(u, data);
	u->size_bytes = size_bytes;
	DL_APPEND(*queue, u);
	c->unsent_bytes += size_bytes;
	account_memory(c, ir_memory_tree_bytes(u));
	return u;
}

static void
queue_parts(struct ir_peer_conn *c, uint8_t *record, size_t size_bytes)
{
	struct ir_msg m = {.kind = IR_MSG_PART};
	struct ir_part *part = &m.ir_msg_u.part;

	part->record_bytes = (u_int)size_bytes;
	for (size_t sent = 0; sent < size_bytes; sent += part->data.data_len) {
		size_t left = size_bytes - sent, size;
		uint8_t *data;

		part->data.data_len = (u_int)left;
		if (left > IR_MAX_PART_BYTES)
			part->data.data_len = IR_MAX_PART_BYTES;
		part->data.data_val = (char *)record + sent;
		size = ir_codec_encode(c, 0, &m, &data);
		if (size == 0)
			abort();
		queue_message(c, &c->unsent_views, data, size)->starts_view =
		    sent == 0;
	}
	talloc_free(record);
}

bool
ir_peer_conn_drop_views(struct ir_peer_conn *c)
{
	struct ir_unsent_message *u, *next;
	bool drop = false;

	DL_FOREACH_SAFE (c->unsent_views, u, next) {
		drop = drop || (u->starts_view && u->sent_bytes == 0);
		if (drop)
			free_unsent(c, u);
	}
	return drop;
}

void
ir_peer_conn_send(struct ir_peer_conn *c, uint8_t *data, size_t size_bytes)
{
	bool idle = next_unsent(c) == NULL && !c->connecting;

	if (c->failing) {
		talloc_free(data);
		return;
	}
	if (!ir_codec_is_large_view(data, size_bytes))
		queue_message(c, &c->unsent, data, size_bytes);
	else if (c->takes_parts)
		queue_parts(c, data, size_bytes);
	else
		queue_message(c, &c->unsent_views, data, size_bytes)
		    ->starts_view = true;
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
resize_buffer(struct ir_peer_conn *c, uint8_t **buffer, size_t wanted)
{
	size_t before = *buffer != NULL ? ir_memory_tree_bytes(*buffer) : 0;
	uint8_t *p = talloc_realloc(c, *buffer, uint8_t, wanted);

	if (p == NULL) {
		ir_peer_conn_fail(c, "memory");
		return false;
	}
	*buffer = p;
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
	return resize_buffer(c, &c->input, wanted);
}

bool
ir_peer_conn_add_part(struct ir_peer_conn *c, const struct ir_part *part)
{
	size_t bytes = part->data.data_len;
	size_t total = part->record_bytes, wanted = c->parts_bytes + bytes;

	if (c->parts == NULL)
		c->parts_record_bytes = total;
	if (bytes == 0 || total != c->parts_record_bytes || wanted > total ||
	    total > IR_MAX_RPC_RECORD_BYTES) {
		ir_peer_conn_fail(c, "part");
		return false;
	}
	if ((c->parts == NULL || wanted > talloc_get_size(c->parts)) &&
	    !resize_buffer(
		c, &c->parts, total < 2 * wanted ? total : 2 * wanted))
		return false;
	memcpy(c->parts + c->parts_bytes, part->data.data_val, bytes);
	c->parts_bytes = wanted;
	return wanted == total;
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
	(void)resize_buffer(c, &c->input, c->input_bytes);
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
	if (!process_bytes(c, data, (size_t)n))
		return false;
	if (c->input != NULL)
		c->ops->progressed(c->ctx, c);
	return true;
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
	size_t before = c->unsent_bytes;

	if (send_queued(c))
		TEVENT_FD_NOT_WRITEABLE(c->fd_event);
	if (!c->failing && c->unsent_bytes < before)
		c->ops->progressed(c->ctx, c);
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
	return 0;
}

struct ir_peer_conn *
ir_peer_conn_new(TALLOC_CTX *mem, struct tevent_context *loop,
    struct ir_memory *memory, int fd, uint32_t number, bool connecting,
    const struct ir_peer_conn_ops *ops, void *ctx)
{
	struct ir_peer_conn *c = talloc_zero(mem, struct ir_peer_conn);
	uint16_t flags = TEVENT_FD_READ;
	int on = 1, max_bytes = MAX_BYTES_IN_SYSTEM;

	if (c == NULL) {
		close(fd);
		return NULL;
	}
	c->memory = memory;
	c->fd = fd;
	c->number = number;
	c->connecting = connecting;
	c->last_receive_us = ir_clock_now();
	c->progress_reported_us = c->last_receive_us;
	c->ops = ops;
	c->ctx = ctx;
	talloc_set_destructor(c, free_conn);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_bytes, sizeof(max_bytes));
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
