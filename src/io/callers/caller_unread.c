/* Callers that do not take their answers. */
#include <sys/ioctl.h>

#include <linux/sockios.h>
#include <utlist.h>

#include "io/admin/report.h"
#include "io/callers/caller_conn.h"

/* A caller that takes nothing of an answer for so long is gone. */
#define UNREAD_TIMEOUT_US (10 * IR_US_PER_S)
/* The same while more is held than the bound. */
#define STALL_US IR_US_PER_S

/* Taking nothing for so long is more than a pause between two reads. */
#define PAUSE_US (500 * IR_US_PER_MS)
#define QUEUED_UNKNOWN (-1)

/* Bytes that were sent and that the caller's system has not taken. */
static int
queued(const struct caller_conn *c)
{
	int bytes;

	if (ioctl(c->fd, SIOCOUTQ, &bytes) != 0)
		return QUEUED_UNKNOWN;
	return bytes;
}

static void
append(struct caller_conn *c, int64_t now)
{
	c->unread = true;
	c->taken_us = now;
	c->queued_bytes = queued(c);
	DL_APPEND2(c->listener->callers->unread, c, unread_prev, unread_next);
}

void
ir_caller_unread_remove(struct caller_conn *c)
{
	if (!c->unread)
		return;
	c->unread = false;
	c->reads = false;
	DL_DELETE2(c->listener->callers->unread, c, unread_prev, unread_next);
}

void
ir_caller_unread_add(struct caller_conn *c, bool taken, int64_t now)
{
	bool reads = c->unread && taken;

	if (c->unread && !taken)
		return;
	ir_caller_unread_remove(c);
	append(c, now);
	c->reads = reads;
}

/* Small reads of a caller do not make its socket writeable. */
static bool
has_taken(const struct caller_conn *c)
{
	int bytes = queued(c);

	/* Not served: only what the socket accepted counts as taken. */
	return bytes != QUEUED_UNKNOWN && bytes < c->queued_bytes;
}

static void
end(struct caller_conn *c, const char *reason)
{
	struct ir_log *log = c->listener->callers->channel->log;

	ir_report(log, IR_EVENT_REQUEST_BAD, reason, "error=%s",
	    ir_error_info(IR_E_ANSWER_DROPPED)->name);
	ir_caller_conn_end(c);
}

void
ir_callers_end_unread(struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c;

	while ((c = callers->unread) != NULL) {
		bool room = ir_callers_have_room(callers, 0);

		if (now - c->taken_us <= (room ? UNREAD_TIMEOUT_US : STALL_US))
			return;
		if (has_taken(c))
			ir_caller_unread_add(c, true, now);
		else
			end(c, room ? "unread" : "unread-memory");
	}
}

/* Moves those that took something to the end of the list. */
static void
note_taken(struct ir_callers *callers, int64_t now)
{
	const struct caller_conn *last;
	struct caller_conn *c, *next;

	if (callers->unread == NULL)
		return;
	last = callers->unread->unread_prev;
	DL_FOREACH_SAFE2(callers->unread, c, next, unread_next)
	{
		bool ends = c == last;

		if (has_taken(c))
			ir_caller_unread_add(c, true, now);
		if (ends)
			break;
	}
}

/* Who gives way first. */
enum rank {
	RANK_STALLED,
	RANK_NEW, /* its socket is full, and whether it reads is not known */
	RANK_READS
};

static enum rank
rank(const struct caller_conn *c, int64_t now)
{
	if (now - c->taken_us >= PAUSE_US)
		return RANK_STALLED;
	return c->reads ? RANK_READS : RANK_NEW;
}

static size_t
unsent(const struct caller_conn *c)
{
	return c->held_bytes - c->out_sent;
}

static struct caller_conn *
first_of_unread(const struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c, *first = callers->unread;

	DL_FOREACH2(callers->unread, c, unread_next)
	{
		enum rank r = rank(c, now), least = rank(first, now);

		if (r < least || (r == least && unsent(c) > unsent(first)))
			first = c;
	}
	return first;
}

static struct caller_conn *
fullest(const struct ir_callers *callers)
{
	struct caller_conn *c, *most = callers->conns;

	DL_FOREACH (callers->conns, c) {
		if (c->held_bytes > most->held_bytes)
			most = c;
	}
	return most;
}

void
ir_callers_give_way(struct ir_callers *callers, int64_t now)
{
	struct caller_conn *c;

	note_taken(callers, now);
	while (!ir_callers_have_room(callers, 0)) {
		c = first_of_unread(callers, now);
		/* Then it is answers that wait for an earlier one. */
		if (c == NULL)
			c = fullest(callers);
		if (c == NULL)
			return;
		end(c, "unread-memory");
	}
}
