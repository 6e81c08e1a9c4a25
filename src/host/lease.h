/*
 * The lease on the view: how long ago was it confirmed that nothing newer
 * exists, and does an outage of the store stand in for a confirmation.
 *
 * Confirmation of a revision at a time: nothing above that revision existed
 * then. Its source is a store read that returned a revision not below the
 * highest known; between peers it travels as an age. It counts for a holder
 * of that revision or a higher one. Configuration and list are confirmed
 * apart; the older of both is the age of the lease.
 *
 * Outage evidence: in each region a majority of the readers report, each
 * within the lease, that the store gives them nothing current, hold the same
 * revisions, and no reader reports a current answer. It is passed on as an
 * age with those revisions, and counts only for a holder of exactly these.
 *
 * All times are microseconds of the caller's clock, which must go on while
 * the process or its host is paused. A moment before asking stands for the
 * unknown moment of the answer, so that ages are never too low.
 */
#ifndef IR_HOST_LEASE_H
#define IR_HOST_LEASE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "host/view.h"

struct ir_lease;

enum ir_view_state {
	IR_VIEW_CONFIRMED,
	IR_VIEW_OUTAGE,	    /* the store is down for all: go on */
	IR_VIEW_UNCONFIRMED /* perhaps cut off: refuse keyed requests */
};

struct ir_lease *ir_lease_new(TALLOC_CTX *mem);

/*
 * The store answered a read, of the host list or the configuration, that was
 * asked at asked_us. False when the answer is stale: it does not confirm, and
 * counts like a failed read.
 */
bool ir_lease_store_answered(
    struct ir_lease *l, int64_t asked_us, bool hosts, uint64_t revision);
/* The store did not answer a read that was asked at asked_us. */
void ir_lease_store_failed(struct ir_lease *l, int64_t asked_us);

/*
 * A peer answered the very VIEW_ASK that was sent at asked_us; m is its
 * reply, peer its name, reader whether the view makes it one.
 */
struct ir_view_msg;
void ir_lease_peer_answered(struct ir_lease *l, int64_t asked_us,
    const char *peer, bool reader, const struct ir_view_msg *m);

/*
 * Readers only: draws outage evidence from own tries and the reports of the
 * other readers (this host among them), for the revisions held.
 */
void ir_lease_judge_outage(struct ir_lease *l, int64_t now, const char *self,
    const struct ir_reader *readers, size_t count, uint64_t config_revision,
    uint64_t list_revision);

/* The state of a view of these revisions. */
enum ir_view_state ir_lease_state(const struct ir_lease *l, int64_t now,
    uint64_t config_revision, uint64_t list_revision);

/* Fills the revisions held, the ages and the store fields of a VIEW reply. */
void ir_lease_fill(const struct ir_lease *l, int64_t now,
    uint64_t config_revision, uint64_t list_revision, struct ir_view_msg *m);

/* Age of the last confirmation, INT64_MAX when there was none. */
int64_t ir_lease_age(const struct ir_lease *l, int64_t now);

#endif
