/*
 * Real processes whose upstream sends heads that are no HTTP: callers get an
 * answer of the node, and nothing of the upstream's.
 */
#include <sys/socket.h>

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "fakes/lib/instance.h"
#include "platform/names.h"
#include "support/process_load.h"
#include "support/raw_http.h"
#include "support/raw_server.h"

#define HOSTS 2
#define ODD 1 /* the only host of t */
#define ANSWER_BYTES 4096

/* %s: the attempt id of the request. */
#define SIGNED                                                            \
	"\r\n" HEADER_RESPONSE_SIGNATURE ": x\r\n" HEADER_ATTEMPT_ID ": " \
	"%s\r\n"
#define ANSWER(line, fields) \
	line SIGNED fields "Content-Length: 8\r\n\r\nodd-body"

static int
set_up(void **state)
{
	return processes_set_up_platform(HOSTS);
}

/* ctx: the answer, atomic. */
static void
serve_answer(void *ctx, const struct raw_server *s, int fd)
{
	const char *const *answer = ctx;
	char id[RAW_ID_BYTES], text[ANSWER_BYTES];

	if (!raw_server_read_request(fd, id))
		return;
	snprintf(
	    text, sizeof(text), __atomic_load_n(answer, __ATOMIC_RELAXED), id);
	send(fd, text, strlen(text), MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	/* Bytes that wait unread would reset the connection. */
	while (recv(fd, text, sizeof(text), 0) > 0)
		continue;
}

/* Sends a request that may run once; answer has RAW_ANSWER_BYTES. */
static void
fetch_raw(const struct pr_host *h, char *answer)
{
	char request[ANSWER_BYTES];
	int fd;

	snprintf(request, sizeof(request),
	    "POST /charge/ HTTP/1.1\r\nHost: t%s\r\n" HEADER_ATTEMPT_ID
	    ": %s\r\n" HEADER_DEADLINE_REMAINING ": 5000\r\n" HEADER_API_KEY
	    ": %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	    FAKE_AUTHORITY_SUFFIX, pr_test_id(procs, ++procs->next_id),
	    procs->keys[KEY_MAIN]);
	fd = raw_send_request(h->callers_port, request);
	raw_read_all(fd, answer, RAW_ANSWER_BYTES);
	close(fd);
}

static bool
has_status(const char *answer, const char *status)
{
	return strncmp(answer, "HTTP/1.1 ", 9) == 0 &&
	       strncmp(answer + 9, status, strlen(status)) == 0;
}

static void
test_odd_heads_of_an_upstream_reach_no_caller(void **state)
{
	static const char *const answers[] = {
	    ANSWER("HTTP/1.1 000 OK", ""),
	    ANSWER("HTTP/1.1 099 OK", ""),
	    ANSWER("HTTP/1.1 600 OK", ""),
	    ANSWER("HTTP/1.1 999 OK", ""),
	    ANSWER("HTTP/1.1 0200 OK", ""),
	    ANSWER("HTTP/2.0 200 OK", ""),
	    ANSWER("HTTP/1.1 200 O\001K", ""),
	    ANSWER("HTTP/1.1 200 OK", "X Odd: a\r\n"),
	    ANSWER("HTTP/1.1 200 OK", "X-Odd : a\r\n"),
	    ANSWER("HTTP/1.1 200 OK", " X-Odd: a\r\n"),
	    ANSWER("HTTP/1.1 200 OK", "X\001Odd: a\r\n"),
	    ANSWER("HTTP/1.1 200 OK", "X\tOdd: a\r\n"),
	    "HTTP/1.1 200 OK" SIGNED "Content-Length : 3\r\n\r\nodd-body",
	    "HTTP/1.1 200 OK" SIGNED
	    "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
	};
	static const char *answer = ANSWER("HTTP/1.1 200 OK", "");
	struct pr_host *odd = &procs->hosts[ODD];
	struct raw_server *s = raw_server_replace(
	    procs, &odd->upstream, odd->upstream_port, serve_answer, &answer);
	char got[RAW_ANSWER_BYTES];

	for (size_t k = 0; k < HOSTS; k++) {
		fetch_raw(&procs->hosts[k], got);
		assert_true(has_status(got, "200 "));
		assert_non_null(strstr(got, "odd-body"));
	}
	for (size_t i = 0; i < sizeof(answers) / sizeof(*answers) * HOSTS;
	     i++) {
		const char *sent = answers[i / HOSTS];

		__atomic_store_n(&answer, sent, __ATOMIC_RELAXED);
		fetch_raw(&procs->hosts[i % HOSTS], got);
		if (!has_status(got, "502 ") || strcasestr(got, "odd") ||
		    strstr(got, HEADER_RESPONSE_SIGNATURE) != NULL)
			fail_msg("%s: %s", sent, got);
	}
	raw_server_stop(s);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_odd_heads_of_an_upstream_reach_no_caller),
	};

	program_path = argv[0];
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, set_up, processes_tear_down);
}
