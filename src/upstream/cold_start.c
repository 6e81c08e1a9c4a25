/* Decides whether the local upstream is cold. */
#include "upstream/cold_start.h"

#include <string.h>

#include "ibisrail/limits.h"

#define CHECK_INTERVAL_US (250 * IR_US_PER_MS)
/* A check without a result for this long is repeated. */
#define CHECK_LOST_US (2 * IR_US_PER_S)
/*
 * The host list may show what was true this long ago: entries are rewritten
 * every 1,500 ms, and a change is visible up to 800 ms later.
 */
#define LIST_LAG_US (2500 * IR_US_PER_MS)
/* Time for which an upstream without status check is taken for cold. */
#define ASSUMED_COLD_US (5 * IR_US_PER_S)
/* A longer time is confirmed by a check when this one is over. */
#define MAX_COLD_MS 60000
/* An upstream is silent if it answers no run for this long and this many. */
#define SILENCE_US IR_US_PER_S
#define SILENCE_RUN_TIMES 4
#define SILENCE_RUNS 3
/* Each silence without an answer since doubles the time to the next one. */
#define MAX_SILENCE_DOUBLINGS 5

void
ir_cold_start_init(struct ir_cold_start *c, int64_t now)
{
	memset(c, 0, sizeof(*c));
	c->event_us = now;
	c->state = IR_COLD_MAYBE;
}

void
ir_cold_start_suspect(struct ir_cold_start *c, int64_t now)
{
	c->event_us = now;
	c->state = IR_COLD_MAYBE;
}

void
ir_cold_start_configure(struct ir_cold_start *c, int64_t now,
    uint64_t rate_mt_per_s, bool can_check)
{
	/* Nothing was followed while there was no bound. */
	if (c->rate_mt_per_s == 0 && rate_mt_per_s != 0)
		ir_cold_start_suspect(c, now);
	c->rate_mt_per_s = rate_mt_per_s;
	c->can_check = can_check;
}

void
ir_cold_start_set_listed(struct ir_cold_start *c, int64_t now, bool cold)
{
	if (c->listed == cold)
		return;
	c->listed = cold;
	if (cold && c->state == IR_COLD_WARM)
		c->state = IR_COLD_MAYBE;
	/* The entry must have been written after the last event. */
	if (!cold && c->state == IR_COLD_MAYBE &&
	    now - c->event_us >= LIST_LAG_US)
		c->state = IR_COLD_WARM;
}

void
ir_cold_start_run_started(struct ir_cold_start *c, int64_t now)
{
	c->running++;
	c->unanswered++;
	if (c->unanswered_from_us == 0)
		c->unanswered_from_us = now;
}

static void
note_answer(struct ir_cold_start *c, int64_t now, int64_t started_us)
{
	c->unanswered = c->running;
	c->unanswered_from_us = c->running > 0 ? now : 0;
	c->silences = 0;
	if (started_us <= c->broken_us)
		c->broken_us = 0;
}

/* Whether all runs in progress at the first break broke too. */
static bool
all_broke(struct ir_cold_start *c, int64_t now, int64_t started_us,
    enum ir_cold_run_end end)
{
	if (c->broken_us == 0 && end == IR_COLD_RUN_BROKEN) {
		c->broken_us = now;
		c->older = c->running + 1;
	}
	if (c->broken_us == 0 || started_us > c->broken_us)
		return false;
	c->older--;
	if (c->older > 0)
		return false;
	c->broken_us = 0;
	return true;
}

void
ir_cold_start_run_ended(struct ir_cold_start *c, int64_t now,
    int64_t started_us, enum ir_cold_run_end end)
{
	if (c->running > 0)
		c->running--;
	if (end == IR_COLD_RUN_ANSWERED)
		note_answer(c, now, started_us);
	if (end == IR_COLD_RUN_REFUSED || all_broke(c, now, started_us, end))
		ir_cold_start_suspect(c, now);
}

static bool
is_silent(const struct ir_cold_start *c, int64_t now, int64_t expected_run_us)
{
	int64_t us = SILENCE_RUN_TIMES * expected_run_us;

	if (us < SILENCE_US)
		us = SILENCE_US;
	if (c->unanswered_from_us == 0 ||
	    (c->running == 0 && c->unanswered < SILENCE_RUNS))
		return false;
	return now - c->unanswered_from_us >= us << c->silences;
}

void
ir_cold_start_tick(
    struct ir_cold_start *c, int64_t now, int64_t expected_run_us)
{
	if (c->check_pending && now - c->check_sent_us >= CHECK_LOST_US)
		ir_cold_start_check_failed(c, now);
	if (c->state == IR_COLD_UNTIL && now >= c->until_us)
		c->state = IR_COLD_MAYBE;
	if (c->state == IR_COLD_MAYBE && !c->can_check && !c->listed &&
	    now - c->event_us >= ASSUMED_COLD_US)
		c->state = IR_COLD_WARM;
	if (c->state != IR_COLD_WARM || !is_silent(c, now, expected_run_us))
		return;
	c->unanswered_from_us = now;
	if (c->silences < MAX_SILENCE_DOUBLINGS)
		c->silences++;
	ir_cold_start_suspect(c, now);
}

bool
ir_cold_start_check_due(const struct ir_cold_start *c, int64_t now)
{
	if (c->rate_mt_per_s == 0 || !c->can_check || c->check_pending ||
	    c->state != IR_COLD_MAYBE)
		return false;
	return c->check_sent_us == 0 ||
	       now - c->check_sent_us >= CHECK_INTERVAL_US;
}

void
ir_cold_start_check_sent(struct ir_cold_start *c, int64_t now)
{
	c->check_pending = true;
	c->check_sent_us = now;
}

void
ir_cold_start_check_answered(
    struct ir_cold_start *c, int64_t now, int64_t remaining_ms, bool is_listed)
{
	c->check_pending = false;
	if (remaining_ms > MAX_COLD_MS)
		remaining_ms = MAX_COLD_MS;
	if (remaining_ms > 0) {
		c->until_us = now + remaining_ms * IR_US_PER_MS;
		c->state = IR_COLD_UNTIL;
		return;
	}
	/* An answer to a check that is older than the event may be of before.
	 */
	if (c->state != IR_COLD_MAYBE || c->check_sent_us < c->event_us)
		return;
	/* The listed upstream may be about to start in place of this one. */
	if (!is_listed && now - c->event_us < LIST_LAG_US)
		return;
	c->state = IR_COLD_WARM;
}

void
ir_cold_start_check_failed(struct ir_cold_start *c, int64_t now)
{
	c->check_pending = false;
}

bool
ir_cold_start_limits(const struct ir_cold_start *c)
{
	return c->rate_mt_per_s != 0 && c->state != IR_COLD_WARM;
}

enum ir_cold_state
ir_cold_start_state(const struct ir_cold_start *c)
{
	return c->rate_mt_per_s != 0 ? c->state : IR_COLD_WARM;
}

const char *
ir_cold_state_name(enum ir_cold_state s)
{
	static const char *const names[] = {
	    [IR_COLD_WARM] = "warm",
	    [IR_COLD_MAYBE] = "may-be-cold",
	    [IR_COLD_UNTIL] = "cold",
	};

	return names[s];
}
