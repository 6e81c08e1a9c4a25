/* The process's limit of file descriptors. */
#include <sys/resource.h>

#include "io/admin/admin.h"
#include "io/callers/callers.h"
#include "io/descriptors.h"
#include "io/peers/peers.h"

/* Not for connections: files (200 where sockets share the limit with them),
 * listeners, loops, wake-ups, standard streams, reads of the platform. */
#define OWN_DESCRIPTORS 264
#define MIN_CONNECTIONS 16
#define QUARTER 4

static uint32_t
at_most(uint64_t n, uint32_t most)
{
	if (n < MIN_CONNECTIONS)
		return MIN_CONNECTIONS;
	return n < most ? (uint32_t)n : most;
}

struct ir_descriptors
ir_descriptors_divide(uint64_t limit, uint32_t upstream_connections)
{
	uint64_t own = OWN_DESCRIPTORS + IR_MAX_ADMIN_CONNECTIONS;
	uint64_t left = limit > own ? limit - own : 0;
	struct ir_descriptors d;

	d.upstream = at_most(left / QUARTER, upstream_connections);
	d.peers = at_most(left / QUARTER, IR_MAX_PEER_CONNECTIONS);
	d.callers =
	    at_most(left - d.upstream - d.peers, IR_MAX_CALLER_CONNECTIONS);
	return d;
}

uint64_t
ir_descriptors_raise(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) != 0)
		return 0;
	if (r.rlim_cur != r.rlim_max) {
		rlim_t before = r.rlim_cur;

		r.rlim_cur = r.rlim_max;
		if (setrlimit(RLIMIT_NOFILE, &r) != 0)
			r.rlim_cur = before;
	}
	return r.rlim_cur == RLIM_INFINITY ? UINT64_MAX : r.rlim_cur;
}
