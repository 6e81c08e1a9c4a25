/*
 * A real process is stopped while a caller with several requests on one
 * connection does not read their answers for a time.
 */
#include <sys/socket.h>

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "fakes/lib/lifetime.h"
#include "ibisrail/limits.h"
#include "platform/names.h"
#include "support/process_load.h"
#include "support/raw_http.h"

#define HOSTS 2
#define REQUESTS 12
#define ANSWER_BYTES 1000000
#define RECEIVE_BUFFER_BYTES 65536
/* Longer than a stop takes without work, shorter than the drain. */
#define UNREAD_US (2 * IR_US_PER_S)

static int
set_up(void **state)
{
	return processes_set_up_platform(HOSTS);
}

/* Returns the connection. */
static int
send_requests(const struct pr_host *h)
{
	struct pr_request r = {.path = "/t/run", .key = procs->keys[KEY_MAIN]};
	int bytes = RECEIVE_BUFFER_BYTES;
	int fd = raw_connect(h->callers_port);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	for (int i = 0; i < REQUESTS; i++) {
		const char *headers[PR_HEADERS], *target;
		char *text;

		target = pr_build_headers(
		    procs, procs, &r, ++procs->next_id, headers);
		text = talloc_asprintf(procs, "GET %s HTTP/1.1\r\n", target);
		for (size_t k = 0; headers[k] != NULL; k++)
			text =
			    talloc_asprintf_append(text, "%s\r\n", headers[k]);
		text = talloc_strdup_append(text, "\r\n");
		raw_send(fd, text, strlen(text));
	}
	return fd;
}

struct unread {
	struct pr_host *host;
	int64_t until_us;
};

/* Callers that ask for its readiness learn that the process stops. */
static bool
is_over(void *ctx)
{
	const struct unread *u = ctx;
	struct pr_request ready = {
	    .port = u->host->admin_port, .path = READY_PATH};
	int status;

	pr_fetch(procs, &ready);
	return pr_reap(&u->host->node, &status) || fake_now_us() > u->until_us;
}

static size_t
receive_all(int fd, char *text, size_t size)
{
	size_t n = raw_read_all(fd, text, size);

	close(fd);
	return n;
}

static void
test_planned_stop_waits_for_a_caller_that_reads_late(void **state)
{
	struct pr_host *h = &procs->hosts[1];
	size_t size = REQUESTS * (ANSWER_BYTES + RAW_ANSWER_BYTES), n;
	char *text = talloc_zero_size(procs, size);
	struct unread u = {h, 0};
	uint32_t count = 0;
	int fd;

	pr_set_upstream(procs, h,
	    talloc_asprintf(procs, "{\"answer_bytes\":%d}", ANSWER_BYTES));
	fd = send_requests(h);
	/* The first answer is there; the others are behind it. */
	assert_int_equal(recv(fd, text, 1, MSG_PEEK), 1);
	pr_signal(&h->node, SIGTERM);
	u.until_us = fake_now_us() + UNREAD_US;
	pr_wait_until("the pause of the caller", is_over, &u);
	n = receive_all(fd, text, size);
	for (const char *at = text; (at = memmem(at, n - (size_t)(at - text),
					 "HTTP/1.1 200", 12)) != NULL;
	     at++)
		count++;
	assert_int_equal(count, REQUESTS);
	assert_true(n > (size_t)REQUESTS * ANSWER_BYTES);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_planned_stop_waits_for_a_caller_that_reads_late),
	};

	program_path = argv[0];
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, set_up, processes_tear_down);
}
