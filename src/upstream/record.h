/*
 * Records of the attempts that came to this gate: running, answered with the
 * answer, or refused. A repeated attempt id finds its record and never starts
 * a second run; so does a repeated Idempotency-Key of the same account.
 *
 * A record with an Idempotency-Key outlives its answer by IR_ATTEMPT_KEEP_US.
 * Any other is kept until its origin, which ends its call at the deadline, can
 * no longer ask after it. Where the bound IR_MEMORY_RECORDS leaves no room,
 * answers are dropped, oldest first; what is left to tell is
 * IR_E_ANSWER_DROPPED, and of a record without a key no more than its id.
 */
#ifndef IR_UPSTREAM_RECORD_H
#define IR_UPSTREAM_RECORD_H

#include "core/table.h"
#include <talloc.h>

#include "contract/retry.h"
#include "ibisrail/error.h"
#include "ibisrail/limits.h"
#include "ibisrail/memory.h"
#include "link/peer.h"
#include "upstream/gate.h"

/*
 * Kept past the deadline, which the gate may take for earlier than the origin
 * does by what the origin keeps back for the answer's way, 20 ms.
 */
#define IR_RECORD_MARGIN_US (250 * IR_US_PER_MS)
/* Of attempts that were asked after and never came. */
#define IR_NEVER_RECEIVED_KEEP_US (10 * IR_US_PER_S)

/* Where an answer is to be sent: the attempt that asks for it. */
struct ir_waiter {
	uint32_t conn;
	uint32_t xid;
	struct ir_attempt_id attempt;
	bool status; /* asked by STATUS, else by FORWARD */
	struct ir_waiter *next;
};

enum ir_record_state {
	IR_RECORD_QUEUED,
	IR_RECORD_STARTING, /* the gate gave a slot; not yet sent */
	IR_RECORD_RUNNING,
	IR_RECORD_DONE
};

struct call;
struct ir_alias;

struct ir_record {
	struct ir_attempt_id attempt;
	enum ir_record_state state;
	struct ir_work work;
	uint64_t run; /* 0 until started */
	char attempt_text[40];
	char *idempotency;	    /* account and key, or NULL */
	uint64_t fingerprint;	    /* of method, path and body, for repeats */
	struct ir_forward *forward; /* until done */
	char *account;
	struct ir_retry_quota ledger;
	struct call *children;	 /* egress calls of this request */
	int64_t callee_since_us; /* since when there are any */
	uint64_t route;		 /* what its run is counted by, in vain.h */
	bool in_vain;		 /* done, and failed for such a call */
	bool callee_shed;	 /* one was turned away */
	struct ir_waiter *waiters;
	struct ir_alias *aliases;
	enum ir_error error; /* when done, with what follows */
	uint32_t status;
	uint32_t retry_after_ms;
	struct ir_header *headers;
	uint32_t header_count;
	uint8_t *body;
	uint32_t body_bytes;
	size_t held_bytes;	/* of this record, counted */
	int64_t drop_us;	/* done: when it is forgotten */
	bool refused;		/* done, and not run */
	struct ir_record *prev; /* among the open ones, or those kept as long */
	struct ir_record *next;
	struct ir_record *answered_prev; /* among those that hold an answer */
	struct ir_record *answered_next;
	UT_hash_handle hh;
	UT_hash_handle run_hh;
	UT_hash_handle key_hh;
	UT_hash_handle caller_hh; /* while it runs */
};

struct ir_records;

/* memory: where their bytes are counted, IR_MEMORY_RECORDS. */
struct ir_records *ir_records_new(TALLOC_CTX *mem, struct ir_memory *memory);
struct ir_record *ir_records_find(
    struct ir_records *rs, const struct ir_attempt_id *id);
struct ir_record *ir_records_by_run(struct ir_records *rs, uint64_t run);
/* Whether it ran and was answered, and its record gave way. */
bool ir_records_is_past(
    const struct ir_records *rs, const struct ir_attempt_id *id);
/* Opaque text given to the upstream, as in ir_record.attempt_text. */
struct ir_record *ir_records_by_text(struct ir_records *rs, const char *text);
/* A running one whose caller gave that id for its attempt, or NULL. */
struct ir_record *ir_records_by_caller(
    struct ir_records *rs, const char *id, size_t id_bytes);
struct ir_record *ir_records_by_key(
    struct ir_records *rs, const char *idempotency);
/* NULL when there is no room for it and a request of so many bytes. */
struct ir_record *ir_records_add(struct ir_records *rs,
    const struct ir_attempt_id *id, size_t request_bytes);
/*
 * One that never came, so that it cannot run later. Always room: these are
 * few, one for an attempt whose link was lost.
 */
struct ir_record *ir_records_add_absent(
    struct ir_records *rs, const struct ir_attempt_id *id);
/* Counts what r holds now: its request was filled in. */
void ir_records_filled(struct ir_records *rs, struct ir_record *r);
/*
 * Lets ir_records_find() find r by a further attempt id, of a repeat. False
 * without room.
 */
bool ir_records_alias(
    struct ir_records *rs, struct ir_record *r, const struct ir_attempt_id *id);
void ir_records_set_key(
    struct ir_records *rs, struct ir_record *r, const char *idempotency);
void ir_records_set_run(
    struct ir_records *rs, struct ir_record *r, uint64_t run);
/* The record got its end; its request's memory is let go. */
void ir_records_done(struct ir_records *rs, struct ir_record *r, int64_t now);
/* Drops answers, oldest first, until the bound leaves room for so much. */
void ir_records_trim(struct ir_records *rs, size_t room_bytes);
void ir_records_expire(struct ir_records *rs, int64_t now);
size_t ir_records_count(const struct ir_records *rs);
/* Records not yet done. */
size_t ir_records_open(const struct ir_records *rs);
/* Calls visit for each record not yet done; visit may end that record. */
void ir_records_each_open(struct ir_records *rs,
    void (*visit)(void *ctx, struct ir_record *r), void *ctx);

#endif
