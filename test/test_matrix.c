/*
 * The fault matrix (support/matrix.h): every fault at every step, then pairs
 * of faults, under the checks of support/fleet.h. Each cell runs in a process
 * of its own, forked from the same fleet when all its nodes are ready.
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
#define STEP_TIMEOUT_US (3 * IR_US_PER_S)
#define SECOND_FAULT_US IR_US_PER_S
#define END_FAULTS_AFTER_US (3 * IR_US_PER_S)

enum guarantee {
	RETRIES_BOUNDED,
	SHED_BY_IMPORTANCE,
	KEY_NEEDED,
	KEY_NOT_DISCLOSED,
	KEY_WITHDRAWAL,
	RATE_BOUNDED,
	OWN_ANSWER,
	NOT_RUN_CORRECT,
	AT_MOST_ONCE,
	LEAVING_GETS_NO_WORK,
	GRACEFUL_STOP,
	CONFIG_CONVERGED,
	GUARANTEES
};

static const char *const guarantee_names[GUARANTEES] = {"retries bounded",
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
	int faults_placed;
	uint32_t checked; /* one bit for each enum guarantee */
	uint32_t ran, not_run, unknown;
	char failure[160];
};

struct cell_run {
	struct matrix m;
	const struct cell *cell;
	int64_t next_traffic_us;
	uint32_t traffic_count;
	int64_t repeat_at_us[2];
	bool recovering; /* sends no more traffic */
};

static struct fleet *
make_fleet(void)
{
	static const char *const zones[] = {"z1", "z2", "z3"};
	struct fleet *f = fleet_create(NULL, 1);

	(void)fleet_add_node(f, "e", "r1", "z1");
	for (int i = 0; i < 3; i++) {
		const char *region = i < 2 ? "r1" : "r2";
		int s = fleet_add_node(f, "s", region, zones[i]);

		f->nodes[s].callee_service = "t";
		(void)fleet_add_node(f, "t", region, zones[i]);
	}
	fleet_publish_defaults(f);
	fleet_publish_account(f, 200, 100, true);
	for (int i = 0; i < f->node_count; i++) {
		f->nodes[i].run_duration_us = 40 * IR_US_PER_MS;
		fleet_start(f, i);
	}
	(void)fleet_wait_ready(f);
	fleet_run(f, 6 * IR_US_PER_S);
	return f;
}

static struct fleet_request
request_for_route(int route)
{
	struct fleet_request r = {"s", "write", true, NULL, false, 0, 0, NULL};

	if (route == 2)
		r.route = "read";
	if (route == 1) {
		r.idempotency_key = "order-1";
		r.first_attempt = true;
	}
	return r;
}

/* Sends a request at a host other than the origin; one in four has no key. */
static void
send_traffic(struct cell_run *run)
{
	static const char *const routes[] = {"write", "read", "open"};
	struct fleet *f = run->m.f;
	uint32_t n = run->traffic_count++;
	struct fleet_request r = {n % 2 == 0 ? "s" : "t", routes[n % 3],
	    n % 4 != 3, NULL, false, 0, 0, NULL};

	run->next_traffic_us = f->now_us + TRAFFIC_US;
	(void)fleet_call(f, 1 + (int)(n % 6), &r);
}

/* The caller retries at another host with the same Idempotency-Key. */
static void
send_repeat(struct cell_run *run)
{
	struct fleet_request r = request_for_route(1);

	r.first_attempt = false;
	r.repeat_of = run->m.call + 1;
	(void)fleet_call(run->m.f, 3, &r);
}

static bool
after_event(struct fleet *f, void *ctx)
{
	struct cell_run *run = ctx;

	matrix_run_due_tasks(&run->m);
	if (!run->recovering && f->now_us >= run->next_traffic_us)
		send_traffic(run);
	for (int i = 0; i < 2 && run->cell->route == 1; i++) {
		if (run->repeat_at_us[i] == 0 ||
		    f->now_us < run->repeat_at_us[i])
			continue;
		run->repeat_at_us[i] = 0;
		send_repeat(run);
	}
	return false;
}

static bool
fault_placed(struct fleet *f, void *ctx)
{
	struct cell_run *run = ctx;

	(void)after_event(f, ctx);
	return run->m.faults_placed != 0;
}

static void
run_for(struct cell_run *run, int64_t us)
{
	(void)fleet_run_until(run->m.f, us, after_event, run);
}

/* Lists the host that granted most tokens as leaving. */
static void
drain_busiest_issuer(struct fleet *f)
{
	int busiest = 1;

	for (int i = 1; i < f->node_count; i++) {
		if (ir_node_counter(
			f->nodes[i].node, IR_COUNTER_GRANTS_ISSUED) >
		    ir_node_counter(
			f->nodes[busiest].node, IR_COUNTER_GRANTS_ISSUED))
			busiest = i;
	}
	fleet_publish_host(f, busiest, "leaving");
}

static void
start_cell(struct cell_run *run, const struct cell *c, struct fleet *f)
{
	struct fleet_request r = request_for_route(c->route);

	*run = (struct cell_run){.cell = c};
	run->m.f = f;
	run->m.step = &matrix_steps[c->step];
	run->m.faults[0] = c->faults[0];
	run->m.faults[1] = c->faults[1];
	run->m.gate = -1;
	run->m.call = -1;
	f->hook = matrix_hook;
	f->hook_ctx = &run->m;
	run->next_traffic_us = f->now_us;
	if (run->m.step->prepare == PREPARE_DRAIN) {
		run_for(run, IR_US_PER_S);
		drain_busiest_issuer(f);
	}
	if (run->m.step->prepare == PREPARE_CUT_STORE)
		f->store_cut[4] = true;
	run->repeat_at_us[0] = f->now_us + IR_US_PER_S;
	run->repeat_at_us[1] = f->now_us + 4 * IR_US_PER_S;
	run->m.call = f->call_count;
	(void)fleet_call(f, MATRIX_ORIGIN, &r);
}

static bool
is_served(struct fleet *f, int call)
{
	return call >= 0 && f->calls[call].answers == 1 &&
	       f->calls[call].answer.error == IR_OK;
}

/* Checks that every host serves after the faults have ended. */
static void
check_recovered(struct cell_run *run)
{
	struct fleet *f = run->m.f;
	struct fleet_request r = request_for_route(0);
	int calls[FLEET_MAX_NODES] = {0};

	run->recovering = true;
	for (int i = 0; i < f->node_count; i++)
		calls[i] = fleet_call(f, i, &r);
	run_for(run, IR_US_PER_S);
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
check_stop(struct cell_run *run)
{
	struct fleet *f = run->m.f;

	if (run->cell->faults[1] != FAULT_NONE)
		return;
	for (int i = 0; run->m.calls_at_stop_count != 0 && i < f->call_count;
	     i++) {
		if (f->calls[i].egress && f->calls[i].runs == 0 &&
		    f->calls[i].answer.error == IR_E_STOPPING)
			fleet_fail(f, "egress call %s was refused by a stop",
			    f->calls[i].marker);
	}
	for (int i = 0; i < run->m.calls_at_stop_count; i++) {
		const struct fleet_call *c = &f->calls[run->m.calls_at_stop[i]];

		if (c->abandoned)
			continue;
		if (c->answers == 0 ||
		    ir_error_info(c->answer.error)->outcome ==
			IR_OUTCOME_UNKNOWN)
			fleet_fail(f, "call %s failed because of a stop (%s)",
			    c->marker, ir_error_info(c->answer.error)->name);
	}
}

static void
mark_checked(struct result *out, enum guarantee p, bool checked)
{
	if (checked)
		out->checked |= UINT32_C(1) << p;
}

static void
mark_call_checked(
    struct result *out, const struct fleet *f, const struct fleet_call *c)
{
	enum ir_outcome o = ir_error_info(c->answer.error)->outcome;

	mark_checked(out, KEY_NOT_DISCLOSED, c->runs != 0);
	mark_checked(out, AT_MOST_ONCE, c->runs != 0 && !c->idempotent);
	mark_checked(out, LEAVING_GETS_NO_WORK,
	    f->last_leaving_us != 0 &&
		c->sent_us > f->last_leaving_us + FLEET_LEAVING_US);
	if (c->egress || c->answers == 0)
		return;
	out->ran += o == IR_OUTCOME_RAN;
	out->not_run += o == IR_OUTCOME_NOT_RUN;
	out->unknown += o == IR_OUTCOME_UNKNOWN;
	mark_checked(out, KEY_NEEDED, c->needs_key && !c->has_key);
	mark_checked(out, KEY_WITHDRAWAL, c->answer.error == IR_E_KEY_UNKNOWN);
	mark_checked(out, RATE_BOUNDED, c->answer.error == IR_E_RATE);
	mark_checked(out, OWN_ANSWER, c->answer.error == IR_OK);
	mark_checked(out, NOT_RUN_CORRECT, o == IR_OUTCOME_NOT_RUN);
}

static void
mark_all_checked(struct result *out, struct cell_run *run)
{
	struct fleet *f = run->m.f;

	for (int i = 0; i < f->call_count; i++)
		mark_call_checked(out, f, &f->calls[i]);
	for (int i = 0; i < f->node_count; i++)
		mark_checked(out, RETRIES_BOUNDED,
		    f->nodes[i].earlier_retries != 0 ||
			(f->nodes[i].alive && ir_node_counter(f->nodes[i].node,
						  IR_COUNTER_RETRIES)));
	mark_checked(out, GRACEFUL_STOP,
	    run->m.calls_at_stop_count != 0 &&
		run->cell->faults[1] == FAULT_NONE);
	for (int i = 0; i < f->attempt_count; i++)
		mark_checked(
		    out, SHED_BY_IMPORTANCE, f->attempts[i].shed_us != 0);
	mark_checked(out, CONFIG_CONVERGED, true);
}

static void
restore_fleet(struct cell_run *run)
{
	struct fleet *f = run->m.f;

	for (int i = 0; i < f->node_count; i++) {
		if (f->nodes[i].leaving)
			fleet_publish_host(f, i, "live");
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
	struct cell_run *run = talloc_zero(f, struct cell_run);

	start_cell(run, c, f);
	if (run->m.faults_placed == 0)
		(void)fleet_run_until(f, STEP_TIMEOUT_US, fault_placed, run);
	out->faults_placed = run->m.faults_placed;
	if (run->m.faults_placed == 0)
		return;
	run_for(run, END_FAULTS_AFTER_US);
	matrix_remove_faults(&run->m);
	run_for(run, SECOND_FAULT_US + FLEET_CONVERGED_US);
	if (f->failure == NULL)
		fleet_check_converged(f);
	restore_fleet(run);
	run_for(run, 3 * IR_US_PER_S);
	check_recovered(run);
	out->faults_placed = run->m.faults_placed;
	fleet_check_end(f);
	check_stop(run);
	mark_all_checked(out, run);
	if (f->failure != NULL)
		(void)snprintf(
		    out->failure, sizeof(out->failure), "%s", f->failure);
}

/* The list of cells and the summary of their results. */

struct summary {
	bool all_routes;
	bool singles; /* no pairs; stops at the first failure */
	struct cell *cells;
	int count;
	int passed, failed, crashed;
	int not_reached[2]; /* cells without first, without second fault */
	int not_reached_by_step[64];
	uint64_t ran, not_run, unknown;
	int checked[GUARANTEES];
};

static void
add_cell(struct summary *t, int route, int step, int first, int second)
{
	t->cells[t->count++] = (struct cell){route, step, {first, second}};
}

/* Adds each pair of faults on one of the routes or, with -a, on all. */
static void
add_pairs(struct summary *t, int route, int step, int first)
{
	for (int b = 1; b <= FAULTS; b++) {
		if (t->all_routes || (step + first + b) % ROUTES == route)
			add_cell(t, route, step, first, b);
	}
}

static void
list_cells(struct summary *t)
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
print_failure(const struct summary *t, const struct result *r)
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
count_result(struct summary *t, const struct result *r)
{
	const struct cell *c = &t->cells[r->index];

	t->ran += r->ran;
	t->not_run += r->not_run;
	t->unknown += r->unknown;
	for (int p = 0; p < GUARANTEES; p++)
		t->checked[p] += (int)(r->checked >> p & 1);
	if (r->faults_placed == 0)
		t->not_reached_by_step[c->step]++;
	if (r->failure[0] != '\0') {
		if (t->failed++ < MAX_PRINTED)
			print_failure(t, r);
	} else if (r->faults_placed == 0) {
		t->not_reached[0]++;
	} else if (r->faults_placed == 1 && c->faults[1] != FAULT_NONE) {
		t->not_reached[1]++;
	} else {
		t->passed++;
	}
}

static void
run_child(struct fleet *f, const struct summary *t, int i, int fd)
{
	struct result r = {.index = i};

	run_cell(f, &t->cells[i], &r);
	_exit(write(fd, &r, sizeof(r)) == sizeof(r) ? 0 : 1);
}

/* A child writes its result before it ends; it is shorter than PIPE_BUF. */
static void
reap_cell(struct summary *t, int fd)
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
run_all(struct fleet *f, struct summary *t)
{
	int fds[2], running = 0;

	if (pipe(fds) != 0)
		abort();
	for (int i = 0; i < t->count; i++) {
		pid_t pid;

		if (t->singles && t->failed + t->crashed != 0)
			break;

		if (running == (t->singles ? WORKERS / 2 : WORKERS)) {
			reap_cell(t, fds[0]);
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
		reap_cell(t, fds[0]);
}

static void
print_summary(const struct summary *t)
{
	for (int s = 0; s < matrix_step_count; s++) {
		if (t->not_reached_by_step[s] != 0)
			(void)printf("not reached: \"%s\" does not occur "
				     "within 3 s, %d cells\n",
			    matrix_steps[s].name, t->not_reached_by_step[s]);
	}
	if (t->not_reached[1] != 0)
		(void)printf("not reached: no further step between the two "
			     "hosts for the second fault, %d cells\n",
		    t->not_reached[1]);
	for (int p = 0; p < GUARANTEES; p++)
		(void)printf("%s: checked in %d cells\n", guarantee_names[p],
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
	(void)printf("%d faults placed; %s\n", r.faults_placed,
	    r.failure[0] != '\0' ? r.failure : "passed");
	talloc_free(f);
	return r.failure[0] != '\0';
}

int
main(int argc, char **argv)
{
	struct fleet *f = make_fleet();
	struct summary *t = talloc_zero(f, struct summary);
	int status;

	if (argc == 5)
		return replay(f, argv);
	t->singles = argc == 2 && strcmp(argv[1], "-s") == 0;
	t->all_routes = argc == 2 && strcmp(argv[1], "-a") == 0;
	list_cells(t);
	run_all(f, t);
	print_summary(t);
	status = t->failed + t->crashed != 0;
	talloc_free(f);
	return status;
}
