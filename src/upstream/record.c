/* Records of the attempts received by this gate. */
#include "upstream/record.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Another attempt id of a record: that of a request with the same key. */
struct ir_alias {
	struct ir_attempt_id attempt;
	struct ir_record *record;
	struct ir_alias *next;
	UT_hash_handle hh;
};

/* Records that are done are kept in a timer wheel by the time they expire. */
#define WHEEL_SLOT_US IR_RECORD_MARGIN_US
#define WHEEL_SLOTS 256

_Static_assert(
    WHEEL_SLOTS *WHEEL_SLOT_US > IR_ATTEMPT_KEEP_US + 2 * WHEEL_SLOT_US,
    "the wheel must span the longest time that a record is kept");

/* Id of an answered attempt whose record was evicted. */
struct evicted {
	struct ir_attempt_id attempt;
	int64_t expire_us;
	struct evicted *prev; /* list of its expiry slot */
	struct evicted *next;
	UT_hash_handle hh;
};

/* Estimated size of a record without its request. */
#define RECORD_OVERHEAD_BYTES 2048

struct ir_records {
	struct ir_memory *memory;
	struct ir_alias *aliases;
	struct ir_record *by_attempt;
	struct ir_record *by_run;
	struct ir_record *by_key;
	struct ir_record *by_caller;
	struct ir_record *open;
	struct ir_record *wheel[WHEEL_SLOTS]; /* slots by expire_us */
	struct evicted *evicted;	      /* hashed by attempt */
	struct evicted *evicted_wheel[WHEEL_SLOTS];
	int64_t expired_until_us;   /* all records of earlier slots are freed */
	struct ir_record *answered; /* and sent; oldest first */
	struct ir_record *unsent;   /* oldest first */
	size_t open_count;
};

static int
clear_tables(struct ir_records *rs)
{
	HASH_CLEAR(hh, rs->evicted);
	HASH_CLEAR(hh, rs->aliases);
	HASH_CLEAR(caller_hh, rs->by_caller);
	HASH_CLEAR(key_hh, rs->by_key);
	HASH_CLEAR(run_hh, rs->by_run);
	HASH_CLEAR(hh, rs->by_attempt);
	return 0;
}

struct ir_records *
ir_records_new(TALLOC_CTX *mem, struct ir_memory *memory)
{
	struct ir_records *rs = talloc_zero(mem, struct ir_records);

	if (rs == NULL)
		return NULL;
	rs->memory = memory;
	talloc_set_destructor(rs, clear_tables);
	return rs;
}

struct ir_record *
ir_records_find(struct ir_records *rs, const struct ir_attempt_id *id)
{
	struct ir_record *r;
	struct ir_alias *a;

	HASH_FIND(hh, rs->by_attempt, id, sizeof(*id), r);
	if (r != NULL)
		return r;
	HASH_FIND(hh, rs->aliases, id, sizeof(*id), a);
	return a != NULL ? a->record : NULL;
}

void
ir_records_update_size(struct ir_records *rs, struct ir_record *r)
{
	size_t bytes = ir_memory_tree_bytes(r);

	ir_memory_release(rs->memory, IR_MEMORY_RECORDS, r->accounted_bytes);
	ir_memory_hold(rs->memory, IR_MEMORY_RECORDS, bytes);
	r->accounted_bytes = bytes;
}

struct ir_record *
ir_records_by_run(struct ir_records *rs, uint64_t run_id)
{
	struct ir_record *r;

	HASH_FIND(run_hh, rs->by_run, &run_id, sizeof(run_id), r);
	return r;
}

/* Reads a hexadecimal number that must be followed by the byte stop. */
static bool
read_hex(const char *text, char stop, const char **end, uint64_t *out)
{
	char *e;

	errno = 0;
	*out = strtoull(text, &e, 16);
	*end = e;
	return errno == 0 && e != text && *e == stop;
}

struct ir_record *
ir_records_by_attempt_text(struct ir_records *rs, const char *text)
{
	struct ir_attempt_id id = {0, 0};
	uint64_t incarnation, sequence;
	const char *end;

	if (!read_hex(text, '-', &end, &incarnation) ||
	    !read_hex(end + 1, '\0', &end, &sequence))
		return NULL;
	id.incarnation = incarnation;
	id.sequence = sequence;
	return ir_records_find(rs, &id);
}

struct ir_record *
ir_records_by_key(struct ir_records *rs, const char *idempotency_key)
{
	struct ir_record *r;

	HASH_FIND(
	    key_hh, rs->by_key, idempotency_key, strlen(idempotency_key), r);
	return r;
}

struct ir_record *
ir_records_by_caller_attempt(
    struct ir_records *rs, const char *id, size_t id_bytes)
{
	struct ir_record *r;

	HASH_FIND(caller_hh, rs->by_caller, id, id_bytes, r);
	return r;
}

static bool
has_caller_attempt(const struct ir_record *r)
{
	return r->run_id != 0 && r->forward != NULL &&
	       r->forward->caller_attempt != NULL &&
	       r->forward->caller_attempt[0] != '\0';
}

static uint64_t
slot_of(int64_t us)
{
	return (uint64_t)(us / WHEEL_SLOT_US) % WHEEL_SLOTS;
}

/* List of the records that expire in the slot of this time. */
static struct ir_record **
slot_at(struct ir_records *rs, int64_t us)
{
	return &rs->wheel[slot_of(us)];
}

static void
remove_aliases(struct ir_records *rs, struct ir_record *r)
{
	struct ir_alias *a = r->aliases;

	for (; a != NULL && rs->aliases != NULL; a = a->next)
		HASH_DELETE(hh, rs->aliases, a);
}

static void
free_record(struct ir_records *rs, struct ir_record *r)
{
	struct ir_record **slot = slot_at(rs, r->expire_us);

	remove_aliases(rs, r);
	if (r->idempotency_key != NULL)
		HASH_DELETE(key_hh, rs->by_key, r);
	HASH_DELETE(hh, rs->by_attempt, r);
	DL_DELETE(*slot, r);
	if (r->error == IR_OK)
		DL_DELETE2(rs->answered, r, answered_prev, answered_next);
	ir_memory_release(rs->memory, IR_MEMORY_RECORDS, r->accounted_bytes);
	talloc_free(r);
}

/* Keeps the attempt id, so that it is not reported as never received. */
static void
evict_record(struct ir_records *rs, struct ir_record *r)
{
	struct evicted *e = talloc_zero(rs, struct evicted);
	struct evicted **slot;

	if (e == NULL)
		return;
	e->attempt = r->attempt;
	e->expire_us = r->expire_us;
	slot = &rs->evicted_wheel[slot_of(e->expire_us)];
	DL_APPEND(*slot, e);
	HASH_ADD(hh, rs->evicted, attempt, sizeof(e->attempt), e);
	ir_memory_hold(rs->memory, IR_MEMORY_RECORDS, ir_memory_tree_bytes(e));
	free_record(rs, r);
}

static void
expire_evicted(struct ir_records *rs, int64_t us, int64_t now)
{
	struct evicted **slot = &rs->evicted_wheel[slot_of(us)];
	struct evicted *e, *next;

	DL_FOREACH_SAFE (*slot, e, next) {
		if (e->expire_us > now || rs->evicted == NULL)
			continue;
		DL_DELETE(*slot, e);
		HASH_DELETE(hh, rs->evicted, e);
		ir_memory_release(
		    rs->memory, IR_MEMORY_RECORDS, ir_memory_tree_bytes(e));
		talloc_free(e);
	}
}

bool
ir_records_is_evicted(
    const struct ir_records *rs, const struct ir_attempt_id *id)
{
	const struct evicted *e;

	HASH_FIND(hh, rs->evicted, id, sizeof(*id), e);
	return e != NULL;
}

static void
drop_answer(struct ir_records *rs, struct ir_record *r)
{
	TALLOC_FREE(r->headers);
	r->header_count = 0;
	TALLOC_FREE(r->body);
	r->body_bytes = 0;
	r->error = IR_E_ANSWER_DROPPED;
	ir_records_update_size(rs, r);
}

static void
evict_answer(struct ir_records *rs, struct ir_record *r)
{
	if (r->idempotency_key == NULL && r->aliases == NULL) {
		evict_record(rs, r);
		return;
	}
	DL_DELETE2(rs->answered, r, answered_prev, answered_next);
	drop_answer(rs, r);
}

void
ir_records_evict_answers(struct ir_records *rs, size_t free_bytes)
{
	while (rs->answered != NULL &&
	       !ir_memory_has_room(rs->memory, IR_MEMORY_RECORDS, free_bytes))
		evict_answer(rs, rs->answered);
}

/* Evicts answers as needed; false when new work still does not fit. */
static bool
make_room(struct ir_records *rs, size_t bytes)
{
	ir_records_evict_answers(rs, bytes);
	return !ir_memory_is_short(rs->memory) &&
	       ir_memory_has_room(rs->memory, IR_MEMORY_RECORDS, bytes);
}

bool
ir_records_add_alias(
    struct ir_records *rs, struct ir_record *r, const struct ir_attempt_id *id)
{
	struct ir_alias *a;
	size_t bytes;

	ir_records_evict_answers(rs, sizeof(*a));
	if (!ir_memory_has_room(rs->memory, IR_MEMORY_RECORDS, sizeof(*a)))
		return false;
	a = talloc_zero(r, struct ir_alias);
	if (a == NULL)
		return false;
	a->attempt = *id;
	a->record = r;
	LL_PREPEND(r->aliases, a);
	HASH_ADD(hh, rs->aliases, attempt, sizeof(a->attempt), a);
	bytes = ir_memory_tree_bytes(a);
	ir_memory_hold(rs->memory, IR_MEMORY_RECORDS, bytes);
	r->accounted_bytes += bytes;
	return true;
}

struct ir_record *
ir_records_add(
    struct ir_records *rs, const struct ir_attempt_id *id, size_t request_bytes)
{
	if (!make_room(rs, RECORD_OVERHEAD_BYTES + request_bytes))
		return NULL;
	return ir_records_add_never_received(rs, id);
}

struct ir_record *
ir_records_add_never_received(
    struct ir_records *rs, const struct ir_attempt_id *id)
{
	struct ir_record *r;

	r = talloc_zero(rs, struct ir_record);
	if (r == NULL)
		return NULL;
	r->attempt = *id;
	(void)snprintf(r->attempt_text, sizeof(r->attempt_text),
	    "%016" PRIx64 "-%" PRIx64, (uint64_t)id->incarnation,
	    (uint64_t)id->sequence);
	HASH_ADD(hh, rs->by_attempt, attempt, sizeof(r->attempt), r);
	DL_APPEND(rs->open, r);
	rs->open_count++;
	return r;
}

void
ir_records_set_key(
    struct ir_records *rs, struct ir_record *r, const char *idempotency_key)
{
	struct ir_record *old = ir_records_by_key(rs, idempotency_key);

	if (old != NULL)
		HASH_DELETE(key_hh, rs->by_key, old);
	if (old != NULL)
		TALLOC_FREE(old->idempotency_key);
	r->idempotency_key = talloc_strdup(r, idempotency_key);
	if (r->idempotency_key != NULL)
		HASH_ADD_KEYPTR(key_hh, rs->by_key, r->idempotency_key,
		    strlen(r->idempotency_key), r);
}

void
ir_records_set_run(struct ir_records *rs, struct ir_record *r, uint64_t run_id)
{
	r->run_id = run_id;
	HASH_ADD(run_hh, rs->by_run, run_id, sizeof(r->run_id), r);
	if (has_caller_attempt(r))
		HASH_ADD_KEYPTR(caller_hh, rs->by_caller,
		    r->forward->caller_attempt,
		    strlen(r->forward->caller_attempt), r);
}

static bool
was_refused(const struct ir_record *r)
{
	return ir_error_info(r->error)->outcome == IR_OUTCOME_NOT_RUN;
}

static int64_t
expiry_time(const struct ir_record *r, int64_t now)
{
	int64_t deadline_us = r->work.deadline_us;

	if (r->error == IR_E_NEVER_RECEIVED)
		return now + IR_NEVER_RECEIVED_KEEP_US;
	/*
	 * STATUS then gets IR_E_NEVER_RECEIVED, which also means not run. But
	 * the origin must not take it that the upstream has not seen it: its
	 * next attempt costs a retry token.
	 */
	if (was_refused(r) && r->error != IR_E_UPSTREAM_SHED)
		return now + IR_RECORD_MARGIN_US;
	if (r->idempotency_key != NULL)
		return now + IR_ATTEMPT_KEEP_US;
	return (deadline_us > now ? deadline_us : now) + IR_RECORD_MARGIN_US;
}

void
ir_records_mark_done(struct ir_records *rs, struct ir_record *r, int64_t now)
{
	struct ir_record **slot;

	if (r->run_id != 0)
		HASH_DELETE(run_hh, rs->by_run, r);
	if (has_caller_attempt(r))
		HASH_DELETE(caller_hh, rs->by_caller, r);
	r->state = IR_RECORD_DONE;
	r->expire_us = expiry_time(r, now);
	TALLOC_FREE(r->forward);
	DL_DELETE(rs->open, r);
	rs->open_count--;
	ir_records_update_size(rs, r);
	r->refused = was_refused(r);
	slot = slot_at(rs, r->expire_us);
	DL_APPEND(*slot, r);
	if (r->error == IR_OK)
		DL_APPEND2(rs->answered, r, answered_prev, answered_next);
}

void
ir_records_mark_unsent(struct ir_records *rs, struct ir_record *r)
{
	if (r->error == IR_OK)
		DL_DELETE2(rs->answered, r, answered_prev, answered_next);
	r->unsent = true;
	DL_APPEND2(rs->unsent, r, answered_prev, answered_next);
	ir_records_evict_answers(rs, 0);
	if (r->error == IR_OK && r != rs->unsent &&
	    !ir_memory_has_room(rs->memory, IR_MEMORY_RECORDS, 0))
		drop_answer(rs, r);
}

void
ir_records_mark_sent(struct ir_records *rs, struct ir_record *r)
{
	r->unsent = false;
	DL_DELETE2(rs->unsent, r, answered_prev, answered_next);
	if (r->error == IR_OK)
		DL_APPEND2(rs->answered, r, answered_prev, answered_next);
}

struct ir_record *
ir_records_first_unsent(const struct ir_records *rs)
{
	return rs->unsent;
}

static void
postpone_expiry(struct ir_records *rs, struct ir_record *r, int64_t now)
{
	struct ir_record **slot = slot_at(rs, r->expire_us);

	DL_DELETE(*slot, r);
	r->expire_us = now + IR_RECORD_MARGIN_US;
	slot = slot_at(rs, r->expire_us);
	DL_APPEND(*slot, r);
}

/* After a pause the slot may hold records that expire a revolution later. */
static void
expire_slot(struct ir_records *rs, int64_t us, int64_t now)
{
	struct ir_record *r, *next;

	DL_FOREACH_SAFE (*slot_at(rs, us), r, next) {
		if (r->expire_us > now)
			continue;
		if (r->unsent)
			postpone_expiry(rs, r, now);
		else
			free_record(rs, r);
	}
}

void
ir_records_expire(struct ir_records *rs, int64_t now)
{
	int64_t from_us = now - WHEEL_SLOTS * WHEEL_SLOT_US;

	/* After a long pause each slot is visited once. */
	if (rs->expired_until_us < from_us)
		rs->expired_until_us = from_us;
	for (; now - rs->expired_until_us >= WHEEL_SLOT_US;
	     rs->expired_until_us += WHEEL_SLOT_US) {
		expire_slot(rs, rs->expired_until_us, now);
		expire_evicted(rs, rs->expired_until_us, now);
	}
}

size_t
ir_records_count(const struct ir_records *rs)
{
	return HASH_CNT(hh, rs->by_attempt);
}

size_t
ir_records_open_count(const struct ir_records *rs)
{
	return rs->open_count;
}

void
ir_records_each_open(struct ir_records *rs,
    void (*visit)(void *ctx, struct ir_record *r), void *ctx)
{
	struct ir_record **snapshot, *r;
	size_t count = 0;

	if (rs->open_count == 0)
		return;
	snapshot = talloc_array(rs, struct ir_record *, rs->open_count);
	if (snapshot == NULL)
		return;
	DL_FOREACH (rs->open, r)
		snapshot[count++] = r;
	for (size_t i = 0; i < count; i++) {
		if (snapshot[i]->state != IR_RECORD_DONE)
			visit(ctx, snapshot[i]);
	}
	talloc_free(snapshot);
}
