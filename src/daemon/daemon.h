/* The daemon as a program, for a dialect. */
#ifndef IR_DAEMON_DAEMON_H
#define IR_DAEMON_DAEMON_H

#include "ibisrail/dialect.h"

/* main() of a daemon that speaks this dialect. */
int ir_daemon_main(int argc, char **argv, const struct ir_dialect *dialect);

#endif
