/*
 * A soak: real processes under load, with faults from outside that a seed
 * decides, and promises that are checked from what callers and upstreams see.
 *
 * usage: soak [--platform] [--hosts N] SEED SECONDS
 *
 * --platform: the daemon and the stand-ins of our users' platform.
 *
 * Faults come in series and overlap: nodes are killed, stopped, paused and
 * told to read their settings; links between nodes and to the store are
 * delayed, silenced, cut one way or reset by proxies; the store is down, slow
 * or stale; hosts leave and return; keys are withdrawn; nodes are made to hold
 * bytes. Callers use their connections until a process is gone.
 *
 * Checked: no request that is not idempotent runs twice, or runs though its
 * answer said not run; an answer is that of its request; what a node has
 * passed on is answered while the node lives; no withdrawn key is served after
 * its bound; no node is above its limit of memory; no process ends by itself;
 * all serve again once the faults are over. Exit code 0 when all held.
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

#include "soak/hold.h"

#define HOSTS 8
#define MAX_HOSTS 100
#define BYTES_PER_MB (UINT64_C(1024) * 1024)

/* Of host i: its peers' proxy, then its store's. */
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
soak_note_broken(struct soak *s, const char *fmt, ...)
{
	va_list args;

	if (s->broken[0] != '\0')
		return;
	va_start(args, fmt);
	vsnprintf(s->broken, sizeof(s->broken), fmt, args);
	va_end(args);
}

uint32_t
soak_below(struct soak *s, uint32_t n)
{
	return ir_random_below(&s->random, n);
}

void
soak_start_node(struct soak *s, size_t i)
{
	struct pr_host *h = &procs->hosts[i];

	pr_node_start(procs, h, s->peers_port);
	proxies_target(s->proxies, soak_peers_proxy(i), h->peers_port);
	s->hosts[i].expected_end = false;
	s->hosts[i].starts++;
	pr_publish(procs, h, s->hosts[i].leaving ? "leaving" : "live");
}

bool
soak_node_lives(const struct soak *s, size_t i, uint32_t starts)
{
	const struct trouble *t = &s->hosts[i];
	siginfo_t info = {0};

	if (procs->hosts[i].node.pid == 0 || t->expected_end ||
	    t->starts != starts)
		return false;
	/* It may have ended and not been looked at yet. */
	return waitid(P_PID, (id_t)procs->hosts[i].node.pid, &info,
		   WEXITED | WNOHANG | WNOWAIT) == 0 &&
	       info.si_pid == 0;
}

void
soak_note_cut(struct soak *s, size_t i, uint32_t starts, uint64_t id)
{
	if (!soak_node_lives(s, i, starts) || s->cut_count == SOAK_MAX_CUT)
		return;
	s->cut[s->cut_count++] = (struct cut){id, (uint16_t)i};
}

static void
look_for_ends(struct soak *s)
{
	for (size_t i = 0; i < procs->host_count; i++) {
		int status;

		if (!pr_reap(&procs->hosts[i].node, &status))
			continue;
		s->hosts[i].paused = false;
		if (!s->hosts[i].expected_end)
			soak_note_broken(s, "%s ended by itself, status %d",
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
	proxies_target(s->proxies, soak_store_proxy(i), procs->platform_port);
}

static void
start_all(struct soak *s)
{
	s->proxies = proxies_start(s);
	for (size_t i = 0; i < procs->host_count; i++)
		set_up_proxies(s, i);
	for (size_t i = 0; i < procs->host_count; i++)
		soak_start_node(s, i);
	pr_wait_serving(procs);
}

static void
run(struct soak *s, int64_t seconds)
{
	int64_t end = ir_clock_now() + seconds * IR_US_PER_S;
	int64_t next = ir_clock_now();

	soak_load_begin(s);
	while (ir_clock_now() < end && s->broken[0] == '\0') {
		if (ir_clock_now() >= next) {
			soak_next_fault(s);
			next = ir_clock_now() + soak_fault_pause(s);
		}
		soak_load_step(s);
		holds_step(s);
		soak_watch_memory(s);
		look_for_ends(s);
	}
	soak_mend(s);
	soak_load_end(s);
	holds_end(s);
	soak_look_up_runs(s);
	soak_look_up_cut(s);
	pr_wait_serving(procs);
	look_for_ends(s);
	soak_watch_memory(s);
}

static void
report(const struct soak *s)
{
	printf("seed %" PRIu64
	       "%s, %u hosts: %u faults, %u requests: %u served, %u not "
	       "run, %u unknown, %u without answer; %u held: %u answered; %u "
	       "closed by living nodes; at most %" PRIu64
	       " MB of %u (%s); %s\n",
	    s->seed, procs->platform_dialect ? " of the platform" : "",
	    procs->host_count, s->faults, s->count, s->ok, s->not_run,
	    s->unknown, s->none, holds_sent(s), holds_answered(s), s->cut_count,
	    s->largest_bytes / BYTES_PER_MB, PR_MEMORY_MB,
	    procs->hosts[s->largest_host].name,
	    s->broken[0] != '\0' ? s->broken : "all promises held");
	if (s->broken[0] != '\0')
		printf("its settings and logs: %s\n", procs->dir);
}

static struct pr_fleet fleet = {.host_count = HOSTS,
    .memory_mb = PR_MEMORY_MB,
    .start_nodes_later = true,
    .first_account_unlimited = true};
static uint64_t seed;
static int64_t seconds;

static void
test_promises_hold(void **state)
{
	struct soak *s = talloc_zero(NULL, struct soak);

	s->seed = seed;
	s->random = seed;
	s->sent = talloc_zero_array(s, struct sent, SOAK_MAX_REQUESTS);
	s->hosts = talloc_zero_array(s, struct trouble, procs->host_count);
	s->holds = holds_new(s);
	s->spared = soak_below(s, procs->host_count);
	start_all(s);
	run(s, seconds);
	proxies_stop(s->proxies);
	report(s);
	if (s->broken[0] != '\0')
		fail_msg("%s", s->broken);
	talloc_free(s);
}

static int
set_up(void **state)
{
	procs = pr_fleet_start(program_path, &fleet);
	return 0;
}

/* The options that come first; how many arguments they are. */
static int
read_options(int argc, char **argv)
{
	int i = 1;

	for (; i < argc && strncmp(argv[i], "--", 2) == 0; i++) {
		if (strcmp(argv[i], "--platform") == 0)
			fleet.platform_dialect = true;
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
		    "usage: %s [--platform] [--hosts 2-%d] SEED SECONDS\n",
		    argv[0], MAX_HOSTS);
		return 2;
	}
	program_path = argv[0];
	seed = strtoull(argv[i], NULL, 10);
	seconds = strtoll(argv[i + 1], NULL, 10);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, set_up, processes_tear_down);
}
