/* Status of the other hosts. */
#include <string.h>
#include <utlist.h>

#include "core/unconst.h"

#include "upstream/gate.h"
#include "upstream/priority.h"
#include "zone/host_status.h"

/* Older load reports are ignored. Five heartbeats of a link in use. */
#define LOAD_VALID_US IR_US_PER_S
#define MIN_BACKOFF_US (200 * IR_US_PER_MS)
#define MAX_BACKOFF_US (2 * IR_US_PER_S)

/* The linter counts uthash's macros towards the size of a function. */
/* NOLINTBEGIN(readability-function-size) */
struct ir_host_status *
ir_host_status_find(const struct ir_host_status_table *t, const char *host)
{
	struct ir_host_status *s;

	HASH_FIND_STR(t->hosts, host, s);
	return s;
}

static void
add_host(struct ir_host_status_table *t, struct ir_host_status *s)
{
	HASH_ADD_KEYPTR(hh, t->hosts, s->host, strlen(s->host), s);
}

static struct ir_account_shed_level *
find_level(const struct ir_host_status *s, const char *account)
{
	struct ir_account_shed_level *l;

	HASH_FIND_STR(s->account_levels, account, l);
	return l;
}

static void
add_level(struct ir_host_status *s, struct ir_account_shed_level *l)
{
	HASH_ADD_KEYPTR(
	    hh, s->account_levels, l->account, strlen(l->account), l);
}

static void
free_level(struct ir_account_shed_level *l)
{
	HASH_DEL(l->host->account_levels, l);
	DL_DELETE(l->host->table->levels, l);
	talloc_free(l);
}
/* NOLINTEND(readability-function-size) */

static int
clear_account_levels(struct ir_host_status *s)
{
	struct ir_account_shed_level *l, *tmp;

	HASH_ITER (hh, s->account_levels, l, tmp) {
		free_level(l);
	}
	return 0;
}

static int
clear_hosts(struct ir_host_status_table *t)
{
	HASH_CLEAR(hh, t->hosts);
	return 0;
}

struct ir_host_status_table *
ir_host_status_table_new(TALLOC_CTX *mem)
{
	struct ir_host_status_table *t =
	    talloc_zero(mem, struct ir_host_status_table);

	if (t != NULL)
		talloc_set_destructor(t, clear_hosts);
	return t;
}

struct ir_host_status *
ir_host_status_find_or_add(struct ir_host_status_table *t, const char *host)
{
	struct ir_host_status *s = ir_host_status_find(t, host);

	if (s != NULL)
		return s;
	s = talloc_zero(t, struct ir_host_status);
	if (s == NULL)
		return NULL;
	s->table = t;
	s->host = talloc_strdup(s, host);
	if (s->host == NULL) {
		talloc_free(s);
		return NULL;
	}
	talloc_set_destructor(s, clear_account_levels);
	add_host(t, s);
	return s;
}

void
ir_host_status_set_load(
    struct ir_host_status *s, int64_t now, const struct ir_load *load)
{
	s->has_load = true;
	s->load = *load;
	s->load_received_us = now;
	s->in_flight_at_report = s->in_flight;
}

static struct ir_account_shed_level *
new_level(struct ir_host_status *s, const char *account)
{
	struct ir_account_shed_level *l =
	    talloc_zero(s, struct ir_account_shed_level);

	if (l == NULL)
		return NULL;
	l->host = s;
	l->account = talloc_strdup(l, account);
	if (l->account == NULL) {
		talloc_free(l);
		return NULL;
	}
	add_level(s, l);
	return l;
}

static void
free_outdated_levels(struct ir_host_status_table *t, int64_t now)
{
	while (t->levels != NULL &&
	       now - t->levels->received_us > IR_ACCOUNT_LEVEL_MAX_AGE_US)
		free_level(t->levels);
}

void
ir_host_status_set_account_level(
    struct ir_host_status *s, int64_t now, const char *account, uint32_t level)
{
	struct ir_account_shed_level *l;

	free_outdated_levels(s->table, now);
	l = find_level(s, account);
	if (l != NULL)
		DL_DELETE(s->table->levels, l);
	else
		l = new_level(s, account);
	if (l == NULL)
		return;
	l->level = level;
	l->received_us = now;
	DL_APPEND(s->table->levels, l);
}

static void
forget_upstream(struct ir_host_status *s)
{
	TALLOC_FREE(s->upstream_id);
	memset(&s->upstream_status, 0, sizeof(s->upstream_status));
}

void
ir_host_status_upstream_said(struct ir_host_status *s, int64_t now,
    const char *upstream_id, int64_t sent_us, const struct ir_statement *said)
{
	if (s->upstream_id != NULL && strcmp(s->upstream_id, upstream_id) != 0)
		forget_upstream(s);
	if (s->upstream_id == NULL)
		s->upstream_id = talloc_strdup(s, upstream_id);
	(void)ir_upstream_status_apply(&s->upstream_status, now, sent_us, said);
}

bool
ir_host_status_upstream_notice(const struct ir_host_status *s, int64_t now,
    struct ir_upstream_notice *notice)
{
	memset(notice, 0, sizeof(*notice));
	if (s->upstream_id == NULL)
		return false;
	notice->upstream_id = s->upstream_id;
	notice->limited = ir_upstream_status_limited(&s->upstream_status, now);
	notice->rate_mt_per_s = s->upstream_status.said.rate_mt_per_s;
	notice->leaving = ir_upstream_status_leaving(&s->upstream_status, now);
	return notice->limited || notice->leaving;
}

void
ir_host_status_set_unreachable(struct ir_host_status *s, int64_t now)
{
	s->unreachable = true;
	s->lacks_regions = false;
	s->has_load = false;
	s->backoff_us *= 2;
	if (s->backoff_us < MIN_BACKOFF_US)
		s->backoff_us = MIN_BACKOFF_US;
	if (s->backoff_us > MAX_BACKOFF_US)
		s->backoff_us = MAX_BACKOFF_US;
	s->retry_us = now + s->backoff_us;
}

/* The host may have restarted, so its earlier reports are discarded. */
void
ir_host_status_set_reachable(struct ir_host_status *s)
{
	s->unreachable = false;
	s->backoff_us = 0;
	s->has_load = false;
	(void)clear_account_levels(s);
}

void
ir_host_status_postpone_retry(struct ir_host_status *s, int64_t now)
{
	if (s->unreachable)
		s->retry_us = now + s->backoff_us;
}

bool
ir_host_status_is_available(const struct ir_host_status *s, int64_t now)
{
	if (s == NULL)
		return true;
	if (s->has_load && s->load.leaving)
		return false;
	if (ir_upstream_status_leaving(&s->upstream_status, now))
		return false;
	return !s->unreachable || now >= s->retry_us;
}

/*
 * The report includes the requests of this node that were in flight when it
 * was received, so only those sent since are added to it.
 */
double
ir_host_status_utilization(
    const struct ir_host_status *s, int64_t now, uint32_t slots)
{
	uint32_t limit = slots > 0 ? slots : 1;
	uint32_t requests;

	if (s == NULL)
		return 0;
	if (!s->has_load || now - s->load_received_us > LOAD_VALID_US)
		return (double)s->in_flight / limit;
	if (s->load.limit > 0)
		limit = s->load.limit;
	requests = s->load.running + s->load.queued;
	if (s->in_flight > s->in_flight_at_report)
		requests += s->in_flight - s->in_flight_at_report;
	if (requests < s->in_flight)
		requests = s->in_flight;
	return (double)requests / limit;
}

bool
ir_host_status_speed_known(const struct ir_host_status *s, int64_t now)
{
	return s != NULL && s->has_load && ir_load_speed_known(&s->load) &&
	       now - s->load_received_us < IR_REPORT_WEIGHT_END_US;
}

struct ir_host_estimate
ir_host_status_estimate(
    const struct ir_host_status *s, int64_t now, uint32_t slots)
{
	struct ir_host_estimate e = {.limit = slots > 0 ? slots : 1};

	if (s == NULL)
		return e;
	e.in_flight = s->in_flight;
	if (!s->has_load || now - s->load_received_us > LOAD_VALID_US)
		return e;
	e.reported = true;
	e.age_us = now - s->load_received_us;
	if (s->load.limit > 0)
		e.limit = s->load.limit;
	e.present = s->load.running + s->load.queued;
	if (s->in_flight > s->in_flight_at_report)
		e.sent_since = s->in_flight - s->in_flight_at_report;
	e.speed_known = ir_load_speed_known(&s->load);
	e.service_time_us = ir_load_service_time_us(&s->load);
	return e;
}

uint32_t
ir_host_status_shed_level(const struct ir_host_status *s, int64_t now,
    const char *account, int64_t max_age_us)
{
	const struct ir_account_shed_level *l;

	if (s == NULL)
		return 0;
	l = find_level(s, account);
	if (l != NULL && now - l->received_us <= max_age_us)
		return l->level;
	if (s->has_load && now - s->load_received_us <= max_age_us)
		return s->load.shed_level & ~IR_RANK_MASK;
	return 0;
}

static void
remove_unlisted_accounts(struct ir_host_status *s, const struct ir_view *v)
{
	struct ir_account_shed_level *l, *tmp;

	HASH_ITER (hh, s->account_levels, l, tmp) {
		if (l->account[0] == '\0' ||
		    ir_view_account(v, l->account) != NULL)
			continue;
		free_level(l);
	}
}

/*
 * A host that reported itself leaving gets no requests and so sends no new
 * reports: the host list is what shows that it, or another upstream at it, is
 * live.
 */
static void
apply_listed_state(struct ir_host_status *s, const struct ir_host *h)
{
	uint64_t upstream = XXH64(h->upstream_id, strlen(h->upstream_id), 0);
	/* Before the first view the report's upstream is not known. */
	bool replaced = s->listed_upstream == 0
			    ? s->load.leaving
			    : s->listed_upstream != upstream;

	if (!h->leaving && (s->listed_leaving || replaced))
		s->has_load = false;
	s->listed_leaving = h->leaving;
	s->listed_upstream = upstream;
	if (s->upstream_id != NULL &&
	    strcmp(s->upstream_id, h->upstream_id) != 0)
		forget_upstream(s);
}

void
ir_host_status_apply_view(
    struct ir_host_status_table *t, int64_t now, const struct ir_view *v)
{
	const struct ir_host *h;
	struct ir_host_status *s, *tmp;
	struct ir_upstream_notice notice;

	HASH_ITER (hh, t->hosts, s, tmp) {
		h = ir_view_host(v, s->host);
		remove_unlisted_accounts(s, v);
		if (h != NULL) {
			apply_listed_state(s, h);
			continue;
		}
		if (ir_host_status_upstream_notice(s, now, &notice))
			continue;
		HASH_DEL(t->hosts, s);
		talloc_free(s);
	}
}
