/* Builds the sections of a publication from the operators' files. */
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

/* Paths of the JSON files of a directory, sorted; NULL with *error set. */
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
read_file(struct ir_config_files *s, struct ir_config_file *f, const char *path,
    char **error)
{
	f->path = talloc_strdup(s, path);
	f->text =
	    ir_file_read(s, path, IR_JSON_MAX_BYTES, &f->size_bytes, error);
	return f->text != NULL;
}

static bool
read_service_files(struct ir_config_files *s, const char *dir, char **error)
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
	s->services =
	    talloc_zero_array(s, struct ir_config_file, s->service_count);
	for (size_t i = 0; i < s->service_count; i++) {
		if (!read_file(s, &s->services[i], files[i], error))
			return false;
	}
	return true;
}

struct ir_config_files *
ir_config_files_read(TALLOC_CTX *mem, const char *fleet_file,
    const char *accounts_file, const char *service_dir, char **error)
{
	struct ir_config_files *s = talloc_zero(mem, struct ir_config_files);

	*error = NULL;
	if (read_file(s, &s->fleet, fleet_file, error) &&
	    read_file(s, &s->accounts, accounts_file, error) &&
	    read_service_files(s, service_dir, error))
		return s;
	*error = talloc_steal(mem, *error);
	talloc_free(s);
	return NULL;
}

static void
add_error(struct ir_collect_result *c, const char *text)
{
	c->errors =
	    talloc_realloc(c, c->errors, const char *, c->error_count + 1);
	c->errors[c->error_count++] = talloc_strdup(c, text);
}

void
ir_collect_add_change(struct ir_collect_result *c, const char *section,
    bool risky, const char *fmt, ...)
{
	struct ir_config_change *change;
	va_list ap;

	c->changes = talloc_realloc(
	    c, c->changes, struct ir_config_change, c->change_count + 1);
	change = &c->changes[c->change_count++];
	change->section = talloc_strdup(c, section);
	change->risky = risky;
	va_start(ap, fmt);
	change->text = talloc_vasprintf(c, fmt, ap);
	va_end(ap);
}

static void
add_section(struct ir_collect_result *c, const char *name, uint64_t generation,
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

/* A file and the section that it becomes. */
struct parsed_file {
	const struct ir_config_file *file;
	const char *section;	  /* its name, NULL after an error */
	struct json_object *body; /* without generation */
};

/* Text of a section: its body with the generation as first member. */
static char *
format_section(TALLOC_CTX *mem, struct json_object *body, uint64_t generation)
{
	const char *s = json_object_to_json_string_ext(
	    body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

	return talloc_asprintf(mem, "{\"generation\":%llu%s%s",
	    (unsigned long long)generation, s[1] == '}' ? "" : ",", s + 1);
}

/* Adds an error "path: what" as "file: line N: path: what". */
static void
add_error_with_line(struct ir_collect_result *c, const struct ir_config_file *f,
    const char *error)
{
	const char *colon = strstr(error, ": ");
	size_t size = colon == NULL ? 0 : (size_t)(colon - error);
	char *path = talloc_strndup(c, error, size);
	size_t line = ir_json_line(f->text, f->size_bytes, path);

	add_error(
	    c, talloc_asprintf(path, "%s: line %zu: %s", f->path, line, error));
	talloc_free(path);
}

static void
check_section_text(struct ir_collect_result *c, const struct parsed_file *f)
{
	char *text = format_section(c, f->body, 1);
	char *error = NULL;

	if (strlen(text) > IR_JSON_MAX_BYTES - 32)
		error = talloc_strdup(c, "the section is too large");
	else
		ir_section_check(c, f->section, text, &error);
	talloc_free(text);
	if (error == NULL)
		return;
	add_error_with_line(c, f->file, error);
	talloc_free(error);
}

/*
 * Parses and checks a file. It becomes the section name or, if name is NULL,
 * the section of the service that the file names.
 */
static struct parsed_file
parse_file(struct ir_collect_result *c, const struct ir_config_file *f,
    const char *name)
{
	struct ir_json_reader in = {.mem = talloc_new(c), .file = f->path};
	struct parsed_file p = {f, name, NULL};

	p.body = ir_json_parse(&in, f->text, f->size_bytes);
	if (ir_json_has(p.body, "generation"))
		ir_json_error(&in, "generation", "is set by publishing");
	if (name == NULL)
		p.section = talloc_asprintf(c, "service/%s",
		    ir_json_string(&in, p.body, "", "name", 1, 63));
	if (in.error == NULL &&
	    ir_section_kind_of(p.section) == IR_SECTION_UNKNOWN)
		ir_json_error(
		    &in, "name", "must consist of a to z, 0 to 9 and '-'");
	if (in.error == NULL)
		check_section_text(c, &p);
	else if (p.body == NULL)
		add_error(c, in.error);
	else
		add_error_with_line(c, f, in.error + strlen(f->path) + 2);
	if (in.error != NULL)
		p.section = NULL;
	talloc_free(in.mem);
	return p;
}

static int
compare_parsed_files(const void *a, const void *b)
{
	const struct parsed_file *x = a, *y = b;
	int n = strcmp(x->section == NULL ? "" : x->section,
	    y->section == NULL ? "" : y->section);

	return n != 0 ? n : strcmp(x->file->path, y->file->path);
}

static struct parsed_file *
parse_files(
    struct ir_collect_result *c, const struct ir_config_files *s, size_t *count)
{
	struct parsed_file *parsed =
	    talloc_array(c, struct parsed_file, s->service_count + 2);

	parsed[0] = parse_file(c, &s->fleet, "fleet");
	parsed[1] = parse_file(c, &s->accounts, "accounts");
	for (size_t i = 0; i < s->service_count; i++)
		parsed[i + 2] = parse_file(c, &s->services[i], NULL);
	*count = s->service_count + 2;
	qsort(parsed, *count, sizeof *parsed, compare_parsed_files);
	for (size_t i = 1; i < *count; i++) {
		const struct parsed_file *a = &parsed[i - 1], *b = &parsed[i];

		if (b->section == NULL || a->section == NULL ||
		    strcmp(a->section, b->section) != 0)
			continue;
		add_error_with_line(c, b->file,
		    talloc_asprintf(parsed, "name: %s names the same service",
			a->file->path));
	}
	return parsed;
}

/*
 * Returns the body of a section's text and sets its generation (0: none). NULL
 * if the text is not a JSON object.
 */
static struct json_object *
parse_body(const char *text, uint64_t *generation)
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
is_config_section(const struct ir_section *s)
{
	enum ir_section_kind kind = ir_section_kind_of(s->name);

	return kind != IR_SECTION_UNKNOWN && !ir_section_is_of_host_list(kind);
}

static uint64_t
next_generation(const struct ir_section *in_force, size_t count, uint64_t least)
{
	uint64_t next = least > 0 ? least : 1, generation;

	for (size_t i = 0; i < count; i++) {
		if (!is_config_section(&in_force[i]))
			continue;
		json_object_put(parse_body(in_force[i].text, &generation));
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

/* Adds the section and its changes if it differs from the one in force. */
static void
compare_with_in_force(struct ir_collect_result *c, const struct parsed_file *f,
    const struct ir_section *old, uint64_t generation)
{
	struct json_object *body;
	size_t changes = c->change_count;
	uint64_t old_generation;
	char *text;
	bool same;

	if (old != NULL) {
		body = parse_body(old->text, &old_generation);
		same = body != NULL && json_object_equal(body, f->body);
		json_object_put(body);
		if (same)
			return;
	}
	text = format_section(c, f->body, generation);
	add_section(c, f->section, generation, text);
	if (old == NULL)
		ir_collect_add_change(c, f->section, false, "added");
	else
		ir_collect_diff(c, f->section, old->text, text);
	if (c->change_count == changes)
		ir_collect_add_change(
		    c, f->section, false, "no change in meaning");
	talloc_free(text);
}

/* Removes the sections in force that have no file. */
static void
remove_missing_sections(struct ir_collect_result *c,
    const struct parsed_file *parsed, size_t count,
    const struct ir_section *in_force, size_t in_force_count)
{
	for (size_t i = 0; i < in_force_count; i++) {
		const struct ir_section *old = &in_force[i];
		size_t j = 0;

		if (old->text[0] == '\0' || !is_config_section(old))
			continue;
		while (j < count && strcmp(parsed[j].section, old->name) != 0)
			j++;
		if (j < count)
			continue;
		add_section(c, old->name, 0, "");
		ir_collect_add_change(c, old->name, true, "removed");
	}
}

struct ir_collect_result *
ir_collect(TALLOC_CTX *mem, const struct ir_config_files *s,
    const struct ir_section *in_force, size_t count, uint64_t least_generation)
{
	struct ir_collect_result *c =
	    talloc_zero(mem, struct ir_collect_result);
	uint64_t generation =
	    next_generation(in_force, count, least_generation);
	size_t n;
	struct parsed_file *parsed = parse_files(c, s, &n);

	if (c->error_count > 0)
		goto out;
	if (generation > IR_MAX_GENERATION) {
		add_error(c, "no generation is left above those in force");
		goto out;
	}
	for (size_t i = 0; i < n; i++)
		compare_with_in_force(c, &parsed[i],
		    find_in_force(in_force, count, parsed[i].section),
		    generation);
	remove_missing_sections(c, parsed, n, in_force, count);
out:
	for (size_t i = 0; i < n; i++)
		json_object_put(parsed[i].body);
	talloc_free(parsed);
	return c;
}
