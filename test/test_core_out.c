/* Messages of the core's thread to the others: what they own, and the limits
 * while nobody takes them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <utlist.h>

#include <cmocka.h>

#include "io/core/core_out.h"

#define RING_SLOTS 8
#define TEXT_BYTES 32
#define LIMIT_BYTES (32 * 1024 * 1024)
#define BODY_BYTES (256 * 1024)
#define MANY_MESSAGES 20000
#define CONN 2

struct fixture {
	struct core core;
	struct ir_core_loop loop;
	struct ir_memory memory;
	struct ir_wakeup *wakeup;
	struct ir_ring *ring;
};

static int
set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	ir_memory_init(&f->memory, LIMIT_BYTES);
	f->loop.memory = &f->memory;
	f->core.loop = &f->loop;
	f->wakeup = ir_wakeup_new(f);
	f->ring = ir_ring_new(f, f->wakeup, RING_SLOTS);
	for (int t = 0; t < IR_THREAD_COUNT; t++)
		ir_outbox_init(&f->core.outboxes[t], f->ring);
	*state = f;
	return 0;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	struct closing_conn *cc, *next;
	struct deferred_event *e;

	for (int t = 0; t < IR_THREAD_COUNT; t++)
		ir_outbox_clear(&f->core.outboxes[t]);
	while ((e = f->core.deferred_events) != NULL) {
		DL_DELETE(f->core.deferred_events, e);
		talloc_free(e->message);
		talloc_free(e);
	}
	HASH_ITER (hh, f->core.closing_conns, cc, next) {
		HASH_DEL(f->core.closing_conns, cc);
		talloc_free(cc);
	}
	talloc_free(f);
	return 0;
}

static bool
send_answer(struct fixture *f, uint32_t conn, size_t body_bytes)
{
	static uint8_t body[BODY_BYTES];
	struct ir_msg m = {.kind = IR_MSG_ANSWER};

	m.ir_msg_u.answer.body.body_val = (char *)body;
	m.ir_msg_u.answer.body.body_len = (u_int)body_bytes;
	return ir_core_ops.send(&f->core, conn, 1, &m);
}

static void
send_until_refused(struct fixture *f)
{
	for (int i = 0; i < 100; i++) {
		if (!send_answer(f, CONN, BODY_BYTES))
			return;
	}
	fail_msg("all messages were taken");
}

/* Takes all messages and counts those of a kind. */
static uint32_t
count_messages(struct fixture *f, enum ir_from_core_kind kind)
{
	struct ir_outbox *o = &f->core.outboxes[IR_THREAD_PEERS];
	struct ir_from_core *m;
	uint32_t count = 0;

	do {
		while ((m = ir_ring_pop(f->ring)) != NULL) {
			count += m->kind == kind;
			talloc_free(m);
		}
	} while (!ir_outbox_flush(o) || !ir_ring_empty(f->ring));
	return count;
}

/* The buffers of the run's texts are overwritten after the callback. */
static void
test_run_message_owns_its_texts(void **state)
{
	struct fixture *f = *state;
	char text[9][TEXT_BYTES];
	struct ir_from_core *m;
	struct ir_run r = {.id = 7};
	const char **all[] = {&r.attempt, &r.request, &r.account, &r.authority,
	    &r.caller_attempt, &r.origin, &r.upstream_id, &r.method, &r.path};

	for (int i = 0; i < 9; i++) {
		snprintf(text[i], TEXT_BYTES, "text-%d", i);
		*all[i] = text[i];
	}
	ir_core_ops.run(&f->core, &r);
	memset(text, 'x', sizeof(text));
	m = ir_ring_pop(f->ring);
	assert_non_null(m);
	r = m->u.run;
	for (int i = 0; i < 9; i++) {
		char expected[TEXT_BYTES];

		snprintf(expected, TEXT_BYTES, "text-%d", i);
		assert_string_equal(*all[i], expected);
	}
	talloc_free(m);
}

/* Beyond the bound, runs end without room and messages are not taken. */
static void
test_untaken_messages_stay_within_memory_bound(void **state)
{
	struct fixture *f = *state;
	uint64_t bound = f->memory.bound_bytes[IR_MEMORY_RINGS];
	uint8_t *body = talloc_zero_size(f, BODY_BYTES);
	struct ir_run r = {.body = body, .body_bytes = BODY_BYTES};
	uint32_t taken = 0;

	for (uint32_t i = 1; i <= 100; i++) {
		ir_core_ops.run(&f->core, &r);
		taken += send_answer(f, i, BODY_BYTES);
	}
	assert_true(f->memory.held_bytes[IR_MEMORY_RINGS] <= bound);
	assert_true(f->memory.held_bytes[IR_MEMORY_RINGS] > bound / 2);
	assert_non_null(f->core.deferred_events);
	assert_int_equal(
	    f->core.deferred_events->message->u.result.end, IR_RUN_NO_ROOM);
	assert_true(taken > 0 && taken < 100);
}

static void
test_message_without_room_closes_no_connection(void **state)
{
	struct fixture *f = *state;

	send_until_refused(f);
	assert_null(f->core.closing_conns);
	assert_null(f->core.deferred_events);
	assert_int_equal(count_messages(f, IR_FROM_CORE_PEER_CLOSE), 0);
	assert_true(send_answer(f, CONN, BODY_BYTES));
}

static void
test_message_over_the_bound_is_taken_alone(void **state)
{
	struct fixture *f = *state;

	ir_memory_init(&f->memory, BODY_BYTES);
	assert_true(send_answer(f, CONN, BODY_BYTES));
	assert_false(send_answer(f, CONN, 0));
	assert_int_equal(count_messages(f, IR_FROM_CORE_PEER_SEND), 1);
	assert_true(send_answer(f, CONN, BODY_BYTES));
}

/* The memory would hold more. */
static void
test_number_of_untaken_messages_is_bounded(void **state)
{
	struct fixture *f = *state;
	uint32_t taken = 0;

	ir_memory_init(&f->memory, UINT64_C(1) << 30);
	while (taken < MANY_MESSAGES && send_answer(f, CONN, 0))
		taken++;
	assert_true(taken > 1000 && taken < MANY_MESSAGES);
	assert_false(ir_core_ops.connect(&f->core, 2, "10.0.0.1", 7003));
	assert_null(f->core.deferred_events);
	ir_core_ops.close(&f->core, CONN);
	assert_int_equal(count_messages(f, IR_FROM_CORE_PEER_SEND), taken);
	assert_true(ir_core_ops.connect(&f->core, 2, "10.0.0.1", 7003));
}

/* Messages are repeated while they have no room. */
static void
test_full_ring_is_reported_once(void **state)
{
	struct fixture *f = *state;

	send_until_refused(f);
	for (int i = 0; i < 10; i++)
		assert_false(send_answer(f, CONN, BODY_BYTES));
	assert_int_equal(f->loop.counters.value[IR_COUNTER_RING_FULL], 1);
}

static void
test_message_memory_is_counted_until_freed(void **state)
{
	struct fixture *f = *state;
	uint8_t *body = talloc_zero_size(f, BODY_BYTES);
	struct ir_answer a = {.body = body, .body_bytes = BODY_BYTES};

	ir_core_ops.answer(&f->core, 1, &a);
	assert_true(ir_memory_held(&f->memory, IR_MEMORY_RINGS) >= BODY_BYTES);
	talloc_free(ir_ring_pop(f->ring));
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_RINGS), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_run_message_owns_its_texts, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_untaken_messages_stay_within_memory_bound, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_message_without_room_closes_no_connection, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_message_over_the_bound_is_taken_alone, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_number_of_untaken_messages_is_bounded, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_full_ring_is_reported_once, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_message_memory_is_counted_until_freed, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
