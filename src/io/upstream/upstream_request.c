/* Encodes requests to the upstream as HTTP/1.1. */
#include <inttypes.h>
#include <string.h>
#include <strings.h>

#include "io/upstream/upstream_conn.h"

static char *
append_header(char *text, const char *name, const char *value)
{
	if (name == NULL)
		return text;
	return ir_check_alloc(
	    talloc_asprintf_append_buffer(text, "%s: %s\r\n", name, value));
}

/* Appends the header unless its value is NULL or empty. */
static char *
append_header_if_set(char *text, const char *name, const char *value)
{
	return value != NULL && value[0] != '\0'
		   ? append_header(text, name, value)
		   : text;
}

static char *
append_number_header(char *text, const char *name, uint64_t value)
{
	if (name == NULL)
		return text;
	return ir_check_alloc(talloc_asprintf_append_buffer(
	    text, "%s: %" PRIu64 "\r\n", name, value));
}

static bool
method_expects_body(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	       strcmp(method, "PATCH") == 0;
}

static char *
start_head(
    TALLOC_CTX *mem, const struct ir_endpoint *upstream, const struct ir_run *r)
{
	bool v6 = strchr(upstream->address, ':') != NULL;
	char *text = ir_check_alloc(
	    talloc_asprintf(mem, "%s %s HTTP/1.1\r\n", r->method, r->path));

	if (r->authority != NULL && r->authority[0] != '\0')
		return append_header(text, "Host", r->authority);
	return ir_check_alloc(talloc_asprintf_append_buffer(text,
	    v6 ? "Host: [%s]:%u\r\n" : "Host: %s:%u\r\n", upstream->address,
	    upstream->port));
}

uint8_t *
ir_upstream_request_encode(TALLOC_CTX *mem, const struct ir_dialect *d,
    const struct ir_endpoint *upstream, const struct ir_run *r)
{
	const struct ir_header_names *n = &d->headers;
	char *text = start_head(mem, upstream, r);
	size_t head_bytes;
	uint8_t *out;

	for (size_t i = 0; i < r->header_count; i++)
		text = append_header(
		    text, r->headers[i].name, r->headers[i].value);
	text = append_header_if_set(text, n->caller_attempt, r->caller_attempt);
	text = append_number_header(text, n->deadline, r->remaining_ms);
	text = append_header(text, n->gate_attempt, r->attempt);
	text = append_header(text, n->request, r->request);
	if (n->origin_service != NULL)
		text = append_header_if_set(text, n->account, r->account);
	else
		text = append_header(text, n->account, r->account);
	text = append_header_if_set(text, n->origin_service, r->origin);
	text = append_header_if_set(text, n->expected_upstream, r->upstream_id);
	text = append_number_header(text, n->importance, r->importance);
	if (r->body_bytes > 0 || method_expects_body(r->method))
		text =
		    append_number_header(text, "Content-Length", r->body_bytes);
	text = ir_check_alloc(talloc_strdup_append_buffer(text, "\r\n"));
	head_bytes = strlen(text);
	out = ir_check_alloc(
	    talloc_realloc_size(mem, text, head_bytes + r->body_bytes));
	if (r->body_bytes > 0)
		memcpy(out + head_bytes, r->body, r->body_bytes);
	return out;
}
