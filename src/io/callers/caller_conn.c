/* A caller's connection. */
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>
#include <utlist.h>

#include "io/callers/caller_conn.h"
#include "io/clock.h"
#include "io/http_head.h"

#define READ_BYTES 16384
/* Head of a request: the headers' bound and a line. */
#define MAX_HEAD_BYTES (IR_MAX_RAW_HEADER_BYTES + 8192)
/* Requests of one connection that may be out at a time. */
#define MAX_OPEN 64
/* Over the idle time that callers are told of, 15 s, with a margin. */
#define IDLE_TIMEOUT_US (60 * IR_US_PER_S)
/* A caller that takes nothing of an answer for so long is gone. */
#define UNREAD_TIMEOUT_US (10 * IR_US_PER_S)
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

	while (c->out_sent < size) {
		ssize_t n = send(c->fd, c->out + c->out_sent,
		    size - c->out_sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			TEVENT_FD_WRITEABLE(c->event);
			return false;
		}
		if (n < 0) {
			ir_caller_conn_end(c);
			return false;
		}
		c->out_sent += (size_t)n;
		c->used_us = ir_clock_now();
	}
	TALLOC_FREE(c->out);
	c->out_sent = 0;
	return true;
}

static void
drop_request(struct caller_conn *c, struct request *r)
{
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

void
ir_caller_conn_write(struct caller_conn *c)
{
	while (!c->dead && (c->out != NULL || take_out(c))) {
		if (!flush(c))
			return;
	}
	if (c->dead)
		return;
	TEVENT_FD_NOT_WRITEABLE(c->event);
	if (c->ending && c->requests == NULL && !c->lingering)
		linger(c);
	else if (c->request_count < MAX_OPEN)
		TEVENT_FD_READABLE(c->event);
}

static int
on_url(http_parser *p, const char *at, size_t size)
{
	struct request *r = ((struct caller_conn *)p->data)->reading;

	r->target = ir_must(talloc_strndup_append_buffer(r->target, at, size));
	return 0;
}

static int
on_field(http_parser *p, const char *at, size_t size)
{
	struct caller_conn *c = p->data;

	c->field = ir_must(talloc_strndup(c->reading, at, size));
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t size)
{
	struct caller_conn *c = p->data;
	struct request *r = c->reading;
	char *value = ir_must(talloc_strndup(r, at, size));

	/* A trailer says nothing that is passed on. */
	if (r->call->u.call.method != NULL)
		return 0;
	if (ir_raw_headers_add(&r->raw, c->field, value))
		return 0;
	r->refusal =
	    ir_refuse(IR_E_TOO_LARGE, "headers", "The headers are too large.");
	r->refusal.http_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
	return 0;
}

static bool
expects_continue(const struct request *r)
{
	for (size_t i = 0; i < r->raw.count; i++) {
		if (strcasecmp(r->raw.headers[i].name, "expect") == 0 &&
		    strcasecmp(r->raw.headers[i].value, "100-continue") == 0)
			return true;
	}
	return false;
}

static int
on_head(http_parser *p)
{
	struct request *r = ((struct caller_conn *)p->data)->reading;

	p->upgrade = 0;
	r->method =
	    ir_text_copy(r, http_method_str((enum http_method)p->method));
	r->last = !http_should_keep_alive(p);
	r->wants_continue = expects_continue(r);
	ir_request_begin(r);
	if (p->content_length != UINT64_MAX &&
	    p->content_length > IR_MAX_BODY && (p->flags & F_CHUNKED) == 0) {
		r->refusal =
		    ir_refuse(IR_E_TOO_LARGE, "body", "The body is too large.");
		return 1;
	}
	return 0;
}

static int
on_body(http_parser *p, const char *at, size_t size)
{
	struct request *r = ((struct caller_conn *)p->data)->reading;

	ir_request_receive(r, (const uint8_t *)at, size);
	return 0;
}

static int
on_end(http_parser *p)
{
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_end,
};

static struct request *
new_request(struct caller_conn *c)
{
	struct request *r = ir_must(talloc_zero(c, struct request));

	r->conn = c;
	r->target = ir_text_copy(r, "");
	r->call = ir_to_core_new(IR_TO_CORE_CALL);
	DL_APPEND(c->requests, r);
	c->request_count++;
	c->listener->callers->open_requests++;
	c->reading = r;
	return r;
}

/* Nothing after this request is read. */
static void
refuse_last(struct caller_conn *c, struct ir_refusal refusal)
{
	struct request *r = c->reading != NULL ? c->reading : new_request(c);

	r->refusal = refusal;
	r->last = true;
	c->ending = true;
	c->reading = NULL;
	c->in_bytes = 0;
	ir_request_refuse(r);
}

static void
refuse_bad(struct caller_conn *c, const char *fault)
{
	refuse_last(c, ir_refuse(IR_E_BAD_REQUEST, fault, NULL));
}

static void
consume(struct caller_conn *c, size_t size)
{
	c->in_bytes -= size;
	memmove(c->in, c->in + size, c->in_bytes);
}

/* True when a whole head is there and is sound. */
static bool
begin_head(struct caller_conn *c)
{
	size_t blank = 0, size;
	const char *fault;

	while (blank + 1 < c->in_bytes && c->in[blank] == '\r' &&
	       c->in[blank + 1] == '\n')
		blank += 2;
	if (blank > 0)
		consume(c, blank);
	size = ir_http_head_size(c->in, c->in_bytes);
	if (size == 0 && c->in_bytes <= MAX_HEAD_BYTES)
		return false;
	if (size == 0 || size > MAX_HEAD_BYTES) {
		struct ir_refusal r = ir_refuse(
		    IR_E_TOO_LARGE, "headers", "The headers are too large.");

		r.http_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
		refuse_last(c, r);
		return false;
	}
	fault = ir_http_head_fault(c->in, size);
	if (fault != NULL) {
		refuse_bad(c, fault);
		return false;
	}
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	new_request(c);
	return true;
}

static void
end_request(struct caller_conn *c)
{
	struct request *r = c->reading;

	c->reading = NULL;
	http_parser_pause(&c->parser, 0);
	ir_request_submit(r);
	if (r->last)
		c->ending = true;
}

static void
parse_some(struct caller_conn *c)
{
	size_t n = http_parser_execute(
	    &c->parser, &callbacks, (const char *)c->in, c->in_bytes);
	enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);

	if (e != HPE_OK && e != HPE_PAUSED) {
		refuse_bad(c, http_errno_name(e));
		return;
	}
	consume(c, n);
	if (c->reading->refusal.reason != NULL &&
	    c->reading->refusal.error == IR_E_TOO_LARGE) {
		/* The rest of the body is not waited for. */
		refuse_last(c, c->reading->refusal);
		return;
	}
	if (e == HPE_PAUSED)
		end_request(c);
}

static void
parse(struct caller_conn *c)
{
	while (!c->dead && !c->ending && c->in_bytes > 0 &&
	       c->request_count < MAX_OPEN) {
		if (c->reading == NULL && !begin_head(c))
			return;
		parse_some(c);
	}
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

/* False when the connection is ended or has nothing more now. */
static bool
read_some(struct caller_conn *c)
{
	ssize_t n;

	if (!ir_bytes_grow(c, &c->in, c->in_bytes + READ_BYTES)) {
		ir_caller_conn_end(c);
		return false;
	}
	n = recv(c->fd, c->in + c->in_bytes, READ_BYTES, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n <= 0) {
		on_end_of_input(c, n == 0);
		return false;
	}
	if (c->lingering || c->ending)
		return true;
	c->in_bytes += (size_t)n;
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
	parse(c);
	if (c->dead)
		return;
	if (c->request_count >= MAX_OPEN)
		TEVENT_FD_NOT_READABLE(c->event);
	ir_caller_conn_write(c);
	if (!c->dead && c->in_bytes == 0)
		TALLOC_FREE(c->in);
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
	DL_APPEND(callers->conns, c);
	callers->conn_count++;
}

static bool
is_stale(const struct caller_conn *c, int64_t now)
{
	int64_t idle_us = now - c->used_us;

	if (c->lingering)
		return idle_us > LINGER_US;
	if (c->out != NULL)
		return idle_us > UNREAD_TIMEOUT_US;
	if (c->requests != NULL && c->reading == NULL)
		return false;
	return idle_us > IDLE_TIMEOUT_US;
}

void
ir_caller_conn_sweep(struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c, *next;

	DL_FOREACH_SAFE (callers->conns, c, next) {
		if (is_stale(c, now))
			ir_caller_conn_end(c);
	}
}
