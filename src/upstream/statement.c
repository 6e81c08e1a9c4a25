/* What an upstream says of itself in headers of its answers. */
#include "upstream/statement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* A higher rate is none that an upstream could reach. */
#define MAX_RATE_PER_S 1e9
#define MT_PER_REQUEST 1000

static bool
header_is(const struct ir_header *h, const char *name)
{
	return name != NULL && strcasecmp(h->name, name) == 0;
}

/* False unless text is a decimal number of 0 or more. */
static bool
parse_rate(const char *text, uint64_t *mt_per_s)
{
	char *end;
	double rate;

	if (text[strspn(text, "0123456789.")] != '\0')
		return false;
	rate = strtod(text, &end);
	if (end == text || *end != '\0' || !isfinite(rate))
		return false;
	if (rate > MAX_RATE_PER_S)
		rate = MAX_RATE_PER_S;
	*mt_per_s = (uint64_t)(rate * MT_PER_REQUEST);
	return true;
}

static void
read_rate(struct ir_statement *s, const char *value)
{
	uint64_t mt_per_s;

	if (!parse_rate(value, &mt_per_s))
		return;
	if (!s->limited || mt_per_s < s->rate_mt_per_s)
		s->rate_mt_per_s = mt_per_s;
	s->limited = true;
}

struct ir_statement
ir_statement_read(const struct ir_statement_headers *names,
    const struct ir_header *headers, size_t count)
{
	struct ir_statement s = {0};

	for (size_t i = 0; i < count; i++) {
		if (header_is(&headers[i], names->rate_limit))
			read_rate(&s, headers[i].value);
		if (header_is(&headers[i], names->leaving))
			s.leaving =
			    s.leaving || strcmp(headers[i].value, "1") == 0;
	}
	return s;
}

bool
ir_upstream_status_apply(struct ir_upstream_status *u, int64_t now,
    int64_t run_started_us, const struct ir_statement *s)
{
	struct ir_statement before = u->said;

	if (s->limited) {
		u->said.limited = true;
		u->said.rate_mt_per_s = s->rate_mt_per_s;
		u->limit_said_us = now;
	} else if (run_started_us > u->limit_said_us) {
		u->said.limited = false;
		u->said.rate_mt_per_s = 0;
	}
	if (s->leaving) {
		u->said.leaving = true;
		u->leaving_said_us = now;
	}
	return before.limited != u->said.limited ||
	       before.rate_mt_per_s != u->said.rate_mt_per_s ||
	       before.leaving != u->said.leaving;
}

bool
ir_upstream_status_limited(const struct ir_upstream_status *u, int64_t now)
{
	return u->said.limited &&
	       now - u->limit_said_us < IR_UPSTREAM_STATUS_VALID_US;
}

bool
ir_upstream_status_leaving(const struct ir_upstream_status *u, int64_t now)
{
	return u->said.leaving &&
	       now - u->leaving_said_us < IR_UPSTREAM_STATUS_VALID_US;
}
