/* Points of links, grants, calls and records. */
#include <string.h>

#include "bench_node.h"
#include "ibisrail/limits.h"
#include "points.h"

#define TICK_REPEATS 100
#define CALL_REPEATS 500
#define PEER_CONN 1001
#define OPEN_CALL UINT32_MAX
#define CALLS_PER_S 120
#define ACCOUNTS 8
#define SLOT_US (10 * IR_US_PER_MS)
#define RTT_US INT64_C(500)

static struct bench_node *
start_small_fleet(uint32_t wide_hosts, uint32_t accounts, uint32_t zones)
{
	struct fleet_shape s = {.hosts = 100,
	    .services = 10,
	    .accounts = accounts,
	    .routes = 4,
	    .zones = zones,
	    .wide_hosts = wide_hosts};
	struct bench_node *b = bench_node_new(&s);

	bench_node_boot(b);
	return b;
}

/*
 * Runs 10 ms: sends the calls, then ticks once. Calls without accounts go to
 * the open route.
 */
static void
run_slot(struct bench_node *b, uint32_t count, uint32_t accounts)
{
	int64_t next = b->now_us + SLOT_US;

	for (uint32_t i = 0; i < count; i++)
		bench_node_call(b, "wide",
		    accounts == 0 ? OPEN_CALL
				  : (uint32_t)(b->next_call % accounts));
	b->now_us += RTT_US;
	bench_node_exchange(b);
	bench_node_tick(b);
	b->now_us += RTT_US;
	bench_node_exchange(b);
	b->now_us = next;
}

/* Runs for some seconds with per_s calls per second to service "wide". */
static void
run_calls(struct bench_node *b, double per_s, uint32_t accounts, int seconds)
{
	double due = 0;

	for (int i = 0; i < seconds * 100; i++) {
		due += per_s / 100;
		run_slot(b, (uint32_t)due, accounts);
		due -= (uint32_t)due;
		if (i % 20 == 0)
			bench_node_confirm_view(b);
	}
}

static double
sum_kinds(const uint64_t *of, enum ir_msg_kind a, enum ir_msg_kind b)
{
	return (double)(of[a] + of[b]);
}

/* Heartbeats and their replies per second, on x links. */
static void
measure_heartbeats(double x, double per_link, double *bytes, double *messages)
{
	struct bench_node *b = start_small_fleet((uint32_t)x, 1, 1);

	run_calls(b, x * per_link, 0, 6);
	bench_node_clear_counts(b);
	run_calls(b, x * per_link, 0, 5);
	*bytes =
	    sum_kinds(b->bytes, IR_MSG_HEARTBEAT, IR_MSG_HEARTBEAT_REPLY) / 5;
	*messages =
	    sum_kinds(b->messages, IR_MSG_HEARTBEAT, IR_MSG_HEARTBEAT_REPLY) /
	    5;
	talloc_free(b);
}

double
quiet_bytes_of_links(double x)
{
	double bytes, messages;

	measure_heartbeats(x, 1, &bytes, &messages);
	return bytes;
}

double
quiet_messages_of_links(double x)
{
	double bytes, messages;

	measure_heartbeats(x, 1, &bytes, &messages);
	return messages;
}

double
busy_bytes_of_links(double x)
{
	double bytes, messages;

	measure_heartbeats(x, 12, &bytes, &messages);
	return bytes;
}

double
busy_messages_of_links(double x)
{
	double bytes, messages;

	measure_heartbeats(x, 12, &bytes, &messages);
	return messages;
}

double
spread_bytes_of_links(double x)
{
	double bytes, messages;

	measure_heartbeats(x, CALLS_PER_S / x, &bytes, &messages);
	return bytes;
}

static double
measure_tick_us(struct bench_node *b)
{
	double got;

	bench_node_clear_counts(b);
	for (int i = 0; i < TICK_REPEATS; i++)
		bench_node_tick(b);
	got = (double)b->cpu_ns / 1e3 / TICK_REPEATS;
	talloc_free(b);
	return got;
}

double
tick_us_of_links(double x)
{
	struct bench_node *b = start_small_fleet((uint32_t)x, 1, 1);

	run_calls(b, x * 5, 0, 2);
	return measure_tick_us(b);
}

/* Ticks, heartbeats and replies, for one second after the last call. */
double
heartbeat_us_of_links(double x)
{
	struct bench_node *b = start_small_fleet((uint32_t)x, 1, 1);
	double got;

	run_calls(b, x * 5, 0, 2);
	bench_node_clear_counts(b);
	bench_node_run(b, IR_US_PER_S);
	got = (double)b->cpu_ns / 1e3;
	talloc_free(b);
	return got;
}

double
link_bytes_of_links(double x)
{
	struct bench_node *b = start_small_fleet((uint32_t)x, 1, 1);
	double before = allocated_bytes(), got;

	run_calls(b, x * 5, 0, 2);
	got = allocated_bytes() - before;
	talloc_free(b);
	return got;
}

/* Counts five seconds of calls that spend tokens of that many accounts. */
static struct bench_node *
run_keyed_calls(double per_s, uint32_t accounts)
{
	struct bench_node *b = start_small_fleet(8, accounts, 1);

	run_calls(b, per_s, accounts, 3);
	bench_node_clear_counts(b);
	run_calls(b, per_s, accounts, 5);
	return b;
}

static double
measure_grant_messages(double per_s, uint32_t accounts)
{
	struct bench_node *b = run_keyed_calls(per_s, accounts);
	double got =
	    sum_kinds(b->messages, IR_MSG_GRANT_REQUEST, IR_MSG_GRANT) / 5;

	talloc_free(b);
	return got;
}

static double
measure_grant_bytes(double per_s, uint32_t accounts)
{
	struct bench_node *b = run_keyed_calls(per_s, accounts);
	double got =
	    sum_kinds(b->bytes, IR_MSG_GRANT_REQUEST, IR_MSG_GRANT) / 5;

	talloc_free(b);
	return got;
}

double
grant_messages_of_accounts(double x)
{
	return measure_grant_messages(CALLS_PER_S, (uint32_t)x);
}

double
grant_bytes_of_accounts(double x)
{
	return measure_grant_bytes(CALLS_PER_S, (uint32_t)x);
}

double
grant_messages_of_calls(double x)
{
	return measure_grant_messages(x, ACCOUNTS);
}

double
grant_bytes_of_calls(double x)
{
	return measure_grant_bytes(x, ACCOUNTS);
}

double
keyed_us_of_calls(double x)
{
	struct bench_node *b = run_keyed_calls(x, ACCOUNTS);
	double got = (double)b->cpu_ns / 1e3 / 5;

	talloc_free(b);
	return got;
}

double
open_us_of_calls(double x)
{
	struct bench_node *b = run_keyed_calls(x, 0);
	double got = (double)b->cpu_ns / 1e3 / 5;

	talloc_free(b);
	return got;
}

/* The only node of a fleet issues the tokens of every account. */
static struct bench_node *
start_single_node(double x)
{
	struct fleet_shape s = {.hosts = 1,
	    .services = 1,
	    .accounts = (uint32_t)x,
	    .routes = 4,
	    .zones = 1,
	    .wide_hosts = 0};
	struct bench_node *b = bench_node_new(&s);

	bench_node_boot(b);
	bench_node_run(b, 6 * IR_US_PER_S);
	return b;
}

static void
request_tokens(
    struct bench_node *b, uint32_t account, uint64_t sequence, uint32_t want)
{
	struct ir_msg m = {.kind = IR_MSG_GRANT_REQUEST};
	struct ir_grant_request *a = &m.ir_msg_u.grant_request;
	char *name = talloc_asprintf(b, "account-%04u", account);

	a->sequence = sequence;
	a->incarnation = 9;
	a->account = name;
	a->bucket_count = 1;
	a->requested_tokens = want;
	bench_node_deliver(b, PEER_CONN, (uint32_t)sequence, &m);
	talloc_free(name);
}

/* Only a listed host may request tokens: this connection is that of host 1. */
static void
accept_second_host(struct bench_node *b)
{
	bench_node_accept_link(b, PEER_CONN, 1);
}

static struct bench_node *
start_issuer(double x)
{
	struct fleet_shape s = {.hosts = 2,
	    .services = 2,
	    .accounts = (uint32_t)x,
	    .routes = 4,
	    .zones = 1,
	    .wide_hosts = 0};
	struct bench_node *b = bench_node_new(&s);

	bench_node_boot(b);
	bench_node_run(b, 6 * IR_US_PER_S);
	accept_second_host(b);
	return b;
}

double
grant_request_us_of_accounts(double x)
{
	struct bench_node *b = start_issuer(x);
	uint32_t n = (uint32_t)x;
	double got;

	bench_node_clear_counts(b);
	for (uint32_t i = 0; i < CALL_REPEATS; i++) {
		b->now_us += IR_US_PER_MS;
		request_tokens(b, i % n, i + 1, 10);
	}
	got = (double)b->cpu_ns / 1e3 / CALL_REPEATS;
	talloc_free(b);
	return got;
}

/*
 * Memory of the view and of the issued buckets. capacity.c subtracts the part
 * of the view.
 */
double
issuer_bytes_of_accounts(double x)
{
	double before = allocated_bytes(), got;
	struct bench_node *b = start_single_node(x);

	got = allocated_bytes() - before;
	talloc_free(b);
	return got;
}

static struct bench_node *
node_with_calls_in_flight(double x)
{
	struct bench_node *b = start_small_fleet(40, 1, 1);

	run_calls(b, 400, 0, 2);
	b->withhold_answers = true;
	for (uint32_t i = 0; i < (uint32_t)x; i++) {
		bench_node_call(b, "wide", OPEN_CALL);
		bench_node_exchange(b);
	}
	return b;
}

double
entry_us_of_calls(double x)
{
	struct bench_node *b = node_with_calls_in_flight(x);
	uint64_t answers = b->answers;
	double got;

	b->withhold_answers = false;
	bench_node_clear_counts(b);
	for (int i = 0; i < CALL_REPEATS; i++) {
		bench_node_call(b, "wide", OPEN_CALL);
		bench_node_exchange(b);
	}
	got = (double)b->cpu_ns / 1e3 / CALL_REPEATS;
	if (b->answers - answers != CALL_REPEATS)
		got = -1;
	talloc_free(b);
	return got;
}

double
entry_bytes_of_calls(double x)
{
	double before = allocated_bytes(), got;
	struct bench_node *b = node_with_calls_in_flight(x);

	got = allocated_bytes() - before;
	talloc_free(b);
	return got;
}

double
entry_tick_us_of_calls(double x)
{
	return measure_tick_us(node_with_calls_in_flight(x));
}

static struct bench_node *
node_with_records(double x, bool run)
{
	struct bench_node *b = start_small_fleet(0, 1, 1);

	bench_node_accept_link(b, PEER_CONN, 1);
	for (uint32_t i = 0; i < (uint32_t)x; i++) {
		b->now_us += 10;
		bench_node_forward(b, PEER_CONN, run);
		bench_node_exchange(b);
	}
	bench_node_confirm_view(b);
	return b;
}

double
gate_us_of_records(double x)
{
	struct bench_node *b = node_with_records(x, true);
	uint64_t runs = b->runs;
	double got;

	bench_node_clear_counts(b);
	for (int i = 0; i < CALL_REPEATS; i++) {
		bench_node_forward(b, PEER_CONN, true);
		bench_node_exchange(b);
	}
	got = (double)b->cpu_ns / 1e3 / CALL_REPEATS;
	if (b->runs - runs != CALL_REPEATS)
		got = -1;
	talloc_free(b);
	return got;
}

double
gate_bytes_of_records(double x)
{
	double before = allocated_bytes(), got;
	struct bench_node *b = node_with_records(x, true);

	got = allocated_bytes() - before;
	talloc_free(b);
	return got;
}

double
gate_tick_us_of_records(double x)
{
	return measure_tick_us(node_with_records(x, true));
}

double
gate_tick_us_of_open(double x)
{
	return measure_tick_us(node_with_records(x, false));
}
