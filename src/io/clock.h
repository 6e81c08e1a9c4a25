/*
 * The clock of the I/O threads. CLOCK_BOOTTIME also runs while the machine is
 * suspended, so that deadlines and leases expire during a suspend.
 */
#ifndef IR_IO_CLOCK_H
#define IR_IO_CLOCK_H

#include <stdint.h>

/* The current time in microseconds of CLOCK_BOOTTIME. */
int64_t ir_clock_now(void);

#endif
