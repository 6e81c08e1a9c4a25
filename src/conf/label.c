/* Labels and host names. */
#include <string.h>

#include "conf/label.h"

#define DELETE 0x7f

bool
ir_is_label(const char *s)
{
	size_t n = strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-");

	return n > 0 && n <= IR_LABEL_MAX_BYTES && s[n] == '\0';
}

bool
ir_is_name(const char *s)
{
	return strlen(s) <= IR_LABEL_MAX_BYTES && ir_is_header_value(s);
}

bool
ir_is_header_value(const char *s)
{
	size_t n = strlen(s);

	if (n == 0 || s[0] == ' ' || s[n - 1] == ' ')
		return false;
	for (size_t i = 0; i < n; i++) {
		if ((unsigned char)s[i] < ' ' || s[i] == DELETE)
			return false;
	}
	return true;
}

bool
ir_is_host_name(const char *s)
{
	size_t n = strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-.");

	return n > 0 && n <= IR_LABEL_MAX_BYTES && s[n] == '\0' &&
	       s[0] != '.' && s[n - 1] != '.' && strstr(s, "..") == NULL;
}

static const char *
read_name(struct ir_json_reader *in, struct json_object *obj, const char *path,
    const char *key, bool (*is_good)(const char *s), const char *allowed)
{
	const char *s;

	s = ir_json_string(in, obj, path, key, 1, IR_LABEL_MAX_BYTES);
	if (in->error != NULL || is_good(s))
		return s;
	ir_json_error(in,
	    talloc_asprintf(
		in->mem, "%s%s%s", path, path[0] == '\0' ? "" : ".", key),
	    "must consist of %s", allowed);
	return "";
}

const char *
ir_json_label(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key)
{
	return read_name(
	    in, obj, path, key, ir_is_label, "a to z, 0 to 9 and '-'");
}

const char *
ir_json_name(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key)
{
	if (!in->tolerant)
		return ir_json_label(in, obj, path, key);
	return ir_json_any_name(in, obj, path, key);
}

const char *
ir_json_any_name(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key)
{
	return read_name(in, obj, path, key, ir_is_name,
	    "characters other than control characters, without a space at "
	    "either end");
}

const char *
ir_json_host_name(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key)
{
	return read_name(in, obj, path, key, ir_is_host_name,
	    "a to z, 0 to 9, '-' and single '.' inside");
}
