/* Sections: which text of a name is in force. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "conf/label.h"
#include "conf/publication.h"
#include "host/held.h"

static int
sections_destructor(struct ir_sections *s)
{
	HASH_CLEAR(hh, s->held);
	HASH_CLEAR(hh, s->changes);
	return 0;
}

struct ir_sections *
ir_sections_new(TALLOC_CTX *mem)
{
	struct ir_sections *s = talloc_zero(mem, struct ir_sections);

	s->changed = true;
	talloc_set_destructor(s, sections_destructor);
	return s;
}

void
ir_sections_set_margin(struct ir_sections *s, const struct ir_rate_margin *m)
{
	s->margin = *m;
	s->changed = true;
}

static const char *
after(const char *name, const char *prefix, bool (*is_good)(const char *s))
{
	size_t n = strlen(prefix);

	if (strncmp(name, prefix, n) != 0 || !is_good(name + n))
		return NULL;
	return name + n;
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
	if (after(name, "service/", ir_is_label) != NULL)
		return IR_SECTION_SERVICE;
	if (after(name, "host/", ir_is_host_name) != NULL)
		return IR_SECTION_HOST;
	return IR_SECTION_BAD;
}

static uint64_t
min(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Parses by kind, under in->mem; fills the generation, 0 of a host. */
static void *
parse(struct ir_json_in *in, const char *name, const char *text,
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
		    in, after(name, "service/", ir_is_label), text, n);
		*generation = s == NULL ? 0 : s->generation;
		return s;
	case IR_SECTION_HOST:
		return ir_host_parse(
		    in, after(name, "host/", ir_is_host_name), text, n);
	default:
		ir_json_error(in, name, "no such section");
		return NULL;
	}
}

int
ir_section_check(
    TALLOC_CTX *mem, const char *name, const char *text, char **error)
{
	struct ir_json_in in = {talloc_new(mem), NULL, NULL};
	uint64_t generation;

	*error = NULL;
	if (text[0] != '\0' || ir_section_kind_of(name) == IR_SECTION_BAD)
		parse(&in, name, text, &generation);
	*error = talloc_steal(mem, in.error);
	talloc_free(in.mem);
	return *error == NULL ? 0 : -1;
}

/* Keeps what views point to until they are freed. */
static void
retire(struct ir_sections *s, struct held *h)
{
	talloc_free(h->text);
	if (s->view == NULL)
		talloc_free(h->memory);
	else
		talloc_steal(s->view, h->memory);
	h->text = NULL;
	h->parsed = NULL;
	h->memory = NULL;
	s->changed = true;
}

static struct host_changes *
add_host_changes(struct ir_sections *s, const char *service)
{
	struct host_changes *c = talloc_zero(s, struct host_changes);

	c->service = talloc_strdup(c, service);
	HASH_ADD_KEYPTR(hh, s->changes, c->service, strlen(c->service), c);
	return c;
}

static void
count_change(struct ir_sections *s, const char *service)
{
	struct host_changes *c;

	if (service == NULL) {
		s->changes_of_all++;
		return;
	}
	HASH_FIND_STR(s->changes, service, c);
	if (c == NULL)
		c = add_host_changes(s, service);
	c->count++;
}

static struct held *
find(const struct ir_sections *s, const char *name)
{
	struct held *h;

	HASH_FIND_STR(s->held, name, h);
	return h;
}

static struct held *
add(struct ir_sections *s, const char *name)
{
	struct held *h = talloc_zero(s, struct held);

	h->name = talloc_strdup(h, name);
	h->kind = ir_section_kind_of(name);
	HASH_ADD_KEYPTR(hh, s->held, h->name, strlen(h->name), h);
	return h;
}

static bool
is_removed(const struct held *h)
{
	if (h->removed_generation != 0 && h->rank <= h->removed_generation)
		return true;
	return h->removed_revision != 0 &&
	       h->first_revision <= h->removed_revision;
}

static void
remove_tombstone(struct ir_sections *s, struct held *h)
{
	struct tombstones *t = &s->tombstones[ir_part_of(h->kind)];

	if (h->prev == NULL)
		return;
	DL_DELETE(t->list, h);
	h->prev = NULL;
	h->next = NULL;
	t->count--;
}

static void
drop_tombstone(struct ir_sections *s, struct held *h)
{
	struct tombstones *t = &s->tombstones[ir_part_of(h->kind)];

	t->dropped_revision =
	    ir_max_u64(t->dropped_revision, h->removed_revision);
	remove_tombstone(s, h);
	HASH_DEL(s->held, h);
	talloc_free(h);
}

static void
add_tombstone(struct ir_sections *s, struct held *h)
{
	struct tombstones *t = &s->tombstones[ir_part_of(h->kind)];

	if (h->prev != NULL)
		return;
	if (t->count == IR_MAX_TOMBSTONES)
		drop_tombstone(s, t->list);
	DL_APPEND(t->list, h);
	t->count++;
}

/* Ends the text in force, if any; the name stays as a tombstone. */
static enum ir_section_result
bury(struct ir_sections *s, struct held *h)
{
	bool had_text = h->text != NULL;

	if (had_text) {
		if (h->kind == IR_SECTION_HOST)
			count_change(s, h->service);
		retire(s, h);
	}
	add_tombstone(s, h);
	return had_text ? IR_SECTION_TAKEN : IR_SECTION_OLD;
}

/* A text that was told, parsed unless it is bad. */
struct candidate {
	const char *text;
	void *parsed;
	TALLOC_CTX *memory;
	uint64_t rank;
	uint64_t revision;
	uint64_t text_hash;
};

static void
set_service(struct ir_sections *s, struct held *h, const char *service)
{
	char *old = h->service;

	if (old != NULL)
		count_change(s, old);
	if (old == NULL || strcmp(old, service) != 0)
		count_change(s, service);
	h->service = talloc_strdup(h, service);
	talloc_free(old);
}

/* Puts c in force. */
static void
set_text(struct ir_sections *s, struct held *h, const struct candidate *c)
{
	remove_tombstone(s, h);
	retire(s, h);
	h->text = talloc_strdup(h, c->text);
	h->parsed = c->parsed;
	h->memory = talloc_steal(h, c->memory);
	h->text_hash = c->text_hash;
	h->rank = c->rank;
	h->revision = c->revision;
	if (h->kind == IR_SECTION_HOST && h->parsed != NULL)
		set_service(s, h, ((struct ir_host *)h->parsed)->service);
}

/* The text in force, or one of its rank, was told once more. */
static enum ir_section_result
see_again(struct ir_sections *s, struct held *h, uint64_t revision)
{
	h->first_revision = min(h->first_revision, revision);
	if (is_removed(h))
		return bury(s, h);
	return IR_SECTION_OLD;
}

/* A text of the rank held: the later one is in force. */
static enum ir_section_result
join_equal(struct ir_sections *s, TALLOC_CTX *mem, struct held *h,
    const struct candidate *c, char **error)
{
	enum ir_section_result result = see_again(s, h, c->revision);
	bool later =
	    c->revision > h->revision ||
	    (c->revision == h->revision && c->text_hash < h->text_hash);

	if (h->text == NULL)
		return result;
	if (c->text_hash == h->text_hash && strcmp(c->text, h->text) == 0) {
		h->revision = ir_max_u64(h->revision, c->revision);
		return IR_SECTION_OLD;
	}
	*error = talloc_asprintf(mem,
	    "%s: generation %llu was published with two texts, that of "
	    "revision %llu is in force",
	    h->name, (unsigned long long)h->rank,
	    (unsigned long long)ir_max_u64(c->revision, h->revision));
	if (!later)
		return IR_SECTION_REFUSED;
	set_text(s, h, c);
	return IR_SECTION_TAKEN;
}

static enum ir_section_result
join(struct ir_sections *s, TALLOC_CTX *mem, struct held *h,
    const struct candidate *c, char **error)
{
	if (c->rank < h->rank)
		return IR_SECTION_OLD;
	if (c->rank == h->rank)
		return join_equal(s, mem, h, c, error);
	h->rank = c->rank;
	h->first_revision = c->revision;
	if (is_removed(h))
		return bury(s, h);
	set_text(s, h, c);
	return IR_SECTION_TAKEN;
}

/*
 * Keeps a bad text of a name of which nothing is known, so that a list of all
 * that is held names it: others may hold a good one.
 */
static void
keep_bad(struct ir_sections *s, const struct ir_section *in)
{
	struct candidate c = {in->text, NULL, NULL, 0, in->revision, 0};
	struct held *h = add(s, in->name);

	h->first_revision = in->revision;
	set_text(s, h, &c);
}

static bool
was_dropped(const struct ir_sections *s, const struct ir_section *in)
{
	size_t part = ir_part_of(ir_section_kind_of(in->name));

	return in->revision <= s->tombstones[part].dropped_revision;
}

static enum ir_section_result
put_text(struct ir_sections *s, TALLOC_CTX *mem, const struct ir_section *in,
    char **error)
{
	struct held *h = find(s, in->name);
	struct ir_json_in json = {talloc_new(s), NULL, NULL};
	struct candidate c = {.text = in->text, .revision = in->revision};
	enum ir_section_result result = IR_SECTION_REFUSED;

	c.memory = json.mem;
	c.text_hash = XXH64(in->text, strlen(in->text), 0);
	c.parsed = parse(&json, in->name, in->text, &c.rank);
	if (c.parsed == NULL) {
		*error = talloc_steal(mem, json.error);
		if (h == NULL && !was_dropped(s, in))
			keep_bad(s, in);
		goto out;
	}
	result = IR_SECTION_OLD;
	if (ir_section_kind_of(in->name) == IR_SECTION_HOST)
		c.rank = in->revision;
	if (h == NULL && was_dropped(s, in))
		goto out;
	if (h == NULL)
		h = add(s, in->name);
	result = join(s, mem, h, &c, error);
out:
	if (h == NULL || h->memory != json.mem)
		talloc_free(json.mem);
	return result;
}

static enum ir_section_result
put_removal(struct ir_sections *s, const struct ir_section *in)
{
	struct held *h = find(s, in->name);
	bool known = h != NULL, unseen;

	if (!known && was_dropped(s, in))
		return IR_SECTION_OLD;
	if (!known)
		h = add(s, in->name);
	unseen = h->text == NULL && in->revision > h->removed_revision;
	h->removed_revision = ir_max_u64(h->removed_revision, in->revision);
	if (h->kind != IR_SECTION_HOST)
		h->removed_generation =
		    ir_max_u64(h->removed_generation, in->generation);
	/* It was there in between, unseen. */
	if (unseen && h->kind == IR_SECTION_HOST)
		count_change(s, NULL);
	if (known)
		return is_removed(h) ? bury(s, h) : IR_SECTION_OLD;
	add_tombstone(s, h);
	return IR_SECTION_TAKEN;
}

/* A configuration text that is in force already needs no parsing. */
static bool
is_in_force(const struct held *h, const struct ir_section *in)
{
	if (h == NULL || h->parsed == NULL || h->kind == IR_SECTION_HOST)
		return false;
	return strcmp(h->text, in->text) == 0;
}

enum ir_section_result
ir_sections_put(struct ir_sections *s, TALLOC_CTX *mem,
    const struct ir_section *in, char **error)
{
	struct held *h = find(s, in->name);

	*error = NULL;
	if (ir_section_kind_of(in->name) == IR_SECTION_BAD ||
	    in->revision == 0) {
		*error = talloc_asprintf(mem, "%s: %s", in->name,
		    in->revision == 0 ? "revision 0" : "no such section");
		return IR_SECTION_REFUSED;
	}
	if (in->text[0] == '\0')
		return put_removal(s, in);
	if (!is_in_force(h, in))
		return put_text(s, mem, in, error);
	h->revision = ir_max_u64(h->revision, in->revision);
	return see_again(s, h, in->revision);
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Names of what is in force and not in names, which is sorted. */
static size_t
absent(const struct ir_sections *s, size_t part, const char *const *names,
    size_t count, struct held **out)
{
	struct held *h, *next;
	size_t n = 0;

	HASH_ITER (hh, s->held, h, next) {
		if (h->text == NULL || ir_part_of(h->kind) != part)
			continue;
		if (count == 0 || bsearch(&h->name, names, count, sizeof *names,
				      compare_names) == NULL)
			out[n++] = h;
	}
	return n;
}

void
ir_sections_remove_absent(struct ir_sections *s, bool hosts,
    const char *const *names, size_t count, uint64_t revision)
{
	size_t part = hosts ? 1 : 0;
	size_t n = HASH_COUNT(s->held);
	struct held **list = talloc_array(s, struct held *, n);
	const char **sorted = talloc_array(list, const char *, count);

	for (size_t i = 0; i < count; i++)
		sorted[i] = names[i];
	if (count > 1)
		qsort(sorted, count, sizeof *sorted, compare_names);
	n = absent(s, part, sorted, count, list);
	/* Burying drops only older tombstones, none that is in the list. */
	for (size_t i = 0; i < n; i++) {
		struct held *h = list[i];

		h->removed_revision = ir_max_u64(h->removed_revision, revision);
		if (is_removed(h))
			bury(s, h);
	}
	talloc_free(list);
	/* Hosts may have come and gone unseen. */
	if (hosts && s->revision[1] > 0 && revision > s->revision[1])
		count_change(s, NULL);
}
