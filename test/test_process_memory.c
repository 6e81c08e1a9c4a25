/*
 * Real processes with a small memory limit, under loads that fill memory. The
 * private memory of each node, read from /proc, must stay within its limit; no
 * node may end; each request that was received completely must be answered.
 */
#include <sys/socket.h>

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "support/process_load.h"
#include "support/raw_http.h"

#define MEMORY_MB 48
#define BYTES_PER_MB (INT64_C(1024) * 1024)
#define BYTES_PER_KB 1024
#define STEP_MS 5
#define MAX_REFUSALS_CHECKED 100

/* Answers of 1.5 KB, so many that they would exceed the limit. */
#define SHORT_COUNT 24000
#define SHORT_AT_ONCE 32
#define SHORT_ANSWER_BYTES 1500

#define UNREAD_CONNECTIONS 16
#define UNREAD_REQUESTS 32
#define UNREAD_ANSWER_BYTES (256 * BYTES_PER_KB)
#define READ_COUNT 400
#define READ_AT_ONCE 8

#define SENDERS 128
#define SENDER_BODY_BYTES (1024 * BYTES_PER_KB)

#define FLOOD_SENDERS 1000
#define QUIET_STEPS 50

#define LARGE_SECTIONS 40
#define LARGE_SECTION_BYTES 1000000
#define LARGE_STEPS 600

#define LARGE_COUNT 400
#define LARGE_AT_ONCE 48
#define LARGE_ANSWER_BYTES (1024 * BYTES_PER_KB)

#define PAUSED_COUNT 480
#define PAUSED_AT_ONCE 160
#define PAUSED_BODY_BYTES (512 * BYTES_PER_KB)

/* Sanitizers add private pages: then the limit is not checked. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define PAGES_COMPARABLE false
#else
#define PAGES_COMPARABLE true
#endif

/* A caller that sends one request slowly and reads its answer. */
struct sender {
	int fd;
	uint64_t id;
	char *head;
	size_t sent_bytes; /* of head and body */
	size_t send_limit_bytes;
	char answer[RAW_ANSWER_BYTES];
	size_t answer_bytes;
	bool closed;
};

static int64_t peak_bytes[PR_HOSTS];

/* Updates the memory peaks. Fails the test if a node has ended. */
static void
check_memory(void)
{
	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &procs->hosts[i];
		int64_t bytes = (int64_t)pr_private_bytes(h->node.pid);
		int status;

		if (pr_reap(&h->node, &status))
			fail_msg("%s ended: status %x", h->name, status);
		if (bytes > peak_bytes[i])
			peak_bytes[i] = bytes;
	}
}

static void
assert_within_limit(void)
{
	size_t worst = 0;

	for (size_t i = 1; i < PR_HOSTS; i++) {
		if (peak_bytes[i] > peak_bytes[worst])
			worst = i;
	}
	print_message("peak %.1f MB of %d MB at %s\n",
	    (double)peak_bytes[worst] / BYTES_PER_MB, MEMORY_MB,
	    procs->hosts[worst].name);
	if (PAGES_COMPARABLE && peak_bytes[worst] > MEMORY_MB * BYTES_PER_MB)
		fail_msg("%s: %" PRId64 " bytes", procs->hosts[worst].name,
		    peak_bytes[worst]);
}

static void
set_answer_size(size_t bytes)
{
	for (size_t i = 0; i < PR_HOSTS; i++)
		pr_set_upstream(procs, &procs->hosts[i],
		    talloc_asprintf(procs, "{\"answer_bytes\":%zu}", bytes));
}

static int64_t
count_all_runs(void)
{
	int64_t n = 0;

	for (size_t i = 0; i < PR_HOSTS; i++)
		n += host_runs(&procs->hosts[i]);
	return n;
}

static char *
make_body(size_t bytes)
{
	char *text = talloc_array(procs, char, bytes + 1);

	memset(text, 'b', bytes);
	text[bytes] = '\0';
	return text;
}

/* Hosts that receive the requests. */
enum entry_hosts {
	FIRST_HOST_ONLY,
	ALL_HOSTS
};

static void
load_send(struct load *l, enum entry_hosts at)
{
	size_t i = at == ALL_HOSTS ? l->sent % PR_HOSTS : 0;

	l->request.port = procs->hosts[i].callers_port;
	pr_send(procs, &l->request, l->first + l->sent, load_on_done, l);
	l->sent++;
}

static void
checked_load_step(
    struct load *l, enum entry_hosts at, uint32_t count, uint32_t at_once)
{
	while (l->sent < count && l->sent - l->ended < at_once)
		load_send(l, at);
	fake_fetcher_step(procs->fetcher, STEP_MS);
	check_memory();
}

/* The loop ends, since each request has a timeout. */
static void
checked_load(
    struct load *l, enum entry_hosts at, uint32_t count, uint32_t at_once)
{
	while (l->ended < count)
		checked_load_step(l, at, count, at_once);
}

/* Checks that no upstream saw the first MAX_REFUSALS_CHECKED refused ones. */
static void
assert_refused_not_run(const struct load *l)
{
	uint32_t shown = 0;

	for (uint32_t i = 0; i < l->sent && shown < MAX_REFUSALS_CHECKED; i++) {
		if (l->outcomes[i] != 'n')
			continue;
		shown++;
		assert_int_equal(
		    pr_count_seen(procs, pr_test_id(procs, l->first + i)), 0);
	}
}

static void
assert_all_answered(struct load *l)
{
	print_message(
	    "%u sent: %u served, %u not run\n", l->sent, l->ok, l->not_run);
	assert_served_or_refused(l);
	assert_refused_not_run(l);
}

static void
assert_some_served(struct load *l)
{
	assert_all_answered(l);
	assert_true(l->ok > 0);
}

/* Checks that all nodes serve when the load has ended. */
static void
assert_serves_again(void)
{
	for (size_t i = 0; i < PR_HOSTS; i++)
		pr_publish(procs, &procs->hosts[i], "live");
	set_answer_size(0);
	pr_wait_serving(procs);
	check_memory();
}

/* Leaves only host 1 to service t, so that its node gets all requests. */
static void
keep_one_host_of_t(void)
{
	for (size_t i = 3; i < PR_HOSTS; i += 2)
		pr_publish(procs, &procs->hosts[i], "leaving");
}

static void
test_many_short_runs_stay_within_limit(void **state)
{
	struct load *l = load_new("GET", "/t/run", NULL);

	set_answer_size(SHORT_ANSWER_BYTES);
	keep_one_host_of_t();
	checked_load(l, FIRST_HOST_ONLY, SHORT_COUNT, SHORT_AT_ONCE);
	assert_some_served(l);
	assert_serves_again();
	assert_within_limit();
}

static int
send_without_reading(const struct pr_host *entry)
{
	char *text = talloc_strdup(procs, "");

	for (int i = 0; i < UNREAD_REQUESTS; i++)
		text = talloc_asprintf_append_buffer(text,
		    "GET /t/run HTTP/1.1\r\nHost: t\r\nIbisrail-Key: %s\r\n"
		    "X-Test-Id: %s\r\n\r\n",
		    procs->keys[KEY_OPEN], pr_test_id(procs, ++procs->next_id));
	return raw_send_request(entry->callers_port, text);
}

static bool
has_no_calls(void *ctx)
{
	const struct pr_host *h = ctx;

	check_memory();
	return pr_fetch_number(procs, h->admin_port, "/state", "calls") == 0;
}

static bool
is_served(void *ctx)
{
	struct pr_answer a = fetch_from_host(ctx, "/t/run", KEY_MAIN);

	check_memory();
	return pr_is_served(&a);
}

static void
test_callers_that_read_nothing_stay_within_limit(void **state)
{
	struct load *l = load_new("GET", "/t/run", NULL);
	struct pr_host *entry = &procs->hosts[0];
	int fds[UNREAD_CONNECTIONS];

	set_answer_size(UNREAD_ANSWER_BYTES);
	for (int i = 0; i < UNREAD_CONNECTIONS; i++)
		fds[i] = send_without_reading(entry);
	checked_load(l, FIRST_HOST_ONLY, READ_COUNT, READ_AT_ONCE);
	/* The callers that read nothing are still connected. */
	pr_wait_until("callers that read are served", is_served, entry);
	pr_wait_until("unread calls end", has_no_calls, entry);
	for (int i = 0; i < UNREAD_CONNECTIONS; i++)
		close(fds[i]);
	assert_all_answered(l);
	assert_serves_again();
	assert_within_limit();
}

static void
sender_begin(struct sender *s, const struct pr_host *entry)
{
	s->id = ++procs->next_id;
	s->head = talloc_asprintf(procs,
	    "POST /t/charge HTTP/1.1\r\nHost: t\r\nIbisrail-Key: %s\r\n"
	    "X-Test-Id: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
	    procs->keys[KEY_OPEN], pr_test_id(procs, s->id), SENDER_BODY_BYTES);
	s->send_limit_bytes = strlen(s->head) + SENDER_BODY_BYTES / 2;
	s->fd = raw_connect(entry->callers_port);
}

static void
sender_end_body(struct sender *s)
{
	s->send_limit_bytes = strlen(s->head) + SENDER_BODY_BYTES;
}

static void
sender_send(struct sender *s, const char *body)
{
	size_t head_bytes = strlen(s->head);
	ssize_t n;

	while (s->sent_bytes < s->send_limit_bytes) {
		bool in_head = s->sent_bytes < head_bytes;
		size_t end = in_head ? head_bytes : s->send_limit_bytes;
		const char *from = in_head ? s->head + s->sent_bytes
					   : body + s->sent_bytes - head_bytes;

		n = send(s->fd, from, end - s->sent_bytes,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n <= 0)
			return;
		s->sent_bytes += (size_t)n;
	}
}

static void
sender_read(struct sender *s)
{
	size_t room = sizeof(s->answer) - 1 - s->answer_bytes;
	ssize_t n =
	    recv(s->fd, s->answer + s->answer_bytes, room, MSG_DONTWAIT);

	if (n > 0)
		s->answer_bytes += (size_t)n;
	else if (n == 0 || errno != EAGAIN)
		s->closed = true;
}

static void
senders_step(struct sender *senders, const char *body)
{
	for (int i = 0; i < SENDERS; i++) {
		if (senders[i].closed)
			continue;
		sender_send(&senders[i], body);
		sender_read(&senders[i]);
	}
}

struct sender_group {
	struct sender *senders;
	const char *body;
};

static bool
senders_ended(void *ctx)
{
	struct sender_group *g = ctx;

	senders_step(g->senders, g->body);
	check_memory();
	for (int i = 0; i < SENDERS; i++) {
		if (!g->senders[i].closed)
			return false;
	}
	return true;
}

/* Fails if an upstream saw a request that was not answered as served. */
static void
assert_sender_answer(
    const struct sender *s, uint32_t *served, uint32_t *unanswered)
{
	bool ran = strstr(s->answer, "Ibisrail-Outcome: ran\r\n") != NULL;
	bool refused =
	    strstr(s->answer, "Ibisrail-Outcome: not-run\r\n") != NULL;
	uint32_t seen = pr_count_seen(procs, pr_test_id(procs, s->id));

	if (ran && strncmp(s->answer, "HTTP/1.1 200 ", 13) == 0)
		*served += 1;
	else if (seen != 0)
		fail_msg(
		    "seen by %u upstreams, answer \"%.200s\"", seen, s->answer);
	else if (!refused)
		*unanswered += 1;
}

static void
test_slow_senders_stay_within_limit(void **state)
{
	struct load *l = load_new("GET", "/t/run", NULL);
	struct pr_host *entry = &procs->hosts[0];
	struct sender *senders =
	    talloc_zero_array(procs, struct sender, SENDERS);
	struct sender_group g = {senders, make_body(SENDER_BODY_BYTES)};
	uint32_t served = 0, unanswered = 0;

	for (int i = 0; i < SENDERS; i++)
		sender_begin(&senders[i], entry);
	while (l->ended < READ_COUNT) {
		senders_step(senders, g.body);
		checked_load_step(l, FIRST_HOST_ONLY, READ_COUNT, READ_AT_ONCE);
	}
	for (int i = 0; i < SENDERS; i++)
		sender_end_body(&senders[i]);
	pr_wait_until("senders have their answers", senders_ended, &g);
	for (int i = 0; i < SENDERS; i++) {
		close(senders[i].fd);
		assert_sender_answer(&senders[i], &served, &unanswered);
	}
	print_message("%d senders: %u served, %u cut off before they ran\n",
	    SENDERS, served, unanswered);
	assert_some_served(l);
	assert_serves_again();
	assert_within_limit();
}

static size_t
sent_bytes(const struct sender *senders)
{
	size_t sum = 0;

	for (int i = 0; i < FLOOD_SENDERS; i++)
		sum += senders[i].sent_bytes;
	return sum;
}

/* Sends until the sockets take no more. */
static void
fill_sockets(struct sender *senders, const char *body)
{
	size_t before;

	for (int quiet = 0; quiet < QUIET_STEPS; quiet++) {
		before = sent_bytes(senders);
		for (int i = 0; i < FLOOD_SENDERS; i++)
			sender_send(&senders[i], body);
		poll(NULL, 0, 1);
		if (sent_bytes(senders) != before)
			quiet = 0;
	}
}

/* What a paused process has not read counts towards its limit. */
static void
test_bytes_sent_to_paused_node_stay_within_limit(void **state)
{
	struct pr_host *paused = &procs->hosts[0];
	struct sender *senders =
	    talloc_zero_array(procs, struct sender, FLOOD_SENDERS);
	const char *body = make_body(SENDER_BODY_BYTES);
	uint64_t unread, pages;

	for (int i = 0; i < FLOOD_SENDERS; i++)
		sender_begin(&senders[i], paused);
	pr_signal(&paused->node, SIGSTOP);
	fill_sockets(senders, body);
	unread = pr_unread_bytes(paused);
	pages = pr_private_bytes(paused->node.pid);
	pr_signal(&paused->node, SIGCONT);
	for (int i = 0; i < FLOOD_SENDERS; i++)
		close(senders[i].fd);
	print_message("%.1f MB unread, %.1f MB of pages, limit %d MB\n",
	    (double)unread / BYTES_PER_MB, (double)pages / BYTES_PER_MB,
	    MEMORY_MB);
	assert_serves_again();
	assert_within_limit();
	assert_true(unread + pages <= MEMORY_MB * BYTES_PER_MB);
}

static void
test_large_answers_on_all_slots_stay_within_limit(void **state)
{
	struct load *l = load_new("GET", "/t/run", NULL);

	set_answer_size(LARGE_ANSWER_BYTES);
	checked_load(l, ALL_HOSTS, LARGE_COUNT, LARGE_AT_ONCE);
	assert_some_served(l);
	assert_serves_again();
	assert_within_limit();
}

/* Requests in flight to the paused node may have an unknown outcome. */
static void
test_paused_peer_stays_within_limit(void **state)
{
	struct load *l = load_new("POST", "/t/charge", NULL);
	struct pr_host *paused = &procs->hosts[1];
	int64_t before = count_all_runs(), ran;

	l->request.body = make_body(PAUSED_BODY_BYTES);
	pr_signal(&paused->node, SIGSTOP);
	checked_load(l, FIRST_HOST_ONLY, PAUSED_COUNT / 2, PAUSED_AT_ONCE);
	pr_signal(&paused->node, SIGCONT);
	checked_load(l, FIRST_HOST_ONLY, PAUSED_COUNT, PAUSED_AT_ONCE);
	ran = count_all_runs() - before;
	print_message("%u sent: %u served, %u not run, %u unknown; %" PRId64
		      " ran\n",
	    l->sent, l->ok, l->not_run, l->unknown, ran);
	assert_int_equal(l->ok + l->not_run + l->unknown, l->sent);
	assert_true(l->ok > 0);
	assert_true(ran >= l->ok && ran <= l->ok + l->unknown);
	assert_int_equal(count_double_runs(), l->double_runs_before);
	assert_refused_not_run(l);
	assert_serves_again();
	assert_within_limit();
}

/* Each node that is up reads the sections as they come; one starts anew. */
static void
test_large_configuration_stays_within_limit(void **state)
{
	struct pr_host *h = &procs->hosts[0];
	int status;

	for (int i = 0; i < LARGE_SECTIONS; i++)
		pr_send_control(procs, procs->platform_port, "PUT",
		    talloc_asprintf(procs, "/control/config/service/x%d", i),
		    talloc_asprintf(procs, "{\"padding\":\"%s\"}",
			make_body(LARGE_SECTION_BYTES)));
	pr_signal(&h->node, SIGKILL);
	while (!pr_reap(&h->node, &status))
		poll(NULL, 0, 1);
	pr_node_start(procs, h, h->peers_port);
	for (int i = 0; i < LARGE_STEPS; i++) {
		poll(NULL, 0, STEP_MS);
		check_memory();
	}
	assert_within_limit();
}

static int
memory_set_up(void **state)
{
	const struct pr_fleet fleet = {
	    .host_count = PR_HOSTS, .memory_mb = MEMORY_MB};

	procs = pr_fleet_start(program_path, &fleet);
	pr_wait_serving(procs);
	return 0;
}

/* Restarts the nodes, so that memory of one test does not count in the next. */
static int
restart_all_nodes(void **state)
{
	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &procs->hosts[i];
		int status;

		if (h->node.pid != 0) {
			pr_signal(&h->node, SIGKILL);
			while (!pr_reap(&h->node, &status))
				poll(NULL, 0, 1);
		}
	}
	set_answer_size(0);
	memset(peak_bytes, 0, sizeof(peak_bytes));
	return processes_restore(state);
}

/* A node that starts cannot read them, and would not serve. */
static int
withdraw_large_sections(void **state)
{
	for (int i = 0; i < LARGE_SECTIONS; i++)
		pr_send_control(procs, procs->platform_port, "DELETE",
		    talloc_asprintf(procs, "/control/config/service/x%d", i),
		    "");
	return restart_all_nodes(state);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_teardown(
		test_many_short_runs_stay_within_limit, restart_all_nodes),
	    cmocka_unit_test_teardown(
		test_callers_that_read_nothing_stay_within_limit,
		restart_all_nodes),
	    cmocka_unit_test_teardown(
		test_slow_senders_stay_within_limit, restart_all_nodes),
	    cmocka_unit_test_teardown(
		test_bytes_sent_to_paused_node_stay_within_limit,
		restart_all_nodes),
	    cmocka_unit_test_teardown(
		test_large_answers_on_all_slots_stay_within_limit,
		restart_all_nodes),
	    cmocka_unit_test_teardown(
		test_paused_peer_stays_within_limit, restart_all_nodes),
	    cmocka_unit_test_teardown(
		test_large_configuration_stays_within_limit,
		withdraw_large_sections),
	};

	program_path = argv[0];
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(
	    tests, memory_set_up, processes_tear_down);
}
