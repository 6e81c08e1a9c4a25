/* What an upstream reports of its own load and speed in its answers. */
#include "upstream/load_report.h"

#include <strings.h>

#define USUAL_PERCENT 100.0
/* Higher figures are taken for errors of the upstream. */
#define MAX_SLOTS 65536
#define MAX_REQUESTS 1000000
#define MAX_WORK_PERCENT 10000

/* Reads decimal digits up to max; NULL if there are none, or more. */
static const char *
read_number(const char *text, uint32_t max, uint32_t *out)
{
	const char *p = text;
	uint32_t n = 0;

	for (; *p >= '0' && *p <= '9'; p++) {
		n = 10 * n + (uint32_t)(*p - '0');
		if (n > max)
			return NULL;
	}
	*out = n;
	return p != text ? p : NULL;
}

static const char *
skip_comma(const char *p)
{
	return p != NULL && *p == ',' ? p + 1 : NULL;
}

/* The figure after a comma. */
static const char *
read_next(const char *p, uint32_t max, uint32_t *out)
{
	p = skip_comma(p);
	return p != NULL ? read_number(p, max, out) : NULL;
}

bool
ir_load_report_parse(const char *text, struct ir_load_report *out)
{
	struct ir_load_report r = {0};
	const char *p = read_number(text, MAX_REQUESTS, &r.running);

	p = read_next(p, MAX_REQUESTS, &r.waiting);
	p = read_next(p, MAX_SLOTS, &r.slots);
	if (p == NULL || r.slots == 0)
		return false;
	if (*p != '\0') {
		p = read_next(p, MAX_WORK_PERCENT, &r.work_percent);
		if (p == NULL || *p != '\0' || r.work_percent == 0)
			return false;
	}
	*out = r;
	return true;
}

/* The last of several reports counts. False if there is none to use. */
static bool
find_report(const char *header, const struct ir_header *headers, size_t count,
    struct ir_load_report *out, bool *refused)
{
	bool found = false;

	*refused = false;
	for (size_t i = 0; header != NULL && i < count; i++) {
		if (strcasecmp(headers[i].name, header) != 0)
			continue;
		if (ir_load_report_parse(headers[i].value, out))
			found = true;
		else
			*refused = true;
	}
	return found;
}

enum ir_load_report_change
ir_upstream_load_answered(struct ir_upstream_load *l, int64_t now,
    const char *header, const struct ir_header *headers, size_t count,
    bool *refused)
{
	struct ir_load_report r;

	if (find_report(header, headers, count, &r, refused) &&
	    (r.work_percent != 0 || !l->reports_speed)) {
		bool appeared = r.work_percent != 0 && !l->reports_speed;

		l->report = r;
		l->received_us = now;
		l->reports_speed = r.work_percent != 0;
		return appeared ? IR_LOAD_REPORT_APPEARED : IR_LOAD_REPORT_SAME;
	}
	if (now - l->received_us <= IR_LOAD_REPORT_VALID_US)
		return IR_LOAD_REPORT_SAME;
	l->report.slots = 0;
	if (!l->reports_speed)
		return IR_LOAD_REPORT_SAME;
	l->reports_speed = false;
	return IR_LOAD_REPORT_DISAPPEARED;
}

uint32_t
ir_upstream_load_slots(const struct ir_upstream_load *l)
{
	return l->report.slots;
}

double
ir_upstream_load_slowdown(const struct ir_upstream_load *l, int64_t now)
{
	if (!l->reports_speed || now - l->received_us > IR_LOAD_REPORT_VALID_US)
		return 0;
	return l->report.work_percent / USUAL_PERCENT;
}
