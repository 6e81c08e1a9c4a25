/* Load balancer: see balancer.h for the order of preference. */
#include <string.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "zone/balancer.h"
#include "zone/completion_time.h"
#include "zone/host_status.h"
#include "zone/region_set.h"

/*
 * Shed levels older than this are ignored. The age is drawn at random for each
 * request, so that the nodes do not all resume sending at once.
 */
#define MIN_LEVEL_AGE_US (150 * IR_US_PER_MS)
#define MAX_LEVEL_AGE_US IR_ACCOUNT_LEVEL_MAX_AGE_US
/* One request in this many ignores shed levels, to get a new report. */
#define PROBE_DIVISOR 32
#define SHED_FRACTION_WEIGHT (1.0 / 64)
#define RETRY_BASE_MS 100
#define MAX_RETRY_MS 5000
#define LINK_BURST_US IR_US_PER_S
#define MAX_LINK_REFILL_US (3600 * IR_US_PER_S)

/*
 * Time a byte of a request costs on the link between regions, in addition to
 * its budget: a request of 10 KB goes there only if it saves 10 ms.
 */
#define OTHER_REGION_US_PER_BYTE 1.0
/*
 * A farther host must save this fraction of the expected time at the nearer
 * one. Drawn at random for each request, so that senders do not all change
 * zones at the same difference.
 */
#define MIN_SAVING_PERCENT 10
#define MAX_SAVING_PERCENT 30

enum distance {
	SAME_ZONE,
	SAME_REGION,
	OTHER_REGION,
	DISTANCE_COUNT
};

/* Two hosts drawn at random from count hosts of equal preference. */
struct sample {
	uint32_t count;
	const struct ir_host *host[2];
	double utilization[2];
};

/* To a host and back. */
static const double network_us[DISTANCE_COUNT] = {
    [SAME_ZONE] = 400,
    [SAME_REGION] = 2500,
    [OTHER_REGION] = 40000,
};

/* Two hosts drawn at random of equal distance, and what is known of them. */
struct timed_sample {
	uint32_t count;
	const struct ir_host *host[2];
	struct ir_host_estimate estimate[2];
};

struct ir_balancer {
	uint64_t random;
	struct ir_host_status_table *statuses;
	double shed_fraction; /* moving average over recent picks */
	/*
	 * This node's byte budget on the link to the other region. A request
	 * is sent whenever the budget is above 0, and may make it negative.
	 */
	int64_t link_budget_bytes;
	int64_t link_refilled_us;
};

/* State of one ir_balancer_pick(). */
struct pick {
	struct ir_balancer *balancer;
	int64_t now;
	const struct ir_host *self;
	const struct ir_pick_criteria *criteria;
	uint32_t slots; /* of the service, if a host gives none */
	int64_t max_level_age_us;
	bool probe;	  /* ignores shed levels */
	bool shed;	  /* some host sheds the request */
	bool speed_known; /* of some host that may be picked */
	struct sample available[DISTANCE_COUNT];
	struct sample available_cold[DISTANCE_COUNT];
	struct sample saturated[DISTANCE_COUNT];
};

struct ir_balancer *
ir_balancer_new(TALLOC_CTX *mem, uint64_t seed)
{
	struct ir_balancer *b = talloc_zero(mem, struct ir_balancer);

	if (b == NULL)
		return NULL;
	b->random = seed;
	b->link_refilled_us = INT64_MIN / 2;
	b->statuses = ir_host_status_table_new(b);
	if (b->statuses == NULL) {
		talloc_free(b);
		return NULL;
	}
	return b;
}

static enum distance
distance_of(const struct ir_host *self, const struct ir_host *h)
{
	if (strcmp(self->region, h->region) != 0)
		return OTHER_REGION;
	return strcmp(self->zone, h->zone) == 0 ? SAME_ZONE : SAME_REGION;
}

static bool
is_excluded(const struct ir_pick_criteria *criteria, const struct ir_host *h)
{
	for (size_t i = 0; i < criteria->excluded_count; i++) {
		if (strcmp(criteria->excluded_hosts[i], h->name) == 0)
			return true;
	}
	return false;
}

/* Whether the host may serve the request, and its process can. */
static bool
is_allowed(const struct ir_pick_criteria *criteria, const struct ir_host *h,
    const struct ir_host_status *s)
{
	if (criteria->regions == NULL)
		return true;
	return ir_region_set_has(criteria->regions, h->region) &&
	       !(s != NULL && s->lacks_regions);
}

/* Reservoir sampling: every pair of the hosts added is equally likely. */
static void
add_to_sample(struct sample *s, uint64_t *random, const struct ir_host *h,
    double utilization)
{
	uint32_t i = s->count++;

	if (i >= 2)
		i = ir_random_below(random, s->count);
	if (i >= 2)
		return;
	s->host[i] = h;
	s->utilization[i] = utilization;
}

static const struct ir_host *
less_utilized(const struct sample *s, uint64_t *random)
{
	uint32_t first = s->count > 1 ? ir_random_below(random, 2) : 0;
	uint32_t other = s->count > 1 ? 1 - first : 0;

	return s->utilization[other] < s->utilization[first] ? s->host[other]
							     : s->host[first];
}

/* Whether h may be picked; notes when it is only for its shed level. */
static bool
may_pick(
    struct pick *p, const struct ir_host *h, const struct ir_host_status *s)
{
	if (!ir_host_takes_requests(h) || is_excluded(p->criteria, h) ||
	    !is_allowed(p->criteria, h, s) ||
	    !ir_host_status_is_available(s, p->now))
		return false;
	if (p->criteria->priority < ir_host_status_shed_level(s, p->now,
					p->criteria->account,
					p->max_level_age_us) &&
	    !p->probe) {
		p->shed = true;
		return false;
	}
	return true;
}

static uint32_t
slots_of(const struct pick *p, const struct ir_host *h)
{
	return h->slots != 0 ? h->slots : p->slots;
}

static void
add_candidate(struct pick *p, const struct ir_host *h)
{
	const struct ir_host_status *s =
	    ir_host_status_find(p->balancer->statuses, h->name);
	enum distance d = distance_of(p->self, h);
	struct sample *free = h->cold ? p->available_cold : p->available;
	double utilization;

	if (!may_pick(p, h, s))
		return;
	p->speed_known =
	    p->speed_known || ir_host_status_speed_known(s, p->now);
	utilization = ir_host_status_utilization(s, p->now, slots_of(p, h));
	add_to_sample(utilization < 1 ? &free[d] : &p->saturated[d],
	    &p->balancer->random, h, utilization);
}

static uint64_t
count_region_hosts(const struct ir_view *v, const char *region)
{
	uint64_t n = 0;

	for (size_t i = 0; i < v->zone_count; i++) {
		if (strcmp(v->zones[i].region, region) == 0)
			n += v->zones[i].host_count;
	}
	return n > 0 ? n : 1;
}

/*
 * Refills this node's budget: the hosts of a region get equal shares of the
 * rate of the link. True while bytes are left.
 */
static bool
refill_link_budget(struct ir_balancer *b, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	uint64_t node_rate =
	    v->link_bytes_per_s / count_region_hosts(v, self->region);
	int64_t rate = (int64_t)node_rate;
	int64_t burst = rate * LINK_BURST_US / IR_US_PER_S;
	int64_t bytes;

	if (rate == 0)
		return false;
	if (now - b->link_refilled_us > MAX_LINK_REFILL_US) {
		b->link_refilled_us = now;
		b->link_budget_bytes = burst;
	}
	bytes = (now - b->link_refilled_us) * rate / IR_US_PER_S;
	b->link_refilled_us += bytes * IR_US_PER_S / rate;
	b->link_budget_bytes += bytes;
	if (b->link_budget_bytes > burst)
		b->link_budget_bytes = burst;
	return b->link_budget_bytes > 0;
}

/*
 * The host to use within the given number of distances: the nearest one that
 * is neither saturated nor cold, else the nearest that is not saturated, else
 * the nearest.
 */
static const struct ir_host *
pick_candidate(const struct pick *p, int distances)
{
	uint64_t *random = &p->balancer->random;

	for (int d = 0; d < distances; d++) {
		if (p->available[d].count > 0)
			return less_utilized(&p->available[d], random);
	}
	for (int d = 0; d < distances; d++) {
		if (p->available_cold[d].count > 0)
			return less_utilized(&p->available_cold[d], random);
	}
	for (int d = 0; d < distances; d++) {
		if (p->saturated[d].count > 0)
			return less_utilized(&p->saturated[d], random);
	}
	return NULL;
}

static void
add_to_timed_sample(struct timed_sample *s, uint64_t *random,
    const struct ir_host *h, const struct ir_host_estimate *e)
{
	uint32_t i = s->count++;

	if (i >= 2)
		i = ir_random_below(random, s->count);
	if (i >= 2)
		return;
	s->host[i] = h;
	s->estimate[i] = *e;
}

/* The host of the sample with the lower expected time, which is set. */
static const struct ir_host *
sooner_done(const struct timed_sample *s, const struct ir_service_estimate *all,
    double away_us, uint64_t *random, double *time_us)
{
	uint32_t first = s->count > 1 ? ir_random_below(random, 2) : 0;
	uint32_t other = s->count > 1 ? 1 - first : 0;
	double other_us =
	    ir_completion_time_us(&s->estimate[other], all, away_us);

	*time_us = ir_completion_time_us(&s->estimate[first], all, away_us);
	if (other_us >= *time_us)
		return s->host[first];
	*time_us = other_us;
	return s->host[other];
}

/* Of the best hosts of each distance: the nearest unless others save time. */
static const struct ir_host *
pick_soonest(const struct pick *p, const struct timed_sample *samples,
    const struct ir_service_estimate *all, int distances)
{
	uint64_t *random = &p->balancer->random;
	uint32_t saving = MIN_SAVING_PERCENT +
			  ir_random_below(random,
			      MAX_SAVING_PERCENT - MIN_SAVING_PERCENT + 1);
	const struct ir_host *best = NULL;
	double best_us = 0;

	for (int d = 0; d < distances; d++) {
		double away_us = network_us[d];
		const struct ir_host *h;
		double us;

		if (samples[d].count == 0)
			continue;
		if (d == OTHER_REGION)
			away_us += OTHER_REGION_US_PER_BYTE *
				   p->criteria->request_bytes;
		h = sooner_done(&samples[d], all, away_us, random, &us);
		if (best != NULL && us > best_us * (100 - saving) / 100)
			continue;
		best = h;
		best_us = us;
	}
	return best;
}

/* The host with the lowest expected time of pairs drawn for each distance. */
static const struct ir_host *
pick_by_time(struct pick *p, const struct ir_service *service, int distances)
{
	struct timed_sample samples[DISTANCE_COUNT] = {0};
	struct ir_service_estimate all = {0};

	for (size_t i = 0; i < service->host_count; i++) {
		const struct ir_host *h = service->hosts[i];
		const struct ir_host_status *s =
		    ir_host_status_find(p->balancer->statuses, h->name);
		struct ir_host_estimate e;

		if (!may_pick(p, h, s))
			continue;
		e = ir_host_status_estimate(s, p->now, slots_of(p, h));
		ir_service_estimate_add(&all, &e);
		add_to_timed_sample(&samples[distance_of(p->self, h)],
		    &p->balancer->random, h, &e);
	}
	return pick_soonest(p, samples, &all, distances);
}

static void
record_result(struct ir_balancer *b, bool shed)
{
	b->shed_fraction +=
	    SHED_FRACTION_WEIGHT * ((shed ? 1 : 0) - b->shed_fraction);
}

/* Grows with the fraction of requests shed; with jitter of -50% to +50%. */
static uint32_t
retry_ms(struct ir_balancer *b)
{
	double spread = 0.5 + (double)ir_random_below(&b->random, 1000) / 1000;
	double ms = RETRY_BASE_MS * spread / (1.001 - b->shed_fraction);

	return ms < MAX_RETRY_MS ? (uint32_t)ms : MAX_RETRY_MS;
}

static void
collect_candidates(struct pick *p, const struct ir_service *s)
{
	uint64_t *random = &p->balancer->random;
	uint32_t spread_us = MAX_LEVEL_AGE_US - MIN_LEVEL_AGE_US;

	p->slots = s->slots;
	p->max_level_age_us =
	    MIN_LEVEL_AGE_US + ir_random_below(random, spread_us);
	p->probe = ir_random_below(random, PROBE_DIVISOR) == 0;
	for (size_t i = 0; i < s->host_count; i++)
		add_candidate(p, s->hosts[i]);
}

enum ir_pick_result
ir_balancer_pick(struct ir_balancer *b, int64_t now, const struct ir_view *v,
    const struct ir_host *self, const struct ir_pick_criteria *criteria,
    const struct ir_host **host, uint32_t *retry_after_ms)
{
	const struct ir_service *s = ir_view_service(v, criteria->service);
	struct pick p = {
	    .balancer = b, .now = now, .self = self, .criteria = criteria};
	int distances;

	*host = NULL;
	*retry_after_ms = 0;
	if (s == NULL)
		return IR_PICK_NO_HOST;
	collect_candidates(&p, s);
	distances =
	    refill_link_budget(b, now, v, self) ? DISTANCE_COUNT : OTHER_REGION;
	*host = p.speed_known ? pick_by_time(&p, s, distances)
			      : pick_candidate(&p, distances);
	if (*host != NULL) {
		record_result(b, false);
		return IR_PICK_OK;
	}
	if (!p.shed && pick_candidate(&p, DISTANCE_COUNT) == NULL)
		return IR_PICK_NO_HOST;
	record_result(b, true);
	*retry_after_ms = retry_ms(b);
	return IR_PICK_SHED;
}

void
ir_balancer_host_tried(struct ir_balancer *b, int64_t now, const char *host)
{
	struct ir_host_status *s = ir_host_status_find(b->statuses, host);

	if (s != NULL)
		ir_host_status_postpone_retry(s, now);
}

void
ir_balancer_request_sent(struct ir_balancer *b, int64_t now, const char *host,
    bool other_region, uint32_t bytes)
{
	struct ir_host_status *s =
	    ir_host_status_find_or_add(b->statuses, host);

	if (s != NULL)
		s->in_flight++;
	if (other_region)
		b->link_budget_bytes -= bytes;
}

void
ir_balancer_request_done(struct ir_balancer *b, int64_t now, const char *host,
    const char *account, const struct ir_load *load, int64_t latency_us)
{
	struct ir_host_status *s = ir_host_status_find(b->statuses, host);

	if (s == NULL)
		return;
	if (s->in_flight > 0)
		s->in_flight--;
	if (load == NULL)
		return;
	ir_host_status_set_load(s, now, load);
	ir_host_status_set_account_level(
	    s, now, account, load->account_shed_level);
}

void
ir_balancer_load_reported(struct ir_balancer *b, int64_t now, const char *host,
    const struct ir_load *load)
{
	struct ir_host_status *s =
	    ir_host_status_find_or_add(b->statuses, host);

	if (s != NULL)
		ir_host_status_set_load(s, now, load);
}

void
ir_balancer_upstream_said(struct ir_balancer *b, int64_t now,
    const struct ir_host *h, int64_t sent_us, const struct ir_statement *said)
{
	struct ir_host_status *s = ir_host_status_find(b->statuses, h->name);

	if (s == NULL && (said->limited || said->leaving))
		s = ir_host_status_find_or_add(b->statuses, h->name);
	if (s != NULL)
		ir_host_status_upstream_said(
		    s, now, h->upstream_id, sent_us, said);
}

bool
ir_balancer_upstream_notice(const struct ir_balancer *b, int64_t now,
    const char *host, struct ir_upstream_notice *notice)
{
	const struct ir_host_status *s = ir_host_status_find(b->statuses, host);

	return s != NULL && ir_host_status_upstream_notice(s, now, notice);
}

void
ir_balancer_set_reachable(
    struct ir_balancer *b, int64_t now, const char *host, bool reachable)
{
	struct ir_host_status *s =
	    ir_host_status_find_or_add(b->statuses, host);

	if (s == NULL)
		return;
	if (reachable)
		ir_host_status_set_reachable(s);
	else
		ir_host_status_set_unreachable(s, now);
}

void
ir_balancer_set_takes_regions(
    struct ir_balancer *b, const char *host, bool takes)
{
	struct ir_host_status *s =
	    ir_host_status_find_or_add(b->statuses, host);

	if (s != NULL)
		s->lacks_regions = !takes;
}

void
ir_balancer_apply_view(
    struct ir_balancer *b, int64_t now, const struct ir_view *v)
{
	ir_host_status_apply_view(b->statuses, now, v);
}

const struct ir_load *
ir_balancer_host_load(
    const struct ir_balancer *b, int64_t now, const char *host, int64_t *age_us)
{
	const struct ir_host_status *s = ir_host_status_find(b->statuses, host);

	if (s == NULL || !s->has_load)
		return NULL;
	*age_us = now - s->load_received_us;
	return &s->load;
}
