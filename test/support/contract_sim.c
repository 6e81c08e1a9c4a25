#include <stdlib.h>
#include <string.h>

#include "support/contract_sim.h"

#define TICK_US (10 * IR_US_PER_MS)
#define MAX_VIEWS 4096

enum event_kind {
	EVENT_CALL,
	EVENT_TICK,
	EVENT_POLL,
	EVENT_VIEW,
	EVENT_TOKEN_REQUEST,
	EVENT_GRANT,
	EVENT_HANDOVER
};

struct event {
	int64_t t;
	uint64_t number; /* orders events of the same time */
	enum event_kind kind;
	uint32_t host;
	uint32_t from;
	uint64_t incarnation; /* of the host, when the event was scheduled */
	int64_t polled_us;
	size_t view;
	struct ir_grant_request request;
	struct ir_grant grant;
	struct ir_handover handover;
};

struct process {
	struct sim *sim;
	uint32_t index;
	const char *name;
	uint64_t incarnation;
	int64_t clock_offset_us;
	int64_t paused_until_us;
	int64_t disconnected_until_us;
	int64_t no_views_until_us;
	int64_t confirmed_us; /* by the clock of the host */
	size_t view;	      /* index of the current view */
	bool has_view;
	uint32_t waiting; /* calls that wait for tokens */
	int64_t waiting_changed_us;
	struct ir_issuer *issuer;
	struct ir_rate_limiter *limiter;
};

struct sim {
	struct sim_faults faults;
	struct sim_ops ops;
	void *ctx;
	uint64_t rng;
	int64_t now;
	uint64_t next_number;
	uint64_t messages;
	int64_t waited_us;
	const struct ir_view *views[MAX_VIEWS];
	size_t view_count;
	const struct ir_view *initial_view;
	struct process *processes;
	struct event **heap;
	size_t count;
};

static bool
is_before(const struct event *a, const struct event *b)
{
	return a->t != b->t ? a->t < b->t : a->number < b->number;
}

static void
push(struct sim *s, const struct event *from, int64_t t)
{
	struct event *e = talloc_memdup(s, from, sizeof *from);
	size_t i = s->count++;

	e->t = t;
	e->number = s->next_number++;
	if (from->request.spent_grants.spent_grants_len > 0)
		e->request.spent_grants.spent_grants_val = talloc_memdup(e,
		    from->request.spent_grants.spent_grants_val,
		    from->request.spent_grants.spent_grants_len *
			sizeof(uint64_t));
	if (s->count > talloc_array_length(s->heap))
		s->heap =
		    talloc_realloc(s, s->heap, struct event *, 2 * s->count);
	for (; i > 0 && is_before(e, s->heap[(i - 1) / 2]); i = (i - 1) / 2)
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
		if (k + 1 < s->count && is_before(s->heap[k + 1], s->heap[k]))
			k++;
		if (!is_before(s->heap[k], e))
			break;
		s->heap[i] = s->heap[k];
		i = k;
	}
	s->heap[i] = e;
	return first;
}

static uint32_t
random_below(struct sim *s, uint32_t n)
{
	return (uint32_t)(contract_view_random(&s->rng) % n);
}

static int64_t
own_clock(const struct process *p)
{
	return p->sim->now + p->clock_offset_us;
}

static const struct ir_view *
current_view(const struct process *p)
{
	return p->sim->views[p->view];
}

static const struct ir_host *
own_host(const struct process *p)
{
	return ir_view_host(current_view(p), p->name);
}

static bool
lease_ok(const struct process *p)
{
	return p->has_view && own_clock(p) - p->confirmed_us < IR_VIEW_LEASE_US;
}

static int64_t
latency_us(struct sim *s, uint32_t a, uint32_t b)
{
	const struct ir_host *x = &s->initial_view->hosts[a];
	const struct ir_host *y = &s->initial_view->hosts[b];
	int64_t us = 300;

	if (strcmp(x->region, y->region) != 0)
		us = 12000;
	else if (strcmp(x->zone, y->zone) != 0)
		us = 1000;
	return us + random_below(s, 200);
}

static void
transmit(struct process *p, struct event *e, uint32_t to)
{
	struct sim *s = p->sim;
	int copies = random_below(s, 100) < s->faults.duplicate_percent ? 2 : 1;

	e->host = to;
	e->from = p->index;
	e->incarnation = s->processes[to].incarnation;
	s->messages++;
	if (random_below(s, 100) < s->faults.loss_percent ||
	    s->now < p->disconnected_until_us)
		return;
	while (copies-- > 0) {
		int64_t t = s->now + latency_us(s, p->index, to);

		if (random_below(s, 100) < s->faults.delay_percent)
			t += random_below(s, 2000000);
		push(s, e, t);
	}
}

static uint32_t
index_of(const struct sim *s, const char *name)
{
	return (uint32_t)(ir_view_host(s->initial_view, name) -
			  s->initial_view->hosts);
}

static bool
send_token_request(void *ctx, int64_t now, const struct ir_host *issuer,
    const struct ir_grant_request *request)
{
	struct process *p = ctx;
	struct event e = {.kind = EVENT_TOKEN_REQUEST, .request = *request};

	e.request.account = (char *)p->sim->initial_view->accounts[0].name;
	transmit(p, &e, index_of(p->sim, issuer->name));
	return true;
}

static void
set_waiting(struct process *p, uint32_t count)
{
	p->sim->waited_us += p->waiting * (p->sim->now - p->waiting_changed_us);
	p->waiting_changed_us = p->sim->now;
	p->waiting = count;
}

static void
handle_call(struct process *p)
{
	const struct ir_account *a = ir_view_account(
	    current_view(p), p->sim->initial_view->accounts[0].name);
	uint32_t retry_after_ms = 0;

	switch (ir_rate_limiter_take(p->limiter, own_clock(p), current_view(p),
	    own_host(p), a, &retry_after_ms)) {
	case IR_TAKE_OK:
		p->sim->ops.admitted(p->sim->ctx, p->sim->now, p->index);
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
retry_waiting(void *ctx, int64_t now, const char *account)
{
	struct process *p = ctx;
	uint32_t n = p->waiting;

	set_waiting(p, 0);
	while (n-- > 0 && own_host(p))
		handle_call(p);
}

static void
send_handover(void *ctx, const struct ir_host *to, const struct ir_handover *h)
{
	struct process *p = ctx;
	struct event e = {.kind = EVENT_HANDOVER, .handover = *h};

	e.handover.account = (char *)p->sim->initial_view->accounts[0].name;
	transmit(p, &e, index_of(p->sim, to->name));
}

static void
start_process(struct process *p)
{
	const struct ir_rate_limiter_ops ops = {
	    .send_request = send_token_request, .retry_waiting = retry_waiting};

	TALLOC_FREE(p->issuer);
	TALLOC_FREE(p->limiter);
	p->incarnation = contract_view_random(&p->sim->rng) | 1;
	p->clock_offset_us = (int64_t)random_below(p->sim, 1000) * IR_US_PER_S;
	p->paused_until_us = 0;
	p->has_view = false;
	set_waiting(p, 0);
	p->issuer = ir_issuer_new(p->sim);
	p->limiter = ir_rate_limiter_new(p->sim, &ops, p, p->incarnation);
}

static void
schedule(struct process *p, enum event_kind kind, int64_t t)
{
	struct event e = {
	    .kind = kind, .host = p->index, .incarnation = p->incarnation};

	push(p->sim, &e, t);
}

static void
restart(struct process *p)
{
	struct sim *s = p->sim;

	start_process(p);
	schedule(p, EVENT_TICK, s->now + random_below(s, TICK_US));
	schedule(p, EVENT_POLL, s->now + random_below(s, IR_VIEW_POLL_US));
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
	s->initial_view = view;
	s->heap = talloc_array(s, struct event *, 1024);
	s->processes = talloc_zero_array(s, struct process, view->host_count);
	sim_publish(s, view);
	for (uint32_t i = 0; i < view->host_count; i++) {
		s->processes[i].sim = s;
		s->processes[i].index = i;
		s->processes[i].name = view->hosts[i].name;
		restart(&s->processes[i]);
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
sim_call(struct sim *s, int64_t t, uint32_t host)
{
	struct event e = {.kind = EVENT_CALL, .host = host};

	push(s, &e, t);
}

void
sim_restart(struct sim *s, uint32_t host)
{
	restart(&s->processes[host]);
}

void
sim_pause(struct sim *s, uint32_t host, int64_t until_us)
{
	s->processes[host].paused_until_us = until_us;
}

void
sim_disconnect(struct sim *s, uint32_t host, int64_t until_us)
{
	s->processes[host].disconnected_until_us = until_us;
}

void
sim_block_views(struct sim *s, uint32_t host, int64_t until_us)
{
	s->processes[host].no_views_until_us = until_us;
}

/* Schedules the arrival of the newest view, and the next poll. */
static void
poll(struct process *p)
{
	struct sim *s = p->sim;
	struct event e = {.kind = EVENT_VIEW,
	    .host = p->index,
	    .incarnation = p->incarnation,
	    .polled_us = own_clock(p),
	    .view = s->view_count - 1};

	schedule(p, EVENT_POLL, s->now + IR_VIEW_POLL_US);
	if (s->now < p->disconnected_until_us)
		return;
	push(s, &e,
	    s->now + random_below(s, s->faults.loss_percent ? 1000000 : 50000));
}

static void
apply_view(struct process *p, const struct event *e)
{
	bool newer = !p->has_view || e->view > p->view;

	if (p->has_view && e->view < p->view)
		return;
	p->view = e->view;
	p->has_view = true;
	if (p->confirmed_us < e->polled_us || newer)
		p->confirmed_us = e->polled_us;
	if (newer)
		ir_issuer_set_view(p->issuer, own_clock(p), current_view(p),
		    own_host(p), send_handover, p);
}

static void
tick(struct process *p)
{
	schedule(p, EVENT_TICK, p->sim->now + TICK_US);
	if (!p->has_view)
		return;
	ir_issuer_note_lease(p->issuer, own_clock(p), lease_ok(p));
	if (own_host(p))
		ir_rate_limiter_tick(
		    p->limiter, own_clock(p), current_view(p), own_host(p));
}

static void
reply_to_request(struct process *p, const struct event *e)
{
	struct event reply = {.kind = EVENT_GRANT};

	ir_issuer_grant(p->issuer, own_clock(p), lease_ok(p), current_view(p),
	    own_host(p), &e->request, &reply.grant);
	transmit(p, &reply, e->from);
}

static void
handle_message(struct process *p, const struct event *e)
{
	struct sim *s = p->sim;

	if (!p->has_view || s->now < p->disconnected_until_us)
		return;
	if (e->kind == EVENT_TOKEN_REQUEST)
		reply_to_request(p, e);
	else if (e->kind == EVENT_GRANT)
		ir_rate_limiter_add_grant(p->limiter, own_clock(p),
		    s->processes[e->from].name, &e->grant);
	else if (e->incarnation == p->incarnation)
		ir_issuer_handover(p->issuer, own_clock(p), current_view(p),
		    own_host(p), &e->handover);
}

static void
handle_event(struct process *p, const struct event *e)
{
	bool same_process = e->incarnation == p->incarnation;

	switch (e->kind) {
	case EVENT_CALL:
		if (p->has_view && own_host(p))
			handle_call(p);
		break;
	case EVENT_TICK:
		if (same_process)
			tick(p);
		break;
	case EVENT_POLL:
		if (same_process)
			poll(p);
		break;
	case EVENT_VIEW:
		if (same_process)
			apply_view(p, e);
		break;
	default:
		handle_message(p, e);
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
			push(s, e, p->paused_until_us + random_below(s, 500));
		else
			handle_event(p, e);
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
