/* Expected time until a request sent now to a host is done. */
#include "zone/completion_time.h"

/*
 * Added at full use of the limit, as a fraction of the service time. Requests
 * below the limit do not wait, but a host near it will queue those that other
 * senders have sent and that no report shows yet. With 0.25 slow hosts idle
 * while others queue: see docs/design/choice.md.
 */
#define NEAR_LIMIT_PENALTY 3.0
/* A request that queues also delays those that queue after it. */
#define QUEUE_COST_FACTOR 2.0

static double
min(double a, double b)
{
	return a < b ? a : b;
}

/* 1 for a new report, 0 for one that is too old. */
static double
report_weight(const struct ir_host_estimate *h)
{
	if (!h->reported || h->age_us >= IR_REPORT_WEIGHT_END_US)
		return 0;
	return 1 - (double)h->age_us / IR_REPORT_WEIGHT_END_US;
}

void
ir_service_estimate_add(
    struct ir_service_estimate *s, const struct ir_host_estimate *h)
{
	double weight = report_weight(h);

	s->utilization_weight += weight;
	s->utilization_sum += weight * h->present / h->limit;
	if (!h->speed_known)
		return;
	s->service_weight += weight;
	s->service_sum_us += weight * h->service_time_us;
}

static double
mean(double sum, double weight)
{
	return weight > 0 ? sum / weight : 0;
}

double
ir_expected_requests(
    const struct ir_host_estimate *h, const struct ir_service_estimate *s)
{
	double weight = report_weight(h);
	double usual =
	    h->limit * mean(s->utilization_sum, s->utilization_weight);
	double requests =
	    weight * h->present + (1 - weight) * usual + h->sent_since;

	return requests < h->in_flight ? h->in_flight : requests;
}

static double
service_time_us(
    const struct ir_host_estimate *h, const struct ir_service_estimate *s)
{
	double weight = h->speed_known ? report_weight(h) : 0;

	return weight * h->service_time_us +
	       (1 - weight) * mean(s->service_sum_us, s->service_weight);
}

double
ir_completion_time_us(const struct ir_host_estimate *h,
    const struct ir_service_estimate *s, double network_us)
{
	double service_us = service_time_us(h, s);
	double requests = ir_expected_requests(h, s) + 1;
	double use = min(requests / h->limit, 1);
	double over = requests > h->limit ? requests - h->limit : 0;

	return network_us + service_us * (1 + NEAR_LIMIT_PENALTY * use * use) +
	       QUEUE_COST_FACTOR * over * service_us / h->limit;
}
