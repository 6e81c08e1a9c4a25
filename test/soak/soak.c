/*
 * A soak: real processes under load, with faults from outside that a seed
 * decides, and promises that are checked from what callers and upstreams see.
 *
 * usage: soak SEED SECONDS
 *
 * Faults come in series and overlap: nodes are killed, stopped, paused and
 * told to read their settings; links between nodes and to the store are
 * delayed, silenced, cut one way or reset by proxies; the store is down, slow
 * or stale; hosts leave and return; keys are withdrawn. Callers use their
 * connections until a process is gone.
 *
 * Checked: no request that is not idempotent runs twice, or runs though its
 * answer said not run; an answer is that of its request; no withdrawn key is
 * served after its bound; no process ends by itself; all serve again once the
 * faults are over. Exit code 0 when all held.
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

#include "core/random.h"
#include "ibisrail/limits.h"
#include "io/clock.h"
#include "soak/proxy.h"
#include "support/process_load.h"

#define MAX_REQUESTS 60000
#define AT_ONCE_SENT 12
#define STEP_MS 5
#define MIN_PAUSE_US (50 * IR_US_PER_MS)
#define PAUSE_SPAN_MS 350
/* A withdrawn key: the bound for a change to be in force everywhere. */
#define KEY_BOUND_US (6 * IR_US_PER_S)
/* Requests that are not idempotent and whose upstreams are looked up. */
#define MAX_LOOKED_UP 400

/* What is wrong with a host just now. */
struct trouble {
	bool paused;
	bool expected_end; /* killed or told to stop */
	bool leaving;
	enum proxy_mode peers;
	enum proxy_mode store;
};

struct sent {
	bool charge; /* not idempotent */
	uint8_t key;
	char outcome; /* as in load: n, r, u, or - */
	uint16_t status;
	int64_t sent_us;
};

struct soak {
	uint64_t seed;
	uint64_t random;
	struct proxies *proxies;
	struct trouble hosts[PR_HOSTS];
	bool store_down;
	bool store_stale;
	int64_t store_bad_us; /* until when it was last down or stale */
	int64_t withdrawn_us[PR_KEYS];
	struct sent *sent;
	uint64_t first;
	uint32_t count;
	uint32_t done;
	uint32_t ok;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t none;
	uint32_t faults;
	char broken[512]; /* the first promise that was */
};

/* Of host i: its peers' proxy, then its store's. */
static uint32_t
peers_proxy(size_t i)
{
	return (uint32_t)(2 * i);
}

static uint32_t
store_proxy(size_t i)
{
	return (uint32_t)(2 * i + 1);
}

__attribute__((format(printf, 2, 3))) static void
note_broken(struct soak *s, const char *fmt, ...)
{
	va_list args;

	if (s->broken[0] != '\0')
		return;
	va_start(args, fmt);
	vsnprintf(s->broken, sizeof(s->broken), fmt, args);
	va_end(args);
}

static uint32_t
below(struct soak *s, uint32_t n)
{
	return ir_random_below(&s->random, n);
}

static void
check_key(struct soak *s, const struct sent *q, uint64_t id)
{
	int64_t since = s->withdrawn_us[q->key];

	if (since == 0 || q->outcome != 'r' ||
	    q->sent_us < since + KEY_BOUND_US)
		return;
	/* In an outage of the store nobody can learn of it. */
	if (s->store_bad_us + KEY_BOUND_US > since)
		return;
	note_broken(s,
	    "request %" PRIu64 " ran %" PRId64 " ms after its key "
	    "was withdrawn",
	    id, (q->sent_us - since) / IR_US_PER_MS);
}

static void
on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct soak *s = ctx;
	struct sent *q = &s->sent[id - s->first];
	const char *own = pr_test_id(p, id);

	s->done++;
	q->status = (uint16_t)r->status;
	q->outcome = r->whole && r->outcome[0] != '\0' ? r->outcome[0] : '-';
	s->ok += q->outcome == 'r' && r->status == 200;
	s->not_run += q->outcome == 'n';
	s->unknown += q->outcome == 'u';
	s->none += q->outcome == '-';
	if (q->outcome == 'r' && r->status == 200 &&
	    memmem(r->body, r->body_bytes, own, strlen(own)) == NULL)
		note_broken(s, "request %" PRIu64 " got another's answer", id);
	check_key(s, q, id);
}

static void
send_one(struct soak *s)
{
	const struct pr_host *h = &p->hosts[below(s, PR_HOSTS)];
	struct sent *q = &s->sent[s->count];
	struct pr_request r = {.port = h->callers_port, .path = "/s/run"};

	q->key = (uint8_t)below(s, PR_KEYS);
	q->charge = below(s, 3) == 0;
	if (q->charge) {
		r.method = "POST";
		r.path = "/s/charge";
	}
	r.key = p->keys[q->key];
	q->sent_us = ir_clock_now();
	pr_send(p, &r, s->first + s->count, on_done, s);
	s->count++;
}

static void
step_load(struct soak *s)
{
	while (s->count - s->done < AT_ONCE_SENT && s->count < MAX_REQUESTS)
		send_one(s);
	fake_fetcher_step(p->fetcher, STEP_MS);
}

/* The port behind the proxy is another after a start. */
static void
start_node(struct soak *s, size_t i)
{
	struct pr_host *h = &p->hosts[i];

	pr_node_start(p, h, 0);
	proxies_target(s->proxies, peers_proxy(i), h->peers_port);
	s->hosts[i].expected_end = false;
	pr_publish(p, h, s->hosts[i].leaving ? "leaving" : "live");
}

static void
look_for_ends(struct soak *s)
{
	for (size_t i = 0; i < PR_HOSTS; i++) {
		int status;

		if (!pr_ended(&p->hosts[i].node, &status))
			continue;
		if (!s->hosts[i].expected_end)
			note_broken(s, "%s ended by itself, status %d",
			    p->hosts[i].name, status);
	}
}

static void
fault_of_process(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];
	struct pr_host *h = &p->hosts[i];

	if (h->node.pid == 0) {
		start_node(s, i);
		return;
	}
	switch (below(s, 5)) {
	case 0:
		t->expected_end = true;
		pr_signal(&h->node, SIGKILL);
		t->paused = false;
		break;
	case 1:
		t->expected_end = true;
		pr_signal(&h->node, SIGTERM);
		break;
	case 2:
		pr_signal(&h->node, SIGHUP);
		break;
	default:
		pr_signal(&h->node, t->paused ? SIGCONT : SIGSTOP);
		t->paused = !t->paused;
		break;
	}
}

static void
fault_of_link(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];
	bool store = below(s, 2) == 0;
	enum proxy_mode *mode = store ? &t->store : &t->peers;

	*mode = *mode != PROXY_PASS ? PROXY_PASS
				    : (enum proxy_mode)below(s, PROXY_MODES);
	proxies_mode(
	    s->proxies, store ? store_proxy(i) : peers_proxy(i), *mode);
}

static void
set_store(struct soak *s)
{
	s->store_bad_us = INT64_MAX / 2;
	pr_faults(
	    p, talloc_asprintf(p, "{\"down\":%s,\"stale\":%s,\"lag_ms\":0}",
		   s->store_down ? "true" : "false",
		   s->store_stale ? "true" : "false"));
	if (!s->store_down && !s->store_stale)
		s->store_bad_us = ir_clock_now();
}

static void
fault_of_store(struct soak *s)
{
	if (s->store_down || s->store_stale) {
		s->store_down = false;
		s->store_stale = false;
	} else if (below(s, 2) == 0) {
		s->store_down = true;
	} else {
		s->store_stale = true;
	}
	set_store(s);
}

static void
publish_change(struct soak *s, size_t i)
{
	uint32_t key = 1 + below(s, PR_KEYS - 1);
	struct trouble *t = &s->hosts[i];

	/* The first key is never withdrawn, the last two late. */
	if (below(s, 6) == 0 && s->withdrawn_us[key] == 0) {
		pr_withdraw(p, key);
		s->withdrawn_us[key] = ir_clock_now();
		return;
	}
	t->leaving = !t->leaving;
	if (p->hosts[i].node.pid != 0)
		pr_publish(p, &p->hosts[i], t->leaving ? "leaving" : "live");
}

static void
next_fault(struct soak *s)
{
	size_t i = below(s, PR_HOSTS);
	uint32_t kind = below(s, 12);

	s->faults++;
	if (kind < 5)
		fault_of_process(s, i);
	else if (kind < 9)
		fault_of_link(s, i);
	else if (kind < 10)
		fault_of_store(s);
	else
		publish_change(s, i);
}

/* All faults end; nodes that are down are started. */
static void
mend(struct soak *s)
{
	s->store_down = false;
	s->store_stale = false;
	set_store(s);
	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct trouble *t = &s->hosts[i];
		struct pr_host *h = &p->hosts[i];
		int status;

		proxies_mode(s->proxies, peers_proxy(i), PROXY_PASS);
		proxies_mode(s->proxies, store_proxy(i), PROXY_PASS);
		if (t->paused)
			pr_signal(&h->node, SIGCONT);
		t->paused = false;
		/* One that was told to stop goes in its own time. */
		while (t->expected_end && h->node.pid != 0 &&
		       !pr_ended(&h->node, &status))
			step_load(s);
		t->leaving = false;
		if (h->node.pid == 0)
			start_node(s, i);
		else
			pr_publish(p, h, "live");
	}
}

static void
look_up_runs(struct soak *s)
{
	uint32_t looked_up = 0;

	for (uint32_t i = 0; i < s->count && looked_up < MAX_LOOKED_UP; i++) {
		const struct sent *q = &s->sent[i];
		uint32_t seen;

		/* Those served as they should be matter least: some of them. */
		if (!q->charge || (q->outcome == 'r' && i % 16 != 0))
			continue;
		looked_up++;
		seen = pr_seen(p, pr_test_id(p, s->first + i));
		if (q->outcome == 'n' && seen > 0)
			note_broken(s,
			    "request %" PRIu64 " ran, and was told not run",
			    s->first + i);
		/* An s upstream and the t upstream that it calls. */
		if (seen > 2)
			note_broken(s, "request %" PRIu64 " was seen by %u",
			    s->first + i, seen);
	}
}

static void
set_up_proxies(struct soak *s)
{
	s->proxies = proxies_start(s);
	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &p->hosts[i];

		h->shown_peers_port = proxies_add(s->proxies);
		proxies_target(s->proxies, peers_proxy(i), h->peers_port);
		proxies_add(s->proxies);
		proxies_target(s->proxies, store_proxy(i), p->platform_port);
		pr_publish(p, h, "live");
	}
}

/* Their settings name the store's proxies from the next start on. */
static void
restart_behind_proxies(struct soak *s)
{
	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &p->hosts[i];
		int status;

		h->platform_port = proxies_port(s->proxies, store_proxy(i));
		pr_signal(&h->node, SIGKILL);
		while (!pr_ended(&h->node, &status))
			fake_fetcher_step(p->fetcher, STEP_MS);
		start_node(s, i);
	}
	pr_wait_serving(p);
}

static void
run(struct soak *s, int64_t seconds)
{
	int64_t end = ir_clock_now() + seconds * IR_US_PER_S;
	int64_t next = ir_clock_now();

	s->first = p->next_id + 1;
	p->next_id += MAX_REQUESTS;
	while (ir_clock_now() < end && s->broken[0] == '\0') {
		if (ir_clock_now() >= next) {
			next_fault(s);
			next = ir_clock_now() + MIN_PAUSE_US +
			       below(s, PAUSE_SPAN_MS) * IR_US_PER_MS;
		}
		step_load(s);
		look_for_ends(s);
	}
	mend(s);
	while (s->done < s->count)
		fake_fetcher_step(p->fetcher, STEP_MS);
	look_up_runs(s);
	pr_wait_serving(p);
	look_for_ends(s);
}

static uint64_t seed;
static int64_t seconds;

static void
test_promises_hold(void **state)
{
	struct soak *s = talloc_zero(NULL, struct soak);

	s->seed = seed;
	s->random = seed;
	s->sent = talloc_zero_array(s, struct sent, MAX_REQUESTS);
	set_up_proxies(s);
	restart_behind_proxies(s);
	run(s, seconds);
	proxies_stop(s->proxies);
	printf("seed %" PRIu64 ": %u faults, %u requests: %u served, %u not "
	       "run, %u unknown, %u without answer; %s\n",
	    seed, s->faults, s->count, s->ok, s->not_run, s->unknown, s->none,
	    s->broken[0] != '\0' ? s->broken : "all promises held");
	if (s->broken[0] != '\0')
		fail_msg("%s", s->broken);
	talloc_free(s);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_promises_hold),
	};

	if (argc != 3) {
		fprintf(stderr, "usage: %s SEED SECONDS\n", argv[0]);
		return 2;
	}
	program = argv[0];
	seed = strtoull(argv[1], NULL, 10);
	seconds = strtoll(argv[2], NULL, 10);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(
	    tests, processes_set_up, processes_tear_down);
}
