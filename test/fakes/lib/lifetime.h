/*
 * The life of a stand-in: it ends on SIGTERM or SIGINT, and by itself after
 * a bounded time.
 */
#ifndef FAKE_LIFETIME_H
#define FAKE_LIFETIME_H

#include <stdbool.h>
#include <stdint.h>

#define FAKE_LIFETIME_S 300
#define FAKE_MAX_LIFETIME_S 3600

/* Before any thread is started. */
void fake_block_signals(void);
/* Returns at a signal, or after lifetime_s (cut to the bounds). */
void fake_wait_for_signal(int64_t lifetime_s);
/* Whether a signal came, for programs that do not wait. */
bool fake_signal_received(void);
/* Microseconds of the monotonic clock. */
int64_t fake_now_us(void);

#endif
