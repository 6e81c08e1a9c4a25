/* Sections: merges updates into the entry of each name. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "conf/label.h"
#include "conf/publication.h"
#include "host/section_internal.h"

/* Held in place of a text that exceeds the limit; does not parse. */
#define TOO_LARGE_TEXT "-"
#define DECIMAL 10

static int
sections_destructor(struct ir_sections *s)
{
	HASH_CLEAR(hh, s->entries);
	HASH_CLEAR(hh, s->change_counts);
	return 0;
}

struct ir_sections *
ir_sections_new(TALLOC_CTX *mem)
{
	struct ir_sections *s = talloc_zero(mem, struct ir_sections);

	s->view_outdated = true;
	talloc_set_destructor(s, sections_destructor);
	return s;
}

void
ir_sections_set_max_bytes(struct ir_sections *s, size_t max_bytes)
{
	s->max_text_bytes = max_bytes;
}

void
ir_sections_set_rate_margin(
    struct ir_sections *s, const struct ir_rate_margin *m)
{
	s->margin = *m;
	s->view_outdated = true;
}

static const char *
strip_prefix(
    const char *name, const char *prefix, bool (*is_good)(const char *s))
{
	size_t n = strlen(prefix);

	if (strncmp(name, prefix, n) != 0 || !is_good(name + n))
		return NULL;
	return name + n;
}

/* The number of a part after the first, without leading zeros. */
static bool
is_part_number(const char *s)
{
	char *end;

	return s[0] >= '1' && s[0] <= '9' &&
	       strtoul(s, &end, DECIMAL) < IR_MAX_PARTS && *end == '\0';
}

enum ir_section_kind
ir_section_kind_of(const char *name)
{
	if (strcmp(name, "fleet") == 0)
		return IR_SECTION_FLEET;
	if (strcmp(name, "accounts") == 0)
		return IR_SECTION_ACCOUNTS;
	if (strcmp(name, "routes") == 0)
		return IR_SECTION_ROUTES;
	if (strip_prefix(name, "accounts/", is_part_number) != NULL)
		return IR_SECTION_ACCOUNTS;
	if (strip_prefix(name, "routes/", is_part_number) != NULL)
		return IR_SECTION_ROUTES;
	if (strip_prefix(name, "service/", ir_is_name) != NULL)
		return IR_SECTION_SERVICE;
	if (strip_prefix(name, "host/", ir_is_host_name) != NULL)
		return IR_SECTION_HOST;
	if (strip_prefix(name, "zone/", ir_is_label) != NULL)
		return IR_SECTION_ZONE;
	return IR_SECTION_UNKNOWN;
}

bool
ir_section_is_of_host_list(enum ir_section_kind kind)
{
	return kind == IR_SECTION_HOST || kind == IR_SECTION_ZONE;
}

static uint64_t
min(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * Parses a text by the kind of its section, under in->mem. Sets *generation,
 * for a section of the host list to 0. If the text is bad, returns NULL with
 * in->error set.
 */
static void *
parse(struct ir_json_reader *in, const char *name, const char *text,
    uint64_t *generation)
{
	size_t n = strlen(text);
	struct ir_fleet *f;
	struct ir_account_list *l;
	struct ir_route_list *routes;
	struct ir_service *s;

	*generation = 0;
	switch (ir_section_kind_of(name)) {
	case IR_SECTION_FLEET:
		f = ir_fleet_parse(in, text, n);
		*generation = f == NULL ? 0 : f->generation;
		return f;
	case IR_SECTION_ACCOUNTS:
		l = ir_accounts_parse(in, text, n);
		*generation = l == NULL ? 0 : l->generation;
		return l;
	case IR_SECTION_ROUTES:
		routes = ir_routes_parse(in, text, n);
		*generation = routes == NULL ? 0 : routes->generation;
		return routes;
	case IR_SECTION_SERVICE:
		s = ir_service_parse(
		    in, strip_prefix(name, "service/", ir_is_name), text, n);
		*generation = s == NULL ? 0 : s->generation;
		return s;
	case IR_SECTION_HOST:
		return ir_host_parse(
		    in, strip_prefix(name, "host/", ir_is_host_name), text, n);
	case IR_SECTION_ZONE:
		return ir_zone_parse(
		    in, strip_prefix(name, "zone/", ir_is_label), text, n);
	default:
		ir_json_error(in, name, "no such section");
		return NULL;
	}
}

int
ir_section_check(
    TALLOC_CTX *mem, const char *name, const char *text, char **error)
{
	struct ir_json_reader in = {.mem = talloc_new(mem)};
	uint64_t generation;

	*error = NULL;
	if (text[0] != '\0' || ir_section_kind_of(name) == IR_SECTION_UNKNOWN)
		parse(&in, name, text, &generation);
	*error = talloc_steal(mem, in.error);
	talloc_free(in.mem);
	return *error == NULL ? 0 : -1;
}

/*
 * Frees the text of an entry. The parsed form moves to the current view, which
 * may point into it, and is freed with it.
 */
static void
release_text(struct ir_sections *s, struct section_entry *e)
{
	if (e->text != NULL)
		s->text_bytes -= strlen(e->text);
	talloc_free(e->text);
	if (s->view == NULL)
		talloc_free(e->memory);
	else
		talloc_steal(s->view, e->memory);
	e->text = NULL;
	e->parsed = NULL;
	e->memory = NULL;
	s->view_outdated = true;
}

static struct host_change_count *
add_change_count(struct ir_sections *s, const char *service)
{
	struct host_change_count *c = talloc_zero(s, struct host_change_count);

	c->service = talloc_strdup(c, service);
	HASH_ADD_KEYPTR(
	    hh, s->change_counts, c->service, strlen(c->service), c);
	return c;
}

/* Counts a change to the hosts of a service; NULL: perhaps of any. */
static void
count_change(struct ir_sections *s, const char *service)
{
	struct host_change_count *c;

	if (service == NULL) {
		s->changes_of_all++;
		return;
	}
	HASH_FIND_STR(s->change_counts, service, c);
	if (c == NULL)
		c = add_change_count(s, service);
	c->count++;
}

static struct section_entry *
find_entry(const struct ir_sections *s, const char *name)
{
	struct section_entry *e;

	HASH_FIND_STR(s->entries, name, e);
	return e;
}

static struct section_entry *
add_entry(struct ir_sections *s, const char *name)
{
	struct section_entry *e = talloc_zero(s, struct section_entry);

	e->name = talloc_strdup(e, name);
	e->kind = ir_section_kind_of(name);
	HASH_ADD_KEYPTR(hh, s->entries, e->name, strlen(e->name), e);
	return e;
}

/* Whether the highest removal covers the current version. */
static bool
is_removed(const struct section_entry *e)
{
	if (e->removed_generation != 0 && e->version <= e->removed_generation)
		return true;
	return e->removed_revision != 0 &&
	       e->first_revision <= e->removed_revision;
}

static void
remove_tombstone(struct ir_sections *s, struct section_entry *e)
{
	struct tombstones *t = &s->tombstones[ir_section_group_of(e->kind)];

	if (e->prev == NULL)
		return;
	DL_DELETE(t->list, e);
	e->prev = NULL;
	e->next = NULL;
	t->count--;
}

static void
evict_tombstone(struct ir_sections *s, struct section_entry *e)
{
	struct tombstones *t = &s->tombstones[ir_section_group_of(e->kind)];

	t->evicted_revision =
	    ir_max_u64(t->evicted_revision, e->removed_revision);
	remove_tombstone(s, e);
	HASH_DEL(s->entries, e);
	talloc_free(e);
}

static void
add_tombstone(struct ir_sections *s, struct section_entry *e)
{
	struct tombstones *t = &s->tombstones[ir_section_group_of(e->kind)];

	if (e->prev != NULL)
		return;
	if (t->count == IR_MAX_TOMBSTONES)
		evict_tombstone(s, t->list);
	DL_APPEND(t->list, e);
	t->count++;
}

/* Removes the text of an entry, if any; the entry stays as a tombstone. */
static enum ir_section_result
make_tombstone(struct ir_sections *s, struct section_entry *e)
{
	bool had_text = e->text != NULL;

	if (had_text) {
		if (e->kind == IR_SECTION_HOST)
			count_change(s, e->service);
		else if (e->kind == IR_SECTION_ZONE)
			count_change(s, NULL);
		release_text(s, e);
	}
	add_tombstone(s, e);
	return had_text ? IR_SECTION_APPLIED : IR_SECTION_NOT_NEWER;
}

/* A text received for a section; parsed is NULL if it is bad. */
struct candidate {
	const char *text;
	void *parsed;
	TALLOC_CTX *memory;
	uint64_t version;
	uint64_t revision;
	uint64_t text_hash;
};

static void
set_service(struct ir_sections *s, struct section_entry *e, const char *service)
{
	char *old = e->service;

	if (old != NULL)
		count_change(s, old);
	if (old == NULL || strcmp(old, service) != 0)
		count_change(s, service);
	e->service = talloc_strdup(e, service);
	talloc_free(old);
}

/* Makes c the text of the entry. */
static void
set_text(
    struct ir_sections *s, struct section_entry *e, const struct candidate *c)
{
	remove_tombstone(s, e);
	release_text(s, e);
	e->text = talloc_strdup(e, c->text);
	s->text_bytes += strlen(c->text);
	e->parsed = c->parsed;
	e->memory = talloc_steal(e, c->memory);
	e->text_hash = c->text_hash;
	e->version = c->version;
	e->revision = c->revision;
	if (e->kind == IR_SECTION_HOST && e->parsed != NULL)
		set_service(s, e, ((struct ir_host *)e->parsed)->service);
	else if (e->kind == IR_SECTION_ZONE)
		count_change(s, NULL);
}

/*
 * The current version was received again. A lower revision than before shows
 * that the version existed earlier, and perhaps before a removal.
 */
static enum ir_section_result
merge_repeated(
    struct ir_sections *s, struct section_entry *e, uint64_t revision)
{
	e->first_revision = min(e->first_revision, revision);
	if (is_removed(e))
		return make_tombstone(s, e);
	return IR_SECTION_NOT_NEWER;
}

static char *
describe_dropped(TALLOC_CTX *mem, const struct ir_json_reader *in)
{
	return talloc_asprintf(mem, "%zu invalid, the first: %s",
	    in->entry_error_count, in->entry_error);
}

/* Merges a text of the current version: the higher revision is used. */
static enum ir_section_result
merge_same_version(struct ir_sections *s, TALLOC_CTX *mem,
    struct section_entry *e, const struct candidate *c, char **error)
{
	enum ir_section_result result = merge_repeated(s, e, c->revision);
	bool later =
	    c->revision > e->revision ||
	    (c->revision == e->revision && c->text_hash < e->text_hash);

	if (e->text == NULL)
		return result;
	if (c->text_hash == e->text_hash && strcmp(c->text, e->text) == 0) {
		e->revision = ir_max_u64(e->revision, c->revision);
		return IR_SECTION_NOT_NEWER;
	}
	*error = talloc_asprintf(mem,
	    "%s: generation %llu was published with two texts, that of "
	    "revision %llu is in force",
	    e->name, (unsigned long long)e->version,
	    (unsigned long long)ir_max_u64(c->revision, e->revision));
	if (!later)
		return IR_SECTION_REFUSED;
	set_text(s, e, c);
	return IR_SECTION_APPLIED;
}

static enum ir_section_result
merge(struct ir_sections *s, TALLOC_CTX *mem, struct section_entry *e,
    const struct candidate *c, char **error)
{
	if (c->version < e->version)
		return IR_SECTION_NOT_NEWER;
	if (c->version == e->version)
		return merge_same_version(s, mem, e, c, error);
	e->version = c->version;
	e->first_revision = c->revision;
	if (is_removed(e))
		return make_tombstone(s, e);
	set_text(s, e, c);
	return IR_SECTION_APPLIED;
}

/*
 * Stores a text that does not parse for a name that has no entry, so that a
 * full list of the sections includes the name: a peer that has a good text of
 * this section must not remove its text.
 */
static void
keep_unparsable(
    struct ir_sections *s, const struct ir_section *in, const char *text)
{
	struct candidate c = {text, NULL, NULL, 0, in->revision, 0};
	struct section_entry *e = add_entry(s, in->name);

	e->first_revision = in->revision;
	set_text(s, e, &c);
}

/* Whether a tombstone that was evicted may have removed this section. */
static bool
may_have_been_removed(const struct ir_sections *s, const struct ir_section *in)
{
	size_t group = ir_section_group_of(ir_section_kind_of(in->name));

	return in->revision <= s->tombstones[group].evicted_revision;
}

static enum ir_section_result
put_text(struct ir_sections *s, TALLOC_CTX *mem, const struct ir_section *in,
    char **error)
{
	struct section_entry *e = find_entry(s, in->name);
	struct ir_json_reader json = {.mem = talloc_new(s), .tolerant = true};
	struct candidate c = {.text = in->text, .revision = in->revision};
	enum ir_section_result result = IR_SECTION_REFUSED;

	c.memory = json.mem;
	c.text_hash = XXH64(in->text, strlen(in->text), 0);
	c.parsed = parse(&json, in->name, in->text, &c.version);
	if (c.parsed == NULL) {
		*error = talloc_steal(mem, json.error);
		if (e == NULL && !may_have_been_removed(s, in))
			keep_unparsable(s, in, in->text);
		goto out;
	}
	result = IR_SECTION_NOT_NEWER;
	if (ir_section_is_of_host_list(ir_section_kind_of(in->name)))
		c.version = in->revision;
	if (e == NULL && may_have_been_removed(s, in))
		goto out;
	if (e == NULL)
		e = add_entry(s, in->name);
	result = merge(s, mem, e, &c, error);
	if (result == IR_SECTION_APPLIED && json.entry_error_count > 0) {
		result = IR_SECTION_APPLIED_IN_PART;
		*error = describe_dropped(mem, &json);
	}
out:
	if (e == NULL || e->memory != json.mem)
		talloc_free(json.mem);
	return result;
}

static enum ir_section_result
put_removal(struct ir_sections *s, const struct ir_section *in)
{
	struct section_entry *e = find_entry(s, in->name);
	bool known = e != NULL, missed;

	if (!known && may_have_been_removed(s, in))
		return IR_SECTION_NOT_NEWER;
	if (!known)
		e = add_entry(s, in->name);
	missed = e->text == NULL && in->revision > e->removed_revision;
	e->removed_revision = ir_max_u64(e->removed_revision, in->revision);
	if (!ir_section_is_of_host_list(e->kind))
		e->removed_generation =
		    ir_max_u64(e->removed_generation, in->generation);
	/* Added and removed between two updates. */
	if (missed && ir_section_is_of_host_list(e->kind))
		count_change(s, NULL);
	if (known)
		return is_removed(e) ? make_tombstone(s, e)
				     : IR_SECTION_NOT_NEWER;
	add_tombstone(s, e);
	return IR_SECTION_APPLIED;
}

/* A configuration text equal to the current one need not be parsed. */
static bool
is_current_text(const struct section_entry *e, const struct ir_section *in)
{
	if (e == NULL || e->parsed == NULL ||
	    ir_section_is_of_host_list(e->kind))
		return false;
	return strcmp(e->text, in->text) == 0;
}

/* Whether the texts of all sections stay in their limit with this one. */
static bool
has_room(const struct ir_sections *s, const struct section_entry *e,
    const struct ir_section *in)
{
	size_t replaced = e != NULL && e->text != NULL ? strlen(e->text) : 0;
	size_t bytes = s->text_bytes - replaced + strlen(in->text);

	return s->max_text_bytes == 0 || bytes <= s->max_text_bytes;
}

enum ir_section_result
ir_sections_put(struct ir_sections *s, TALLOC_CTX *mem,
    const struct ir_section *in, char **error)
{
	struct section_entry *e = find_entry(s, in->name);

	*error = NULL;
	if (ir_section_kind_of(in->name) == IR_SECTION_UNKNOWN ||
	    in->revision == 0) {
		*error = talloc_asprintf(mem, "%s: %s", in->name,
		    in->revision == 0 ? "revision 0" : "no such section");
		return IR_SECTION_REFUSED;
	}
	if (in->text[0] == '\0')
		return put_removal(s, in);
	if (!is_current_text(e, in)) {
		if (has_room(s, e, in))
			return put_text(s, mem, in, error);
		*error = talloc_asprintf(mem,
		    "%s: all sections together would have more than %zu bytes",
		    in->name, s->max_text_bytes);
		if (e == NULL && !may_have_been_removed(s, in))
			keep_unparsable(s, in, TOO_LARGE_TEXT);
		return IR_SECTION_REFUSED;
	}
	e->revision = ir_max_u64(e->revision, in->revision);
	return merge_repeated(s, e, in->revision);
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Finds the entries with a text whose names are not in names (sorted). */
static size_t
find_absent(const struct ir_sections *s, size_t group, const char *const *names,
    size_t count, struct section_entry **out)
{
	struct section_entry *e, *next;
	size_t n = 0;

	HASH_ITER (hh, s->entries, e, next) {
		if (e->text == NULL || ir_section_group_of(e->kind) != group)
			continue;
		if (count == 0 || bsearch(&e->name, names, count, sizeof *names,
				      compare_names) == NULL)
			out[n++] = e;
	}
	return n;
}

void
ir_sections_remove_absent(struct ir_sections *s, bool hosts,
    const char *const *names, size_t count, uint64_t revision)
{
	size_t group = hosts ? GROUP_HOSTS : GROUP_CONFIG;
	size_t n = HASH_COUNT(s->entries);
	struct section_entry **list =
	    talloc_array(s, struct section_entry *, n);
	const char **sorted = talloc_array(list, const char *, count);

	for (size_t i = 0; i < count; i++)
		sorted[i] = names[i];
	if (count > 1)
		qsort(sorted, count, sizeof *sorted, compare_names);
	n = find_absent(s, group, sorted, count, list);
	/*
	 * make_tombstone() may evict, and free, only entries that are
	 * tombstones already: none of those still to be visited here.
	 */
	for (size_t i = 0; i < n; i++) {
		struct section_entry *e = list[i];

		e->removed_revision = ir_max_u64(e->removed_revision, revision);
		if (is_removed(e))
			make_tombstone(s, e);
	}
	talloc_free(list);
	/* Hosts may have been added and removed since the last revision. */
	if (hosts && s->revision[GROUP_HOSTS] > 0 &&
	    revision > s->revision[GROUP_HOSTS])
		count_change(s, NULL);
}
