/*
 * Placement by rendezvous hash, from the view alone: which hosts read the
 * store, whom a host asks for its view, who mints a bucket of an account, who
 * serves an Idempotency-Key. Leaving hosts are left out.
 */
#ifndef IR_ZONE_PLACE_H
#define IR_ZONE_PLACE_H

#include "host/view.h"

#define IR_READERS_PER_ZONE 3
#define IR_RELAY_FANOUT 8

bool ir_is_reader(const struct ir_view *v, const struct ir_host *h);

/* The readers of all zones, under mem; the number of them. */
size_t ir_readers(
    const struct ir_view *v, TALLOC_CTX *mem, struct ir_reader **readers);

/*
 * The host that self asks for its view on try number try (0 first): its
 * parent in the zone's relay tree, then that one's parent, then the readers
 * of its zone and of the others, those of the store's region first: when the
 * regions are cut apart, these can still read. Among these the nearest first.
 * NULL when self has no one to ask.
 */
const struct ir_host *ir_view_source(
    const struct ir_view *v, const struct ir_host *self, uint32_t try);

/* Buckets of an account: from 1 to one a zone, none below a token of burst. */
uint32_t ir_bucket_count(const struct ir_view *v, const struct ir_account *a);

/* The minter of a bucket, or NULL without a live host. */
const struct ir_host *ir_bucket_minter(
    const struct ir_view *v, const struct ir_account *a, uint32_t bucket);

/* The only live host of s that may run a request with this key, or NULL. */
const struct ir_host *ir_key_host(const struct ir_service *s,
    const char *account, const char *idempotency_key);

#endif
