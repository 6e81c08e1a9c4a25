/*
 * Private to the soak: its state, and what its parts ask of each other.
 *
 * One thread runs all of it but the proxies. A node is named by its index
 * among the hosts and by the number of its start, as it starts again under
 * connections that belong to an earlier process.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "core/random.h"
#include "ibisrail/limits.h"
#include "io/clock.h"
#include "soak/proxy.h"
#include "support/process_load.h"

#define SOAK_STEP_MS 5
#define SOAK_MAX_REQUESTS 1000000
#define SOAK_MAX_CLOSED 4096
#define SOAK_MAX_FAILURE_BYTES 512

/* What is wrong with a host just now. */
struct host_state {
	bool paused;
	bool end_expected; /* killed or told to stop */
	bool leaving;
	bool has_large_answers; /* of its upstream */
	uint32_t start_number;	/* of its node */
	uint32_t open;		/* requests sent there, of the load */
	int64_t next_send_us;	/* none is sent there before */
	uint64_t max_memory_bytes;
	int64_t
	    link_fault_us; /* when a link of it was last not as it should be */
	enum proxy_mode peer_link;
	enum proxy_mode store_link;
};

struct sent_request {
	bool charge; /* not idempotent */
	uint8_t key;
	char outcome; /* as in load: n, r, u, or - */
	uint16_t status;
	uint16_t host;
	uint32_t start_number; /* of its node, when it was sent */
	int64_t sent_us;
};

/* A request whose connection a living node closed without an answer. */
struct closed_request {
	uint64_t id;
	uint16_t host;
};

struct slow_clients;

struct soak {
	uint64_t seed;
	uint64_t random;
	struct proxies *proxies;
	uint16_t peers_port; /* of all hosts, in the platform's dialect */
	struct host_state *hosts;
	size_t never_stopped; /* host whose node never ends, to keep what it
				 keeps */
	struct slow_clients *slow_clients;
	bool store_down;
	bool store_stale;
	int64_t store_fault_end_us; /* until when it was last down or stale */
	int64_t withdrawn_us[PR_KEYS];
	struct sent_request *sent;
	uint64_t first_id;
	uint32_t sent_count;
	uint32_t ended_count;
	uint32_t ok;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t unanswered;
	uint32_t fault_count;
	uint32_t series_left; /* faults of a series, at one host */
	size_t series_host;
	int64_t burst_until_us;
	size_t burst_host;
	int64_t memory_check_us; /* of the next look */
	uint64_t max_memory_bytes;
	size_t max_memory_host;
	struct closed_request closed[SOAK_MAX_CLOSED];
	uint32_t closed_count;
	char failure[SOAK_MAX_FAILURE_BYTES]; /* the first promise that was */
};

/* soak.c */
__attribute__((format(printf, 2, 3))) void soak_note_failure(
    struct soak *s, const char *fmt, ...);
uint32_t soak_random_below(struct soak *s, uint32_t n);
/* The port behind the proxy is another after a start. */
void soak_start_node(struct soak *s, size_t i);
/* Whether that start of the node runs, and nothing told it to end. */
bool soak_node_running(const struct soak *s, size_t i, uint32_t start_number);
/* Notes a request without an answer if its node lives. */
void soak_note_closed(
    struct soak *s, size_t i, uint32_t start_number, uint64_t id);
uint32_t soak_peers_proxy(size_t i);
uint32_t soak_store_proxy(size_t i);

/* load.c: requests that are kept coming, and what became of them. */
void soak_load_init(struct soak *s);
void soak_load_step(struct soak *s);
/* Until all sent requests ended. */
void soak_load_drain(struct soak *s);
void soak_check_run_counts(struct soak *s);
void soak_check_closed(struct soak *s);

/* fault.c */
void soak_next_fault(struct soak *s);
/* Microseconds from a fault to the next one. */
int64_t soak_next_fault_delay_us(struct soak *s);
/* All faults end; nodes that are down are started. */
void soak_end_faults(struct soak *s);

/* memory.c: looks at the nodes' own pages, when it is time. */
void soak_check_memory(struct soak *s);

#endif
