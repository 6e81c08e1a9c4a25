/* The core's side of a channel, played by a test. */
#ifndef CORE_SIDE_H
#define CORE_SIDE_H

#include "io/message.h"

/* The next message to the core; waits without a limit. */
struct ir_to_core *core_side_receive(
    struct ir_wakeup *core, struct ir_channel *channel);

#endif
