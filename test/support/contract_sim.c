#include <stdlib.h>
#include <string.h>

#include "support/contract_sim.h"

#define TICK_US (10 * IR_US_PER_MS)
#define MAX_VIEWS 4096

enum event_kind {
	EVENT_REQUEST,
	EVENT_TICK,
	EVENT_POLL,
	EVENT_VIEW,
	EVENT_ASK,
	EVENT_GRANT,
	EVENT_HANDOVER
};

struct event {
	int64_t t;
	uint64_t order;
	enum event_kind kind;
	uint32_t host;
	uint32_t from;
	uint64_t incarnation; /* of the host, when it was sent */
	int64_t asked_us;
	size_t view;
	struct ir_grant_request ask;
	struct ir_grant grant;
	struct ir_handover handover;
};

struct process {
	struct sim *sim;
	uint32_t index;
	const char *name;
	uint64_t incarnation;
	int64_t offset_us;
	int64_t paused_until_us;
	int64_t cut_until_us;
	int64_t blind_until_us;
	int64_t confirmed_us; /* own clock */
	size_t view;
	bool viewed;
	uint32_t waiting;
	int64_t waiting_since_us;
	struct ir_mint *mint;
	struct ir_wallet *wallet;
};

struct sim {
	struct sim_faults faults;
	struct sim_ops ops;
	void *ctx;
	uint64_t rng;
	int64_t now;
	uint64_t order;
	uint64_t messages;
	int64_t waited_us;
	const struct ir_view *views[MAX_VIEWS];
	size_t view_count;
	const struct ir_view *first;
	struct process *processes;
	struct event **heap;
	size_t count;
};

static bool
before(const struct event *a, const struct event *b)
{
	return a->t != b->t ? a->t < b->t : a->order < b->order;
}

static void
push(struct sim *s, const struct event *from, int64_t t)
{
	struct event *e = talloc_memdup(s, from, sizeof *from);
	size_t i = s->count++;

	e->t = t;
	e->order = s->order++;
	if (from->ask.spent_grants.spent_grants_len > 0)
		e->ask.spent_grants.spent_grants_val = talloc_memdup(e,
		    from->ask.spent_grants.spent_grants_val,
		    from->ask.spent_grants.spent_grants_len * sizeof(uint64_t));
	if (s->count > talloc_array_length(s->heap))
		s->heap =
		    talloc_realloc(s, s->heap, struct event *, 2 * s->count);
	for (; i > 0 && before(e, s->heap[(i - 1) / 2]); i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = e;
}

static struct event *
pop(struct sim *s)
{
	struct event *first = s->heap[0];
	struct event *e = s->heap[--s->count];
	size_t i = 0;

	for (size_t k = 1; k < s->count; k = 2 * i + 1) {
		if (k + 1 < s->count && before(s->heap[k + 1], s->heap[k]))
			k++;
		if (!before(s->heap[k], e))
			break;
		s->heap[i] = s->heap[k];
		i = k;
	}
	s->heap[i] = e;
	return first;
}

static uint32_t
below(struct sim *s, uint32_t n)
{
	return (uint32_t)(fleet_random(&s->rng) % n);
}

static int64_t
own_clock(const struct process *p)
{
	return p->sim->now + p->offset_us;
}

static const struct ir_view *
view_of(const struct process *p)
{
	return p->sim->views[p->view];
}

static const struct ir_host *
self_of(const struct process *p)
{
	return ir_view_host(view_of(p), p->name);
}

static bool
lease_ok(const struct process *p)
{
	return p->viewed && own_clock(p) - p->confirmed_us < IR_VIEW_LEASE_US;
}

static int64_t
latency_us(struct sim *s, uint32_t a, uint32_t b)
{
	const struct ir_host *x = &s->first->hosts[a];
	const struct ir_host *y = &s->first->hosts[b];
	int64_t us = 300;

	if (strcmp(x->region, y->region) != 0)
		us = 12000;
	else if (strcmp(x->zone, y->zone) != 0)
		us = 1000;
	return us + below(s, 200);
}

static void
transmit(struct process *p, struct event *e, uint32_t to)
{
	struct sim *s = p->sim;
	int copies = below(s, 100) < s->faults.repeat_percent ? 2 : 1;

	e->host = to;
	e->from = p->index;
	e->incarnation = s->processes[to].incarnation;
	s->messages++;
	if (below(s, 100) < s->faults.loss_percent || s->now < p->cut_until_us)
		return;
	while (copies-- > 0) {
		int64_t t = s->now + latency_us(s, p->index, to);

		if (below(s, 100) < s->faults.late_percent)
			t += below(s, 2000000);
		push(s, e, t);
	}
}

static uint32_t
index_of(const struct sim *s, const char *name)
{
	return (uint32_t)(ir_view_host(s->first, name) - s->first->hosts);
}

static bool
on_ask(void *ctx, int64_t now, const struct ir_host *minter,
    const struct ir_grant_request *ask)
{
	struct process *p = ctx;
	struct event e = {.kind = EVENT_ASK, .ask = *ask};

	e.ask.account = (char *)p->sim->first->accounts[0].name;
	transmit(p, &e, index_of(p->sim, minter->name));
	return true;
}

static void
set_waiting(struct process *p, uint32_t count)
{
	p->sim->waited_us += p->waiting * (p->sim->now - p->waiting_since_us);
	p->waiting_since_us = p->sim->now;
	p->waiting = count;
}

static void
request(struct process *p)
{
	const struct ir_account *a =
	    ir_view_account(view_of(p), p->sim->first->accounts[0].name);
	uint32_t retry_after_ms = 0;

	switch (ir_wallet_take(p->wallet, own_clock(p), view_of(p), self_of(p),
	    a, &retry_after_ms)) {
	case IR_TAKEN:
		p->sim->ops.spent(p->sim->ctx, p->sim->now, p->index);
		break;
	case IR_TAKE_WAIT:
		set_waiting(p, p->waiting + 1);
		break;
	case IR_TAKE_DENIED:
		p->sim->ops.denied(p->sim->ctx, p->sim->now, p->index);
		break;
	}
}

static void
on_ready(void *ctx, int64_t now, const char *account)
{
	struct process *p = ctx;
	uint32_t n = p->waiting;

	set_waiting(p, 0);
	while (n-- > 0 && self_of(p))
		request(p);
}

static void
on_handover(void *ctx, const struct ir_host *to, const struct ir_handover *h)
{
	struct process *p = ctx;
	struct event e = {.kind = EVENT_HANDOVER, .handover = *h};

	e.handover.account = (char *)p->sim->first->accounts[0].name;
	transmit(p, &e, index_of(p->sim, to->name));
}

static void
boot(struct process *p)
{
	const struct ir_wallet_ops ops = {.ask = on_ask, .ready = on_ready};

	TALLOC_FREE(p->mint);
	TALLOC_FREE(p->wallet);
	p->incarnation = fleet_random(&p->sim->rng) | 1;
	p->offset_us = (int64_t)below(p->sim, 1000) * IR_US_PER_S;
	p->paused_until_us = 0;
	p->viewed = false;
	set_waiting(p, 0);
	p->mint = ir_mint_new(p->sim);
	p->wallet = ir_wallet_new(p->sim, &ops, p, p->incarnation);
}

static void
start(struct process *p, enum event_kind kind, int64_t t)
{
	struct event e = {
	    .kind = kind, .host = p->index, .incarnation = p->incarnation};

	push(p->sim, &e, t);
}

static void
start_all(struct process *p)
{
	struct sim *s = p->sim;

	boot(p);
	start(p, EVENT_TICK, s->now + below(s, TICK_US));
	start(p, EVENT_POLL, s->now + below(s, IR_VIEW_POLL_US));
}

struct sim *
sim_new(TALLOC_CTX *mem, const struct ir_view *view, uint64_t seed,
    const struct sim_faults *faults, const struct sim_ops *ops, void *ctx)
{
	struct sim *s = talloc_zero(mem, struct sim);

	s->faults = *faults;
	s->ops = *ops;
	s->ctx = ctx;
	s->rng = seed;
	s->first = view;
	s->heap = talloc_array(s, struct event *, 1024);
	s->processes = talloc_zero_array(s, struct process, view->host_count);
	sim_publish(s, view);
	for (uint32_t i = 0; i < view->host_count; i++) {
		s->processes[i].sim = s;
		s->processes[i].index = i;
		s->processes[i].name = view->hosts[i].name;
		start_all(&s->processes[i]);
	}
	return s;
}

void
sim_publish(struct sim *s, const struct ir_view *view)
{
	if (s->view_count == MAX_VIEWS)
		abort();
	s->views[s->view_count++] = view;
}

void
sim_request(struct sim *s, int64_t t, uint32_t host)
{
	struct event e = {.kind = EVENT_REQUEST, .host = host};

	push(s, &e, t);
}

void
sim_restart(struct sim *s, uint32_t host)
{
	start_all(&s->processes[host]);
}

void
sim_pause(struct sim *s, uint32_t host, int64_t until_us)
{
	s->processes[host].paused_until_us = until_us;
}

void
sim_cut(struct sim *s, uint32_t host, int64_t until_us)
{
	s->processes[host].cut_until_us = until_us;
}

void
sim_blind(struct sim *s, uint32_t host, int64_t until_us)
{
	s->processes[host].blind_until_us = until_us;
}

/* Asks for the view; what is newest now comes back a little later. */
static void
poll(struct process *p)
{
	struct sim *s = p->sim;
	struct event e = {.kind = EVENT_VIEW,
	    .host = p->index,
	    .incarnation = p->incarnation,
	    .asked_us = own_clock(p),
	    .view = s->view_count - 1};

	start(p, EVENT_POLL, s->now + IR_VIEW_POLL_US);
	if (s->now < p->cut_until_us)
		return;
	push(
	    s, &e, s->now + below(s, s->faults.loss_percent ? 1000000 : 50000));
}

static void
learn(struct process *p, const struct event *e)
{
	bool newer = !p->viewed || e->view > p->view;

	if (p->viewed && e->view < p->view)
		return;
	p->view = e->view;
	p->viewed = true;
	if (p->confirmed_us < e->asked_us || newer)
		p->confirmed_us = e->asked_us;
	if (newer)
		ir_mint_view(p->mint, own_clock(p), view_of(p), self_of(p),
		    on_handover, p);
}

static void
tick(struct process *p)
{
	start(p, EVENT_TICK, p->sim->now + TICK_US);
	if (!p->viewed)
		return;
	ir_mint_lease(p->mint, own_clock(p), lease_ok(p));
	if (self_of(p))
		ir_wallet_tick(p->wallet, own_clock(p), view_of(p), self_of(p));
}

static void
answer(struct process *p, const struct event *e)
{
	struct event reply = {.kind = EVENT_GRANT};

	ir_mint_ask(p->mint, own_clock(p), lease_ok(p), view_of(p), self_of(p),
	    &e->ask, &reply.grant);
	transmit(p, &reply, e->from);
}

static void
message(struct process *p, const struct event *e)
{
	struct sim *s = p->sim;

	if (!p->viewed || s->now < p->cut_until_us)
		return;
	if (e->kind == EVENT_ASK)
		answer(p, e);
	else if (e->kind == EVENT_GRANT)
		ir_wallet_granted(p->wallet, own_clock(p),
		    s->processes[e->from].name, &e->grant);
	else if (e->incarnation == p->incarnation)
		ir_mint_handover(p->mint, own_clock(p), view_of(p), self_of(p),
		    &e->handover);
}

static void
handle(struct process *p, const struct event *e)
{
	bool mine = e->incarnation == p->incarnation;

	switch (e->kind) {
	case EVENT_REQUEST:
		if (p->viewed && self_of(p))
			request(p);
		break;
	case EVENT_TICK:
		if (mine)
			tick(p);
		break;
	case EVENT_POLL:
		if (mine)
			poll(p);
		break;
	case EVENT_VIEW:
		if (mine)
			learn(p, e);
		break;
	default:
		message(p, e);
	}
}

void
sim_run(struct sim *s, int64_t until_us)
{
	while (s->count > 0 && s->heap[0]->t <= until_us) {
		struct event *e = pop(s);
		struct process *p = &s->processes[e->host];

		s->now = e->t;
		if (s->now < p->paused_until_us)
			push(s, e, p->paused_until_us + below(s, 500));
		else
			handle(p, e);
		talloc_free(e);
	}
	s->now = until_us;
}

int64_t
sim_now(const struct sim *s)
{
	return s->now;
}

uint64_t
sim_messages(const struct sim *s)
{
	return s->messages;
}

int64_t
sim_waited_us(const struct sim *s)
{
	return s->waited_us;
}
