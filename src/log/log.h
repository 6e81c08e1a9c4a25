/*
 * The logger: one JSON object a line, with the event's number and name,
 * level, wall-clock time and fields. Repeats of one event are limited to
 * IR_LOG_MAX_LINES_PER_S a second, of a request's events to
 * IR_LOG_MAX_REQUEST_LINES_PER_S; what was left out is counted in the next line
 * of that event ("suppressed"). Safe from any thread.
 *
 * Once started, lines pass a bounded buffer to a thread of its own, so that a
 * reader that stalls costs lines and no caller's time; lines that did not fit
 * are counted in a line "log-dropped".
 */
#ifndef IR_LOG_LOG_H
#define IR_LOG_LOG_H

#include <talloc.h>

#include "ibisrail/event.h"

#define IR_LOG_MAX_LINES_PER_S 20
/* Over what one node serves at its usual load. */
#define IR_LOG_MAX_REQUEST_LINES_PER_S 100
/* Lines that wait for the reader, bytes: some seconds of them. */
#define IR_LOG_BUFFER_BYTES (256 * 1024)

struct ir_log;

/* host names the process in each line; fd is written to. */
struct ir_log *ir_log_new(
    TALLOC_CTX *mem, int fd, const char *host, enum ir_level level);
/*
 * Starts the writing thread; 0, or -1 when it cannot be had. Freeing the
 * logger ends it, and gives a reader that stalls a moment only.
 */
int ir_log_start(struct ir_log *l);
/* Lines of a level above it are left out from now on. */
void ir_log_set_level(struct ir_log *l, enum ir_level level);
/* Without a logger (NULL) nothing is written. now: monotonic microseconds.
 * fields: "name=value name=value" or NULL. */
void ir_log_event(
    struct ir_log *l, int64_t now, enum ir_event event, const char *fields);

#endif
