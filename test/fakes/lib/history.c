/* Revision history of published sections. */
#include <json-c/json.h>
#include <string.h>

#include "core/table.h"
#include "fakes/lib/history.h"

struct version {
	uint64_t revision;
	const char *text;
};

struct section {
	const char *name;
	struct version *versions; /* by ascending revision */
	size_t count;
	UT_hash_handle hh;
};

struct fake_history {
	struct section *sections;
	int64_t *changed_us; /* of revision i + 1 */
	uint64_t revision;
	uint64_t era;
};

static int
history_destroy(struct fake_history *h)
{
	HASH_CLEAR(hh, h->sections);
	return 0;
}

struct fake_history *
fake_history_new(TALLOC_CTX *mem)
{
	struct fake_history *h = talloc_zero(mem, struct fake_history);

	h->era = 1;
	talloc_set_destructor(h, history_destroy);
	return h;
}

static struct section *
add_section(struct fake_history *h, const char *name)
{
	struct section *s = talloc_zero(h, struct section);

	s->name = talloc_strdup(s, name);
	HASH_ADD_KEYPTR(hh, h->sections, s->name, strlen(s->name), s);
	return s;
}

static struct section *
find_or_add_section(struct fake_history *h, const char *name)
{
	struct section *s;

	HASH_FIND_STR(h->sections, name, s);
	return s != NULL ? s : add_section(h, name);
}

uint64_t
fake_history_publish(
    struct fake_history *h, int64_t now_us, const char *name, const char *text)
{
	struct section *s;
	struct version *v;

	if (h->revision >= FAKE_MAX_CHANGES)
		return 0;
	if (strlen(text) > FAKE_MAX_TEXT_BYTES)
		return 0;
	h->changed_us =
	    talloc_realloc(h, h->changed_us, int64_t, h->revision + 1);
	h->changed_us[h->revision++] = now_us;
	s = find_or_add_section(h, name);
	s->versions =
	    talloc_realloc(s, s->versions, struct version, s->count + 1);
	v = &s->versions[s->count++];
	v->revision = h->revision;
	v->text = talloc_strdup(s, text);
	return h->revision;
}

uint64_t
fake_history_revision(const struct fake_history *h)
{
	return h->revision;
}

uint64_t
fake_history_revision_at(const struct fake_history *h, int64_t at_us)
{
	uint64_t r = h->revision;

	while (r > 0 && h->changed_us[r - 1] > at_us)
		r--;
	return r;
}

uint64_t
fake_history_era(const struct fake_history *h)
{
	return h->era;
}

void
fake_history_restore(struct fake_history *h, int64_t now, int64_t at_us,
    struct fake_rewrites *lost)
{
	struct section *s;

	h->revision = fake_history_revision_at(h, at_us);
	h->era++;
	for (s = h->sections; s != NULL; s = s->hh.next) {
		while (s->count > 0 &&
		       s->versions[s->count - 1].revision > h->revision) {
			const char *text = s->versions[--s->count].text;

			fake_rewrites_add(
			    lost, now, s->name, text, strlen(text));
		}
	}
}

static const struct version *
version_at(const struct section *s, uint64_t as_of)
{
	for (size_t i = s->count; i > 0; i--) {
		if (s->versions[i - 1].revision <= as_of)
			return &s->versions[i - 1];
	}
	return NULL;
}

static struct json_object *
section_json(const struct section *s, const struct version *v)
{
	struct json_object *obj = json_object_new_object();

	json_object_object_add(obj, "name", json_object_new_string(s->name));
	json_object_object_add(
	    obj, "revision", json_object_new_int64((int64_t)v->revision));
	json_object_object_add(obj, "text", json_object_new_string(v->text));
	return obj;
}

char *
fake_history_read(const struct fake_history *h, TALLOC_CTX *mem, uint64_t after,
    uint64_t as_of)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	const struct section *s;
	const struct version *v;
	char *text;

	for (s = h->sections; s != NULL; s = s->hh.next) {
		v = version_at(s, as_of);
		if (v == NULL || v->revision <= after)
			continue;
		if (after == 0 && v->text[0] == '\0')
			continue;
		json_object_array_add(list, section_json(s, v));
	}
	json_object_object_add(
	    obj, "revision", json_object_new_int64((int64_t)as_of));
	json_object_object_add(
	    obj, "era", json_object_new_int64((int64_t)h->era));
	json_object_object_add(
	    obj, "whole", json_object_new_boolean(after == 0));
	json_object_object_add(obj, "sections", list);
	text = talloc_strdup(
	    mem, json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
	json_object_put(obj);
	return text;
}
