/* The limit of a stop. */
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <unistd.h>

#include "daemon/stop_limit.h"
#include "ibisrail/limits.h"
#include "io/clock.h"

/* poll() does not count the time in which the machine is suspended. */
#define MAX_WAIT_US (250 * IR_US_PER_MS)

static int64_t end_us;

static void *
run(void *ctx)
{
	int64_t left_us;

	while ((left_us = end_us - ir_clock_now()) > 0) {
		if (left_us > MAX_WAIT_US)
			left_us = MAX_WAIT_US;
		poll(NULL, 0, (int)(left_us / IR_US_PER_MS) + 1);
	}
	_exit(EXIT_SUCCESS);
}

bool
ir_stop_limit_start(int64_t at_us)
{
	pthread_t thread;

	end_us = at_us;
	if (pthread_create(&thread, NULL, run, NULL) != 0)
		return false;
	pthread_detach(thread);
	return true;
}
