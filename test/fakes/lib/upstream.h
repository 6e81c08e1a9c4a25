/*
 * Stand-in upstream. A request waits in the queue for a free slot, occupies it
 * for the service time, then calls other services one after the other through
 * the node's egress port, and is answered. All state is guarded by the server's
 * lock.
 */
#ifndef FAKE_UPSTREAM_H
#define FAKE_UPSTREAM_H

#include <pthread.h>

#include "fakes/lib/fetch.h"
#include "fakes/lib/record.h"
#include "fakes/lib/server.h"
#include "fakes/lib/timers.h"

#define FAKE_MAX_CALLS 8

/* How answers fail, as set by a control. */
enum fake_failure {
	FAKE_FAIL_NONE,
	FAKE_FAIL_RESET,
	FAKE_FAIL_TRUNCATE
};

/* Health that is reported in place of the real one. */
enum fake_override {
	FAKE_OVERRIDE_NONE,
	FAKE_OVERRIDE_UP,
	FAKE_OVERRIDE_DOWN
};

struct fake_upstream_options {
	uint32_t slots;
	uint32_t queue; /* most requests that wait for a slot */
	int64_t service_us;
	int64_t jitter_us; /* 0 to this is added, by a hash of the run's id */
	size_t answer_bytes;
	const char *instance_id; /* NULL: not the platform's dialect */
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
	uint64_t failed;	   /* by the failure set by a control */
	uint64_t downstream_calls; /* made to other services */
	uint64_t downstream_calls_failed;
	uint64_t mismatched_answers; /* of calls, to other requests */
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
	int64_t failures_left; /* below 0: without limit */
	enum fake_override health_override;
	int64_t load_override; /* reported by /load; below 0: the real number */
	struct fake_run *runs; /* by id, running */
	struct fake_run *queue;
	uint32_t running;
	uint32_t queued;
	uint64_t next_id;
};

/* Handle requests that are not controls, and their disconnects. */
void fake_upstream_request(struct fake_upstream *u, struct fake_request *r);
void fake_upstream_disconnected(
    struct fake_upstream *u, struct fake_request *r);
/*
 * Answers /control, /control/..., /health and /load. Returns false for other
 * paths, without answering.
 */
bool fake_upstream_control(struct fake_upstream *u, struct fake_request *r);

#endif
