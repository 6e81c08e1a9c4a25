/* Constant load of requests, and checks of their outcomes. */
#include <curl/curl.h>
#include <inttypes.h>
#include <string.h>

#include "soak/soak.h"

/* Requests in flight per host: a paused host must not block the others. */
#define MAX_OPEN 6
#define MAX_OPEN_BURST 96
/* Delay of the next request to a host that did not serve the last one. */
#define REFUSED_DELAY_US (20 * IR_US_PER_MS)
/* Of the requests that draw a withdrawn key, one in this many uses it. */
#define ONE_IN_WITHDRAWN_KEYS 8
/* Of the requests to a host whose node is down, one in this many is sent. */
#define ONE_IN_TO_STOPPED 64
/* Longest time until a key's withdrawal is in force at all nodes. */
#define KEY_WITHDRAWAL_LIMIT_US (6 * IR_US_PER_S)
/* Limits the checks of non-idempotent requests: each queries every upstream. */
#define MAX_CHECKS 4800

/*
 * In the platform's dialect, a host that is cut off keeps serving and cannot
 * learn of a withdrawal: whether that may be the case here.
 */
static bool
was_isolated(
    const struct soak *s, const struct sent_request *q, int64_t withdrawn_us)
{
	const struct host_state *t = &s->hosts[q->host];

	if (!procs->platform_dialect)
		return false;
	return t->peer_link != PROXY_PASS || t->store_link != PROXY_PASS ||
	       t->paused ||
	       t->link_fault_us + KEY_WITHDRAWAL_LIMIT_US > withdrawn_us;
}

static void
check_key(struct soak *s, const struct sent_request *q, uint64_t id)
{
	int64_t withdrawn_us = s->withdrawn_us[q->key];

	if (withdrawn_us == 0 || q->outcome != 'r' ||
	    q->sent_us < withdrawn_us + KEY_WITHDRAWAL_LIMIT_US)
		return;
	/* During an outage of the store no node can learn of it. */
	if (s->store_fault_end_us + KEY_WITHDRAWAL_LIMIT_US > withdrawn_us ||
	    was_isolated(s, q, withdrawn_us))
		return;
	soak_note_failure(s,
	    "request %" PRIu64 " ran %" PRId64 " ms after its key "
	    "was withdrawn",
	    id, (q->sent_us - withdrawn_us) / IR_US_PER_MS);
}

/* Whether a connection was made and closed before the end of the answer. */
static bool
was_closed(const struct fake_fetch_result *r)
{
	return !r->complete &&
	       strcmp(r->failure, curl_easy_strerror(CURLE_COULDNT_CONNECT)) !=
		   0 &&
	       strcmp(r->failure,
		   curl_easy_strerror(CURLE_OPERATION_TIMEDOUT)) != 0;
}

/* Statuses by which the platform guarantees that a request did not run. */
static bool
guarantees_not_run(uint32_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct soak *s = ctx;
	struct sent_request *q = &s->sent[id - s->first_id];
	char *own = pr_test_id(s, id);

	s->ended_count++;
	s->hosts[q->host].open--;
	q->status = (uint16_t)r->status;
	q->outcome = r->complete && r->outcome[0] != '\0' ? r->outcome[0] : '-';
	if (procs->platform_dialect && guarantees_not_run(r->status))
		q->outcome = 'n';
	s->ok += q->outcome == 'r' && r->status == 200;
	s->not_run += q->outcome == 'n';
	s->unknown += q->outcome == 'u';
	s->unanswered += q->outcome == '-';
	if (q->outcome != 'r')
		s->hosts[q->host].next_send_us =
		    ir_clock_now() + REFUSED_DELAY_US;
	if (q->outcome == 'r' && r->status == 200 &&
	    memmem(r->body, r->body_bytes, own, strlen(own)) == NULL)
		soak_note_failure(s,
		    "request %" PRIu64 " got the answer to another request",
		    id);
	if (was_closed(r))
		soak_note_closed(s, q->host, q->start_number, id, r->open_us);
	check_key(s, q, id);
	talloc_free(own);
}

static void
send_one(struct soak *s, size_t i, bool burst)
{
	struct sent_request *q = &s->sent[s->sent_count];
	struct pr_request r = {
	    .port = procs->hosts[i].callers_port, .path = "/s/run"};

	q->host = (uint16_t)i;
	q->start_number = s->hosts[i].start_number;
	/*
	 * At least half of the requests use a key without a rate limit, since
	 * faults may put the tokens of the others out of reach.
	 */
	q->key = KEY_MAIN;
	if (soak_random_below(s, 2) == 0)
		q->key = (uint8_t)soak_random_below(s, PR_KEYS);
	if (s->withdrawn_us[q->key] != 0 &&
	    soak_random_below(s, ONE_IN_WITHDRAWN_KEYS) != 0)
		q->key = KEY_MAIN;
	q->charge = soak_random_below(s, 3) == 0;
	if (burst)
		r.path =
		    procs->hosts[i].service[0] == 't' ? "/t/run" : "/s/run";
	if (q->charge) {
		r.method = "POST";
		r.path = "/s/charge";
	}
	r.key = procs->keys[q->key];
	q->sent_us = ir_clock_now();
	pr_send(procs, &r, s->first_id + s->sent_count, on_done, s);
	s->hosts[i].open++;
	s->sent_count++;
}

static void
send_to(struct soak *s, size_t i, bool burst)
{
	uint32_t max_open = burst ? MAX_OPEN_BURST : MAX_OPEN;

	if (procs->hosts[i].node.pid == 0 &&
	    soak_random_below(s, ONE_IN_TO_STOPPED) != 0)
		return;
	if (ir_clock_now() < s->hosts[i].next_send_us)
		return;
	while (s->hosts[i].open < max_open && s->sent_count < SOAK_MAX_REQUESTS)
		send_one(s, i, burst);
}

void
soak_load_init(struct soak *s)
{
	s->load_start_us = ir_clock_now();
	s->first_id = procs->next_id + 1;
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
soak_load_drain(struct soak *s)
{
	while (s->ended_count < s->sent_count)
		fake_fetcher_step(procs->fetcher, SOAK_STEP_MS);
}

static void
check_run_count(struct soak *s, uint64_t id, char outcome)
{
	const char *text = pr_test_id(procs, id);
	uint32_t times;

	if (outcome == 'n' && pr_count_runs(procs, text, NULL) > 0)
		soak_note_failure(s,
		    "request %" PRIu64 " ran although its outcome was not-run",
		    id);
	/* Its calls to service t are idempotent and may run again. */
	times = pr_count_runs(procs, text, "s");
	if (times > 1)
		soak_note_failure(
		    s, "request %" PRIu64 " ran %u times", id, times);
}

void
soak_check_run_counts(struct soak *s)
{
	uint32_t checked = 0, limit = MAX_CHECKS / procs->host_count;

	for (uint32_t i = 0; i < s->sent_count && checked < limit; i++) {
		const struct sent_request *q = &s->sent[i];

		/* Of requests that were served, one in 16 is checked. */
		if (!q->charge || (q->outcome == 'r' && i % 16 != 0))
			continue;
		checked++;
		check_run_count(s, s->first_id + i, q->outcome);
	}
}

static bool
serves_key(size_t i, uint32_t key)
{
	struct pr_request r = {.port = procs->hosts[i].callers_port,
	    .path = "/s/run",
	    .key = procs->keys[key]};
	struct pr_answer a = pr_fetch(procs, &r);

	return pr_is_served(&a);
}

void
soak_check_new_config(struct soak *s)
{
	int64_t end_us = ir_clock_now() + KEY_WITHDRAWAL_LIMIT_US;
	uint32_t key = 1;

	while (key < PR_KEYS && s->withdrawn_us[key] != 0)
		key++;
	if (key == PR_KEYS)
		return;
	pr_withdraw_key(procs, key);
	for (size_t i = 0; i < procs->host_count; i++) {
		while (serves_key(i, key) && ir_clock_now() < end_us)
			soak_check_memory(s);
	}
	for (size_t i = 0; i < procs->host_count; i++) {
		if (serves_key(i, key))
			soak_note_failure(s,
			    "%s serves a key that was withdrawn after the "
			    "faults",
			    procs->hosts[i].name);
	}
}

/*
 * A node must answer every request that it has forwarded, while it runs and
 * when it was told to stop.
 */
void
soak_check_closed(struct soak *s)
{
	for (uint32_t i = 0; i < s->closed_count; i++) {
		const struct closed_request *c = &s->closed[i];

		if (pr_count_seen(procs, pr_test_id(procs, c->id)) > 0)
			soak_note_failure(s,
			    "request %" PRIu64 " was forwarded by %s, which "
			    "closed without an answer",
			    c->id, procs->hosts[c->host].name);
	}
}
