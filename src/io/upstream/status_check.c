/* Status checks of the local upstream. */
#include "io/upstream/status_check.h"

#include <sys/socket.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "io/admin/io_log.h"
#include "io/event_loop.h"
#include "io/listen.h"
#include "log/value.h"

/* A cold upstream is slow: twice the time between two checks. */
#define STATUS_CHECK_TIMEOUT_US (500 * IR_US_PER_MS)
#define READ_BYTES 4096
/* An answer with a longer head is none. */
#define MAX_READ_BYTES 65536
#define MAX_REMAINING_DIGITS 9
#define DECIMAL 10
#define MIN_FINAL_STATUS 200

struct status_check {
	struct ir_upstream *upstream;
	int fd;
	struct tevent_fd *event;
	char *request;
	size_t sent_bytes;
	size_t read_bytes;
	struct ir_answer_head head;
	http_parser parser;
	char *name;  /* of the header being read, or NULL */
	char *value; /* of the header being read, or NULL */
	bool complete;
	bool malformed;
	struct ir_to_core *message;
};

static int
free_check(struct status_check *c)
{
	TALLOC_FREE(c->event);
	if (c->fd >= 0)
		close(c->fd);
	ir_answer_head_reset(&c->head);
	talloc_free(c->message);
	c->upstream->status_check = NULL;
	return 0;
}

/* Reports the result and frees c. */
static void
finish(struct status_check *c)
{
	struct ir_upstream *u = c->upstream;
	struct ir_to_core *m = c->message;

	c->message = NULL;
	m->u.check.answered = c->complete && !c->malformed;
	talloc_free(c);
	ir_outbox_push(&u->outbox, m);
}

static void
set_remaining(struct status_check *c)
{
	size_t n = strspn(c->value, "0123456789");
	char value[IR_LOG_VALUE_BYTES];

	if (n > 0 && n <= MAX_REMAINING_DIGITS && c->value[n] == '\0') {
		c->message->u.check.cold_remaining_ms =
		    (uint32_t)strtoul(c->value, NULL, DECIMAL);
		return;
	}
	c->malformed = true;
	ir_io_log_event(c->upstream->channel->log, IR_EVENT_CHECK_BAD, NULL,
	    "status=%u value=%s", c->parser.status_code,
	    ir_log_value(value, c->value, strlen(c->value)));
}

static bool
is_header(const struct status_check *c, const char *name)
{
	return name != NULL && strcasecmp(c->name, name) == 0;
}

static void
finish_header(struct status_check *c)
{
	const struct ir_header_names *n = &c->upstream->dialect->headers;
	struct ir_check_result *r = &c->message->u.check;

	if (c->name != NULL && c->value != NULL) {
		if (is_header(c, n->cold_remaining))
			set_remaining(c);
		else if (is_header(c, n->upstream_id))
			r->upstream_id = ir_text_copy(c->message, c->value);
	}
	TALLOC_FREE(c->name);
	TALLOC_FREE(c->value);
}

static void
append(struct status_check *c, char **text, const char *at, size_t size)
{
	if (*text == NULL)
		*text = ir_text_copy(c, "");
	*text = ir_check_alloc(talloc_strndup_append_buffer(*text, at, size));
}

static int
on_header_field(http_parser *p, const char *at, size_t size)
{
	struct status_check *c = p->data;

	if (c->value != NULL)
		finish_header(c);
	append(c, &c->name, at, size);
	return 0;
}

static int
on_header_value(http_parser *p, const char *at, size_t size)
{
	struct status_check *c = p->data;

	append(c, &c->value, at, size);
	return 0;
}

/* The body is of no interest. A provisional answer is skipped. */
static int
on_headers_complete(http_parser *p)
{
	struct status_check *c = p->data;

	finish_header(c);
	if (p->status_code < MIN_FINAL_STATUS)
		return 1;
	c->message->u.check.status = (uint16_t)p->status_code;
	c->complete = true;
	http_parser_pause(p, 1);
	return 1;
}

static const http_parser_settings callbacks = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
};

/* Returns whether the check goes on. */
static bool
send_some(struct status_check *c)
{
	size_t left = strlen(c->request) - c->sent_bytes;
	ssize_t n;

	if (left == 0)
		return true;
	n = send(c->fd, c->request + c->sent_bytes, left, MSG_NOSIGNAL);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	c->sent_bytes += (size_t)n;
	if ((size_t)n == left)
		TEVENT_FD_NOT_WRITEABLE(c->event);
	return true;
}

/* Returns the number of bytes read. */
static size_t
read_head(struct status_check *c, const uint8_t *data, size_t size)
{
	size_t n = ir_answer_head_read(&c->head, data, size);

	if (c->head.fault != NULL)
		ir_io_log_event(c->upstream->channel->log, IR_EVENT_CHECK_BAD,
		    c->head.fault, "bytes=%zu", c->read_bytes);
	if (c->head.text == NULL)
		return n;
	(void)http_parser_execute(&c->parser, &callbacks,
	    (const char *)c->head.text, c->head.text_bytes);
	ir_answer_head_reset(&c->head);
	return n;
}

static bool
is_reading(const struct status_check *c)
{
	return !c->complete && c->head.fault == NULL &&
	       HTTP_PARSER_ERRNO(&c->parser) == HPE_OK;
}

/* Returns whether the check goes on. */
static bool
read_some(struct status_check *c)
{
	uint8_t data[READ_BYTES];
	ssize_t n = recv(c->fd, data, sizeof(data), 0);
	size_t at = 0;

	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	c->read_bytes += (size_t)n;
	if (n == 0 || c->read_bytes > MAX_READ_BYTES)
		return false;
	while (at < (size_t)n && is_reading(c))
		at += read_head(c, data + at, (size_t)n - at);
	return is_reading(c);
}

static void
on_event(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	struct status_check *c = ctx;
	bool more = true;

	if ((flags & TEVENT_FD_WRITE) != 0)
		more = send_some(c);
	if (more && (flags & TEVENT_FD_READ) != 0)
		more = read_some(c);
	if (!more)
		finish(c);
}

static void
on_timeout(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	finish(ctx);
}

static char *
make_request(TALLOC_CTX *mem, const struct ir_endpoint *e, const char *path)
{
	bool v6 = strchr(e->address, ':') != NULL;

	return ir_check_alloc(talloc_asprintf(mem,
	    v6 ? "GET %s HTTP/1.1\r\nHost: [%s]:%u\r\nConnection: close\r\n\r\n"
	       : "GET %s HTTP/1.1\r\nHost: %s:%u\r\nConnection: close\r\n\r\n",
	    path, e->address, e->port));
}

static bool
connect_to(struct status_check *c, const struct ir_endpoint *e)
{
	struct sockaddr_storage s;
	socklen_t size = ir_socket_address(e->address, e->port, &s);

	c->fd =
	    socket(s.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return false;
	return connect(c->fd, (struct sockaddr *)&s, size) == 0 ||
	       errno == EINPROGRESS;
}

void
ir_status_check_start(struct ir_upstream *u, const char *path)
{
	struct status_check *c;

	talloc_free(u->status_check);
	c = ir_check_alloc(talloc_zero(u, struct status_check));
	u->status_check = c;
	c->upstream = u;
	c->message = ir_to_core_new(IR_TO_CORE_UPSTREAM_CHECKED);
	c->message->u.check.upstream_id = "";
	talloc_set_destructor(c, free_check);
	c->request = make_request(c, &u->address, path);
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	if (!connect_to(c, &u->address)) {
		finish(c);
		return;
	}
	c->event = ir_check_alloc(tevent_add_fd(
	    u->loop, c, c->fd, TEVENT_FD_READ | TEVENT_FD_WRITE, on_event, c));
	ir_check_alloc(tevent_add_timer(u->loop, c,
	    tevent_timeval_current_ofs(0, STATUS_CHECK_TIMEOUT_US), on_timeout,
	    c));
}
