/* Rings keep order and ownership, and no wakeup of a consumer is lost. */
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "io/ring.h"

#define SLOTS 8
#define COUNT 200000

static void *
new_number(uintptr_t n)
{
	uintptr_t *p = talloc(NULL, uintptr_t);

	*p = n;
	return p;
}

static uintptr_t
pop_number(struct ir_ring *r)
{
	uintptr_t *p = ir_ring_pop(r);
	uintptr_t n = p != NULL ? *p : 0;

	talloc_free(p);
	return n;
}

static bool
is_signalled(const struct ir_wakeup *w)
{
	struct pollfd p = {.fd = ir_wakeup_fd(w), .events = POLLIN};

	return poll(&p, 1, 0) == 1;
}

static void
test_full_ring_keeps_order(void **state)
{
	struct ir_wakeup *w = ir_wakeup_new(NULL);
	struct ir_ring *r = ir_ring_new(w, w, SLOTS);
	void *extra = new_number(99);

	assert_true(ir_ring_empty(r));
	for (uintptr_t i = 1; i < SLOTS; i++)
		assert_true(ir_ring_push(r, new_number(i)));
	assert_false(ir_ring_push(r, extra));
	for (uintptr_t i = 1; i < SLOTS; i++)
		assert_int_equal(pop_number(r), i);
	assert_true(ir_ring_empty(r));
	talloc_free(extra);
	talloc_free(w);
}

/* A ring frees the messages left in it; the leak checker sees a failure. */
static void
test_ring_frees_remaining_messages(void **state)
{
	struct ir_wakeup *w = ir_wakeup_new(NULL);
	struct ir_ring *r = ir_ring_new(w, w, SLOTS);

	assert_true(ir_ring_push(r, new_number(1)));
	talloc_free(w);
}

static void
test_outbox_keeps_order_behind_a_full_ring(void **state)
{
	struct ir_wakeup *w = ir_wakeup_new(NULL);
	struct ir_ring *r = ir_ring_new(w, w, SLOTS);
	struct ir_outbox o;

	ir_outbox_init(&o, r);
	for (uintptr_t i = 1; i <= 20; i++)
		ir_outbox_push(&o, new_number(i));
	assert_int_equal(o.backlog_count, 20 - (SLOTS - 1));
	assert_false(ir_outbox_flush(&o));
	for (uintptr_t i = 1; i <= 10; i++) {
		assert_int_equal(pop_number(r), i);
		ir_outbox_flush(&o);
	}
	ir_outbox_push(&o, new_number(21));
	for (uintptr_t i = 11; i <= 21; i++) {
		assert_int_equal(pop_number(r), i);
		ir_outbox_flush(&o);
	}
	assert_int_equal(o.backlog_count, 0);
	for (uintptr_t i = 1; i <= 20; i++)
		ir_outbox_push(&o, new_number(i));
	ir_outbox_clear(&o);
	talloc_free(w);
}

static void
test_push_signals_only_an_armed_wakeup(void **state)
{
	struct ir_wakeup *w = ir_wakeup_new(NULL);
	struct ir_ring *r = ir_ring_new(w, w, SLOTS);

	ir_ring_push(r, new_number(1));
	assert_false(is_signalled(w));
	ir_wakeup_arm(w);
	ir_ring_push(r, new_number(2));
	assert_true(is_signalled(w));
	ir_wakeup_disarm(w);
	assert_false(is_signalled(w));
	ir_wakeup_arm(w);
	ir_wakeup_disarm(w);
	ir_ring_push(r, new_number(3));
	assert_false(is_signalled(w));
	talloc_free(w);
}

static void *
produce(void *ctx)
{
	struct ir_outbox o;

	ir_outbox_init(&o, ctx);
	for (uintptr_t i = 1; i <= COUNT; i++)
		ir_outbox_push(&o, new_number(i));
	while (!ir_outbox_flush(&o))
		;
	return NULL;
}

/* The consumer waits without a timeout: a lost wakeup would hang the test. */
static void
test_no_wakeup_is_lost(void **state)
{
	struct ir_wakeup *w = ir_wakeup_new(NULL);
	struct ir_ring *r = ir_ring_new(w, w, SLOTS);
	struct pollfd p = {.fd = ir_wakeup_fd(w), .events = POLLIN};
	uintptr_t next = 1;
	pthread_t producer;

	assert_int_equal(pthread_create(&producer, NULL, produce, r), 0);
	while (next <= COUNT) {
		while (!ir_ring_empty(r))
			assert_int_equal(pop_number(r), next++);
		ir_wakeup_arm(w);
		if (ir_ring_empty(r) && next <= COUNT)
			poll(&p, 1, -1);
		ir_wakeup_disarm(w);
	}
	pthread_join(producer, NULL);
	talloc_free(w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_full_ring_keeps_order),
	    cmocka_unit_test(test_ring_frees_remaining_messages),
	    cmocka_unit_test(test_outbox_keeps_order_behind_a_full_ring),
	    cmocka_unit_test(test_push_signals_only_an_armed_wakeup),
	    cmocka_unit_test(test_no_wakeup_is_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
