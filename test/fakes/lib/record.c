/* Record of the requests that a stand-in upstream received. */
#include <ctype.h>
#include <json-c/json.h>
#include <string.h>

#include "core/table.h"
#include "fakes/lib/record.h"

#define MAX_REPORTED_IDS 20

struct entry {
	const char *text;
	uint32_t count;
	UT_hash_handle hh;
};

struct fake_record {
	struct entry *names;
	struct entry *ids;
	char *text; /* strings, each terminated by a zero byte */
	size_t text_bytes;
	size_t capacity_bytes;
	bool overflow;
};

static int
record_destroy(struct fake_record *s)
{
	HASH_CLEAR(hh, s->names);
	HASH_CLEAR(hh, s->ids);
	return 0;
}

struct fake_record *
fake_record_new(TALLOC_CTX *mem)
{
	struct fake_record *s = talloc_zero(mem, struct fake_record);

	talloc_set_destructor(s, record_destroy);
	return s;
}

static void
add_entry(struct fake_record *s, struct entry **table, const char *text)
{
	struct entry *e = talloc_zero(s, struct entry);

	e->text = talloc_strdup(e, text);
	e->count = 1;
	HASH_ADD_KEYPTR(hh, *table, e->text, strlen(e->text), e);
}

static void
count_entry(struct fake_record *s, struct entry **table, const char *text,
    unsigned max_entries)
{
	struct entry *e;

	HASH_FIND_STR(*table, text, e);
	if (e != NULL) {
		e->count++;
		return;
	}
	if (HASH_COUNT(*table) >= max_entries) {
		s->overflow = true;
		return;
	}
	add_entry(s, table, text);
}

void
fake_record_text(struct fake_record *s, const void *text, size_t size_bytes)
{
	size_t needed = s->text_bytes + size_bytes + 1;

	if (needed > FAKE_MAX_RECORD_BYTES) {
		s->overflow = true;
		return;
	}
	if (needed > s->capacity_bytes) {
		s->capacity_bytes = 2 * needed;
		s->text = talloc_realloc(s, s->text, char, s->capacity_bytes);
	}
	if (size_bytes > 0)
		memcpy(s->text + s->text_bytes, text, size_bytes);
	s->text[needed - 1] = '\0';
	s->text_bytes = needed;
}

void
fake_record_header(struct fake_record *s, const char *name, const char *value)
{
	char *lower = talloc_strdup(NULL, name);

	for (char *p = lower; *p != '\0'; p++)
		*p = (char)tolower((unsigned char)*p);
	count_entry(s, &s->names, lower, FAKE_MAX_RECORD_NAMES);
	talloc_free(lower);
	fake_record_text(s, name, strlen(name));
	fake_record_text(s, value, strlen(value));
}

void
fake_record_run(struct fake_record *s, const char *id)
{
	count_entry(s, &s->ids, id, FAKE_MAX_RECORD_IDS);
}

uint32_t
fake_record_run_count(const struct fake_record *s, const char *id)
{
	const struct entry *e;

	HASH_FIND_STR(s->ids, id, e);
	return e != NULL ? e->count : 0;
}

bool
fake_record_contains(const struct fake_record *s, const char *text)
{
	size_t n = strlen(text);

	if (s->text_bytes == 0 || n == 0)
		return false;
	return memmem(s->text, s->text_bytes, text, n) != NULL;
}

bool
fake_record_is_complete(const struct fake_record *s)
{
	return !s->overflow;
}

void
fake_record_report(const struct fake_record *s, struct json_object *out)
{
	struct json_object *names = json_object_new_array();
	struct json_object *ids = json_object_new_array();
	const struct entry *e;
	int64_t doubles = 0;

	for (e = s->names; e != NULL; e = e->hh.next)
		json_object_array_add(names, json_object_new_string(e->text));
	for (e = s->ids; e != NULL; e = e->hh.next) {
		if (e->count < 2)
			continue;
		if (doubles++ < MAX_REPORTED_IDS)
			json_object_array_add(
			    ids, json_object_new_string(e->text));
	}
	json_object_object_add(out, "header_names", names);
	json_object_object_add(
	    out, "double_runs", json_object_new_int64(doubles));
	json_object_object_add(out, "double_run_ids", ids);
	json_object_object_add(
	    out, "complete", json_object_new_boolean(!s->overflow));
}
