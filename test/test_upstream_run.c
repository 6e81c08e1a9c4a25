/*
 * Runs at an upstream: each request is sent at most once, incomplete answers
 * are reported as broken, and memory stays within its bound. The upstream is a
 * small server that misbehaves according to the path.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <semaphore.h>
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
#include <curl/curl.h>

#include "io/listen.h"
#include "io/upstream/upstream_conn.h"
#include "support/core_side.h"

#define RING_SLOTS 64
#define CONNECTIONS 8
#define REQUEST_BYTES 8192
#define MEGABYTE (1024 * 1024)
#define BOUND_BYTES (128 * 1024)
#define LARGE_BYTES (1024 * 1024)
/* Together more than a quarter of the bound, but less than the parser's limit
 * for headers. */
#define HEADER_BYTES 7000
#define HEADER_COUNT 10

struct fixture {
	struct ir_wakeup *core;
	struct ir_channel *channel;
	struct ir_memory memory;
	struct ir_log *log;
	FILE *log_file;
	struct ir_upstream *upstream;
	pthread_t server;
	pthread_t thread;
	int listen_fd;
	uint64_t last_id;
	bool stopped; /* the upstream thread has ended */
};

static int requests;
static char last_request[REQUEST_BYTES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static sem_t hang_closed;

static void
send_text(int fd, const char *text)
{
	ssize_t n = send(fd, text, strlen(text), MSG_NOSIGNAL);

	(void)n;
}

static void
send_oversized_answer(int fd)
{
	char zeros[65536] = "";

	send_text(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (size_t sent = 0; sent <= IR_MAX_BODY; sent += sizeof(zeros)) {
		send_text(fd, "10000\r\n");
		if (send(fd, zeros, sizeof(zeros), MSG_NOSIGNAL) < 0)
			return;
		send_text(fd, "\r\n");
	}
	send_text(fd, "0\r\n\r\n");
}

/* A complete answer, smaller than IR_MAX_BODY. */
static void
send_megabyte_answer(int fd)
{
	static const char zeros[LARGE_BYTES];
	ssize_t n;

	send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n");
	n = send(fd, zeros, sizeof(zeros), MSG_NOSIGNAL);
	(void)n;
}

static void
send_large_headers(int fd)
{
	char text[HEADER_BYTES + 1] = "";

	memset(text, 'v', HEADER_BYTES);
	send_text(fd, "HTTP/1.1 200 OK\r\n");
	for (int i = 0; i < HEADER_COUNT; i++) {
		send_text(fd, "X-A: ");
		send_text(fd, text);
		send_text(fd, "\r\n");
	}
	send_text(fd, "Content-Length: 0\r\n\r\n");
}

/* What the server sends, by the path of the request. */
static const char *const answers[][2] = {
    {"/ok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: 1\r\n"
	    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
	    "Ibisrail-Outcome: not-run\r\n\r\nok"},
    {"/early", "HTTP/1.1 103 Early\r\nX-No: 1\r\n\r\n"
	       "HTTP/1.1 201 OK\r\nContent-Length: 0\r\n\r\n"},
    {"/shed", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n"
	      "Ibisrail-Outcome: not-run\r\n\r\n"},
    {"/busy", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"},
    {"/chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n"},
    {"/short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"},
    {"/cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "3\r\nabc\r\n"},
    {"/endless", "HTTP/1.1 200 OK\r\n\r\nabc"},
    {"/none", "HTTP/1.1 204 OK\r\n\r\n"},
    {"/check-warm", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
    {"/check-cold", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n"
		    "Upstream-Cold-Remaining-Ms: 2400\r\n"
		    "Upstream-Id: u7\r\nContent-Length: 0\r\n\r\n"},
    {"/check-bad", "HTTP/1.1 200 OK\r\nUpstream-Cold-Remaining-Ms: 2s\r\n"
		   "Content-Length: 0\r\n\r\n"},
    {"/check-cut", "HTTP/1.1 200 OK\r\nUpstream-Cold-"},
    {"/check-name", "HTTP/1.1 200 OK\r\nUpstream-Id : u7\r\n"
		    "Content-Length: 0\r\n\r\n"},
    {"/check-status", "HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n"},
};

/* One byte per segment, so that the parser gets each token in pieces. */
static void
send_byte_by_byte(int fd, const char *text)
{
	int on = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	for (; *text != '\0'; text++) {
		if (send(fd, text, 1, MSG_NOSIGNAL) != 1)
			return;
		sched_yield();
	}
}

/*
 * Answers according to the request's path; used: not the first request of the
 * connection. Returns false if the connection is to be closed.
 */
static bool
send_answer(int fd, const char *request, bool used)
{
	char path[64] = "";
	char byte;

	sscanf(request, "%*s %63s", path);
	if (used && strcmp(path, "/none") != 0)
		return false;
	if (strcmp(path, "/large") == 0)
		send_oversized_answer(fd);
	if (strcmp(path, "/megabyte") == 0)
		send_megabyte_answer(fd);
	if (strcmp(path, "/headers") == 0)
		send_large_headers(fd);
	if (strcmp(path, "/bytes") == 0)
		send_byte_by_byte(fd, answers[0][1]);
	if (strcmp(path, "/hang") == 0 && read(fd, &byte, 1) <= 0)
		sem_post(&hang_closed);
	for (size_t i = 0; i < sizeof(answers) / sizeof(*answers); i++) {
		if (strcmp(path, answers[i][0]) == 0)
			send_text(fd, answers[i][1]);
	}
	return strcmp(path, "/ok") == 0;
}

static void
record_request(const char *request)
{
	pthread_mutex_lock(&lock);
	requests++;
	snprintf(last_request, sizeof(last_request), "%s", request);
	pthread_mutex_unlock(&lock);
}

static int
request_count(void)
{
	int n;

	pthread_mutex_lock(&lock);
	n = requests;
	pthread_mutex_unlock(&lock);
	return n;
}

static bool
last_request_has(const char *text)
{
	bool has;

	pthread_mutex_lock(&lock);
	has = strstr(last_request, text) != NULL;
	pthread_mutex_unlock(&lock);
	return has;
}

/* Answers the first request of a connection; reads a later one and closes. */
static void *
serve_conn(void *ctx)
{
	int fd = *(int *)ctx;
	bool used = false, open = true;

	while (open) {
		char request[REQUEST_BYTES] = "";
		size_t size = 0;

		while (strstr(request, "\r\n\r\n") == NULL) {
			ssize_t n = read(
			    fd, request + size, sizeof(request) - size - 1);

			if (n <= 0)
				goto end;
			size += (size_t)n;
		}
		record_request(request);
		open = send_answer(fd, request, used);
		used = true;
	}
end:
	close(fd);
	free(ctx);
	return NULL;
}

static void *
serve(void *ctx)
{
	struct fixture *f = ctx;

	for (;;) {
		int *fd = malloc(sizeof(*fd));
		pthread_t t;

		*fd = accept(f->listen_fd, NULL, NULL);
		if (*fd < 0) {
			free(fd);
			return NULL;
		}
		if (pthread_create(&t, NULL, serve_conn, fd) == 0)
			pthread_detach(t);
	}
}

static int
start_client(struct fixture *f, uint16_t port, uint64_t bound_bytes)
{
	const struct ir_endpoint e = {"127.0.0.1", port};

	ir_memory_init(&f->memory, 0);
	if (bound_bytes != 0)
		f->memory.bound_bytes[IR_MEMORY_UPSTREAM] = bound_bytes;
	f->log_file = tmpfile();
	f->log = ir_log_new(f, fileno(f->log_file), "h1", IR_LEVEL_WARNING);
	f->core = ir_wakeup_new(NULL);
	f->channel = ir_channel_new(f->core, f->core, f->log, RING_SLOTS);
	f->upstream = ir_upstream_new(f->core, f->channel, &f->memory,
	    &ir_native_dialect, &e, CONNECTIONS);
	return pthread_create(&f->thread, NULL, ir_upstream_run, f->upstream);
}

static int
start(void **state, uint64_t bound_bytes)
{
	const struct ir_endpoint any = {"127.0.0.1", 0};
	struct fixture *f = talloc_zero(NULL, struct fixture);
	uint16_t port;

	requests = 0;
	f->listen_fd = ir_listen(&any, true, &port);
	fcntl(f->listen_fd, F_SETFL, 0);
	*state = f;
	if (pthread_create(&f->server, NULL, serve, f) != 0)
		return -1;
	return start_client(f, port, bound_bytes);
}

static int
set_up(void **state)
{
	return start(state, 0);
}

static int
set_up_bounded(void **state)
{
	return start(state, BOUND_BYTES);
}

static int
set_up_quarter_bound(void **state)
{
	return start(state, BOUND_BYTES / 4);
}

static void
stop_thread(struct fixture *f)
{
	if (f->stopped)
		return;
	ir_ring_push(
	    f->channel->from_core, ir_from_core_new(IR_FROM_CORE_STOP));
	pthread_join(f->thread, NULL);
	f->stopped = true;
}

/* Stops the thread. Returns the bytes that are still counted as allocated. */
static uint64_t
stop_client(struct fixture *f)
{
	stop_thread(f);
	talloc_free(f->upstream);
	talloc_free(f->core);
	fclose(f->log_file);
	return ir_memory_held(&f->memory, IR_MEMORY_UPSTREAM) +
	       ir_memory_sockets_held(&f->memory);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	uint64_t left_bytes = stop_client(f);

	shutdown(f->listen_fd, SHUT_RDWR);
	pthread_join(f->server, NULL);
	close(f->listen_fd);
	talloc_free(f);
	return left_bytes == 0 ? 0 : -1;
}

static uint64_t
start_run_with_body(struct fixture *f, const char *method, const char *path,
    bool idempotent, size_t body_bytes)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_RUN);
	struct ir_run *r = &m->u.run;

	m->id = ++f->last_id;
	ir_message_charge_hold(&m->charge, &f->memory, body_bytes);
	r->id = m->id;
	r->attempt = "a1";
	r->request = "r1";
	r->account = "";
	r->method = method;
	r->path = path;
	r->remaining_ms = 20000;
	r->idempotent = idempotent;
	if (body_bytes > 0)
		r->body = talloc_zero_size(m, body_bytes);
	r->body_bytes = body_bytes;
	ir_ring_push(f->channel->from_core, m);
	return f->last_id;
}

static uint64_t
start_run(
    struct fixture *f, const char *method, const char *path, bool idempotent)
{
	return start_run_with_body(f, method, path, idempotent, 0);
}

static void
cancel_run(struct fixture *f, uint64_t id)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_CANCEL_RUN);

	m->id = id;
	ir_ring_push(f->channel->from_core, m);
}

/* The next message to the core; waits without a limit. */
static struct ir_to_core *
next_message(struct fixture *f)
{
	return core_side_receive(f->core, f->channel);
}

static struct ir_to_core *
run_request(
    struct fixture *f, const char *method, const char *path, bool idempotent)
{
	uint64_t id = start_run(f, method, path, idempotent);
	struct ir_to_core *m = next_message(f);

	assert_int_equal(m->kind, IR_TO_CORE_RUN_ENDED);
	assert_int_equal(m->id, id);
	return m;
}

static void
expect_run_end(struct fixture *f, const char *path, enum ir_run_end end)
{
	int before = request_count();
	struct ir_to_core *m = run_request(f, "POST", path, false);

	assert_int_equal(m->u.result.end, end);
	assert_int_equal(request_count(), before + 1);
	talloc_free(m);
}

static void
test_complete_answer(void **state)
{
	struct ir_to_core *m = run_request(*state, "GET", "/ok", true);
	const struct ir_run_result *r = &m->u.result;

	assert_int_equal(r->end, IR_RUN_ANSWERED);
	assert_int_equal(r->status, 200);
	assert_int_equal(r->body_bytes, 2);
	assert_memory_equal(r->body, "ok", 2);
	assert_int_equal(r->header_count, 1);
	assert_string_equal(r->headers[0].name, "X-A");
	assert_true(last_request_has("Ibisrail-Attempt: a1\r\n"));
	assert_true(last_request_has("Ibisrail-Request: r1\r\n"));
	assert_false(last_request_has("Accept:"));
	talloc_free(m);
}

static struct ir_to_core *
check_status(struct fixture *f, const char *path)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_CHECK_UPSTREAM);
	struct ir_to_core *result;

	m->u.check_path = path;
	ir_ring_push(f->channel->from_core, m);
	result = next_message(f);
	assert_int_equal(result->kind, IR_TO_CORE_UPSTREAM_CHECKED);
	return result;
}

static void
expect_check_result(struct fixture *f, const char *path, bool answered,
    uint32_t remaining_ms, const char *id)
{
	struct ir_to_core *m = check_status(f, path);

	assert_int_equal(m->u.check.answered, answered);
	assert_int_equal(m->u.check.cold_remaining_ms, remaining_ms);
	assert_string_equal(m->u.check.upstream_id, id);
	talloc_free(m);
}

static void
test_status_checks_are_read(void **state)
{
	expect_check_result(*state, "/check-warm", true, 0, "");
	assert_true(last_request_has("GET /check-warm HTTP/1.1\r\n"));
	expect_check_result(*state, "/check-cold", true, 2400, "u7");
	/* A malformed value must not end the cold state. */
	expect_check_result(*state, "/check-bad", false, 0, "");
	expect_check_result(*state, "/check-cut", false, 0, "");
	/* Heads that are no HTTP. */
	expect_check_result(*state, "/check-name", false, 0, "");
	expect_check_result(*state, "/check-status", false, 0, "");
	expect_check_result(*state, "/hang", false, 0, "");
	assert_int_equal(sem_wait(&hang_closed), 0);
}

static void
test_answers_are_classified(void **state)
{
	expect_run_end(*state, "/chunks", IR_RUN_ANSWERED);
	expect_run_end(*state, "/early", IR_RUN_ANSWERED);
	expect_run_end(*state, "/none", IR_RUN_ANSWERED);
	expect_run_end(*state, "/busy", IR_RUN_ANSWERED);
	expect_run_end(*state, "/shed", IR_RUN_SHED);
	expect_run_end(*state, "/short", IR_RUN_BROKEN);
	expect_run_end(*state, "/cut", IR_RUN_BROKEN);
	expect_run_end(*state, "/endless", IR_RUN_BROKEN);
	expect_run_end(*state, "/large", IR_RUN_BROKEN);
	expect_run_end(*state, "/close", IR_RUN_BROKEN);
}

static void
test_answer_received_byte_by_byte(void **state)
{
	struct ir_to_core *m = run_request(*state, "GET", "/bytes", true);
	const struct ir_run_result *r = &m->u.result;

	assert_int_equal(r->end, IR_RUN_ANSWERED);
	assert_int_equal(r->header_count, 1);
	assert_string_equal(r->headers[0].name, "X-A");
	assert_string_equal(r->headers[0].value, "1");
	assert_int_equal(r->body_bytes, 2);
	talloc_free(m);
}

/* The server closes the reused connection after it read the second request. */
static void
test_request_is_not_sent_again_after_reuse_fails(void **state)
{
	struct ir_to_core *m = run_request(*state, "GET", "/ok", true);

	talloc_free(m);
	m = run_request(*state, "GET", "/ok", true);
	assert_int_equal(m->u.result.end, IR_RUN_BROKEN);
	assert_int_equal(request_count(), 2);
	talloc_free(m);
}

static void
test_non_idempotent_request_gets_new_connection(void **state)
{
	for (int i = 1; i <= 3; i++) {
		struct ir_to_core *m =
		    run_request(*state, "POST", "/ok", false);

		assert_int_equal(m->u.result.end, IR_RUN_ANSWERED);
		assert_int_equal(request_count(), i);
		talloc_free(m);
	}
}

/* Idle connections filled the number that the upstream accepts. */
static void
test_connections_of_non_idempotent_requests_do_not_pile_up(void **state)
{
	struct fixture *f = *state;

	for (int i = 0; i < 3; i++)
		talloc_free(run_request(f, "POST", "/ok", false));
	stop_thread(f);
	assert_int_equal(f->upstream->conn_count, 1);
}

static void
test_cancel_closes_connection(void **state)
{
	struct fixture *f = *state;
	uint64_t id = start_run(f, "GET", "/hang", true);

	while (request_count() == 0)
		sched_yield();
	cancel_run(f, id);
	assert_int_equal(sem_wait(&hang_closed), 0);
	assert_true(ir_ring_empty(f->channel->to_core));
}

/* A socket that is bound but does not listen refuses connections. */
static void
test_refused_connection_is_not_connected(void **state)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t size = sizeof(a);
	struct fixture *f = talloc_zero(NULL, struct fixture);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct ir_to_core *m;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&a, size), 0);
	getsockname(fd, (struct sockaddr *)&a, &size);
	assert_int_equal(start_client(f, ntohs(a.sin_port), 0), 0);
	m = run_request(f, "POST", "/ok", false);
	assert_int_equal(m->u.result.end, IR_RUN_NOT_CONNECTED);
	talloc_free(m);
	assert_int_equal(stop_client(f), 0);
	close(fd);
	talloc_free(f);
}

/* All connections are busy: another cause than an upstream that has ended. */
static void
test_run_without_connection_is_told_from_a_refused_one(void **state)
{
	struct fixture *f = *state;
	uint64_t ids[CONNECTIONS];
	struct ir_to_core *m;

	for (int i = 0; i < CONNECTIONS; i++)
		ids[i] = start_run(f, "GET", "/hang", true);
	m = run_request(f, "GET", "/ok", true);
	assert_int_equal(m->u.result.end, IR_RUN_CONNECTION_LIMIT);
	talloc_free(m);
	/* The server's threads must have ended before the next test. */
	while (request_count() < CONNECTIONS)
		sched_yield();
	for (int i = 0; i < CONNECTIONS; i++)
		cancel_run(f, ids[i]);
	for (int i = 0; i < CONNECTIONS; i++)
		assert_int_equal(sem_wait(&hang_closed), 0);
}

static bool
is_logged(const struct fixture *f, const char *text)
{
	char line[1024];

	rewind(f->log_file);
	while (fgets(line, sizeof(line), f->log_file) != NULL) {
		if (strstr(line, text) != NULL)
			return true;
	}
	return false;
}

/* One answer at a time may exceed the bound, so most is above it. */
static void
expect_answers(struct fixture *f, const char *path, int count, size_t most)
{
	for (int i = 0; i < count; i++)
		(void)start_run(f, "GET", path, true);
	for (int i = 0; i < count; i++) {
		struct ir_to_core *m = next_message(f);

		assert_int_equal(m->u.result.end, IR_RUN_ANSWERED);
		assert_in_range(
		    ir_memory_held(&f->memory, IR_MEMORY_UPSTREAM), 0, most);
		talloc_free(m);
	}
}

static void
test_answers_over_memory_bound_wait(void **state)
{
	struct fixture *f = *state;

	expect_answers(f, "/megabyte", 8, BOUND_BYTES + 2 * MEGABYTE);
	expect_run_end(f, "/chunks", IR_RUN_ANSWERED);
}

static void
test_headers_over_memory_bound_wait(void **state)
{
	struct fixture *f = *state;

	expect_answers(f, "/headers", 8, BOUND_BYTES + MEGABYTE);
	expect_run_end(f, "/chunks", IR_RUN_ANSWERED);
}

static void
test_request_over_memory_bound_is_not_run(void **state)
{
	struct fixture *f = *state;
	struct ir_to_core *m;

	start_run_with_body(f, "POST", "/chunks", false, LARGE_BYTES);
	m = next_message(f);
	assert_int_equal(m->u.result.end, IR_RUN_NO_ROOM);
	assert_int_equal(request_count(), 0);
	assert_true(is_logged(f, "\"reason\":\"memory\""));
	talloc_free(m);
	expect_run_end(f, "/chunks", IR_RUN_ANSWERED);
}

/* Bodies of three quarters of the bound: a second copy would exceed it, as
 * would one that is still counted after it was sent. */
static void
test_request_body_is_counted_once(void **state)
{
	struct fixture *f = *state;
	struct ir_to_core *m;

	for (int i = 0; i < 3; i++) {
		start_run_with_body(
		    f, "POST", "/ok", false, BOUND_BYTES * 3 / 4);
		m = next_message(f);
		assert_int_equal(m->u.result.end, IR_RUN_ANSWERED);
		talloc_free(m);
	}
}

static void
test_run_memory_is_counted_until_cancel(void **state)
{
	struct fixture *f = *state;
	uint64_t id = start_run(f, "GET", "/hang", true);

	while (request_count() == 0)
		sched_yield();
	assert_in_range(
	    ir_memory_held(&f->memory, IR_MEMORY_UPSTREAM), 1, BOUND_BYTES);
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_RINGS), 0);
	cancel_run(f, id);
	assert_int_equal(sem_wait(&hang_closed), 0);
	expect_run_end(f, "/none", IR_RUN_ANSWERED);
	assert_int_equal(ir_memory_held(&f->memory, IR_MEMORY_UPSTREAM), 0);
}

#define WITH_BOUND(t) \
	cmocka_unit_test_setup_teardown(t, set_up_bounded, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_complete_answer, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_status_checks_are_read, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_answers_are_classified, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_answer_received_byte_by_byte, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_request_is_not_sent_again_after_reuse_fails, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_non_idempotent_request_gets_new_connection, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_connections_of_non_idempotent_requests_do_not_pile_up,
		set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_cancel_closes_connection, set_up, tear_down),
	    cmocka_unit_test(test_refused_connection_is_not_connected),
	    cmocka_unit_test_setup_teardown(
		test_run_without_connection_is_told_from_a_refused_one, set_up,
		tear_down),
	    WITH_BOUND(test_answers_over_memory_bound_wait),
	    cmocka_unit_test_setup_teardown(test_headers_over_memory_bound_wait,
		set_up_quarter_bound, tear_down),
	    WITH_BOUND(test_request_over_memory_bound_is_not_run),
	    WITH_BOUND(test_request_body_is_counted_once),
	    WITH_BOUND(test_run_memory_is_counted_until_cancel),
	};

	signal(SIGPIPE, SIG_IGN);
	sem_init(&hang_closed, 0, 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
