/* Building of views. */
#include <stdlib.h>
#include <string.h>

#include "host/compile.h"

/* Equal addresses together, the newest first. */
static int
compare_address(const void *a, const void *b)
{
	const struct ir_host_part *x = a, *y = b;
	int c = strcmp(x->host->address, y->host->address);

	if (c != 0)
		return c;
	if (x->host->peer_port != y->host->peer_port)
		return x->host->peer_port < y->host->peer_port ? -1 : 1;
	if (x->revision != y->revision)
		return x->revision > y->revision ? -1 : 1;
	return strcmp(x->host->name, y->host->name);
}

/* Rows that start with their name. */
static int
compare_name(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static int
compare_service(const void *a, const void *b)
{
	const struct ir_service *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

static int
compare_by_service(const void *a, const void *b)
{
	const struct ir_host *x = *(struct ir_host *const *)a;
	const struct ir_host *y = *(struct ir_host *const *)b;
	int c = strcmp(x->service, y->service);

	return c != 0 ? c : strcmp(x->name, y->name);
}

static int
compare_by_zone(const void *a, const void *b)
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
add_hosts(struct ir_view *v, struct ir_view_parts *p)
{
	v->hosts = talloc_array(v, struct ir_host, p->host_count);
	sort(p->hosts, p->host_count, sizeof *p->hosts, compare_address);
	for (size_t i = 0; i < p->host_count; i++) {
		const struct ir_host *h = p->hosts[i].host;

		if (i > 0 && same_address(p->hosts[i - 1].host, h))
			continue;
		v->hosts[v->host_count++] = *h;
	}
	sort(v->hosts, v->host_count, sizeof *v->hosts, compare_name);
}

static struct ir_host **
host_pointers(struct ir_view *v, int (*compare)(const void *, const void *))
{
	struct ir_host **list =
	    talloc_array(v, struct ir_host *, v->host_count);

	for (size_t i = 0; i < v->host_count; i++)
		list[i] = &v->hosts[i];
	sort(list, v->host_count, sizeof(void *), compare);
	return list;
}

static void
add_services(struct ir_view *v, struct ir_view_parts *p)
{
	struct ir_host **list = host_pointers(v, compare_by_service);
	size_t at = 0;

	sort(p->services, p->service_count, sizeof(void *), compare_service);
	v->services = talloc_array(v, struct ir_service, p->service_count);
	v->service_count = p->service_count;
	for (size_t i = 0; i < p->service_count; i++) {
		struct ir_service *s = &v->services[i];

		*s = *p->services[i];
		while (at < v->host_count &&
		       strcmp(list[at]->service, s->name) < 0)
			at++;
		s->hosts = list + at;
		s->host_count = 0;
		while (at < v->host_count &&
		       strcmp(list[at]->service, s->name) == 0) {
			s->host_count++;
			at++;
		}
	}
}

static void
add_zones(struct ir_view *v)
{
	struct ir_host **list = host_pointers(v, compare_by_zone);
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

#define MT_PER_TOKEN 1000.0

static void
add_margin(struct ir_account *a, const struct ir_rate_margin *m)
{
	double rate = (double)a->rate_mt_per_s * (1 + m->share);
	double burst = (double)a->burst_mt * (1 + m->share);

	a->rate_mt_per_s = (uint64_t)(rate + MT_PER_TOKEN * m->rate_per_s);
	a->burst_mt = (uint64_t)(burst + MT_PER_TOKEN * m->burst_tokens);
}

static void
add_accounts(struct ir_view *v, const struct ir_account_list *l,
    const struct ir_rate_margin *m)
{
	v->account_count = l->account_count;
	v->accounts = talloc_array(v, struct ir_account, l->account_count);
	for (size_t i = 0; i < l->account_count; i++) {
		v->accounts[i] = l->accounts[i];
		add_margin(&v->accounts[i], m);
	}
	v->key_count = l->key_count;
	v->keys = talloc_array(v, struct ir_key, l->key_count);
	for (size_t i = 0; i < l->key_count; i++) {
		v->keys[i].digest = l->keys[i].digest;
		v->keys[i].account =
		    &v->accounts[l->keys[i].account - l->accounts];
	}
}

struct ir_view *
ir_view_compile(TALLOC_CTX *mem, struct ir_view_parts *p)
{
	struct ir_view *v = talloc_zero(mem, struct ir_view);

	v->config_revision = p->config_revision;
	v->list_revision = p->list_revision;
	v->store_region = "";
	if (p->fleet != NULL) {
		v->store_region = p->fleet->store_region;
		v->store_anywhere = p->fleet->store_anywhere;
		v->link_bytes_per_s = p->fleet->link_bytes_per_s;
		v->serve_unconfirmed = p->fleet->serve_unconfirmed;
	}
	if (p->accounts != NULL)
		add_accounts(v, p->accounts, &p->margin);
	if (p->routes != NULL) {
		v->routes = p->routes->routes;
		v->route_count = p->routes->route_count;
	}
	add_hosts(v, p);
	add_services(v, p);
	add_zones(v);
	return v;
}
