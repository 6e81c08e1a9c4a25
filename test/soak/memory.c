/* The nodes' own pages, as the system counts them. */
#include <inttypes.h>

#include "soak/soak.h"

#define LOOK_US (100 * IR_US_PER_MS)
#define BYTES_PER_MB (UINT64_C(1024) * 1024)
#define LIMIT_BYTES (PR_MEMORY_MB * BYTES_PER_MB)

/* A sanitizer's own pages count too. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define LIMIT_IS_PROMISED false
#else
#define LIMIT_IS_PROMISED true
#endif

static void
watch(struct soak *s, size_t i)
{
	struct trouble *t = &s->hosts[i];
	uint64_t bytes = pr_private_bytes(procs->hosts[i].node.pid);

	if (bytes > t->largest_bytes)
		t->largest_bytes = bytes;
	if (bytes > s->largest_bytes) {
		s->largest_bytes = bytes;
		s->largest_host = i;
	}
	if (LIMIT_IS_PROMISED && bytes > LIMIT_BYTES)
		soak_note_broken(s, "%s held %" PRIu64 " MB of its %u MB",
		    procs->hosts[i].name, bytes / BYTES_PER_MB, PR_MEMORY_MB);
}

void
soak_watch_memory(struct soak *s)
{
	int64_t now = ir_clock_now();

	if (now < s->memory_due_us)
		return;
	s->memory_due_us = now + LOOK_US;
	for (size_t i = 0; i < procs->host_count; i++) {
		if (procs->hosts[i].node.pid > 0)
			watch(s, i);
	}
}
