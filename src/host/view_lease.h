/*
 * The lease on the view: the time since it was last confirmed that nothing
 * newer exists, and whether an outage of the store excuses a missing
 * confirmation.
 *
 * A confirmation says that at a given time no revision above the given one
 * existed. It comes from a store read that returned a revision not below the
 * highest known one; between peers it is sent as an age. It is valid for a
 * node that has this revision or a higher one. Configuration and host list are
 * confirmed separately; the older confirmation is the age of the lease.
 *
 * Outage evidence: in each region a majority of the store readers report, each
 * within the lease, that they get no current answer from the store, and have
 * the same revisions, and no reader reports a current answer. It is passed on
 * as an age with these revisions, and is valid only for a node that has
 * exactly these.
 *
 * All times are microseconds of the caller's clock, which must keep running
 * while the process or its host is paused. Since it is not known when an answer
 * was produced, the time at which the request was sent is used instead, so that
 * ages are never too low.
 */
#ifndef IR_HOST_VIEW_LEASE_H
#define IR_HOST_VIEW_LEASE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "host/view.h"

struct ir_view_lease;

enum ir_view_state {
	IR_VIEW_CONFIRMED,
	IR_VIEW_OUTAGE,	    /* store down for all readers: continue to serve */
	IR_VIEW_UNCONFIRMED /* perhaps partitioned: refuse keyed requests */
};

struct ir_view_lease *ir_view_lease_new(TALLOC_CTX *mem);
/*
 * Sets how long a confirmation and evidence of an outage are valid,
 * IR_VIEW_LEASE_US before.
 */
void ir_view_lease_set_length(struct ir_view_lease *l, int64_t lease_us);

/*
 * The store answered a read of the host list (hosts) or of the configuration
 * that was sent at sent_us. Returns false if the answer is stale; a stale
 * answer confirms nothing and counts as a failed read.
 */
bool ir_view_lease_store_answered(
    struct ir_view_lease *l, int64_t sent_us, bool hosts, uint64_t revision);
/* The store did not answer a read that was sent at sent_us. */
void ir_view_lease_store_failed(struct ir_view_lease *l, int64_t sent_us);

/*
 * A peer answered the VIEW_REQUEST that was sent at sent_us; m must be the
 * reply to that request. peer: name of the peer. reader: whether the view makes
 * the peer a store reader.
 */
struct ir_view_msg;
void ir_view_lease_peer_answered(struct ir_view_lease *l, int64_t sent_us,
    const char *peer, bool reader, const struct ir_view_msg *m);

/*
 * Like ir_view_lease_peer_answered() for a reader that has newer revisions than
 * this node and whose reply was without their sections: it counts in the
 * evaluation of an outage, and confirms nothing.
 */
void ir_view_lease_reader_reported(struct ir_view_lease *l, int64_t sent_us,
    const char *peer, const struct ir_view_msg *m);

/*
 * For store readers only: derives outage evidence for the current revisions
 * from the node's own reads and the reports of the other readers. readers are
 * those of all regions, including self.
 */
void ir_view_lease_evaluate_outage(struct ir_view_lease *l, int64_t now,
    const char *self, const struct ir_store_reader *readers, size_t count,
    uint64_t config_revision, uint64_t list_revision);

/* The state of a view of these revisions. */
enum ir_view_state ir_view_lease_state(const struct ir_view_lease *l,
    int64_t now, uint64_t config_revision, uint64_t list_revision);

/*
 * Fills in a VIEW reply of a node with these revisions: the revisions, the
 * ages and the store fields.
 */
void ir_view_lease_fill_reply(const struct ir_view_lease *l, int64_t now,
    uint64_t config_revision, uint64_t list_revision, struct ir_view_msg *m);

/* Age of the last confirmation; INT64_MAX if there was none. */
int64_t ir_view_lease_age_us(const struct ir_view_lease *l, int64_t now);
/*
 * The same of the last confirmation by a peer. INT64_MAX also if the peers that
 * answered have lower revisions than are confirmed.
 */
int64_t ir_view_lease_peer_age_us(const struct ir_view_lease *l, int64_t now);

#endif
