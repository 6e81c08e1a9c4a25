/* Sections: differences to send to peers, and the view. */
#include <string.h>

#include "host/section_internal.h"
#include "host/view_build.h"

void
ir_sections_raise_revisions(
    struct ir_sections *s, uint64_t config_revision, uint64_t list_revision)
{
	if (config_revision <= s->revision[GROUP_CONFIG] &&
	    list_revision <= s->revision[GROUP_HOSTS])
		return;
	s->revision[GROUP_CONFIG] =
	    ir_max_u64(s->revision[GROUP_CONFIG], config_revision);
	s->revision[GROUP_HOSTS] =
	    ir_max_u64(s->revision[GROUP_HOSTS], list_revision);
	s->view_outdated = true;
}

uint64_t
ir_sections_config_revision(const struct ir_sections *s)
{
	return s->revision[GROUP_CONFIG];
}

uint64_t
ir_sections_list_revision(const struct ir_sections *s)
{
	return s->revision[GROUP_HOSTS];
}

static struct ir_section
section_of(const struct section_entry *e)
{
	static char removed[] = "";
	struct ir_section out = {(char *)e->name, 0, 0, removed};
	uint64_t generation =
	    ir_section_is_of_host_list(e->kind) ? 0 : e->version;

	if (e->text != NULL) {
		out.revision = e->revision;
		out.generation = generation;
		out.text = e->text;
	} else {
		out.revision = e->removed_revision;
		out.generation = ir_max_u64(generation, e->removed_generation);
	}
	return out;
}

size_t
ir_sections_since(const struct ir_sections *s, TALLOC_CTX *mem,
    uint64_t config_revision, uint64_t list_revision, struct ir_section **out,
    bool *full)
{
	const uint64_t since[GROUP_COUNT] = {config_revision, list_revision};
	struct section_entry *e, *next;
	size_t n = 0;

	*out = talloc_array(mem, struct ir_section, HASH_COUNT(s->entries));
	*full =
	    config_revision < s->tombstones[GROUP_CONFIG].evicted_revision ||
	    list_revision < s->tombstones[GROUP_HOSTS].evicted_revision;
	HASH_ITER (hh, s->entries, e, next) {
		(*out)[n] = section_of(e);
		if ((*out)[n].revision > since[ir_section_group_of(e->kind)])
			n++;
	}
	if (!*full && n <= IR_MAX_SECTIONS)
		return n;
	*full = true;
	n = 0;
	HASH_ITER (hh, s->entries, e, next) {
		if (e->text != NULL)
			(*out)[n++] = section_of(e);
	}
	return n;
}

static void
add_to_input(struct ir_view_input *in, const struct section_entry *e)
{
	if (e->parsed == NULL)
		return;
	switch (e->kind) {
	case IR_SECTION_FLEET:
		in->fleet = e->parsed;
		break;
	case IR_SECTION_ACCOUNTS:
		in->accounts[in->account_part_count++] = e->parsed;
		break;
	case IR_SECTION_ROUTES:
		in->routes[in->route_part_count++] = e->parsed;
		break;
	case IR_SECTION_SERVICE:
		in->services[in->service_count++] = e->parsed;
		break;
	case IR_SECTION_ZONE:
		in->zones[in->zone_count++] = e->parsed;
		break;
	default:
		in->hosts[in->host_count].host = e->parsed;
		in->hosts[in->host_count++].revision = e->revision;
		break;
	}
}

static struct ir_view *
build_view(struct ir_sections *s)
{
	size_t n = HASH_COUNT(s->entries);
	TALLOC_CTX *mem = talloc_new(s);
	struct ir_view_input in = {0};
	struct section_entry *e, *next;
	struct ir_view *v;

	in.margin = s->margin;
	in.config_revision = s->revision[GROUP_CONFIG];
	in.list_revision = s->revision[GROUP_HOSTS];
	in.accounts = talloc_array(mem, const struct ir_account_list *, n);
	in.routes = talloc_array(mem, const struct ir_route_list *, n);
	in.services = talloc_array(mem, const struct ir_service *, n);
	in.hosts = talloc_array(mem, struct ir_revised_host, n);
	in.zones = talloc_array(mem, const struct ir_zone_state *, n);
	HASH_ITER (hh, s->entries, e, next) {
		add_to_input(&in, e);
	}
	v = ir_view_build(s, &in);
	talloc_free(mem);
	return v;
}

const struct ir_view *
ir_sections_view(struct ir_sections *s)
{
	struct ir_view *v;

	if (!s->view_outdated)
		return s->view;
	v = build_view(s);
	talloc_free(s->previous_view);
	s->previous_view = s->view;
	s->view = v;
	s->view_outdated = false;
	return v;
}

uint64_t
ir_sections_host_changes(const struct ir_sections *s, const char *service)
{
	struct host_change_count *c;

	HASH_FIND_STR(s->change_counts, service, c);
	return s->changes_of_all + (c == NULL ? 0 : c->count);
}
