/* The whole path in one process: entry, gate, egress, and the first faults. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "contract/key.h"
#include "core/internal.h"
#include "core/unconst.h"
#include "support/fleet.h"

/* Two regions of two zones; service s calls on to service t. */
static struct fleet *
make_fleet(uint64_t seed)
{
	static const char *const regions[] = {"r1", "r1", "r2", "r2"};
	static const char *const zones[] = {"z1", "z2", "z3", "z4"};
	struct fleet *f = fleet_create(NULL, seed);

	for (int i = 0; i < 4; i++) {
		int s = fleet_add(f, "s", regions[i], zones[i]);

		f->nodes[s].calls_on = "t";
		(void)fleet_add(f, "t", regions[i], zones[i]);
	}
	fleet_publish_defaults(f);
	for (int i = 0; i < f->node_count; i++)
		fleet_start(f, i);
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

static const struct fleet_request read_request = {
    "s", "read", true, NULL, false, 0, 0};
static const struct fleet_request write_request = {
    "s", "write", true, NULL, false, 0, 0};

static enum ir_error
call_and_wait(struct fleet *f, int node, const struct fleet_request *r)
{
	int c = fleet_call(f, node, r);

	fleet_run(f, IR_US_PER_S);
	if (f->failure != NULL)
		fail_msg("%s", f->failure);
	assert_int_equal(f->calls[c].answers, 1);
	return f->calls[c].answer.error;
}

static void
settle(struct fleet *f)
{
	assert_true(fleet_settle(f));
	/* Minters wait for the lease and the grants of a former one. */
	fleet_run(f, 6 * IR_US_PER_S);
}

static void
test_request_is_served_over_a_chain(void **state)
{
	struct fleet *f = make_fleet(1);
	int c;

	settle(f);
	assert_int_equal(call_and_wait(f, 1, &read_request), IR_OK);
	assert_int_equal(call_and_wait(f, 0, &write_request), IR_OK);
	c = f->call_count;
	assert_int_equal(c, 4);
	for (int i = 0; i < c; i++) {
		assert_int_equal(f->calls[i].runs, 1);
		assert_int_equal(f->calls[i].answers, 1);
	}
	end_fleet(f);
}

static void
test_keys_are_checked(void **state)
{
	struct fleet *f = make_fleet(2);
	struct fleet_request r = read_request;

	settle(f);
	r.with_key = false;
	assert_int_equal(call_and_wait(f, 1, &r), IR_E_NO_KEY);
	r.route = "open";
	assert_int_equal(call_and_wait(f, 1, &r), IR_OK);
	fleet_publish_account(f, 1000, 1000, false);
	fleet_run(f, 3 * IR_US_PER_S);
	assert_int_equal(call_and_wait(f, 1, &read_request), IR_E_KEY_UNKNOWN);
	end_fleet(f);
}

static void
test_rate_is_refused_with_a_time(void **state)
{
	struct fleet *f = make_fleet(3);
	int refused = 0;

	fleet_publish_account(f, 10, 20, true);
	settle(f);
	for (int i = 0; i < 100; i++)
		(void)fleet_call(f, i % f->node_count, &read_request);
	fleet_run(f, IR_US_PER_S);
	for (int i = 0; i < f->call_count; i++) {
		if (f->calls[i].egress || f->calls[i].answer.error == IR_OK)
			continue;
		assert_int_equal(f->calls[i].answer.error, IR_E_RATE);
		assert_true(f->calls[i].answer.retry_after_ms > 0);
		refused++;
	}
	assert_in_range(refused, 70, 99);
	end_fleet(f);
}

static void
test_lost_gate_is_told_truthfully(void **state)
{
	struct fleet *f = make_fleet(4);
	int c;

	settle(f);
	for (int i = 0; i < f->node_count; i++)
		f->nodes[i].run_us = 300 * IR_US_PER_MS;
	c = fleet_call(f, 1, &write_request);
	fleet_run(f, 100 * IR_US_PER_MS);
	assert_int_equal(f->calls[c].runs, 1);
	for (int i = 0; i < f->node_count; i += 2)
		fleet_kill(f, i);
	for (int i = 0; i < f->node_count; i += 2)
		fleet_start(f, i);
	fleet_run(f, 6 * IR_US_PER_S);
	assert_int_equal(f->calls[c].answers, 1);
	assert_int_equal(f->calls[c].answer.error, IR_E_HOST_LOST);
	end_fleet(f);
}

static void
test_silent_connection_still_gives_the_answer(void **state)
{
	struct fleet *f = make_fleet(5);
	int c;

	settle(f);
	for (int i = 0; i < f->node_count; i++)
		f->nodes[i].run_us = 300 * IR_US_PER_MS;
	c = fleet_call(f, 1, &write_request);
	fleet_run(f, 100 * IR_US_PER_MS);
	for (int i = 0; i < f->node_count; i++)
		fleet_silence(f, 1, i);
	fleet_run(f, 4 * IR_US_PER_S);
	assert_int_equal(f->calls[c].answers, 1);
	assert_int_equal(f->calls[c].answer.error, IR_OK);
	assert_int_equal(f->calls[c].runs, 1);
	end_fleet(f);
}

static void
test_repeat_of_a_key_runs_once(void **state)
{
	struct fleet *f = make_fleet(6);
	struct fleet_request r = write_request;
	int first, second;

	settle(f);
	r.idempotency_key = "order-1";
	r.first_attempt = true;
	first = fleet_call(f, 1, &r);
	fleet_run(f, IR_US_PER_S);
	assert_int_equal(f->calls[first].answer.error, IR_OK);
	/* The repeat must carry the same request, or it is refused. */
	r.first_attempt = false;
	second = fleet_call(f, 3, &r);
	f->calls[second].repeat = true;
	fleet_run(f, IR_US_PER_S);
	assert_int_equal(f->calls[second].answer.error, IR_E_BAD_REQUEST);
	assert_int_equal(f->calls[second].runs, 0);
	end_fleet(f);
}

/* A repeat that joined a run learns of its end over a new link too. */
static void
test_repeat_keeps_its_answer_over_a_lost_link(void **state)
{
	struct fleet *f = make_fleet(9);
	struct fleet_request r = write_request;
	int first, second;

	settle(f);
	for (int i = 0; i < f->node_count; i++)
		f->nodes[i].run_us = 300 * IR_US_PER_MS;
	r.idempotency_key = "order-2";
	r.first_attempt = true;
	first = fleet_call(f, 1, &r);
	fleet_run(f, 100 * IR_US_PER_MS);
	r.first_attempt = false;
	r.repeat_of = first + 1;
	second = fleet_call(f, 3, &r);
	fleet_run(f, 100 * IR_US_PER_MS);
	for (int i = 0; i < f->node_count; i++)
		fleet_close(f, 3, i);
	fleet_run(f, 2 * IR_US_PER_S);
	assert_int_equal(f->calls[second].answers, 1);
	assert_int_equal(f->calls[second].answer.error, IR_OK);
	assert_int_equal(f->calls[first].runs, 1);
	end_fleet(f);
}

/* With its caller gone, a request's calls on other services end too. */
static void
test_egress_call_ends_with_its_request(void **state)
{
	struct fleet *f = make_fleet(8);
	int c;

	settle(f);
	for (int i = 0; i < f->node_count; i++)
		f->nodes[i].run_us = 2 * IR_US_PER_S;
	c = fleet_call(f, 1, &write_request);
	fleet_run(f, 100 * IR_US_PER_MS);
	assert_int_equal(f->call_count, c + 2);
	assert_int_equal(f->calls[c + 1].runs, 1);
	fleet_call_gone(f, c);
	fleet_run(f, 100 * IR_US_PER_MS);
	assert_int_equal(f->calls[c + 1].answers, 1);
	assert_int_equal(f->calls[c + 1].answer.error, IR_E_TIMEOUT);
	end_fleet(f);
}

/* What is left of a grant is worth nothing once the grant has ended. */
static void
test_tokens_end_with_their_grant(void **state)
{
	struct fleet *f = make_fleet(11);
	struct ir_rate_limiter *w;

	settle(f);
	w = f->nodes[1].node->wallet;
	for (int i = 0;
	     i < 200 && ir_rate_limiter_tokens(w, f->now_us, "a") == 0; i++) {
		(void)fleet_call(f, 1, &read_request);
		fleet_run(f, 5 * IR_US_PER_MS);
	}
	assert_true(ir_rate_limiter_tokens(w, f->now_us, "a") > 0);
	assert_int_equal(
	    ir_rate_limiter_tokens(w, f->now_us + IR_GRANT_VALID_US, "a"), 0);
	end_fleet(f);
}

/* A gate that cannot confirm its view runs nothing, whoever sends it. */
static void
test_unconfirmed_gate_runs_nothing(void **state)
{
	struct fleet *f = make_fleet(10);
	struct ir_msg m = {.kind = IR_MSG_HELLO};
	char digest[IR_KEY_DIGEST_HEX + 1];

	settle(f);
	assert_int_equal(call_and_wait(f, 1, &read_request), IR_OK);
	ir_key_digest(fleet_key, digest);
	f->store_cut[0] = true;
	for (int i = 1; i < f->node_count; i++) {
		fleet_cut(f, 0, i, true);
		fleet_cut(f, i, 0, true);
	}
	fleet_run(f, 3 * IR_US_PER_S);
	m.ir_msg_u.hello = (struct ir_hello){.host = ir_unconst("h2"),
	    .incarnation = 77,
	    .expected_host = ir_unconst("h0")};
	ir_node_message(f->nodes[0].node, f->now_us, 99, 1, &m);
	m = (struct ir_msg){.kind = IR_MSG_FORWARD};
	m.ir_msg_u.forward = (struct ir_forward){.attempt = {77, 1},
	    .service = ir_unconst("s"),
	    .account = ir_unconst("a"),
	    .key_digest = digest,
	    .idempotent = true,
	    .remaining_us = 1000000,
	    .idempotency_key = ir_unconst(""),
	    .method = ir_unconst("GET"),
	    .path = ir_unconst("/read/m0")};
	ir_node_message(f->nodes[0].node, f->now_us, 99, 2, &m);
	fleet_run(f, IR_US_PER_S);
	assert_int_equal(f->calls[0].runs, 1);
	end_fleet(f);
}

/* A host's word that a route is open does not open it. */
static void
test_open_flag_is_not_believed(void **state)
{
	struct fleet *f = make_fleet(7);
	struct fleet_request r = read_request;
	struct ir_msg m = {.kind = IR_MSG_HELLO};
	struct ir_forward forward = {.attempt = {77, 1},
	    .service = ir_unconst("s"),
	    .account = ir_unconst(""),
	    .key_digest = ir_unconst(""),
	    .idempotent = true,
	    .open = true,
	    .remaining_us = 1000000,
	    .idempotency_key = ir_unconst(""),
	    .method = ir_unconst("GET")};

	settle(f);
	r.with_key = false;
	assert_int_equal(call_and_wait(f, 1, &r), IR_E_NO_KEY);
	r.route = "open";
	assert_int_equal(call_and_wait(f, 1, &r), IR_OK);
	m.ir_msg_u.hello = (struct ir_hello){.host = ir_unconst("h2"),
	    .incarnation = 77,
	    .expected_host = ir_unconst("h0")};
	ir_node_message(f->nodes[0].node, f->now_us, 99, 1, &m);
	m = (struct ir_msg){.kind = IR_MSG_FORWARD};
	forward.path = ir_unconst("/read/m0");
	m.ir_msg_u.forward = forward;
	ir_node_message(f->nodes[0].node, f->now_us, 99, 2, &m);
	forward.attempt.sequence = 2;
	forward.path = ir_unconst("/open/m1");
	m.ir_msg_u.forward = forward;
	ir_node_message(f->nodes[0].node, f->now_us, 99, 3, &m);
	fleet_run(f, IR_US_PER_S);
	assert_int_equal(f->calls[0].runs, 0);
	assert_int_equal(f->calls[1].runs, 2);
	end_fleet(f);
}

/*
 * Found by fuzzing (925496): the readers in the store's region, cut off from
 * the store and from the other region, took it for down and went on with a
 * withdrawn key, while the other region read the withdrawal.
 */
static void
test_readers_of_one_region_prove_no_outage(void **state)
{
	struct fleet *f = make_fleet(12);

	settle(f);
	for (int a = 0; a < f->node_count; a++) {
		bool first = strcmp(f->nodes[a].region, "r1") == 0;

		f->store_cut[a] = first;
		for (int b = 0; b < f->node_count; b++)
			if ((strcmp(f->nodes[b].region, "r1") == 0) != first)
				fleet_cut(f, a, b, true);
	}
	fleet_publish_account(f, 1000, 1000, false);
	fleet_run(f, 4 * IR_US_PER_S);
	assert_int_equal(
	    call_and_wait(f, 0, &read_request), IR_E_VIEW_UNCONFIRMED);
	end_fleet(f);
}

static void
publish_account_of_importance(
    struct fleet *f, uint64_t generation, int importance)
{
	char digest[IR_KEY_DIGEST_HEX + 1];
	char *text;

	ir_key_digest(fleet_key, digest);
	text = talloc_asprintf(f,
	    "{\"generation\":%llu,\"accounts\":[{\"name\":\"a\","
	    "\"rate_per_s\":1000,\"burst\":1000,\"weight\":1,"
	    "\"importance\":%d,\"key_digests\":[\"%s\"]}]}",
	    (unsigned long long)generation, importance, digest);
	fleet_publish(f, "accounts", text);
	talloc_free(text);
	fleet_run(f, 3 * IR_US_PER_S);
}

/* The importance of a request's first attempt, served well. */
static uint32_t
importance_of(struct fleet *f, const struct fleet_request *r)
{
	int first = f->attempt_count;

	assert_int_equal(call_and_wait(f, 1, r), IR_OK);
	assert_true(f->attempt_count > first);
	return f->attempts[first].importance;
}

/*
 * Found on scale-2 of the finder: as all accounts were of one importance, that
 * of the routes did not count.
 */
static void
test_route_counts_among_accounts_of_one_importance(void **state)
{
	struct fleet *f = make_fleet(13);
	uint32_t read, write;

	publish_account_of_importance(f, 100, 1);
	settle(f);
	read = importance_of(f, &read_request);
	write = importance_of(f, &write_request);
	assert_true(read < write);
	/* That of the account goes before. */
	publish_account_of_importance(f, 101, 2);
	assert_true(write < importance_of(f, &read_request));
	end_fleet(f);
}

/*
 * Found on scale-2 of the finder: a service was without hosts for eight
 * seconds, and two thirds of the requests that needed it were started for
 * nothing.
 */
static void
test_runs_that_need_a_service_without_hosts_are_not_started(void **state)
{
	struct fleet *f = make_fleet(14);
	int first, refused = 0;

	settle(f);
	for (int i = 0; i < f->node_count; i++) {
		f->nodes[i].needs_callee = true;
		if (strcmp(f->nodes[i].service, "t") == 0)
			fleet_list_state(f, i, "gone");
	}
	fleet_run(f, 3 * IR_US_PER_S);
	first = f->call_count;
	for (int i = 0; i < 400; i++) {
		(void)fleet_call(f, 0, &read_request);
		fleet_run(f, 20 * IR_US_PER_MS);
	}
	fleet_run(f, IR_US_PER_S);
	for (int i = first; i < f->call_count; i++)
		refused += !f->calls[i].egress &&
			   f->calls[i].answer.error == IR_E_CALLEE_OVERLOAD;
	/* Most: some are started at first, and to see whether it is back. */
	assert_true(refused > 200);
	end_fleet(f);
}

/*
 * Found in an incident (9a85): each of twelve readers that started together
 * asked all others for all that they hold, most of them over the link between
 * the regions.
 */
static void
test_new_process_asks_one_host_for_all(void **state)
{
	struct fleet *f = make_fleet(15);

	/* The first poll connects, the second one asks. */
	fleet_run(f, IR_VIEW_POLL_US * 3 / 2);
	for (int i = 0; i < f->node_count; i++)
		assert_in_range(
		    ir_node_counter(f->nodes[i].node, IR_VIEW_ASKS), 1, 2);
	end_fleet(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_request_is_served_over_a_chain),
	    cmocka_unit_test(test_keys_are_checked),
	    cmocka_unit_test(test_rate_is_refused_with_a_time),
	    cmocka_unit_test(test_lost_gate_is_told_truthfully),
	    cmocka_unit_test(test_silent_connection_still_gives_the_answer),
	    cmocka_unit_test(test_repeat_of_a_key_runs_once),
	    cmocka_unit_test(test_egress_call_ends_with_its_request),
	    cmocka_unit_test(test_repeat_keeps_its_answer_over_a_lost_link),
	    cmocka_unit_test(test_unconfirmed_gate_runs_nothing),
	    cmocka_unit_test(test_tokens_end_with_their_grant),
	    cmocka_unit_test(test_readers_of_one_region_prove_no_outage),
	    cmocka_unit_test(
		test_route_counts_among_accounts_of_one_importance),
	    cmocka_unit_test(
		test_runs_that_need_a_service_without_hosts_are_not_started),
	    cmocka_unit_test(test_new_process_asks_one_host_for_all),
	    cmocka_unit_test(test_open_flag_is_not_believed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
