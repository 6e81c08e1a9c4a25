/* Messages to peers that the I/O side has no room for. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet.h"

#define ORIGIN 0
#define GATE 1
#define CALLS 6
#define RUN_US (20 * IR_US_PER_MS)
#define NO_ROOM_US (300 * IR_US_PER_MS)

static const struct fleet_request write_request = {
    "t", "write", true, NULL, false, 0, 0, NULL};
static const struct fleet_request open_request = {
    "t", "open", false, NULL, false, 0, 0, NULL};

/* Host 0 has no upstream of service t; gates are the hosts after it. */
static struct fleet *
make_fleet(int gates)
{
	struct fleet *f = fleet_create(NULL, 1);

	(void)fleet_add_node(f, "s", "r1", "z1");
	for (int i = 0; i < gates; i++)
		(void)fleet_add_node(f, "t", "r1", "z1");
	fleet_publish_defaults(f);
	for (int i = 0; i < f->node_count; i++) {
		f->nodes[i].run_duration_us = RUN_US;
		fleet_start(f, i);
	}
	assert_true(fleet_wait_ready(f));
	/* A new issuer waits until the former one's lease and grants end. */
	fleet_run(f, 6 * IR_US_PER_S);
	return f;
}

static void
end_fleet(struct fleet *f)
{
	fleet_check_end(f);
	if (f->failure != NULL)
		fail_msg("%s", f->failure);
	talloc_free(f);
}

/* Has the origin's links up and its tokens prefetched. */
static void
warm_up(struct fleet *f)
{
	for (int i = 0; i < 2 * f->node_count; i++)
		(void)fleet_call(f, ORIGIN, &write_request);
	fleet_run(f, IR_US_PER_S / 2);
}

static uint64_t
links_lost(const struct fleet *f)
{
	uint64_t lost = 0;

	for (int i = 0; i < f->node_count; i++)
		lost +=
		    ir_node_counter(f->nodes[i].node, IR_COUNTER_LINKS_LOST);
	return lost;
}

static void
assert_answers(const struct fleet *f, int first, int count, enum ir_error e)
{
	for (int i = first; i < first + count; i++) {
		assert_int_equal(f->calls[i].answers, 1);
		assert_string_equal(
		    ir_error_info(f->calls[i].answer.error)->name,
		    ir_error_info(e)->name);
	}
}

static int
call_and_wait(struct fleet *f, const struct fleet_request *r)
{
	int c = fleet_call(f, ORIGIN, r);

	fleet_run(f, NO_ROOM_US);
	return c;
}

/* Makes calls, and takes the gate's room before their runs end. */
static int
make_answers_without_room(struct fleet *f, const struct fleet_request *r)
{
	int first = f->call_count;

	for (int i = 0; i < CALLS; i++)
		(void)fleet_call(f, ORIGIN, r);
	fleet_run(f, RUN_US / 2);
	f->nodes[GATE].no_room = true;
	return first;
}

static void
test_answers_without_room_are_sent_when_there_is_room(void **state)
{
	struct fleet *f = make_fleet(1);
	uint64_t lost;
	int first;

	warm_up(f);
	lost = links_lost(f);
	first = make_answers_without_room(f, &write_request);
	fleet_run(f, NO_ROOM_US);
	assert_int_equal(f->calls[first].answers, 0);
	f->nodes[GATE].no_room = false;
	fleet_run(f, NO_ROOM_US);
	assert_answers(f, first, CALLS, IR_OK);
	assert_int_equal(links_lost(f), lost);
	end_fleet(f);
}

/* A record is forgotten 250 ms after its attempt was refused. */
static void
test_refusals_without_room_are_sent_when_there_is_room(void **state)
{
	struct fleet *f = make_fleet(1);
	int first;

	warm_up(f);
	f->nodes[GATE].upstream_mode = UPSTREAM_SHEDS;
	f->delay_us = 5 * IR_US_PER_MS;
	first = f->call_count;
	for (int i = 0; i < CALLS; i++)
		(void)fleet_call(f, ORIGIN, &write_request);
	fleet_run(f, 6 * IR_US_PER_MS);
	f->nodes[GATE].no_room = true;
	fleet_run(f, 2 * NO_ROOM_US);
	assert_int_equal(f->calls[first].answers, 0);
	f->nodes[GATE].no_room = false;
	fleet_run(f, NO_ROOM_US);
	assert_answers(f, first, CALLS, IR_E_UPSTREAM_SHED);
	end_fleet(f);
}

/* The call enters at a gate: its own needs no room. */
static void
test_call_without_room_goes_to_the_own_gate(void **state)
{
	struct fleet *f = make_fleet(2);
	int first;

	warm_up(f);
	first = f->call_count;
	f->nodes[GATE].no_room = true;
	for (int i = 0; i < CALLS; i++)
		(void)fleet_call(f, GATE, &open_request);
	fleet_run(f, NO_ROOM_US);
	assert_answers(f, first, CALLS, IR_OK);
	end_fleet(f);
}

static void
test_call_without_room_is_refused_at_once(void **state)
{
	struct fleet *f = make_fleet(2);
	uint64_t lost;
	int first;

	warm_up(f);
	lost = links_lost(f);
	first = f->call_count;
	f->nodes[ORIGIN].no_room = true;
	for (int i = 0; i < CALLS; i++)
		(void)fleet_call(f, ORIGIN, &open_request);
	assert_answers(f, first, CALLS, IR_E_OVERLOAD);
	f->nodes[ORIGIN].no_room = false;
	assert_int_equal(fleet_call(f, ORIGIN, &write_request), first + CALLS);
	fleet_run(f, NO_ROOM_US);
	assert_answers(f, first + CALLS, 1, IR_OK);
	assert_int_equal(links_lost(f), lost);
	end_fleet(f);
}

/* The origin has no link to some of the gates yet. */
static void
test_calls_wait_for_a_connection_without_room(void **state)
{
	struct fleet *f = make_fleet(3);

	f->nodes[ORIGIN].no_room = true;
	for (int i = 0; i < CALLS; i++)
		(void)fleet_call(f, ORIGIN, &open_request);
	fleet_run(f, NO_ROOM_US);
	assert_int_equal(f->calls[0].answers, 0);
	f->nodes[ORIGIN].no_room = false;
	fleet_run(f, NO_ROOM_US);
	assert_answers(f, 0, CALLS, IR_OK);
	end_fleet(f);
}

static void
take_room_at_hello_reply(struct fleet *f, const struct fleet_step_event *ev)
{
	if (ev->step == STEP_RECEIVED && ev->kind == IR_MSG_HELLO_REPLY &&
	    ev->node == ORIGIN)
		f->nodes[ORIGIN].no_room = true;
}

static void
test_status_without_room_is_requested_later(void **state)
{
	struct fleet *f = make_fleet(1);
	int c;

	warm_up(f);
	f->nodes[GATE].run_duration_us = NO_ROOM_US;
	c = fleet_call(f, ORIGIN, &write_request);
	fleet_run(f, RUN_US);
	fleet_close(f, ORIGIN, GATE);
	f->hook = take_room_at_hello_reply;
	fleet_run(f, 2 * NO_ROOM_US);
	f->hook = NULL;
	assert_true(f->nodes[ORIGIN].no_room);
	assert_int_equal(f->calls[c].answers, 0);
	f->nodes[ORIGIN].no_room = false;
	fleet_run(f, NO_ROOM_US);
	assert_answers(f, c, 1, IR_OK);
	end_fleet(f);
}

static void
test_cancel_without_room_is_sent_later(void **state)
{
	struct fleet *f = make_fleet(1);
	struct ir_records *records;
	int c;

	warm_up(f);
	records = f->nodes[GATE].node->records;
	f->nodes[GATE].run_duration_us = 3 * IR_US_PER_S;
	c = fleet_call(f, ORIGIN, &write_request);
	fleet_run(f, RUN_US);
	f->nodes[ORIGIN].no_room = true;
	fleet_abandon_call(f, c);
	fleet_run(f, NO_ROOM_US);
	assert_int_equal(ir_records_open_count(records), 1);
	f->nodes[ORIGIN].no_room = false;
	fleet_run(f, NO_ROOM_US);
	assert_int_equal(ir_records_open_count(records), 0);
	end_fleet(f);
}

static void
test_link_without_room_for_heartbeats_is_not_lost(void **state)
{
	struct fleet *f = make_fleet(1);
	uint64_t lost;
	int c;

	warm_up(f);
	lost = links_lost(f);
	f->nodes[GATE].run_duration_us = 3 * IR_US_PER_S;
	c = fleet_call(f, ORIGIN, &write_request);
	fleet_run(f, RUN_US);
	f->nodes[ORIGIN].no_room = true;
	fleet_run(f, 2 * IR_US_PER_S);
	f->nodes[ORIGIN].no_room = false;
	fleet_run(f, 2 * IR_US_PER_S);
	assert_answers(f, c, 1, IR_OK);
	assert_int_equal(links_lost(f), lost);
	end_fleet(f);
}

static int
issuer_of_buckets(const struct fleet *f)
{
	for (int i = 0; i < f->node_count; i++) {
		if (ir_issuer_bucket_count(f->nodes[i].node->issuer) > 0)
			return i;
	}
	return -1;
}

static bool
gave_buckets_up(struct fleet *f, void *ctx)
{
	const int *issuer = ctx;

	return ir_issuer_bucket_count(f->nodes[*issuer].node->issuer) == 0;
}

/* Without the handover the new issuer waits for over 5 s. */
static void
test_handover_without_room_is_sent_later(void **state)
{
	struct fleet *f = make_fleet(3);
	int issuer, c;

	warm_up(f);
	issuer = issuer_of_buckets(f);
	f->nodes[issuer].no_room = true;
	fleet_publish_host(f, issuer, "leaving");
	assert_true(
	    fleet_run_until(f, 4 * IR_US_PER_S, gave_buckets_up, &issuer));
	fleet_run(f, NO_ROOM_US);
	f->nodes[issuer].no_room = false;
	fleet_run(f, 2 * IR_US_PER_S);
	c = fleet_call(f, (issuer + 1) % f->node_count, &write_request);
	fleet_run(f, IR_US_PER_S);
	assert_answers(f, c, 1, IR_OK);
	end_fleet(f);
}

static void
take_room_at_forward(struct fleet *f, const struct fleet_step_event *ev)
{
	if (ev->step == STEP_RECEIVED && ev->kind == IR_MSG_FORWARD)
		f->nodes[GATE].no_room = true;
}

/* A key that is used again for another request gets no record. */
static void
test_refusal_without_record_and_room_is_sent_later(void **state)
{
	struct fleet *f = make_fleet(1);
	struct fleet_request keyed = write_request;
	int c;

	warm_up(f);
	keyed.idempotency_key = "key";
	keyed.first_attempt = true;
	assert_answers(f, call_and_wait(f, &keyed), 1, IR_OK);
	c = fleet_call(f, ORIGIN, &keyed);
	f->hook = take_room_at_forward;
	fleet_run(f, NO_ROOM_US);
	f->hook = NULL;
	assert_int_equal(f->calls[c].answers, 0);
	f->nodes[GATE].no_room = false;
	fleet_run(f, NO_ROOM_US);
	assert_answers(f, c, 1, IR_E_BAD_REQUEST);
	end_fleet(f);
}

static bool
has_no_view_request_in_flight(struct fleet *f, void *ctx)
{
	const struct peer *p = f->nodes[ORIGIN].node->peers;

	while (p != NULL && p->view_request_xid == 0)
		p = p->hh.next;
	return p == NULL;
}

/* A reader that is cut off from the store sends requests all the time. */
static void
test_view_without_room_is_sent_later(void **state)
{
	struct fleet *f = make_fleet(3);

	warm_up(f);
	f->store_cut[ORIGIN] = true;
	fleet_run(f, 2 * IR_US_PER_S);
	for (int i = 0; i < f->node_count; i++)
		f->nodes[i].no_room = i != ORIGIN;
	fleet_run(f, 3 * IR_VIEW_POLL_US / 2);
	assert_false(fleet_run_until(
	    f, IR_DEPUTY_POLL_US, has_no_view_request_in_flight, NULL));
	for (int i = 0; i < f->node_count; i++)
		f->nodes[i].no_room = false;
	assert_true(
	    fleet_run_until(f, RUN_US, has_no_view_request_in_flight, NULL));
	end_fleet(f);
}

static void
take_room_at_hello(struct fleet *f, const struct fleet_step_event *ev)
{
	if (ev->step == STEP_RECEIVED && ev->kind == IR_MSG_HELLO &&
	    ev->node == GATE)
		f->nodes[GATE].no_room = true;
}

static void
test_greeting_without_room_is_answered_later(void **state)
{
	struct fleet *f = make_fleet(1);
	int c;

	warm_up(f);
	f->nodes[GATE].run_duration_us = NO_ROOM_US;
	c = fleet_call(f, ORIGIN, &write_request);
	fleet_run(f, RUN_US);
	fleet_close(f, ORIGIN, GATE);
	f->hook = take_room_at_hello;
	fleet_run(f, 2 * NO_ROOM_US);
	f->hook = NULL;
	assert_true(f->nodes[GATE].no_room);
	f->nodes[GATE].no_room = false;
	fleet_run(f, 2 * RUN_US);
	assert_answers(f, c, 1, IR_OK);
	end_fleet(f);
}

/* The origin then takes the gate for lost, and asks once it is back. */
static void
test_answer_without_room_for_seconds_is_not_lost(void **state)
{
	struct fleet *f = make_fleet(1);
	int c;

	warm_up(f);
	c = fleet_call(f, ORIGIN, &write_request);
	fleet_run(f, RUN_US / 2);
	f->nodes[GATE].no_room = true;
	fleet_run(f, 2 * IR_US_PER_S);
	f->nodes[GATE].no_room = false;
	fleet_run(f, 2 * IR_US_PER_S);
	assert_answers(f, c, 1, IR_OK);
	end_fleet(f);
}

static void
test_messages_of_peers_wait_while_many_replies_do(void **state)
{
	struct fleet *f = make_fleet(1);
	struct ir_node *n = f->nodes[GATE].node;
	struct ir_msg m = {.kind = IR_MSG_HANDOVER_REPLY};
	uint64_t held = ir_memory_held(n->settings.memory, IR_MEMORY_RECORDS);

	warm_up(f);
	while (ir_node_may_receive(n))
		unsent_keep(n, 0, 1, &m);
	assert_true(
	    ir_memory_held(n->settings.memory, IR_MEMORY_RECORDS) > held);
	assert_false(ir_node_is_idle(n));
	fleet_run(f, RUN_US);
	assert_true(ir_node_may_receive(n));
	assert_int_equal(n->unsent_reply_count, 0);
	end_fleet(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_answers_without_room_are_sent_when_there_is_room),
	    cmocka_unit_test(
		test_refusals_without_room_are_sent_when_there_is_room),
	    cmocka_unit_test(test_call_without_room_goes_to_the_own_gate),
	    cmocka_unit_test(test_call_without_room_is_refused_at_once),
	    cmocka_unit_test(test_calls_wait_for_a_connection_without_room),
	    cmocka_unit_test(test_status_without_room_is_requested_later),
	    cmocka_unit_test(test_cancel_without_room_is_sent_later),
	    cmocka_unit_test(test_link_without_room_for_heartbeats_is_not_lost),
	    cmocka_unit_test(test_handover_without_room_is_sent_later),
	    cmocka_unit_test(
		test_refusal_without_record_and_room_is_sent_later),
	    cmocka_unit_test(test_view_without_room_is_sent_later),
	    cmocka_unit_test(test_greeting_without_room_is_answered_later),
	    cmocka_unit_test(test_answer_without_room_for_seconds_is_not_lost),
	    cmocka_unit_test(test_messages_of_peers_wait_while_many_replies_do),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
