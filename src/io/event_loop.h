/* Helpers for a tevent loop whose thread also consumes a ring. */
#ifndef IR_IO_EVENT_LOOP_H
#define IR_IO_EVENT_LOOP_H

#include <tevent.h>

#include "io/ring.h"

/* Lets a signal of the wakeup end a wait of the loop; false if out of memory.
 */
bool ir_event_loop_add_wakeup(struct tevent_context *loop, TALLOC_CTX *mem,
    const struct ir_wakeup *wakeup);
/*
 * Runs one iteration of the loop. It ends after the first event, or at once if
 * the ring has messages, which the caller then pops.
 */
void ir_event_loop_run_once(struct tevent_context *loop,
    struct ir_wakeup *wakeup, struct ir_ring *ring);
/* Limits the wait of the next iteration to us, which is below one second. */
void ir_event_loop_limit_wait(
    struct tevent_context *loop, TALLOC_CTX *mem, uint32_t us);

#endif
