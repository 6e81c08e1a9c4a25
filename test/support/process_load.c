/* Load on a fleet of real processes, and its fixture. */
#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "fakes/lib/lifetime.h"
#include "ibisrail/limits.h"
#include "support/process_load.h"

#define STEP_MS 5

const char *program;
struct processes *p;

void
load_on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct load *l = ctx;
	char outcome = '-';

	if (r->complete && r->outcome[0] != '\0')
		outcome = r->outcome[0];
	l->outcomes[id - l->first] = outcome;
	l->done++;
	if (outcome == 'r' && r->status == 200)
		l->ok++;
	else if (outcome == 'n')
		l->not_run++;
	else if (outcome == 'u')
		l->unknown++;
	else
		l->other++;
	if (outcome != 'r' || r->status != 200)
		snprintf(l->example, sizeof(l->example),
		    "id %" PRIu64 ": %u %s %s %s %.*s", id, r->status,
		    r->outcome, r->error, r->complete ? "" : r->failure,
		    (int)(r->body_bytes < 80 ? r->body_bytes : 80),
		    r->body_bytes > 0 ? (const char *)r->body : "");
}

/* Idempotent requests may run twice; others are looked at by difference. */
int64_t
double_runs(void)
{
	int64_t n = 0;

	for (size_t i = 0; i < PR_HOSTS; i++)
		n += pr_number(p, p->hosts[i].upstream_port, "/control/stats",
		    "double_runs");
	return n;
}

struct load *
load_new(const char *method, const char *path, const struct pr_host *except)
{
	struct load *l = talloc_zero(p, struct load);

	l->request.method = method;
	l->request.path = path;
	l->request.key = p->keys[KEY_MAIN];
	l->except = except;
	l->doubles = double_runs();
	l->first = p->next_id + 1;
	/* Others take ids meanwhile. */
	p->next_id += MAX_SENT;
	return l;
}

/* Sends up to AT_ONCE and works for a moment. */
void
load_step(struct load *l)
{
	while (l->sent - l->done < AT_ONCE && l->sent < MAX_SENT) {
		const struct pr_host *h = &p->hosts[l->sent % PR_HOSTS];

		if (h == l->except)
			h = &p->hosts[(l->sent + 1) % PR_HOSTS];
		l->request.port = h->callers_port;
		pr_send(p, &l->request, l->first + l->sent, load_on_done, l);
		l->sent++;
	}
	fake_fetcher_step(p->fetcher, STEP_MS);
}

void
load_more(struct load *l, uint32_t count)
{
	for (uint32_t until = l->done + count; l->done < until;)
		load_step(l);
}

/* Each request has a time-out of its own. */
void
load_end(struct load *l)
{
	while (l->done < l->sent)
		fake_fetcher_step(p->fetcher, STEP_MS);
}

void
assert_all_served(struct load *l)
{
	if (l->ok != l->sent)
		fail_msg("%u sent, %u served, %u not run, %u unknown, %u "
			 "other; last: %s",
		    l->sent, l->ok, l->not_run, l->unknown, l->other,
		    l->example);
}

/* All answered: served, or refused as not run. */
void
assert_none_cut_off(struct load *l)
{
	if (l->ok + l->not_run != l->sent)
		fail_msg("%u sent, %u served, %u not run, %u unknown, %u "
			 "other; last: %s",
		    l->sent, l->ok, l->not_run, l->unknown, l->other,
		    l->example);
}

int64_t
runs(const struct pr_host *h)
{
	return pr_number(p, h->upstream_port, "/control/stats", "runs");
}

struct pr_answer
ask(const struct pr_host *h, const char *path, enum key key)
{
	struct pr_request r = {
	    .port = h->callers_port, .path = path, .key = p->keys[key]};

	return pr_ask(p, &r);
}

bool
refused_by_all(void *ctx)
{
	struct key_at *k = ctx;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_answer a;

		if (&p->hosts[i] == k->except)
			continue;
		a = ask(&p->hosts[i], "/s/run", k->key);
		if (strcmp(a.error, "key-unknown") != 0)
			return false;
		assert_string_equal(a.outcome, "not-run");
	}
	return true;
}

bool
uptime_reached(void *ctx)
{
	struct moment *m = ctx;

	return pr_number(p, m->host->admin_port, "/state", "uptime_ms") >=
	       m->uptime_ms;
}

/* The moment at which a node will have been up for so much longer. */
struct moment
moment_after(const struct pr_host *h, int64_t us)
{
	struct moment m = {
	    h, pr_number(p, h->admin_port, "/state", "uptime_ms") +
		   us / IR_US_PER_MS};

	return m;
}

int
processes_set_up(void **state)
{
	const struct pr_fleet fleet = {
	    .host_count = PR_HOSTS, .memory_mb = PR_MEMORY_MB};

	p = pr_start(program, &fleet);
	pr_wait_serving(p);
	return 0;
}

/* A failed test leaves its faults to none of the others. */
int
processes_mend(void **state)
{
	pr_faults(p, "{\"down\":false,\"stale\":false,\"lag_ms\":0}");
	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &p->hosts[i];

		if (h->node.pid == 0)
			pr_node_start(p, h, 0);
		else
			pr_signal(&h->node, SIGCONT);
		pr_publish(p, h, "live");
	}
	pr_wait_serving(p);
	return 0;
}

int
processes_tear_down(void **state)
{
	if (p != NULL)
		pr_end(p);
	return 0;
}
