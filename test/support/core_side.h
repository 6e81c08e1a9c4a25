/* The core's end of a channel, for tests without a core. */
#ifndef CORE_SIDE_H
#define CORE_SIDE_H

#include "io/message.h"

/* Returns the next message to the core; waits for it without a timeout. */
struct ir_to_core *core_side_receive(
    struct ir_wakeup *core, struct ir_channel *channel);

#endif
