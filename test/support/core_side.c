/* The core's end of a channel, for tests without a core. */
#include <poll.h>

#include "support/core_side.h"

struct ir_to_core *
core_side_receive(struct ir_wakeup *core, struct ir_channel *channel)
{
	struct pollfd p = {.fd = ir_wakeup_fd(core), .events = POLLIN};
	struct ir_to_core *m;

	while ((m = ir_ring_pop(channel->to_core)) == NULL) {
		ir_wakeup_arm(core);
		if (ir_ring_empty(channel->to_core))
			poll(&p, 1, -1);
		ir_wakeup_disarm(core);
	}
	return m;
}
