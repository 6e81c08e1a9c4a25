/* The lease on the view. */
#include <stdlib.h>
#include <string.h>

#include "core/table.h"
#include "host/view_lease.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

#define NEVER INT64_MIN

enum {
	CONFIG,
	HOST_LIST,
	GROUP_COUNT
};

/* Confirms that no revision above this one existed at time_us. */
struct confirmation {
	uint64_t revision;
	int64_t time_us;
};

/* The result of a store reader's last read, as it reported it. */
struct reader_report {
	char *name;
	int64_t sent_us;
	int64_t read_us; /* of its last read; NEVER: none yet */
	bool store_reachable;
	uint64_t revision[GROUP_COUNT];
	UT_hash_handle hh;
};

struct ir_view_lease {
	int64_t lease_us;
	struct confirmation confirmed[GROUP_COUNT];
	struct confirmation by_peers[GROUP_COUNT];
	/* When reads were sent; NEVER: none. Stale answers are failures. */
	int64_t last_answer_us[GROUP_COUNT];
	int64_t last_failure_us;
	int64_t outage_us; /* time of the evidence; NEVER: none */
	uint64_t outage_revision[GROUP_COUNT];
	struct reader_report *reports;
};

static int
lease_destructor(struct ir_view_lease *l)
{
	HASH_CLEAR(hh, l->reports);
	return 0;
}

struct ir_view_lease *
ir_view_lease_new(TALLOC_CTX *mem)
{
	struct ir_view_lease *l = talloc_zero(mem, struct ir_view_lease);

	l->lease_us = IR_VIEW_LEASE_US;
	for (int group = 0; group < GROUP_COUNT; group++) {
		l->confirmed[group].time_us = NEVER;
		l->by_peers[group].time_us = NEVER;
		l->last_answer_us[group] = NEVER;
	}
	l->last_failure_us = NEVER;
	l->outage_us = NEVER;
	talloc_set_destructor(l, lease_destructor);
	return l;
}

void
ir_view_lease_set_length(struct ir_view_lease *l, int64_t lease_us)
{
	l->lease_us = lease_us;
}

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t
earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/*
 * Converts an age received in reply to a request sent at sent_us to a time on
 * the local clock; NEVER if that time is below 0.
 */
static int64_t
time_of_age(int64_t sent_us, uint64_t age_us)
{
	if (sent_us < 0 || age_us > (uint64_t)sent_us)
		return NEVER;
	return sent_us - (int64_t)age_us;
}

static uint64_t
age_of(int64_t now, int64_t time_us)
{
	if (time_us == NEVER)
		return UINT64_MAX;
	return now > time_us ? (uint64_t)(now - time_us) : 0;
}

static bool
is_fresh(const struct ir_view_lease *l, int64_t now, int64_t time_us)
{
	return age_of(now, time_us) <= (uint64_t)l->lease_us;
}

/*
 * A higher revision replaces a lower one even if its time is earlier: if the
 * higher revision already existed when the lower one was confirmed, the answer
 * that confirmed the lower one was stale.
 */
static void
confirm(struct confirmation *c, uint64_t revision, int64_t time_us)
{
	if (revision < c->revision)
		return;
	if (revision > c->revision)
		c->time_us = time_us;
	c->revision = revision;
	c->time_us = later(c->time_us, time_us);
}

bool
ir_view_lease_store_answered(
    struct ir_view_lease *l, int64_t sent_us, bool hosts, uint64_t revision)
{
	int group = hosts ? HOST_LIST : CONFIG;

	if (revision < l->confirmed[group].revision) {
		ir_view_lease_store_failed(l, sent_us);
		return false;
	}
	l->last_answer_us[group] = later(l->last_answer_us[group], sent_us);
	confirm(&l->confirmed[group], revision, sent_us);
	return true;
}

void
ir_view_lease_store_failed(struct ir_view_lease *l, int64_t sent_us)
{
	l->last_failure_us = later(l->last_failure_us, sent_us);
}

/*
 * The last time at which the reads of both groups had been answered; NEVER if
 * one of them has not been answered yet.
 */
static int64_t
last_full_answer_us(const struct ir_view_lease *l)
{
	return earlier(l->last_answer_us[CONFIG], l->last_answer_us[HOST_LIST]);
}

static struct reader_report
make_own_report(const struct ir_view_lease *l)
{
	struct reader_report r = {
	    .read_us = last_full_answer_us(l), .store_reachable = true};

	if (l->last_failure_us > r.read_us) {
		r.read_us = l->last_failure_us;
		r.store_reachable = false;
	}
	return r;
}

static struct reader_report *
find_report(const struct ir_view_lease *l, const char *name)
{
	struct reader_report *r;

	HASH_FIND_STR(l->reports, name, r);
	return r;
}

static struct reader_report *
add_report(struct ir_view_lease *l, const char *name)
{
	struct reader_report *r = talloc_zero(l, struct reader_report);

	r->name = talloc_strdup(r, name);
	r->sent_us = NEVER;
	HASH_ADD_KEYPTR(hh, l->reports, r->name, strlen(r->name), r);
	return r;
}

static void
remove_old_reports(struct ir_view_lease *l, int64_t now)
{
	struct reader_report *r, *next;

	HASH_ITER (hh, l->reports, r, next) {
		if (is_fresh(l, now, r->sent_us))
			continue;
		HASH_DEL(l->reports, r);
		talloc_free(r);
	}
}

static void
save_report(struct ir_view_lease *l, int64_t sent_us, const char *peer,
    const struct ir_view_msg *m)
{
	struct reader_report *r = find_report(l, peer);

	if (r == NULL)
		r = add_report(l, peer);
	if (sent_us < r->sent_us)
		return;
	r->sent_us = sent_us;
	r->read_us = NEVER;
	if (m->store_tried)
		r->read_us = time_of_age(sent_us, m->store_age_us);
	r->store_reachable = m->store_reachable;
	r->revision[CONFIG] = m->config_revision;
	r->revision[HOST_LIST] = m->list_revision;
	remove_old_reports(l, sent_us);
}

static void
save_outage_evidence(struct ir_view_lease *l, int64_t time_us,
    uint64_t config_revision, uint64_t list_revision)
{
	bool same = config_revision == l->outage_revision[CONFIG] &&
		    list_revision == l->outage_revision[HOST_LIST];

	if (time_us == NEVER || config_revision < l->outage_revision[CONFIG] ||
	    list_revision < l->outage_revision[HOST_LIST])
		return;
	l->outage_us = same ? later(l->outage_us, time_us) : time_us;
	l->outage_revision[CONFIG] = config_revision;
	l->outage_revision[HOST_LIST] = list_revision;
}

static void
confirm_by_peer(
    struct ir_view_lease *l, int group, uint64_t revision, int64_t time_us)
{
	confirm(&l->confirmed[group], revision, time_us);
	confirm(&l->by_peers[group], revision, time_us);
}

void
ir_view_lease_peer_answered(struct ir_view_lease *l, int64_t sent_us,
    const char *peer, bool reader, const struct ir_view_msg *m)
{
	int64_t confirmed_us = time_of_age(sent_us, m->confirm_age_us);

	confirm_by_peer(l, CONFIG, m->config_revision, confirmed_us);
	confirm_by_peer(l, HOST_LIST, m->list_revision, confirmed_us);
	save_outage_evidence(l, time_of_age(sent_us, m->outage_age_us),
	    m->outage_config_revision, m->outage_list_revision);
	if (reader)
		save_report(l, sent_us, peer, m);
}

void
ir_view_lease_reader_reported(struct ir_view_lease *l, int64_t sent_us,
    const char *peer, const struct ir_view_msg *m)
{
	save_report(l, sent_us, peer, m);
}

/* How the report of one reader counts towards outage evidence. */
enum vote {
	VOTE_NONE,
	VOTE_FOR,
	VOTE_AGAINST
};

static enum vote
vote_of(const struct ir_view_lease *l, const struct reader_report *r,
    int64_t now, const uint64_t revision[GROUP_COUNT])
{
	if (!is_fresh(l, now, r->read_us))
		return VOTE_NONE;
	if (r->store_reachable)
		return VOTE_AGAINST;
	if (r->revision[CONFIG] != revision[CONFIG] ||
	    r->revision[HOST_LIST] != revision[HOST_LIST])
		return VOTE_NONE;
	return VOTE_FOR;
}

static int
compare_latest_first(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* The input of ir_view_lease_evaluate_outage(). */
struct outage_query {
	const struct ir_store_reader *readers;
	size_t count;
	const char *self;
	struct reader_report own;
	int64_t now;
	uint64_t revision[GROUP_COUNT];
};

/* The votes of the readers of one region. */
struct region_votes {
	size_t readers;
	size_t votes;
	int64_t *times; /* read_us of each VOTE_FOR */
	bool against;
};

static void
count_vote(const struct ir_view_lease *l, const struct outage_query *q,
    const char *name, struct region_votes *v)
{
	const struct reader_report *r = &q->own;

	v->readers++;
	if (strcmp(name, q->self) != 0)
		r = find_report(l, name);
	if (r == NULL)
		return;
	switch (vote_of(l, r, q->now, q->revision)) {
	case VOTE_FOR:
		v->times[v->votes++] = r->read_us;
		break;
	case VOTE_AGAINST:
		v->against = true;
		break;
	default:
		break;
	}
}

/*
 * The time at which a majority had failed to read: the oldest among the latest
 * votes that make up a majority. NEVER if there is no majority.
 */
static int64_t
majority_read_us(const struct region_votes *v)
{
	size_t majority = v->readers / 2 + 1;

	if (v->against || v->votes < majority)
		return NEVER;
	qsort(v->times, v->votes, sizeof *v->times, compare_latest_first);
	return v->times[majority - 1];
}

/* The time at which a majority of the region's readers had failed, or NEVER. */
static int64_t
region_outage_time_us(const struct ir_view_lease *l,
    const struct outage_query *q, const char *region, struct region_votes *v)
{
	v->readers = 0;
	v->votes = 0;
	v->against = false;
	for (size_t i = 0; i < q->count; i++)
		if (strcmp(q->readers[i].region, region) == 0)
			count_vote(l, q, q->readers[i].name, v);
	return majority_read_us(v);
}

void
ir_view_lease_evaluate_outage(struct ir_view_lease *l, int64_t now,
    const char *self, const struct ir_store_reader *readers, size_t count,
    uint64_t config_revision, uint64_t list_revision)
{
	struct outage_query q = {.readers = readers,
	    .count = count,
	    .self = self,
	    .own = make_own_report(l),
	    .now = now,
	    .revision = {config_revision, list_revision}};
	struct region_votes v = {.times = talloc_array(l, int64_t, count)};
	int64_t evidence_us = count > 0 ? INT64_MAX : NEVER;

	q.own.revision[CONFIG] = config_revision;
	q.own.revision[HOST_LIST] = list_revision;
	/*
	 * A region in several places of the list is evaluated repeatedly, with
	 * the same result.
	 */
	for (size_t i = 0; i < count; i++)
		if (i == 0 ||
		    strcmp(readers[i].region, readers[i - 1].region) != 0)
			evidence_us =
			    earlier(evidence_us, region_outage_time_us(l, &q,
						     readers[i].region, &v));
	save_outage_evidence(l, evidence_us, config_revision, list_revision);
	talloc_free(v.times);
}

static bool
has_known_revisions(const struct ir_view_lease *l, uint64_t config_revision,
    uint64_t list_revision)
{
	return l->confirmed[CONFIG].revision <= config_revision &&
	       l->confirmed[HOST_LIST].revision <= list_revision;
}

static int64_t
confirmed_us(const struct ir_view_lease *l)
{
	return earlier(
	    l->confirmed[CONFIG].time_us, l->confirmed[HOST_LIST].time_us);
}

enum ir_view_state
ir_view_lease_state(const struct ir_view_lease *l, int64_t now,
    uint64_t config_revision, uint64_t list_revision)
{
	/* A higher revision is known to exist. */
	if (!has_known_revisions(l, config_revision, list_revision))
		return IR_VIEW_UNCONFIRMED;
	if (is_fresh(l, now, confirmed_us(l)))
		return IR_VIEW_CONFIRMED;
	if (l->outage_revision[CONFIG] == config_revision &&
	    l->outage_revision[HOST_LIST] == list_revision &&
	    is_fresh(l, now, l->outage_us))
		return IR_VIEW_OUTAGE;
	return IR_VIEW_UNCONFIRMED;
}

void
ir_view_lease_fill_reply(const struct ir_view_lease *l, int64_t now,
    uint64_t config_revision, uint64_t list_revision, struct ir_view_msg *m)
{
	struct reader_report own = make_own_report(l);

	m->config_revision = config_revision;
	m->list_revision = list_revision;
	m->confirm_age_us = UINT64_MAX;
	if (has_known_revisions(l, config_revision, list_revision))
		m->confirm_age_us = age_of(now, confirmed_us(l));
	m->outage_age_us = age_of(now, l->outage_us);
	m->outage_config_revision = l->outage_revision[CONFIG];
	m->outage_list_revision = l->outage_revision[HOST_LIST];
	m->store_tried = own.read_us != NEVER;
	m->store_reachable = m->store_tried && own.store_reachable;
	m->store_age_us = age_of(now, own.read_us);
}

static int64_t
limited_age(int64_t now, int64_t time_us)
{
	uint64_t age_us = age_of(now, time_us);

	return age_us > INT64_MAX ? INT64_MAX : (int64_t)age_us;
}

int64_t
ir_view_lease_age_us(const struct ir_view_lease *l, int64_t now)
{
	return limited_age(now, confirmed_us(l));
}

int64_t
ir_view_lease_peer_age_us(const struct ir_view_lease *l, int64_t now)
{
	int64_t time_us = INT64_MAX;

	for (int group = 0; group < GROUP_COUNT; group++) {
		if (l->by_peers[group].revision < l->confirmed[group].revision)
			return INT64_MAX;
		time_us = earlier(time_us, l->by_peers[group].time_us);
	}
	return limited_age(now, time_us);
}
