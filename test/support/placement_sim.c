/* Senders, balancers and gates of one service in simulated time. */
#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "support/placement_sim.h"
#include "upstream/gate.h"
#include "upstream/load_report.h"
#include "zone/balancer.h"

#define MS IR_US_PER_MS
#define SENDERS 12
#define SLOTS 16
#define SERVICE_US (20 * MS)
#define DEADLINE_US IR_US_PER_S
#define SWING_PERIOD_US (17 * IR_US_PER_S)
#define PHASE_US (600 * MS)
#define SLOW_FACTOR 2.5
#define SLOW_ONE_IN 7
#define FULL_FACTOR 1.3
#define FULL_FRACTION 0.95
#define STEP_US 100
#define SLOTS_OF_WHEEL 32768
#define MAX_REQUESTS (1 << 16)
#define HEARTBEAT_US (200 * MS)
#define WARM_UP_US IR_US_PER_S
#define HISTOGRAM_STEPS 12000
#define MAX_SECONDS 120

enum step {
	ARRIVES,
	ENDS,
	ANSWERED
};

struct request {
	struct ir_work work;
	struct sim *sim;
	enum step step;
	int sender, host;
	int64_t sent_us;
	bool ran;
	struct ir_load load; /* on its answer */
	struct request *next;
};

struct host {
	struct sim *sim;
	struct ir_gate *gate;
	struct ir_upstream_load load;
	double speed;
	int64_t slow_until_us;
	int64_t phase_ends_us;
};

struct sim {
	const struct placement_options *o;
	struct placement_result *result;
	uint64_t random;
	int64_t now;
	double capacity_per_us;
	struct host hosts[PLACEMENT_HOSTS];
	struct ir_host listed[PLACEMENT_HOSTS + SENDERS];
	struct ir_host *listed_hosts[PLACEMENT_HOSTS];
	struct ir_service service;
	struct ir_zone zones[PLACEMENT_ZONES];
	struct ir_view view;
	struct ir_balancer *senders[SENDERS];
	struct request *wheel[SLOTS_OF_WHEEL];
	struct request *free;
	struct request requests[MAX_REQUESTS];
	uint32_t histogram[HISTOGRAM_STEPS];
	uint32_t offered[MAX_SECONDS], in_time[MAX_SECONDS];
	uint64_t near_sent, far_sent; /* of zone 0 */
};

static double
fraction(struct sim *s)
{
	return (double)(ir_random(&s->random) >> 11) / 9007199254740992.0;
}

static void
schedule(struct sim *s, struct request *r, enum step step, int64_t in_us)
{
	int64_t steps = in_us / STEP_US;
	uint64_t at;

	if (steps < 1)
		steps = 1;
	assert(steps < SLOTS_OF_WHEEL);
	at = (uint64_t)(s->now / STEP_US + steps) % SLOTS_OF_WHEEL;
	r->step = step;
	r->next = s->wheel[at];
	s->wheel[at] = r;
}

static int64_t
one_way_us(const struct sim *s, const struct request *r)
{
	return r->sender % PLACEMENT_ZONES == r->host % PLACEMENT_ZONES ? 200
									: 1250;
}

static bool
is_slow(const struct host *h, int64_t now)
{
	return now < h->slow_until_us;
}

/* In each phase of 600 ms one host in seven is slow. */
static void
change_phase(struct sim *s, struct host *h)
{
	if (!s->o->slow_phases || s->now < h->phase_ends_us)
		return;
	h->phase_ends_us = s->now + PHASE_US;
	h->slow_until_us = ir_random_below(&s->random, SLOW_ONE_IN) == 0
			       ? h->phase_ends_us
			       : 0;
}

static void
on_start(void *ctx, int64_t now, struct ir_work *w)
{
	struct host *h = ctx;
	struct request *r = w->owner;
	double us = SERVICE_US * (0.5 + fraction(h->sim)) / h->speed;

	if (is_slow(h, now))
		us *= SLOW_FACTOR;
	if (h->sim->o->slow_when_full &&
	    ir_gate_load(h->gate, now, "").running > FULL_FRACTION * SLOTS)
		us *= FULL_FACTOR;
	schedule(h->sim, r, ENDS, (int64_t)us);
}

static void
answer(struct sim *s, struct request *r, bool ran)
{
	r->ran = ran;
	r->load = ir_gate_load(s->hosts[r->host].gate, s->now, "a");
	schedule(s, r, ANSWERED, one_way_us(s, r));
}

static void
on_refuse(void *ctx, int64_t now, struct ir_work *w, enum ir_error kind,
    uint32_t retry_after_ms)
{
	struct host *h = ctx;

	answer(h->sim, w->owner, false);
}

static void
read_report(struct sim *s, int index)
{
	struct host *h = &s->hosts[index];
	struct ir_header header = {(char *)"load", NULL};
	bool silent = s->o->stop_from_us != 0 && s->now >= s->o->stop_from_us;
	int percent = is_slow(h, s->now) ? (int)(SLOW_FACTOR * 100) : 100;
	char text[64];
	bool refused;

	if (index == s->o->nonsense_host)
		percent = ir_random_below(&s->random, 2) ? 3 : 9000;
	(void)snprintf(text, sizeof(text), "%d,%d,%d,%d", 0, 0, SLOTS, percent);
	header.value = text;
	(void)ir_upstream_load_answered(
	    &h->load, s->now, "load", &header, silent ? 0 : 1, &refused);
}

static void
end_run(struct sim *s, struct request *r)
{
	if (s->o->report_speed)
		read_report(s, r->host);
	ir_gate_set_report(s->hosts[r->host].gate,
	    ir_upstream_load_slots(&s->hosts[r->host].load),
	    ir_upstream_load_slowdown(&s->hosts[r->host].load, s->now));
	ir_gate_done(s->hosts[r->host].gate, s->now, &r->work, IR_SAMPLE_OK);
	s->result->served[r->host]++;
	answer(s, r, true);
}

static void
count_answer(struct sim *s, const struct request *r)
{
	int64_t us = s->now - r->sent_us;
	int64_t step = us / STEP_US;
	int second = (int)(r->sent_us / IR_US_PER_S);

	if (r->sent_us < WARM_UP_US)
		return;
	s->result->offered++;
	s->offered[second]++;
	s->result->refused += !r->ran;
	if (!r->ran || step >= HISTOGRAM_STEPS)
		step = HISTOGRAM_STEPS - 1;
	s->histogram[step]++;
	if (r->ran && us <= PLACEMENT_TARGET_US) {
		s->result->in_time++;
		s->in_time[second]++;
	}
}

static void
handle(struct sim *s, struct request *r)
{
	switch (r->step) {
	case ARRIVES:
		r->work = (struct ir_work){.account = "a",
		    .weight = 1,
		    .priority = ir_priority(1, false, 5),
		    .deadline_us = r->sent_us + DEADLINE_US,
		    .owner = r};
		ir_gate_offer(s->hosts[r->host].gate, s->now, &r->work);
		break;
	case ENDS:
		end_run(s, r);
		break;
	default:
		ir_balancer_request_done(s->senders[r->sender], s->now,
		    s->listed[r->host].name, "a", &r->load,
		    s->now - r->sent_us);
		count_answer(s, r);
		r->next = s->free;
		s->free = r;
		break;
	}
}

static void
send_request(struct sim *s, int sender)
{
	struct ir_pick_criteria c = {.service = "s",
	    .account = "a",
	    .priority = ir_priority(1, false, 5)};
	struct request *r = s->free;
	const struct ir_host *h;
	uint32_t retry_ms;

	assert(r != NULL);
	s->free = r->next;
	r->sender = sender;
	r->sent_us = s->now;
	if (ir_balancer_pick(s->senders[sender], s->now, &s->view,
		&s->listed[PLACEMENT_HOSTS + sender], &c, &h,
		&retry_ms) != IR_PICK_OK) {
		r->ran = false;
		count_answer(s, r);
		r->next = s->free;
		s->free = r;
		return;
	}
	r->host = (int)(h - s->listed);
	ir_balancer_request_sent(s->senders[sender], s->now, h->name, false, 0);
	if (sender % PLACEMENT_ZONES == 0)
		s->near_sent++;
	if (sender % PLACEMENT_ZONES == 0 && r->host % PLACEMENT_ZONES != 0)
		s->far_sent++;
	schedule(s, r, ARRIVES, one_way_us(s, r));
}

static void
send_requests(struct sim *s)
{
	double turn = 2 * M_PI * (double)s->now / SWING_PERIOD_US;
	double per_sender = s->o->load * s->capacity_per_us / SENDERS * STEP_US;

	for (int i = 0; i < SENDERS; i++) {
		double rate = per_sender;

		if (i % PLACEMENT_ZONES == 0)
			rate *= 1 + s->o->swing * sin(turn);
		if (fraction(s) < rate)
			send_request(s, i);
	}
}

static void
tick_hosts(struct sim *s)
{
	for (int i = 0; i < PLACEMENT_HOSTS; i++) {
		struct host *h = &s->hosts[i];
		struct ir_load l;
		double work, wait_us;

		change_phase(s, h);
		if (s->now % MS != 0)
			continue;
		ir_gate_set_report(h->gate, ir_upstream_load_slots(&h->load),
		    ir_upstream_load_slowdown(&h->load, s->now));
		ir_gate_tick(h->gate, s->now);
		l = ir_gate_load(h->gate, s->now, "");
		work = (double)(l.running + l.queued) / l.limit;
		if (work > s->result->most_work && s->now > WARM_UP_US)
			s->result->most_work = work;
		wait_us = l.queued * SERVICE_US / h->speed / l.limit;
		if (wait_us > s->result->most_wait_us && s->now > WARM_UP_US)
			s->result->most_wait_us = wait_us;
		if ((s->now + i * MS) % HEARTBEAT_US != 0)
			continue;
		for (int k = 0; k < SENDERS; k++)
			ir_balancer_load_reported(
			    s->senders[k], s->now, s->listed[i].name, &l);
	}
}

static void
list_host(struct sim *s, int i, const char *service)
{
	static const char *const zones[] = {"z0", "z1"};

	s->listed[i] = (struct ir_host){.name = talloc_asprintf(s, "h%02d", i),
	    .service = service,
	    .region = "r",
	    .zone = zones[i % PLACEMENT_ZONES],
	    .upstream_id = "",
	    .slots = SLOTS};
}

static void
set_up(struct sim *s)
{
	static const struct ir_gate_ops ops = {on_start, on_refuse};
	double usual =
	    s->o->slow_phases ? 1 - (1 - 1 / SLOW_FACTOR) / SLOW_ONE_IN : 1;

	for (int i = 0; i < PLACEMENT_HOSTS; i++) {
		struct host *h = &s->hosts[i];
		int rank = i / PLACEMENT_ZONES;

		h->sim = s;
		h->speed = 0.5 + 1.1 * rank / 9;
		h->phase_ends_us = ir_random_below(&s->random, PHASE_US);
		h->gate = ir_gate_new(s, &ops, h, SLOTS, s->o->seed + i, 0);
		ir_gate_set_reported_slots(h->gate, SLOTS);
		list_host(s, i, "s");
		s->listed_hosts[i] = &s->listed[i];
		s->result->capacity[i] =
		    SLOTS * h->speed * usual / SERVICE_US * s->o->run_us;
		s->capacity_per_us += SLOTS * h->speed * usual / SERVICE_US;
	}
	for (int i = 0; i < SENDERS; i++) {
		list_host(s, PLACEMENT_HOSTS + i, "t");
		s->senders[i] = ir_balancer_new(s, s->o->seed + 1000 + i);
	}
	s->service = (struct ir_service){.name = "s",
	    .slots = SLOTS,
	    .hosts = s->listed_hosts,
	    .host_count = PLACEMENT_HOSTS};
	s->view = (struct ir_view){
	    .services = &s->service,
	    .service_count = 1,
	    .hosts = s->listed,
	    .host_count = PLACEMENT_HOSTS + SENDERS,
	};
	for (int i = 0; i < MAX_REQUESTS; i++) {
		s->requests[i].sim = s;
		s->requests[i].next = s->free;
		s->free = &s->requests[i];
	}
}

static void
finish(struct sim *s)
{
	struct placement_result *r = s->result;
	uint64_t left = r->offered / 100;
	int i = HISTOGRAM_STEPS - 1;

	for (; i > 0 && s->histogram[i] <= left; i--)
		left -= s->histogram[i];
	r->p99_us = (int64_t)i * STEP_US;
	r->worst_second = 1;
	for (int t = 1; t < s->o->run_us / IR_US_PER_S; t++) {
		double share = s->offered[t] > 0
				   ? (double)s->in_time[t] / s->offered[t]
				   : 1;

		if (share < r->worst_second)
			r->worst_second = share;
	}
	if (s->near_sent > 0)
		r->spilled = (double)s->far_sent / (double)s->near_sent;
}

struct placement_result
placement_simulate(const struct placement_options *o)
{
	struct placement_result result = {0};
	struct sim *s = talloc_zero(NULL, struct sim);

	s->o = o;
	s->result = &result;
	s->random = o->seed;
	set_up(s);
	for (s->now = 0; s->now < o->run_us; s->now += STEP_US) {
		struct request **due =
		    &s->wheel[(s->now / STEP_US) % SLOTS_OF_WHEEL];
		struct request *r = *due;

		*due = NULL;
		while (r != NULL) {
			struct request *next = r->next;

			handle(s, r);
			r = next;
		}
		tick_hosts(s);
		send_requests(s);
	}
	finish(s);
	talloc_free(s);
	return result;
}
