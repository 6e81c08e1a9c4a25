/*
 * A node that isn't a reader of the store loses all others of its zone, while
 * it reaches the store. Does it learn of a key that is taken away?
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin.h"

#define CONFIG_APPLY_MS 2000
#define KEPT_KEY "6wsjnbanfqasnmgkcuyj"
#define DROPPED_KEY "8pjbvk9m68k7b2ex5wa5"
#define STABILITY_MS 3000

static const char *const format =
    "{\"version\":\"%08x\",\"routes\":{\"r-browse\":{"
    "\"host\":\"hulo84.example\",\"path_prefix\":\"/leny950/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":1500,\"priority\":2,\"service\":\"catalogo\","
    "\"max_attempts\":2,\"public\":false}},"
    "\"services\":{\"catalogo\":{\"health_check_path\":\"/health\","
    "\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":{\"pulo780\":{\"api_keys\":[%s],\"priority\":1}}}";

static struct deployment d;

static int
request(struct node *n, const char *key)
{
	struct call c = {.method = "GET",
	    .host = "hulo84.example",
	    .path = "/leny950/2f",
	    .key = key,
	    .deadline_ms = 6000};

	call_run(n, &c);
	record("client: %s at %s, key %s: status %d", c.id, n->address,
	    strcmp(key, KEPT_KEY) == 0 ? "kept" : "dropped", c.status);
	return c.status;
}

/* The node that makes no calls to the store. */
static int
find_non_reader(void)
{
	unsigned before[MAX_NODES];
	int found = -1;

	memcpy(before, d.store.reads_at, sizeof(before));
	sleep_until(now_ms() + 3000);
	for (int i = 0; i < d.count; i++) {
		unsigned calls = d.store.reads_at[i] - before[i];

		record("node %s: %u calls to the store in 3 s",
		    d.node[i].address, calls);
		if (calls == 0)
			found = i;
	}
	return found;
}

/* Machines are lost for good: nodes and instances end without notice. */
static void
lose_others(int left)
{
	for (int i = 0; i < d.count; i++) {
		if (i == left)
			continue;
		node_signal(&d.node[i], SIGKILL);
		d.instance[i].registered = false;
	}
	/* After three check-in intervals of silence the entries are removed. */
	sleep_until(now_ms() + 4500);
	for (int i = 0; i < d.count; i++) {
		if (i != left)
			instance_unregister(&d.instance[i]);
	}
	record("store: the entries of the lost instances are removed");
}

int
main(int argc, char **argv)
{
	static const struct place places[] = {{"catalogo", "sierra-cuenca"},
	    {"catalogo", "sierra-cuenca"}, {"catalogo", "sierra-cuenca"},
	    {"catalogo", "sierra-cuenca"}};
	char text[4096], address[32];
	int64_t acked, after;
	int left, stale = 0;

	setup(argv[1]);
	snprintf(text, sizeof(text), format, 7,
	    "\"" KEPT_KEY "\",\"" DROPPED_KEY "\"");
	deployment_init(&d, places, 4, text);
	for (int i = 0; i < d.count; i++) {
		address_of(address, sizeof(address), 201 + i);
		snprintf(d.node[i].platform_address,
		    sizeof(d.node[i].platform_address), "%s:%u", address,
		    store_also_at(&d.store, address, i));
	}
	deployment_start(&d);
	left = find_non_reader();
	if (left < 0)
		cannot_run("all nodes read the store");
	record("node %s isn't a reader", d.node[left].address);
	if (trouble)
		lose_others(left);
	/* Until this machine is in touch in any case. */
	sleep_until(now_ms() + STABILITY_MS + 1000);
	if (request(&d.node[left], KEPT_KEY) != 200 ||
	    request(&d.node[left], DROPPED_KEY) != 200)
		cannot_run("not served before the change");
	snprintf(text, sizeof(text), format, 8, "\"" KEPT_KEY "\"");
	store_put(&d.store, "op/config", text);
	acked = now_ms();
	record("store: version 8 acknowledged, a key is taken away");
	while ((after = now_ms() - acked) < 20000) {
		int status = request(&d.node[left], DROPPED_KEY);

		if (after > CONFIG_APPLY_MS && status == 200)
			stale++;
		sleep_until(acked + after + 1000);
	}
	record("%d requests with the dropped key ran, sent over %d ms after "
	       "the ack",
	    stale, CONFIG_APPLY_MS);
	finish(stale == 0 ? EXIT_HELD : EXIT_BROKEN);
}
