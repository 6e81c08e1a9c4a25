/*
 * Stand-ins for the scripts in review/: the platform's store, instances,
 * clients, and the start and end of nodes. They follow PROTOCOL.md and
 * DEPLOY.md: HTTP/1.1 over TCP, on loopback addresses, on the real clock.
 *
 * Every function that waits is bounded in time. Times are milliseconds since
 * the start of the program. An error of the stand-ins themselves ends the
 * program with exit code 2.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_ITEMS 64
#define MAX_EVENTS 4096
#define MAX_INSTANCES 12
#define MAX_NODES 12
#define HEAD_BYTES 16384

enum {
	EXIT_HELD = 0,
	EXIT_BROKEN = 1,
	EXIT_CANNOT_RUN = 2
};

/* Reads TROUBLE from the environment; opens record.txt in dir. */
void setup(const char *dir);
/* Ends all nodes and this program. */
void finish(int code) __attribute__((noreturn));
/* False when the script runs without its disruption (TROUBLE=0). */
extern bool trouble;
int64_t now_ms(void);
void sleep_until(int64_t ms);
/* A line of record.txt, with the time. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void cannot_run(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* A request or an answer as it was read from a connection. */
struct message {
	char head[HEAD_BYTES]; /* start line and headers */
	char *body;
	size_t body_bytes;
};

/* Copies the value of a header to out; false if there is none. */
bool header_get(
    const struct message *m, const char *name, char *out, size_t size);

/* The store of the platform, form "read". */
enum store_call {
	STORE_KEY,
	STORE_RANGE,
	STORE_WATCH,
	STORE_CALLS
};

struct item {
	char key[201];
	char *value;
	uint64_t revision;
	uint64_t created;
	bool deleted;
};

struct store_event {
	uint64_t revision;
	char key[201];
	char *value; /* NULL: deleted */
	uint64_t created;
};

struct store {
	char address[32];
	uint16_t port;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct item items[MAX_ITEMS];
	int item_count;
	struct store_event events[MAX_EVENTS];
	int event_count;
	uint64_t revision;
	uint64_t forgotten;   /* history up to this revision is gone */
	unsigned watch_epoch; /* raised by store_cut_watches() */
	bool deaf;	      /* watches hear nothing */
	int waiting;	      /* watches that wait now */
	unsigned answered[STORE_CALLS];
	unsigned reads_at[MAX_NODES]; /* calls at each further address */
	bool silent_at[MAX_NODES];    /* calls there get no answer */
	bool closes;		      /* each connection after one answer */
	/* Called with the lock held before a call is answered; may be NULL. */
	void (*before_answer)(struct store *s, enum store_call call);
};

void store_start(struct store *s, const char *address);
/* The same store at a further address: which node calls it can be seen. */
uint16_t store_also_at(struct store *s, const char *address, int number);
/* An acknowledged write or removal; returns its revision. */
uint64_t store_put(struct store *s, const char *key, const char *value);
uint64_t store_remove(struct store *s, const char *key);
/* The same with the lock held. */
uint64_t store_put_locked(struct store *s, const char *key, const char *value);
/* Cuts the watches that are waiting. */
void store_cut_watches(struct store *s);
/*
 * Forgets the history: watches hear nothing for a second, then they are cut,
 * and those after an earlier revision get 410.
 */
void store_compact(struct store *s);

/* An instance. */
struct instance {
	char id[32];
	char service[32];
	char zone[32];
	char address[32];
	uint16_t port;
	int slots;
	struct store *store;
	uint64_t sequence;
	bool registered; /* writes its entry each second */
	char state[16];
	/* How long a request takes; the default is work_ms. */
	int (*work_ms_of)(struct instance *i, const char *path);
	int work_ms;
	size_t answer_bytes; /* size of an answer's body */
	/* Called when a request begins to run; may be NULL. */
	void (*on_run)(struct instance *i, const char *path, const char *id);
};

void instance_start(struct instance *i);
void instance_register(struct instance *i, const char *state);
/* Removes the entry; the instance goes on serving. */
void instance_unregister(struct instance *i);

/* A node: one process of the program that the deploy file names. */
struct node {
	char address[32];
	char service[32];
	char zone[32];
	char region[32];
	uint16_t callers_port;
	uint16_t peers_port;
	uint16_t ready_port;
	char application_address[48];
	char platform_address[48]; /* "": that of the store */
	char settings_file[256];
	char log_file[256];
	pid_t pid;
	bool ended;
	int64_t ended_ms;
	int64_t ready_ms; /* since when it answers 200; 0: it does not */
};

/* Starts the process with the settings of deploy/settings.tmpl. */
void node_start(struct node *n, const struct store *s);
void node_signal(struct node *n, int signal);
bool node_is_ready(struct node *n);
/* Asks each node for its readiness once a second, as the platform does. */
void poll_readiness(struct node *const *nodes, int count);
/* Waits until ms after the next time at which it asks. */
void wait_for_readiness_poll(int64_t ms);
void wait_until_ready(struct node *const *nodes, int count, int64_t limit_ms);

/* A request of a client, on a new connection. */
struct call {
	const char *method;
	const char *host;
	const char *path;
	const char *key;
	int deadline_ms;
	size_t body_bytes;
	int read_delay_ms; /* between two reads of the answer */
	size_t read_bytes; /* at a time; 0: as much as there is */
	/* results */
	char id[24];
	int status; /* 0: no answer */
	bool complete;
	char instance[32];
	size_t got_bytes;
	size_t wanted_bytes;
	int64_t sent_ms;
	int64_t ended_ms;
};

void call_run(const struct node *n, struct call *c);

/* Notes a node's end; false while it runs. */
bool node_has_ended(struct node *n);

/*
 * A small deployment: a store, and nodes with an instance each, with the
 * settings of deploy/settings.tmpl and the bounds of filtra-finder.
 */
struct place {
	const char *service;
	const char *zone;
};

struct deployment {
	struct store store;
	struct instance instance[MAX_NODES];
	struct node node[MAX_NODES];
	struct node *nodes[MAX_NODES];
	int count;
};

/* Sets up the store and the instances; config is the first configuration. */
void deployment_init(struct deployment *d, const struct place *places,
    int count, const char *config);
/* Starts all nodes and waits until they are ready and have polled for 3 s. */
void deployment_start(struct deployment *d);

/* The addresses of this run: 127.A.B.last, the same A and B in one run. */
void address_of(char *out, size_t size, int last);
uint16_t free_port(const char *address);
/* Ports that are the same on all machines. */
void choose_ports(uint16_t *callers, uint16_t *peers, uint16_t *ready);

#endif
