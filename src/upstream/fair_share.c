/* Max-min fair division of requests among client accounts. */
#include <math.h>
#include <string.h>

#include "core/table.h"
#include "upstream/fair_share.h"

/* Factor that the counted requests are multiplied by in each update. */
#define DEMAND_DECAY 0.5
/* Accounts with less are removed: a single request after five halvings. */
#define MIN_DEMAND 0.05
/* Precise to a millionth of the highest demand for each unit of weight. */
#define BISECTION_STEPS 20

struct demand {
	char *account;
	uint32_t weight;
	double requests; /* since the last update, and older ones decayed */
	double requests_at_update; /* requests at the last update, before the
				      decay */
	UT_hash_handle hh;
};

struct ir_fair_share {
	struct demand *demands;
	double fraction;	    /* of all requests, to be admitted */
	double requests_per_weight; /* admitted for each unit of weight; 0:
				       unknown */
};

static int
clear_demands(struct ir_fair_share *f)
{
	HASH_CLEAR(hh, f->demands);
	return 0;
}

struct ir_fair_share *
ir_fair_share_new(TALLOC_CTX *mem)
{
	struct ir_fair_share *f = talloc_zero(mem, struct ir_fair_share);

	if (f == NULL)
		return NULL;
	f->fraction = 1;
	talloc_set_destructor(f, clear_demands);
	return f;
}

static struct demand *
find_demand(const struct ir_fair_share *f, const char *account)
{
	struct demand *d;

	HASH_FIND_STR(f->demands, account, d);
	return d;
}

static struct demand *
add_demand(struct ir_fair_share *f, const char *account)
{
	struct demand *d = talloc_zero(f, struct demand);

	if (d == NULL)
		return NULL;
	d->account = talloc_strdup(d, account);
	if (d->account == NULL) {
		talloc_free(d);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, f->demands, d->account, strlen(d->account), d);
	return d;
}

double
ir_fair_share_request(
    struct ir_fair_share *f, const char *account, uint32_t weight)
{
	struct demand *d = find_demand(f, account);
	double recent;

	if (d == NULL)
		d = add_demand(f, account);
	if (d == NULL)
		return f->fraction;
	d->weight = weight > 0 ? weight : 1;
	d->requests++;
	if (f->fraction >= 1 || f->requests_per_weight <= 0)
		return f->fraction;
	recent = fmax(d->requests, d->requests_at_update);
	return fmin(1, f->requests_per_weight * d->weight / recent);
}

static double
admitted_at(const struct ir_fair_share *f, double requests_per_weight)
{
	double sum = 0;

	for (const struct demand *d = f->demands; d != NULL; d = d->hh.next)
		sum += fmin(
		    d->requests_at_update, requests_per_weight * d->weight);
	return sum;
}

static double
requests_per_weight_for(
    const struct ir_fair_share *f, double wanted, double high)
{
	double low = 0;

	for (int i = 0; i < BISECTION_STEPS; i++) {
		double middle = (low + high) / 2;

		if (admitted_at(f, middle) < wanted)
			low = middle;
		else
			high = middle;
	}
	return high;
}

void
ir_fair_share_update(struct ir_fair_share *f, double fraction)
{
	double sum = 0, highest = 0;
	struct demand *d, *next;

	HASH_ITER (hh, f->demands, d, next) {
		d->requests_at_update = d->requests;
		d->requests *= DEMAND_DECAY;
		sum += d->requests_at_update;
		highest = fmax(highest, d->requests_at_update / d->weight);
		if (d->requests_at_update >= MIN_DEMAND)
			continue;
		HASH_DEL(f->demands, d);
		talloc_free(d);
	}
	f->fraction = fraction;
	f->requests_per_weight =
	    requests_per_weight_for(f, fraction * sum, highest);
}
