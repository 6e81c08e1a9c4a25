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
#include "io/receive_buffer.h"

/* Read size for new requests under memory pressure. */
#define PRESSURE_READ_BYTES 1024
/* Callers are advised of an idle timeout of 15 s; this adds a margin. */
#define IDLE_TIMEOUT_US (60 * IR_US_PER_S)
/*
 * Time for a caller to read the last answer. Closing the socket of a caller
 * that still sends resets the connection, and the answer may be lost.
 */
#define LINGER_TIMEOUT_US (2 * IR_US_PER_S)
#define CONTINUE_ANSWER "HTTP/1.1 100 Continue\r\n\r\n"

static void
free_request(struct ir_callers *callers, struct request *r)
{
	if (r->state == REQUEST_ANSWERED)
		callers->answered_requests--;
	callers->open_requests--;
	talloc_free(r->call);
	talloc_free(r);
}

void
ir_caller_conn_close(struct caller_conn *c, const char *reason)
{
	struct ir_callers *callers = c->listener->callers;
	struct request *r;

	if (c->closed)
		return;
	c->closed = true;
	ir_caller_conn_release_memory(c);
	ir_caller_blocked_remove(c);
	TALLOC_FREE(c->event);
	close(c->fd);
	ir_memory_return_socket(
	    callers->memory, IR_SOCKET_CALLER, c->receive_bytes);
	while ((r = c->requests) != NULL) {
		DL_DELETE(c->requests, r);
		if (r->state == REQUEST_SUBMITTED) {
			HASH_DEL(callers->submitted, r);
			ir_request_report_abandoned(callers, r->id, reason);
		}
		free_request(callers, r);
	}
	DL_DELETE(callers->conns, c);
	callers->conn_count--;
	LL_PREPEND(callers->closed_conns, c);
}

static uint32_t
submitted_count(const struct caller_conn *c)
{
	const struct request *r;
	uint32_t count = 0;

	DL_FOREACH (c->requests, r) {
		if (r->state == REQUEST_SUBMITTED)
			count++;
	}
	return count;
}

void
ir_caller_conn_cut(struct caller_conn *c, const char *reason)
{
	if (!c->closed)
		ir_counters_add(&c->listener->callers->channel->counters,
		    IR_COUNTER_CALLS_CUT, submitted_count(c));
	ir_caller_conn_close(c, reason);
}

/* Sends the output. False if the socket is blocked or the connection closed. */
static bool
send_output(struct caller_conn *c)
{
	size_t size = talloc_get_size(c->output);
	bool drained = false;

	while (c->output_sent_bytes < size) {
		ssize_t n = send(c->fd, c->output + c->output_sent_bytes,
		    size - c->output_sent_bytes, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			TEVENT_FD_WRITEABLE(c->event);
			ir_caller_blocked_add(c, drained, ir_clock_now());
			return false;
		}
		if (n < 0) {
			ir_caller_conn_close(c, "send-failed");
			return false;
		}
		drained = true;
		c->output_sent_bytes += (size_t)n;
		c->last_progress_us = ir_clock_now();
	}
	TALLOC_FREE(c->output);
	c->output_sent_bytes = 0;
	ir_caller_blocked_remove(c);
	return true;
}

static void
drop_request(struct caller_conn *c, struct request *r)
{
	ir_request_release_memory(r);
	DL_DELETE(c->requests, r);
	c->request_count--;
	free_request(c->listener->callers, r);
}

static void
linger(struct caller_conn *c)
{
	c->lingering = true;
	c->last_progress_us = ir_clock_now();
	shutdown(c->fd, SHUT_WR);
	TEVENT_FD_READABLE(c->event);
}

/* Sets the output to the bytes to send next; false if there are none yet. */
static bool
take_output(struct caller_conn *c)
{
	struct request *r = c->requests;

	if (r == NULL)
		return false;
	if (r->state == REQUEST_ANSWERED) {
		c->output = talloc_steal(c, r->answer);
		if (r->close_after)
			c->no_more_requests = true;
		if (c->receiving == r)
			c->receiving = NULL;
		drop_request(c, r);
		return true;
	}
	if (!r->continue_pending || r->state != REQUEST_RECEIVING)
		return false;
	r->continue_pending = false;
	c->output = (uint8_t *)ir_check_alloc(
	    talloc_memdup(c, CONTINUE_ANSWER, sizeof(CONTINUE_ANSWER) - 1));
	return true;
}

/* Sends all answers that are due. False if blocked or closed. */
static bool
send_due_answers(struct caller_conn *c)
{
	while (c->output != NULL || take_output(c)) {
		if (!send_output(c))
			return false;
	}
	return true;
}

static void
add_input(struct caller_conn *c, const uint8_t *data, size_t size)
{
	c->input = ir_check_alloc(
	    talloc_realloc(c, c->input, uint8_t, c->input_bytes + size));
	memcpy(c->input + c->input_bytes, data, size);
	c->input_bytes += size;
}

static void
trim_input(struct caller_conn *c)
{
	if (c->input_bytes == 0)
		TALLOC_FREE(c->input);
	else if (c->input_bytes < talloc_get_size(c->input))
		c->input = ir_check_alloc(
		    talloc_realloc(c, c->input, uint8_t, c->input_bytes));
}

static void
write_and_parse(struct caller_conn *c)
{
	/* Sending an answer may allow more buffered input to be parsed. */
	do {
		if (c->closed || !send_due_answers(c))
			return;
	} while (ir_caller_conn_parse(c));
	TEVENT_FD_NOT_WRITEABLE(c->event);
	if (c->no_more_requests && c->requests == NULL && !c->lingering)
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
	ir_caller_conn_update_memory(c);
}

static bool
has_unanswered(const struct caller_conn *c)
{
	const struct request *r;

	DL_FOREACH (c->requests, r) {
		if (r->state != REQUEST_ANSWERED)
			return true;
	}
	return false;
}

/*
 * After a half-close, answers that are ready are still sent. But if any request
 * is unanswered, the caller is treated as disconnected.
 */
static void
on_end_of_input(struct caller_conn *c, bool orderly)
{
	if (!orderly || c->lingering || has_unanswered(c) ||
	    c->output == NULL) {
		ir_caller_conn_close(
		    c, orderly ? "caller-closed" : "caller-reset");
		return;
	}
	c->no_more_requests = true;
	TEVENT_FD_NOT_READABLE(c->event);
}

/*
 * Under memory pressure, new requests are read in pieces smaller than the
 * incomplete head that is kept over the memory bound: see MIN_HEAD_BYTES in
 * caller_parse.c.
 */
static size_t
read_size(const struct caller_conn *c)
{
	if (c->receiving != NULL || c->discarding_body ||
	    !ir_callers_under_memory_pressure(c->listener->callers))
		return READ_BYTES;
	return PRESSURE_READ_BYTES;
}

/* False if the connection was closed or nothing was read. */
static bool
read_input(struct caller_conn *c)
{
	struct ir_callers *callers = c->listener->callers;
	ssize_t n;

	n = recv(c->fd, callers->read_buffer, read_size(c), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n <= 0) {
		on_end_of_input(c, n == 0);
		return false;
	}
	if (c->lingering || c->no_more_requests)
		return true;
	add_input(c, callers->read_buffer, (size_t)n);
	c->last_progress_us = ir_clock_now();
	return true;
}

static void
on_event(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	struct caller_conn *c = ctx;

	if ((flags & TEVENT_FD_WRITE) != 0)
		ir_caller_conn_write(c);
	if (c->closed || (flags & TEVENT_FD_READ) == 0 || !read_input(c))
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
	    ir_check_alloc(talloc_zero(callers, struct caller_conn));
	int on = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->listener = l;
	c->fd = fd;
	c->receive_bytes =
	    ir_receive_buffer_grant(callers->memory, fd, IR_SOCKET_CALLER);
	c->last_progress_us = ir_clock_now();
	c->event = ir_check_alloc(
	    tevent_add_fd(callers->loop, c, fd, TEVENT_FD_READ, on_event, c));
	c->idle_bytes = ir_memory_tree_bytes(c);
	ir_caller_conn_update_memory(c);
	DL_APPEND(callers->conns, c);
	callers->conn_count++;
}

static bool
is_stale(const struct caller_conn *c, int64_t now)
{
	int64_t idle_us = now - c->last_progress_us;

	if (c->lingering)
		return idle_us > LINGER_TIMEOUT_US;
	if (c->blocked)
		return false;
	if (c->requests != NULL && c->receiving == NULL)
		return false;
	return idle_us > IDLE_TIMEOUT_US;
}

void
ir_callers_sweep(struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c, *next;

	ir_callers_close_blocked(callers, now);
	DL_FOREACH_SAFE (callers->conns, c, next) {
		if (is_stale(c, now))
			ir_caller_conn_cut(c, "idle");
		else if (!c->no_more_requests && c->output == NULL)
			ir_caller_conn_write(c);
	}
}
