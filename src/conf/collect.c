/* Collecting of operators' files into sections. */
#include <dirent.h>
#include <errno.h>
#include <json.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "conf/collect.h"
#include "conf/file.h"
#include "conf/json.h"
#include "conf/json_line.h"
#include "conf/publication.h"
#include "host/section.h"

static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static int
is_json_name(const struct dirent *d)
{
	size_t n = strlen(d->d_name);

	return d->d_name[0] != '.' && n > 5 &&
	       strcmp(d->d_name + n - 5, ".json") == 0;
}

/* Paths of the directory's service files by name, or NULL. */
static char **
list_files(TALLOC_CTX *mem, const char *dir, size_t *count, char **error)
{
	struct dirent **entries = NULL;
	char **files;
	int n = scandir(dir, &entries, is_json_name, NULL);

	if (n < 0) {
		*error = talloc_asprintf(mem, "%s: %s", dir, strerror(errno));
		return NULL;
	}
	files = talloc_array(mem, char *, n);
	for (int i = 0; i < n; i++) {
		files[i] =
		    talloc_asprintf(files, "%s/%s", dir, entries[i]->d_name);
		free(entries[i]);
	}
	free(entries);
	*count = (size_t)n;
	if (n > 1)
		qsort(files, *count, sizeof *files, compare_names);
	return files;
}

static bool
read_source(struct ir_sources *s, struct ir_source *source, const char *file,
    char **error)
{
	source->file = talloc_strdup(s, file);
	source->text = ir_file_read(
	    s, file, IR_JSON_MAX_BYTES, &source->size_bytes, error);
	return source->text != NULL;
}

static bool
read_services(struct ir_sources *s, const char *dir, char **error)
{
	char **files = list_files(s, dir, &s->service_count, error);

	if (files == NULL)
		return false;
	if (s->service_count == 0 || s->service_count > IR_MAX_SERVICE_FILES) {
		*error = talloc_asprintf(s,
		    "%s: must hold 1 to %d files named *.json, holds %zu", dir,
		    IR_MAX_SERVICE_FILES, s->service_count);
		return false;
	}
	s->services = talloc_zero_array(s, struct ir_source, s->service_count);
	for (size_t i = 0; i < s->service_count; i++) {
		if (!read_source(s, &s->services[i], files[i], error))
			return false;
	}
	return true;
}

struct ir_sources *
ir_sources_read(TALLOC_CTX *mem, const char *fleet_file,
    const char *accounts_file, const char *service_dir, char **error)
{
	struct ir_sources *s = talloc_zero(mem, struct ir_sources);

	*error = NULL;
	if (read_source(s, &s->fleet, fleet_file, error) &&
	    read_source(s, &s->accounts, accounts_file, error) &&
	    read_services(s, service_dir, error))
		return s;
	*error = talloc_steal(mem, *error);
	talloc_free(s);
	return NULL;
}

static void
add_error(struct ir_collection *c, const char *text)
{
	c->errors =
	    talloc_realloc(c, c->errors, const char *, c->error_count + 1);
	c->errors[c->error_count++] = talloc_strdup(c, text);
}

void
ir_collect_change(struct ir_collection *c, const char *section, bool risky,
    const char *fmt, ...)
{
	struct ir_change *change;
	va_list ap;

	c->changes = talloc_realloc(
	    c, c->changes, struct ir_change, c->change_count + 1);
	change = &c->changes[c->change_count++];
	change->section = talloc_strdup(c, section);
	change->risky = risky;
	va_start(ap, fmt);
	change->text = talloc_vasprintf(c, fmt, ap);
	va_end(ap);
}

static void
add_section(struct ir_collection *c, const char *name, uint64_t generation,
    const char *text)
{
	struct ir_section *s;

	c->sections = talloc_realloc(
	    c, c->sections, struct ir_section, c->section_count + 1);
	s = &c->sections[c->section_count++];
	s->name = talloc_strdup(c, name);
	s->revision = 0;
	s->generation = generation;
	s->text = talloc_strdup(c, text);
}

/* One source on its way to a section. */
struct item {
	const struct ir_source *source;
	const char *name;	  /* of the section, NULL after an error */
	struct json_object *body; /* without generation */
};

/* Text of a section with its generation first. */
static char *
section_text(TALLOC_CTX *mem, struct json_object *body, uint64_t generation)
{
	const char *s = json_object_to_json_string_ext(
	    body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

	return talloc_asprintf(mem, "{\"generation\":%llu%s%s",
	    (unsigned long long)generation, s[1] == '}' ? "" : ",", s + 1);
}

/* Adds "file: line N: place: what" of an error "place: what". */
static void
add_error_at(
    struct ir_collection *c, const struct ir_source *s, const char *error)
{
	const char *colon = strstr(error, ": ");
	size_t size = colon == NULL ? 0 : (size_t)(colon - error);
	char *place = talloc_strndup(c, error, size);
	size_t line = ir_json_line(s->text, s->size_bytes, place);

	add_error(c,
	    talloc_asprintf(place, "%s: line %zu: %s", s->file, line, error));
	talloc_free(place);
}

static void
check_item(struct ir_collection *c, const struct item *i)
{
	char *text = section_text(c, i->body, 1);
	char *error = NULL;

	if (strlen(text) > IR_JSON_MAX_BYTES - 32)
		error = talloc_strdup(c, "the section is too large");
	else
		ir_section_check(c, i->name, text, &error);
	talloc_free(text);
	if (error == NULL)
		return;
	add_error_at(c, i->source, error);
	talloc_free(error);
}

/* Parses a source; its section's name is given, or made from its member. */
static struct item
read_item(struct ir_collection *c, const struct ir_source *s, const char *name)
{
	struct ir_json_in in = {talloc_new(c), s->file, NULL};
	struct item i = {s, name, NULL};

	i.body = ir_json_parse(&in, s->text, s->size_bytes);
	if (ir_json_has(i.body, "generation"))
		ir_json_error(&in, "generation", "is set by publishing");
	if (name == NULL)
		i.name = talloc_asprintf(c, "service/%s",
		    ir_json_string(&in, i.body, "", "name", 1, 63));
	if (in.error == NULL &&
	    ir_section_kind_of(i.name) == IR_SECTION_UNKNOWN)
		ir_json_error(
		    &in, "name", "must consist of a to z, 0 to 9 and '-'");
	if (in.error == NULL)
		check_item(c, &i);
	else if (i.body == NULL)
		add_error(c, in.error);
	else
		add_error_at(c, s, in.error + strlen(s->file) + 2);
	if (in.error != NULL)
		i.name = NULL;
	talloc_free(in.mem);
	return i;
}

static int
compare_items(const void *a, const void *b)
{
	const struct item *x = a, *y = b;
	int n = strcmp(
	    x->name == NULL ? "" : x->name, y->name == NULL ? "" : y->name);

	return n != 0 ? n : strcmp(x->source->file, y->source->file);
}

static struct item *
read_items(struct ir_collection *c, const struct ir_sources *s, size_t *count)
{
	struct item *items = talloc_array(c, struct item, s->service_count + 2);

	items[0] = read_item(c, &s->fleet, "fleet");
	items[1] = read_item(c, &s->accounts, "accounts");
	for (size_t i = 0; i < s->service_count; i++)
		items[i + 2] = read_item(c, &s->services[i], NULL);
	*count = s->service_count + 2;
	qsort(items, *count, sizeof *items, compare_items);
	for (size_t i = 1; i < *count; i++) {
		const struct item *a = &items[i - 1], *b = &items[i];

		if (b->name == NULL || a->name == NULL ||
		    strcmp(a->name, b->name) != 0)
			continue;
		add_error_at(c, b->source,
		    talloc_asprintf(items, "name: %s names the same service",
			a->source->file));
	}
	return items;
}

/* The body of a text in force and its generation; NULL when it is bad. */
static struct json_object *
body_of(const char *text, uint64_t *generation)
{
	struct json_object *obj = json_tokener_parse(text), *v;

	*generation = 0;
	if (!json_object_is_type(obj, json_type_object)) {
		json_object_put(obj);
		return NULL;
	}
	if (json_object_object_get_ex(obj, "generation", &v))
		*generation = (uint64_t)json_object_get_int64(v);
	json_object_object_del(obj, "generation");
	return obj;
}

static bool
is_configuration(const struct ir_section *s)
{
	enum ir_section_kind kind = ir_section_kind_of(s->name);

	return kind != IR_SECTION_UNKNOWN && kind != IR_SECTION_HOST;
}

static uint64_t
next_generation(const struct ir_section *in_force, size_t count, uint64_t least)
{
	uint64_t next = least > 0 ? least : 1, generation;

	for (size_t i = 0; i < count; i++) {
		if (!is_configuration(&in_force[i]))
			continue;
		json_object_put(body_of(in_force[i].text, &generation));
		if (generation >= next)
			next = generation + 1;
	}
	return next;
}

static const struct ir_section *
find_in_force(const struct ir_section *in_force, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (in_force[i].text[0] != '\0' &&
		    strcmp(in_force[i].name, name) == 0)
			return &in_force[i];
	}
	return NULL;
}

static void
compare_item(struct ir_collection *c, const struct item *i,
    const struct ir_section *old, uint64_t generation)
{
	struct json_object *body;
	size_t changes = c->change_count;
	uint64_t old_generation;
	char *text;
	bool same;

	if (old != NULL) {
		body = body_of(old->text, &old_generation);
		same = body != NULL && json_object_equal(body, i->body);
		json_object_put(body);
		if (same)
			return;
	}
	text = section_text(c, i->body, generation);
	add_section(c, i->name, generation, text);
	if (old == NULL)
		ir_collect_change(c, i->name, false, "added");
	else
		ir_collect_diff(c, i->name, old->text, text);
	if (c->change_count == changes)
		ir_collect_change(c, i->name, false, "the same in other words");
	talloc_free(text);
}

static void
remove_others(struct ir_collection *c, const struct item *items, size_t count,
    const struct ir_section *in_force, size_t in_force_count)
{
	for (size_t i = 0; i < in_force_count; i++) {
		const struct ir_section *old = &in_force[i];
		size_t j = 0;

		if (old->text[0] == '\0' || !is_configuration(old))
			continue;
		while (j < count && strcmp(items[j].name, old->name) != 0)
			j++;
		if (j < count)
			continue;
		add_section(c, old->name, 0, "");
		ir_collect_change(c, old->name, true, "removed");
	}
}

struct ir_collection *
ir_collect(TALLOC_CTX *mem, const struct ir_sources *s,
    const struct ir_section *in_force, size_t count, uint64_t least_generation)
{
	struct ir_collection *c = talloc_zero(mem, struct ir_collection);
	uint64_t generation =
	    next_generation(in_force, count, least_generation);
	size_t n;
	struct item *items = read_items(c, s, &n);

	if (c->error_count > 0)
		goto out;
	if (generation > IR_MAX_GENERATION) {
		add_error(c, "no generation is left above those in force");
		goto out;
	}
	for (size_t i = 0; i < n; i++)
		compare_item(c, &items[i],
		    find_in_force(in_force, count, items[i].name), generation);
	remove_others(c, items, n, in_force, count);
out:
	for (size_t i = 0; i < n; i++)
		json_object_put(items[i].body);
	talloc_free(items);
	return c;
}
