/* Parts of client accounts by max-min fairness. */
#include <math.h>
#include <string.h>

#include "core/table.h"
#include "upstream/fair.h"

/* What is left of a count at the next division. */
#define FADE 0.5
/* An account that asked for so little is forgotten: five divisions idle. */
#define FORGOTTEN 0.05
/* Halvings that find the level to a millionth of the largest demand. */
#define HALVINGS 20

struct flow {
	char *account;
	uint32_t weight;
	double asked;	/* faded count, this window's too */
	double divided; /* the same, at the last division */
	UT_hash_handle hh;
};

struct ir_fair {
	struct flow *flows;
	double part;  /* of all that is asked for */
	double level; /* requests for each unit of weight; 0: not known */
};

static int
free_flows(struct ir_fair *f)
{
	HASH_CLEAR(hh, f->flows);
	return 0;
}

struct ir_fair *
ir_fair_new(TALLOC_CTX *mem)
{
	struct ir_fair *f = talloc_zero(mem, struct ir_fair);

	if (f == NULL)
		return NULL;
	f->part = 1;
	talloc_set_destructor(f, free_flows);
	return f;
}

static struct flow *
find(const struct ir_fair *f, const char *account)
{
	struct flow *w;

	HASH_FIND_STR(f->flows, account, w);
	return w;
}

static struct flow *
add(struct ir_fair *f, const char *account)
{
	struct flow *w = talloc_zero(f, struct flow);

	if (w == NULL)
		return NULL;
	w->account = talloc_strdup(w, account);
	if (w->account == NULL) {
		talloc_free(w);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, f->flows, w->account, strlen(w->account), w);
	return w;
}

double
ir_fair_ask(struct ir_fair *f, const char *account, uint32_t weight)
{
	struct flow *w = find(f, account);
	double demand;

	if (w == NULL)
		w = add(f, account);
	if (w == NULL)
		return f->part;
	w->weight = weight > 0 ? weight : 1;
	w->asked++;
	if (f->part >= 1 || f->level <= 0)
		return f->part;
	demand = fmax(w->asked, w->divided);
	return fmin(1, f->level * w->weight / demand);
}

static double
started_at(const struct ir_fair *f, double level)
{
	double sum = 0;

	for (const struct flow *w = f->flows; w != NULL; w = w->hh.next)
		sum += fmin(w->divided, level * w->weight);
	return sum;
}

static double
level_for(const struct ir_fair *f, double wanted, double high)
{
	double low = 0;

	for (int i = 0; i < HALVINGS; i++) {
		double middle = (low + high) / 2;

		if (started_at(f, middle) < wanted)
			low = middle;
		else
			high = middle;
	}
	return high;
}

void
ir_fair_divide(struct ir_fair *f, double part)
{
	double sum = 0, most = 0;
	struct flow *w, *next;

	HASH_ITER (hh, f->flows, w, next) {
		w->divided = w->asked;
		w->asked *= FADE;
		sum += w->divided;
		most = fmax(most, w->divided / w->weight);
		if (w->divided >= FORGOTTEN)
			continue;
		HASH_DEL(f->flows, w);
		talloc_free(w);
	}
	f->part = part;
	f->level = level_for(f, part * sum, most);
}
