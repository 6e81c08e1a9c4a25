/* One-shot timers in a thread of their own. */
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <talloc.h>
#include <time.h>
#include <utlist.h>

#include "fakes/lib/lifetime.h"
#include "fakes/lib/timers.h"

struct timer {
	int64_t due_us;
	fake_timer_fn *fn;
	void *ctx;
	uint64_t id;
	struct timer *prev;
	struct timer *next;
};

struct fake_timers {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	bool stop;
	struct timer *list; /* by due time */
};

static int
by_due(const struct timer *a, const struct timer *b)
{
	return (a->due_us > b->due_us) - (a->due_us < b->due_us);
}

/* Waits, with the lock held, until a timer is due or the list changes. */
static void
wait_for_first(struct fake_timers *t)
{
	struct timespec ts;

	if (t->list == NULL) {
		pthread_cond_wait(&t->changed, &t->lock);
		return;
	}
	ts.tv_sec = t->list->due_us / 1000000;
	ts.tv_nsec = t->list->due_us % 1000000 * 1000;
	pthread_cond_timedwait(&t->changed, &t->lock, &ts);
}

static void *
run(void *arg)
{
	struct fake_timers *t = arg;
	struct timer *first;

	pthread_mutex_lock(&t->lock);
	while (!t->stop) {
		first = t->list;
		if (first == NULL || first->due_us > fake_now_us()) {
			wait_for_first(t);
			continue;
		}
		DL_DELETE(t->list, first);
		pthread_mutex_unlock(&t->lock);
		first->fn(first->ctx, first->id);
		talloc_free(first);
		pthread_mutex_lock(&t->lock);
	}
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

struct fake_timers *
fake_timers_start(void)
{
	struct fake_timers *t = talloc_zero(NULL, struct fake_timers);
	pthread_condattr_t attr;

	pthread_mutex_init(&t->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&t->changed, &attr);
	pthread_condattr_destroy(&attr);
	if (pthread_create(&t->thread, NULL, run, t) != 0) {
		talloc_free(t);
		return NULL;
	}
	return t;
}

void
fake_timers_add(struct fake_timers *t, int64_t due_us, fake_timer_fn *fn,
    void *ctx, uint64_t id)
{
	struct timer *n = talloc_zero(NULL, struct timer);

	n->due_us = due_us;
	n->fn = fn;
	n->ctx = ctx;
	n->id = id;
	pthread_mutex_lock(&t->lock);
	DL_INSERT_INORDER(t->list, n, by_due);
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

void
fake_timers_stop(struct fake_timers *t)
{
	struct timer *n, *tmp;

	pthread_mutex_lock(&t->lock);
	t->stop = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
	DL_FOREACH_SAFE (t->list, n, tmp) {
		DL_DELETE(t->list, n);
		talloc_free(n);
	}
	pthread_cond_destroy(&t->changed);
	pthread_mutex_destroy(&t->lock);
	talloc_free(t);
}
