/*
 * A small fleet of real processes on 127.0.0.1: the stand-in platform, nodes
 * and their stand-in upstreams, in two regions of two zones, services s
 * (calls on to t) and t.
 *
 * Every function that fails fails the test. Waits are on conditions, with a
 * bound far above what they take. Children are ended by their process id.
 */
#ifndef TEST_PROCESSES_H
#define TEST_PROCESSES_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "fakes/lib/fetch.h"

/* Of the tests; the soak may have others. */
#define PR_HOSTS 8
#define PR_MEMORY_MB 160 /* of each node */
#define PR_HEADERS 8	 /* of a request, the NULL that ends them too */
#define PR_KEYS 6
#define PR_WAIT_US INT64_C(60000000)

#define PR_ADDRESS "127.0.0.1"
#define PR_ADDRESS_BYTES 16
#define PR_PLATFORM_SLOTS 36

/* What is started. */
struct pr_fleet {
	uint32_t host_count;
	uint32_t memory_mb;	/* limit of each node */
	bool platform_dialect;	/* nodes and stand-ins speak its dialect */
	bool start_nodes_later; /* by pr_node_start */
	bool first_account_unlimited; /* the first account has no rate */
};

struct pr_child {
	char *name;
	pid_t pid; /* 0: none, or ended */
	uint32_t starts;
};

struct pr_host {
	const char *name;
	const char *service;
	const char *region;
	const char *zone;
	struct pr_child upstream;
	struct pr_child node;
	uint16_t upstream_port;
	uint16_t callers_port;
	uint16_t egress_port;
	uint16_t peers_port;
	uint16_t admin_port;
	uint16_t published_peers_port; /* published instead, when not 0 */
	/* Where its node listens for peers, and where they are told it does. */
	char address[PR_ADDRESS_BYTES];
	char published_address[PR_ADDRESS_BYTES];
	int reserved_fd;	/* holds callers_port, or 0 */
	uint16_t platform_port; /* of its settings */
	uint32_t memory_mb;	/* of its settings */
};

struct processes {
	char *programs; /* directory */
	char *dir;	/* settings and outputs */
	bool platform_dialect;
	bool first_account_unlimited;
	struct fake_fetcher *fetcher;
	struct pr_child platform;
	uint16_t platform_port;
	struct pr_host *hosts;
	uint32_t host_count;
	struct pr_host spare; /* one more, not started */
	const char *keys[PR_KEYS];
	bool withdrawn[PR_KEYS];
	uint32_t generation; /* of the accounts */
	uint64_t next_id;
};

struct pr_answer {
	bool whole;
	uint32_t status;
	char outcome[16];
	char error[32];
	char *body; /* of the context p */
};

struct pr_request {
	uint16_t port;
	const char *method; /* GET when NULL */
	const char *path;   /* of requests: as in the own dialect */
	const char *key;    /* none when NULL */
	const char *header; /* one more, or NULL */
	const char *body;
};

/* Starts all. program is the path of the test program. */
struct processes *pr_fleet_start(
    const char *program, const struct pr_fleet *fleet);
void pr_fleet_end(struct processes *p);

/* peers_port is 0 for any. Waits until it listens. */
void pr_node_start(struct processes *p, struct pr_host *h, uint16_t peers_port);
void pr_upstream_start(struct processes *p, struct pr_host *h);
/* Its resident pages without those of files; 0 when it is gone. */
uint64_t pr_private_bytes(pid_t pid);
void pr_signal(const struct pr_child *c, int signal);
/* Whether it has ended; *status is as of waitpid. */
bool pr_reap(struct pr_child *c, int *status);

void pr_publish(
    struct processes *p, const struct pr_host *h, const char *state);
void pr_unpublish(struct processes *p, const struct pr_host *h);
/* Publishes the accounts with the keys that are not withdrawn. */
void pr_publish_accounts(struct processes *p, uint32_t generation);
void pr_withdraw_key(struct processes *p, uint32_t key);
void pr_set_faults(struct processes *p, const char *json);
/* Options of a host's upstream, while it runs. */
void pr_set_upstream(
    struct processes *p, const struct pr_host *h, const char *json);

struct pr_answer pr_fetch(struct processes *p, const struct pr_request *r);
/* The number at a path as "view.config_revision" of a JSON answer. */
int64_t pr_fetch_number(
    struct processes *p, uint16_t port, const char *path, const char *key);
/* How many upstreams were shown the text. */
uint32_t pr_count_seen(struct processes *p, const char *text);
/* How often all upstreams of a service, or of any (NULL), ran an id. */
uint32_t pr_count_runs(
    struct processes *p, const char *id, const char *service);
/* Sends through the fetcher, with an X-Test-Id of the id. */
void pr_send(struct processes *p, const struct pr_request *r, uint64_t id,
    void (*done)(void *, uint64_t, const struct fake_fetch_result *),
    void *ctx);
/* The headers of such a request, "Name: value", NULL-ended, and its target: of
 * mem. */
const char *pr_build_headers(TALLOC_CTX *mem, const struct processes *p,
    const struct pr_request *r, uint64_t id, const char *headers[PR_HEADERS]);
/* A control of a stand-in. */
void pr_post_control(struct processes *p, uint16_t port, const char *method,
    const char *path, const char *body);
char *pr_test_id(TALLOC_CTX *mem, uint64_t id);

/* Until the condition holds; what names it in the failure. */
void pr_wait_until(const char *what, bool (*holds)(void *ctx), void *ctx);
/* Whole and served by an upstream. */
bool pr_is_served(const struct pr_answer *a);
/* Every node is ready and serves both services. */
void pr_wait_serving(struct processes *p);

#endif
