/* The retry quota of a request and the retry budget of a service. */
#include "contract/retry.h"
#include "ibisrail/limits.h"

/* Counts decay by a hundredth each step: their window is about 10 s. */
#define DECAY_STEP_US (100 * IR_US_PER_MS)
#define DECAY_FACTOR 0.99
/* After more steps than this the counts are set to 0. */
#define DECAY_MAX_STEPS 2000

#define FIRST_ATTEMPTS_PER_RETRY 10
/* Retries in the window that a service with few requests may have. */
#define MIN_RETRIES 3

bool
ir_retry_quota_take(struct ir_retry_quota *q)
{
	if (q->tokens == 0)
		return false;
	q->tokens--;
	return true;
}

uint32_t
ir_retry_quota_split(struct ir_retry_quota *q)
{
	uint32_t part = q->tokens / 2 + q->tokens % 2;

	q->tokens -= part;
	return part;
}

void
ir_retry_quota_return(
    struct ir_retry_quota *q, uint32_t sent, uint32_t returned)
{
	q->tokens += returned < sent ? returned : sent;
}

static void
decay(struct ir_retry_budget *b, int64_t now)
{
	int64_t steps = (now - b->decayed_us) / DECAY_STEP_US;

	if (steps <= 0)
		return;
	b->decayed_us += steps * DECAY_STEP_US;
	if (steps > DECAY_MAX_STEPS) {
		b->first_attempts = 0;
		b->retries = 0;
		return;
	}
	for (int64_t i = 0; i < steps; i++) {
		b->first_attempts *= DECAY_FACTOR;
		b->retries *= DECAY_FACTOR;
	}
}

void
ir_retry_budget_add_first_attempt(struct ir_retry_budget *b, int64_t now)
{
	decay(b, now);
	b->first_attempts += 1;
}

bool
ir_retry_budget_take(struct ir_retry_budget *b, int64_t now)
{
	double allowed;

	decay(b, now);
	allowed = b->first_attempts / FIRST_ATTEMPTS_PER_RETRY;
	if (allowed < MIN_RETRIES)
		allowed = MIN_RETRIES;
	if (b->retries + 1 > allowed)
		return false;
	b->retries += 1;
	return true;
}
