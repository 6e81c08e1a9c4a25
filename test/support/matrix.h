/*
 * The fault matrix. A cell injects a fault at one step of a request or of a
 * control exchange and may inject a second one at the next step with the same
 * origin or gate.
 *
 * There are seven hosts: one of service "e", which only receives callers'
 * requests, and three each of "s" and "t"; upstreams of "s" call "t". The
 * request under test goes from host 0 through a host of "s" to one of "t".
 *
 * A fault applies to the two ends of its step, called origin and gate. In a
 * control exchange the origin is the host that sends the request.
 */
#ifndef TEST_MATRIX_H
#define TEST_MATRIX_H

#include "support/fleet.h"

#define MATRIX_ORIGIN 0 /* where the request under test enters */
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
	FAULT_NO_ROOM_ORIGIN,
	FAULT_NO_ROOM_GATE,
	FAULT_COUNT
};

/* What the cell does so that the exchange of its step takes place. */
enum matrix_prepare {
	PREPARE_NOTHING,
	PREPARE_CLOSE_LINK, /* link closes as the run starts: status request */
	PREPARE_ABANDON_CALL, /* caller leaves as the run starts: cancel */
	PREPARE_DRAIN,	  /* the busiest token issuer leaves: bucket handover */
	PREPARE_CUT_STORE /* host 4 cannot read the store: view request */
};

enum matrix_side {
	SIDE_ORIGIN, /* the origin of the request under test */
	SIDE_GATE,   /* its gate */
	SIDE_ANY
};

struct matrix_step {
	const char *name;
	enum fleet_step step;
	int kind; /* of the message; 0: any or none */
	enum matrix_side side;
	enum matrix_prepare prepare;
	bool paired; /* pairs of faults start here too */
};

enum matrix_task_kind {
	TASK_START,
	TASK_STOP,
	TASK_CROSS,
	TASK_SURGE,
	TASK_ABANDON_CALL,
	TASK_PUBLISH_OLD,
	TASK_MAKE_ROOM
};

/* Work that must not run within a callback of a node. */
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
	int faults_placed; /* how many of them were injected */
	int64_t first_fault_us;
	bool prepared;
	int gate; /* of the request under test; -1: none yet */
	int call; /* the request under test; -1: not sent yet */
	int fault_origin, fault_gate; /* ends of the first fault */
	/* Faults for the next message between these ends. */
	int64_t message_delay_us;
	bool message_duplicate;
	bool message_lost;
	struct matrix_task tasks[MATRIX_MAX_TASKS];
	int task_count;
	int calls_at_stop[64]; /* unanswered at a graceful stop */
	int calls_at_stop_count;
	int stopping[2];	  /* nodes; -1: ended */
	int64_t idle_since_us[2]; /* idle without a break since; 0: not idle */
	int stopping_count;
	int surge_first, surge_last; /* calls of the surge */
};

extern const struct matrix_step matrix_steps[];
extern const int matrix_step_count;
/* The name that the test prints. */
const char *matrix_fault_name(enum matrix_fault fault);

/* Hook of the fleet; its hook_ctx is a struct matrix. */
void matrix_hook(struct fleet *f, const struct fleet_step_event *ev);
/* Injects a fault between the hosts origin and gate. */
void matrix_inject_fault(
    struct matrix *m, enum matrix_fault fault, int origin, int gate);
/* Schedules a task; does nothing if there are MATRIX_MAX_TASKS already. */
void matrix_schedule_task(
    struct matrix *m, enum matrix_task_kind kind, int node, int64_t after_us);
/* Runs the tasks that are due; must be called between events. */
void matrix_run_due_tasks(struct matrix *m);
/* Ends all faults but a withdrawn key and leaving hosts. */
void matrix_remove_faults(struct matrix *m);

#endif
