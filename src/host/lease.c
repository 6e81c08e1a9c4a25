/* The lease on the view. */
#include <stdlib.h>
#include <string.h>

#include "core/table.h"
#include "host/lease.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

#define NEVER INT64_MIN

enum {
	CONFIG,
	LIST,
	PARTS
};

/* Nothing above revision existed at time_us. */
struct confirmation {
	uint64_t revision;
	int64_t time_us;
};

/* What a reader said of itself. */
struct report {
	char *name;
	int64_t asked_us;
	int64_t tried_us; /* NEVER: did not try */
	bool reachable;
	uint64_t revision[PARTS];
	UT_hash_handle hh;
};

struct ir_lease {
	struct confirmation confirmed[PARTS];
	int64_t answered_us[PARTS]; /* last current answer, when asked */
	int64_t failed_us;	    /* last read without one, when asked */
	int64_t outage_us;	    /* NEVER: no evidence */
	uint64_t outage_revision[PARTS];
	struct report *reports;
};

static int
lease_destructor(struct ir_lease *l)
{
	HASH_CLEAR(hh, l->reports);
	return 0;
}

struct ir_lease *
ir_lease_new(TALLOC_CTX *mem)
{
	struct ir_lease *l = talloc_zero(mem, struct ir_lease);

	for (int p = 0; p < PARTS; p++) {
		l->confirmed[p].time_us = NEVER;
		l->answered_us[p] = NEVER;
	}
	l->failed_us = NEVER;
	l->outage_us = NEVER;
	talloc_set_destructor(l, lease_destructor);
	return l;
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

/* The moment that an age from the wire means; never before the clock's 0. */
static int64_t
moment(int64_t asked_us, uint64_t age_us)
{
	if (asked_us < 0 || age_us > (uint64_t)asked_us)
		return NEVER;
	return asked_us - (int64_t)age_us;
}

static uint64_t
age_of(int64_t now, int64_t time_us)
{
	if (time_us == NEVER)
		return UINT64_MAX;
	return now > time_us ? (uint64_t)(now - time_us) : 0;
}

static bool
is_fresh(int64_t now, int64_t time_us)
{
	return age_of(now, time_us) <= (uint64_t)IR_VIEW_LEASE_US;
}

/*
 * A higher revision goes first, whatever its time: if it existed already when
 * a lower one was confirmed, that answer was stale.
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
ir_lease_store_answered(
    struct ir_lease *l, int64_t asked_us, bool hosts, uint64_t revision)
{
	int p = hosts ? LIST : CONFIG;

	if (revision < l->confirmed[p].revision) {
		ir_lease_store_failed(l, asked_us);
		return false;
	}
	l->answered_us[p] = later(l->answered_us[p], asked_us);
	confirm(&l->confirmed[p], revision, asked_us);
	return true;
}

void
ir_lease_store_failed(struct ir_lease *l, int64_t asked_us)
{
	l->failed_us = later(l->failed_us, asked_us);
}

/* When both reads were last answered, NEVER when one never was. */
static int64_t
both_answered_us(const struct ir_lease *l)
{
	return earlier(l->answered_us[CONFIG], l->answered_us[LIST]);
}

static struct report
own_report(const struct ir_lease *l)
{
	struct report r = {.tried_us = both_answered_us(l), .reachable = true};

	if (l->failed_us > r.tried_us) {
		r.tried_us = l->failed_us;
		r.reachable = false;
	}
	return r;
}

static struct report *
find_report(const struct ir_lease *l, const char *name)
{
	struct report *r;

	HASH_FIND_STR(l->reports, name, r);
	return r;
}

static struct report *
add_report(struct ir_lease *l, const char *name)
{
	struct report *r = talloc_zero(l, struct report);

	r->name = talloc_strdup(r, name);
	r->asked_us = NEVER;
	HASH_ADD_KEYPTR(hh, l->reports, r->name, strlen(r->name), r);
	return r;
}

static void
drop_old_reports(struct ir_lease *l, int64_t now)
{
	struct report *r, *next;

	HASH_ITER (hh, l->reports, r, next) {
		if (is_fresh(now, r->asked_us))
			continue;
		HASH_DEL(l->reports, r);
		talloc_free(r);
	}
}

static void
keep_report(struct ir_lease *l, int64_t asked_us, const char *peer,
    const struct ir_view_msg *m)
{
	struct report *r = find_report(l, peer);

	if (r == NULL)
		r = add_report(l, peer);
	if (asked_us < r->asked_us)
		return;
	r->asked_us = asked_us;
	r->tried_us = NEVER;
	if (m->store_tried)
		r->tried_us = moment(asked_us, m->store_age_us);
	r->reachable = m->store_reachable;
	r->revision[CONFIG] = m->config_revision;
	r->revision[LIST] = m->list_revision;
	drop_old_reports(l, asked_us);
}

static void
keep_evidence(struct ir_lease *l, int64_t time_us, uint64_t config_revision,
    uint64_t list_revision)
{
	bool same = config_revision == l->outage_revision[CONFIG] &&
		    list_revision == l->outage_revision[LIST];

	if (time_us == NEVER || config_revision < l->outage_revision[CONFIG] ||
	    list_revision < l->outage_revision[LIST])
		return;
	l->outage_us = same ? later(l->outage_us, time_us) : time_us;
	l->outage_revision[CONFIG] = config_revision;
	l->outage_revision[LIST] = list_revision;
}

void
ir_lease_peer_answered(struct ir_lease *l, int64_t asked_us, const char *peer,
    bool reader, const struct ir_view_msg *m)
{
	int64_t confirmed_us = moment(asked_us, m->confirm_age_us);

	confirm(&l->confirmed[CONFIG], m->config_revision, confirmed_us);
	confirm(&l->confirmed[LIST], m->list_revision, confirmed_us);
	keep_evidence(l, moment(asked_us, m->outage_age_us),
	    m->outage_config_revision, m->outage_list_revision);
	if (reader)
		keep_report(l, asked_us, peer, m);
}

/* What one reader's report does to the evidence. */
enum vote {
	VOTE_NONE,
	VOTE_FOR,
	VOTE_AGAINST
};

static enum vote
vote_of(const struct report *r, int64_t now, const uint64_t revision[PARTS])
{
	if (!is_fresh(now, r->tried_us))
		return VOTE_NONE;
	if (r->reachable)
		return VOTE_AGAINST;
	if (r->revision[CONFIG] != revision[CONFIG] ||
	    r->revision[LIST] != revision[LIST])
		return VOTE_NONE;
	return VOTE_FOR;
}

static int
compare_latest_first(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* What is asked of the readers, and what the reader that asks knows itself. */
struct question {
	const struct ir_reader *readers;
	size_t count;
	const char *self;
	struct report own;
	int64_t now;
	uint64_t revision[PARTS];
};

/* The answers of one region's readers. */
struct ballot {
	size_t readers;
	size_t votes;
	int64_t *times; /* of the votes */
	bool against;
};

static void
hear_reader(const struct ir_lease *l, const struct question *q,
    const char *name, struct ballot *b)
{
	const struct report *r = &q->own;

	b->readers++;
	if (strcmp(name, q->self) != 0)
		r = find_report(l, name);
	if (r == NULL)
		return;
	switch (vote_of(r, q->now, q->revision)) {
	case VOTE_FOR:
		b->times[b->votes++] = r->tried_us;
		break;
	case VOTE_AGAINST:
		b->against = true;
		break;
	default:
		break;
	}
}

/* As old as the oldest of the latest votes that make a majority. */
static int64_t
majority_us(const struct ballot *b)
{
	size_t majority = b->readers / 2 + 1;

	if (b->against || b->votes < majority)
		return NEVER;
	qsort(b->times, b->votes, sizeof *b->times, compare_latest_first);
	return b->times[majority - 1];
}

static int64_t
region_proved_us(const struct ir_lease *l, const struct question *q,
    const char *region, struct ballot *b)
{
	b->readers = 0;
	b->votes = 0;
	b->against = false;
	for (size_t i = 0; i < q->count; i++)
		if (strcmp(q->readers[i].region, region) == 0)
			hear_reader(l, q, q->readers[i].name, b);
	return majority_us(b);
}

void
ir_lease_judge_outage(struct ir_lease *l, int64_t now, const char *self,
    const struct ir_reader *readers, size_t count, uint64_t config_revision,
    uint64_t list_revision)
{
	struct question q = {.readers = readers,
	    .count = count,
	    .self = self,
	    .own = own_report(l),
	    .now = now,
	    .revision = {config_revision, list_revision}};
	struct ballot b = {.times = talloc_array(l, int64_t, count)};
	int64_t proved_us = count > 0 ? INT64_MAX : NEVER;

	q.own.revision[CONFIG] = config_revision;
	q.own.revision[LIST] = list_revision;
	/* A region that comes twice in the list is only asked twice. */
	for (size_t i = 0; i < count; i++)
		if (i == 0 ||
		    strcmp(readers[i].region, readers[i - 1].region) != 0)
			proved_us = earlier(proved_us,
			    region_proved_us(l, &q, readers[i].region, &b));
	keep_evidence(l, proved_us, config_revision, list_revision);
	talloc_free(b.times);
}

static bool
is_held(
    const struct ir_lease *l, uint64_t config_revision, uint64_t list_revision)
{
	return l->confirmed[CONFIG].revision <= config_revision &&
	       l->confirmed[LIST].revision <= list_revision;
}

static int64_t
confirmed_us(const struct ir_lease *l)
{
	return earlier(
	    l->confirmed[CONFIG].time_us, l->confirmed[LIST].time_us);
}

enum ir_view_state
ir_lease_state(const struct ir_lease *l, int64_t now, uint64_t config_revision,
    uint64_t list_revision)
{
	/* Higher revisions are known to exist. */
	if (!is_held(l, config_revision, list_revision))
		return IR_VIEW_UNCONFIRMED;
	if (is_fresh(now, confirmed_us(l)))
		return IR_VIEW_CONFIRMED;
	if (l->outage_revision[CONFIG] == config_revision &&
	    l->outage_revision[LIST] == list_revision &&
	    is_fresh(now, l->outage_us))
		return IR_VIEW_OUTAGE;
	return IR_VIEW_UNCONFIRMED;
}

void
ir_lease_fill(const struct ir_lease *l, int64_t now, uint64_t config_revision,
    uint64_t list_revision, struct ir_view_msg *m)
{
	struct report own = own_report(l);

	m->config_revision = config_revision;
	m->list_revision = list_revision;
	m->confirm_age_us = UINT64_MAX;
	if (is_held(l, config_revision, list_revision))
		m->confirm_age_us = age_of(now, confirmed_us(l));
	m->outage_age_us = age_of(now, l->outage_us);
	m->outage_config_revision = l->outage_revision[CONFIG];
	m->outage_list_revision = l->outage_revision[LIST];
	m->store_tried = own.tried_us != NEVER;
	m->store_reachable = m->store_tried && own.reachable;
	m->store_age_us = age_of(now, own.tried_us);
}

int64_t
ir_lease_age(const struct ir_lease *l, int64_t now)
{
	uint64_t age_us = age_of(now, confirmed_us(l));

	return age_us > INT64_MAX ? INT64_MAX : (int64_t)age_us;
}
