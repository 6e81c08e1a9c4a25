/* The end of a process that was told to stop. */
#include "io/core/drain.h"
#include "ibisrail/limits.h"

/*
 * A stopping node runs on for some heartbeats after it last had work, so that
 * peers learn that it is leaving, and requests that they sent before that are
 * refused and not run.
 */
#define LINGER_US (3 * IR_HEARTBEAT_PERIOD_US)
/* Number of "not ready" answers after which callers send nothing more. */
#define ENOUGH_NOT_READY_ANSWERS 2

void
ir_drain_begin(
    struct ir_drain *d, int64_t begin_us, const struct ir_drain_times *times)
{
	d->begin_us = begin_us;
	d->leave_us = begin_us + times->leave_ms * IR_US_PER_MS;
	d->finish_us = begin_us + times->finish_ms * IR_US_PER_MS;
	d->deadline_us = begin_us + times->drain_ms * IR_US_PER_MS;
	d->end_us = begin_us + times->stop_ms * IR_US_PER_MS;
}

bool
ir_drain_has_begun(const struct ir_drain *d)
{
	return d->begin_us != 0;
}

void
ir_drain_note_not_ready(struct ir_drain *d)
{
	d->not_ready_answers++;
}

bool
ir_drain_is_done(
    struct ir_drain *d, int64_t now, const struct ir_drain_work *work)
{
	if (now >= d->deadline_us)
		return true;
	/* Callers not yet informed of the stop may still send calls. */
	if (now < d->leave_us &&
	    d->not_ready_answers < ENOUGH_NOT_READY_ANSWERS)
		return false;
	if (work->calls || work->unsent_answers != 0) {
		d->idle_since_us = 0;
		return false;
	}
	if (d->idle_since_us == 0)
		d->idle_since_us = now;
	return now - d->idle_since_us >= LINGER_US;
}
