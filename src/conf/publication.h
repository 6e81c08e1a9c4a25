/*
 * Parsers of the published sections; host/view.h describes their JSON.
 *
 * Each returns a talloc object under in->mem, or NULL with in->error set. Every
 * key is checked: unknown, missing, duplicate, wrong type, out of range. So is
 * everything that can be checked within one section: names and key digests that
 * occur twice, and the name of the service or host.
 *
 * A tolerant reader takes the other entries of a list of accounts, keys or
 * fleet routes when one is invalid. Requests with the key of an invalid
 * account, or on an invalid route, cannot be served, but are known to be none
 * that have no key or no route: the key has no account then, and the route is
 * unusable. Of two entries for one key or route, the first holds: by the name
 * of the account, or by the order of the routes.
 *
 * Lists that do not fit into one section have further ones, "accounts/N" and
 * "routes/N" from 1, and "parts" in each of them. An account with many keys is
 * in several parts. Parts of another generation than the newest are left over
 * from a longer list, and not used.
 */
#ifndef IR_CONF_PUBLICATION_H
#define IR_CONF_PUBLICATION_H

#include "conf/json.h"
#include "host/view.h"

#define IR_MAX_GENERATION (INT64_C(1) << 53)
#define IR_MAX_ROUTES 256
/* Lists without a bound of their own: a text has no more elements than bytes.
 */
#define IR_MAX_LIST IR_JSON_MAX_BYTES
/* Of a list of accounts or fleet routes. */
#define IR_MAX_PARTS 64
#define IR_MAX_ALLOWED_REGIONS 64
#define IR_MAX_COLD_RATE_PER_S 1e6
#define IR_MAX_ROUTE_PATH_BYTES 1024
#define IR_MIN_RATE_PER_S 0.001
#define IR_MAX_RATE_PER_S 1e9
#define IR_MAX_ROUTE_RETRIES 10
#define IR_MAX_WEIGHT 1000000

struct ir_fleet {
	uint64_t generation;
	const char *store_region;
	bool store_anywhere;
	uint64_t link_bytes_per_s;
	bool serve_unconfirmed; /* "unconfirmed_view" is "serve" */
};

/* Fleet routes: selected by host name and path, for all services. */
struct ir_route_list {
	uint64_t generation;
	struct ir_route *routes; /* sorted by host name, longest path first */
	size_t route_count;
};

struct ir_account_list {
	uint64_t generation;
	struct ir_account *accounts; /* sorted by name */
	size_t account_count;
	struct ir_account_key *keys; /* sorted by digest, then account */
	size_t key_count;
};

/* What operators ask of a zone. */
struct ir_zone_state {
	const char *name;
	bool evacuated; /* nothing may be sent to its upstreams */
};

/*
 * Order of fleet routes and of keys in their lists, for qsort(). Of those for
 * the same requests, or of the same digest, only the first is used.
 */
int ir_compare_fleet_routes(const void *a, const void *b);
bool ir_same_fleet_route(const struct ir_route *a, const struct ir_route *b);
int ir_compare_keys(const void *a, const void *b);

struct ir_fleet *ir_fleet_parse(
    struct ir_json_reader *in, const char *text, size_t size_bytes);
struct ir_account_list *ir_accounts_parse(
    struct ir_json_reader *in, const char *text, size_t size_bytes);
struct ir_route_list *ir_routes_parse(
    struct ir_json_reader *in, const char *text, size_t size_bytes);
/* Fails if the section has another name than name (NULL: any). Sets no hosts.
 */
struct ir_service *ir_service_parse(struct ir_json_reader *in, const char *name,
    const char *text, size_t size_bytes);
struct ir_host *ir_host_parse(struct ir_json_reader *in, const char *name,
    const char *text, size_t size_bytes);
struct ir_zone_state *ir_zone_parse(struct ir_json_reader *in, const char *name,
    const char *text, size_t size_bytes);

#endif
