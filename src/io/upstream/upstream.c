/* The upstream's thread. */
#include <string.h>

#include "io/admin/io_log.h"
#include "io/clock.h"
#include "io/event_loop.h"
#include "io/upstream/upstream_conn.h"

#define BACKLOG_RETRY_US 1000
#define SWEEP_US IR_US_PER_S
/* How often reading is tried again that waits for other threads. */
#define PAUSE_US (5 * IR_US_PER_MS)

static void
free_transfer(struct transfer *t)
{
	HASH_DEL(t->owner->transfers, t);
	if (t->conn != NULL)
		ir_upstream_conn_close(t->conn);
	ir_upstream_bytes_release(&t->bytes, t->bytes.held_bytes);
	if (t->owner->over == t)
		t->owner->over = NULL;
	ir_upstream_conn_resume(t->owner);
	talloc_free(t->answer.message);
	talloc_free(t->order);
	talloc_free(t);
}

static void
report_broken(const struct transfer *t, const char *reason)
{
	const struct ir_run *r = &t->order->u.run;

	ir_io_log_event(t->owner->channel->log, IR_EVENT_UPSTREAM_BROKEN,
	    reason != NULL ? reason : "answer not whole",
	    "id=%s request=%s attempt=%s sent=%d status=%u",
	    r->caller_attempt != NULL ? r->caller_attempt : "", r->request,
	    r->attempt, t->sent, t->answer.message->u.result.status);
}

/* What came of its answer is of no use to the core. */
static void
end_broken(struct transfer *t, const char *reason)
{
	report_broken(t, reason);
	ir_upstream_answer_reset(&t->answer);
}

void
ir_upstream_finish(struct transfer *t, const char *reason)
{
	struct ir_upstream *u = t->owner;
	struct ir_to_core *m = t->answer.message;
	struct ir_run_result *r = &m->u.result;

	if (reason != NULL)
		r->end = t->sent ? IR_RUN_BROKEN : IR_RUN_NOT_CONNECTED;
	if (r->end == IR_RUN_BROKEN || r->end == IR_RUN_NOT_CONNECTED)
		end_broken(t, reason);
	t->answer.message = NULL;
	m->id = t->id;
	ir_message_charge_hold(&m->charge, t->bytes.memory, r->body_bytes);
	free_transfer(t);
	ir_outbox_push(&u->out, m);
}

static void
begin_run(struct ir_upstream *u, struct ir_from_core *m)
{
	struct transfer *t = ir_check_alloc(talloc_zero(NULL, struct transfer));

	t->id = m->id;
	t->owner = u;
	t->order = m;
	ir_message_charge_release(&m->charge);
	t->answer.message = ir_to_core_new(IR_TO_CORE_RUN_ENDED);
	t->bytes.memory = u->memory;
	t->answer.bytes = &t->bytes;
	t->answer.dialect = u->dialect;
	t->answer.attempt = m->u.run.caller_attempt;
	if (t->answer.attempt == NULL)
		t->answer.attempt = "";
	HASH_ADD(hh, u->transfers, id, sizeof(t->id), t);
	ir_upstream_conn_run(u, t);
}

/* Closes the connection of a transfer that has begun. */
static void
cancel_run(struct ir_upstream *u, uint64_t id)
{
	struct transfer *t;

	HASH_FIND(hh, u->transfers, &id, sizeof(id), t);
	if (t != NULL)
		free_transfer(t);
}

static void
take_messages(struct ir_upstream *u)
{
	struct ir_from_core *m;

	while ((m = ir_ring_pop(u->channel->from_core)) != NULL) {
		if (m->kind == IR_FROM_CORE_RUN) {
			begin_run(u, m);
			continue;
		}
		if (m->kind == IR_FROM_CORE_CANCEL_RUN)
			cancel_run(u, m->id);
		if (m->kind == IR_FROM_CORE_STOP)
			u->stopping = true;
		talloc_free(m);
	}
}

static void
sweep(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval at, void *ctx)
{
	struct ir_upstream *u = ctx;

	u->sweep_set = false;
	ir_upstream_conn_sweep(u, ir_clock_now());
}

static void
set_sweep(struct ir_upstream *u)
{
	if (u->sweep_set || u->idle == NULL)
		return;
	u->sweep_set = true;
	ir_check_alloc(tevent_add_timer(u->loop, u,
	    tevent_timeval_current_ofs(SWEEP_US / IR_US_PER_S, 0), sweep, u));
}

static void
turn(struct ir_upstream *u)
{
	if (!ir_outbox_flush(&u->out))
		ir_event_loop_limit_wait(u->loop, u, BACKLOG_RETRY_US);
	if (u->paused_count > 0) {
		ir_upstream_conn_resume(u);
		ir_event_loop_limit_wait(u->loop, u, PAUSE_US);
	}
	set_sweep(u);
	ir_event_loop_run_once(
	    u->loop, u->channel->wakeup, u->channel->from_core);
}

void *
ir_upstream_run(void *ctx)
{
	struct ir_upstream *u = ctx;

	for (;;) {
		take_messages(u);
		if (u->stopping)
			break;
		turn(u);
	}
	(void)ir_outbox_flush(&u->out);
	return NULL;
}

static int
free_upstream(struct ir_upstream *u)
{
	struct transfer *t, *next;

	HASH_ITER (hh, u->transfers, t, next) {
		free_transfer(t);
	}
	while (u->idle != NULL)
		ir_upstream_conn_close(u->idle);
	ir_outbox_clear(&u->out);
	return 0;
}

struct ir_upstream *
ir_upstream_new(TALLOC_CTX *mem, struct ir_channel *channel,
    struct ir_memory *memory, const struct ir_dialect *dialect,
    const struct ir_endpoint *upstream, uint32_t connections)
{
	struct ir_upstream *u = talloc_zero(mem, struct ir_upstream);

	if (u == NULL)
		return NULL;
	talloc_set_destructor(u, free_upstream);
	u->channel = channel;
	u->memory = memory;
	u->dialect = dialect;
	u->max_connections = connections;
	u->address.address = talloc_strdup(u, upstream->address);
	u->address.port = upstream->port;
	ir_outbox_init(&u->out, channel->to_core);
	u->loop = tevent_context_init(u);
	if (u->loop == NULL || u->address.address == NULL)
		goto fail;
	if (!ir_event_loop_add_wakeup(u->loop, u, channel->wakeup))
		goto fail;
	return u;

fail:
	talloc_free(u);
	return NULL;
}
