/* State machine of the link to one peer. */
#include <string.h>

#include "ibisrail/limits.h"
#include "link/link.h"

#define MIN_BACKOFF_US (100 * IR_US_PER_MS)
#define MAX_BACKOFF_US (2 * IR_US_PER_S)
/*
 * Heartbeats are sent for this long after the last use: a load report is valid
 * as long (LOAD_VALID_US in zone/host_status.c).
 */
#define HEARTBEAT_USE_US IR_US_PER_S
#define IDLE_CLOSE_US (30 * IR_US_PER_S)
/* A longer interval between ticks shows that the process did not run. */
#define MAX_TICK_INTERVAL_US (IR_LINK_TIMEOUT_US / 2)

void
ir_link_init(struct ir_link *l)
{
	memset(l, 0, sizeof(*l));
}

static void
schedule_reconnect(struct ir_link *l, int64_t now)
{
	int64_t wait = MIN_BACKOFF_US;

	for (uint32_t i = 0; i < l->connect_failures && wait < MAX_BACKOFF_US;
	     i++)
		wait *= 2;
	if (wait > MAX_BACKOFF_US)
		wait = MAX_BACKOFF_US;
	l->connect_failures++;
	l->reconnect_us = now + wait;
}

/* A link that was up may be connected again at once, others after a backoff. */
static void
set_down(struct ir_link *l, int64_t now)
{
	if (l->state == IR_LINK_UP)
		l->reconnect_us = now;
	else
		schedule_reconnect(l, now);
	l->state = IR_LINK_DOWN;
	l->unanswered_us = 0;
}

enum ir_link_action
ir_link_use(struct ir_link *l, int64_t now)
{
	l->last_used_us = now;
	return ir_link_keep_open(l, now);
}

enum ir_link_action
ir_link_keep_open(struct ir_link *l, int64_t now)
{
	l->last_needed_us = now;
	if (l->state != IR_LINK_DOWN || now < l->reconnect_us)
		return IR_LINK_NOTHING;
	return IR_LINK_CONNECT;
}

void
ir_link_connect_started(struct ir_link *l, int64_t now, uint32_t conn)
{
	l->state = IR_LINK_CONNECTING;
	l->conn = conn;
	l->received_us = now;
	l->unanswered_us = now;
	l->last_tick_us = now;
	l->grace_until_us = now;
}

enum ir_link_action
ir_link_connected(struct ir_link *l, int64_t now)
{
	if (l->state != IR_LINK_CONNECTING)
		return IR_LINK_NOTHING;
	l->state = IR_LINK_GREETING;
	l->hello_sent_us = now;
	l->received_us = now;
	l->unanswered_us = now;
	return IR_LINK_SEND_HELLO;
}

bool
ir_link_hello_reply(struct ir_link *l, int64_t now, const char *expected,
    const char *host, bool accepted, uint64_t incarnation)
{
	if (l->state != IR_LINK_GREETING)
		return l->state == IR_LINK_UP;
	if (!accepted || strcmp(expected, host) != 0) {
		set_down(l, now);
		return false;
	}
	l->state = IR_LINK_UP;
	l->incarnation = incarnation;
	l->connect_failures = 0;
	l->round_trip_us = now - l->hello_sent_us;
	l->heartbeat_sent_us = now;
	ir_link_message_received(l, now);
	return true;
}

void
ir_link_message_sent(struct ir_link *l, int64_t now)
{
	if (l->unanswered_us == 0)
		l->unanswered_us = now;
}

void
ir_link_heartbeat_unsent(struct ir_link *l, int64_t now)
{
	if (l->unanswered_us == now)
		l->unanswered_us = 0;
	l->heartbeat_sent_us = 0;
	l->grace_until_us = now + IR_LINK_TIMEOUT_US;
}

void
ir_link_message_received(struct ir_link *l, int64_t now)
{
	l->received_us = now;
	l->unanswered_us = 0;
}

void
ir_link_bytes_moved(struct ir_link *l, int64_t now)
{
	l->moved_us = now;
}

void
ir_link_connection_closed(struct ir_link *l, int64_t now)
{
	if (l->state != IR_LINK_DOWN)
		set_down(l, now);
}

/*
 * After a pause of this process, messages that the peer sent meanwhile have
 * not been read yet: the link is not lost for another heartbeat period.
 */
static void
detect_pause(struct ir_link *l, int64_t now)
{
	if (now - l->last_tick_us > MAX_TICK_INTERVAL_US)
		l->grace_until_us = now + IR_HEARTBEAT_PERIOD_US;
	l->last_tick_us = now;
}

static int64_t
max_time(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static bool
is_silent(const struct ir_link *l, int64_t now)
{
	if (l->unanswered_us == 0 || now < l->grace_until_us)
		return false;
	return now - max_time(l->unanswered_us, l->moved_us) >=
	       IR_LINK_TIMEOUT_US;
}

static bool
is_heartbeat_due(const struct ir_link *l, int64_t now)
{
	int64_t last_us = max_time(l->received_us, l->heartbeat_sent_us);

	if (l->unanswered_us == 0 && now - l->last_used_us >= HEARTBEAT_USE_US)
		return false;
	return now - max_time(last_us, l->unanswered_us) >=
	       IR_HEARTBEAT_PERIOD_US;
}

enum ir_link_action
ir_link_tick(struct ir_link *l, int64_t now)
{
	detect_pause(l, now);
	if (l->state == IR_LINK_DOWN)
		return IR_LINK_NOTHING;
	if (is_silent(l, now)) {
		set_down(l, now);
		return IR_LINK_LOST;
	}
	if (l->state != IR_LINK_UP)
		return IR_LINK_NOTHING;
	if (l->unanswered_us == 0 && now - l->last_needed_us >= IDLE_CLOSE_US) {
		set_down(l, now);
		return IR_LINK_CLOSE_IDLE;
	}
	if (!is_heartbeat_due(l, now))
		return IR_LINK_NOTHING;
	l->heartbeat_sent_us = now;
	ir_link_message_sent(l, now);
	return IR_LINK_SEND_HEARTBEAT;
}
