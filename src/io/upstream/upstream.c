/* The upstream thread: its loop, and the start and end of runs. */
#include <string.h>

#include "io/admin/io_log.h"
#include "io/clock.h"
#include "io/event_loop.h"
#include "io/upstream/status_check.h"
#include "io/upstream/upstream_check.h"
#include "io/upstream/upstream_conn.h"

#define OUTBOX_RETRY_US 1000
#define IDLE_SWEEP_PERIOD_US IR_US_PER_S
/*
 * How often paused reads are retried: memory that other threads release causes
 * no event here.
 */
#define READ_RETRY_US (5 * IR_US_PER_MS)

static void
free_transfer(struct transfer *t)
{
	HASH_DEL(t->upstream->transfers, t);
	ir_upstream_check_remove(t);
	if (t->conn != NULL)
		ir_upstream_conn_close(t->conn);
	ir_upstream_memory_release(&t->memory, t->memory.reserved_bytes);
	if (t->upstream->exempt_transfer == t)
		t->upstream->exempt_transfer = NULL;
	ir_upstream_conn_resume_reads(t->upstream);
	talloc_free(t->answer.message);
	talloc_free(t->run_message);
	talloc_free(t);
}

static void
report_broken_run(const struct transfer *t, const char *reason)
{
	const struct ir_run *r = &t->run_message->u.run;

	ir_io_log_event(t->upstream->channel->log, IR_EVENT_UPSTREAM_BROKEN,
	    reason != NULL ? reason : "invalid answer",
	    "id=%s request=%s attempt=%s sent=%d status=%u",
	    r->caller_attempt != NULL ? r->caller_attempt : "", r->request,
	    r->attempt, t->send_started, t->answer.message->u.result.status);
}

/* Logs why the transfer failed and drops its incomplete answer. */
static void
discard_answer(struct transfer *t, const char *reason)
{
	report_broken_run(t, reason);
	ir_upstream_answer_reset(&t->answer);
}

static enum ir_run_end
end_of_failed(const struct transfer *t)
{
	if (t->upstream_ended)
		return IR_RUN_UPSTREAM_ENDED;
	if (t->send_started)
		return IR_RUN_BROKEN;
	if (t->memory.reserve_failed)
		return IR_RUN_NO_ROOM;
	return t->connection_limit ? IR_RUN_CONNECTION_LIMIT
				   : IR_RUN_NOT_CONNECTED;
}

void
ir_upstream_finish(struct transfer *t, const char *reason)
{
	struct ir_upstream *u = t->upstream;
	struct ir_to_core *m = t->answer.message;
	struct ir_run_result *r = &m->u.result;

	if (reason != NULL)
		r->end = end_of_failed(t);
	if (r->end != IR_RUN_ANSWERED && r->end != IR_RUN_SHED)
		discard_answer(t, reason);
	t->answer.message = NULL;
	m->id = t->id;
	ir_message_charge_hold(
	    &m->charge, t->memory.process_memory, r->body_bytes);
	free_transfer(t);
	ir_outbox_push(&u->outbox, m);
}

static void
start_run(struct ir_upstream *u, struct ir_from_core *m)
{
	struct transfer *t = ir_check_alloc(talloc_zero(NULL, struct transfer));

	t->id = m->id;
	t->upstream = u;
	t->run_message = m;
	ir_message_charge_release(&m->charge);
	t->answer.message = ir_to_core_new(IR_TO_CORE_RUN_ENDED);
	t->memory.process_memory = u->memory;
	t->answer.memory = &t->memory;
	t->answer.dialect = u->dialect;
	t->answer.caller_attempt = m->u.run.caller_attempt;
	if (t->answer.caller_attempt == NULL)
		t->answer.caller_attempt = "";
	HASH_ADD(hh, u->transfers, id, sizeof(t->id), t);
	ir_upstream_conn_start(u, t);
}

/*
 * Closes the run's connection, if the run has not ended yet; no result is
 * sent to the core.
 */
static void
cancel_run(struct ir_upstream *u, uint64_t id)
{
	struct transfer *t;

	HASH_FIND(hh, u->transfers, &id, sizeof(id), t);
	if (t != NULL)
		free_transfer(t);
}

static void
handle_messages(struct ir_upstream *u)
{
	struct ir_from_core *m;

	while ((m = ir_ring_pop(u->channel->from_core)) != NULL) {
		if (m->kind == IR_FROM_CORE_RUN) {
			start_run(u, m);
			continue;
		}
		if (m->kind == IR_FROM_CORE_CHECK_UPSTREAM)
			ir_status_check_start(u, m->u.check_path);
		if (m->kind == IR_FROM_CORE_CANCEL_RUN)
			cancel_run(u, m->id);
		if (m->kind == IR_FROM_CORE_STOP)
			u->stopping = true;
		talloc_free(m);
	}
}

static void
on_idle_sweep(struct tevent_context *loop, struct tevent_timer *timer,
    struct timeval at, void *ctx)
{
	struct ir_upstream *u = ctx;

	u->sweep_scheduled = false;
	ir_upstream_conn_close_expired(u, ir_clock_now());
}

static void
schedule_idle_sweep(struct ir_upstream *u)
{
	if (u->sweep_scheduled || u->idle_conns == NULL)
		return;
	u->sweep_scheduled = true;
	ir_check_alloc(tevent_add_timer(u->loop, u,
	    tevent_timeval_current_ofs(IDLE_SWEEP_PERIOD_US / IR_US_PER_S, 0),
	    on_idle_sweep, u));
}

static void
run_once(struct ir_upstream *u)
{
	if (!ir_outbox_flush(&u->outbox))
		ir_event_loop_limit_wait(u->loop, u, OUTBOX_RETRY_US);
	if (u->paused_count > 0) {
		ir_upstream_conn_resume_reads(u);
		ir_event_loop_limit_wait(u->loop, u, READ_RETRY_US);
	}
	schedule_idle_sweep(u);
	ir_event_loop_run_once(
	    u->loop, u->channel->wakeup, u->channel->from_core);
}

void *
ir_upstream_run(void *ctx)
{
	struct ir_upstream *u = ctx;

	for (;;) {
		handle_messages(u);
		if (u->stopping)
			break;
		run_once(u);
	}
	(void)ir_outbox_flush(&u->outbox);
	return NULL;
}

static int
free_upstream(struct ir_upstream *u)
{
	struct transfer *t, *next;

	HASH_ITER (hh, u->transfers, t, next) {
		free_transfer(t);
	}
	while (u->idle_conns != NULL)
		ir_upstream_conn_close(u->idle_conns);
	ir_upstream_check_stop(u);
	TALLOC_FREE(u->status_check);
	ir_outbox_clear(&u->outbox);
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
	u->check_fd = -1;
	talloc_set_destructor(u, free_upstream);
	u->channel = channel;
	u->memory = memory;
	u->dialect = dialect;
	u->max_connections = connections;
	u->address.address = talloc_strdup(u, upstream->address);
	u->address.port = upstream->port;
	ir_outbox_init(&u->outbox, channel->to_core);
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
