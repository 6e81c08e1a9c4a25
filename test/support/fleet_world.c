/* What surrounds the nodes: store, upstreams, callers and the oracle. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "contract/key.h"
#include "core/internal.h"
#include "support/fleet_priv.h"

/* Publishing. */

static struct fleet_section *
section_get(struct fleet *f, const char *name)
{
	struct fleet_section *s;

	LL_FOREACH (f->sections, s) {
		if (strcmp(s->name, name) == 0)
			return s;
	}
	s = talloc_zero(f, struct fleet_section);
	(void)snprintf(s->name, sizeof(s->name), "%s", name);
	LL_APPEND(f->sections, s);
	return s;
}

static bool
is_host(const char *name)
{
	return strncmp(name, "host/", 5) == 0;
}

void
fleet_publish(struct fleet *f, const char *name, const char *text)
{
	struct fleet_section *s = section_get(f, name);
	uint64_t *revision =
	    is_host(name) ? &f->list_revision : &f->config_revision;

	s->text = talloc_strdup(s, text);
	s->revision = ++*revision;
	s->published_us = f->now_us;
}

/* Live hosts that the store would answer. */
static int
store_readers(const struct fleet *f)
{
	int count = 0;

	for (int i = 0; i < f->node_count; i++)
		count += f->nodes[i].alive && !f->store_cut[i] &&
			 f->now_us >= f->nodes[i].paused_until_us;
	return count;
}

/*
 * What was published while the store was cut off from every host counts from
 * when the first one can read it.
 */
static void
note_readable(struct fleet *f)
{
	if (f->store_good_us == 0 || store_readers(f) == 0)
		return;
	if (f->key_readable_us == 0)
		f->key_readable_us = f->now_us;
	for (int i = 0; i < f->node_count; i++) {
		if (f->nodes[i].leaving_readable_us == 0)
			f->nodes[i].leaving_readable_us = f->now_us;
	}
	if (f->rate_count > 1 && f->rates[f->rate_count - 2].replaced_us == 0)
		f->rates[f->rate_count - 2].replaced_us = f->now_us;
}

void
fleet_list_state(struct fleet *f, int node, const char *state)
{
	struct fleet_node *n = &f->nodes[node];
	char name[40];
	char *text;

	(void)snprintf(name, sizeof(name), "host/%s", n->name);
	text = talloc_asprintf(f,
	    "{\"name\":\"%s\",\"service\":\"%s\",\"region\":\"%s\","
	    "\"zone\":\"%s\",\"address\":\"127.0.0.1\",\"peer_port\":%d,"
	    "\"caller_port\":%d,\"state\":\"%s\"}",
	    n->name, n->service, n->region, n->zone, 7000 + node, 8000 + node,
	    state);
	if (strcmp(state, "gone") == 0)
		text[0] = '\0';
	fleet_publish(f, name, text);
	n->leaving = strcmp(state, "live") != 0;
	n->leaving_us = f->now_us;
	n->leaving_readable_us = 0;
	note_readable(f);
	if (n->leaving)
		f->max_leaving_us = f->now_us;
	talloc_free(text);
}

/* Before the first start only the last one counts. */
static void
note_rate(struct fleet *f, uint64_t rate_per_s, uint64_t burst)
{
	struct fleet_rate *r;

	if (f->incarnations == 0)
		f->rate_count = 0;
	if (f->rate_count == FLEET_MAX_RATES) {
		fleet_fail(f, "too many rates for the oracle");
		return;
	}
	/* One that nobody could read yet is followed by another. */
	if (f->rate_count > 1 && f->rates[f->rate_count - 2].replaced_us == 0)
		f->rates[f->rate_count - 2].replaced_us = f->now_us;
	r = &f->rates[f->rate_count++];
	*r = (struct fleet_rate){.rate_mt_per_s = rate_per_s * 1000,
	    .burst_mt = burst * 1000,
	    .from_us = f->now_us,
	    .until_us = INT64_MAX};
}

void
fleet_publish_rate(struct fleet *f, uint64_t generation, uint64_t rate_per_s,
    uint64_t burst, bool with_key)
{
	char digest[IR_KEY_DIGEST_HEX + 1];
	char *text;

	ir_key_digest(fleet_key, digest);
	text = talloc_asprintf(f,
	    "{\"generation\":%llu,\"accounts\":[{\"name\":\"a\","
	    "\"rate_per_s\":%llu,\"burst\":%llu,\"weight\":%llu,"
	    "\"key_digests\":[%s%s%s]}]}",
	    (unsigned long long)generation, (unsigned long long)rate_per_s,
	    (unsigned long long)burst, (unsigned long long)generation,
	    with_key ? "\"" : "", with_key ? digest : "", with_key ? "\"" : "");
	fleet_publish(f, "accounts", text);
	talloc_free(text);
	if (f->key_published && !with_key)
		f->key_withdrawn_us = f->now_us;
	if (f->key_published && !with_key)
		f->key_readable_us = 0;
	f->key_published = with_key;
	f->rate_mt_per_s = rate_per_s * 1000;
	f->burst_mt = burst * 1000;
	note_rate(f, rate_per_s, burst);
	note_readable(f);
}

void
fleet_publish_account(
    struct fleet *f, uint64_t rate_per_s, uint64_t burst, bool with_key)
{
	fleet_publish_rate(
	    f, f->config_revision + 1, rate_per_s, burst, with_key);
}

static void
publish_service(struct fleet *f, const char *name)
{
	char section[40];
	char *text;

	(void)snprintf(section, sizeof(section), "service/%s", name);
	text = talloc_asprintf(f,
	    "{\"generation\":%llu,\"name\":\"%s\",\"slots\":4,\"routes\":["
	    "{\"method\":\"GET\",\"path\":\"/read\",\"importance\":1,"
	    "\"deadline_ms\":5000,\"idempotent\":true,\"open\":false,"
	    "\"retries\":2},"
	    "{\"method\":\"POST\",\"path\":\"/write\",\"importance\":3,"
	    "\"deadline_ms\":5000,\"idempotent\":false,\"open\":false,"
	    "\"retries\":2},"
	    "{\"method\":\"GET\",\"path\":\"/open\",\"importance\":0,"
	    "\"deadline_ms\":5000,\"idempotent\":true,\"open\":true,"
	    "\"retries\":1}]}",
	    (unsigned long long)f->config_revision + 1, name);
	fleet_publish(f, section, text);
	talloc_free(text);
}

void
fleet_publish_defaults(struct fleet *f)
{
	char text[200];

	(void)snprintf(text, sizeof(text),
	    "{\"generation\":%llu,\"store_region\":\"r1\","
	    "\"link_bytes_per_s\":3750000,\"unconfirmed_view\":\"refuse\"}",
	    (unsigned long long)f->config_revision + 1);
	fleet_publish(f, "fleet", text);
	fleet_publish_account(f, 1000, 1000, true);
	publish_service(f, "s");
	publish_service(f, "t");
}

/* The store, as each node reads it. */

/* Promises that need the store count from when it answers truly again. */
static void
store_changed(struct fleet *f)
{
	bool good = !f->store_down && !f->store_stale;

	if (!good)
		f->store_good_us = 0;
	else if (f->store_good_us == 0)
		f->store_good_us = f->now_us;
}

void
fleet_store_stale(struct fleet *f, bool stale)
{
	f->store_stale = stale;
	f->stale_config = f->config_revision;
	f->stale_list = f->list_revision;
	store_changed(f);
}

void
fleet_store_down(struct fleet *f, bool down)
{
	f->store_down = down;
	store_changed(f);
}

void
fleet_list_lag(struct fleet *f, int64_t lag_us)
{
	f->list_lag_us = lag_us;
	if (lag_us > f->max_list_lag_us)
		f->max_list_lag_us = lag_us;
}

/* How long ago something was published at a time when it could be read. */
static int64_t
known_for_us(const struct fleet *f, int64_t published_us)
{
	int64_t from = published_us;

	if (f->store_good_us == 0 || from == 0)
		return 0;
	if (f->store_good_us > from)
		from = f->store_good_us;
	return f->now_us - from;
}

static void
push_read(struct fleet *f, int node, bool hosts)
{
	struct fleet_item *it;

	it = fleet_item(f, ITEM_STORE, node, f->now_us + f->delay_us);
	it->hosts = hosts;
	it->asked_us = f->now_us;
	fleet_push(f, it);
}

void
fleet_poll_store(struct fleet *f, int node)
{
	struct fleet_node *n = &f->nodes[node];

	if (f->now_us < n->store_poll_us || !ir_node_wants_store(n->node))
		return;
	n->store_poll_us = f->now_us + 300 * IR_US_PER_MS;
	push_read(f, node, false);
	push_read(f, node, true);
}

static bool
visible(const struct fleet *f, const struct fleet_section *s, bool hosts)
{
	if (is_host(s->name) != hosts)
		return false;
	if (f->store_stale)
		return s->revision <= (hosts ? f->stale_list : f->stale_config);
	return !hosts || f->now_us - s->published_us >= f->list_lag_us;
}

void
fleet_deliver_store(struct fleet *f, struct fleet_item *it)
{
	struct fleet_node *n = &f->nodes[it->node];
	struct ir_section sections[64];
	struct ir_store_read r = {0};
	struct fleet_section *s;
	uint64_t config, list, held;

	fleet_at(f, STEP_STORE_READ, it->node, -1, 0);
	if (!n->alive || f->now_us < n->paused_until_us)
		return;
	if (f->store_down || f->store_cut[it->node]) {
		ir_node_store_failed(n->node, f->now_us, it->asked_us);
		return;
	}
	ir_node_revisions(n->node, &config, &list);
	held = it->hosts ? list : config;
	LL_FOREACH (f->sections, s) {
		if (!visible(f, s, it->hosts))
			continue;
		if (s->revision > r.revision)
			r.revision = s->revision;
		/* Now and then the store sends again what is held. */
		if (s->revision <= held && f->sequence % 4 != 0)
			continue;
		sections[r.section_count].name = s->name;
		sections[r.section_count].revision = s->revision;
		sections[r.section_count].generation = 0;
		sections[r.section_count].text = s->text;
		r.section_count++;
	}
	r.hosts = it->hosts;
	r.asked_us = it->asked_us;
	r.sections = sections;
	ir_node_store_read(n->node, f->now_us, &r);
}

/* Upstreams. */

static struct fleet_call *
call_of_marker(struct fleet *f, const char *marker)
{
	long i = marker[0] == 'm' ? strtol(marker + 1, NULL, 10) : -1;

	if (i < 0 || i >= f->call_count)
		return NULL;
	return &f->calls[i];
}

static struct fleet_attempt *
attempt_of(struct fleet *f, uint64_t incarnation, uint64_t sequence, int gate)
{
	for (int i = f->attempt_count - 1; i >= 0; i--) {
		struct fleet_attempt *a = &f->attempts[i];

		if (a->incarnation == incarnation && a->sequence == sequence &&
		    a->gate == gate)
			return a;
	}
	return NULL;
}

void
fleet_note_forward(struct fleet *f, int gate, const struct ir_forward *forward)
{
	const struct ir_attempt_id *id = &forward->attempt;

	if (f->attempt_count == FLEET_MAX_ATTEMPTS ||
	    attempt_of(f, id->incarnation, id->sequence, gate) != NULL)
		return;
	f->attempts[f->attempt_count++] =
	    (struct fleet_attempt){.incarnation = id->incarnation,
		.sequence = id->sequence,
		.gate = gate,
		.importance = forward->importance,
		.received_us = f->now_us,
		.deadline_us = f->now_us + forward->remaining_us};
}

void
fleet_note_answer(struct fleet *f, int gate, const struct ir_reply *reply)
{
	const struct ir_attempt_id *id = &reply->attempt;
	struct fleet_attempt *a;

	if (reply->error != IR_E_OVERLOAD)
		return;
	a = attempt_of(f, id->incarnation, id->sequence, gate);
	if (a != NULL)
		a->shed_us = f->now_us;
}

static void
note_start(struct fleet *f, int gate, const char *attempt)
{
	uint64_t incarnation, sequence;
	struct fleet_attempt *a;
	char *end;

	incarnation = strtoull(attempt, &end, 16);
	sequence = *end == '-' ? strtoull(end + 1, NULL, 16) : 0;
	a = attempt_of(f, incarnation, sequence, gate);
	if (a != NULL)
		a->started_us = f->now_us;
}

static void
check_run(
    struct fleet *f, int node, const struct ir_run *r, struct fleet_call *c)
{
	struct fleet_node *n = &f->nodes[node];

	c->runs++;
	c->last_run_us = f->now_us;
	if (!c->idempotent && c->runs > 1)
		fleet_fail(f, "non-idempotent call %s ran %d times", c->marker,
		    c->runs);
	if (c->answers != 0 &&
	    ir_error_info(c->answer.error)->outcome == IR_OUTCOME_NOT_RUN)
		fleet_fail(
		    f, "call %s ran after the answer not-run", c->marker);
	if (c->keyed && !c->has_key)
		fleet_fail(f, "call %s ran without a key", c->marker);
	if (c->keyed && strcmp(r->account, "a") != 0)
		fleet_fail(
		    f, "call %s ran for account '%s'", c->marker, r->account);
	if (c->keyed && !f->key_published &&
	    known_for_us(f, f->key_readable_us) > FLEET_KEY_DEAD_US)
		fleet_fail(f,
		    "call %s ran %lld ms after its key was withdrawn; %d "
		    "hosts can read the store",
		    c->marker,
		    (long long)(f->now_us - f->key_withdrawn_us) / 1000,
		    store_readers(f));
	if (n->leaving && known_for_us(f, n->leaving_readable_us) >
			      FLEET_LEAVE_DEAD_US + f->max_list_lag_us)
		fleet_fail(f,
		    "call %s ran on leaving host %s; %d hosts can read the "
		    "store",
		    c->marker, n->name, store_readers(f));
	if (r->remaining_ms > IR_MAX_DEADLINE_MS)
		fleet_fail(f, "call %s ran after its deadline", c->marker);
	if (strstr(r->path, fleet_key) != NULL ||
	    strstr(r->attempt, fleet_key) != NULL)
		fleet_fail(f, "upstream of %s was shown the key", n->name);
}

static void
egress_call(struct fleet *f, int node, const struct ir_run *r,
    const struct fleet_call *parent, uint64_t run)
{
	struct fleet_call *c = &f->calls[f->call_count];
	struct ir_call in = {0};
	char path[64];

	if (f->call_count >= FLEET_MAX_CALLS)
		return;
	*c = (struct fleet_call){0};
	c->id = (run << 20 | (uint64_t)node << 16) + 1000000;
	c->node = node;
	c->egress = true;
	c->parent_run = run;
	c->parent_incarnation = f->nodes[node].incarnation;
	(void)snprintf(
	    c->parent_marker, sizeof(c->parent_marker), "%s", parent->marker);
	c->keyed = parent->keyed;
	c->has_key = parent->has_key;
	c->idempotent = parent->idempotent;
	c->sent_us = f->now_us;
	c->deadline_us = f->now_us + r->remaining_ms * IR_US_PER_MS;
	(void)snprintf(c->marker, sizeof(c->marker), "m%d", f->call_count);
	f->call_count++;
	in.id = c->id;
	in.egress = true;
	in.parent = r->attempt;
	in.service = f->nodes[node].calls_on;
	in.method = r->method;
	(void)snprintf(path, sizeof(path), "%.*s/%s",
	    (int)strcspn(r->path + 1, "/") + 1, r->path, c->marker);
	in.path = path;
	ir_node_call(f->nodes[node].node, f->now_us, &in);
}

static void
finish_run(struct fleet *f, int node, uint64_t run, const char *marker,
    uint16_t status)
{
	struct fleet_node *n = &f->nodes[node];
	struct fleet_item *it;

	if (n->upstream == UPSTREAM_HANGS)
		return;
	it = fleet_item(f, ITEM_RAN, node, f->now_us + n->run_us);
	it->run = run;
	it->result.status = status;
	it->result.end =
	    n->upstream == UPSTREAM_BREAKS ? IR_RUN_BROKEN : IR_RUN_ANSWERED;
	(void)snprintf(it->marker, sizeof(it->marker), "%s", marker);
	fleet_push(f, it);
}

static void
op_run(void *ctx, const struct ir_run *r)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;
	int node = (int)(n - f->nodes);
	const char *marker = strrchr(r->path, '/');
	struct fleet_call *c;
	struct fleet_item *it;

	c = marker != NULL ? call_of_marker(f, marker + 1) : NULL;
	if (c == NULL) {
		fleet_fail(f, "run with a strange path %s", r->path);
		return;
	}
	fleet_at(f, STEP_RUN, node, -1, 0);
	if (!n->alive)
		return;
	c->attempts++;
	note_start(f, node, r->attempt);
	if (n->upstream == UPSTREAM_SHEDS) {
		it = fleet_item(f, ITEM_RAN, node, f->now_us + f->delay_us);
		it->run = r->id;
		it->result.end = IR_RUN_SHED;
		fleet_push(f, it);
		return;
	}
	check_run(f, node, r, c);
	if (n->calls_on == NULL || c->egress)
		finish_run(f, node, r->id, c->marker, 200);
	if (n->calls_on != NULL && !c->egress) {
		it = fleet_item(f, ITEM_EGRESS, node, f->now_us);
		it->run = r->id;
		it->parent_call = (int)(c - f->calls);
		it->run_copy = *r;
		(void)snprintf(
		    it->attempt, sizeof(it->attempt), "%s", r->attempt);
		(void)snprintf(it->path, sizeof(it->path), "%s", r->path);
		(void)snprintf(it->method, sizeof(it->method), "%s", r->method);
		fleet_push(f, it);
	}
}

void
fleet_deliver_egress(struct fleet *f, struct fleet_item *it)
{
	fleet_at(f, STEP_EGRESS, it->node, -1, 0);
	if (!f->nodes[it->node].alive)
		return;
	it->run_copy.attempt = it->attempt;
	it->run_copy.path = it->path;
	it->run_copy.method = it->method;
	egress_call(
	    f, it->node, &it->run_copy, &f->calls[it->parent_call], it->run);
}

void
fleet_deliver_ran(struct fleet *f, struct fleet_item *it)
{
	struct fleet_node *n = &f->nodes[it->node];

	fleet_at(f, STEP_RAN, it->node, -1, 0);
	if (!n->alive || f->now_us < n->paused_until_us)
		return;
	it->result.body = (const uint8_t *)it->marker;
	it->result.body_bytes = strlen(it->marker);
	ir_node_ran(n->node, f->now_us, it->run, &it->result);
}

static void
op_cancel_run(void *ctx, uint64_t id)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;
	struct fleet_item *it, *tmp;

	if (!n->alive)
		return;
	DL_FOREACH_SAFE (f->items, it, tmp) {
		if (it->kind == ITEM_RAN && it->run == id &&
		    it->node == (int)(n - f->nodes) &&
		    it->incarnation == n->incarnation) {
			DL_DELETE(f->items, it);
			talloc_free(it);
		}
	}
}

/* Callers. */

static struct fleet_call *
call_of_id(struct fleet *f, int node, uint64_t id)
{
	for (int i = f->call_count - 1; i >= 0; i--) {
		if (f->calls[i].id == id && f->calls[i].node == node)
			return &f->calls[i];
	}
	return NULL;
}

static void
check_answer(struct fleet *f, struct fleet_call *c, const struct ir_answer *a)
{
	bool not_run = ir_error_info(a->error)->outcome == IR_OUTCOME_NOT_RUN;

	if (c->answers > 1)
		fleet_fail(f, "call %s got %d answers", c->marker, c->answers);
	if (not_run && c->runs != 0)
		fleet_fail(f, "call %s ran and was told not-run (%s)",
		    c->marker, ir_error_info(a->error)->name);
	if (a->error == IR_OK &&
	    (a->body_bytes != strlen(c->marker) ||
		memcmp(a->body, c->marker, a->body_bytes) != 0))
		fleet_fail(f, "call %s got another's answer", c->marker);
	if (a->error == IR_OK && c->runs == 0 && !c->repeat)
		fleet_fail(f, "call %s was answered and never ran", c->marker);
}

static void
op_answer(void *ctx, uint64_t id, const struct ir_answer *a)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;
	struct fleet_call *c = call_of_id(f, (int)(n - f->nodes), id);

	if (!n->alive)
		return;
	if (c == NULL) {
		fleet_fail(f, "answer to an unknown call");
		return;
	}
	c->answers++;
	c->answer = *a;
	c->answered_us = f->now_us;
	check_answer(f, c, a);
	if (c->egress && n->incarnation == c->parent_incarnation)
		finish_run(f, c->node, c->parent_run, c->parent_marker,
		    n->needs_callee && a->error != IR_OK ? 500 : 200);
	fleet_at(f, STEP_ANSWERED, (int)(n - f->nodes), -1, 0);
}

int
fleet_call(struct fleet *f, int node, const struct fleet_request *r)
{
	struct fleet_call *c = &f->calls[f->call_count];
	struct ir_call in = {0};
	char path[64];
	bool write = strcmp(r->route, "write") == 0;
	bool open = strcmp(r->route, "open") == 0;

	if (f->call_count >= FLEET_MAX_CALLS || !f->nodes[node].alive)
		return -1;
	*c = (struct fleet_call){0};
	c->id = (uint64_t)f->call_count + 1;
	c->node = node;
	c->keyed = !open;
	c->has_key = r->with_key;
	c->repeat = r->repeat_of != 0;
	c->idempotent = !write;
	c->sent_us = f->now_us;
	c->deadline_us =
	    f->now_us +
	    (r->deadline_ms != 0 ? r->deadline_ms : 5000) * IR_US_PER_MS;
	c->retries = open ? 1 : 2;
	f->retry_allowance += c->retries;
	(void)snprintf(c->marker, sizeof(c->marker), "m%d",
	    c->repeat ? r->repeat_of - 1 : f->call_count);
	f->call_count++;
	fleet_at(f, STEP_CALL, node, -1, 0);
	if (!f->nodes[node].alive)
		return f->call_count - 1;
	(void)snprintf(path, sizeof(path), "/%s/%s", r->route, c->marker);
	in.id = c->id;
	in.service = r->service;
	in.method = write ? "POST" : "GET";
	in.path = path;
	in.key = r->with_key ? fleet_key : NULL;
	in.idempotency_key = r->idempotency_key;
	in.first_attempt = r->first_attempt;
	in.deadline_ms = r->deadline_ms;
	ir_node_call(f->nodes[node].node, f->now_us, &in);
	fleet_observe(f);
	return (int)(c - f->calls);
}

void
fleet_call_gone(struct fleet *f, int call)
{
	struct fleet_call *c = &f->calls[call];

	if (c->answers != 0 || c->gone)
		return;
	c->gone = true;
	ir_node_call_gone(f->nodes[c->node].node, f->now_us, c->id);
}

/* The oracle. */

static uint64_t
counter(const struct fleet_node *n, enum ir_counter which)
{
	return n->node != NULL ? ir_node_counter(n->node, which) : 0;
}

void
fleet_count_past(struct fleet *f, struct fleet_node *n)
{
	n->past_retries += counter(n, IR_RETRIES);
	n->past_spent += counter(n, IR_TOKENS_SPENT);
}

static void
observe_spent(struct fleet *f)
{
	uint64_t spent = 0;

	for (int i = 0; i < f->node_count; i++)
		spent += f->nodes[i].past_spent +
			 counter(&f->nodes[i], IR_TOKENS_SPENT);
	while (f->spent_seen < spent && f->spent_count < FLEET_MAX_CALLS) {
		f->spent_us[f->spent_count++] = f->now_us;
		f->spent_seen++;
	}
}

/* The generation in force: published as the account's weight too. */
static uint64_t
rate_generation(struct fleet_node *n)
{
	const struct ir_account *a = ir_view_account(node_view(n->node), "a");

	return a != NULL ? a->weight : n->seen_rate_generation;
}

static void
observe_revisions(struct fleet *f, struct fleet_node *n)
{
	uint64_t config, list, generation;

	if (n->node == NULL)
		return;
	ir_node_revisions(n->node, &config, &list);
	if (config < n->seen_config || list < n->seen_list)
		fleet_fail(f,
		    "%s went back from revision %llu/%llu to %llu/%llu",
		    n->name, (unsigned long long)n->seen_config,
		    (unsigned long long)n->seen_list,
		    (unsigned long long)config, (unsigned long long)list);
	n->seen_config = config;
	n->seen_list = list;
	if (f->now_us % FLEET_TICK_US != 0)
		return;
	generation = rate_generation(n);
	if (generation < n->seen_rate_generation)
		fleet_fail(f, "%s went back to generation %llu", n->name,
		    (unsigned long long)generation);
	n->seen_rate_generation = generation;
}

void
fleet_observe(struct fleet *f)
{
	for (int i = 0; i < f->node_count; i++)
		observe_revisions(f, &f->nodes[i]);
	observe_spent(f);
	note_readable(f);
	for (int i = 0; i + 1 < f->rate_count; i++) {
		struct fleet_rate *r = &f->rates[i];

		if (r->until_us == INT64_MAX &&
		    known_for_us(f, r->replaced_us) > FLEET_IN_FORCE_US)
			r->until_us = f->now_us;
	}
}

static uint64_t
tokens_allowed_mt(const struct fleet *f, int64_t from_us, int64_t to_us)
{
	uint64_t rate = 0, burst = 0;

	for (int i = 0; i < f->rate_count; i++) {
		const struct fleet_rate *r = &f->rates[i];

		if (r->until_us < from_us || r->from_us > to_us)
			continue;
		if (r->rate_mt_per_s > rate)
			rate = r->rate_mt_per_s;
		if (r->burst_mt > burst)
			burst = r->burst_mt;
	}
	return burst + rate * (uint64_t)(to_us - from_us) / 1000000;
}

/* In any window, at most the burst and the rate times its length. */
static void
check_windows(struct fleet *f)
{
	for (int i = 0; i < f->spent_count; i++) {
		for (int j = i; j < f->spent_count; j++) {
			uint64_t mt = (uint64_t)(j - i + 1) * 1000;
			uint64_t us =
			    (uint64_t)(f->spent_us[j] - f->spent_us[i]);
			uint64_t most = tokens_allowed_mt(
			    f, f->spent_us[i], f->spent_us[j]);

			if (mt > most) {
				fleet_fail(f,
				    "%d tokens in %llu us, %llu mt "
				    "allowed",
				    j - i + 1, (unsigned long long)us,
				    (unsigned long long)most);
				return;
			}
		}
	}
}

static void
check_call_end(struct fleet *f, const struct fleet_call *c)
{
	if (c->gone || c->egress || !f->nodes[c->node].alive)
		return;
	if (c->answers == 0 && f->now_us > c->deadline_us + IR_US_PER_S &&
	    f->nodes[c->node].paused_until_us + IR_US_PER_S < f->now_us)
		fleet_fail(f, "call %s was never answered", c->marker);
}

/*
 * What is shed leaves nothing less important behind that is run later, but
 * for work with more time left: a gate also refuses what cannot end in time.
 */
static void
check_shed_order(struct fleet *f)
{
	for (int i = 0; i < f->attempt_count; i++) {
		const struct fleet_attempt *a = &f->attempts[i];

		for (int j = 0; j < f->attempt_count && a->shed_us != 0; j++) {
			const struct fleet_attempt *b = &f->attempts[j];

			if (b->gate == a->gate &&
			    b->importance < a->importance &&
			    b->deadline_us <= a->deadline_us &&
			    b->received_us < a->shed_us &&
			    b->started_us > a->shed_us)
				fleet_fail(f,
				    "%s shed importance %u at %lld and ran %u "
				    "at %lld, received %lld and %lld",
				    f->nodes[a->gate].name, a->importance,
				    (long long)a->shed_us, b->importance,
				    (long long)b->started_us,
				    (long long)a->received_us,
				    (long long)b->received_us);
		}
	}
}

/* The whole chain of a request draws on its route's retries. */
static void
check_chain_retries(struct fleet *f)
{
	for (int i = 0; i < f->call_count; i++) {
		struct fleet_call *c = &f->calls[i];
		struct fleet_call *root = c;

		if (c->egress)
			root = call_of_marker(f, c->parent_marker);
		if (c->attempts > 1)
			root->chain_retries += c->attempts - 1;
	}
	for (int i = 0; i < f->call_count; i++) {
		struct fleet_call *c = &f->calls[i];

		if (!c->egress && c->chain_retries > (int)c->retries)
			fleet_fail(f, "call %s was tried %d times over",
			    c->marker, c->chain_retries);
	}
}

void
fleet_check_in_force(struct fleet *f)
{
	uint64_t rate = 0;

	for (int i = 0; i < f->node_count; i++) {
		struct fleet_node *n = &f->nodes[i];
		const struct ir_view *v;
		const struct ir_account *a;

		if (!n->alive)
			continue;
		v = node_view(n->node);
		a = ir_view_account(v, "a");
		if (v->config_revision != f->config_revision ||
		    v->list_revision != f->list_revision || a == NULL) {
			fleet_fail(f,
			    "%s holds revision %llu/%llu of %llu/%llu", n->name,
			    (unsigned long long)v->config_revision,
			    (unsigned long long)v->list_revision,
			    (unsigned long long)f->config_revision,
			    (unsigned long long)f->list_revision);
			return;
		}
		if (rate != 0 && a->rate_mt_per_s != rate)
			fleet_fail(f, "%s has another rate in force", n->name);
		rate = a->rate_mt_per_s;
	}
}

void
fleet_check_end(struct fleet *f)
{
	uint64_t retries = 0;

	for (int i = 0; i < f->call_count; i++)
		check_call_end(f, &f->calls[i]);
	check_chain_retries(f);
	check_shed_order(f);
	for (int i = 0; i < f->node_count; i++)
		retries += f->nodes[i].past_retries +
			   counter(&f->nodes[i], IR_RETRIES);
	if (retries > f->retry_allowance)
		fleet_fail(f, "%llu retries, %llu allowed",
		    (unsigned long long)retries,
		    (unsigned long long)f->retry_allowance);
	check_windows(f);
}

static void
op_log(void *ctx, enum ir_event e, const char *fields)
{
	struct fleet_node *n = ctx;
	struct fleet *f = n->fleet;

	if (f->verbose)
		(void)fprintf(stderr, "%10lld %s %d %s %s\n",
		    (long long)f->now_us - 1000 * IR_US_PER_S, n->name, (int)e,
		    ir_event_info(e) != NULL ? ir_event_info(e)->name : "?",
		    fields);
}

const struct ir_node_ops fleet_ops = {
    .connect = fleet_op_connect,
    .close = fleet_op_close,
    .send = fleet_op_send,
    .run = op_run,
    .cancel_run = op_cancel_run,
    .answer = op_answer,
    .log = op_log,
};
