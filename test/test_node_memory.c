/* Memory that a node's core holds under load, against its bounds. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "core/unconst.h"
#include "host/section.h"
#include "ibisrail/node.h"
#include "link/peer.h"

#define LIMIT_BYTES (160 * UINT64_C(1024) * 1024)
#define PEER_CONN 1001
#define PEER_INCARNATION 9
#define OWN_INCARNATION 7
#define TICK_US (10 * IR_US_PER_MS)
#define MAX_RUNNING 4096
#define MAX_BODY_BYTES (1024 * 1024)

/* A host of service "stock", and what it sent to peer "shop-1" and callers. */
struct gate_fixture {
	struct ir_node *node;
	struct ir_memory memory;
	int64_t now;
	uint64_t sequence;
	uint64_t running[MAX_RUNNING];
	uint32_t running_count;
	char run_attempt[40];	      /* attempt text of the last run */
	struct ir_load reported_load; /* in the last ANSWER */
	uint32_t served;
	uint32_t refused;
	uint32_t unknown;
	enum ir_error last;
	uint32_t conn; /* last one that the node opened */
	uint64_t sent_sequence;
	uint64_t status_sequence; /* attempt of the last STATUS */
	uint32_t xid;
};

static uint8_t body[MAX_BODY_BYTES];

static bool
on_connect(void *ctx, uint32_t conn, const char *address, uint16_t port)
{
	struct gate_fixture *g = ctx;

	g->conn = conn;
	return true;
}

static void
on_close(void *ctx, uint32_t conn)
{
}

static void
count_outcome(struct gate_fixture *g, enum ir_error e)
{
	g->last = e;
	if (e == IR_OK)
		g->served++;
	else if (ir_error_info(e)->outcome == IR_OUTCOME_NOT_RUN)
		g->refused++;
	else
		g->unknown++;
}

static bool
on_send(void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m)
{
	struct gate_fixture *g = ctx;

	g->xid = xid;
	if (m->kind == IR_MSG_FORWARD)
		g->sent_sequence = m->ir_msg_u.forward.attempt.sequence;
	if (m->kind == IR_MSG_STATUS)
		g->status_sequence = m->ir_msg_u.status.attempt.sequence;
	if (m->kind == IR_MSG_ANSWER)
		g->reported_load = m->ir_msg_u.answer.load;
	if (m->kind == IR_MSG_ANSWER)
		count_outcome(g, (enum ir_error)m->ir_msg_u.answer.error);
	if (m->kind == IR_MSG_STATUS_REPLY)
		count_outcome(g, (enum ir_error)m->ir_msg_u.status_reply.error);
	return true;
}

static void
on_run(void *ctx, const struct ir_run *r)
{
	struct gate_fixture *g = ctx;

	assert_true(g->running_count < MAX_RUNNING);
	(void)snprintf(
	    g->run_attempt, sizeof(g->run_attempt), "%s", r->attempt);
	g->running[g->running_count++] = r->id;
}

static void
on_cancel_run(void *ctx, uint64_t id)
{
}

static void
on_answer(void *ctx, uint64_t call, const struct ir_answer *a)
{
	count_outcome(ctx, a->error);
}

static void
on_log(void *ctx, enum ir_event event, const char *fields)
{
}

static const struct ir_node_ops ops = {on_connect, on_close, on_send, on_run,
    on_cancel_run, on_answer, on_log, NULL};

static void
publish(struct gate_fixture *g, bool hosts, const char *const (*texts)[2],
    size_t count)
{
	struct ir_section s[4];
	struct ir_store_read r = {.request_sent_us = g->now,
	    .is_host_list = hosts,
	    .complete = true,
	    .revision = 1,
	    .sections = s,
	    .section_count = count};

	for (size_t i = 0; i < count; i++)
		s[i] = (struct ir_section){.name = ir_unconst(texts[i][0]),
		    .revision = 1,
		    .text = ir_unconst(texts[i][1])};
	ir_node_store_read(g->node, g->now, &r);
}

static const char *const config[][2] = {
    {"fleet", "{\"generation\":1,\"store_region\":\"r\","
	      "\"link_bytes_per_s\":1000000000,"
	      "\"unconfirmed_view\":\"serve\"}"},
    {"service/stock",
	"{\"generation\":1,\"name\":\"stock\",\"slots\":4096,\"routes\":["
	"{\"method\":\"GET\",\"path\":\"/\",\"importance\":1,"
	"\"deadline_ms\":30000,\"idempotent\":true,\"open\":true,"
	"\"retries\":0}]}"},
    {"service/shop",
	"{\"generation\":1,\"name\":\"shop\",\"slots\":4096,\"routes\":["
	"{\"method\":\"GET\",\"path\":\"/\",\"importance\":1,"
	"\"deadline_ms\":1000,\"idempotent\":false,\"open\":true,"
	"\"retries\":0}]}"}};

#define HOST(name, service, address)                                  \
	{                                                             \
		"host/" name,                                         \
		    "{\"name\":\"" name "\",\"service\":\"" service   \
		    "\",\"region\":\"r\",\"zone\":\"z\",\"address\":" \
		    "\"" address "\",\"peer_port\":7003,"             \
		    "\"caller_port\":7001,\"state\":\"live\"}"        \
	}

static const char *const hosts[][2] = {
    HOST("stock-1", "stock", "10.0.0.1"), HOST("shop-1", "shop", "10.0.0.2")};

static void
send_hello(struct gate_fixture *g)
{
	struct ir_msg m = {.kind = IR_MSG_HELLO};

	m.ir_msg_u.hello.host = ir_unconst("shop-1");
	m.ir_msg_u.hello.expected_host = ir_unconst("stock-1");
	m.ir_msg_u.hello.incarnation = PEER_INCARNATION;
	ir_node_message_received(g->node, g->now, PEER_CONN, 1, &m);
}

static int
set_up(void **state)
{
	struct gate_fixture *g = calloc(1, sizeof(*g));
	struct ir_node_settings s = {.host = "stock-1",
	    .service = "stock",
	    .region = "r",
	    .zone = "z",
	    .initial_slots = 4096,
	    .incarnation = OWN_INCARNATION,
	    .seed = 1,
	    .memory = &g->memory};

	ir_memory_init(&g->memory, LIMIT_BYTES);
	g->now = 1000 * IR_US_PER_S;
	g->node = ir_node_new(NULL, g->now, &s, &ops, g);
	publish(g, false, config, sizeof(config) / sizeof(config[0]));
	publish(g, true, hosts, sizeof(hosts) / sizeof(hosts[0]));
	send_hello(g);
	*state = g;
	return 0;
}

static int
tear_down(void **state)
{
	struct gate_fixture *g = *state;

	talloc_free(g->node);
	free(g);
	return 0;
}

static void
forward_to(struct gate_fixture *g, const char *service, uint32_t remaining_ms,
    uint32_t body_bytes)
{
	static struct ir_header headers[] = {{(char *)"accept", (char *)"*/*"},
	    {(char *)"user-agent", (char *)"counter/1.0"},
	    {(char *)"x-request", (char *)"0123456789abcdef"}};
	struct ir_msg m = {.kind = IR_MSG_FORWARD};
	struct ir_forward *f = &m.ir_msg_u.forward;

	f->attempt.incarnation = PEER_INCARNATION;
	f->attempt.sequence = ++g->sequence;
	f->request.low = g->sequence;
	f->service = ir_unconst(service);
	f->account = f->key_digest = f->idempotency_key = ir_unconst("");
	f->authority = f->caller_attempt = ir_unconst("");
	f->origin = ir_unconst("shop");
	f->method = ir_unconst("GET");
	f->path = ir_unconst("/stock/items");
	f->importance = 1;
	f->idempotent = f->open = f->first_attempt = true;
	f->remaining_us = remaining_ms * 1000;
	f->headers.headers_val = headers;
	f->headers.headers_len = 3;
	f->body.body_val = (char *)body;
	f->body.body_len = body_bytes;
	ir_node_message_received(g->node, g->now, PEER_CONN, 2, &m);
}

static void
forward(struct gate_fixture *g, uint32_t remaining_ms, uint32_t body_bytes)
{
	forward_to(g, "stock", remaining_ms, body_bytes);
}

static void
end_runs_as(struct gate_fixture *g, enum ir_run_end end)
{
	struct ir_run_result r = {.end = end};
	uint32_t count = g->running_count;

	g->running_count = 0;
	for (uint32_t i = 0; i < count; i++)
		ir_node_run_ended(g->node, g->now, g->running[i], &r);
}

static void
end_runs(struct gate_fixture *g, size_t answer_bytes)
{
	struct ir_header h[] = {{(char *)"content-type", (char *)"text/plain"},
	    {(char *)"x-digest", (char *)"3e1b.07.5a2.600.0.c9f2a4d1"}};
	struct ir_run_result r = {.end = IR_RUN_ANSWERED,
	    .status = 200,
	    .headers = h,
	    .header_count = 2,
	    .body = body,
	    .body_bytes = answer_bytes};
	uint32_t count = g->running_count;

	g->running_count = 0;
	for (uint32_t i = 0; i < count; i++)
		ir_node_run_ended(g->node, g->now, g->running[i], &r);
}

static void
tick(struct gate_fixture *g)
{
	g->now += TICK_US;
	ir_node_tick(g->node, g->now);
}

/* Checks the bytes that the node has allocated in addition to before. */
static void
assert_within_bound(
    const struct gate_fixture *g, size_t before, enum ir_memory_use use)
{
	size_t allocated = ir_memory_tree_bytes(g->node) - before;

	if (allocated > g->memory.bound_bytes[use])
		fail_msg("node holds %zu KB, bound is %zu KB", allocated / 1024,
		    (size_t)g->memory.bound_bytes[use] / 1024);
}

/*
 * Forwards per_s attempts a second, answers each after the next tick and
 * checks the bound every second.
 */
static void
run_load(struct gate_fixture *g, uint32_t per_s, int seconds,
    uint32_t remaining_ms, size_t answer_bytes)
{
	size_t before = ir_memory_tree_bytes(g->node);

	for (int s = 0; s < seconds; s++) {
		for (int t = 0; t < 100; t++) {
			for (uint32_t i = 0; i < per_s / 100; i++)
				forward(g, remaining_ms, 0);
			tick(g);
			end_runs(g, answer_bytes);
		}
		assert_within_bound(g, before, IR_MEMORY_RECORDS);
	}
}

static void
test_answered_attempts_stay_within_bound(void **state)
{
	struct gate_fixture *g = *state;

	run_load(g, 2600, 60, 800, 1500);
	assert_int_equal(g->served, 2600 * 60);
	assert_int_equal(g->refused, 0);
}

static void
test_stored_answers_with_long_deadlines_stay_within_bound(void **state)
{
	struct gate_fixture *g = *state;

	run_load(g, 600, 30, 20000, 36000);
	assert_int_equal(g->served, 600 * 30);
	assert_int_equal(g->refused, 0);
}

static void
test_refused_attempts_stay_within_bound(void **state)
{
	struct gate_fixture *g = *state;
	size_t before = ir_memory_tree_bytes(g->node);

	for (int t = 0; t < 10 * 100; t++) {
		for (int i = 0; i < 100; i++)
			forward(g, 0, 1200);
		tick(g);
		if (t % 100 == 99)
			assert_within_bound(g, before, IR_MEMORY_RECORDS);
	}
	assert_int_equal(g->refused, 10 * 100 * 100);
}

static void
test_long_running_requests_stay_within_bound(void **state)
{
	struct gate_fixture *g = *state;
	size_t before = ir_memory_tree_bytes(g->node);

	for (int i = 0; i < 400; i++)
		forward(g, 20000, MAX_BODY_BYTES / 4);
	tick(g);
	assert_within_bound(g, before, IR_MEMORY_RECORDS);
	assert_int_equal(g->last, IR_E_OVERLOAD);
	end_runs(g, 100);
	assert_int_equal(g->served + g->refused, 400);
	assert_true(g->served > 0);
}

static void
call(
    struct gate_fixture *g, uint64_t id, const char *service, size_t body_bytes)
{
	struct ir_call c = {.id = id,
	    .service = service,
	    .method = "GET",
	    .path = "/items",
	    .first_attempt = true,
	    .body = body,
	    .body_bytes = body_bytes};

	ir_node_call(g->node, g->now, &c);
}

static void
test_waiting_calls_stay_within_bound(void **state)
{
	struct gate_fixture *g = *state;
	size_t before = ir_memory_tree_bytes(g->node);

	/* The link to shop-1 never comes up. */
	for (uint64_t i = 1; i <= 400; i++)
		call(g, i, "shop", MAX_BODY_BYTES / 4);
	assert_within_bound(g, before, IR_MEMORY_CALLS);
	assert_true(g->refused > 0);
	assert_int_equal(g->last, IR_E_OVERLOAD);
}

static void
test_process_near_its_limit_refuses_new_work(void **state)
{
	struct gate_fixture *g = *state;

	forward(g, 800, 0);
	assert_true(
	    ir_memory_set_process_bytes(&g->memory, LIMIT_BYTES * 9 / 10));
	forward(g, 800, 0);
	assert_int_equal(g->last, IR_E_OVERLOAD);
	call(g, 1, "stock", 0);
	assert_int_equal(g->last, IR_E_OVERLOAD);
	assert_int_equal(g->refused, 2);
	end_runs(g, 100);
	assert_int_equal(g->served, 1);
	assert_true(ir_memory_set_process_bytes(&g->memory, LIMIT_BYTES / 10));
	forward(g, 800, 0);
	end_runs(g, 100);
	assert_int_equal(g->served, 2);
}

static void
send_status_query(struct gate_fixture *g, uint64_t sequence)
{
	struct ir_msg m = {.kind = IR_MSG_STATUS};

	m.ir_msg_u.status.attempt.incarnation = PEER_INCARNATION;
	m.ir_msg_u.status.attempt.sequence = sequence;
	m.ir_msg_u.status.gate_incarnation = OWN_INCARNATION;
	ir_node_message_received(g->node, g->now, PEER_CONN, 3, &m);
}

static void
test_process_near_its_limit_continues_admitted_work(void **state)
{
	struct gate_fixture *g = *state;
	struct ir_call c = {.id = 5,
	    .egress = true,
	    .service = "shop",
	    .method = "GET",
	    .path = "/items"};

	forward(g, 800, 0);
	c.parent_attempt = g->run_attempt;
	assert_true(
	    ir_memory_set_process_bytes(&g->memory, LIMIT_BYTES * 9 / 10));
	ir_node_call(g->node, g->now, &c);
	assert_int_equal(g->refused, 0);
	send_status_query(g, 77);
	assert_int_equal(g->last, IR_E_NEVER_RECEIVED);
}

/* Without this report, peers would see an idle host and keep sending. */
static void
test_process_near_its_limit_reports_full_shedding(void **state)
{
	struct gate_fixture *g = *state;

	forward(g, 800, 0);
	end_runs(g, 100);
	assert_int_equal(g->reported_load.shed_level, 0);
	assert_true(
	    ir_memory_set_process_bytes(&g->memory, LIMIT_BYTES * 9 / 10));
	forward(g, 800, 0);
	assert_int_equal(g->reported_load.shed_level, UINT32_MAX);
	assert_int_equal(g->reported_load.account_shed_level, UINT32_MAX);
}

static void
test_long_deadlines_cause_no_refusals(void **state)
{
	struct gate_fixture *g = *state;

	ir_memory_init(&g->memory, LIMIT_BYTES / 3);
	run_load(g, 1600, 20, 10000, 1500);
	assert_int_equal(g->refused, 0);
	assert_int_equal(g->served, 1600 * 20);
}

static void
test_attempt_with_evicted_record_is_not_reported_as_not_run(void **state)
{
	struct gate_fixture *g = *state;

	run_load(g, 600, 5, 20000, 36000);
	g->last = IR_OK;
	send_status_query(g, 1);
	assert_int_equal(g->last, IR_E_ANSWER_DROPPED);
}

/* The upstream never saw these runs. */
static void
test_runs_without_room_do_not_lower_the_limit(void **state)
{
	struct gate_fixture *g = *state;
	struct ir_node_gauges before, after;

	for (int t = 0; t < 5 * 100; t++) {
		for (int i = 0; i < MAX_RUNNING; i++)
			forward(g, 800, 0);
		tick(g);
		end_runs(g, 10);
	}
	ir_node_gauges(g->node, g->now, &before);
	for (int t = 0; t < 5 * 100; t++) {
		for (int i = 0; i < 100; i++)
			forward(g, 800, 0);
		tick(g);
		end_runs_as(g, IR_RUN_NO_ROOM);
		assert_int_equal(g->last, IR_E_OVERLOAD);
	}
	ir_node_gauges(g->node, g->now, &after);
	assert_in_range(after.gate_limit, before.gate_limit, 100000);
}

static void
test_refused_attempts_do_not_displace_served_ones(void **state)
{
	struct gate_fixture *g = *state;

	for (int t = 0; t < 12 * 100; t++) {
		for (int i = 0; i < 50; i++)
			forward_to(g, "other", 6000, 0);
		forward(g, 6000, 0);
		tick(g);
		end_runs(g, 100);
	}
	assert_int_equal(g->served, 12 * 100);
}

static void
test_memory_counts_return_to_zero(void **state)
{
	struct gate_fixture *g = *state;

	for (uint64_t i = 1; i <= 50; i++)
		call(g, i, "shop", 1000);
	run_load(g, 1000, 1, 800, 1500);
	for (int t = 0; t < 61 * 100; t++)
		tick(g);
	assert_int_equal(ir_memory_held(&g->memory, IR_MEMORY_CALLS), 0);
	assert_int_equal(ir_memory_held(&g->memory, IR_MEMORY_RECORDS), 0);
}

static void
accept_connection(struct gate_fixture *g)
{
	struct ir_msg m = {.kind = IR_MSG_HELLO_REPLY};

	ir_node_conn_established(g->node, g->now, g->conn);
	m.ir_msg_u.hello_reply.accepted = true;
	m.ir_msg_u.hello_reply.host = ir_unconst("shop-1");
	m.ir_msg_u.hello_reply.incarnation = PEER_INCARNATION;
	ir_node_message_received(g->node, g->now, g->conn, g->xid, &m);
}

static void
answer_status(struct gate_fixture *g, enum ir_error e)
{
	struct ir_msg m = {.kind = IR_MSG_STATUS_REPLY};
	struct ir_reply *r = &m.ir_msg_u.status_reply;

	r->attempt.incarnation = OWN_INCARNATION;
	r->attempt.sequence = g->status_sequence;
	r->incarnation = PEER_INCARNATION;
	r->error = e;
	ir_node_message_received(g->node, g->now, g->conn, g->xid, &m);
}

/* Sends a call with a deadline of 1 s, loses its link and awaits STATUS. */
static void
call_and_lose_link(struct gate_fixture *g)
{
	call(g, 1, "shop", 0);
	accept_connection(g);
	assert_int_equal(g->sent_sequence, 1);
	ir_node_conn_closed(g->node, g->now, g->conn);
	for (int t = 0; t < 50 && g->status_sequence == 0; t++) {
		uint32_t before = g->conn;

		tick(g);
		if (g->conn != before)
			accept_connection(g);
	}
	assert_int_equal(g->status_sequence, 1);
}

static void
test_never_received_before_deadline_means_not_run(void **state)
{
	struct gate_fixture *g = *state;

	call_and_lose_link(g);
	answer_status(g, IR_E_NEVER_RECEIVED);
	assert_int_equal(g->refused, 1);
}

static void
test_never_received_after_deadline_means_unknown(void **state)
{
	struct gate_fixture *g = *state;

	call_and_lose_link(g);
	g->now += IR_US_PER_S;
	answer_status(g, IR_E_NEVER_RECEIVED);
	assert_int_equal(g->refused, 0);
	assert_int_equal(g->unknown, 1);
}

int
main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_answered_attempts_stay_within_bound),
	    T(test_stored_answers_with_long_deadlines_stay_within_bound),
	    T(test_refused_attempts_stay_within_bound),
	    T(test_long_running_requests_stay_within_bound),
	    T(test_waiting_calls_stay_within_bound),
	    T(test_never_received_before_deadline_means_not_run),
	    T(test_never_received_after_deadline_means_unknown),
	    T(test_process_near_its_limit_refuses_new_work),
	    T(test_process_near_its_limit_continues_admitted_work),
	    T(test_process_near_its_limit_reports_full_shedding),
	    T(test_long_deadlines_cause_no_refusals),
	    T(test_attempt_with_evicted_record_is_not_reported_as_not_run),
	    T(test_refused_attempts_do_not_displace_served_ones),
	    T(test_runs_without_room_do_not_lower_the_limit),
	    T(test_memory_counts_return_to_zero),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
