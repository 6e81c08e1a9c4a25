/* The load that this node reports to peers. */
#include "core/internal.h"

struct ir_load
node_load(struct ir_node *n, int64_t now, const char *account)
{
	const struct ir_host *self = node_self(n);
	struct ir_load l = ir_gate_load(n->gate, now, account);

	l.leaving = n->stopping || (self != NULL && self->leaving) ||
		    local_upstream_is_leaving(n, now);
	if (ir_memory_is_short(n->settings.memory) || evacuation_is_here(n)) {
		l.shed_level = UINT32_MAX;
		l.account_shed_level = UINT32_MAX;
	}
	return l;
}
