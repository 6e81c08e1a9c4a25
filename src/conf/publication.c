/* Parsers of the published sections. */
#include <arpa/inet.h>
#include <json.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "conf/label.h"
#include "conf/publication.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

#define DELETE 0x7f
#define MT_PER_TOKEN 1000
#define MAX_METHOD_BYTES 16

static const char *
element_path(TALLOC_CTX *mem, const char *list, size_t i)
{
	return talloc_asprintf(mem, "%s[%zu]", list, i);
}

static const char *
member_path(TALLOC_CTX *mem, const char *path, const char *key)
{
	return talloc_asprintf(mem, "%s.%s", path, key);
}

static uint64_t
read_generation(struct ir_json_reader *in, struct json_object *top)
{
	return (uint64_t)ir_json_int(
	    in, top, "", "generation", 1, IR_MAX_GENERATION);
}

/* A required member that is one of two strings: true for if_true. */
static bool
read_binary_choice(struct ir_json_reader *in, struct json_object *top,
    const char *key, const char *if_false, const char *if_true)
{
	const char *s = ir_json_string(in, top, "", key, 1, IR_LABEL_MAX_BYTES);

	if (strcmp(s, if_true) == 0)
		return true;
	if (strcmp(s, if_false) != 0)
		ir_json_error(
		    in, key, "must be \"%s\" or \"%s\"", if_false, if_true);
	return false;
}

/* Releases the document; returns parsed, or frees it and returns NULL. */
static void *
finish_parse(struct ir_json_reader *in, struct json_object *top, void *parsed)
{
	json_object_put(top);
	if (in->error == NULL)
		return parsed;
	talloc_free(parsed);
	return NULL;
}

struct ir_fleet *
ir_fleet_parse(struct ir_json_reader *in, const char *text, size_t size_bytes)
{
	static const char *const known_keys[] = {"generation", "store_region",
	    "link_bytes_per_s", "unconfirmed_view", "store_anywhere", NULL};
	struct ir_fleet *f = talloc_zero(in->mem, struct ir_fleet);
	struct json_object *top = ir_json_parse(in, text, size_bytes);

	ir_json_check_keys(in, top, "", known_keys);
	f->generation = read_generation(in, top);
	f->store_region = ir_json_label(in, top, "", "store_region");
	if (ir_json_has(top, "store_anywhere"))
		f->store_anywhere = ir_json_bool(in, top, "", "store_anywhere");
	f->link_bytes_per_s = (uint64_t)ir_json_int(
	    in, top, "", "link_bytes_per_s", 1, INT64_C(1000000000000));
	f->serve_unconfirmed =
	    read_binary_choice(in, top, "unconfirmed_view", "refuse", "serve");
	return finish_parse(in, top, f);
}

static bool
is_digest(const char *s)
{
	return strlen(s) == IR_KEY_DIGEST_HEX &&
	       strspn(s, "0123456789abcdef") == IR_KEY_DIGEST_HEX;
}

/* Digests in an account that is invalid otherwise belong to that account. */
static void
read_digests(struct ir_json_reader *in, struct json_object *obj,
    const char *path, struct ir_account *a)
{
	struct json_object *list =
	    ir_json_array(in, obj, path, "key_digests", IR_MAX_LIST);
	size_t n = list == NULL ? 0 : json_object_array_length(list);

	a->key_digests = talloc_array(in->mem, const char *, n);
	for (size_t i = 0; i < n; i++) {
		struct json_object *v = json_object_array_get_idx(list, i);
		const char *s = "";

		if (json_object_is_type(v, json_type_string))
			s = json_object_get_string(v);
		if (!is_digest(s))
			ir_json_error(in,
			    element_path(in->mem,
				member_path(in->mem, path, "key_digests"), i),
			    "must be %d lower-case hexadecimal digits",
			    IR_KEY_DIGEST_HEX);
		if (ir_json_end_entry(in, NULL))
			a->key_digests[a->key_digest_count++] =
			    talloc_strdup(a->key_digests, s);
	}
}

/*
 * An optional list of region names, as an array that ends with NULL. Returns
 * NULL if it is absent or empty.
 */
static const char *const *
read_regions(
    struct ir_json_reader *in, struct json_object *obj, const char *path)
{
	struct json_object *list = NULL;
	const char **regions;
	size_t n;

	if (ir_json_has(obj, "regions"))
		list = ir_json_array(
		    in, obj, path, "regions", IR_MAX_ALLOWED_REGIONS);
	n = list == NULL ? 0 : json_object_array_length(list);
	if (n == 0)
		return NULL;
	regions = talloc_zero_array(in->mem, const char *, n + 1);
	for (size_t i = 0; i < n; i++) {
		struct json_object *v = json_object_array_get_idx(list, i);
		const char *s = "";

		/* One that no zone has is valid, and matches no host. */
		if (json_object_is_type(v, json_type_string))
			s = json_object_get_string(v);
		else
			ir_json_error(in,
			    element_path(in->mem,
				member_path(in->mem, path, "regions"), i),
			    "must be the name of a region");
		regions[i] = talloc_strdup(regions, s);
	}
	return regions;
}

static void
read_account(struct ir_json_reader *in, struct json_object *obj,
    const char *path, struct ir_account *a)
{
	static const char *const known_keys[] = {"name", "rate_per_s", "burst",
	    "weight", "importance", "key_digests", "regions", NULL};
	double rate = 1, burst = 1;

	if (!json_object_is_type(obj, json_type_object)) {
		ir_json_error(in, path, "must be an object");
		return;
	}
	read_digests(in, obj, path, a);
	ir_json_check_keys(in, obj, path, known_keys);
	a->name = ir_json_name(in, obj, path, "name");
	a->unlimited = !ir_json_has(obj, "rate_per_s");
	if (!a->unlimited) {
		rate = ir_json_number(in, obj, path, "rate_per_s",
		    IR_MIN_RATE_PER_S, IR_MAX_RATE_PER_S);
		burst = ir_json_number(
		    in, obj, path, "burst", 1, IR_MAX_RATE_PER_S);
	}
	a->importance = IR_DEFAULT_ACCOUNT_IMPORTANCE;
	if (ir_json_has(obj, "importance"))
		a->importance = (uint8_t)ir_json_int(
		    in, obj, path, "importance", 0, IR_MAX_IMPORTANCE);
	a->rate_mt_per_s = (uint64_t)llround(rate * MT_PER_TOKEN);
	a->burst_mt = (uint64_t)llround(burst * MT_PER_TOKEN);
	a->weight = (uint32_t)ir_json_int(in, obj, path, "weight", 1, 1000);
	a->regions = read_regions(in, obj, path);
}

/* Compares structs whose first member is their name or digest. */
static int
compare_by_first_string(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

int
ir_compare_keys(const void *a, const void *b)
{
	const struct ir_account_key *x = a, *y = b;
	int c = strcmp(x->digest, y->digest);

	if (c != 0 || x->account == y->account)
		return c;
	if (x->account == NULL || y->account == NULL)
		return x->account == NULL ? 1 : -1;
	return strcmp(x->account->name, y->account->name);
}

static void
add_keys(struct ir_account_list *l, const struct ir_account *a,
    struct ir_account *account)
{
	l->keys = talloc_realloc(l, l->keys, struct ir_account_key,
	    l->key_count + a->key_digest_count);
	for (size_t i = 0; i < a->key_digest_count; i++) {
		l->keys[l->key_count].digest = a->key_digests[i];
		l->keys[l->key_count++].account = account;
	}
}

/* Drops all accounts of a name but one; their keys stay, without account. */
static void
check_names(struct ir_json_reader *in, struct ir_account_list *l)
{
	size_t kept = 0;

	for (size_t i = 0; i < l->account_count; i++) {
		const struct ir_account *a = &l->accounts[i];

		if (kept > 0 &&
		    strcmp(a->name, l->accounts[kept - 1].name) == 0)
			ir_json_error(
			    in, "accounts", "two accounts named %s", a->name);
		if (ir_json_end_entry(in, NULL))
			l->accounts[kept++] = *a;
		else
			add_keys(l, a, NULL);
	}
	l->account_count = kept;
}

static void
key_error(struct ir_json_reader *in, const struct ir_account_key *k)
{
	const struct ir_account *a = k[0].account, *b = k[1].account;

	if (a == NULL || b == NULL)
		return;
	if (a == b)
		ir_json_error(in, "accounts",
		    "account %s has a key digest twice", a->name);
	else
		ir_json_error(in, "accounts",
		    "accounts %s and %s have the same key digest", a->name,
		    b->name);
}

/* Drops all entries of a key but the first; the keys are sorted. */
static void
check_keys(struct ir_json_reader *in, struct ir_account_list *l)
{
	size_t kept = 0;

	for (size_t i = 0; i < l->key_count; i++) {
		bool repeated = kept > 0 && strcmp(l->keys[i].digest,
						l->keys[kept - 1].digest) == 0;

		if (repeated)
			key_error(in, &l->keys[i - 1]);
		(void)ir_json_end_entry(in, NULL);
		if (!repeated)
			l->keys[kept++] = l->keys[i];
	}
	l->key_count = kept;
}

/* Sets the list to the valid accounts, and to the keys of all. */
static void
read_accounts(struct ir_json_reader *in, struct json_object *top,
    struct ir_account_list *l)
{
	struct json_object *list =
	    ir_json_array(in, top, "", "accounts", IR_MAX_LIST);
	size_t n = list == NULL ? 0 : json_object_array_length(list);

	l->accounts = talloc_zero_array(l, struct ir_account, n);
	for (size_t i = 0; i < n && in->error == NULL; i++) {
		struct ir_account a = {0};

		read_account(in, json_object_array_get_idx(list, i),
		    element_path(in->mem, "accounts", i), &a);
		if (ir_json_end_entry(in, a.name))
			l->accounts[l->account_count++] = a;
		else
			add_keys(l, &a, NULL);
	}
	if (in->error != NULL || n == 0)
		return;
	if (l->account_count > 1)
		qsort(l->accounts, l->account_count, sizeof *l->accounts,
		    compare_by_first_string);
	check_names(in, l);
	for (size_t i = 0; i < l->account_count; i++)
		add_keys(l, &l->accounts[i], &l->accounts[i]);
	if (l->key_count > 1)
		qsort(l->keys, l->key_count, sizeof *l->keys, ir_compare_keys);
	check_keys(in, l);
}

/* The number of sections that the list is divided into. */
static void
check_parts(struct ir_json_reader *in, struct json_object *top)
{
	if (ir_json_has(top, "parts"))
		(void)ir_json_int(in, top, "", "parts", 1, IR_MAX_PARTS);
}

struct ir_account_list *
ir_accounts_parse(
    struct ir_json_reader *in, const char *text, size_t size_bytes)
{
	static const char *const known_keys[] = {
	    "generation", "accounts", "parts", NULL};
	struct ir_account_list *l =
	    talloc_zero(in->mem, struct ir_account_list);
	struct json_object *top = ir_json_parse(in, text, size_bytes);

	ir_json_check_keys(in, top, "", known_keys);
	l->generation = read_generation(in, top);
	check_parts(in, top);
	read_accounts(in, top, l);
	return finish_parse(in, top, l);
}

static const char *
read_method(
    struct ir_json_reader *in, struct json_object *obj, const char *path)
{
	const char *s =
	    ir_json_string(in, obj, path, "method", 1, MAX_METHOD_BYTES);

	if (in->error == NULL &&
	    s[strspn(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")] != '\0')
		ir_json_error(in, member_path(in->mem, path, "method"),
		    "must consist of A to Z");
	return s;
}

static bool
is_route_path(const char *s)
{
	size_t n = strlen(s);

	if (s[0] != '/' || (n > 1 && s[n - 1] == '/'))
		return false;
	for (size_t i = 0; i < n; i++) {
		if (s[i] <= ' ' || s[i] > '~' || s[i] == '?' || s[i] == '#')
			return false;
	}
	return strstr(s, "//") == NULL;
}

static void
read_route(struct ir_json_reader *in, struct json_object *obj, const char *path,
    struct ir_route *r)
{
	static const char *const known_keys[] = {"method", "path", "importance",
	    "deadline_ms", "idempotent", "open", "retries", NULL};

	if (!json_object_is_type(obj, json_type_object)) {
		ir_json_error(in, path, "must be an object");
		return;
	}
	ir_json_check_keys(in, obj, path, known_keys);
	r->method = read_method(in, obj, path);
	r->path =
	    ir_json_string(in, obj, path, "path", 1, IR_MAX_ROUTE_PATH_BYTES);
	if (in->error == NULL && !is_route_path(r->path))
		ir_json_error(in, member_path(in->mem, path, "path"),
		    "must be a path from '/', without query, empty "
		    "components or a '/' at its end");
	r->importance = (uint8_t)ir_json_int(
	    in, obj, path, "importance", 0, IR_MAX_IMPORTANCE);
	r->deadline_ms = (uint32_t)ir_json_int(
	    in, obj, path, "deadline_ms", 1, IR_MAX_DEADLINE_MS);
	r->idempotent = ir_json_bool(in, obj, path, "idempotent");
	r->open = ir_json_bool(in, obj, path, "open");
	r->retries = (uint8_t)ir_json_int(in, obj, path, "retries", 0, 10);
}

/* Longest path first. */
static int
compare_route(const void *a, const void *b)
{
	const struct ir_route *x = a, *y = b;
	size_t m = strlen(x->path), n = strlen(y->path);
	int c;

	if (m != n)
		return m > n ? -1 : 1;
	c = strcmp(x->path, y->path);
	return c != 0 ? c : strcmp(x->method, y->method);
}

static void
read_routes(
    struct ir_json_reader *in, struct json_object *top, struct ir_service *s)
{
	struct json_object *list =
	    ir_json_array(in, top, "", "routes", IR_MAX_ROUTES);
	size_t n = list == NULL ? 0 : json_object_array_length(list);

	s->routes = talloc_zero_array(s, struct ir_route, n);
	s->route_count = n;
	for (size_t i = 0; i < n && in->error == NULL; i++)
		read_route(in, json_object_array_get_idx(list, i),
		    element_path(in->mem, "routes", i), &s->routes[i]);
	if (in->error != NULL || n == 0)
		return;
	qsort(s->routes, n, sizeof *s->routes, compare_route);
	for (size_t i = 1; i < n; i++) {
		const struct ir_route *r = &s->routes[i];

		if (compare_route(r - 1, r) == 0)
			ir_json_error(in, "routes", "two routes for %s %s",
			    r->method, r->path);
	}
}

static void
read_route_service(struct ir_json_reader *in, struct json_object *obj,
    const char *path, struct ir_route_service *s)
{
	static const char *const known_keys[] = {"service", "weight", NULL};

	if (!json_object_is_type(obj, json_type_object)) {
		ir_json_error(in, path, "must be an object");
		return;
	}
	ir_json_check_keys(in, obj, path, known_keys);
	s->service = ir_json_name(in, obj, path, "service");
	s->weight =
	    (uint32_t)ir_json_int(in, obj, path, "weight", 0, IR_MAX_WEIGHT);
}

static void
read_route_services(struct ir_json_reader *in, struct json_object *obj,
    const char *path, struct ir_route *r)
{
	struct json_object *list =
	    ir_json_array(in, obj, path, "parts", IR_MAX_LIST);
	size_t n = list == NULL ? 0 : json_object_array_length(list);
	struct ir_route_service *services =
	    talloc_zero_array(in->mem, struct ir_route_service, n + 1);
	uint64_t sum = 0;

	for (size_t i = 0; i < n && in->error == NULL; i++) {
		read_route_service(in, json_object_array_get_idx(list, i),
		    element_path(
			in->mem, member_path(in->mem, path, "parts"), i),
		    &services[i]);
		sum += services[i].weight;
	}
	if (sum == 0)
		ir_json_error(in, member_path(in->mem, path, "parts"),
		    "must have a weight above 0");
	r->services = services;
	r->service_count = n;
}

/* Whether a path may be that of a fleet route: a prefix that ends in '/'. */
static bool
is_path_prefix(const char *s)
{
	size_t n = strlen(s);

	if (n == 0 || s[0] != '/' || s[n - 1] != '/')
		return false;
	return strpbrk(s, " ?#") == NULL;
}

/* What selects the route: false if that is invalid. */
static bool
read_selector(struct ir_json_reader *in, struct json_object *obj,
    const char *path, struct ir_route *r)
{
	if (!json_object_is_type(obj, json_type_object)) {
		ir_json_error(in, path, "must be an object");
		return false;
	}
	r->authority =
	    ir_json_string(in, obj, path, "authority", 1, IR_MAX_AUTHORITY);
	r->path = ir_json_string(in, obj, path, "path", 1, IR_MAX_PATH);
	if (in->error == NULL && !is_path_prefix(r->path))
		ir_json_error(in, member_path(in->mem, path, "path"),
		    "must begin and end with '/'");
	return in->error == NULL;
}

static void
read_fleet_route(struct ir_json_reader *in, struct json_object *obj,
    const char *path, struct ir_route *r)
{
	static const char *const known_keys[] = {"authority", "path",
	    "importance", "deadline_ms", "target_ms", "idempotent", "open",
	    "retries", "parts", "regions", NULL};

	ir_json_check_keys(in, obj, path, known_keys);
	r->importance = (uint8_t)ir_json_int(
	    in, obj, path, "importance", 0, IR_MAX_IMPORTANCE);
	r->deadline_ms = (uint32_t)ir_json_int(
	    in, obj, path, "deadline_ms", 1, IR_MAX_ROUTE_DEADLINE_MS);
	r->target_ms = (uint32_t)ir_json_int(
	    in, obj, path, "target_ms", 0, IR_MAX_ROUTE_DEADLINE_MS);
	r->idempotent = ir_json_bool(in, obj, path, "idempotent");
	r->open = ir_json_bool(in, obj, path, "open");
	r->retries = (uint8_t)ir_json_int(
	    in, obj, path, "retries", 0, IR_MAX_ROUTE_RETRIES);
	read_route_services(in, obj, path, r);
	r->regions = read_regions(in, obj, path);
}

int
ir_compare_fleet_routes(const void *a, const void *b)
{
	const struct ir_route *x = a, *y = b;
	int c = strcmp(x->authority, y->authority);
	size_t m = strlen(x->path), n = strlen(y->path);

	if (c != 0)
		return c;
	if (m != n)
		return m > n ? -1 : 1;
	c = strcmp(x->path, y->path);
	if (c != 0)
		return c;
	return x->position < y->position ? -1 : 1;
}

bool
ir_same_fleet_route(const struct ir_route *a, const struct ir_route *b)
{
	return strcmp(a->authority, b->authority) == 0 &&
	       strcmp(a->path, b->path) == 0;
}

/* Drops all routes for a host name and path but the first; they are sorted. */
static void
check_fleet_routes(struct ir_json_reader *in, struct ir_route_list *l)
{
	size_t kept = 0;

	for (size_t i = 0; i < l->route_count; i++) {
		const struct ir_route *r = &l->routes[i];

		if (kept > 0 && ir_same_fleet_route(&l->routes[kept - 1], r))
			ir_json_error(in, "routes", "two routes for %s%s",
			    r->authority, r->path);
		if (ir_json_end_entry(in, NULL))
			l->routes[kept++] = *r;
	}
	l->route_count = kept;
}

static void
read_fleet_routes(
    struct ir_json_reader *in, struct json_object *top, struct ir_route_list *l)
{
	struct json_object *list =
	    ir_json_array(in, top, "", "routes", IR_MAX_LIST);
	size_t n = list == NULL ? 0 : json_object_array_length(list);

	l->routes = talloc_zero_array(l, struct ir_route, n);
	for (size_t i = 0; i < n && in->error == NULL; i++) {
		struct json_object *obj = json_object_array_get_idx(list, i);
		const char *path = element_path(in->mem, "routes", i);
		struct ir_route r = {.position = (uint32_t)i};
		bool selects = read_selector(in, obj, path, &r);

		if (selects)
			read_fleet_route(in, obj, path, &r);
		if (!ir_json_end_entry(
			in, selects ? talloc_asprintf(
					  in->mem, "%s%s", r.authority, r.path)
				    : NULL))
			r = (struct ir_route){.authority = r.authority,
			    .path = r.path,
			    .position = r.position,
			    .unusable = true};
		if (selects)
			l->routes[l->route_count++] = r;
	}
	if (in->error != NULL || l->route_count == 0)
		return;
	qsort(l->routes, l->route_count, sizeof *l->routes,
	    ir_compare_fleet_routes);
	check_fleet_routes(in, l);
}

struct ir_route_list *
ir_routes_parse(struct ir_json_reader *in, const char *text, size_t size_bytes)
{
	static const char *const known_keys[] = {
	    "generation", "routes", "parts", NULL};
	struct ir_route_list *l = talloc_zero(in->mem, struct ir_route_list);
	struct json_object *top = ir_json_parse(in, text, size_bytes);

	ir_json_check_keys(in, top, "", known_keys);
	l->generation = read_generation(in, top);
	check_parts(in, top);
	read_fleet_routes(in, top, l);
	return finish_parse(in, top, l);
}

static void
check_name(struct ir_json_reader *in, const char *expected, const char *name)
{
	if (in->error != NULL || expected == NULL)
		return;
	if (strcmp(expected, name) != 0)
		ir_json_error(in, "name", "must be \"%s\"", expected);
}

static bool
is_request_target(const char *s)
{
	for (const char *p = s; *p != '\0'; p++) {
		if ((uint8_t)*p <= ' ' || (uint8_t)*p >= DELETE)
			return false;
	}
	return s[0] == '/';
}

/* NULL if there is none. Requests do not depend on it. */
static const char *
read_check_path(struct ir_json_reader *in, struct json_object *top)
{
	const char *s;

	if (in->error != NULL || !ir_json_has(top, "check_path"))
		return NULL;
	s = ir_json_string(
	    in, top, "", "check_path", 1, IR_MAX_ROUTE_PATH_BYTES);
	if (in->error == NULL && !is_request_target(s))
		ir_json_error(in, "check_path",
		    "must begin with '/' and have visible ASCII characters");
	return ir_json_end_entry(in, NULL) ? s : NULL;
}

struct ir_service *
ir_service_parse(struct ir_json_reader *in, const char *name, const char *text,
    size_t size_bytes)
{
	static const char *const known_keys[] = {"generation", "name", "slots",
	    "routes", "cold_rate_per_s", "check_path", NULL};
	struct ir_service *s = talloc_zero(in->mem, struct ir_service);
	struct json_object *top = ir_json_parse(in, text, size_bytes);

	ir_json_check_keys(in, top, "", known_keys);
	s->generation = read_generation(in, top);
	s->name = ir_json_name(in, top, "", "name");
	check_name(in, name, s->name);
	if (ir_json_has(top, "slots"))
		s->slots = (uint32_t)ir_json_int(in, top, "", "slots", 1, 4096);
	if (ir_json_has(top, "cold_rate_per_s"))
		s->cold_rate_mt_per_s = (uint64_t)llround(
		    MT_PER_TOKEN * ir_json_number(in, top, "",
				       "cold_rate_per_s", 0.001,
				       IR_MAX_COLD_RATE_PER_S));
	s->check_path = read_check_path(in, top);
	read_routes(in, top, s);
	return finish_parse(in, top, s);
}

static void
read_address(
    struct ir_json_reader *in, struct json_object *top, struct ir_host *h)
{
	const char *s =
	    ir_json_string(in, top, "", "address", 1, INET6_ADDRSTRLEN);
	uint8_t number[sizeof(struct in6_addr)];
	char shortest[INET6_ADDRSTRLEN] = "";

	if (inet_pton(AF_INET, s, number) == 1)
		inet_ntop(AF_INET, number, shortest, sizeof shortest);
	else if (inet_pton(AF_INET6, s, number) == 1)
		inet_ntop(AF_INET6, number, shortest, sizeof shortest);
	else
		ir_json_error(in, "address", "must be an IPv4 or IPv6 number");
	/* The canonical form: equal addresses are then equal strings. */
	h->address = talloc_strdup(in->mem, shortest);
}

/* It is sent to the upstream in a header. */
static const char *
read_upstream_id(struct ir_json_reader *in, struct json_object *top)
{
	const char *id = "";

	if (!ir_json_has(top, "upstream_id"))
		return id;
	id = ir_json_string(in, top, "", "upstream_id", 1, IR_MAX_NAME);
	if (in->error == NULL && !ir_is_header_value(id))
		ir_json_error(in, "upstream_id",
		    "must consist of characters that a header may have");
	return id;
}

struct ir_host *
ir_host_parse(struct ir_json_reader *in, const char *name, const char *text,
    size_t size_bytes)
{
	static const char *const known_keys[] = {"name", "service", "region",
	    "zone", "address", "peer_port", "caller_port", "state", "slots",
	    "upstream_id", "cold", NULL};
	struct ir_host *h = talloc_zero(in->mem, struct ir_host);
	struct json_object *top = ir_json_parse(in, text, size_bytes);

	ir_json_check_keys(in, top, "", known_keys);
	h->name = ir_json_host_name(in, top, "", "name");
	check_name(in, name, h->name);
	h->service = ir_json_name(in, top, "", "service");
	h->region = ir_json_label(in, top, "", "region");
	h->zone = ir_json_label(in, top, "", "zone");
	read_address(in, top, h);
	h->peer_port =
	    (uint16_t)ir_json_int(in, top, "", "peer_port", 1, UINT16_MAX);
	h->caller_port =
	    (uint16_t)ir_json_int(in, top, "", "caller_port", 1, UINT16_MAX);
	h->leaving = read_binary_choice(in, top, "state", "live", "leaving");
	if (ir_json_has(top, "slots"))
		h->slots = (uint32_t)ir_json_int(in, top, "", "slots", 1, 4096);
	h->upstream_id = read_upstream_id(in, top);
	if (ir_json_has(top, "cold"))
		h->cold = ir_json_bool(in, top, "", "cold");
	h->hash = XXH64(h->name, strlen(h->name), 0);
	return finish_parse(in, top, h);
}

struct ir_zone_state *
ir_zone_parse(struct ir_json_reader *in, const char *name, const char *text,
    size_t size_bytes)
{
	static const char *const known_keys[] = {"name", "evacuated", NULL};
	struct ir_zone_state *z = talloc_zero(in->mem, struct ir_zone_state);
	struct json_object *top = ir_json_parse(in, text, size_bytes);

	ir_json_check_keys(in, top, "", known_keys);
	z->name = ir_json_label(in, top, "", "name");
	check_name(in, name, z->name);
	z->evacuated = ir_json_bool(in, top, "", "evacuated");
	return finish_parse(in, top, z);
}
