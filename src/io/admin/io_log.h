/* Events logged by the I/O threads. */
#ifndef IR_IO_IO_LOG_H
#define IR_IO_IO_LOG_H

#include "log/log.h"

/*
 * Logs an event with the present time. fmt and its arguments give the fields,
 * as in printf(3); reason=REASON follows, with each blank of REASON replaced by
 * a hyphen, unless reason is NULL. Fields beyond 511 bytes are cut off.
 */
void ir_io_log_event(struct ir_log *log, enum ir_event event,
    const char *reason, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

#endif
