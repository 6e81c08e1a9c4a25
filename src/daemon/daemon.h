/* The daemon as a program, for one dialect. */
#ifndef IR_DAEMON_DAEMON_H
#define IR_DAEMON_DAEMON_H

#include "ibisrail/dialect.h"

/* The main function of a daemon with this dialect. Returns the exit status. */
int ir_daemon_main(int argc, char **argv, const struct ir_dialect *dialect);

#endif
