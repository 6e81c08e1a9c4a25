/*
 * The closed list of error kinds and the table from kind to answer.
 *
 * ir_error_info() returns the table's row for a kind; a value outside of the
 * list gives the row of IR_E_INTERNAL. The rows are constants.
 */
#ifndef IBISRAIL_ERROR_H
#define IBISRAIL_ERROR_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of a request's execution. */
enum ir_outcome {
	IR_OUTCOME_RAN,
	IR_OUTCOME_NOT_RUN,
	IR_OUTCOME_UNKNOWN
};

enum ir_error {
	IR_OK,		  /* the upstream's whole answer */
	IR_E_BAD_REQUEST, /* malformed, or the key stands outside its header */
	IR_E_TOO_LARGE,	  /* body, header or path over its bound */
	IR_E_NO_KEY,	  /* no key on a route that needs one */
	IR_E_KEY_UNKNOWN, /* key not published, or withdrawn */
	IR_E_NO_ROUTE,	  /* no such service or route */
	IR_E_RATE,	  /* client account over its rate and burst */
	IR_E_OVERLOAD,	  /* shed at a gate or before it */
	IR_E_DEADLINE,	  /* cannot end in time, or did not start in time */
	IR_E_VIEW_UNCONFIRMED, /* the lease on the view has run out */
	IR_E_NO_HOST,	       /* no host of the service can be reached */
	IR_E_STOPPING,	       /* this process or the upstream is leaving */
	IR_E_WRONG_GATE,       /* sent to a host that must not serve it */
	IR_E_NEVER_RECEIVED,   /* a gate has no record of the attempt */
	IR_E_NO_PARENT,	       /* egress call without a running request */
	IR_E_CANCELLED,	       /* withdrawn before it was started */
	IR_E_CALLEE_OVERLOAD,  /* a service that it would call is overloaded */
	IR_E_UPSTREAM_SHED,    /* the upstream itself refused to run it */
	IR_E_UPSTREAM_FAILED,  /* connection to the upstream broke while running
				*/
	IR_E_TIMEOUT,	       /* no answer within the deadline */
	IR_E_HOST_LOST,	     /* the gate restarted while the attempt was out */
	IR_E_REPEAT_UNKNOWN, /* repeat of a key that a young gate cannot judge
			      */
	IR_E_ANSWER_DROPPED, /* ran, but the answer is no longer held */
	IR_E_INTERNAL,
	IR_ERROR_COUNT
};

struct ir_error_info {
	const char *name; /* as in the Ibisrail-Error header */
	uint16_t http_status;
	enum ir_outcome outcome;
	bool retry_elsewhere; /* another host may be asked at once */
	bool retry_later;     /* the caller may come back after a time */
	const char *text;     /* one sentence for the caller */
};

const struct ir_error_info *ir_error_info(enum ir_error kind);

/* "ran", "not-run" or "unknown". */
const char *ir_outcome_name(enum ir_outcome outcome);

#endif
