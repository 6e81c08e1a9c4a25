/* Private to the core's thread: its state, and the node's actions. */
#ifndef IR_IO_CORE_OUT_H
#define IR_IO_CORE_OUT_H

#include "core/table.h"
#include "io/core/core_loop.h"

/* A peer connection whose close was ordered because of a full ring. */
struct doomed {
	uint32_t conn;
	UT_hash_handle hh;
};

/* An event that the loop itself owes the node. */
struct owed {
	struct ir_to_core *message;
	struct owed *prev;
	struct owed *next;
};

struct core {
	struct ir_core_loop *loop;
	struct ir_node *node;
	struct ir_outbox out[IR_DUTY_COUNT];
	struct doomed *doomed;
	struct owed *owed;
	int64_t next_tick_us;
	int64_t next_measure_us; /* of the process's memory */
	int64_t drain_end_us;	 /* 0: not stopping */
	int64_t leave_end_us;	 /* callers may still come until then */
	uint32_t told_leaving;	 /* questions for readiness since the stop */
	int64_t idle_us;	 /* stopping: held nothing since then; 0 */
	bool store_wanted;
	uint64_t config_revision;
	uint64_t list_revision;
	bool stopped; /* the other threads were told */
	bool ended;
};

/* What the node does: orders to the other threads. Their ctx is the core. */
extern const struct ir_node_ops ir_core_ops;

/* The connection is closed: its number may come again. */
void ir_core_undoom(struct core *c, uint32_t conn);

#endif
