/*
 * Blocked connections: the socket's send buffer is full because the caller
 * does not read its answer fast enough.
 */
#include <sys/ioctl.h>

#include <linux/sockios.h>
#include <utlist.h>

#include "io/admin/io_log.h"
#include "io/callers/caller_conn.h"

/* A blocked connection without progress for this time is closed. */
#define BLOCKED_TIMEOUT_US (10 * IR_US_PER_S)
/* Shorter timeout, used while the memory of callers is over its bound. */
#define BLOCKED_SHORT_TIMEOUT_US IR_US_PER_S

/*
 * A blocked connection without progress for this time counts as stalled. A
 * shorter gap may be between two reads of the caller.
 */
#define STALLED_US (500 * IR_US_PER_MS)
#define QUEUE_UNKNOWN (-1)

/* Bytes in the socket's send queue that the caller has not acknowledged. */
static int
send_queue_bytes(const struct caller_conn *c)
{
	int bytes;

	if (ioctl(c->fd, SIOCOUTQ, &bytes) != 0)
		return QUEUE_UNKNOWN;
	return bytes;
}

static void
add_to_list(struct caller_conn *c, int64_t now)
{
	c->blocked = true;
	c->last_drain_us = now;
	c->send_queue_bytes = send_queue_bytes(c);
	DL_APPEND2(
	    c->listener->callers->blocked, c, blocked_prev, blocked_next);
}

void
ir_caller_blocked_remove(struct caller_conn *c)
{
	if (!c->blocked)
		return;
	c->blocked = false;
	c->has_drained = false;
	DL_DELETE2(
	    c->listener->callers->blocked, c, blocked_prev, blocked_next);
}

void
ir_caller_blocked_add(struct caller_conn *c, bool drained, int64_t now)
{
	bool draining = c->blocked && drained;

	if (c->blocked && !drained)
		return;
	ir_caller_blocked_remove(c);
	add_to_list(c, now);
	c->has_drained = draining;
}

/*
 * Whether the send queue became shorter. The socket does not become writable
 * after small reads of the caller.
 */
static bool
send_queue_shrank(const struct caller_conn *c)
{
	int bytes = send_queue_bytes(c);

	/* SIOCOUTQ unsupported: only successful writes count as progress. */
	return bytes != QUEUE_UNKNOWN && bytes < c->send_queue_bytes;
}

static void
close_for(struct caller_conn *c, const char *reason)
{
	struct ir_log *log = c->listener->callers->channel->log;

	ir_io_log_event(log, IR_EVENT_REQUEST_BAD, reason, "error=%s",
	    ir_error_info(IR_E_ANSWER_DROPPED)->name);
	ir_caller_conn_cut(c, reason);
}

void
ir_callers_close_blocked(struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c;

	while ((c = callers->blocked) != NULL) {
		bool fits = ir_callers_have_memory(callers, 0);

		if (now - c->last_drain_us <=
		    (fits ? BLOCKED_TIMEOUT_US : BLOCKED_SHORT_TIMEOUT_US))
			return;
		if (send_queue_shrank(c))
			ir_caller_blocked_add(c, true, now);
		else
			close_for(c, fits ? "unread" : "unread-memory");
	}
}

/* Moves connections that made progress to the end of the list. */
static void
note_progress(struct ir_callers *callers, int64_t now)
{
	const struct caller_conn *last;
	struct caller_conn *c, *next;

	if (callers->blocked == NULL)
		return;
	last = callers->blocked->blocked_prev;
	DL_FOREACH_SAFE2(callers->blocked, c, next, blocked_next)
	{
		bool is_last = c == last;

		if (send_queue_shrank(c))
			ir_caller_blocked_add(c, true, now);
		if (is_last)
			break;
	}
}

/* Order in which blocked connections are evicted. */
enum rank {
	RANK_STALLED,
	RANK_NEW, /* blocked a short time ago: unknown whether it reads */
	RANK_DRAINING
};

static enum rank
rank(const struct caller_conn *c, int64_t now)
{
	if (now - c->last_drain_us >= STALLED_US)
		return RANK_STALLED;
	return c->has_drained ? RANK_DRAINING : RANK_NEW;
}

static size_t
unsent_bytes(const struct caller_conn *c)
{
	return c->total_bytes - c->output_sent_bytes;
}

static struct caller_conn *
first_to_evict(const struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c, *first = callers->blocked;

	DL_FOREACH2(callers->blocked, c, blocked_next)
	{
		enum rank r = rank(c, now), lowest = rank(first, now);

		if (r < lowest ||
		    (r == lowest && unsent_bytes(c) > unsent_bytes(first)))
			first = c;
	}
	return first;
}

static struct caller_conn *
largest(const struct ir_callers *callers)
{
	struct caller_conn *c, *largest_conn = callers->conns;

	DL_FOREACH (callers->conns, c) {
		if (c->total_bytes > largest_conn->total_bytes)
			largest_conn = c;
	}
	return largest_conn;
}

void
ir_callers_evict(struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c;

	note_progress(callers, now);
	while (!ir_callers_have_memory(callers, 0)) {
		c = first_to_evict(callers, now);
		/* None blocked: answers wait for an earlier request. */
		if (c == NULL)
			c = largest(callers);
		if (c == NULL)
			return;
		close_for(c, "unread-memory");
	}
}
