/*
 * Attempts whose link is lost, or whose gate refuses them, in a simulated
 * fleet: one entry and two hosts of the service that is called.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/internal.h"
#include "support/fleet.h"

#define ENTRY 0
#define FLEET_SLOTS 4 /* of each host */

static const struct fleet_request read_request = {
    "t", "read", true, NULL, false, 0, 0, NULL};
static const struct fleet_request write_request = {
    "t", "write", true, NULL, false, 0, 0, NULL};

static int
set_up(void **state)
{
	struct fleet *f = fleet_create(NULL, 1);

	(void)fleet_add_node(f, "s", "r1", "z1");
	(void)fleet_add_node(f, "t", "r1", "z1");
	(void)fleet_add_node(f, "t", "r1", "z1");
	fleet_publish_defaults(f);
	for (int i = 0; i < f->node_count; i++) {
		f->nodes[i].run_duration_us = IR_US_PER_S;
		fleet_start(f, i);
	}
	assert_true(fleet_wait_ready(f));
	/* A new issuer waits until the former one's lease and grants end. */
	fleet_run(f, 6 * IR_US_PER_S);
	*state = f;
	return 0;
}

static int
tear_down(void **state)
{
	struct fleet *f = *state;

	fleet_check_end(f);
	if (f->failure != NULL)
		print_error("%s\n", f->failure);
	return f->failure != NULL || talloc_free(f) != 0;
}

/* Sends a call and waits until it runs. Returns the node that runs it. */
static int
call_until_it_runs(struct fleet *f, const struct fleet_request *r)
{
	int c = fleet_call(f, ENTRY, r);

	fleet_run(f, IR_US_PER_S / 10);
	assert_int_equal(f->calls[c].runs, 1);
	return f->runs[f->run_count - 1].node;
}

static struct fleet_node *
other_host(struct fleet *f, int node)
{
	return &f->nodes[node == 1 ? 2 : 1];
}

/* The host refuses all work. */
static void
fill_records_memory(struct fleet_node *n)
{
	struct ir_memory *m = n->node->settings.memory;

	ir_memory_hold(m, IR_MEMORY_RECORDS, m->bound_bytes[IR_MEMORY_RECORDS]);
}

static enum ir_error
wait_for_answer(struct fleet *f, int64_t for_us)
{
	struct fleet_call *c = &f->calls[f->call_count - 1];

	fleet_run(f, for_us);
	assert_null(f->failure);
	assert_int_equal(c->answers, 1);
	return c->answer.error;
}

/* The first host's answer was given up for one that the second refused. */
static void
test_refused_retry_does_not_lose_the_answer_on_a_lost_link(void **state)
{
	struct fleet *f = *state;
	int first = call_until_it_runs(f, &read_request);

	fill_records_memory(other_host(f, first));
	fleet_silence(f, ENTRY, first);
	assert_int_equal(wait_for_answer(f, 3 * IR_US_PER_S), IR_OK);
	assert_int_equal(f->calls[0].runs, 1);
}

/* The retry must still be made, as the lost link may not come up again. */
static void
test_read_is_retried_while_its_link_stays_lost(void **state)
{
	struct fleet *f = *state;
	int first = call_until_it_runs(f, &read_request);

	fleet_set_cut(f, ENTRY, first, true);
	fleet_set_cut(f, first, ENTRY, true);
	assert_int_equal(wait_for_answer(f, 3 * IR_US_PER_S), IR_OK);
	assert_int_equal(f->calls[0].runs, 2);
}

/* Without this, a call could end as not run while its first attempt runs. */
static void
test_refused_retry_of_a_running_read_is_not_reported_as_not_run(void **state)
{
	struct fleet *f = *state;
	int first = call_until_it_runs(f, &read_request);
	enum ir_error e;

	other_host(f, first)->upstream_mode = UPSTREAM_SHEDS;
	fleet_set_cut(f, ENTRY, first, true);
	fleet_set_cut(f, first, ENTRY, true);
	e = wait_for_answer(f, 6 * IR_US_PER_S);
	assert_int_equal(ir_error_info(e)->outcome, IR_OUTCOME_UNKNOWN);
}

/* A restarted gate has no record: nothing is left to wait for. */
static void
test_call_does_not_wait_for_a_gate_that_restarted(void **state)
{
	struct fleet *f = *state;
	int first = call_until_it_runs(f, &read_request);

	other_host(f, first)->upstream_mode = UPSTREAM_SHEDS;
	fleet_kill(f, first);
	fleet_start(f, first);
	assert_int_equal(wait_for_answer(f, 2 * IR_US_PER_S), IR_E_HOST_LOST);
}

/* Leaves host 1 only, and waits until it issues all tokens. */
static void
leave_one_host(struct fleet *f)
{
	fleet_publish_host(f, 2, "gone");
	fleet_run(f, 10 * IR_US_PER_S);
}

/* Fills all slots of the host with runs that do not end. */
static void
fill_slots(struct fleet *f, int node)
{
	f->nodes[node].upstream_mode = UPSTREAM_HANGS;
	for (int i = 0; i < FLEET_SLOTS; i++)
		(void)fleet_call(f, ENTRY, &write_request);
	fleet_run(f, IR_US_PER_S / 10);
	assert_in_range(f->run_count, 1, FLEET_SLOTS);
}

/* The entry's deadline and the gate's were handled in the wrong order. */
static void
test_queued_write_is_not_unknown_after_a_pause_of_its_process(void **state)
{
	struct fleet *f = *state;
	struct fleet_request r = write_request;
	int c;

	leave_one_host(f);
	fill_slots(f, 1);
	r.deadline_ms = 500;
	c = fleet_call(f, 1, &r);
	fleet_run(f, IR_US_PER_S / 10);
	fleet_pause(f, 1, IR_US_PER_S);
	assert_int_equal(wait_for_answer(f, 2 * IR_US_PER_S), IR_E_DEADLINE);
	assert_int_equal(f->calls[c].runs, 0);
}

/* Between regions the refusal arrived after the entry's deadline. */
static void
test_refusal_of_a_distant_gate_arrives_before_the_deadline(void **state)
{
	struct fleet *f = *state;
	struct fleet_request r = write_request;
	int c;

	leave_one_host(f);
	f->delay_us = 12 * IR_US_PER_MS;
	fleet_close(f, ENTRY, 1);
	fleet_run(f, IR_US_PER_S);
	fill_slots(f, 1);
	r.deadline_ms = 1000;
	c = fleet_call(f, ENTRY, &r);
	assert_int_equal(wait_for_answer(f, 2 * IR_US_PER_S), IR_E_DEADLINE);
	assert_int_equal(f->calls[c].runs, 0);
}

int
main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_refused_retry_does_not_lose_the_answer_on_a_lost_link),
	    T(test_read_is_retried_while_its_link_stays_lost),
	    T(test_refused_retry_of_a_running_read_is_not_reported_as_not_run),
	    T(test_call_does_not_wait_for_a_gate_that_restarted),
	    T(test_queued_write_is_not_unknown_after_a_pause_of_its_process),
	    T(test_refusal_of_a_distant_gate_arrives_before_the_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
