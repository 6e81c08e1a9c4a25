/* The core's thread: its loop, and the messages that it takes. */
#include <inttypes.h>
#include <json.h>
#include <poll.h>
#include <utlist.h>

#include "io/admin/io_log.h"
#include "io/clock.h"
#include "io/core/core_out.h"
#include "io/memory.h"

#define TICK_US (10 * IR_US_PER_MS)
#define OUTBOX_RETRY_MS 1
/* Messages taken from one ring before the next ring is looked at. */
#define RING_BATCH 64
#define MEMORY_MEASURE_PERIOD_US (100 * IR_US_PER_MS)

/* Adds up the counters of the node and of all threads. */
static void
sum_counters(const struct core *c, struct ir_counters *to)
{
	for (int k = 0; k < IR_COUNTER_COUNT; k++) {
		uint64_t sum = ir_node_counter(c->node, k);

		sum += c->loop->counters.value[k];
		for (int t = 0; t < IR_THREAD_COUNT; t++)
			sum += __atomic_load_n(
			    &c->loop->channels[t]->counters.value[k],
			    __ATOMIC_RELAXED);
		to->value[k] = sum;
	}
}

static void
copy_memory(const struct core *c, struct ir_memory *to)
{
	const struct ir_memory *m = c->loop->memory;

	to->limit_bytes = m->limit_bytes;
	to->process_bytes =
	    __atomic_load_n(&m->process_bytes, __ATOMIC_RELAXED);
	for (int u = 0; u < IR_MEMORY_USE_COUNT; u++)
		to->held_bytes[u] = ir_memory_held(m, u);
	for (int k = 0; k < IR_SOCKET_KIND_COUNT; k++)
		to->socket_held_bytes[k] =
		    __atomic_load_n(&m->socket_held_bytes[k], __ATOMIC_RELAXED);
}

static void
fill_counters_report(struct core *c, int64_t now, struct ir_from_core *m)
{
	sum_counters(c, &m->u.report.counters);
	m->u.report.histograms = *ir_node_histograms(c->node);
	ir_node_gauges(c->node, now, &m->u.report.gauges);
	copy_memory(c, &m->u.report.memory);
}

static void
send_report(struct core *c, int64_t now, enum ir_thread thread,
    struct ir_to_core *request)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_REPORT);

	m->id = request->id;
	m->u.report.ready = ir_node_is_ready(c->node, now);
	if (ir_drain_has_begun(&c->drain) && request->report == IR_REPORT_READY)
		ir_drain_note_not_ready(&c->drain);
	if (request->report == IR_REPORT_STATE)
		m->u.report.json = ir_node_state_json(c->node, now);
	else if (request->report == IR_REPORT_COUNTERS)
		fill_counters_report(c, now, m);
	ir_outbox_push(&c->outboxes[thread], m);
}

static struct ir_node_settings
make_node_settings(const struct ir_core_loop *l, const struct ir_settings *s)
{
	struct ir_node_settings ns = {
	    .host = s->host,
	    .service = s->service,
	    .region = s->region,
	    .zone = s->zone,
	    .initial_slots = s->slots,
	    .rate_tolerance_fraction = s->rate_tolerance.share,
	    .rate_tolerance_requests = s->rate_tolerance.requests,
	    .rate_tolerance_window_s = s->rate_tolerance.window_s,
	    .store_read_period_us = (l->dialect->store.hosts_wait_ms +
					l->dialect->store.min_pause_ms) *
				    IR_US_PER_MS,
	    .child_separator = l->dialect->child_separator,
	    .keyless_calls_from_upstream = !s->has_egress,
	    .statement_headers = l->dialect->headers.statement,
	    .cold_starts =
		s->cold_starts && l->dialect->headers.cold_remaining != NULL,
	    .ramp = s->ramp,
	    .incarnation = l->incarnation,
	    .seed = l->seed,
	    .memory = l->memory,
	    .baseline_policy = s->baseline_policy,
	};

	return ns;
}

static void
start_stopping(struct core *c, int64_t now, int64_t since_us)
{
	const struct ir_settings *s = c->loop->settings;
	const struct ir_drain_times times = {
	    .leave_ms = s->leave_ms,
	    .finish_ms = s->finish_ms,
	    .drain_ms = s->drain_ms,
	    .stop_ms = s->stop_ms,
	};

	if (ir_drain_has_begun(&c->drain))
		return;
	ir_drain_begin(&c->drain, since_us, &times);
	ir_outbox_push(&c->outboxes[IR_THREAD_CALLERS],
	    ir_from_core_new(IR_FROM_CORE_LEAVING));
	ir_node_stop(c->node, now,
	    &(struct ir_stop_times){.refuse_us = c->drain.leave_us,
		.finish_us = c->drain.finish_us,
		.end_us = c->drain.deadline_us});
}

static void
apply_settings(struct core *c, const struct ir_settings *s)
{
	struct ir_node_settings ns = make_node_settings(c->loop, s);
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_SETTINGS);

	c->loop->settings = s;
	ir_node_set_rate_tolerance(c->node, &ns);
	m->u.settings = s;
	ir_outbox_push(&c->outboxes[IR_THREAD_PLATFORM], m);
}

/* After IR_FROM_CORE_STOP nobody waits for the outcome of a call. */
static void
handle_call(struct core *c, int64_t now, struct ir_to_core *m)
{
	const struct ir_answer refusal = {.error = IR_E_STOPPING};

	if (c->stop_sent) {
		ir_core_ops.answer(c, m->u.call.id, &refusal);
		return;
	}
	c->last_call = m->u.call.id;
	ir_node_call(c->node, now, &m->u.call);
}

static void
handle_message(struct core *c, enum ir_thread thread, struct ir_to_core *m)
{
	int64_t now = ir_clock_now();

	switch (m->kind) {
	case IR_TO_CORE_CALL:
		handle_call(c, now, m);
		break;
	case IR_TO_CORE_CALL_ABANDONED:
		ir_node_caller_disconnected(c->node, now, m->id, m->reason);
		break;
	case IR_TO_CORE_RUN_ENDED:
		ir_node_run_ended(c->node, now, m->id, &m->u.result);
		break;
	case IR_TO_CORE_UPSTREAM_CHECKED:
		ir_node_upstream_checked(c->node, now, &m->u.check);
		break;
	case IR_TO_CORE_PEER_CONNECTED:
		ir_node_conn_established(c->node, now, m->conn);
		break;
	case IR_TO_CORE_PEER_CLOSED:
		ir_core_conn_closed(c, m->conn);
		ir_node_conn_closed(c->node, now, m->conn);
		break;
	case IR_TO_CORE_PEER_PROGRESS:
		ir_node_conn_progress(c->node, now, m->conn);
		break;
	case IR_TO_CORE_PEER_MESSAGE:
		ir_node_message_received(
		    c->node, now, m->conn, m->xid, &m->u.msg);
		break;
	case IR_TO_CORE_STORE_READ:
		ir_node_store_read(c->node, now, &m->u.store);
		break;
	case IR_TO_CORE_STORE_FAILED:
		ir_node_store_failed(c->node, now, m->request_sent_us);
		break;
	case IR_TO_CORE_REPORT_REQUEST:
		send_report(c, now, thread, m);
		break;
	case IR_TO_CORE_SETTINGS:
		apply_settings(c, m->u.settings);
		break;
	case IR_TO_CORE_DRAIN:
		start_stopping(c, now, m->since_us);
		break;
	case IR_TO_CORE_EXIT:
		c->ended = true;
		break;
	}
	talloc_free(m);
}

static void
handle_deferred_events(struct core *c)
{
	struct deferred_event *e;

	while ((e = c->deferred_events) != NULL) {
		DL_DELETE(c->deferred_events, e);
		handle_message(c, IR_THREAD_MAIN, e->message);
		talloc_free(e);
	}
}

/*
 * Takes up to RING_BATCH messages of each ring. Returns true if a ring may
 * hold more.
 */
static bool
handle_batches(struct core *c)
{
	bool more = false;

	for (int t = 0; t < IR_THREAD_COUNT; t++) {
		struct ir_ring *ring = c->loop->channels[t]->to_core;
		struct ir_to_core *m;
		int i;

		if (t == IR_THREAD_PEERS && !ir_node_may_receive(c->node))
			continue;
		for (i = 0; i < RING_BATCH; i++) {
			m = ir_ring_pop(ring);
			if (m == NULL)
				break;
			handle_message(c, t, m);
		}
		more = more || i == RING_BATCH;
	}
	handle_deferred_events(c);
	return more;
}

static bool
all_rings_empty(const struct core *c)
{
	for (int t = 0; t < IR_THREAD_COUNT; t++) {
		if (!ir_ring_empty(c->loop->channels[t]->to_core))
			return false;
	}
	return true;
}

static bool
flush_outboxes(struct core *c)
{
	bool all = ir_node_send_unsent(c->node, ir_clock_now());

	for (int t = 0; t < IR_THREAD_COUNT; t++)
		all = ir_outbox_flush(&c->outboxes[t]) && all;
	return all;
}

/*
 * Sends the platform's thread whether the node wants the store read, and which
 * revisions the node has, if any of these changed.
 */
static void
send_store_state_if_changed(struct core *c)
{
	bool wanted = ir_node_should_read_store(c->node);
	uint64_t config = 0, list = 0;
	struct ir_from_core *m;

	ir_node_revisions(c->node, &config, &list);
	if (wanted == c->store_wanted && config == c->config_revision &&
	    list == c->list_revision)
		return;
	c->store_wanted = wanted;
	c->config_revision = config;
	c->list_revision = list;
	m = ir_from_core_new(IR_FROM_CORE_STORE_POLLING);
	m->u.store.wanted = wanted;
	m->u.store.config_revision = config;
	m->u.store.list_revision = list;
	m->u.store.service_count =
	    ir_node_service_names(c->node, m, &m->u.store.services);
	ir_outbox_push(&c->outboxes[IR_THREAD_PLATFORM], m);
}

static bool
is_drained(struct core *c, int64_t now)
{
	const struct ir_channel *callers = c->loop->channels[IR_THREAD_CALLERS];
	const struct ir_drain_work work = {
	    .calls = !ir_node_is_idle(c->node),
	    .unsent_answers =
		__atomic_load_n(&callers->unsent_answers, __ATOMIC_RELAXED),
	};

	return ir_drain_is_done(&c->drain, now, &work);
}

static void
log_drain_end(struct core *c, int64_t now)
{
	struct ir_node_gauges g;

	ir_node_gauges(c->node, now, &g);
	ir_io_log_event(c->loop->log, IR_EVENT_STOP_STAGE, NULL,
	    "stage=%s ms=%" PRId64 " calls=%" PRId64 " running=%" PRId64
	    " queued=%" PRId64,
	    now >= c->drain.deadline_us ? "deadline" : "drained",
	    (now - c->drain.begin_us) / IR_US_PER_MS, g.calls, g.gate_running,
	    g.gate_queued);
}

static void
stop_threads_when_drained(struct core *c, int64_t now)
{
	if (c->stop_sent || !ir_drain_has_begun(&c->drain) ||
	    !is_drained(c, now))
		return;
	c->stop_sent = true;
	log_drain_end(c, now);
	for (int t = 0; t < IR_THREAD_COUNT; t++) {
		struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_STOP);

		m->id = c->last_call;
		m->end_us = c->drain.end_us;
		ir_outbox_push(&c->outboxes[t], m);
	}
}

static void
log_memory(struct core *c)
{
	const struct ir_memory *m = c->loop->memory;

	ir_io_log_event(c->loop->log, IR_EVENT_MEMORY_SHORT, NULL,
	    "state=%s process=%" PRIu64 " limit=%" PRIu64 " callers=%" PRIu64
	    " calls=%" PRIu64 " records=%" PRIu64 " upstream=%" PRIu64
	    " peers=%" PRIu64 " rings=%" PRIu64 " sockets=%" PRIu64,
	    ir_memory_is_short(m) ? "short" : "relieved", m->process_bytes,
	    m->limit_bytes, ir_memory_held(m, IR_MEMORY_CALLERS),
	    ir_memory_held(m, IR_MEMORY_CALLS),
	    ir_memory_held(m, IR_MEMORY_RECORDS),
	    ir_memory_held(m, IR_MEMORY_UPSTREAM),
	    ir_memory_held(m, IR_MEMORY_PEERS),
	    ir_memory_held(m, IR_MEMORY_RINGS), ir_memory_sockets_held(m));
}

static void
measure_memory(struct core *c, int64_t now)
{
	if (now < c->next_memory_measure_us)
		return;
	c->next_memory_measure_us = now + MEMORY_MEASURE_PERIOD_US;
	if (ir_memory_measure(c->loop->memory, now))
		log_memory(c);
}

static void
tick(struct core *c)
{
	int64_t now = ir_clock_now();

	if (now < c->next_tick_us)
		return;
	c->next_tick_us = now + TICK_US;
	measure_memory(c, now);
	ir_node_tick(c->node, now);
	handle_deferred_events(c);
	send_store_state_if_changed(c);
	stop_threads_when_drained(c, now);
}

static void
wait_for_work(struct core *c, bool flushed)
{
	struct pollfd p = {
	    .fd = ir_wakeup_fd(c->loop->wakeup), .events = POLLIN};
	int64_t left_us = c->next_tick_us - ir_clock_now();
	int timeout_ms;

	if (left_us <= 0)
		return;
	timeout_ms = (int)((left_us + IR_US_PER_MS - 1) / IR_US_PER_MS);
	if (!flushed)
		timeout_ms = OUTBOX_RETRY_MS;
	ir_wakeup_arm(c->loop->wakeup);
	if (all_rings_empty(c) || !ir_node_may_receive(c->node))
		poll(&p, 1, timeout_ms);
	ir_wakeup_disarm(c->loop->wakeup);
}

static void
free_core(struct core *c)
{
	struct closing_conn *cc, *next;

	talloc_free(c->node);
	HASH_ITER (hh, c->closing_conns, cc, next) {
		HASH_DEL(c->closing_conns, cc);
		talloc_free(cc);
	}
	for (int t = 0; t < IR_THREAD_COUNT; t++)
		ir_outbox_clear(&c->outboxes[t]);
	while (c->deferred_events != NULL) {
		struct deferred_event *e = c->deferred_events;

		DL_DELETE(c->deferred_events, e);
		talloc_free(e->message);
		talloc_free(e);
	}
	talloc_free(c);
}

void *
ir_core_loop_run(void *ctx)
{
	struct core *c = ir_check_alloc(talloc_zero(NULL, struct core));
	struct ir_node_settings ns;
	bool more, flushed;

	c->loop = ctx;
	for (int t = 0; t < IR_THREAD_COUNT; t++)
		ir_outbox_init(
		    &c->outboxes[t], c->loop->channels[t]->from_core);
	ns = make_node_settings(c->loop, c->loop->settings);
	c->node = ir_check_alloc(
	    ir_node_new(c, ir_clock_now(), &ns, &ir_core_ops, c));
	while (!c->ended) {
		more = handle_batches(c);
		tick(c);
		flushed = flush_outboxes(c);
		if (!more && !c->ended)
			wait_for_work(c, flushed);
	}
	free_core(c);
	return NULL;
}
