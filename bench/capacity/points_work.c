/* Points of links, grants, calls and records. */
#include <string.h>

#include "ibisrail/limits.h"
#include "points.h"
#include "world.h"

#define TICKS 100
#define CALLS 500
#define GATE_CONN 1001
#define OPEN_CALL UINT32_MAX
#define CALLS_PER_S 120
#define ACCOUNTS 8
#define SLOT_US (10 * IR_US_PER_MS)
#define RTT_US INT64_C(500)

static struct world *
small(uint32_t wide, uint32_t accounts, uint32_t zones)
{
	struct shape s = {.hosts = 100,
	    .services = 10,
	    .accounts = accounts,
	    .routes = 4,
	    .zones = zones,
	    .wide = wide};
	struct world *w = world_new(&s);

	world_boot(w);
	return w;
}

/* Calls of one slot of 10 ms, and its tick. */
static void
slot(struct world *w, uint32_t count, uint32_t accounts)
{
	int64_t next = w->now + SLOT_US;

	for (uint32_t i = 0; i < count; i++)
		world_call(w, "wide",
		    accounts == 0 ? OPEN_CALL
				  : (uint32_t)(w->next_call % accounts));
	w->now += RTT_US;
	world_pump(w);
	world_tick(w);
	w->now += RTT_US;
	world_pump(w);
	w->now = next;
}

/* Runs seconds with that many calls a second to service "wide". */
static void
load(struct world *w, double per_s, uint32_t accounts, int seconds)
{
	double due = 0;

	for (int i = 0; i < seconds * 100; i++) {
		due += per_s / 100;
		slot(w, (uint32_t)due, accounts);
		due -= (uint32_t)due;
		if (i % 20 == 0)
			world_confirm(w);
	}
}

static double
sum(const uint64_t *of, enum ir_msg_kind a, enum ir_msg_kind b)
{
	return (double)(of[a] + of[b]);
}

/* Control messages of links, a second. */
static void
links(double x, double per_link, double *bytes, double *messages)
{
	struct world *w = small((uint32_t)x, 1, 1);

	load(w, x * per_link, 0, 6);
	world_clear_counts(w);
	load(w, x * per_link, 0, 5);
	*bytes = sum(w->bytes, IR_MSG_HEARTBEAT, IR_MSG_HEARTBEAT_REPLY) / 5;
	*messages =
	    sum(w->messages, IR_MSG_HEARTBEAT, IR_MSG_HEARTBEAT_REPLY) / 5;
	talloc_free(w);
}

double
quiet_bytes_of_links(double x)
{
	double bytes, messages;

	links(x, 1, &bytes, &messages);
	return bytes;
}

double
quiet_messages_of_links(double x)
{
	double bytes, messages;

	links(x, 1, &bytes, &messages);
	return messages;
}

double
busy_bytes_of_links(double x)
{
	double bytes, messages;

	links(x, 12, &bytes, &messages);
	return bytes;
}

double
busy_messages_of_links(double x)
{
	double bytes, messages;

	links(x, 12, &bytes, &messages);
	return messages;
}

double
spread_bytes_of_links(double x)
{
	double bytes, messages;

	links(x, CALLS_PER_S / x, &bytes, &messages);
	return bytes;
}

static double
tick_us(struct world *w)
{
	double got;

	world_clear_counts(w);
	for (int i = 0; i < TICKS; i++)
		world_tick(w);
	got = (double)w->cpu_ns / 1e3 / TICKS;
	talloc_free(w);
	return got;
}

double
tick_us_of_links(double x)
{
	struct world *w = small((uint32_t)x, 1, 1);

	load(w, x * 5, 0, 2);
	return tick_us(w);
}

/* A second without calls right after use: ticks, heartbeats, replies. */
double
heartbeat_us_of_links(double x)
{
	struct world *w = small((uint32_t)x, 1, 1);
	double got;

	load(w, x * 5, 0, 2);
	world_clear_counts(w);
	world_run(w, IR_US_PER_S);
	got = (double)w->cpu_ns / 1e3;
	talloc_free(w);
	return got;
}

double
link_memory_of_links(double x)
{
	struct world *w = small((uint32_t)x, 1, 1);
	double before = memory_bytes(), got;

	load(w, x * 5, 0, 2);
	got = memory_bytes() - before;
	talloc_free(w);
	return got;
}

/* Five seconds of calls a second that spend tokens of so many accounts. */
static struct world *
grants(double per_s, uint32_t accounts)
{
	struct world *w = small(8, accounts, 1);

	load(w, per_s, accounts, 3);
	world_clear_counts(w);
	load(w, per_s, accounts, 5);
	return w;
}

static double
grant_messages(double per_s, uint32_t accounts)
{
	struct world *w = grants(per_s, accounts);
	double got = sum(w->messages, IR_MSG_GRANT_REQUEST, IR_MSG_GRANT) / 5;

	talloc_free(w);
	return got;
}

static double
grant_bytes(double per_s, uint32_t accounts)
{
	struct world *w = grants(per_s, accounts);
	double got = sum(w->bytes, IR_MSG_GRANT_REQUEST, IR_MSG_GRANT) / 5;

	talloc_free(w);
	return got;
}

double
grant_messages_of_accounts(double x)
{
	return grant_messages(CALLS_PER_S, (uint32_t)x);
}

double
grant_bytes_of_accounts(double x)
{
	return grant_bytes(CALLS_PER_S, (uint32_t)x);
}

double
grant_messages_of_calls(double x)
{
	return grant_messages(x, ACCOUNTS);
}

double
grant_bytes_of_calls(double x)
{
	return grant_bytes(x, ACCOUNTS);
}

/* All that keyed calls cost, with ticks and heartbeats. */
double
keyed_us_of_calls(double x)
{
	struct world *w = grants(x, ACCOUNTS);
	double got = (double)w->cpu_ns / 1e3 / 5;

	talloc_free(w);
	return got;
}

double
open_us_of_calls(double x)
{
	struct world *w = grants(x, 0);
	double got = (double)w->cpu_ns / 1e3 / 5;

	talloc_free(w);
	return got;
}

/* A node that is alone and so mints every account. */
static struct world *
minter(double x)
{
	struct shape s = {.hosts = 1,
	    .services = 1,
	    .accounts = (uint32_t)x,
	    .routes = 4,
	    .zones = 1,
	    .wide = 0};
	struct world *w = world_new(&s);

	world_boot(w);
	world_run(w, 6 * IR_US_PER_S);
	return w;
}

static void
ask_grant(struct world *w, uint32_t account, uint64_t sequence, uint32_t want)
{
	struct ir_msg m = {.kind = IR_MSG_GRANT_REQUEST};
	struct ir_grant_request *a = &m.ir_msg_u.grant_request;
	char *name = talloc_asprintf(w, "account-%04u", account);

	a->sequence = sequence;
	a->incarnation = 9;
	a->account = name;
	a->bucket_count = 1;
	a->requested_tokens = want;
	world_feed(w, GATE_CONN, (uint32_t)sequence, &m);
	talloc_free(name);
}

/* The self host must be listed to ask; it stands in for another. */
static void
greet_listed(struct world *w)
{
	world_accept(w, GATE_CONN, 1);
}

static struct world *
minter_pair(double x)
{
	struct shape s = {.hosts = 2,
	    .services = 2,
	    .accounts = (uint32_t)x,
	    .routes = 4,
	    .zones = 1,
	    .wide = 0};
	struct world *w = world_new(&s);

	world_boot(w);
	world_run(w, 6 * IR_US_PER_S);
	greet_listed(w);
	return w;
}

double
mint_ask_us_of_accounts(double x)
{
	struct world *w = minter_pair(x);
	uint32_t n = (uint32_t)x;
	double got;

	world_clear_counts(w);
	for (uint32_t i = 0; i < CALLS; i++) {
		w->now += IR_US_PER_MS;
		ask_grant(w, i % n, i + 1, 10);
	}
	got = (double)w->cpu_ns / 1e3 / CALLS;
	talloc_free(w);
	return got;
}

/* View, bucket and grants of the last 400 ms, less those of the view. */
double
mint_bytes_of_accounts(double x)
{
	double before = memory_bytes(), got;
	struct world *w = minter(x);

	got = memory_bytes() - before;
	talloc_free(w);
	return got;
}

static struct world *
in_flight(double x)
{
	struct world *w = small(40, 1, 1);

	load(w, 400, 0, 2);
	w->hold = true;
	for (uint32_t i = 0; i < (uint32_t)x; i++) {
		world_call(w, "wide", OPEN_CALL);
		world_pump(w);
	}
	return w;
}

double
entry_us_of_calls(double x)
{
	struct world *w = in_flight(x);
	uint64_t answers = w->answers;
	double got;

	w->hold = false;
	world_clear_counts(w);
	for (int i = 0; i < CALLS; i++) {
		world_call(w, "wide", OPEN_CALL);
		world_pump(w);
	}
	got = (double)w->cpu_ns / 1e3 / CALLS;
	if (w->answers - answers != CALLS)
		got = -1;
	talloc_free(w);
	return got;
}

double
entry_bytes_of_calls(double x)
{
	double before = memory_bytes(), got;
	struct world *w = in_flight(x);

	got = memory_bytes() - before;
	talloc_free(w);
	return got;
}

double
entry_tick_us_of_calls(double x)
{
	return tick_us(in_flight(x));
}

static struct world *
with_records(double x, bool run)
{
	struct world *w = small(0, 1, 1);

	world_accept(w, GATE_CONN, 1);
	for (uint32_t i = 0; i < (uint32_t)x; i++) {
		w->now += 10;
		world_forward(w, GATE_CONN, run);
		world_pump(w);
	}
	world_confirm(w);
	return w;
}

double
gate_us_of_records(double x)
{
	struct world *w = with_records(x, true);
	uint64_t runs = w->runs;
	double got;

	world_clear_counts(w);
	for (int i = 0; i < CALLS; i++) {
		world_forward(w, GATE_CONN, true);
		world_pump(w);
	}
	got = (double)w->cpu_ns / 1e3 / CALLS;
	if (w->runs - runs != CALLS)
		got = -1;
	talloc_free(w);
	return got;
}

double
gate_bytes_of_records(double x)
{
	double before = memory_bytes(), got;
	struct world *w = with_records(x, true);

	got = memory_bytes() - before;
	talloc_free(w);
	return got;
}

double
gate_tick_us_of_records(double x)
{
	return tick_us(with_records(x, true));
}

double
gate_tick_us_of_open(double x)
{
	return tick_us(with_records(x, false));
}
