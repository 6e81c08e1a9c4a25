/* The gate of the local upstream. */
#include "upstream/gate.h"

#include "core/random.h"
#include "ibisrail/limits.h"
#include "upstream/queue.h"
#include "upstream/shed.h"

/* Bounds of the queue: by wait, by number, and by accounts that share it. */
#define WHOLE_WEIGHT (1.0 / 16)
#define QUEUE_WAIT_US (100 * IR_US_PER_MS)
#define MIN_QUEUE 8
#define MAX_QUEUE 1024
#define MAX_QUEUE_PLAIN 100000
#define QUEUE_PER_FLOW 4
/* Share of the limit that is used even when no work seems able to end. */
#define PROBE_DIVISOR 8
#define SWEEP_US IR_US_PER_MS
#define FLOW_IDLE_US (10 * IR_US_PER_S)
#define RETRY_BASE_US (50 * IR_US_PER_MS)
#define MIN_RETRY_MS 10
#define MAX_RETRY_MS 5000

struct ir_gate {
	struct ir_gate_ops ops;
	void *ctx;
	enum ir_gate_policy policy;
	uint32_t slots;
	uint32_t told_slots; /* of the upstream itself; 0: not told */
	uint32_t running;
	uint64_t random;
	int64_t swept_us;
	struct ir_limit limit;
	double whole_us; /* of a run, waiting for callees too; moving average */
	struct ir_queue *queue;
	struct ir_shed shed;
};

/* What a run is expected to take. */
static int64_t
service_time_us(const struct ir_gate *g)
{
	return (int64_t)g->whole_us;
}

struct ir_gate *
ir_gate_new(TALLOC_CTX *mem, const struct ir_gate_ops *ops, void *ctx,
    uint32_t slots, uint64_t seed, int64_t now)
{
	struct ir_gate *g = talloc_zero(mem, struct ir_gate);

	if (g == NULL)
		return NULL;
	g->queue = ir_queue_new(g);
	if (g->queue == NULL) {
		talloc_free(g);
		return NULL;
	}
	g->ops = *ops;
	g->ctx = ctx;
	g->slots = slots;
	g->random = seed;
	g->swept_us = now;
	ir_limit_init(&g->limit, now, slots);
	ir_shed_init(&g->shed, now);
	return g;
}

void
ir_gate_set_policy(struct ir_gate *g, enum ir_gate_policy policy)
{
	g->policy = policy;
}

void
ir_gate_set_slots(struct ir_gate *g, uint32_t slots)
{
	g->slots = slots;
	ir_limit_set_slots(&g->limit, slots);
}

void
ir_gate_set_told_slots(struct ir_gate *g, uint32_t slots)
{
	g->told_slots = slots;
}

static uint32_t
limit_now(const struct ir_gate *g)
{
	if (g->told_slots > 0)
		return g->told_slots;
	if (g->policy == IR_GATE_PLAIN)
		return g->slots > 0 ? g->slots : 1;
	return ir_limit_now(&g->limit);
}

/* Time until n requests have been taken from the queue. */
static int64_t
wait_us(const struct ir_gate *g, uint32_t n)
{
	return n * service_time_us(g) / limit_now(g);
}

/*
 * While few run, work is started whatever the estimate says: an estimate
 * that refuses everything would never be corrected.
 */
static bool
probing(const struct ir_gate *g)
{
	uint32_t probes = limit_now(g) / PROBE_DIVISOR;

	return g->running < (probes > 0 ? probes : 1);
}

static bool
can_end(const struct ir_gate *g, int64_t start_us, const struct ir_work *w)
{
	return start_us + service_time_us(g) <= w->deadline_us;
}

static bool
may_start(const struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	if (g->policy == IR_GATE_PLAIN)
		return true;
	return can_end(g, now, w) || (now < w->deadline_us && probing(g));
}

static uint32_t
queue_bound(const struct ir_gate *g)
{
	int64_t service_us = service_time_us(g);
	uint32_t limit = limit_now(g);
	uint32_t fair = QUEUE_PER_FLOW * g->queue->active_count;
	uint64_t n = MIN_QUEUE;

	if (g->policy == IR_GATE_PLAIN)
		return MAX_QUEUE_PLAIN;
	if (service_us > 0)
		n = limit * QUEUE_WAIT_US / service_us;
	n = n < limit ? limit : n;
	n = n < fair ? fair : n;
	n = n < MIN_QUEUE ? MIN_QUEUE : n;
	return n < MAX_QUEUE ? (uint32_t)n : MAX_QUEUE;
}

/* Longer the more is refused, and spread out. */
static uint32_t
retry_after_ms(struct ir_gate *g)
{
	double us = RETRY_BASE_US + (double)wait_us(g, g->queue->count);
	double spread = 0.5 + (double)ir_random_below(&g->random, 1000) / 1000;
	double ms;

	ms = us * (1 + g->shed.pressure) * spread / (double)IR_US_PER_MS;
	if (ms < MIN_RETRY_MS)
		return MIN_RETRY_MS;
	return ms < MAX_RETRY_MS ? (uint32_t)ms : MAX_RETRY_MS;
}

/* The callback comes last: it may free the work. */
static void
refuse(struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_error kind)
{
	if (w->flow != NULL)
		ir_shed_refused(&g->shed, w->flow);
	w->flow = NULL;
	w->state = IR_WORK_ENDED;
	g->ops.refuse(g->ctx, now, w, kind, retry_after_ms(g));
}

static void
refuse_queued(
    struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_error kind)
{
	ir_queue_remove(g->queue, w);
	refuse(g, now, w, kind);
}

static void
start(struct ir_gate *g, int64_t now, struct ir_work *w)
{
	ir_shed_started(&g->shed, w->flow);
	w->flow = NULL;
	w->state = IR_WORK_RUNNING;
	w->started_us = now;
	g->running++;
	g->ops.start(g->ctx, now, w);
}

static void
fill(struct ir_gate *g, int64_t now)
{
	while (g->running < limit_now(g) && g->queue->count > 0) {
		struct ir_work *w = ir_queue_pop(g->queue);

		if (may_start(g, now, w)) {
			start(g, now, w);
			continue;
		}
		ir_queue_refund(w->flow);
		refuse(g, now, w, IR_E_DEADLINE);
	}
}

/* Drops queued work that can no longer end in time. */
static void
sweep(struct ir_gate *g, int64_t now)
{
	int64_t before_us = now + service_time_us(g);
	struct ir_work *w;

	if (g->policy == IR_GATE_PLAIN || now - g->swept_us < SWEEP_US)
		return;
	g->swept_us = now;
	while ((w = ir_queue_overdue(g->queue, before_us)) != NULL)
		refuse_queued(g, now, w, IR_E_DEADLINE);
}

/* Brings the queue back to its bound. */
static void
trim_queue(struct ir_gate *g, int64_t now)
{
	if (g->queue->count > queue_bound(g))
		sweep(g, now);
	while (g->queue->count > queue_bound(g)) {
		refuse_queued(g, now, ir_queue_victim(g->queue), IR_E_OVERLOAD);
	}
}

static struct ir_flow *
flow_of(struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	if (g->policy == IR_GATE_PLAIN)
		return ir_queue_flow(g->queue, now, 0, "", 1);
	return ir_queue_flow(g->queue, now, ir_priority_class(w->priority),
	    w->account, w->weight);
}

/* Would it, after the work ahead of it, start early enough? */
static bool
worth_queueing(const struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	uint32_t ahead;

	if (g->policy == IR_GATE_PLAIN)
		return g->queue->count < MAX_QUEUE_PLAIN;
	ahead = ir_queue_ahead(g->queue, w->flow);
	return can_end(g, now + wait_us(g, ahead + 1), w);
}

/* Its deadline, when it could not end in time even if it were next. */
static enum ir_error
why_not(const struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	return can_end(g, now + wait_us(g, 1), w) ? IR_E_OVERLOAD
						  : IR_E_DEADLINE;
}

/*
 * What cannot end in time is followed by less important work that is due no
 * later: by the same estimate that cannot either, and it must not run where
 * the more important one was refused.
 */
static void
refuse_below(struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	uint32_t class = ir_priority_class(w->priority);
	struct ir_work *below;

	if (g->policy == IR_GATE_PLAIN)
		return;
	while (
	    (below = ir_queue_below(g->queue, class, w->deadline_us)) != NULL)
		refuse_queued(g, now, below, IR_E_DEADLINE);
}

void
ir_gate_offer(struct ir_gate *g, int64_t now, struct ir_work *w)
{
	w->state = IR_WORK_NEW;
	w->offered_us = now;
	w->flow = flow_of(g, now, w);
	if (w->flow == NULL) {
		refuse(g, now, w, IR_E_OVERLOAD);
		return;
	}
	if (!may_start(g, now, w)) {
		refuse(g, now, w, IR_E_DEADLINE);
		return;
	}
	if (g->queue->count == 0 && g->running < limit_now(g)) {
		start(g, now, w);
		return;
	}
	if (!worth_queueing(g, now, w)) {
		refuse_below(g, now, w);
		refuse(g, now, w, why_not(g, now, w));
		return;
	}
	w->state = IR_WORK_QUEUED;
	ir_queue_push(g->queue, w);
	fill(g, now);
	trim_queue(g, now);
}

static void
note_whole(struct ir_gate *g, double us)
{
	if (g->whole_us <= 0)
		g->whole_us = us;
	g->whole_us += WHOLE_WEIGHT * (us - g->whole_us);
}

static void
note_in_vain(struct ir_gate *g, int64_t now, struct ir_work *w)
{
	struct ir_flow *f = flow_of(g, now, w);

	if (f != NULL)
		ir_shed_in_vain(&g->shed, f);
}

static void
end_run(struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_sample s)
{
	int64_t whole_us = now - w->started_us;

	if (s == IR_SAMPLE_OK)
		note_whole(g, (double)whole_us);
	if (s == IR_SAMPLE_CALLEE_SHED)
		note_in_vain(g, now, w);
	/* What callees take says nothing of this upstream's concurrency. */
	ir_limit_sample(&g->limit, now, s, whole_us - w->callee_us, g->running);
	g->running--;
	w->state = IR_WORK_ENDED;
	fill(g, now);
}

void
ir_gate_done(
    struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_sample s)
{
	if (w->state == IR_WORK_RUNNING)
		end_run(g, now, w, s);
}

void
ir_gate_cancel(struct ir_gate *g, int64_t now, struct ir_work *w)
{
	if (w->state == IR_WORK_RUNNING) {
		end_run(g, now, w, IR_SAMPLE_IGNORED);
		return;
	}
	if (w->state == IR_WORK_QUEUED)
		ir_queue_remove(g->queue, w);
	w->flow = NULL;
	w->state = IR_WORK_ENDED;
}

void
ir_gate_tick(struct ir_gate *g, int64_t now)
{
	sweep(g, now);
	ir_shed_tick(&g->shed, g->queue, now);
	fill(g, now);
	trim_queue(g, now);
	ir_queue_trim(g->queue, now - FLOW_IDLE_US);
}

struct ir_load
ir_gate_load(const struct ir_gate *g, int64_t now, const char *account)
{
	struct ir_load load = {
	    .limit = limit_now(g),
	    .running = g->running,
	    .queued = g->queue->count,
	    .service_time_us = (uint32_t)service_time_us(g),
	};

	if (g->policy == IR_GATE_PLAIN)
		return load;
	load.shed_level = ir_shed_level(&g->shed);
	load.account_shed_level =
	    ir_shed_account_level(&g->shed, g->queue, account);
	return load;
}

uint32_t
ir_gate_held(const struct ir_gate *g)
{
	return g->running + g->queue->count;
}
