/*
 * The text exposition format for metric collectors: for each metric a HELP and
 * a TYPE line, then its values, such as "name{host=\"h\"} 7".
 */
#ifndef IR_METRIC_EXPOSITION_H
#define IR_METRIC_EXPOSITION_H

#include <stdbool.h>
#include <talloc.h>

#include "ibisrail/counter.h"
#include "ibisrail/histogram.h"

#define IR_EXPOSITION_CONTENT_TYPE "text/plain; version=0.0.4; charset=utf-8"

/* A value that can go up and down. */
struct ir_gauge {
	const char *name; /* full metric name, ends in its unit if any */
	const char *help;
	int64_t value;
};

/* The metrics to write. gauge_count may be 0, histograms may be NULL. */
struct ir_metric_set {
	const struct ir_counters *counters;
	const struct ir_gauge *gauges;
	size_t gauge_count;
	const struct ir_histograms *histograms;
};

/*
 * Formats all counters, then the gauges, then the histograms, each labelled
 * with the host's name. Returns a text under mem, or NULL if out of memory.
 */
char *ir_exposition_write(
    TALLOC_CTX *mem, const char *host, const struct ir_metric_set *set);

/*
 * Reads the value of the first metric with this name, whatever its labels.
 * Returns false if no metric has the name.
 */
bool ir_exposition_read(const char *text, const char *name, double *value);

#endif
