/*
 * A caller's connection over raw sockets, in the platform's dialect: ambiguous
 * requests are refused and nothing after them is read; requests of one
 * connection are processed concurrently and answered in order. The test acts
 * as the core.
 */
#include <sys/socket.h>

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
#include <unistd.h>

#include <cmocka.h>

#include "io/callers/callers.h"
#include "io/listen.h"
#include "platform/platform.h"
#include "support/core_side.h"
#include "support/raw_http.h"

#define RING_SLOTS 128
/* Unanswered requests with which a connection is not read. */
#define PIPELINE_LIMIT 64
#define PIPELINED 100
#define GET(id)                                              \
	"GET /a/b?q=1 HTTP/1.1\r\nHost: Shop.Example:80\r\n" \
	"X-Ibisrail-Attempt-Id: " id "\r\n"                  \
	"X-Ibisrail-Deadline-Remaining: 5000\r\nX-Api-Key: k1\r\n\r\n"

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_memory memory;
	struct ir_callers *callers;
	pthread_t thread;
	uint16_t port;
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
	f->callers = ir_callers_new(f->core, f->channel, &platform_dialect,
	    &f->memory, IR_MAX_CALLER_CONNECTIONS, fd, -1);
	*state = f;
	return pthread_create(&f->thread, NULL, ir_callers_run, f->callers);
}

/* last_call: the last one that the core has taken. */
static void
stop(struct fixture *f, uint64_t last_call)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_STOP);

	m->id = last_call;
	ir_ring_push(f->channel->from_core, m);
	pthread_join(f->thread, NULL);
	talloc_free(f->callers);
	talloc_free(f->core);
	talloc_free(f);
}

static int
tear_down(void **state)
{
	stop(*state, 0);
	return 0;
}

static struct ir_to_core *
next_message(struct fixture *f)
{
	return core_side_receive(f->core, f->channel);
}

static void
send_answer(
    struct fixture *f, uint64_t id, enum ir_error error, const char *body)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_ANSWER);
	struct ir_answer *a = &m->u.answer;

	m->id = id;
	a->error = error;
	a->status = 200;
	a->retry_after_ms = error == IR_OK ? 0 : 1250;
	a->body_bytes = error == IR_OK ? strlen(body) : 0;
	a->body = ir_bytes_copy(m, (const uint8_t *)body, a->body_bytes);
	ir_ring_push(f->channel->from_core, m);
}

/* Expects 400 and a closed connection; the core gets no request of it. */
static void
expect_400(struct fixture *f, const char *request)
{
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port, request);

	raw_read_all(fd, text, sizeof(text));
	assert_memory_equal(text, "HTTP/1.1 400", 12);
	assert_non_null(strstr(text, "Connection: close\r\n"));
	assert_null(strstr(text + 12, "HTTP/1.1"));
	assert_true(ir_ring_empty(f->channel->to_core));
	close(fd);
}

static void
test_smuggling_is_refused(void **state)
{
	/* Content-Length with Transfer-Encoding. */
	expect_400(*state,
	    "POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" GET("1"));
	/* Two different lengths. */
	expect_400(*state,
	    "POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
	    "Content-Length: 5\r\n\r\nabcde" GET("1"));
	/* A blank before the colon. */
	expect_400(*state,
	    "POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length : 0\r\n\r\n" GET(
		"1"));
	/* A folded line. */
	expect_400(*state,
	    "GET /a/ HTTP/1.1\r\nHost: x\r\nX-A: 1\r\n 2\r\n\r\n" GET("1"));
}

static void
test_other_ambiguous_heads_are_refused(void **state)
{
	expect_400(*state, "GET /a/ HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n");
	expect_400(*state, "GET /a/ HTTP/1.1\nHost: x\r\n\r\n\r\n");
	expect_400(*state, "GET /a/ HTTP/1.1\r\nHost: x\r\nX: a\rb\r\n\r\n");
	expect_400(*state,
	    "POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd");
	expect_400(*state,
	    "POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: 4, 4\r\n\r\nabcd");
	expect_400(*state,
	    "POST /a/ HTTP/1.1\r\nHost: x\r\n"
	    "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n");
	expect_400(*state, "POST /a/ HTTP/1.0\r\nHost: x\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	expect_400(*state, "POST /a/ HTTP/1.1\r\nHost: x\r\n"
			   "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n");
	expect_400(*state, "GET http:/x/a/ HTTP/1.1\r\nHost: x\r\n\r\n");
	expect_400(*state, "GET http://:80/a/ HTTP/1.1\r\nHost: x\r\n\r\n");
	expect_400(*state, "GET http://a@x/a/ HTTP/1.1\r\nHost: x\r\n\r\n");
	expect_400(*state, "GET http://x/a/ HTTP/1.1\r\n\r\n");
	expect_400(*state, "CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n");
	expect_400(*state, "GET /a/ HTTP/1.1\r\n\r\n");
	expect_400(*state, "GET /a/ HTTP/1.1\r\nHost: x\r\nX-Api-Key: k1\r\n"
			   "X-Api-Key: k2\r\n\r\n");
	expect_400(*state, "GET /a/ HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n");
}

static void
test_request_in_the_platform_dialect(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port,
	    "POST /a/b?q=1 HTTP/1.1\r\nHost: Shop.Example:80\r\n"
	    "X-Ibisrail-Attempt-Id: 7f.01\r\nX-Api-Key: k1\r\n"
	    "X-Ibisrail-Deadline-Remaining: 5000\r\nX-Own: 1\r\n"
	    "X-Ibisrail-Caller-Service: forged\r\n"
	    "X-Ibisrail-Tenant-Name: forged\r\n"
	    "X-Ibisrail-Expected-Instance: forged\r\n"
	    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n");
	struct ir_to_core *m = next_message(f);
	const struct ir_call *c = &m->u.call;

	assert_null(c->service);
	assert_string_equal(c->authority, "shop.example");
	assert_string_equal(c->path, "/a/b?q=1");
	assert_string_equal(c->caller_attempt, "7f.01");
	assert_string_equal(c->key, "k1");
	assert_int_equal(c->deadline_ms, 5000);
	assert_int_equal(c->header_count, 1);
	assert_string_equal(c->headers[0].name, "X-Own");
	assert_int_equal(c->body_bytes, 5);
	assert_memory_equal(c->body, "abcde", 5);
	send_answer(f, c->id, IR_E_OVERLOAD, "");
	raw_read_answer(fd, text);
	assert_memory_equal(text, "HTTP/1.1 503", 12);
	assert_non_null(strstr(text, "Retry-After: 1.250\r\n"));
	talloc_free(m);
	close(fd);
}

/* The target's host goes before the Host header, as RFC 9112 has it. */
static void
test_request_target_may_be_absolute(void **state)
{
	struct fixture *f = *state;
	int fd = raw_send_request(f->port,
	    "GET http://Shop.Example:80?q=1 HTTP/1.1\r\nHost: other\r\n"
	    "X-Ibisrail-Attempt-Id: 1\r\n\r\n");
	struct ir_to_core *m = next_message(f);

	assert_string_equal(m->u.call.authority, "shop.example");
	assert_string_equal(m->u.call.path, "/?q=1");
	talloc_free(m);
	close(fd);
}

static void
test_empty_lines_without_end_are_refused(void **state)
{
	char lines[4096 + 1];

	for (size_t i = 0; i < sizeof(lines); i++)
		lines[i] = i % 2 == 0 ? '\r' : '\n';
	lines[sizeof(lines) - 1] = '\0';
	expect_400(*state, lines);
}

static void
test_pipelined_requests_run_concurrently(void **state)
{
	struct fixture *f = *state;
	const char *three = GET("1") GET("2") GET("3");
	char text[RAW_ANSWER_BYTES];
	struct ir_to_core *m[3];
	int fd = raw_send_request(f->port, three);

	/* The core gets all of them before any is answered. */
	for (int i = 0; i < 3; i++)
		m[i] = next_message(f);
	send_answer(f, m[2]->u.call.id, IR_OK, "third");
	send_answer(f, m[1]->u.call.id, IR_E_OVERLOAD, "");
	send_answer(f, m[0]->u.call.id, IR_OK, "first");
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "\r\n\r\nfirst"));
	raw_read_answer(fd, text);
	assert_memory_equal(text, "HTTP/1.1 503", 12);
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "\r\n\r\nthird"));
	for (int i = 0; i < 3; i++)
		talloc_free(m[i]);
	close(fd);
}

/* More requests in one write than may be unanswered at a time. */
static void
test_requests_beyond_the_pipeline_limit_do_not_hang(void **state)
{
	struct fixture *f = *state;
	char *many = talloc_strdup(NULL, "");
	char text[RAW_ANSWER_BYTES];
	int fd;

	for (int i = 0; i < PIPELINED; i++)
		many = talloc_strdup_append(
		    many, "GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n");
	fd = raw_send_request(f->port, many);
	for (int i = 0; i < PIPELINED; i++) {
		struct ir_to_core *m = next_message(f);

		send_answer(f, m->u.call.id, IR_OK, "one");
		raw_read_answer(fd, text);
		assert_non_null(strstr(text, "\r\n\r\none"));
		talloc_free(m);
	}
	talloc_free(many);
	close(fd);
}

static void
test_nothing_after_connection_close_is_run(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port,
	    "GET /a/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" GET(
		"2"));
	struct ir_to_core *m = next_message(f);

	send_answer(f, m->u.call.id, IR_OK, "only");
	raw_read_all(fd, text, sizeof(text));
	assert_non_null(strstr(text, "\r\n\r\nonly"));
	assert_null(strstr(text + 12, "HTTP/1.1"));
	assert_true(ir_ring_empty(f->channel->to_core));
	talloc_free(m);
	close(fd);
}

static void
test_expect_continue_is_answered_in_order(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	struct ir_to_core *first, *second;
	int fd = raw_send_request(f->port,
	    GET("1") "POST /a/ HTTP/1.1\r\nHost: x\r\n"
		     "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");

	first = next_message(f);
	send_answer(f, first->u.call.id, IR_OK, "one");
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "\r\n\r\none"));
	raw_read_answer(fd, text);
	assert_string_equal(text, "HTTP/1.1 100 Continue\r\n\r\n");
	raw_send(fd, "ab", 2);
	second = next_message(f);
	assert_memory_equal(second->u.call.body, "ab", 2);
	assert_int_equal(second->u.call.header_count, 0);
	talloc_free(first);
	talloc_free(second);
	close(fd);
	talloc_free(next_message(f));
}

static void
test_answer_to_head_has_no_body(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port,
	    "HEAD /a/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	struct ir_to_core *m = next_message(f);

	assert_string_equal(m->u.call.method, "HEAD");
	send_answer(f, m->u.call.id, IR_OK, "body");
	raw_read_all(fd, text, sizeof(text));
	assert_non_null(strstr(text, "Content-Length: 4\r\n"));
	assert_string_equal(strstr(text, "\r\n\r\n"), "\r\n\r\n");
	talloc_free(m);
	close(fd);
}

/* Each pending request of a caller that disconnects is reported. */
static void
test_disconnect_is_reported_for_each_request(void **state)
{
	struct fixture *f = *state;
	int fd = raw_send_request(f->port, GET("1") GET("2"));
	struct ir_to_core *calls[2], *abandoned[2];

	for (int i = 0; i < 2; i++)
		calls[i] = next_message(f);
	close(fd);
	for (int i = 0; i < 2; i++) {
		abandoned[i] = next_message(f);
		assert_int_equal(abandoned[i]->kind, IR_TO_CORE_CALL_ABANDONED);
	}
	assert_int_equal(abandoned[0]->id + abandoned[1]->id,
	    calls[0]->u.call.id + calls[1]->u.call.id);
	for (int i = 0; i < 2; i++) {
		talloc_free(calls[i]);
		talloc_free(abandoned[i]);
	}
}

/* A caller that reads a large answer slowly does not delay other callers. */
static void
test_slow_reader_does_not_delay_others(void **state)
{
	struct fixture *f = *state;
	size_t bytes = 4 * 1000 * 1000;
	char *body = talloc_zero_size(NULL, bytes + 1);
	char *text = talloc_size(NULL, bytes + RAW_ANSWER_BYTES);
	char other[RAW_ANSWER_BYTES];
	int slow = raw_send_request(f->port, GET("1")), quick;
	struct ir_to_core *m = next_message(f);

	memset(body, 'b', bytes);
	send_answer(f, m->u.call.id, IR_OK, body);
	talloc_free(m);
	quick = raw_send_request(f->port, GET("2"));
	m = next_message(f);
	send_answer(f, m->u.call.id, IR_OK, "quick");
	raw_read_answer(quick, other);
	assert_non_null(strstr(other, "\r\n\r\nquick"));
	shutdown(slow, SHUT_WR);
	assert_true(raw_read_all(slow, text, bytes + RAW_ANSWER_BYTES) > bytes);
	talloc_free(m);
	talloc_free(body);
	talloc_free(text);
	close(slow);
	close(quick);
}

static void
test_request_sent_byte_by_byte(void **state)
{
	struct fixture *f = *state;
	const char *request = GET("b1");
	int fd = raw_connect(f->port);
	struct ir_to_core *m;

	for (size_t i = 0; i < strlen(request); i++)
		raw_send(fd, request + i, 1);
	m = next_message(f);
	assert_string_equal(m->u.call.caller_attempt, "b1");
	talloc_free(m);
	close(fd);
	talloc_free(next_message(f));
}

/* After IR_FROM_CORE_LEAVING each answer closes its connection. */
static void
test_leaving_closes_connections_after_answers(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port, GET("1"));
	struct ir_to_core *m = next_message(f);

	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_LEAVING));
	send_answer(f, m->u.call.id, IR_OK, "last");
	raw_read_all(fd, text, sizeof(text));
	assert_non_null(strstr(text, "Connection: close\r\n"));
	assert_non_null(strstr(text, "\r\n\r\nlast"));
	talloc_free(m);
	close(fd);
}

/* A caller reads nothing after an answer that says Connection: close. */
static void
test_leaving_loses_no_answer_of_pipelined_requests(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port, GET("1") GET("2") GET("3"));
	struct ir_to_core *m[3];

	for (int i = 0; i < 3; i++)
		m[i] = next_message(f);
	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_LEAVING));
	send_answer(f, m[1]->u.call.id, IR_E_STOPPING, "");
	send_answer(f, m[0]->u.call.id, IR_OK, "first");
	raw_read_answer(fd, text);
	assert_non_null(strstr(text, "\r\n\r\nfirst"));
	assert_null(strstr(text, "Connection: close\r\n"));
	raw_read_answer(fd, text);
	assert_memory_equal(text, "HTTP/1.1 503", 12);
	assert_null(strstr(text, "Connection: close\r\n"));
	send_answer(f, m[2]->u.call.id, IR_OK, "third");
	raw_read_all(fd, text, sizeof(text));
	assert_non_null(strstr(text, "Connection: close\r\n"));
	assert_non_null(strstr(text, "\r\n\r\nthird"));
	for (int i = 0; i < 3; i++)
		talloc_free(m[i]);
	close(fd);
}

/* The last answer is ready, says close, and waits for an earlier one. */
static void
test_nothing_is_run_behind_an_answer_that_closes(void **state)
{
	struct fixture *f = *state;
	char text[RAW_ANSWER_BYTES];
	int fd = raw_send_request(f->port, GET("1") GET("2"));
	struct ir_to_core *m[2];

	for (int i = 0; i < 2; i++)
		m[i] = next_message(f);
	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_LEAVING));
	send_answer(f, m[1]->u.call.id, IR_OK, "second");
	/* An answer on another connection shows that both were handled. */
	expect_400(f, "GET /a/ HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n");
	raw_send(fd, GET("3"), sizeof(GET("3")) - 1);
	expect_400(f, "GET /a/ HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n");
	send_answer(f, m[0]->u.call.id, IR_OK, "first");
	raw_read_all(fd, text, sizeof(text));
	assert_non_null(strstr(text, "\r\n\r\nsecond"));
	assert_true(ir_ring_empty(f->channel->to_core));
	for (int i = 0; i < 2; i++)
		talloc_free(m[i]);
	close(fd);
}

/* With this many requests the connection is not read, so nobody sees a reset.
 */
static void
test_stop_survives_a_reset_of_pipelined_requests(void **state)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	const char *request = "GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n";
	char *all = talloc_strdup(NULL, "");
	struct fixture *f;
	uint64_t last = 0;
	int fd;

	assert_int_equal(set_up((void **)&f), 0);
	for (int i = 0; i < PIPELINE_LIMIT; i++)
		all = talloc_strdup_append(all, request);
	fd = raw_send_request(f->port, all);
	for (int i = 0; i < PIPELINE_LIMIT; i++) {
		struct ir_to_core *m = next_message(f);

		last = m->u.call.id;
		talloc_free(m);
	}
	assert_int_equal(
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)), 0);
	close(fd);
	stop(f, last);
	talloc_free(all);
}

#define WITH_CALLERS(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_CALLERS(test_smuggling_is_refused),
	    WITH_CALLERS(test_other_ambiguous_heads_are_refused),
	    WITH_CALLERS(test_request_in_the_platform_dialect),
	    WITH_CALLERS(test_request_target_may_be_absolute),
	    WITH_CALLERS(test_empty_lines_without_end_are_refused),
	    WITH_CALLERS(test_pipelined_requests_run_concurrently),
	    WITH_CALLERS(test_requests_beyond_the_pipeline_limit_do_not_hang),
	    WITH_CALLERS(test_nothing_after_connection_close_is_run),
	    WITH_CALLERS(test_expect_continue_is_answered_in_order),
	    WITH_CALLERS(test_answer_to_head_has_no_body),
	    WITH_CALLERS(test_disconnect_is_reported_for_each_request),
	    WITH_CALLERS(test_slow_reader_does_not_delay_others),
	    WITH_CALLERS(test_request_sent_byte_by_byte),
	    WITH_CALLERS(test_leaving_closes_connections_after_answers),
	    WITH_CALLERS(test_leaving_loses_no_answer_of_pipelined_requests),
	    WITH_CALLERS(test_nothing_is_run_behind_an_answer_that_closes),
	    cmocka_unit_test(test_stop_survives_a_reset_of_pipelined_requests),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
