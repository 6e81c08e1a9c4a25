/*
 * Soak test: runs real processes under load, injects faults chosen by a seed,
 * and checks the product's guarantees from what callers and upstreams observe.
 *
 * usage: soak [--platform] [--restores] [--hosts N] SEED SECONDS
 *
 * --platform: runs the daemon and the fakes of our users' platform.
 * --restores: restores the store often, on top of the other faults.
 *
 * Faults overlap and may come in series: nodes are killed, terminated, paused
 * and made to reload their settings; proxies delay, silence, cut in one
 * direction or reset links between nodes and to the store; the store is down,
 * slow or stale, or comes back from an older copy; hosts leave and return; keys
 * are withdrawn; clients make nodes buffer bytes. Callers keep their
 * connections until a process ends.
 *
 * Checked: no request that is not idempotent runs twice; none runs although its
 * answer says not run; an answer belongs to its request; a request that a node
 * has forwarded is answered while the node runs, and also if it was told to
 * stop; such a node leaves no request waiting; no withdrawn key is served
 * after the time limit; no node exceeds its memory limit; no process ends
 * unexpectedly; all nodes serve again after the faults and take a new
 * configuration. Exit code 0 if no check fails.
 */
#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "soak/slow_client.h"

#define HOSTS 8
#define MAX_HOSTS 100
#define BYTES_PER_MB (UINT64_C(1024) * 1024)

/* Host i has two proxies: one for its peers, then one to the store. */
uint32_t
soak_peers_proxy(size_t i)
{
	return (uint32_t)(2 * i);
}

uint32_t
soak_store_proxy(size_t i)
{
	return (uint32_t)(2 * i + 1);
}

void
soak_note_failure(struct soak *s, const char *fmt, ...)
{
	va_list args;

	if (s->failure[0] != '\0')
		return;
	va_start(args, fmt);
	vsnprintf(s->failure, sizeof(s->failure), fmt, args);
	va_end(args);
}

uint32_t
soak_random_below(struct soak *s, uint32_t n)
{
	return ir_random_below(&s->random, n);
}

void
soak_start_node(struct soak *s, size_t i)
{
	struct pr_host *h = &procs->hosts[i];

	pr_node_start(procs, h, s->peers_port);
	proxies_set_target(s->proxies, soak_peers_proxy(i), h->peers_port);
	s->hosts[i].end_expected = false;
	s->hosts[i].start_number++;
	pr_publish(procs, h, s->hosts[i].leaving ? "leaving" : "live");
}

bool
soak_node_running(const struct soak *s, size_t i, uint32_t start_number)
{
	const struct host_state *t = &s->hosts[i];
	siginfo_t info = {0};

	if (procs->hosts[i].node.pid == 0 || t->end_expected ||
	    t->start_number != start_number)
		return false;
	/* The process may have ended without having been reaped yet. */
	return waitid(P_PID, (id_t)procs->hosts[i].node.pid, &info,
		   WEXITED | WNOHANG | WNOWAIT) == 0 &&
	       info.si_pid == 0;
}

void
soak_note_closed(struct soak *s, size_t i, uint32_t start_number, uint64_t id,
    int64_t open_us)
{
	bool stopping = s->hosts[i].stopping_number == start_number;

	if (!stopping && !soak_node_running(s, i, start_number))
		return;
	if (stopping && open_us > SOAK_LOSS_SLACK_US)
		soak_note_failure(s,
		    "%s was told to stop, and closed without an answer %" PRId64
		    " ms after request %" PRIu64 " was sent",
		    procs->hosts[i].name, open_us / IR_US_PER_MS, id);
	if (s->closed_count == SOAK_MAX_CLOSED)
		return;
	s->closed[s->closed_count++] = (struct closed_request){id, (uint16_t)i};
}

static void
check_node_ends(struct soak *s)
{
	for (size_t i = 0; i < procs->host_count; i++) {
		int status;

		if (!pr_reap(&procs->hosts[i].node, &status))
			continue;
		s->hosts[i].paused = false;
		if (!s->hosts[i].end_expected)
			soak_note_failure(s, "%s ended unexpectedly, status %d",
			    procs->hosts[i].name, status);
	}
}

static void
set_up_proxies(struct soak *s, size_t i)
{
	struct pr_host *h = &procs->hosts[i];

	h->published_peers_port = proxies_add(
	    s->proxies, h->published_address, s->peers_port, h->address);
	if (procs->platform_dialect)
		s->peers_port = h->published_peers_port;
	h->platform_port = proxies_add(s->proxies, PR_ADDRESS, 0, PR_ADDRESS);
	proxies_set_target(
	    s->proxies, soak_store_proxy(i), procs->platform_port);
}

static void
start_fleet(struct soak *s)
{
	s->proxies = proxies_start(s);
	for (size_t i = 0; i < procs->host_count; i++)
		set_up_proxies(s, i);
	for (size_t i = 0; i < procs->host_count; i++)
		soak_start_node(s, i);
	pr_wait_serving(procs);
}

static void
wait_serving(struct soak *s)
{
	int64_t start = ir_clock_now();

	while (!pr_all_serving(procs)) {
		if (ir_clock_now() > start + PR_WAIT_US) {
			soak_note_failure(
			    s, "not all nodes serve after the faults");
			break;
		}
	}
	s->recovery_us = ir_clock_now() - start;
}

static void
run(struct soak *s, int64_t seconds)
{
	int64_t end = ir_clock_now() + seconds * IR_US_PER_S;
	int64_t next = ir_clock_now();

	soak_load_init(s);
	while (ir_clock_now() < end && s->failure[0] == '\0') {
		if (ir_clock_now() >= next) {
			soak_next_fault(s);
			next = ir_clock_now() + soak_next_fault_delay_us(s);
		}
		soak_load_step(s);
		slow_clients_step(s);
		soak_check_memory(s);
		check_node_ends(s);
	}
	soak_end_faults(s);
	soak_load_drain(s);
	slow_clients_drain(s);
	soak_check_run_counts(s);
	soak_check_closed(s);
	wait_serving(s);
	soak_check_new_config(s);
	check_node_ends(s);
	soak_check_memory(s);
}

static void
report(const struct soak *s)
{
	printf("seed %" PRIu64 "%s, %u hosts: %u faults, %u restores, %u "
	       "requests: %u served, %u not "
	       "run, %u unknown, %u without answer; %u held: %u answered; %u "
	       "closed by nodes that ran or stopped; at most %" PRIu64
	       " MB of %u (%s); all served after %" PRId64 " ms; %s\n",
	    s->seed, procs->platform_dialect ? " of the platform" : "",
	    procs->host_count, s->fault_count, s->restore_count, s->sent_count,
	    s->ok, s->not_run, s->unknown, s->unanswered, slow_clients_sent(s),
	    slow_clients_answered(s), s->closed_count,
	    s->max_memory_bytes / BYTES_PER_MB, PR_MEMORY_MB,
	    procs->hosts[s->max_memory_host].name,
	    s->recovery_us / IR_US_PER_MS,
	    s->failure[0] != '\0' ? s->failure : "all promises held");
	if (s->failure[0] != '\0')
		printf("settings and logs: %s\n", procs->dir);
}

static struct pr_fleet fleet = {.host_count = HOSTS,
    .memory_mb = PR_MEMORY_MB,
    .start_nodes_later = true,
    .first_account_unlimited = true};
static uint64_t seed;
static int64_t seconds;
static bool often_restored;

static void
test_promises_hold(void **state)
{
	struct soak *s = talloc_zero(NULL, struct soak);

	s->seed = seed;
	s->random = seed;
	s->sent = talloc_zero_array(s, struct sent_request, SOAK_MAX_REQUESTS);
	s->hosts = talloc_zero_array(s, struct host_state, procs->host_count);
	s->slow_clients = slow_clients_new(s);
	s->often_restored = often_restored;
	s->never_stopped = soak_random_below(s, procs->host_count);
	start_fleet(s);
	run(s, seconds);
	proxies_stop(s->proxies);
	report(s);
	if (s->failure[0] != '\0')
		fail_msg("%s", s->failure);
	talloc_free(s);
}

static int
set_up(void **state)
{
	procs = pr_fleet_start(program_path, &fleet);
	return 0;
}

/*
 * Reads the options in front. Returns the index of the first other argument, or
 * argc if an option is wrong.
 */
static int
read_options(int argc, char **argv)
{
	int i = 1;

	for (; i < argc && strncmp(argv[i], "--", 2) == 0; i++) {
		if (strcmp(argv[i], "--platform") == 0)
			fleet.platform_dialect = true;
		else if (strcmp(argv[i], "--restores") == 0)
			often_restored = true;
		else if (strcmp(argv[i], "--hosts") == 0 && i + 1 < argc)
			fleet.host_count =
			    (uint32_t)strtoul(argv[++i], NULL, 10);
		else
			return argc;
	}
	return i;
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_promises_hold),
	};
	int i = read_options(argc, argv);

	if (argc - i != 2 || fleet.host_count < 2 ||
	    fleet.host_count > MAX_HOSTS) {
		fprintf(stderr,
		    "usage: %s [--platform] [--restores] [--hosts 2-%d] SEED "
		    "SECONDS\n",
		    argv[0], MAX_HOSTS);
		return 2;
	}
	program_path = argv[0];
	seed = strtoull(argv[i], NULL, 10);
	seconds = strtoll(argv[i + 1], NULL, 10);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, set_up, processes_tear_down);
}
