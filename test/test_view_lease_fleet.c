/*
 * The view lease in a simulated fleet: eight nodes in two regions exchange VIEW
 * messages under faults, and their states are checked against a log of what
 * was published. n0 to n3 are in the region of the store; n0 to n2 read it
 * there, n4 reads it from the other region. Each node has its own clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "host/view_lease.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

#define LEASE IR_VIEW_LEASE_US
#define MS IR_US_PER_MS
#define T0 (1000 * IR_US_PER_S)
#define NODES 8
#define REGION_READERS 3
#define STEP (5 * MS)
#define STORE_TIMEOUT (250 * MS)
#define MAX_EVENTS 4096
#define MAX_CHANGES 4096

static const struct ir_store_reader readers[] = {
    {"n0", "r1"}, {"n1", "r1"}, {"n2", "r1"}};

enum event_kind {
	EVENT_FREE,
	EVENT_REQUEST,
	EVENT_REPLY,
	EVENT_STORE_ANSWER,
	EVENT_STORE_FAILURE
};

struct event {
	enum event_kind kind;
	int64_t at;
	int from, to;
	int64_t sent_us; /* on the asker's clock */
	struct ir_view_msg m;
	bool hosts;
	uint64_t revision;
};

struct revision_change {
	int64_t at;
	uint64_t revisions[2];
};

struct node {
	struct ir_view_lease *lease;
	int64_t clock_base;
	uint64_t revisions[2];
	int64_t paused_until;
	int64_t poll_at;
	int64_t
	    failed_at; /* when it last sent a read that failed or was stale */
	struct revision_change changes[MAX_CHANGES];
	size_t change_count;
};

struct fleet {
	TALLOC_CTX *mem;
	int64_t now;
	struct node nodes[NODES];
	struct event events[MAX_EVENTS];
	size_t event_end; /* no event in use from this index on */
	bool cut[NODES][NODES];
	bool store_cut[NODES];
	bool store_up;
	bool store_stale;
	uint64_t published[2];
	uint64_t old_published[2];		 /* a lease ago */
	struct revision_change log[MAX_CHANGES]; /* publications */
	size_t log_count;
	uint64_t state_counts[3]; /* checks by state */
};

static int64_t
random_between(int64_t low, int64_t high)
{
	return low + rand() % (high - low + 1);
}

static int64_t
clock_of(const struct fleet *f, int i)
{
	return f->nodes[i].clock_base + f->now;
}

static struct event *
add_event(struct fleet *f, enum event_kind kind, int to, int64_t delay)
{
	for (size_t i = 0; i < MAX_EVENTS; i++) {
		struct event *e = &f->events[i];

		if (e->kind != EVENT_FREE)
			continue;
		memset(e, 0, sizeof *e);
		e->kind = kind;
		e->to = to;
		e->at = f->now + delay;
		if (i >= f->event_end)
			f->event_end = i + 1;
		return e;
	}
	fail_msg("too many events");
	return NULL;
}

static void
raise_revisions(struct fleet *f, int i, uint64_t config, uint64_t list)
{
	struct node *n = &f->nodes[i];

	if (config <= n->revisions[0] && list <= n->revisions[1])
		return;
	if (config > n->revisions[0])
		n->revisions[0] = config;
	if (list > n->revisions[1])
		n->revisions[1] = list;
	assert_true(n->change_count < MAX_CHANGES);
	n->changes[n->change_count].at = f->now;
	memcpy(n->changes[n->change_count++].revisions, n->revisions,
	    sizeof n->revisions);
}

static void
request_view(struct fleet *f, int from, int to)
{
	struct event *e;

	if (from == to || f->cut[from][to])
		return;
	e = add_event(f, EVENT_REQUEST, to, random_between(1, 40) * MS);
	e->from = from;
	e->sent_us = clock_of(f, from);
}

/* Stale answers are lower than the revision that the reader has. */
static void
read_store(struct fleet *f, int i, bool hosts)
{
	uint64_t revisions = f->nodes[i].revisions[hosts];
	uint64_t answer = f->published[hosts];
	struct event *e;

	if (f->store_cut[i] || !f->store_up) {
		e = add_event(f, EVENT_STORE_FAILURE, i, STORE_TIMEOUT);
	} else {
		if (f->store_stale && revisions > 0)
			answer = revisions - 1;
		e = add_event(
		    f, EVENT_STORE_ANSWER, i, random_between(1, 30) * MS);
	}
	if (e->kind == EVENT_STORE_FAILURE || answer < revisions)
		f->nodes[i].failed_at = f->now;
	e->sent_us = clock_of(f, i);
	e->hosts = hosts;
	e->revision = answer;
}

static void
poll_store_and_peers(struct fleet *f, int i)
{
	if (i < REGION_READERS || i == 4) {
		read_store(f, i, false);
		read_store(f, i, true);
	}
	if (i < REGION_READERS) {
		request_view(f, i, (i + 1) % REGION_READERS);
		request_view(f, i, (i + 2) % REGION_READERS);
	} else {
		request_view(f, i, rand() % REGION_READERS);
	}
	request_view(f, i, rand() % NODES);
}

static void
answer_peer(struct fleet *f, const struct event *request)
{
	const struct node *n = &f->nodes[request->to];
	struct event *e;

	if (f->cut[request->to][request->from])
		return;
	e = add_event(
	    f, EVENT_REPLY, request->from, random_between(1, 40) * MS);
	e->from = request->to;
	e->sent_us = request->sent_us;
	ir_view_lease_fill_reply(n->lease, clock_of(f, request->to),
	    n->revisions[0], n->revisions[1], &e->m);
}

static void
handle(struct fleet *f, const struct event *e)
{
	struct node *n = &f->nodes[e->to];
	char name[8];

	snprintf(name, sizeof name, "n%d", e->from);
	switch (e->kind) {
	case EVENT_REQUEST:
		answer_peer(f, e);
		break;
	case EVENT_REPLY:
		ir_view_lease_peer_answered(n->lease, e->sent_us, name,
		    e->from < REGION_READERS, &e->m);
		raise_revisions(
		    f, e->to, e->m.config_revision, e->m.list_revision);
		break;
	case EVENT_STORE_ANSWER:
		ir_view_lease_store_answered(
		    n->lease, e->sent_us, e->hosts, e->revision);
		raise_revisions(f, e->to, e->hosts ? 0 : e->revision,
		    e->hosts ? e->revision : 0);
		break;
	default:
		ir_view_lease_store_failed(n->lease, e->sent_us);
		break;
	}
}

/* When a node got above these revisions; INT64_MAX if it did not. */
static int64_t
raised_above(const struct node *n, const uint64_t revisions[2])
{
	for (size_t i = 0; i < n->change_count; i++) {
		if (n->changes[i].revisions[0] > revisions[0] ||
		    n->changes[i].revisions[1] > revisions[1])
			return n->changes[i].at;
	}
	return INT64_MAX;
}

static int
compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * A majority of the readers failed to read within the lease, and had not got
 * higher revisions before it.
 */
static void
check_outage(const struct fleet *f, const struct node *n)
{
	int64_t raised[REGION_READERS];
	int failed = 0;

	for (int i = 0; i < REGION_READERS; i++) {
		raised[i] = raised_above(&f->nodes[i], n->revisions);
		if (f->now - f->nodes[i].failed_at <= LEASE)
			failed++;
	}
	qsort(raised, REGION_READERS, sizeof raised[0], compare_times);
	assert_true(failed >= 2);
	assert_true(raised[1] == INT64_MAX || f->now - raised[1] <= LEASE);
}

static void
check_node(struct fleet *f, int i)
{
	const struct node *n = &f->nodes[i];
	enum ir_view_state s = ir_view_lease_state(
	    n->lease, clock_of(f, i), n->revisions[0], n->revisions[1]);

	f->state_counts[s]++;
	if (s == IR_VIEW_CONFIRMED) {
		assert_true(f->old_published[0] <= n->revisions[0]);
		assert_true(f->old_published[1] <= n->revisions[1]);
	} else if (s == IR_VIEW_OUTAGE) {
		check_outage(f, n);
	}
}

static void
run_node(struct fleet *f, int i)
{
	struct node *n = &f->nodes[i];

	/* Checks first: a resumed node must find its lease expired at once. */
	check_node(f, i);
	for (size_t k = 0; k < f->event_end; k++) {
		struct event e = f->events[k];

		if (e.kind == EVENT_FREE || e.to != i || e.at > f->now)
			continue;
		f->events[k].kind = EVENT_FREE;
		handle(f, &e);
		check_node(f, i);
	}
	if (f->now >= n->poll_at) {
		n->poll_at = f->now + IR_VIEW_POLL_US;
		poll_store_and_peers(f, i);
	}
	if (i < REGION_READERS)
		ir_view_lease_evaluate_outage(n->lease, clock_of(f, i),
		    readers[i].name, readers, REGION_READERS, n->revisions[0],
		    n->revisions[1]);
	check_node(f, i);
}

/* Sets what was published a lease ago, from the log. */
static void
update_old_published(struct fleet *f)
{
	for (size_t i = f->log_count; i > 0; i--) {
		if (f->log[i - 1].at >= f->now - LEASE)
			continue;
		memcpy(f->old_published, f->log[i - 1].revisions,
		    sizeof f->old_published);
		return;
	}
}

static void
run_fleet(struct fleet *f, int64_t duration)
{
	int64_t end = f->now + duration;

	for (; f->now < end; f->now += STEP) {
		while (f->event_end > 0 &&
		       f->events[f->event_end - 1].kind == EVENT_FREE)
			f->event_end--;
		update_old_published(f);
		for (int i = 0; i < NODES; i++) {
			if (f->now >= f->nodes[i].paused_until)
				run_node(f, i);
		}
	}
}

static void
publish(struct fleet *f, int part)
{
	f->published[part]++;
	assert_true(f->log_count < MAX_CHANGES);
	f->log[f->log_count].at = f->now;
	memcpy(f->log[f->log_count++].revisions, f->published,
	    sizeof f->published);
}

static void
partition_regions(struct fleet *f, bool cut)
{
	for (int i = 0; i < NODES; i++) {
		for (int j = 0; j < NODES; j++) {
			if ((i < 4) != (j < 4))
				f->cut[i][j] = cut;
		}
		f->store_cut[i] = i >= 4 && cut;
	}
}

static void
heal(struct fleet *f)
{
	memset(f->cut, 0, sizeof f->cut);
	memset(f->store_cut, 0, sizeof f->store_cut);
	f->store_up = true;
	f->store_stale = false;
}

static void
isolate(struct fleet *f, int i, bool store)
{
	for (int j = 0; j < NODES; j++) {
		f->cut[i][j] = true;
		f->cut[j][i] = true;
	}
	f->store_cut[i] = store;
}

static void
inject_fault(struct fleet *f)
{
	int i = rand() % NODES, j = rand() % NODES;

	switch (rand() % 12) {
	case 0:
		f->store_up = !f->store_up;
		break;
	case 1:
		f->store_stale = !f->store_stale;
		break;
	case 2:
		partition_regions(f, rand() % 2 == 0);
		break;
	case 3:
		f->cut[i][j] = !f->cut[i][j];
		break;
	case 4:
		f->store_cut[i] = !f->store_cut[i];
		break;
	case 5:
		isolate(f, i, rand() % 2 == 0);
		break;
	case 6:
	case 7:
		f->nodes[i].paused_until =
		    f->now + random_between(50, 6000) * MS;
		break;
	case 8:
	case 9:
		publish(f, rand() % 2);
		break;
	default:
		if (rand() % 3 == 0)
			heal(f);
		break;
	}
}

static struct fleet *
start_fleet(unsigned seed)
{
	struct fleet *f = talloc_zero(NULL, struct fleet);

	srand(seed);
	f->now = T0;
	f->store_up = true;
	publish(f, 0);
	publish(f, 1);
	for (int i = 0; i < NODES; i++) {
		f->nodes[i].lease = ir_view_lease_new(f);
		f->nodes[i].clock_base = random_between(0, 2000000000);
		f->nodes[i].poll_at = f->now + random_between(0, 400) * MS;
		f->nodes[i].failed_at = INT64_MIN / 2;
	}
	return f;
}

static int
count_state(struct fleet *f, enum ir_view_state s)
{
	int count = 0;

	for (int i = 0; i < NODES; i++) {
		const struct node *n = &f->nodes[i];

		if (ir_view_lease_state(n->lease, clock_of(f, i),
			n->revisions[0], n->revisions[1]) == s)
			count++;
	}
	return count;
}

static void
test_fleet_under_faults(void **state)
{
	uint64_t state_counts[3] = {0};

	for (unsigned seed = 1; seed <= 60; seed++) {
		struct fleet *f = start_fleet(seed);

		run_fleet(f, 3 * IR_US_PER_S);
		for (int i = 0; i < 80; i++) {
			inject_fault(f);
			run_fleet(f, random_between(20, 1200) * MS);
		}
		heal(f);
		run_fleet(f, 10 * IR_US_PER_S);
		assert_int_equal(count_state(f, IR_VIEW_CONFIRMED), NODES);
		for (int i = 0; i < 3; i++)
			state_counts[i] += f->state_counts[i];
		talloc_free(f);
	}
	/* Every state was checked often enough. */
	assert_true(state_counts[IR_VIEW_CONFIRMED] > 100000);
	assert_true(state_counts[IR_VIEW_OUTAGE] > 100000);
	assert_true(state_counts[IR_VIEW_UNCONFIRMED] > 100000);
}

/* The store is down for all nodes: they serve for as long as it lasts. */
static void
test_outage_of_the_store(void **state)
{
	for (int stale = 0; stale < 2; stale++) {
		struct fleet *f = start_fleet(7);

		run_fleet(f, 3 * IR_US_PER_S);
		f->store_up = stale;
		f->store_stale = stale;
		run_fleet(f, 5 * IR_US_PER_S);
		assert_int_equal(count_state(f, IR_VIEW_OUTAGE), NODES);
		f->nodes[2].paused_until = INT64_MAX;
		for (int i = 0; i < 100; i++) {
			run_fleet(f, 100 * MS);
			assert_int_equal(
			    count_state(f, IR_VIEW_OUTAGE) >= NODES - 1, 1);
		}
		heal(f);
		f->nodes[2].paused_until = 0;
		run_fleet(f, 2 * IR_US_PER_S);
		assert_int_equal(count_state(f, IR_VIEW_CONFIRMED), NODES);
		talloc_free(f);
	}
}

/* The regions are partitioned: the one without the store refuses. */
static void
test_cut_between_regions(void **state)
{
	struct fleet *f = start_fleet(8);

	run_fleet(f, 3 * IR_US_PER_S);
	partition_regions(f, true);
	publish(f, 0);
	run_fleet(f, LEASE + 100 * MS);
	assert_int_equal(count_state(f, IR_VIEW_CONFIRMED), 4);
	assert_int_equal(count_state(f, IR_VIEW_UNCONFIRMED), 4);
	/* The store goes down as well, which the other region cannot know. */
	f->store_up = false;
	run_fleet(f, 5 * IR_US_PER_S);
	assert_int_equal(count_state(f, IR_VIEW_OUTAGE), 4);
	assert_int_equal(count_state(f, IR_VIEW_UNCONFIRMED), 4);
	talloc_free(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_fleet_under_faults),
	    cmocka_unit_test(test_outage_of_the_store),
	    cmocka_unit_test(test_cut_between_regions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
