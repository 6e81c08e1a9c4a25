/* Writer of the text exposition format. */
#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "metric/exposition.h"

/* A label's value with backslash, quote and newline escaped. */
static char *
label_value(TALLOC_CTX *mem, const char *s)
{
	char *out = talloc_strdup(mem, "");

	for (; *s != '\0'; s++) {
		if (*s == '\n')
			out = talloc_strdup_append_buffer(out, "\\n");
		else if (*s == '\\' || *s == '"')
			out = talloc_asprintf_append_buffer(out, "\\%c", *s);
		else
			out = talloc_asprintf_append_buffer(out, "%c", *s);
	}
	return out;
}

static char *
append_head(char *out, const char *name, const char *help, const char *type)
{
	return talloc_asprintf_append_buffer(
	    out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static char *
append_counters(char *out, const char *label, const struct ir_counters *c)
{
	for (int i = 0; i < IR_COUNTER_COUNT; i++) {
		const char *name = ir_counter_name(i);

		out = append_head(out, name, ir_counter_help(i), "counter");
		out = talloc_asprintf_append_buffer(out,
		    "%s{host=\"%s\"} %" PRIu64 "\n", name, label,
		    __atomic_load_n(&c->value[i], __ATOMIC_RELAXED));
	}
	return out;
}

static char *
append_gauges(char *out, const char *label, const struct ir_metric_set *e)
{
	const struct ir_gauge *g;

	for (g = e->gauges; g < e->gauges + e->gauge_count; g++) {
		out = append_head(out, g->name, g->help, "gauge");
		out = talloc_asprintf_append_buffer(out,
		    "%s{host=\"%s\"} %" PRId64 "\n", g->name, label, g->value);
	}
	return out;
}

#define US_PER_S 1e6

/* Buckets are cumulative, as the format wants them. */
static char *
append_histogram(char *out, const char *label, enum ir_histogram_kind kind,
    const struct ir_histogram *h)
{
	const char *name = ir_histogram_name(kind);
	uint64_t below = 0;

	out = append_head(out, name, ir_histogram_help(kind), "histogram");
	for (unsigned i = 0; i < IR_HISTOGRAM_BOUNDS; i++) {
		below += h->bucket_counts[i];
		out = talloc_asprintf_append_buffer(out,
		    "%s_bucket{host=\"%s\",le=\"%g\"} %" PRIu64 "\n", name,
		    label, (double)ir_histogram_bound_us(i) / US_PER_S, below);
	}
	return talloc_asprintf_append_buffer(out,
	    "%s_bucket{host=\"%s\",le=\"+Inf\"} %" PRIu64 "\n"
	    "%s_sum{host=\"%s\"} %.6f\n%s_count{host=\"%s\"} %" PRIu64 "\n",
	    name, label, h->total_count, name, label,
	    (double)h->sum_us / US_PER_S, name, label, h->total_count);
}

char *
ir_exposition_write(
    TALLOC_CTX *mem, const char *host, const struct ir_metric_set *e)
{
	char *out = talloc_strdup(mem, "");
	char *label = label_value(NULL, host);

	out = append_counters(out, label, e->counters);
	out = append_gauges(out, label, e);
	for (int k = 0; e->histograms != NULL && k < IR_HISTOGRAM_COUNT; k++)
		out =
		    append_histogram(out, label, k, &e->histograms->by_kind[k]);
	talloc_free(label);
	return out;
}

/* The value of a line of this name, after its labels; NULL for another. */
static const char *
line_value(const char *line, const char *name)
{
	size_t n = strlen(name);
	bool quoted = false;

	if (strncmp(line, name, n) != 0)
		return NULL;
	line += n;
	if (*line != '{')
		return *line == ' ' ? line : NULL;
	for (; *line != '\0' && *line != '\n'; line++) {
		if (*line == '\\' && line[1] != '\0')
			line++;
		else if (*line == '"')
			quoted = !quoted;
		else if (*line == '}' && !quoted)
			return line + 1;
	}
	return NULL;
}

bool
ir_exposition_read(const char *text, const char *name, double *value)
{
	const char *line = text, *v;
	char *end;

	while (line != NULL) {
		v = line_value(line, name);
		if (v != NULL) {
			*value = strtod(v, &end);
			return end != v;
		}
		line = strchr(line, '\n');
		if (line != NULL)
			line++;
	}
	return false;
}
