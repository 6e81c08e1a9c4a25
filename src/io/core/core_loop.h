/*
 * The core's thread: owns the node. Takes messages of the other threads from
 * their rings and gives them to the node with the time at which it took them,
 * calls the node's tick, and sends the node's actions to the other threads.
 *
 * Messages that a full ring does not take wait in an outbox. When too many
 * wait, a new run ends without room, and the node keeps or refuses what was
 * to be sent to peers. Answers to callers need no such limit: the number of
 * calls that the node holds bounds them.
 */
#ifndef IR_IO_CORE_LOOP_H
#define IR_IO_CORE_LOOP_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"
#include "io/message.h"

/* The other threads, as index of their channels. */
enum ir_thread {
	IR_THREAD_CALLERS,
	IR_THREAD_UPSTREAM,
	IR_THREAD_PEERS,
	IR_THREAD_PLATFORM,
	IR_THREAD_ADMIN,
	IR_THREAD_MAIN,
	IR_THREAD_COUNT
};

struct ir_core_loop {
	struct ir_wakeup *wakeup;
	struct ir_channel *channels[IR_THREAD_COUNT];
	struct ir_counters counters; /* of this thread; the node has its own */
	struct ir_log *log;
	struct ir_memory *memory;
	const struct ir_settings *settings;
	const struct ir_dialect *dialect;
	uint64_t incarnation;
	uint64_t seed;
};

/*
 * The thread's start routine; ctx is the struct ir_core_loop. Returns NULL
 * after IR_TO_CORE_EXIT.
 */
void *ir_core_loop_run(void *ctx);

#endif
