/*
 * The fault matrix: a cell is one scenario with a fault at one step of a
 * request or of a control exchange, and perhaps a second one at the next.
 *
 * Seven hosts: "e" only takes callers' requests, "s" calls on to "t". The
 * request under test goes from host 0 over an s to a t. Faults are told by
 * the two ends of the step: its origin and its gate, for control exchanges
 * the host that asks and the one that answers.
 */
#ifndef TEST_MATRIX_H
#define TEST_MATRIX_H

#include "support/fleet.h"

#define MATRIX_ORIGIN 0
#define MATRIX_MAX_TASKS 32

enum matrix_fault {
	FAULT_NONE,
	FAULT_KILL_ORIGIN,
	FAULT_KILL_GATE,
	FAULT_PAUSE_ORIGIN,
	FAULT_PAUSE_GATE,
	FAULT_CUT_TO_GATE,
	FAULT_CUT_TO_ORIGIN,
	FAULT_CUT_BOTH,
	FAULT_SILENT_CONNECTION,
	FAULT_DELAY_MESSAGE,
	FAULT_DUPLICATE_MESSAGE,
	FAULT_LOSE_MESSAGE,
	FAULT_CROSS_ANSWERS,
	FAULT_STORE_DOWN,
	FAULT_STORE_STALE,
	FAULT_LIST_LAG,
	FAULT_KEY_WITHDRAWN,
	FAULT_RATE_LOWERED,
	FAULT_RATE_RAISED,
	FAULT_SAME_GENERATION,
	FAULT_OLD_GENERATION,
	FAULT_HOST_REPLACED,
	FAULT_UPSTREAM_SHEDS,
	FAULT_UPSTREAM_BREAKS,
	FAULT_UPSTREAM_HANGS,
	FAULT_HOST_LEAVES,
	FAULT_STOP_ORIGIN,
	FAULT_STOP_GATE,
	FAULT_REGION_CUT,
	FAULT_SURGE,
	FAULT_COUNT
};

/* What brings the exchange of a step about. */
enum matrix_prepare {
	PREPARE_NOTHING,
	PREPARE_CLOSE_LINK,   /* the link closes as the run starts: status is
				 asked */
	PREPARE_ABANDON_CALL, /* the caller goes as the run starts: cancel is
				 sent */
	PREPARE_DRAIN,	      /* the busiest minter leaves: its buckets move */
	PREPARE_CUT_STORE /* host 4 cannot read the store: it asks its peers */
};

enum matrix_side {
	SIDE_ORIGIN, /* the origin of the request under test */
	SIDE_GATE,   /* its gate */
	SIDE_ANY
};

struct matrix_step {
	const char *name;
	enum fleet_step step;
	int kind; /* of a message, or 0 */
	enum matrix_side side;
	enum matrix_prepare prepare;
	bool paired; /* faults are placed here in pairs too */
};

enum matrix_task_kind {
	TASK_START,
	TASK_STOP,
	TASK_CROSS,
	TASK_SURGE,
	TASK_ABANDON_CALL,
	TASK_PUBLISH_OLD
};

/* Something to do outside of the nodes' own code. */
struct matrix_task {
	enum matrix_task_kind kind;
	int64_t at_us;
	int node;
	bool done;
};

struct matrix {
	struct fleet *f;
	const struct matrix_step *step;
	enum matrix_fault faults[2];
	int faults_placed; /* how many of them took place */
	int64_t first_fault_us;
	bool prepared;
	int gate; /* of the request under test, -1: none yet */
	int call; /* the request under test */
	int fault_origin,
	    fault_gate; /* of the step where the fault was placed */
	int64_t message_delay_us;
	bool message_duplicate;
	bool message_lost;
	struct matrix_task tasks[MATRIX_MAX_TASKS];
	int task_count;
	int calls_at_stop[64]; /* calls that were open at a graceful stop */
	int calls_at_stop_count;
	int stopping[2];	  /* nodes that stop */
	int64_t idle_since_us[2]; /* since when each of them holds nothing */
	int stopping_count;
	int surge_first, surge_last; /* calls of a surge */
};

extern const struct matrix_step matrix_steps[];
extern const int matrix_step_count;
const char *matrix_fault_name(enum matrix_fault fault);

/* The hook of the fleet; hook_ctx is the matrix. */
void matrix_hook(struct fleet *f, const struct fleet_step_event *ev);
/* Places a fault between origin and end. */
void matrix_inject_fault(
    struct matrix *m, enum matrix_fault fault, int origin, int gate);
void matrix_schedule_task(
    struct matrix *m, enum matrix_task_kind kind, int node, int64_t after_us);
/* Does the tasks that are due; to be called between the fleet's events. */
void matrix_run_due_tasks(struct matrix *m);
/* Ends all faults but a withdrawn key and a host that leaves. */
void matrix_remove_faults(struct matrix *m);

#endif
