/*
 * Counters of a process. Each counter has a single writing thread; any thread
 * may read it. Metric names end in "_total".
 */
#ifndef IR_METRIC_COUNTER_H
#define IR_METRIC_COUNTER_H

#include <stdint.h>

enum ir_counter {
	IR_COUNTER_CALLS,	    /* requests from callers */
	IR_COUNTER_EGRESS_CALLS,    /* requests from the local upstream */
	IR_COUNTER_ANSWERED,	    /* calls that got the upstream's answer */
	IR_COUNTER_REFUSED,	    /* calls refused, not run */
	IR_COUNTER_OUTCOME_UNKNOWN, /* calls with an unknown outcome */
	IR_COUNTER_ATTEMPTS,	    /* attempts sent to gates */
	IR_COUNTER_RETRIES,	    /* attempts after the first */
	IR_COUNTER_RETRIES_DENIED,  /* denied: no retry token or budget */
	IR_COUNTER_RUNS,	    /* requests started at the local upstream */
	IR_COUNTER_GATE_REFUSED,    /* attempts refused by the gate */
	/* Calls cancelled by their caller, attempts by their origin. */
	IR_COUNTER_CANCELLED,
	IR_COUNTER_REPEATS_ATTACHED, /* repeats answered from a record */
	IR_COUNTER_TOKENS_SPENT,     /* rate tokens spent on admitted calls */
	IR_COUNTER_TOKENS_EXPIRED,   /* granted rate tokens not spent in time */
	IR_COUNTER_GRANT_REQUESTS,   /* sent to other nodes */
	IR_COUNTER_GRANTS_ISSUED,    /* grants of rate tokens issued */
	IR_COUNTER_RATE_REFUSED,     /* client account over its rate */
	IR_COUNTER_MESSAGES_RECEIVED,  /* from other nodes */
	IR_COUNTER_MESSAGES_SENT,      /* to other nodes */
	IR_COUNTER_MESSAGES_REJECTED,  /* invalid or unexpected */
	IR_COUNTER_LINKS_LOST,	       /* links to other nodes lost */
	IR_COUNTER_VIEW_REQUESTS,      /* sent to other nodes */
	IR_COUNTER_VIEW_SECTIONS_SENT, /* in views sent to other nodes */
	IR_COUNTER_VIEW_BYTES_SENT,    /* texts of these sections */
	IR_COUNTER_VIEWS_DROPPED,      /* for want of memory, per connection */
	IR_COUNTER_STORE_READS,	       /* reads of the configuration service */
	IR_COUNTER_SECTIONS_APPLIED,   /* view sections that came into force */
	IR_COUNTER_SECTIONS_REFUSED,   /* view sections refused as invalid */
	IR_COUNTER_ENTRIES_DROPPED,    /* sections taken without some entries */
	IR_COUNTER_RING_FULL,	       /* items refused, ring full */
	IR_COUNTER_CALLS_CUT,	       /* connection closed by this node */
	IR_COUNTER_RUNS_CRASHED,       /* the upstream ended during them */
	IR_COUNTER_REGION_REFUSED, /* by an entry or gate, for their region */
	IR_COUNTER_EVACUATION_REFUSED, /* by the gate; its zone is evacuated */
	IR_COUNTER_STATUS_CHECKS,      /* sent to the local upstream */
	IR_COUNTER_COLD_DELAYED, /* attempts queued while it was not warm */
	IR_COUNTER_COLD_REFUSED, /* attempts refused while it was not warm */
	IR_COUNTER_LOAD_REPORTS_REFUSED, /* of the upstream: no use */
	IR_COUNTER_COUNT
};

struct ir_counters {
	uint64_t value[IR_COUNTER_COUNT];
};

/* The metric name, such as "ibisrail_calls_total"; NULL if out of range. */
const char *ir_counter_name(enum ir_counter c);
/* The HELP line of the text exposition format; NULL if out of range. */
const char *ir_counter_help(enum ir_counter c);

/* Adds n to a counter. For the counter's writing thread only. */
static inline void
ir_counters_add(struct ir_counters *c, enum ir_counter which, uint64_t n)
{
	uint64_t *p = &c->value[which];

	__atomic_store_n(
	    p, __atomic_load_n(p, __ATOMIC_RELAXED) + n, __ATOMIC_RELAXED);
}

#endif
