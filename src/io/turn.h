/* Turns of a tevent loop whose thread also takes a ring. */
#ifndef IR_IO_TURN_H
#define IR_IO_TURN_H

#include <tevent.h>

#include "io/ring.h"

/* The ring's wake-up as an event of the loop; false without memory. */
bool ir_turn_watch(
    struct tevent_context *loop, TALLOC_CTX *mem, const struct ir_wake *wake);
/* Waits for an event, or for a message in the ring. */
void ir_turn(
    struct tevent_context *loop, struct ir_wake *wake, struct ir_ring *ring);
/* The present turn ends after so long at the latest; under a second. */
void ir_turn_ends_after(
    struct tevent_context *loop, TALLOC_CTX *mem, uint32_t us);

#endif
