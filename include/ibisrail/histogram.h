/*
 * Histograms of durations. All use the same bucket bounds. Not thread-safe:
 * written and read by one thread.
 */
#ifndef IBISRAIL_HISTOGRAM_H
#define IBISRAIL_HISTOGRAM_H

#include <stdint.h>

enum ir_histogram_kind {
	IR_HISTOGRAM_CALL,	/* caller requests, from admission to answer */
	IR_HISTOGRAM_GATE_WAIT, /* at the gate, from offer to start */
	IR_HISTOGRAM_RUN,	/* run time at the local upstream */
	IR_HISTOGRAM_COUNT
};

#define IR_HISTOGRAM_BOUNDS 12

struct ir_histogram {
	/* The last bucket has no upper bound. */
	uint64_t bucket_counts[IR_HISTOGRAM_BOUNDS + 1];
	uint64_t total_count;
	int64_t sum_us;
};

struct ir_histograms {
	struct ir_histogram by_kind[IR_HISTOGRAM_COUNT];
};

/* Upper bound of a bucket, inclusive. bucket < IR_HISTOGRAM_BOUNDS. */
int64_t ir_histogram_bound_us(unsigned bucket);
/* The metric name, such as "ibisrail_call_seconds", and its HELP line. */
const char *ir_histogram_name(enum ir_histogram_kind kind);
const char *ir_histogram_help(enum ir_histogram_kind kind);
/* Records one duration. */
void ir_histogram_add(
    struct ir_histograms *h, enum ir_histogram_kind kind, int64_t duration_us);

#endif
