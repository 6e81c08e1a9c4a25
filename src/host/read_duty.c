/* Whether a host reads the store itself. */
#include "host/read_duty.h"
#include "ibisrail/limits.h"

/* Polls without an answer after which the other hosts count as silent. */
#define SILENT_POLLS 3
/* A reader that still wants it asks five times in this time. */
#define DEPUTY_HOLD_US (5 * IR_DEPUTY_POLL_US)
/* Between hosts of a zone whose confirmations are overdue. */
#define STAGGER_US IR_VIEW_POLL_US

bool
ir_host_reads_store(const struct ir_read_duty *d)
{
	if (d->is_reader || d->age_us == INT64_MAX)
		return true;
	if (d->store_is_down)
		return false;
	if (d->asked_to_read_us < DEPUTY_HOLD_US ||
	    d->unanswered_polls >= SILENT_POLLS)
		return true;
	/* Others get a read period to come up with this view. */
	if (d->peer_age_us == INT64_MAX)
		return d->age_us >= d->read_period_us;
	return d->peer_age_us - d->overdue_us >= (int64_t)d->rank * STAGGER_US;
}
