/*
 * Messages between the core's thread and the other threads: one tagged union
 * for each direction. A message is a talloc context without a parent and owns
 * all that it points to; the thread that pops it from a ring frees it.
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
	IR_TO_CORE_CALL_ABANDONED,   /* its caller closed the connection */
	IR_TO_CORE_RUN_ENDED,	     /* the upstream answered or failed */
	IR_TO_CORE_UPSTREAM_CHECKED, /* a status check ended */
	IR_TO_CORE_PEER_CONNECTED,
	IR_TO_CORE_PEER_CLOSED,
	IR_TO_CORE_PEER_MESSAGE,
	IR_TO_CORE_PEER_PROGRESS, /* bytes of a large message moved */
	IR_TO_CORE_STORE_READ,
	IR_TO_CORE_STORE_FAILED,
	IR_TO_CORE_REPORT_REQUEST, /* answered by IR_FROM_CORE_REPORT */
	IR_TO_CORE_SETTINGS, /* replaces them; valid until the process ends */
	IR_TO_CORE_DRAIN,    /* leave the fleet and finish work in progress */
	IR_TO_CORE_EXIT	     /* end the core's thread */
};

enum ir_report_kind {
	IR_REPORT_STATE,
	IR_REPORT_COUNTERS,
	IR_REPORT_READY
};

struct ir_settings;

/* Memory charged for a message in a ring; memory NULL: none. */
struct ir_message_charge {
	struct ir_memory *memory;
	size_t bytes;
};

struct ir_to_core {
	enum ir_to_core_kind kind;
	struct ir_message_charge charge;
	/* CALL_ABANDONED: of the call; RUN_ENDED: of the run; REPORT_REQUEST */
	uint64_t id;
	const char *reason;	    /* CALL_ABANDONED: a string constant */
	uint32_t conn;		    /* PEER_* */
	uint32_t xid;		    /* PEER_MESSAGE: transaction id */
	int64_t request_sent_us;    /* STORE_FAILED: when the read was begun */
	int64_t since_us;	    /* DRAIN: when the signal may have come */
	enum ir_report_kind report; /* REPORT_REQUEST */
	union {
		struct ir_call call;	      /* CALL */
		struct ir_run_result result;  /* RUN_ENDED */
		struct ir_check_result check; /* UPSTREAM_CHECKED */
		struct ir_msg msg; /* PEER_MESSAGE; freed by the destructor */
		struct ir_store_read store;	    /* STORE_READ */
		const struct ir_settings *settings; /* SETTINGS */
	} u;
};

enum ir_from_core_kind {
	IR_FROM_CORE_ANSWER,
	IR_FROM_CORE_RUN,
	IR_FROM_CORE_CANCEL_RUN,
	IR_FROM_CORE_CHECK_UPSTREAM, /* send a status check */
	IR_FROM_CORE_PEER_CONNECT,
	IR_FROM_CORE_PEER_CLOSE,
	IR_FROM_CORE_PEER_SEND,
	IR_FROM_CORE_STORE_POLLING, /* whether to poll, after which revisions */
	IR_FROM_CORE_REPORT,
	IR_FROM_CORE_SETTINGS,
	IR_FROM_CORE_LEAVING, /* callers: close connections after an answer */
	IR_FROM_CORE_STOP     /* the node is idle: flush and end the thread */
};

struct ir_from_core {
	enum ir_from_core_kind kind;
	struct ir_message_charge charge;
	/*
	 * ANSWER: of the call; CANCEL_RUN: of the run; REPORT; STOP: of the
	 * last call that the node got
	 */
	uint64_t id;
	int64_t end_us; /* STOP: the process ends then at the latest */
	uint32_t conn;	/* PEER_* */
	union {
		struct ir_answer answer;	    /* ANSWER */
		struct ir_run run;		    /* RUN */
		const char *check_path;		    /* CHECK_UPSTREAM */
		const struct ir_settings *settings; /* SETTINGS */
		struct {
			const char *address; /* PEER_CONNECT */
			uint16_t port;
		} connect;
		struct {
			uint8_t *data; /* PEER_SEND */
			size_t size_bytes;
		} send;
		struct { /* STORE_POLLING: read revisions above these */
			bool wanted; /* false: do not poll */
			uint64_t config_revision;
			uint64_t list_revision;
			/* Of the configuration, sorted; owned by the message */
			char **services;
			size_t service_count;
		} store;
		struct {
			bool ready;		  /* every report */
			struct json_object *json; /* IR_REPORT_STATE */
			/* IR_REPORT_COUNTERS: of all threads */
			struct ir_counters counters;
			struct ir_histograms histograms;
			struct ir_node_gauges gauges;
			struct ir_memory memory;
		} report;
	} u;
};

/* The rings between the core's thread and one other thread. */
struct ir_channel {
	struct ir_ring *to_core;
	struct ir_ring *from_core;
	struct ir_wakeup *wakeup;    /* of the other thread */
	struct ir_counters counters; /* written by the other thread only */
	/* Of callers: answers that the sockets don't take yet; atomic. */
	uint32_t unsent_answers;
	struct ir_log *log;
};

/*
 * Creates a channel. core is the wakeup of the core's thread; slots is the size
 * of both rings, see ir_ring_new(). NULL if out of memory or descriptors.
 */
struct ir_channel *ir_channel_new(TALLOC_CTX *mem, struct ir_wakeup *core,
    struct ir_log *log, uint32_t slots);

struct ir_to_core *ir_to_core_new(enum ir_to_core_kind kind);
struct ir_from_core *ir_from_core_new(enum ir_from_core_kind kind);

/*
 * Charges a message, its fixed size plus content_bytes, to IR_MEMORY_RINGS
 * until it is freed. To be called before the message is pushed.
 */
void ir_message_charge_hold(struct ir_message_charge *c,
    struct ir_memory *memory, size_t content_bytes);
/* For a consumer that keeps the message after it was popped. */
void ir_message_charge_release(struct ir_message_charge *c);
/* Whether a message with content_bytes fits into the bound. */
bool ir_message_charge_has_room(
    const struct ir_memory *memory, size_t content_bytes);

/* Returns p, the result of an allocation; NULL aborts the process. */
void *ir_check_alloc(void *p);
/*
 * Deep copies under mem; NULL for no headers, no bytes or a NULL text. If out
 * of memory, aborts the process.
 */
struct ir_header *ir_headers_copy(
    TALLOC_CTX *mem, const struct ir_header *headers, size_t count);
uint8_t *ir_bytes_copy(TALLOC_CTX *mem, const uint8_t *data, size_t size_bytes);
/*
 * Grows the talloc array *data to at least wanted_bytes, by doubling. If out of
 * memory, returns false and leaves *data unchanged.
 */
bool ir_bytes_grow(TALLOC_CTX *mem, uint8_t **data, size_t wanted_bytes);
char *ir_text_copy(TALLOC_CTX *mem, const char *text);

#endif
