/* Scan of JSON text: comments, duplicate keys, forbidden bytes. */
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "conf/json.h"
#include "conf/json_scan.h"

struct json_key {
	const char *start;
	size_t size_bytes;
};

/* An object or array that encloses the current position. */
struct nesting_level {
	bool is_object;
	bool expects_key; /* the next string is a key */
	size_t key_count;
	struct json_key keys[IR_JSON_MAX_MEMBERS];
};

struct scan {
	TALLOC_CTX *mem;
	char *text;
	size_t size_bytes;
	size_t pos;
	size_t depth;
	char *error;
	size_t error_offset;
	struct nesting_level levels[IR_JSON_MAX_DEPTH];
};

static void
set_error(struct scan *s, size_t at, const char *what)
{
	if (s->error != NULL)
		return;
	s->error = talloc_strdup(s->mem, what);
	s->error_offset = at;
}

/* Overwrites the text up to end with spaces. */
static void
blank_until(struct scan *s, size_t end)
{
	for (; s->pos < end; s->pos++) {
		if (s->text[s->pos] != '\n')
			s->text[s->pos] = ' ';
	}
}

static void
skip_comment(struct scan *s)
{
	const char *start = s->text + s->pos;
	size_t left = s->size_bytes - s->pos;
	const char *end;

	if (left < 2 || (start[1] != '/' && start[1] != '*')) {
		set_error(s, s->pos, "unexpected character");
		return;
	}
	if (start[1] == '/') {
		end = memchr(start, '\n', left);
		blank_until(
		    s, end == NULL ? s->size_bytes : (size_t)(end - s->text));
		return;
	}
	end = memmem(start + 2, left - 2, "*/", 2);
	if (end == NULL) {
		set_error(s, s->pos, "comment is not closed");
		return;
	}
	blank_until(s, (size_t)(end - s->text) + 2);
}

static void
add_key(struct scan *s, size_t start, size_t end)
{
	struct nesting_level *l = &s->levels[s->depth - 1];
	struct json_key k = {s->text + start, end - start};

	if (memchr(k.start, '\\', k.size_bytes) != NULL) {
		set_error(s, start, "escape in a key");
		return;
	}
	for (size_t i = 0; i < l->key_count; i++) {
		if (l->keys[i].size_bytes != k.size_bytes)
			continue;
		if (memcmp(l->keys[i].start, k.start, k.size_bytes) != 0)
			continue;
		set_error(s, start,
		    talloc_asprintf(s->mem, "duplicate key \"%.*s\"",
			(int)k.size_bytes, k.start));
		return;
	}
	if (l->key_count == IR_JSON_MAX_MEMBERS) {
		set_error(s, start, "too many members in one object");
		return;
	}
	l->keys[l->key_count++] = k;
}

static void
scan_string(struct scan *s)
{
	size_t start = s->pos++;

	while (s->pos < s->size_bytes && s->text[s->pos] != '"') {
		if ((unsigned char)s->text[s->pos] < 0x20) {
			set_error(s, s->pos, "control character in a string");
			return;
		}
		if (strncmp(s->text + s->pos, "\\u0000", 6) == 0) {
			set_error(s, s->pos, "NUL in a string");
			return;
		}
		s->pos += s->text[s->pos] == '\\' ? 2 : 1;
	}
	if (s->pos >= s->size_bytes) {
		set_error(s, start, "string is not closed");
		return;
	}
	if (s->depth > 0 && s->levels[s->depth - 1].expects_key) {
		s->levels[s->depth - 1].expects_key = false;
		add_key(s, start + 1, s->pos);
	}
	s->pos++;
}

static void
enter_level(struct scan *s, bool object)
{
	struct nesting_level *l;

	if (s->depth == IR_JSON_MAX_DEPTH) {
		set_error(s, s->pos, "nested too deep");
		return;
	}
	l = &s->levels[s->depth++];
	l->is_object = object;
	l->expects_key = object;
	l->key_count = 0;
	s->pos++;
}

static bool
is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static void
scan_number(struct scan *s)
{
	if (s->text[s->pos] == '-')
		s->pos++;
	if (s->text[s->pos] == '0' && is_digit(s->text[s->pos + 1]))
		set_error(s, s->pos, "number with a leading zero");
	while (s->pos < s->size_bytes &&
	       (is_digit(s->text[s->pos]) ||
		   (s->text[s->pos] != '\0' &&
		       strchr("+-.eE", s->text[s->pos]) != NULL)))
		s->pos++;
}

/* Scans one token, comment or other byte. */
static void
scan_next(struct scan *s)
{
	char c = s->text[s->pos];

	switch (c) {
	case '"':
		scan_string(s);
		return;
	case '/':
		skip_comment(s);
		return;
	case '{':
	case '[':
		enter_level(s, c == '{');
		return;
	case '}':
	case ']':
		if (s->depth > 0)
			s->depth--;
		break;
	case ',':
		if (s->depth > 0)
			s->levels[s->depth - 1].expects_key =
			    s->levels[s->depth - 1].is_object;
		break;
	case '\0':
		set_error(s, s->pos, "NUL byte");
		return;
	case '\'': /* json-c accepts single quotes, NaN, Infinity */
	case 'N':
	case 'I':
		set_error(s, s->pos, "unexpected character");
		return;
	default:
		if (c == '-' || is_digit(c)) {
			scan_number(s);
			return;
		}
		break;
	}
	s->pos++;
}

/* Size of the UTF-8 sequence at p in bytes, 0 when it is invalid (RFC 3629). */
static size_t
utf8_size(const uint8_t *p, size_t left)
{
	uint32_t point, lowest;
	size_t n;

	if (p[0] < 0x80)
		return 1;
	if (p[0] >= 0xc2 && p[0] <= 0xdf) {
		n = 2, point = p[0] & 0x1f, lowest = 0x80;
	} else if ((p[0] & 0xf0) == 0xe0) {
		n = 3, point = p[0] & 0x0f, lowest = 0x800;
	} else if (p[0] >= 0xf0 && p[0] <= 0xf4) {
		n = 4, point = p[0] & 0x07, lowest = 0x10000;
	} else {
		return 0;
	}
	if (left < n)
		return 0;
	for (size_t i = 1; i < n; i++) {
		if ((p[i] & 0xc0) != 0x80)
			return 0;
		point = point << 6 | (p[i] & 0x3f);
	}
	if (point < lowest || point > 0x10ffff)
		return 0;
	return point >= 0xd800 && point <= 0xdfff ? 0 : n;
}

static void
check_utf8(struct scan *s)
{
	const uint8_t *p = (const uint8_t *)s->text;

	for (size_t i = 0, n; i < s->size_bytes; i += n) {
		n = utf8_size(p + i, s->size_bytes - i);
		if (n == 0) {
			set_error(s, i, "invalid UTF-8");
			return;
		}
	}
}

char *
ir_json_scan(TALLOC_CTX *mem, char *text, size_t size_bytes, size_t *at)
{
	struct scan *s = talloc_zero(mem, struct scan);
	char *error;

	s->mem = s;
	s->text = text;
	s->size_bytes = size_bytes;
	check_utf8(s);
	while (s->error == NULL && s->pos < size_bytes)
		scan_next(s);
	*at = s->error_offset;
	error = talloc_steal(mem, s->error);
	talloc_free(s);
	return error;
}
