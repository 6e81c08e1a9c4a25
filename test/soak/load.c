/* Requests that are kept coming, and what became of them. */
#include <curl/curl.h>
#include <inttypes.h>
#include <string.h>

#include "soak/soak.h"

/* Open requests at a host: a paused one must not hold up the others. */
#define AT_ONCE_EACH 6
#define AT_ONCE_BURST 96
/* A refused caller waits so long before it sends there again. */
#define REFUSED_PAUSE_US (20 * IR_US_PER_MS)
/* One of so many is sent with a key that was withdrawn. */
#define SENT_WITHDRAWN 8
/* One of so many is sent though nobody listens there. */
#define SENT_IN_VAIN 64
/* A withdrawn key: the bound for a change to be in force everywhere. */
#define KEY_BOUND_US (6 * IR_US_PER_S)
/* Requests that are not idempotent: each is asked for at all upstreams. */
#define MAX_LOOK_UPS 4800

/* Where a host serves on when it is cut off, it cannot learn of it. */
static bool
was_cut_off(const struct soak *s, const struct sent *q, int64_t since)
{
	const struct trouble *t = &s->hosts[q->host];

	if (!procs->platform_dialect)
		return false;
	return t->peers != PROXY_PASS || t->store != PROXY_PASS || t->paused ||
	       t->cut_off_us + KEY_BOUND_US > since;
}

static void
check_key(struct soak *s, const struct sent *q, uint64_t id)
{
	int64_t since = s->withdrawn_us[q->key];

	if (since == 0 || q->outcome != 'r' ||
	    q->sent_us < since + KEY_BOUND_US)
		return;
	/* In an outage of the store nobody can learn of it. */
	if (s->store_bad_us + KEY_BOUND_US > since || was_cut_off(s, q, since))
		return;
	soak_note_broken(s,
	    "request %" PRIu64 " ran %" PRId64 " ms after its key "
	    "was withdrawn",
	    id, (q->sent_us - since) / IR_US_PER_MS);
}

/* The connection was made, and ended before an answer or within it. */
static bool
was_closed(const struct fake_fetch_result *r)
{
	return !r->whole &&
	       strcmp(r->failure, curl_easy_strerror(CURLE_COULDNT_CONNECT)) !=
		   0 &&
	       strcmp(r->failure,
		   curl_easy_strerror(CURLE_OPERATION_TIMEDOUT)) != 0;
}

/* Statuses of the platform that promise it, whatever else is said. */
static bool
promises_not_run(uint32_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct soak *s = ctx;
	struct sent *q = &s->sent[id - s->first];
	char *own = pr_test_id(s, id);

	s->done++;
	s->hosts[q->host].open--;
	q->status = (uint16_t)r->status;
	q->outcome = r->whole && r->outcome[0] != '\0' ? r->outcome[0] : '-';
	if (procs->platform_dialect && promises_not_run(r->status))
		q->outcome = 'n';
	s->ok += q->outcome == 'r' && r->status == 200;
	s->not_run += q->outcome == 'n';
	s->unknown += q->outcome == 'u';
	s->none += q->outcome == '-';
	if (q->outcome != 'r')
		s->hosts[q->host].send_us = ir_clock_now() + REFUSED_PAUSE_US;
	if (q->outcome == 'r' && r->status == 200 &&
	    memmem(r->body, r->body_bytes, own, strlen(own)) == NULL)
		soak_note_broken(
		    s, "request %" PRIu64 " got another's answer", id);
	if (was_closed(r))
		soak_note_cut(s, q->host, q->starts, id);
	check_key(s, q, id);
	talloc_free(own);
}

static void
send_one(struct soak *s, size_t i, bool burst)
{
	struct sent *q = &s->sent[s->count];
	struct pr_request r = {
	    .port = procs->hosts[i].callers_port, .path = "/s/run"};

	q->host = (uint16_t)i;
	q->starts = s->hosts[i].starts;
	/* Each other one without a rate, whose tokens may be out of reach. */
	q->key = KEY_MAIN;
	if (soak_below(s, 2) == 0)
		q->key = (uint8_t)soak_below(s, PR_KEYS);
	if (s->withdrawn_us[q->key] != 0 && soak_below(s, SENT_WITHDRAWN) != 0)
		q->key = KEY_MAIN;
	q->charge = soak_below(s, 3) == 0;
	if (burst)
		r.path =
		    procs->hosts[i].service[0] == 't' ? "/t/run" : "/s/run";
	if (q->charge) {
		r.method = "POST";
		r.path = "/s/charge";
	}
	r.key = procs->keys[q->key];
	q->sent_us = ir_clock_now();
	pr_send(procs, &r, s->first + s->count, on_done, s);
	s->hosts[i].open++;
	s->count++;
}

static void
send_to(struct soak *s, size_t i, bool burst)
{
	uint32_t at_once = burst ? AT_ONCE_BURST : AT_ONCE_EACH;

	if (procs->hosts[i].node.pid == 0 && soak_below(s, SENT_IN_VAIN) != 0)
		return;
	if (ir_clock_now() < s->hosts[i].send_us)
		return;
	while (s->hosts[i].open < at_once && s->count < SOAK_MAX_REQUESTS)
		send_one(s, i, burst);
}

void
soak_load_begin(struct soak *s)
{
	s->first = procs->next_id + 1;
	procs->next_id += SOAK_MAX_REQUESTS;
}

void
soak_load_step(struct soak *s)
{
	bool burst = ir_clock_now() < s->burst_until_us;

	for (size_t i = 0; i < procs->host_count; i++)
		send_to(s, i, burst && i == s->burst_host);
	fake_fetcher_step(procs->fetcher, SOAK_STEP_MS);
}

void
soak_load_end(struct soak *s)
{
	while (s->done < s->count)
		fake_fetcher_step(procs->fetcher, SOAK_STEP_MS);
}

static void
look_up(struct soak *s, uint64_t id, char outcome)
{
	const char *text = pr_test_id(procs, id);
	uint32_t times;

	if (outcome == 'n' && pr_count_runs(procs, text, NULL) > 0)
		soak_note_broken(
		    s, "request %" PRIu64 " ran, and was told not run", id);
	/* What it calls on is idempotent, and may run again. */
	times = pr_count_runs(procs, text, "s");
	if (times > 1)
		soak_note_broken(
		    s, "request %" PRIu64 " ran %u times", id, times);
}

void
soak_look_up_runs(struct soak *s)
{
	uint32_t looked_up = 0, most = MAX_LOOK_UPS / procs->host_count;

	for (uint32_t i = 0; i < s->count && looked_up < most; i++) {
		const struct sent *q = &s->sent[i];

		/* Those served as they should be matter least: some of them. */
		if (!q->charge || (q->outcome == 'r' && i % 16 != 0))
			continue;
		looked_up++;
		look_up(s, s->first + i, q->outcome);
	}
}

/* A node that lives owes an answer to what it has passed on. */
void
soak_look_up_cut(struct soak *s)
{
	for (uint32_t i = 0; i < s->cut_count; i++) {
		const struct cut *c = &s->cut[i];

		if (pr_count_seen(procs, pr_test_id(procs, c->id)) > 0)
			soak_note_broken(s,
			    "request %" PRIu64 " was passed on by %s, which "
			    "lives and closed without an answer",
			    c->id, procs->hosts[c->host].name);
	}
}
