/* The state machine of a link: silence, pauses, back-off and idleness. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "link/link.h"

#define MS IR_US_PER_MS
#define TICK_US (10 * MS)

static void
make_up(struct ir_link *l, int64_t now)
{
	ir_link_init(l);
	assert_int_equal(ir_link_want(l, now), IR_LINK_CONNECT);
	ir_link_connecting(l, now, 2);
	assert_int_equal(ir_link_connected(l, now), IR_LINK_GREET);
	assert_true(ir_link_greeted(l, now, "b", "b", true, 7));
	assert_int_equal(l->state, IR_LINK_UP);
	assert_int_equal(l->incarnation, 7);
}

/* Ticks until an action other than a heartbeat; the time of it. */
static int64_t
tick_until(struct ir_link *l, int64_t now, int64_t end,
    enum ir_link_action *action, int *heartbeats)
{
	for (; now <= end; now += TICK_US) {
		*action = ir_link_tick(l, now);
		if (*action == IR_LINK_HEARTBEAT)
			(*heartbeats)++;
		else if (*action != IR_LINK_NOTHING)
			return now;
	}
	return now;
}

static void
test_silent_peer_is_given_up(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, lost;

	make_up(&l, now);
	ir_link_sent(&l, now);
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(lost - now, IR_LINK_TIMEOUT_US);
	assert_int_equal(heartbeats, 3);
	/* A new connection is allowed at once. */
	assert_int_equal(ir_link_want(&l, lost), IR_LINK_CONNECT);
}

static void
test_connect_and_greeting_are_bounded(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;

	ir_link_init(&l);
	ir_link_connecting(&l, 1000 * MS, 2);
	tick_until(&l, 1000 * MS, 3000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	ir_link_init(&l);
	ir_link_connecting(&l, 1000 * MS, 2);
	ir_link_connected(&l, 1000 * MS);
	tick_until(&l, 1000 * MS, 3000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(heartbeats, 0);
}

static void
test_heard_peer_stays(void **state)
{
	struct ir_link l;
	int64_t now = 1000 * MS;

	make_up(&l, now);
	for (int i = 0; i < 400; i++) {
		enum ir_link_action a;

		now += TICK_US;
		ir_link_want(&l, now);
		a = ir_link_tick(&l, now);
		assert_int_not_equal(a, IR_LINK_LOST);
		if (a == IR_LINK_HEARTBEAT)
			ir_link_heard(&l, now + 5 * MS);
	}
	assert_int_equal(l.state, IR_LINK_UP);
}

/* Answers that came during a pause are read after the tick. */
static void
test_pause_does_not_condemn(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS;

	make_up(&l, now);
	ir_link_sent(&l, now);
	ir_link_tick(&l, now);
	now += 5000 * MS;
	ir_link_want(&l, now);
	assert_int_equal(ir_link_tick(&l, now), IR_LINK_HEARTBEAT);
	tick_until(&l, now + TICK_US, now + IR_HEARTBEAT_PERIOD_US - TICK_US,
	    &a, &heartbeats);
	assert_int_equal(a, IR_LINK_NOTHING);
	/* Heard: the next heartbeat is due a period later, not before. */
	now += IR_HEARTBEAT_PERIOD_US - TICK_US;
	ir_link_heard(&l, now);
	assert_int_equal(
	    ir_link_tick(&l, now + IR_HEARTBEAT_PERIOD_US - TICK_US),
	    IR_LINK_NOTHING);
	now += IR_HEARTBEAT_PERIOD_US;
	assert_int_equal(ir_link_tick(&l, now), IR_LINK_HEARTBEAT);
	/* A peer that stays silent after the pause is given up all the same. */
	tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
}

static void
test_pause_then_silence(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, lost;

	make_up(&l, now);
	ir_link_sent(&l, now);
	ir_link_tick(&l, now);
	now += 5000 * MS;
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(lost - now, IR_HEARTBEAT_PERIOD_US);
}

/* Answers are as good as heartbeats; without them the link is tried. */
static void
test_heartbeats_only_in_silence(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, end = 3000 * MS, lost;

	make_up(&l, now);
	for (; now < end; now += 15 * TICK_US) {
		ir_link_want(&l, now);
		ir_link_sent(&l, now);
		ir_link_heard(&l, now + TICK_US);
		tick_until(
		    &l, now + TICK_US, now + 14 * TICK_US, &a, &heartbeats);
	}
	assert_int_equal(heartbeats, 0);
	/* One unanswered message among answered ones is no silence. */
	ir_link_sent(&l, now);
	tick_until(&l, now, now + IR_HEARTBEAT_PERIOD_US, &a, &heartbeats);
	assert_int_equal(heartbeats, 1);
	ir_link_heard(&l, now + IR_HEARTBEAT_PERIOD_US + TICK_US);
	/* Cut right after: found within a second. */
	now += IR_HEARTBEAT_PERIOD_US + TICK_US;
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(
	    lost - now, IR_HEARTBEAT_PERIOD_US + IR_LINK_TIMEOUT_US);
}

/* A poll every 400 ms needs no heartbeat, and is missed when unanswered. */
static void
test_kept_link_has_no_heartbeats(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, lost;

	make_up(&l, now);
	now += 6000 * MS;
	for (int i = 0; i < 100; i++, now += IR_VIEW_POLL_US) {
		assert_int_equal(ir_link_keep(&l, now), IR_LINK_NOTHING);
		ir_link_sent(&l, now);
		ir_link_heard(&l, now + 3 * TICK_US);
		tick_until(
		    &l, now + 3 * TICK_US, now + 39 * TICK_US, &a, &heartbeats);
		assert_int_equal(a, IR_LINK_NOTHING);
	}
	assert_int_equal(heartbeats, 0);
	ir_link_sent(&l, now);
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(lost - now, IR_LINK_TIMEOUT_US);
}

static void
test_another_host_is_refused(void **state)
{
	struct ir_link l;

	ir_link_init(&l);
	ir_link_connecting(&l, 1000 * MS, 2);
	ir_link_connected(&l, 1000 * MS);
	assert_false(ir_link_greeted(&l, 1000 * MS, "b", "c", true, 7));
	assert_int_equal(l.state, IR_LINK_DOWN);
	assert_int_equal(ir_link_want(&l, 1001 * MS), IR_LINK_NOTHING);
	ir_link_connecting(&l, 1200 * MS, 4);
	ir_link_connected(&l, 1200 * MS);
	assert_false(ir_link_greeted(&l, 1200 * MS, "b", "b", false, 7));
}

static void
test_back_off_doubles_to_its_bound(void **state)
{
	const int64_t waits_ms[] = {100, 200, 400, 800, 1600, 2000, 2000};
	struct ir_link l;
	int64_t now = 1000 * MS;

	ir_link_init(&l);
	for (size_t i = 0; i < sizeof(waits_ms) / sizeof(*waits_ms); i++) {
		int64_t wait = waits_ms[i] * MS;

		ir_link_connecting(&l, now, 2);
		ir_link_closed(&l, now);
		ir_link_closed(&l, now);
		assert_int_equal(
		    ir_link_want(&l, now + wait - 1), IR_LINK_NOTHING);
		now += wait;
		assert_int_equal(ir_link_want(&l, now), IR_LINK_CONNECT);
	}
}

static void
test_unused_link_goes_quiet_then_down(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, end;

	make_up(&l, now);
	for (end = now + 6000 * MS; now < end; now += TICK_US) {
		if (ir_link_tick(&l, now) == IR_LINK_HEARTBEAT)
			ir_link_heard(&l, now);
	}
	end = tick_until(&l, now, 40000 * MS, &a, &heartbeats);
	assert_int_equal(heartbeats, 0);
	assert_int_equal(a, IR_LINK_IDLE);
	assert_int_equal(end, 31000 * MS);
	assert_int_equal(ir_link_want(&l, end), IR_LINK_CONNECT);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_silent_peer_is_given_up),
	    cmocka_unit_test(test_connect_and_greeting_are_bounded),
	    cmocka_unit_test(test_heard_peer_stays),
	    cmocka_unit_test(test_pause_does_not_condemn),
	    cmocka_unit_test(test_pause_then_silence),
	    cmocka_unit_test(test_heartbeats_only_in_silence),
	    cmocka_unit_test(test_kept_link_has_no_heartbeats),
	    cmocka_unit_test(test_another_host_is_refused),
	    cmocka_unit_test(test_back_off_doubles_to_its_bound),
	    cmocka_unit_test(test_unused_link_goes_quiet_then_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
