/* State machine of a link: timeouts, pauses, backoff and idle links. */
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
set_up(struct ir_link *l, int64_t now)
{
	ir_link_init(l);
	assert_int_equal(ir_link_use(l, now), IR_LINK_CONNECT);
	ir_link_connect_started(l, now, 2);
	assert_int_equal(ir_link_connected(l, now), IR_LINK_SEND_HELLO);
	assert_true(ir_link_hello_reply(l, now, "b", "b", true, 7));
	assert_int_equal(l->state, IR_LINK_UP);
	assert_int_equal(l->incarnation, 7);
}

/* Ticks until an action other than a heartbeat; returns its time. */
static int64_t
tick_until(struct ir_link *l, int64_t now, int64_t end,
    enum ir_link_action *action, int *heartbeats)
{
	for (; now <= end; now += TICK_US) {
		*action = ir_link_tick(l, now);
		if (*action == IR_LINK_SEND_HEARTBEAT)
			(*heartbeats)++;
		else if (*action != IR_LINK_NOTHING)
			return now;
	}
	return now;
}

static void
test_link_to_silent_peer_is_lost(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, lost;

	set_up(&l, now);
	ir_link_message_sent(&l, now);
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(lost - now, IR_LINK_TIMEOUT_US);
	assert_int_equal(heartbeats, 3);
	/* A new connection is allowed at once. */
	assert_int_equal(ir_link_use(&l, lost), IR_LINK_CONNECT);
}

static void
test_connect_and_hello_time_out(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;

	ir_link_init(&l);
	ir_link_connect_started(&l, 1000 * MS, 2);
	tick_until(&l, 1000 * MS, 3000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	ir_link_init(&l);
	ir_link_connect_started(&l, 1000 * MS, 2);
	ir_link_connected(&l, 1000 * MS);
	tick_until(&l, 1000 * MS, 3000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(heartbeats, 0);
}

static void
test_link_to_answering_peer_stays_up(void **state)
{
	struct ir_link l;
	int64_t now = 1000 * MS;

	set_up(&l, now);
	for (int i = 0; i < 400; i++) {
		enum ir_link_action a;

		now += TICK_US;
		ir_link_use(&l, now);
		a = ir_link_tick(&l, now);
		assert_int_not_equal(a, IR_LINK_LOST);
		if (a == IR_LINK_SEND_HEARTBEAT)
			ir_link_message_received(&l, now + 5 * MS);
	}
	assert_int_equal(l.state, IR_LINK_UP);
}

/* Answers that arrive during a pause are only read after the first tick. */
static void
test_pause_of_this_process_does_not_lose_the_link(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS;

	set_up(&l, now);
	ir_link_message_sent(&l, now);
	ir_link_tick(&l, now);
	now += 5000 * MS;
	ir_link_use(&l, now);
	assert_int_equal(ir_link_tick(&l, now), IR_LINK_SEND_HEARTBEAT);
	tick_until(&l, now + TICK_US, now + IR_HEARTBEAT_PERIOD_US - TICK_US,
	    &a, &heartbeats);
	assert_int_equal(a, IR_LINK_NOTHING);
	/* After a message, the next heartbeat is due one period later. */
	now += IR_HEARTBEAT_PERIOD_US - TICK_US;
	ir_link_message_received(&l, now);
	assert_int_equal(
	    ir_link_tick(&l, now + IR_HEARTBEAT_PERIOD_US - TICK_US),
	    IR_LINK_NOTHING);
	now += IR_HEARTBEAT_PERIOD_US;
	assert_int_equal(ir_link_tick(&l, now), IR_LINK_SEND_HEARTBEAT);
	/* The link is lost if the peer stays silent after the pause. */
	tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
}

static void
test_silent_peer_is_lost_after_a_pause(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, lost;

	set_up(&l, now);
	ir_link_message_sent(&l, now);
	ir_link_tick(&l, now);
	now += 5000 * MS;
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(lost - now, IR_HEARTBEAT_PERIOD_US);
}

/* No heartbeats while the peer answers; then they detect that it stopped. */
static void
test_heartbeats_are_sent_only_without_other_messages(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, end = 3000 * MS, lost;

	set_up(&l, now);
	for (; now < end; now += 15 * TICK_US) {
		ir_link_use(&l, now);
		ir_link_message_sent(&l, now);
		ir_link_message_received(&l, now + TICK_US);
		tick_until(
		    &l, now + TICK_US, now + 14 * TICK_US, &a, &heartbeats);
	}
	assert_int_equal(heartbeats, 0);
	/* A late answer is not a loss: one heartbeat is sent meanwhile. */
	ir_link_message_sent(&l, now);
	tick_until(&l, now, now + IR_HEARTBEAT_PERIOD_US, &a, &heartbeats);
	assert_int_equal(heartbeats, 1);
	ir_link_message_received(&l, now + IR_HEARTBEAT_PERIOD_US + TICK_US);
	/* The peer stops right after it: detected within a second. */
	now += IR_HEARTBEAT_PERIOD_US + TICK_US;
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(
	    lost - now, IR_HEARTBEAT_PERIOD_US + IR_LINK_TIMEOUT_US);
}

/* A poll each IR_VIEW_POLL_US replaces heartbeats and detects a lost peer. */
static void
test_polled_link_sends_no_heartbeats(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, lost;

	set_up(&l, now);
	now += 6000 * MS;
	for (int i = 0; i < 100; i++, now += IR_VIEW_POLL_US) {
		assert_int_equal(ir_link_keep_open(&l, now), IR_LINK_NOTHING);
		ir_link_message_sent(&l, now);
		ir_link_message_received(&l, now + 3 * TICK_US);
		tick_until(
		    &l, now + 3 * TICK_US, now + 39 * TICK_US, &a, &heartbeats);
		assert_int_equal(a, IR_LINK_NOTHING);
	}
	assert_int_equal(heartbeats, 0);
	ir_link_message_sent(&l, now);
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(lost - now, IR_LINK_TIMEOUT_US);
}

static void
test_link_is_not_lost_while_bytes_of_an_answer_move(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, lost;

	set_up(&l, now);
	ir_link_message_sent(&l, now);
	for (int i = 0; i < 20; i++, now += IR_LINK_TIMEOUT_US / 2) {
		tick_until(
		    &l, now, now + IR_LINK_TIMEOUT_US / 2, &a, &heartbeats);
		assert_int_equal(l.state, IR_LINK_UP);
		ir_link_bytes_moved(&l, now + IR_LINK_TIMEOUT_US / 2);
	}
	lost = tick_until(&l, now, now + 2000 * MS, &a, &heartbeats);
	assert_int_equal(a, IR_LINK_LOST);
	assert_int_equal(lost - now, IR_LINK_TIMEOUT_US);
}

static void
test_wrong_host_is_refused(void **state)
{
	struct ir_link l;

	ir_link_init(&l);
	ir_link_connect_started(&l, 1000 * MS, 2);
	ir_link_connected(&l, 1000 * MS);
	assert_false(ir_link_hello_reply(&l, 1000 * MS, "b", "c", true, 7));
	assert_int_equal(l.state, IR_LINK_DOWN);
	assert_int_equal(ir_link_use(&l, 1001 * MS), IR_LINK_NOTHING);
	ir_link_connect_started(&l, 1200 * MS, 4);
	ir_link_connected(&l, 1200 * MS);
	assert_false(ir_link_hello_reply(&l, 1200 * MS, "b", "b", false, 7));
}

static void
test_backoff_doubles_up_to_its_bound(void **state)
{
	const int64_t waits_ms[] = {100, 200, 400, 800, 1600, 2000, 2000};
	struct ir_link l;
	int64_t now = 1000 * MS;

	ir_link_init(&l);
	for (size_t i = 0; i < sizeof(waits_ms) / sizeof(*waits_ms); i++) {
		int64_t wait = waits_ms[i] * MS;

		ir_link_connect_started(&l, now, 2);
		ir_link_connection_closed(&l, now);
		ir_link_connection_closed(&l, now);
		assert_int_equal(
		    ir_link_use(&l, now + wait - 1), IR_LINK_NOTHING);
		now += wait;
		assert_int_equal(ir_link_use(&l, now), IR_LINK_CONNECT);
	}
}

static void
test_unused_link_stops_heartbeats_then_closes(void **state)
{
	struct ir_link l;
	enum ir_link_action a;
	int heartbeats = 0;
	int64_t now = 1000 * MS, end;

	set_up(&l, now);
	for (end = now + 6000 * MS; now < end; now += TICK_US) {
		if (ir_link_tick(&l, now) == IR_LINK_SEND_HEARTBEAT)
			ir_link_message_received(&l, now);
	}
	end = tick_until(&l, now, 40000 * MS, &a, &heartbeats);
	assert_int_equal(heartbeats, 0);
	assert_int_equal(a, IR_LINK_CLOSE_IDLE);
	assert_int_equal(end, 31000 * MS);
	assert_int_equal(ir_link_use(&l, end), IR_LINK_CONNECT);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_link_to_silent_peer_is_lost),
	    cmocka_unit_test(test_connect_and_hello_time_out),
	    cmocka_unit_test(test_link_to_answering_peer_stays_up),
	    cmocka_unit_test(test_pause_of_this_process_does_not_lose_the_link),
	    cmocka_unit_test(test_silent_peer_is_lost_after_a_pause),
	    cmocka_unit_test(
		test_heartbeats_are_sent_only_without_other_messages),
	    cmocka_unit_test(test_polled_link_sends_no_heartbeats),
	    cmocka_unit_test(
		test_link_is_not_lost_while_bytes_of_an_answer_move),
	    cmocka_unit_test(test_wrong_host_is_refused),
	    cmocka_unit_test(test_backoff_doubles_up_to_its_bound),
	    cmocka_unit_test(test_unused_link_stops_heartbeats_then_closes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
