/* Faults, as the seed decides. */
#include <signal.h>

#include "soak/hold.h"

/* For so many hosts; more of them have faults as much more often. */
#define PAUSE_HOSTS 8
#define MIN_PAUSE_US (50 * IR_US_PER_MS)
#define PAUSE_SPAN_MS 350
/* Within a series. */
#define SERIES_PAUSE_SPAN_MS 40
#define MAX_SERIES 6
/* One of so many faults is the end of others. */
#define HEALED 3
#define MIN_BURST_MS 500
#define BURST_SPAN_MS 3500
#define MAX_HELD_AT_ONCE 16
#define STORE_SLOW_MS 400
#define LARGE_ANSWER_BYTES (256 * 1024)
#define LARGE_AT_ONCE 3 /* upstreams */

static void
set_paused(struct soak *s, size_t i, bool paused)
{
	struct pr_host *h = &procs->hosts[i];

	if (h->node.pid == 0)
		return;
	pr_signal(&h->node, paused ? SIGSTOP : SIGCONT);
	s->hosts[i].paused = paused;
}

static void
fault_of_process(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];
	struct pr_host *h = &procs->hosts[i];

	if (h->node.pid == 0) {
		soak_start_node(s, i);
		return;
	}
	switch (soak_below(s, 5) + (i == s->spared ? 2 : 0)) {
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
		set_paused(s, i, !t->paused);
		break;
	}
}

static void
fault_of_link(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];
	bool store = soak_below(s, 2) == 0;
	enum proxy_mode *mode = store ? &t->store : &t->peers;

	t->cut_off_us = ir_clock_now();
	*mode = *mode != PROXY_PASS
		    ? PROXY_PASS
		    : (enum proxy_mode)soak_below(s, PROXY_MODES);
	proxies_mode(s->proxies,
	    store ? soak_store_proxy(i) : soak_peers_proxy(i), *mode);
}

static const char *
own_faults(const struct soak *s)
{
	return talloc_asprintf(procs, "{\"down\":%s,\"stale\":%s,\"lag_ms\":0}",
	    s->store_down ? "true" : "false",
	    s->store_stale ? "true" : "false");
}

/*
 * It is never stale, as nobody asks it for that: it is slow or silent instead.
 * It may come back without its history.
 */
static const char *
platform_faults(struct soak *s)
{
	bool silent = s->store_stale && soak_below(s, 2) == 0;

	return talloc_asprintf(procs,
	    "{\"down\":%s,\"hang\":%s,\"slow_ms\":%d,\"forget\":%s}",
	    s->store_down ? "true" : "false", silent ? "true" : "false",
	    s->store_stale ? STORE_SLOW_MS : 0,
	    soak_below(s, 2) == 0 ? "true" : "false");
}

static void
set_store(struct soak *s)
{
	s->store_bad_us = INT64_MAX / 2;
	pr_set_faults(procs,
	    procs->platform_dialect ? platform_faults(s) : own_faults(s));
	if (!s->store_down && !s->store_stale)
		s->store_bad_us = ir_clock_now();
}

static void
fault_of_store(struct soak *s)
{
	if (s->store_down || s->store_stale) {
		s->store_down = false;
		s->store_stale = false;
	} else if (soak_below(s, 2) == 0) {
		s->store_down = true;
	} else {
		s->store_stale = true;
	}
	set_store(s);
}

static void
publish_change(struct soak *s, size_t i)
{
	uint32_t key = 1 + soak_below(s, PR_KEYS - 1);
	struct trouble *t = &s->hosts[i];

	/* The first key is never withdrawn, the last two late. */
	if (soak_below(s, 6) == 0 && s->withdrawn_us[key] == 0) {
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
	bool large = !s->hosts[i].large_answers;
	char *text = talloc_asprintf(
	    s, "{\"answer_bytes\":%d}", large ? LARGE_ANSWER_BYTES : 0);

	pr_send_control(
	    procs, procs->hosts[i].upstream_port, "POST", "/control", text);
	talloc_free(text);
	s->hosts[i].large_answers = large;
}

/* Others are sent bodies, and two of them do not read. */
static void
send_to_paused(struct soak *s, size_t i, uint32_t count)
{
	for (uint32_t n = 0; n < 2; n++) {
		size_t other = soak_below(s, procs->host_count);

		if (other != i)
			set_paused(s, other, true);
	}
	holds_open(s, i, HOLD_BODIES, count);
}

/* Each other one at the host that keeps what it remembers. */
static void
begin_burst(struct soak *s, size_t i)
{
	s->burst_host = soak_below(s, 2) == 0 ? s->spared : i;
	s->burst_until_us =
	    ir_clock_now() +
	    (MIN_BURST_MS + soak_below(s, BURST_SPAN_MS)) * IR_US_PER_MS;
}

/* What makes a node hold bytes. */
static void
fault_of_memory(struct soak *s, size_t i)
{
	uint32_t count = 1 + soak_below(s, MAX_HELD_AT_ONCE);

	switch (soak_below(s, 5)) {
	case 0:
		holds_open(s, i, HOLD_UNREAD, count);
		break;
	case 1:
		holds_open(s, i, HOLD_SLOW_BODY, count);
		break;
	case 2:
		for (size_t n = 0; n < LARGE_AT_ONCE; n++)
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
fault_at(struct soak *s, size_t i)
{
	uint32_t kind = soak_below(s, 19);

	if (kind < 5)
		fault_of_process(s, i);
	else if (kind < 9)
		fault_of_link(s, i);
	else if (kind < 10)
		fault_of_store(s);
	else if (kind < 12)
		publish_change(s, i);
	else
		fault_of_memory(s, i);
}

static void
mend_links(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];

	proxies_mode(s->proxies, soak_peers_proxy(i), PROXY_PASS);
	proxies_mode(s->proxies, soak_store_proxy(i), PROXY_PASS);
	if (t->peers != PROXY_PASS || t->store != PROXY_PASS)
		t->cut_off_us = ir_clock_now();
	t->peers = PROXY_PASS;
	t->store = PROXY_PASS;
}

/*
 * What is wrong with the store and a host ends: else half of all hosts would
 * be gone at any time of a long run.
 */
static void
heal(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];
	struct pr_host *h = &procs->hosts[i];

	if (s->store_down || s->store_stale)
		fault_of_store(s);
	mend_links(s, i);
	if (t->paused)
		set_paused(s, i, false);
	if (t->large_answers)
		toggle_large_answers(s, i);
	t->leaving = false;
	if (h->node.pid == 0)
		soak_start_node(s, i);
	else
		pr_publish(procs, h, "live");
}

/* Signals, restarts and changes at one host, one upon the other. */
static void
fault_of_series(struct soak *s)
{
	s->series_left--;
	if (soak_below(s, 3) == 0)
		publish_change(s, s->series_host);
	else
		fault_of_process(s, s->series_host);
}

void
soak_next_fault(struct soak *s)
{
	s->faults++;
	if (s->series_left > 0) {
		fault_of_series(s);
	} else if (soak_below(s, 8) == 0) {
		s->series_host = soak_below(s, procs->host_count);
		s->series_left = 2 + soak_below(s, MAX_SERIES - 1);
	} else if (soak_below(s, HEALED) == 0) {
		heal(s, soak_below(s, procs->host_count));
	} else {
		fault_at(s, soak_below(s, procs->host_count));
	}
}

int64_t
soak_fault_pause(struct soak *s)
{
	int64_t pause_us;

	if (s->series_left > 0)
		return soak_below(s, SERIES_PAUSE_SPAN_MS) * IR_US_PER_MS;
	pause_us = MIN_PAUSE_US + soak_below(s, PAUSE_SPAN_MS) * IR_US_PER_MS;
	return pause_us * PAUSE_HOSTS / procs->host_count;
}

static void
mend_host(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];
	struct pr_host *h = &procs->hosts[i];
	int status;

	if (t->paused)
		set_paused(s, i, false);
	/* One that was told to stop goes in its own time. */
	while (t->expected_end && h->node.pid != 0 &&
	       !pr_reap(&h->node, &status)) {
		soak_load_step(s);
		holds_step(s);
		soak_watch_memory(s);
	}
	heal(s, i);
}

void
soak_mend(struct soak *s)
{
	s->store_down = false;
	s->store_stale = false;
	set_store(s);
	for (size_t i = 0; i < procs->host_count; i++)
		mend_host(s, i);
}
