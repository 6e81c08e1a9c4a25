/*
 * The limit of a stop: ends the process at a fixed time, whatever its threads
 * wait for then.
 */
#ifndef IR_DAEMON_STOP_LIMIT_H
#define IR_DAEMON_STOP_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Ends the process with _exit(EXIT_SUCCESS) at at_us, as of ir_clock_now(),
 * unless it has ended before. Nothing is flushed or freed. Returns false if no
 * thread could be started.
 */
bool ir_stop_limit_start(int64_t at_us);

#endif
