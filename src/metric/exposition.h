/*
 * The text exposition format that metric collectors read: for each value a
 * HELP, a TYPE and a value line, "name{host=\"h\"} 7".
 */
#ifndef IR_METRIC_EXPOSITION_H
#define IR_METRIC_EXPOSITION_H

#include <stdbool.h>
#include <talloc.h>

#include "ibisrail/counter.h"
#include "ibisrail/histogram.h"

#define IR_EXPOSITION_CONTENT_TYPE "text/plain; version=0.0.4; charset=utf-8"

/* A value that may fall. Names are without the prefix "ibisrail_". */
struct ir_gauge {
	const char *name; /* ends in its unit */
	const char *help;
	int64_t value;
};

/* What is written: gauges and histograms may be none. */
struct ir_metric_set {
	const struct ir_counters *counters;
	const struct ir_gauge *gauges;
	size_t gauge_count;
	const struct ir_histograms *histograms;
};

/*
 * All counters, the gauges, then the histograms, labelled with the host's
 * name. A text under mem, NULL without memory.
 */
char *ir_exposition_write(
    TALLOC_CTX *mem, const char *host, const struct ir_metric_set *e);

/*
 * Reads one value of such a text, the first of that name whatever its labels.
 * False when it is not there.
 */
bool ir_exposition_read(const char *text, const char *name, double *value);

#endif
