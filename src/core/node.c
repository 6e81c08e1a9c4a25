/* The node: its creation, settings and state. */
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "core/internal.h"

/*
 * The texts of all sections may have this fraction of the memory limit, as one
 * answer of the store: their parsed form and messages to peers hold them again.
 */
#define SECTIONS_DIVISOR 16

static int
clear_tables(struct ir_node *n)
{
	HASH_CLEAR(hh, n->calls);
	HASH_CLEAR(hh, n->attempts);
	HASH_CLEAR(hh, n->peers);
	HASH_CLEAR(hh, n->conns);
	HASH_CLEAR(hh, n->retry_budgets);
	HASH_CLEAR(hh, n->static_shares);
	return 0;
}

static const struct ir_rate_limiter_ops rate_limiter_ops = {
    .send_request = control_send_token_request,
    .retry_waiting = control_retry_token_waiters,
};

static bool
copy_settings(struct ir_node *n, const struct ir_node_settings *s)
{
	n->settings = *s;
	if (n->settings.memory == NULL) {
		n->settings.memory = talloc(n, struct ir_memory);
		if (n->settings.memory == NULL)
			return false;
		ir_memory_init(n->settings.memory, 0);
	}
	n->asked_to_read_us = INT64_MIN;
	if (n->settings.store_read_period_us == 0)
		n->settings.store_read_period_us = IR_VIEW_POLL_US;
	n->settings.host = talloc_strdup(n, s->host);
	n->settings.service = talloc_strdup(n, s->service);
	n->settings.region = talloc_strdup(n, s->region);
	n->settings.zone = talloc_strdup(n, s->zone);
	n->placeholder_self.name = n->settings.host;
	n->placeholder_self.service = n->settings.service;
	n->placeholder_self.region = n->settings.region;
	n->placeholder_self.zone = n->settings.zone;
	n->placeholder_self.address = "";
	n->placeholder_self.upstream_id = "";
	n->placeholder_self.leaving = true;
	n->placeholder_self.hash =
	    XXH64(n->settings.host, strlen(n->settings.host), 0);
	return n->settings.host != NULL && n->settings.service != NULL &&
	       n->settings.region != NULL && n->settings.zone != NULL;
}

/*
 * Fraction of the rate tolerance that is granted at all times. The rest is what
 * buckets hold when they start anew, so that all issuers may restart in a
 * window in which the whole burst is spent.
 */
#define GRANTED_TOLERANCE 0.8

/*
 * Splits the tolerated requests of a window: half are added to the burst. The
 * other half, spread over the window, is added to the rate.
 */
static struct ir_rate_margin
rate_margin(const struct ir_node_settings *s)
{
	struct ir_rate_margin m = {
	    .fraction = GRANTED_TOLERANCE * s->rate_tolerance_fraction};

	if (s->rate_tolerance_window_s <= 0)
		return m;
	m.extra_burst_tokens =
	    GRANTED_TOLERANCE * s->rate_tolerance_requests / 2;
	m.extra_rate_per_s = m.extra_burst_tokens / s->rate_tolerance_window_s;
	m.window_s = s->rate_tolerance_window_s;
	m.restart_fraction = s->rate_tolerance_fraction - m.fraction;
	m.restart_tokens = (1 - GRANTED_TOLERANCE) * s->rate_tolerance_requests;
	return m;
}

void
ir_node_set_rate_tolerance(struct ir_node *n, const struct ir_node_settings *s)
{
	struct ir_rate_margin margin = rate_margin(s);

	ir_sections_set_rate_margin(n->sections, &margin);
}

/*
 * Length of the lease on the view. IR_VIEW_LEASE_US is for reads of the store
 * each IR_VIEW_POLL_US. With a longer period an answer may be two of these
 * periods older when the next one comes.
 */
static int64_t
lease_us(const struct ir_node *n)
{
	int64_t longer_us = n->settings.store_read_period_us - IR_VIEW_POLL_US;

	return IR_VIEW_LEASE_US + (longer_us > 0 ? 2 * longer_us : 0);
}

static void
set_lease(struct ir_node *n)
{
	if (n->view_lease != NULL)
		ir_view_lease_set_length(n->view_lease, lease_us(n));
	if (n->issuer == NULL)
		return;
	ir_issuer_set_lease(n->issuer, lease_us(n));
	if (n->settings.rate_tolerance_fraction > 0)
		ir_issuer_tolerate_overlap(n->issuer);
}

static bool
create_components(struct ir_node *n, int64_t now)
{
	struct ir_rate_margin margin = rate_margin(&n->settings);

	n->sections = ir_sections_new(n);
	if (n->sections != NULL) {
		ir_sections_set_rate_margin(n->sections, &margin);
		ir_sections_set_max_bytes(n->sections,
		    n->settings.memory->limit_bytes / SECTIONS_DIVISOR);
	}
	n->view_lease = ir_view_lease_new(n);
	n->balancer = ir_balancer_new(n, n->settings.seed ^ 1);
	n->rate_limiter = ir_rate_limiter_new(
	    n, &rate_limiter_ops, n, n->settings.incarnation);
	n->issuer = ir_issuer_new(n);
	n->gate = ir_gate_new(n, &serve_gate_ops, n, n->settings.initial_slots,
	    n->settings.seed ^ 2, now);
	n->records = ir_records_new(n, n->settings.memory);
	n->callee_throttle = ir_throttle_new(n);
	n->suspects = ir_suspects_new(n);
	local_upstream_init(n, now);
	set_lease(n);
	return n->sections != NULL && n->view_lease != NULL &&
	       n->balancer != NULL && n->rate_limiter != NULL &&
	       n->issuer != NULL && n->gate != NULL && n->records != NULL &&
	       n->callee_throttle != NULL && n->suspects != NULL;
}

struct ir_node *
ir_node_new(TALLOC_CTX *mem, int64_t now,
    const struct ir_node_settings *settings, const struct ir_node_ops *ops,
    void *ctx)
{
	struct ir_node *n = talloc_zero(mem, struct ir_node);

	if (n == NULL)
		return NULL;
	talloc_set_destructor(n, clear_tables);
	n->ops = *ops;
	n->ctx = ctx;
	n->random_state = settings->seed;
	n->attempt_ops = &call_attempt_ops;
	n->next_attempt_sequence = 1;
	n->next_run_id = 1;
	n->next_xid = 1;
	n->next_conn = 2;
	n->start_us = now;
	n->hosts_changed_us = now;
	n->view_state = IR_VIEW_UNCONFIRMED;
	if (!copy_settings(n, settings) || !create_components(n, now))
		goto fail;
	if (settings->baseline_policy)
		ir_gate_set_policy(n->gate, IR_GATE_BASELINE);
	return n;
fail:
	talloc_free(n);
	return NULL;
}

bool
ir_node_is_idle(const struct ir_node *n)
{
	return n->calls == NULL && ir_records_open_count(n->records) == 0 &&
	       ir_records_first_unsent(n->records) == NULL &&
	       n->unsent_replies == NULL && n->self_head == NULL;
}

bool
ir_node_is_ready(struct ir_node *n, int64_t now)
{
	if (n->stopping || node_view(n)->host_count == 0)
		return false;
	if (node_serves_unlisted(n))
		return true;
	return node_self(n) != NULL &&
	       node_view_state(n, now) != IR_VIEW_UNCONFIRMED;
}
