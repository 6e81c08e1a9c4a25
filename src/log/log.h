/*
 * The logger: one JSON object a line on standard error, with the event's
 * number and name, level, wall-clock time and fields. Repeats of one event
 * are limited to IR_LOG_BURST a second; what was left out is counted in the
 * next line of that event ("suppressed"). Safe from any thread.
 */
#ifndef IR_LOG_LOG_H
#define IR_LOG_LOG_H

#include <talloc.h>

#include "ibisrail/event.h"

#define IR_LOG_BURST 20

struct ir_log;

/* host names the process in each line; fd is written to. */
struct ir_log *ir_log_new(
    TALLOC_CTX *mem, int fd, const char *host, enum ir_level level);
/* Lines of a level above it are left out from now on. */
void ir_log_set_level(struct ir_log *l, enum ir_level level);
/* Without a logger (NULL) nothing is written. now: monotonic microseconds.
 * fields: "name=value name=value" or NULL. */
void ir_log_event(
    struct ir_log *l, int64_t now, enum ir_event event, const char *fields);

#endif
