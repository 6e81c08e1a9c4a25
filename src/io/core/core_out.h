/* Private to the core's thread: its state, and the node's callbacks. */
#ifndef IR_IO_CORE_OUT_H
#define IR_IO_CORE_OUT_H

#include "core/table.h"
#include "io/core/core_loop.h"
#include "io/core/drain.h"

/*
 * A peer connection for which PEER_CLOSE was sent because a message to it could
 * not be encoded. Nothing more is sent to it.
 */
struct closing_conn {
	uint32_t conn;
	UT_hash_handle hh;
};

/*
 * An event for the node, caused by one of its callbacks. Handled after the
 * function of the node that called back has returned.
 */
struct deferred_event {
	struct ir_to_core *message;
	struct deferred_event *prev;
	struct deferred_event *next;
};

struct core {
	struct ir_core_loop *loop;
	struct ir_node *node;
	struct ir_outbox outboxes[IR_THREAD_COUNT];
	struct closing_conn *closing_conns; /* hashed by conn */
	/* The last message to the peers' thread had no room. */
	bool peers_full;
	struct deferred_event *deferred_events;
	int64_t next_tick_us;
	int64_t next_memory_measure_us;
	struct ir_drain drain;
	/* As sent last with IR_FROM_CORE_STORE_POLLING. */
	bool store_wanted;
	uint64_t config_revision;
	uint64_t list_revision;
	uint64_t last_call; /* the last call that the node got */
	bool stop_sent;	    /* to the other threads */
	bool ended;	    /* IR_TO_CORE_EXIT was received */
};

/*
 * The node's callbacks: each sends a message to the thread concerned. ctx is
 * the struct core.
 */
extern const struct ir_node_ops ir_core_ops;

/* The connection was closed; its number may be used for another one. */
void ir_core_conn_closed(struct core *c, uint32_t conn);

#endif
