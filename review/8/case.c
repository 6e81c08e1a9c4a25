/*
 * Case 8: entries of another writer, for processes of its own on the machines
 * of a service; a route to this service that is added later is never served.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

#define MACHINES 6 /* 1 to 4 run alpha, 5 and 6 beta */
#define BETA_FROM 5
#define ROUNDS 100
#define PAUSE_MS 100
#define MIN_REQUESTS 20 /* on routes that were added later */

/* The second version adds a route to beta. */
static void
put_config(const char *version, const char *base, bool with_beta)
{
	char text[4096];

	snprintf(text, sizeof(text),
	    "{\"version\":\"%s\",\"routes\":{"
	    "\"r-a\":{\"host\":\"alpha.example\",\"path_prefix\":\"/alpha/\","
	    "\"kind\":\"idempotent\",\"timeout_ms\":1200,"
	    "\"target_latency_ms\":1500,\"priority\":1,\"service\":\"alpha\","
	    "\"max_attempts\":2,\"public\":false}%s},"
	    "\"services\":{\"alpha\":{\"health_check_path\":\"/health\","
	    "\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false},"
	    "\"beta\":{\"health_check_path\":\"/health\","
	    "\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false}},"
	    "\"limits\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
	    "\"idle_timeout_ms\":15000},\"tenants\":{\"one\":{\"api_keys\":["
	    "\"key-of-tenant-one-0001\"],\"priority\":1,\"rate_per_s\":400,"
	    "\"burst\":400}},\"base_version\":\"%s\"}",
	    version,
	    with_beta ? ",\"r-b\":{\"host\":\"beta.example\","
			"\"path_prefix\":\"/beta/\",\"kind\":\"idempotent\","
			"\"timeout_ms\":1200,\"target_latency_ms\":1500,"
			"\"priority\":1,\"service\":\"beta\","
			"\"max_attempts\":2,\"public\":false}" : "",
	    base);
	store_put("op/config", text);
	record("version %s acknowledged, route to beta: %s", version,
	    with_beta ? "there" : "none");
}

/*
 * Another writer lists its process on the machine: with another port, and of a
 * service that isn't in the configuration.
 */
static void
write_other_entry(int machine, const char *zone)
{
	char key[64], value[512];

	snprintf(key, sizeof(key), "servers/agent-%d", machine);
	snprintf(value, sizeof(value),
	    "{\"service\":\"agent\",\"address\":\"%s:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"sequence\":1}",
	    machine_ip(machine), port_app + 500, zone);
	store_put(key, value);
	record("%s = %s", key, value);
}

static void
send_one(int machine, const char *host, const char *path, int *statuses)
{
	struct answer a;

	client_request(machine, "GET", host, path,
	    "X-Api-Key: key-of-tenant-one-0001\r\n", NULL, 0, 5000, &a);
	statuses[a.status]++;
}

static void
record_statuses(const char *route, const int *statuses)
{
	for (int s = 0; s < 600; s++) {
		if (statuses[s] > 0)
			record("%s: status %d: %d", route, s, statuses[s]);
	}
}

int
main(void)
{
	static struct node n[MACHINES + 1];
	static const char *const zones[] = {
	    "sierra-cuenca", "costa-guayaquil", "sierra-quito", "costa-manta"};
	static const char *const regions[] = {
	    "sierra", "costa", "sierra", "costa"};
	static int first[600], later[600];
	bool broken;

	if (!harness_init())
		return 2;
	store_start();
	put_config("00000007", "00000005", false);
	for (int i = 1; i <= MACHINES; i++) {
		const char *service = i < BETA_FROM ? "alpha" : "beta";
		char id[32];

		snprintf(id, sizeof(id), "i-%d", i);
		instance_start(i, service, zones[i % 4], id, 36, NULL);
		node_start(
		    &n[i], i, service, zones[i % 4], regions[i % 4], 260);
	}
	for (int i = 1; i <= MACHINES; i++) {
		if (!node_wait_ready(&n[i], 10000))
			harness_exit(2);
	}
	for (int i = BETA_FROM; trouble() && i <= MACHINES; i++)
		write_other_entry(i, zones[i % 4]);
	/* The traffic starts 8 s after the machines do. */
	sleep_until(8000);
	put_config("0000000c", "00000007", true);
	/* Longer than config_apply_ms and stability_window_ms. */
	sleep_ms(5000);
	for (int i = 0; i < ROUNDS; i++) {
		int machine = 1 + i % MACHINES;

		send_one(machine, "alpha.example", "/alpha/1", first);
		send_one(machine, "beta.example", "/beta/1", later);
		sleep_ms(PAUSE_MS);
	}
	record_statuses("first route", first);
	record_statuses("route that was added later", later);
	/* Of as many requests on each. */
	broken = ROUNDS >= MIN_REQUESTS && 4 * later[200] < first[200];
	record("of %d requests on each, served: %d on the first route, %d on "
	       "the later one",
	    ROUNDS, first[200], later[200]);
	if (broken)
		record("BROKEN CONFIG");
	fprintf(stderr, "of %d each: first route %d, later route %d\n", ROUNDS,
	    first[200], later[200]);
	if (first[200] < ROUNDS / 2)
		harness_exit(2);
	harness_exit(broken);
}
