/*
 * What passes between the core's thread and the others: one typed message for
 * each direction. A message is a talloc context without a parent that owns
 * all it points to; whoever takes it from a ring frees it.
 */
#ifndef IR_IO_MESSAGE_H
#define IR_IO_MESSAGE_H

#include "ibisrail/counter.h"
#include "ibisrail/memory.h"
#include "ibisrail/node.h"
#include "io/ring.h"
#include "link/peer.h"
#include "log/log.h"

enum ir_to_core_kind {
	IR_TO_CORE_CALL,
	IR_TO_CORE_CALL_GONE,
	IR_TO_CORE_RAN,
	IR_TO_CORE_CONNECTED,
	IR_TO_CORE_CLOSED,
	IR_TO_CORE_MESSAGE,
	IR_TO_CORE_STORE_READ,
	IR_TO_CORE_STORE_FAILED,
	IR_TO_CORE_ASK,	     /* answered by IR_FROM_CORE_REPORT */
	IR_TO_CORE_SETTINGS, /* newer ones, valid until the process ends */
	IR_TO_CORE_STOP,
	IR_TO_CORE_END
};

enum ir_report_kind {
	IR_REPORT_STATE,
	IR_REPORT_COUNTERS,
	IR_REPORT_READY
};

struct ir_settings;

/* Where the bytes of a message on its way are counted; NULL: not at all. */
struct ir_way {
	struct ir_memory *memory;
	size_t bytes;
};

struct ir_to_core {
	enum ir_to_core_kind kind;
	struct ir_way way;
	uint64_t id; /* CALL_GONE: the call; RAN: the run; ASK: the question */
	uint32_t conn;
	uint32_t xid;
	int64_t asked_us; /* STORE_FAILED */
	enum ir_report_kind report;
	union {
		struct ir_call call;
		struct ir_run_result result;
		struct ir_msg msg; /* freed by the message's destructor */
		struct ir_store_read store;
		const struct ir_settings *settings;
	} u;
};

enum ir_from_core_kind {
	IR_FROM_CORE_ANSWER,
	IR_FROM_CORE_RUN,
	IR_FROM_CORE_CANCEL_RUN,
	IR_FROM_CORE_CONNECT,
	IR_FROM_CORE_CLOSE,
	IR_FROM_CORE_SEND,
	IR_FROM_CORE_STORE,
	IR_FROM_CORE_REPORT,
	IR_FROM_CORE_SETTINGS,
	IR_FROM_CORE_LEAVING, /* callers' answers end their connections */
	IR_FROM_CORE_STOP     /* the node is idle: flush and end the thread */
};

struct ir_from_core {
	enum ir_from_core_kind kind;
	struct ir_way way;
	uint64_t id;   /* ANSWER: the call; CANCEL_RUN: the run; REPORT */
	uint32_t conn; /* CONNECT, CLOSE, SEND */
	union {
		struct ir_answer answer;
		struct ir_run run;
		const struct ir_settings *settings;
		struct {
			const char *address;
			uint16_t port;
		} connect;
		struct {
			uint8_t *data;
			size_t size_bytes;
		} send;
		struct {
			bool wanted;
			uint64_t config_revision;
			uint64_t list_revision;
		} store;
		struct {
			bool ready;
			struct json_object *json; /* STATE */
			/* COUNTERS: all threads' */
			struct ir_counters counters;
			struct ir_histograms histograms;
			struct ir_node_gauges gauges;
			struct ir_memory memory;
		} report;
	} u;
};

/* The two rings between the core and one other thread, and its own things. */
struct ir_channel {
	struct ir_ring *to_core;
	struct ir_ring *from_core;
	struct ir_wake *wake;	     /* of the other thread */
	struct ir_counters counters; /* written by the other thread */
	struct ir_log *log;
};

/* NULL when the system lacks resources. */
struct ir_channel *ir_channel_new(
    TALLOC_CTX *mem, struct ir_wake *core, struct ir_log *log, uint32_t slots);

struct ir_to_core *ir_to_core_new(enum ir_to_core_kind kind);
struct ir_from_core *ir_from_core_new(enum ir_from_core_kind kind);

/*
 * Counts a message with so many bytes of content as IR_MEMORY_RINGS until it
 * is freed. To be called before it is handed over.
 */
void ir_way_begin(struct ir_way *w, struct ir_memory *memory, size_t content);
/* For a taker that keeps the message: it is on its way no longer. */
void ir_way_end(struct ir_way *w);
/* Whether a message with so much content stays within the bound. */
bool ir_way_has_room(const struct ir_memory *memory, size_t content);

/* p itself; out of memory ends the process. */
void *ir_must(void *p);
/* Deep copies under mem; out of memory ends the process. */
struct ir_header *ir_headers_copy(
    TALLOC_CTX *mem, const struct ir_header *headers, size_t count);
uint8_t *ir_bytes_copy(TALLOC_CTX *mem, const uint8_t *data, size_t size_bytes);
/*
 * Room for wanted_bytes at *data, by doubling; false without memory, then
 * *data stays.
 */
bool ir_bytes_grow(TALLOC_CTX *mem, uint8_t **data, size_t wanted_bytes);
char *ir_text_copy(TALLOC_CTX *mem, const char *text);

#endif
