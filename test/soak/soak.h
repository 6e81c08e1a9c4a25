/*
 * State and internal interfaces of the soak test.
 *
 * One thread runs everything but the proxies. A node process is identified by
 * the index of its host and the number of its start, as connections may belong
 * to an earlier process of the same host.
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
/* For this long a request may have been on its way to a node that ends. */
#define SOAK_LOSS_SLACK_US (200 * IR_US_PER_MS)

/* Faults at a host, and the load sent to it. */
struct host_state {
	bool paused;
	bool end_expected; /* its node was killed or terminated */
	bool leaving;
	bool has_large_answers; /* of its upstream */
	uint32_t start_number;	/* of its node */
	/* Of the process terminated last, not killed or paused; 0: none. */
	uint32_t stopping_number;
	uint32_t open;	      /* requests of the load in flight there */
	int64_t next_send_us; /* no request is sent there before */
	uint64_t max_memory_bytes;
	int64_t link_fault_us; /* when its links last had a fault */
	enum proxy_mode peer_link;
	enum proxy_mode store_link;
};

struct sent_request {
	bool charge; /* not idempotent */
	uint8_t key;
	char outcome; /* first letter of Ibisrail-Outcome; '-': no answer */
	uint16_t status;
	uint16_t host;
	uint32_t start_number; /* of the node that it was sent to */
	int64_t sent_us;
};

/* A request whose connection its node closed without an answer. */
struct closed_request {
	uint64_t id;
	uint16_t host;
};

struct slow_clients;

struct soak {
	uint64_t seed;
	uint64_t random;
	struct proxies *proxies;
	uint16_t peers_port; /* of all hosts; 0: each has its own */
	struct host_state *hosts;
	/* Host whose node is never stopped, so that its records last. */
	size_t never_stopped;
	struct slow_clients *slow_clients;
	bool store_down;
	bool store_stale;
	bool often_restored; /* the store, on top of the other faults */
	uint32_t restore_count;
	int64_t recovery_us; /* from the end of all faults until all serve */
	int64_t load_start_us;
	int64_t store_fault_end_us; /* INT64_MAX / 2 during a fault */
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
	uint32_t series_left; /* faults left in a series at series_host */
	size_t series_host;
	int64_t burst_until_us;
	size_t burst_host;
	int64_t memory_check_us; /* time of the next check */
	uint64_t max_memory_bytes;
	size_t max_memory_host;
	struct closed_request closed[SOAK_MAX_CLOSED];
	uint32_t closed_count;
	char failure[SOAK_MAX_FAILURE_BYTES]; /* the first, or "" */
};

/* soak.c */
/* Records a broken guarantee, if it is the first, and ends the run. */
__attribute__((format(printf, 2, 3))) void soak_note_failure(
    struct soak *s, const char *fmt, ...);
/* Returns a random number below n, by the seed. */
uint32_t soak_random_below(struct soak *s, uint32_t n);
/* Starts a node and directs its host's proxy to its new port. */
void soak_start_node(struct soak *s, size_t i);
/* Whether that process of the node runs and is not expected to end. */
bool soak_node_running(const struct soak *s, size_t i, uint32_t start_number);
/*
 * Notes a request closed without an answer, if the node still runs or was told
 * to stop. open_us: the request was sent at least that long before.
 */
void soak_note_closed(struct soak *s, size_t i, uint32_t start_number,
    uint64_t id, int64_t open_us);
/* Return the numbers of a host's proxies. */
uint32_t soak_peers_proxy(size_t i);
uint32_t soak_store_proxy(size_t i);

/* load.c: constant load, and checks of its outcomes. */
void soak_load_init(struct soak *s);
void soak_load_step(struct soak *s);
/* Waits until all requests have ended. */
void soak_load_drain(struct soak *s);
/* Checks that requests ran at most once, and not after an answer not-run. */
void soak_check_run_counts(struct soak *s);
/*
 * Checks that a key withdrawn now is refused everywhere in time: without
 * faults, all nodes take a new configuration.
 */
void soak_check_new_config(struct soak *s);
/* Checks that the requests of soak_note_closed() were not forwarded. */
void soak_check_closed(struct soak *s);

/* fault.c */
void soak_next_fault(struct soak *s);
/* Returns the microseconds until the next fault. */
int64_t soak_next_fault_delay_us(struct soak *s);
/* Ends all faults and starts the nodes that are down. */
void soak_end_faults(struct soak *s);

/* memory.c: checks the nodes' memory, every 100 ms. */
void soak_check_memory(struct soak *s);

#endif
