/*
 * The logger. Writes one JSON object per line, with number, name and level of
 * the event, wall-clock time and fields. Each event is limited to
 * IR_LOG_MAX_LINES_PER_S, an event of requests (400 to 499) to
 * IR_LOG_MAX_REQUEST_LINES_PER_S. The number of suppressed lines is in the
 * field "suppressed" of the next line of that event. Thread-safe.
 *
 * After ir_log_start(), lines go through a bounded buffer to a writer thread,
 * so that a stalled reader does not block callers. Lines that do not fit are
 * dropped and counted by the event "log-dropped".
 */
#ifndef IR_LOG_LOG_H
#define IR_LOG_LOG_H

#include <talloc.h>

#include "ibisrail/event.h"

#define IR_LOG_MAX_LINES_PER_S 20
/* Above the request rate of one node at its usual load. */
#define IR_LOG_MAX_REQUEST_LINES_PER_S 100
/* Size of the buffer between callers and the writer: some seconds of lines. */
#define IR_LOG_BUFFER_BYTES (256 * 1024)

struct ir_log;

/* Writes to fd. host identifies the process in each line. NULL on failure. */
struct ir_log *ir_log_new(
    TALLOC_CTX *mem, int fd, const char *host, enum ir_level level);
/*
 * Starts the writer thread. Returns 0, or -1 on failure. Freeing the logger
 * stops the thread, which gives up on a stalled reader after a short time.
 */
int ir_log_start(struct ir_log *l);
/* From now on, drops events less severe than level. */
void ir_log_set_level(struct ir_log *l, enum ir_level level);
/*
 * Logs an event. Does nothing if l is NULL. now: monotonic microseconds.
 * fields: "name=value name=value" or NULL.
 */
void ir_log_event(
    struct ir_log *l, int64_t now, enum ir_event event, const char *fields);

#endif
