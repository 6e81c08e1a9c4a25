/*
 * A wallet refuses only when every minter in reach does, and a fleet of
 * wallets and minters keeps to burst + rate * t under any fault.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "support/contract_sim.h"
#include "zone/placement.h"

#define MS IR_US_PER_MS
#define S IR_US_PER_S

/* One wallet in zone 1 of two zones; asks are recorded. */
struct fixture {
	struct ir_view *view;
	const struct ir_host *self;
	struct ir_account *account;
	struct ir_wallet *wallet;
	struct ir_grant_request asked;
	const char *minter;
	uint64_t released;
	int asks, readies;
	bool cut;
	uint32_t at_once; /* tokens granted from within the ask */
	int retakes;	  /* calls that wait */
	enum ir_take retaken[2];
};

static enum ir_take take(struct fixture *f, int64_t now);
static void grant(
    struct fixture *f, int64_t now, uint32_t count, uint32_t retry_after_ms);

static bool
record_ask(void *ctx, int64_t now, const struct ir_host *minter,
    const struct ir_grant_request *ask)
{
	struct fixture *f = ctx;

	if (f->cut)
		return false;
	f->released += ask->spent_grants.spent_grants_len;
	if (ask->requested_tokens == 0)
		return true;
	f->asked = *ask;
	f->minter = minter->name;
	f->asks++;
	if (f->at_once > 0)
		grant(f, now, f->at_once, 0);
	return true;
}

static void
record_ready(void *ctx, int64_t now, const char *account)
{
	struct fixture *f = ctx;

	f->readies++;
	for (int i = 0; i < f->retakes; i++)
		f->retaken[i] = take(f, now);
}

/* The minter of the last ask says that it does not mint yet. */
static void
grant_none(struct fixture *f, int64_t now)
{
	struct ir_grant g = {.sequence = f->asked.sequence,
	    .account = (char *)"acme",
	    .bucket = f->asked.bucket,
	    .valid_us = IR_GRANT_VALID_US};

	ir_wallet_granted(f->wallet, now, f->minter, &g);
}

static int
setup(void **state)
{
	const struct ir_wallet_ops ops = {record_ask, record_ready};
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->view = fleet_new(f, 2, 2);
	fleet_account(f->view, "acme", 100, 100);
	f->account = &f->view->accounts[0];
	f->self = &f->view->hosts[0];
	f->wallet = ir_wallet_new(f, &ops, f, 7);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

static enum ir_take
take(struct fixture *f, int64_t now)
{
	uint32_t retry_after_ms;

	return ir_wallet_take(
	    f->wallet, now, f->view, f->self, f->account, &retry_after_ms);
}

/* Answers the last ask. */
static void
grant(struct fixture *f, int64_t now, uint32_t count, uint32_t retry_after_ms)
{
	struct ir_grant g = {.sequence = f->asked.sequence,
	    .account = (char *)"acme",
	    .bucket = f->asked.bucket,
	    .count = count,
	    .valid_us = IR_GRANT_VALID_US,
	    .retry_after_ms = retry_after_ms,
	    .issuing = true};

	ir_wallet_granted(f->wallet, now, f->minter, &g);
}

static void
test_asks_home_then_spends(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(take(f, 0), IR_TAKE_WAIT);
	assert_int_equal(f->asks, 1);
	assert_string_equal(ir_view_host(f->view, f->minter)->zone, "z1");
	grant(f, MS, 1, 0);
	assert_int_equal(f->readies, 1);
	assert_int_equal(take(f, MS), IR_TAKEN);
	ir_wallet_tick(f->wallet, 10 * MS, f->view, f->self);
	assert_int_equal(f->released, 1);
	assert_int_equal(take(f, 11 * MS), IR_TAKE_WAIT);
}

static void
test_denies_only_after_every_minter(void **state)
{
	struct fixture *f = *state;
	const char *first;

	take(f, 0);
	first = f->minter;
	grant(f, MS, 0, 50);
	assert_int_equal(take(f, MS), IR_TAKE_WAIT);
	assert_int_equal(f->asks, 2);
	assert_string_not_equal(f->minter, first);
	grant(f, 2 * MS, 0, 20);
	assert_int_equal(take(f, 2 * MS), IR_TAKE_DENIED);
	/* Remembered: a flood asks no one until a minter's time is up. */
	for (int i = 0; i < 100; i++)
		assert_int_equal(take(f, 21 * MS), IR_TAKE_DENIED);
	assert_int_equal(f->asks, 2);
	assert_int_equal(take(f, 22 * MS), IR_TAKE_WAIT);
	assert_int_equal(f->asks, 3);
}

static void
test_grant_counts_once_and_expires_from_the_ask(void **state)
{
	struct fixture *f = *state;

	take(f, 0);
	grant(f, 300 * MS, 1, 0);
	grant(f, 300 * MS, 1, 0);
	assert_int_equal(ir_wallet_held(f->wallet, 300 * MS, "acme"), 1);
	assert_int_equal(
	    ir_wallet_held(f->wallet, IR_GRANT_VALID_US, "acme"), 0);
	assert_int_equal(take(f, IR_GRANT_VALID_US), IR_TAKE_WAIT);
	grant(f, 2 * IR_GRANT_VALID_US, 1, 0);
	assert_int_equal(
	    ir_wallet_held(f->wallet, 2 * IR_GRANT_VALID_US, "acme"), 0);
}

static void
test_takes_no_more_than_asked_nor_from_others(void **state)
{
	struct fixture *f = *state;
	const char *minter;

	take(f, 0);
	minter = f->minter;
	f->minter = "z2-h0002";
	grant(f, MS, 1, 0);
	assert_int_equal(ir_wallet_held(f->wallet, MS, "acme"), 0);
	f->minter = minter;
	grant(f, MS, 99, 0);
	assert_int_equal(
	    ir_wallet_held(f->wallet, MS, "acme"), f->asked.requested_tokens);
}

static void
test_later_process_asks_with_other_sequences(void **state)
{
	struct fixture *f = *state;
	struct ir_wallet *first = f->wallet;
	const struct ir_wallet_ops ops = {record_ask, record_ready};
	struct ir_grant_request asked;

	take(f, 0);
	asked = f->asked;
	f->wallet = ir_wallet_new(f, &ops, f, 8);
	take(f, MS);
	assert_int_equal(f->asked.bucket, asked.bucket);
	assert_int_not_equal(f->asked.sequence, asked.sequence);
	f->asked = asked;
	grant(f, 2 * MS, 1, 0);
	assert_int_equal(ir_wallet_held(f->wallet, 2 * MS, "acme"), 0);
	assert_int_equal(ir_wallet_held(first, 2 * MS, "acme"), 0);
}

static void
test_silence_leads_on_and_ends(void **state)
{
	struct fixture *f = *state;
	int64_t now = 0;

	assert_int_equal(take(f, now), IR_TAKE_WAIT);
	for (; f->readies == 0 && now < S; now += 10 * MS)
		ir_wallet_tick(f->wallet, now, f->view, f->self);
	assert_true(f->asks >= 2);
	assert_in_range(now, 60 * MS, 150 * MS);
	assert_int_equal(take(f, now), IR_TAKE_DENIED);
	/* A minter that answers again counts at once. */
	grant(f, now, 1, 0);
	assert_int_equal(take(f, now), IR_TAKEN);
}

/*
 * Found by the fault matrix: a call was refused at once by what a bucket had
 * said seconds ago, when it did not mint yet.
 */
static void
test_old_silence_is_asked_again(void **state)
{
	struct fixture *f = *state;
	int asks;

	f->at_once = 0;
	assert_int_equal(take(f, 1 * S), IR_TAKE_WAIT);
	grant_none(f, 1 * S + MS);
	assert_int_equal(take(f, 1 * S + 10 * MS), IR_TAKE_WAIT);
	assert_int_equal(f->asks, 2);
	grant_none(f, 1 * S + 11 * MS);
	assert_int_equal(take(f, 1 * S + 50 * MS), IR_TAKE_DENIED);
	asks = f->asks;
	assert_int_equal(take(f, 3 * S), IR_TAKE_WAIT);
	assert_true(f->asks > asks);
	grant(f, 3 * S + MS, 1, 0);
	assert_int_equal(take(f, 3 * S + MS), IR_TAKEN);
}

/* A fleet that is cut off is waited for once, not by each of many calls. */
static void
test_fresh_silence_is_not_waited_for(void **state)
{
	struct fixture *f = *state;
	int waited = 0;

	for (int64_t t = 1 * S; t < 3 * S; t += 20 * MS) {
		if (t >= 2 * S)
			waited += take(f, t) == IR_TAKE_WAIT;
		else
			(void)take(f, t);
		ir_wallet_tick(f->wallet, t + 10 * MS, f->view, f->self);
	}
	assert_int_equal(waited, 0);
}

static void
test_minter_in_this_process_may_answer_at_once(void **state)
{
	struct fixture *f = *state;

	take(f, 0);
	f->at_once = 2;
	assert_int_equal(take(f, 6 * MS), IR_TAKEN);
	assert_int_equal(f->readies, 0);
	ir_wallet_tick(f->wallet, 10 * MS, f->view, f->self);
	assert_int_equal(f->readies, 1);
	assert_int_equal(take(f, 10 * MS), IR_TAKEN);
}

/* The second call came after the first minter's refusal had run out. */
static void
test_each_call_is_judged_by_its_own_wait(void **state)
{
	struct fixture *f = *state;
	struct ir_grant_request second;

	assert_int_equal(take(f, 0), IR_TAKE_WAIT);
	f->retakes = 1;
	grant(f, MS, 0, 1);
	assert_int_equal(f->retaken[0], IR_TAKE_WAIT);
	second = f->asked;
	assert_int_equal(take(f, 3 * MS), IR_TAKE_WAIT);
	assert_int_not_equal(f->asked.bucket, second.bucket);
	f->asked = second;
	f->minter = ir_bucket_host(f->view, f->account, second.bucket)->name;
	f->retakes = 2;
	grant(f, 4 * MS, 0, 1);
	assert_int_equal(f->retaken[0], IR_TAKE_DENIED);
	assert_int_equal(f->retaken[1], IR_TAKE_WAIT);
}

static void
test_unsent_asks_are_tried_again(void **state)
{
	struct fixture *f = *state;

	f->cut = true;
	assert_int_equal(take(f, 0), IR_TAKE_WAIT);
	f->cut = false;
	ir_wallet_tick(f->wallet, 10 * MS, f->view, f->self);
	assert_int_equal(f->asks, 1);
	f->cut = true;
	ir_wallet_host_lost(f->wallet, 20 * MS, f->minter);
	assert_int_equal(f->readies, 1);
	assert_int_equal(take(f, 80 * MS), IR_TAKE_DENIED);
}

static void
test_asks_ahead_of_steady_demand_only(void **state)
{
	struct fixture *f = *state;
	uint32_t waits = 0, most = 0;

	for (int64_t now = 0; now < 5 * S; now += 12500) {
		uint32_t held;

		while (take(f, now) == IR_TAKE_WAIT) {
			grant(f, now, f->asked.requested_tokens, 0);
			waits++;
		}
		grant(f, now, f->asked.requested_tokens, 0);
		held = ir_wallet_held(f->wallet, now, "acme");
		most = held > most ? held : most;
	}
	assert_in_range(waits, 1, 40);
	assert_in_range(most, 1, 12);
	grant(f, 6 * S, 1, 0);
	f->asks = 0;
	ir_wallet_tick(f->wallet, 20 * S, f->view, f->self);
	assert_int_equal(f->asks, 0);
}

/*
 * The oracle: one bucket that is always full enough. A spend that finds it
 * empty breaks burst + rate * t for some window. After a change it allows the
 * higher values until every former lease and grant has run out.
 */
struct oracle {
	uint64_t rate_mt_per_s, burst_mt;
	uint64_t next_rate_mt_per_s, next_burst_mt;
	int64_t next_us;
	int64_t settled_us;
	__int128 level; /* thousandths of a token, in millionths */
	uint32_t spent, denied, broken;
};

static void
oracle_refill(struct oracle *o, int64_t t)
{
	__int128 full = (__int128)o->burst_mt * S;

	o->level += (__int128)o->rate_mt_per_s * (t - o->settled_us);
	if (o->level > full)
		o->level = full;
	o->settled_us = t;
}

static void
oracle_settle(struct oracle *o, int64_t t)
{
	if (o->next_us > 0 && o->next_us <= t) {
		oracle_refill(o, o->next_us);
		o->rate_mt_per_s = o->next_rate_mt_per_s;
		o->burst_mt = o->next_burst_mt;
		o->next_us = 0;
	}
	oracle_refill(o, t);
}

static void
oracle_change(struct oracle *o, int64_t t, const struct ir_account *a)
{
	oracle_settle(o, t);
	if (o->rate_mt_per_s < a->rate_mt_per_s)
		o->rate_mt_per_s = a->rate_mt_per_s;
	if (o->burst_mt < a->burst_mt) {
		o->level += (__int128)(a->burst_mt - o->burst_mt) * S;
		o->burst_mt = a->burst_mt;
	}
	o->next_rate_mt_per_s = a->rate_mt_per_s;
	o->next_burst_mt = a->burst_mt;
	o->next_us = t + IR_VIEW_LEASE_US + IR_GRANT_VALID_US;
}

static void
on_spent(void *ctx, int64_t t, uint32_t host)
{
	struct oracle *o = ctx;

	oracle_settle(o, t);
	o->level -= (__int128)1000 * S;
	o->broken += o->level < 0;
	o->spent++;
}

static void
on_denied(void *ctx, int64_t t, uint32_t host)
{
	((struct oracle *)ctx)->denied++;
}

/* Floods of one second, three times the rate, between quiet seconds. */
static void
add_requests(struct sim *s, uint64_t *rng, int64_t from_us, uint32_t hosts)
{
	uint32_t first = (uint32_t)(fleet_random(rng) % hosts);
	bool skewed = fleet_random(rng) % 2 == 0;

	for (uint32_t i = 0; i < 150; i++)
		sim_request(s, from_us + (int64_t)(fleet_random(rng) % S),
		    skewed ? first : (uint32_t)(fleet_random(rng) % hosts));
}

/* The next view: a host leaves, goes, or all of them are back. */
static struct ir_view *
next_view(struct ir_view *mem, const struct ir_view *first,
    const struct ir_view *last, uint64_t *rng)
{
	size_t i = fleet_random(rng) % last->host_count;
	const char *host = last->hosts[i].name;
	struct ir_view *v;

	switch (fleet_random(rng) % 4) {
	case 0:
		v = last->host_count > 2 ? fleet_without(mem, last, host)
					 : fleet_without(mem, first, NULL);
		break;
	case 1:
		v = fleet_leaving(mem, last, host);
		break;
	case 2:
		v = fleet_without(mem, first, NULL);
		break;
	default: /* a host's state flaps within one poll */
		v = fleet_without(mem, last, NULL);
		v->hosts[i].leaving = !v->hosts[i].leaving;
		break;
	}
	v->config_revision = last->config_revision;
	v->list_revision = last->list_revision + 1;
	v->accounts = last->accounts;
	return v;
}

static struct ir_view *
next_contract(struct ir_view *mem, const struct ir_view *last, uint64_t *rng)
{
	static const uint32_t bursts[] = {2, 12, 30};
	struct ir_view *v = fleet_without(mem, last, NULL);

	v->list_revision = last->list_revision;
	v->config_revision++;
	fleet_account(v, "acme", 20 + (uint32_t)(fleet_random(rng) % 2) * 60,
	    bursts[fleet_random(rng) % 3]);
	return v;
}

static void
strike(struct sim *s, uint64_t *rng, uint32_t hosts)
{
	uint32_t host = (uint32_t)(fleet_random(rng) % hosts);
	int64_t until_us = sim_now(s) + (int64_t)(fleet_random(rng) % (20 * S));

	switch (fleet_random(rng) % 5) {
	case 0:
		sim_restart(s, host);
		break;
	case 1:
		sim_pause(s, host, until_us);
		break;
	case 2:
	case 3:
		sim_blind(s, host, until_us);
		break;
	default:
		sim_cut(s, host, until_us);
		break;
	}
}

struct chaos {
	uint32_t zones, hosts_per_zone;
	struct sim_faults faults;
	uint32_t views_percent;	    /* chance of a new view each 100 ms */
	uint32_t strikes_percent;   /* chance of a fault each 100 ms */
	uint32_t contracts_percent; /* chance of a new contract each 3 s */
};

static struct oracle
run_chaos(uint64_t seed, const struct chaos *c)
{
	const struct sim_ops ops = {on_spent, on_denied};
	struct ir_view *first = fleet_new(NULL, c->zones, c->hosts_per_zone);
	const uint32_t hosts = (uint32_t)first->host_count;
	const struct ir_view *last = first;
	struct oracle o = {.rate_mt_per_s = 50000, .burst_mt = 12000};
	uint64_t rng = seed;
	struct sim *s;

	fleet_account(first, "acme", 50, 12);
	o.level = (__int128)o.burst_mt * S;
	s = sim_new(first, first, seed, &c->faults, &ops, &o);
	for (int64_t t = 0; t < 120 * S; t += 100 * MS) {
		if (t % (2 * S) == 0)
			add_requests(s, &rng, t, hosts);
		if (fleet_random(&rng) % 100 < c->views_percent)
			sim_publish(
			    s, last = next_view(first, first, last, &rng));
		if (t % (3 * S) == 0 &&
		    fleet_random(&rng) % 100 < c->contracts_percent) {
			last = next_contract(first, last, &rng);
			oracle_change(&o, t, &last->accounts[0]);
			sim_publish(s, last);
		}
		if (fleet_random(&rng) % 100 < c->strikes_percent)
			strike(s, &rng, hosts);
		sim_run(s, t + 100 * MS);
	}
	talloc_free(first);
	return o;
}

static void
expect_bound(const struct chaos *c, uint64_t seeds, uint32_t least_spent)
{
	for (uint64_t seed = 1; seed <= seeds; seed++) {
		struct oracle o = run_chaos(seed, c);

		if (o.broken > 0 || o.spent < least_spent)
			print_error("seed %u: %u spent, %u denied, %u over\n",
			    (unsigned)seed, o.spent, o.denied, o.broken);
		assert_int_equal(o.broken, 0);
		assert_true(o.spent >= least_spent);
	}
}

static void
test_bound_holds_in_peace(void **state)
{
	const struct chaos c = {.zones = 3, .hosts_per_zone = 2};

	expect_bound(&c, 3, 2000);
}

static void
test_bound_holds_with_bad_messages(void **state)
{
	const struct chaos c = {
	    .zones = 3, .hosts_per_zone = 2, .faults = {10, 20, 20}};

	expect_bound(&c, 10, 500);
}

static void
test_bound_holds_over_view_changes(void **state)
{
	const struct chaos seldom = {
	    .zones = 3, .hosts_per_zone = 2, .views_percent = 2};
	const struct chaos often = {.zones = 3,
	    .hosts_per_zone = 2,
	    .views_percent = 10,
	    .faults = {5, 10, 10}};

	expect_bound(&seldom, 10, 300);
	expect_bound(&often, 10, 10);
}

static void
test_bound_holds_under_all_faults(void **state)
{
	const struct chaos c = {.zones = 3,
	    .hosts_per_zone = 2,
	    .views_percent = 3,
	    .strikes_percent = 3,
	    .faults = {5, 10, 10}};

	expect_bound(&c, 40, 10);
}

static void
test_bound_holds_for_a_bucket_on_the_move(void **state)
{
	struct chaos c = {.zones = 1,
	    .hosts_per_zone = 3,
	    .views_percent = 2,
	    .strikes_percent = 2,
	    .faults = {0, 10, 5}};

	expect_bound(&c, 40, 0);
	c.views_percent = 6;
	c.strikes_percent = 6;
	expect_bound(&c, 40, 0);
}

static void
test_bound_holds_over_contract_changes(void **state)
{
	const struct chaos c = {.zones = 3,
	    .hosts_per_zone = 2,
	    .contracts_percent = 25,
	    .views_percent = 1,
	    .strikes_percent = 1,
	    .faults = {2, 5, 5}};

	expect_bound(&c, 20, 10);
}

#define with_fixture(t) cmocka_unit_test_setup_teardown(t, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    with_fixture(test_asks_home_then_spends),
	    with_fixture(test_denies_only_after_every_minter),
	    with_fixture(test_grant_counts_once_and_expires_from_the_ask),
	    with_fixture(test_takes_no_more_than_asked_nor_from_others),
	    with_fixture(test_later_process_asks_with_other_sequences),
	    with_fixture(test_silence_leads_on_and_ends),
	    with_fixture(test_old_silence_is_asked_again),
	    with_fixture(test_fresh_silence_is_not_waited_for),
	    with_fixture(test_minter_in_this_process_may_answer_at_once),
	    with_fixture(test_each_call_is_judged_by_its_own_wait),
	    with_fixture(test_unsent_asks_are_tried_again),
	    with_fixture(test_asks_ahead_of_steady_demand_only),
	    cmocka_unit_test(test_bound_holds_in_peace),
	    cmocka_unit_test(test_bound_holds_with_bad_messages),
	    cmocka_unit_test(test_bound_holds_over_view_changes),
	    cmocka_unit_test(test_bound_holds_under_all_faults),
	    cmocka_unit_test(test_bound_holds_for_a_bucket_on_the_move),
	    cmocka_unit_test(test_bound_holds_over_contract_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
