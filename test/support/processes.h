/*
 * A small fleet of real processes on 127.0.0.1: a fake platform, nodes and a
 * fake upstream for each node, in two regions of two zones. There are two
 * services, s and t; upstreams of s call t.
 *
 * A function that fails ends the test as failed. Waits poll a condition, with
 * a time limit far above the usual time. Children are ended by process id.
 */
#ifndef TEST_PROCESSES_H
#define TEST_PROCESSES_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "fakes/lib/fetch.h"

/* Used by the tests; the soak test has values of its own. */
#define PR_HOSTS 8
#define PR_MEMORY_MB 160 /* of each node */
#define PR_HEADERS 8	 /* of a request, with the NULL at the end */
#define PR_KEYS 6
#define PR_WAIT_US INT64_C(60000000)

#define PR_ADDRESS "127.0.0.1"
#define PR_ADDRESS_BYTES 16
#define PR_PLATFORM_SLOTS 36

/* What pr_fleet_start() starts. */
struct pr_fleet {
	uint32_t host_count;
	uint32_t memory_mb;	/* limit of each node */
	bool platform_dialect;	/* dialect of our users' platform, else ours */
	bool start_nodes_later; /* by the caller, with pr_node_start() */
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
	uint16_t published_peers_port; /* 0: peers_port */
	/* Addresses for peers: where the node listens, what is published. */
	char address[PR_ADDRESS_BYTES];
	char published_address[PR_ADDRESS_BYTES];
	int reserved_fd;	/* reserves callers_port; 0: none */
	uint16_t platform_port; /* in its settings */
	uint32_t memory_mb;	/* in its settings */
};

struct processes {
	char *programs; /* directory of the build */
	char *dir;	/* of settings files and outputs */
	bool platform_dialect;
	bool first_account_unlimited;
	struct fake_fetcher *fetcher;
	struct pr_child platform;
	uint16_t platform_port;
	struct pr_host *hosts;
	uint32_t host_count;
	struct pr_host spare; /* for one more host, not started */
	const char *keys[PR_KEYS];
	bool withdrawn[PR_KEYS];
	uint32_t generation; /* of the accounts, last published */
	uint64_t next_id;
};

struct pr_answer {
	bool complete;
	uint32_t status;
	char outcome[16];
	char error[32];
	char *body; /* allocated under the struct processes */
};

struct pr_request {
	uint16_t port;
	const char *method; /* GET when NULL */
	const char *path;   /* of callers' requests: as in our dialect */
	const char *key;    /* NULL: none */
	const char *header; /* one more "Name: value", or NULL */
	const char *body;
};

/*
 * Starts the fakes and nodes and publishes all; nodes may not be ready yet.
 * program is the path of the test program.
 */
struct processes *pr_fleet_start(
    const char *program, const struct pr_fleet *fleet);
void pr_fleet_end(struct processes *p);

/*
 * Starts the node and waits until it listens. peers_port is its port for peers;
 * 0: any. Sets the ports of h and the egress port of its upstream.
 */
void pr_node_start(struct processes *p, struct pr_host *h, uint16_t peers_port);
void pr_upstream_start(struct processes *p, struct pr_host *h);
/* Returns its resident memory without file pages; 0 if it has ended. */
uint64_t pr_private_bytes(pid_t pid);
/* Bytes that wait in the kernel for this node to read, at its listed ports. */
uint64_t pr_unread_bytes(const struct pr_host *h);
void pr_signal(const struct pr_child *c, int signal);
/* Returns whether the child has ended; *status is as of waitpid(2). */
bool pr_reap(struct pr_child *c, int *status);

void pr_publish(
    struct processes *p, const struct pr_host *h, const char *state);
/* Takes the host off the list. */
void pr_unpublish(struct processes *p, const struct pr_host *h);
/* Publishes the accounts, without the withdrawn keys. */
void pr_publish_accounts(struct processes *p, uint32_t generation);
void pr_withdraw_key(struct processes *p, uint32_t key);
/* Sets faults of the fake platform. */
void pr_set_faults(struct processes *p, const char *json);
/* Changes options of the host's running upstream. */
void pr_set_upstream(
    struct processes *p, const struct pr_host *h, const char *json);

/* Sends a request and waits for its answer. */
struct pr_answer pr_fetch(struct processes *p, const struct pr_request *r);
/*
 * Returns the number at a dotted key, such as "view.config_revision", of a JSON
 * answer; -1 if the answer is incomplete or its status is not 200.
 */
int64_t pr_fetch_number(
    struct processes *p, uint16_t port, const char *path, const char *key);
/* Returns how many upstreams received the text in a request. */
uint32_t pr_count_seen(struct processes *p, const char *text);
/* Returns how often upstreams of the service (NULL: of all) ran the id. */
uint32_t pr_count_runs(
    struct processes *p, const char *id, const char *service);
/* Sends a request with the id as X-Test-Id; done() is called at its end. */
void pr_send(struct processes *p, const struct pr_request *r, uint64_t id,
    void (*done)(void *, uint64_t, const struct fake_fetch_result *),
    void *ctx);
/*
 * Returns the target of such a request and sets its headers, "Name: value" and
 * a NULL at the end. They are allocated under mem.
 */
const char *pr_build_headers(TALLOC_CTX *mem, const struct processes *p,
    const struct pr_request *r, uint64_t id, const char *headers[PR_HEADERS]);
/* Sends a control request to a fake; fails unless its status is 200. */
void pr_send_control(struct processes *p, uint16_t port, const char *method,
    const char *path, const char *body);
/* Returns the X-Test-Id of an id. */
char *pr_test_id(TALLOC_CTX *mem, uint64_t id);

/* Waits until holds() returns true. what names it if it does not in time. */
void pr_wait_until(const char *what, bool (*holds)(void *ctx), void *ctx);
/* Returns whether the answer is complete and an upstream served it. */
bool pr_is_served(const struct pr_answer *a);
/* Returns whether all nodes are ready, up to date and serve both services. */
bool pr_all_serving(struct processes *p);
/* Waits until all nodes are ready, up to date and serve both services. */
void pr_wait_serving(struct processes *p);

#endif
