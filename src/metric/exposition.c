/* Writes and reads the text exposition format. */
#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "metric/exposition.h"

/* Escapes backslash, quote and newline in a label value. */
static char *
escape_label(TALLOC_CTX *mem, const char *s)
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
append_header(char *out, const char *name, const char *help, const char *type)
{
	return talloc_asprintf_append_buffer(
	    out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static char *
append_counters(char *out, const char *host_label, const struct ir_counters *c)
{
	for (int i = 0; i < IR_COUNTER_COUNT; i++) {
		const char *name = ir_counter_name(i);

		out = append_header(out, name, ir_counter_help(i), "counter");
		out = talloc_asprintf_append_buffer(out,
		    "%s{host=\"%s\"} %" PRIu64 "\n", name, host_label,
		    __atomic_load_n(&c->value[i], __ATOMIC_RELAXED));
	}
	return out;
}

static char *
append_gauges(
    char *out, const char *host_label, const struct ir_metric_set *set)
{
	const struct ir_gauge *g;

	for (g = set->gauges; g < set->gauges + set->gauge_count; g++) {
		out = append_header(out, g->name, g->help, "gauge");
		out = talloc_asprintf_append_buffer(out,
		    "%s{host=\"%s\"} %" PRId64 "\n", g->name, host_label,
		    g->value);
	}
	return out;
}

#define US_PER_S 1e6

/* The format has cumulative buckets. */
static char *
append_histogram(char *out, const char *host_label, enum ir_histogram_kind kind,
    const struct ir_histogram *h)
{
	const char *name = ir_histogram_name(kind);
	uint64_t cumulative_count = 0;

	out = append_header(out, name, ir_histogram_help(kind), "histogram");
	for (unsigned i = 0; i < IR_HISTOGRAM_BOUNDS; i++) {
		cumulative_count += h->bucket_counts[i];
		out = talloc_asprintf_append_buffer(out,
		    "%s_bucket{host=\"%s\",le=\"%g\"} %" PRIu64 "\n", name,
		    host_label, (double)ir_histogram_bound_us(i) / US_PER_S,
		    cumulative_count);
	}
	return talloc_asprintf_append_buffer(out,
	    "%s_bucket{host=\"%s\",le=\"+Inf\"} %" PRIu64 "\n"
	    "%s_sum{host=\"%s\"} %.6f\n%s_count{host=\"%s\"} %" PRIu64 "\n",
	    name, host_label, h->total_count, name, host_label,
	    (double)h->sum_us / US_PER_S, name, host_label, h->total_count);
}

char *
ir_exposition_write(
    TALLOC_CTX *mem, const char *host, const struct ir_metric_set *set)
{
	char *out = talloc_strdup(mem, "");
	char *host_label = escape_label(NULL, host);

	out = append_counters(out, host_label, set->counters);
	out = append_gauges(out, host_label, set);
	for (int k = 0; set->histograms != NULL && k < IR_HISTOGRAM_COUNT; k++)
		out = append_histogram(
		    out, host_label, k, &set->histograms->by_kind[k]);
	talloc_free(host_label);
	return out;
}

/* The value in a line, after name and labels; NULL if the name differs. */
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
