/* Names and help texts of the counters. */
#include <stddef.h>

#include "ibisrail/counter.h"

struct counter_text {
	const char *name;
	const char *help;
};

static const struct counter_text texts[IR_COUNTER_COUNT] = {
    [IR_COUNTER_CALLS] = {"ibisrail_calls_total", "Requests from callers."},
    [IR_COUNTER_EGRESS_CALLS] = {"ibisrail_egress_calls_total",
	"Requests from the local upstream to other services."},
    [IR_COUNTER_ANSWERED] = {"ibisrail_answered_total",
	"Calls that got the upstream's answer."},
    [IR_COUNTER_REFUSED] = {"ibisrail_refused_total",
	"Calls refused, not run."},
    [IR_COUNTER_OUTCOME_UNKNOWN] = {"ibisrail_unknown_total",
	"Calls whose outcome is unknown."},
    [IR_COUNTER_ATTEMPTS] = {"ibisrail_attempts_total",
	"Attempts sent to gates."},
    [IR_COUNTER_RETRIES] = {"ibisrail_retries_total",
	"Attempts after the first."},
    [IR_COUNTER_RETRIES_DENIED] = {"ibisrail_retries_denied_total",
	"Retries that no token or budget allowed."},
    [IR_COUNTER_RUNS] = {"ibisrail_runs_total",
	"Requests started at the local upstream."},
    [IR_COUNTER_GATE_REFUSED] = {"ibisrail_gate_refused_total",
	"Work that the gate refused."},
    [IR_COUNTER_CANCELLED] = {"ibisrail_cancelled_total",
	"Work cancelled by its caller."},
    [IR_COUNTER_REPEATS_ATTACHED] = {"ibisrail_repeats_attached_total",
	"Repeats that found the record of an earlier attempt."},
    [IR_COUNTER_TOKENS_SPENT] = {"ibisrail_tokens_spent_total",
	"Rate tokens spent on admitted calls."},
    [IR_COUNTER_TOKENS_EXPIRED] = {"ibisrail_tokens_expired_total",
	"Rate tokens granted but not spent in time."},
    [IR_COUNTER_GRANT_REQUESTS] = {"ibisrail_grant_asks_total",
	"Asks for rate tokens sent to minters."},
    [IR_COUNTER_GRANTS_ISSUED] = {"ibisrail_grants_given_total",
	"Grants of rate tokens given as minter."},
    [IR_COUNTER_RATE_REFUSED] = {"ibisrail_rate_refused_total",
	"Calls refused because the account is over its rate."},
    [IR_COUNTER_MESSAGES_RECEIVED] = {"ibisrail_messages_in_total",
	"Messages received from other nodes."},
    [IR_COUNTER_MESSAGES_SENT] = {"ibisrail_messages_out_total",
	"Messages sent to other nodes."},
    [IR_COUNTER_MESSAGES_REJECTED] = {"ibisrail_messages_bad_total",
	"Messages from other nodes that could not be taken."},
    [IR_COUNTER_LINKS_LOST] = {"ibisrail_links_lost_total",
	"Links to other nodes lost."},
    [IR_COUNTER_VIEW_REQUESTS] = {"ibisrail_view_asks_total",
	"Asks for a newer view sent to other nodes."},
    [IR_COUNTER_VIEW_SECTIONS_SENT] = {"ibisrail_view_sections_sent_total",
	"Sections of the view sent to other nodes."},
    [IR_COUNTER_VIEW_BYTES_SENT] = {"ibisrail_view_bytes_sent_total",
	"Bytes of the sections sent to other nodes."},
    [IR_COUNTER_VIEWS_DROPPED] = {"ibisrail_views_dropped_total",
	"Times that queued views to a node were dropped to free memory."},
    [IR_COUNTER_STORE_READS] = {"ibisrail_store_reads_total",
	"Reads of the configuration service."},
    [IR_COUNTER_SECTIONS_APPLIED] = {"ibisrail_sections_taken_total",
	"Sections of the view taken."},
    [IR_COUNTER_SECTIONS_REFUSED] = {"ibisrail_sections_refused_total",
	"Sections of the view refused as invalid."},
    [IR_COUNTER_ENTRIES_DROPPED] = {"ibisrail_entries_dropped_total",
	"Sections of the view taken without entries that are invalid."},
    [IR_COUNTER_RING_FULL] = {"ibisrail_ring_full_total",
	"Items refused because a ring between threads was full."},
    [IR_COUNTER_CALLS_CUT] = {"ibisrail_calls_cut_total",
	"Calls in progress whose caller's connection this node closed."},
    [IR_COUNTER_EVACUATION_REFUSED] = {"ibisrail_evacuation_refused_total",
	"Attempts refused by the gate, not run, as its zone is evacuated."},
    [IR_COUNTER_RUNS_CRASHED] = {"ibisrail_runs_crashed_total",
	"Runs during which the local upstream ended."},
    [IR_COUNTER_REGION_REFUSED] = {"ibisrail_region_refused_total",
	"Calls and attempts refused for their allowed regions."},
    [IR_COUNTER_STATUS_CHECKS] = {"ibisrail_status_checks_total",
	"Status checks sent to the local upstream."},
    [IR_COUNTER_COLD_DELAYED] = {"ibisrail_cold_delayed_total",
	"Work that the gate queued while its upstream was or may be cold."},
    [IR_COUNTER_COLD_REFUSED] = {"ibisrail_cold_refused_total",
	"Work that the gate refused while its upstream was or may be cold."},
    [IR_COUNTER_LOAD_REPORTS_REFUSED] = {"ibisrail_load_reports_refused_total",
	"Answers of the local upstream whose report of its load was no use."},
};

const char *
ir_counter_name(enum ir_counter c)
{
	if ((unsigned)c >= IR_COUNTER_COUNT)
		return NULL;
	return texts[c].name;
}

const char *
ir_counter_help(enum ir_counter c)
{
	if ((unsigned)c >= IR_COUNTER_COUNT)
		return NULL;
	return texts[c].help;
}
