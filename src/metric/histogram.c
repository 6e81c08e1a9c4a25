/* Histograms of durations. */
#include "ibisrail/histogram.h"
#include "ibisrail/limits.h"

/* From the latency between two zones to the longest usual deadline. */
static const int64_t bounds_us[IR_HISTOGRAM_BOUNDS] = {
    1 * IR_US_PER_MS,
    5 * IR_US_PER_MS,
    10 * IR_US_PER_MS,
    25 * IR_US_PER_MS,
    50 * IR_US_PER_MS,
    100 * IR_US_PER_MS,
    250 * IR_US_PER_MS,
    500 * IR_US_PER_MS,
    1000 * IR_US_PER_MS,
    2000 * IR_US_PER_MS,
    5000 * IR_US_PER_MS,
    10000 * IR_US_PER_MS,
};

static const struct {
	const char *name;
	const char *help;
} texts[IR_HISTOGRAM_COUNT] = {
    [IR_HISTOGRAM_CALL] = {"ibisrail_call_seconds",
	"Time of requests at this entry, from admission to answer."},
    [IR_HISTOGRAM_GATE_WAIT] = {"ibisrail_gate_wait_seconds",
	"Time of work in the gate's queue, until it was started."},
    [IR_HISTOGRAM_RUN] = {"ibisrail_run_seconds",
	"Time of runs at the local upstream."},
};

int64_t
ir_histogram_bound_us(unsigned bucket)
{
	return bounds_us[bucket];
}

const char *
ir_histogram_name(enum ir_histogram_kind kind)
{
	return texts[kind].name;
}

const char *
ir_histogram_help(enum ir_histogram_kind kind)
{
	return texts[kind].help;
}

void
ir_histogram_add(
    struct ir_histograms *h, enum ir_histogram_kind kind, int64_t duration_us)
{
	struct ir_histogram *one = &h->by_kind[kind];
	unsigned i = 0;

	while (i < IR_HISTOGRAM_BOUNDS && duration_us > bounds_us[i])
		i++;
	one->bucket_counts[i]++;
	one->total_count++;
	one->sum_us += duration_us;
}
