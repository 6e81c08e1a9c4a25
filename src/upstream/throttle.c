/* Admitted fractions of routes, from the fraction of their wasted runs. */
#include "upstream/throttle.h"
#include "core/table.h"
#include "ibisrail/limits.h"
#include "upstream/fair_share.h"
#include "upstream/priority.h"

/* A shorter window of quick runs shows too little. */
#define MIN_WINDOW_US (200 * IR_US_PER_MS)
#define MIN_WINDOW_RUNS 8
/* A window as long as a run ends after this time, even with fewer. */
#define SPARSE_WINDOW_US (400 * IR_US_PER_MS)
/* A window ends after this time, however long a run takes. */
#define MAX_WINDOW_US IR_US_PER_S
/* Single wasted runs are not a sign of overload. */
#define TOLERATED_WASTE 0.1
/*
 * If a fraction w of the runs is wasted, the admitted fraction is multiplied by
 * 1 - CUT_FACTOR * w. CUT_FACTOR is below 1 because, when each run makes
 * several calls, a callee that is overloaded by a tenth wastes more than a
 * tenth of the runs.
 */
#define CUT_FACTOR 0.5
/*
 * Added to the admitted fraction after a window without wasted runs. A lasting
 * overload shows again after one or two such windows; if more of them follow,
 * it has ended, and the step doubles each time.
 */
#define FRACTION_STEP 0.1
#define FIXED_STEP_WINDOWS 2
/* Always admitted, to detect when the callee has recovered. */
#define MIN_FRACTION 0.05
#define ROUTE_KEEP_US (30 * IR_US_PER_S)
#define RUN_TIME_WEIGHT 0.125

struct route {
	uint64_t route_hash;
	double admitted_fraction;
	double fraction_step;		/* next increase */
	uint32_t windows_without_waste; /* in a row */
	struct ir_fair_share *accounts; /* or NULL: same fraction for all */
	double mean_run_us;		/* moving average */
	uint32_t run_count;		/* runs ended in the window */
	uint32_t wasted_count;
	int64_t window_start_us;
	int64_t last_used_us;
	UT_hash_handle hh;
};

struct ir_throttle {
	struct route *routes;
};

static int
clear_routes(struct ir_throttle *t)
{
	HASH_CLEAR(hh, t->routes);
	return 0;
}

struct ir_throttle *
ir_throttle_new(TALLOC_CTX *mem)
{
	struct ir_throttle *t = talloc_zero(mem, struct ir_throttle);

	if (t != NULL)
		talloc_set_destructor(t, clear_routes);
	return t;
}

static struct route *
find_route(const struct ir_throttle *t, uint64_t route_hash)
{
	struct route *r;

	HASH_FIND(hh, t->routes, &route_hash, sizeof(route_hash), r);
	return r;
}

static struct route *
add_route(struct ir_throttle *t, int64_t now, uint64_t route_hash)
{
	struct route *r = talloc_zero(t, struct route);

	if (r == NULL)
		return NULL;
	r->route_hash = route_hash;
	r->admitted_fraction = 1;
	r->fraction_step = FRACTION_STEP;
	r->accounts = ir_fair_share_new(r);
	r->window_start_us = now;
	HASH_ADD(hh, t->routes, route_hash, sizeof(r->route_hash), r);
	return r;
}

static void
lower_fraction(struct route *r, double wasted_fraction)
{
	r->admitted_fraction *= 1 - CUT_FACTOR * wasted_fraction;
	r->fraction_step = FRACTION_STEP;
	r->windows_without_waste = 0;
}

static void
raise_fraction(struct route *r)
{
	if (++r->windows_without_waste > FIXED_STEP_WINDOWS &&
	    r->admitted_fraction < 1)
		r->fraction_step *= 2;
	r->admitted_fraction += r->fraction_step;
}

static void
update_fraction(struct route *r)
{
	double wasted_fraction =
	    r->run_count > 0 ? (double)r->wasted_count / r->run_count : 0;

	if (wasted_fraction > TOLERATED_WASTE)
		lower_fraction(r, wasted_fraction);
	else
		raise_fraction(r);
	if (r->admitted_fraction > 1)
		r->admitted_fraction = 1;
	if (r->admitted_fraction < MIN_FRACTION)
		r->admitted_fraction = MIN_FRACTION;
}

static bool
window_is_over(const struct route *r, int64_t now)
{
	int64_t age_us = now - r->window_start_us;

	if (age_us >= MAX_WINDOW_US)
		return true;
	if ((double)age_us < r->mean_run_us)
		return false;
	return age_us >= SPARSE_WINDOW_US ||
	       (r->run_count >= MIN_WINDOW_RUNS && age_us >= MIN_WINDOW_US);
}

static void
advance_window(struct route *r, int64_t now)
{
	r->last_used_us = now;
	if (!window_is_over(r, now))
		return;
	update_fraction(r);
	if (r->accounts != NULL)
		ir_fair_share_update(r->accounts, r->admitted_fraction);
	r->run_count = 0;
	r->wasted_count = 0;
	r->window_start_us = now;
}

bool
ir_throttle_admits(struct ir_throttle *t, int64_t now, uint64_t route_hash,
    uint32_t rank, const char *account, uint32_t weight)
{
	struct route *r = find_route(t, route_hash);
	double admitted;

	if (r == NULL)
		return true;
	advance_window(r, now);
	admitted = r->admitted_fraction;
	if (r->accounts != NULL)
		admitted = ir_fair_share_request(r->accounts, account, weight);
	return (double)(rank & IR_RANK_MASK) <
	       admitted * (double)(IR_RANK_MASK + 1);
}

void
ir_throttle_run_ended(struct ir_throttle *t, int64_t now, uint64_t route_hash,
    bool wasted, int64_t run_us)
{
	struct route *r = find_route(t, route_hash);

	/* A route without wasted runs needs no state. */
	if (r == NULL && wasted)
		r = add_route(t, now, route_hash);
	if (r == NULL)
		return;
	if (r->mean_run_us <= 0)
		r->mean_run_us = (double)run_us;
	r->mean_run_us += RUN_TIME_WEIGHT * ((double)run_us - r->mean_run_us);
	r->run_count++;
	r->wasted_count += wasted;
	advance_window(r, now);
}

double
ir_throttle_admitted_fraction(const struct ir_throttle *t, uint64_t route_hash)
{
	const struct route *r = find_route(t, route_hash);

	return r != NULL ? r->admitted_fraction : 1;
}

void
ir_throttle_free_idle(struct ir_throttle *t, int64_t now)
{
	struct route *r, *next;

	HASH_ITER (hh, t->routes, r, next) {
		if (now - r->last_used_us < ROUTE_KEEP_US)
			continue;
		HASH_DEL(t->routes, r);
		talloc_free(r);
	}
}
