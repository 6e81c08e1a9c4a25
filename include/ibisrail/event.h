/*
 * Numbered log events. Constants follow the event names in the log. The
 * catalogue is docs/EVENTS.md; a test compares it with src/log/catalogue.c.
 */
#ifndef IBISRAIL_EVENT_H
#define IBISRAIL_EVENT_H

#include <stdint.h>

enum ir_level {
	IR_LEVEL_ERROR,
	IR_LEVEL_WARNING,
	IR_LEVEL_NOTICE,
	IR_LEVEL_DEBUG
};

enum ir_event {
	/* Process: 100 to 199. */
	IR_EVENT_STARTED = 100,
	IR_EVENT_STOPPING = 101,
	IR_EVENT_STOPPED = 102,
	IR_EVENT_SETTINGS_BAD = 103,
	IR_EVENT_LISTEN_FAILED = 104,
	IR_EVENT_RING_FULL = 105,
	IR_EVENT_DESCRIPTORS_FEW = 106,
	IR_EVENT_SETTINGS_READ = 107,
	IR_EVENT_LOG_DROPPED = 108,
	IR_EVENT_MEMORY_SHORT = 109,
	IR_EVENT_STOP_STAGE = 110,
	IR_EVENT_CALLERS_CLOSED = 111,
	/* View and platform: 200 to 299. */
	IR_EVENT_VIEW_CHANGED = 200,
	IR_EVENT_SECTION_REFUSED = 201,
	IR_EVENT_VIEW_STATE = 202,
	IR_EVENT_STORE_FAILED = 203,
	IR_EVENT_STORE_BACK = 204,
	IR_EVENT_STORE_STALE = 205,
	IR_EVENT_STORE_RESTORED = 206,
	IR_EVENT_ZONE_EVACUATION = 207,
	IR_EVENT_ENTRIES_DROPPED = 208,
	/* Links: 300 to 399. */
	IR_EVENT_LINK_UP = 300,
	IR_EVENT_LINK_LOST = 301,
	IR_EVENT_LINK_REFUSED = 302,
	IR_EVENT_MESSAGE_BAD = 303,
	/* Requests: 400 to 499. */
	IR_EVENT_REQUEST_BAD = 400,
	IR_EVENT_KEY_REFUSED = 401,
	IR_EVENT_OUTCOME_UNKNOWN = 402,
	IR_EVENT_UPSTREAM_BROKEN = 403,
	IR_EVENT_CALL_ADMITTED = 404,
	IR_EVENT_CALL_REFUSED = 405,
	IR_EVENT_ATTEMPT_SENT = 406,
	IR_EVENT_GATE_TOOK = 407,
	IR_EVENT_GATE_REFUSED = 408,
	IR_EVENT_RUN_STARTED = 409,
	IR_EVENT_RUN_ENDED = 410,
	IR_EVENT_CALL_ENDED = 411,
	IR_EVENT_UPSTREAM_STATEMENT = 412,
	IR_EVENT_RUN_CRASHED = 413,
	IR_EVENT_REGION_REFUSED = 414,
	IR_EVENT_UPSTREAM_COLD = 415,
	IR_EVENT_CHECK_BAD = 416,
	IR_EVENT_UPSTREAM_REPORTS = 417,
	/* Buckets: 500 to 599. */
	IR_EVENT_BUCKET_HANDED = 500,
	IR_EVENT_BUCKET_TAKEN = 501
};

struct ir_event_info {
	enum ir_event event;
	enum ir_level level;
	const char *name;
};

/* Level and name of an event; NULL if there is no such event. */
const struct ir_event_info *ir_event_info(enum ir_event event);
/* All events. The last entry has a NULL name. */
const struct ir_event_info *ir_event_table(void);

#endif
