/* Changes between two texts of a section, and which of them are risky. */
#include <string.h>

#include "conf/collect.h"
#include "conf/publication.h"
#include "host/section.h"

#define MT_PER_TOKEN 1000.0

/* Context of a comparison: where to add changes, and their subject. */
struct diff {
	struct ir_collect_result *c;
	const char *section;
	const char *subject; /* "account a", "GET /x" or "" */
};

static void
add_change(const struct diff *d, bool risky, const char *what)
{
	ir_collect_add_change(d->c, d->section, risky, "%s%s%s", d->subject,
	    d->subject[0] == '\0' ? "" : ": ", what);
}

static void
diff_number(const struct diff *d, const char *field, double old, double new,
    bool risky_up, bool risky_down)
{
	char *what;

	if (old == new)
		return;
	what = talloc_asprintf(d->c, "%s %s from %.15g to %.15g", field,
	    new > old ? "raised" : "lowered", old, new);
	add_change(d, new > old ? risky_up : risky_down, what);
	talloc_free(what);
}

static void
diff_flag(const struct diff *d, const char *field, bool old, bool new,
    bool risky_true, bool risky_false)
{
	char *what;

	if (old == new)
		return;
	what = talloc_asprintf(d->c, "%s from %s to %s", field,
	    old ? "true" : "false", new ? "true" : "false");
	add_change(d, new ? risky_true : risky_false, what);
	talloc_free(what);
}

static void
diff_string(
    const struct diff *d, const char *field, const char *old, const char *new)
{
	char *what;

	if (strcmp(old, new) == 0)
		return;
	what = talloc_asprintf(d->c, "%s from %s to %s", field, old, new);
	add_change(d, true, what);
	talloc_free(what);
}

static bool
has_digest(const struct ir_account *a, const char *digest)
{
	for (size_t i = 0; i < a->key_digest_count; i++) {
		if (strcmp(a->key_digests[i], digest) == 0)
			return true;
	}
	return false;
}

/* Key digests of a that b lacks, named by their first 8 digits. */
static void
diff_keys(const struct diff *d, const struct ir_account *a,
    const struct ir_account *b, const char *what, bool risky)
{
	for (size_t i = 0; i < a->key_digest_count; i++) {
		char *text;

		if (has_digest(b, a->key_digests[i]))
			continue;
		text = talloc_asprintf(
		    d->c, "key %.8s %s", a->key_digests[i], what);
		add_change(d, risky, text);
		talloc_free(text);
	}
}

static void
diff_account(const struct diff *d, const struct ir_account *old,
    const struct ir_account *new)
{
	diff_number(d, "rate_per_s", (double)old->rate_mt_per_s / MT_PER_TOKEN,
	    (double)new->rate_mt_per_s / MT_PER_TOKEN, true, false);
	diff_number(d, "burst", (double)old->burst_mt / MT_PER_TOKEN,
	    (double)new->burst_mt / MT_PER_TOKEN, true, false);
	diff_number(d, "weight", old->weight, new->weight, false, false);
	diff_number(
	    d, "importance", old->importance, new->importance, false, true);
	diff_keys(d, old, new, "withdrawn", true);
	diff_keys(d, new, old, "added", false);
}

static void
diff_accounts(struct diff *d, const struct ir_account_list *old,
    const struct ir_account_list *new)
{
	size_t i = 0, j = 0;

	while (i < old->account_count || j < new->account_count) {
		const struct ir_account *a = &old->accounts[i];
		const struct ir_account *b = &new->accounts[j];
		int order = i == old->account_count ? 1
			    : j == new->account_count
				? -1
				: strcmp(a->name, b->name);

		d->subject = talloc_asprintf(
		    d->c, "account %s", order <= 0 ? a->name : b->name);
		if (order < 0)
			add_change(d, true, "removed");
		else if (order > 0)
			add_change(d, false, "added");
		else
			diff_account(d, a, b);
		i += order <= 0;
		j += order >= 0;
	}
}

static const struct ir_route *
find_route(const struct ir_service *s, const struct ir_route *like)
{
	for (size_t i = 0; i < s->route_count; i++) {
		const struct ir_route *r = &s->routes[i];

		if (strcmp(r->path, like->path) == 0 &&
		    strcmp(r->method, like->method) == 0)
			return r;
	}
	return NULL;
}

static void
diff_route(const struct diff *d, const struct ir_route *old,
    const struct ir_route *new)
{
	diff_flag(
	    d, "idempotent", old->idempotent, new->idempotent, true, false);
	diff_flag(d, "open", old->open, new->open, true, true);
	diff_number(
	    d, "importance", old->importance, new->importance, false, true);
	diff_number(
	    d, "deadline_ms", old->deadline_ms, new->deadline_ms, false, false);
	diff_number(d, "retries", old->retries, new->retries, true, false);
}

static void
diff_service(
    struct diff *d, const struct ir_service *old, const struct ir_service *new)
{
	diff_number(d, "slots", old->slots, new->slots, true, false);
	for (size_t i = 0; i < old->route_count; i++) {
		const struct ir_route *r = &old->routes[i];
		const struct ir_route *now = find_route(new, r);

		d->subject = talloc_asprintf(d->c, "%s %s", r->method, r->path);
		if (now == NULL)
			add_change(d, true, "removed");
		else
			diff_route(d, r, now);
	}
	for (size_t i = 0; i < new->route_count; i++) {
		const struct ir_route *r = &new->routes[i];

		d->subject = talloc_asprintf(d->c, "%s %s", r->method, r->path);
		if (find_route(old, r) == NULL)
			add_change(
			    d, r->open, r->open ? "added, open" : "added");
	}
}

static void
diff_fleet(const struct diff *d, const struct ir_fleet *old,
    const struct ir_fleet *new)
{
	diff_string(d, "store_region", old->store_region, new->store_region);
	diff_string(d, "unconfirmed_view",
	    old->serve_unconfirmed ? "serve" : "refuse",
	    new->serve_unconfirmed ? "serve" : "refuse");
	diff_number(d, "link_bytes_per_s", (double)old->link_bytes_per_s,
	    (double)new->link_bytes_per_s, true, false);
}

void
ir_collect_diff(struct ir_collect_result *c, const char *section,
    const char *old_text, const char *new_text)
{
	struct ir_json_reader in = {.mem = talloc_new(c)};
	struct diff d = {c, section, ""};
	size_t m = strlen(old_text), n = strlen(new_text);
	const void *old, *new;

	switch (ir_section_kind_of(section)) {
	case IR_SECTION_FLEET:
		old = ir_fleet_parse(&in, old_text, m);
		new = ir_fleet_parse(&in, new_text, n);
		if (in.error == NULL)
			diff_fleet(&d, old, new);
		break;
	case IR_SECTION_ACCOUNTS:
		old = ir_accounts_parse(&in, old_text, m);
		new = ir_accounts_parse(&in, new_text, n);
		if (in.error == NULL)
			diff_accounts(&d, old, new);
		break;
	default:
		old = ir_service_parse(&in, NULL, old_text, m);
		new = ir_service_parse(&in, NULL, new_text, n);
		if (in.error == NULL)
			diff_service(&d, old, new);
		break;
	}
	if (in.error != NULL)
		ir_collect_add_change(c, section, true,
		    "what is published cannot be read: %s", in.error);
	talloc_free(in.mem);
}
