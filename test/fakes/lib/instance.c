/* A stand-in upstream in the dialect of our users' platform. */
#include <inttypes.h>
#include <string.h>

#include "fakes/lib/instance.h"
#include "platform/names.h"

#define H_LOAD "X-Ibisrail-Instance-Load"

static void
add_load_header(struct fake_upstream *u, struct fake_request *r)
{
	fake_header_add(r, H_LOAD,
	    talloc_asprintf(
		r, "%u,%u,%u", u->running, u->queued, u->options.slots));
}

/* The id in the answer lets the node detect late answers. */
static void
echo_attempt_id(struct fake_request *r)
{
	const char *attempt = fake_header(r, HEADER_ATTEMPT_ID);

	if (attempt != NULL)
		fake_header_add(r, HEADER_ATTEMPT_ID, attempt);
}

void
fake_instance_add_not_run_headers(
    struct fake_upstream *u, struct fake_request *r)
{
	fake_header_add(r, HEADER_NOT_EXECUTED, "1");
	echo_attempt_id(r);
	add_load_header(u, r);
}

bool
fake_instance_refuse(struct fake_upstream *u, struct fake_request *r)
{
	const char *expected = fake_header(r, HEADER_EXPECTED_INSTANCE);
	unsigned status = 0;

	if (fake_header(r, HEADER_ATTEMPT_ID) == NULL)
		status = 400;
	else if (expected != NULL &&
		 strcmp(expected, u->options.instance_id) != 0)
		status = 421;
	if (status == 0)
		return false;
	u->stats.shed++;
	fake_instance_add_not_run_headers(u, r);
	fake_answer_json(r, status, "{}\n");
	return true;
}

void
fake_instance_add_answer_headers(
    struct fake_upstream *u, struct fake_request *r)
{
	echo_attempt_id(r);
	add_load_header(u, r);
	fake_header_add(r, HEADER_RESPONSE_SIGNATURE,
	    talloc_asprintf(
		r, "%s.%" PRIu64, u->options.instance_id, u->stats.answered));
}

static const char *
copied_header(TALLOC_CTX *mem, const struct fake_request *r, const char *name)
{
	const char *value = fake_header(r, name);

	if (value == NULL)
		return NULL;
	return talloc_asprintf(mem, "%s: %s", name, value);
}

const char *
fake_instance_build_call(TALLOC_CTX *mem, const struct fake_request *r,
    uint32_t n, const char *call, const char *headers[FAKE_CALL_HEADERS])
{
	const char *attempt = fake_header(r, HEADER_ATTEMPT_ID);
	const char *slash = strchr(call, '/');
	size_t i = 0;

	headers[i++] = talloc_asprintf(mem, "Host: %.*s%s", (int)(slash - call),
	    call, FAKE_AUTHORITY_SUFFIX);
	headers[i++] = talloc_asprintf(mem, "%s: %s.%u", HEADER_ATTEMPT_ID,
	    attempt != NULL ? attempt : "", n);
	headers[i] = copied_header(mem, r, "X-Test-Id");
	i += headers[i] != NULL;
	headers[i] = copied_header(mem, r, HEADER_DEADLINE_REMAINING);
	/* A route's prefix ends with a slash. */
	return talloc_asprintf(mem, "%s/", slash);
}
