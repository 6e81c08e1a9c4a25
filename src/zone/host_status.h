/*
 * Status of the other hosts, hashed by host name, as this node observes it: the
 * requests of this node in flight there, the load and shed levels that the host
 * reports on its replies, and whether it can be reached.
 */
#ifndef IR_ZONE_HOST_STATUS_H
#define IR_ZONE_HOST_STATUS_H

#include "core/table.h"
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "host/view.h"
#include "ibisrail/limits.h"
#include "link/peer.h"
#include "upstream/statement.h"
#include "zone/completion_time.h"

/* Shed levels for an account are freed when they are older. */
#define IR_ACCOUNT_LEVEL_MAX_AGE_US (200 * IR_US_PER_MS)

struct ir_host_status_table;
struct ir_host_status;

/* The shed level of one host for one account. */
struct ir_account_shed_level {
	struct ir_host_status *host;
	char *account;
	uint32_t level; /* requests of lower priority are refused */
	int64_t received_us;
	struct ir_account_shed_level *prev; /* of the table */
	struct ir_account_shed_level *next;
	UT_hash_handle hh;
};

struct ir_host_status {
	struct ir_host_status_table *table;
	char *host;
	uint32_t in_flight;	      /* requests of this node */
	uint32_t in_flight_at_report; /* in_flight when load was received */
	bool has_load;
	struct ir_load load; /* last report */
	int64_t load_received_us;
	struct ir_account_shed_level *account_levels; /* hashed by account */
	char *upstream_id; /* that upstream_status is of; NULL: none */
	struct ir_upstream_status upstream_status;
	bool listed_leaving;	  /* "leaving" in the view last applied */
	uint64_t listed_upstream; /* hash of the upstream's id in that view */
	bool lacks_regions;	  /* does not handle requests with regions */
	bool unreachable;
	int64_t retry_us; /* when unreachable: time of the next attempt */
	int64_t backoff_us;
	UT_hash_handle hh;
};

struct ir_host_status_table {
	struct ir_host_status *hosts;
	struct ir_account_shed_level *levels; /* of all, oldest report first */
};

/* NULL if out of memory. */
struct ir_host_status_table *ir_host_status_table_new(TALLOC_CTX *mem);

/* The entry of a host, or NULL. */
struct ir_host_status *ir_host_status_find(
    const struct ir_host_status_table *t, const char *host);
/* The entry of a host, added when missing; NULL if out of memory. */
struct ir_host_status *ir_host_status_find_or_add(
    struct ir_host_status_table *t, const char *host);

/* Stores a load report that was received at now. */
void ir_host_status_set_load(
    struct ir_host_status *s, int64_t now, const struct ir_load *load);
/*
 * Stores the shed level for an account; does nothing if out of memory. Frees
 * the outdated levels of all hosts and accounts.
 */
void ir_host_status_set_account_level(
    struct ir_host_status *s, int64_t now, const char *account, uint32_t level);

/*
 * An answer of the host's upstream, of that id, to a request that was sent at
 * sent_us passed through this node.
 */
void ir_host_status_upstream_said(struct ir_host_status *s, int64_t now,
    const char *upstream_id, int64_t sent_us, const struct ir_statement *said);
/*
 * Whether answers said something of the host's upstream that still holds. Sets
 * *notice to it; its strings are those of s.
 */
bool ir_host_status_upstream_notice(const struct ir_host_status *s, int64_t now,
    struct ir_upstream_notice *notice);

/*
 * The link to the host was lost. Discards the reported load and doubles the
 * backoff until the next attempt, within 200 ms and 2 s.
 */
void ir_host_status_set_unreachable(struct ir_host_status *s, int64_t now);
/* The link is up: resets the backoff, discards load and shed levels. */
void ir_host_status_set_reachable(struct ir_host_status *s);
/* Call when a request is to be sent: postpones the next one if unreachable. */
void ir_host_status_postpone_retry(struct ir_host_status *s, int64_t now);

/*
 * Whether a request may be sent to the host: its last report does not say
 * that it is leaving, and it is reachable or its backoff is over. True for
 * NULL (a host without an entry).
 */
bool ir_host_status_is_available(const struct ir_host_status *s, int64_t now);

/*
 * Requests at the host divided by its concurrency limit; 1 or more when it is
 * saturated. slots is the limit assumed until the host reports one. 0 for
 * NULL.
 */
double ir_host_status_utilization(
    const struct ir_host_status *s, int64_t now, uint32_t slots);

/*
 * What is known of the host's load and speed. slots as above; s may be NULL.
 */
struct ir_host_estimate ir_host_status_estimate(
    const struct ir_host_status *s, int64_t now, uint32_t slots);
/* Whether a report that still counts has the speed of the host's upstream. */
bool ir_host_status_speed_known(const struct ir_host_status *s, int64_t now);

/*
 * The lowest priority that the host accepts from an account, by reports no
 * older than max_age_us; 0 (all priorities) if there is no such report.
 */
uint32_t ir_host_status_shed_level(const struct ir_host_status *s, int64_t now,
    const char *account, int64_t max_age_us);

/*
 * Follows a new view: removes hosts and accounts that it does not list, and
 * discards the load of a host whose listed state returned from leaving to
 * live. What an upstream said is kept until another one is listed at its host,
 * or for IR_UPSTREAM_STATUS_VALID_US.
 */
void ir_host_status_apply_view(
    struct ir_host_status_table *t, int64_t now, const struct ir_view *v);

#endif
