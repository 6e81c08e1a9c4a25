/*
 * Real processes whose upstream, or whose store, sends bytes without end in
 * place of an answer, until the node closes the connection.
 */
#include <sys/socket.h>

#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "platform/names.h"
#include "support/process_load.h"
#include "support/raw_server.h"

/* Sanitizers hold memory of their own. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define SANITIZED 1
#else
#define SANITIZED 0
#endif
#define HOSTS 4
#define FAULTY 1   /* the host of t whose upstream is replaced */
#define AT_ONCE 32 /* requests of each round */
#define STORE_US (1500 * IR_US_PER_MS) /* several reads of the store */
#define STEP_MS 5
#define BYTES_PER_MB (UINT64_C(1024) * 1024)
#define CHUNK 16384
/* Unlike all that is sent in one piece by a sound upstream or store. */
#define MAX_SENT_BYTES (UINT64_C(256) * BYTES_PER_MB)

#define OK_HEAD                                         \
	"HTTP/1.1 200 OK\r\n" HEADER_RESPONSE_SIGNATURE \
	": x\r\n" HEADER_ATTEMPT_ID ": %s\r\n"

/* How an answer begins, and what follows without end. */
static const struct form {
	const char *name;
	const char *head; /* %s: the attempt id of the request */
	const char *more;
} forms[] = {
    {"status line", "HTTP/1.1 200 ", "x"},
    {"no answer", "", "\x01\x02garbage"},
    {"line ends", "", "\r\n"},
    {"name of a header", OK_HEAD "X-", "n"},
    {"value of a header", OK_HEAD "X-A: ", "v"},
    {"headers", OK_HEAD, "X-A: v\r\n"},
    {"answers 100", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers 103", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
    {"chunks", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
    {"chunk extension", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n4;", "e"},
    {"size of a chunk", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "0"},
    {"trailers", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n",
	"X-A: v\r\n"},
    {"value of a trailer",
	OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "v"},
    {"body without length", OK_HEAD "Connection: close\r\n\r\n", "b"},
    {"body of a length", OK_HEAD "Content-Length: 9000000000000\r\n\r\n", "b"},
    {"bytes after an answer", OK_HEAD "Content-Length: 2\r\n\r\nok", "b"},
};
#define FORMS (sizeof(forms) / sizeof(*forms))

/* What the server sends on each connection, and what it has sent. */
struct endless {
	struct raw_server *server;
	int form;	      /* atomic: index of the form */
	int connections;      /* atomic: that got bytes */
	uint64_t worst_bytes; /* atomic: sent on one connection */
};

static bool
send_all(int fd, const char *data, size_t size, uint64_t *sent)
{
	while (size > 0) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
		*sent += (uint64_t)n;
	}
	return true;
}

static void
note_sent(struct endless *s, uint64_t bytes)
{
	uint64_t worst = __atomic_load_n(&s->worst_bytes, __ATOMIC_RELAXED);

	while (bytes > worst &&
	       !__atomic_compare_exchange_n(&s->worst_bytes, &worst, bytes,
		   true, __ATOMIC_RELAXED, __ATOMIC_RELAXED))
		continue;
}

static void
serve_endless(void *ctx, const struct raw_server *server, int fd)
{
	struct endless *s = ctx;
	const struct form *f;
	char id[RAW_ID_BYTES], head[1024], more[CHUNK];
	size_t unit, size = 0;
	uint64_t sent = 0;

	if (!raw_server_read_request(fd, id))
		return;
	f = &forms[__atomic_load_n(&s->form, __ATOMIC_RELAXED)];
	__atomic_fetch_add(&s->connections, 1, __ATOMIC_RELAXED);
	snprintf(head, sizeof(head), f->head, id);
	unit = strlen(f->more);
	for (; size + unit <= sizeof(more); size += unit)
		memcpy(more + size, f->more, unit);
	if (send_all(fd, head, strlen(head), &sent))
		while (!raw_server_is_stopping(server) &&
		       sent < MAX_SENT_BYTES && send_all(fd, more, size, &sent))
			continue;
	note_sent(s, sent);
}

/* Takes the place of a child that listens on the port. */
static struct endless *
replace_child(struct pr_child *child, uint16_t port)
{
	struct endless *s = talloc_zero(procs, struct endless);

	s->server = raw_server_replace(procs, child, port, serve_endless, s);
	return s;
}

static uint64_t peak_bytes;

static void
check_nodes(const char *what)
{
	for (int i = 0; i < HOSTS; i++) {
		uint64_t bytes = pr_private_bytes(procs->hosts[i].node.pid);
		int status;

		if (pr_reap(&procs->hosts[i].node, &status))
			fail_msg("%s: a node ended: %x", what, status);
		if (bytes > peak_bytes)
			peak_bytes = bytes;
		if (!SANITIZED && bytes > PR_MEMORY_MB * BYTES_PER_MB)
			fail_msg("%s: %" PRIu64 " bytes", what, bytes);
	}
}

struct round {
	const char *name;
	uint64_t first;
	int ended;
	int served;
	int answered;
};

static void
on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct round *round = ctx;

	round->ended++;
	round->answered += r->complete;
	round->served += r->complete && r->status == 200;
}

/* Sends requests at once, to the faulty host, to others, and as calls of runs.
 */
static void
play_round(struct round *round)
{
	struct pr_request r = {.key = procs->keys[KEY_MAIN]};

	for (int i = 0; i < AT_ONCE; i++) {
		r.port = procs->hosts[i % HOSTS].callers_port;
		r.path = i % 3 == 0 ? "/s/run" : "/t/run";
		pr_send(procs, &r, ++procs->next_id, on_done, round);
	}
	while (round->ended < AT_ONCE) {
		fake_fetcher_step(procs->fetcher, STEP_MS);
		check_nodes(round->name);
	}
}

static bool
every_host_serves(void *ctx)
{
	for (int i = 0; i < HOSTS; i++) {
		struct pr_answer a =
		    fetch_from_host(&procs->hosts[i], "/t/run", KEY_MAIN);

		if (!pr_is_served(&a))
			return false;
	}
	return true;
}

struct sent_form {
	struct endless *endless;
	const char *name;
};

/*
 * Plays a round. After bad runs the gate sends the upstream nothing for a time:
 * more rounds are needed then.
 */
static bool
form_was_sent(void *ctx)
{
	const struct sent_form *sent = ctx;
	struct round round = {.name = sent->name};

	play_round(&round);
	assert_int_equal(round.answered, AT_ONCE);
	return __atomic_load_n(&sent->endless->connections, __ATOMIC_RELAXED) >
	       0;
}

/* Guards against an upstream that fills the memory of the node beside it. */
static void
test_endless_answers_of_an_upstream_end_no_node(void **state)
{
	struct pr_host *h = &procs->hosts[FAULTY];
	struct endless *s = replace_child(&h->upstream, h->upstream_port);

	for (size_t i = 0; i < FORMS; i++) {
		struct sent_form sent = {s, forms[i].name};

		__atomic_store_n(&s->form, (int)i, __ATOMIC_RELAXED);
		__atomic_store_n(&s->connections, 0, __ATOMIC_RELAXED);
		pr_wait_until(forms[i].name, form_was_sent, &sent);
		pr_wait_until("all hosts serve", every_host_serves, NULL);
	}
	assert_true(__atomic_load_n(&s->worst_bytes, __ATOMIC_RELAXED) <
		    MAX_SENT_BYTES);
	raw_server_stop(s->server);
	print_message("peak %.1f MB of %d MB\n",
	    (double)peak_bytes / BYTES_PER_MB, PR_MEMORY_MB);
}

/* Guards against a store that fills the memory of all nodes. */
static void
test_endless_answers_of_the_store_end_no_node(void **state)
{
	struct endless *s =
	    replace_child(&procs->platform, procs->platform_port);

	for (size_t i = 0; i < FORMS; i++) {
		int64_t uptime = pr_fetch_number(
		    procs, procs->hosts[0].admin_port, "/state", "uptime_ms");
		struct uptime_mark until = {
		    &procs->hosts[0], uptime + STORE_US / IR_US_PER_MS};
		struct round round = {.name = forms[i].name};

		__atomic_store_n(&s->form, (int)i, __ATOMIC_RELAXED);
		__atomic_store_n(&s->connections, 0, __ATOMIC_RELAXED);
		while (!uptime_reached(&until))
			check_nodes(forms[i].name);
		play_round(&round);
		assert_int_equal(round.answered, AT_ONCE);
		assert_true(round.served > 0);
		assert_true(
		    __atomic_load_n(&s->connections, __ATOMIC_RELAXED) > 0);
	}
	raw_server_stop(s->server);
	print_message("peak %.1f MB of %d MB\n",
	    (double)peak_bytes / BYTES_PER_MB, PR_MEMORY_MB);
}

static int
set_up(void **state)
{
	return processes_set_up_platform(HOSTS);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_endless_answers_of_an_upstream_end_no_node),
	    cmocka_unit_test(test_endless_answers_of_the_store_end_no_node),
	};

	/* Memory that a node has freed would count as its own. */
	setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 0);
	program_path = argv[0];
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, set_up, processes_tear_down);
}
