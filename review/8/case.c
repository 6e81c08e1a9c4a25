/*
 * Case 8: entries of another writer, for processes of its own on the same
 * machines; no request is served.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

#define MACHINES 4
#define REQUESTS 200
#define PAUSE_MS 100

static const char config[] =
    "{\"version\":\"00000007\",\"routes\":{"
    "\"r-a\":{\"host\":\"alpha.example\",\"path_prefix\":\"/alpha/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":1200,"
    "\"target_latency_ms\":1500,\"priority\":0,\"service\":\"alpha\","
    "\"max_attempts\":2,\"public\":false}},"
    "\"services\":{\"alpha\":{\"health_check_path\":\"/health\","
    "\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":{\"one\":{\"api_keys\":[\"key-of-tenant-one-0001\"],"
    "\"priority\":1,\"rate_per_s\":400,\"burst\":400}},"
    "\"base_version\":\"00000005\"}";

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

int
main(void)
{
	static struct node n[MACHINES + 1];
	static const char *const zones[] = {
	    "sierra-cuenca", "costa-guayaquil", "sierra-quito", "costa-manta"};
	static const char *const regions[] = {
	    "sierra", "costa", "sierra", "costa"};
	int statuses[600] = {0}, served;

	if (!harness_init())
		return 2;
	store_start();
	store_put("op/config", config);
	for (int i = 1; i <= MACHINES; i++) {
		char id[32];

		snprintf(id, sizeof(id), "i-%d", i);
		instance_start(i, "alpha", zones[i % 4], id, 36, NULL);
		node_start(
		    &n[i], i, "alpha", zones[i % 4], regions[i % 4], 260);
	}
	for (int i = 1; i <= MACHINES; i++) {
		if (!node_wait_ready(&n[i], 10000))
			harness_exit(2);
	}
	for (int i = 1; trouble() && i <= MACHINES; i++)
		write_other_entry(i, zones[i % 4]);
	/* The traffic starts 8 s after the machines do. */
	sleep_until(8000);
	for (int i = 0; i < REQUESTS; i++) {
		struct answer a;

		client_request(1 + i % MACHINES, "GET", "alpha.example",
		    "/alpha/1", "X-Api-Key: key-of-tenant-one-0001\r\n", NULL,
		    0, 5000, &a);
		statuses[a.status]++;
		sleep_ms(PAUSE_MS);
	}
	served = statuses[200];
	for (int s = 0; s < 600; s++) {
		if (statuses[s] > 0)
			record("status %d: %d", s, statuses[s]);
	}
	record("of %d requests %d were served; runs at instances: %d", REQUESTS,
	    served, run_count);
	if (served == 0)
		record("BROKEN Fault: no request is served");
	fprintf(stderr, "served %d of %d\n", served, REQUESTS);
	harness_exit(served == 0);
}
