/* Follows a path through well-formed JSON text with comments. */
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "conf/json_line.h"

struct cursor {
	const char *pos;
	const char *end;
};

static bool
is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/* Skips white space and comments. */
static void
skip_space(struct cursor *cur)
{
	const char *close;

	while (cur->pos < cur->end) {
		if (is_space(*cur->pos)) {
			cur->pos++;
			continue;
		}
		if (*cur->pos != '/' || cur->end - cur->pos < 2)
			return;
		if (cur->pos[1] == '/')
			close = memchr(
			    cur->pos, '\n', (size_t)(cur->end - cur->pos));
		else
			close = memmem(cur->pos + 2,
			    (size_t)(cur->end - cur->pos - 2), "*/", 2);
		if (close == NULL)
			cur->pos = cur->end;
		else
			cur->pos = close + (cur->pos[1] == '/' ? 1 : 2);
	}
}

static void
skip_string(struct cursor *cur)
{
	cur->pos++;
	while (cur->pos < cur->end && *cur->pos != '"')
		cur->pos +=
		    *cur->pos == '\\' && cur->end - cur->pos > 1 ? 2 : 1;
	if (cur->pos < cur->end)
		cur->pos++;
}

/* Skips one value of any type. */
static void
skip_value(struct cursor *cur)
{
	size_t depth = 0;

	for (skip_space(cur); cur->pos < cur->end; skip_space(cur)) {
		char c = *cur->pos;

		if (depth == 0 && (c == ',' || c == ']' || c == '}'))
			return;
		if (c == '"') {
			skip_string(cur);
			continue;
		}
		if (c == '{' || c == '[')
			depth++;
		if (c == '}' || c == ']')
			depth--;
		cur->pos++;
	}
}

/* Moves from an object to the value of a key; false if it has no such key. */
static bool
enter_member(struct cursor *cur, const char *key, size_t size)
{
	if (cur->pos == cur->end || *cur->pos != '{')
		return false;
	for (cur->pos++, skip_space(cur);
	     cur->pos < cur->end && *cur->pos == '"';
	     cur->pos++, skip_space(cur)) {
		const char *k = cur->pos + 1;
		bool found;

		skip_string(cur);
		found = (size_t)(cur->pos - k) == size + 1 &&
			memcmp(k, key, size) == 0;
		skip_space(cur);
		if (cur->pos == cur->end)
			return false;
		cur->pos++;
		skip_space(cur);
		if (found)
			return true;
		skip_value(cur);
		if (cur->pos == cur->end || *cur->pos != ',')
			return false;
	}
	return false;
}

/* Moves from an array to the value at an index; false if out of range. */
static bool
enter_element(struct cursor *cur, unsigned long index)
{
	if (cur->pos == cur->end || *cur->pos != '[')
		return false;
	for (cur->pos++, skip_space(cur); cur->pos < cur->end && index > 0;
	     index--) {
		skip_value(cur);
		if (cur->pos == cur->end || *cur->pos != ',')
			return false;
		cur->pos++;
		skip_space(cur);
	}
	return cur->pos < cur->end && *cur->pos != ']';
}

/* Follows one component of the path, ".key", "key" or "[7]", and removes it. */
static bool
descend(struct cursor *cur, const char **path)
{
	unsigned long index;
	size_t size;
	char *end;

	if (**path == '[') {
		index = strtoul(*path + 1, &end, 10);
		*path = *end == ']' ? end + 1 : end;
		return enter_element(cur, index);
	}
	*path += **path == '.' ? 1 : 0;
	size = strcspn(*path, ".[");
	if (!enter_member(cur, *path, size))
		return false;
	*path += size;
	return true;
}

size_t
ir_json_line(const char *text, size_t size_bytes, const char *path)
{
	struct cursor cur = {text, text + size_bytes};
	const char *found;
	size_t line = 1;

	skip_space(&cur);
	found = cur.pos;
	while (*path != '\0' && descend(&cur, &path))
		found = cur.pos;
	for (const char *p = text; p < found; p++)
		line += *p == '\n' ? 1 : 0;
	return line;
}
