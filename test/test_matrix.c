/*
 * The fault matrix: every fault at every step, then pairs of faults, with the
 * oracle of support/fleet.h over all of it. Each cell is a process of its own,
 * forked from one settled fleet.
 *
 * test_matrix                          each pair on one of the routes
 * test_matrix -a                       each pair on all routes
 * test_matrix -s                       single faults, each on one of the
 *                                      routes, until a cell fails
 * test_matrix ROUTE STEP FAULT FAULT   one cell, by numbers
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/matrix.h"

#define WORKERS 4
#define ROUTES 3
#define FAULTS (FAULT_COUNT - 1)
#define MAX_PRINTED 40
#define TRAFFIC_US (250 * IR_US_PER_MS)
#define REACH_US (3 * IR_US_PER_S)
#define SECOND_US IR_US_PER_S
#define HEAL_AFTER_US (3 * IR_US_PER_S)

enum promise {
	RETRIES_BOUNDED,
	IMPORTANT_LAST,
	KEY_NEEDED,
	KEY_HIDDEN,
	KEY_WITHDRAWN,
	RATE_KEPT,
	ANSWER_OWN,
	NOT_RUN_TRUE,
	AT_MOST_ONCE,
	LEAVING_LEFT,
	STOP_GRACEFUL,
	IN_FORCE,
	PROMISES
};

static const char *const promise_names[PROMISES] = {"retries bounded",
    "important shed last", "runs only with its key", "key never shown",
    "withdrawn key stops", "rate and burst kept", "own answer, whole",
    "not-run is true", "at most once", "leaving host gets no work",
    "stop cuts nothing off", "configuration in force, no return"};
static const char *const route_names[ROUTES] = {
    "write", "write with Idempotency-Key", "read"};

struct cell {
	int route;
	int step;
	enum matrix_fault faults[2];
};

struct result {
	int index;
	int fired;
	uint32_t checked; /* a bit for each promise */
	uint32_t ran, not_run, unknown;
	char failure[160];
};

struct cell_run {
	struct matrix m;
	const struct cell *cell;
	int64_t traffic_us;
	uint32_t traffic;
	int64_t repeat_us[2];
	bool final; /* no more traffic */
};

static struct fleet *
make_fleet(void)
{
	static const char *const zones[] = {"z1", "z2", "z3"};
	struct fleet *f = fleet_create(NULL, 1);

	(void)fleet_add(f, "e", "r1", "z1");
	for (int i = 0; i < 3; i++) {
		const char *region = i < 2 ? "r1" : "r2";
		int s = fleet_add(f, "s", region, zones[i]);

		f->nodes[s].calls_on = "t";
		(void)fleet_add(f, "t", region, zones[i]);
	}
	fleet_publish_defaults(f);
	fleet_publish_account(f, 200, 100, true);
	for (int i = 0; i < f->node_count; i++) {
		f->nodes[i].run_us = 40 * IR_US_PER_MS;
		fleet_start(f, i);
	}
	(void)fleet_settle(f);
	fleet_run(f, 6 * IR_US_PER_S);
	return f;
}

static struct fleet_request
request_of(int route)
{
	struct fleet_request r = {"s", "write", true, NULL, false, 0, 0};

	if (route == 2)
		r.route = "read";
	if (route == 1) {
		r.idempotency_key = "order-1";
		r.first_attempt = true;
	}
	return r;
}

/* Requests from the other hosts, one in four without a key. */
static void
send_traffic(struct cell_run *x)
{
	static const char *const routes[] = {"write", "read", "open"};
	struct fleet *f = x->m.f;
	uint32_t n = x->traffic++;
	struct fleet_request r = {n % 2 == 0 ? "s" : "t", routes[n % 3],
	    n % 4 != 3, NULL, false, 0, 0};

	x->traffic_us = f->now_us + TRAFFIC_US;
	(void)fleet_call(f, 1 + (int)(n % 6), &r);
}

/* The caller asks again, at another host, with the same Idempotency-Key. */
static void
send_repeat(struct cell_run *x)
{
	struct fleet_request r = request_of(1);

	r.first_attempt = false;
	r.repeat_of = x->m.call + 1;
	(void)fleet_call(x->m.f, 3, &r);
}

static bool
after_event(struct fleet *f, void *ctx)
{
	struct cell_run *x = ctx;

	matrix_do_tasks(&x->m);
	if (!x->final && f->now_us >= x->traffic_us)
		send_traffic(x);
	for (int i = 0; i < 2 && x->cell->route == 1; i++) {
		if (x->repeat_us[i] == 0 || f->now_us < x->repeat_us[i])
			continue;
		x->repeat_us[i] = 0;
		send_repeat(x);
	}
	return false;
}

static bool
fired(struct fleet *f, void *ctx)
{
	struct cell_run *x = ctx;

	(void)after_event(f, ctx);
	return x->m.fired != 0;
}

static void
run_for(struct cell_run *x, int64_t us)
{
	(void)fleet_run_until(x->m.f, us, after_event, x);
}

/* The host that granted most tokens leaves. */
static void
drain(struct fleet *f)
{
	int busiest = 1;

	for (int i = 1; i < f->node_count; i++) {
		if (ir_node_counter(
			f->nodes[i].node, IR_COUNTER_GRANTS_ISSUED) >
		    ir_node_counter(
			f->nodes[busiest].node, IR_COUNTER_GRANTS_ISSUED))
			busiest = i;
	}
	fleet_list_state(f, busiest, "leaving");
}

static void
begin(struct cell_run *x, const struct cell *c, struct fleet *f)
{
	struct fleet_request r = request_of(c->route);

	*x = (struct cell_run){.cell = c};
	x->m.f = f;
	x->m.step = &matrix_steps[c->step];
	x->m.faults[0] = c->faults[0];
	x->m.faults[1] = c->faults[1];
	x->m.gate = -1;
	x->m.call = -1;
	f->hook = matrix_hook;
	f->hook_ctx = &x->m;
	x->traffic_us = f->now_us;
	if (x->m.step->prepare == PREPARE_DRAIN) {
		run_for(x, IR_US_PER_S);
		drain(f);
	}
	if (x->m.step->prepare == PREPARE_CUT_OFF)
		f->store_cut[4] = true;
	x->repeat_us[0] = f->now_us + IR_US_PER_S;
	x->repeat_us[1] = f->now_us + 4 * IR_US_PER_S;
	x->m.call = f->call_count;
	(void)fleet_call(f, MATRIX_ORIGIN, &r);
}

static bool
is_served(struct fleet *f, int call)
{
	return call >= 0 && f->calls[call].answers == 1 &&
	       f->calls[call].answer.error == IR_OK;
}

/* After all faults every host serves again. */
static void
check_recovered(struct cell_run *x)
{
	struct fleet *f = x->m.f;
	struct fleet_request r = request_of(0);
	int calls[FLEET_MAX_NODES] = {0};

	x->final = true;
	for (int i = 0; i < f->node_count; i++)
		calls[i] = fleet_call(f, i, &r);
	run_for(x, IR_US_PER_S);
	for (int i = 0; i < f->node_count; i++) {
		if (!is_served(f, calls[i]))
			fleet_fail(f, "%s does not serve again (%s)",
			    f->nodes[i].name,
			    calls[i] < 0
				? "dead"
				: ir_error_info(f->calls[calls[i]].answer.error)
				      ->name);
	}
}

static void
check_stop(struct cell_run *x)
{
	struct fleet *f = x->m.f;

	if (x->cell->faults[1] != FAULT_NONE)
		return;
	for (int i = 0; x->m.held_count != 0 && i < f->call_count; i++) {
		if (f->calls[i].egress && f->calls[i].runs == 0 &&
		    f->calls[i].answer.error == IR_E_STOPPING)
			fleet_fail(f, "egress call %s was refused by a stop",
			    f->calls[i].marker);
	}
	for (int i = 0; i < x->m.held_count; i++) {
		const struct fleet_call *c = &f->calls[x->m.held[i]];

		if (c->gone)
			continue;
		if (c->answers == 0 ||
		    ir_error_info(c->answer.error)->outcome ==
			IR_OUTCOME_UNKNOWN)
			fleet_fail(f, "call %s was cut off by a stop (%s)",
			    c->marker, ir_error_info(c->answer.error)->name);
	}
}

static void
note(struct result *out, enum promise p, bool checked)
{
	if (checked)
		out->checked |= UINT32_C(1) << p;
}

static void
note_call(struct result *out, const struct fleet *f, const struct fleet_call *c)
{
	enum ir_outcome o = ir_error_info(c->answer.error)->outcome;

	note(out, KEY_HIDDEN, c->runs != 0);
	note(out, AT_MOST_ONCE, c->runs != 0 && !c->idempotent);
	note(out, LEAVING_LEFT,
	    f->max_leaving_us != 0 &&
		c->sent_us > f->max_leaving_us + FLEET_LEAVE_DEAD_US);
	if (c->egress || c->answers == 0)
		return;
	out->ran += o == IR_OUTCOME_RAN;
	out->not_run += o == IR_OUTCOME_NOT_RUN;
	out->unknown += o == IR_OUTCOME_UNKNOWN;
	note(out, KEY_NEEDED, c->keyed && !c->has_key);
	note(out, KEY_WITHDRAWN, c->answer.error == IR_E_KEY_UNKNOWN);
	note(out, RATE_KEPT, c->answer.error == IR_E_RATE);
	note(out, ANSWER_OWN, c->answer.error == IR_OK);
	note(out, NOT_RUN_TRUE, o == IR_OUTCOME_NOT_RUN);
}

static void
note_all(struct result *out, struct cell_run *x)
{
	struct fleet *f = x->m.f;

	for (int i = 0; i < f->call_count; i++)
		note_call(out, f, &f->calls[i]);
	for (int i = 0; i < f->node_count; i++)
		note(out, RETRIES_BOUNDED,
		    f->nodes[i].past_retries != 0 ||
			(f->nodes[i].alive && ir_node_counter(f->nodes[i].node,
						  IR_COUNTER_RETRIES)));
	note(out, STOP_GRACEFUL,
	    x->m.held_count != 0 && x->cell->faults[1] == FAULT_NONE);
	for (int i = 0; i < f->attempt_count; i++)
		note(out, IMPORTANT_LAST, f->attempts[i].shed_us != 0);
	note(out, IN_FORCE, true);
}

static void
back_to_normal(struct cell_run *x)
{
	struct fleet *f = x->m.f;

	for (int i = 0; i < f->node_count; i++) {
		if (f->nodes[i].leaving)
			fleet_list_state(f, i, "live");
		if (!f->nodes[i].alive)
			fleet_start(f, i);
	}
	if (!f->key_published)
		fleet_publish_rate(f, f->config_revision + 10,
		    f->rate_mt_per_s / 1000, f->burst_mt / 1000, true);
}

static void
run_cell(struct fleet *f, const struct cell *c, struct result *out)
{
	struct cell_run *x = talloc_zero(f, struct cell_run);

	begin(x, c, f);
	if (x->m.fired == 0)
		(void)fleet_run_until(f, REACH_US, fired, x);
	out->fired = x->m.fired;
	if (x->m.fired == 0)
		return;
	run_for(x, HEAL_AFTER_US);
	matrix_heal(&x->m);
	run_for(x, SECOND_US + FLEET_IN_FORCE_US);
	if (f->failure == NULL)
		fleet_check_in_force(f);
	back_to_normal(x);
	run_for(x, 3 * IR_US_PER_S);
	check_recovered(x);
	out->fired = x->m.fired;
	fleet_check_end(f);
	check_stop(x);
	note_all(out, x);
	if (f->failure != NULL)
		(void)snprintf(
		    out->failure, sizeof(out->failure), "%s", f->failure);
}

/* The cells and their tally. */

struct tally {
	bool all_routes;
	bool singles; /* no pairs, and ends with the first failure */
	struct cell *cells;
	int count;
	int passed, failed, crashed;
	int not_reached[2]; /* first, second fault */
	int by_step[64];
	uint64_t ran, not_run, unknown;
	int checked[PROMISES];
};

static void
add_cell(struct tally *t, int route, int step, int first, int second)
{
	t->cells[t->count++] = (struct cell){route, step, {first, second}};
}

/* Each pair of faults is tried on one of the routes, or (-a) on all. */
static void
add_pairs(struct tally *t, int route, int step, int first)
{
	for (int b = 1; b <= FAULTS; b++) {
		if (t->all_routes || (step + first + b) % ROUTES == route)
			add_cell(t, route, step, first, b);
	}
}

static void
list_cells(struct tally *t)
{
	int most = ROUTES * matrix_step_count * FAULT_COUNT * FAULT_COUNT;

	t->cells = talloc_array(t, struct cell, most);
	for (int r = 0; r < ROUTES; r++) {
		for (int s = 0; s < matrix_step_count; s++) {
			for (int a = 1; a <= FAULTS; a++) {
				if (!t->singles || (s + a) % ROUTES == r)
					add_cell(t, r, s, a, FAULT_NONE);
				if (matrix_steps[s].paired && !t->singles)
					add_pairs(t, r, s, a);
			}
		}
	}
}

static void
print_failure(const struct tally *t, const struct result *r)
{
	const struct cell *c = &t->cells[r->index];

	(void)printf("FAILED %s, %s, %s, then %s: %s\n"
		     "  replay: test_matrix %d %d %d %d\n",
	    route_names[c->route], matrix_steps[c->step].name,
	    matrix_fault_name(c->faults[0]), matrix_fault_name(c->faults[1]),
	    r->failure, c->route, c->step, (int)c->faults[0],
	    (int)c->faults[1]);
}

static void
count_result(struct tally *t, const struct result *r)
{
	const struct cell *c = &t->cells[r->index];

	t->ran += r->ran;
	t->not_run += r->not_run;
	t->unknown += r->unknown;
	for (int p = 0; p < PROMISES; p++)
		t->checked[p] += (int)(r->checked >> p & 1);
	if (r->fired == 0)
		t->by_step[c->step]++;
	if (r->failure[0] != '\0') {
		if (t->failed++ < MAX_PRINTED)
			print_failure(t, r);
	} else if (r->fired == 0) {
		t->not_reached[0]++;
	} else if (r->fired == 1 && c->faults[1] != FAULT_NONE) {
		t->not_reached[1]++;
	} else {
		t->passed++;
	}
}

static void
run_child(struct fleet *f, const struct tally *t, int i, int fd)
{
	struct result r = {.index = i};

	run_cell(f, &t->cells[i], &r);
	_exit(write(fd, &r, sizeof(r)) == sizeof(r) ? 0 : 1);
}

/* A child writes its result, shorter than PIPE_BUF, before it ends. */
static void
collect(struct tally *t, int fd)
{
	struct result r;
	int status;

	if (wait(&status) < 0)
		return;
	if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
		t->crashed++;
		(void)printf("FAILED: a cell ended with status %d\n", status);
		return;
	}
	if (read(fd, &r, sizeof(r)) == sizeof(r))
		count_result(t, &r);
}

static void
run_all(struct fleet *f, struct tally *t)
{
	int fds[2], running = 0;

	if (pipe(fds) != 0)
		abort();
	for (int i = 0; i < t->count; i++) {
		pid_t pid;

		if (t->singles && t->failed + t->crashed != 0)
			break;

		if (running == (t->singles ? WORKERS / 2 : WORKERS)) {
			collect(t, fds[0]);
			running--;
		}
		(void)fflush(stdout);
		pid = fork();
		if (pid < 0)
			abort();
		if (pid == 0)
			run_child(f, t, i, fds[1]);
		running++;
	}
	for (; running > 0; running--)
		collect(t, fds[0]);
}

static void
print_tally(const struct tally *t)
{
	for (int s = 0; s < matrix_step_count; s++) {
		if (t->by_step[s] != 0)
			(void)printf("not reached: \"%s\" does not occur "
				     "within 3 s, %d cells\n",
			    matrix_steps[s].name, t->by_step[s]);
	}
	if (t->not_reached[1] != 0)
		(void)printf("not reached: no further step between the two "
			     "hosts for the second fault, %d cells\n",
		    t->not_reached[1]);
	for (int p = 0; p < PROMISES; p++)
		(void)printf("%s: checked in %d cells\n", promise_names[p],
		    t->checked[p]);
	(void)printf("%d cells: %d passed, %d failed, %d not reached; calls: "
		     "%llu ran, %llu not-run, %llu unknown\n",
	    t->count, t->passed, t->failed + t->crashed,
	    t->not_reached[0] + t->not_reached[1], (unsigned long long)t->ran,
	    (unsigned long long)t->not_run, (unsigned long long)t->unknown);
}

static int
replay(struct fleet *f, char **argv)
{
	long n[4];
	struct cell c;
	struct result r = {0};

	for (int i = 0; i < 4; i++)
		n[i] = strtol(argv[i + 1], NULL, 10);
	if (n[0] < 0 || n[0] >= ROUTES || n[1] < 0 ||
	    n[1] >= matrix_step_count || n[2] < 0 || n[2] > FAULTS ||
	    n[3] < 0 || n[3] > FAULTS)
		return 2;
	c = (struct cell){(int)n[0], (int)n[1],
	    {(enum matrix_fault)n[2], (enum matrix_fault)n[3]}};
	run_cell(f, &c, &r);
	(void)printf("%d faults placed; %s\n", r.fired,
	    r.failure[0] != '\0' ? r.failure : "passed");
	talloc_free(f);
	return r.failure[0] != '\0';
}

int
main(int argc, char **argv)
{
	struct fleet *f = make_fleet();
	struct tally *t = talloc_zero(f, struct tally);
	int status;

	if (argc == 5)
		return replay(f, argv);
	t->singles = argc == 2 && strcmp(argv[1], "-s") == 0;
	t->all_routes = argc == 2 && strcmp(argv[1], "-a") == 0;
	list_cells(t);
	run_all(f, t);
	print_tally(t);
	status = t->failed + t->crashed != 0;
	talloc_free(f);
	return status;
}
