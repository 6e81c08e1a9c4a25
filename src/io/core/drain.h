/*
 * When a process that was told to stop may end. Its load is that of one host:
 * requests of its own callers, and attempts that other hosts sent to its gate.
 *
 * Times are microseconds of CLOCK_BOOTTIME. No function logs or allocates.
 */
#ifndef IR_IO_DRAIN_H
#define IR_IO_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

struct ir_drain {
	int64_t begin_us;	    /* the signal; 0: not stopping */
	int64_t leave_us;	    /* new calls are refused from then on */
	int64_t finish_us;	    /* calls that begin now must end by then */
	int64_t deadline_us;	    /* requests are broken off */
	int64_t end_us;		    /* the process ends by then */
	uint32_t not_ready_answers; /* to readiness checks, since the signal */
	int64_t idle_since_us;	    /* 0: there is work */
};

/* Unfinished work of the process. */
struct ir_drain_work {
	bool calls; /* calls or attempts in progress */
	/* Answers that callers have not taken yet, as they read slowly. */
	uint32_t unsent_answers;
};

/* Milliseconds from the signal, as in struct ir_settings. */
struct ir_drain_times {
	uint32_t leave_ms;
	uint32_t finish_ms;
	uint32_t drain_ms;
	uint32_t stop_ms;
};

void ir_drain_begin(
    struct ir_drain *d, int64_t begin_us, const struct ir_drain_times *times);
bool ir_drain_has_begun(const struct ir_drain *d);
/* Counts an answer to a readiness check. */
void ir_drain_note_not_ready(struct ir_drain *d);
/*
 * Whether all work has ended for some heartbeats, so that peers have learnt of
 * the stop, or the deadline has passed. To be called regularly.
 */
bool ir_drain_is_done(
    struct ir_drain *d, int64_t now, const struct ir_drain_work *work);

#endif
