/* A caller's connection. */
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "io/callers/caller_conn.h"
#include "io/clock.h"

#define CROWDED_READ_BYTES 1024
/* Over the idle time that callers are told of, 15 s, with a margin. */
#define IDLE_TIMEOUT_US (60 * IR_US_PER_S)
/* For a caller to read the last answer before the connection is reset. */
#define LINGER_US (2 * IR_US_PER_S)
#define CONTINUE_TEXT "HTTP/1.1 100 Continue\r\n\r\n"

void
ir_caller_conn_end(struct caller_conn *c)
{
	struct ir_callers *callers = c->listener->callers;
	struct request *r;

	if (c->dead)
		return;
	c->dead = true;
	ir_caller_conn_uncount(c);
	ir_caller_unread_remove(c);
	TALLOC_FREE(c->event);
	close(c->fd);
	while ((r = c->requests) != NULL) {
		DL_DELETE(c->requests, r);
		if (r->state == REQUEST_WAITING) {
			HASH_DEL(callers->waiting, r);
			ir_request_report_gone(callers, r->id);
		}
		callers->open_requests--;
		talloc_free(r->call);
		talloc_free(r);
	}
	DL_DELETE(callers->conns, c);
	callers->conn_count--;
	LL_PREPEND(callers->dead, c);
}

/* Sends what is unsent. False when the socket takes no more, or is gone. */
static bool
flush(struct caller_conn *c)
{
	size_t size = talloc_get_size(c->out);
	bool taken = false;

	while (c->out_sent < size) {
		ssize_t n = send(c->fd, c->out + c->out_sent,
		    size - c->out_sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			TEVENT_FD_WRITEABLE(c->event);
			ir_caller_unread_add(c, taken, ir_clock_now());
			return false;
		}
		if (n < 0) {
			ir_caller_conn_end(c);
			return false;
		}
		taken = true;
		c->out_sent += (size_t)n;
		c->used_us = ir_clock_now();
	}
	TALLOC_FREE(c->out);
	c->out_sent = 0;
	ir_caller_unread_remove(c);
	return true;
}

static void
drop_request(struct caller_conn *c, struct request *r)
{
	ir_request_uncount(r);
	DL_DELETE(c->requests, r);
	c->request_count--;
	c->listener->callers->open_requests--;
	talloc_free(r->call);
	talloc_free(r);
}

static void
linger(struct caller_conn *c)
{
	c->lingering = true;
	c->used_us = ir_clock_now();
	shutdown(c->fd, SHUT_WR);
	TEVENT_FD_READABLE(c->event);
}

/* Takes the bytes to send next; false when there are none yet. */
static bool
take_out(struct caller_conn *c)
{
	struct request *r = c->requests;

	if (r == NULL)
		return false;
	if (r->state == REQUEST_ANSWERED) {
		c->out = talloc_steal(c, r->answer);
		if (r->last)
			c->ending = true;
		if (c->reading == r)
			c->reading = NULL;
		drop_request(c, r);
		return true;
	}
	if (!r->wants_continue || r->state != REQUEST_RECEIVING)
		return false;
	r->wants_continue = false;
	c->out = (uint8_t *)ir_must(
	    talloc_memdup(c, CONTINUE_TEXT, sizeof(CONTINUE_TEXT) - 1));
	return true;
}

/* False when the caller takes no more now, or is gone. */
static bool
write_ready(struct caller_conn *c)
{
	while (c->out != NULL || take_out(c)) {
		if (!flush(c))
			return false;
	}
	return true;
}

static void
add_input(struct caller_conn *c, const uint8_t *data, size_t size)
{
	c->in = ir_must(talloc_realloc(c, c->in, uint8_t, c->in_bytes + size));
	memcpy(c->in + c->in_bytes, data, size);
	c->in_bytes += size;
}

static void
trim_input(struct caller_conn *c)
{
	if (c->in_bytes == 0)
		TALLOC_FREE(c->in);
	else if (c->in_bytes < talloc_get_size(c->in))
		c->in = ir_must(talloc_realloc(c, c->in, uint8_t, c->in_bytes));
}

static void
write_and_parse(struct caller_conn *c)
{
	/* What was read before may wait for an earlier answer. */
	do {
		if (c->dead || !write_ready(c))
			return;
	} while (ir_caller_conn_parse(c));
	TEVENT_FD_NOT_WRITEABLE(c->event);
	if (c->ending && c->requests == NULL && !c->lingering)
		linger(c);
	else if (ir_caller_conn_may_read(c))
		TEVENT_FD_READABLE(c->event);
	else
		TEVENT_FD_NOT_READABLE(c->event);
}

void
ir_caller_conn_write(struct caller_conn *c)
{
	write_and_parse(c);
	trim_input(c);
	ir_caller_conn_count(c);
}

static bool
is_waiting(const struct caller_conn *c)
{
	const struct request *r;

	DL_FOREACH (c->requests, r) {
		if (r->state != REQUEST_ANSWERED)
			return true;
	}
	return false;
}

/* A caller that only ended its sending still gets what is answered. */
static void
on_end_of_input(struct caller_conn *c, bool orderly)
{
	if (!orderly || c->lingering || is_waiting(c) || c->out == NULL) {
		ir_caller_conn_end(c);
		return;
	}
	c->ending = true;
	TEVENT_FD_NOT_READABLE(c->event);
}

/* Of heads no more is read at once than can be kept. */
static size_t
read_bytes(const struct caller_conn *c)
{
	if (c->reading != NULL || c->skipping ||
	    !ir_callers_are_crowded(c->listener->callers))
		return READ_BYTES;
	return CROWDED_READ_BYTES;
}

/* False when the connection is ended or has nothing more now. */
static bool
read_some(struct caller_conn *c)
{
	struct ir_callers *callers = c->listener->callers;
	ssize_t n;

	n = recv(c->fd, callers->read, read_bytes(c), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n <= 0) {
		on_end_of_input(c, n == 0);
		return false;
	}
	if (c->lingering || c->ending)
		return true;
	add_input(c, callers->read, (size_t)n);
	c->used_us = ir_clock_now();
	return true;
}

static void
on_event(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	struct caller_conn *c = ctx;

	if ((flags & TEVENT_FD_WRITE) != 0)
		ir_caller_conn_write(c);
	if (c->dead || (flags & TEVENT_FD_READ) == 0 || !read_some(c))
		return;
	(void)ir_caller_conn_parse(c);
	if (!ir_caller_conn_may_read(c))
		TEVENT_FD_NOT_READABLE(c->event);
	ir_caller_conn_write(c);
}

void
ir_caller_conn_new(struct listener *l, int fd)
{
	struct ir_callers *callers = l->callers;
	struct caller_conn *c =
	    ir_must(talloc_zero(callers, struct caller_conn));
	int on = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->listener = l;
	c->fd = fd;
	c->used_us = ir_clock_now();
	c->event = ir_must(
	    tevent_add_fd(callers->loop, c, fd, TEVENT_FD_READ, on_event, c));
	c->base_bytes = ir_memory_of(c);
	ir_caller_conn_count(c);
	DL_APPEND(callers->conns, c);
	callers->conn_count++;
}

static bool
is_stale(const struct caller_conn *c, int64_t now)
{
	int64_t idle_us = now - c->used_us;

	if (c->lingering)
		return idle_us > LINGER_US;
	if (c->unread)
		return false;
	if (c->requests != NULL && c->reading == NULL)
		return false;
	return idle_us > IDLE_TIMEOUT_US;
}

void
ir_caller_conn_sweep(struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c, *next;

	ir_callers_end_unread(callers, now);
	DL_FOREACH_SAFE (callers->conns, c, next) {
		if (is_stale(c, now))
			ir_caller_conn_end(c);
		else if (!c->ending && c->out == NULL)
			ir_caller_conn_write(c);
	}
}
