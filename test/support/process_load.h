/* Shared by the tests with real processes: one fleet, load, and the fixture. */
#ifndef TEST_PROCESS_LOAD_H
#define TEST_PROCESS_LOAD_H

#include "support/processes.h"

#define LOAD_MAX_REQUESTS 40000
#define LOAD_CONCURRENCY 8

/* Index of the key for each use; KEY_MAIN is never withdrawn. */
enum key {
	KEY_MAIN,
	KEY_PAUSED,
	KEY_PAUSED_UNLISTED,
	KEY_OUTAGE,
	KEY_OPEN
};

/* Path of the test program; the fleet that processes_set_up() starts. */
extern const char *program_path;
extern struct processes *procs;

/* A stream of requests, spread over the hosts. */
struct load {
	struct pr_request request; /* the template; its port is set for each */
	const struct pr_host *except; /* gets no requests; may be NULL */
	uint64_t first;		      /* id of the first request */
	uint32_t sent;
	uint32_t ended;
	uint32_t ok;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t other;
	int64_t double_runs_before; /* count_double_runs() at the start */
	/* 'n' not run, 'r' ran, 'u' unknown, '-' no answer or no outcome. */
	char outcomes[LOAD_MAX_REQUESTS];
	char last_failure[200]; /* of a request not served with status 200 */
};

/* For key_refused_by_all(). */
struct key_refusal {
	const struct pr_host *except; /* gets no request; may be NULL */
	enum key key;
};

/* For uptime_reached(). */
struct uptime_mark {
	const struct pr_host *host;
	int64_t uptime_ms;
};

/* Callback for pr_send(); ctx is the load. Counts the answer by outcome. */
void load_on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r);
/*
 * Returns a load without requests, of the fixture's fleet. Reserves
 * LOAD_MAX_REQUESTS ids.
 */
struct load *load_new(
    const char *method, const char *path, const struct pr_host *except);
/* Sends until LOAD_CONCURRENCY requests are in flight, then handles events. */
void load_step(struct load *l);
/* Sends until count more requests have ended. */
void load_run(struct load *l, uint32_t count);
/* Waits for the requests in flight; each has a timeout. */
void load_finish(struct load *l);
void assert_all_served(struct load *l);
/* Fails if the outcome of a request is unknown or it had no answer. */
void assert_served_or_refused(struct load *l);
/* The number of repeated runs at all upstreams since their start. */
int64_t count_double_runs(void);
/* The number of runs at the host's upstream. */
int64_t host_runs(const struct pr_host *h);
struct pr_answer fetch_from_host(
    const struct pr_host *h, const char *path, enum key key);
/* For pr_wait_until(); ctx: struct key_refusal, struct uptime_mark. */
bool key_refused_by_all(void *ctx);
bool uptime_reached(void *ctx);
/* Returns the uptime that the node of h will have in us microseconds. */
struct uptime_mark uptime_after(const struct pr_host *h, int64_t us);
int processes_set_up(void **state);
/* The same with the platform's dialect and a number of hosts. */
int processes_set_up_platform(uint32_t hosts);
/* Ends a test's faults, restarts ended nodes and waits until all serve. */
int processes_restore(void **state);
int processes_tear_down(void **state);

#define WITH_RESTORE(test) cmocka_unit_test_teardown(test, processes_restore)

#endif
