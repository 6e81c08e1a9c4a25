/*
 * Lifetime of a stand-in process: it ends on SIGTERM or SIGINT, and by itself
 * after a bounded time.
 */
#ifndef FAKE_LIFETIME_H
#define FAKE_LIFETIME_H

#include <stdbool.h>
#include <stdint.h>

#define FAKE_LIFETIME_S 300
#define FAKE_MAX_LIFETIME_S 3600

/* Blocks SIGTERM and SIGINT; to be called before any thread is started. */
void fake_block_signals(void);
/*
 * Waits for a signal, at most lifetime_s seconds; FAKE_MAX_LIFETIME_S if that
 * is out of range.
 */
void fake_wait_for_signal(int64_t lifetime_s);
/* Whether a signal is pending, for programs that do not wait. Consumes it. */
bool fake_signal_received(void);
/* Returns the time of the monotonic clock in microseconds. */
int64_t fake_now_us(void);

#endif
