/* The admin thread. */
#include <json.h>
#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>

#include "ibisrail/version.h"
#include "io/admin/admin.h"
#include "io/clock.h"
#include "metric/exposition.h"

#define CONNECTION_TIMEOUT_S 10
#define REPORT_TIMEOUT_US (2 * IR_US_PER_S)
#define REPORT_POLL_MS 100
#define MS_PER_S 1000

/* One for operators, one for metric collectors. */
#define MAX_LISTENERS 2

struct ir_admin {
	struct ir_channel *channel;
	const char *host;
	const char *ready_path;
	struct MHD_Daemon *daemons[MAX_LISTENERS];
	size_t daemon_count;
	struct ir_wakeup *stop_wakeup;
	bool stopping;
	pthread_t thread;
};

static struct ir_from_core *
pop_report(struct ir_channel *channel, uint64_t id)
{
	struct ir_from_core *m;

	while ((m = ir_ring_pop(channel->from_core)) != NULL) {
		if (m->kind == IR_FROM_CORE_REPORT && m->id == id)
			return m;
		talloc_free(m);
	}
	return NULL;
}

struct ir_from_core *
ir_admin_fetch_report(struct ir_channel *channel, enum ir_report_kind kind)
{
	struct ir_to_core *request = ir_to_core_new(IR_TO_CORE_REPORT_REQUEST);
	struct pollfd p = {
	    .fd = ir_wakeup_fd(channel->wakeup), .events = POLLIN};
	int64_t end = ir_clock_now() + REPORT_TIMEOUT_US;
	uint64_t id = (uint64_t)end;
	struct ir_from_core *m;

	request->id = id;
	request->report = kind;
	if (!ir_ring_push(channel->to_core, request)) {
		talloc_free(request);
		return NULL;
	}
	do {
		ir_wakeup_arm(channel->wakeup);
		if (ir_ring_empty(channel->from_core))
			poll(&p, 1, REPORT_POLL_MS);
		ir_wakeup_disarm(channel->wakeup);
		m = pop_report(channel, id);
	} while (m == NULL && ir_clock_now() < end);
	return m;
}

static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned status, const char *type,
    const char *text)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	/* The library copies text; its parameter lacks the const. */
	response = MHD_create_response_from_buffer(
	    strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	if (response == NULL)
		return MHD_NO;
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
respond_text(
    struct MHD_Connection *connection, unsigned status, const char *text)
{
	return respond(connection, status, "text/plain; charset=utf-8", text);
}

static int64_t
held_bytes(const struct ir_memory *m, enum ir_memory_use use)
{
	return (int64_t)ir_memory_held(m, use);
}

static enum MHD_Result
respond_metrics(struct ir_admin *a, struct MHD_Connection *connection,
    struct ir_from_core *m, const struct ir_gauge *gauges, size_t count)
{
	const struct ir_metric_set e = {
	    &m->u.report.counters, gauges, count, &m->u.report.histograms};
	const char *text = ir_exposition_write(m, a->host, &e);

	if (text == NULL)
		return MHD_NO;
	return respond(
	    connection, MHD_HTTP_OK, IR_EXPOSITION_CONTENT_TYPE, text);
}

#define MAX_GAUGES 64

/* A growing list of gauges. */
struct gauge_list {
	struct ir_gauge gauges[MAX_GAUGES];
	size_t count;
};

static void
append_gauges(struct gauge_list *l, const struct ir_gauge *gauges, size_t count)
{
	for (size_t i = 0; i < count && l->count < MAX_GAUGES; i++)
		l->gauges[l->count++] = gauges[i];
}

static void
append_node_gauges(struct gauge_list *l, const struct ir_node_gauges *g)
{
	const struct ir_gauge gauges[] = {
	    {"ibisrail_calls", "Requests that have no answer yet.", g->calls},
	    {"ibisrail_gate_running", "Runs at the local upstream.",
		g->gate_running},
	    {"ibisrail_gate_queued", "Work that waits at the gate.",
		g->gate_queued},
	    {"ibisrail_gate_limit", "Runs that the gate allows at a time.",
		g->gate_limit},
	    {"ibisrail_upstream_rate_limit",
		"Requests a second, in thousandths, that the upstream says it "
		"takes; -1: it names no limit.",
		g->upstream_rate_limit_mt_per_s},
	    {"ibisrail_upstream_leaving",
		"Whether the upstream says that it leaves.",
		g->upstream_leaving},
	    {"ibisrail_upstream_ended",
		"Whether the upstream ended and has not answered since.",
		g->upstream_ended},
	    {"ibisrail_upstream_cold",
		"0: the upstream is warm; 1: it may be cold; 2: it is cold.",
		g->upstream_cold},
	    {"ibisrail_upstream_slots",
		"Requests that the upstream says it runs at a time; 0: "
		"unknown, or it does not report its speed.",
		g->upstream_slots},
	    {"ibisrail_upstream_work_percent",
		"Duration of work at the upstream as it reports it, 100 is "
		"usual; -1: unknown.",
		g->upstream_work_percent},
	    {"ibisrail_suspect_requests",
		"Requests during which upstreams of the service ended.",
		g->suspects},
	    {"ibisrail_gate_records",
		"Attempts that the gate remembers, answered or not.",
		g->records},
	    {"ibisrail_hosts", "Hosts that the list names.", g->hosts},
	    {"ibisrail_config_revision", "Of the configuration in force.",
		g->config_revision},
	    {"ibisrail_list_revision", "Of the host list in force.",
		g->list_revision},
	    {"ibisrail_view_age_milliseconds",
		"Since the view was confirmed; -1: never.", g->view_age_ms},
	};

	append_gauges(l, gauges, sizeof(gauges) / sizeof(gauges[0]));
}

static void
append_memory_gauges(struct gauge_list *l, const struct ir_memory *mem)
{
	const struct ir_gauge gauges[] = {
	    {"ibisrail_memory_limit_bytes",
		"Above it the process is ended, or the default that divides.",
		(int64_t)mem->limit_bytes},
	    {"ibisrail_memory_process_bytes",
		"The process's own pages, those of files not counted.",
		(int64_t)mem->process_bytes},
	    {"ibisrail_memory_callers_bytes",
		"Requests being read and answers not yet sent.",
		held_bytes(mem, IR_MEMORY_CALLERS)},
	    {"ibisrail_memory_calls_bytes", "Calls that have no answer yet.",
		held_bytes(mem, IR_MEMORY_CALLS)},
	    {"ibisrail_memory_records_bytes",
		"Attempts at the gate, and their answers.",
		held_bytes(mem, IR_MEMORY_RECORDS)},
	    {"ibisrail_memory_upstream_bytes",
		"Requests being sent and answers being read.",
		held_bytes(mem, IR_MEMORY_UPSTREAM)},
	    {"ibisrail_memory_peers_bytes",
		"Messages being read and those not yet sent.",
		held_bytes(mem, IR_MEMORY_PEERS)},
	    {"ibisrail_memory_rings_bytes",
		"Messages between threads, on their way.",
		held_bytes(mem, IR_MEMORY_RINGS)},
	    {"ibisrail_memory_sockets_bytes",
		"Receive buffers granted to connections, filled or not.",
		(int64_t)ir_memory_sockets_held(mem)},
	};

	append_gauges(l, gauges, sizeof(gauges) / sizeof(gauges[0]));
}

static enum MHD_Result
respond_counters(struct ir_admin *a, struct MHD_Connection *connection,
    struct ir_from_core *m)
{
	struct gauge_list l = {.count = 0};

	append_node_gauges(&l, &m->u.report.gauges);
	append_memory_gauges(&l, &m->u.report.memory);
	return respond_metrics(a, connection, m, l.gauges, l.count);
}

static enum MHD_Result
respond_report(struct ir_admin *a, struct MHD_Connection *connection,
    enum ir_report_kind kind, struct ir_from_core *m)
{
	struct json_object *json = m->u.report.json;

	if (kind == IR_REPORT_READY)
		return m->u.report.ready
			   ? respond_text(connection, MHD_HTTP_OK, "ready\n")
			   : respond_text(connection,
				 MHD_HTTP_SERVICE_UNAVAILABLE, "not ready\n");
	if (kind == IR_REPORT_COUNTERS)
		return respond_counters(a, connection, m);
	return respond(connection, MHD_HTTP_OK, "application/json",
	    json_object_to_json_string_ext(json, JSON_C_TO_STRING_PRETTY));
}

static enum MHD_Result
request_and_respond(struct ir_admin *a, struct MHD_Connection *connection,
    enum ir_report_kind kind)
{
	struct ir_from_core *m = ir_admin_fetch_report(a->channel, kind);
	enum MHD_Result result;

	if (m == NULL)
		return respond_text(connection, MHD_HTTP_SERVICE_UNAVAILABLE,
		    "The core does not answer.\n");
	result = respond_report(a, connection, kind, m);
	talloc_free(m);
	return result;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **con_cls)
{
	struct ir_admin *a = cls;

	/* Before its body is read, so that it need not end. */
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return respond_text(
		    connection, MHD_HTTP_METHOD_NOT_ALLOWED, "Only GET.\n");
	if (*con_cls == NULL) {
		*con_cls = a;
		return MHD_YES;
	}
	/* No GET has a body: closes the connection, with all of it unread. */
	if (*size > 0) {
		*size = 0;
		return MHD_NO;
	}
	if (strcmp(url, "/state") == 0)
		return request_and_respond(a, connection, IR_REPORT_STATE);
	if (strcmp(url, "/counters") == 0 || strcmp(url, "/metrics") == 0)
		return request_and_respond(a, connection, IR_REPORT_COUNTERS);
	if (strcmp(url, a->ready_path) == 0)
		return request_and_respond(a, connection, IR_REPORT_READY);
	if (strcmp(url, "/version") == 0)
		return respond_text(connection, MHD_HTTP_OK, IR_VERSION "\n");
	return respond_text(connection, MHD_HTTP_NOT_FOUND, "No such page.\n");
}

static bool
start_listener(struct ir_admin *a, int listen_fd)
{
	struct MHD_Daemon *d = MHD_start_daemon(MHD_USE_EPOLL, 0, NULL, NULL,
	    on_request, a, MHD_OPTION_LISTEN_SOCKET, listen_fd,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)IR_MAX_ADMIN_CONNECTIONS,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_TIMEOUT_S,
	    MHD_OPTION_END);

	if (d == NULL)
		return false;
	a->daemons[a->daemon_count++] = d;
	return true;
}

static int
poll_timeout_ms(const struct ir_admin *a)
{
	int timeout_ms = CONNECTION_TIMEOUT_S * MS_PER_S;

	for (size_t i = 0; i < a->daemon_count; i++) {
		MHD_UNSIGNED_LONG_LONG ms;

		if (MHD_get_timeout(a->daemons[i], &ms) == MHD_YES &&
		    ms < (MHD_UNSIGNED_LONG_LONG)timeout_ms)
			timeout_ms = (int)ms;
	}
	return timeout_ms;
}

/* Serves both listeners: only one thread may request reports. */
static void *
run_admin_thread(void *ctx)
{
	struct ir_admin *a = ctx;
	struct pollfd p[MAX_LISTENERS + 1];

	for (size_t i = 0; i < a->daemon_count; i++) {
		p[i].fd =
		    MHD_get_daemon_info(a->daemons[i], MHD_DAEMON_INFO_EPOLL_FD)
			->epoll_fd;
		p[i].events = POLLIN;
	}
	p[a->daemon_count].fd = ir_wakeup_fd(a->stop_wakeup);
	p[a->daemon_count].events = POLLIN;
	while (!__atomic_load_n(&a->stopping, __ATOMIC_ACQUIRE)) {
		ir_wakeup_arm(a->stop_wakeup);
		poll(p, a->daemon_count + 1, poll_timeout_ms(a));
		ir_wakeup_disarm(a->stop_wakeup);
		for (size_t i = 0; i < a->daemon_count; i++)
			MHD_run(a->daemons[i]);
	}
	return NULL;
}

static int
free_admin(struct ir_admin *a)
{
	for (size_t i = 0; i < a->daemon_count; i++)
		MHD_stop_daemon(a->daemons[i]);
	return 0;
}

struct ir_admin *
ir_admin_start(TALLOC_CTX *mem, struct ir_channel *channel, const char *host,
    const char *ready_path, int listen_fd, int metrics_fd)
{
	struct ir_admin *a = talloc_zero(mem, struct ir_admin);

	if (a == NULL)
		return NULL;
	talloc_set_destructor(a, free_admin);
	a->channel = channel;
	a->host = host;
	a->ready_path = ready_path;
	a->stop_wakeup = ir_wakeup_new(a);
	if (a->stop_wakeup == NULL || !start_listener(a, listen_fd))
		goto fail;
	if (metrics_fd >= 0 && !start_listener(a, metrics_fd))
		goto fail;
	if (pthread_create(&a->thread, NULL, run_admin_thread, a) != 0)
		goto fail;
	return a;

fail:
	talloc_free(a);
	return NULL;
}

void
ir_admin_stop(struct ir_admin *a)
{
	__atomic_store_n(&a->stopping, true, __ATOMIC_RELEASE);
	ir_wakeup_signal(a->stop_wakeup);
	pthread_join(a->thread, NULL);
	talloc_free(a);
}
