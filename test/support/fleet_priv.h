/* Shared by the files of the simulated fleet. */
#ifndef TEST_FLEET_PRIV_H
#define TEST_FLEET_PRIV_H

#include "support/fleet.h"

#define FLEET_LIMIT_HEADER "Test-Limit"
#define FLEET_LOAD_HEADER "Test-Load"
#define FLEET_LEAVING_HEADER "Test-Leaving"
#define FLEET_MAX_ANSWER_HEADERS 3

enum fleet_event_kind {
	EVENT_MESSAGE,
	EVENT_CONNECTED,
	EVENT_CLOSED,
	EVENT_RUN_ENDED,
	EVENT_EGRESS_CALL,
	EVENT_STORE_READ,
	EVENT_CHECKED
};

/* An event that will be delivered to a node. */
struct fleet_event {
	enum fleet_event_kind kind;
	int node;
	uint64_t incarnation; /* of the node; a later process ignores it */
	int64_t at_us;
	uint64_t sequence;
	bool deferred; /* rescheduled as the node is paused: not freed */
	uint32_t conn;
	int peer;
	uint8_t *data;
	size_t size_bytes;
	uint64_t run;
	struct ir_run_result result;
	struct ir_header headers[FLEET_MAX_ANSWER_HEADERS];
	char marker[24];
	int parent_call;
	struct ir_run run_copy;
	char attempt[40];
	char path[64];
	char method[8];
	bool reads_list;
	int64_t requested_us;
	struct fleet_event *prev;
	struct fleet_event *next;
};

struct fleet_conn {
	int a;
	int b;
	uint32_t a_id;
	uint32_t b_id;
	bool closed[2]; /* by a, by b; data in flight still arrives */
	bool silent;
	bool lossy; /* lost bytes in a cut: delivers nothing after it */
	/* When the last message sent by b, by a arrives. */
	int64_t last_arrival_us[2];
	struct fleet_conn *prev;
	struct fleet_conn *next;
};

/* A text that was published before the current one. */
struct fleet_version {
	char *text;
	uint64_t revision;
	int64_t published_us;
};

struct fleet_section {
	char name[40];
	char *text;
	uint64_t revision; /* 0: the store does not have it */
	int64_t published_us;
	struct fleet_version *past; /* oldest first */
	int past_count;
	char *lost_text; /* to be published again; NULL: none */
	int64_t lost_due_us;
	struct fleet_section *next;
};

extern const struct ir_node_ops fleet_ops;

/* Adds an event to the queue, after those of the same time. */
void fleet_schedule(struct fleet *f, struct fleet_event *ev);
/* Returns an event for the node's present process, not yet scheduled. */
struct fleet_event *fleet_event(
    struct fleet *f, enum fleet_event_kind kind, int node, int64_t at_us);
/* Calls the test's hook; it sets the next_* fields for this message. */
void fleet_report_step(struct fleet *f, enum fleet_step step, int node,
    int peer, enum ir_msg_kind kind);
bool fleet_op_connect(
    void *ctx, uint32_t conn, const char *address, uint16_t port);
void fleet_op_close(void *ctx, uint32_t conn);
bool fleet_op_send(
    void *ctx, uint32_t conn, uint32_t xid, const struct ir_msg *m);
struct fleet_call *fleet_find_call(struct fleet *f, const char *marker);
void fleet_deliver_run_end(struct fleet *f, struct fleet_event *ev);
void fleet_deliver_check(struct fleet *f, struct fleet_event *ev);
void fleet_deliver_egress(struct fleet *f, struct fleet_event *ev);
void fleet_deliver_store(struct fleet *f, struct fleet_event *ev);
void fleet_poll_store(struct fleet *f, int node);
/* Publishes again what a restore lost and is due. */
void fleet_publish_lost(struct fleet *f);
/* Returns the number of running hosts that can reach the store. */
int fleet_store_readers(const struct fleet *f);
/* Notes the present time for changes that have become readable. */
void fleet_update_readable(struct fleet *f);
/*
 * Returns for how long a change has been readable without interruption; 0
 * while the store is down or stale, or if published_us is 0.
 */
int64_t fleet_readable_for_us(const struct fleet *f, int64_t published_us);
/* The same for the evacuation of the zone; 0 if it is not evacuated. */
int64_t fleet_evacuated_for_us(const struct fleet *f, const char *zone);
/* Record when a gate gets an attempt and when it sheds one. */
void fleet_record_forward(
    struct fleet *f, int gate, const struct ir_forward *forward);
void fleet_record_reply(
    struct fleet *f, int gate, const struct ir_reply *reply);
/* Checks revisions and records spent tokens; called after each event. */
void fleet_check_event(struct fleet *f);
/* Adds the counters of a node that is being killed to its earlier ones. */
void fleet_keep_counters(struct fleet *f, struct fleet_node *n);

#endif
