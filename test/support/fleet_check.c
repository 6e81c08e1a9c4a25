/* Guarantees that are checked after each event and at the end of a run. */
#include "core/internal.h"
#include "host/position.h"
#include "support/fleet_priv.h"

static uint64_t
node_counter(const struct fleet_node *n, enum ir_counter which)
{
	return n->node != NULL ? ir_node_counter(n->node, which) : 0;
}

void
fleet_keep_counters(struct fleet *f, struct fleet_node *n)
{
	n->earlier_retries += node_counter(n, IR_COUNTER_RETRIES);
	n->earlier_tokens_spent += node_counter(n, IR_COUNTER_TOKENS_SPENT);
}

static void
record_spent_tokens(struct fleet *f)
{
	uint64_t spent = 0;

	for (int i = 0; i < f->node_count; i++)
		spent += f->nodes[i].earlier_tokens_spent +
			 node_counter(&f->nodes[i], IR_COUNTER_TOKENS_SPENT);
	while (
	    f->tokens_spent < spent && f->token_spent_count < FLEET_MAX_CALLS) {
		f->token_spent_us[f->token_spent_count++] = f->now_us;
		f->tokens_spent++;
	}
}

/* Returns the generation in force; it is also the account's weight. */
static uint64_t
rate_generation(struct fleet_node *n)
{
	const struct ir_account *a = ir_view_account(node_view(n->node), "a");

	return a != NULL ? a->weight : n->last_rate_generation;
}

static void
check_revisions(struct fleet *f, struct fleet_node *n)
{
	uint64_t config, list, generation;

	if (n->node == NULL)
		return;
	ir_node_revisions(n->node, &config, &list);
	if (config < n->last_config_revision || list < n->last_list_revision)
		fleet_fail(f,
		    "%s went back from revision %llu/%llu to %llu/%llu",
		    n->name, (unsigned long long)n->last_config_revision,
		    (unsigned long long)n->last_list_revision,
		    (unsigned long long)config, (unsigned long long)list);
	n->last_config_revision = config;
	n->last_list_revision = list;
	if (f->now_us % FLEET_TICK_US != 0)
		return;
	generation = rate_generation(n);
	if (generation < n->last_rate_generation)
		fleet_fail(f, "%s went back to generation %llu", n->name,
		    (unsigned long long)generation);
	n->last_rate_generation = generation;
}

void
fleet_check_event(struct fleet *f)
{
	fleet_publish_lost(f);
	for (int i = 0; i < f->node_count; i++)
		check_revisions(f, &f->nodes[i]);
	record_spent_tokens(f);
	fleet_update_readable(f);
	for (int i = 0; i + 1 < f->rate_count; i++) {
		struct fleet_rate *r = &f->rates[i];

		if (r->in_force_until_us == INT64_MAX &&
		    fleet_readable_for_us(f, r->superseded_us) >
			FLEET_CONVERGED_US)
			r->in_force_until_us = f->now_us;
	}
}

static uint64_t
tokens_allowed_mt(const struct fleet *f, int64_t from_us, int64_t to_us)
{
	uint64_t rate = 0, burst = 0;

	for (int i = 0; i < f->rate_count; i++) {
		const struct fleet_rate *r = &f->rates[i];

		if (r->in_force_until_us < from_us || r->published_us > to_us)
			continue;
		if (r->rate_mt_per_s > rate)
			rate = r->rate_mt_per_s;
		if (r->burst_mt > burst)
			burst = r->burst_mt;
	}
	return burst + rate * (uint64_t)(to_us - from_us) / 1000000;
}

/* In any window, at most burst plus rate times its length is spent. */
static void
check_token_rate(struct fleet *f)
{
	for (int i = 0; i < f->token_spent_count; i++) {
		for (int j = i; j < f->token_spent_count; j++) {
			uint64_t mt = (uint64_t)(j - i + 1) * 1000;
			uint64_t us = (uint64_t)(f->token_spent_us[j] -
						 f->token_spent_us[i]);
			uint64_t most = tokens_allowed_mt(
			    f, f->token_spent_us[i], f->token_spent_us[j]);

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
check_answered(struct fleet *f, const struct fleet_call *c)
{
	if (c->abandoned || c->egress || !f->nodes[c->node].alive)
		return;
	if (c->answers == 0 && f->now_us > c->deadline_us + IR_US_PER_S &&
	    f->nodes[c->node].paused_until_us + IR_US_PER_S < f->now_us)
		fleet_fail(f, "call %s was never answered", c->marker);
}

/*
 * A gate that sheds an attempt must not later run a less important one that it
 * had already received. One with a later deadline is exempt, since a gate also
 * refuses attempts that cannot end before their deadline.
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

/* A request and its egress calls share the retries of its route. */
static void
check_chain_retries(struct fleet *f)
{
	for (int i = 0; i < f->call_count; i++) {
		struct fleet_call *c = &f->calls[i];
		struct fleet_call *root = c;

		if (c->egress)
			root = fleet_find_call(f, c->parent_marker);
		if (c->upstream_attempts > 1)
			root->chain_retries += c->upstream_attempts - 1;
	}
	for (int i = 0; i < f->call_count; i++) {
		struct fleet_call *c = &f->calls[i];

		if (!c->egress && c->chain_retries > (int)c->retries)
			fleet_fail(f, "call %s was retried %d times", c->marker,
			    c->chain_retries);
	}
}

void
fleet_check_converged(struct fleet *f)
{
	uint64_t config = ir_position(f->era, f->config_revision);
	uint64_t list = ir_position(f->era, f->list_revision);
	uint64_t rate = 0;

	for (int i = 0; i < f->node_count; i++) {
		struct fleet_node *n = &f->nodes[i];
		const struct ir_view *v;
		const struct ir_account *a;

		if (!n->alive)
			continue;
		v = node_view(n->node);
		a = ir_view_account(v, "a");
		if (v->config_revision != config || v->list_revision != list ||
		    a == NULL) {
			fleet_fail(f,
			    "%s holds revision %llu/%llu of %llu/%llu", n->name,
			    (unsigned long long)v->config_revision,
			    (unsigned long long)v->list_revision,
			    (unsigned long long)config,
			    (unsigned long long)list);
			return;
		}
		if (rate != 0 && a->rate_mt_per_s != rate)
			fleet_fail(f,
			    "%s applies another rate than other hosts",
			    n->name);
		rate = a->rate_mt_per_s;
	}
}

void
fleet_check_end(struct fleet *f)
{
	uint64_t retries = 0;

	for (int i = 0; i < f->call_count; i++)
		check_answered(f, &f->calls[i]);
	check_chain_retries(f);
	check_shed_order(f);
	for (int i = 0; i < f->node_count; i++)
		retries += f->nodes[i].earlier_retries +
			   node_counter(&f->nodes[i], IR_COUNTER_RETRIES);
	if (retries > f->retries_allowed)
		fleet_fail(f, "%llu retries, %llu allowed",
		    (unsigned long long)retries,
		    (unsigned long long)f->retries_allowed);
	check_token_rate(f);
}
