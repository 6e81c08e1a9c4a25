/*
 * One-shot timers in a thread of their own. Callbacks run in that thread, with
 * no lock of this module held. There is no cancelling: a callback checks by the
 * id whether its object still exists.
 */
#ifndef FAKE_TIMERS_H
#define FAKE_TIMERS_H

#include <stdint.h>

struct fake_timers;

typedef void fake_timer_fn(void *ctx, uint64_t id);

/* Returns NULL if the thread cannot be started. */
struct fake_timers *fake_timers_start(void);
/* Adds a timer, from any thread. due_us is a time of fake_now_us(). */
void fake_timers_add(struct fake_timers *t, int64_t due_us, fake_timer_fn *fn,
    void *ctx, uint64_t id);
/* Stops the thread and drops pending timers. */
void fake_timers_stop(struct fake_timers *t);

#endif
