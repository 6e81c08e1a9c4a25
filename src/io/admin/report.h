/* Log lines of the I/O threads. */
#ifndef IR_IO_REPORT_H
#define IR_IO_REPORT_H

#include "log/log.h"

/*
 * One event now: fields in printf's way, then reason=TEXT with its blanks
 * made hyphens. reason may be NULL.
 */
void ir_report(struct ir_log *log, enum ir_event event, const char *reason,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
