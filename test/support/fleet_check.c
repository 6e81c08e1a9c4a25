/* The oracle: what must hold after each event and at the end. */
#include "core/internal.h"
#include "support/fleet_priv.h"

static uint64_t
counter(const struct fleet_node *n, enum ir_counter which)
{
	return n->node != NULL ? ir_node_counter(n->node, which) : 0;
}

void
fleet_count_past(struct fleet *f, struct fleet_node *n)
{
	n->past_retries += counter(n, IR_COUNTER_RETRIES);
	n->past_spent += counter(n, IR_COUNTER_TOKENS_SPENT);
}

static void
observe_spent(struct fleet *f)
{
	uint64_t spent = 0;

	for (int i = 0; i < f->node_count; i++)
		spent += f->nodes[i].past_spent +
			 counter(&f->nodes[i], IR_COUNTER_TOKENS_SPENT);
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
	fleet_note_readable(f);
	for (int i = 0; i + 1 < f->rate_count; i++) {
		struct fleet_rate *r = &f->rates[i];

		if (r->until_us == INT64_MAX &&
		    fleet_known_for_us(f, r->replaced_us) > FLEET_IN_FORCE_US)
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
			root = fleet_call_of_marker(f, c->parent_marker);
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
			   counter(&f->nodes[i], IR_COUNTER_RETRIES);
	if (retries > f->retry_allowance)
		fleet_fail(f, "%llu retries, %llu allowed",
		    (unsigned long long)retries,
		    (unsigned long long)f->retry_allowance);
	check_windows(f);
}
