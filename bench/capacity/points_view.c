/* Points of the view: booting, changes, polls. */
#include <string.h>

#include "ibisrail/limits.h"
#include "link/codec.h"
#include "points.h"
#include "world.h"
#include "zone/placement.h"

#define CHANGES 20
#define ASKS 50
#define PLACEMENTS 200
#define CHILD_CONN(i) (2 * (uint32_t)(i) + 1001)

/* What is not varied; full size unless points_today() was called. */
static struct shape base = {.hosts = 3100,
    .services = 220,
    .accounts = 100,
    .routes = 12,
    .zones = WORLD_ZONES};

void
points_today(void)
{
	base.hosts = 17;
	base.services = 4;
	base.accounts = 8;
	base.zones = 4;
}

static struct world *
booted(const struct shape *s)
{
	struct world *w = world_new(s);

	world_boot(w);
	return w;
}

static struct world *
of_hosts(double x)
{
	struct shape s = base;

	s.hosts = (uint32_t)x;
	return booted(&s);
}

static struct world *
of_services(double x)
{
	struct shape s = base;

	s.services = (uint32_t)x;
	return booted(&s);
}

static struct world *
of_accounts(double x)
{
	struct shape s = base;

	s.accounts = (uint32_t)x;
	return booted(&s);
}

static double
memory_of(struct world *(*make)(double x), double x)
{
	double before = memory_bytes(), got;
	struct world *w = make(x);

	world_change(w, "host", 1);
	got = memory_bytes() - before;
	talloc_free(w);
	return got;
}

double
view_bytes_of_hosts(double x)
{
	return memory_of(of_hosts, x);
}

double
view_bytes_of_services(double x)
{
	return memory_of(of_services, x);
}

double
view_bytes_of_accounts(double x)
{
	return memory_of(of_accounts, x);
}

double
boot_us_of_hosts(double x)
{
	struct world *w = of_hosts(x);
	double got = (double)w->cpu_ns / 1e3;

	talloc_free(w);
	return got;
}

static void
ask_view(struct world *w, uint32_t conn, bool all)
{
	struct ir_msg m = {.kind = IR_MSG_VIEW_REQUEST};

	if (!all) {
		m.ir_msg_u.view_request.config_revision = w->config_revision;
		m.ir_msg_u.view_request.list_revision = w->list_revision;
	}
	world_feed(w, conn, 5, &m);
}

static void
ask_whole(struct world *w, double *us, double *bytes)
{
	world_accept(w, CHILD_CONN(0), 1);
	world_clear_counts(w);
	ask_view(w, CHILD_CONN(0), true);
	*us = (double)w->cpu_ns / 1e3;
	*bytes = (double)w->bytes[IR_MSG_VIEW];
	talloc_free(w);
}

double
whole_us_of_hosts(double x)
{
	double us, bytes;

	ask_whole(of_hosts(x), &us, &bytes);
	return us;
}

double
whole_bytes_of_hosts(double x)
{
	double us, bytes;

	ask_whole(of_hosts(x), &us, &bytes);
	return bytes;
}

double
whole_bytes_of_services(double x)
{
	double us, bytes;

	ask_whole(of_services(x), &us, &bytes);
	return bytes;
}

double
whole_bytes_of_accounts(double x)
{
	double us, bytes;

	ask_whole(of_accounts(x), &us, &bytes);
	return bytes;
}

static double
change_us(struct world *w, const char *kind)
{
	double got;

	world_change(w, kind, 1);
	world_clear_counts(w);
	for (uint32_t i = 0; i < CHANGES; i++)
		world_change(w, kind, i + 2);
	got = (double)w->cpu_ns / 1e3 / CHANGES;
	talloc_free(w);
	return got;
}

double
host_change_us_of_hosts(double x)
{
	return change_us(of_hosts(x), "host");
}

double
host_change_us_of_services(double x)
{
	return change_us(of_services(x), "host");
}

double
host_change_us_of_accounts(double x)
{
	return change_us(of_accounts(x), "host");
}

double
service_change_us_of_hosts(double x)
{
	return change_us(of_hosts(x), "service");
}

double
accounts_change_us_of_accounts(double x)
{
	return change_us(of_accounts(x), "accounts");
}

double
ask_us_of_hosts(double x)
{
	struct world *w = of_hosts(x);
	double got;

	world_accept(w, CHILD_CONN(0), 1);
	world_clear_counts(w);
	for (int i = 0; i < ASKS; i++)
		ask_view(w, CHILD_CONN(0), false);
	got = (double)w->cpu_ns / 1e3 / ASKS;
	talloc_free(w);
	return got;
}

/* One second of x children that ask every 400 ms. */
static void
serve_children(double x, double *us, double *bytes)
{
	struct world *w = of_hosts(base.hosts);
	uint32_t n = (uint32_t)x;

	for (uint32_t i = 0; i < n; i++)
		world_accept(w, CHILD_CONN(i), i + 1);
	world_clear_counts(w);
	for (int turn = 0; turn < 10; turn++) {
		for (uint32_t i = 0; i < n; i++)
			ask_view(w, CHILD_CONN(i), false);
	}
	*us = (double)w->cpu_ns / 1e3 / 4;
	*bytes =
	    (double)(w->bytes[IR_MSG_VIEW_REQUEST] + w->bytes[IR_MSG_VIEW]);
	*bytes /= 4;
	talloc_free(w);
}

double
relay_us_of_children(double x)
{
	double us, bytes;

	serve_children(x, &us, &bytes);
	return us;
}

double
relay_bytes_of_children(double x)
{
	double us, bytes;

	serve_children(x, &us, &bytes);
	return bytes;
}

/* Both reads, without news. */
double
reader_store_us_of_hosts(double x)
{
	struct world *w = of_hosts(x);
	double got;

	world_clear_counts(w);
	for (int i = 0; i < ASKS; i++)
		world_confirm(w);
	got = (double)w->cpu_ns / 1e3 / ASKS;
	talloc_free(w);
	return got;
}

double
poll_bytes_of_hosts(double x)
{
	struct world *w = of_hosts(x);
	double got = 0;

	world_run(w, 10 * IR_US_PER_S);
	world_clear_counts(w);
	world_run(w, 10 * IR_US_PER_S);
	for (int k = 0; k < KINDS; k++)
		got += (double)w->bytes[k] / 10;
	talloc_free(w);
	return got;
}

/* A second of a node without calls: ticks, polls, their replies. */
double
idle_us_of_hosts(double x)
{
	struct world *w = of_hosts(x);
	double got;

	world_run(w, 6 * IR_US_PER_S);
	world_clear_counts(w);
	world_run(w, 5 * IR_US_PER_S);
	got = (double)w->cpu_ns / 1e3 / 5;
	talloc_free(w);
	return got;
}

double
tick_us_of_hosts(double x)
{
	struct world *w = of_hosts(x);
	double got;

	world_clear_counts(w);
	for (int i = 0; i < ASKS; i++)
		world_tick(w);
	got = (double)w->cpu_ns / 1e3 / ASKS;
	talloc_free(w);
	return got;
}

/* A view is not to be had from a node; this is the same one. */
static struct ir_sections *
sections_of(uint32_t hosts)
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
		    name + strlen("host/"), i % WORLD_ZONES, i >> 8, i & 255);
		(void)ir_sections_put(s, s, &in, &error);
	}
	return s;
}

double
bucket_us_of_hosts(double x)
{
	struct ir_sections *s = sections_of((uint32_t)x);
	const struct ir_view *v = ir_sections_view(s);
	struct ir_account a = {.name = "account"};
	const struct ir_host *volatile h;
	int64_t t = cpu_now_ns();

	for (uint32_t i = 0; i < PLACEMENTS; i++)
		h = ir_bucket_issuer(v, &a, i);
	t = cpu_now_ns() - t;
	(void)h;
	talloc_free(s);
	return (double)t / 1e3 / PLACEMENTS;
}

double
source_us_of_hosts(double x)
{
	struct ir_sections *s = sections_of((uint32_t)x);
	const struct ir_view *v = ir_sections_view(s);
	const struct ir_host *volatile h;
	int64_t t = cpu_now_ns();

	for (uint32_t i = 0; i < PLACEMENTS; i++)
		h = ir_view_source(
		    v, &v->hosts[i * v->host_count / PLACEMENTS], 0);
	t = cpu_now_ns() - t;
	(void)h;
	talloc_free(s);
	return (double)t / 1e3 / PLACEMENTS;
}
