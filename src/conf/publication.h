/*
 * Parsers of the published sections; host/view.h describes their JSON.
 *
 * Each returns a talloc object under in->mem, or NULL with in->error set. Every
 * key is checked: unknown, missing, duplicate, wrong type, out of range. So is
 * everything that can be checked within one section: names and key digests that
 * occur twice, and the name of the service or host.
 */
#ifndef IR_CONF_PUBLICATION_H
#define IR_CONF_PUBLICATION_H

#include "conf/json.h"
#include "host/view.h"

#define IR_MAX_GENERATION (INT64_C(1) << 53)
#define IR_MAX_ACCOUNTS 4096
#define IR_MAX_KEYS_PER_ACCOUNT 64
#define IR_MAX_ROUTES 256
/* Bound on fleet routes; more do not fit into IR_JSON_MAX_BYTES. */
#define IR_MAX_FLEET_ROUTES 16384
#define IR_MAX_ROUTE_SERVICES 64
#define IR_MAX_ALLOWED_REGIONS 64
#define IR_MAX_COLD_RATE_PER_S 1e6
#define IR_MAX_ROUTE_PATH_BYTES 1024
#define IR_MAX_RATE_PER_S 1e9

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
	struct ir_account_key *keys; /* sorted by digest */
	size_t key_count;
};

/* What operators ask of a zone. */
struct ir_zone_state {
	const char *name;
	bool evacuated; /* nothing may be sent to its upstreams */
};

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
