/*
 * One node of the real core in a simulated fleet. The messages that it sends
 * are counted and answered here, so that only the node's own work is timed:
 * cpu_ns is processor time of this thread in the core's functions and in
 * encoding and decoding the node's messages.
 */
#ifndef BENCH_NODE_H
#define BENCH_NODE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "host/section.h"
#include "ibisrail/node.h"
#include "link/peer.h"

#define MESSAGE_KINDS 17
#define BENCH_NODE_ZONES 7

struct fleet_shape {
	uint32_t hosts;
	uint32_t services;
	uint32_t accounts;
	uint32_t routes;
	uint32_t zones;
	uint32_t wide_hosts; /* also, of service "wide", in zone 0 */
};

struct sent_message {
	uint32_t conn;
	uint32_t xid;
	enum ir_msg_kind kind;
	uint8_t *data;
	size_t size_bytes;
	struct sent_message *next;
};

struct bench_node {
	struct fleet_shape shape;
	struct ir_node *node;
	int64_t now_us;
	int64_t cpu_ns;
	uint64_t messages[MESSAGE_KINDS];
	uint64_t bytes[MESSAGE_KINDS];
	struct sent_message *outbox;
	bool withhold_answers; /* FORWARDs get no answer */
	uint64_t config_revision;
	uint64_t list_revision;
	uint64_t generation;
	uint64_t next_call;
	uint64_t next_attempt;
	uint64_t last_run;
	uint64_t answers;
	uint64_t runs;
	char **names; /* by number / 2 of connections that the node made */
	uint32_t name_count;
	uint32_t *pending_conns;
	uint32_t pending_conn_count;
};

struct bench_node *bench_node_new(const struct fleet_shape *shape);
/* Delivers all sections of the store, then runs 2 s. */
void bench_node_boot(struct bench_node *b);
/* Section texts, allocated under mem. */
char *bench_node_host_text(
    TALLOC_CTX *mem, const struct bench_node *b, uint32_t i, bool leaving);
char *bench_node_service_text(
    TALLOC_CTX *mem, const struct bench_node *b, const char *name);
char *bench_node_accounts_text(TALLOC_CTX *mem, const struct bench_node *b);
void bench_node_host_name(char *out, size_t bytes, uint32_t host);
/*
 * Delivers one change: kind is "host" (its state changes between live and
 * leaving), "service" or "accounts"; which is the number of the host or
 * service.
 */
void bench_node_change(struct bench_node *b, const char *kind, uint32_t which);
/* Confirms the view by store reads that find nothing changed. */
void bench_node_confirm_view(struct bench_node *b);
/* Runs for that long in ticks of 10 ms, answering the node's messages. */
void bench_node_run(struct bench_node *b, int64_t for_us);
void bench_node_tick(struct bench_node *b);
/* Completes connections and answers messages until none is left. */
void bench_node_exchange(struct bench_node *b);
/* Zeroes messages, bytes and cpu_ns. */
void bench_node_clear_counts(struct bench_node *b);
/* Opens a connection from a host by its HELLO. */
void bench_node_accept_link(struct bench_node *b, uint32_t conn, uint32_t host);
/* Encodes, counts and delivers a message to the node. */
void bench_node_deliver(
    struct bench_node *b, uint32_t conn, uint32_t xid, const struct ir_msg *m);
/* A caller's request; UINT32_MAX for account: the open route, without a key. */
void bench_node_call(
    struct bench_node *b, const char *service, uint32_t account);
/* A FORWARD of another host; run: its upstream answers at once. */
void bench_node_forward(struct bench_node *b, uint32_t conn, bool run);
/* Returns the processor time of the calling thread in nanoseconds. */
int64_t thread_cpu_ns(void);
/* Returns the bytes in use by the allocator. */
double allocated_bytes(void);

#endif
