/*
 * Records of the attempts received by this gate: queued, running, answered or
 * refused. A repeated attempt id finds its record and never starts a second
 * run; so does a repeated Idempotency-Key of the same account.
 *
 * A record with an Idempotency-Key is kept for IR_ATTEMPT_KEEP_US after its
 * answer. Any other is kept until its origin, which gives up its call at the
 * deadline, can no longer ask for it. When IR_MEMORY_RECORDS has no room, the
 * oldest answers are evicted: a record with a key then answers
 * IR_E_ANSWER_DROPPED; of a record without a key, only the attempt id is kept,
 * see ir_records_is_evicted().
 *
 * A record whose answer could not be sent yet is unsent: it neither expires nor
 * is evicted until it is marked as sent. An answer that is ready while unsent
 * ones fill IR_MEMORY_RECORDS is dropped.
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
 * How long a record is kept past its deadline. The deadline at the origin is
 * later by up to the 20 ms that the origin reserves for the answer's transfer.
 */
#define IR_RECORD_MARGIN_US (250 * IR_US_PER_MS)
/* How long the record of an attempt that was never received is kept. */
#define IR_NEVER_RECEIVED_KEEP_US (10 * IR_US_PER_S)

/* A peer that waits for the answer, and the attempt id it sent. */
struct ir_waiter {
	uint32_t conn;
	uint32_t xid;
	struct ir_attempt_id attempt;
	bool by_status; /* asked by STATUS, otherwise by FORWARD */
	struct ir_waiter *next;
};

enum ir_record_state {
	IR_RECORD_QUEUED,
	IR_RECORD_STARTING, /* admitted by the gate, not yet sent */
	IR_RECORD_RUNNING,
	IR_RECORD_DONE
};

struct call;
struct ir_alias;

struct ir_record {
	struct ir_attempt_id attempt;
	enum ir_record_state state;
	struct ir_work work;
	uint64_t run_id;       /* 0 until started */
	char attempt_text[40]; /* attempt id as given to the upstream */
	char *idempotency_key; /* account and key, or NULL */
	uint64_t fingerprint;  /* hash of method, path, body; 0 without key */
	struct ir_forward *forward; /* the request; NULL when done */
	char *account;
	const char *const *regions; /* allowed ones, see region_set.h */
	uint64_t regions_hash;	    /* of the view they were last taken from */
	struct ir_retry_quota retry_quota;
	struct call *children;	      /* pending egress calls of this request */
	int64_t callee_wait_start_us; /* when children became non-empty */
	uint64_t route_hash;	      /* of the route, see throttle.h */
	bool wasted; /* done; failed because of callee_refused */
	/* One of its calls was refused for overload or had no host. */
	bool callee_refused;
	struct ir_waiter *waiters;
	struct ir_alias *aliases;
	/* The answer, when done. */
	enum ir_error error;
	uint32_t status;
	uint32_t retry_after_ms;
	struct ir_header *headers;
	uint32_t header_count;
	uint8_t *body;
	uint32_t body_bytes;
	size_t accounted_bytes; /* in IR_MEMORY_RECORDS */
	int64_t expire_us;	/* if done: time to free the record */
	bool refused;		/* done without a run */
	bool unsent;		/* done, and some waiters lack the answer */
	struct ir_record *prev; /* among open ones, or in the expiry slot */
	struct ir_record *next;
	/* List of those with an answer, or of those that are unsent. */
	struct ir_record *answered_prev;
	struct ir_record *answered_next;
	UT_hash_handle hh;
	UT_hash_handle run_hh;
	UT_hash_handle key_hh;
	UT_hash_handle caller_hh; /* by the caller's attempt; while running */
};

struct ir_records;

/*
 * memory: counts the bytes of the records as IR_MEMORY_RECORDS. NULL if out of
 * memory.
 */
struct ir_records *ir_records_new(TALLOC_CTX *mem, struct ir_memory *memory);
struct ir_record *ir_records_find(
    struct ir_records *rs, const struct ir_attempt_id *id);
struct ir_record *ir_records_by_run(struct ir_records *rs, uint64_t run_id);
/* Whether the attempt was answered and its record has been evicted. */
bool ir_records_is_evicted(
    const struct ir_records *rs, const struct ir_attempt_id *id);
/* text: as in attempt_text; NULL for any other text. */
struct ir_record *ir_records_by_attempt_text(
    struct ir_records *rs, const char *text);
/* The running record for which the caller gave this attempt id, or NULL. */
struct ir_record *ir_records_by_caller_attempt(
    struct ir_records *rs, const char *id, size_t id_bytes);
struct ir_record *ir_records_by_key(
    struct ir_records *rs, const char *idempotency_key);
/*
 * Adds a record for a request of this size; evicts answers for it as needed.
 * NULL when it does not fit into the memory bound.
 */
struct ir_record *ir_records_add(struct ir_records *rs,
    const struct ir_attempt_id *id, size_t request_bytes);
/*
 * Adds a record of an attempt that was not received, so that it cannot run
 * later. Such records are not subject to the memory bound, as they are few: at
 * most one for each attempt whose link was lost. NULL if out of memory.
 */
struct ir_record *ir_records_add_never_received(
    struct ir_records *rs, const struct ir_attempt_id *id);
/* Recounts the bytes of r, for example after its request was copied. */
void ir_records_update_size(struct ir_records *rs, struct ir_record *r);
/*
 * Lets ir_records_find() find r by a further attempt id, that of a repeat.
 * False when it does not fit into the memory bound.
 */
bool ir_records_add_alias(
    struct ir_records *rs, struct ir_record *r, const struct ir_attempt_id *id);
/* Sets the Idempotency-Key of r; a record that already has it loses it. */
void ir_records_set_key(
    struct ir_records *rs, struct ir_record *r, const char *idempotency_key);
/* Sets the run of r. r is then found by run and by the caller's attempt. */
void ir_records_set_run(
    struct ir_records *rs, struct ir_record *r, uint64_t run_id);
/* Marks r as done, with its answer filled in, and frees its request. */
void ir_records_mark_done(
    struct ir_records *rs, struct ir_record *r, int64_t now);
/* Marks r, which is done, as unsent. */
void ir_records_mark_unsent(struct ir_records *rs, struct ir_record *r);
/* Marks r, which is unsent, as sent. */
void ir_records_mark_sent(struct ir_records *rs, struct ir_record *r);
/* The record that has been unsent for longest, or NULL. */
struct ir_record *ir_records_first_unsent(const struct ir_records *rs);
/* Evicts the oldest answers until free_bytes fit into the memory bound. */
void ir_records_evict_answers(struct ir_records *rs, size_t free_bytes);
/* Frees the records that expired by now. */
void ir_records_expire(struct ir_records *rs, int64_t now);
size_t ir_records_count(const struct ir_records *rs);
/* Number of records that are not done. */
size_t ir_records_open_count(const struct ir_records *rs);
/* Calls visit for each record that is not done; visit may end that record. */
void ir_records_each_open(struct ir_records *rs,
    void (*visit)(void *ctx, struct ir_record *r), void *ctx);

#endif
