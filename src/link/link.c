/* State machine of a link to one peer. */
#include <string.h>

#include "ibisrail/limits.h"
#include "link/link.h"

#define RETRY_MIN_US (100 * IR_US_PER_MS)
#define RETRY_MAX_US (2 * IR_US_PER_S)
/* As long as a report of load counts: see zone/seen.c. */
#define IN_USE_US IR_US_PER_S
#define IDLE_US (30 * IR_US_PER_S)
#define TICK_LATE_US (IR_LINK_TIMEOUT_US / 2)

void
ir_link_init(struct ir_link *l)
{
	memset(l, 0, sizeof(*l));
}

static void
back_off(struct ir_link *l, int64_t now)
{
	int64_t wait = RETRY_MIN_US;

	for (uint32_t i = 0; i < l->failures && wait < RETRY_MAX_US; i++)
		wait *= 2;
	if (wait > RETRY_MAX_US)
		wait = RETRY_MAX_US;
	l->failures++;
	l->retry_us = now + wait;
}

/* A connection that was up is made again at once, others after a while. */
static void
go_down(struct ir_link *l, int64_t now)
{
	if (l->state == IR_LINK_UP)
		l->retry_us = now;
	else
		back_off(l, now);
	l->state = IR_LINK_DOWN;
	l->asked_us = 0;
}

enum ir_link_action
ir_link_want(struct ir_link *l, int64_t now)
{
	l->used_us = now;
	return ir_link_keep(l, now);
}

enum ir_link_action
ir_link_keep(struct ir_link *l, int64_t now)
{
	l->kept_us = now;
	if (l->state != IR_LINK_DOWN || now < l->retry_us)
		return IR_LINK_NOTHING;
	return IR_LINK_CONNECT;
}

void
ir_link_connecting(struct ir_link *l, int64_t now, uint32_t conn)
{
	l->state = IR_LINK_CONNECTING;
	l->conn = conn;
	l->heard_us = now;
	l->asked_us = now;
	l->tick_us = now;
	l->grace_us = now;
}

enum ir_link_action
ir_link_connected(struct ir_link *l, int64_t now)
{
	if (l->state != IR_LINK_CONNECTING)
		return IR_LINK_NOTHING;
	l->state = IR_LINK_GREETING;
	l->heard_us = now;
	l->asked_us = now;
	return IR_LINK_GREET;
}

bool
ir_link_greeted(struct ir_link *l, int64_t now, const char *expected,
    const char *host, bool accepted, uint64_t incarnation)
{
	if (l->state != IR_LINK_GREETING)
		return l->state == IR_LINK_UP;
	if (!accepted || strcmp(expected, host) != 0) {
		go_down(l, now);
		return false;
	}
	l->state = IR_LINK_UP;
	l->incarnation = incarnation;
	l->failures = 0;
	l->heartbeat_us = now;
	ir_link_heard(l, now);
	return true;
}

void
ir_link_sent(struct ir_link *l, int64_t now)
{
	if (l->asked_us == 0)
		l->asked_us = now;
}

void
ir_link_heard(struct ir_link *l, int64_t now)
{
	l->heard_us = now;
	l->asked_us = 0;
}

void
ir_link_closed(struct ir_link *l, int64_t now)
{
	if (l->state != IR_LINK_DOWN)
		go_down(l, now);
}

/*
 * After a pause of this process, what the peer sent meanwhile has not been
 * read yet: it gets another heartbeat period to be heard.
 */
static void
note_tick(struct ir_link *l, int64_t now)
{
	if (now - l->tick_us > TICK_LATE_US)
		l->grace_us = now + IR_HEARTBEAT_PERIOD_US;
	l->tick_us = now;
}

static bool
is_silent(const struct ir_link *l, int64_t now)
{
	if (l->asked_us == 0 || now < l->grace_us)
		return false;
	return now - l->asked_us >= IR_LINK_TIMEOUT_US;
}

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static bool
heartbeat_is_due(const struct ir_link *l, int64_t now)
{
	int64_t last_us = later(l->heard_us, l->heartbeat_us);

	if (l->asked_us == 0 && now - l->used_us >= IN_USE_US)
		return false;
	return now - later(last_us, l->asked_us) >= IR_HEARTBEAT_PERIOD_US;
}

enum ir_link_action
ir_link_tick(struct ir_link *l, int64_t now)
{
	note_tick(l, now);
	if (l->state == IR_LINK_DOWN)
		return IR_LINK_NOTHING;
	if (is_silent(l, now)) {
		go_down(l, now);
		return IR_LINK_LOST;
	}
	if (l->state != IR_LINK_UP)
		return IR_LINK_NOTHING;
	if (l->asked_us == 0 && now - l->kept_us >= IDLE_US) {
		go_down(l, now);
		return IR_LINK_IDLE;
	}
	if (!heartbeat_is_due(l, now))
		return IR_LINK_NOTHING;
	l->heartbeat_us = now;
	ir_link_sent(l, now);
	return IR_LINK_HEARTBEAT;
}
