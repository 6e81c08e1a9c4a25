/* Parses the input of a connection into requests. */
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "io/callers/caller_conn.h"
#include "io/http_head.h"

/* Maximum head of a request: the headers and 8 KiB for the request line. */
#define MAX_HEAD_BYTES (IR_MAX_RAW_HEADER_BYTES + 8192)
/* Requests of one connection that may be unanswered at a time. */
#define MAX_PIPELINED 64
/* An incomplete head up to this size is kept even over the memory bound. */
#define MIN_HEAD_BYTES 2048
/* Empty lines that may precede a request. */
#define MAX_BLANK_BYTES 1024
/*
 * Bytes that a request may take: the largest body in chunks of one byte takes
 * 6 bytes of each, and a head comes before it.
 */
#define MAX_REQUEST_BYTES (8 * (size_t)IR_MAX_BODY)

static int
on_url(http_parser *p, const char *at, size_t size)
{
	struct request_head *h =
	    ((struct caller_conn *)p->data)->receiving->head;

	h->target =
	    ir_check_alloc(talloc_strndup_append_buffer(h->target, at, size));
	return 0;
}

static int
on_field(http_parser *p, const char *at, size_t size)
{
	struct request_head *h =
	    ((struct caller_conn *)p->data)->receiving->head;

	h->field = ir_check_alloc(talloc_strndup(h, at, size));
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t size)
{
	struct request *r = ((struct caller_conn *)p->data)->receiving;
	struct request_head *h = r->head;
	char *value = ir_check_alloc(talloc_strndup(h, at, size));

	/* The method is set after the head: trailers are not forwarded. */
	if (r->call->u.call.method != NULL)
		return 0;
	if (ir_raw_headers_add(&h->raw, h->field, value))
		return 0;
	r->refusal = ir_refusal_make(
	    IR_E_TOO_LARGE, "headers", "The headers are too large.");
	r->refusal.http_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
	return 0;
}

static bool
expects_continue(const struct ir_raw_headers *raw)
{
	for (size_t i = 0; i < raw->count; i++) {
		if (strcasecmp(raw->headers[i].name, "expect") == 0 &&
		    strcasecmp(raw->headers[i].value, "100-continue") == 0)
			return true;
	}
	return false;
}

static int
on_head(http_parser *p)
{
	struct request *r = ((struct caller_conn *)p->data)->receiving;

	p->upgrade = 0;
	r->head->method =
	    ir_text_copy(r->head, http_method_str((enum http_method)p->method));
	r->is_head_method = p->method == HTTP_HEAD;
	r->close_after = !http_should_keep_alive(p);
	r->continue_pending = expects_continue(&r->head->raw);
	ir_request_check_head(r);
	if (p->content_length != UINT64_MAX &&
	    p->content_length > IR_MAX_BODY && (p->flags & F_CHUNKED) == 0) {
		r->refusal = ir_refusal_make(
		    IR_E_TOO_LARGE, "body", "The body is too large.");
		return 1;
	}
	return 0;
}

static int
on_body(http_parser *p, const char *at, size_t size)
{
	struct request *r = ((struct caller_conn *)p->data)->receiving;

	ir_request_add_body(r, (const uint8_t *)at, size);
	return 0;
}

static int
on_message_end(http_parser *p)
{
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings discard_callbacks = {
    .on_message_complete = on_message_end,
};

static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_message_end,
};

static struct request *
new_request(struct caller_conn *c)
{
	struct request *r = ir_check_alloc(talloc_zero(c, struct request));

	r->conn = c;
	r->head = ir_check_alloc(talloc_zero(r, struct request_head));
	r->head->target = ir_text_copy(r->head, "");
	r->call = ir_to_core_new(IR_TO_CORE_CALL);
	DL_APPEND(c->requests, r);
	c->request_count++;
	c->listener->callers->open_requests++;
	c->receiving = r;
	c->blank_bytes = 0;
	c->request_bytes = 0;
	return r;
}

/* Refuses the current or a new request; reads no further requests. */
static void
refuse_last(struct caller_conn *c, struct ir_refusal refusal)
{
	struct request *r =
	    c->receiving != NULL ? c->receiving : new_request(c);

	r->refusal = refusal;
	r->close_after = true;
	c->no_more_requests = true;
	c->receiving = NULL;
	c->input_bytes = 0;
	ir_request_refuse(r);
}

static void
refuse_bad(struct caller_conn *c, const char *fault)
{
	refuse_last(c, ir_refusal_make(IR_E_BAD_REQUEST, fault, NULL));
}

static void
refuse_last_for_memory(struct caller_conn *c)
{
	struct request *r = new_request(c);

	ir_request_set_memory_refusal(r);
	refuse_last(c, r->refusal);
}

/* Refuses at once; reads and discards the rest of the body. */
static void
refuse_and_discard_body(struct caller_conn *c)
{
	struct request *r = c->receiving;

	/*
	 * A caller that awaits 100 Continue may send the body or not: where
	 * the next request starts is unknown.
	 */
	if (r->continue_pending || r->close_after) {
		refuse_last(c, r->refusal);
		return;
	}
	c->receiving = NULL;
	c->discarding_body = true;
	ir_request_refuse(r);
}

static void
consume(struct caller_conn *c, size_t size)
{
	c->input_bytes -= size;
	memmove(c->input, c->input + size, c->input_bytes);
}

/* Skips empty lines before a request; false if it refused too many. */
static bool
skip_blank_lines(struct caller_conn *c)
{
	size_t blank = 0;

	while (blank + 1 < c->input_bytes && c->input[blank] == '\r' &&
	       c->input[blank + 1] == '\n')
		blank += 2;
	if (blank == 0)
		return true;
	consume(c, blank);
	c->blank_bytes += blank;
	if (c->blank_bytes <= MAX_BLANK_BYTES)
		return true;
	refuse_bad(c, "empty-lines");
	return false;
}

/* True if the input has a complete, valid head; refuses an invalid one. */
static bool
check_head(struct caller_conn *c)
{
	size_t size;
	const char *fault;

	if (!skip_blank_lines(c))
		return false;
	size = ir_http_head_size(c->input, c->input_bytes);
	if (size == 0 && c->input_bytes > MIN_HEAD_BYTES &&
	    !ir_callers_have_memory(c->listener->callers, 0)) {
		refuse_last_for_memory(c);
		return false;
	}
	if (size == 0 && c->input_bytes <= MAX_HEAD_BYTES)
		return false;
	if (size == 0 || size > MAX_HEAD_BYTES) {
		struct ir_refusal r = ir_refusal_make(
		    IR_E_TOO_LARGE, "headers", "The headers are too large.");

		r.http_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
		refuse_last(c, r);
		return false;
	}
	fault = ir_http_head_fault(c->input, size);
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
	struct request *r = c->receiving;

	c->receiving = NULL;
	http_parser_pause(&c->parser, 0);
	ir_request_submit(r);
	if (r->close_after)
		c->no_more_requests = true;
}

/* Counts n bytes of a request that goes on; true if they are too many. */
static bool
is_without_end(struct caller_conn *c, size_t n)
{
	c->request_bytes += n;
	return c->request_bytes > MAX_REQUEST_BYTES;
}

static void
parse_request(struct caller_conn *c)
{
	size_t n = http_parser_execute(
	    &c->parser, &callbacks, (const char *)c->input, c->input_bytes);
	enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);

	if (e != HPE_OK && e != HPE_PAUSED) {
		refuse_bad(c, http_errno_name(e));
		return;
	}
	consume(c, n);
	if (e == HPE_OK && is_without_end(c, n))
		c->receiving->refusal = ir_refusal_make(
		    IR_E_TOO_LARGE, "body", "The body is too large.");
	if (c->receiving->refusal.reason != NULL &&
	    c->receiving->refusal.error == IR_E_TOO_LARGE) {
		/* Refuses without reading the rest of the body. */
		refuse_last(c, c->receiving->refusal);
		return;
	}
	if (e == HPE_PAUSED)
		end_request(c);
	else if (c->receiving->refusal.error == IR_E_OVERLOAD)
		refuse_and_discard_body(c);
}

static void
discard_body(struct caller_conn *c)
{
	size_t n = http_parser_execute(&c->parser, &discard_callbacks,
	    (const char *)c->input, c->input_bytes);
	enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);

	if ((e != HPE_OK && e != HPE_PAUSED) || is_without_end(c, n)) {
		c->no_more_requests = true;
		c->input_bytes = 0;
		return;
	}
	consume(c, n);
	if (e != HPE_PAUSED)
		return;
	http_parser_pause(&c->parser, 0);
	c->discarding_body = false;
}

bool
ir_caller_conn_may_read(const struct caller_conn *c)
{
	if (c->receiving != NULL || c->discarding_body || c->requests == NULL)
		return true;
	return c->request_count < MAX_PIPELINED &&
	       !ir_caller_conn_over_share(c);
}

bool
ir_caller_conn_parse(struct caller_conn *c)
{
	size_t old_bytes = c->input_bytes;

	while (!c->no_more_requests && c->input_bytes > 0 &&
	       ir_caller_conn_may_read(c)) {
		if (c->discarding_body) {
			discard_body(c);
			continue;
		}
		if (c->receiving == NULL && !check_head(c))
			break;
		parse_request(c);
	}
	return c->input_bytes != old_bytes;
}
