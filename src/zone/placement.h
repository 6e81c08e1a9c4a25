/*
 * Placement by rendezvous hash, computed by each host from its view alone:
 * which hosts read the store, from which host another one requests its view,
 * which host issues the tokens of an account's bucket, and which one serves an
 * Idempotency-Key. Hosts that are leaving are given none of these, hosts of
 * evacuated zones no Idempotency-Key.
 */
#ifndef IR_ZONE_PLACEMENT_H
#define IR_ZONE_PLACEMENT_H

#include "host/view.h"

/* In regions of up to two zones; one less in those of more. */
#define IR_STORE_READERS_PER_ZONE 3
/* Hosts of a zone that readers of it ask to read the store in their place. */
#define IR_DEPUTIES_PER_ZONE 3
#define IR_RELAY_FANOUT 8

/* Whether the host is one of the store readers of its zone. */
bool ir_is_store_reader(const struct ir_view *v, const struct ir_host *h);

/*
 * Rank of the host among the store readers of its region, from 0; the number of
 * them if it is none.
 */
size_t ir_store_reader_rank(const struct ir_view *v, const struct ir_host *h);

/*
 * The number of live hosts before this one in its zone that are no store
 * readers.
 */
size_t ir_relay_rank(const struct ir_view *v, const struct ir_host *h);

/*
 * The host that a store reader asks, on the given attempt, to read the store in
 * its place: one of the live hosts of its zone after the readers. Readers begin
 * with different ones, so that as many hosts read as before. NULL if the zone
 * has readers only.
 */
const struct ir_host *ir_deputy(
    const struct ir_view *v, const struct ir_host *reader, uint32_t attempt);

/* The store readers of all zones, as an array under mem; returns its size. */
size_t ir_store_readers(
    const struct ir_view *v, TALLOC_CTX *mem, struct ir_store_reader **readers);

/*
 * The host from which self requests its view on the given attempt (0 is the
 * first), or NULL when there is no other host. In order: the parent of self in
 * the relay tree of its zone, the parent of that one, the store readers of
 * its zone, those of the other zones. A store reader has no parent and counts
 * its own zone among the others. Of these, the zones in the region of the
 * store come first, since their readers can still read when the regions are
 * partitioned, and then the nearest. After the last one it starts again.
 */
const struct ir_host *ir_view_source(
    const struct ir_view *v, const struct ir_host *self, uint32_t attempt);

/*
 * Token buckets that the rate of an account is divided into: one for each
 * zone with live hosts, but no more than its burst has tokens; at least 1.
 */
uint32_t ir_bucket_count(const struct ir_view *v, const struct ir_account *a);

/* The live host that issues the tokens of a bucket; NULL if no host is live. */
const struct ir_host *ir_bucket_issuer(
    const struct ir_view *v, const struct ir_account *a, uint32_t bucket);

/*
 * The only live host of a service, in a zone that is not evacuated, that may
 * run a request with this idempotency key and these allowed regions (see
 * region_set.h); NULL if there is none.
 */
const struct ir_host *ir_idempotency_key_host(const struct ir_service *s,
    const char *const *regions, const char *account,
    const char *idempotency_key);

#endif
