/*
 * The daemon's threads. They are started together and stopped in order.
 *
 * All listening sockets are opened before the first thread starts, so that a
 * process that cannot open them starts no work.
 */
#ifndef IR_DAEMON_PROCESS_H
#define IR_DAEMON_PROCESS_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"

struct ir_process;

/*
 * Starts all threads. Returns NULL with the cause logged. The signals handled
 * by ir_process_run() must be blocked before. settings_file is read again on
 * SIGHUP and when it changes; grace_s is then applied as by
 * ir_settings_set_grace().
 */
struct ir_process *ir_process_start(TALLOC_CTX *mem,
    const struct ir_settings *settings, const char *settings_file,
    double grace_s, const struct ir_dialect *dialect);

/*
 * Handles signals until the core is drained. SIGTERM and SIGINT start a
 * graceful shutdown, SIGHUP reads the settings again, SIGUSR1 writes a state
 * dump to standard error. signal_fd: a signalfd for these signals.
 */
void ir_process_run(struct ir_process *p, int signal_fd);

/* Stops all threads and frees p. To be called after ir_process_run(). */
void ir_process_stop(struct ir_process *p);

#endif
