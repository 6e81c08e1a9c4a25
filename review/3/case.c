/*
 * The store forgets its history, and 0.15 s later the configuration changes. Do
 * all nodes learn of the change?
 */
#include <stdio.h>
#include <string.h>

#include "standin.h"

#define KEPT_KEY "6wsjnbanfqasnmgkcuyj"
#define NODES 4
#define ROUNDS 14
#define CHANGE_AFTER_MS 150
/* In touch again: stability_window_ms after the loss, and a second more. */
#define IN_TOUCH_MS 4000
/* A round ends if no node serves the dropped key by then. */
#define LOOK_MS 2600
/* Requests are sent for this long. */
#define ASK_MS 3500
#define ASK_GAP_MS 500

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
    "\"tenants\":{\"pulo780\":{\"api_keys\":[%s\"" KEPT_KEY "\"],"
    "\"priority\":1}}}";

static struct deployment d;
static int version = 7;

/* Writes the next version; key: an additional one, or NULL. */
static void
change_config(const char *key)
{
	char text[4096], entry[64] = "";

	if (key != NULL)
		snprintf(entry, sizeof(entry), "\"%s\",", key);
	snprintf(text, sizeof(text), format, ++version, entry);
	store_put(&d.store, "op/config", text);
	record("store: version %d acknowledged, %s", version,
	    key != NULL ? "a key is added" : "that key is taken away");
}

static int
request(struct node *n, const char *key)
{
	struct call c = {.method = "GET",
	    .host = "hulo84.example",
	    .path = "/leny950/2f",
	    .key = key,
	    .deadline_ms = 6000};

	call_run(n, &c);
	record("client: %s at %s, key %s: status %d", c.id, n->address, key,
	    c.status);
	return c.status;
}

/* Returns how many requests ran with a key that was taken away. */
static int
run_round(int round)
{
	char key[32];
	int64_t from;
	int served = 0, stale = 0;

	snprintf(key, sizeof(key), "k%019d", round);
	change_config(key);
	sleep_until(now_ms() + 2500);
	for (int i = 0; i < NODES; i++) {
		if (request(&d.node[i], key) != 200)
			cannot_run("the added key is not served");
	}
	if (trouble) {
		record("store: forgets its history");
		store_compact(&d.store);
	}
	sleep_until(now_ms() + CHANGE_AFTER_MS);
	change_config(NULL);
	from = now_ms() + IN_TOUCH_MS;
	sleep_until(from - IN_TOUCH_MS + LOOK_MS);
	for (int i = 0; i < NODES; i++)
		served += request(&d.node[i], key) == 200;
	if (served == 0) {
		record("round %d: no node serves the dropped key", round);
		return 0;
	}
	for (int64_t at = from; at < from + ASK_MS; at += ASK_GAP_MS) {
		sleep_until(at);
		for (int i = 0; i < NODES; i++)
			stale += request(&d.node[i], key) == 200;
	}
	record("round %d: %d requests with the dropped key ran, sent over "
	       "%d ms after the ack",
	    round, stale, IN_TOUCH_MS);
	return stale;
}

int
main(int argc, char **argv)
{
	static const struct place places[NODES] = {
	    {"catalogo", "sierra-cuenca"}, {"catalogo", "costa-guayaquil"},
	    {"catalogo", "sierra-quito"}, {"catalogo", "costa-manta"}};
	char text[4096];
	int stale = 0;

	setup(argv[1]);
	snprintf(text, sizeof(text), format, version, "");
	deployment_init(&d, places, NODES, text);
	deployment_start(&d);
	for (int round = 1; round <= ROUNDS && stale == 0; round++)
		stale = run_round(round);
	finish(stale == 0 ? EXIT_HELD : EXIT_BROKEN);
}
