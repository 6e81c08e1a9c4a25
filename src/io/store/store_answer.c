/* Decodes an answer of the store in the native dialect. */
#include <json.h>
#include <string.h>

#include "io/store/store_answer.h"
#include "link/peer.h"

#define MAX_DEPTH 8

static struct json_object *
parse(const char *text, size_t size_bytes)
{
	struct json_tokener *t = json_tokener_new_ex(MAX_DEPTH);
	struct json_object *json;

	if (t == NULL)
		return NULL;
	json_tokener_set_flags(t, JSON_TOKENER_STRICT);
	json = json_tokener_parse_ex(t, text, (int)size_bytes);
	if (json_tokener_get_error(t) != json_tokener_success) {
		json_object_put(json);
		json = NULL;
	}
	json_tokener_free(t);
	return json;
}

static bool
get_uint(struct json_object *o, const char *key, uint64_t *to)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_int) ||
	    json_object_get_int64(v) < 0)
		return false;
	*to = json_object_get_uint64(v);
	return true;
}

static char *
get_text(TALLOC_CTX *mem, struct json_object *o, const char *key, size_t max)
{
	struct json_object *v;
	const char *s;
	size_t size;

	if (!json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_string))
		return NULL;
	s = json_object_get_string(v);
	size = (size_t)json_object_get_string_len(v);
	if (size > max || strlen(s) != size)
		return NULL;
	return talloc_strdup(mem, s);
}

static bool
parse_section(TALLOC_CTX *mem, struct json_object *o, struct ir_section *to)
{
	uint64_t revision;

	to->name = get_text(mem, o, "name", IR_MAX_SECTION_NAME);
	to->text = get_text(mem, o, "text", IR_MAX_SECTION_TEXT);
	if (to->name == NULL || to->text == NULL ||
	    !get_uint(o, "revision", &revision))
		return false;
	to->revision = revision;
	return true;
}

static const char *
parse_sections(
    TALLOC_CTX *mem, struct json_object *json, struct ir_store_read *r)
{
	struct json_object *list;
	struct ir_section *sections;
	size_t count;

	if (!json_object_object_get_ex(json, "sections", &list) ||
	    !json_object_is_type(list, json_type_array))
		return "sections missing or not an array";
	count = json_object_array_length(list);
	if (count > IR_MAX_SECTIONS)
		return "too many sections";
	sections = talloc_zero_array(mem, struct ir_section, count + 1);
	if (sections == NULL)
		return "out of memory";
	for (size_t i = 0; i < count; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		if (!parse_section(sections, o, &sections[i]))
			return "invalid section";
	}
	r->sections = sections;
	r->section_count = count;
	return NULL;
}

static const char *
parse_object(TALLOC_CTX *mem, struct json_object *json, struct ir_store_read *r)
{
	struct json_object *whole;

	if (!json_object_is_type(json, json_type_object))
		return "not an object";
	if (!get_uint(json, "revision", &r->revision))
		return "revision missing or invalid";
	if (!json_object_object_get_ex(json, "whole", &whole) ||
	    !json_object_is_type(whole, json_type_boolean))
		return "whole missing or not a boolean";
	r->complete = json_object_get_boolean(whole);
	r->has_era = get_uint(json, "era", &r->era);
	return parse_sections(mem, json, r);
}

int
ir_store_answer_parse(TALLOC_CTX *mem, const char *text, size_t size_bytes,
    struct ir_store_read *r, const char **error)
{
	struct json_object *json;

	*error = "not JSON";
	if (size_bytes > IR_MAX_STORE_ANSWER_BYTES)
		return -1;
	json = parse(text, size_bytes);
	if (json == NULL)
		return -1;
	*error = parse_object(mem, json, r);
	json_object_put(json);
	return *error == NULL ? 0 : -1;
}
