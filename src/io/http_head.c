/* Strict checks of the heads of HTTP/1.1 requests and answers. */
#include <http_parser.h>
#include <string.h>
#include <strings.h>

#include "io/http_head.h"

#define HEAD_END "\r\n\r\n"
#define HEAD_END_BYTES 4
#define LINE_END_BYTES 2
#define MAX_LENGTH_DIGITS 18
#define CHUNKED "chunked"
/* Of a status line: from the minor version to the end of the status. */
#define STATUS_END 5

/* Fields that occurred in a head so far. */
struct fields {
	const uint8_t *length; /* text of Content-Length, or NULL */
	size_t length_bytes;
	bool chunked;
	uint32_t hosts;
	bool http_1_1;
};

size_t
ir_http_head_size(const uint8_t *data, size_t size_bytes)
{
	const uint8_t *end = memmem(data, size_bytes, HEAD_END, HEAD_END_BYTES);

	return end == NULL ? 0 : (size_t)(end - data) + HEAD_END_BYTES;
}

static bool
is_token_byte(uint8_t c)
{
	if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	    (c >= '0' && c <= '9'))
		return true;
	return c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL;
}

static bool
is_digit(uint8_t c)
{
	return c >= '0' && c <= '9';
}

static bool
is_token(const uint8_t *p, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (!is_token_byte(p[i]))
			return false;
	}
	return n > 0;
}

static bool
has_control(const uint8_t *p, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if ((p[i] < ' ' && p[i] != '\t') || p[i] == 0x7f)
			return true;
	}
	return false;
}

static void
trim(const uint8_t **p, size_t *n)
{
	while (*n > 0 && (**p == ' ' || **p == '\t')) {
		(*p)++;
		(*n)--;
	}
	while (*n > 0 && ((*p)[*n - 1] == ' ' || (*p)[*n - 1] == '\t'))
		(*n)--;
}

static bool
is_name(const uint8_t *p, size_t n, const char *name)
{
	return n == strlen(name) && strncasecmp((const char *)p, name, n) == 0;
}

static const char *
check_length(struct fields *f, const uint8_t *value, size_t n)
{
	if (n == 0 || n > MAX_LENGTH_DIGITS)
		return "content-length";
	for (size_t i = 0; i < n; i++) {
		if (!is_digit(value[i]))
			return "content-length";
	}
	if (f->length != NULL &&
	    (f->length_bytes != n || memcmp(f->length, value, n) != 0))
		return "content-lengths-differ";
	f->length = value;
	f->length_bytes = n;
	return NULL;
}

static const char *
check_field(struct fields *f, const uint8_t *line, size_t n)
{
	const uint8_t *colon = memchr(line, ':', n);
	const uint8_t *value;
	size_t name_bytes, value_bytes;

	if (line[0] == ' ' || line[0] == '\t')
		return "folded-line";
	if (colon == NULL)
		return "no-colon";
	name_bytes = (size_t)(colon - line);
	if (!is_token(line, name_bytes))
		return "field-name";
	value = colon + 1;
	value_bytes = n - name_bytes - 1;
	trim(&value, &value_bytes);
	if (is_name(line, name_bytes, "content-length"))
		return check_length(f, value, value_bytes);
	if (is_name(line, name_bytes, "transfer-encoding")) {
		if (f->chunked || !is_name(value, value_bytes, CHUNKED))
			return "transfer-encoding";
		f->chunked = true;
	}
	if (is_name(line, name_bytes, "host"))
		f->hosts++;
	return NULL;
}

static bool
is_http_1_1(const uint8_t *line, size_t n)
{
	static const char version[] = " HTTP/1.1";
	size_t size = sizeof(version) - 1;

	return n > size && memcmp(line + n - size, version, size) == 0;
}

static const char *
check_request_line(struct fields *f, const uint8_t *line, size_t n)
{
	f->http_1_1 = is_http_1_1(line, n);
	return NULL;
}

/* "HTTP/1." DIGIT SP 3DIGIT [ SP reason ] (RFC 9112, 4) */
static const char *
check_status_line(struct fields *f, const uint8_t *line, size_t n)
{
	static const char version[] = "HTTP/1.";
	size_t at = sizeof(version) - 1;

	if (n < at + STATUS_END || memcmp(line, version, at) != 0 ||
	    !is_digit(line[at]) || line[at + 1] != ' ')
		return "status-line";
	if (line[at + 2] < '1' || line[at + 2] > '5' ||
	    !is_digit(line[at + 3]) || !is_digit(line[at + 4]))
		return "status";
	if (n > at + STATUS_END && line[at + STATUS_END] != ' ')
		return "status";
	f->http_1_1 = line[at] != '0';
	return NULL;
}

typedef const char *first_line_fn(
    struct fields *f, const uint8_t *line, size_t n);

static const char *
check_lines(struct fields *f, const uint8_t *head, size_t size_bytes,
    first_line_fn *check_first, bool allow_bare_lf)
{
	const char *fault = NULL;
	const uint8_t *line = head, *end = head + size_bytes;

	while (fault == NULL && line < end) {
		const uint8_t *lf = memchr(line, '\n', (size_t)(end - line));
		size_t n = (size_t)(lf - line);
		bool crlf = n > 0 && lf[-1] == '\r';

		n -= crlf;
		if (has_control(line, n) || (!crlf && !allow_bare_lf))
			return "control-character";
		if (line == head)
			fault = check_first(f, line, n);
		else if (n > 0)
			fault = check_field(f, line, n);
		line = lf + 1;
	}
	return fault;
}

static const char *
check_coding(const struct fields *f)
{
	if (f->chunked && f->length != NULL)
		return "length-and-coding";
	return f->chunked && !f->http_1_1 ? "coding-before-1.1" : NULL;
}

const char *
ir_http_head_fault(const uint8_t *head, size_t size_bytes)
{
	struct fields f = {0};
	const char *fault =
	    check_lines(&f, head, size_bytes, check_request_line, false);

	if (fault != NULL)
		return fault;
	if (f.hosts > 1)
		return "host-twice";
	if (f.http_1_1 && f.hosts == 0)
		return "host-missing";
	return check_coding(&f);
}

const char *
ir_http_answer_head_fault(const uint8_t *head, size_t size_bytes)
{
	struct fields f = {0};
	const char *fault =
	    check_lines(&f, head, size_bytes, check_status_line, true);

	return fault != NULL ? fault : check_coding(&f);
}

const char *
ir_http_reason_phrase(unsigned status)
{
	switch (status) {
#define XX(number, name, text) \
	case number:           \
		return #text;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "Status";
	}
}
