/* Helpers for a tevent loop whose thread also consumes a ring. */
#include "io/event_loop.h"
#include "io/message.h"

static void
on_wakeup(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	/* The thread pops the ring after the iteration. */
}

static void
on_timeout(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	/* The event itself ends the iteration. */
}

bool
ir_event_loop_add_wakeup(struct tevent_context *loop, TALLOC_CTX *mem,
    const struct ir_wakeup *wakeup)
{
	return tevent_add_fd(loop, mem, ir_wakeup_fd(wakeup), TEVENT_FD_READ,
		   on_wakeup, NULL) != NULL;
}

void
ir_event_loop_run_once(
    struct tevent_context *loop, struct ir_wakeup *wakeup, struct ir_ring *ring)
{
	ir_wakeup_arm(wakeup);
	if (!ir_ring_empty(ring))
		ir_wakeup_signal(wakeup);
	tevent_loop_once(loop);
	ir_wakeup_disarm(wakeup);
}

void
ir_event_loop_limit_wait(
    struct tevent_context *loop, TALLOC_CTX *mem, uint32_t us)
{
	ir_check_alloc(tevent_add_timer(
	    loop, mem, tevent_timeval_current_ofs(0, us), on_timeout, NULL));
}
