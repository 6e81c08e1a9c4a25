/*
 * What the tests with real processes share: one fleet, load that is kept
 * coming, and the fixture.
 */
#ifndef TEST_PROCESS_LOAD_H
#define TEST_PROCESS_LOAD_H

#include "support/processes.h"

#define LOAD_MAX_REQUESTS 40000
#define LOAD_CONCURRENCY 8

/* Keys by use: the first is never withdrawn. */
enum key {
	KEY_MAIN,
	KEY_PAUSED,
	KEY_PAUSED_UNLISTED,
	KEY_OUTAGE,
	KEY_OPEN
};

/* Path of the test program, and the fleet that set_up starts. */
extern const char *program_path;
extern struct processes *procs;

/* Requests that are kept coming. */
struct load {
	struct pr_request request; /* its port is set for each */
	const struct pr_host *except;
	uint64_t first; /* id */
	uint32_t sent;
	uint32_t ended;
	uint32_t ok;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t other;
	int64_t double_runs_before;	  /* of all upstreams, when it began */
	char outcomes[LOAD_MAX_REQUESTS]; /* 'n' not run, 'r' ran, 'u' unknown,
					     '-' */
	char last_failure[200];		  /* of those not served */
};

struct key_refusal {
	const struct pr_host *except;
	enum key key;
};

struct uptime_mark {
	const struct pr_host *host;
	int64_t uptime_ms;
};

/* For pr_send: notes the answer. */
void load_on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r);
struct load *load_new(
    const char *method, const char *path, const struct pr_host *except);
void load_step(struct load *l);
void load_run(struct load *l, uint32_t count);
void load_finish(struct load *l);
void assert_all_served(struct load *l);
void assert_served_or_refused(struct load *l);
int64_t count_double_runs(void);
int64_t host_runs(const struct pr_host *h);
struct pr_answer ask_host(
    const struct pr_host *h, const char *path, enum key key);
bool key_refused_by_all(void *ctx);
bool uptime_reached(void *ctx);
struct uptime_mark uptime_after(const struct pr_host *h, int64_t us);
int processes_set_up(void **state);
int processes_restore(void **state);
int processes_tear_down(void **state);

#define WITH_RESTORE(test) cmocka_unit_test_teardown(test, processes_restore)

#endif
