/* Admission control of the local upstream. */
#include "upstream/gate.h"

#include "core/random.h"
#include "ibisrail/limits.h"
#include "upstream/bad_runs.h"
#include "upstream/knee.h"
#include "upstream/queue.h"
#include "upstream/ramp.h"
#include "upstream/rate_cap.h"
#include "upstream/shed.h"

/* Weight of a new run in the moving average of run times. */
#define RUN_TIME_WEIGHT (1.0 / 16)
/*
 * The queue holds the work that is expected to start within QUEUE_WAIT_US, but
 * at least as many requests as may run, and QUEUE_PER_FLOW for each flow in it.
 */
#define QUEUE_WAIT_US (100 * IR_US_PER_MS)
#define MIN_QUEUE 8
#define MAX_QUEUE 1024
#define MAX_QUEUE_PLAIN 100000
#define QUEUE_PER_FLOW 4
/* Fraction of the limit used even if no work is expected to end in time. */
#define PROBE_LIMIT_DIVISOR 8
/* Minimum interval between scans of the queue for overdue work. */
#define EXPIRY_INTERVAL_US IR_US_PER_MS
/* How long an empty flow keeps its credit and shed level. */
#define FLOW_IDLE_US (10 * IR_US_PER_S)
/* Retry times that are sent with refusals. */
#define RETRY_BASE_US (50 * IR_US_PER_MS)
#define MIN_RETRY_MS 10
#define MAX_RETRY_MS 5000

struct ir_gate {
	struct ir_gate_ops ops;
	void *ctx;
	enum ir_gate_policy policy;
	uint32_t slots;
	uint32_t reported_slots; /* by the upstream itself; 0: none */
	uint32_t running;
	uint64_t random;
	int64_t last_expiry_us;
	struct ir_limit limit;
	struct ir_rate_cap rate_cap; /* named by the upstream itself */
	bool ramp_enabled;
	struct ir_ramp ramp;
	struct ir_knee knee;
	struct ir_bad_runs bad_runs;
	double mean_run_us;   /* moving average; includes waits for callees */
	uint32_t slots_bound; /* by the upstream's reports; 0: none */
	double slowdown;      /* by the upstream's reports; 0: unknown */
	/*
	 * Moving averages over runs while the slowdown was known: work at the
	 * usual speed, and the time spent waiting for callees.
	 */
	double mean_work_us;
	double mean_callee_wait_us;
	struct ir_queue *queue;
	struct ir_shed shed;
};

/* Expected time of a run. */
static int64_t
expected_run_us(const struct ir_gate *g)
{
	if (g->slowdown > 0 && g->mean_work_us > 0)
		return (int64_t)(g->slowdown * g->mean_work_us +
				 g->mean_callee_wait_us);
	return (int64_t)g->mean_run_us;
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
	g->last_expiry_us = now;
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
ir_gate_set_reported_slots(struct ir_gate *g, uint32_t slots)
{
	g->reported_slots = slots;
}

void
ir_gate_set_report(struct ir_gate *g, uint32_t slots, double slowdown)
{
	g->slots_bound = slots;
	g->slowdown = slowdown;
}

void
ir_gate_set_rate_cap(struct ir_gate *g, int64_t now, uint64_t mt_per_s)
{
	ir_rate_cap_set(&g->rate_cap, now, mt_per_s);
}

void
ir_gate_clear_rate_cap(struct ir_gate *g)
{
	ir_rate_cap_clear(&g->rate_cap);
}

void
ir_gate_hold_rate_cap(struct ir_gate *g, int64_t now)
{
	ir_rate_cap_hold(&g->rate_cap, now);
}

static uint32_t
limit_without_bound(const struct ir_gate *g)
{
	if (g->reported_slots > 0)
		return g->reported_slots;
	if (g->policy == IR_GATE_BASELINE)
		return g->slots > 0 ? g->slots : 1;
	return ir_limit_current(&g->limit);
}

static uint32_t
bounded(const struct ir_gate *g, uint32_t limit)
{
	return g->slots_bound > 0 && g->slots_bound < limit ? g->slots_bound
							    : limit;
}

static uint32_t
regular_limit(const struct ir_gate *g)
{
	uint32_t limit = bounded(g, limit_without_bound(g));

	if (g->slots_bound == 0 || limit < g->slots_bound)
		return limit;
	return ir_knee_limit(&g->knee, limit);
}

/*
 * After a start or an outage the adaptive limit is low, and grows up to most of
 * the slots whatever the latency. The ramp has to last until then. Above the
 * slots that limit allows queueing in the upstream, which would seem to be
 * slower rounds, and finds it by itself.
 */
static uint32_t
ramp_target(const struct ir_gate *g)
{
	return bounded(g, g->reported_slots > 0 ? g->reported_slots : g->slots);
}

static uint32_t
current_limit(const struct ir_gate *g)
{
	return ir_ramp_limit(&g->ramp, regular_limit(g));
}

void
ir_gate_enable_ramp(struct ir_gate *g)
{
	g->ramp_enabled = true;
}

void
ir_gate_begin_ramp(struct ir_gate *g, int64_t now)
{
	if (g->ramp_enabled)
		ir_ramp_begin(&g->ramp, now, ramp_target(g));
}

uint32_t
ir_gate_ramp_limit(const struct ir_gate *g)
{
	return g->ramp.allowed;
}

/* Expected time until n requests have left the queue. */
static int64_t
expected_wait_us(const struct ir_gate *g, int64_t now, uint32_t n)
{
	int64_t capped_us = ir_rate_cap_wait_us(&g->rate_cap, now, n);
	int64_t us = n * expected_run_us(g) / current_limit(g);

	return us > capped_us ? us : capped_us;
}

/* Whether the upstream takes one more run now. */
static bool
has_free_slot(const struct ir_gate *g, int64_t now)
{
	return g->running < current_limit(g) &&
	       ir_rate_cap_wait_us(&g->rate_cap, now, 1) == 0;
}

/*
 * While few requests run, work is started whatever the expected run time: an
 * estimate by which everything is refused would never be corrected.
 */
static bool
below_probe_limit(const struct ir_gate *g)
{
	uint32_t probes = current_limit(g) / PROBE_LIMIT_DIVISOR;

	return g->running < (probes > 0 ? probes : 1);
}

static bool
can_finish_in_time(
    const struct ir_gate *g, int64_t start_us, const struct ir_work *w)
{
	return start_us + expected_run_us(g) <= w->deadline_us;
}

static bool
may_start(const struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	if (g->policy == IR_GATE_BASELINE)
		return true;
	return can_finish_in_time(g, now, w) ||
	       (now < w->deadline_us && below_probe_limit(g));
}

/* Number of runs, at least 1, that the rate cap lets start in QUEUE_WAIT_US. */
static uint32_t
capped_queue_bound(const struct ir_gate *g)
{
	int64_t n;

	if (g->rate_cap.interval_us == 0)
		return MAX_QUEUE;
	n = QUEUE_WAIT_US / g->rate_cap.interval_us;
	if (n < 1)
		return 1;
	return n < MAX_QUEUE ? (uint32_t)n : MAX_QUEUE;
}

static uint32_t
queue_bound(const struct ir_gate *g)
{
	int64_t run_us = expected_run_us(g);
	uint32_t limit = current_limit(g);
	uint32_t by_flows = QUEUE_PER_FLOW * g->queue->active_count;
	uint32_t capped = capped_queue_bound(g);
	uint64_t n = MIN_QUEUE;

	if (g->policy == IR_GATE_BASELINE)
		return MAX_QUEUE_PLAIN;
	if (run_us > 0)
		n = limit * QUEUE_WAIT_US / run_us;
	n = n < limit ? limit : n;
	n = n < by_flows ? by_flows : n;
	n = n < MIN_QUEUE ? MIN_QUEUE : n;
	return n < capped ? (uint32_t)n : capped;
}

/* Grows with the refusal ratio; randomized so that retries spread out. */
static uint32_t
retry_after_ms(struct ir_gate *g, int64_t now)
{
	double us =
	    RETRY_BASE_US + (double)expected_wait_us(g, now, g->queue->count);
	double spread = 0.5 + (double)ir_random_below(&g->random, 1000) / 1000;
	double ms;

	ms = us * (1 + g->shed.refusal_ratio) * spread / (double)IR_US_PER_MS;
	if (ms < MIN_RETRY_MS)
		return MIN_RETRY_MS;
	return ms < MAX_RETRY_MS ? (uint32_t)ms : MAX_RETRY_MS;
}

/* Calls back last, as the callback may free w. */
static void
refuse(struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_error kind)
{
	if (w->flow != NULL)
		ir_shed_count_refused(&g->shed, w->flow);
	w->flow = NULL;
	w->state = IR_WORK_ENDED;
	g->ops.refuse(g->ctx, now, w, kind, retry_after_ms(g, now));
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
	ir_shed_count_started(&g->shed, w->flow);
	w->flow = NULL;
	w->state = IR_WORK_RUNNING;
	w->started_us = now;
	w->start_slowdown = g->slowdown;
	g->running++;
	ir_rate_cap_take(&g->rate_cap, now);
	g->ops.start(g->ctx, now, w);
}

static void
start_queued(struct ir_gate *g, int64_t now)
{
	while (has_free_slot(g, now) && g->queue->count > 0) {
		struct ir_work *w = ir_queue_pop(g->queue);

		if (may_start(g, now, w)) {
			start(g, now, w);
			continue;
		}
		ir_queue_refund(w->flow);
		refuse(g, now, w, IR_E_DEADLINE);
	}
}

/* Refuses queued work that is not expected to finish by its deadline. */
static void
expire_queued(struct ir_gate *g, int64_t now)
{
	int64_t before_us = now + expected_run_us(g);
	struct ir_work *w;

	if (g->policy == IR_GATE_BASELINE ||
	    now - g->last_expiry_us < EXPIRY_INTERVAL_US)
		return;
	g->last_expiry_us = now;
	while ((w = ir_queue_find_overdue(g->queue, before_us)) != NULL)
		refuse_queued(g, now, w, IR_E_DEADLINE);
}

/* Refuses work until the queue is within its bound. */
static void
evict_excess(struct ir_gate *g, int64_t now)
{
	if (g->queue->count > queue_bound(g))
		expire_queued(g, now);
	while (g->queue->count > queue_bound(g)) {
		refuse_queued(
		    g, now, ir_queue_find_victim(g->queue), IR_E_OVERLOAD);
	}
}

static struct ir_flow *
get_flow(struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	if (g->policy == IR_GATE_BASELINE)
		return ir_queue_get_flow(g->queue, now, 0, "", 1);
	return ir_queue_get_flow(g->queue, now, ir_priority_class(w->priority),
	    w->account, w->weight);
}

/* Whether w is expected to finish in time after the work ahead of it. */
static bool
can_wait_in_queue(const struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	uint32_t ahead;

	if (g->policy == IR_GATE_BASELINE)
		return g->queue->count < MAX_QUEUE_PLAIN;
	ahead = ir_queue_count_ahead(g->queue, w->flow);
	return can_finish_in_time(
	    g, now + expected_wait_us(g, now, ahead + 1), w);
}

/* IR_E_DEADLINE if w could not finish in time even if it were next. */
static enum ir_error
refusal_reason(const struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	return can_finish_in_time(g, now + expected_wait_us(g, now, 1), w)
		   ? IR_E_OVERLOAD
		   : IR_E_DEADLINE;
}

/*
 * Called when w is about to be refused. Also refuses queued work of lower
 * classes that is due no later than w: by the same estimate that work cannot
 * finish in time either, and less important work must not run instead of w.
 */
static void
refuse_less_important(struct ir_gate *g, int64_t now, const struct ir_work *w)
{
	uint32_t class = ir_priority_class(w->priority);
	struct ir_work *below;

	if (g->policy == IR_GATE_BASELINE)
		return;
	while ((below = ir_queue_find_lower_class(
		    g->queue, class, w->deadline_us)) != NULL)
		refuse_queued(g, now, below, IR_E_DEADLINE);
}

void
ir_gate_offer(struct ir_gate *g, int64_t now, struct ir_work *w)
{
	ir_ramp_tick(&g->ramp, now, ramp_target(g));
	w->state = IR_WORK_NEW;
	w->offered_us = now;
	w->flow = get_flow(g, now, w);
	if (w->flow == NULL) {
		refuse(g, now, w, IR_E_OVERLOAD);
		return;
	}
	if (!may_start(g, now, w)) {
		refuse(g, now, w, IR_E_DEADLINE);
		return;
	}
	if (g->queue->count == 0 && has_free_slot(g, now)) {
		start(g, now, w);
		return;
	}
	if (!can_wait_in_queue(g, now, w)) {
		refuse_less_important(g, now, w);
		refuse(g, now, w, refusal_reason(g, now, w));
		return;
	}
	w->state = IR_WORK_QUEUED;
	ir_queue_push(g->queue, w);
	start_queued(g, now);
	evict_excess(g, now);
}

static void
update_mean(double *mean_us, double us)
{
	if (*mean_us <= 0)
		*mean_us = us;
	*mean_us += RUN_TIME_WEIGHT * (us - *mean_us);
}

/*
 * The speed may have changed during the run, so that the mean of the slowdowns
 * at its start and end is taken.
 */
static void
update_mean_work(struct ir_gate *g, const struct ir_work *w, int64_t run_us)
{
	double slowdown = g->slowdown;
	int64_t work_us = run_us - w->callee_wait_us;

	if (slowdown <= 0)
		return;
	if (w->start_slowdown > 0)
		slowdown = (slowdown + w->start_slowdown) / 2;
	if (g->mean_work_us <= 0)
		g->mean_callee_wait_us = (double)w->callee_wait_us;
	g->mean_callee_wait_us += RUN_TIME_WEIGHT * ((double)w->callee_wait_us -
							g->mean_callee_wait_us);
	update_mean(&g->mean_work_us, (double)work_us / slowdown);
}

/* Takes the run's work at the usual speed, as the present one changes. */
static void
update_knee(
    struct ir_gate *g, int64_t now, const struct ir_work *w, int64_t run_us)
{
	double slowdown = g->slowdown > 0 ? g->slowdown : 1;

	if (w->start_slowdown > 0)
		slowdown = (slowdown + w->start_slowdown) / 2;
	ir_knee_run_ended(&g->knee, now, w->started_us,
	    (double)(run_us - w->callee_wait_us) / slowdown, g->running,
	    g->slots_bound);
}

static void
update_mean_run_time(struct ir_gate *g, const struct ir_work *w, int64_t run_us)
{
	update_mean(&g->mean_run_us, (double)run_us);
	update_mean_work(g, w, run_us);
}

static void
count_wasted_run(struct ir_gate *g, int64_t now, struct ir_work *w)
{
	struct ir_flow *f = get_flow(g, now, w);

	if (f != NULL)
		ir_shed_count_wasted(&g->shed, f);
}

static void
update_ramp(struct ir_gate *g, int64_t now, const struct ir_work *w,
    enum ir_sample s, int64_t latency_us)
{
	uint32_t regular = regular_limit(g);

	if (s == IR_SAMPLE_OK)
		ir_ramp_run_good(
		    &g->ramp, now, w->started_us, latency_us, regular);
	else if (s == IR_SAMPLE_SHED || s == IR_SAMPLE_FAILED)
		ir_ramp_run_bad(&g->ramp, now, w->started_us, regular);
	ir_ramp_tick(&g->ramp, now, ramp_target(g));
}

static void
end_run(struct ir_gate *g, int64_t now, struct ir_work *w, enum ir_sample s)
{
	int64_t run_us = now - w->started_us;

	if (s == IR_SAMPLE_OK) {
		update_mean_run_time(g, w, run_us);
		update_knee(g, now, w, run_us);
	}
	if (s == IR_SAMPLE_CALLEE_REFUSED)
		count_wasted_run(g, now, w);
	if (s != IR_SAMPLE_IGNORED)
		ir_bad_runs_add(&g->bad_runs, now,
		    s == IR_SAMPLE_SHED || s == IR_SAMPLE_FAILED);
	/* Time spent waiting for callees does not depend on this upstream. */
	ir_limit_sample(
	    &g->limit, now, s, run_us - w->callee_wait_us, g->running);
	update_ramp(g, now, w, s, run_us - w->callee_wait_us);
	g->running--;
	w->state = IR_WORK_ENDED;
	start_queued(g, now);
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

uint32_t
ir_gate_refuse_queued(struct ir_gate *g, int64_t now, enum ir_error kind)
{
	uint32_t n = g->queue->count;

	while (g->queue->count > 0) {
		struct ir_work *w = ir_queue_find_victim(g->queue);

		ir_queue_remove(g->queue, w);
		w->flow = NULL;
		refuse(g, now, w, kind);
	}
	return n;
}

void
ir_gate_tick(struct ir_gate *g, int64_t now)
{
	ir_ramp_tick(&g->ramp, now, ramp_target(g));
	expire_queued(g, now);
	ir_shed_tick(&g->shed, g->queue, now);
	start_queued(g, now);
	evict_excess(g, now);
	ir_queue_free_idle_flows(g->queue, now - FLOW_IDLE_US);
}

/*
 * A gate that may not start a run now, or whose upstream refuses or breaks
 * many, has as much work as its limit, so that balancers prefer other hosts.
 */
static void
show_as_full(struct ir_load *load)
{
	if (load->running + load->queued == 0)
		load->queued = 1;
	if (load->limit > load->running + load->queued)
		load->limit = load->running + load->queued;
}

/*
 * Expected time of a run, for balancers. At its present speed it includes the
 * wait for the rate cap, which the limit does not show.
 */
static uint32_t
reported_service_time(const struct ir_gate *g, int64_t now)
{
	int64_t us = expected_run_us(g);

	if (g->slowdown <= 0 || g->mean_work_us <= 0)
		return (uint32_t)us;
	us += ir_rate_cap_wait_us(&g->rate_cap, now, g->queue->count + 1);
	if (us >= IR_LOAD_SPEED_KNOWN)
		us = IR_LOAD_SPEED_KNOWN - 1;
	return (uint32_t)us | IR_LOAD_SPEED_KNOWN;
}

struct ir_load
ir_gate_load(const struct ir_gate *g, int64_t now, const char *account)
{
	struct ir_load load = {
	    .limit = current_limit(g),
	    .running = g->running,
	    .queued = g->queue->count,
	    .service_time_us = reported_service_time(g, now),
	};

	if (g->policy == IR_GATE_BASELINE)
		return load;
	if (ir_rate_cap_wait_us(&g->rate_cap, now, 1) > 0 ||
	    ir_bad_runs_are_frequent(&g->bad_runs, now))
		show_as_full(&load);
	load.shed_level = ir_shed_level(&g->shed);
	load.account_shed_level =
	    ir_shed_account_level(&g->shed, g->queue, account);
	return load;
}

uint32_t
ir_gate_work_count(const struct ir_gate *g)
{
	return g->running + g->queue->count;
}
