/* Chooses the entry of an upstream among those of its address. */
#include "host/entry_choice.h"

bool
ir_entry_is_live(const struct ir_host_entry *e, int64_t now)
{
	return now - e->written_us <= IR_ENTRY_SILENT_US;
}

static bool
same_port(const struct ir_host_entry *a, const struct ir_host_entry *b)
{
	return a->port == b->port || a->port == 0 || b->port == 0;
}

/*
 * Whether a describes a later process than b. A delayed heartbeat of an
 * upstream that has ended may create its entry anew, so that the time of the
 * upstream's start goes before the creation of the entry.
 */
static bool
is_later(const struct ir_host_entry *a, const struct ir_host_entry *b)
{
	if (a->upstream_started_ms != 0 && b->upstream_started_ms != 0 &&
	    a->upstream_started_ms != b->upstream_started_ms)
		return a->upstream_started_ms > b->upstream_started_ms;
	return a->created_revision > b->created_revision;
}

bool
ir_entry_precedes(const struct ir_host_entry *a, const struct ir_host_entry *b,
    bool used, int64_t now)
{
	bool a_live = ir_entry_is_live(a, now),
	     b_live = ir_entry_is_live(b, now);

	if (a->service_known != b->service_known)
		return a->service_known;
	if (a_live != b_live)
		return a_live;
	if (same_port(a, b))
		return is_later(a, b);
	if (a->usual_port != b->usual_port)
		return a->usual_port;
	return !used && a->created_revision < b->created_revision;
}

bool
ir_entry_is_neighbor(const struct ir_host_entry *removed,
    const struct ir_host_entry *other, int64_t now)
{
	return !same_port(removed, other) && ir_entry_is_live(removed, now);
}
