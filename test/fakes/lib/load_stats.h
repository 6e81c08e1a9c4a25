/* What became of a load run's requests, by key, by path and over time. */
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
	FAKE_OUTCOME_OK,      /* the whole right answer */
	FAKE_OUTCOME_FAILED,  /* ran, but with another status */
	FAKE_OUTCOME_REFUSED, /* said not to have run */
	FAKE_OUTCOME_UNKNOWN, /* said to be unknown */
	FAKE_OUTCOME_NO_ANSWER,
	FAKE_OUTCOME_MISMATCHED, /* an answer, but not to this request */
	FAKE_OUTCOMES
};

/* One request of a caller, repeats included. */
struct fake_request_result {
	enum fake_outcome outcome;
	const char *reason; /* error name or why there was no answer */
	const char *key;    /* name of the key */
	const char *path;
	int64_t latency_us;
	int64_t started_us; /* since the run began */
	int64_t ended_us;
};

struct fake_load_stats *fake_load_stats_new(TALLOC_CTX *mem);
void fake_load_stats_sent(
    struct fake_load_stats *t, const char *key, const char *path);
void fake_load_stats_result(
    struct fake_load_stats *t, const struct fake_request_result *e);
/* Adds everything; the time series only when asked. */
void fake_load_stats_report(struct fake_load_stats *t, struct json_object *out,
    int64_t duration_us, bool series);

#endif
