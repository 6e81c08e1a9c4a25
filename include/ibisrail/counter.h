/*
 * Counters of a process, one closed list. One thread writes each; any thread
 * may read. Names end in their unit, "_total" for counts.
 */
#ifndef IR_METRIC_COUNTER_H
#define IR_METRIC_COUNTER_H

#include <stdint.h>

enum ir_counter {
	IR_COUNTER_CALLS,	    /* requests from callers */
	IR_COUNTER_EGRESS_CALLS,    /* requests from the local upstream */
	IR_COUNTER_ANSWERED,	    /* calls that got the upstream's answer */
	IR_COUNTER_REFUSED,	    /* calls refused, not run */
	IR_COUNTER_OUTCOME_UNKNOWN, /* calls whose outcome is unknown */
	IR_COUNTER_ATTEMPTS,	    /* attempts sent to gates */
	IR_COUNTER_RETRIES,	    /* attempts after the first */
	IR_COUNTER_RETRIES_DENIED, /* retries that no token or budget allowed */
	IR_COUNTER_RUNS,	   /* requests started at the local upstream */
	IR_COUNTER_GATE_REFUSED,   /* work that the gate refused */
	IR_COUNTER_CANCELLED,	   /* work cancelled by its caller */
	IR_COUNTER_REPEATS_ATTACHED, /* repeats that found a record */
	IR_COUNTER_TOKENS_SPENT,
	IR_COUNTER_TOKENS_EXPIRED,
	IR_COUNTER_GRANT_REQUESTS,
	IR_COUNTER_GRANTS_ISSUED,
	IR_COUNTER_RATE_REFUSED,
	IR_COUNTER_MESSAGES_RECEIVED,
	IR_COUNTER_MESSAGES_SENT,
	IR_COUNTER_MESSAGES_REJECTED,
	IR_COUNTER_LINKS_LOST,
	IR_COUNTER_VIEW_REQUESTS,
	IR_COUNTER_STORE_READS,
	IR_COUNTER_SECTIONS_APPLIED,
	IR_COUNTER_SECTIONS_REFUSED,
	IR_COUNTER_RING_FULL,
	IR_COUNTER_COUNT
};

struct ir_counters {
	uint64_t value[IR_COUNTER_COUNT];
};

/* The name in the metric collectors' text format, "ibisrail_calls_total". */
const char *ir_counter_name(enum ir_counter c);
/* One line of help for the text format. */
const char *ir_counter_help(enum ir_counter c);

static inline void
ir_counters_add(struct ir_counters *c, enum ir_counter which, uint64_t n)
{
	uint64_t *p = &c->value[which];

	__atomic_store_n(
	    p, __atomic_load_n(p, __ATOMIC_RELAXED) + n, __ATOMIC_RELAXED);
}

#endif
