/* Points of the view: start, changes, polls of the parent, store reads. */
#include <string.h>

#include "bench_node.h"
#include "ibisrail/limits.h"
#include "link/codec.h"
#include "points.h"
#include "zone/placement.h"

#define CHANGES 20
#define REPEATS 50
#define PLACEMENTS 200
#define CHILD_CONN(i) (2 * (uint32_t)(i) + 1001)

/* Values of what is not varied; see points_use_small_fleet(). */
static struct fleet_shape base_shape = {.hosts = 3100,
    .services = 220,
    .accounts = 100,
    .routes = 12,
    .zones = BENCH_NODE_ZONES};

void
points_use_small_fleet(void)
{
	base_shape.hosts = 17;
	base_shape.services = 4;
	base_shape.accounts = 8;
	base_shape.zones = 4;
}

static struct bench_node *
start_node(const struct fleet_shape *s)
{
	struct bench_node *b = bench_node_new(s);

	bench_node_boot(b);
	return b;
}

static struct bench_node *
node_with_hosts(double x)
{
	struct fleet_shape s = base_shape;

	s.hosts = (uint32_t)x;
	return start_node(&s);
}

static struct bench_node *
node_with_services(double x)
{
	struct fleet_shape s = base_shape;

	s.services = (uint32_t)x;
	return start_node(&s);
}

static struct bench_node *
node_with_accounts(double x)
{
	struct fleet_shape s = base_shape;

	s.accounts = (uint32_t)x;
	return start_node(&s);
}

static double
view_memory_bytes(struct bench_node *(*start)(double x), double x)
{
	double before = allocated_bytes(), got;
	struct bench_node *b = start(x);

	bench_node_change(b, "host", 1);
	got = allocated_bytes() - before;
	talloc_free(b);
	return got;
}

double
view_bytes_of_hosts(double x)
{
	return view_memory_bytes(node_with_hosts, x);
}

double
view_bytes_of_services(double x)
{
	return view_memory_bytes(node_with_services, x);
}

double
view_bytes_of_accounts(double x)
{
	return view_memory_bytes(node_with_accounts, x);
}

double
boot_us_of_hosts(double x)
{
	struct bench_node *b = node_with_hosts(x);
	double got = (double)b->cpu_ns / 1e3;

	talloc_free(b);
	return got;
}

static void
poll_view(struct bench_node *b, uint32_t conn, bool all)
{
	struct ir_msg m = {.kind = IR_MSG_VIEW_REQUEST};

	if (!all) {
		m.ir_msg_u.view_request.config_revision = b->config_revision;
		m.ir_msg_u.view_request.list_revision = b->list_revision;
	}
	bench_node_deliver(b, conn, 5, &m);
}

static void
measure_full_view(struct bench_node *b, double *us, double *bytes)
{
	bench_node_accept_link(b, CHILD_CONN(0), 1);
	bench_node_clear_counts(b);
	poll_view(b, CHILD_CONN(0), true);
	*us = (double)b->cpu_ns / 1e3;
	*bytes = (double)b->bytes[IR_MSG_VIEW];
	talloc_free(b);
}

double
full_view_us_of_hosts(double x)
{
	double us, bytes;

	measure_full_view(node_with_hosts(x), &us, &bytes);
	return us;
}

double
full_view_bytes_of_hosts(double x)
{
	double us, bytes;

	measure_full_view(node_with_hosts(x), &us, &bytes);
	return bytes;
}

double
full_view_bytes_of_services(double x)
{
	double us, bytes;

	measure_full_view(node_with_services(x), &us, &bytes);
	return bytes;
}

double
full_view_bytes_of_accounts(double x)
{
	double us, bytes;

	measure_full_view(node_with_accounts(x), &us, &bytes);
	return bytes;
}

static double
measure_change_us(struct bench_node *b, const char *kind)
{
	double got;

	bench_node_change(b, kind, 1);
	bench_node_clear_counts(b);
	for (uint32_t i = 0; i < CHANGES; i++)
		bench_node_change(b, kind, i + 2);
	got = (double)b->cpu_ns / 1e3 / CHANGES;
	talloc_free(b);
	return got;
}

double
host_change_us_of_hosts(double x)
{
	return measure_change_us(node_with_hosts(x), "host");
}

double
host_change_us_of_services(double x)
{
	return measure_change_us(node_with_services(x), "host");
}

double
host_change_us_of_accounts(double x)
{
	return measure_change_us(node_with_accounts(x), "host");
}

double
service_change_us_of_hosts(double x)
{
	return measure_change_us(node_with_hosts(x), "service");
}

double
accounts_change_us_of_accounts(double x)
{
	return measure_change_us(node_with_accounts(x), "accounts");
}

double
empty_poll_us_of_hosts(double x)
{
	struct bench_node *b = node_with_hosts(x);
	double got;

	bench_node_accept_link(b, CHILD_CONN(0), 1);
	bench_node_clear_counts(b);
	for (int i = 0; i < REPEATS; i++)
		poll_view(b, CHILD_CONN(0), false);
	got = (double)b->cpu_ns / 1e3 / REPEATS;
	talloc_free(b);
	return got;
}

/*
 * Polls of x children, 10 each. A child polls every 400 ms, so that this is
 * the work of 4 s; the results are per second.
 */
static void
measure_children(double x, double *us, double *bytes)
{
	struct bench_node *b = node_with_hosts(base_shape.hosts);
	uint32_t n = (uint32_t)x;

	for (uint32_t i = 0; i < n; i++)
		bench_node_accept_link(b, CHILD_CONN(i), i + 1);
	bench_node_clear_counts(b);
	for (int poll = 0; poll < 10; poll++) {
		for (uint32_t i = 0; i < n; i++)
			poll_view(b, CHILD_CONN(i), false);
	}
	*us = (double)b->cpu_ns / 1e3 / 4;
	*bytes =
	    (double)(b->bytes[IR_MSG_VIEW_REQUEST] + b->bytes[IR_MSG_VIEW]);
	*bytes /= 4;
	talloc_free(b);
}

double
relay_us_of_children(double x)
{
	double us, bytes;

	measure_children(x, &us, &bytes);
	return us;
}

double
relay_bytes_of_children(double x)
{
	double us, bytes;

	measure_children(x, &us, &bytes);
	return bytes;
}

double
store_read_us_of_hosts(double x)
{
	struct bench_node *b = node_with_hosts(x);
	double got;

	bench_node_clear_counts(b);
	for (int i = 0; i < REPEATS; i++)
		bench_node_confirm_view(b);
	got = (double)b->cpu_ns / 1e3 / REPEATS;
	talloc_free(b);
	return got;
}

double
poll_bytes_of_hosts(double x)
{
	struct bench_node *b = node_with_hosts(x);
	double got = 0;

	bench_node_run(b, 10 * IR_US_PER_S);
	bench_node_clear_counts(b);
	bench_node_run(b, 10 * IR_US_PER_S);
	for (int k = 0; k < MESSAGE_KINDS; k++)
		got += (double)b->bytes[k] / 10;
	talloc_free(b);
	return got;
}

/* Ticks, polls and their replies, per second. */
double
idle_us_of_hosts(double x)
{
	struct bench_node *b = node_with_hosts(x);
	double got;

	bench_node_run(b, 6 * IR_US_PER_S);
	bench_node_clear_counts(b);
	bench_node_run(b, 5 * IR_US_PER_S);
	got = (double)b->cpu_ns / 1e3 / 5;
	talloc_free(b);
	return got;
}

double
tick_us_of_hosts(double x)
{
	struct bench_node *b = node_with_hosts(x);
	double got;

	bench_node_clear_counts(b);
	for (int i = 0; i < REPEATS; i++)
		bench_node_tick(b);
	got = (double)b->cpu_ns / 1e3 / REPEATS;
	talloc_free(b);
	return got;
}

/* A node does not give out its view, so that an equal one is built here. */
static struct ir_sections *
host_sections(uint32_t hosts)
{
	struct ir_sections *s = ir_sections_new(NULL);

	for (uint32_t i = 0; i < hosts; i++) {
		char *name = talloc_asprintf(s, "host/host-%05u", i);
		char *error;
		struct ir_section in = {.name = name, .revision = i + 1};

		in.text = talloc_asprintf(s,
		    "{\"name\":\"%s\",\"service\":\"s\",\"region\":\"r\","
		    "\"zone\":\"z%u\",\"address\":\"10.0.%u.%u\","
		    "\"peer_port\":1,\"caller_port\":2,\"state\":\"live\"}",
		    name + strlen("host/"), i % BENCH_NODE_ZONES, i >> 8,
		    i & 255);
		(void)ir_sections_put(s, s, &in, &error);
	}
	return s;
}

double
bucket_us_of_hosts(double x)
{
	struct ir_sections *s = host_sections((uint32_t)x);
	const struct ir_view *v = ir_sections_view(s);
	struct ir_account a = {.name = "account"};
	const struct ir_host *volatile h;
	int64_t t = thread_cpu_ns();

	for (uint32_t i = 0; i < PLACEMENTS; i++)
		h = ir_bucket_issuer(v, &a, i);
	t = thread_cpu_ns() - t;
	(void)h;
	talloc_free(s);
	return (double)t / 1e3 / PLACEMENTS;
}

double
find_parent_us_of_hosts(double x)
{
	struct ir_sections *s = host_sections((uint32_t)x);
	const struct ir_view *v = ir_sections_view(s);
	const struct ir_host *volatile h;
	int64_t t = thread_cpu_ns();

	for (uint32_t i = 0; i < PLACEMENTS; i++)
		h = ir_view_source(
		    v, &v->hosts[i * v->host_count / PLACEMENTS], 0);
	t = thread_cpu_ns() - t;
	(void)h;
	talloc_free(s);
	return (double)t / 1e3 / PLACEMENTS;
}
