/* Records of attempts: how long each is retained, and what is evicted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "upstream/record.h"

#define START_US (1000 * IR_US_PER_S)
#define ANSWER_BYTES 65536

struct fixture {
	struct ir_memory memory;
	struct ir_records *records;
	uint64_t sequence;
};

static int
set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	ir_memory_init(&f->memory, 32 * 1024 * 1024);
	f->records = ir_records_new(f, &f->memory);
	ir_records_expire(f->records, START_US);
	*state = f;
	return 0;
}

static int
tear_down(void **state)
{
	talloc_free(*state);
	return 0;
}

static struct ir_attempt_id
id_of(uint64_t sequence)
{
	struct ir_attempt_id id = {.incarnation = 3, .sequence = sequence};

	return id;
}

static struct ir_record *
add(struct fixture *f, int64_t deadline_us, const char *key)
{
	struct ir_attempt_id id = id_of(++f->sequence);
	struct ir_record *r = ir_records_add(f->records, &id, 0);

	if (r == NULL)
		return NULL;
	r->work.deadline_us = deadline_us;
	if (key != NULL)
		ir_records_set_key(f->records, r, key);
	ir_records_update_size(f->records, r);
	return r;
}

static void
mark_answered(struct fixture *f, struct ir_record *r, int64_t now, size_t bytes)
{
	r->error = IR_OK;
	r->body = talloc_size(r, bytes);
	r->body_bytes = (uint32_t)bytes;
	ir_records_mark_done(f->records, r, now);
}

static void
answer(struct fixture *f, struct ir_record *r, int64_t now, size_t bytes)
{
	mark_answered(f, r, now, bytes);
	ir_records_evict_answers(f->records, 0);
}

static struct ir_record *
find(struct fixture *f, uint64_t sequence)
{
	struct ir_attempt_id id = id_of(sequence);

	return ir_records_find(f->records, &id);
}

static void
test_attempt_is_retained_until_its_deadline(void **state)
{
	struct fixture *f = *state;
	int64_t deadline_us = START_US + 800 * IR_US_PER_MS;

	answer(f, add(f, deadline_us, NULL), START_US, 10);
	ir_records_expire(f->records, deadline_us);
	assert_non_null(find(f, 1));
	ir_records_expire(f->records, deadline_us + IR_US_PER_S);
	assert_null(find(f, 1));
}

/*
 * A lost answer that says so is asked for again after the link is back: without
 * the record, the origin's next attempt at an upstream would cost no token.
 */
static void
test_attempt_shed_by_the_upstream_is_retained_until_its_deadline(void **state)
{
	struct fixture *f = *state;
	int64_t deadline_us = START_US + 5 * IR_US_PER_S;
	struct ir_record *shed = add(f, deadline_us, NULL);
	struct ir_record *refused = add(f, deadline_us, NULL);

	shed->error = IR_E_UPSTREAM_SHED;
	ir_records_mark_done(f->records, shed, START_US);
	refused->error = IR_E_OVERLOAD;
	ir_records_mark_done(f->records, refused, START_US);
	ir_records_expire(f->records, deadline_us);
	assert_non_null(find(f, 1));
	assert_null(find(f, 2));
	ir_records_expire(f->records, deadline_us + IR_US_PER_S);
	assert_null(find(f, 1));
}

static void
test_key_is_retained_for_its_time(void **state)
{
	struct fixture *f = *state;

	answer(f, add(f, START_US + 1, "key"), START_US, 10);
	for (int64_t t = 0; t < IR_ATTEMPT_KEEP_US; t += 10 * IR_US_PER_MS)
		ir_records_expire(f->records, START_US + t);
	assert_non_null(ir_records_by_key(f->records, "key"));
	ir_records_expire(
	    f->records, START_US + IR_ATTEMPT_KEEP_US + IR_US_PER_S);
	assert_null(ir_records_by_key(f->records, "key"));
}

/* The run ends between a pause and the next call of ir_records_expire(). */
static void
test_key_answered_after_a_pause_is_not_freed_early(void **state)
{
	struct fixture *f = *state;

	for (int64_t pause_s = 1; pause_s <= 120; pause_s++) {
		struct ir_record *r = add(f, START_US, "key");
		int64_t now = START_US + pause_s * 1000 * IR_US_PER_S;

		ir_records_expire(f->records, now - pause_s * IR_US_PER_S);
		answer(f, r, now, 10);
		ir_records_expire(f->records, now + IR_US_PER_MS);
		assert_non_null(ir_records_by_key(f->records, "key"));
		ir_records_expire(
		    f->records, now + IR_ATTEMPT_KEEP_US - IR_US_PER_S);
		assert_non_null(ir_records_by_key(f->records, "key"));
	}
}

static void
test_answers_are_evicted_before_work_is_refused(void **state)
{
	struct fixture *f = *state;
	struct ir_attempt_id first = id_of(1);
	struct ir_record *r;

	for (int i = 0; i < 200; i++) {
		r = add(f, START_US + 20 * IR_US_PER_S, NULL);
		assert_non_null(r);
		answer(f, r, START_US, ANSWER_BYTES);
		assert_true(
		    ir_memory_has_room(&f->memory, IR_MEMORY_RECORDS, 0));
	}
	assert_int_equal(find(f, 200)->error, IR_OK);
	assert_null(find(f, 1));
	assert_true(ir_records_is_evicted(f->records, &first));
	ir_records_expire(f->records, START_US + 21 * IR_US_PER_S);
	assert_false(ir_records_is_evicted(f->records, &first));
}

static void
test_work_is_refused_without_room(void **state)
{
	struct fixture *f = *state;
	uint32_t taken = 0;

	while (add(f, START_US + IR_US_PER_S, NULL) != NULL)
		taken++;
	assert_true(taken > 1000);
	assert_true(ir_memory_has_room(&f->memory, IR_MEMORY_RECORDS, 0));
}

static void
test_repeats_of_a_key_stay_within_the_memory_bound(void **state)
{
	struct fixture *f = *state;
	struct ir_record *r = add(f, START_US, "key");
	size_t before = ir_memory_tree_bytes(f->records);
	uint64_t repeat = 1000;
	struct ir_attempt_id id = id_of(repeat);

	answer(f, r, START_US, 10);
	while (repeat < 1000000 && ir_records_add_alias(f->records, r, &id))
		id = id_of(++repeat);
	assert_true(ir_memory_tree_bytes(f->records) - before <=
		    f->memory.bound_bytes[IR_MEMORY_RECORDS]);
	ir_records_expire(f->records, START_US + 2 * IR_ATTEMPT_KEEP_US);
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_RECORDS), 0);
}

static void
answer_unsent(struct fixture *f, struct ir_record *r)
{
	mark_answered(f, r, START_US, ANSWER_BYTES);
	ir_records_mark_unsent(f->records, r);
}

/* Newer answers that were sent take up the memory bound. */
static void
test_unsent_answer_is_neither_evicted_nor_expired(void **state)
{
	struct fixture *f = *state;
	struct ir_record *r = add(f, START_US + 1, NULL);

	answer_unsent(f, r);
	for (int i = 0; i < 200; i++)
		answer(f, add(f, START_US + 30 * IR_US_PER_S, NULL), START_US,
		    ANSWER_BYTES);
	for (int64_t t = 0; t < 20 * IR_US_PER_S; t += 10 * IR_US_PER_MS)
		ir_records_expire(f->records, START_US + t);
	assert_ptr_equal(find(f, 1), r);
	assert_int_equal(r->error, IR_OK);
	assert_int_equal(r->body_bytes, ANSWER_BYTES);
	ir_records_mark_sent(f->records, r);
	ir_records_expire(f->records, START_US + 21 * IR_US_PER_S);
	assert_null(find(f, 1));
}

static void
test_unsent_answers_are_listed_oldest_first(void **state)
{
	struct fixture *f = *state;
	struct ir_record *r[3];

	for (int i = 0; i < 3; i++) {
		r[i] = add(f, START_US + 1, NULL);
		answer_unsent(f, r[i]);
	}
	for (int i = 0; i < 3; i++) {
		assert_ptr_equal(ir_records_first_unsent(f->records), r[i]);
		ir_records_mark_sent(f->records, r[i]);
	}
	assert_null(ir_records_first_unsent(f->records));
}

/* All attempts run already, so that none can be refused. */
static void
test_unsent_answers_stay_within_memory_bound(void **state)
{
	struct fixture *f = *state;
	uint64_t bound = f->memory.bound_bytes[IR_MEMORY_RECORDS];
	struct ir_record *r[200];
	int dropped = 0;

	for (int i = 0; i < 200; i++)
		r[i] = add(f, START_US + 1, NULL);
	for (int i = 0; i < 200; i++) {
		answer_unsent(f, r[i]);
		dropped += r[i]->error == IR_E_ANSWER_DROPPED;
		assert_true(
		    ir_memory_held(&f->memory, IR_MEMORY_RECORDS) <= bound);
	}
	assert_true(dropped > 0 && dropped < 200);
	assert_int_equal(r[0]->error, IR_OK);
	assert_int_equal(r[199]->error, IR_E_ANSWER_DROPPED);
}

int
main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_attempt_is_retained_until_its_deadline),
	    T(test_attempt_shed_by_the_upstream_is_retained_until_its_deadline),
	    T(test_key_is_retained_for_its_time),
	    T(test_key_answered_after_a_pause_is_not_freed_early),
	    T(test_answers_are_evicted_before_work_is_refused),
	    T(test_repeats_of_a_key_stay_within_the_memory_bound),
	    T(test_work_is_refused_without_room),
	    T(test_unsent_answer_is_neither_evicted_nor_expired),
	    T(test_unsent_answers_are_listed_oldest_first),
	    T(test_unsent_answers_stay_within_memory_bound),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
