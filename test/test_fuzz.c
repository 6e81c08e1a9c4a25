/*
 * Stateful fuzzing: random requests and faults on eight nodes, under the
 * checks of support/fleet.h. The seed determines the operations. A failing run
 * is reduced to the operations that it needs and printed as a command.
 *
 * test_fuzz                       the fixed seeds
 * test_fuzz SEED STEPS            one seed
 * test_fuzz SEED STEPS I,J,K...   only these operations of the seed
 * test_fuzz -n COUNT FIRST STEPS  COUNT seeds, starting with FIRST
 * test_fuzz -f COUNT FIRST STEPS  the same; failing seeds are not shrunk
 * test_fuzz -x COUNT FIRST STEPS  like -f, up to the first failing seed
 * test_fuzz -r COUNT FIRST STEPS  like -n, the store may be restored as well
 * test_fuzz -a COUNT FIRST STEPS  like -r, the account's regions change as well
 * test_fuzz -e COUNT FIRST STEPS  like -a, zones may be evacuated as well
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "support/fleet.h"

#define FIXED_SEEDS 24
#define FIXED_STEPS 400
#define MAX_STEPS 20000

enum op_kind {
	OP_WAIT,
	OP_CALL,
	OP_ABANDON_CALL,
	OP_KILL,
	OP_START,
	OP_PAUSE,
	OP_CUT_LINK,
	OP_CUT_REGION,
	OP_CUT_STORE,
	OP_SILENCE,
	OP_CLOSE,
	OP_STORE_DOWN,
	OP_STORE_STALE,
	OP_LIST_LAG,
	OP_KEY,
	OP_RATE,
	OP_LEAVE,
	OP_UPSTREAM,
	OP_RUN_TIME,
	OP_DISTURB,
	/* Only in runs that ask for them, so that seeds keep their meaning. */
	OP_RESTORE,
	OP_REGIONS,
	OP_EVACUATE,
	OP_COUNT
};

/* Relative frequency of each operation. */
static const uint8_t weights[OP_COUNT] = {
    [OP_WAIT] = 60,
    [OP_CALL] = 120,
    [OP_ABANDON_CALL] = 4,
    [OP_KILL] = 3,
    [OP_START] = 8,
    [OP_PAUSE] = 4,
    [OP_CUT_LINK] = 6,
    [OP_CUT_REGION] = 2,
    [OP_CUT_STORE] = 2,
    [OP_SILENCE] = 4,
    [OP_CLOSE] = 4,
    [OP_STORE_DOWN] = 2,
    [OP_STORE_STALE] = 2,
    [OP_LIST_LAG] = 1,
    [OP_KEY] = 2,
    [OP_RATE] = 2,
    [OP_LEAVE] = 3,
    [OP_UPSTREAM] = 4,
    [OP_RUN_TIME] = 4,
    [OP_DISTURB] = 6,
    [OP_RESTORE] = 4,
    [OP_REGIONS] = 3,
    [OP_EVACUATE] = 5,
};

/*
 * Runs that failed through faults that were fixed; test_fuzz without arguments
 * repeats them. Runs the operations listed in ops, all if it is NULL.
 */
static const struct {
	uint64_t seed;
	int steps;
	const char *ops;
} regressions[] = {
    /* A host that was paused while it was leaving then ran its queue. */
    {106777, 600, "530,532,544,545,552,553,554,568,572,574,584,588,589"},
    {107805, 600, NULL},
    /* Store readers cut off in one region concluded a store outage. */
    {111075, 600,
	"6,64,66,248,271,272,281,286,288,289,292,327,393,395,399,412,416,428,"
	"433,442,444,447,451,466,473,484,496,497,510,526,527,529,532,536,542,"
	"550,553,555,556,557,558,564,567,570,572,573,576,577,578,588,589"},
    {925496, 600, NULL},
    /* Cut-off readers concluded a store outage; other hosts could read it. */
    {205895, 600, NULL},
    /* A gate refused important work by its estimate and ran less important. */
    {212528, 600, NULL},
    {900183, 600, NULL},
    /* A gate forgot that its upstream had shed an attempt, whose answer was
       lost: the next one took no token. */
    {9101257, 600, NULL},
};

struct op {
	enum op_kind kind;
	uint32_t a;
	uint32_t b;
	uint32_t c;
};

struct fuzz {
	uint64_t seed;
	struct op ops[MAX_STEPS];
	bool enabled[MAX_STEPS];
	int count;
	uint64_t state;
	/* Outcomes over all seeds: shows that calls were served and refused. */
	uint64_t calls, served, refused, unknown, unanswered;
	bool restores;		      /* runs have OP_RESTORE */
	bool regions;		      /* and OP_REGIONS */
	bool evacuations;	      /* and OP_EVACUATE */
	bool no_shrink;		      /* failing seeds are not shrunk */
	bool stop_at_first;	      /* stops at the first failing seed */
	uint32_t messages_to_disturb; /* random delay or duplicate */
};

static uint64_t
next_random(struct fuzz *r)
{
	r->state++;
	return XXH64(&r->state, sizeof(r->state), r->seed);
}

static enum op_kind
random_op_kind(struct fuzz *r)
{
	int count = r->evacuations ? OP_COUNT
		    : r->regions   ? OP_EVACUATE
		    : r->restores  ? OP_REGIONS
				   : OP_RESTORE;
	uint32_t sum = weights[0], at;

	for (int k = 1; k < count; k++)
		sum += weights[k];
	at = (uint32_t)(next_random(r) % sum);
	for (int k = 0; k < count; k++) {
		if (at < weights[k])
			return k;
		at -= weights[k];
	}
	return OP_WAIT;
}

static void
generate_ops(struct fuzz *r, uint64_t seed, int count)
{
	r->seed = seed;
	r->state = 0;
	r->count = count;
	for (int i = 0; i < count; i++) {
		r->ops[i].kind = random_op_kind(r);
		r->ops[i].a = (uint32_t)next_random(r);
		r->ops[i].b = (uint32_t)next_random(r);
		r->ops[i].c = (uint32_t)next_random(r);
		r->enabled[i] = true;
	}
}

static struct fleet *
make_fleet(uint64_t seed)
{
	static const char *const regions[] = {"r1", "r1", "r2", "r2"};
	static const char *const zones[] = {"z1", "z2", "z3", "z4"};
	struct fleet *f = fleet_create(NULL, seed);

	for (int i = 0; i < 4; i++) {
		int s = fleet_add_node(f, "s", regions[i], zones[i]);

		f->nodes[s].callee_service = "t";
		(void)fleet_add_node(f, "t", regions[i], zones[i]);
	}
	fleet_publish_defaults(f);
	fleet_publish_account(f, 20, 30, true);
	for (int i = 0; i < f->node_count; i++)
		fleet_start(f, i);
	return f;
}

/* Delays or duplicates half of the messages to disturb. */
static void
disturb_message(struct fleet *f, const struct fleet_step_event *ev)
{
	struct fuzz *r = f->hook_ctx;
	uint64_t x;

	if (ev->step != STEP_SENT || r->messages_to_disturb == 0)
		return;
	r->messages_to_disturb--;
	x = XXH64(&f->sequence, sizeof(f->sequence), r->seed);
	if (x % 4 == 0)
		f->next_delay_us = (int64_t)(x / 4 % 900) * IR_US_PER_MS;
	else if (x % 4 == 1)
		f->next_duplicate = true;
}

static void
op_call(struct fleet *f, const struct op *o)
{
	static const char *const routes[] = {"read", "write", "write", "open"};
	static const char *const services[] = {"s", "s", "t"};
	char key[16];
	struct fleet_request q = {0};
	int node = (int)(o->a % (uint32_t)f->node_count);
	int c;

	q.service = services[o->b % 3];
	q.route = routes[o->b / 3 % 4];
	q.with_key = true;
	q.deadline_ms = o->c % 3 == 0 ? 300 : 0;
	(void)snprintf(key, sizeof(key), "k%u", o->c % 10000);
	if (o->c % 5 == 0) {
		q.idempotency_key = key;
		q.first_attempt = true;
	}
	c = fleet_call(f, node, &q);
	/* Another call may have drawn the same key, so this may be a repeat. */
	if (c >= 0 && q.idempotency_key != NULL)
		f->calls[c].is_repeat = true;
}

static void
op_abandon_call(struct fleet *f, const struct op *o)
{
	int c;

	if (f->call_count == 0)
		return;
	c = f->call_count - 1 - (int)(o->a % 8);
	if (c >= 0 && !f->calls[c].egress && f->nodes[f->calls[c].node].alive)
		fleet_abandon_call(f, c);
}

static void
op_cut_region(struct fleet *f, bool cut)
{
	for (int a = 0; a < f->node_count; a++) {
		for (int b = 0; b < f->node_count; b++) {
			if (strcmp(f->nodes[a].region, f->nodes[b].region) != 0)
				fleet_set_cut(f, a, b, cut);
		}
		if (strcmp(f->nodes[a].region, "r2") == 0)
			f->store_cut[a] = cut;
	}
}

static void
op_rate(struct fleet *f, const struct op *o)
{
	if (f->store_correct_since_us == 0)
		return;
	if (o->a % 2 == 0)
		fleet_publish_account(f, 20, 30, f->key_published);
	else
		fleet_publish_account(f, 10, 12, f->key_published);
}

static void
op_key(struct fleet *f)
{
	if (f->store_correct_since_us == 0)
		return;
	fleet_publish_account(
	    f, f->rate_mt_per_s / 1000, f->burst_mt / 1000, !f->key_published);
}

static void
op_leave(struct fleet *f, int node, const struct op *o)
{
	static const char *const states[] = {"leaving", "live", "live", "gone"};

	if (f->store_correct_since_us != 0)
		fleet_publish_host(f, node, states[o->b % 4]);
}

static void
op_cut_link(struct fleet *f, int a, const struct op *o)
{
	int b = (int)(o->b % (uint32_t)f->node_count);

	if (a == b)
		return;
	fleet_set_cut(f, a, b, o->c % 2 == 0);
	if (o->c % 4 < 2)
		fleet_set_cut(f, b, a, o->c % 2 == 0);
}

/* Operations on the store, published sections, upstreams and messages. */
static void
apply_environment_op(struct fleet *f, struct fuzz *r, const struct op *o)
{
	static const char *const only[] = {"r1", "r2", "r2", NULL};
	static const enum fleet_upstream_mode modes[] = {UPSTREAM_OK,
	    UPSTREAM_OK, UPSTREAM_SHEDS, UPSTREAM_BREAKS_CONNECTION,
	    UPSTREAM_HANGS};
	int a = (int)(o->a % (uint32_t)f->node_count);

	switch (o->kind) {
	case OP_STORE_DOWN:
		fleet_set_store_down(f, o->c % 2 == 0);
		break;
	case OP_STORE_STALE:
		fleet_set_store_stale(f, o->c % 2 == 0);
		break;
	case OP_LIST_LAG:
		fleet_set_list_lag(f, (int64_t)(o->c % 3) * IR_US_PER_S / 2);
		break;
	case OP_KEY:
		op_key(f);
		break;
	case OP_RATE:
		op_rate(f, o);
		break;
	case OP_LEAVE:
		op_leave(f, a, o);
		break;
	case OP_UPSTREAM:
		f->nodes[a].upstream_mode = modes[o->b % 5];
		break;
	case OP_RUN_TIME:
		f->nodes[a].run_duration_us =
		    (int64_t)(o->b % 400 + 1) * IR_US_PER_MS;
		break;
	case OP_RESTORE:
		fleet_restore_store(f, (int64_t)(o->a % 8000) * IR_US_PER_MS);
		break;
	case OP_REGIONS:
		if (f->store_correct_since_us != 0)
			fleet_publish_account_regions(f, only[o->a % 4], NULL);
		break;
	case OP_EVACUATE:
		if (f->store_correct_since_us != 0)
			fleet_evacuate(f, f->nodes[a].zone, o->c % 2 == 0);
		break;
	case OP_DISTURB:
		r->messages_to_disturb = o->a % 30;
		break;
	default:
		break;
	}
}

static void
apply_op(struct fleet *f, struct fuzz *r, const struct op *o)
{
	int a = (int)(o->a % (uint32_t)f->node_count);
	int b = (int)(o->b % (uint32_t)f->node_count);

	switch (o->kind) {
	case OP_WAIT:
		fleet_run(f, (int64_t)(o->a % 300 + 1) * IR_US_PER_MS);
		break;
	case OP_CALL:
		op_call(f, o);
		break;
	case OP_ABANDON_CALL:
		op_abandon_call(f, o);
		break;
	case OP_KILL:
		fleet_kill(f, a);
		break;
	case OP_START:
		if (!f->nodes[a].alive)
			fleet_start(f, a);
		break;
	case OP_PAUSE:
		if (f->nodes[a].alive)
			fleet_pause(
			    f, a, (int64_t)(o->b % 6000) * IR_US_PER_MS);
		break;
	case OP_CUT_LINK:
		op_cut_link(f, a, o);
		break;
	case OP_CUT_REGION:
		op_cut_region(f, o->c % 3 == 0);
		break;
	case OP_CUT_STORE:
		f->store_cut[a] = o->c % 2 == 0;
		break;
	case OP_SILENCE:
		fleet_silence(f, a, b);
		break;
	case OP_CLOSE:
		fleet_close(f, a, b);
		break;
	default:
		apply_environment_op(f, r, o);
		break;
	}
}

/* Ends all faults; every call must then be answered in time. */
static void
end_faults(struct fleet *f)
{
	for (int a = 0; a < f->node_count; a++) {
		for (int b = 0; b < f->node_count; b++)
			f->cut[a][b] = false;
		f->store_cut[a] = false;
		f->nodes[a].upstream_mode = UPSTREAM_OK;
		f->nodes[a].run_duration_us = 2000;
	}
	fleet_set_store_down(f, false);
	fleet_set_store_stale(f, false);
	fleet_run(f, 12 * IR_US_PER_S);
}

static void
count_answers(struct fuzz *r, const struct fleet *f)
{
	for (int i = 0; i < f->call_count; i++) {
		const struct fleet_call *c = &f->calls[i];
		enum ir_outcome o = ir_error_info(c->answer.error)->outcome;

		if (c->egress)
			continue;
		r->calls++;
		if (c->answers == 0)
			r->unanswered++;
		else if (c->answer.error == IR_OK)
			r->served++;
		else if (o == IR_OUTCOME_NOT_RUN)
			r->refused++;
		else
			r->unknown++;
	}
}

/* Runs the enabled operations. Returns the failure, of mem, or NULL. */
static char *
run_once(struct fuzz *r, TALLOC_CTX *mem)
{
	struct fleet *f = make_fleet(r->seed);
	char *failure = NULL;

	f->hook = disturb_message;
	f->hook_ctx = r;
	r->messages_to_disturb = 0;
	fleet_run(f, 6 * IR_US_PER_S);
	for (int i = 0; i < r->count && f->failure == NULL; i++) {
		if (r->enabled[i])
			apply_op(f, r, &r->ops[i]);
	}
	if (f->failure == NULL)
		end_faults(f);
	if (f->failure == NULL)
		fleet_check_end(f);
	if (f->failure == NULL && r->restores)
		fleet_check_converged(f);
	count_answers(r, f);
	if (f->failure != NULL)
		failure = talloc_strdup(mem, f->failure);
	talloc_free(f);
	return failure;
}

/* Disables operations not needed to fail: in halves, then one by one. */
static void
shrink(struct fuzz *r, TALLOC_CTX *mem)
{
	for (int size = r->count / 2; size >= 1; size /= 2) {
		for (int from = 0; from < r->count; from += size) {
			bool saved[MAX_STEPS];
			char *failure;

			(void)memcpy(saved, r->enabled, sizeof(saved));
			for (int i = from; i < from + size && i < r->count; i++)
				r->enabled[i] = false;
			if (memcmp(saved, r->enabled, sizeof(saved)) == 0)
				continue;
			failure = run_once(r, mem);
			if (failure == NULL)
				(void)memcpy(r->enabled, saved, sizeof(saved));
			talloc_free(failure);
		}
	}
}

static void
report(struct fuzz *r, const char *failure)
{
	const char *comma = "";

	(void)printf("seed %llu: %s\nreplay: test_fuzz %llu %d ",
	    (unsigned long long)r->seed, failure, (unsigned long long)r->seed,
	    r->count);
	for (int i = 0; i < r->count; i++) {
		if (!r->enabled[i])
			continue;
		(void)printf("%s%d", comma, i);
		comma = ",";
	}
	(void)printf("\n");
}

static bool
run_seed(struct fuzz *r, uint64_t seed, int steps, TALLOC_CTX *mem)
{
	char *failure;

	generate_ops(r, seed, steps);
	failure = run_once(r, mem);
	if (failure == NULL)
		return true;
	(void)printf("seed %llu: %s%s\n", (unsigned long long)seed, failure,
	    r->no_shrink ? "" : "; shrinking");
	(void)fflush(stdout);
	if (r->no_shrink) {
		talloc_free(failure);
		return false;
	}
	shrink(r, mem);
	talloc_free(failure);
	failure = run_once(r, mem);
	report(r, failure != NULL ? failure : "no failure after shrinking");
	talloc_free(failure);
	return false;
}

static bool
replay(
    struct fuzz *r, uint64_t seed, int steps, const char *list, TALLOC_CTX *mem)
{
	char *copy = talloc_strdup(mem, list);
	char *failure, *save = NULL;

	generate_ops(r, seed, steps);
	(void)memset(r->enabled, 0, sizeof(r->enabled));
	for (char *t = strtok_r(copy, ",", &save); t != NULL;
	     t = strtok_r(NULL, ",", &save)) {
		long i = strtol(t, NULL, 10);

		if (i >= 0 && i < steps)
			r->enabled[i] = true;
	}
	failure = run_once(r, mem);
	if (failure != NULL)
		report(r, failure);
	return failure == NULL;
}

static int
run_many(struct fuzz *r, uint64_t first, int count, int steps, TALLOC_CTX *mem)
{
	int failed = 0;

	for (int i = 0; i < count && !(r->stop_at_first && failed); i++)
		failed += !run_seed(r, first + (uint64_t)i, steps, mem);
	(void)printf(
	    "%d seeds of %d steps, %d failed; %llu calls: %llu served, "
	    "%llu refused, %llu unknown, %llu left by their caller\n",
	    count, steps, failed, (unsigned long long)r->calls,
	    (unsigned long long)r->served, (unsigned long long)r->refused,
	    (unsigned long long)r->unknown, (unsigned long long)r->unanswered);
	return failed != 0;
}

static int
run_fixed(struct fuzz *r, TALLOC_CTX *mem)
{
	int failed = 0;

	for (size_t i = 0; i < sizeof(regressions) / sizeof(*regressions); i++)
		failed +=
		    regressions[i].ops != NULL
			? !replay(r, regressions[i].seed, regressions[i].steps,
			      regressions[i].ops, mem)
			: !run_seed(r, regressions[i].seed,
			      regressions[i].steps, mem);
	failed += run_many(r, 1, FIXED_SEEDS, FIXED_STEPS, mem);
	r->restores = true;
	failed += run_many(r, 1, FIXED_SEEDS, FIXED_STEPS, mem);
	r->regions = true;
	failed += run_many(r, 1, FIXED_SEEDS, FIXED_STEPS, mem);
	r->evacuations = true;
	return failed + run_many(r, 1, FIXED_SEEDS, FIXED_STEPS, mem) != 0;
}

static int
parse_count(const char *text)
{
	long v = strtol(text, NULL, 10);

	return v < 1 ? 1 : v > MAX_STEPS ? MAX_STEPS : (int)v;
}

int
main(int argc, char **argv)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct fuzz *r = talloc_zero(mem, struct fuzz);
	int status;

	r->stop_at_first = argc == 5 && strcmp(argv[1], "-x") == 0;
	r->no_shrink =
	    r->stop_at_first || (argc == 5 && strcmp(argv[1], "-f") == 0);
	r->evacuations = argc == 5 && strcmp(argv[1], "-e") == 0;
	r->regions =
	    r->evacuations || (argc == 5 && strcmp(argv[1], "-a") == 0);
	r->restores = r->regions || (argc == 5 && strcmp(argv[1], "-r") == 0);
	if (r->no_shrink || r->restores ||
	    (argc == 5 && strcmp(argv[1], "-n") == 0))
		status = run_many(r, strtoull(argv[3], NULL, 10),
		    parse_count(argv[2]), parse_count(argv[4]), mem);
	else if (argc == 4)
		status = !replay(r, strtoull(argv[1], NULL, 10),
		    parse_count(argv[2]), argv[3], mem);
	else if (argc == 3)
		status = !run_seed(
		    r, strtoull(argv[1], NULL, 10), parse_count(argv[2]), mem);
	else
		status = run_fixed(r, mem);
	talloc_free(mem);
	return status;
}
