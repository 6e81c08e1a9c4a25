/*
 * Connections to the upstream in the platform's dialect, against a scripted
 * server. Guards against taking an answer for that to another request, against
 * passing on an incomplete or unsigned one, against reading one that does not
 * end, and against telling callers that a request was not run when it may have
 * been.
 */
#include <sys/socket.h>

#include <fcntl.h>
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

#include "io/listen.h"
#include "io/upstream/upstream.h"
#include "platform/platform.h"
#include "support/core_side.h"
#include "upstream/statement.h"

#define RING_SLOTS 64
#define CONNECTIONS 4
#define REQUEST_BYTES 16384
#define SIGNED_ANSWER(id, body)                                \
	"HTTP/1.1 200 OK\r\nX-Ibisrail-Attempt-Id: " id "\r\n" \
	"X-Ibisrail-Response-Signature: s\r\nContent-Length: 2\r\n\r\n" body

#define SIGNED_HEAD                                       \
	"HTTP/1.1 200 OK\r\nX-Ibisrail-Attempt-Id: 1\r\n" \
	"X-Ibisrail-Response-Signature: s\r\n"
#define CHUNKED_HEAD SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define SIXTEEN_BYTES "aaaaaaaaaaaaaaaa"
#define EARLY_HINTS "HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n"
/*
 * More than a connection takes of an answer without end: the largest body in
 * chunks of one byte (6 bytes each), and what the sockets hold.
 */
#define ENDLESS_BYTES (12 * (size_t)IR_MAX_BODY)
#define ENDLESS_WRITE_BYTES 65536

/*
 * An answer that does not end: a head, then a unit again and again until the
 * node closes the connection.
 */
struct endless {
	const char *head;
	const char *unit;
};

/*
 * What the server sends for each request of a connection, in order. It closes
 * the connection at the end of the list (NULL), or resets it at "!". At "end"
 * it also stops listening.
 */
struct script {
	const char *answers[4];
	bool early; /* answers before it reads the body */
};

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_memory memory;
	struct ir_upstream *upstream;
	pthread_t thread;
	pthread_t server;
	int listen_fd;
	uint64_t last_id;
	const struct script *script;   /* for the next connections */
	const struct endless *endless; /* sent instead, unless NULL */
	bool endless_taken;	       /* all ENDLESS_BYTES of one answer */
	int connections;
	char request[REQUEST_BYTES]; /* head of the last one read */
};

/* Reads a request's head. Returns false at the end of the connection. */
static bool
read_request(struct fixture *f, int fd)
{
	char text[REQUEST_BYTES] = "";
	size_t size = 0;

	while (strstr(text, "\r\n\r\n") == NULL) {
		ssize_t n = read(fd, text + size, 1);

		if (n <= 0)
			return false;
		size += (size_t)n;
	}
	memcpy(f->request, text, sizeof(text));
	return true;
}

static void
reset_on_close(int fd)
{
	struct linger now = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static void
serve_conn(struct fixture *f, const struct script *s, int fd)
{
	for (int i = 0; s->answers[i] != NULL; i++) {
		const char *a = s->answers[i];

		if (!read_request(f, fd))
			return;
		if (strcmp(a, "!") == 0) {
			reset_on_close(fd);
			return;
		}
		if (strcmp(a, "end") == 0) {
			shutdown(f->listen_fd, SHUT_RDWR);
			reset_on_close(fd);
			return;
		}
		if (send(fd, a, strlen(a), MSG_NOSIGNAL) < 0)
			return;
		if (s->early && read(fd, f->request, 1) <= 0)
			return;
	}
}

static bool
send_all(int fd, const char *data, size_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
	}
	return true;
}

static void
serve_endless(struct fixture *f, const struct endless *e, int fd)
{
	char units[ENDLESS_WRITE_BYTES + 256];
	size_t unit_bytes = strlen(e->unit), bytes = 0;

	if (!read_request(f, fd) || !send_all(fd, e->head, strlen(e->head)))
		return;
	for (; bytes < ENDLESS_WRITE_BYTES; bytes += unit_bytes)
		memcpy(units + bytes, e->unit, unit_bytes);
	for (size_t sent = 0; sent < ENDLESS_BYTES; sent += bytes) {
		if (!send_all(fd, units, bytes))
			return;
	}
	__atomic_store_n(&f->endless_taken, true, __ATOMIC_SEQ_CST);
}

static void *
serve(void *ctx)
{
	struct fixture *f = ctx;
	int fd;

	while ((fd = accept(f->listen_fd, NULL, NULL)) >= 0) {
		const struct endless *e =
		    __atomic_load_n(&f->endless, __ATOMIC_SEQ_CST);

		__atomic_add_fetch(&f->connections, 1, __ATOMIC_SEQ_CST);
		if (e != NULL)
			serve_endless(f, e, fd);
		else
			serve_conn(f,
			    __atomic_load_n(&f->script, __ATOMIC_SEQ_CST), fd);
		close(fd);
	}
	return NULL;
}

static int
set_up(void **state)
{
	struct ir_endpoint e = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->listen_fd = ir_listen(&e, true, &e.port);
	fcntl(f->listen_fd, F_SETFL, 0);
	f->core = ir_wakeup_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, NULL, RING_SLOTS);
	ir_memory_init(&f->memory, 0);
	f->upstream = ir_upstream_new(f->core, f->channel, &f->memory,
	    &platform_dialect, &e, CONNECTIONS);
	*state = f;
	if (pthread_create(&f->server, NULL, serve, f) != 0)
		return -1;
	return pthread_create(&f->thread, NULL, ir_upstream_run, f->upstream);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	uint64_t left_bytes;

	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f->thread, NULL);
	talloc_free(f->upstream);
	left_bytes = ir_memory_held(&f->memory, IR_MEMORY_UPSTREAM);
	shutdown(f->listen_fd, SHUT_RDWR);
	pthread_join(f->server, NULL);
	close(f->listen_fd);
	talloc_free(f->core);
	talloc_free(f);
	return left_bytes == 0 ? 0 : -1;
}

/* Sets the script for connections that the server accepts from now on. */
static void
use_script(struct fixture *f, const struct script *s)
{
	__atomic_store_n(&f->script, s, __ATOMIC_SEQ_CST);
}

static struct ir_to_core *
run_request_with(
    struct fixture *f, const char *attempt, bool idempotent, size_t body_bytes)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_RUN);
	struct ir_run *r = &m->u.run;
	struct ir_to_core *ran;

	m->id = ++f->last_id;
	r->id = m->id;
	r->attempt = "g-1";
	r->request = "r1";
	r->account = "shops";
	r->authority = "shop.example";
	r->caller_attempt = attempt;
	r->origin = "search";
	r->upstream_id = "i-1";
	r->method = body_bytes > 0 ? "POST" : "GET";
	r->path = "/a/b";
	r->remaining_ms = 20000;
	r->idempotent = idempotent;
	r->body = talloc_zero_size(m, body_bytes);
	r->body_bytes = body_bytes;
	ir_ring_push(f->channel->from_core, m);
	ran = core_side_receive(f->core, f->channel);
	assert_int_equal(ran->kind, IR_TO_CORE_RUN_ENDED);
	assert_int_equal(ran->id, f->last_id);
	return ran;
}

static struct ir_to_core *
run_request(struct fixture *f, const char *attempt)
{
	return run_request_with(f, attempt, true, 0);
}

static void
expect_run_end(struct fixture *f, const char *answer, enum ir_run_end end)
{
	struct script *s = talloc_zero(f, struct script);
	struct ir_to_core *m;

	s->answers[0] = answer;
	use_script(f, s);
	m = run_request_with(f, "1", false, 0);
	assert_int_equal(m->u.result.end, end);
	talloc_free(m);
}

static void
expect_body(struct ir_to_core *m, const char *body)
{
	const struct ir_run_result *r = &m->u.result;

	assert_int_equal(r->end, IR_RUN_ANSWERED);
	assert_int_equal(r->body_bytes, strlen(body));
	assert_memory_equal(r->body, body, strlen(body));
	talloc_free(m);
}

static void
test_request_has_headers_of_dialect(void **state)
{
	static const struct script s = {
	    .answers = {SIGNED_ANSWER("7.1", "ok")}};
	struct fixture *f = *state;
	static const char *const lines[] = {"GET /a/b HTTP/1.1\r\n",
	    "Host: shop.example\r\n", "X-Ibisrail-Attempt-Id: 7.1\r\n",
	    "X-Ibisrail-Deadline-Remaining: 20000\r\n",
	    "X-Ibisrail-Expected-Instance: i-1\r\n",
	    "X-Ibisrail-Tenant-Name: shops\r\n",
	    "X-Ibisrail-Caller-Service: search\r\n"};

	use_script(f, &s);
	expect_body(run_request(f, "7.1"), "ok");
	for (size_t i = 0; i < sizeof(lines) / sizeof(*lines); i++)
		assert_non_null(strstr(f->request, lines[i]));
	assert_null(strstr(f->request, "r1"));
}

/* A second answer to request 1 arrives while that to request 2 is awaited. */
static void
test_late_answer_to_earlier_request_is_skipped(void **state)
{
	static const struct script s = {
	    .answers = {SIGNED_ANSWER("1", "aa"),
		SIGNED_ANSWER("1", "xx") SIGNED_ANSWER("2", "bb")}};
	struct fixture *f = *state;

	use_script(f, &s);
	expect_body(run_request(f, "1"), "aa");
	expect_body(run_request(f, "2"), "bb");
	assert_int_equal(f->connections, 1);
}

/* A connection on which bytes follow an answer is not used again. */
static void
test_second_answer_closes_connection(void **state)
{
	static const struct script s = {
	    .answers = {SIGNED_ANSWER("1", "aa") SIGNED_ANSWER("1", "xx")}};
	static const struct script next = {
	    .answers = {SIGNED_ANSWER("2", "bb")}};
	struct fixture *f = *state;

	use_script(f, &s);
	expect_body(run_request(f, "1"), "aa");
	use_script(f, &next);
	expect_body(run_request(f, "2"), "bb");
	assert_int_equal(f->connections, 2);
}

static void
test_answer_to_another_request_is_broken(void **state)
{
	expect_run_end(*state, SIGNED_ANSWER("2", "xx"), IR_RUN_BROKEN);
	/* Without the id of a request. */
	expect_run_end(*state,
	    "HTTP/1.1 200 OK\r\nX-Ibisrail-Response-Signature: s\r\n"
	    "Content-Length: 0\r\n\r\n",
	    IR_RUN_BROKEN);
}

static void
test_incomplete_and_unsigned_answers_are_broken(void **state)
{
	expect_run_end(*state,
	    "HTTP/1.1 200 OK\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "X-Ibisrail-Response-Signature: s\r\nContent-Length: 9\r\n\r\nab",
	    IR_RUN_BROKEN);
	expect_run_end(*state,
	    "HTTP/1.1 200 OK\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "X-Ibisrail-Response-Signature: s\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	    IR_RUN_BROKEN);
	/* Without a digest, or with an encoded body: not the upstream's own.
	 */
	expect_run_end(*state,
	    "HTTP/1.1 200 OK\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "Content-Length: 2\r\n\r\nab",
	    IR_RUN_BROKEN);
	expect_run_end(*state,
	    "HTTP/1.1 200 OK\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "X-Ibisrail-Response-Signature: s\r\nContent-Encoding: gzip\r\n"
	    "Content-Length: 2\r\n\r\nab",
	    IR_RUN_BROKEN);
	expect_run_end(*state, "no HTTP\r\n\r\n", IR_RUN_BROKEN);
	expect_run_end(*state, "!", IR_RUN_BROKEN);
	/* Closed without an answer. */
	expect_run_end(*state, "", IR_RUN_BROKEN);
}

/* The orderly end of the connection ends the answer; a reset does not. */
static struct ir_statement
run_and_read_statement(struct fixture *f, const char *answer)
{
	struct script *s = talloc_zero(f, struct script);
	struct ir_to_core *m;
	struct ir_statement said;

	s->answers[0] = answer;
	use_script(f, s);
	m = run_request(f, "1");
	said = ir_statement_read(&platform_dialect.headers.statement,
	    m->u.result.headers, m->u.result.header_count);
	talloc_free(m);
	return said;
}

static void
test_answers_and_refusals_carry_what_the_upstream_says_of_itself(void **state)
{
	struct ir_statement s;

	s = run_and_read_statement(*state,
	    SIGNED_HEAD "Server-Limit: 4.2\r\nContent-Length: 0\r\n"
			"Connection: close\r\n\r\n");
	assert_true(s.limited && !s.leaving);
	assert_int_equal(s.rate_mt_per_s, 4200);
	s = run_and_read_statement(*state,
	    "HTTP/1.1 503 Busy\r\nX-Ibisrail-Not-Executed: 1\r\n"
	    "Server-Leaving: 1\r\nContent-Length: 0\r\n"
	    "Connection: close\r\n\r\n");
	assert_true(s.leaving && !s.limited);
}

static void
test_end_of_the_upstream_is_told_from_a_broken_connection(void **state)
{
	expect_run_end(*state, "!", IR_RUN_BROKEN);
	expect_run_end(*state, "HTTP/1.1 200 OK\r\nContent-Le", IR_RUN_BROKEN);
	expect_run_end(*state, "end", IR_RUN_UPSTREAM_ENDED);
	expect_run_end(*state, "", IR_RUN_NOT_CONNECTED);
}

static void
test_answer_without_length_ends_with_connection(void **state)
{
	static const char unframed[] =
	    "HTTP/1.1 200 OK\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "X-Ibisrail-Response-Signature: s\r\n\r\nabc";
	static const struct script s = {.answers = {unframed}};
	struct fixture *f = *state;

	use_script(f, &s);
	expect_body(run_request(f, "1"), "abc");
}

static void
test_only_not_run_answers_are_shed(void **state)
{
	expect_run_end(*state,
	    "HTTP/1.1 503 No\r\nX-Ibisrail-Not-Executed: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    IR_RUN_SHED);
	expect_run_end(*state,
	    "HTTP/1.1 421 No\r\nX-Ibisrail-Instance-Id: i-2\r\n"
	    "Content-Length: 0\r\n\r\n",
	    IR_RUN_SHED);
	/* The status implies it, but the upstream does not say so. */
	expect_run_end(*state,
	    "HTTP/1.1 503 No\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    IR_RUN_BROKEN);
	expect_run_end(*state,
	    "HTTP/1.1 429 No\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    IR_RUN_BROKEN);
	/* The upstream's own failure is an answer. */
	expect_run_end(*state,
	    "HTTP/1.1 500 Bad\r\nX-Ibisrail-Attempt-Id: 1\r\n"
	    "X-Ibisrail-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
	    IR_RUN_ANSWERED);
}

/* The first bytes of an answer, and then the end of the connection. */
static void
test_answer_cut_within_its_head_is_broken(void **state)
{
	static const char *const answers[] = {
	    SIGNED_HEAD "Content-Length: 0\r\n\r\n",
	    SIGNED_HEAD "\r\n",
	    CHUNKED_HEAD,
	};

	for (size_t k = 0; k < sizeof(answers) / sizeof(*answers); k++) {
		for (size_t i = 1; i < strlen(answers[k]); i++) {
			char *cut = talloc_strndup(*state, answers[k], i);

			expect_run_end(*state, cut, IR_RUN_BROKEN);
		}
	}
}

#define ID "X-Ibisrail-Attempt-Id: 1\r\n"
#define SIGNATURE "X-Ibisrail-Response-Signature: s\r\n"
#define LENGTH "Content-Length: 2\r\n"
/* A whole signed answer with a status line and further fields. */
#define ANSWER(status_line, fields) \
	status_line "\r\n" ID SIGNATURE fields "\r\nab"
#define OK "HTTP/1.1 200 OK"

static void
test_odd_field_names_are_no_answer(void **state)
{
	static const char *const answers[] = {
	    ANSWER(OK, "X B: c\r\n" LENGTH),
	    ANSWER(OK, "X-B : c\r\n" LENGTH),
	    ANSWER(OK, " X-B: c\r\n" LENGTH),
	    ANSWER(OK, "X\tB: c\r\n" LENGTH),
	    ANSWER(OK, "X-B\t: c\r\n" LENGTH),
	    ANSWER(OK, "X\001B: c\r\n" LENGTH),
	    ANSWER(OK, "X\177B: c\r\n" LENGTH),
	    ANSWER(OK, "X\200B: c\r\n" LENGTH),
	    ANSWER(OK, "X(B: c\r\n" LENGTH),
	    ANSWER(OK, ": c\r\n" LENGTH),
	    ANSWER(OK, "no colon\r\n" LENGTH),
	    /* The only length: the body would end with the connection. */
	    ANSWER(OK, "Content-Length : 2\r\nConnection: close\r\n") "cd",
	    ANSWER(OK, "Content Length: 2\r\nConnection: close\r\n") "cd",
	    ANSWER(OK, "Transfer-Encoding : chunked\r\n" LENGTH),
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(*answers); i++) {
		print_message("%zu: %s\n", i, answers[i]);
		expect_run_end(*state, answers[i], IR_RUN_BROKEN);
	}
}

static void
test_odd_lines_and_framing_are_no_answer(void **state)
{
	static const char *const answers[] = {
	    /* Folded lines. */
	    ANSWER(OK, "X-B: c\r\n d\r\n" LENGTH),
	    ANSWER(OK, LENGTH "\t\r\n"),
	    "HTTP/1.1 200 OK\r\n X: b\r\n" ID SIGNATURE LENGTH "\r\nab",
	    /* Control characters in values, a bare CR. */
	    ANSWER(OK, "X-B: c\001\r\n" LENGTH),
	    ANSWER(OK, "X-B: c\rX-C: d\r\n" LENGTH),
	    /* Codings other than chunked, and lengths that are none. */
	    ANSWER(OK, "Transfer-Encoding: gzip, chunked\r\n"),
	    ANSWER(OK, "Transfer-Encoding: gzip\r\n"),
	    ANSWER(OK, "Transfer-Encoding: chunked\r\n" LENGTH),
	    ANSWER("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"),
	    ANSWER(OK, "Content-Length: +2\r\n"),
	    ANSWER(OK, "Content-Length: 2, 2\r\n"),
	    ANSWER(OK, LENGTH "Content-Length: 3\r\n"),
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(*answers); i++) {
		print_message("%zu: %s\n", i, answers[i]);
		expect_run_end(*state, answers[i], IR_RUN_BROKEN);
	}
}

static void
test_odd_status_lines_are_no_answer(void **state)
{
	static const char *const lines[] = {"HTTP/1.1 000 OK",
	    "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 2 OK",
	    "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
	    "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -200 OK",
	    "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
	    "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\001K",
	    "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/9.9 200 OK",
	    "HTTP/1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK",
	    "ICY 200 OK", " HTTP/1.1 200 OK"};

	for (size_t i = 0; i < sizeof(lines) / sizeof(*lines); i++) {
		print_message("%s\n", lines[i]);
		expect_run_end(*state,
		    talloc_asprintf(*state,
			"%s\r\n" ID SIGNATURE LENGTH "\r\nab", lines[i]),
		    IR_RUN_BROKEN);
	}
}

/* It is no provisional answer: nothing follows on the open connection. */
static void
test_status_000_is_not_waited_behind(void **state)
{
	static const struct script s = {
	    .answers = {ANSWER("HTTP/1.1 000 OK", LENGTH), ""}};
	struct fixture *f = *state;
	struct ir_to_core *m;

	use_script(f, &s);
	m = run_request_with(f, "1", false, 0);
	assert_int_equal(m->u.result.end, IR_RUN_BROKEN);
	talloc_free(m);
}

/* Before a trailer of an empty body no byte of a body has come. */
static void
test_trailers_of_an_empty_body_are_no_headers(void **state)
{
	static const struct script s = {
	    .answers = {CHUNKED_HEAD "0\r\nX-A: b\r\nX-B: c\r\n\r\n"}};
	struct fixture *f = *state;
	struct ir_to_core *m;

	use_script(f, &s);
	m = run_request_with(f, "1", false, 0);
	assert_int_equal(m->u.result.end, IR_RUN_ANSWERED);
	for (size_t i = 0; i < m->u.result.header_count; i++)
		assert_string_not_equal(m->u.result.headers[i].name, "X-A");
	talloc_free(m);
	expect_run_end(f,
	    OK "\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
	       "0\r\n" SIGNATURE "X-B: c\r\n\r\n",
	    IR_RUN_BROKEN);
}

/* What RFC 9112 lets a recipient take, and upstreams send. */
static void
test_lenient_heads_are_answers(void **state)
{
	static const char *const answers[] = {
	    ANSWER(OK, LENGTH),
	    ANSWER("\r\nHTTP/1.1 200 OK", LENGTH),
	    ANSWER("HTTP/1.1 200 ", LENGTH),
	    ANSWER("HTTP/1.1 200", LENGTH),
	    ANSWER("HTTP/1.1 200 \xc3\xa9\tb", LENGTH),
	    ANSWER("HTTP/1.0 200 OK", LENGTH),
	    ANSWER(OK, "X-B:\r\nX-C:c\t d \xc3\xa9\r\n" LENGTH),
	    ANSWER(OK, "content-length:2 \r\n"),
	    ANSWER(OK, "Host: a\r\nHost: b\r\n" LENGTH),
	    "HTTP/1.1 200 OK\nX-Ibisrail-Attempt-Id: 1\n"
	    "X-Ibisrail-Response-Signature: s\nContent-Length: 2\n\nab",
	};
	struct fixture *f = *state;

	for (size_t i = 0; i < sizeof(answers) / sizeof(*answers); i++) {
		struct script *s = talloc_zero(f, struct script);

		print_message("%zu: %s\n", i, answers[i]);
		s->answers[0] = answers[i];
		use_script(f, s);
		expect_body(run_request_with(f, "1", false, 0), "ab");
	}
}

#define REFUSAL(field)                                              \
	"HTTP/1.1 503 Busy\r\nX-Ibisrail-Not-Executed: 1\r\n" field \
	"Content-Length: 0\r\n\r\n"
#define REFUSAL_OF(id) REFUSAL("X-Ibisrail-Attempt-Id: " id "\r\n")

static void
test_repeated_refusal_is_not_taken_for_the_next_request(void **state)
{
	static const struct script s = {
	    .answers = {REFUSAL_OF("1"),
		REFUSAL_OF("1") SIGNED_ANSWER("2", "bb"), REFUSAL("")}};
	struct fixture *f = *state;
	struct ir_to_core *m;

	use_script(f, &s);
	m = run_request(f, "1");
	assert_int_equal(m->u.result.end, IR_RUN_SHED);
	talloc_free(m);
	expect_body(run_request(f, "2"), "bb");
	m = run_request(f, "3");
	assert_int_equal(m->u.result.end, IR_RUN_BROKEN);
	talloc_free(m);
	assert_int_equal(f->connections, 1);
}

/* On a reused connection the upstream would read the rest of the body as the
 * next request. */
static void
test_answer_before_complete_request_closes_connection(void **state)
{
	static const struct script early = {
	    .answers = {SIGNED_ANSWER("1", "aa")}, .early = true};
	static const struct script next = {
	    .answers = {SIGNED_ANSWER("2", "bb")}};
	struct fixture *f = *state;

	use_script(f, &early);
	expect_body(run_request_with(f, "1", true, 8 * 1024 * 1024), "aa");
	use_script(f, &next);
	expect_body(run_request(f, "2"), "bb");
	assert_int_equal(f->connections, 2);
}

static void
test_answers_without_end_are_given_up(void **state)
{
	static const struct endless answers[] = {
	    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	    {"", EARLY_HINTS},
	    {"", SIGNED_ANSWER("2", "xx")},
	    {"", "\r\n"},
	    {"", SIXTEEN_BYTES},
	    {"HTTP/1.1 200 ", SIXTEEN_BYTES},
	    {"HTTP/1.1 200 OK\r\nX-A: ", SIXTEEN_BYTES},
	    {"HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaa\r\n"},
	    {SIGNED_HEAD "\r\n", SIXTEEN_BYTES},
	    {CHUNKED_HEAD, "0"},
	    {CHUNKED_HEAD "1;", "a=bbbb;"},
	    {CHUNKED_HEAD, "1;a=" SIXTEEN_BYTES SIXTEEN_BYTES "\r\nx\r\n"},
	    {CHUNKED_HEAD, "10\r\n" SIXTEEN_BYTES "\r\n"},
	    {CHUNKED_HEAD "0\r\n", "X-A: aaaaaaaa\r\n"},
	};
	struct fixture *f = *state;

	for (size_t i = 0; i < sizeof(answers) / sizeof(*answers); i++) {
		__atomic_store_n(&f->endless, &answers[i], __ATOMIC_SEQ_CST);
		expect_run_end(f, "", IR_RUN_BROKEN);
		if (__atomic_load_n(&f->endless_taken, __ATOMIC_SEQ_CST))
			fail_msg("answer %zu: all of it was read", i);
	}
}

/* What follows a whole answer is not read. */
static void
test_bytes_without_end_after_an_answer_close_the_connection(void **state)
{
	/* The head is sent at once, so that one read has more than an answer.
	 */
	static const struct endless e = {
	    SIGNED_ANSWER("1", "aa") SIXTEEN_BYTES, SIXTEEN_BYTES};
	struct fixture *f = *state;

	__atomic_store_n(&f->endless, &e, __ATOMIC_SEQ_CST);
	expect_body(run_request(f, "1"), "aa");
	expect_body(run_request(f, "1"), "aa");
	assert_int_equal(f->connections, 2);
	assert_false(__atomic_load_n(&f->endless_taken, __ATOMIC_SEQ_CST));
}

static void
test_provisional_answers_are_skipped(void **state)
{
	static const struct script s = {
	    .answers = {
		EARLY_HINTS EARLY_HINTS EARLY_HINTS EARLY_HINTS EARLY_HINTS
		    EARLY_HINTS EARLY_HINTS EARLY_HINTS SIGNED_ANSWER(
			"1", "aa")}};
	struct fixture *f = *state;

	use_script(f, &s);
	expect_body(run_request(f, "1"), "aa");
}

#define WITH_UPSTREAM(t) cmocka_unit_test_setup_teardown(t, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WITH_UPSTREAM(test_request_has_headers_of_dialect),
	    WITH_UPSTREAM(test_late_answer_to_earlier_request_is_skipped),
	    WITH_UPSTREAM(test_second_answer_closes_connection),
	    WITH_UPSTREAM(test_answer_to_another_request_is_broken),
	    WITH_UPSTREAM(test_incomplete_and_unsigned_answers_are_broken),
	    WITH_UPSTREAM(
		test_answers_and_refusals_carry_what_the_upstream_says_of_itself),
	    WITH_UPSTREAM(
		test_end_of_the_upstream_is_told_from_a_broken_connection),
	    WITH_UPSTREAM(test_answer_without_length_ends_with_connection),
	    WITH_UPSTREAM(test_only_not_run_answers_are_shed),
	    WITH_UPSTREAM(test_answer_cut_within_its_head_is_broken),
	    WITH_UPSTREAM(
		test_repeated_refusal_is_not_taken_for_the_next_request),
	    WITH_UPSTREAM(
		test_answer_before_complete_request_closes_connection),
	    WITH_UPSTREAM(test_answers_without_end_are_given_up),
	    WITH_UPSTREAM(
		test_bytes_without_end_after_an_answer_close_the_connection),
	    WITH_UPSTREAM(test_provisional_answers_are_skipped),
	    WITH_UPSTREAM(test_odd_field_names_are_no_answer),
	    WITH_UPSTREAM(test_odd_lines_and_framing_are_no_answer),
	    WITH_UPSTREAM(test_odd_status_lines_are_no_answer),
	    WITH_UPSTREAM(test_status_000_is_not_waited_behind),
	    WITH_UPSTREAM(test_trailers_of_an_empty_body_are_no_headers),
	    WITH_UPSTREAM(test_lenient_heads_are_answers),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
