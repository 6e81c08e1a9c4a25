/*
 * What a reader of the store has covered, in every order of what can happen to
 * a store and to the two reads of a client: a model with one step for each
 * write, loss of history and cut, and for each of a read's beginning, answer
 * and delivery.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "host/coverage.h"

#define CONFIG IR_PART_CONFIG
#define HOSTS IR_PART_HOSTS
#define ORDER_LENGTH 8
#define FIRST_REVISION 1
#define MAX_WRITES (ORDER_LENGTH + 2)
/* Steps after which a client that is left alone has read everything. */
#define SETTLE_STEPS 24

enum step {
	STEP_WRITE_CONFIG,
	STEP_WRITE_HOSTS,
	STEP_LOSE_HISTORY,
	STEP_CUT,
	STEP_PEER, /* a peer passes the configuration on */
	STEP_READ_CONFIG,
	STEP_READ_HOSTS,
	STEP_COUNT
};

enum read_state {
	READ_IDLE,
	READ_SENT,
	READ_ANSWERED
};

struct read {
	enum read_state state;
	bool expired; /* answer: that history is not there */
	uint64_t after;
	uint64_t revision;		/* answer: of the store */
	uint64_t newest[IR_PART_COUNT]; /* answer: last write of each part */
};

struct model {
	uint64_t revision; /* of the store */
	uint64_t forgotten;
	uint64_t write_revision[IR_PART_COUNT][MAX_WRITES];
	int write_count[IR_PART_COUNT];
	struct ir_coverage coverage;
	struct read reads[IR_PART_COUNT];
	uint64_t held[IR_PART_COUNT]; /* the write that the client has */
};

static uint64_t orders;

static struct model
make_model(void)
{
	struct model m = {.revision = FIRST_REVISION};

	m.coverage.joint = true;
	for (int part = 0; part < IR_PART_COUNT; part++) {
		m.write_revision[part][0] = FIRST_REVISION;
		m.write_count[part] = 1;
	}
	return m;
}

static uint64_t
last_write(const struct model *m, int part, uint64_t revision)
{
	int i = m->write_count[part] - 1;

	while (i > 0 && m->write_revision[part][i] > revision)
		i--;
	return m->write_revision[part][i];
}

static void
write_part(struct model *m, int part)
{
	m->write_revision[part][m->write_count[part]++] = ++m->revision;
}

static void
begin_read(struct model *m, int part)
{
	struct ir_read_plan plan = ir_coverage_plan(&m->coverage, part);

	if (plan.kind == IR_READ_NONE)
		return;
	m->reads[part].state = READ_SENT;
	m->reads[part].after = plan.after;
}

static void
answer_read(struct model *m, struct read *r)
{
	r->state = READ_ANSWERED;
	r->expired = r->after != 0 && r->after < m->forgotten;
	r->revision = m->revision;
	for (int part = 0; part < IR_PART_COUNT; part++)
		r->newest[part] = last_write(m, part, m->revision);
}

/* Whether an answer shows a write of the part. */
static bool
shows(const struct read *r, int part)
{
	return r->newest[part] > r->after;
}

/* An older write does not replace a newer one, from a peer. */
static void
hold(struct model *m, int part, const struct read *r)
{
	if (shows(r, part) && r->newest[part] > m->held[part])
		m->held[part] = r->newest[part];
}

static void
deliver_joint_config(struct model *m, const struct read *r)
{
	uint64_t after = shows(r, CONFIG) ? 0 : r->after;

	if (ir_coverage_add(&m->coverage, CONFIG, after, r->revision))
		hold(m, CONFIG, r);
}

static void
deliver_read(struct model *m, int part)
{
	struct read *r = &m->reads[part];

	r->state = READ_IDLE;
	if (r->expired) {
		ir_coverage_history_lost(&m->coverage, part);
		return;
	}
	if (part == HOSTS && r->after != 0)
		deliver_joint_config(m, r);
	if (ir_coverage_add(&m->coverage, part, r->after, r->revision))
		hold(m, part, r);
}

static void
step_read(struct model *m, int part)
{
	switch (m->reads[part].state) {
	case READ_IDLE:
		begin_read(m, part);
		break;
	case READ_SENT:
		answer_read(m, &m->reads[part]);
		break;
	case READ_ANSWERED:
		deliver_read(m, part);
		break;
	}
}

static void
take_from_peer(struct model *m)
{
	uint64_t newest = last_write(m, CONFIG, m->revision);

	m->held[CONFIG] = newest;
	ir_coverage_raise(&m->coverage, CONFIG, newest);
}

static void
take_step(struct model *m, enum step s)
{
	switch (s) {
	case STEP_WRITE_CONFIG:
		write_part(m, CONFIG);
		break;
	case STEP_WRITE_HOSTS:
		write_part(m, HOSTS);
		break;
	case STEP_LOSE_HISTORY:
		m->forgotten = m->revision;
		break;
	case STEP_CUT:
		m->reads[CONFIG].state = READ_IDLE;
		m->reads[HOSTS].state = READ_IDLE;
		break;
	case STEP_PEER:
		take_from_peer(m);
		break;
	case STEP_READ_CONFIG:
		step_read(m, CONFIG);
		break;
	default:
		step_read(m, HOSTS);
		break;
	}
}

/* What is covered is held: no write up to that revision was missed. */
static void
check_covered_is_held(const struct model *m)
{
	for (int part = 0; part < IR_PART_COUNT; part++) {
		uint64_t covered = m->coverage.revision[part];

		if (covered != 0)
			assert_true(
			    m->held[part] >= last_write(m, part, covered));
	}
}

static void
check_settles(struct model m)
{
	for (int i = 0; i < SETTLE_STEPS; i++)
		step_read(&m, i % IR_PART_COUNT);
	for (int part = 0; part < IR_PART_COUNT; part++)
		assert_int_equal(
		    m.held[part], last_write(&m, part, m.revision));
}

static void
try_orders(const struct model *m, int left)
{
	if (left == 0) {
		orders++;
		check_settles(*m);
		return;
	}
	for (int s = 0; s < STEP_COUNT; s++) {
		struct model next = *m;

		take_step(&next, s);
		check_covered_is_held(&next);
		try_orders(&next, left - 1);
	}
}

static void
test_no_order_of_reads_and_losses_hides_a_change(void **state)
{
	struct model m = make_model();

	orders = 0;
	try_orders(&m, ORDER_LENGTH);
	print_message("%llu orders of %d steps\n", (unsigned long long)orders,
	    ORDER_LENGTH);
	assert_int_equal(orders, 5764801);
}

/* The same from a client that has read both parts, and longer, at random. */
static void
test_random_orders_hide_no_change(void **state)
{
	uint64_t random = 20261205;

	for (int run = 0; run < 200000; run++) {
		struct model m = make_model();
		int writes = 0;

		while (writes < ORDER_LENGTH) {
			enum step s;

			random = random * UINT64_C(6364136223846793005) +
				 UINT64_C(1442695040888963407);
			s = (random >> 33) % STEP_COUNT;
			writes += s <= STEP_WRITE_HOSTS;
			take_step(&m, s);
			check_covered_is_held(&m);
		}
		check_settles(m);
	}
}

/* A change between the full reads of the two parts is in the joint watch. */
static void
test_joint_watch_begins_at_the_older_read(void **state)
{
	struct ir_coverage c = {.joint = true};

	assert_int_equal(ir_coverage_plan(&c, CONFIG).kind, IR_READ_FULL);
	assert_true(ir_coverage_add(&c, CONFIG, 0, 10));
	assert_int_equal(ir_coverage_plan(&c, CONFIG).kind, IR_READ_CHANGES);
	assert_true(ir_coverage_add(&c, HOSTS, 0, 12));
	assert_int_equal(ir_coverage_plan(&c, CONFIG).kind, IR_READ_NONE);
	assert_int_equal(ir_coverage_plan(&c, HOSTS).kind, IR_READ_CHANGES);
	assert_int_equal(ir_coverage_plan(&c, HOSTS).after, 10);
	assert_false(ir_coverage_add(&c, CONFIG, 12, 13));
	assert_int_equal(c.revision[CONFIG], 10);
}

static void
test_history_lost_between_two_reads_voids_both(void **state)
{
	struct ir_coverage c = {.joint = true, .revision = {10, 12}};

	ir_coverage_history_lost(&c, HOSTS);
	assert_int_equal(ir_coverage_plan(&c, CONFIG).kind, IR_READ_FULL);
	assert_int_equal(ir_coverage_plan(&c, HOSTS).kind, IR_READ_FULL);
}

static void
test_separate_watches_begin_at_their_own_reads(void **state)
{
	struct ir_coverage c = {.joint = false, .revision = {10, 12}};

	assert_int_equal(ir_coverage_plan(&c, CONFIG).after, 10);
	assert_int_equal(ir_coverage_plan(&c, HOSTS).after, 12);
	ir_coverage_history_lost(&c, HOSTS);
	assert_int_equal(ir_coverage_plan(&c, CONFIG).after, 10);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_order_of_reads_and_losses_hides_a_change),
	    cmocka_unit_test(test_random_orders_hide_no_change),
	    cmocka_unit_test(test_joint_watch_begins_at_the_older_read),
	    cmocka_unit_test(test_history_lost_between_two_reads_voids_both),
	    cmocka_unit_test(test_separate_watches_begin_at_their_own_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
