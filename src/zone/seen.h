/*
 * What this node has seen of other hosts: requests out, load reported, shed
 * levels, whether they can be reached. By host name.
 */
#ifndef IR_ZONE_SEEN_H
#define IR_ZONE_SEEN_H

#include "core/table.h"
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "host/view.h"
#include "link/peer.h"

/* The shed level for one account at one host. */
struct ir_seen_level {
	char *account;
	uint32_t level;
	int64_t at_us;
	UT_hash_handle hh;
};

struct ir_seen {
	char *host;
	uint32_t outstanding;
	uint32_t outstanding_then; /* when the load was reported */
	bool has_load;
	struct ir_load load;
	int64_t load_us;
	struct ir_seen_level *levels; /* by account */
	bool listed_leaving;	      /* by the last view */
	bool unreachable;
	int64_t try_us; /* when unreachable: next try */
	int64_t backoff_us;
	UT_hash_handle hh;
};

struct ir_seen_table {
	struct ir_seen *hosts;
};

struct ir_seen_table *ir_seen_new(TALLOC_CTX *mem);
/* The entry of a host, or NULL. */
struct ir_seen *ir_seen_find(const struct ir_seen_table *t, const char *host);
/* The same, made when missing; NULL without memory. */
struct ir_seen *ir_seen_get(struct ir_seen_table *t, const char *host);
void ir_seen_load(struct ir_seen *s, int64_t now, const struct ir_load *load);
void ir_seen_level(
    struct ir_seen *s, int64_t now, const char *account, uint32_t level);
void ir_seen_lost(struct ir_seen *s, int64_t now);
void ir_seen_greeted(struct ir_seen *s);
/* An unreachable host is tried: the next try is put off. */
void ir_seen_tried(struct ir_seen *s, int64_t now);
bool ir_seen_may_try(const struct ir_seen *s, int64_t now);
/* Requests held by the host for each one of its limit. */
double ir_seen_use(const struct ir_seen *s, int64_t now, uint32_t slots);
/*
 * The lowest priority that the host takes of an account, from news no older
 * than max_age_us; 0 without any.
 */
uint32_t ir_seen_shed_level(const struct ir_seen *s, int64_t now,
    const char *account, int64_t max_age_us);
/* Forgets hosts and accounts that the view no longer names. */
void ir_seen_trim(struct ir_seen_table *t, const struct ir_view *v);

#endif
