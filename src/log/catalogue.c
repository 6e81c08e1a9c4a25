/* The catalogue of log events: ibisrailctl explain, docs/EVENTS.md. */
#include <stdlib.h>
#include <string.h>

#include "log/catalogue.h"

#define MAX_LINE_COLUMNS 78

static const struct ir_event_text table[] = {
    {IR_EVENT_STARTED,
	"callers_port, egress_port, peers_port, admin_port: the ports that the "
	"process listens on; incarnation: of this process; version",
	"The process listens on all its ports. It serves requests once it has "
	"a view (GET /ready).",
	"Publish the host as live. It is ready after that."},
    {IR_EVENT_STOPPING,
	"calls, open_records: requests in progress at this moment",
	"A graceful shutdown began: new callers are refused, requests in "
	"progress are finished, and token buckets are handed over.",
	"Wait for \"stopped\"."},
    {IR_EVENT_STOPPED, "ms: since the signal", "The process exits.",
	"Nothing after a planned stop. Otherwise look at the log line before "
	"it."},
    {IR_EVENT_SETTINGS_BAD, "error: file, key and expected value",
	"The settings could not be read. The process ends.",
	"Correct the key that is named and start the process again."},
    {IR_EVENT_LISTEN_FAILED,
	"listener, address, port: the listener that failed; reason",
	"A listener could not be opened. The process ends.",
	"Look for another process that uses this address and port, or correct "
	"the settings."},
    {IR_EVENT_RING_FULL, "ring: its name; what: the item that did not fit",
	"A bounded ring between two threads was full. A call or run was "
	"refused and not run; a message to a peer (ring=peers) is sent later, "
	"or its call is refused. Reported once for each time that the ring to "
	"the peers gets full.",
	"Nothing for a short burst. If it persists, the host has too little "
	"processor time or memory."},
    {IR_EVENT_DESCRIPTORS_FEW,
	"limit: of open file descriptors, after it was raised as far as "
	"allowed; wanted: the number needed when all connections are at their "
	"bounds",
	"The process may run out of file descriptors before its bounds on "
	"connections are reached. New connections then wait or fail.",
	"Raise the hard limit of the service (LimitNOFILE, ulimit -n) to the "
	"number in wanted."},
    {IR_EVENT_SETTINGS_READ,
	"why: signal or change; restart: the first changed key that takes "
	"effect only after a restart, or none",
	"The settings were read again. Keys that can change while the process "
	"runs are in force.",
	"Restart the process if restart names a key."},
    {IR_EVENT_LOG_DROPPED, "lines: the number that did not fit in the buffer",
	"The reader of the log stalled and log lines were dropped. Requests "
	"were not delayed.",
	"Check the program that reads the process's standard output."},
    {IR_EVENT_MEMORY_SHORT,
	"state: short or relieved; process: its own pages, bytes; limit: from "
	"the settings, bytes; callers, calls, records, upstream, peers, rings: "
	"bytes held for each; sockets: receive buffers granted to "
	"connections, filled or not, which are not in process",
	"short: the process is close to its memory limit and accepts no new "
	"work until it is well below the limit. relieved: it is well below the "
	"limit again.",
	"Compare the bytes held with the size of the process: if they do not "
	"add up to it, views or the allocator hold the rest. If the event "
	"recurs, raise memory_mb together with the limit of the service, or "
	"add hosts."},
    {IR_EVENT_STOP_STAGE,
	"stage: drained, deadline, thread-ended or no-limit; ms: since the "
	"signal; "
	"calls, running, queued: unfinished work; thread: the one that ended",
	"A stage of a graceful shutdown was reached. drained: no request was "
	"in progress any more. deadline: drain_ms had passed, and the "
	"remaining requests are answered with an unknown outcome. "
	"thread-ended: the thread sent what it had to send, and ended. "
	"no-limit: the stop has no time limit, for lack of memory.",
	"Nothing. If a stop takes too long, the gap between two lines shows "
	"which stage takes the time. A process that does not log \"stopped\" "
	"was ended 600 ms after drain_ms, or after 14/15 of grace_s."},
    {IR_EVENT_CALLERS_CLOSED,
	"open: connections of callers at that moment; unread: those with bytes "
	"that were not read; unread_ms: longest time for which such bytes have "
	"waited; unanswered: those with a request that was read and has no "
	"answer; unsent: those with bytes that the caller has not received; "
	"queued: connections that were not accepted yet",
	"A process that stops closed the connections of callers that were "
	"left. "
	"Those that count in unread or queued were reset, and what counts in "
	"unanswered or unsent was lost.",
	"Nothing if all but open are 0, or unread_ms is a few milliseconds: a "
	"request may cross the end of its connection. Otherwise look at the "
	"stages of the stop, and whether the process had too little processor "
	"time."},
    {IR_EVENT_VIEW_CHANGED,
	"config, list: the revisions of configuration and host list; hosts: "
	"the number in the list",
	"A newer configuration or host list is in force here.",
	"Nothing. After a publication, look for its revision on every host."},
    {IR_EVENT_SECTION_REFUSED,
	"name, revision: of the section; error: the place and what was "
	"expected. Of an entry of the host list: key, revision; reason. Of an "
	"answer: part, config or hosts; revision that the last whole read "
	"reached; after: key that a page follows, if it is not the first; "
	"reason. In keys, '?' stands for each byte that is not visible ASCII",
	"A published section does not parse. The whole section is refused and "
	"its last valid version stays in force. Or an entry of the host list "
	"names no upstream, and the others hold; or an answer of the "
	"configuration service cannot be used, and is asked for again.",
	"Correct the section and publish it again with a higher generation. "
	"Find out who writes the entry. After an answer, read it from the "
	"service as the node does."},
    {IR_EVENT_ENTRIES_DROPPED,
	"name, revision: of the section; error: how many entries, and what was "
	"expected of the first",
	"Accounts, keys or routes of a published section are invalid. All "
	"others are in force. Requests with a key of such an account, or on "
	"such a route, get 503 and are not run; a key that two accounts have "
	"stands for the first, and of two routes for the same requests the "
	"first is used. A path of status checks that is invalid is not used.",
	"Correct the entries and publish the section again with a higher "
	"generation."},
    {IR_EVENT_ENTRY_NOT_USED,
	"key: of the entry; section: of its host; used: the key of the entry "
	"that describes the host, empty if none does",
	"The host list has several entries for one address, and this one does "
	"not count. It is that of an upstream that has ended, of its successor "
	"while that is not sure, or of another process on the host.",
	"Nothing, if it is that of a former upstream. Otherwise find out who "
	"writes it, if the service of the host is not served."},
    {IR_EVENT_VIEW_STATE,
	"state: confirmed, outage or unconfirmed; age_ms: of the last "
	"confirmation",
	"The lease on the view was renewed or expired. Outage: the "
	"configuration service answers no host and the last view stays in "
	"force. Unconfirmed: this host may be cut off and refuses requests, "
	"which are not run.",
	"Unconfirmed: look for a network partition around this host. Outage: "
	"restore the configuration service; keys cannot be withdrawn until "
	"then."},
    {IR_EVENT_STORE_FAILED, "after_ms: duration of the read",
	"A read of the configuration service failed.",
	"Check the configuration service and the network to it."},
    {IR_EVENT_STORE_BACK, "revision: the one read",
	"The configuration service answers again.", "Nothing."},
    {IR_EVENT_STORE_STALE,
	"revision: the one read; held: the one in force here",
	"The configuration service answered with an older revision than the "
	"one held here. The answer is ignored.",
	"Look for a replica of the configuration service that lags."},
    {IR_EVENT_STORE_RESTORED,
	"era, revision: of its answer; old_era: before; config, hosts: "
	"revisions read before",
	"The configuration service was restored from an older copy: revisions "
	"are given out again. Positions in its history are dropped, and all "
	"is read again.",
	"Check that the configuration published last is in force."},
    {IR_EVENT_ZONE_EVACUATION,
	"zone: its name; state: began or ended; list: revision of the host "
	"list",
	"The host list says that the zone is evacuated, or that it no longer "
	"is. From then on this host sends no requests to the upstreams there "
	"and, in that zone, its gate refuses them, not run. Callers in the "
	"zone "
	"are served elsewhere.",
	"Nothing if an operator evacuated the zone. All hosts log it within "
	"seconds: one that does not is cut off, see view-state."},
    {IR_EVENT_LINK_UP, "host: the other end",
	"A link to another host is in use.", "Nothing."},
    {IR_EVENT_LINK_LOST,
	"host or conn: the other end; why: the reason; for a conn, "
	"unsent-bytes or memory mean that it held most when a bound was "
	"exceeded",
	"A link to another host was lost. The status of requests on it is "
	"queried over a new link.",
	"Nothing for a single link. Several at once indicate a network "
	"partition or a dead host."},
    {IR_EVENT_LINK_REFUSED,
	"host: the other end; named: the name that it gave; expected: the name "
	"that it expected of this host",
	"Another process claimed to be a host that the list does not show at "
	"that address, or took this host for another one.",
	"Expected for some seconds after an address was given to another host. "
	"Otherwise find out which process connects."},
    {IR_EVENT_MESSAGE_BAD,
	"host or conn: the sender; kind: of message; unlisted: 1 when the list "
	"does not name the host; reason",
	"A message from another process could not be accepted.",
	"Compare the versions of both hosts."},
    {IR_EVENT_REQUEST_BAD, "error: the kind; reason",
	"A request was malformed or exceeded a bound. Or the caller did not "
	"read its answer and the connection was closed: it read nothing for 10 "
	"s (reason unread); or there was no room for more answers and it read "
	"nothing for 1 s, or held most of the unread bytes of all callers "
	"(reason unread-memory).",
	"If it recurs, inform the operator of the caller."},
    {IR_EVENT_KEY_REFUSED, "error: the kind; service: the one called",
	"A request came without a key where one is required, or with a key "
	"that is not published or has been withdrawn.",
	"Expected after a withdrawal, from callers that still use the key. "
	"Otherwise a caller has a wrong key."},
    {IR_EVENT_OUTCOME_UNKNOWN,
	"error: the kind; service: the one called; account: the caller's; "
	"reason",
	"A request ended and it is unknown whether it ran. It was not sent "
	"again.",
	"For a charge or a reservation, compare with the upstream's own "
	"records of that account."},
    {IR_EVENT_UPSTREAM_BROKEN,
	"request, attempt: their ids; sent: 1 when the request had been sent; "
	"reason",
	"The local upstream did not accept a connection, closed it during a "
	"request, or sent an incomplete answer. With reason memory, this "
	"process had no room for the request or the answer.",
	"Look at the upstream's own log at this time. memory: check the size "
	"of requests and answers."},
    {IR_EVENT_CALL_ADMITTED,
	"id: of the request, the caller's own if it gives one; service, "
	"account, deadline_ms: of the request; account_importance, importance: "
	"its priority, in this order; config: revision of the configuration "
	"that was applied; depth: number of calls above it",
	"A request was admitted at this entry.",
	"Nothing. ibisrailctl trace ID follows the request."},
    {IR_EVENT_CALL_REFUSED,
	"id; error; retry_ms: when the caller may retry; service, account, "
	"config: what the decision was based on; reason: memory when there was "
	"no room to receive the request or for its answer",
	"A request was refused at this entry before it was sent to a gate.",
	"rate: check the account's rate and its demand. no-route, key-unknown: "
	"compare config with the published revision. memory: callers send "
	"more, or read more slowly, than the memory of the process allows."},
    {IR_EVENT_ATTEMPT_SENT,
	"id; attempt: its number at this entry; host: of the gate; try: number "
	"of this try; held, limit: the gate's work by its last report; age_ms: "
	"of that report, -1 without one",
	"The request was sent to a gate.", "Nothing."},
    {IR_EVENT_GATE_TOOK,
	"id; attempt; state: started or queued; running, queued, limit: at the "
	"gate; expected_ms: expected duration of a run; left_ms: until its "
	"deadline",
	"The gate accepted the request.", "Nothing."},
    {IR_EVENT_GATE_REFUSED,
	"id; attempt; error; started_percent: share of the route's fresh "
	"requests that are started; running, queued, limit, expected_ms, "
	"left_ms: what the decision was based on; retry_ms: when to retry",
	"The gate refused the request; it did not run here.",
	"deadline: the request could no longer end in time. overload: more "
	"important or earlier requests fill the queue. callee-overload: runs "
	"of this route failed because services that they call refused "
	"requests; look at those services."},
    {IR_EVENT_RUN_STARTED,
	"id; attempt; waited_ms: in the queue; left_ms: until its deadline; "
	"upstream: the expected id",
	"The request was passed to the local upstream.", "Nothing."},
    {IR_EVENT_RUN_ENDED,
	"id; attempt; error, status: the result; ms: since the request was "
	"passed to the upstream",
	"A run ended: the upstream answered or failed, or no caller waits any "
	"more (cancelled, timeout).",
	"If only one host has long runs or failures, check its upstream."},
    {IR_EVENT_CALL_ENDED,
	"id; error, outcome, status: as sent to the caller; ms: since it was "
	"admitted; tries: number of gates tried; host: the last one; reason: "
	"answered, or why the caller's connection was closed before: "
	"caller-closed, caller-reset, send-failed by the caller; idle, unread, "
	"unread-memory, stopped by this host",
	"The request was answered, or its caller's connection was closed.",
	"Nothing if the caller closed it. Otherwise the caller lost an answer: "
	"see ibisrail_calls_cut_total and the lines before it."},
    {IR_EVENT_UPSTREAM_STATEMENT,
	"source: the attempt whose answer said so; limited; rate_mt_per_s: the "
	"rate that "
	"it takes, in thousandths of a request a second; leaving",
	"What the local upstream says of itself has changed.",
	"limited: look at the upstream's own log for what it lacks. leaving: "
	"nothing if its stop is planned."},
    {IR_EVENT_RUN_CRASHED,
	"id; attempt; method, path, account: of the request; ms: since the run "
	"was started",
	"The local upstream ended during this run, and accepts no connections. "
	"One of the runs with this event at that time may have ended it.",
	"Look at the upstream's own log. The same method, path and account at "
	"several ends name the request that causes them."},
    {IR_EVENT_REGION_REFUSED,
	"id; at: entry or gate; service; account: of the request, empty on "
	"open "
	"routes; allowed: the regions, separated by commas, or none; config: "
	"revision of the configuration here",
	"A request was refused, not run. At the entry: no live host of the "
	"service is in a region allowed by its route, its account and the run "
	"that made it. At a gate: this host is in none of them, so that the "
	"entry had another configuration or host list; it tries another host.",
	"At the entry: compare the allowed regions of the route and the "
	"account "
	"with those in which the service has hosts. At a gate: nothing, if it "
	"ends within seconds of a change."},
    {IR_EVENT_UPSTREAM_COLD,
	"state: warm, may-be-cold or cold; cause: config (also at "
	"the start of this process), upstream-id, evacuation-end, host-list, "
	"misdirected, runs, time or check; remaining_ms: for which it is "
	"expected to stay cold; "
	"rate_mt_per_s: of runs while it is not warm, in thousandths a second",
	"Whether the local upstream takes only its service's cold rate has "
	"changed. While it is not warm, this host starts runs at that rate and "
	"other hosts are preferred.",
	"Nothing after a start of the upstream. may-be-cold for long: the "
	"upstream does not answer its status check."},
    {IR_EVENT_CHECK_BAD,
	"status; value: of the header that is malformed; or bytes: read of an "
	"answer whose head is no HTTP; reason: its first fault",
	"The local upstream answered a status check with a value that is not a "
	"number of milliseconds, or with a head that is not one of HTTP/1.x. "
	"The check is repeated.",
	"Correct the upstream."},
    {IR_EVENT_UPSTREAM_REPORTS,
	"attempt: whose answer showed it; speed: 1 when reports appeared, 0 "
	"when they stopped; slots, work_percent: as reported last, 100 is the "
	"usual duration of work",
	"The local upstream has begun to report how fast its machine is, or "
	"for a second its answers had no such report that could be used.",
	"speed 0 without a new version of the upstream: compare the load "
	"header of its answers with ibisrail_load_reports_refused_total."},
    {IR_EVENT_BUCKET_HANDED,
	"account: its name; bucket: its number; to: the host",
	"A token bucket of an account was handed over to another host.",
	"Nothing."},
    {IR_EVENT_BUCKET_TAKEN, "account: its name; bucket: its number",
	"A token bucket of an account was taken over from a host that is "
	"leaving.",
	"Nothing."},
};

#define ROWS (sizeof(table) / sizeof(table[0]))

const struct ir_event_text *
ir_event_text(enum ir_event event)
{
	for (size_t i = 0; i < ROWS; i++) {
		if (table[i].event == event)
			return &table[i];
	}
	return NULL;
}

const struct ir_event_info *
ir_event_find(const char *name_or_number)
{
	const struct ir_event_info *e;
	char *end;
	long n;

	for (e = ir_event_table(); e->name != NULL; e++) {
		if (strcmp(e->name, name_or_number) == 0)
			return e;
	}
	n = strtol(name_or_number, &end, 10);
	if (end == name_or_number || *end != '\0')
		return NULL;
	return ir_event_info((enum ir_event)n);
}

const char *
ir_level_name(enum ir_level level)
{
	static const char *const names[] = {
	    [IR_LEVEL_ERROR] = "error",
	    [IR_LEVEL_WARNING] = "warning",
	    [IR_LEVEL_NOTICE] = "notice",
	    [IR_LEVEL_DEBUG] = "debug",
	};

	if ((unsigned)level > IR_LEVEL_DEBUG)
		return "unknown";
	return names[level];
}

/* Appends a paragraph, wrapped at MAX_LINE_COLUMNS. */
static char *
append_wrapped(char *out, const char *text)
{
	size_t column = 0;
	size_t n;

	while (*text != '\0') {
		n = strcspn(text, " ");
		if (column > 0 && column + 1 + n > MAX_LINE_COLUMNS) {
			out = talloc_strdup_append_buffer(out, "\n");
			column = 0;
		}
		out = talloc_asprintf_append_buffer(
		    out, "%s%.*s", column > 0 ? " " : "", (int)n, text);
		column += n + (column > 0);
		text += n + (text[n] == ' ');
	}
	return talloc_strdup_append_buffer(out, "\n");
}

static char *
append_row(char *out, const struct ir_event_info *e)
{
	const struct ir_event_text *t = ir_event_text(e->event);
	char *fields, *action;

	out = talloc_asprintf_append_buffer(out, "\n## %d %s\n\nLevel: %s.\n",
	    e->event, e->name, ir_level_name(e->level));
	if (t == NULL)
		return out;
	fields = talloc_asprintf(NULL, "Fields: %s.", t->fields);
	action = talloc_asprintf(NULL, "What to do: %s", t->action);
	if (t->fields[0] != '\0')
		out = append_wrapped(out, fields);
	out = talloc_strdup_append_buffer(out, "\n");
	out = append_wrapped(out, t->meaning);
	out = talloc_strdup_append_buffer(out, "\n");
	out = append_wrapped(out, action);
	talloc_free(fields);
	talloc_free(action);
	return out;
}

char *
ir_catalogue_markdown(TALLOC_CTX *mem)
{
	const struct ir_event_info *e;
	char *out;

	out = talloc_strdup(mem,
	    "# Log events\n"
	    "\n"
	    "ibisraild writes one JSON object a line on standard error:\n"
	    "\n"
	    "    {\"time\":\"...\",\"event\":300,\"name\":\"link-up\","
	    "\"level\":\"notice\",\n"
	    "     \"host\":\"search-1\",\"fields\":{\"peer\":\"stock-2\"}}\n"
	    "\n"
	    "Repeats of one event beyond 20 a second are left out; the "
	    "event's next line\n"
	    "counts them in \"suppressed\". `ibisrailctl explain EVENT` "
	    "prints an entry of\n"
	    "this page, `ibisrailctl explain --all` the page.\n");
	for (e = ir_event_table(); e->name != NULL; e++)
		out = append_row(out, e);
	return out;
}
