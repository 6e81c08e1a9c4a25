/* Strict JSON with comments, on top of json-c. */
#include <inttypes.h>
#include <json.h>
#include <stdarg.h>
#include <string.h>

#include "conf/json.h"
#include "conf/json_scan.h"

static const char *
member_path(TALLOC_CTX *mem, const char *path, const char *key)
{
	if (path[0] == '\0')
		return key;
	return talloc_asprintf(mem, "%s.%s", path, key);
}

static void
set_error(struct ir_json_reader *in, const char *path, const char *what)
{
	if (in->file != NULL)
		in->error = talloc_asprintf(
		    in->mem, "%s: %s: %s", in->file, path, what);
	else
		in->error = talloc_asprintf(in->mem, "%s: %s", path, what);
}

void
ir_json_error(struct ir_json_reader *in, const char *path, const char *fmt, ...)
{
	va_list ap;
	char *what;

	if (in->error != NULL)
		return;
	va_start(ap, fmt);
	what = talloc_vasprintf(in->mem, fmt, ap);
	va_end(ap);
	set_error(in, path, what);
	talloc_free(what);
}

bool
ir_json_end_entry(struct ir_json_reader *in, const char *name)
{
	if (in->error == NULL)
		return true;
	if (!in->tolerant)
		return false;
	if (in->entry_error_count++ == 0)
		in->entry_error =
		    talloc_asprintf(in->mem, "%s%s%s", name != NULL ? name : "",
			name != NULL ? ": " : "", in->error);
	TALLOC_FREE(in->error);
	return false;
}

/* Sets an error at an offset as line and column, both from 1. */
static void
error_at(
    struct ir_json_reader *in, const char *text, size_t at, const char *what)
{
	size_t line = 1, column = 1;
	char *path;

	for (size_t i = 0; i < at; i++) {
		column++;
		if (text[i] == '\n') {
			line++;
			column = 1;
		}
	}
	path = talloc_asprintf(in->mem, "line %zu, column %zu", line, column);
	ir_json_error(in, path, "%s", what);
	talloc_free(path);
}

static struct json_object *
parse(struct ir_json_reader *in, const char *text, size_t size_bytes)
{
	struct json_tokener *tok = json_tokener_new_ex(IR_JSON_MAX_DEPTH + 2);
	struct json_object *obj;
	enum json_tokener_error e;
	size_t end;

	json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
	/* json-c only knows that the text is complete when it reads the NUL. */
	obj = json_tokener_parse_ex(tok, text, (int)size_bytes + 1);
	e = json_tokener_get_error(tok);
	end = json_tokener_get_parse_end(tok);
	json_tokener_free(tok);
	if (e == json_tokener_continue || e == json_tokener_error_parse_eof)
		error_at(in, text, size_bytes, "text ends too early");
	else if (e == json_tokener_error_parse_unexpected)
		error_at(in, text, end, "unexpected character");
	else if (e != json_tokener_success)
		error_at(in, text, end, json_tokener_error_desc(e));
	else if (!json_object_is_type(obj, json_type_object))
		error_at(in, text, 0, "the document must be an object");
	if (in->error == NULL)
		return obj;
	json_object_put(obj);
	return NULL;
}

struct json_object *
ir_json_parse(struct ir_json_reader *in, const char *text, size_t size_bytes)
{
	struct json_object *obj = NULL;
	char *copy, *what;
	size_t at;

	if (in->error != NULL)
		return NULL;
	if (size_bytes > IR_JSON_MAX_BYTES) {
		ir_json_error(in, "line 1, column 1", "document over %d bytes",
		    IR_JSON_MAX_BYTES);
		return NULL;
	}
	/* A copy that ends in NUL; the scan overwrites its comments. */
	copy = talloc_size(in->mem, size_bytes + 1);
	memcpy(copy, text, size_bytes);
	copy[size_bytes] = '\0';
	what = ir_json_scan(in->mem, copy, size_bytes, &at);
	if (what != NULL)
		error_at(in, copy, at, what);
	else
		obj = parse(in, copy, size_bytes);
	talloc_free(what);
	talloc_free(copy);
	return obj;
}

void
ir_json_check_keys(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *const *allowed)
{
	if (obj == NULL)
		return;
	json_object_object_foreach(obj, key, value)
	{
		const char *const *a = allowed;

		(void)value;
		while (*a != NULL && strcmp(*a, key) != 0)
			a++;
		if (*a == NULL)
			ir_json_error(
			    in, member_path(in->mem, path, key), "unknown key");
	}
}

/* Sets the error for a member that is missing, or whose value is invalid. */
static void
member_error(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, const char *what)
{
	const char *p = member_path(in->mem, path, key);

	if (ir_json_has(obj, key))
		ir_json_error(in, p, "must be %s", what);
	else
		ir_json_error(in, p, "is missing, must be %s", what);
}

/* Returns the member, or NULL if it is missing or of another type. */
static struct json_object *
member_of_type(struct json_object *obj, const char *key, enum json_type type)
{
	struct json_object *v;

	if (obj == NULL || !json_object_object_get_ex(obj, key, &v))
		return NULL;
	return json_object_is_type(v, type) ? v : NULL;
}

const char *
ir_json_string(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, size_t min_bytes, size_t max_bytes)
{
	struct json_object *v;
	size_t n;

	if (in->error != NULL)
		return "";
	v = member_of_type(obj, key, json_type_string);
	if (v != NULL) {
		n = (size_t)json_object_get_string_len(v);
		if (n >= min_bytes && n <= max_bytes)
			return talloc_strndup(
			    in->mem, json_object_get_string(v), n);
	}
	member_error(in, obj, path, key,
	    talloc_asprintf(
		in->mem, "a string of %zu to %zu bytes", min_bytes, max_bytes));
	return "";
}

int64_t
ir_json_int(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, int64_t min, int64_t max)
{
	struct json_object *v;
	int64_t n;

	if (in->error != NULL)
		return min;
	v = member_of_type(obj, key, json_type_int);
	if (v != NULL) {
		n = json_object_get_int64(v);
		if (n >= min && n <= max)
			return n;
	}
	member_error(in, obj, path, key,
	    talloc_asprintf(
		in->mem, "an integer from %" PRId64 " to %" PRId64, min, max));
	return min;
}

double
ir_json_number(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, double min, double max)
{
	struct json_object *v;
	double n;

	if (in->error != NULL)
		return min;
	v = member_of_type(obj, key, json_type_int);
	if (v == NULL)
		v = member_of_type(obj, key, json_type_double);
	if (v != NULL) {
		n = json_object_get_double(v);
		if (n >= min && n <= max)
			return n;
	}
	member_error(in, obj, path, key,
	    talloc_asprintf(in->mem, "a number from %.10g to %.10g", min, max));
	return min;
}

bool
ir_json_bool(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key)
{
	struct json_object *v;

	if (in->error != NULL)
		return false;
	v = member_of_type(obj, key, json_type_boolean);
	if (v != NULL)
		return json_object_get_boolean(v);
	member_error(in, obj, path, key, "true or false");
	return false;
}

struct json_object *
ir_json_object(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key)
{
	struct json_object *v;

	if (in->error != NULL)
		return NULL;
	v = member_of_type(obj, key, json_type_object);
	if (v == NULL)
		member_error(in, obj, path, key, "an object");
	return v;
}

struct json_object *
ir_json_array(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, size_t max_count)
{
	struct json_object *v;

	if (in->error != NULL)
		return NULL;
	v = member_of_type(obj, key, json_type_array);
	if (v != NULL && json_object_array_length(v) <= max_count)
		return v;
	if (max_count >= IR_JSON_MAX_BYTES)
		member_error(in, obj, path, key, "an array");
	else
		member_error(in, obj, path, key,
		    talloc_asprintf(
			in->mem, "an array of at most %zu", max_count));
	return NULL;
}

bool
ir_json_has(struct json_object *obj, const char *key)
{
	return obj != NULL && json_object_object_get_ex(obj, key, NULL);
}
