/* Published sections, and the store as each node reads it. */
#include <stdio.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "contract/key.h"
#include "core/internal.h"
#include "host/position.h"
#include "support/fleet_priv.h"

static struct fleet_section *
find_or_add_section(struct fleet *f, const char *name)
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
is_host_section(const char *name)
{
	return ir_section_is_of_host_list(ir_section_kind_of(name));
}

static void
keep_past(struct fleet_section *s)
{
	s->past =
	    talloc_realloc(s, s->past, struct fleet_version, s->past_count + 1);
	s->past[s->past_count++] =
	    (struct fleet_version){s->text, s->revision, s->published_us};
}

void
fleet_publish(struct fleet *f, const char *name, const char *text)
{
	struct fleet_section *s = find_or_add_section(f, name);
	uint64_t *revision =
	    is_host_section(name) ? &f->list_revision : &f->config_revision;

	if (s->revision != 0)
		keep_past(s);
	if (s->lost_text != NULL)
		f->lost_count--;
	s->lost_text = NULL;
	s->text = talloc_strdup(s, text);
	s->revision = ++*revision;
	s->published_us = f->now_us;
}

int
fleet_store_readers(const struct fleet *f)
{
	int count = 0;

	for (int i = 0; i < f->node_count; i++)
		count += f->nodes[i].alive && !f->store_cut[i] &&
			 f->now_us >= f->nodes[i].paused_until_us;
	return count;
}

/* A change that no host could read counts from when the first one can. */
void
fleet_update_readable(struct fleet *f)
{
	if (f->store_correct_since_us == 0 || fleet_store_readers(f) == 0)
		return;
	if (f->key_withdrawal_readable_us == 0)
		f->key_withdrawal_readable_us = f->now_us;
	for (int i = 0; i < f->node_count; i++) {
		if (f->nodes[i].leaving_readable_since_us == 0)
			f->nodes[i].leaving_readable_since_us = f->now_us;
	}
	for (int i = 0; i < f->zone_count; i++) {
		if (f->zones[i].readable_since_us == 0)
			f->zones[i].readable_since_us = f->now_us;
	}
	if (f->rate_count > 1 && f->rates[f->rate_count - 2].superseded_us == 0)
		f->rates[f->rate_count - 2].superseded_us = f->now_us;
}

void
fleet_publish_host(struct fleet *f, int node, const char *state)
{
	struct fleet_node *n = &f->nodes[node];
	char name[40];
	char *text;

	(void)snprintf(name, sizeof(name), "host/%s", n->name);
	text = talloc_asprintf(f,
	    "{\"name\":\"%s\",\"service\":\"%s\",\"region\":\"%s\","
	    "\"zone\":\"%s\",\"address\":\"127.0.0.1\",\"peer_port\":%d,"
	    "\"caller_port\":%d,\"state\":\"%s\"",
	    n->name, n->service, n->region, n->zone, 7000 + node, 8000 + node,
	    state);
	if (n->slots > 0)
		text = talloc_asprintf_append(text, ",\"slots\":%u", n->slots);
	if (n->upstream_id != NULL)
		text = talloc_asprintf_append(
		    text, ",\"upstream_id\":\"%s\"", n->upstream_id);
	if (n->listed_cold)
		text = talloc_strdup_append(text, ",\"cold\":true");
	text = talloc_strdup_append(text, "}");
	if (strcmp(state, "gone") == 0)
		text[0] = '\0';
	fleet_publish(f, name, text);
	n->leaving = strcmp(state, "live") != 0;
	n->leaving_published_us = f->now_us;
	n->leaving_readable_since_us = 0;
	fleet_update_readable(f);
	if (n->leaving)
		f->last_leaving_us = f->now_us;
	talloc_free(text);
}

static struct fleet_zone *
find_or_add_zone(struct fleet *f, const char *name)
{
	for (int i = 0; i < f->zone_count; i++) {
		if (strcmp(f->zones[i].name, name) == 0)
			return &f->zones[i];
	}
	if (f->zone_count == FLEET_MAX_ZONES) {
		fleet_fail(f, "more than FLEET_MAX_ZONES zones evacuated");
		return &f->zones[0];
	}
	(void)snprintf(f->zones[f->zone_count].name,
	    sizeof(f->zones[f->zone_count].name), "%s", name);
	return &f->zones[f->zone_count++];
}

void
fleet_evacuate(struct fleet *f, const char *zone, bool evacuated)
{
	struct fleet_zone *z = find_or_add_zone(f, zone);
	char name[40], text[80] = "";

	(void)snprintf(name, sizeof(name), "zone/%s", zone);
	if (evacuated)
		(void)snprintf(text, sizeof(text),
		    "{\"name\":\"%s\",\"evacuated\":true}", zone);
	fleet_publish(f, name, text);
	if (evacuated && !z->evacuated)
		z->readable_since_us = 0;
	z->evacuated = evacuated;
	fleet_update_readable(f);
}

int64_t
fleet_evacuated_for_us(const struct fleet *f, const char *zone)
{
	for (int i = 0; i < f->zone_count; i++) {
		const struct fleet_zone *z = &f->zones[i];

		if (z->evacuated && strcmp(z->name, zone) == 0)
			return fleet_readable_for_us(f, z->readable_since_us);
	}
	return 0;
}

/* Rates published before the first node starts replace each other. */
static void
record_rate(struct fleet *f, uint64_t rate_per_s, uint64_t burst)
{
	struct fleet_rate *r;

	if (f->last_incarnation == 0)
		f->rate_count = 0;
	if (f->rate_count == FLEET_MAX_RATES) {
		fleet_fail(f, "more than FLEET_MAX_RATES rates published");
		return;
	}
	/* The previous rate was superseded by one that no host could read. */
	if (f->rate_count > 1 && f->rates[f->rate_count - 2].superseded_us == 0)
		f->rates[f->rate_count - 2].superseded_us = f->now_us;
	r = &f->rates[f->rate_count++];
	*r = (struct fleet_rate){.rate_mt_per_s = rate_per_s * 1000,
	    .burst_mt = burst * 1000,
	    .published_us = f->now_us,
	    .in_force_until_us = INT64_MAX};
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
	    "\"key_digests\":[%s%s%s]%s%s}]}",
	    (unsigned long long)generation, (unsigned long long)rate_per_s,
	    (unsigned long long)burst, (unsigned long long)generation,
	    with_key ? "\"" : "", with_key ? digest : "", with_key ? "\"" : "",
	    f->account_regions != NULL ? ",\"regions\":" : "",
	    f->account_regions != NULL ? f->account_regions : "");
	fleet_publish(f, "accounts", text);
	talloc_free(text);
	if (f->key_published && !with_key)
		f->key_withdrawn_us = f->now_us;
	if (f->key_published && !with_key)
		f->key_withdrawal_readable_us = 0;
	f->key_published = with_key;
	f->rate_mt_per_s = rate_per_s * 1000;
	f->burst_mt = burst * 1000;
	record_rate(f, rate_per_s, burst);
	fleet_update_readable(f);
}

/* Generations rise over restores too. */
static uint64_t
next_generation(const struct fleet *f)
{
	return f->config_revision + f->lost_revisions + 1;
}

void
fleet_publish_account(
    struct fleet *f, uint64_t rate_per_s, uint64_t burst, bool with_key)
{
	fleet_publish_rate(f, next_generation(f), rate_per_s, burst, with_key);
}

void
fleet_move_key(struct fleet *f, const char *account)
{
	uint64_t generation = next_generation(f);
	char digest[IR_KEY_DIGEST_HEX + 1];
	char *text;

	ir_key_digest(fleet_key, digest);
	text = talloc_asprintf(f,
	    "{\"generation\":%llu,\"accounts\":[{\"name\":\"a\","
	    "\"rate_per_s\":%llu,\"burst\":%llu,\"weight\":%llu,"
	    "\"key_digests\":[]},{\"name\":\"%s\",\"weight\":1,"
	    "\"key_digests\":[\"%s\"]}]}",
	    (unsigned long long)generation,
	    (unsigned long long)f->rate_mt_per_s / 1000,
	    (unsigned long long)f->burst_mt / 1000,
	    (unsigned long long)generation, account, digest);
	fleet_publish(f, "accounts", text);
	f->key_account = account;
	f->key_moved_us = f->now_us;
}

void
fleet_publish_account_regions(
    struct fleet *f, const char *only, const char *regions)
{
	f->only_region = only;
	f->account_regions = regions;
	if (regions == NULL && only != NULL)
		f->account_regions = talloc_asprintf(f, "[\"%s\"]", only);
	f->regions_published_us = f->now_us;
	fleet_publish_account(
	    f, f->rate_mt_per_s / 1000, f->burst_mt / 1000, f->key_published);
}

#define ROUTE_TEXT                                                    \
	"{\"authority\":\"shop\",\"path\":\"/%s/\",\"importance\":1," \
	"\"deadline_ms\":5000,\"target_ms\":0,\"idempotent\":%s,"     \
	"\"open\":false,"                                             \
	"\"retries\":2,\"parts\":[{\"service\":\"%s\",\"weight\":1}]%s%s}"

void
fleet_publish_route(struct fleet *f, const char *service, const char *regions)
{
	const char *member = regions != NULL ? ",\"regions\":" : "";
	const char *list = regions != NULL ? regions : "";
	char *text = talloc_asprintf(f,
	    "{\"generation\":%llu,\"routes\":[" ROUTE_TEXT "," ROUTE_TEXT "]}",
	    (unsigned long long)next_generation(f), "read", "true", service,
	    member, list, "write", "false", service, member, list);

	fleet_publish(f, "routes", text);
	talloc_free(text);
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
	if (f->cold_rate_per_s != 0 && strcmp(name, "s") == 0) {
		text[strlen(text) - 1] = '\0';
		text = talloc_asprintf_append(text,
		    ",\"cold_rate_per_s\":%u,\"check_path\":\"/health\"}",
		    f->cold_rate_per_s);
	}
	fleet_publish(f, section, text);
	talloc_free(text);
}

void
fleet_publish_defaults(struct fleet *f)
{
	char text[200];

	(void)snprintf(text, sizeof(text),
	    "{\"generation\":%llu,\"store_region\":\"r1\","
	    "\"link_bytes_per_s\":3750000,\"unconfirmed_view\":\"%s\"}",
	    (unsigned long long)f->config_revision + 1,
	    f->tolerant ? "serve" : "refuse");
	fleet_publish(f, "fleet", text);
	fleet_publish_account(f, 1000, 1000, true);
	publish_service(f, "s");
	publish_service(f, "t");
}

/* The store, as each node reads it. */

/* Terms of changes start again when the store is neither down nor stale. */
static void
update_store_state(struct fleet *f)
{
	bool good = !f->store_down && !f->store_stale && f->lost_count == 0;

	if (!good)
		f->store_correct_since_us = 0;
	else if (f->store_correct_since_us == 0)
		f->store_correct_since_us = f->now_us;
}

void
fleet_set_store_stale(struct fleet *f, bool stale)
{
	f->store_stale = stale;
	f->stale_config_revision = f->config_revision;
	f->stale_list_revision = f->list_revision;
	update_store_state(f);
}

void
fleet_set_store_down(struct fleet *f, bool down)
{
	f->store_down = down;
	update_store_state(f);
}

/* Takes one publication of a section back. */
static void
undo_publication(struct fleet *f, struct fleet_section *s)
{
	uint64_t *revision =
	    is_host_section(s->name) ? &f->list_revision : &f->config_revision;

	if (s->lost_text == NULL) {
		s->lost_text = s->text;
		s->lost_due_us =
		    f->now_us + (int64_t)(XXH64(s->name, strlen(s->name),
					      f->seed + f->sequence) %
					  FLEET_REWRITE_PAUSE_US);
		f->lost_count++;
	}
	if (s->revision <= *revision)
		*revision = s->revision - 1;
	s->revision = 0;
	if (s->past_count == 0)
		return;
	s->past_count--;
	s->text = s->past[s->past_count].text;
	s->revision = s->past[s->past_count].revision;
	s->published_us = s->past[s->past_count].published_us;
}

/* The superseded rate is in the store again until the next one is. */
static void
restore_rates(struct fleet *f, int64_t copy_us)
{
	for (int i = 0; i + 1 < f->rate_count; i++) {
		if (f->rates[i + 1].published_us <= copy_us)
			continue;
		f->rates[i].in_force_until_us = INT64_MAX;
		f->rates[i].superseded_us = f->now_us;
	}
}

void
fleet_restore_store(struct fleet *f, int64_t age_us)
{
	uint64_t config_revision = f->config_revision;
	struct fleet_section *s;

	LL_FOREACH (f->sections, s) {
		while (s->revision != 0 && s->published_us > f->now_us - age_us)
			undo_publication(f, s);
	}
	f->era++;
	f->lost_revisions += config_revision - f->config_revision;
	f->store_stale = false;
	restore_rates(f, f->now_us - age_us);
	f->store_correct_since_us = 0;
	update_store_state(f);
}

void
fleet_publish_lost(struct fleet *f)
{
	struct fleet_section *s;

	if (f->lost_count == 0 || f->store_down)
		return;
	LL_FOREACH (f->sections, s) {
		if (s->lost_text != NULL && f->now_us >= s->lost_due_us)
			fleet_publish(f, s->name, s->lost_text);
	}
	update_store_state(f);
}

void
fleet_set_list_lag(struct fleet *f, int64_t lag_us)
{
	f->list_lag_us = lag_us;
	if (lag_us > f->max_list_lag_us)
		f->max_list_lag_us = lag_us;
}

int64_t
fleet_readable_for_us(const struct fleet *f, int64_t published_us)
{
	int64_t from = published_us;

	if (f->store_correct_since_us == 0 || from == 0)
		return 0;
	if (f->store_correct_since_us > from)
		from = f->store_correct_since_us;
	return f->now_us - from;
}

static void
schedule_store_read(struct fleet *f, int node, bool hosts)
{
	struct fleet_event *ev;

	ev = fleet_event(f, EVENT_STORE_READ, node,
	    f->now_us + f->store_wait_us + f->delay_us);
	ev->reads_list = hosts;
	ev->requested_us = f->now_us;
	fleet_schedule(f, ev);
}

void
fleet_poll_store(struct fleet *f, int node)
{
	struct fleet_node *n = &f->nodes[node];

	if (f->now_us < n->next_store_poll_us ||
	    !ir_node_should_read_store(n->node))
		return;
	n->next_store_poll_us =
	    f->now_us + f->store_wait_us + 300 * IR_US_PER_MS;
	schedule_store_read(f, node, false);
	schedule_store_read(f, node, true);
}

static bool
section_visible(
    const struct fleet *f, const struct fleet_section *s, bool hosts)
{
	if (is_host_section(s->name) != hosts || s->revision == 0)
		return false;
	if (f->store_stale)
		return s->revision <= (hosts ? f->stale_list_revision
					     : f->stale_config_revision);
	return !hosts || f->now_us - s->published_us >= f->list_lag_us;
}

static void
fail_store_read(struct fleet *f, const struct fleet_event *ev)
{
	int64_t due_us = ev->requested_us + f->store_timeout_us;
	struct fleet_event *later;

	if (f->now_us >= due_us) {
		ir_node_store_failed(
		    f->nodes[ev->node].node, f->now_us, ev->requested_us);
		return;
	}
	later = fleet_event(f, EVENT_STORE_READ, ev->node, due_us);
	later->reads_list = ev->reads_list;
	later->requested_us = ev->requested_us;
	fleet_schedule(f, later);
}

void
fleet_deliver_store(struct fleet *f, struct fleet_event *ev)
{
	struct fleet_node *n = &f->nodes[ev->node];
	struct ir_section sections[64];
	struct ir_store_read r = {0};
	struct fleet_section *s;
	uint64_t config, list, node_revision;

	fleet_report_step(f, STEP_STORE_READ, ev->node, -1, 0);
	if (!n->alive || f->now_us < n->paused_until_us)
		return;
	if (f->store_down || f->store_cut[ev->node]) {
		fail_store_read(f, ev);
		return;
	}
	ir_node_revisions(n->node, &config, &list);
	node_revision = ev->reads_list ? list : config;
	LL_FOREACH (f->sections, s) {
		uint64_t position = ir_position(f->era, s->revision);

		if (!section_visible(f, s, ev->reads_list))
			continue;
		if (position > r.revision)
			r.revision = position;
		/* In a quarter of cases, repeats sections known to the node. */
		if (position <= node_revision && f->sequence % 4 != 0)
			continue;
		sections[r.section_count].name = s->name;
		sections[r.section_count].revision = position;
		sections[r.section_count].generation = 0;
		sections[r.section_count].text = s->text;
		r.section_count++;
	}
	r.is_host_list = ev->reads_list;
	r.request_sent_us = ev->requested_us;
	r.sections = sections;
	ir_node_store_read(n->node, f->now_us, &r);
}
