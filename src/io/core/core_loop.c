/* The core's thread. */
#include <inttypes.h>
#include <json.h>
#include <poll.h>
#include <utlist.h>

#include "io/admin/report.h"
#include "io/clock.h"
#include "io/core/core_out.h"
#include "io/memory.h"

#define TICK_US (10 * IR_US_PER_MS)
#define BACKLOG_POLL_MS 1
/*
 * A stopping node stays for some heartbeats after it last held work: peers
 * learn that it leaves, and what they sent before is refused, not run.
 */
#define STOP_LINGER_US (3 * IR_HEARTBEAT_PERIOD_US)
/* Questions for readiness without a yes, after which callers stay away. */
#define TOLD_LEAVING 2
/* Messages taken from one ring before the next one has its turn. */
#define BATCH 64
/* How often the process's memory is measured. */
#define MEASURE_US (100 * IR_US_PER_MS)

/* The node's counters and those of all threads. */
static void
sum_counters(const struct core *c, struct ir_counters *to)
{
	for (int k = 0; k < IR_COUNTER_COUNT; k++) {
		uint64_t sum = ir_node_counter(c->node, k);

		sum += c->loop->counters.value[k];
		for (int d = 0; d < IR_DUTY_COUNT; d++)
			sum += __atomic_load_n(
			    &c->loop->channels[d]->counters.value[k],
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
}

static void
measure(struct core *c, int64_t now, struct ir_from_core *m)
{
	sum_counters(c, &m->u.report.counters);
	m->u.report.histograms = *ir_node_histograms(c->node);
	ir_node_gauges(c->node, now, &m->u.report.gauges);
	copy_memory(c, &m->u.report.memory);
}

static void
report(struct core *c, int64_t now, enum ir_duty duty, struct ir_to_core *ask)
{
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_REPORT);

	m->id = ask->id;
	m->u.report.ready = ir_node_is_ready(c->node, now);
	if (c->drain_end_us != 0 && ask->report == IR_REPORT_READY)
		c->told_leaving++;
	if (ask->report == IR_REPORT_STATE)
		m->u.report.json = ir_node_state_json(c->node, now);
	else if (ask->report == IR_REPORT_COUNTERS)
		measure(c, now, m);
	ir_outbox_push(&c->out[duty], m);
}

static struct ir_node_settings
node_settings(const struct ir_core_loop *l, const struct ir_settings *s)
{
	struct ir_node_settings ns = {
	    .host = s->host,
	    .service = s->service,
	    .region = s->region,
	    .zone = s->zone,
	    .initial_slots = s->slots,
	    .rate_tolerance_share = s->rate_tolerance.share,
	    .rate_tolerance_requests = s->rate_tolerance.requests,
	    .rate_tolerance_window_s = s->rate_tolerance.window_s,
	    .store_read_period_us =
		l->dialect->store.hosts_wait_ms * IR_US_PER_MS,
	    .child_separator = l->dialect->child_separator,
	    .keyless_calls_from_upstream = !s->has_egress,
	    .incarnation = l->incarnation,
	    .seed = l->seed,
	    .memory = l->memory,
	    .baseline_policy = s->plain,
	};

	return ns;
}

static void
begin_stop(struct core *c, int64_t now)
{
	if (c->drain_end_us != 0)
		return;
	c->drain_end_us = now + c->loop->settings->drain_ms * IR_US_PER_MS;
	c->leave_end_us = now + c->loop->settings->leave_ms * IR_US_PER_MS;
	ir_outbox_push(
	    &c->out[IR_DUTY_CALLERS], ir_from_core_new(IR_FROM_CORE_LEAVING));
	ir_node_stop(c->node, now, c->leave_end_us);
}

static void
take_settings(struct core *c, const struct ir_settings *s)
{
	struct ir_node_settings ns = node_settings(c->loop, s);
	struct ir_from_core *m = ir_from_core_new(IR_FROM_CORE_SETTINGS);

	c->loop->settings = s;
	ir_node_set_rate_tolerance(c->node, &ns);
	m->u.settings = s;
	ir_outbox_push(&c->out[IR_DUTY_PLATFORM], m);
}

static void
take_call(struct core *c, int64_t now, struct ir_to_core *m)
{
	ir_node_call(c->node, now, &m->u.call);
}

static void
take(struct core *c, enum ir_duty duty, struct ir_to_core *m)
{
	int64_t now = ir_clock_now();

	switch (m->kind) {
	case IR_TO_CORE_CALL:
		take_call(c, now, m);
		break;
	case IR_TO_CORE_CALL_ABANDONED:
		ir_node_caller_gone(c->node, now, m->id);
		break;
	case IR_TO_CORE_RUN_ENDED:
		ir_node_run_ended(c->node, now, m->id, &m->u.result);
		break;
	case IR_TO_CORE_PEER_CONNECTED:
		ir_node_conn_established(c->node, now, m->conn);
		break;
	case IR_TO_CORE_PEER_CLOSED:
		ir_core_undoom(c, m->conn);
		ir_node_conn_closed(c->node, now, m->conn);
		break;
	case IR_TO_CORE_PEER_MESSAGE:
		ir_node_message_received(
		    c->node, now, m->conn, m->xid, &m->u.msg);
		break;
	case IR_TO_CORE_STORE_READ:
		ir_node_store_read(c->node, now, &m->u.store);
		break;
	case IR_TO_CORE_STORE_FAILED:
		ir_node_store_failed(c->node, now, m->asked_us);
		break;
	case IR_TO_CORE_REPORT_REQUEST:
		report(c, now, duty, m);
		break;
	case IR_TO_CORE_SETTINGS:
		take_settings(c, m->u.settings);
		break;
	case IR_TO_CORE_DRAIN:
		begin_stop(c, now);
		break;
	case IR_TO_CORE_EXIT:
		c->ended = true;
		break;
	}
	talloc_free(m);
}

static void
pay_owed(struct core *c)
{
	struct owed *o;

	while ((o = c->owed) != NULL) {
		DL_DELETE(c->owed, o);
		take(c, IR_DUTY_MAIN, o->message);
		talloc_free(o);
	}
}

/* True when a ring may hold more. */
static bool
take_batches(struct core *c)
{
	bool more = false;

	for (int d = 0; d < IR_DUTY_COUNT; d++) {
		struct ir_ring *ring = c->loop->channels[d]->to_core;
		struct ir_to_core *m;
		int i;

		for (i = 0; i < BATCH; i++) {
			m = ir_ring_pop(ring);
			if (m == NULL)
				break;
			take(c, d, m);
		}
		more = more || i == BATCH;
	}
	pay_owed(c);
	return more;
}

static bool
rings_empty(const struct core *c)
{
	for (int d = 0; d < IR_DUTY_COUNT; d++) {
		if (!ir_ring_empty(c->loop->channels[d]->to_core))
			return false;
	}
	return true;
}

static bool
flush(struct core *c)
{
	bool all = true;

	for (int d = 0; d < IR_DUTY_COUNT; d++)
		all = ir_outbox_flush(&c->out[d]) && all;
	return all;
}

/* Tells the platform's thread when what the node wants of it has changed. */
static void
order_store(struct core *c)
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
	ir_outbox_push(&c->out[IR_DUTY_PLATFORM], m);
}

/* True once a stopping node has held nothing for a while. */
static bool
is_drained(struct core *c, int64_t now)
{
	if (now >= c->drain_end_us)
		return true;
	/* Callers that do not know yet still come. */
	if (now < c->leave_end_us && c->told_leaving < TOLD_LEAVING)
		return false;
	if (!ir_node_is_idle(c->node)) {
		c->idle_us = 0;
		return false;
	}
	if (c->idle_us == 0)
		c->idle_us = now;
	return now - c->idle_us >= STOP_LINGER_US;
}

static void
end_when_drained(struct core *c, int64_t now)
{
	if (c->stopped || c->drain_end_us == 0 || !is_drained(c, now))
		return;
	c->stopped = true;
	for (int d = 0; d < IR_DUTY_COUNT; d++)
		ir_outbox_push(&c->out[d], ir_from_core_new(IR_FROM_CORE_STOP));
}

static void
log_memory(struct core *c)
{
	const struct ir_memory *m = c->loop->memory;

	ir_report(c->loop->log, IR_EVENT_MEMORY_SHORT, NULL,
	    "state=%s process=%" PRIu64 " limit=%" PRIu64 " callers=%" PRIu64
	    " calls=%" PRIu64 " records=%" PRIu64 " upstream=%" PRIu64
	    " peers=%" PRIu64 " rings=%" PRIu64,
	    ir_memory_is_short(m) ? "short" : "relieved", m->process_bytes,
	    m->limit_bytes, ir_memory_held(m, IR_MEMORY_CALLERS),
	    ir_memory_held(m, IR_MEMORY_CALLS),
	    ir_memory_held(m, IR_MEMORY_RECORDS),
	    ir_memory_held(m, IR_MEMORY_UPSTREAM),
	    ir_memory_held(m, IR_MEMORY_PEERS),
	    ir_memory_held(m, IR_MEMORY_RINGS));
}

static void
measure_memory(struct core *c, int64_t now)
{
	if (now < c->next_measure_us)
		return;
	c->next_measure_us = now + MEASURE_US;
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
	pay_owed(c);
	order_store(c);
	end_when_drained(c, now);
}

static void
wait_for_work(struct core *c, bool flushed)
{
	struct pollfd p = {.fd = ir_wakeup_fd(c->loop->wake), .events = POLLIN};
	int64_t left_us = c->next_tick_us - ir_clock_now();
	int timeout_ms;

	if (left_us <= 0)
		return;
	timeout_ms = (int)((left_us + IR_US_PER_MS - 1) / IR_US_PER_MS);
	if (!flushed)
		timeout_ms = BACKLOG_POLL_MS;
	ir_wakeup_arm(c->loop->wake);
	if (rings_empty(c))
		poll(&p, 1, timeout_ms);
	ir_wakeup_disarm(c->loop->wake);
}

static void
free_rest(struct core *c)
{
	struct doomed *d, *next;

	talloc_free(c->node);
	HASH_ITER (hh, c->doomed, d, next) {
		HASH_DEL(c->doomed, d);
		talloc_free(d);
	}
	for (int i = 0; i < IR_DUTY_COUNT; i++)
		ir_outbox_clear(&c->out[i]);
	while (c->owed != NULL) {
		struct owed *o = c->owed;

		DL_DELETE(c->owed, o);
		talloc_free(o->message);
		talloc_free(o);
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
	for (int d = 0; d < IR_DUTY_COUNT; d++)
		ir_outbox_init(&c->out[d], c->loop->channels[d]->from_core);
	ns = node_settings(c->loop, c->loop->settings);
	c->node = ir_check_alloc(
	    ir_node_new(c, ir_clock_now(), &ns, &ir_core_ops, c));
	while (!c->ended) {
		more = take_batches(c);
		tick(c);
		flushed = flush(c);
		if (!more && !c->ended)
			wait_for_work(c, flushed);
	}
	free_rest(c);
	return NULL;
}
