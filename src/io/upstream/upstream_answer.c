/* Collects the upstream's answer to a request and classifies it. */
#include <string.h>
#include <strings.h>

#include "io/hop_headers.h"
#include "io/upstream/upstream_answer.h"

#define HTTP_CLASS_SUCCESS 2
#define HTTP_CLASS_SIZE 100
#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_MISDIRECTED_REQUEST 421
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVICE_UNAVAILABLE 503
#define OUTCOME_NOT_RUN "not-run"

static bool
reserve(struct ir_upstream_answer *a, size_t bytes)
{
	if (!ir_upstream_memory_reserve(a->memory, bytes))
		return false;
	a->reserved_bytes += bytes;
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
	ir_upstream_memory_release(a->memory, a->reserved_bytes);
	a->reserved_bytes = 0;
	a->body_bytes = 0;
	a->head_ended = false;
	a->says_not_run = false;
	a->has_digest = false;
	a->has_content_encoding = false;
	a->has_attempt = false;
	a->attempt_differs = false;
	a->too_large = false;
}

static bool
header_is(const char *name, const char *wanted)
{
	return wanted != NULL && strcasecmp(name, wanted) == 0;
}

static void
inspect_header(
    struct ir_upstream_answer *a, const char *name, const char *value)
{
	const struct ir_header_names *n = &a->dialect->headers;

	if (header_is(name, n->not_run))
		a->says_not_run = a->dialect != &ir_native_dialect ||
				  strcasecmp(value, OUTCOME_NOT_RUN) == 0;
	if (header_is(name, n->answer_digest))
		a->has_digest = true;
	if (header_is(name, "content-encoding"))
		a->has_content_encoding = true;
	if (header_is(name, n->caller_attempt)) {
		a->has_attempt = true;
		a->attempt_differs = strcmp(value, a->caller_attempt) != 0;
	}
}

void
ir_upstream_answer_add_header(
    struct ir_upstream_answer *a, const char *name, const char *value)
{
	struct ir_header *h;

	if (a->head_ended)
		return;
	if (a->header_count == IR_MAX_HEADERS || strlen(name) > IR_MAX_NAME ||
	    strlen(value) > IR_MAX_HEADER_VALUE) {
		a->too_large = true;
		return;
	}
	h = &a->headers[a->header_count];
	h->name = ir_text_copy(a->message, name);
	h->value = ir_text_copy(a->message, value);
	if (!reserve(a, ir_memory_tree_bytes(h->name) +
			    ir_memory_tree_bytes(h->value))) {
		talloc_free(h->name);
		talloc_free(h->value);
		return;
	}
	a->header_count++;
	inspect_header(a, name, value);
}

void
ir_upstream_answer_end_head(struct ir_upstream_answer *a)
{
	a->head_ended = true;
}

/*
 * Makes room for wanted bytes: doubles the allocation, or allocates only wanted
 * bytes if doubling would exceed the memory bound.
 */
static bool
grow_body(struct ir_upstream_answer *a, size_t wanted)
{
	size_t capacity = talloc_get_size(a->body);
	size_t size = 2 * capacity < IR_MAX_BODY ? 2 * capacity : IR_MAX_BODY;

	if (wanted <= capacity)
		return true;
	if (size < wanted || !ir_memory_has_room(a->memory->process_memory,
				 IR_MEMORY_UPSTREAM, size - capacity))
		size = wanted;
	if (!reserve(a, size - capacity))
		return false;
	a->body =
	    ir_check_alloc(talloc_realloc(a->message, a->body, uint8_t, size));
	return true;
}

bool
ir_upstream_answer_append_body(
    struct ir_upstream_answer *a, const uint8_t *data, size_t size)
{
	size_t wanted = a->body_bytes + size;

	if (wanted > IR_MAX_BODY) {
		a->too_large = true;
		return false;
	}
	if (!grow_body(a, wanted))
		return false;
	memcpy(a->body + a->body_bytes, data, size);
	a->body_bytes = wanted;
	return true;
}

static bool
status_is_success(uint16_t status)
{
	return status / HTTP_CLASS_SIZE == HTTP_CLASS_SUCCESS;
}

bool
ir_upstream_answer_is_mismatched(
    const struct ir_upstream_answer *a, uint16_t status)
{
	if (a->dialect->headers.caller_attempt == NULL)
		return false;
	return a->attempt_differs ||
	       (!a->has_attempt && status_is_success(status));
}

/* Whether callers take the status as a promise that the request was not run. */
static bool
status_implies_not_run(uint16_t status)
{
	return status == HTTP_REQUEST_TIMEOUT ||
	       status == HTTP_MISDIRECTED_REQUEST ||
	       status == HTTP_TOO_MANY_REQUESTS ||
	       status == HTTP_SERVICE_UNAVAILABLE;
}

/* Whether it may be a copy of an answer to an earlier request. */
static bool
may_be_of_another_request(const struct ir_upstream_answer *a)
{
	return a->dialect->headers.caller_attempt != NULL && !a->has_attempt &&
	       a->conn_was_used;
}

static bool
was_shed_by_upstream(const struct ir_upstream_answer *a, uint16_t status)
{
	if (a->dialect == &ir_native_dialect)
		return a->says_not_run && status == HTTP_SERVICE_UNAVAILABLE;
	return a->says_not_run ||
	       (status == HTTP_MISDIRECTED_REQUEST &&
		   a->dialect->headers.expected_upstream != NULL);
}

static bool
is_valid(const struct ir_upstream_answer *a, uint16_t status)
{
	if (a->too_large)
		return false;
	if (!a->dialect->requires_answer_digest)
		return true;
	if (status_is_success(status))
		return a->has_digest && !a->has_content_encoding;
	/*
	 * The upstream did not say that the request was not run, so callers
	 * must not get a status that promises it.
	 */
	return !status_implies_not_run(status);
}

void
ir_upstream_answer_finish(struct ir_upstream_answer *a, uint16_t status)
{
	struct ir_run_result *r = &a->message->u.result;

	r->status = status;
	if (may_be_of_another_request(a)) {
		r->end = IR_RUN_BROKEN;
		return;
	}
	if (was_shed_by_upstream(a, status)) {
		r->end = IR_RUN_SHED;
	} else if (!is_valid(a, status)) {
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
