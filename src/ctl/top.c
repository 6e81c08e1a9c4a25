/* ibisrailctl top: prints rates of nodes from periodic reads of counters. */
#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "ctl/ctl.h"
#include "metric/exposition.h"

#define DEFAULT_INTERVAL_MS 1000
#define MIN_INTERVAL_MS 100
#define MAX_INTERVAL_MS 60000
#define MAX_HOST_BYTES 64

static const struct ctl_usage usage = {"top",
    "Prints a table of rates per second of each node, refreshed until\n"
    "interrupted.",
    "0 all nodes answered, 1 a node did not answer, 2 wrong arguments."};

struct column {
	const char *title;
	enum ir_counter counter;
};

static const struct column columns[] = {
    {"calls/s", IR_COUNTER_CALLS},
    {"egress/s", IR_COUNTER_EGRESS_CALLS},
    {"answered/s", IR_COUNTER_ANSWERED},
    {"refused/s", IR_COUNTER_REFUSED},
    {"rate/s", IR_COUNTER_RATE_REFUSED},
    {"unknown/s", IR_COUNTER_OUTCOME_UNKNOWN},
    {"runs/s", IR_COUNTER_RUNS},
    {"shed/s", IR_COUNTER_GATE_REFUSED},
    {"retries/s", IR_COUNTER_RETRIES},
};

#define COLUMN_COUNT (sizeof(columns) / sizeof(columns[0]))

/* One read of a node's counters. */
struct sample {
	bool valid;
	int64_t read_us;
	double value[COLUMN_COUNT];
};

struct node {
	char host[MAX_HOST_BYTES];
	struct sample last;
};

static int64_t
clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* The host name in the node's state; if absent, the node's address. */
static void
read_host(const char *address, char *host)
{
	char *text = ctl_get_admin(NULL, address, "/state");
	struct json_object *obj = NULL, *v;
	const char *name = address;

	if (text != NULL)
		obj = json_tokener_parse(text);
	if (json_object_object_get_ex(obj, "host", &v))
		name = json_object_get_string(v);
	snprintf(host, MAX_HOST_BYTES, "%s", name);
	json_object_put(obj);
	talloc_free(text);
}

static void
read_sample(const char *address, struct sample *s)
{
	char *text = ctl_get_admin(NULL, address, "/counters");

	s->valid = text != NULL;
	s->read_us = clock_us();
	if (text == NULL)
		return;
	for (size_t i = 0; i < COLUMN_COUNT && s->valid; i++)
		s->valid = ir_exposition_read(
		    text, ir_counter_name(columns[i].counter), &s->value[i]);
	talloc_free(text);
}

static void
print_titles(void)
{
	printf("%-22s", "node");
	for (size_t i = 0; i < COLUMN_COUNT; i++)
		printf(" %10s", columns[i].title);
	printf("\n");
}

static void
print_row(const char *host, const struct sample *from, const struct sample *to)
{
	double seconds = (double)(to->read_us - from->read_us) / 1e6;

	printf("%-22s", host);
	if (!from->valid || !to->valid || seconds <= 0) {
		printf(" no answer\n");
		return;
	}
	for (size_t i = 0; i < COLUMN_COUNT; i++)
		printf(" %10.1f", (to->value[i] - from->value[i]) / seconds);
	printf("\n");
}

static bool
print_table(const struct arg_str *address, struct node *nodes, bool first)
{
	struct sample next;
	bool all_answered = true;

	if (!first && isatty(STDOUT_FILENO))
		printf("\033[H\033[J");
	if (!first)
		print_titles();
	for (int i = 0; i < address->count; i++) {
		struct node *n = &nodes[i];

		if (first)
			read_host(address->sval[i], n->host);
		read_sample(address->sval[i], &next);
		if (!first)
			print_row(n->host, &n->last, &next);
		all_answered = all_answered && next.valid;
		n->last = next;
	}
	fflush(stdout);
	return all_answered;
}

static void
sleep_ms(int ms)
{
	struct timespec ts;

	if (ms < MIN_INTERVAL_MS)
		ms = MIN_INTERVAL_MS;
	if (ms > MAX_INTERVAL_MS)
		ms = MAX_INTERVAL_MS;
	ts.tv_sec = ms / 1000;
	ts.tv_nsec = ms % 1000 * 1000000L;
	nanosleep(&ts, NULL);
}

static int
run_top(const struct arg_str *address, int interval_ms, bool once)
{
	struct node *nodes;
	bool all_answered;

	nodes = talloc_zero_array(NULL, struct node, (size_t)address->count);
	if (nodes == NULL)
		return CTL_FAILED;
	all_answered = print_table(address, nodes, true);
	for (;;) {
		sleep_ms(interval_ms);
		all_answered =
		    print_table(address, nodes, false) && all_answered;
		if (once)
			break;
	}
	talloc_free(nodes);
	return all_answered ? CTL_OK : CTL_FAILED;
}

int
ctl_top(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *once =
	    arg_lit0(NULL, "once", "print one table and exit");
	struct arg_int *interval =
	    arg_int0(NULL, "interval-ms", "N", "milliseconds between reads");
	struct arg_str *address = arg_strn(NULL, NULL, "ADDRESS:PORT", 1,
	    CTL_MAX_ADDRESSES, "admin listeners of nodes");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, once, interval, address, end};
	int rc = CTL_OK;

	interval->ival[0] = DEFAULT_INTERVAL_MS;
	if (ctl_parse(&usage, argc, argv, table, 5, &rc) == CTL_OK)
		rc = run_top(address, interval->ival[0], once->count > 0);
	arg_freetable(table, 5);
	return rc;
}
