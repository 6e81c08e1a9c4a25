/*
 * Tells the end of the upstream from that of one connection: when connections
 * break during a run, tries to open a new one.
 */
#ifndef IR_IO_UPSTREAM_CHECK_H
#define IR_IO_UPSTREAM_CHECK_H

#include <tevent.h>

#include "io/upstream/upstream_conn.h"

/*
 * Finishes the transfer, whose connection broke, once it is known whether the
 * upstream still accepts connections. reason is a constant string.
 */
void ir_upstream_check_finish(struct transfer *t, const char *reason);
/* The transfer is freed: no longer waits for the check. */
void ir_upstream_check_remove(struct transfer *t);
/* Closes the connection of a check that is going on. */
void ir_upstream_check_stop(struct ir_upstream *u);

#endif
