/* Decisions of the gate, one by one and in random sequences. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "upstream/gate.h"

#define SLOTS 8
#define START 2 /* initial limit for them */
#define MAX_ITEMS 40000
#define MS IR_US_PER_MS

struct item {
	struct ir_work work;
	enum {
		ABSENT,
		OFFERED,
		QUEUED,
		RUNNING,
		REFUSED,
		ENDED
	} phase;
	enum ir_error kind;
	uint32_t retry_after_ms;
};

struct fixture {
	struct ir_gate *gate;
	int64_t now;
	uint32_t count;
	uint32_t running;
	uint32_t queued[8]; /* by class */
	uint32_t last_started;
	struct item items[MAX_ITEMS];
};

static uint32_t
class_of(const struct item *i)
{
	return i->work.priority >> IR_RANK_BITS;
}

static void
count_dequeued(struct fixture *f, struct item *i)
{
	if (i->phase == QUEUED)
		f->queued[class_of(i)]--;
}

static void
on_start(void *ctx, int64_t now, struct ir_work *w)
{
	struct fixture *f = ctx;
	struct item *i = w->owner;
	struct ir_load load = ir_gate_load(f->gate, now, "");

	assert_true(i->phase == OFFERED || i->phase == QUEUED);
	count_dequeued(f, i);
	i->phase = RUNNING;
	f->running++;
	f->last_started = (uint32_t)(i - f->items);
	assert_int_equal(load.running, f->running);
	assert_true(load.running <= load.limit);
	assert_true(now < w->deadline_us);
	for (uint32_t c = class_of(i) + 1; c < 8; c++)
		assert_int_equal(f->queued[c], 0);
}

static void
on_refuse(void *ctx, int64_t now, struct ir_work *w, enum ir_error kind,
    uint32_t retry_after_ms)
{
	struct fixture *f = ctx;
	struct item *i = w->owner;
	bool evicted = i->phase == QUEUED && kind == IR_E_OVERLOAD;

	assert_true(i->phase == OFFERED || i->phase == QUEUED);
	count_dequeued(f, i);
	i->phase = REFUSED;
	i->kind = kind;
	i->retry_after_ms = retry_after_ms;
	for (uint32_t c = 0; evicted && c < class_of(i); c++)
		assert_int_equal(f->queued[c], 0);
}

static const struct ir_gate_ops ops = {.start = on_start, .refuse = on_refuse};

static int
setup(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->gate = ir_gate_new(f, &ops, f, SLOTS, 1, 0);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

static struct item *
offer_work(struct fixture *f, const char *account, uint32_t weight,
    uint32_t priority, int64_t within_us)
{
	struct item *i = &f->items[f->count++];

	assert_true(f->count <= MAX_ITEMS);
	*i = (struct item){.phase = OFFERED};
	i->work = (struct ir_work){.account = account,
	    .weight = weight,
	    .priority = priority,
	    .deadline_us = f->now + within_us,
	    .owner = i};
	ir_gate_offer(f->gate, f->now, &i->work);
	if (i->phase == OFFERED) {
		assert_int_equal(i->work.state, IR_WORK_QUEUED);
		i->phase = QUEUED;
		f->queued[class_of(i)]++;
	}
	return i;
}

static struct item *
offer(struct fixture *f, uint32_t priority)
{
	return offer_work(f, "a", 1, priority, IR_US_PER_S);
}

static void
finish(struct fixture *f, struct item *i, enum ir_sample s)
{
	assert_int_equal(i->phase, RUNNING);
	i->phase = ENDED;
	f->running--;
	ir_gate_done(f->gate, f->now, &i->work, s);
}

static void
cancel(struct fixture *f, struct item *i)
{
	if (i->phase == RUNNING)
		f->running--;
	count_dequeued(f, i);
	i->phase = ENDED;
	ir_gate_cancel(f->gate, f->now, &i->work);
}

/*
 * Teaches the gate the service time, then starts as many requests as may run at
 * once, so that the next ones queue.
 */
static void
fill_slots(struct fixture *f, int64_t service_us)
{
	for (int n = 0; n < 3; n++) {
		struct item *i = offer(f, 0);

		f->now += service_us;
		finish(f, i, IR_SAMPLE_OK);
	}
	for (int n = 0; n < START; n++)
		assert_int_equal(offer(f, 0)->phase, RUNNING);
}

static struct item *
first_running(struct fixture *f)
{
	for (uint32_t i = 0; i < f->count; i++) {
		if (f->items[i].phase == RUNNING)
			return &f->items[i];
	}
	return NULL;
}

/* Ends one request and returns the one started in its place. */
static struct item *
next_started(struct fixture *f)
{
	finish(f, first_running(f), IR_SAMPLE_OK);
	return &f->items[f->last_started];
}

static void
test_serves_by_importance_then_inside(void **state)
{
	struct fixture *f = *state;
	struct item *low, *inside, *high;

	fill_slots(f, MS);
	low = offer(f, ir_priority(1, false, 9));
	inside = offer(f, ir_priority(1, true, 0));
	high = offer(f, ir_priority(2, false, 0));
	assert_ptr_equal(next_started(f), high);
	assert_ptr_equal(next_started(f), inside);
	assert_ptr_equal(next_started(f), low);
}

static void
test_serves_accounts_by_weight(void **state)
{
	struct fixture *f = *state;
	uint32_t heavy = 0;

	fill_slots(f, MS);
	for (int n = 0; n < 24; n++) {
		offer_work(f, "light", 1, 0, IR_US_PER_S);
		offer_work(f, "heavy", 3, 0, IR_US_PER_S);
	}
	for (int n = 0; n < 16; n++)
		heavy += next_started(f)->work.weight == 3;
	assert_int_equal(heavy, 12);
}

static void
test_refuse_queued_ends_what_waits_and_nothing_that_runs(void **state)
{
	struct fixture *f = *state;
	struct item *waiting[3];

	fill_slots(f, MS);
	for (uint32_t n = 0; n < 3; n++)
		waiting[n] = offer(f, ir_priority(n, false, 0));
	assert_int_equal(
	    ir_gate_refuse_queued(f->gate, f->now, IR_E_WRONG_GATE), 3);
	for (int n = 0; n < 3; n++) {
		assert_int_equal(waiting[n]->phase, REFUSED);
		assert_int_equal(waiting[n]->kind, IR_E_WRONG_GATE);
	}
	assert_int_equal(ir_gate_work_count(f->gate), START);
	assert_int_equal(
	    ir_gate_refuse_queued(f->gate, f->now, IR_E_WRONG_GATE), 0);
	finish(f, first_running(f), IR_SAMPLE_OK);
	assert_int_equal(ir_gate_work_count(f->gate), START - 1);
}

static void
test_refuses_work_that_cannot_finish_in_time(void **state)
{
	struct fixture *f = *state;
	struct item *i;

	fill_slots(f, 40 * MS);
	i = offer_work(f, "a", 1, 0, 30 * MS);
	assert_int_equal(i->phase, REFUSED);
	assert_int_equal(i->kind, IR_E_DEADLINE);
	assert_true(i->retry_after_ms > 0);
	/* Alone it could finish in time, but not after those ahead of it. */
	for (int n = 0; n < 4; n++)
		offer(f, 0);
	i = offer_work(f, "a", 1, 0, 60 * MS);
	assert_int_equal(i->phase, REFUSED);
	assert_int_equal(i->kind, IR_E_OVERLOAD);
	assert_int_equal(offer(f, 0)->phase, QUEUED);
	i = offer_work(f, "a", 1, ir_priority(1, false, 0), 80 * MS);
	assert_int_equal(i->phase, QUEUED);
}

/* Work of higher importance is served first, so it adds to the wait. */
static void
test_expected_wait_includes_more_important_work(void **state)
{
	struct fixture *f = *state;

	fill_slots(f, 40 * MS);
	for (int n = 0; n < 4; n++)
		offer(f, ir_priority(1, false, 0));
	assert_int_equal(offer_work(f, "a", 1, 0, 80 * MS)->phase, REFUSED);
}

static void
test_expired_work_uses_no_share_of_its_flow(void **state)
{
	struct fixture *f = *state;
	struct item *second;

	fill_slots(f, 10 * MS);
	offer_work(f, "a", 1, 0, 50 * MS);
	second = offer_work(f, "a", 1, 0, IR_US_PER_S);
	offer_work(f, "b", 1, 0, IR_US_PER_S);
	f->now += 50 * MS;
	assert_ptr_equal(next_started(f), second);
}

static void
test_queued_work_expires(void **state)
{
	struct fixture *f = *state;
	struct item *i;

	fill_slots(f, 10 * MS);
	i = offer_work(f, "a", 1, 0, 50 * MS);
	assert_int_equal(i->phase, QUEUED);
	f->now += 45 * MS;
	ir_gate_tick(f->gate, f->now);
	assert_int_equal(i->phase, REFUSED);
	assert_int_equal(i->kind, IR_E_DEADLINE);
}

/* The deadline is also checked on start, without a tick in between. */
static void
test_deadline_checked_at_start(void **state)
{
	struct fixture *f = *state;
	struct item *i;

	fill_slots(f, 10 * MS);
	i = offer_work(f, "a", 1, 0, 50 * MS);
	f->now += 60 * MS;
	finish(f, first_running(f), IR_SAMPLE_OK);
	assert_int_equal(i->phase, REFUSED);
}

/* An estimate longer than each deadline must not refuse all work forever. */
static void
test_probes_when_no_work_seems_to_finish_in_time(void **state)
{
	struct fixture *f = *state;
	struct item *i;

	fill_slots(f, IR_US_PER_S);
	finish(f, first_running(f), IR_SAMPLE_OK);
	assert_int_equal(offer_work(f, "a", 1, 0, 50 * MS)->phase, REFUSED);
	finish(f, first_running(f), IR_SAMPLE_OK);
	assert_int_equal(offer_work(f, "a", 1, 0, 0)->phase, REFUSED);
	i = offer_work(f, "a", 1, 0, 50 * MS);
	assert_int_equal(i->phase, RUNNING);
}

/* Offers work until some is refused, and returns that. */
static struct item *
offer_until_refused(struct fixture *f, const char *account, uint32_t priority)
{
	for (int n = 0; n < 2000; n++) {
		uint32_t from = f->count;

		offer_work(f, account, 1, priority, 20 * IR_US_PER_S);
		for (uint32_t i = 0; i <= from; i++) {
			if (f->items[i].phase == REFUSED)
				return &f->items[i];
		}
	}
	return NULL;
}

static void
test_full_queue_refuses_least_important(void **state)
{
	struct fixture *f = *state;
	struct item *low, *entering;

	fill_slots(f, 10 * MS);
	entering = offer(f, ir_priority(1, false, 9));
	offer(f, ir_priority(1, true, 0));
	low = offer(f, ir_priority(0, true, 9));
	assert_ptr_equal(
	    offer_until_refused(f, "a", ir_priority(3, false, 0)), low);
	low->phase = ENDED;
	assert_ptr_equal(
	    offer_until_refused(f, "a", ir_priority(3, false, 0)), entering);
}

static void
test_full_queue_refuses_largest_account_by_rank(void **state)
{
	struct fixture *f = *state;
	struct item *small, *lowest;

	fill_slots(f, 10 * MS);
	small = offer_work(
	    f, "small", 1, ir_priority(1, false, 0), 20 * IR_US_PER_S);
	offer_work(f, "big", 1, ir_priority(1, false, 7), 20 * IR_US_PER_S);
	lowest =
	    offer_work(f, "big", 1, ir_priority(1, false, 3), 20 * IR_US_PER_S);
	assert_ptr_equal(
	    offer_until_refused(f, "big", ir_priority(1, false, 5)), lowest);
	assert_int_equal(small->phase, QUEUED);
}

static void
test_cancel_frees_slot_at_once(void **state)
{
	struct fixture *f = *state;
	struct item *first, *second;

	fill_slots(f, MS);
	first = offer(f, 0);
	second = offer(f, 0);
	cancel(f, first);
	cancel(f, first_running(f));
	assert_int_equal(second->phase, RUNNING);
	assert_int_equal(ir_gate_work_count(f->gate), START);
	cancel(f, first);
	ir_gate_done(f->gate, f->now, &first->work, IR_SAMPLE_OK);
	assert_int_equal(ir_gate_work_count(f->gate), START);
}

/* In each round of 5 ms, ends running work and offers work of two accounts. */
static void
overload(struct fixture *f, int rounds, uint32_t importance, uint32_t big,
    uint32_t small)
{
	for (int r = 0; r < rounds; r++) {
		struct item *i;

		f->now += 5 * MS;
		for (int n = 0; n < START && (i = first_running(f)); n++)
			finish(f, i, IR_SAMPLE_OK);
		for (uint32_t n = 0; n < big; n++) {
			offer_work(f, "big", 1,
			    ir_priority(importance, false, n << 8), 500 * MS);
		}
		for (uint32_t n = 0; n < small; n++) {
			offer_work(f, "small", 1,
			    ir_priority(importance, false, 0), 500 * MS);
		}
		ir_gate_tick(f->gate, f->now);
	}
}

/* Ends all work and lets time pass. */
static void
drain(struct fixture *f, int64_t for_us)
{
	for (int64_t t = 0; t < for_us; t += 10 * MS) {
		f->now += 10 * MS;
		while (first_running(f) != NULL)
			finish(f, first_running(f), IR_SAMPLE_OK);
		ir_gate_tick(f->gate, f->now);
	}
}

static void
test_shed_levels_rise_and_fall(void **state)
{
	struct fixture *f = *state;
	struct ir_load load;

	for (uint32_t importance = 0; importance < 4; importance++) {
		overload(f, 100, importance, 20, 0);
		load = ir_gate_load(f->gate, f->now, "big");
		assert_int_equal(
		    load.shed_level, ir_priority(importance, false, 0));
		assert_true(load.account_shed_level > load.shed_level);
		assert_true(
		    load.account_shed_level < ir_priority(importance, true, 0));
		drain(f, 300 * MS);
		load = ir_gate_load(f->gate, f->now, "big");
		assert_int_equal(load.shed_level, 0);
		assert_int_equal(load.account_shed_level, 0);
	}
}

static void
test_account_under_its_share_is_not_shed(void **state)
{
	struct fixture *f = *state;
	struct ir_load load;

	overload(f, 200, 1, 20, 0);
	for (int n = 0; n < 100; n++) {
		uint32_t from;

		overload(f, 7, 1, 3, 0);
		from = f->count;
		overload(f, 1, 1, 0, 1);
		assert_int_not_equal(f->items[from].phase, REFUSED);
	}
	load = ir_gate_load(f->gate, f->now, "small");
	assert_true(load.account_shed_level <= load.shed_level);
}

/* Sum, minimum and maximum of the retry times of 20 refusals. */
static uint32_t
sum_retry_times(
    struct fixture *f, uint32_t from, uint32_t *least, uint32_t *most)
{
	uint32_t sum = 0, found = 0;

	*least = UINT32_MAX;
	*most = 0;
	for (uint32_t i = from; found < 20; i++) {
		uint32_t ms = f->items[i].retry_after_ms;

		assert_true(i < f->count);
		if (f->items[i].phase != REFUSED)
			continue;
		found++;
		sum += ms;
		*least = ms < *least ? ms : *least;
		*most = ms > *most ? ms : *most;
	}
	return sum;
}

static void
test_retry_after_spreads_and_grows(void **state)
{
	struct fixture *f = *state;
	uint32_t least, most, early, late;

	fill_slots(f, 5 * MS);
	overload(f, 200, 0, 60, 0);
	early = sum_retry_times(f, 0, &least, &most);
	assert_true(least > 0);
	assert_true(most >= 2 * least);
	late = sum_retry_times(f, f->count - 100, &least, &most);
	assert_true(late > 3 * early);
	assert_true(most >= 2 * least);
}

static void
test_plain_policy_queues_everything(void **state)
{
	struct fixture *f = *state;

	ir_gate_set_policy(f->gate, IR_GATE_BASELINE);
	for (int n = 0; n < 5000; n++)
		assert_int_not_equal(offer(f, n & 0xffff)->phase, REFUSED);
	assert_int_equal(f->running, SLOTS);
	assert_int_equal(ir_gate_work_count(f->gate), 5000);
	assert_ptr_equal(next_started(f), &f->items[SLOTS]);
}

static void
finish_due(struct fixture *f, const int64_t *end_us)
{
	for (uint32_t i = 0; i < f->count; i++) {
		if (f->items[i].phase == RUNNING && end_us[i] <= f->now)
			finish(f, &f->items[i], IR_SAMPLE_OK);
	}
}

/*
 * At three times the capacity, with one account sending much more than the
 * others, each account is served its weighted share, and hardly any work is
 * refused of an account that sends less than its share.
 */
static void
test_weighted_shares_under_overload(void **state)
{
	static const uint32_t weight[] = {1, 1, 2, 4, 1};
	static const uint32_t rate[] = {100, 10, 20, 40, 5};
	static const char *const name[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	uint32_t served[5] = {0}, refused[5] = {0}, total = 0, all = 0;
	uint64_t random = 3;
	uint32_t ticks = 0;

	ir_gate_set_slots(f->gate, 1); /* at most four run */
	while (f->count < MAX_ITEMS - 200) {
		uint32_t before = f->count;

		f->now += MS;
		/* Each request takes 8 to 12 ms. */
		for (uint32_t i = before > 2000 ? before - 2000 : 0; i < before;
		     i++) {
			struct item *it = &f->items[i];

			if (it->phase == RUNNING &&
			    f->now - it->work.started_us >=
				(8 + (int64_t)(i % 5)) * MS)
				finish(f, it, IR_SAMPLE_OK);
		}
		for (int a = 0; a < 5; a++) {
			if (ir_random_below(&random, 146) < rate[a])
				offer_work(f, name[a], weight[a], 0, 500 * MS);
		}
		if (++ticks % 10 == 0)
			ir_gate_tick(f->gate, f->now);
	}
	for (uint32_t i = 0; i < f->count; i++) {
		int a = f->items[i].work.account[0] - 'a';

		served[a] += f->items[i].phase == ENDED;
		refused[a] += f->items[i].phase == REFUSED;
		all++;
	}
	for (int a = 0; a < 5; a++)
		total += served[a];
	assert_true(2 * all > 5 * total);
	for (int a = 0; a < 4; a++) {
		/* The last account leaves most of its share to the others. */
		assert_true(
		    served[a] >= 0.95 * (total - served[4]) * weight[a] / 8);
	}
	assert_true(refused[4] <= served[4] / 50);
}

/* Random operations, checked in the callbacks and after each step. */
static bool
looks_full(const struct fixture *f)
{
	struct ir_load l = ir_gate_load(f->gate, f->now, "");

	return l.running + l.queued >= l.limit;
}

static void
test_gate_of_a_limited_upstream_keeps_one_request_waiting(void **state)
{
	struct fixture *f = *state;
	struct item *first, *second, *important;

	ir_gate_set_reported_slots(f->gate, 36);
	ir_gate_set_rate_cap(f->gate, f->now, 4000);
	assert_true(looks_full(f));
	first = offer(f, 0);
	assert_int_equal(first->phase, QUEUED);
	second = offer(f, 0);
	assert_int_equal(
	    (first->phase == REFUSED) + (second->phase == REFUSED), 1);
	important = offer(f, ir_priority(3, false, 0));
	assert_int_equal(important->phase, QUEUED);
	assert_int_equal(second->phase, REFUSED);
	assert_int_equal(first->phase, REFUSED);
	f->now += 250 * MS;
	ir_gate_tick(f->gate, f->now);
	assert_int_equal(important->phase, RUNNING);
	assert_true(looks_full(f));
	f->now += 250 * MS;
	assert_false(looks_full(f));
	ir_gate_clear_rate_cap(f->gate);
	assert_int_equal(offer(f, 0)->phase, RUNNING);
	assert_int_equal(offer(f, 0)->phase, RUNNING);
}

/* Runs one request of this duration at this speed; returns the report. */
static struct ir_load
run_at_speed(struct fixture *f, int64_t run_us, double slowdown)
{
	struct item *i;

	ir_gate_set_report(f->gate, 36, slowdown);
	i = offer(f, 0);
	f->now += run_us;
	finish(f, i, IR_SAMPLE_OK);
	return ir_gate_load(f->gate, f->now, "");
}

static void
test_slow_phase_shows_at_once_and_ends_at_once(void **state)
{
	struct fixture *f = *state;
	struct ir_load l = {0};

	for (int n = 0; n < 50; n++)
		l = run_at_speed(f, 10 * MS, 1.0);
	assert_true(ir_load_speed_known(&l));
	assert_in_range(ir_load_service_time_us(&l), 9900, 10100);
	for (int n = 0; n < 3; n++)
		l = run_at_speed(f, 25 * MS, 2.5);
	assert_in_range(ir_load_service_time_us(&l), 24500, 25500);
	for (int n = 0; n < 3; n++)
		l = run_at_speed(f, 10 * MS, 1.0);
	assert_in_range(ir_load_service_time_us(&l), 9800, 10200);
}

static void
test_time_of_callees_does_not_follow_the_speed(void **state)
{
	struct fixture *f = *state;
	struct item *i;
	struct ir_load l;

	ir_gate_set_report(f->gate, 36, 1.0);
	i = offer(f, 0);
	f->now += 30 * MS;
	i->work.callee_wait_us = 20 * MS;
	finish(f, i, IR_SAMPLE_OK);
	ir_gate_set_report(f->gate, 36, 2.0);
	l = ir_gate_load(f->gate, f->now, "");
	assert_int_equal(ir_load_service_time_us(&l), 40 * MS);
}

static void
test_gate_without_reported_speed_reports_plain_run_time(void **state)
{
	struct fixture *f = *state;
	struct ir_load l;

	(void)run_at_speed(f, 10 * MS, 1.0);
	l = run_at_speed(f, 26 * MS, 0);
	assert_false(ir_load_speed_known(&l));
	assert_int_equal(l.service_time_us, 11 * MS);
}

/* It seemed to have the most room, and got more than its share. */
static void
expect_full_while_half_end_so(struct fixture *f, enum ir_sample bad)
{
	struct ir_load l = ir_gate_load(f->gate, f->now, "");

	assert_true(l.running + l.queued < l.limit);
	for (int n = 0; n < 50; n++)
		finish(f, offer(f, 0), n % 2 == 0 ? bad : IR_SAMPLE_OK);
	l = ir_gate_load(f->gate, f->now, "");
	assert_true(l.running + l.queued >= l.limit);
	f->now += 2 * IR_US_PER_S;
	l = ir_gate_load(f->gate, f->now, "");
	assert_true(l.running + l.queued < l.limit);
}

static void
test_gate_whose_upstream_refuses_half_shows_itself_full(void **state)
{
	expect_full_while_half_end_so(*state, IR_SAMPLE_SHED);
}

static void
test_gate_whose_upstream_breaks_half_shows_itself_full(void **state)
{
	expect_full_while_half_end_so(*state, IR_SAMPLE_FAILED);
}

static void
test_reported_slots_bound_the_limit_from_above_only(void **state)
{
	struct fixture *f = *state;

	ir_gate_set_report(f->gate, 100, 1.0);
	assert_int_equal(ir_gate_load(f->gate, f->now, "").limit, START);
	ir_gate_set_reported_slots(f->gate, 36);
	assert_int_equal(ir_gate_load(f->gate, f->now, "").limit, 36);
	ir_gate_set_report(f->gate, 20, 1.0);
	assert_int_equal(ir_gate_load(f->gate, f->now, "").limit, 19);
	ir_gate_set_report(f->gate, 4, 1.0);
	assert_int_equal(ir_gate_load(f->gate, f->now, "").limit, 4);
	ir_gate_set_report(f->gate, 0, 0);
	assert_int_equal(ir_gate_load(f->gate, f->now, "").limit, 36);
}

static void
test_deadlines_follow_the_reported_speed(void **state)
{
	struct fixture *f = *state;

	(void)run_at_speed(f, 10 * MS, 1.0);
	assert_int_equal(offer(f, 0)->phase, RUNNING);
	assert_int_equal(offer_work(f, "a", 1, 0, 15 * MS)->phase, RUNNING);
	ir_gate_set_report(f->gate, 36, 2.5);
	assert_int_equal(offer_work(f, "a", 1, 0, 15 * MS)->phase, REFUSED);
}

static void
test_random_against_oracle(void **state)
{
	static const char *const name[] = {"a", "b", "c", "d"};
	struct fixture *f = *state;
	int64_t *end_us = talloc_array(f, int64_t, MAX_ITEMS);
	uint64_t random;

	for (uint64_t seed = 1; seed <= 8; seed++) {
		talloc_free(f->gate);
		f->count = 0;
		f->running = 0;
		memset(f->queued, 0, sizeof(f->queued));
		f->gate = ir_gate_new(f, &ops, f, SLOTS, seed, f->now);
		random = seed;
		for (int step = 0; step < 1500; step++) {
			uint32_t a = ir_random_below(&random, 4);
			uint32_t queued = 0;

			f->now += ir_random_below(&random, 4000);
			end_us[f->count] =
			    f->now + ir_random_below(&random, 30000);
			offer_work(f, name[a], 1 + a,
			    ir_random_below(&random, 8 << IR_RANK_BITS),
			    ir_random_below(&random, 200000));
			if (step % 3 == 0)
				finish_due(f, end_us);
			if (step % 7 == 0)
				cancel(f, &f->items[ir_random_below(
					      &random, f->count)]);
			if (step % 5 == 0)
				ir_gate_tick(f->gate, f->now);
			for (int c = 0; c < 8; c++)
				queued += f->queued[c];
			assert_int_equal(
			    ir_gate_work_count(f->gate), queued + f->running);
		}
		while (ir_gate_work_count(f->gate) > 0) {
			f->now += 50 * MS;
			finish_due(f, end_us);
			ir_gate_tick(f->gate, f->now);
		}
		for (uint32_t i = 0; i < f->count; i++) {
			assert_true(f->items[i].phase == ENDED ||
				    f->items[i].phase == REFUSED);
		}
	}
}

#define GATE_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    GATE_TEST(test_serves_by_importance_then_inside),
	    GATE_TEST(test_slow_phase_shows_at_once_and_ends_at_once),
	    GATE_TEST(test_time_of_callees_does_not_follow_the_speed),
	    GATE_TEST(test_gate_without_reported_speed_reports_plain_run_time),
	    GATE_TEST(test_gate_whose_upstream_refuses_half_shows_itself_full),
	    GATE_TEST(test_gate_whose_upstream_breaks_half_shows_itself_full),
	    GATE_TEST(test_reported_slots_bound_the_limit_from_above_only),
	    GATE_TEST(test_deadlines_follow_the_reported_speed),
	    GATE_TEST(test_serves_accounts_by_weight),
	    GATE_TEST(test_refuse_queued_ends_what_waits_and_nothing_that_runs),
	    GATE_TEST(test_refuses_work_that_cannot_finish_in_time),
	    GATE_TEST(test_expected_wait_includes_more_important_work),
	    GATE_TEST(test_expired_work_uses_no_share_of_its_flow),
	    GATE_TEST(test_queued_work_expires),
	    GATE_TEST(test_deadline_checked_at_start),
	    GATE_TEST(test_probes_when_no_work_seems_to_finish_in_time),
	    GATE_TEST(test_full_queue_refuses_least_important),
	    GATE_TEST(test_full_queue_refuses_largest_account_by_rank),
	    GATE_TEST(test_cancel_frees_slot_at_once),
	    GATE_TEST(test_shed_levels_rise_and_fall),
	    GATE_TEST(test_account_under_its_share_is_not_shed),
	    GATE_TEST(test_retry_after_spreads_and_grows),
	    GATE_TEST(test_plain_policy_queues_everything),
	    GATE_TEST(test_weighted_shares_under_overload),
	    GATE_TEST(
		test_gate_of_a_limited_upstream_keeps_one_request_waiting),
	    GATE_TEST(test_random_against_oracle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
