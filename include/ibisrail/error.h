/*
 * Error kinds, and how each of them is answered.
 *
 * ir_error_info() returns the constant properties of a kind. For a value out of
 * range it returns those of IR_E_INTERNAL.
 */
#ifndef IBISRAIL_ERROR_H
#define IBISRAIL_ERROR_H

#include <stdbool.h>
#include <stdint.h>

/* Whether the upstream executed a request, as far as is known. */
enum ir_outcome {
	IR_OUTCOME_RAN,
	IR_OUTCOME_NOT_RUN,
	IR_OUTCOME_UNKNOWN
};

enum ir_error {
	IR_OK,		  /* the upstream's complete answer */
	IR_E_BAD_REQUEST, /* malformed, or the key is not in its header */
	IR_E_TOO_LARGE,	  /* body, header or path exceeds its bound */
	IR_E_NO_KEY,	  /* no key on a route that requires one */
	IR_E_KEY_UNKNOWN, /* key not published, or withdrawn */
	IR_E_NO_ROUTE,	  /* no such service or route */
	IR_E_RATE,	  /* client account exceeds its rate and burst */
	IR_E_OVERLOAD,	  /* load shedding, at a gate or before it */
	IR_E_DEADLINE,	  /* cannot end in time, or was not started in time */
	IR_E_VIEW_UNCONFIRMED, /* the lease on the view has expired */
	IR_E_NO_HOST,	       /* no host of the service can be reached */
	IR_E_STOPPING,	 /* this process or its upstream is shutting down */
	IR_E_WRONG_GATE, /* the receiving host must not serve this request */
	IR_E_NEVER_RECEIVED, /* the gate has no record of the attempt */
	IR_E_NO_PARENT, /* egress call whose parent request is not running */
	IR_E_CANCELLED, /* cancelled before it was started */
	IR_E_CALLEE_OVERLOAD, /* a service that the request calls is overloaded
			       */
	IR_E_UPSTREAM_SHED,   /* refused by the upstream, not run */
	IR_E_UPSTREAM_FAILED, /* upstream connection broke during the run */
	IR_E_TIMEOUT,	      /* no answer within the deadline */
	IR_E_HOST_LOST,	     /* the gate restarted with the attempt in flight */
	IR_E_REPEAT_UNKNOWN, /* the gate may have no record of an earlier use of
				the key */

	IR_E_ANSWER_DROPPED, /* ran, but the answer is no longer stored */
	IR_E_INTERNAL,
	IR_E_CRASHES_UPSTREAM, /* upstreams ended while they ran the request */
	IR_E_REGION, /* no host in the regions allowed for the request */
	IR_E_CONFIG, /* the route's or account's configuration is invalid */
	IR_ERROR_COUNT
};

struct ir_error_info {
	const char *name; /* value of the Ibisrail-Error header */
	uint16_t http_status;
	enum ir_outcome outcome;
	bool retry_elsewhere; /* may be sent to another host at once */
	bool retry_later;     /* the caller may retry after a delay */
	const char *text;     /* one sentence, for the body of the answer */
};

const struct ir_error_info *ir_error_info(enum ir_error kind);

/* "ran", "not-run" or "unknown". */
const char *ir_outcome_name(enum ir_outcome outcome);

#endif
