/*
 * The daemon's threads: started together, stopped in order.
 *
 * All listening sockets are made before the first thread, so that a process
 * that cannot have them starts nothing.
 */
#ifndef IR_DAEMON_PROCESS_H
#define IR_DAEMON_PROCESS_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"

struct ir_process;

/*
 * NULL with the cause logged. Signals are to be blocked before. The file is
 * read again on SIGHUP and when it changes.
 */
struct ir_process *ir_process_start(TALLOC_CTX *mem,
    const struct ir_settings *settings, const char *settings_file,
    const struct ir_dialect *dialect);

/*
 * Serves until a signal: SIGTERM and SIGINT end it gracefully, SIGUSR1 writes
 * a state dump to standard error. signals: the set that is blocked.
 */
void ir_process_run(struct ir_process *p, int signal_fd);

/* Ends all threads, after ir_process_run(). */
void ir_process_stop(struct ir_process *p);

#endif
