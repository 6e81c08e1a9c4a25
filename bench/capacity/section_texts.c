/* Section texts that the simulated store publishes. */
#include <stdio.h>

#include "bench_node.h"
#include "contract/key.h"

void
bench_node_host_name(char *out, size_t bytes, uint32_t host)
{
	(void)snprintf(out, bytes, "host-%05u", host);
}

char *
bench_node_host_text(
    TALLOC_CTX *mem, const struct bench_node *b, uint32_t i, bool leaving)
{
	uint32_t zone = i / b->shape.services % b->shape.zones;
	bool wide = i >= b->shape.hosts;
	char service[32];

	if (wide)
		zone = 0;
	(void)snprintf(
	    service, sizeof(service), "service-%03u", i % b->shape.services);
	return talloc_asprintf(mem,
	    "{\"name\":\"host-%05u\",\"service\":\"%s\",\"region\":\"r%d\","
	    "\"zone\":\"r%d-z%u\",\"address\":\"10.%u.%u.%u\","
	    "\"peer_port\":7003,\"caller_port\":7001,\"state\":\"%s\"}",
	    i, wide ? "wide" : service, zone >= 4, zone >= 4, zone, i >> 16,
	    i >> 8 & 255, i & 255, leaving ? "leaving" : "live");
}

char *
bench_node_service_text(
    TALLOC_CTX *mem, const struct bench_node *b, const char *name)
{
	char *s = talloc_asprintf(mem,
	    "{\"generation\":%llu,\"name\":\"%s\",\"slots\":4096,\"routes\":[",
	    (unsigned long long)b->generation, name);

	for (uint32_t i = 0; i < b->shape.routes; i++)
		s = talloc_asprintf_append_buffer(s,
		    "%s{\"method\":\"GET\",\"path\":\"/route-%02u\","
		    "\"importance\":1,\"deadline_ms\":30000,"
		    "\"idempotent\":true,\"open\":%s,\"retries\":2}",
		    i > 0 ? "," : "", i, i == 0 ? "true" : "false");
	return talloc_strdup_append_buffer(s, "]}");
}

char *
bench_node_accounts_text(TALLOC_CTX *mem, const struct bench_node *b)
{
	char *s = talloc_asprintf(mem, "{\"generation\":%llu,\"accounts\":[",
	    (unsigned long long)b->generation);

	for (uint32_t i = 0; i < b->shape.accounts; i++) {
		char key[32], digest[IR_KEY_DIGEST_HEX + 1];

		(void)snprintf(key, sizeof(key), "key-%u", i);
		ir_key_digest(key, digest);
		s = talloc_asprintf_append_buffer(s,
		    "%s{\"name\":\"account-%04u\",\"rate_per_s\":1000000,"
		    "\"burst\":500000,\"weight\":1,\"key_digests\":[\"%s\"]}",
		    i > 0 ? "," : "", i, digest);
	}
	return talloc_strdup_append_buffer(s, "]}");
}
