/* Statistics of a load run's requests by outcome, key, path and time. */
#ifndef FAKE_LOAD_STATS_H
#define FAKE_LOAD_STATS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#define FAKE_INTERVAL_MS 100
#define FAKE_MAX_INTERVALS 1300

struct json_object;
struct fake_load_stats;

enum fake_outcome {
	FAKE_OUTCOME_OK,      /* a complete answer, with the expected body */
	FAKE_OUTCOME_FAILED,  /* any other status than 200 */
	FAKE_OUTCOME_REFUSED, /* outcome not-run */
	FAKE_OUTCOME_UNKNOWN, /* outcome unknown */
	FAKE_OUTCOME_NO_ANSWER,
	FAKE_OUTCOME_MISMATCHED, /* the answer to another request */
	FAKE_OUTCOMES
};

/* The result of a caller's request, after its last retry. */
struct fake_request_result {
	enum fake_outcome outcome;
	const char *reason; /* name of the error, or why there was no answer */
	const char *key;    /* name of the key, not its text */
	const char *path;
	int64_t latency_us;
	int64_t started_us; /* from the start of the run */
	int64_t ended_us;
};

struct fake_load_stats *fake_load_stats_new(TALLOC_CTX *mem);
void fake_load_stats_sent(
    struct fake_load_stats *t, const char *key, const char *path);
void fake_load_stats_result(
    struct fake_load_stats *t, const struct fake_request_result *e);
/* Adds all figures to a JSON object, with the time series if series is set. */
void fake_load_stats_report(struct fake_load_stats *t, struct json_object *out,
    int64_t duration_us, bool series);

#endif
