/* Numbers, levels and names of log events. */
#include <stddef.h>

#include "ibisrail/event.h"

static const struct ir_event_info table[] = {
    {IR_EVENT_STARTED, IR_LEVEL_NOTICE, "started"},
    {IR_EVENT_STOPPING, IR_LEVEL_NOTICE, "stopping"},
    {IR_EVENT_STOPPED, IR_LEVEL_NOTICE, "stopped"},
    {IR_EVENT_SETTINGS_BAD, IR_LEVEL_ERROR, "settings-bad"},
    {IR_EVENT_LISTEN_FAILED, IR_LEVEL_ERROR, "listen-failed"},
    {IR_EVENT_RING_FULL, IR_LEVEL_WARNING, "ring-full"},
    {IR_EVENT_DESCRIPTORS_FEW, IR_LEVEL_WARNING, "descriptors-few"},
    {IR_EVENT_SETTINGS_READ, IR_LEVEL_NOTICE, "settings-read"},
    {IR_EVENT_LOG_DROPPED, IR_LEVEL_WARNING, "log-dropped"},
    {IR_EVENT_MEMORY_SHORT, IR_LEVEL_WARNING, "memory-short"},
    {IR_EVENT_STOP_STAGE, IR_LEVEL_NOTICE, "stop-stage"},
    {IR_EVENT_CALLERS_CLOSED, IR_LEVEL_NOTICE, "callers-closed"},
    {IR_EVENT_VIEW_CHANGED, IR_LEVEL_NOTICE, "view-changed"},
    {IR_EVENT_SECTION_REFUSED, IR_LEVEL_ERROR, "section-refused"},
    {IR_EVENT_VIEW_STATE, IR_LEVEL_WARNING, "view-state"},
    {IR_EVENT_STORE_FAILED, IR_LEVEL_WARNING, "store-failed"},
    {IR_EVENT_STORE_BACK, IR_LEVEL_NOTICE, "store-back"},
    {IR_EVENT_STORE_STALE, IR_LEVEL_WARNING, "store-stale"},
    {IR_EVENT_STORE_RESTORED, IR_LEVEL_WARNING, "store-restored"},
    {IR_EVENT_ZONE_EVACUATION, IR_LEVEL_NOTICE, "zone-evacuation"},
    {IR_EVENT_ENTRIES_DROPPED, IR_LEVEL_ERROR, "entries-dropped"},
    {IR_EVENT_ENTRY_NOT_USED, IR_LEVEL_NOTICE, "entry-not-used"},
    {IR_EVENT_LINK_UP, IR_LEVEL_NOTICE, "link-up"},
    {IR_EVENT_LINK_LOST, IR_LEVEL_WARNING, "link-lost"},
    {IR_EVENT_LINK_REFUSED, IR_LEVEL_WARNING, "link-refused"},
    {IR_EVENT_MESSAGE_BAD, IR_LEVEL_WARNING, "message-bad"},
    {IR_EVENT_REQUEST_BAD, IR_LEVEL_WARNING, "request-bad"},
    {IR_EVENT_KEY_REFUSED, IR_LEVEL_WARNING, "key-refused"},
    {IR_EVENT_OUTCOME_UNKNOWN, IR_LEVEL_WARNING, "outcome-unknown"},
    {IR_EVENT_UPSTREAM_BROKEN, IR_LEVEL_WARNING, "upstream-broken"},
    {IR_EVENT_CALL_ADMITTED, IR_LEVEL_NOTICE, "call-admitted"},
    {IR_EVENT_CALL_REFUSED, IR_LEVEL_NOTICE, "call-refused"},
    {IR_EVENT_ATTEMPT_SENT, IR_LEVEL_NOTICE, "attempt-sent"},
    {IR_EVENT_GATE_TOOK, IR_LEVEL_NOTICE, "gate-took"},
    {IR_EVENT_GATE_REFUSED, IR_LEVEL_NOTICE, "gate-refused"},
    {IR_EVENT_RUN_STARTED, IR_LEVEL_NOTICE, "run-started"},
    {IR_EVENT_RUN_ENDED, IR_LEVEL_NOTICE, "run-ended"},
    {IR_EVENT_CALL_ENDED, IR_LEVEL_NOTICE, "call-ended"},
    {IR_EVENT_UPSTREAM_STATEMENT, IR_LEVEL_NOTICE, "upstream-statement"},
    {IR_EVENT_RUN_CRASHED, IR_LEVEL_WARNING, "run-crashed"},
    {IR_EVENT_REGION_REFUSED, IR_LEVEL_NOTICE, "region-refused"},
    {IR_EVENT_UPSTREAM_COLD, IR_LEVEL_NOTICE, "upstream-cold"},
    {IR_EVENT_CHECK_BAD, IR_LEVEL_WARNING, "check-bad"},
    {IR_EVENT_UPSTREAM_REPORTS, IR_LEVEL_NOTICE, "upstream-reports"},
    {IR_EVENT_BUCKET_HANDED, IR_LEVEL_NOTICE, "bucket-handed"},
    {IR_EVENT_BUCKET_TAKEN, IR_LEVEL_NOTICE, "bucket-taken"},
    {0, IR_LEVEL_DEBUG, NULL},
};

const struct ir_event_info *
ir_event_info(enum ir_event event)
{
	const struct ir_event_info *e;

	for (e = table; e->name != NULL; e++) {
		if (e->event == event)
			return e;
	}
	return NULL;
}

const struct ir_event_info *
ir_event_table(void)
{
	return table;
}
