/* Lookups in a view. */
#include <stdlib.h>
#include <string.h>

#include "host/view.h"

/* The first member of each structure that is looked up is its key. */
static int
compare_name(const void *key, const void *row)
{
	return strcmp(key, *(const char *const *)row);
}

static const void *
find(const char *name, const void *rows, size_t count, size_t row_bytes)
{
	if (name == NULL || count == 0)
		return NULL;
	return bsearch(name, rows, count, row_bytes, compare_name);
}

_Static_assert(offsetof(struct ir_service, name) == 0, "name first");
_Static_assert(offsetof(struct ir_account, name) == 0, "name first");
_Static_assert(offsetof(struct ir_host, name) == 0, "name first");
_Static_assert(offsetof(struct ir_zone, name) == 0, "name first");
_Static_assert(offsetof(struct ir_account_key, digest) == 0, "digest first");

const struct ir_service *
ir_view_service(const struct ir_view *v, const char *name)
{
	return find(name, v->services, v->service_count, sizeof *v->services);
}

const struct ir_account *
ir_view_account(const struct ir_view *v, const char *name)
{
	return find(name, v->accounts, v->account_count, sizeof *v->accounts);
}

const struct ir_host *
ir_view_host(const struct ir_view *v, const char *name)
{
	return find(name, v->hosts, v->host_count, sizeof *v->hosts);
}

const struct ir_zone *
ir_view_zone(const struct ir_view *v, const char *name)
{
	return find(name, v->zones, v->zone_count, sizeof *v->zones);
}

bool
ir_view_zone_is_evacuated(const struct ir_view *v, const char *zone)
{
	return find(zone, v->evacuated_zones, v->evacuated_zone_count,
		   sizeof *v->evacuated_zones) != NULL;
}

const struct ir_account *
ir_view_account_by_key(const struct ir_view *v, const char *digest)
{
	const struct ir_account_key *k;

	k = find(digest, v->keys, v->key_count, sizeof *v->keys);
	return k == NULL ? NULL : k->account;
}

bool
ir_view_key_is_unusable(const struct ir_view *v, const char *digest)
{
	const struct ir_account_key *k;

	k = find(digest, v->keys, v->key_count, sizeof *v->keys);
	return k != NULL && k->account == NULL;
}

static bool
path_has_prefix(const char *path, const char *prefix)
{
	size_t n = strlen(prefix);

	if (strncmp(path, prefix, n) != 0)
		return false;
	if (n > 0 && prefix[n - 1] == '/')
		return true;
	return path[n] == '\0' || path[n] == '/' || path[n] == '?';
}

/* Index of the first fleet route whose host name is not below authority. */
static size_t
first_route(const struct ir_view *v, const char *authority)
{
	size_t low = 0, high = v->route_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(v->routes[middle].authority, authority) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const struct ir_route *
ir_view_route(const struct ir_view *v, const char *authority, const char *path)
{
	size_t i = first_route(v, authority);

	for (; i < v->route_count; i++) {
		const struct ir_route *r = &v->routes[i];

		if (strcmp(r->authority, authority) != 0)
			return NULL;
		if (path_has_prefix(path, r->path))
			return r;
	}
	return NULL;
}

const struct ir_route *
ir_service_route(
    const struct ir_service *s, const char *method, const char *path)
{
	for (size_t i = 0; i < s->route_count; i++) {
		const struct ir_route *r = &s->routes[i];

		if (strcmp(r->method, method) != 0)
			continue;
		if (path_has_prefix(path, r->path))
			return r;
	}
	return NULL;
}
