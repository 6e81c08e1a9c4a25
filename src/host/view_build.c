/* Building of views. */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "host/view_build.h"

/* Sorts by address and port; hosts with equal ones, newest first. */
static int
compare_addresses(const void *a, const void *b)
{
	const struct ir_revised_host *x = a, *y = b;
	int c = strcmp(x->host->address, y->host->address);

	if (c != 0)
		return c;
	if (x->host->peer_port != y->host->peer_port)
		return x->host->peer_port < y->host->peer_port ? -1 : 1;
	if (x->revision != y->revision)
		return x->revision > y->revision ? -1 : 1;
	return strcmp(x->host->name, y->host->name);
}

/* For names, and for structures whose first member is their name. */
static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static int
compare_service_names(const void *a, const void *b)
{
	const struct ir_service *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

static int
compare_service_then_name(const void *a, const void *b)
{
	const struct ir_host *x = *(struct ir_host *const *)a;
	const struct ir_host *y = *(struct ir_host *const *)b;
	int c = strcmp(x->service, y->service);

	return c != 0 ? c : strcmp(x->name, y->name);
}

static int
compare_zone_then_hash(const void *a, const void *b)
{
	const struct ir_host *x = *(struct ir_host *const *)a;
	const struct ir_host *y = *(struct ir_host *const *)b;
	int c = strcmp(x->zone, y->zone);

	if (c != 0)
		return c;
	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return strcmp(x->name, y->name);
}

static bool
same_address(const struct ir_host *a, const struct ir_host *b)
{
	return a->peer_port == b->peer_port &&
	       strcmp(a->address, b->address) == 0;
}

static void
sort(void *rows, size_t count, size_t row_bytes,
    int (*compare)(const void *, const void *))
{
	if (count > 1)
		qsort(rows, count, row_bytes, compare);
}

static void
add_hosts(struct ir_view *v, struct ir_view_input *in)
{
	v->hosts = talloc_array(v, struct ir_host, in->host_count);
	sort(in->hosts, in->host_count, sizeof *in->hosts, compare_addresses);
	for (size_t i = 0; i < in->host_count; i++) {
		const struct ir_host *h = in->hosts[i].host;

		if (i > 0 && same_address(in->hosts[i - 1].host, h))
			continue;
		v->hosts[v->host_count++] = *h;
	}
	sort(v->hosts, v->host_count, sizeof *v->hosts, compare_names);
}

/* An array under v of pointers to all its hosts, sorted. */
static struct ir_host **
sorted_hosts(struct ir_view *v, int (*compare)(const void *, const void *))
{
	struct ir_host **list =
	    talloc_array(v, struct ir_host *, v->host_count);

	for (size_t i = 0; i < v->host_count; i++)
		list[i] = &v->hosts[i];
	sort(list, v->host_count, sizeof(void *), compare);
	return list;
}

static void
add_services(struct ir_view *v, struct ir_view_input *in)
{
	struct ir_host **list = sorted_hosts(v, compare_service_then_name);
	size_t k = 0;

	sort(in->services, in->service_count, sizeof(void *),
	    compare_service_names);
	v->services = talloc_array(v, struct ir_service, in->service_count);
	v->service_count = in->service_count;
	for (size_t i = 0; i < in->service_count; i++) {
		struct ir_service *s = &v->services[i];

		*s = *in->services[i];
		while (
		    k < v->host_count && strcmp(list[k]->service, s->name) < 0)
			k++;
		s->hosts = list + k;
		s->host_count = 0;
		while (k < v->host_count &&
		       strcmp(list[k]->service, s->name) == 0) {
			s->host_count++;
			k++;
		}
	}
}

static void
add_zones(struct ir_view *v)
{
	struct ir_host **list = sorted_hosts(v, compare_zone_then_hash);
	struct ir_zone *z = NULL;

	v->zones = talloc_array(v, struct ir_zone, v->host_count);
	for (size_t i = 0; i < v->host_count; i++) {
		if (z == NULL || strcmp(z->name, list[i]->zone) != 0) {
			z = &v->zones[v->zone_count++];
			z->name = list[i]->zone;
			z->region = list[i]->region;
			z->hosts = list + i;
			z->host_count = 0;
		}
		z->host_count++;
	}
}

/* Marks the hosts of the evacuated zones. */
static void
add_evacuations(struct ir_view *v, const struct ir_view_input *in)
{
	v->evacuated_zones = talloc_array(v, const char *, in->zone_count);
	for (size_t i = 0; i < in->zone_count; i++) {
		if (in->zones[i]->evacuated)
			v->evacuated_zones[v->evacuated_zone_count++] =
			    in->zones[i]->name;
	}
	sort(v->evacuated_zones, v->evacuated_zone_count, sizeof(char *),
	    compare_names);
	for (size_t i = 0; i < v->host_count; i++)
		v->hosts[i].evacuated =
		    ir_view_zone_is_evacuated(v, v->hosts[i].zone);
}

static uint64_t
hash_text(const char *text, uint64_t hash)
{
	return XXH64(text, strlen(text) + 1, hash);
}

static uint64_t
hash_regions(const char *const *regions, const char *name, const char *path,
    uint64_t hash)
{
	if (regions == NULL)
		return hash;
	hash = hash_text(path, hash_text(name, hash));
	for (; *regions != NULL; regions++)
		hash = hash_text(*regions, hash);
	return hash_text("", hash);
}

static void
add_regions_hash(struct ir_view *v)
{
	uint64_t hash = 0;

	for (size_t i = 0; i < v->route_count; i++)
		hash = hash_regions(v->routes[i].regions,
		    v->routes[i].authority, v->routes[i].path, hash);
	for (size_t i = 0; i < v->account_count; i++)
		hash = hash_regions(
		    v->accounts[i].regions, v->accounts[i].name, "", hash);
	v->regions_hash = hash;
}

#define MT_PER_TOKEN 1000.0

static void
apply_margin(struct ir_account *a, const struct ir_rate_margin *m)
{
	double rate = (double)a->rate_mt_per_s * (1 + m->fraction);
	double burst = (double)a->burst_mt * (1 + m->fraction);
	double window = m->window_s * (double)a->rate_mt_per_s;

	a->restart_mt =
	    (uint64_t)(m->restart_fraction * (window + (double)a->burst_mt) +
		       MT_PER_TOKEN * m->restart_tokens);
	a->rate_mt_per_s =
	    (uint64_t)(rate + MT_PER_TOKEN * m->extra_rate_per_s);
	a->burst_mt = (uint64_t)(burst + MT_PER_TOKEN * m->extra_burst_tokens);
}

static uint64_t
newest_accounts(const struct ir_view_input *in)
{
	uint64_t newest = 0;

	for (size_t i = 0; i < in->account_part_count; i++) {
		if (in->accounts[i]->generation > newest)
			newest = in->accounts[i]->generation;
	}
	return newest;
}

/* An account that is in several parts is the same in all. */
static void
drop_repeated_accounts(struct ir_view *v)
{
	size_t kept = 0;

	for (size_t i = 0; i < v->account_count; i++) {
		if (kept == 0 || strcmp(v->accounts[i].name,
				     v->accounts[kept - 1].name) != 0)
			v->accounts[kept++] = v->accounts[i];
	}
	v->account_count = kept;
}

static void
add_part_of_accounts(struct ir_view *v, const struct ir_account_list *l,
    const struct ir_rate_margin *m)
{
	v->accounts = talloc_realloc(v, v->accounts, struct ir_account,
	    v->account_count + l->account_count);
	for (size_t i = 0; i < l->account_count; i++) {
		struct ir_account *to = &v->accounts[v->account_count++];

		*to = l->accounts[i];
		apply_margin(to, m);
	}
}

static void
add_part_of_keys(struct ir_view *v, const struct ir_account_list *l)
{
	v->keys = talloc_realloc(
	    v, v->keys, struct ir_account_key, v->key_count + l->key_count);
	for (size_t i = 0; i < l->key_count; i++) {
		const struct ir_account_key *k = &l->keys[i];
		struct ir_account_key *to = &v->keys[v->key_count++];

		to->digest = k->digest;
		to->account = NULL;
		if (k->account != NULL)
			to->account = (struct ir_account *)ir_view_account(
			    v, k->account->name);
	}
}

static void
drop_repeated_keys(struct ir_view *v)
{
	size_t kept = 0;

	for (size_t i = 0; i < v->key_count; i++) {
		if (kept == 0 ||
		    strcmp(v->keys[i].digest, v->keys[kept - 1].digest) != 0)
			v->keys[kept++] = v->keys[i];
	}
	v->key_count = kept;
}

/* A list in one part is sorted, without repetitions. */
static void
add_accounts(struct ir_view *v, const struct ir_view_input *in)
{
	uint64_t newest = newest_accounts(in);

	for (size_t i = 0; i < in->account_part_count; i++) {
		if (in->accounts[i]->generation == newest)
			add_part_of_accounts(v, in->accounts[i], &in->margin);
	}
	if (in->account_part_count > 1) {
		sort(v->accounts, v->account_count, sizeof *v->accounts,
		    compare_names);
		drop_repeated_accounts(v);
	}
	for (size_t i = 0; i < in->account_part_count; i++) {
		if (in->accounts[i]->generation == newest)
			add_part_of_keys(v, in->accounts[i]);
	}
	if (in->account_part_count > 1) {
		sort(v->keys, v->key_count, sizeof *v->keys, ir_compare_keys);
		drop_repeated_keys(v);
	}
}

static size_t
drop_repeated_routes(struct ir_route *routes, size_t count)
{
	size_t kept = 0;

	for (size_t i = 0; i < count; i++) {
		if (kept == 0 ||
		    !ir_same_fleet_route(&routes[kept - 1], &routes[i]))
			routes[kept++] = routes[i];
	}
	return kept;
}

/* Routes of a part come after those of the parts before it. */
static size_t
copy_routes(struct ir_route *to, const struct ir_route_list *l, size_t part)
{
	for (size_t i = 0; i < l->route_count; i++) {
		to[i] = l->routes[i];
		to[i].position += (uint32_t)(part * IR_MAX_LIST);
	}
	return l->route_count;
}

static void
add_routes(struct ir_view *v, const struct ir_view_input *in)
{
	struct ir_route *routes;
	uint64_t newest = 0;
	size_t total = 0, count = 0;

	if (in->route_part_count == 1) {
		v->routes = in->routes[0]->routes;
		v->route_count = in->routes[0]->route_count;
		return;
	}
	for (size_t i = 0; i < in->route_part_count; i++) {
		total += in->routes[i]->route_count;
		if (in->routes[i]->generation > newest)
			newest = in->routes[i]->generation;
	}
	routes = talloc_array(v, struct ir_route, total);
	for (size_t i = 0; i < in->route_part_count; i++) {
		if (in->routes[i]->generation == newest)
			count += copy_routes(routes + count, in->routes[i], i);
	}
	sort(routes, count, sizeof *routes, ir_compare_fleet_routes);
	v->routes = routes;
	v->route_count = drop_repeated_routes(routes, count);
}

struct ir_view *
ir_view_build(TALLOC_CTX *mem, struct ir_view_input *in)
{
	struct ir_view *v = talloc_zero(mem, struct ir_view);

	v->config_revision = in->config_revision;
	v->list_revision = in->list_revision;
	v->store_region = "";
	if (in->fleet != NULL) {
		v->store_region = in->fleet->store_region;
		v->store_anywhere = in->fleet->store_anywhere;
		v->link_bytes_per_s = in->fleet->link_bytes_per_s;
		v->serve_unconfirmed = in->fleet->serve_unconfirmed;
	}
	add_accounts(v, in);
	add_routes(v, in);
	add_hosts(v, in);
	add_evacuations(v, in);
	add_services(v, in);
	add_zones(v);
	add_regions_hash(v);
	return v;
}
