/*
 * The view: the published configuration and the host list, parsed.
 *
 * A view is immutable. ir_sections (section.h) builds a new one whenever a
 * section has changed, so code that needs data of a view across calls
 * must copy names, not pointers. All strings and arrays belong to the view's
 * talloc context. Arrays are sorted by name (strcmp) and searched by bisection.
 *
 * The texts of the sections are JSON:
 *   fleet            {"generation":1, "store_region":"r1",
 *                     "link_bytes_per_s":3750000,
 *                     "unconfirmed_view":"refuse"|"serve"}
 *   accounts         {"generation":1, "accounts":[{"name":"a",
 *                     "rate_per_s":100, "burst":50, "weight":1,
 *                     "key_digests":["<64 hex digits>", ...]}]}
 *   service/NAME     {"generation":1, "name":"NAME", "slots":36,
 *                     "routes":[{"method":"GET", "path":"/x",
 *                     "importance":0..3, "deadline_ms":500,
 *                     "idempotent":true, "open":false, "retries":2}]}
 *   routes           {"generation":1, "routes":[{"authority":"a.example",
 *                     "path":"/x/", "importance":0..3, "deadline_ms":500,
 *                     "target_ms":300, "idempotent":true, "open":false,
 *                     "retries":2, "parts":[{"service":"s","weight":1}]}]}
 *   host/NAME        {"name":"h1", "service":"s", "region":"r1",
 *                     "zone":"z1", "address":"127.0.0.1",
 *                     "peer_port":7001, "caller_port":7002,
 *                     "state":"live"|"leaving"}
 *   zone/NAME        {"name":"z1", "evacuated":true}
 * Optional: "store_anywhere":true of the fleet, when the region of the store is
 * not known; "slots" of a service or host, "upstream_id" of a host,
 * "importance" of an account (default 2). An account without "rate_per_s" has
 * no rate limit. "regions":["r1"] of a fleet route or an account: served only
 * there; absent or empty: anywhere. "cold_rate_per_s" of a service: requests
 * that a cold upstream takes a second; "check_path": path of its status check.
 * "cold":true of a host. "parts" of accounts and routes: see
 * conf/publication.h.
 */
#ifndef IR_HOST_VIEW_H
#define IR_HOST_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define IR_KEY_DIGEST_HEX 64

/*
 * By how much the enforced limits exceed an account's published rate and burst.
 * All 0: not at all.
 */
struct ir_rate_margin {
	double fraction;	   /* fraction of the rate and of the burst */
	double extra_burst_tokens; /* added to the burst */
	double extra_rate_per_s;   /* added to the rate */
	/*
	 * What an account's buckets may hold when they start anew: this
	 * fraction of the burst and of window_s at the rate, and these tokens.
	 */
	double restart_fraction;
	double restart_tokens;
	double window_s;
};

/* Kinds of sections, by their name. */
enum ir_section_kind {
	IR_SECTION_FLEET,
	IR_SECTION_ACCOUNTS,
	IR_SECTION_SERVICE,
	IR_SECTION_ROUTES,
	IR_SECTION_HOST,
	IR_SECTION_ZONE,
	IR_SECTION_UNKNOWN /* not the name of a section */
};

/* A service that gets a fraction of a route's requests, by its weight. */
struct ir_route_service {
	const char *service;
	uint32_t weight;
};

/*
 * A route of one service, selected by method and path; or a route of the
 * fleet, selected by host name and path, which lists its services.
 */
struct ir_route {
	const char *method;    /* NULL: any */
	const char *path;      /* prefix, of whole path components */
	const char *authority; /* host name, of a fleet route */
	const struct ir_route_service *services;
	size_t service_count;
	const char *const *regions; /* ends with NULL; NULL: all */
	uint32_t target_ms;	    /* target latency; 0: the deadline */
	uint32_t position;	    /* in the list of fleet routes */
	uint8_t importance;	    /* 0 to 3; 3 is shed last */
	bool idempotent;
	bool unusable;	 /* invalid; only authority and path are set */
	bool open;	 /* needs no API key */
	uint8_t retries; /* retry tokens of a request that begins here */
	uint32_t deadline_ms;
};

struct ir_service {
	const char *name;
	uint64_t generation;
	uint32_t slots; /* concurrency of one upstream */
	/* Thousandths of a request a second; 0: cold upstreams need no bound.
	 */
	uint64_t cold_rate_mt_per_s;
	const char *check_path;	 /* of the status check, or NULL */
	struct ir_route *routes; /* longest path first */
	size_t route_count;
	struct ir_host **hosts; /* sorted by name; live and leaving */
	size_t host_count;
};

/* A client account and its rate limit. */
struct ir_account {
	const char *name;
	uint64_t rate_mt_per_s; /* thousandths of a token a second */
	uint64_t burst_mt;	/* thousandths of a token */
	uint64_t restart_mt;	/* held by new buckets, thousandths */
	uint32_t weight;
	uint8_t importance;	  /* compared before the route's */
	bool unlimited;		  /* has no rate limit */
	const char **key_digests; /* lower-case hexadecimal SHA-256 */
	size_t key_digest_count;
	const char *const *regions; /* ends with NULL; NULL: all */
};

struct ir_host {
	const char *name;
	const char *service;
	const char *region;
	const char *zone;
	const char *address;
	uint16_t peer_port;
	uint16_t caller_port;
	bool leaving;
	bool cold;		 /* its upstream has just started */
	bool evacuated;		 /* its zone is: nothing may be sent there */
	uint32_t slots;		 /* of its upstream; 0: the service's */
	const char *upstream_id; /* new at each upstream start, or "" */
	uint64_t hash;		 /* XXH64 of the name, seed 0 */
};

/* A host that reads the store. Does not point into a view. */
struct ir_store_reader {
	const char *name;
	const char *region;
};

struct ir_zone {
	const char *name;
	const char *region;
	struct ir_host **hosts; /* ordered by hash; live and leaving */
	size_t host_count;
};

/* A key of a client account. */
struct ir_account_key {
	const char *digest;
	struct ir_account *account; /* NULL: one that is invalid */
};

struct ir_view {
	uint64_t config_revision;
	uint64_t list_revision;
	const char *store_region;  /* "" until the fleet section is known */
	bool store_anywhere;	   /* region unknown: none is preferred */
	uint64_t link_bytes_per_s; /* between regions, each way */
	bool serve_unconfirmed;	   /* "unconfirmed_view" is "serve" */
	struct ir_service *services;
	size_t service_count;
	struct ir_account *accounts;
	size_t account_count;
	struct ir_account_key *keys; /* sorted by digest */
	size_t key_count;
	struct ir_host *hosts;
	size_t host_count;
	struct ir_zone *zones;
	size_t zone_count;
	const char **evacuated_zones; /* sorted */
	size_t evacuated_zone_count;
	/* Of all allowed regions; 0: no route or account has any. */
	uint64_t regions_hash;
	/* Fleet routes, sorted by host name, then longest path first. */
	const struct ir_route *routes;
	size_t route_count;
};

/* Look up by name; return NULL if the name is not found. */
const struct ir_service *ir_view_service(
    const struct ir_view *v, const char *name);
const struct ir_account *ir_view_account(
    const struct ir_view *v, const char *name);
const struct ir_host *ir_view_host(const struct ir_view *v, const char *name);
const struct ir_zone *ir_view_zone(const struct ir_view *v, const char *name);
/*
 * Whether new requests may be sent to the upstream of the host, as far as it is
 * listed.
 */
static inline bool
ir_host_takes_requests(const struct ir_host *h)
{
	return !h->leaving && !h->evacuated;
}

/* Whether nothing may be sent to the upstreams of the zone. */
bool ir_view_zone_is_evacuated(const struct ir_view *v, const char *zone);
/* The account with a key of this digest, or NULL. */
const struct ir_account *ir_view_account_by_key(
    const struct ir_view *v, const char *digest);
/* Whether the account with a key of this digest is invalid. */
bool ir_view_key_is_unusable(const struct ir_view *v, const char *digest);
/*
 * The route with the method and the longest prefix of the path, or NULL. A
 * prefix must end at a '/', at a '?' or with the path.
 */
const struct ir_route *ir_service_route(
    const struct ir_service *s, const char *method, const char *path);

/*
 * The fleet route with the host name, in lower case and without port, and the
 * longest prefix of the path, or NULL. Takes O(log n + m) for m routes with
 * that host name.
 */
const struct ir_route *ir_view_route(
    const struct ir_view *v, const char *authority, const char *path);

#endif
