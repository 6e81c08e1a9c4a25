/*
 * Callers that keep idle connections open, up to the limit of connections, must
 * not keep others out. The test acts as the core.
 */
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "io/callers/callers.h"
#include "io/clock.h"
#include "io/listen.h"
#include "support/raw_http.h"

#define RING_SLOTS 64
#define MAX_CONNECTIONS 8
/* Far more than an answer needs, also on a busy machine. */
#define MAX_WAIT_MS 10000
#define STOP_US (500 * IR_US_PER_MS)

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_memory memory;
	struct ir_callers *callers;
	pthread_t thread;
	uint16_t port;
	int fds[MAX_CONNECTIONS];
};

static int
set_up(void **state)
{
	const struct ir_endpoint any = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);
	int fd = ir_listen(&any, false, &f->port);

	ir_memory_init(&f->memory, 0);
	f->core = ir_wakeup_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, NULL, RING_SLOTS);
	f->callers = ir_callers_new(f->core, f->channel, &ir_native_dialect,
	    &f->memory, MAX_CONNECTIONS, fd, -1);
	for (int i = 0; i < MAX_CONNECTIONS; i++)
		f->fds[i] = -1;
	*state = f;
	return pthread_create(&f->thread, NULL, ir_callers_run, f->callers);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_STOP);

	m->end_us = ir_clock_now() + STOP_US;
	ir_ring_push(f->channel->from_core, m);
	pthread_join(f->thread, NULL);
	for (int i = 0; i < MAX_CONNECTIONS; i++) {
		if (f->fds[i] >= 0)
			close(f->fds[i]);
	}
	talloc_free(f->callers);
	talloc_free(f->core);
	talloc_free(f);
	return 0;
}

/* The next call that reached the core within MAX_WAIT_MS, or NULL. */
static struct ir_to_core *
next_call(struct fixture *f)
{
	struct pollfd p = {.fd = ir_wakeup_fd(f->core), .events = POLLIN};
	int64_t end_us = ir_clock_now() + MAX_WAIT_MS * IR_US_PER_MS;
	struct ir_to_core *m;

	while (ir_clock_now() < end_us) {
		while ((m = ir_ring_pop(f->channel->to_core)) != NULL) {
			if (m->kind == IR_TO_CORE_CALL)
				return m;
			talloc_free(m);
		}
		ir_wakeup_arm(f->core);
		if (ir_ring_empty(f->channel->to_core))
			poll(&p, 1, 10);
		ir_wakeup_disarm(f->core);
	}
	return NULL;
}

static int
send_request(struct fixture *f, const char *path)
{
	char text[128];

	(void)snprintf(
	    text, sizeof(text), "GET /s%s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	return raw_send_request(f->port, text);
}

static void
answer(struct fixture *f, uint64_t id)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_ANSWER);

	m->id = id;
	m->u.answer.status = 200;
	m->u.answer.body = ir_bytes_copy(m, (const uint8_t *)"ok", 2);
	m->u.answer.body_bytes = 2;
	ir_ring_push(f->channel->from_core, m);
}

/* Opens all connections that there may be, with an unanswered request each. */
static void
open_all(struct fixture *f, uint64_t ids[MAX_CONNECTIONS])
{
	for (int i = 0; i < MAX_CONNECTIONS; i++) {
		struct ir_to_core *m;

		f->fds[i] = send_request(f, "/first");
		m = next_call(f);
		assert_non_null(m);
		ids[i] = m->u.call.id;
		talloc_free(m);
	}
}

static void
expect_answer(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	char text[RAW_ANSWER_BYTES];

	assert_int_equal(poll(&p, 1, MAX_WAIT_MS), 1);
	raw_read_answer(fd, text);
	assert_memory_equal(text, "HTTP/1.1 200", 12);
}

/* A new caller was not accepted until one of the idle ones left. */
static void
test_idle_connections_give_way_to_a_new_caller(void **state)
{
	struct fixture *f = *state;
	uint64_t ids[MAX_CONNECTIONS];
	struct ir_to_core *m;
	int fd;

	open_all(f, ids);
	for (int i = 0; i < MAX_CONNECTIONS; i++) {
		answer(f, ids[i]);
		expect_answer(f->fds[i]);
	}
	fd = send_request(f, "/new");
	m = next_call(f);
	assert_non_null(m);
	assert_string_equal(m->u.call.path, "/new");
	answer(f, m->u.call.id);
	expect_answer(fd);
	talloc_free(m);
	close(fd);
}

/* Requests of callers that had left before they were accepted were sent on. */
static void
test_request_of_a_caller_that_left_while_it_waited_is_not_sent(void **state)
{
	struct fixture *f = *state;
	uint64_t ids[MAX_CONNECTIONS];
	struct ir_to_core *m;
	int fd;

	open_all(f, ids);
	close(send_request(f, "/left"));
	answer(f, ids[0]);
	expect_answer(f->fds[0]);
	close(f->fds[0]);
	f->fds[0] = -1;
	fd = send_request(f, "/new");
	m = next_call(f);
	assert_non_null(m);
	assert_string_equal(m->u.call.path, "/new");
	talloc_free(m);
	close(fd);
}

#define WITH_CALLERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_CALLERS(test_idle_connections_give_way_to_a_new_caller),
	    WITH_CALLERS(
		test_request_of_a_caller_that_left_while_it_waited_is_not_sent),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
