/* HTTP status, outcome, retry rules and text of each error kind. */
#include "ibisrail/error.h"

#define RAN IR_OUTCOME_RAN
#define NOT_RUN IR_OUTCOME_NOT_RUN
#define UNKNOWN IR_OUTCOME_UNKNOWN

static const struct ir_error_info table[IR_ERROR_COUNT] = {
    [IR_OK] = {"ok", 200, RAN, false, false, "Served."},
    [IR_E_BAD_REQUEST] = {"bad-request", 400, NOT_RUN, false, false,
	"The request is malformed."},
    [IR_E_TOO_LARGE] = {"too-large", 413, NOT_RUN, false, false,
	"A part of the request exceeds its bound."},
    [IR_E_NO_KEY] = {"no-key", 401, NOT_RUN, false, false,
	"This route needs a key."},
    [IR_E_KEY_UNKNOWN] = {"key-unknown", 401, NOT_RUN, false, false,
	"The key is not valid, or has been withdrawn."},
    [IR_E_NO_ROUTE] = {"no-route", 404, NOT_RUN, false, false,
	"No such service or route."},
    [IR_E_RATE] = {"rate", 429, NOT_RUN, false, true,
	"The client account is over its rate."},
    [IR_E_OVERLOAD] = {"overload", 503, NOT_RUN, true, true,
	"The service is overloaded."},
    [IR_E_DEADLINE] = {"deadline", 504, NOT_RUN, true, true,
	"The request could not be started within its deadline."},
    [IR_E_VIEW_UNCONFIRMED] = {"view-unconfirmed", 503, NOT_RUN, true, true,
	"The configuration could not be confirmed here."},
    [IR_E_NO_HOST] = {"no-host", 503, NOT_RUN, false, true,
	"No host of the service can be reached."},
    [IR_E_STOPPING] = {"stopping", 503, NOT_RUN, true, true,
	"This host is stopping."},
    [IR_E_WRONG_GATE] = {"wrong-gate", 503, NOT_RUN, true, true,
	"The host chosen does not serve this request."},
    [IR_E_NEVER_RECEIVED] = {"never-received", 503, NOT_RUN, true, true,
	"The request did not reach the host chosen."},
    [IR_E_NO_PARENT] = {"no-parent", 400, NOT_RUN, false, false,
	"The request that this call belongs to is not running."},
    [IR_E_CANCELLED] = {"cancelled", 503, NOT_RUN, false, true,
	"The request was cancelled before it started."},
    [IR_E_CALLEE_OVERLOAD] = {"callee-overload", 503, NOT_RUN, false, true,
	"A service that this request needs is overloaded or has no host."},
    [IR_E_UPSTREAM_SHED] = {"upstream-shed", 503, NOT_RUN, true, true,
	"The upstream refused to run the request."},
    [IR_E_UPSTREAM_FAILED] = {"upstream-failed", 502, UNKNOWN, false, false,
	"The upstream broke off; the request may have run."},
    [IR_E_TIMEOUT] = {"timeout", 504, UNKNOWN, false, false,
	"No answer within the deadline; the request may have run."},
    [IR_E_HOST_LOST] = {"host-lost", 502, UNKNOWN, false, false,
	"The host was lost; the request may have run."},
    [IR_E_REPEAT_UNKNOWN] = {"repeat-unknown", 409, UNKNOWN, false, false,
	"It is not known whether an earlier request with this "
	"Idempotency-Key ran."},
    [IR_E_ANSWER_DROPPED] = {"answer-dropped", 410, RAN, false, false,
	"The request ran, but its answer is no longer held."},
    [IR_E_INTERNAL] = {"internal", 500, UNKNOWN, false, false,
	"Internal error; the request may have run."},
    [IR_E_CRASHES_UPSTREAM] = {"crashes-upstream", 503, NOT_RUN, false, true,
	"Upstreams ended while they ran this request; it is not run for now."},
    [IR_E_REGION] = {"region", 503, NOT_RUN, false, true,
	"No host of the service is in a region allowed for this request."},
    [IR_E_CONFIG] = {"config", 503, NOT_RUN, false, true,
	"The configuration of the route or of the client account is invalid."},
};

const struct ir_error_info *
ir_error_info(enum ir_error kind)
{
	if ((unsigned)kind >= IR_ERROR_COUNT)
		kind = IR_E_INTERNAL;
	return &table[kind];
}

const char *
ir_outcome_name(enum ir_outcome outcome)
{
	switch (outcome) {
	case IR_OUTCOME_RAN:
		return "ran";
	case IR_OUTCOME_NOT_RUN:
		return "not-run";
	default:
		return "unknown";
	}
}
