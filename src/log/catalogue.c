/* The catalogue of log events. */
#include <stdlib.h>
#include <string.h>

#include "log/catalogue.h"

#define MAX_LINE_COLUMNS 78

static const struct ir_event_text table[] = {
    {IR_EVENT_STARTED,
	"callers_port, egress_port, peers_port, admin_port: the ports "
	"listened on; incarnation: of this process; version",
	"The process listens on all its ports. It serves once it has a view "
	"(GET /ready).",
	"Nothing. Publish the host as live when it is ready."},
    {IR_EVENT_STOPPING, "calls, open_records: what is held at this moment",
	"A graceful shutdown began: new callers are refused, what is held is "
	"ended, token buckets are handed over.",
	"Wait for \"stopped\"."},
    {IR_EVENT_STOPPED, "", "The process ends.",
	"Nothing after a planned stop. Else look at the line before it."},
    {IR_EVENT_SETTINGS_BAD, "error: file, key and what was expected",
	"The settings could not be read. The process ends.",
	"Correct the key that is named and start again."},
    {IR_EVENT_LISTEN_FAILED, "listener, address, port: which one; reason",
	"A listener could not be opened. The process ends.",
	"Look for another process on this address and port, or correct the "
	"settings."},
    {IR_EVENT_RING_FULL, "ring: which one; what: was to go through it",
	"A bounded ring between two threads was full; the work was refused "
	"and not run.",
	"A short burst needs nothing. If it goes on, the host has too little "
	"processor time."},
    {IR_EVENT_DESCRIPTORS_FEW,
	"limit: of open file descriptors, after it was raised as far as it "
	"may be; wanted: what all connections at their bounds take",
	"The process may run out of file descriptors before its bounds on "
	"connections are reached; new connections then wait or fail.",
	"Raise the hard limit of the service (LimitNOFILE, ulimit -n) to what "
	"is wanted."},
    {IR_EVENT_SETTINGS_READ,
	"why: signal or change; restart: the first key that differs and "
	"counts only after a restart, or none",
	"The settings were read again. Keys that may change while the process "
	"runs are in force.",
	"Restart the process when a key is named."},
    {IR_EVENT_LOG_DROPPED, "lines: how many did not fit the buffer",
	"The reader of the log stalled; lines were left out, requests went "
	"on.",
	"Look at what reads the process's standard output."},
    {IR_EVENT_MEMORY_SHORT,
	"state: short or relieved; process: its own pages, bytes; limit: of "
	"the settings, bytes; callers, calls, records, upstream, peers, "
	"rings: bytes "
	"held for each",
	"The process came close to the limit of its memory and takes no new "
	"work until it is well below; or it is.",
	"Compare what is held with the process: where the parts do not add up "
	"to it, views or the allocator hold the rest. If it returns, raise "
	"memory_mb with the limit of the service, or add hosts."},
    {IR_EVENT_VIEW_CHANGED,
	"config, list: the revisions of configuration and host list; hosts: "
	"how many the list names",
	"Newer configuration or a newer host list is in force here.",
	"Nothing. After a publication, look for its revision on every host."},
    {IR_EVENT_SECTION_REFUSED,
	"name, revision: of the section; error: the place and what was "
	"expected",
	"A published section does not parse. It is refused whole; the last "
	"good one stays in force.",
	"Correct it and publish it again with a higher generation."},
    {IR_EVENT_VIEW_STATE,
	"state: confirmed, outage or unconfirmed; age_ms: of the last "
	"confirmation",
	"The lease on the view was renewed or ran out. Outage: the "
	"configuration service answers nobody and the last view stays in "
	"force. Unconfirmed: this host may be cut off and refuses requests, "
	"not run.",
	"Unconfirmed: look for a network partition around this host. Outage: "
	"restore the configuration service; keys cannot be withdrawn until "
	"then."},
    {IR_EVENT_STORE_FAILED, "after_ms: how long the read took",
	"A read of the configuration service failed.",
	"Look at the configuration service and the network to it."},
    {IR_EVENT_STORE_BACK, "revision: the one read",
	"The configuration service answers again.", "Nothing."},
    {IR_EVENT_STORE_STALE, "revision: the one read; held: the one held",
	"The configuration service answered with an older revision than is "
	"held here. It is not taken.",
	"Look for a replica of the configuration service that lags."},
    {IR_EVENT_LINK_UP, "host: the other end",
	"A link to another host is in use.", "Nothing."},
    {IR_EVENT_LINK_LOST,
	"host or conn: the other end; why: the reason, of conn unsent-bytes "
	"or memory: it held most when a bound was exceeded",
	"A link to another host was lost. Requests on it are looked up over "
	"a new link.",
	"Nothing for one. Several at once show a network partition or a dead "
	"host."},
    {IR_EVENT_LINK_REFUSED,
	"host: the other end; named, expected: the name it gave, or took "
	"this host for",
	"Another process claimed to be a host that the list does not show "
	"there, or took this host for another.",
	"Expected for seconds after an address was given to another host. "
	"Else find out who connects."},
    {IR_EVENT_MESSAGE_BAD,
	"host or conn: where it came from; kind: of message; unlisted: 1 "
	"when the list does not name the host; reason",
	"A message from another process could not be taken.",
	"Compare the versions of both hosts."},
    {IR_EVENT_REQUEST_BAD, "error: the kind; reason",
	"A request was malformed or exceeded a bound; or its caller took "
	"nothing of the answer for 10 s (unread), or there was no room for "
	"more and it took nothing for 1 s, or held most of what callers had "
	"not taken (unread-memory), and the connection was ended.",
	"Tell its caller, if it repeats."},
    {IR_EVENT_KEY_REFUSED, "error: the kind; service: the one called",
	"A request came without a key where one is needed, or with a key "
	"that is not published, or no longer.",
	"Expected after a withdrawal, from callers that still use the key. "
	"Else a caller has a wrong key."},
    {IR_EVENT_OUTCOME_UNKNOWN,
	"error: the kind; service: the one called; account: the caller's; "
	"reason",
	"A request ended without it being known whether it ran. It was not "
	"sent again.",
	"For a charge or a reservation, compare with the upstream's own "
	"records of that account."},
    {IR_EVENT_UPSTREAM_BROKEN,
	"request, attempt: their ids; sent: 1 when the request had been sent; "
	"reason",
	"The local upstream did not take a connection, closed it while it "
	"ran a request, or cut its answer short; or, reason memory, this "
	"process had no room for the request or the answer.",
	"Look at the upstream's own log at this time. memory: look at the "
	"size of requests and answers."},
    {IR_EVENT_CALL_ADMITTED,
	"id: of the request, the caller's own where it gives one; service, "
	"account, deadline_ms: what it may do; account_importance, then "
	"importance: what goes before it; config: revision of the "
	"configuration that decided it; depth: calls above it",
	"A request was admitted at this entry.",
	"Nothing. ibisrailctl trace ID follows the request."},
    {IR_EVENT_CALL_REFUSED,
	"id; error; retry_ms: when the caller may come back; service, "
	"account, config: what decided it; reason: memory when there was no "
	"room to receive it or for its answer",
	"A request was refused at this entry before it was sent to a gate.",
	"rate: look at the account's rate and demand. no-route, key-unknown: "
	"compare config with the revision published. memory: callers send "
	"more, or read slower, than the process may hold."},
    {IR_EVENT_ATTEMPT_SENT,
	"id; attempt: its number at this entry; host: whose gate; try: which "
	"try this is; held, limit: the gate's work by its last report; "
	"age_ms: of that report, -1 without one",
	"The request was sent to a gate.", "Nothing."},
    {IR_EVENT_GATE_TOOK,
	"id; attempt; state: started or queued; running, queued, limit: at "
	"the gate; expected_ms: what a run takes; left_ms: to its deadline",
	"The gate took the request.", "Nothing."},
    {IR_EVENT_GATE_REFUSED,
	"id; attempt; error; started_percent: part of the route's fresh "
	"requests that is started; running, queued, limit, expected_ms, "
	"left_ms: what decided it; retry_ms: when to come back",
	"The gate refused the request; it did not run here.",
	"deadline: it could not end in time any more. overload: more "
	"important or earlier work fills the queue. callee-overload: runs of "
	"its route failed for calls that were refused below; look there."},
    {IR_EVENT_RUN_STARTED,
	"id; attempt; waited_ms: in the queue; left_ms: to its deadline; "
	"upstream: the id that was expected",
	"The request was handed to the local upstream.", "Nothing."},
    {IR_EVENT_RUN_ENDED,
	"id; attempt; error, status: what became of it; ms: since it was "
	"handed over",
	"A run ended, by the upstream's answer, its failure, or because "
	"nobody waits any more (cancelled, timeout).",
	"Long runs or failures of one host only: look at its upstream."},
    {IR_EVENT_CALL_ENDED,
	"id; error, outcome, status: what the caller was told; ms: since it "
	"was admitted; tries: gates that were asked; host: the last one",
	"The request got its one answer.", "Nothing."},
    {IR_EVENT_BUCKET_HANDED,
	"account: its name; bucket: its number; to: the host",
	"A token bucket of an account was handed to another host.", "Nothing."},
    {IR_EVENT_BUCKET_TAKEN, "account: its name; bucket: its number",
	"A token bucket of an account was taken over from a host that "
	"leaves.",
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

/* Appends a paragraph in lines of bounded width. */
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
