/* Injects faults, chosen by the seed. */
#include <signal.h>

#include "soak/slow_client.h"

/*
 * Delays between faults are for 8 hosts. With more, faults come proportionally
 * more often, so that the number of faults per host stays the same.
 */
#define DELAY_HOSTS 8
#define MIN_DELAY_US (50 * IR_US_PER_MS)
#define DELAY_SPAN_MS 350
/* Delay within a series. */
#define SERIES_DELAY_SPAN_MS 40
#define MAX_SERIES 6
/* One in this many steps repairs a host instead. */
#define ONE_IN_REPAIRS 3
#define MIN_BURST_MS 500
#define BURST_SPAN_MS 3500
#define MAX_SLOW_CLIENTS 16
#define STORE_SLOW_MS 400
#define MIN_RESTORE_MS 500
#define RESTORE_SPAN_MS 8000
/* Longest pause of a writer before it repeats what a restore lost. */
#define REWRITE_PAUSE_US (2 * IR_US_PER_S)
#define MAX_OTHER_WRITES 200
#define ONE_IN_RESTORES 16 /* of the steps, if they are to be frequent */
#define LARGE_ANSWER_BYTES (256 * 1024)
#define LARGE_ANSWER_HOSTS 3 /* changed at a time */

static void
set_paused(struct soak *s, size_t i, bool paused)
{
	struct pr_host *h = &procs->hosts[i];

	if (h->node.pid == 0)
		return;
	pr_signal(&h->node, paused ? SIGSTOP : SIGCONT);
	s->hosts[i].stopping_number = 0;
	s->hosts[i].paused = paused;
}

static void
process_fault(struct soak *s, size_t i)
{
	struct host_state *t = &s->hosts[i];
	struct pr_host *h = &procs->hosts[i];

	if (h->node.pid == 0) {
		soak_start_node(s, i);
		return;
	}
	switch (soak_random_below(s, 5) + (i == s->never_stopped ? 2 : 0)) {
	case 0:
		t->end_expected = true;
		t->stopping_number = 0;
		pr_signal(&h->node, SIGKILL);
		t->paused = false;
		break;
	case 1:
		if (!t->end_expected && !t->paused)
			t->stopping_number = t->start_number;
		t->end_expected = true;
		pr_signal(&h->node, SIGTERM);
		break;
	case 2:
		pr_signal(&h->node, SIGHUP);
		break;
	default:
		set_paused(s, i, !t->paused);
		break;
	}
}

static void
link_fault(struct soak *s, size_t i)
{
	struct host_state *t = &s->hosts[i];
	bool store = soak_random_below(s, 2) == 0;
	enum proxy_mode *mode = store ? &t->store_link : &t->peer_link;

	t->link_fault_us = ir_clock_now();
	*mode = *mode != PROXY_PASS
		    ? PROXY_PASS
		    : (enum proxy_mode)soak_random_below(s, PROXY_MODES);
	proxies_set_mode(s->proxies,
	    store ? soak_store_proxy(i) : soak_peers_proxy(i), *mode);
}

static const char *
own_store_faults(const struct soak *s)
{
	return talloc_asprintf(procs, "{\"down\":%s,\"stale\":%s,\"lag_ms\":0}",
	    s->store_down ? "true" : "false",
	    s->store_stale ? "true" : "false");
}

/*
 * The platform's store has no stale fault: here it is slow, or gives no answer,
 * instead. It may also lose its history.
 */
static const char *
platform_store_faults(struct soak *s)
{
	bool silent = s->store_stale && soak_random_below(s, 2) == 0;

	return talloc_asprintf(procs,
	    "{\"down\":%s,\"hang\":%s,\"slow_ms\":%d,\"forget\":%s}",
	    s->store_down ? "true" : "false", silent ? "true" : "false",
	    s->store_stale ? STORE_SLOW_MS : 0,
	    soak_random_below(s, 2) == 0 ? "true" : "false");
}

/*
 * The store comes back from an older copy. In half of all cases its revisions
 * have passed those that nodes have read before they ask again.
 */
static void
restore_store(struct soak *s)
{
	/* All was published before the load began. */
	int64_t load_ms = (ir_clock_now() - s->load_start_us) / IR_US_PER_MS;
	uint32_t age_ms =
	    MIN_RESTORE_MS + soak_random_below(s, RESTORE_SPAN_MS);
	uint32_t other_writes = soak_random_below(s, 2) == 0
				    ? 0
				    : soak_random_below(s, MAX_OTHER_WRITES);
	int64_t now = ir_clock_now();

	if (age_ms > load_ms)
		age_ms = (uint32_t)load_ms;
	s->restore_count++;
	pr_set_faults(procs,
	    talloc_asprintf(procs, "{\"restore_ms\":%u,\"other_writes\":%u}",
		age_ms, other_writes));
	/* A withdrawal that was lost counts from when it is repeated. */
	for (size_t k = 0; k < PR_KEYS; k++) {
		if (s->withdrawn_us[k] > now - age_ms * IR_US_PER_MS)
			s->withdrawn_us[k] = now + REWRITE_PAUSE_US;
	}
}

static void
apply_store_faults(struct soak *s)
{
	s->store_fault_end_us = INT64_MAX / 2;
	pr_set_faults(procs, procs->platform_dialect ? platform_store_faults(s)
						     : own_store_faults(s));
	if (!s->store_down && !s->store_stale)
		s->store_fault_end_us = ir_clock_now();
}

static void
store_fault(struct soak *s)
{
	if (s->store_down || s->store_stale) {
		if (s->store_down && soak_random_below(s, 2) == 0)
			restore_store(s);
		s->store_down = false;
		s->store_stale = false;
	} else if (soak_random_below(s, 2) == 0) {
		s->store_down = true;
	} else {
		s->store_stale = true;
	}
	apply_store_faults(s);
}

static void
publish_change(struct soak *s, size_t i)
{
	uint32_t key = 1 + soak_random_below(s, PR_KEYS - 1);
	struct host_state *t = &s->hosts[i];

	/* The first key is never withdrawn. */
	if (soak_random_below(s, 6) == 0 && s->withdrawn_us[key] == 0) {
		pr_withdraw_key(procs, key);
		s->withdrawn_us[key] = ir_clock_now();
		return;
	}
	t->leaving = !t->leaving;
	if (procs->hosts[i].node.pid != 0)
		pr_publish(
		    procs, &procs->hosts[i], t->leaving ? "leaving" : "live");
}

static void
toggle_large_answers(struct soak *s, size_t i)
{
	bool large = !s->hosts[i].has_large_answers;
	char *text = talloc_asprintf(
	    s, "{\"answer_bytes\":%d}", large ? LARGE_ANSWER_BYTES : 0);

	pr_send_control(
	    procs, procs->hosts[i].upstream_port, "POST", "/control", text);
	talloc_free(text);
	s->hosts[i].has_large_answers = large;
}

/*
 * Sends bodies to a host while up to two others are paused, so that nodes
 * buffer what those do not read.
 */
static void
send_to_paused(struct soak *s, size_t i, uint32_t count)
{
	for (uint32_t n = 0; n < 2; n++) {
		size_t other = soak_random_below(s, procs->host_count);

		if (other != i)
			set_paused(s, other, true);
	}
	slow_clients_open(s, i, SLOW_CLIENT_BODIES, count);
}

/* Every other burst is at the host whose node is never stopped. */
static void
begin_burst(struct soak *s, size_t i)
{
	s->burst_host = soak_random_below(s, 2) == 0 ? s->never_stopped : i;
	s->burst_until_us =
	    ir_clock_now() +
	    (MIN_BURST_MS + soak_random_below(s, BURST_SPAN_MS)) * IR_US_PER_MS;
}

/* Makes nodes buffer bytes. */
static void
memory_fault(struct soak *s, size_t i)
{
	uint32_t count = 1 + soak_random_below(s, MAX_SLOW_CLIENTS);

	switch (soak_random_below(s, 5)) {
	case 0:
		slow_clients_open(s, i, SLOW_CLIENT_UNREAD, count);
		break;
	case 1:
		slow_clients_open(s, i, SLOW_CLIENT_SLOW_BODY, count);
		break;
	case 2:
		for (size_t n = 0; n < LARGE_ANSWER_HOSTS; n++)
			toggle_large_answers(s, (i + n) % procs->host_count);
		break;
	case 3:
		begin_burst(s, i);
		break;
	default:
		send_to_paused(s, i, count);
		break;
	}
}

static void
host_fault(struct soak *s, size_t i)
{
	uint32_t kind = soak_random_below(s, 19);

	if (kind < 5)
		process_fault(s, i);
	else if (kind < 9)
		link_fault(s, i);
	else if (kind < 10)
		store_fault(s);
	else if (kind < 12)
		publish_change(s, i);
	else
		memory_fault(s, i);
}

static void
repair_links(struct soak *s, size_t i)
{
	struct host_state *t = &s->hosts[i];

	proxies_set_mode(s->proxies, soak_peers_proxy(i), PROXY_PASS);
	proxies_set_mode(s->proxies, soak_store_proxy(i), PROXY_PASS);
	if (t->peer_link != PROXY_PASS || t->store_link != PROXY_PASS)
		t->link_fault_us = ir_clock_now();
	t->peer_link = PROXY_PASS;
	t->store_link = PROXY_PASS;
}

/*
 * Ends the faults of the store and of a host. Without this, half of all hosts
 * would be down at any time of a long run.
 */
static void
repair_host(struct soak *s, size_t i)
{
	struct host_state *t = &s->hosts[i];
	struct pr_host *h = &procs->hosts[i];

	if (s->store_down || s->store_stale)
		store_fault(s);
	repair_links(s, i);
	if (t->paused)
		set_paused(s, i, false);
	if (t->has_large_answers)
		toggle_large_answers(s, i);
	t->leaving = false;
	if (h->node.pid == 0)
		soak_start_node(s, i);
	else
		pr_publish(procs, h, "live");
}

/* A series: signals, restarts and changes at one host in quick succession. */
static void
series_fault(struct soak *s)
{
	s->series_left--;
	if (soak_random_below(s, 3) == 0)
		publish_change(s, s->series_host);
	else
		process_fault(s, s->series_host);
}

void
soak_next_fault(struct soak *s)
{
	s->fault_count++;
	if (s->often_restored && soak_random_below(s, ONE_IN_RESTORES) == 0)
		restore_store(s);
	if (s->series_left > 0) {
		series_fault(s);
	} else if (soak_random_below(s, 8) == 0) {
		s->series_host = soak_random_below(s, procs->host_count);
		s->series_left = 2 + soak_random_below(s, MAX_SERIES - 1);
	} else if (soak_random_below(s, ONE_IN_REPAIRS) == 0) {
		repair_host(s, soak_random_below(s, procs->host_count));
	} else {
		host_fault(s, soak_random_below(s, procs->host_count));
	}
}

int64_t
soak_next_fault_delay_us(struct soak *s)
{
	int64_t delay_us;

	if (s->series_left > 0)
		return soak_random_below(s, SERIES_DELAY_SPAN_MS) *
		       IR_US_PER_MS;
	delay_us =
	    MIN_DELAY_US + soak_random_below(s, DELAY_SPAN_MS) * IR_US_PER_MS;
	return delay_us * DELAY_HOSTS / procs->host_count;
}

static void
end_host_faults(struct soak *s, size_t i)
{
	struct host_state *t = &s->hosts[i];
	struct pr_host *h = &procs->hosts[i];
	int status;

	if (t->paused)
		set_paused(s, i, false);
	/* Wait for a terminated node; it drains first. */
	while (t->end_expected && h->node.pid != 0 &&
	       !pr_reap(&h->node, &status)) {
		soak_load_step(s);
		slow_clients_step(s);
		soak_check_memory(s);
	}
	repair_host(s, i);
}

void
soak_end_faults(struct soak *s)
{
	s->store_down = false;
	s->store_stale = false;
	apply_store_faults(s);
	for (size_t i = 0; i < procs->host_count; i++)
		end_host_faults(s, i);
}
