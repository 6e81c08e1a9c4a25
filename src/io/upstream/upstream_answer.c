/* Collects an upstream's answer. */
#include <string.h>
#include <strings.h>

#include "io/hop_headers.h"
#include "io/upstream/upstream_answer.h"

#define HTTP_SUCCESS 2
#define HTTP_CLASS 100
#define HTTP_TIMEOUT 408
#define HTTP_MISDIRECTED 421
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503
#define NOT_RUN "not-run"

static bool
hold(struct ir_upstream_answer *a, size_t bytes)
{
	if (!ir_upstream_bytes_hold(a->bytes, bytes))
		return false;
	a->held_bytes += bytes;
	return true;
}

void
ir_upstream_answer_reset(struct ir_upstream_answer *a)
{
	for (size_t i = 0; i < a->header_count; i++) {
		talloc_free(a->headers[i].name);
		talloc_free(a->headers[i].value);
	}
	a->header_count = 0;
	TALLOC_FREE(a->body);
	ir_upstream_bytes_release(a->bytes, a->held_bytes);
	a->held_bytes = 0;
	a->body_bytes = 0;
	a->in_body = false;
	a->not_run = false;
	a->digest = false;
	a->encoded = false;
	a->named = false;
	a->other = false;
	a->over = false;
}

static bool
is_named(const char *name, const char *wanted)
{
	return wanted != NULL && strcasecmp(name, wanted) == 0;
}

static void
note_header(struct ir_upstream_answer *a, const char *name, const char *value)
{
	const struct ir_header_names *n = &a->dialect->headers;

	if (is_named(name, n->not_run))
		a->not_run = a->dialect != &ir_own_dialect ||
			     strcasecmp(value, NOT_RUN) == 0;
	if (is_named(name, n->digest))
		a->digest = true;
	if (is_named(name, "content-encoding"))
		a->encoded = true;
	if (is_named(name, n->attempt)) {
		a->named = true;
		a->other = strcmp(value, a->attempt) != 0;
	}
}

void
ir_upstream_answer_header(
    struct ir_upstream_answer *a, const char *name, const char *value)
{
	struct ir_header *h;

	if (a->in_body)
		return;
	if (a->header_count == IR_MAX_HEADERS || strlen(name) > IR_MAX_NAME ||
	    strlen(value) > IR_MAX_HEADER_VALUE) {
		a->over = true;
		return;
	}
	h = &a->headers[a->header_count];
	h->name = ir_text_copy(a->message, name);
	h->value = ir_text_copy(a->message, value);
	if (!hold(a, ir_memory_tree_bytes(h->name) +
			 ir_memory_tree_bytes(h->value))) {
		talloc_free(h->name);
		talloc_free(h->value);
		return;
	}
	a->header_count++;
	note_header(a, name, value);
}

/* By doubling; near the bound no more than what is needed. */
static bool
grow_body(struct ir_upstream_answer *a, size_t wanted)
{
	size_t held = talloc_get_size(a->body);
	size_t size = 2 * held < IR_MAX_BODY ? 2 * held : IR_MAX_BODY;

	if (wanted <= held)
		return true;
	if (size < wanted || !ir_memory_has_room(a->bytes->memory,
				 IR_MEMORY_UPSTREAM, size - held))
		size = wanted;
	if (!hold(a, size - held))
		return false;
	a->body =
	    ir_check_alloc(talloc_realloc(a->message, a->body, uint8_t, size));
	return true;
}

bool
ir_upstream_answer_body(
    struct ir_upstream_answer *a, const uint8_t *data, size_t size)
{
	size_t wanted = a->body_bytes + size;

	a->in_body = true;
	if (wanted > IR_MAX_BODY) {
		a->over = true;
		return false;
	}
	if (!grow_body(a, wanted))
		return false;
	memcpy(a->body + a->body_bytes, data, size);
	a->body_bytes = wanted;
	return true;
}

static bool
is_success(uint16_t status)
{
	return status / HTTP_CLASS == HTTP_SUCCESS;
}

bool
ir_upstream_answer_is_spare(const struct ir_upstream_answer *a, uint16_t status)
{
	if (a->dialect->headers.attempt == NULL)
		return false;
	return a->other || (!a->named && is_success(status));
}

/* Statuses that promise callers that a request was not run. */
static bool
promises_not_run(uint16_t status)
{
	return status == HTTP_TIMEOUT || status == HTTP_MISDIRECTED ||
	       status == HTTP_TOO_MANY || status == HTTP_UNAVAILABLE;
}

static bool
was_shed(const struct ir_upstream_answer *a, uint16_t status)
{
	if (a->dialect == &ir_own_dialect)
		return a->not_run && status == HTTP_UNAVAILABLE;
	return a->not_run || (status == HTTP_MISDIRECTED &&
				 a->dialect->headers.expected_upstream != NULL);
}

static bool
is_whole(const struct ir_upstream_answer *a, uint16_t status)
{
	if (a->over)
		return false;
	if (!a->dialect->digest_is_required)
		return true;
	if (is_success(status))
		return a->digest && !a->encoded;
	/* The upstream did not say so: it must not be said for it. */
	return !promises_not_run(status);
}

void
ir_upstream_answer_end(struct ir_upstream_answer *a, uint16_t status)
{
	struct ir_run_result *r = &a->message->u.result;

	r->status = status;
	if (was_shed(a, status)) {
		r->end = IR_RUN_SHED;
	} else if (!is_whole(a, status)) {
		r->end = IR_RUN_BROKEN;
		return;
	} else {
		r->end = IR_RUN_ANSWERED;
	}
	r->header_count = ir_hop_headers_drop(a->headers, a->header_count);
	r->headers = talloc_memdup(a->message, a->headers,
	    (r->header_count + 1) * sizeof(a->headers[0]));
	if (r->headers == NULL)
		r->header_count = 0;
	r->body = a->body;
	r->body_bytes = a->body_bytes;
}
