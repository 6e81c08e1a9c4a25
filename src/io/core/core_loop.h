/*
 * The core's thread: owns the node, feeds it from the rings with the time at
 * which each message is taken, ticks it, and passes its actions on.
 *
 * Full rings outwards are backed by bounded lists. Beyond the bound a run is
 * ended as not connected and a peer connection is closed, so that no outcome
 * is claimed that is not so. Answers are bounded by the node's calls.
 */
#ifndef IR_IO_CORE_LOOP_H
#define IR_IO_CORE_LOOP_H

#include "conf/settings.h"
#include "ibisrail/dialect.h"
#include "io/message.h"

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
	struct ir_wake *wake;
	struct ir_channel *channels[IR_THREAD_COUNT];
	struct ir_counters counters; /* of this thread, beside the node's */
	struct ir_log *log;
	struct ir_memory *memory;
	const struct ir_settings *settings;
	const struct ir_dialect *dialect;
	uint64_t incarnation;
	uint64_t seed;
};

/* Runs until IR_TO_CORE_END. The thread's start routine: ctx is the struct. */
void *ir_core_loop_run(void *ctx);

#endif
