/*
 * Memory of callers' connections: it is accounted and stays within its bound.
 * The test runs the event loop of the callers' thread itself, on socket pairs,
 * and acts as the core.
 */
#include <sys/socket.h>

#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include <cmocka.h>

#include "io/callers/caller_conn.h"
#include "io/clock.h"
#include "io/listen.h"
#include "support/raw_http.h"

#define RING_SLOTS 512
#define SMALL_BYTES 2048
#define CALLERS 32
#define FLOOD 400
#define TEXT_BYTES 8192
#define BODY_BYTES 1000000
#define HOST_BYTES (160 * UINT64_C(1024) * 1024)
#define REQUESTS 200
#define USUAL_REQUESTS 400
#define USUAL_MOST_BYTES 36000
#define AVERAGED 500
#define POST                               \
	"POST /s/ HTTP/1.1\r\nHost: x\r\n" \
	"Content-Length: 1000000\r\n\r\n"
#define GET "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n"

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_memory memory;
	uint16_t port;
	struct ir_callers *callers;
};

static int
set_up(void **state)
{
	const struct ir_endpoint any = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);
	int fd = ir_listen(&any, false, &f->port);

	f->core = ir_wakeup_new(f);
	f->channel = ir_channel_new(f, f->core, NULL, RING_SLOTS);
	ir_memory_init(&f->memory, 0);
	f->callers = ir_callers_new(f, f->channel, &ir_native_dialect,
	    &f->memory, IR_MAX_CALLER_CONNECTIONS, fd, -1);
	*state = f;
	return f->callers != NULL ? 0 : -1;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	TALLOC_FREE(f->callers);
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_CALLERS), 0);
	assert_int_equal(ir_memory_sockets_held(&f->memory), 0);
	talloc_free(f);
	return 0;
}

/* Returns the caller's end of a new connection; *conn is the server's. */
static int
dial(struct fixture *f, struct caller_conn **conn)
{
	int fds[2];

	assert_int_equal(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	ir_caller_conn_new(&f->callers->caller_listener, fds[0]);
	*conn = f->callers->conns->prev;
	return fds[1];
}

static bool
is_ready(const struct caller_conn *c)
{
	uint16_t flags = tevent_fd_get_flags(c->event);
	struct pollfd p = {.fd = c->fd};

	if ((flags & TEVENT_FD_READ) != 0)
		p.events |= POLLIN;
	if ((flags & TEVENT_FD_WRITE) != 0)
		p.events |= POLLOUT;
	return p.events != 0 && poll(&p, 1, 0) > 0;
}

/* Runs the loop until no connection is ready. */
static void
run_until_idle(struct fixture *f)
{
	struct caller_conn *c;

	do {
		DL_FOREACH (f->callers->conns, c) {
			if (is_ready(c))
				break;
		}
		if (c != NULL)
			tevent_loop_once(f->callers->loop);
	} while (c != NULL);
}

static void
send_text(struct fixture *f, int fd, const char *text, size_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, text, size, MSG_NOSIGNAL);

		run_until_idle(f);
		if (n <= 0)
			continue;
		text += n;
		size -= (size_t)n;
	}
}

static struct ir_to_core *
next_message(struct fixture *f)
{
	struct ir_to_core *m = ir_ring_pop(f->channel->to_core);

	assert_non_null(m);
	return m;
}

static void
send_answer(struct fixture *f, uint64_t id, size_t bytes)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_ANSWER);
	uint8_t *body = talloc_size(m, bytes);

	memset(body, 'b', bytes);
	m->id = id;
	m->u.answer.status = 200;
	m->u.answer.body_bytes = bytes;
	m->u.answer.body = body;
	assert_true(ir_ring_push(f->channel->from_core, m));
	ir_callers_handle_core_messages(f->callers);
	run_until_idle(f);
}

static uint64_t
accounted_bytes(const struct fixture *f)
{
	return ir_memory_held(&f->memory, IR_MEMORY_CALLERS);
}

static void
expect_all_accounted(const struct fixture *f)
{
	const struct caller_conn *c;
	size_t bytes = 0;

	DL_FOREACH (f->callers->conns, c) {
		bytes += ir_memory_tree_bytes(c);
		if (c->receiving != NULL)
			bytes += ir_memory_tree_bytes(c->receiving->call);
	}
	assert_int_equal(accounted_bytes(f), bytes);
}

/* Reads all available bytes; returns their number. */
static size_t
read_all(struct fixture *f, int fd, char *text, size_t size)
{
	size_t got = 0;
	ssize_t n;

	memset(text, 0, size);
	while ((n = read(fd, text + got, size - 1 - got)) > 0) {
		got += (size_t)n;
		run_until_idle(f);
	}
	return got;
}

static void
test_all_memory_is_accounted(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_zero_size(f, 2 * BODY_BYTES);
	struct ir_to_core *m;
	struct caller_conn *c;
	int fd = dial(f, &c);

	expect_all_accounted(f);
	send_text(f, fd, GET, 10);
	expect_all_accounted(f);
	send_text(f, fd, GET + 10, strlen(GET) - 10);
	expect_all_accounted(f);
	send_text(f, fd, POST, strlen(POST));
	expect_all_accounted(f);
	send_text(f, fd, text, BODY_BYTES / 2);
	expect_all_accounted(f);
	assert_true(accounted_bytes(f) > BODY_BYTES / 2);
	m = next_message(f);
	send_answer(f, m->u.call.id, BODY_BYTES);
	talloc_free(m);
	expect_all_accounted(f);
	assert_true(accounted_bytes(f) > BODY_BYTES);
	assert_true(read_all(f, fd, text, 2 * BODY_BYTES) > BODY_BYTES);
	expect_all_accounted(f);
	send_text(f, fd, text, BODY_BYTES / 2);
	talloc_free(next_message(f));
	expect_all_accounted(f);
	close(fd);
	run_until_idle(f);
	talloc_free(next_message(f));
	assert_int_equal(accounted_bytes(f), 0);
}

/* Sets the bound to what is accounted now, plus bytes. */
static void
set_free_memory(struct fixture *f, size_t bytes)
{
	f->memory.bound_bytes[IR_MEMORY_CALLERS] = accounted_bytes(f) + bytes;
}

static void
expect_refused(const char *text)
{
	assert_memory_equal(text, "HTTP/1.1 503", 12);
	assert_non_null(strstr(text, "Ibisrail-Outcome: not-run\r\n"));
	assert_non_null(strstr(text, "Ibisrail-Error: overload\r\n"));
	assert_non_null(strstr(text, "Ibisrail-Retry-After-Ms: 1000\r\n"));
}

static void
test_request_over_the_bound_is_refused_not_run(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	struct caller_conn *c;
	int fd = dial(f, &c);

	set_free_memory(f, 500);
	send_text(f, fd, GET, strlen(GET));
	assert_true(ir_ring_empty(f->channel->to_core));
	read_all(f, fd, text, sizeof(text));
	expect_refused(text);
	assert_null(strstr(text, "Connection: close"));
	set_free_memory(f, BODY_BYTES);
	send_text(f, fd, GET, strlen(GET));
	talloc_free(next_message(f));
	close(fd);
	run_until_idle(f);
	talloc_free(next_message(f));
}

static void
test_partial_head_over_the_bound_is_refused(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	char *head =
	    talloc_asprintf(f, "GET /s/ HTTP/1.1\r\nHost: x\r\nX: %05000d", 0);
	struct caller_conn *c;
	int fd = dial(f, &c);

	set_free_memory(f, 500);
	send_text(f, fd, head, strlen(head));
	read_all(f, fd, text, sizeof(text));
	expect_refused(text);
	assert_non_null(strstr(text, "Connection: close"));
	close(fd);
	run_until_idle(f);
}

static uint64_t
pop_call_id(struct fixture *f)
{
	struct ir_to_core *m = next_message(f);
	uint64_t id = m->u.call.id;

	talloc_free(m);
	return id;
}

static void
test_body_over_the_bound_is_refused_and_other_answers_come(void **state)
{
	struct fixture *f = *state;
	char *body = talloc_zero_size(f, BODY_BYTES);
	char text[TEXT_BYTES];
	struct caller_conn *c;
	int fd = dial(f, &c);
	uint64_t first;

	send_text(f, fd, GET, strlen(GET));
	first = pop_call_id(f);
	set_free_memory(f, BODY_BYTES / 10);
	send_text(f, fd, POST, strlen(POST));
	send_text(f, fd, body, BODY_BYTES / 2);
	assert_in_range(
	    accounted_bytes(f), 0, f->memory.bound_bytes[IR_MEMORY_CALLERS]);
	send_answer(f, first, 1);
	read_all(f, fd, text, sizeof(text));
	assert_memory_equal(text, "HTTP/1.1 200", 12);
	expect_refused(strstr(text + 12, "HTTP/1.1"));
	send_text(f, fd, body, BODY_BYTES / 2);
	assert_true(ir_ring_empty(f->channel->to_core));
	send_text(f, fd, GET, strlen(GET));
	send_answer(f, pop_call_id(f), 1);
	read_all(f, fd, text, sizeof(text));
	assert_memory_equal(text, "HTTP/1.1 200", 12);
	close(fd);
	run_until_idle(f);
}

/* Number of answers that the callers can read now. */
static int
count_answers(struct fixture *f, const int *fds)
{
	char text[TEXT_BYTES];
	int count = 0;

	for (int i = 0; i < CALLERS; i++) {
		while (read_all(f, fds[i], text, sizeof(text)) > 0) {
			for (const char *p = text;
			     (p = strstr(p, "HTTP/1.1 ")) != NULL; p++)
				count++;
		}
	}
	return count;
}

static void
test_flood_of_pipelined_requests_stays_in_the_bound(void **state)
{
	struct fixture *f = *state;
	const uint64_t bound = 256 * 1024;
	struct caller_conn *c;
	struct ir_to_core *m;
	int fds[CALLERS], answers = 0;
	char *flood = talloc_strdup(f, "");

	for (int i = 0; i < FLOOD; i++)
		flood = talloc_strdup_append(flood, GET);
	for (int i = 0; i < CALLERS; i++)
		fds[i] = dial(f, &c);
	f->memory.bound_bytes[IR_MEMORY_CALLERS] = bound;
	for (int i = 0; i < CALLERS; i++) {
		send_text(f, fds[i], flood, strlen(flood));
		assert_in_range(accounted_bytes(f), 0, bound);
	}
	while ((m = ir_ring_pop(f->channel->to_core)) != NULL) {
		send_answer(f, m->u.call.id, 1);
		answers += count_answers(f, fds);
		assert_in_range(accounted_bytes(f), 0, bound);
		talloc_free(m);
	}
	assert_int_equal(answers, CALLERS * FLOOD);
	for (int i = 0; i < CALLERS; i++)
		close(fds[i]);
	run_until_idle(f);
}

static void
test_new_connections_wait_for_memory(void **state)
{
	struct fixture *f = *state;
	int fd = raw_connect(f->port);

	set_free_memory(f, 100);
	tevent_loop_once(f->callers->loop);
	assert_int_equal(f->callers->conn_count, 0);
	set_free_memory(f, BODY_BYTES);
	while (f->callers->conn_count == 0)
		tevent_loop_once(f->callers->loop);
	close(fd);
}

/* A connection whose large answer is partly sent; the caller read nothing. */
static int
block_on_answer(struct fixture *f, struct caller_conn **c)
{
	int fd = dial(f, c);

	send_text(f, fd, GET, strlen(GET));
	send_answer(f, pop_call_id(f), BODY_BYTES);
	assert_non_null((*c)->output);
	return fd;
}

static void
test_callers_that_stop_reading_stay_within_the_bound(void **state)
{
	struct fixture *f = *state;
	const uint64_t bound = BODY_BYTES * 7 / 2;
	char *text = talloc_size(f, 2 * BODY_BYTES);
	struct caller_conn *c[CALLERS];
	int fds[CALLERS];

	f->memory.bound_bytes[IR_MEMORY_CALLERS] = bound;
	for (int i = 0; i < CALLERS; i++) {
		fds[i] = block_on_answer(f, &c[i]);
		ir_callers_sweep(
		    f->callers, ir_clock_now() + IR_US_PER_S + IR_US_PER_MS);
		assert_in_range(accounted_bytes(f), 0, bound);
	}
	for (int i = 0; i < CALLERS; i++)
		assert_int_equal(c[i]->closed, i < CALLERS - 3);
	assert_true(
	    read_all(f, fds[CALLERS - 1], text, 2 * BODY_BYTES) > BODY_BYTES);
	for (int i = 0; i < CALLERS; i++)
		close(fds[i]);
	run_until_idle(f);
}

static void
test_slow_reading_caller_is_not_closed(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_size(f, 2 * BODY_BYTES);
	struct caller_conn *c;
	int64_t later;
	int fd = block_on_answer(f, &c);

	later = ir_clock_now() + 2 * IR_US_PER_S;
	f->memory.bound_bytes[IR_MEMORY_CALLERS] = BODY_BYTES / 2;
	assert_true(read(fd, text, BODY_BYTES / 20) > 0);
	ir_callers_sweep(f->callers, later);
	assert_false(c->closed);
	ir_callers_sweep(f->callers, later + IR_US_PER_S);
	assert_false(c->closed);
	ir_callers_sweep(f->callers, later + 2 * IR_US_PER_S);
	assert_true(c->closed);
	close(fd);
}

static void
test_caller_that_sends_and_never_reads_is_closed(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	int fd = block_on_answer(f, &c);
	int64_t now = ir_clock_now();

	/* As if it had sent more requests. */
	c->last_progress_us = now + 9 * IR_US_PER_S;
	ir_callers_sweep(f->callers, now + 9 * IR_US_PER_S);
	assert_false(c->closed);
	ir_callers_sweep(f->callers, now + 11 * IR_US_PER_S);
	assert_true(c->closed);
	close(fd);
}

static void
test_request_whose_connection_is_cut_is_counted_and_named(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	int fd = block_on_answer(f, &c);
	struct ir_to_core *abandoned;

	send_text(f, fd, GET, strlen(GET));
	(void)pop_call_id(f);
	ir_callers_sweep(f->callers, ir_clock_now() + 11 * IR_US_PER_S);
	assert_true(c->closed);
	assert_int_equal(f->channel->counters.value[IR_COUNTER_CALLS_CUT], 1);
	abandoned = ir_ring_pop(f->channel->to_core);
	assert_non_null(abandoned);
	assert_int_equal(abandoned->kind, IR_TO_CORE_CALL_ABANDONED);
	assert_string_equal(abandoned->reason, "unread");
	talloc_free(abandoned);
	close(fd);
}

/* SIOCOUTQ fails on a listening socket. */
static void
test_unknown_send_queue_does_not_count_as_progress(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	int fd = block_on_answer(f, &c);
	int own = c->fd;

	c->fd = dup(f->callers->caller_listener.fd);
	ir_callers_sweep(f->callers, ir_clock_now() + 11 * IR_US_PER_S);
	assert_true(c->closed);
	close(own);
	close(fd);
}

static void
test_answers_to_submitted_requests_stay_within_the_bound(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	uint64_t ids[REQUESTS];
	int fds[REQUESTS];

	ir_memory_init(&f->memory, HOST_BYTES);
	for (int i = 0; i < REQUESTS; i++) {
		fds[i] = dial(f, &c);
		send_text(f, fds[i], GET, strlen(GET));
		ids[i] = pop_call_id(f);
	}
	for (int i = 0; i < REQUESTS; i++) {
		send_answer(f, ids[i], BODY_BYTES);
		assert_in_range(accounted_bytes(f), 0,
		    f->memory.bound_bytes[IR_MEMORY_CALLERS]);
	}
	assert_in_range(f->callers->conn_count, 20, REQUESTS - 1);
	for (int i = 0; i < REQUESTS; i++)
		close(fds[i]);
}

/* Answers that may not be sent, as the first request is unanswered. */
static void
test_answers_behind_an_unanswered_one_stay_within_the_bound(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c[2];
	int fds[2];

	for (int i = 0; i < 2; i++) {
		fds[i] = dial(f, &c[i]);
		send_text(f, fds[i], GET, strlen(GET));
		(void)pop_call_id(f);
		send_text(f, fds[i], GET, strlen(GET));
		f->memory.bound_bytes[IR_MEMORY_CALLERS] = BODY_BYTES * 3 / 2;
		send_answer(f, pop_call_id(f), BODY_BYTES - (size_t)i);
	}
	assert_true(c[0]->closed);
	assert_false(c[1]->closed);
	for (int i = 0; i < 2; i++)
		close(fds[i]);
}

/* A connection with one submitted, unanswered request. */
static int
submit_request(struct fixture *f, struct caller_conn **c, uint64_t *id)
{
	int fd = dial(f, c);

	send_text(f, fd, GET, strlen(GET));
	*id = pop_call_id(f);
	return fd;
}

static void
test_stalled_caller_is_evicted_before_a_reading_one(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_size(f, BODY_BYTES);
	struct caller_conn *c[3];
	uint64_t id;
	int fds[3];

	fds[0] = block_on_answer(f, &c[0]);
	fds[1] = submit_request(f, &c[1], &id);
	send_answer(f, id, BODY_BYTES / 2);
	fds[2] = submit_request(f, &c[2], &id);
	c[0]->last_drain_us -= IR_US_PER_S;
	c[1]->last_drain_us -= IR_US_PER_S;
	assert_true(read(fds[0], text, BODY_BYTES / 20) > 0);
	set_free_memory(f, BODY_BYTES / 2);
	send_answer(f, id, BODY_BYTES * 9 / 10);
	assert_false(c[0]->closed);
	assert_true(c[1]->closed);
	assert_false(c[2]->closed);
	for (int i = 0; i < 3; i++)
		close(fds[i]);
}

static void
test_stalled_caller_with_most_unsent_bytes_is_evicted(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c[3];
	uint64_t id;
	int fds[3];

	fds[0] = submit_request(f, &c[0], &id);
	send_answer(f, id, BODY_BYTES / 2);
	fds[1] = block_on_answer(f, &c[1]);
	fds[2] = submit_request(f, &c[2], &id);
	set_free_memory(f, BODY_BYTES / 10);
	send_answer(f, id, BODY_BYTES / 2);
	assert_false(c[0]->closed);
	assert_true(c[1]->closed);
	assert_false(c[2]->closed);
	for (int i = 0; i < 3; i++)
		close(fds[i]);
}

static void
test_answer_that_is_sent_at_once_evicts_nobody(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c[2];
	uint64_t id;
	int fds[2];

	fds[0] = block_on_answer(f, &c[0]);
	fds[1] = submit_request(f, &c[1], &id);
	set_free_memory(f, 100);
	send_answer(f, id, BODY_BYTES / 100);
	assert_false(c[0]->closed);
	assert_false(c[1]->closed);
	for (int i = 0; i < 2; i++)
		close(fds[i]);
	run_until_idle(f);
}

static void
test_single_large_answer_changes_the_estimate_little(void **state)
{
	struct ir_answer_size e;

	ir_answer_size_init(&e);
	for (int i = 0; i < AVERAGED; i++)
		ir_answer_size_add(&e, SMALL_BYTES);
	assert_in_range(
	    ir_answer_size_expected(&e, 1), SMALL_BYTES, SMALL_BYTES + 20);
	ir_answer_size_add(&e, BODY_BYTES);
	assert_in_range(
	    ir_answer_size_expected(&e, 1), SMALL_BYTES, BODY_BYTES / 50);
	for (int i = 0; i < AVERAGED; i++)
		ir_answer_size_add(&e, BODY_BYTES);
	assert_in_range(ir_answer_size_expected(&e, 2), BODY_BYTES * 199 / 100,
	    BODY_BYTES * 2);
	assert_int_equal(ir_answer_size_expected(&e, 0), 0);
}

/* Answers many requests of a caller that reads the answers. */
static void
answer_many(struct fixture *f, size_t bytes)
{
	char *text = talloc_size(f, 2 * BODY_BYTES);
	struct caller_conn *c;
	int fd = dial(f, &c);

	for (int i = 0; i < AVERAGED; i++) {
		send_text(f, fd, GET, strlen(GET));
		send_answer(f, pop_call_id(f), bytes);
		assert_true(read_all(f, fd, text, 2 * BODY_BYTES) > bytes);
	}
	close(fd);
	run_until_idle(f);
	talloc_free(text);
}

/*
 * Sends an answer with a body of that size to each request that the core got;
 * the callers do not read. Returns the number of requests.
 */
static size_t
answer_all_submitted(struct fixture *f, size_t bytes)
{
	struct ir_to_core *m;
	size_t count = 0;
	uint64_t ids[USUAL_REQUESTS];

	while ((m = ir_ring_pop(f->channel->to_core)) != NULL) {
		ids[count++] = m->u.call.id;
		talloc_free(m);
	}
	for (size_t i = 0; i < count; i++)
		send_answer(f, ids[i], bytes);
	return count;
}

/* Sends the text on each connection. */
static void
send_to_all(struct fixture *f, const int *fds, const char *text)
{
	for (int i = 0; i < REQUESTS; i++)
		send_text(f, fds[i], text, strlen(text));
}

static void
dial_all(struct fixture *f, int *fds)
{
	struct caller_conn *c;

	for (int i = 0; i < REQUESTS; i++)
		fds[i] = dial(f, &c);
}

static void
close_all(const int *fds)
{
	for (int i = 0; i < REQUESTS; i++)
		close(fds[i]);
}

static void
test_requests_whose_answers_would_not_fit_are_refused(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	int fds[REQUESTS];

	ir_memory_init(&f->memory, HOST_BYTES);
	answer_many(f, BODY_BYTES);
	dial_all(f, fds);
	send_to_all(f, fds, GET);
	read_all(f, fds[REQUESTS - 1], text, sizeof(text));
	expect_refused(text);
	assert_in_range(answer_all_submitted(f, BODY_BYTES), 20, 25);
	assert_int_equal(f->callers->conn_count, REQUESTS);
	close_all(fds);
}

static void
test_bodies_that_end_together_are_checked_one_by_one(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	int fds[REQUESTS];

	ir_memory_init(&f->memory, HOST_BYTES);
	answer_many(f, BODY_BYTES);
	dial_all(f, fds);
	send_to_all(f, fds,
	    "POST /s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n");
	assert_true(ir_ring_empty(f->channel->to_core));
	send_to_all(f, fds, "b");
	read_all(f, fds[REQUESTS - 1], text, sizeof(text));
	expect_refused(text);
	assert_in_range(answer_all_submitted(f, BODY_BYTES), 20, 25);
	assert_int_equal(f->callers->conn_count, REQUESTS);
	close_all(fds);
}

/* None is refused and no connection closed while no caller reads. */
static void
test_usual_requests_fit_with_their_answers(void **state)
{
	struct fixture *f = *state;
	int fds[REQUESTS];

	ir_memory_init(&f->memory, HOST_BYTES);
	dial_all(f, fds);
	for (int i = 0; i < USUAL_REQUESTS / REQUESTS; i++)
		send_to_all(f, fds, GET);
	assert_int_equal(
	    answer_all_submitted(f, USUAL_MOST_BYTES), USUAL_REQUESTS);
	assert_int_equal(f->callers->conn_count, REQUESTS);
	close_all(fds);
}

/*
 * Guards against refusing all requests for ever: only answers can lower an
 * expected answer size that has become too high.
 */
static void
test_request_is_accepted_when_no_other_is_pending(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	uint64_t id;
	int fd;

	answer_many(f, BODY_BYTES);
	set_free_memory(f, BODY_BYTES / 2);
	fd = submit_request(f, &c, &id);
	send_answer(f, id, SMALL_BYTES);
	assert_false(c->closed);
	close(fd);
	run_until_idle(f);
}

static void
test_submitted_request_frees_its_head(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_strdup(f, "GET /s/ HTTP/1.1\r\nHost: x\r\n");
	struct caller_conn *c;
	int fd = dial(f, &c);
	size_t before = talloc_total_size(f->callers);

	for (int i = 0; i < 60; i++)
		text = talloc_asprintf_append(text, "X-%d: %01000d\r\n", i, 0);
	text = talloc_strdup_append(text, "\r\n");
	send_text(f, fd, text, strlen(text));
	talloc_free(next_message(f));
	assert_in_range(
	    talloc_total_size(f->callers), before, before + SMALL_BYTES);
	close(fd);
	run_until_idle(f);
	talloc_free(next_message(f));
}

static void
test_input_buffer_is_not_larger_than_its_content(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	int fd = dial(f, &c);
	size_t before = talloc_total_size(f->callers);

	send_text(f, fd, GET, strlen(GET) - 2);
	assert_in_range(
	    talloc_total_size(f->callers), before, before + SMALL_BYTES);
	close(fd);
	run_until_idle(f);
}

#define WITH_CALLERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_CALLERS(test_all_memory_is_accounted),
	    WITH_CALLERS(test_request_over_the_bound_is_refused_not_run),
	    WITH_CALLERS(test_partial_head_over_the_bound_is_refused),
	    WITH_CALLERS(
		test_body_over_the_bound_is_refused_and_other_answers_come),
	    WITH_CALLERS(test_flood_of_pipelined_requests_stays_in_the_bound),
	    WITH_CALLERS(test_new_connections_wait_for_memory),
	    WITH_CALLERS(test_callers_that_stop_reading_stay_within_the_bound),
	    WITH_CALLERS(test_slow_reading_caller_is_not_closed),
	    WITH_CALLERS(test_caller_that_sends_and_never_reads_is_closed),
	    WITH_CALLERS(
		test_request_whose_connection_is_cut_is_counted_and_named),
	    WITH_CALLERS(test_unknown_send_queue_does_not_count_as_progress),
	    WITH_CALLERS(
		test_answers_to_submitted_requests_stay_within_the_bound),
	    WITH_CALLERS(
		test_answers_behind_an_unanswered_one_stay_within_the_bound),
	    WITH_CALLERS(test_stalled_caller_is_evicted_before_a_reading_one),
	    WITH_CALLERS(test_stalled_caller_with_most_unsent_bytes_is_evicted),
	    WITH_CALLERS(test_answer_that_is_sent_at_once_evicts_nobody),
	    cmocka_unit_test(
		test_single_large_answer_changes_the_estimate_little),
	    WITH_CALLERS(test_requests_whose_answers_would_not_fit_are_refused),
	    WITH_CALLERS(test_bodies_that_end_together_are_checked_one_by_one),
	    WITH_CALLERS(test_usual_requests_fit_with_their_answers),
	    WITH_CALLERS(test_request_is_accepted_when_no_other_is_pending),
	    WITH_CALLERS(test_submitted_request_frees_its_head),
	    WITH_CALLERS(test_input_buffer_is_not_larger_than_its_content),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
