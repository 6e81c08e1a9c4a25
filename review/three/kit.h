/*
 * Stand-ins and helpers for the cases of the third review: the platform's
 * store, instances, nodes as processes of their own, and a plain HTTP client.
 * All addresses are loopback addresses. Failures of the set-up end the case
 * with status 2.
 */
#ifndef REVIEW_THREE_KIT_H
#define REVIEW_THREE_KIT_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define KIT_HELD 0
#define KIT_BROKEN 1
#define KIT_COULD_NOT_RUN 2

#define KIT_MAX_NODES 8
#define KIT_PEERS_PORT 7000
#define KIT_CALLERS_PORT 8548
#define KIT_READY_PORT 8546
#define KIT_METRICS_PORT 9464
#define KIT_INSTANCE_PORT 8547
#define KIT_STORE_PORT 8545

struct kit_node {
	char ip[16];
	const char *service;
	const char *zone;
	const char *region;
	char id[32]; /* of its instance */
	char settings[300];
	/* Where it listens for peers, and its store: behind a proxy if set. */
	char peers_ip[16];
	char store_ip[16];
	pid_t pid;
	pid_t instance; /* 0: none */
	uint64_t sequence;
	int64_t born_ms;
	bool listed;
	bool draining;
	int max_descriptors; /* of the node; 0: as this process */
};

struct kit {
	char root[200]; /* of the repository */
	char dir[200];	/* temporary folder */
	char store_ip[16];
	bool trouble;
	volatile bool silent; /* of proxies */
	struct kit_node *volatile cut_off;
	struct kit_node nodes[KIT_MAX_NODES];
	int node_count;
};

extern struct kit kit;

/* An answer as a client reads it. */
struct kit_answer {
	int status;	/* 0: none, or no answer in the protocol */
	bool complete;	/* as its framing says */
	bool signature; /* an instance's */
	bool closes;	/* Connection: close, or the connection ended */
	char attempt[64];
	char not_run[8]; /* Retry-After is present: "yes" */
	char *head;
	char *body;
	size_t body_bytes;
};

/* Reads TROUBLE, opens record.txt in the case's folder, picks addresses. */
void kit_begin(const char *case_dir);
/* Ends all processes that were started and removes the temporary folder. */
_Noreturn void kit_end(int status);
_Noreturn void kit_fail(const char *what);
/* Writes a line to record.txt, with the time since the beginning. */
void kit_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
int64_t kit_now_ms(void);
void kit_sleep_ms(int ms);

/* The store: a thread of this process. */
void kit_store_start(void);
void kit_store_put(const char *key, const char *value);
void kit_store_delete(const char *key);
/* Heartbeats of listed instances, each 1.5 s, by a thread. */
void kit_heartbeats_start(void);

struct kit_node *kit_add_node(
    const char *service, const char *zone, const char *region);
void kit_node_start(struct kit_node *n);
/* The entry of its instance. */
void kit_list(struct kit_node *n);
void kit_unlist(struct kit_node *n);
bool kit_node_is_ready(const struct kit_node *n);
/* A number in the node's state for operators; -1: none. */
int kit_node_state(const struct kit_node *n, const char *name);
void kit_wait_ready(int seconds);

/* Serves one connection to an instance; runs in a process of the instance. */
typedef void kit_serve_fn(struct kit_node *n, int fd);
/* Starts the instance: a process with a thread for each connection. */
void kit_instance_start(struct kit_node *n, kit_serve_fn *serve);
/* SIGKILL, and the end of its entry is left to the caller. */
void kit_instance_kill(struct kit_node *n);
/* Instances append a line to record.txt with O_APPEND. */
void kit_instance_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Reads a head up to its empty line; false at the end of the connection. */
bool kit_read_head(int fd, char *head, size_t size, size_t *extra);
/* The value of a header, "" if there is none; static buffers, one a thread. */
const char *kit_header(const char *head, const char *name);
bool kit_send_all(int fd, const void *data, size_t size);
bool kit_read_exactly(int fd, void *data, size_t size);

/*
 * A proxy that listens at an address and port and forwards to another address
 * of the same port, for what goes to or from the node owner. While kit.silent
 * is set, it forwards nothing, either way, on connections to or from the node
 * kit.cut_off, and keeps them open.
 */
void kit_proxy_start(
    const char *ip, int port, const char *to, struct kit_node *owner);
/* The address of this process's block with that last number. */
void kit_address(char ip[16], int last);

/* -1 if it cannot connect. */
int kit_connect(const char *ip, int port);
/* Waits ms at most. Frees nothing; call kit_answer_free(). */
struct kit_answer kit_read_answer(int fd, bool head_only, int ms);
void kit_answer_free(struct kit_answer *a);

#endif
