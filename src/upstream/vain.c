/* Shares of routes by runs in vain. */
#include "upstream/vain.h"
#include "core/table.h"
#include "ibisrail/limits.h"
#include "upstream/fair.h"
#include "upstream/priority.h"

/* Under it, a window of quick runs tells too little. */
#define MIN_WINDOW_US (200 * IR_US_PER_MS)
#define MIN_ENDED 8
/* A window with fewer runs counts after so long. */
#define MAX_WINDOW_US IR_US_PER_S
/* Single failures are no sign of overload. */
#define TOLERATED_SHARE 0.1
/*
 * Part of the vain runs by which a share is cut: with several calls a run, a
 * load that is over by a tenth makes more than a tenth of the runs vain.
 */
#define CUT_PART 0.5
/*
 * What a window without vain runs adds. A lasting overload shows after one or
 * two of them; where more follow it is over, and each adds twice as much.
 */
#define RISE 0.1
#define SLOW_WINDOWS 2
/* Some are always started, to see whether the callee has recovered. */
#define MIN_SHARE 0.05
#define KEEP_US (30 * IR_US_PER_S)
#define RUN_WEIGHT 0.125

struct route {
	uint64_t key;
	double share;
	double rise;		  /* what the next window may add */
	uint32_t clean;		  /* windows without vain runs, in a row */
	struct ir_fair *accounts; /* NULL without memory: all alike */
	double run_us;		  /* moving average */
	uint32_t ended;		  /* in the window */
	uint32_t in_vain;
	int64_t window_us; /* its start */
	int64_t used_us;
	UT_hash_handle hh;
};

struct ir_vain {
	struct route *routes;
};

static int
free_routes(struct ir_vain *v)
{
	HASH_CLEAR(hh, v->routes);
	return 0;
}

struct ir_vain *
ir_vain_new(TALLOC_CTX *mem)
{
	struct ir_vain *v = talloc_zero(mem, struct ir_vain);

	if (v != NULL)
		talloc_set_destructor(v, free_routes);
	return v;
}

static struct route *
find(const struct ir_vain *v, uint64_t key)
{
	struct route *r;

	HASH_FIND(hh, v->routes, &key, sizeof(key), r);
	return r;
}

static struct route *
add(struct ir_vain *v, int64_t now, uint64_t key)
{
	struct route *r = talloc_zero(v, struct route);

	if (r == NULL)
		return NULL;
	r->key = key;
	r->share = 1;
	r->rise = RISE;
	r->accounts = ir_fair_new(r);
	r->window_us = now;
	HASH_ADD(hh, v->routes, key, sizeof(r->key), r);
	return r;
}

static void
cut(struct route *r, double vain)
{
	r->share *= 1 - CUT_PART * vain;
	r->rise = RISE;
	r->clean = 0;
}

static void
rise(struct route *r)
{
	if (++r->clean > SLOW_WINDOWS && r->share < 1)
		r->rise *= 2;
	r->share += r->rise;
}

static void
judge(struct route *r)
{
	double vain = r->ended > 0 ? (double)r->in_vain / r->ended : 0;

	if (vain > TOLERATED_SHARE)
		cut(r, vain);
	else
		rise(r);
	if (r->share > 1)
		r->share = 1;
	if (r->share < MIN_SHARE)
		r->share = MIN_SHARE;
}

static bool
is_over(const struct route *r, int64_t now)
{
	int64_t age_us = now - r->window_us;

	if (age_us >= MAX_WINDOW_US)
		return true;
	return r->ended >= MIN_ENDED && age_us >= MIN_WINDOW_US &&
	       (double)age_us >= r->run_us;
}

static void
step(struct route *r, int64_t now)
{
	r->used_us = now;
	if (!is_over(r, now))
		return;
	judge(r);
	if (r->accounts != NULL)
		ir_fair_divide(r->accounts, r->share);
	r->ended = 0;
	r->in_vain = 0;
	r->window_us = now;
}

bool
ir_vain_admits(struct ir_vain *v, int64_t now, uint64_t route, uint32_t rank,
    const char *account, uint32_t weight)
{
	struct route *r = find(v, route);
	double part;

	if (r == NULL)
		return true;
	step(r, now);
	part = r->share;
	if (r->accounts != NULL)
		part = ir_fair_ask(r->accounts, account, weight);
	return (double)(rank & IR_RANK_MASK) <
	       part * (double)(IR_RANK_MASK + 1);
}

void
ir_vain_ended(struct ir_vain *v, int64_t now, uint64_t route, bool in_vain,
    int64_t run_us)
{
	struct route *r = find(v, route);

	/* A route without vain runs needs no memory. */
	if (r == NULL && in_vain)
		r = add(v, now, route);
	if (r == NULL)
		return;
	if (r->run_us <= 0)
		r->run_us = (double)run_us;
	r->run_us += RUN_WEIGHT * ((double)run_us - r->run_us);
	r->ended++;
	r->in_vain += in_vain;
	step(r, now);
}

double
ir_vain_share(const struct ir_vain *v, uint64_t route)
{
	const struct route *r = find(v, route);

	return r != NULL ? r->share : 1;
}

void
ir_vain_trim(struct ir_vain *v, int64_t now)
{
	struct route *r, *next;

	HASH_ITER (hh, v->routes, r, next) {
		if (now - r->used_us < KEEP_US)
			continue;
		HASH_DEL(v->routes, r);
		talloc_free(r);
	}
}
