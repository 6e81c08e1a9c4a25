/* The core's thread: what it does with messages while it stops. */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <poll.h>

#include "ibisrail/limits.h"
#include "io/clock.h"
#include "io/core/core_loop.h"

#define RING_SLOTS 128
#define DRAIN_MS 100
#define LONG_DRAIN_MS 90000
#define LEAVE_MS 60000

struct fixture {
	struct ir_core_loop loop;
	struct ir_settings settings;
	struct ir_memory memory;
	struct ir_dialect dialect;
	pthread_t thread;
};

static void
send_to_core(struct fixture *f, enum ir_thread from, struct ir_to_core *m)
{
	assert_true(ir_ring_push(f->loop.channels[from]->to_core, m));
}

static int
set_up(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);
	struct ir_core_loop *l = &f->loop;

	ir_memory_init(&f->memory, 0);
	f->dialect = ir_native_dialect;
	f->settings.host = "s1";
	f->settings.service = "s";
	f->settings.region = "r";
	f->settings.zone = "z";
	f->settings.slots = 1;
	f->settings.drain_ms = DRAIN_MS;
	f->settings.leave_ms = LEAVE_MS;
	f->settings.finish_ms = DRAIN_MS;
	l->settings = &f->settings;
	l->memory = &f->memory;
	l->dialect = &f->dialect;
	l->incarnation = 1;
	l->wakeup = ir_wakeup_new(f);
	for (int t = 0; t < IR_THREAD_COUNT; t++)
		l->channels[t] = ir_channel_new(f, l->wakeup, NULL, RING_SLOTS);
	*state = f;
	return pthread_create(&f->thread, NULL, ir_core_loop_run, l);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	send_to_core(f, IR_THREAD_MAIN, ir_to_core_new(IR_TO_CORE_EXIT));
	pthread_join(f->thread, NULL);
	talloc_free(f);
	return 0;
}

/* The next message of the kind to the thread; waits without a timeout. */
static struct ir_from_core *
receive(struct fixture *f, enum ir_thread to, enum ir_from_core_kind kind)
{
	struct ir_channel *ch = f->loop.channels[to];
	struct pollfd p = {.fd = ir_wakeup_fd(ch->wakeup), .events = POLLIN};

	for (;;) {
		struct ir_from_core *m = ir_ring_pop(ch->from_core);

		if (m != NULL && m->kind == kind)
			return m;
		talloc_free(m);
		if (m != NULL)
			continue;
		ir_wakeup_arm(ch->wakeup);
		if (ir_ring_empty(ch->from_core))
			poll(&p, 1, -1);
		ir_wakeup_disarm(ch->wakeup);
	}
}

static void
send_call(struct fixture *f, uint64_t id)
{
	struct ir_to_core *m = ir_to_core_new(IR_TO_CORE_CALL);

	m->u.call.id = id;
	m->u.call.method = "GET";
	m->u.call.service = "s";
	m->u.call.path = "/";
	m->u.call.deadline_ms = 1000;
	send_to_core(f, IR_THREAD_CALLERS, m);
}

static void
send_drain(struct fixture *f, int64_t since_us)
{
	struct ir_to_core *m = ir_to_core_new(IR_TO_CORE_DRAIN);

	m->since_us = since_us;
	send_to_core(f, IR_THREAD_MAIN, m);
}

static void
test_calls_after_the_stop_are_refused_as_stopping(void **state)
{
	struct fixture *f = *state;
	struct ir_from_core *m;

	send_call(f, 7);
	m = receive(f, IR_THREAD_CALLERS, IR_FROM_CORE_ANSWER);
	assert_int_not_equal(m->u.answer.error, IR_E_STOPPING);
	talloc_free(m);
	send_drain(f, ir_clock_now());
	m = receive(f, IR_THREAD_CALLERS, IR_FROM_CORE_STOP);
	assert_int_equal(m->id, 7);
	talloc_free(m);
	send_call(f, 8);
	m = receive(f, IR_THREAD_CALLERS, IR_FROM_CORE_ANSWER);
	assert_int_equal(m->id, 8);
	assert_int_equal(m->u.answer.error, IR_E_STOPPING);
	talloc_free(m);
}

/* The process stood still: the signal is older than the message. */
static void
test_drain_counts_from_the_signal(void **state)
{
	struct fixture *f = *state;

	f->settings.drain_ms = LONG_DRAIN_MS;
	send_drain(f, ir_clock_now() - LONG_DRAIN_MS * IR_US_PER_MS);
	talloc_free(receive(f, IR_THREAD_CALLERS, IR_FROM_CORE_STOP));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_calls_after_the_stop_are_refused_as_stopping, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_drain_counts_from_the_signal, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
