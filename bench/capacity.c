/*
 * Slopes of one node's work and what they make at a fleet's size. The sums are
 * explained in docs/CAPACITY.md. Bytes are those sent and those received.
 */
#include <stdio.h>

#include "capacity/fit.h"
#include "capacity/points.h"
#include "link/peer.h"
#include "zone/placement.h"

#define COUNT(a) (sizeof(a) / sizeof(*(a)))
#define TODAY_HOSTS 17
/* With 221 services, the fleet's section and the accounts. */
#define MOST_HOSTS (IR_MAX_SECTIONS - 221 - 2)

/* The size, and what is supposed of it. */
#define HOSTS 3100.0
#define ZONES 7.0
#define ACCOUNTS 100.0
#define CALLS_PER_S (370000.0 / HOSTS)
#define ENTERING_PER_S (CALLS_PER_S / 10)
#define LINK_ENDS 20.0 /* 5 services called, 2 hosts each, and the reverse */
#define CONFIG_PER_S (5600.0 / 86400)
#define LIST_PER_S (3 * 918.0 / 86400)
/* Deadlines of 6 s, the longest of today, and what follows them. */
#define KEEP_S 6.5
#define IN_FLIGHT_S 0.1
#define READS_PER_S (2 / 0.36)
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
	READ_US,
	WHOLE_US,
	WHOLE_HOSTS,
	WHOLE_SERVICES,
	WHOLE_ACCOUNTS,
	ASK_US,
	RELAY_US,
	RELAY_BYTES,
	SOURCE_US,
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
	MINT_US,
	MINT_MEMORY,
	BUCKET_US,
	GATE_US,
	GATE_MEMORY,
	GATE_TICK,
	GATE_OPEN,
	MEASURES
};

#define SERIES(role, measure, of, unit, x, point)           \
	{                                                   \
		role, measure, of, unit, x, COUNT(x), point \
	}

static const struct series all[MEASURES] = {
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
    [READ_US] = SERIES("reader", "both reads without news", "hosts", "us",
	hosts, reader_store_us_of_hosts),
    [WHOLE_US] = SERIES(
	"relay", "whole view given", "hosts", "us", hosts, whole_us_of_hosts),
    [WHOLE_HOSTS] = SERIES(
	"relay", "whole view", "hosts", "B", hosts, whole_bytes_of_hosts),
    [WHOLE_SERVICES] = SERIES("relay", "whole view", "services", "B", services,
	whole_bytes_of_services),
    [WHOLE_ACCOUNTS] = SERIES("relay", "whole view", "accounts", "B", accounts,
	whole_bytes_of_accounts),
    [ASK_US] = SERIES(
	"relay", "ask without news", "hosts", "us", hosts, ask_us_of_hosts),
    [RELAY_US] = SERIES("relay", "asks of children", "children", "us/s",
	children, relay_us_of_children),
    [RELAY_BYTES] = SERIES("relay", "asks of children", "children", "B/s",
	children, relay_bytes_of_children),
    [SOURCE_US] = SERIES(
	"relay", "parent found", "hosts", "us", hosts, source_us_of_hosts),
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
	SERIES("peer", "memory", "links", "B", links, link_memory_of_links),
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
    [MINT_US] = SERIES(
	"minter", "ask", "accounts", "us", accounts, mint_ask_us_of_accounts),
    [MINT_MEMORY] = SERIES(
	"minter", "memory", "accounts", "B", accounts, mint_bytes_of_accounts),
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

static struct fit fits[MEASURES];

static double
at(enum measure m, double x)
{
	return fit_at(&fits[m], x);
}

/* What a role adds to a node: control only, but for memory. */
struct load {
	double messages;
	double bytes;
	double us; /* a second */
	double memory;
};

static const char *
met(double value, double limit)
{
	return value <= limit ? "met" : "MISSED";
}

static struct load
print_role(const char *role, struct load l)
{
	double share = l.us / 1e6;

	printf("%-46s %8.1f %9.0f %-6s %8.3f%% %-6s %8.2f %-6s\n", role,
	    l.messages, l.bytes, met(l.bytes, LIMIT_BYTES_PER_S), 100 * share,
	    met(share, LIMIT_CORE_SHARE), l.memory / 1e6,
	    met(l.memory / 1e6, LIMIT_MEMORY_MB));
	return l;
}

static struct load
sum(struct load a, struct load b)
{
	return (struct load){a.messages + b.messages, a.bytes + b.bytes,
	    a.us + b.us, a.memory + b.memory};
}

/* Changes arrive as texts, one view is built for each. */
static struct load
configuration(void)
{
	double per_s = CONFIG_PER_S + LIST_PER_S;

	return (struct load){0,
	    CONFIG_PER_S * fits[WHOLE_SERVICES].slope +
		LIST_PER_S * fits[WHOLE_HOSTS].slope,
	    per_s * at(HOST_CHANGE_US, HOSTS), at(VIEW_HOSTS, HOSTS)};
}

static struct load
poll(void)
{
	return (struct load){5, at(POLL_BYTES, HOSTS), at(IDLE_US, HOSTS), 0};
}

static struct load
children_of(double n)
{
	struct load c = configuration();

	return (struct load){
	    5 * n, at(RELAY_BYTES, n) + n * c.bytes, at(RELAY_US, n), 0};
}

static struct load
peer(double ends, enum measure bytes, enum measure messages)
{
	return (struct load){ends * fits[messages].slope,
	    ends * fits[bytes].slope, ends * fits[LINK_US].slope,
	    ends * fits[LINK_MEMORY].slope};
}

static struct load
entry(double per_s)
{
	return (struct load){per_s * fits[GRANT_MESSAGES].slope,
	    per_s * fits[GRANT_BYTES].slope,
	    per_s * (fits[KEYED_US].slope - fits[OPEN_US].slope),
	    CALLS_PER_S * IN_FLIGHT_S * fits[ENTRY_MEMORY].slope};
}

/* Each ask of a spender is one of a minter. */
static struct load
minter(double per_s)
{
	double asks = per_s * fits[GRANT_MESSAGES].slope / 2;

	return (struct load){2 * asks, per_s * fits[GRANT_BYTES].slope,
	    asks * at(MINT_US, ACCOUNTS),
	    ACCOUNTS * ZONES / HOSTS *
		(fits[MINT_MEMORY].slope - fits[VIEW_ACCOUNTS].slope)};
}

static struct load
gate(void)
{
	double kept = CALLS_PER_S * KEEP_S;

	return (struct load){0, 0, 0, kept * fits[GATE_MEMORY].slope};
}

static struct load
reader(void)
{
	return (struct load){
	    READS_PER_S, 0, READS_PER_S / 2 * at(READ_US, HOSTS), 0};
}

static void
print_limits(void)
{
	double own = poll().bytes + configuration().bytes;
	double left = LIMIT_BYTES_PER_S - own;

	printf("left of %.0f B/s after poll and changes: %.0f; that is %.1f "
	       "link ends at 12 calls/s, or %.1f at 1 call/s, or %.1f keyed "
	       "calls/s, or %.1f children\n",
	    LIMIT_BYTES_PER_S, left, left / fits[BUSY_BYTES].slope,
	    left / fits[QUIET_BYTES].slope, left / fits[GRANT_BYTES].slope,
	    left / children_of(1).bytes);
	printf("whole view %.0f B; each boot takes it twice: %.1f B/s a node "
	       "on average of a day, %.0f MB for a zone at once\n",
	    at(WHOLE_HOSTS, HOSTS),
	    2 * 910 * at(WHOLE_HOSTS, HOSTS) / 86400 / HOSTS,
	    2 * HOSTS / ZONES * at(WHOLE_HOSTS, HOSTS) / 1e6);
	printf("a change stalls the core %.1f ms with 100 accounts, %.1f ms "
	       "with 1,000\n",
	    at(HOST_CHANGE_US, HOSTS) / 1e3,
	    at(HOST_CHANGE_ACCOUNTS, 1000) / 1e3);
	printf("calls, not control: %.0f a second enter and are served, "
	       "%.2f%% of a core\n",
	    CALLS_PER_S,
	    CALLS_PER_S * (fits[ENTRY_US].intercept + fits[GATE_US].intercept) /
		1e4);
	for (int i = 0; i < 2; i++)
		printf("whole view of %d hosts, 221 services: %.0f B%s\n",
		    MOST_HOSTS + i, whole_bytes_of_hosts(MOST_HOSTS + i),
		    i > 0 ? " (0: cannot be sent)" : "");
	printf("store: %.0f reads/s at 200 hosts a zone or any more\n",
	    ZONES * IR_STORE_READERS_PER_ZONE * READS_PER_S);
}

static void
print_roles(void)
{
	struct load leaf, node, busy, tree = children_of(8);
	struct load in = entry(ENTERING_PER_S), mints = minter(ENTERING_PER_S);

	printf("\n%-46s %8s %9s %-6s %9s %-6s %8s\n", "role", "msgs/s", "B/s",
	    "", "core", "", "MB");
	leaf = print_role("configuration: changes, views", configuration());
	leaf = sum(leaf, print_role("poll of the parent, ticks", poll()));
	(void)print_role("relay or reader: 8 children", tree);
	(void)print_role("reader: store reads, without HTTP", reader());
	node = print_role("peer: 20 link ends, 12 calls/s each",
	    peer(LINK_ENDS, BUSY_BYTES, BUSY_MESSAGES));
	(void)print_role("peer: 20 link ends, 1 call/s each",
	    peer(LINK_ENDS, QUIET_BYTES, QUIET_MESSAGES));
	(void)print_role("entry: 12 keyed calls/s", in);
	(void)print_role("minter: asks of 12 keyed calls/s", mints);
	node = sum(node, print_role("gate: records of 119 calls/s", gate()));
	node = sum(node, leaf);
	busy = sum(sum(node, in), mints);
	(void)print_role("sum: leaf, no entry", node);
	(void)print_role("sum: relay, no entry", sum(node, tree));
	(void)print_role(
	    "sum: reader, no entry", sum(sum(node, reader()), tree));
	(void)print_role("sum: leaf, entry, minter", busy);
	(void)print_role("sum: relay, entry, minter", sum(busy, tree));
	print_limits();
}

static void
print_today(void)
{
	static const enum measure shown[] = {VIEW_HOSTS, BOOT_US,
	    HOST_CHANGE_US, WHOLE_US, WHOLE_HOSTS, ASK_US, POLL_BYTES, IDLE_US,
	    TICK_HOSTS};

	points_today();
	printf("\n17 hosts, 4 services, 4 zones, 8 accounts\n");
	for (size_t i = 0; i < COUNT(shown); i++) {
		const struct series *s = &all[shown[i]];

		printf("%-7s %-30s %.4g %s\n", s->role, s->measure,
		    fit_point(s, TODAY_HOSTS), s->unit);
	}
}

int
main(void)
{
	for (size_t i = 0; i < COUNT(all); i++)
		fits[i] = fit_run(&all[i]);
	print_roles();
	print_today();
	return 0;
}
