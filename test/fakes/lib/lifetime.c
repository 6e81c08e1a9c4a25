/* Lifetime of a stand-in process. */
#include <pthread.h>
#include <signal.h>
#include <stddef.h>
#include <time.h>

#include "fakes/lib/lifetime.h"

static void
fill_end_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void
fake_block_signals(void)
{
	sigset_t set;

	fill_end_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void
fake_wait_for_signal(int64_t lifetime_s)
{
	struct timespec limit = {0};
	sigset_t set;

	if (lifetime_s < 1 || lifetime_s > FAKE_MAX_LIFETIME_S)
		lifetime_s = FAKE_MAX_LIFETIME_S;
	limit.tv_sec = lifetime_s;
	fill_end_signals(&set);
	sigtimedwait(&set, NULL, &limit);
}

bool
fake_signal_received(void)
{
	const struct timespec none = {0};
	sigset_t set;

	fill_end_signals(&set);
	return sigtimedwait(&set, NULL, &none) > 0;
}

int64_t
fake_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}
