/* State, counters and gauges, for the admin port; JSON keys carry units. */
#include <json-c/json.h>

#include "core/internal.h"
#include "host/position.h"
#include "zone/region_set.h"

static void
add_string(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

static void
add_int(struct json_object *o, const char *key, int64_t value)
{
	json_object_object_add(o, key, json_object_new_int64(value));
}

static void
add_bool(struct json_object *o, const char *key, bool value)
{
	json_object_object_add(o, key, json_object_new_boolean(value));
}

static struct json_object *
dump_evacuated_zones(const struct ir_view *v)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < v->evacuated_zone_count; i++)
		json_object_array_add(
		    list, json_object_new_string(v->evacuated_zones[i]));
	return list;
}

static int64_t
count_unusable_routes(const struct ir_view *v)
{
	int64_t count = 0;

	for (size_t i = 0; i < v->route_count; i++)
		count += v->routes[i].unusable;
	return count;
}

static int64_t
count_unusable_keys(const struct ir_view *v)
{
	int64_t count = 0;

	for (size_t i = 0; i < v->key_count; i++)
		count += v->keys[i].account == NULL;
	return count;
}

static struct json_object *
dump_view(struct ir_node *n, int64_t now)
{
	static const char *const states[] = {
	    "confirmed", "outage", "unconfirmed"};
	const struct ir_view *v = node_view(n);
	const struct ir_host *self = node_self(n);
	struct json_object *o = json_object_new_object();
	int64_t age = ir_view_lease_age_us(n->view_lease, now);

	add_int(o, "config_revision",
	    (int64_t)ir_position_revision(v->config_revision));
	add_int(o, "config_era", (int64_t)ir_position_era(v->config_revision));
	add_int(o, "list_revision",
	    (int64_t)ir_position_revision(v->list_revision));
	add_int(o, "list_era", (int64_t)ir_position_era(v->list_revision));
	add_string(o, "state", states[node_view_state(n, now)]);
	add_int(
	    o, "confirmed_age_ms", age == INT64_MAX ? -1 : age / IR_US_PER_MS);
	add_int(o, "hosts", (int64_t)v->host_count);
	add_int(o, "services", (int64_t)v->service_count);
	add_int(o, "accounts", (int64_t)v->account_count);
	add_int(o, "routes", (int64_t)v->route_count);
	add_int(o, "unusable_routes", count_unusable_routes(v));
	add_int(o, "unusable_keys", count_unusable_keys(v));
	json_object_object_add(o, "evacuated_zones", dump_evacuated_zones(v));
	add_bool(o, "listed", self != NULL);
	add_bool(o, "regions_restricted", v->regions_hash != 0);
	add_bool(o, "reads_store", ir_node_should_read_store(n));
	return o;
}

/* As reported by the local upstream; -1: unknown. */
static int64_t
work_percent(const struct ir_node *n, int64_t now)
{
	const struct ir_upstream_load *l = &n->upstream.load;

	if (ir_upstream_load_slowdown(l, now) <= 0)
		return -1;
	return l->report.work_percent;
}

static struct json_object *
dump_gate(struct ir_node *n, int64_t now)
{
	struct ir_load l = node_load(n, now, "");
	struct json_object *o = json_object_new_object();

	add_int(o, "limit", l.limit);
	add_int(o, "running", l.running);
	add_int(o, "queued", l.queued);
	add_int(o, "shed_level", l.shed_level);
	add_int(o, "service_time_us", ir_load_service_time_us(&l));
	add_bool(o, "leaving", l.leaving);
	add_bool(o, "evacuated", evacuation_is_here(n));
	add_bool(o, "upstream_limited", n->upstream.status.said.limited);
	add_int(o, "upstream_rate_mt_per_s",
	    (int64_t)n->upstream.status.said.rate_mt_per_s);
	add_bool(o, "upstream_leaving", local_upstream_is_leaving(n, now));
	add_int(o, "upstream_slots", ir_upstream_load_slots(&n->upstream.load));
	add_int(o, "upstream_work_percent", work_percent(n, now));
	add_bool(o, "upstream_ended", n->upstream.ended);
	add_string(o, "upstream_state",
	    ir_cold_state_name(ir_cold_start_state(&n->upstream.cold)));
	add_int(
	    o, "cold_remaining_ms", local_upstream_cold_remaining_ms(n, now));
	add_int(
	    o, "cold_rate_mt_per_s", (int64_t)n->upstream.cold.rate_mt_per_s);
	add_int(o, "ramp_limit", ir_gate_ramp_limit(n->gate));
	add_int(o, "suspects", (int64_t)ir_suspects_count(n->suspects));
	add_int(o, "records", (int64_t)ir_records_count(n->records));
	add_int(o, "records_open", (int64_t)ir_records_open_count(n->records));
	return o;
}

static struct json_object *
dump_peer(struct ir_node *n, int64_t now, const struct peer *p)
{
	static const char *const states[] = {
	    "down", "connecting", "greeting", "up"};
	int64_t age_us = 0;
	const struct ir_load *l =
	    ir_balancer_host_load(n->balancer, now, p->name, &age_us);
	struct json_object *o = json_object_new_object();
	const struct attempt *a;
	int64_t count = 0;

	DL_FOREACH (p->attempts, a)
		count++;
	add_string(o, "host", p->name);
	add_string(o, "link", states[p->link.state]);
	add_int(o, "attempts", count);
	add_int(o, "pending_messages", p->pending_count);
	add_bool(o, "takes_regions", p->takes_regions);
	if (l != NULL) {
		add_int(o, "limit", l->limit);
		add_int(o, "running", l->running);
		add_int(o, "queued", l->queued);
	}
	return o;
}

static struct json_object *
dump_accounts(struct ir_node *n, int64_t now)
{
	const struct ir_view *v = node_view(n);
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < v->account_count; i++) {
		const struct ir_account *a = &v->accounts[i];
		char regions[256];
		struct json_object *o = json_object_new_object();

		add_string(o, "account", a->name);
		add_int(o, "rate_mt_per_s", (int64_t)a->rate_mt_per_s);
		add_int(o, "burst_mt", (int64_t)a->burst_mt);
		add_int(o, "tokens_held",
		    ir_rate_limiter_tokens(n->rate_limiter, now, a->name));
		add_string(o, "regions",
		    ir_region_set_text(a->regions, regions, sizeof(regions)));
		json_object_array_add(list, o);
	}
	return list;
}

struct json_object *
ir_node_state_json(struct ir_node *n, int64_t now)
{
	struct json_object *o = json_object_new_object();
	struct json_object *peers = json_object_new_array();
	struct peer *p, *tmp;

	add_string(o, "host", n->settings.host);
	add_string(o, "service", n->settings.service);
	add_string(o, "region", n->settings.region);
	add_string(o, "zone", n->settings.zone);
	add_int(o, "incarnation", (int64_t)n->settings.incarnation);
	add_int(o, "uptime_ms", (now - n->start_us) / IR_US_PER_MS);
	add_bool(o, "stopping", n->stopping);
	add_int(o, "calls", HASH_COUNT(n->calls));
	add_int(o, "attempts", HASH_COUNT(n->attempts));
	add_int(
	    o, "buckets_minted", (int64_t)ir_issuer_bucket_count(n->issuer));
	json_object_object_add(o, "view", dump_view(n, now));
	json_object_object_add(o, "gate", dump_gate(n, now));
	HASH_ITER (hh, n->peers, p, tmp)
		json_object_array_add(peers, dump_peer(n, now, p));
	json_object_object_add(o, "peers", peers);
	json_object_object_add(o, "accounts", dump_accounts(n, now));
	json_object_object_add(o, "counters", ir_node_counters_json(n));
	return o;
}

struct json_object *
ir_node_counters_json(const struct ir_node *n)
{
	struct json_object *o = json_object_new_object();

	for (int c = 0; c < IR_COUNTER_COUNT; c++)
		add_int(o, ir_counter_name(c), (int64_t)n->counters.value[c]);
	return o;
}

uint64_t
ir_node_counter(const struct ir_node *n, enum ir_counter which)
{
	return n->counters.value[which];
}

const struct ir_histograms *
ir_node_histograms(const struct ir_node *n)
{
	return &n->histograms;
}

void
ir_node_gauges(struct ir_node *n, int64_t now, struct ir_node_gauges *out)
{
	struct ir_load l = ir_gate_load(n->gate, now, "");
	int64_t age_us = ir_view_lease_age_us(n->view_lease, now);
	uint64_t config, list;

	ir_node_revisions(n, &config, &list);
	out->calls = HASH_COUNT(n->calls);
	out->gate_running = l.running;
	out->gate_queued = l.queued;
	out->gate_limit = l.limit;
	out->upstream_rate_limit_mt_per_s =
	    n->upstream.status.said.limited
		? (int64_t)n->upstream.status.said.rate_mt_per_s
		: -1;
	out->upstream_leaving = n->upstream.status.said.leaving;
	out->upstream_ended = n->upstream.ended;
	out->upstream_cold = ir_cold_start_state(&n->upstream.cold);
	out->upstream_slots = ir_upstream_load_slots(&n->upstream.load);
	out->upstream_work_percent = work_percent(n, now);
	out->suspects = (int64_t)ir_suspects_count(n->suspects);
	out->records = (int64_t)ir_records_count(n->records);
	out->hosts = (int64_t)node_view(n)->host_count;
	out->config_revision = (int64_t)ir_position_revision(config);
	out->list_revision = (int64_t)ir_position_revision(list);
	out->view_age_ms = age_us == INT64_MAX ? -1 : age_us / IR_US_PER_MS;
}
