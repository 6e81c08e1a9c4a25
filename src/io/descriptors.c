/* The process's limit of file descriptors. */
#include <sys/resource.h>

#include "io/admin/admin.h"
#include "io/callers/callers.h"
#include "io/descriptors.h"
#include "io/peers/peers.h"

/*
 * Reserved for everything but connections: files (200 where files and sockets
 * share the limit), listeners, event loops, eventfds, standard streams and the
 * connections to the platform's store.
 */
#define RESERVED_DESCRIPTORS 264
#define MIN_CONNECTIONS 16
#define QUARTER 4

static uint32_t
clamp(uint64_t n, uint32_t max)
{
	if (n < MIN_CONNECTIONS)
		return MIN_CONNECTIONS;
	return n < max ? (uint32_t)n : max;
}

struct ir_descriptor_limits
ir_descriptor_limits_divide(uint64_t limit, uint32_t upstream_connections)
{
	uint64_t reserved = RESERVED_DESCRIPTORS + IR_MAX_ADMIN_CONNECTIONS;
	uint64_t available = limit > reserved ? limit - reserved : 0;
	struct ir_descriptor_limits d;

	d.upstream = clamp(available / QUARTER, upstream_connections);
	d.peers = clamp(available / QUARTER, IR_MAX_PEER_CONNECTIONS);
	d.callers =
	    clamp(available - d.upstream - d.peers, IR_MAX_CALLER_CONNECTIONS);
	return d;
}

uint64_t
ir_descriptor_limit_raise(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) != 0)
		return 0;
	if (r.rlim_cur != r.rlim_max) {
		rlim_t soft = r.rlim_cur;

		r.rlim_cur = r.rlim_max;
		if (setrlimit(RLIMIT_NOFILE, &r) != 0)
			r.rlim_cur = soft;
	}
	return r.rlim_cur == RLIM_INFINITY ? UINT64_MAX : r.rlim_cur;
}
