/* The clock of the I/O threads. */
#include <time.h>

#include "ibisrail/limits.h"
#include "io/clock.h"

#define NS_PER_US 1000

int64_t
ir_clock_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return t.tv_sec * IR_US_PER_S + t.tv_nsec / NS_PER_US;
}
