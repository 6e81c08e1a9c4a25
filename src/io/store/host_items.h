/*
 * Items of the host list in the store, hashed by key, and the host sections
 * made from them. For stores whose items are rewritten without a change of
 * content (heartbeats) and where several items may describe one host (that of
 * a stopped upstream and that of its successor).
 *
 * Of several items of a host, the one of its upstream is used: see
 * host/entry_choice.h. Only sections that changed are passed on.
 *
 * Removals found by the first read after a failure of the store are delayed, by
 * IR_REMOVAL_GRACE_US or by the duration of a shorter failure: items of running
 * upstreams may have expired during the failure and are written again. Later
 * removals are passed on at once.
 */
#ifndef IR_IO_HOST_ITEMS_H
#define IR_IO_HOST_ITEMS_H

#include "ibisrail/dialect.h"
#include "ibisrail/node.h"

/* Within this time of the store's recovery, upstreams write their items. */
#define IR_REMOVAL_GRACE_US (2 * IR_US_PER_S)

struct ir_host_items;

/*
 * Called once for an item that describes no host, as another one of its section
 * does; used: the key of that item, none if there is none.
 */
typedef void ir_item_not_used_fn(void *ctx, const struct ir_store_key *key,
    const char *section, const struct ir_store_key *used);

/* Returns NULL if out of memory. */
struct ir_host_items *ir_host_items_new(TALLOC_CTX *mem);

void ir_host_items_on_not_used(
    struct ir_host_items *h, ir_item_not_used_fn *fn, void *ctx);
/* Sets the port that an upstream of the fleet usually has; 0: none. */
void ir_host_items_set_port(struct ir_host_items *h, uint16_t port);
/*
 * Sets the names of the services in the configuration, a sorted talloc array
 * that owns them; it is stolen. None: not known yet.
 */
void ir_host_items_set_services(
    struct ir_host_items *h, char **services, size_t count);

/*
 * To be called before and after the items of a full read. The second marks the
 * items that the read did not contain as removed.
 */
void ir_host_items_begin_full_read(struct ir_host_items *h);
void ir_host_items_end_full_read(struct ir_host_items *h);
/*
 * Stores an item that was read. An item that cannot be decoded (in->section is
 * NULL) or has an empty text counts as removed. Returns true if the item cannot
 * be decoded and its previous version, if any, could be.
 */
bool ir_host_items_put(struct ir_host_items *h, const struct ir_store_item *in);
/*
 * Notes that the store answers again after a failure: removals that the read
 * in progress finds are delayed. outage_us: since the last answer.
 */
void ir_host_items_store_recovered(struct ir_host_items *h, int64_t outage_us);

/* How long removals are delayed after the last failure. */
int64_t ir_host_items_grace_us(const struct ir_host_items *h);

/*
 * The same after the store was restored from an older copy. What differs there
 * from the items held is used once it is written again, or after
 * IR_REMOVAL_GRACE_US.
 */
void ir_host_items_store_restored(struct ir_host_items *h);

/*
 * Sets the sections of r, under mem, to those that changed since the last
 * call, or to all of them, and r->complete to all. A removed section has an
 * empty text. On entry r->reached_revision is the revision of the store that
 * was read; r->revision becomes that of the last change passed on.
 */
void ir_host_items_take_changes(struct ir_host_items *h, int64_t now,
    TALLOC_CTX *mem, bool all, struct ir_store_read *r);

#endif
