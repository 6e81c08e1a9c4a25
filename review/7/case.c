/*
 * Case 7: a version of the configuration that gives a tenant its 65th key is
 * never in force: a key that the same version drops keeps working.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

#define MACHINES 4
#define CONFIG_APPLY_MS 2000
#define MANY_KEYS 65
#define FEWER_KEYS 64

static int
work(struct instance *i, const struct message *m, int fd)
{
	sleep_ms(20);
	return 200;
}

/* The first version has two keys of each tenant. */
static void
put_config(const char *version, const char *base, int keys_of_one, bool drop)
{
	char *text = NULL;
	size_t size;
	FILE *f = open_memstream(&text, &size);

	fprintf(f,
	    "{\"version\":\"%s\",\"routes\":{"
	    "\"r-a\":{\"host\":\"alpha.example\",\"path_prefix\":\"/alpha/\","
	    "\"kind\":\"idempotent\",\"timeout_ms\":1500,"
	    "\"target_latency_ms\":1500,\"priority\":0,\"service\":\"alpha\","
	    "\"max_attempts\":2,\"public\":false}},"
	    "\"services\":{\"alpha\":{\"health_check_path\":\"/health\","
	    "\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false}},"
	    "\"limits\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
	    "\"idle_timeout_ms\":15000},\"tenants\":{\"one\":{\"api_keys\":[",
	    version);
	for (int i = 0; i < keys_of_one; i++)
		fprintf(f, "%s\"onekeyonekeyone%05d\"", i > 0 ? "," : "", i);
	fprintf(f,
	    "],\"priority\":1,\"rate_per_s\":400,\"burst\":400},"
	    "\"two\":{\"api_keys\":[\"twokeytwokeytwo00000\"%s],"
	    "\"priority\":1,\"rate_per_s\":400,\"burst\":400}},"
	    "\"base_version\":\"%s\"}",
	    drop ? "" : ",\"twokeytwokeytwo00001\"", base);
	fclose(f);
	store_put("op/config", text);
	record("version %s acknowledged: %d keys of tenant one, key "
	       "twokeytwokeytwo00001 of tenant two %s, %zu bytes",
	    version, keys_of_one, drop ? "dropped" : "there", size);
	free(text);
}

/* Sends with the key from each machine; returns the answers of that status. */
static int
send_all(const char *key, int status)
{
	char header[64];
	int count = 0;

	snprintf(header, sizeof(header), "X-Api-Key: %s\r\n", key);
	for (int m = 1; m <= MACHINES; m++) {
		struct answer a;

		client_request(m, "GET", "alpha.example", "/alpha/1", header,
		    NULL, 0, 1500, &a);
		record("  key %s: %d", key, a.status);
		count += a.status == status;
	}
	return count;
}

int
main(void)
{
	static struct node n[MACHINES + 1];
	static const char *const zones[] = {
	    "sierra-cuenca", "costa-guayaquil", "sierra-quito", "costa-manta"};
	static const char *const regions[] = {
	    "sierra", "costa", "sierra", "costa"};
	char new_key[32];
	int keys = trouble() ? MANY_KEYS : FEWER_KEYS;
	int served_dropped = 0, refused_new = 0, sent = 0;

	if (!harness_init())
		return 2;
	store_start();
	put_config("00000007", "00000005", 2, false);
	for (int i = 1; i <= MACHINES; i++) {
		char id[32];

		snprintf(id, sizeof(id), "i-%d", i);
		instance_start(i, "alpha", zones[i % 4], id, 36, work);
		node_start(
		    &n[i], i, "alpha", zones[i % 4], regions[i % 4], 260);
	}
	for (int i = 1; i <= MACHINES; i++) {
		if (!node_wait_ready(&n[i], 10000))
			harness_exit(2);
	}
	/* Longer than stability_window_ms: all machines are in touch. */
	sleep_ms(4000);
	if (send_all("twokeytwokeytwo00001", 200) != MACHINES ||
	    send_all("onekeyonekeyone00000", 200) != MACHINES)
		harness_exit(2);
	put_config("0000000c", "00000007", keys, true);
	snprintf(new_key, sizeof(new_key), "onekeyonekeyone%05d", keys - 1);
	sleep_ms(CONFIG_APPLY_MS + 1000);
	for (int i = 0; i < 8; i++) {
		served_dropped += send_all("twokeytwokeytwo00001", 200);
		refused_new += send_all(new_key, 401);
		sent += MACHINES;
		sleep_ms(1000);
	}
	record("of %d requests each, sent over %d ms after the ack: %d ran with "
	       "the dropped key, %d with the new key got 401",
	    sent, CONFIG_APPLY_MS + 1000, served_dropped, refused_new);
	if (served_dropped > 0)
		record("BROKEN CONFIG: run with a dropped key");
	if (refused_new > 0)
		record("BROKEN CONFIG: refused with 401 though the key is "
		       "there");
	fprintf(stderr, "dropped key served %d, new key refused %d of %d\n",
	    served_dropped, refused_new, sent);
	harness_exit(served_dropped > 0 || refused_new > 0);
}
