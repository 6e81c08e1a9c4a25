/* Connections to the local upstream. */
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
#include "io/receive_buffer.h"
#include "io/upstream/upstream_check.h"
#include "io/upstream/upstream_conn.h"

#define READ_BYTES 16384
/*
 * Memory that one read may need: its bytes, and the allocator's overhead for
 * many small headers. For each byte of a head that is not complete: a larger
 * buffer, and the headers parsed from it.
 */
#define READ_ROOM_BYTES (2 * READ_BYTES)
#define HEAD_ROOM_FACTOR 4
#define CONNECT_TIMEOUT_US IR_US_PER_S
/*
 * For an upstream that gives no Keep-Alive timeout: half of the 10 s after
 * which upstreams usually close an idle connection.
 */
#define DEFAULT_MAX_IDLE_US (5 * IR_US_PER_S)
/* Fraction of the upstream's Keep-Alive timeout used, so that it does not
 * close the connection just when a request is sent. */
#define KEEP_ALIVE_USED_PERCENT 80
#define HTTP_FIRST_FINAL_STATUS 200
/*
 * Provisional answers and answers to other requests that may precede the answer
 * to a request. More of them are taken for a faulty upstream.
 */
#define MAX_SKIPPED_ANSWERS 32
/*
 * Bytes that may be read for one request: the largest body in chunks of one
 * byte takes 6 bytes of each, and a head comes before it.
 */
#define MAX_ANSWER_READ_BYTES (8 * (size_t)IR_MAX_BODY)

void
ir_upstream_conn_close(struct upstream_conn *c)
{
	struct ir_upstream *u = c->upstream;

	if (c->transfer != NULL) {
		DL_DELETE(u->busy_conns, c);
		u->busy_count--;
		c->transfer->conn = NULL;
	} else {
		DL_DELETE(u->idle_conns, c);
	}
	u->conn_count--;
	u->paused_count -= c->read_paused;
	ir_answer_head_reset(&c->head);
	TALLOC_FREE(c->event);
	TALLOC_FREE(c->timer);
	close(c->fd);
	ir_memory_return_socket(
	    u->memory, IR_SOCKET_UPSTREAM, c->receive_bytes);
	talloc_free(c);
}

static void
close_least_recently_used(struct ir_upstream *u)
{
	/* In a utlist the head's prev is the tail. */
	ir_upstream_conn_close(u->idle_conns->prev);
}

/*
 * Closes idle connections until no more are open than were busy at once
 * lately.
 */
static void
close_excess(struct ir_upstream *u, int64_t now)
{
	uint32_t kept = ir_conn_demand_kept(&u->demand, now);

	while (u->conn_count > kept && u->idle_conns != NULL)
		close_least_recently_used(u);
}

/* c may be freed. */
static void
make_idle(struct upstream_conn *c)
{
	struct ir_upstream *u = c->upstream;

	DL_DELETE(u->busy_conns, c);
	u->busy_count--;
	c->transfer->conn = NULL;
	c->transfer = NULL;
	c->idle_since_us = ir_clock_now();
	DL_PREPEND(u->idle_conns, c);
	close_excess(u, c->idle_since_us);
}

/* Closes the connection and fails its transfer, if it has one. */
static void
fail_conn(struct upstream_conn *c, const char *reason)
{
	struct transfer *t = c->transfer;

	ir_upstream_conn_close(c);
	if (t != NULL)
		ir_upstream_finish(t, reason);
}

/* The upstream closed or reset the connection, or it could not be read. */
static void
break_conn(struct upstream_conn *c, const char *reason)
{
	struct transfer *t = c->transfer;

	ir_upstream_conn_close(c);
	if (t == NULL)
		return;
	if (t->send_started) {
		ir_upstream_check_finish(t, reason);
		return;
	}
	t->connection_limit = true;
	ir_upstream_finish(t, reason);
}

/* Sets max_idle_us from the "timeout=N" of a Keep-Alive header, in seconds. */
static void
parse_keep_alive(struct upstream_conn *c, const char *value)
{
	const char *p = strcasestr(value, "timeout=");
	unsigned long s;

	if (p == NULL)
		return;
	s = strtoul(p + strlen("timeout="), NULL, 10);
	c->max_idle_us =
	    (int64_t)s * IR_US_PER_S * KEEP_ALIVE_USED_PERCENT / 100;
}

static void
free_header(struct upstream_conn *c)
{
	ir_upstream_memory_release(&c->transfer->memory, c->header_bytes);
	c->header_bytes = 0;
	TALLOC_FREE(c->header_name);
	TALLOC_FREE(c->header_value);
}

/*
 * Appends to a header's name or value: the parser gives them in pieces. Returns
 * false if there is no memory.
 */
static bool
append_header_text(
    struct upstream_conn *c, char **text, const char *at, size_t size)
{
	if (!ir_upstream_memory_reserve(&c->transfer->memory, size))
		return false;
	c->header_bytes += size;
	if (*text == NULL)
		*text = ir_text_copy(c, "");
	*text = ir_check_alloc(talloc_strndup_append_buffer(*text, at, size));
	return true;
}

/* Adds the header read last, now complete, to the answer. */
static void
finish_header(struct upstream_conn *c)
{
	if (c->header_value == NULL)
		return;
	ir_upstream_answer_add_header(
	    &c->transfer->answer, c->header_name, c->header_value);
	if (strcasecmp(c->header_name, "keep-alive") == 0)
		parse_keep_alive(c, c->header_value);
	free_header(c);
}

/* The callbacks return -1 to stop the parser when there is no memory. */
static int
on_header_field(http_parser *p, const char *at, size_t size)
{
	struct upstream_conn *c = p->data;

	finish_header(c);
	if (c->transfer->memory.reserve_failed)
		return -1;
	return append_header_text(c, &c->header_name, at, size) ? 0 : -1;
}

static int
on_header_value(http_parser *p, const char *at, size_t size)
{
	struct upstream_conn *c = p->data;

	return append_header_text(c, &c->header_value, at, size) ? 0 : -1;
}

static int
on_headers_complete(http_parser *p)
{
	struct upstream_conn *c = p->data;

	finish_header(c);
	if (c->transfer->memory.reserve_failed)
		return -1;
	ir_upstream_answer_end_head(&c->transfer->answer);
	p->upgrade = 0;
	return strcmp(c->transfer->run_message->u.run.method, "HEAD") == 0 ? 1
									   : 0;
}

static int
on_body(http_parser *p, const char *at, size_t size)
{
	struct upstream_conn *c = p->data;
	struct ir_upstream_answer *a = &c->transfer->answer;

	return ir_upstream_answer_append_body(a, (const uint8_t *)at, size)
		   ? 0
		   : -1;
}

/* Drops the answer just read; false if the upstream has sent too many such. */
static bool
skip_answer(struct upstream_conn *c)
{
	ir_upstream_answer_reset(&c->transfer->answer);
	c->in_head = true;
	http_parser_pause(&c->parser, 1);
	c->skipped_answers++;
	if (c->skipped_answers <= MAX_SKIPPED_ANSWERS)
		return true;
	c->fault = "too many answers before the final one";
	return false;
}

/* Skips provisional answers and answers to other requests. */
static int
on_message_complete(http_parser *p)
{
	struct upstream_conn *c = p->data;
	struct ir_upstream_answer *a = &c->transfer->answer;
	uint16_t status = (uint16_t)p->status_code;

	free_header(c);
	if (status < HTTP_FIRST_FINAL_STATUS ||
	    ir_upstream_answer_is_mismatched(a, status))
		return skip_answer(c) ? 0 : -1;
	c->answer_complete = true;
	c->keep_alive = http_should_keep_alive(p) != 0;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/*
 * Ends the transfer with its complete answer. The connection is closed if the
 * request was not sent to its end or left_bytes follow the answer: the state of
 * the connection is unknown then.
 */
static void
finish_answer(struct upstream_conn *c, size_t left_bytes)
{
	struct transfer *t = c->transfer;
	uint16_t status = (uint16_t)c->parser.status_code;

	if (c->keep_alive && c->request == NULL && left_bytes == 0)
		make_idle(c);
	else
		ir_upstream_conn_close(c);
	ir_upstream_answer_finish(&t->answer, status);
	ir_upstream_finish(t, NULL);
}

/* Returns the number of bytes parsed: all, or those of an answer. */
static size_t
execute(struct upstream_conn *c, const uint8_t *data, size_t size)
{
	size_t n = http_parser_execute(
	    &c->parser, &callbacks, (const char *)data, size);

	/* An answer was skipped, and another one follows. */
	if (c->in_head && HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED)
		http_parser_pause(&c->parser, 0);
	return n;
}

/* Returns the number of bytes read. */
static size_t
read_head(struct upstream_conn *c, const uint8_t *data, size_t size)
{
	size_t n = ir_answer_head_read(&c->head, data, size);

	if (c->head.fault != NULL)
		c->fault = c->head.fault;
	if (c->head.text == NULL)
		return n;
	c->in_head = false;
	(void)execute(c, c->head.text, c->head.text_bytes);
	ir_answer_head_reset(&c->head);
	return n;
}

static bool
is_parsing(const struct upstream_conn *c)
{
	return !c->answer_complete && c->fault == NULL &&
	       HTTP_PARSER_ERRNO(&c->parser) == HPE_OK;
}

/*
 * Parses what was read. Returns false if this ended the transfer: c is idle or
 * freed then.
 */
static bool
parse(struct upstream_conn *c, const uint8_t *data, size_t size)
{
	size_t n = 0;

	while (n < size && is_parsing(c))
		n += c->in_head ? read_head(c, data + n, size - n)
				: execute(c, data + n, size - n);
	if (c->answer_complete) {
		finish_answer(c, size - n);
		return false;
	}
	c->read_bytes += size;
	if (c->read_bytes > MAX_ANSWER_READ_BYTES)
		c->fault = "answer without end";
	if (is_parsing(c))
		return true;
	if (c->transfer->memory.reserve_failed)
		fail_conn(c, "memory");
	else if (c->fault != NULL)
		fail_conn(c, c->fault);
	else
		fail_conn(c, http_errno_name(HTTP_PARSER_ERRNO(&c->parser)));
	return false;
}

/*
 * Handles the end of the stream, which ends an answer without a length if the
 * dialect allows such answers. Frees c.
 */
static void
on_eof(struct upstream_conn *c)
{
	if (c->transfer != NULL && c->answer_started &&
	    c->upstream->dialect->close_delimits_answer) {
		(void)http_parser_execute(&c->parser, &callbacks, "", 0);
		if (c->answer_complete) {
			c->keep_alive = false;
			finish_answer(c, 0);
			return;
		}
	}
	break_conn(c, "closed");
}

/*
 * Whether messages between threads and those to peers are within half of their
 * memory bounds: an answer becomes such a message as soon as it is read.
 */
static bool
next_stages_have_room(const struct ir_memory *m)
{
	return ir_memory_held(m, IR_MEMORY_RINGS) <=
		   m->bound_bytes[IR_MEMORY_RINGS] / 2 &&
	       ir_memory_held(m, IR_MEMORY_PEERS) <=
		   m->bound_bytes[IR_MEMORY_PEERS] / 2;
}

/*
 * Whether more of an answer may be read: there is room, or its transfer is the
 * one that is exempt from the bound. One transfer at a time is exempt, so that
 * large answers that together fill the bound do not all wait for each other.
 */
static bool
may_read(struct upstream_conn *c)
{
	struct ir_upstream *u = c->upstream;
	struct transfer *t = c->transfer;
	size_t room = READ_ROOM_BYTES + HEAD_ROOM_FACTOR * c->head.pieces_bytes;

	if (t == NULL)
		return true;
	if (!next_stages_have_room(u->memory))
		return false;
	if (t == u->exempt_transfer ||
	    ir_memory_has_room(u->memory, IR_MEMORY_UPSTREAM, room))
		return true;
	if (u->exempt_transfer != NULL)
		return false;
	u->exempt_transfer = t;
	t->memory.exempt = true;
	return true;
}

static void
pause_reads(struct upstream_conn *c)
{
	c->read_paused = true;
	c->upstream->paused_count++;
	TEVENT_FD_NOT_READABLE(c->event);
}

void
ir_upstream_conn_resume_reads(struct ir_upstream *u)
{
	struct upstream_conn *c;

	if (u->paused_count == 0)
		return;
	DL_FOREACH (u->busy_conns, c) {
		if (!c->read_paused)
			continue;
		c->read_paused = false;
		u->paused_count--;
		TEVENT_FD_READABLE(c->event);
	}
}

/* Reads and parses once. Returns false as parse() does, or if c was freed. */
static bool
read_some(struct upstream_conn *c)
{
	uint8_t data[READ_BYTES];
	ssize_t n;

	if (!may_read(c)) {
		pause_reads(c);
		return true;
	}
	n = recv(c->fd, data, sizeof(data), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n < 0) {
		break_conn(c, strerrorname_np(errno));
		return false;
	}
	if (n == 0) {
		on_eof(c);
		return false;
	}
	/* No request is in flight: the bytes are no answer. */
	if (c->transfer == NULL) {
		ir_upstream_conn_close(c);
		return false;
	}
	c->answer_started = true;
	return parse(c, data, (size_t)n);
}

/* The upstream may have answered before the connection broke: reads that. */
static void
fail_after_send_error(struct upstream_conn *c, const char *reason)
{
	if (read_some(c))
		break_conn(c, reason);
}

static void
free_request(struct upstream_conn *c)
{
	if (c->request == NULL)
		return;
	ir_upstream_memory_release(
	    &c->transfer->memory, ir_memory_tree_bytes(c->request));
	TALLOC_FREE(c->request);
}

/* Sends as much of the request as the socket takes. Returns false if c was
 * freed or its transfer ended. */
static bool
send_some(struct upstream_conn *c)
{
	size_t size = talloc_get_size(c->request);

	while (c->sent_bytes < size) {
		ssize_t n = send(c->fd, c->request + c->sent_bytes,
		    size - c->sent_bytes, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			TEVENT_FD_WRITEABLE(c->event);
			return true;
		}
		if (n < 0) {
			fail_after_send_error(c, strerrorname_np(errno));
			return false;
		}
		c->transfer->send_started = true;
		c->sent_bytes += (size_t)n;
	}
	free_request(c);
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
		c->transfer->connection_limit = error == ECONNRESET;
		fail_conn(c, strerror(error));
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
	if ((flags & TEVENT_FD_WRITE) != 0 && c->request != NULL &&
	    !send_some(c))
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
	fail_conn(c, "connect-timeout");
}

/*
 * Whether an idle connection was closed by the upstream or has bytes that no
 * request asked for.
 */
static bool
is_stale(const struct upstream_conn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       errno != EAGAIN;
}

static struct upstream_conn *
take_idle_conn(struct ir_upstream *u, int64_t now)
{
	struct upstream_conn *c;

	while ((c = u->idle_conns) != NULL) {
		if (now - c->idle_since_us < c->max_idle_us && !is_stale(c)) {
			DL_DELETE(u->idle_conns, c);
			return c;
		}
		ir_upstream_conn_close(c);
	}
	return NULL;
}

/* Makes sure that one more connection may be opened, by closing the least
 * recently used idle connection. Returns false if all are busy. */
static bool
ensure_conn_slot(struct ir_upstream *u)
{
	if (u->conn_count < u->max_connections)
		return true;
	if (u->idle_conns == NULL)
		return false;
	close_least_recently_used(u);
	return true;
}

/*
 * Sets *receive_bytes to the grant for the socket. Returns -1 and sets errno if
 * there is none, or the connection was refused at once.
 */
static int
open_socket(const struct ir_upstream *u, size_t *receive_bytes)
{
	const struct ir_endpoint *e = &u->address;
	struct sockaddr_storage s;
	socklen_t size = ir_socket_address(e->address, e->port, &s);
	int on = 1, error;
	int fd =
	    socket(s.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	*receive_bytes =
	    ir_receive_buffer_grant(u->memory, fd, IR_SOCKET_UPSTREAM);
	if (connect(fd, (struct sockaddr *)&s, size) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	error = errno;
	close(fd);
	ir_memory_return_socket(u->memory, IR_SOCKET_UPSTREAM, *receive_bytes);
	errno = error;
	return -1;
}

/* NULL, with errno set, if there is none. */
static struct upstream_conn *
new_conn(struct ir_upstream *u)
{
	struct upstream_conn *c;
	size_t receive_bytes;
	int fd;

	if (!ensure_conn_slot(u)) {
		errno = EMFILE;
		return NULL;
	}
	fd = open_socket(u, &receive_bytes);
	if (fd < 0)
		return NULL;
	c = ir_check_alloc(talloc_zero(u, struct upstream_conn));
	c->upstream = u;
	c->fd = fd;
	c->receive_bytes = receive_bytes;
	c->connecting = true;
	c->event = ir_check_alloc(tevent_add_fd(
	    u->loop, c, fd, TEVENT_FD_READ | TEVENT_FD_WRITE, on_event, c));
	c->timer = ir_check_alloc(tevent_add_timer(u->loop, c,
	    tevent_timeval_current_ofs(CONNECT_TIMEOUT_US / IR_US_PER_S, 0),
	    on_connect_timeout, c));
	u->conn_count++;
	return c;
}

/*
 * Encodes the request and frees its body, which is copied to the result.
 * Returns NULL if the memory of the transfer would exceed the bound.
 */
static uint8_t *
encode_request(struct ir_upstream *u, struct transfer *t)
{
	struct ir_run *r = &t->run_message->u.run;
	uint8_t *out =
	    ir_upstream_request_encode(t, u->dialect, &u->address, r);

	talloc_free(ir_unconst((const char *)r->body));
	r->body = NULL;
	if (ir_upstream_memory_reserve(&t->memory,
		ir_memory_tree_bytes(t) + ir_memory_tree_bytes(t->run_message) +
		    ir_memory_tree_bytes(t->answer.message)))
		return out;
	return NULL;
}

static struct upstream_conn *
get_conn(struct ir_upstream *u, bool idempotent)
{
	struct upstream_conn *c = NULL;

	if (idempotent)
		c = take_idle_conn(u, ir_clock_now());
	return c != NULL ? c : new_conn(u);
}

void
ir_upstream_conn_start(struct ir_upstream *u, struct transfer *t)
{
	uint8_t *out = encode_request(u, t);
	struct upstream_conn *c;

	if (out == NULL) {
		ir_upstream_finish(t, "memory");
		return;
	}
	c = get_conn(u, t->run_message->u.run.idempotent);
	if (c == NULL) {
		t->connection_limit = errno != ECONNREFUSED;
		ir_upstream_finish(t, "no-connection");
		return;
	}
	c->transfer = t;
	t->answer.conn_was_used = !c->connecting;
	c->answer_started = false;
	c->answer_complete = false;
	c->skipped_answers = 0;
	c->read_bytes = 0;
	c->fault = NULL;
	c->head.memory = &t->memory;
	c->in_head = true;
	c->max_idle_us = DEFAULT_MAX_IDLE_US;
	c->sent_bytes = 0;
	c->request = talloc_steal(c, out);
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	t->conn = c;
	DL_APPEND(u->busy_conns, c);
	u->busy_count++;
	ir_conn_demand_add(&u->demand, ir_clock_now(), u->busy_count);
	if (!c->connecting)
		(void)send_some(c);
}

void
ir_upstream_conn_close_expired(struct ir_upstream *u, int64_t now)
{
	struct upstream_conn *c, *next;

	DL_FOREACH_SAFE (u->idle_conns, c, next) {
		if (now - c->idle_since_us >= c->max_idle_us)
			ir_upstream_conn_close(c);
	}
	close_excess(u, now);
}
