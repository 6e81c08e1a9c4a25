/* What a caller sends, as requests. */
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "io/callers/caller_conn.h"
#include "io/http_head.h"

/* Head of a request: the headers' bound and a line. */
#define MAX_HEAD_BYTES (IR_MAX_RAW_HEADER_BYTES + 8192)
/* Requests of one connection that may be out at a time. */
#define MAX_OPEN 64
/* Part of a head that is kept also without room. */
#define MIN_HEAD_BYTES 2048

static int
on_url(http_parser *p, const char *at, size_t size)
{
	struct request_head *h = ((struct caller_conn *)p->data)->reading->head;

	h->target = ir_must(talloc_strndup_append_buffer(h->target, at, size));
	return 0;
}

static int
on_field(http_parser *p, const char *at, size_t size)
{
	struct request_head *h = ((struct caller_conn *)p->data)->reading->head;

	h->field = ir_must(talloc_strndup(h, at, size));
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t size)
{
	struct request *r = ((struct caller_conn *)p->data)->reading;
	struct request_head *h = r->head;
	char *value = ir_must(talloc_strndup(h, at, size));

	/* A trailer says nothing that is passed on. */
	if (r->call->u.call.method != NULL)
		return 0;
	if (ir_raw_headers_add(&h->raw, h->field, value))
		return 0;
	r->refusal =
	    ir_refuse(IR_E_TOO_LARGE, "headers", "The headers are too large.");
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
	struct request *r = ((struct caller_conn *)p->data)->reading;

	p->upgrade = 0;
	r->head->method =
	    ir_text_copy(r->head, http_method_str((enum http_method)p->method));
	r->no_body = p->method == HTTP_HEAD;
	r->last = !http_should_keep_alive(p);
	r->wants_continue = expects_continue(&r->head->raw);
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

static const http_parser_settings skip_callbacks = {
    .on_message_complete = on_end,
};

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
	r->head = ir_must(talloc_zero(r, struct request_head));
	r->head->target = ir_text_copy(r->head, "");
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
refuse_last_memory(struct caller_conn *c)
{
	struct request *r = new_request(c);

	ir_request_refuse_memory(r);
	refuse_last(c, r->refusal);
}

/* Answers at once; the rest of the body is read and not kept. */
static void
refuse_unread(struct caller_conn *c)
{
	struct request *r = c->reading;

	/* Whether a caller that waits for leave still sends is not known. */
	if (r->wants_continue || r->last) {
		refuse_last(c, r->refusal);
		return;
	}
	c->reading = NULL;
	c->skipping = true;
	ir_request_refuse(r);
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
	if (size == 0 && c->in_bytes > MIN_HEAD_BYTES &&
	    !ir_callers_have_room(c->listener->callers, 0)) {
		refuse_last_memory(c);
		return false;
	}
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
	else if (c->reading->refusal.error == IR_E_OVERLOAD)
		refuse_unread(c);
}

static void
skip_some(struct caller_conn *c)
{
	size_t n = http_parser_execute(
	    &c->parser, &skip_callbacks, (const char *)c->in, c->in_bytes);
	enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);

	if (e != HPE_OK && e != HPE_PAUSED) {
		c->ending = true;
		c->in_bytes = 0;
		return;
	}
	consume(c, n);
	if (e != HPE_PAUSED)
		return;
	http_parser_pause(&c->parser, 0);
	c->skipping = false;
}

bool
ir_caller_conn_may_read(const struct caller_conn *c)
{
	if (c->reading != NULL || c->skipping || c->requests == NULL)
		return true;
	return c->request_count < MAX_OPEN && !ir_caller_conn_has_its_part(c);
}

bool
ir_caller_conn_parse(struct caller_conn *c)
{
	size_t before = c->in_bytes;

	while (!c->ending && c->in_bytes > 0 && ir_caller_conn_may_read(c)) {
		if (c->skipping) {
			skip_some(c);
			continue;
		}
		if (c->reading == NULL && !begin_head(c))
			break;
		parse_some(c);
	}
	return c->in_bytes != before;
}
