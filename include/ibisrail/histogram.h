/*
 * Histograms of times, with the same bounds for all. Written and read by one
 * thread.
 */
#ifndef IBISRAIL_HISTOGRAM_H
#define IBISRAIL_HISTOGRAM_H

#include <stdint.h>

enum ir_histogram_kind {
	IR_HISTOGRAM_CALL, /* callers' requests, from admission to answer */
	IR_HISTOGRAM_GATE_WAIT, /* work at the gate, from its offer to its start
				 */
	IR_HISTOGRAM_RUN,	/* runs of the local upstream */
	IR_HISTOGRAM_COUNT
};

#define IR_HISTOGRAM_BOUNDS 12

struct ir_histogram {
	uint64_t bucket_counts[IR_HISTOGRAM_BOUNDS +
			       1]; /* the last: over all bounds */
	uint64_t total_count;
	int64_t sum_us;
};

struct ir_histograms {
	struct ir_histogram by_kind[IR_HISTOGRAM_COUNT];
};

/* Upper bound of a bucket, microseconds. */
int64_t ir_histogram_bound_us(unsigned bucket);
/* "ibisrail_call_seconds" and one line of help. */
const char *ir_histogram_name(enum ir_histogram_kind kind);
const char *ir_histogram_help(enum ir_histogram_kind kind);
void ir_histogram_add(
    struct ir_histograms *h, enum ir_histogram_kind kind, int64_t us);

#endif
