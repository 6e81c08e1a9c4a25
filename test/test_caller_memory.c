/*
 * What callers' connections hold. The test runs the loop of the callers'
 * thread itself, on socket pairs, and plays the core.
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
#define OUT 200
#define USUAL_OUT 400
#define USUAL_MOST_BYTES 36000
#define LEARNT 500
#define POST                               \
	"POST /s/ HTTP/1.1\r\nHost: x\r\n" \
	"Content-Length: 1000000\r\n\r\n"
#define GET "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n"

struct fixture {
	struct ir_wake *core;
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

	f->core = ir_wake_new(f);
	f->channel = ir_channel_new(f, f->core, NULL, RING_SLOTS);
	ir_memory_init(&f->memory, 0);
	f->callers = ir_callers_new(f, f->channel, &ir_own_dialect, &f->memory,
	    IR_MAX_CALLER_CONNECTIONS, fd, -1);
	*state = f;
	return f->callers != NULL ? 0 : -1;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	TALLOC_FREE(f->callers);
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_CALLERS), 0);
	talloc_free(f);
	return 0;
}

/* The caller's end; *conn is the other. */
static int
dial(struct fixture *f, struct caller_conn **conn)
{
	int fds[2];

	assert_int_equal(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	ir_caller_conn_new(&f->callers->callers, fds[0]);
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

/* Runs the loop until no connection can go on. */
static void
settle(struct fixture *f)
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
say(struct fixture *f, int fd, const char *text, size_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, text, size, MSG_NOSIGNAL);

		settle(f);
		if (n <= 0)
			continue;
		text += n;
		size -= (size_t)n;
	}
}

static struct ir_to_core *
next(struct fixture *f)
{
	struct ir_to_core *m = ir_ring_pop(f->channel->to_core);

	assert_non_null(m);
	return m;
}

static void
reply(struct fixture *f, uint64_t id, size_t bytes)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_ANSWER);
	uint8_t *body = talloc_size(m, bytes);

	memset(body, 'b', bytes);
	m->id = id;
	m->u.answer.status = 200;
	m->u.answer.body_bytes = bytes;
	m->u.answer.body = body;
	assert_true(ir_ring_push(f->channel->from_core, m));
	ir_callers_take_messages(f->callers);
	settle(f);
}

static uint64_t
held(const struct fixture *f)
{
	return ir_memory_held(&f->memory, IR_MEMORY_CALLERS);
}

static void
expect_counted(const struct fixture *f)
{
	const struct caller_conn *c;
	size_t bytes = 0;

	DL_FOREACH (f->callers->conns, c) {
		bytes += ir_memory_of(c);
		if (c->reading != NULL)
			bytes += ir_memory_of(c->reading->call);
	}
	assert_int_equal(held(f), bytes);
}

/* Takes what there is; the bytes read. */
static size_t
read_all(struct fixture *f, int fd, char *text, size_t size)
{
	size_t got = 0;
	ssize_t n;

	memset(text, 0, size);
	while ((n = read(fd, text + got, size - 1 - got)) > 0) {
		got += (size_t)n;
		settle(f);
	}
	return got;
}

static void
test_each_byte_held_is_counted(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_zero_size(f, 2 * BODY_BYTES);
	struct ir_to_core *m;
	struct caller_conn *c;
	int fd = dial(f, &c);

	expect_counted(f);
	say(f, fd, GET, 10);
	expect_counted(f);
	say(f, fd, GET + 10, strlen(GET) - 10);
	expect_counted(f);
	say(f, fd, POST, strlen(POST));
	expect_counted(f);
	say(f, fd, text, BODY_BYTES / 2);
	expect_counted(f);
	assert_true(held(f) > BODY_BYTES / 2);
	m = next(f);
	reply(f, m->u.call.id, BODY_BYTES);
	talloc_free(m);
	expect_counted(f);
	assert_true(held(f) > BODY_BYTES);
	assert_true(read_all(f, fd, text, 2 * BODY_BYTES) > BODY_BYTES);
	expect_counted(f);
	say(f, fd, text, BODY_BYTES / 2);
	talloc_free(next(f));
	expect_counted(f);
	close(fd);
	settle(f);
	talloc_free(next(f));
	assert_int_equal(held(f), 0);
}

/* Leaves room for so many bytes more. */
static void
leave_room(struct fixture *f, size_t bytes)
{
	f->memory.bound_bytes[IR_MEMORY_CALLERS] = held(f) + bytes;
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
test_request_without_room_is_refused_not_run(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	struct caller_conn *c;
	int fd = dial(f, &c);

	leave_room(f, 500);
	say(f, fd, GET, strlen(GET));
	assert_true(ir_ring_empty(f->channel->to_core));
	read_all(f, fd, text, sizeof(text));
	expect_refused(text);
	assert_null(strstr(text, "Connection: close"));
	leave_room(f, BODY_BYTES);
	say(f, fd, GET, strlen(GET));
	talloc_free(next(f));
	close(fd);
	settle(f);
	talloc_free(next(f));
}

static void
test_head_in_parts_without_room_is_refused(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	char *head =
	    talloc_asprintf(f, "GET /s/ HTTP/1.1\r\nHost: x\r\nX: %05000d", 0);
	struct caller_conn *c;
	int fd = dial(f, &c);

	leave_room(f, 500);
	say(f, fd, head, strlen(head));
	read_all(f, fd, text, sizeof(text));
	expect_refused(text);
	assert_non_null(strstr(text, "Connection: close"));
	close(fd);
	settle(f);
}

static uint64_t
pass_on(struct fixture *f)
{
	struct ir_to_core *m = next(f);
	uint64_t id = m->u.call.id;

	talloc_free(m);
	return id;
}

static void
test_body_without_room_is_refused_and_other_answers_come(void **state)
{
	struct fixture *f = *state;
	char *body = talloc_zero_size(f, BODY_BYTES);
	char text[TEXT_BYTES];
	struct caller_conn *c;
	int fd = dial(f, &c);
	uint64_t first;

	say(f, fd, GET, strlen(GET));
	first = pass_on(f);
	leave_room(f, BODY_BYTES / 10);
	say(f, fd, POST, strlen(POST));
	say(f, fd, body, BODY_BYTES / 2);
	assert_in_range(held(f), 0, f->memory.bound_bytes[IR_MEMORY_CALLERS]);
	reply(f, first, 1);
	read_all(f, fd, text, sizeof(text));
	assert_memory_equal(text, "HTTP/1.1 200", 12);
	expect_refused(strstr(text + 12, "HTTP/1.1"));
	say(f, fd, body, BODY_BYTES / 2);
	assert_true(ir_ring_empty(f->channel->to_core));
	say(f, fd, GET, strlen(GET));
	reply(f, pass_on(f), 1);
	read_all(f, fd, text, sizeof(text));
	assert_memory_equal(text, "HTTP/1.1 200", 12);
	close(fd);
	settle(f);
}

/* The answers that the callers got, by then. */
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
		say(f, fds[i], flood, strlen(flood));
		assert_in_range(held(f), 0, bound);
	}
	while ((m = ir_ring_pop(f->channel->to_core)) != NULL) {
		reply(f, m->u.call.id, 1);
		answers += count_answers(f, fds);
		assert_in_range(held(f), 0, bound);
		talloc_free(m);
	}
	assert_int_equal(answers, CALLERS * FLOOD);
	for (int i = 0; i < CALLERS; i++)
		close(fds[i]);
	settle(f);
}

static void
test_new_connections_wait_without_room(void **state)
{
	struct fixture *f = *state;
	int fd = raw_dial(f->port);

	leave_room(f, 100);
	tevent_loop_once(f->callers->loop);
	assert_int_equal(f->callers->conn_count, 0);
	leave_room(f, BODY_BYTES);
	while (f->callers->conn_count == 0)
		tevent_loop_once(f->callers->loop);
	close(fd);
}

/* The large answer is under way; the caller has read nothing. */
static int
ask_without_reading(struct fixture *f, struct caller_conn **c)
{
	int fd = dial(f, c);

	say(f, fd, GET, strlen(GET));
	reply(f, pass_on(f), BODY_BYTES);
	assert_non_null((*c)->out);
	return fd;
}

static void
test_callers_that_stop_reading_do_not_hold_more_than_the_bound(void **state)
{
	struct fixture *f = *state;
	const uint64_t bound = BODY_BYTES * 7 / 2;
	char *text = talloc_size(f, 2 * BODY_BYTES);
	struct caller_conn *c[CALLERS];
	int fds[CALLERS];

	f->memory.bound_bytes[IR_MEMORY_CALLERS] = bound;
	for (int i = 0; i < CALLERS; i++) {
		fds[i] = ask_without_reading(f, &c[i]);
		ir_caller_conn_sweep(
		    f->callers, ir_clock_now() + IR_US_PER_S + IR_US_PER_MS);
		assert_in_range(held(f), 0, bound);
	}
	for (int i = 0; i < CALLERS; i++)
		assert_int_equal(c[i]->dead, i < CALLERS - 3);
	assert_true(
	    read_all(f, fds[CALLERS - 1], text, 2 * BODY_BYTES) > BODY_BYTES);
	for (int i = 0; i < CALLERS; i++)
		close(fds[i]);
	settle(f);
}

static void
test_caller_that_reads_little_is_not_ended(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_size(f, 2 * BODY_BYTES);
	struct caller_conn *c;
	int64_t later;
	int fd = ask_without_reading(f, &c);

	later = ir_clock_now() + 2 * IR_US_PER_S;
	f->memory.bound_bytes[IR_MEMORY_CALLERS] = BODY_BYTES / 2;
	assert_true(read(fd, text, BODY_BYTES / 20) > 0);
	ir_caller_conn_sweep(f->callers, later);
	assert_false(c->dead);
	ir_caller_conn_sweep(f->callers, later + IR_US_PER_S);
	assert_false(c->dead);
	ir_caller_conn_sweep(f->callers, later + 2 * IR_US_PER_S);
	assert_true(c->dead);
	close(fd);
}

static void
test_caller_that_sends_and_never_reads_is_ended(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	int fd = ask_without_reading(f, &c);
	int64_t now = ir_clock_now();

	/* As if more of its requests had come. */
	c->used_us = now + 9 * IR_US_PER_S;
	ir_caller_conn_sweep(f->callers, now + 9 * IR_US_PER_S);
	assert_false(c->dead);
	ir_caller_conn_sweep(f->callers, now + 11 * IR_US_PER_S);
	assert_true(c->dead);
	close(fd);
}

/* A listening socket tells nothing of a queue. */
static void
test_caller_whose_queue_is_not_told_does_not_count_as_reading(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	int fd = ask_without_reading(f, &c);
	int own = c->fd;

	c->fd = dup(f->callers->callers.fd);
	ir_caller_conn_sweep(f->callers, ir_clock_now() + 11 * IR_US_PER_S);
	assert_true(c->dead);
	close(own);
	close(fd);
}

static void
test_answers_of_requests_that_are_out_do_not_outgrow_the_bound(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	uint64_t ids[OUT];
	int fds[OUT];

	ir_memory_init(&f->memory, HOST_BYTES);
	for (int i = 0; i < OUT; i++) {
		fds[i] = dial(f, &c);
		say(f, fds[i], GET, strlen(GET));
		ids[i] = pass_on(f);
	}
	for (int i = 0; i < OUT; i++) {
		reply(f, ids[i], BODY_BYTES);
		assert_in_range(
		    held(f), 0, f->memory.bound_bytes[IR_MEMORY_CALLERS]);
	}
	assert_in_range(f->callers->conn_count, 20, OUT - 1);
	for (int i = 0; i < OUT; i++)
		close(fds[i]);
}

/* Their turn does not come: the first request is not answered. */
static void
test_answers_behind_one_that_is_out_do_not_outgrow_the_bound(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c[2];
	int fds[2];

	for (int i = 0; i < 2; i++) {
		fds[i] = dial(f, &c[i]);
		say(f, fds[i], GET, strlen(GET));
		(void)pass_on(f);
		say(f, fds[i], GET, strlen(GET));
		f->memory.bound_bytes[IR_MEMORY_CALLERS] = BODY_BYTES * 3 / 2;
		reply(f, pass_on(f), BODY_BYTES - (size_t)i);
	}
	assert_true(c[0]->dead);
	assert_false(c[1]->dead);
	for (int i = 0; i < 2; i++)
		close(fds[i]);
}

/* The request is out; its answer needs room. */
static int
ask(struct fixture *f, struct caller_conn **c, uint64_t *id)
{
	int fd = dial(f, c);

	say(f, fd, GET, strlen(GET));
	*id = pass_on(f);
	return fd;
}

static void
test_caller_that_reads_does_not_give_way_for_one_that_stalls(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_size(f, BODY_BYTES);
	struct caller_conn *c[3];
	uint64_t id;
	int fds[3];

	fds[0] = ask_without_reading(f, &c[0]);
	fds[1] = ask(f, &c[1], &id);
	reply(f, id, BODY_BYTES / 2);
	fds[2] = ask(f, &c[2], &id);
	c[0]->taken_us -= IR_US_PER_S;
	c[1]->taken_us -= IR_US_PER_S;
	assert_true(read(fds[0], text, BODY_BYTES / 20) > 0);
	leave_room(f, BODY_BYTES / 2);
	reply(f, id, BODY_BYTES * 9 / 10);
	assert_false(c[0]->dead);
	assert_true(c[1]->dead);
	assert_false(c[2]->dead);
	for (int i = 0; i < 3; i++)
		close(fds[i]);
}

static void
test_stalled_caller_with_most_unsent_bytes_gives_way(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c[3];
	uint64_t id;
	int fds[3];

	fds[0] = ask(f, &c[0], &id);
	reply(f, id, BODY_BYTES / 2);
	fds[1] = ask_without_reading(f, &c[1]);
	fds[2] = ask(f, &c[2], &id);
	leave_room(f, BODY_BYTES / 10);
	reply(f, id, BODY_BYTES / 2);
	assert_false(c[0]->dead);
	assert_true(c[1]->dead);
	assert_false(c[2]->dead);
	for (int i = 0; i < 3; i++)
		close(fds[i]);
}

static void
test_answer_that_its_caller_takes_ends_no_connection(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c[2];
	uint64_t id;
	int fds[2];

	fds[0] = ask_without_reading(f, &c[0]);
	fds[1] = ask(f, &c[1], &id);
	leave_room(f, 100);
	reply(f, id, BODY_BYTES / 100);
	assert_false(c[0]->dead);
	assert_false(c[1]->dead);
	for (int i = 0; i < 2; i++)
		close(fds[i]);
	settle(f);
}

static void
test_rare_large_answer_hardly_moves_what_is_expected(void **state)
{
	struct ir_expect e;

	ir_expect_init(&e);
	for (int i = 0; i < LEARNT; i++)
		ir_expect_note(&e, SMALL_BYTES);
	assert_in_range(ir_expect_bytes(&e, 1), SMALL_BYTES, SMALL_BYTES + 20);
	ir_expect_note(&e, BODY_BYTES);
	assert_in_range(ir_expect_bytes(&e, 1), SMALL_BYTES, BODY_BYTES / 50);
	for (int i = 0; i < LEARNT; i++)
		ir_expect_note(&e, BODY_BYTES);
	assert_in_range(
	    ir_expect_bytes(&e, 2), BODY_BYTES * 199 / 100, BODY_BYTES * 2);
	assert_int_equal(ir_expect_bytes(&e, 0), 0);
}

/* Its caller takes them. */
static void
answer_often(struct fixture *f, size_t bytes)
{
	char *text = talloc_size(f, 2 * BODY_BYTES);
	struct caller_conn *c;
	int fd = dial(f, &c);

	for (int i = 0; i < LEARNT; i++) {
		say(f, fd, GET, strlen(GET));
		reply(f, pass_on(f), bytes);
		assert_true(read_all(f, fd, text, 2 * BODY_BYTES) > bytes);
	}
	close(fd);
	settle(f);
	talloc_free(text);
}

/* Of those that came to the core; answers of so many bytes, none read. */
static size_t
answer_unread(struct fixture *f, size_t bytes)
{
	struct ir_to_core *m;
	size_t count = 0;
	uint64_t ids[USUAL_OUT];

	while ((m = ir_ring_pop(f->channel->to_core)) != NULL) {
		ids[count++] = m->u.call.id;
		talloc_free(m);
	}
	for (size_t i = 0; i < count; i++)
		reply(f, ids[i], bytes);
	return count;
}

/* One after the other to each connection. */
static void
say_to_all(struct fixture *f, const int *fds, const char *text)
{
	for (int i = 0; i < OUT; i++)
		say(f, fds[i], text, strlen(text));
}

static void
dial_all(struct fixture *f, int *fds)
{
	struct caller_conn *c;

	for (int i = 0; i < OUT; i++)
		fds[i] = dial(f, &c);
}

static void
close_all(const int *fds)
{
	for (int i = 0; i < OUT; i++)
		close(fds[i]);
}

static void
test_requests_whose_answers_would_end_connections_are_refused(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	int fds[OUT];

	ir_memory_init(&f->memory, HOST_BYTES);
	answer_often(f, BODY_BYTES);
	dial_all(f, fds);
	say_to_all(f, fds, GET);
	read_all(f, fds[OUT - 1], text, sizeof(text));
	expect_refused(text);
	assert_in_range(answer_unread(f, BODY_BYTES), 20, 25);
	assert_int_equal(f->callers->conn_count, OUT);
	close_all(fds);
}

static void
test_bodies_that_end_together_are_judged_one_by_one(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	int fds[OUT];

	ir_memory_init(&f->memory, HOST_BYTES);
	answer_often(f, BODY_BYTES);
	dial_all(f, fds);
	say_to_all(f, fds,
	    "POST /s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n");
	assert_true(ir_ring_empty(f->channel->to_core));
	say_to_all(f, fds, "b");
	read_all(f, fds[OUT - 1], text, sizeof(text));
	expect_refused(text);
	assert_in_range(answer_unread(f, BODY_BYTES), 20, 25);
	assert_int_equal(f->callers->conn_count, OUT);
	close_all(fds);
}

/* Neither refused nor ended, also when nobody reads for a while. */
static void
test_usual_requests_find_room_for_their_answers(void **state)
{
	struct fixture *f = *state;
	int fds[OUT];

	ir_memory_init(&f->memory, HOST_BYTES);
	dial_all(f, fds);
	for (int i = 0; i < USUAL_OUT / OUT; i++)
		say_to_all(f, fds, GET);
	assert_int_equal(answer_unread(f, USUAL_MOST_BYTES), USUAL_OUT);
	assert_int_equal(f->callers->conn_count, OUT);
	close_all(fds);
}

/* Else what is expected could not come down again. */
static void
test_request_is_let_in_when_no_other_waits(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	uint64_t id;
	int fd;

	answer_often(f, BODY_BYTES);
	leave_room(f, BODY_BYTES / 2);
	fd = ask(f, &c, &id);
	reply(f, id, SMALL_BYTES);
	assert_false(c->dead);
	close(fd);
	settle(f);
}

static void
test_waiting_request_keeps_only_what_its_answer_needs(void **state)
{
	struct fixture *f = *state;
	char *text = talloc_strdup(f, "GET /s/ HTTP/1.1\r\nHost: x\r\n");
	struct caller_conn *c;
	int fd = dial(f, &c);
	size_t before = talloc_total_size(f->callers);

	for (int i = 0; i < 60; i++)
		text = talloc_asprintf_append(text, "X-%d: %01000d\r\n", i, 0);
	text = talloc_strdup_append(text, "\r\n");
	say(f, fd, text, strlen(text));
	talloc_free(next(f));
	assert_in_range(
	    talloc_total_size(f->callers), before, before + SMALL_BYTES);
	close(fd);
	settle(f);
	talloc_free(next(f));
}

static void
test_input_buffer_is_not_larger_than_what_it_holds(void **state)
{
	struct fixture *f = *state;
	struct caller_conn *c;
	int fd = dial(f, &c);
	size_t before = talloc_total_size(f->callers);

	say(f, fd, GET, strlen(GET) - 2);
	assert_in_range(
	    talloc_total_size(f->callers), before, before + SMALL_BYTES);
	close(fd);
	settle(f);
}

#define WITH_CALLERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_CALLERS(test_each_byte_held_is_counted),
	    WITH_CALLERS(test_request_without_room_is_refused_not_run),
	    WITH_CALLERS(test_head_in_parts_without_room_is_refused),
	    WITH_CALLERS(
		test_body_without_room_is_refused_and_other_answers_come),
	    WITH_CALLERS(test_flood_of_pipelined_requests_stays_in_the_bound),
	    WITH_CALLERS(test_new_connections_wait_without_room),
	    WITH_CALLERS(
		test_callers_that_stop_reading_do_not_hold_more_than_the_bound),
	    WITH_CALLERS(test_caller_that_reads_little_is_not_ended),
	    WITH_CALLERS(test_caller_that_sends_and_never_reads_is_ended),
	    WITH_CALLERS(
		test_caller_whose_queue_is_not_told_does_not_count_as_reading),
	    WITH_CALLERS(
		test_answers_of_requests_that_are_out_do_not_outgrow_the_bound),
	    WITH_CALLERS(
		test_answers_behind_one_that_is_out_do_not_outgrow_the_bound),
	    WITH_CALLERS(
		test_caller_that_reads_does_not_give_way_for_one_that_stalls),
	    WITH_CALLERS(test_stalled_caller_with_most_unsent_bytes_gives_way),
	    WITH_CALLERS(test_answer_that_its_caller_takes_ends_no_connection),
	    cmocka_unit_test(
		test_rare_large_answer_hardly_moves_what_is_expected),
	    WITH_CALLERS(
		test_requests_whose_answers_would_end_connections_are_refused),
	    WITH_CALLERS(test_bodies_that_end_together_are_judged_one_by_one),
	    WITH_CALLERS(test_usual_requests_find_room_for_their_answers),
	    WITH_CALLERS(test_request_is_let_in_when_no_other_waits),
	    WITH_CALLERS(test_waiting_request_keeps_only_what_its_answer_needs),
	    WITH_CALLERS(test_input_buffer_is_not_larger_than_what_it_holds),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
