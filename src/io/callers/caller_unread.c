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
	DL_DELETE2(c->listener->callers->unread, c, unread_prev, unread_next);
}

void
ir_caller_unread_add(struct caller_conn *c, bool taken, int64_t now)
{
	if (c->unread && !taken)
		return;
	ir_caller_unread_remove(c);
	append(c, now);
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
