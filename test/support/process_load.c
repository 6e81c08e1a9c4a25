/* Load on a fleet of real processes, and the fixture of its tests. */
#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "fakes/lib/lifetime.h"
#include "ibisrail/limits.h"
#include "io/listen.h"
#include "support/process_load.h"

#define STEP_MS 5

const char *program_path;
struct processes *procs;

void
load_on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct load *l = ctx;
	char outcome = '-';

	if (r->complete && r->outcome[0] != '\0')
		outcome = r->outcome[0];
	l->outcomes[id - l->first] = outcome;
	l->ended++;
	if (outcome == 'r' && r->status == 200)
		l->ok++;
	else if (outcome == 'n')
		l->not_run++;
	else if (outcome == 'u')
		l->unknown++;
	else
		l->other++;
	if (outcome != 'r' || r->status != 200)
		snprintf(l->last_failure, sizeof(l->last_failure),
		    "id %" PRIu64 ": %u %s %s %s %.*s", id, r->status,
		    r->outcome, r->error, r->complete ? "" : r->failure,
		    (int)(r->body_bytes < 80 ? r->body_bytes : 80),
		    r->body_bytes > 0 ? (const char *)r->body : "");
}

/* Idempotent requests may run twice: tests of others compare two readings. */
int64_t
count_double_runs(void)
{
	int64_t n = 0;

	for (size_t i = 0; i < PR_HOSTS; i++)
		n += pr_fetch_number(procs, procs->hosts[i].upstream_port,
		    "/control/stats", "double_runs");
	return n;
}

struct load *
load_new(const char *method, const char *path, const struct pr_host *except)
{
	struct load *l = talloc_zero(procs, struct load);

	l->request.method = method;
	l->request.path = path;
	l->request.key = procs->keys[KEY_MAIN];
	l->except = except;
	l->double_runs_before = count_double_runs();
	l->first = procs->next_id + 1;
	/* Other requests take ids while the load runs. */
	procs->next_id += LOAD_MAX_REQUESTS;
	return l;
}

void
load_step(struct load *l)
{
	while (l->sent - l->ended < LOAD_CONCURRENCY &&
	       l->sent < LOAD_MAX_REQUESTS) {
		const struct pr_host *h = &procs->hosts[l->sent % PR_HOSTS];

		if (h == l->except)
			h = &procs->hosts[(l->sent + 1) % PR_HOSTS];
		l->request.port = h->callers_port;
		pr_send(
		    procs, &l->request, l->first + l->sent, load_on_done, l);
		l->sent++;
	}
	fake_fetcher_step(procs->fetcher, STEP_MS);
}

void
load_run(struct load *l, uint32_t count)
{
	for (uint32_t until = l->ended + count; l->ended < until;)
		load_step(l);
}

void
load_finish(struct load *l)
{
	while (l->ended < l->sent)
		fake_fetcher_step(procs->fetcher, STEP_MS);
}

void
assert_all_served(struct load *l)
{
	if (l->ok != l->sent)
		fail_msg("%u sent, %u served, %u not run, %u unknown, %u "
			 "other; last: %s",
		    l->sent, l->ok, l->not_run, l->unknown, l->other,
		    l->last_failure);
}

void
assert_served_or_refused(struct load *l)
{
	if (l->ok + l->not_run != l->sent)
		fail_msg("%u sent, %u served, %u not run, %u unknown, %u "
			 "other; last: %s",
		    l->sent, l->ok, l->not_run, l->unknown, l->other,
		    l->last_failure);
}

int64_t
host_runs(const struct pr_host *h)
{
	return pr_fetch_number(
	    procs, h->upstream_port, "/control/stats", "runs");
}

struct pr_answer
fetch_from_host(const struct pr_host *h, const char *path, enum key key)
{
	struct pr_request r = {
	    .port = h->callers_port, .path = path, .key = procs->keys[key]};

	return pr_fetch(procs, &r);
}

bool
key_refused_by_all(void *ctx)
{
	struct key_refusal *k = ctx;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_answer a;

		if (&procs->hosts[i] == k->except)
			continue;
		a = fetch_from_host(&procs->hosts[i], "/s/run", k->key);
		if (strcmp(a.error, "key-unknown") != 0)
			return false;
		assert_string_equal(a.outcome, "not-run");
	}
	return true;
}

bool
uptime_reached(void *ctx)
{
	struct uptime_mark *m = ctx;

	return pr_fetch_number(procs, m->host->admin_port, "/state",
		   "uptime_ms") >= m->uptime_ms;
}

struct uptime_mark
uptime_after(const struct pr_host *h, int64_t us)
{
	struct uptime_mark m = {
	    h, pr_fetch_number(procs, h->admin_port, "/state", "uptime_ms") +
		   us / IR_US_PER_MS};

	return m;
}

int
processes_set_up(void **state)
{
	const struct pr_fleet fleet = {
	    .host_count = PR_HOSTS, .memory_mb = PR_MEMORY_MB};

	procs = pr_fleet_start(program_path, &fleet);
	pr_wait_serving(procs);
	return 0;
}

int
processes_set_up_platform(uint32_t hosts)
{
	const struct pr_fleet fleet = {.host_count = hosts,
	    .memory_mb = PR_MEMORY_MB,
	    .platform_dialect = true,
	    .start_nodes_later = true,
	    .first_account_unlimited = true};
	struct ir_endpoint any = {"", 0};
	uint16_t peers_port;

	procs = pr_fleet_start(program_path, &fleet);
	/* All nodes use the same port, each at its own address. */
	any.address = procs->hosts[0].published_address;
	close(ir_listen(&any, false, &peers_port));
	for (size_t i = 0; i < hosts; i++) {
		struct pr_host *h = &procs->hosts[i];

		/* No proxy stands between the hosts. */
		snprintf(
		    h->address, sizeof(h->address), "%s", h->published_address);
		pr_node_start(procs, h, peers_port);
		pr_publish(procs, h, "live");
	}
	pr_wait_serving(procs);
	return 0;
}

/* Teardown of each test, so that a failed one leaves no faults behind. */
int
processes_restore(void **state)
{
	pr_set_faults(procs, "{\"down\":false,\"stale\":false,\"lag_ms\":0}");
	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &procs->hosts[i];

		if (h->node.pid == 0)
			pr_node_start(procs, h, 0);
		else
			pr_signal(&h->node, SIGCONT);
		pr_publish(procs, h, "live");
	}
	pr_wait_serving(procs);
	return 0;
}

int
processes_tear_down(void **state)
{
	if (procs != NULL)
		pr_fleet_end(procs);
	return 0;
}
