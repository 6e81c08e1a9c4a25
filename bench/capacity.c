/*
 * Capacity model: measures how one node's control work grows with the fleet,
 * fits a line through each series of points, and adds the fitted values up to
 * the load of each role in a large fleet. docs/CAPACITY.md explains the sums.
 * Bytes count both those sent and those received.
 */
#include <stdio.h>

#include "capacity/fit.h"
#include "capacity/points.h"
#include "link/peer.h"
#include "zone/placement.h"

#define COUNT(a) (sizeof(a) / sizeof(*(a)))
#define SMALL_FLEET_HOSTS 17
/* Sections left for hosts beside 221 services, the fleet and the accounts. */
#define MAX_VIEW_HOSTS (IR_MAX_SECTIONS - 221 - 2)

/* The fleet that is modelled, and its assumed traffic. */
#define HOSTS 3100.0
#define ZONES 7.0
#define READERS_PER_ZONE (IR_STORE_READERS_PER_ZONE - 1) /* 3 and 4 zones */
#define ACCOUNTS 100.0
#define CALLS_PER_S (370000.0 / HOSTS)
#define ENTERING_PER_S (CALLS_PER_S / 10)
#define LINK_ENDS 20.0 /* 5 callees, 2 hosts each; as many callers */
#define CONFIG_CHANGES_PER_S (5600.0 / 86400)
#define HOST_CHANGES_PER_S (3 * 918.0 / 86400)
/* The longest deadline in use, 6 s, and the 0.5 s after it. */
#define RECORD_RETENTION_S 6.5
#define CALL_TIME_S 0.1
#define STORE_READS_PER_S (2 / 0.36)
#define TICKS_PER_S 100.0

#define LIMIT_BYTES_PER_S 5000.0
#define LIMIT_CORE_SHARE 0.019
#define LIMIT_MEMORY_MB 256.0

static const double hosts[] = {200, 800, 1600, 3100};
static const double services[] = {20, 80, 150, 220};
static const double accounts[] = {8, 100, 400, 1000};
static const double children[] = {1, 8, 16, 32};
static const double links[] = {10, 20, 40, 80};
static const double spent[] = {1, 8, 32, 100};
static const double rates[] = {10, 30, 60, 120};
static const double calls[] = {10, 100, 500, 2000};
static const double records[] = {100, 2000, 7200, 14400};
static const double open_records[] = {10, 50, 100, 200};

enum measure {
	VIEW_HOSTS,
	VIEW_SERVICES,
	VIEW_ACCOUNTS,
	BOOT_US,
	HOST_CHANGE_US,
	HOST_CHANGE_SERVICES,
	HOST_CHANGE_ACCOUNTS,
	SERVICE_CHANGE_US,
	ACCOUNTS_CHANGE_US,
	STORE_READ_US,
	FULL_VIEW_US,
	FULL_VIEW_HOSTS,
	FULL_VIEW_SERVICES,
	FULL_VIEW_ACCOUNTS,
	EMPTY_POLL_US,
	RELAY_US,
	RELAY_BYTES,
	FIND_PARENT_US,
	POLL_BYTES,
	IDLE_US,
	TICK_HOSTS,
	QUIET_BYTES,
	QUIET_MESSAGES,
	BUSY_BYTES,
	BUSY_MESSAGES,
	SPREAD_BYTES,
	TICK_LINKS,
	LINK_US,
	LINK_MEMORY,
	GRANT_ACCOUNTS,
	GRANT_MESSAGES,
	GRANT_BYTES,
	KEYED_US,
	OPEN_US,
	ENTRY_US,
	ENTRY_MEMORY,
	ENTRY_TICK,
	GRANT_REQUEST_US,
	ISSUER_MEMORY,
	BUCKET_US,
	GATE_US,
	GATE_MEMORY,
	GATE_TICK,
	GATE_OPEN,
	MEASURE_COUNT
};

#define SERIES(role, measure, of, unit, x, point)           \
	{                                                   \
		role, measure, of, unit, x, COUNT(x), point \
	}

static const struct series all_series[MEASURE_COUNT] = {
    [VIEW_HOSTS] = SERIES(
	"config", "memory of views", "hosts", "B", hosts, view_bytes_of_hosts),
    [VIEW_SERVICES] = SERIES("config", "memory of views", "services", "B",
	services, view_bytes_of_services),
    [VIEW_ACCOUNTS] = SERIES("config", "memory of views", "accounts", "B",
	accounts, view_bytes_of_accounts),
    [BOOT_US] =
	SERIES("config", "boot", "hosts", "us", hosts, boot_us_of_hosts),
    [HOST_CHANGE_US] = SERIES(
	"config", "host change", "hosts", "us", hosts, host_change_us_of_hosts),
    [HOST_CHANGE_SERVICES] = SERIES("config", "host change", "services", "us",
	services, host_change_us_of_services),
    [HOST_CHANGE_ACCOUNTS] = SERIES("config", "host change", "accounts", "us",
	accounts, host_change_us_of_accounts),
    [SERVICE_CHANGE_US] = SERIES("config", "service change", "hosts", "us",
	hosts, service_change_us_of_hosts),
    [ACCOUNTS_CHANGE_US] = SERIES("config", "accounts change", "accounts", "us",
	accounts, accounts_change_us_of_accounts),
    [STORE_READ_US] = SERIES("reader", "both reads without news", "hosts", "us",
	hosts, store_read_us_of_hosts),
    [FULL_VIEW_US] = SERIES("relay", "whole view given", "hosts", "us", hosts,
	full_view_us_of_hosts),
    [FULL_VIEW_HOSTS] = SERIES(
	"relay", "whole view", "hosts", "B", hosts, full_view_bytes_of_hosts),
    [FULL_VIEW_SERVICES] = SERIES("relay", "whole view", "services", "B",
	services, full_view_bytes_of_services),
    [FULL_VIEW_ACCOUNTS] = SERIES("relay", "whole view", "accounts", "B",
	accounts, full_view_bytes_of_accounts),
    [EMPTY_POLL_US] = SERIES("relay", "ask without news", "hosts", "us", hosts,
	empty_poll_us_of_hosts),
    [RELAY_US] = SERIES("relay", "asks of children", "children", "us/s",
	children, relay_us_of_children),
    [RELAY_BYTES] = SERIES("relay", "asks of children", "children", "B/s",
	children, relay_bytes_of_children),
    [FIND_PARENT_US] = SERIES(
	"relay", "parent found", "hosts", "us", hosts, find_parent_us_of_hosts),
    [POLL_BYTES] = SERIES("peer", "poll of the parent", "hosts", "B/s", hosts,
	poll_bytes_of_hosts),
    [IDLE_US] = SERIES(
	"peer", "all without calls", "hosts", "us/s", hosts, idle_us_of_hosts),
    [TICK_HOSTS] =
	SERIES("peer", "tick", "hosts", "us", hosts, tick_us_of_hosts),
    [QUIET_BYTES] = SERIES("peer", "heartbeats, 1 call/s a link", "links",
	"B/s", links, quiet_bytes_of_links),
    [QUIET_MESSAGES] = SERIES("peer", "heartbeats, 1 call/s a link", "links",
	"1/s", links, quiet_messages_of_links),
    [BUSY_BYTES] = SERIES("peer", "heartbeats, 12 calls/s a link", "links",
	"B/s", links, busy_bytes_of_links),
    [BUSY_MESSAGES] = SERIES("peer", "heartbeats, 12 calls/s a link", "links",
	"1/s", links, busy_messages_of_links),
    [SPREAD_BYTES] = SERIES("peer", "heartbeats, 120 calls/s", "links", "B/s",
	links, spread_bytes_of_links),
    [TICK_LINKS] =
	SERIES("peer", "tick", "links", "us", links, tick_us_of_links),
    [LINK_US] = SERIES("peer", "ticks and heartbeats", "links", "us/s", links,
	heartbeat_us_of_links),
    [LINK_MEMORY] =
	SERIES("peer", "memory", "links", "B", links, link_bytes_of_links),
    [GRANT_ACCOUNTS] = SERIES("entry", "grants at 120 calls/s", "accounts",
	"B/s", spent, grant_bytes_of_accounts),
    [GRANT_MESSAGES] = SERIES("entry", "grants of 8 accounts", "calls/s", "1/s",
	rates, grant_messages_of_calls),
    [GRANT_BYTES] = SERIES("entry", "grants of 8 accounts", "calls/s", "B/s",
	rates, grant_bytes_of_calls),
    [KEYED_US] = SERIES("entry", "all of keyed calls", "calls/s", "us/s", rates,
	keyed_us_of_calls),
    [OPEN_US] = SERIES("entry", "all of open calls", "calls/s", "us/s", rates,
	open_us_of_calls),
    [ENTRY_US] =
	SERIES("entry", "call", "calls", "us", calls, entry_us_of_calls),
    [ENTRY_MEMORY] =
	SERIES("entry", "memory", "calls", "B", calls, entry_bytes_of_calls),
    [ENTRY_TICK] =
	SERIES("entry", "tick", "calls", "us", calls, entry_tick_us_of_calls),
    [GRANT_REQUEST_US] = SERIES("minter", "ask", "accounts", "us", accounts,
	grant_request_us_of_accounts),
    [ISSUER_MEMORY] = SERIES("minter", "memory", "accounts", "B", accounts,
	issuer_bytes_of_accounts),
    [BUCKET_US] = SERIES(
	"minter", "bucket placed", "hosts", "us", hosts, bucket_us_of_hosts),
    [GATE_US] =
	SERIES("gate", "call", "records", "us", records, gate_us_of_records),
    [GATE_MEMORY] = SERIES(
	"gate", "memory", "records", "B", records, gate_bytes_of_records),
    [GATE_TICK] = SERIES(
	"gate", "tick", "records", "us", records, gate_tick_us_of_records),
    [GATE_OPEN] = SERIES(
	"gate", "tick", "open", "us", open_records, gate_tick_us_of_open),
};

static struct fit fits[MEASURE_COUNT];

static double
fitted_value(enum measure m, double x)
{
	return fit_at(&fits[m], x);
}

/*
 * What a role adds to a node each second: control messages, their bytes and
 * the processor time for them. Memory is in bytes and includes the calls'.
 */
struct role_load {
	double messages;
	double bytes;
	double us; /* of processor time */
	double memory;
};

static const char *
verdict(double value, double limit)
{
	return value <= limit ? "met" : "MISSED";
}

static struct role_load
print_role(const char *role, struct role_load l)
{
	double share = l.us / 1e6;

	printf("%-46s %8.1f %9.0f %-6s %8.3f%% %-6s %8.2f %-6s\n", role,
	    l.messages, l.bytes, verdict(l.bytes, LIMIT_BYTES_PER_S),
	    100 * share, verdict(share, LIMIT_CORE_SHARE), l.memory / 1e6,
	    verdict(l.memory / 1e6, LIMIT_MEMORY_MB));
	return l;
}

static struct role_load
add_loads(struct role_load a, struct role_load b)
{
	return (struct role_load){a.messages + b.messages, a.bytes + b.bytes,
	    a.us + b.us, a.memory + b.memory};
}

/* Each change arrives as a section's text and rebuilds the view. */
static struct role_load
configuration_load(void)
{
	double per_s = CONFIG_CHANGES_PER_S + HOST_CHANGES_PER_S;

	return (struct role_load){0,
	    CONFIG_CHANGES_PER_S * fits[FULL_VIEW_SERVICES].slope +
		HOST_CHANGES_PER_S * fits[FULL_VIEW_HOSTS].slope,
	    per_s * fitted_value(HOST_CHANGE_US, HOSTS),
	    fitted_value(VIEW_HOSTS, HOSTS)};
}

static struct role_load
poll_load(void)
{
	return (struct role_load){5, fitted_value(POLL_BYTES, HOSTS),
	    fitted_value(IDLE_US, HOSTS), 0};
}

static struct role_load
children_load(double n)
{
	struct role_load c = configuration_load();

	return (struct role_load){5 * n,
	    fitted_value(RELAY_BYTES, n) + n * c.bytes,
	    fitted_value(RELAY_US, n), 0};
}

static struct role_load
peer_load(double ends, enum measure bytes, enum measure messages)
{
	return (struct role_load){ends * fits[messages].slope,
	    ends * fits[bytes].slope, ends * fits[LINK_US].slope,
	    ends * fits[LINK_MEMORY].slope};
}

static struct role_load
entry_load(double per_s)
{
	return (struct role_load){per_s * fits[GRANT_MESSAGES].slope,
	    per_s * fits[GRANT_BYTES].slope,
	    per_s * (fits[KEYED_US].slope - fits[OPEN_US].slope),
	    CALLS_PER_S * CALL_TIME_S * fits[ENTRY_MEMORY].slope};
}

/* Half of the grant messages are requests, each of which an issuer answers. */
static struct role_load
issuer_load(double per_s)
{
	double requests = per_s * fits[GRANT_MESSAGES].slope / 2;

	return (struct role_load){2 * requests, per_s * fits[GRANT_BYTES].slope,
	    requests * fitted_value(GRANT_REQUEST_US, ACCOUNTS),
	    ACCOUNTS * ZONES / HOSTS *
		(fits[ISSUER_MEMORY].slope - fits[VIEW_ACCOUNTS].slope)};
}

static struct role_load
gate_load(void)
{
	double retained = CALLS_PER_S * RECORD_RETENTION_S;

	return (struct role_load){0, 0, 0, retained * fits[GATE_MEMORY].slope};
}

static struct role_load
reader_load(void)
{
	return (struct role_load){STORE_READS_PER_S, 0,
	    STORE_READS_PER_S / 2 * fitted_value(STORE_READ_US, HOSTS), 0};
}

static void
print_limits(void)
{
	double own = poll_load().bytes + configuration_load().bytes;
	double left = LIMIT_BYTES_PER_S - own;

	printf("left of %.0f B/s after poll and changes: %.0f; that is %.1f "
	       "link ends at 12 calls/s, or %.1f at 1 call/s, or %.1f keyed "
	       "calls/s, or %.1f children\n",
	    LIMIT_BYTES_PER_S, left, left / fits[BUSY_BYTES].slope,
	    left / fits[QUIET_BYTES].slope, left / fits[GRANT_BYTES].slope,
	    left / children_load(1).bytes);
	printf("whole view %.0f B; each boot takes it twice: %.1f B/s a node "
	       "on average of a day, %.0f MB for a zone at once\n",
	    fitted_value(FULL_VIEW_HOSTS, HOSTS),
	    2 * 910 * fitted_value(FULL_VIEW_HOSTS, HOSTS) / 86400 / HOSTS,
	    2 * HOSTS / ZONES * fitted_value(FULL_VIEW_HOSTS, HOSTS) / 1e6);
	printf("a change stalls the core %.1f ms with 100 accounts, %.1f ms "
	       "with 1,000\n",
	    fitted_value(HOST_CHANGE_US, HOSTS) / 1e3,
	    fitted_value(HOST_CHANGE_ACCOUNTS, 1000) / 1e3);
	printf("calls, not control: %.0f a second enter and are served, "
	       "%.2f%% of a core\n",
	    CALLS_PER_S,
	    CALLS_PER_S * (fits[ENTRY_US].intercept + fits[GATE_US].intercept) /
		1e4);
	for (int i = 0; i < 2; i++)
		printf("whole view of %d hosts, 221 services: %.0f B%s\n",
		    MAX_VIEW_HOSTS + i,
		    full_view_bytes_of_hosts(MAX_VIEW_HOSTS + i),
		    i > 0 ? " (0: cannot be sent)" : "");
	printf("store: %.0f reads/s at 200 hosts a zone or any more\n",
	    ZONES * READERS_PER_ZONE * STORE_READS_PER_S);
}

static void
print_roles(void)
{
	struct role_load leaf, node, busy, tree = children_load(8);
	struct role_load in = entry_load(ENTERING_PER_S),
			 issuer = issuer_load(ENTERING_PER_S);

	printf("\n%-46s %8s %9s %-6s %9s %-6s %8s\n", "role", "msgs/s", "B/s",
	    "", "core", "", "MB");
	leaf =
	    print_role("configuration: changes, views", configuration_load());
	leaf = add_loads(
	    leaf, print_role("poll of the parent, ticks", poll_load()));
	(void)print_role("relay or reader: 8 children", tree);
	(void)print_role("reader: store reads, without HTTP", reader_load());
	node = print_role("peer: 20 link ends, 12 calls/s each",
	    peer_load(LINK_ENDS, BUSY_BYTES, BUSY_MESSAGES));
	(void)print_role("peer: 20 link ends, 1 call/s each",
	    peer_load(LINK_ENDS, QUIET_BYTES, QUIET_MESSAGES));
	(void)print_role("entry: 12 keyed calls/s", in);
	(void)print_role("minter: asks of 12 keyed calls/s", issuer);
	node = add_loads(
	    node, print_role("gate: records of 119 calls/s", gate_load()));
	node = add_loads(node, leaf);
	busy = add_loads(add_loads(node, in), issuer);
	(void)print_role("sum: leaf, no entry", node);
	(void)print_role("sum: relay, no entry", add_loads(node, tree));
	(void)print_role("sum: reader, no entry",
	    add_loads(add_loads(node, reader_load()), tree));
	(void)print_role("sum: leaf, entry, minter", busy);
	(void)print_role("sum: relay, entry, minter", add_loads(busy, tree));
	print_limits();
}

static void
print_small_fleet(void)
{
	static const enum measure shown[] = {VIEW_HOSTS, BOOT_US,
	    HOST_CHANGE_US, FULL_VIEW_US, FULL_VIEW_HOSTS, EMPTY_POLL_US,
	    POLL_BYTES, IDLE_US, TICK_HOSTS};

	points_use_small_fleet();
	printf("\n17 hosts, 4 services, 4 zones, 8 accounts\n");
	for (size_t i = 0; i < COUNT(shown); i++) {
		const struct series *s = &all_series[shown[i]];

		printf("%-7s %-30s %.4g %s\n", s->role, s->measure,
		    fit_point(s, SMALL_FLEET_HOSTS), s->unit);
	}
}

int
main(void)
{
	for (size_t i = 0; i < COUNT(all_series); i++)
		fits[i] = fit_measure(&all_series[i]);
	print_roles();
	print_small_fleet();
	return 0;
}
