/* Sections: differences for peers, and the view. */
#include <string.h>

#include "host/compile.h"
#include "host/held.h"

void
ir_sections_reach(
    struct ir_sections *s, uint64_t config_revision, uint64_t list_revision)
{
	if (config_revision <= s->revision[0] &&
	    list_revision <= s->revision[1])
		return;
	s->revision[0] = ir_max_u64(s->revision[0], config_revision);
	s->revision[1] = ir_max_u64(s->revision[1], list_revision);
	s->changed = true;
}

uint64_t
ir_sections_config_revision(const struct ir_sections *s)
{
	return s->revision[0];
}

uint64_t
ir_sections_list_revision(const struct ir_sections *s)
{
	return s->revision[1];
}

static struct ir_section
section_of(const struct held *h)
{
	static char removed[] = "";
	struct ir_section out = {(char *)h->name, 0, 0, removed};
	uint64_t generation = h->kind == IR_SECTION_HOST ? 0 : h->rank;

	if (h->text != NULL) {
		out.revision = h->revision;
		out.generation = generation;
		out.text = h->text;
	} else {
		out.revision = h->removed_revision;
		out.generation = ir_max_u64(generation, h->removed_generation);
	}
	return out;
}

size_t
ir_sections_since(const struct ir_sections *s, TALLOC_CTX *mem,
    uint64_t config_revision, uint64_t list_revision, struct ir_section **out,
    bool *full)
{
	const uint64_t since[2] = {config_revision, list_revision};
	struct held *h, *next;
	size_t n = 0;

	*out = talloc_array(mem, struct ir_section, HASH_COUNT(s->held));
	*full = config_revision < s->tombstones[0].dropped_revision ||
		list_revision < s->tombstones[1].dropped_revision;
	HASH_ITER (hh, s->held, h, next) {
		(*out)[n] = section_of(h);
		if ((*out)[n].revision > since[ir_part_of(h->kind)])
			n++;
	}
	if (!*full && n <= IR_MAX_SECTIONS)
		return n;
	*full = true;
	n = 0;
	HASH_ITER (hh, s->held, h, next) {
		if (h->text != NULL)
			(*out)[n++] = section_of(h);
	}
	return n;
}

static void
add_part(struct ir_view_parts *p, const struct held *h)
{
	if (h->parsed == NULL)
		return;
	switch (h->kind) {
	case IR_SECTION_FLEET:
		p->fleet = h->parsed;
		break;
	case IR_SECTION_ACCOUNTS:
		p->accounts = h->parsed;
		break;
	case IR_SECTION_ROUTES:
		p->routes = h->parsed;
		break;
	case IR_SECTION_SERVICE:
		p->services[p->service_count++] = h->parsed;
		break;
	default:
		p->hosts[p->host_count].host = h->parsed;
		p->hosts[p->host_count++].revision = h->revision;
		break;
	}
}

static struct ir_view *
build(struct ir_sections *s)
{
	size_t n = HASH_COUNT(s->held);
	TALLOC_CTX *mem = talloc_new(s);
	struct ir_view_parts p = {0};
	struct held *h, *next;
	struct ir_view *v;

	p.margin = s->margin;
	p.config_revision = s->revision[0];
	p.list_revision = s->revision[1];
	p.services = talloc_array(mem, const struct ir_service *, n);
	p.hosts = talloc_array(mem, struct ir_host_part, n);
	HASH_ITER (hh, s->held, h, next) {
		add_part(&p, h);
	}
	v = ir_view_compile(s, &p);
	talloc_free(mem);
	return v;
}

const struct ir_view *
ir_sections_view(struct ir_sections *s)
{
	struct ir_view *v;

	if (!s->changed)
		return s->view;
	v = build(s);
	talloc_free(s->previous);
	s->previous = s->view;
	s->view = v;
	s->changed = false;
	return v;
}

uint64_t
ir_sections_host_changes(const struct ir_sections *s, const char *service)
{
	struct host_changes *c;

	HASH_FIND_STR(s->changes, service, c);
	return s->changes_of_all + (c == NULL ? 0 : c->count);
}
