/*
 * Stand-ins for the scripts of review/6 to review/10: the platform's store,
 * instances, clients, and the processes of the project. They follow the pages
 * of the platform. All addresses are loopback addresses.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HEARTBEAT_MS 1500
#define MAX_HEAD 32768

/* Milliseconds since the harness was set up. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
void sleep_until(int64_t at_ms);

/*
 * Opens record.txt in the present folder, makes a temporary folder and draws
 * ports; false: the case cannot run. trouble() is false with TROUBLE=0.
 */
bool harness_init(void);
bool trouble(void);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes and exits: 0 held, 1 broken, 2 did not run. */
void harness_exit(int code) __attribute__((noreturn));

/* Addresses: machine i has 127.77.X.i, with X drawn at the start. */
const char *machine_ip(int machine);
extern int port_callers, port_peers, port_admin, port_metrics, port_app,
    port_store;

/* The platform's store. */
void store_start(void);
uint64_t store_put(const char *key, const char *value);
void store_delete(const char *key);

/* A parsed HTTP message. */
struct message {
	char line[8300]; /* request or status line */
	char head[MAX_HEAD];
	int status;
	char method[16];
	char target[8200];
	char *body; /* malloc */
	size_t body_bytes;
	bool complete;
	bool no_length; /* ended with the connection */
};
/* Reads one message. False: the connection ended first. */
bool message_read(int fd, bool request, struct message *m);
void message_free(struct message *m);
/* Copies the value of a header; false: absent. */
bool message_header(const struct message *m, const char *name, char *to,
    size_t size);
bool write_all(int fd, const void *data, size_t size);
int tcp_connect(const char *from_ip, const char *ip, int port, int timeout_ms);

/* An instance. All fields but the first ones are the harness's. */
struct instance;
/*
 * Runs a request that the instance accepted; returns the status. A work of
 * NULL answers 200 at once.
 */
typedef int (*work_fn)(struct instance *i, const struct message *m, int fd);
struct instance {
	int machine;
	const char *service;
	const char *zone;
	char id[32];
	int slots;
	size_t answer_bytes;
	work_fn work;
	const char *state; /* "ready" */
	bool registers;    /* writes to the store */
	volatile bool dark; /* reads and answers nothing */
	volatile bool ended;
	int port;
	int listen_fd;
	int64_t born_ms;
	uint64_t sequence;
	int running;
	int fds[4096];
	pthread_mutex_t lock;
};
struct instance *instance_start(int machine, const char *service,
    const char *zone, const char *id, int slots, work_fn work);
/* Writes its entry now; returns after the ack. */
void instance_write_entry(struct instance *i);
/* The process ends: connections are reset, nothing is written any more. */
void instance_crash(struct instance *i);
/* Falls silent: connections stay, nothing is read, written or registered. */
void instance_go_dark(struct instance *i);
/* The address is free again; connections that exist stay silent. */
void instance_release_address(struct instance *i);
/* Removes the entry in the store. */
void instance_remove_entry(struct instance *i);

/* What an instance ran. */
struct run {
	int64_t at_ms;
	char attempt[64], service[32], instance[32], caller[32], tenant[32];
	char method[16], target[256];
	char expected[32];
};
extern struct run runs[200000];
extern int run_count;
extern pthread_mutex_t runs_lock;

/* A process of the project. */
struct node {
	int machine;
	char settings[256], log[256];
	pid_t pid;
};
/* Writes the settings as the deploy file's template makes them. */
void node_start(struct node *n, int machine, const char *service,
    const char *zone, const char *region, int memory_mb);
void node_signal(struct node *n, int sig);
/* Waits until /api/readiness is 200. */
bool node_wait_ready(struct node *n, int timeout_ms);
bool node_is_running(struct node *n);
/* Resident memory; -1: not running. */
long node_rss_kb(struct node *n);

/* The answer to one request of a client on a machine. */
struct answer {
	int status; /* 0: none */
	bool complete;
	bool has_signature;
	bool connected;
	size_t body_bytes;
	int64_t sent_ms, done_ms;
	char attempt[64];
	char signature[96];
};
void new_attempt_id(char *to);
/* Sends one request on a new connection. headers: further lines with CRLF. */
void client_request(int machine, const char *method, const char *host,
    const char *path, const char *headers, const char *body, size_t body_bytes,
    int deadline_ms, struct answer *a);
#endif
