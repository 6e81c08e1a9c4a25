/*
 * The callers' thread over raw HTTP: which requests reach the core and with
 * which headers, which are refused before, and what happens when a caller
 * disconnects. The test acts as the core.
 */
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include "io/callers/callers.h"
#include "io/clock.h"
#include "io/listen.h"
#include "support/core_side.h"
#include "support/raw_http.h"

#define RING_SLOTS 4
/* Time for the thread to end; the long one is far more than it needs. */
#define STOP_US (500 * IR_US_PER_MS)
#define LONG_STOP_US (60 * IR_US_PER_S)
#define WAITING_CONNECTIONS 8
#define LARGE_ANSWER_BYTES 131072
#define SMALL_BUFFER_BYTES 4096
#define EXTENSION_BYTES 32768
#define KEY_FIELD "Ibisrail-Key: sesame-1\r\n"

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_memory memory;
	struct ir_callers *callers;
	pthread_t thread;
	uint16_t port;
	uint16_t egress_port;
};

/* Without the thread: the test calls ir_callers_run() itself. */
static int
set_up_stopped(void **state)
{
	const struct ir_endpoint any = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);
	int callers_fd = ir_listen(&any, false, &f->port);
	int egress_fd = ir_listen(&any, true, &f->egress_port);

	ir_memory_init(&f->memory, 0);
	f->core = ir_wakeup_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, NULL, RING_SLOTS);
	f->callers = ir_callers_new(f->core, f->channel, &ir_native_dialect,
	    &f->memory, IR_MAX_CALLER_CONNECTIONS, callers_fd, egress_fd);
	*state = f;
	return 0;
}

static int
set_up(void **state)
{
	struct fixture *f;

	set_up_stopped(state);
	f = *state;
	return pthread_create(&f->thread, NULL, ir_callers_run, f->callers);
}

/* last_call: the last one that the core has taken. */
static void
send_stop(struct fixture *f, uint64_t last_call, int64_t within_us)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_STOP);

	m->id = last_call;
	m->end_us = ir_clock_now() + within_us;
	ir_ring_push(f->channel->from_core, m);
}

static void
stop(struct fixture *f)
{
	send_stop(f, 0, STOP_US);
	pthread_join(f->thread, NULL);
}

static void
free_all(struct fixture *f)
{
	talloc_free(f->callers);
	talloc_free(f->core);
	talloc_free(f);
}

static int
tear_down(void **state)
{
	stop(*state);
	free_all(*state);
	return 0;
}

static struct ir_to_core *
next_message(struct fixture *f)
{
	return core_side_receive(f->core, f->channel);
}

static void
send_answer(struct fixture *f, uint64_t id, enum ir_error error)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_ANSWER);
	struct ir_answer *a = &m->u.answer;
	struct ir_header *h = talloc_array(m, struct ir_header, 1);

	m->id = id;
	h->name = ir_text_copy(m, "X-From");
	h->value = ir_text_copy(m, "upstream");
	a->error = error;
	a->status = ir_error_info(error)->http_status;
	a->retry_after_ms = error == IR_OK ? 0 : 1200;
	a->headers = h;
	a->header_count = 1;
	a->body = ir_bytes_copy(m, (const uint8_t *)"ok", 2);
	a->body_bytes = error == IR_OK ? 2 : 0;
	ir_ring_push(f->channel->from_core, m);
}

static void
send_large_answer(struct fixture *f, uint64_t id)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_ANSWER);

	m->id = id;
	m->u.answer.status = 200;
	m->u.answer.body = talloc_zero_size(m, LARGE_ANSWER_BYTES);
	m->u.answer.body_bytes = LARGE_ANSWER_BYTES;
	ir_ring_push(f->channel->from_core, m);
}

static bool
has_header(const struct ir_call *c, const char *name)
{
	for (size_t i = 0; i < c->header_count; i++) {
		if (strcasecmp(c->headers[i].name, name) == 0)
			return true;
	}
	return false;
}

static void
test_reserved_headers_are_removed(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port,
	    "POST /search/a%20b?q=1 HTTP/1.1\r\nHost: x\r\n"
	    "Authorization: bearer sesame-1\r\n" KEY_FIELD "X-Keep: 1\r\n"
	    "Connection: X-Named\r\nX-Named: 1\r\nTE: trailers\r\n"
	    "Proxy-Authorization: p\r\nCookie2: c\r\nIbisrail-Attempt: 9\r\n"
	    "Ibisrail-Account: other\r\nIbisrail-Deadline-Ms: 250\r\n"
	    "Idempotency-Key: k1\r\nIbisrail-First-Attempt: 1\r\n"
	    "Content-Length: 4\r\n\r\nbody");
	struct ir_to_core *m = next_message(f);
	const struct ir_call *c = &m->u.call;

	assert_string_equal(c->service, "search");
	assert_string_equal(c->path, "/a%20b?q=1");
	assert_string_equal(c->method, "POST");
	assert_string_equal(c->key, "sesame-1");
	assert_string_equal(c->idempotency_key, "k1");
	assert_int_equal(c->deadline_ms, 250);
	assert_true(c->first_attempt);
	assert_false(c->egress);
	assert_null(c->parent_attempt);
	assert_memory_equal(c->body, "body", 4);
	assert_int_equal(c->header_count, 2);
	assert_true(has_header(c, "X-Keep"));
	assert_true(has_header(c, "Idempotency-Key"));
	send_answer(f, c->id, IR_OK);
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "HTTP/1.1 200"));
	assert_non_null(strstr(text, "Ibisrail-Outcome: ran\r\n"));
	assert_non_null(strstr(text, "X-From: upstream\r\n"));
	assert_null(strstr(text, "Ibisrail-Error"));
	assert_non_null(strstr(text, "\r\n\r\nok"));
	talloc_free(m);
	close(fd);
}

static void
test_refusal_by_the_core(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(
	    f->port, "GET /search HTTP/1.1\r\nHost: x\r\n\r\n");
	struct ir_to_core *m = next_message(f);

	assert_string_equal(m->u.call.path, "/");
	send_answer(f, m->u.call.id, IR_E_RATE);
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "HTTP/1.1 429"));
	assert_non_null(strstr(text, "Ibisrail-Outcome: not-run\r\n"));
	assert_non_null(strstr(text, "Ibisrail-Error: rate\r\n"));
	assert_non_null(strstr(text, "Retry-After: 2\r\n"));
	assert_non_null(strstr(text, "Ibisrail-Retry-After-Ms: 1200\r\n"));
	talloc_free(m);
	close(fd);
}

static void
test_connection_is_reused(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_connect(f->port);

	for (int i = 0; i < 20; i++) {
		const char *request = "GET /s/a HTTP/1.1\r\nHost: x\r\n\r\n";
		struct ir_to_core *m;

		raw_send(fd, request, strlen(request));
		m = next_message(f);
		send_answer(f, m->u.call.id, IR_OK);
		talloc_free(m);
		raw_read_answer(fd, text);
		assert_non_null(strstr(text, "HTTP/1.1 200"));
	}
	close(fd);
}

static void
test_egress_request_carries_its_parent(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->egress_port,
	    "GET /stock/1 HTTP/1.1\r\nHost: x\r\nIbisrail-Attempt: a-7\r\n"
	    "\r\n");
	struct ir_to_core *m = next_message(f);

	assert_true(m->u.call.egress);
	assert_string_equal(m->u.call.parent_attempt, "a-7");
	assert_int_equal(m->u.call.header_count, 0);
	send_answer(f, m->u.call.id, IR_OK);
	raw_read_answer(fd, text);
	talloc_free(m);
	close(fd);
}

static void
expect_refused(struct fixture *f, const char *request, const char *status,
    const char *error)
{
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port, request);

	raw_read_answer(fd, text);
	assert_non_null(strstr(text, status));
	assert_non_null(strstr(text, error));
	assert_non_null(strstr(text, "Ibisrail-Outcome: not-run\r\n"));
	assert_true(ir_ring_empty(f->channel->to_core));
	close(fd);
}

static void
test_key_outside_its_header_is_refused(void **state)
{
	static const char *const requests[] = {
	    "GET /s/sesame-1 HTTP/1.1\r\nHost: x\r\n" KEY_FIELD "\r\n",
	    "GET /s/?k=sesame%2d1 HTTP/1.1\r\nHost: x\r\n" KEY_FIELD "\r\n",
	    "GET /s/?k=%73esame%252D%31 HTTP/1.1\r\nHost: x\r\n" KEY_FIELD
	    "\r\n",
	    "GET /s/ HTTP/1.1\r\nHost: x\r\nCookie: a=sesame-1\r\n" KEY_FIELD
	    "\r\n",
	    "GET /s/ HTTP/1.1\r\nHost: x\r\nX-sesame-1: 1\r\n" KEY_FIELD "\r\n",
	    "GET /s/ HTTP/1.1\r\nHost: x\r\nIdempotency-Key: "
	    "sesame-1\r\n" KEY_FIELD "\r\n",
	    "POST /s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n" KEY_FIELD
	    "\r\n-sesame-1-",
	};

	for (size_t i = 0; i < sizeof(requests) / sizeof(*requests); i++)
		expect_refused(*state, requests[i], "HTTP/1.1 400",
		    "Ibisrail-Error: bad-request\r\n");
}

static void
test_bad_requests_are_refused(void **state)
{
	const char *bad = "Ibisrail-Error: bad-request\r\n";
	const char *large = "Ibisrail-Error: too-large\r\n";
	char name[512];

	expect_refused(*state,
	    "GET /s/ HTTP/1.1\r\nHost: x\r\nIbisrail-Key: other\r\n" KEY_FIELD
	    "\r\n",
	    "HTTP/1.1 400", bad);
	expect_refused(*state,
	    "GET /s/ HTTP/1.1\r\nHost: x\r\nIbisrail-Deadline-Ms: 1x\r\n\r\n",
	    "HTTP/1.1 400", bad);
	expect_refused(*state, "GET ftp://x/s/ HTTP/1.1\r\nHost: x\r\n\r\n",
	    "HTTP/1.1 400", bad);
	expect_refused(*state, "GET http:///s/ HTTP/1.1\r\nHost: x\r\n\r\n",
	    "HTTP/1.1 400", bad);
	expect_refused(*state, "GET http://a@x/s/ HTTP/1.1\r\nHost: x\r\n\r\n",
	    "HTTP/1.1 400", bad);
	expect_refused(*state, "GET http://x/s/#a HTTP/1.1\r\nHost: x\r\n\r\n",
	    "HTTP/1.1 400", bad);
	expect_refused(*state, "GET /s/ HTTP/1.1\r\n\r\n", "HTTP/1.1 400", bad);
	expect_refused(*state, "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	    "HTTP/1.1 404", "Ibisrail-Error: no-route\r\n");
	expect_refused(*state,
	    "POST /s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 4194305\r\n\r\n",
	    "HTTP/1.1 413", large);
	snprintf(name, sizeof(name),
	    "GET /s/ HTTP/1.1\r\nHost: x\r\n%065d: 1\r\n\r\n", 0);
	expect_refused(*state, name, "HTTP/1.1 431", large);
}

static void
test_many_headers_are_refused(void **state)
{
	char *request = talloc_strdup(NULL, "GET /s/ HTTP/1.1\r\nHost: x\r\n");

	for (int i = 0; i < IR_MAX_HEADERS + 1; i++)
		request = talloc_asprintf_append(request, "X-%d: 1\r\n", i);
	request = talloc_strdup_append(request, "\r\n");
	expect_refused(
	    *state, request, "HTTP/1.1 431", "Ibisrail-Error: too-large\r\n");
	talloc_free(request);
}

/* A chunked body that exceeds IR_MAX_BODY. */
static void
test_large_chunked_body_is_refused(void **state)
{
	struct fixture *f = *state;
	size_t bytes = IR_MAX_BODY + 1;
	char *body = talloc_zero_size(NULL, bytes);
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port,
	    "POST /s/ HTTP/1.1\r\nHost: x\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n400001\r\n");

	raw_send(fd, body, bytes);
	raw_send(fd, "\r\n0\r\n\r\n", 7);
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "HTTP/1.1 413"));
	assert_true(ir_ring_empty(f->channel->to_core));
	talloc_free(body);
	close(fd);
}

/* Few bytes of body, in chunks of which each has a long extension. */
static void
test_chunk_extensions_without_end_are_refused(void **state)
{
	struct fixture *f = *state;
	char extension[EXTENSION_BYTES + 1] = "";
	char text[RAW_ANSWER_BYTES];
	char *chunk;
	int fd =
	    raw_send_request(f->port, "POST /s/ HTTP/1.1\r\nHost: x\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n");

	memset(extension, 'b', EXTENSION_BYTES);
	chunk = talloc_asprintf(f, "1;a=%s\r\nx\r\n", extension);
	for (size_t sent = 0; sent < 9 * (size_t)IR_MAX_BODY;
	     sent += strlen(chunk))
		raw_send(fd, chunk, strlen(chunk));
	raw_send(fd, "0\r\n\r\n", 5);
	raw_read_answer(fd, text);
	assert_memory_equal(text, "HTTP/1.1 413", 12);
	assert_true(ir_ring_empty(f->channel->to_core));
	close(fd);
}

static void
test_request_target_may_be_absolute(void **state)
{
	struct fixture *f = *state;
	int fd = raw_send_request(
	    f->port, "GET HTTP://x:80/s/a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n");
	struct ir_to_core *m = next_message(f);

	assert_string_equal(m->u.call.service, "s");
	assert_string_equal(m->u.call.path, "/a?b=1");
	talloc_free(m);
	close(fd);
}

static void
test_disconnect_of_a_caller_is_reported(void **state)
{
	struct fixture *f = *state;
	int fd =
	    raw_send_request(f->port, "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n");
	struct ir_to_core *call = next_message(f), *abandoned;

	close(fd);
	abandoned = next_message(f);
	assert_int_equal(abandoned->kind, IR_TO_CORE_CALL_ABANDONED);
	assert_int_equal(abandoned->id, call->u.call.id);
	assert_string_equal(abandoned->reason, "caller-closed");
	assert_int_equal(f->channel->counters.value[IR_COUNTER_CALLS_CUT], 0);
	/* An answer that the core sent before it got the report is dropped. */
	send_answer(f, abandoned->id, IR_OK);
	talloc_free(call);
	talloc_free(abandoned);
}

/* One request more than the ring holds: the last to arrive is refused. */
static void
test_full_ring_refuses(void **state)
{
	struct fixture *f = *state;
	struct pollfd p[RING_SLOTS];
	char text[RAW_ANSWER_BYTES];
	int refused = 0;

	for (int i = 0; i < RING_SLOTS; i++) {
		p[i].fd = raw_send_request(
		    f->port, "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n");
		p[i].events = POLLIN;
	}
	assert_int_equal(poll(p, RING_SLOTS, -1), 1);
	while (p[refused].revents == 0)
		refused++;
	raw_read_answer(p[refused].fd, text);
	assert_non_null(strstr(text, "HTTP/1.1 503"));
	assert_non_null(strstr(text, "Ibisrail-Error: overload\r\n"));
	assert_non_null(strstr(text, "Ibisrail-Retry-After-Ms: "));
	for (int i = 0; i < RING_SLOTS; i++)
		close(p[i].fd);
	for (int i = 0; i < 2 * (RING_SLOTS - 1); i++)
		talloc_free(next_message(f));
}

/* Requests that the core never answered may have run: outcome unknown. */
static void
test_stop_answers_pending_requests(void **state)
{
	struct fixture *f;
	char text[RAW_ANSWER_BYTES];
	int fd;

	assert_int_equal(set_up((void **)&f), 0);
	fd = raw_send_request(f->port, "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n");
	talloc_free(next_message(f));
	stop(f);
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "Ibisrail-Outcome: unknown\r\n"));
	close(fd);
	free_all(f);
}

/* The second request reaches the core after it has stopped: it will not run. */
static void
test_requests_that_cross_the_stop_are_not_answered_as_unknown(void **state)
{
	const char *request = "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n";
	struct fixture *f;
	char text[RAW_ANSWER_BYTES];
	struct ir_to_core *m[2];
	int fds[2];

	assert_int_equal(set_up((void **)&f), 0);
	for (int i = 0; i < 2; i++) {
		fds[i] = raw_send_request(f->port, request);
		m[i] = next_message(f);
	}
	send_stop(f, m[0]->u.call.id, LONG_STOP_US);
	send_answer(f, m[1]->u.call.id, IR_E_STOPPING);
	raw_read_answer(fds[0], text);
	assert_non_null(strstr(text, "Ibisrail-Outcome: unknown\r\n"));
	raw_read_answer(fds[1], text);
	assert_non_null(strstr(text, "Ibisrail-Outcome: not-run\r\n"));
	pthread_join(f->thread, NULL);
	for (int i = 0; i < 2; i++) {
		talloc_free(m[i]);
		close(fds[i]);
	}
	free_all(f);
}

/* The thread begins to run with the stop, so that it has read nothing before.
 */
static void
test_requests_that_wait_at_the_stop_are_refused(void **state)
{
	const char *request = "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n";
	struct fixture *f;
	char text[RAW_ANSWER_BYTES];
	int fds[WAITING_CONNECTIONS];

	assert_int_equal(set_up_stopped((void **)&f), 0);
	for (int i = 0; i < WAITING_CONNECTIONS; i++)
		fds[i] = raw_send_request(f->port, request);
	send_stop(f, 0, LONG_STOP_US);
	assert_int_equal(
	    pthread_create(&f->thread, NULL, ir_callers_run, f->callers), 0);
	for (int i = 0; i < WAITING_CONNECTIONS; i++) {
		struct ir_to_core *m;

		raw_read_answer(fds[i], text);
		assert_memory_equal(text, "HTTP/1.1 503", 12);
		assert_non_null(strstr(text, "Connection: close\r\n"));
		close(fds[i]);
		while ((m = ir_ring_pop(f->channel->to_core)) != NULL)
			talloc_free(m);
	}
	pthread_join(f->thread, NULL);
	free_all(f);
}

/* What is not closed when the thread ends takes requests that nobody reads. */
static void
test_ended_thread_leaves_no_socket_open(void **state)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	struct fixture *f;
	int idle, late;
	char byte;

	assert_int_equal(set_up((void **)&f), 0);
	idle = raw_connect(f->port);
	stop(f);
	assert_int_equal(recv(idle, &byte, 1, MSG_DONTWAIT), 0);
	late = socket(AF_INET, SOCK_STREAM, 0);
	a.sin_port = htons(f->port);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(late, (struct sockaddr *)&a, sizeof(a)), -1);
	assert_int_equal(errno, ECONNREFUSED);
	close(idle);
	close(late);
	free_all(f);
}

static size_t
receive_all(int fd)
{
	char part[SMALL_BUFFER_BYTES];
	size_t sum = 0;
	ssize_t n;

	while ((n = recv(fd, part, sizeof(part), 0)) > 0)
		sum += (size_t)n;
	return sum;
}

/*
 * The answer is in the send buffer, and the caller has sent one more request:
 * closing the socket would discard both.
 */
static void
test_stop_waits_for_answers_in_send_buffers(void **state)
{
	const char *request = "GET /s/ HTTP/1.1\r\nHost: x\r\n\r\n";
	struct timespec limit;
	struct ir_to_core *call;
	struct fixture *f;
	int fd, bytes = SMALL_BUFFER_BYTES;

	assert_int_equal(set_up((void **)&f), 0);
	fd = raw_connect(f->port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	raw_send(fd, request, strlen(request));
	call = next_message(f);
	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_LEAVING));
	send_large_answer(f, call->u.call.id);
	/* The answer has begun to arrive. */
	assert_int_equal(recv(fd, &(char){0}, 1, MSG_PEEK), 1);
	raw_send(fd, request, strlen(request));
	send_stop(f, call->u.call.id, LONG_STOP_US);
	clock_gettime(CLOCK_REALTIME, &limit);
	limit.tv_sec++;
	assert_int_equal(
	    pthread_timedjoin_np(f->thread, NULL, &limit), ETIMEDOUT);
	assert_true(receive_all(fd) > LARGE_ANSWER_BYTES);
	close(fd);
	pthread_join(f->thread, NULL);
	talloc_free(call);
	free_all(f);
}

#define WITH_CALLERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_CALLERS(test_reserved_headers_are_removed),
	    WITH_CALLERS(test_refusal_by_the_core),
	    WITH_CALLERS(test_connection_is_reused),
	    WITH_CALLERS(test_egress_request_carries_its_parent),
	    WITH_CALLERS(test_key_outside_its_header_is_refused),
	    WITH_CALLERS(test_bad_requests_are_refused),
	    WITH_CALLERS(test_many_headers_are_refused),
	    WITH_CALLERS(test_large_chunked_body_is_refused),
	    WITH_CALLERS(test_chunk_extensions_without_end_are_refused),
	    WITH_CALLERS(test_request_target_may_be_absolute),
	    WITH_CALLERS(test_disconnect_of_a_caller_is_reported),
	    WITH_CALLERS(test_full_ring_refuses),
	    cmocka_unit_test(test_stop_answers_pending_requests),
	    cmocka_unit_test(
		test_requests_that_cross_the_stop_are_not_answered_as_unknown),
	    cmocka_unit_test(test_requests_that_wait_at_the_stop_are_refused),
	    cmocka_unit_test(test_ended_thread_leaves_no_socket_open),
	    cmocka_unit_test(test_stop_waits_for_answers_in_send_buffers),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
