/*
 * Status checks of the local upstream: GET on a connection of its own. One at a
 * time; the result goes to the core as IR_TO_CORE_UPSTREAM_CHECKED.
 */
#ifndef IR_IO_STATUS_CHECK_H
#define IR_IO_STATUS_CHECK_H

#include "io/upstream/upstream_conn.h"

/* Starts a check; one that is going on is ended without a result. */
void ir_status_check_start(struct ir_upstream *u, const char *path);

#endif
