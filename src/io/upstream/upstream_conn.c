/* A connection to the local upstream. */
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>
#include <utlist.h>

#include "core/unconst.h"
#include "io/clock.h"
#include "io/listen.h"
#include "io/upstream/upstream_conn.h"

#define READ_BYTES 16384
/* What a read of it may add: its bytes, and chunks for its headers. */
#define ROOM_BYTES (2 * READ_BYTES)
#define CONNECT_TIMEOUT_US IR_US_PER_S
/* Idle time of a connection whose upstream tells none: half of the 10 s
 * after which upstreams usually close. */
#define KEEP_IDLE_US (5 * IR_US_PER_S)
/* Share of the time that the upstream tells, so that it does not close just
 * when a request is sent. */
#define KEEP_SHARE_PERCENT 80
#define HTTP_FIRST_FINAL 200

void
ir_upstream_conn_close(struct upstream_conn *c)
{
	struct ir_upstream *u = c->owner;

	if (c->transfer != NULL) {
		DL_DELETE(u->busy, c);
		c->transfer->conn = NULL;
	} else {
		DL_DELETE(u->idle, c);
	}
	u->conn_count--;
	u->paused_count -= c->paused;
	TALLOC_FREE(c->event);
	TALLOC_FREE(c->timer);
	close(c->fd);
	talloc_free(c);
}

static void
make_idle(struct upstream_conn *c)
{
	struct ir_upstream *u = c->owner;

	DL_DELETE(u->busy, c);
	c->transfer->conn = NULL;
	c->transfer = NULL;
	c->idle_us = ir_clock_now();
	DL_PREPEND(u->idle, c);
}

/* The connection failed the transfer, if it has one. */
static void
fail(struct upstream_conn *c, const char *reason)
{
	struct transfer *t = c->transfer;

	ir_upstream_conn_close(c);
	if (t != NULL)
		ir_upstream_finish(t, reason);
}

/* "timeout=N" of a Keep-Alive header, in seconds. */
static void
note_keep_alive(struct upstream_conn *c, const char *value)
{
	const char *p = strcasestr(value, "timeout=");
	unsigned long s;

	if (p == NULL)
		return;
	s = strtoul(p + strlen("timeout="), NULL, 10);
	c->keep_idle_us = (int64_t)s * IR_US_PER_S * KEEP_SHARE_PERCENT / 100;
}

static void
free_text(struct upstream_conn *c)
{
	ir_upstream_bytes_release(&c->transfer->bytes, c->text_bytes);
	c->text_bytes = 0;
	TALLOC_FREE(c->field);
	TALLOC_FREE(c->value);
}

/* Names and values come in pieces, as they were read. */
static bool
add_text(struct upstream_conn *c, char **text, const char *at, size_t size)
{
	if (!ir_upstream_bytes_hold(&c->transfer->bytes, size))
		return false;
	c->text_bytes += size;
	if (*text == NULL)
		*text = ir_text_copy(c, "");
	*text = ir_check_alloc(talloc_strndup_append_buffer(*text, at, size));
	return true;
}

/* A header came in whole. */
static void
end_header(struct upstream_conn *c)
{
	if (c->value == NULL)
		return;
	ir_upstream_answer_header(&c->transfer->answer, c->field, c->value);
	if (strcasecmp(c->field, "keep-alive") == 0)
		note_keep_alive(c, c->value);
	free_text(c);
}

/* The run is to end when there was no room. */
static int
on_field(http_parser *p, const char *at, size_t size)
{
	struct upstream_conn *c = p->data;

	end_header(c);
	if (c->transfer->bytes.refused)
		return -1;
	return add_text(c, &c->field, at, size) ? 0 : -1;
}

static int
on_value(http_parser *p, const char *at, size_t size)
{
	struct upstream_conn *c = p->data;

	return add_text(c, &c->value, at, size) ? 0 : -1;
}

static int
on_head(http_parser *p)
{
	struct upstream_conn *c = p->data;

	end_header(c);
	if (c->transfer->bytes.refused)
		return -1;
	p->upgrade = 0;
	return strcmp(c->transfer->order->u.run.method, "HEAD") == 0 ? 1 : 0;
}

static int
on_body(http_parser *p, const char *at, size_t size)
{
	struct upstream_conn *c = p->data;
	struct ir_upstream_answer *a = &c->transfer->answer;

	return ir_upstream_answer_body(a, (const uint8_t *)at, size) ? 0 : -1;
}

/* A provisional answer and one of another request are passed over. */
static int
on_end(http_parser *p)
{
	struct upstream_conn *c = p->data;
	struct ir_upstream_answer *a = &c->transfer->answer;
	uint16_t status = (uint16_t)p->status_code;

	free_text(c);
	if (status < HTTP_FIRST_FINAL ||
	    ir_upstream_answer_is_spare(a, status)) {
		ir_upstream_answer_reset(a);
		return 0;
	}
	c->whole = true;
	c->keep = http_should_keep_alive(p) != 0;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_end,
};

/* An answer that came before its request was sent, or with more behind it,
 * leaves the connection in an unknown state. */
static void
answered(struct upstream_conn *c, size_t left_bytes)
{
	struct transfer *t = c->transfer;
	uint16_t status = (uint16_t)c->parser.status_code;

	if (c->keep && c->out == NULL && left_bytes == 0)
		make_idle(c);
	else
		ir_upstream_conn_close(c);
	ir_upstream_answer_end(&t->answer, status);
	ir_upstream_finish(t, NULL);
}

/* The functions from here on return false once the connection is gone. */
static bool
parse(struct upstream_conn *c, const uint8_t *data, size_t size)
{
	size_t n = http_parser_execute(
	    &c->parser, &callbacks, (const char *)data, size);

	if (c->whole) {
		answered(c, size - n);
		return false;
	}
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_OK)
		return true;
	if (c->transfer->bytes.refused)
		fail(c, "memory");
	else
		fail(c, http_errno_name(HTTP_PARSER_ERRNO(&c->parser)));
	return false;
}

/* An answer without a length ends with its connection, where it may. */
static void
on_eof(struct upstream_conn *c)
{
	if (c->transfer != NULL && c->heard &&
	    c->owner->dialect->close_ends_answer) {
		(void)http_parser_execute(&c->parser, &callbacks, "", 0);
		if (c->whole) {
			c->keep = false;
			answered(c, 0);
			return;
		}
	}
	fail(c, "closed");
}

/* An answer that was read goes on at once: what is ahead must take it. */
static bool
is_taken_ahead(const struct ir_memory *m)
{
	return ir_memory_held(m, IR_MEMORY_RINGS) <=
		   m->bound_bytes[IR_MEMORY_RINGS] / 2 &&
	       ir_memory_held(m, IR_MEMORY_PEERS) <=
		   m->bound_bytes[IR_MEMORY_PEERS] / 2;
}

/*
 * Whether more of an answer may be read: there is room, or it is the one that
 * needs none here, so that always one gets through.
 */
static bool
may_read(struct upstream_conn *c)
{
	struct ir_upstream *u = c->owner;
	struct transfer *t = c->transfer;

	if (t == NULL)
		return true;
	if (!is_taken_ahead(u->memory))
		return false;
	if (t == u->over ||
	    ir_memory_has_room(u->memory, IR_MEMORY_UPSTREAM, ROOM_BYTES))
		return true;
	if (u->over != NULL)
		return false;
	u->over = t;
	t->bytes.over = true;
	return true;
}

static void
pause_reading(struct upstream_conn *c)
{
	c->paused = true;
	c->owner->paused_count++;
	TEVENT_FD_NOT_READABLE(c->event);
}

void
ir_upstream_conn_resume(struct ir_upstream *u)
{
	struct upstream_conn *c;

	if (u->paused_count == 0)
		return;
	DL_FOREACH (u->busy, c) {
		if (!c->paused)
			continue;
		c->paused = false;
		u->paused_count--;
		TEVENT_FD_READABLE(c->event);
	}
}

static bool
read_some(struct upstream_conn *c)
{
	uint8_t data[READ_BYTES];
	ssize_t n;

	if (!may_read(c)) {
		pause_reading(c);
		return true;
	}
	n = recv(c->fd, data, sizeof(data), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n < 0) {
		fail(c, strerror(errno));
		return false;
	}
	if (n == 0) {
		on_eof(c);
		return false;
	}
	/* Nothing is asked: these bytes belong to no request. */
	if (c->transfer == NULL) {
		ir_upstream_conn_close(c);
		return false;
	}
	c->heard = true;
	return parse(c, data, (size_t)n);
}

/* The upstream may have answered before it stopped to read. */
static void
fail_send(struct upstream_conn *c, const char *reason)
{
	if (read_some(c))
		fail(c, reason);
}

static void
free_out(struct upstream_conn *c)
{
	if (c->out == NULL)
		return;
	ir_upstream_bytes_release(
	    &c->transfer->bytes, ir_memory_tree_bytes(c->out));
	TALLOC_FREE(c->out);
}

static bool
send_some(struct upstream_conn *c)
{
	size_t size = talloc_get_size(c->out);

	while (c->out_sent < size) {
		ssize_t n = send(c->fd, c->out + c->out_sent,
		    size - c->out_sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			TEVENT_FD_WRITEABLE(c->event);
			return true;
		}
		if (n < 0) {
			fail_send(c, strerror(errno));
			return false;
		}
		c->transfer->sent = true;
		c->out_sent += (size_t)n;
	}
	free_out(c);
	TEVENT_FD_NOT_WRITEABLE(c->event);
	return true;
}

static void
on_connected(struct upstream_conn *c)
{
	int error = 0;
	socklen_t size = sizeof(error);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
		error = errno;
	if (error != 0) {
		fail(c, strerror(error));
		return;
	}
	c->connecting = false;
	TALLOC_FREE(c->timer);
	(void)send_some(c);
}

static void
on_event(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	struct upstream_conn *c = ctx;

	if (c->connecting) {
		on_connected(c);
		return;
	}
	if ((flags & TEVENT_FD_WRITE) != 0 && c->out != NULL && !send_some(c))
		return;
	if ((flags & TEVENT_FD_READ) != 0)
		(void)read_some(c);
}

static void
on_connect_timeout(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	struct upstream_conn *c = ctx;

	c->timer = NULL;
	fail(c, "connect-timeout");
}

/* The connection was closed, or says something unasked. */
static bool
is_disturbed(const struct upstream_conn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       errno != EAGAIN;
}

static struct upstream_conn *
take_idle(struct ir_upstream *u, int64_t now)
{
	struct upstream_conn *c;

	while ((c = u->idle) != NULL) {
		if (now - c->idle_us < c->keep_idle_us && !is_disturbed(c)) {
			DL_DELETE(u->idle, c);
			return c;
		}
		ir_upstream_conn_close(c);
	}
	return NULL;
}

/* Leaves room for one more; false when all are busy. */
static bool
make_room(struct ir_upstream *u)
{
	if (u->conn_count < u->max_connections)
		return true;
	if (u->idle == NULL)
		return false;
	/* The list's head knows its tail: that one was used least lately. */
	ir_upstream_conn_close(u->idle->prev);
	return true;
}

static int
open_socket(const struct ir_endpoint *e)
{
	struct sockaddr_storage s;
	socklen_t size = ir_socket_address(e->address, e->port, &s);
	int on = 1;
	int fd =
	    socket(s.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&s, size) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

static struct upstream_conn *
new_conn(struct ir_upstream *u)
{
	struct upstream_conn *c;
	int fd;

	if (!make_room(u))
		return NULL;
	fd = open_socket(&u->address);
	if (fd < 0)
		return NULL;
	c = ir_check_alloc(talloc_zero(u, struct upstream_conn));
	c->owner = u;
	c->fd = fd;
	c->connecting = true;
	c->event = ir_check_alloc(tevent_add_fd(
	    u->loop, c, fd, TEVENT_FD_READ | TEVENT_FD_WRITE, on_event, c));
	c->timer = ir_check_alloc(tevent_add_timer(u->loop, c,
	    tevent_timeval_current_ofs(CONNECT_TIMEOUT_US / IR_US_PER_S, 0),
	    on_connect_timeout, c));
	u->conn_count++;
	return c;
}

/* The request's bytes, which hold the body from here on; NULL without room. */
static uint8_t *
make_request(struct ir_upstream *u, struct transfer *t)
{
	struct ir_run *r = &t->order->u.run;
	uint8_t *out = ir_upstream_request_bytes(t, u->dialect, &u->address, r);

	talloc_free(ir_unconst((const char *)r->body));
	r->body = NULL;
	if (ir_upstream_bytes_hold(&t->bytes,
		ir_memory_tree_bytes(t) + ir_memory_tree_bytes(t->order) +
		    ir_memory_tree_bytes(t->answer.message)))
		return out;
	return NULL;
}

static struct upstream_conn *
find_conn(struct ir_upstream *u, bool idempotent)
{
	struct upstream_conn *c = NULL;

	if (idempotent)
		c = take_idle(u, ir_clock_now());
	return c != NULL ? c : new_conn(u);
}

void
ir_upstream_conn_run(struct ir_upstream *u, struct transfer *t)
{
	uint8_t *out = make_request(u, t);
	struct upstream_conn *c;

	if (out == NULL) {
		ir_upstream_finish(t, "memory");
		return;
	}
	c = find_conn(u, t->order->u.run.idempotent);
	if (c == NULL) {
		ir_upstream_finish(t, "no-connection");
		return;
	}
	c->transfer = t;
	c->heard = false;
	c->whole = false;
	c->keep_idle_us = KEEP_IDLE_US;
	c->out_sent = 0;
	c->out = talloc_steal(c, out);
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	t->conn = c;
	DL_APPEND(u->busy, c);
	if (!c->connecting)
		(void)send_some(c);
}

void
ir_upstream_conn_sweep(struct ir_upstream *u, int64_t now)
{
	struct upstream_conn *c, *next;

	DL_FOREACH_SAFE (u->idle, c, next) {
		if (now - c->idle_us >= c->keep_idle_us)
			ir_upstream_conn_close(c);
	}
}
