/* Turns of a tevent loop whose thread also takes a ring. */
#include "io/turn.h"
#include "io/message.h"

static void
on_wake(struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
    void *ctx)
{
	/* The ring is read by the thread's own loop. */
}

static void
on_end(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval now, void *ctx)
{
	/* Ends one turn of the loop. */
}

bool
ir_turn_watch(
    struct tevent_context *loop, TALLOC_CTX *mem, const struct ir_wake *wake)
{
	return tevent_add_fd(loop, mem, ir_wake_fd(wake), TEVENT_FD_READ,
		   on_wake, NULL) != NULL;
}

void
ir_turn(struct tevent_context *loop, struct ir_wake *wake, struct ir_ring *ring)
{
	ir_wake_arm(wake);
	if (!ir_ring_empty(ring))
		ir_wake_signal(wake);
	tevent_loop_once(loop);
	ir_wake_disarm(wake);
}

void
ir_turn_ends_after(struct tevent_context *loop, TALLOC_CTX *mem, uint32_t us)
{
	ir_must(tevent_add_timer(
	    loop, mem, tevent_timeval_current_ofs(0, us), on_end, NULL));
}
