/* Checks the private memory of nodes, as the kernel counts it. */
#include <inttypes.h>

#include "soak/soak.h"

#define CHECK_INTERVAL_US (100 * IR_US_PER_MS)
#define BYTES_PER_MB (UINT64_C(1024) * 1024)
#define LIMIT_BYTES (PR_MEMORY_MB * BYTES_PER_MB)

/* The pages of a sanitizer would count, so that the limit does not apply. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define LIMIT_APPLIES false
#else
#define LIMIT_APPLIES true
#endif

static void
check_node(struct soak *s, size_t i)
{
	struct host_state *t = &s->hosts[i];
	uint64_t bytes = pr_private_bytes(procs->hosts[i].node.pid);

	if (bytes > t->max_memory_bytes)
		t->max_memory_bytes = bytes;
	if (bytes > s->max_memory_bytes) {
		s->max_memory_bytes = bytes;
		s->max_memory_host = i;
	}
	if (LIMIT_APPLIES && bytes > LIMIT_BYTES)
		soak_note_failure(s,
		    "%s used %" PRIu64 " MB, above its limit of %u MB",
		    procs->hosts[i].name, bytes / BYTES_PER_MB, PR_MEMORY_MB);
}

void
soak_check_memory(struct soak *s)
{
	int64_t now = ir_clock_now();

	if (now < s->memory_check_us)
		return;
	s->memory_check_us = now + CHECK_INTERVAL_US;
	for (size_t i = 0; i < procs->host_count; i++) {
		if (procs->hosts[i].node.pid > 0)
			check_node(s, i);
	}
}
