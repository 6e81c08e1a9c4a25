/* The admin thread. */
#include <json.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>

#include "ibisrail/version.h"
#include "io/admin.h"
#include "io/clock.h"
#include "metric/exposition.h"

#define IDLE_TIMEOUT_S 10
#define ANSWER_WAIT_US (2 * IR_US_PER_S)
#define POLL_MS 100

struct ir_admin {
	struct ir_channel *channel;
	const char *host;
	const char *ready_path;
	struct MHD_Daemon *daemon;
};

static struct ir_from_core *
take_report(struct ir_channel *channel, uint64_t id)
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
ir_ask_core(struct ir_channel *channel, enum ir_report_kind kind)
{
	struct ir_to_core *ask = ir_to_core_new(IR_TO_CORE_ASK);
	struct pollfd p = {.fd = ir_wake_fd(channel->wake), .events = POLLIN};
	int64_t end = ir_clock_now() + ANSWER_WAIT_US;
	uint64_t id = (uint64_t)end;
	struct ir_from_core *m;

	ask->id = id;
	ask->report = kind;
	if (!ir_ring_push(channel->to_core, ask)) {
		talloc_free(ask);
		return NULL;
	}
	do {
		ir_wake_arm(channel->wake);
		if (ir_ring_empty(channel->from_core))
			poll(&p, 1, POLL_MS);
		ir_wake_disarm(channel->wake);
		m = take_report(channel, id);
	} while (m == NULL && ir_clock_now() < end);
	return m;
}

static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned status, const char *type,
    const char *text)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	/* The text is copied: the library has no const. */
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

static enum MHD_Result
respond_counters(struct ir_admin *a, struct MHD_Connection *connection,
    struct ir_from_core *m)
{
	const char *text =
	    ir_exposition(m, a->host, &m->u.report.counters, NULL, 0);

	if (text == NULL)
		return MHD_NO;
	return respond(connection, MHD_HTTP_OK, IR_EXPOSITION_TYPE, text);
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
ask_and_respond(struct ir_admin *a, struct MHD_Connection *connection,
    enum ir_report_kind kind)
{
	struct ir_from_core *m = ir_ask_core(a->channel, kind);
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

	if (*con_cls == NULL) {
		*con_cls = a;
		return MHD_YES;
	}
	if (*size > 0) {
		*size = 0;
		return MHD_YES;
	}
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return respond_text(
		    connection, MHD_HTTP_METHOD_NOT_ALLOWED, "Only GET.\n");
	if (strcmp(url, "/state") == 0)
		return ask_and_respond(a, connection, IR_REPORT_STATE);
	if (strcmp(url, "/counters") == 0)
		return ask_and_respond(a, connection, IR_REPORT_COUNTERS);
	if (strcmp(url, a->ready_path) == 0)
		return ask_and_respond(a, connection, IR_REPORT_READY);
	if (strcmp(url, "/version") == 0)
		return respond_text(connection, MHD_HTTP_OK, IR_VERSION "\n");
	return respond_text(connection, MHD_HTTP_NOT_FOUND, "No such page.\n");
}

struct ir_admin *
ir_admin_start(TALLOC_CTX *mem, struct ir_channel *channel, const char *host,
    const char *ready_path, int listen_fd)
{
	struct ir_admin *a = talloc_zero(mem, struct ir_admin);

	if (a == NULL)
		return NULL;
	a->channel = channel;
	a->host = host;
	a->ready_path = ready_path;
	a->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL,
	    NULL, on_request, a, MHD_OPTION_LISTEN_SOCKET, listen_fd,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)IR_MAX_ADMIN_CONNECTIONS,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
	    MHD_OPTION_END);
	if (a->daemon == NULL) {
		talloc_free(a);
		return NULL;
	}
	return a;
}

void
ir_admin_stop(struct ir_admin *a)
{
	MHD_stop_daemon(a->daemon);
	talloc_free(a);
}
