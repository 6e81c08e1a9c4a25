/* Formats answers to callers as HTTP/1.1 messages. */
#include <inttypes.h>
#include <string.h>

#include "io/callers/caller_answer.h"
#include "io/http_head.h"
#include "io/message.h"

#define MS_PER_S 1000
#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304

static char *
begin_head(TALLOC_CTX *mem, unsigned status)
{
	return ir_check_alloc(talloc_asprintf(
	    mem, "HTTP/1.1 %u %s\r\n", status, ir_http_reason_phrase(status)));
}

static char *
add_field(char *text, const char *name, const char *value)
{
	return ir_check_alloc(
	    talloc_asprintf_append_buffer(text, "%s: %s\r\n", name, value));
}

static char *
add_number(char *text, const char *name, uint32_t value)
{
	return ir_check_alloc(talloc_asprintf_append_buffer(
	    text, "%s: %" PRIu32 "\r\n", name, value));
}

static char *
add_retry_after(
    char *text, const struct ir_answer_format *format, uint32_t retry_after_ms)
{
	if (retry_after_ms == 0)
		return text;
	if (format->dialect->fractional_retry_after)
		return ir_check_alloc(talloc_asprintf_append_buffer(text,
		    "Retry-After: %" PRIu32 ".%03" PRIu32 "\r\n",
		    retry_after_ms / MS_PER_S, retry_after_ms % MS_PER_S));
	text = add_number(text, "Ibisrail-Retry-After-Ms", retry_after_ms);
	return add_number(
	    text, "Retry-After", (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
}

static char *
add_outcome(char *text, const struct ir_answer_format *format,
    enum ir_error error, uint32_t retry_after_ms)
{
	const struct ir_error_info *i = ir_error_info(error);

	text = add_field(text, "Ibisrail-Outcome", ir_outcome_name(i->outcome));
	if (error != IR_OK)
		text = add_field(text, "Ibisrail-Error", i->name);
	return add_retry_after(text, format, retry_after_ms);
}

static bool
has_no_body(unsigned status)
{
	return status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED;
}

static uint8_t *
complete_answer(char *text, const struct ir_answer_format *format,
    unsigned status, const uint8_t *body, size_t body_bytes)
{
	size_t head_bytes;
	uint8_t *out;

	if (!has_no_body(status))
		text = add_number(text, "Content-Length", (uint32_t)body_bytes);
	if (format->close)
		text = add_field(text, "Connection", "close");
	text = ir_check_alloc(talloc_strdup_append_buffer(text, "\r\n"));
	head_bytes = strlen(text);
	if (format->head_only || has_no_body(status))
		body_bytes = 0;
	out = ir_check_alloc(
	    talloc_realloc_size(NULL, text, head_bytes + body_bytes));
	if (body_bytes > 0)
		memcpy(out + head_bytes, body, body_bytes);
	return out;
}

static uint8_t *
complete_text_answer(char *text, const struct ir_answer_format *format,
    unsigned status, const char *line)
{
	char *body = ir_check_alloc(talloc_asprintf(text, "%s\n", line));
	uint8_t *out;

	text = add_field(text, "Content-Type", "text/plain; charset=utf-8");
	out = complete_answer(
	    text, format, status, (uint8_t *)body, strlen(body));
	talloc_free(body);
	return out;
}

uint8_t *
ir_caller_format_refusal(TALLOC_CTX *mem, const struct ir_answer_format *format,
    const struct ir_refusal *r)
{
	char *text = begin_head(mem, r->http_status);

	text = add_outcome(text, format, r->error, r->retry_after_ms);
	return complete_text_answer(text, format, r->http_status, r->text);
}

uint8_t *
ir_caller_format_answer(TALLOC_CTX *mem, const struct ir_answer_format *format,
    const struct ir_answer *a)
{
	unsigned status = a->status;
	char *text;

	if (a->error != IR_OK)
		status = ir_dialect_error_status(format->dialect, a->error);
	text = begin_head(mem, status);
	for (size_t i = 0; i < a->header_count; i++)
		text = add_field(text, a->headers[i].name, a->headers[i].value);
	text = add_outcome(text, format, a->error, a->retry_after_ms);
	if (a->error != IR_OK && a->body_bytes == 0)
		return complete_text_answer(
		    text, format, status, ir_error_info(a->error)->text);
	return complete_answer(text, format, status, a->body, a->body_bytes);
}
