/*
 * A stand-in upstream: requests take a slot each for a service time, then
 * call on to other services, then answer.
 */
#ifndef FAKE_UPSTREAM_H
#define FAKE_UPSTREAM_H

#include <pthread.h>

#include "fakes/lib/fetch.h"
#include "fakes/lib/record.h"
#include "fakes/lib/server.h"
#include "fakes/lib/timers.h"

#define FAKE_MAX_CALLS 8

enum fake_failure {
	FAKE_FAIL_NONE,
	FAKE_FAIL_RESET,
	FAKE_FAIL_TRUNCATE
};

enum fake_override {
	FAKE_OVERRIDE_NONE,
	FAKE_OVERRIDE_UP,
	FAKE_OVERRIDE_DOWN
};

struct fake_upstream_options {
	uint32_t slots;
	uint32_t queue; /* places for requests that wait for a slot */
	int64_t service_us;
	int64_t jitter_us; /* added by a hash of the run's number */
	size_t answer_bytes;
	const char *instance_id; /* of the platform's; NULL: own dialect */
	uint16_t egress_port;
	const char *calls[FAKE_MAX_CALLS]; /* SERVICE/path, in order */
	uint32_t call_count;
	uint32_t call_timeout_ms;
	int64_t cold_us;
	uint32_t cold_factor;
};

struct fake_upstream_stats {
	uint64_t received;
	uint64_t runs;
	uint64_t answered;
	uint64_t shed;
	uint64_t cancelled;
	uint64_t failed;	   /* by the failure that was set */
	uint64_t downstream_calls; /* to other services */
	uint64_t downstream_calls_failed;
	uint64_t
	    mismatched_answers; /* from other services, not to the question */
	uint32_t running_max;
};

struct fake_upstream {
	struct fake_server *server;
	struct fake_timers *timers;
	struct fake_fetcher *fetcher;
	struct fake_record *record;
	struct fake_upstream_options options;
	struct fake_upstream_stats stats;
	int64_t started_us;
	bool draining;
	enum fake_failure failure;
	int64_t failures_left; /* below 0: no end */
	enum fake_override health_override;
	int64_t
	    load_override; /* running as told by /load; below 0: the truth */
	struct fake_run *runs; /* by id, running */
	struct fake_run *queue;
	uint32_t running;
	uint32_t queued;
	uint64_t next_id;
};

/* These two are the handler for requests that are not controls. */
void fake_upstream_request(struct fake_upstream *u, struct fake_request *r);
void fake_upstream_disconnected(
    struct fake_upstream *u, struct fake_request *r);
/* Paths /control, /control/..., /health and /load. */
bool fake_upstream_control(struct fake_upstream *u, struct fake_request *r);

#endif
