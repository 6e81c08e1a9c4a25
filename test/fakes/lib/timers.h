/*
 * Timers in a thread of their own. A callback runs once, without any lock of
 * this module held; it finds by id whether its object still exists.
 */
#ifndef FAKE_TIMERS_H
#define FAKE_TIMERS_H

#include <stdint.h>

struct fake_timers;

typedef void fake_timer_fn(void *ctx, uint64_t id);

struct fake_timers *fake_timers_start(void);
/* Any thread. due_us as by fake_now_us(). */
void fake_timers_add(struct fake_timers *t, int64_t due_us, fake_timer_fn *fn,
    void *ctx, uint64_t id);
/* Timers not due by now are dropped. */
void fake_timers_stop(struct fake_timers *t);

#endif
