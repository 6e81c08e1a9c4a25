/* Private to the core's thread: its state, and the node's actions. */
#ifndef IR_IO_CORE_OUT_H
#define IR_IO_CORE_OUT_H

#include "core/table.h"
#include "io/core/core_loop.h"

/* A peer connection whose close was ordered because of a full ring. */
struct closing_conn {
	uint32_t conn;
	UT_hash_handle hh;
};

/* An event that the loop itself owes the node. */
struct deferred_event {
	struct ir_to_core *message;
	struct deferred_event *prev;
	struct deferred_event *next;
};

struct core {
	struct ir_core_loop *loop;
	struct ir_node *node;
	struct ir_outbox outboxes[IR_THREAD_COUNT];
	struct closing_conn *closing_conns;
	struct deferred_event *deferred_events;
	int64_t next_tick_us;
	int64_t next_memory_measure_us; /* of the process's memory */
	int64_t drain_deadline_us;	/* 0: not stopping */
	int64_t leave_deadline_us;	/* callers may still come until then */
	uint32_t not_ready_answers; /* questions for readiness since the stop */
	int64_t idle_since_us;	    /* stopping: held nothing since then; 0 */
	bool store_wanted;
	uint64_t config_revision;
	uint64_t list_revision;
	bool stop_sent; /* the other threads were told */
	bool ended;
};

/* What the node does: orders to the other threads. Their ctx is the core. */
extern const struct ir_node_ops ir_core_ops;

/* The connection is closed: its number may come again. */
void ir_core_conn_closed(struct core *c, uint32_t conn);

#endif
