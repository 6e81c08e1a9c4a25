/*
 * One node of the real core in a made-up fleet. What it sends is counted and
 * answered here, so that only the node's own work is timed: thread processor
 * time of the core's functions with encoding and decoding of messages.
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
	uint32_t wide_hosts; /* hosts of service "wide" in the node's zone,
				besides */
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
	bool withhold_answers; /* FORWARDs are left without an answer */
	uint64_t config_revision;
	uint64_t list_revision;
	uint64_t generation;
	uint64_t next_call;
	uint64_t next_attempt;
	uint64_t last_run;
	uint64_t answers;
	uint64_t runs;
	char **names; /* of connections that the node made, by number / 2 */
	uint32_t name_count;
	uint32_t *pending_conns;
	uint32_t pending_conn_count;
};

struct bench_node *bench_node_new(const struct fleet_shape *shape);
/* Gives the node the whole of the store. */
void bench_node_boot(struct bench_node *b);
/* Texts of sections, under mem. */
char *bench_node_host_text(
    TALLOC_CTX *mem, const struct bench_node *b, uint32_t i, bool leaving);
char *bench_node_service_text(
    TALLOC_CTX *mem, const struct bench_node *b, const char *name);
char *bench_node_accounts_text(TALLOC_CTX *mem, const struct bench_node *b);
void bench_node_host_name(char *out, size_t bytes, uint32_t host);
/* Changes one host (live or leaving), service or the accounts. */
void bench_node_change(struct bench_node *b, const char *kind, uint32_t which);
/* Confirms the view, as a store read without news does. */
void bench_node_confirm_view(struct bench_node *b);
/* Ticks for that long, 10 ms each, and answers what the node sends. */
void bench_node_run(struct bench_node *b, int64_t for_us);
void bench_node_tick(struct bench_node *b);
void bench_node_exchange(struct bench_node *b);
void bench_node_clear_counts(struct bench_node *b);
/* A connection from a host, greeted. */
void bench_node_accept_link(struct bench_node *b, uint32_t conn, uint32_t host);
void bench_node_deliver(
    struct bench_node *b, uint32_t conn, uint32_t xid, const struct ir_msg *m);
void bench_node_call(
    struct bench_node *b, const char *service, uint32_t account);
/* A request of another host's, run and answered at once. */
void bench_node_forward(struct bench_node *b, uint32_t conn, bool run);
/* Processor time of the calling thread, nanoseconds. */
int64_t thread_cpu_ns(void);
/* Bytes that the allocator has given out. */
double allocated_bytes(void);

#endif
