/* HTTP server on 127.0.0.1 for stand-ins. */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#include "fakes/lib/server.h"

#define MAX_CONNECTIONS 4096

enum state {
	RECEIVING,
	WAITING,
	READY
};

struct fake_exchange {
	struct fake_server *server;
	struct fake_request *request;
	struct MHD_Connection *conn;
	enum state state;
	bool headers_received;
	unsigned status;
	struct MHD_Response *response; /* NULL when READY: a reset */
	struct header *headers;
	struct fake_exchange *prev; /* while WAITING */
	struct fake_exchange *next;
};

struct header {
	const char *name;
	const char *value;
	struct header *next;
};

struct fake_server {
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;
	const struct fake_handler *handler;
	void *ctx;
	struct fake_exchange *waiting;
	bool stopping;
};

static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *conn)
{
	struct fake_request *r = talloc_zero(NULL, struct fake_request);
	struct fake_exchange *e = talloc_zero(r, struct fake_exchange);

	e->server = cls;
	e->request = r;
	e->conn = conn;
	r->exchange = e;
	r->uri = talloc_strdup(r, uri);
	r->path = talloc_strndup(r, uri, strcspn(uri, "?"));
	return e;
}

static void
on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct fake_exchange *e = *con_cls;
	struct fake_server *s = cls;

	if (e == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	if (e->response != NULL)
		MHD_destroy_response(e->response);
	talloc_free(e->request);
	pthread_mutex_unlock(&s->lock);
	*con_cls = NULL;
}

static bool
append_body(struct fake_request *r, const char *data, size_t size_bytes)
{
	uint8_t *p;

	if (r->body_bytes + size_bytes > FAKE_MAX_BODY_BYTES)
		return false;
	p = talloc_realloc(r, r->body, uint8_t, r->body_bytes + size_bytes);
	if (p == NULL)
		return false;
	memcpy(p + r->body_bytes, data, size_bytes);
	r->body = p;
	r->body_bytes += size_bytes;
	return true;
}

/* Makes closing the connection send a TCP reset. */
static void
reset_on_close(struct MHD_Connection *conn)
{
	const struct linger off = {.l_onoff = 1, .l_linger = 0};
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info != NULL)
		setsockopt(
		    info->connect_fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
}

static enum MHD_Result
send_response(struct fake_exchange *e)
{
	if (e->response == NULL) {
		reset_on_close(e->conn);
		return MHD_NO;
	}
	return MHD_queue_response(e->conn, e->status, e->response);
}

static enum MHD_Result
handle_request(struct fake_server *s, struct fake_exchange *e)
{
	if (e->state == RECEIVING && s->stopping)
		e->state = READY;
	if (e->state == RECEIVING) {
		s->handler->request(s->ctx, e->request);
		if (e->state == RECEIVING) {
			e->state = WAITING;
			DL_APPEND(s->waiting, e);
			MHD_suspend_connection(e->conn);
		}
	}
	return e->state == READY ? send_response(e) : MHD_YES;
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data,
    size_t *size_bytes, void **con_cls)
{
	struct fake_exchange *e = *con_cls;
	enum MHD_Result result;
	struct fake_server *s = cls;

	if (!e->headers_received) {
		e->headers_received = true;
		e->request->method = talloc_strdup(e->request, method);
		return MHD_YES;
	}
	if (*size_bytes > 0) {
		if (!append_body(e->request, data, *size_bytes))
			return MHD_NO;
		*size_bytes = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&s->lock);
	result = handle_request(s, e);
	pthread_mutex_unlock(&s->lock);
	return result;
}

static struct MHD_Daemon *
listen_on(struct fake_server *s, uint16_t port)
{
	const unsigned flags =
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
	struct sockaddr_in addr = {.sin_family = AF_INET};

	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return MHD_start_daemon(flags, port, NULL, NULL, on_access, s,
	    MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_URI_LOG_CALLBACK, on_uri, s,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
	    MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)MAX_CONNECTIONS,
	    MHD_OPTION_END);
}

struct fake_server *
fake_server_start(uint16_t port, const struct fake_handler *handler, void *ctx)
{
	struct fake_server *s = talloc_zero(NULL, struct fake_server);

	pthread_mutex_init(&s->lock, NULL);
	s->handler = handler;
	s->ctx = ctx;
	s->daemon = listen_on(s, port);
	if (s->daemon == NULL) {
		talloc_free(s);
		return NULL;
	}
	printf("port %u\n", fake_server_port(s));
	fflush(stdout);
	return s;
}

uint16_t
fake_server_port(const struct fake_server *s)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT);
	return info->port;
}

void
fake_server_lock(struct fake_server *s)
{
	pthread_mutex_lock(&s->lock);
}

void
fake_server_unlock(struct fake_server *s)
{
	pthread_mutex_unlock(&s->lock);
}

static void
mark_ready(struct fake_exchange *e)
{
	enum state before = e->state;

	e->state = READY;
	if (before != WAITING)
		return;
	DL_DELETE(e->server->waiting, e);
	MHD_resume_connection(e->conn);
}

static bool
client_closed(const struct fake_exchange *e)
{
	const union MHD_ConnectionInfo *info;
	ssize_t n;
	char c;

	info =
	    MHD_get_connection_info(e->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return true;
	n = recv(info->connect_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0;
}

void
fake_server_check_disconnects(struct fake_server *s)
{
	struct fake_exchange *e, *tmp;

	pthread_mutex_lock(&s->lock);
	DL_FOREACH_SAFE (s->waiting, e, tmp) {
		if (!client_closed(e))
			continue;
		s->handler->disconnected(s->ctx, e->request);
		mark_ready(e);
	}
	pthread_mutex_unlock(&s->lock);
}

void
fake_server_stop(struct fake_server *s)
{
	struct fake_exchange *e, *tmp;

	pthread_mutex_lock(&s->lock);
	DL_FOREACH_SAFE (s->waiting, e, tmp) {
		s->handler->disconnected(s->ctx, e->request);
		mark_ready(e);
	}
	pthread_mutex_unlock(&s->lock);
	MHD_stop_daemon(s->daemon);
	pthread_mutex_destroy(&s->lock);
	talloc_free(s);
}

void
fake_header_add(struct fake_request *r, const char *name, const char *value)
{
	struct header *h = talloc_zero(r, struct header);

	h->name = talloc_strdup(h, name);
	h->value = talloc_strdup(h, value);
	LL_PREPEND(r->exchange->headers, h);
}

static void
set_response(
    struct fake_request *r, unsigned status, struct MHD_Response *response)
{
	struct fake_exchange *e = r->exchange;
	struct header *h;

	LL_FOREACH (e->headers, h) {
		MHD_add_response_header(response, h->name, h->value);
	}
	e->status = status;
	e->response = response;
	mark_ready(e);
}

void
fake_answer(struct fake_request *r, unsigned status, const char *type,
    const void *body, size_t body_bytes)
{
	void *copy = malloc(body_bytes + 1);

	if (copy == NULL)
		abort();
	memcpy(copy, body, body_bytes);
	fake_header_add(r, "Content-Type", type);
	set_response(r, status,
	    MHD_create_response_from_buffer_with_free_callback(
		body_bytes, copy, free));
}

void
fake_answer_json(struct fake_request *r, unsigned status, const char *text)
{
	fake_answer(r, status, "application/json", text, strlen(text));
}

void
fake_reset(struct fake_request *r)
{
	mark_ready(r->exchange);
}

struct truncated_body {
	size_t size_bytes;
	uint8_t data[];
};

static ssize_t
read_truncated(void *cls, uint64_t pos, char *buf, size_t max)
{
	const struct truncated_body *h = cls;
	size_t left;

	if (pos >= h->size_bytes)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	left = h->size_bytes - pos;
	if (left > max)
		left = max;
	memcpy(buf, h->data + pos, left);
	return (ssize_t)left;
}

void
fake_truncate(struct fake_request *r, const void *body, size_t body_bytes)
{
	struct truncated_body *h = malloc(sizeof(*h) + body_bytes);

	if (h == NULL)
		abort();
	h->size_bytes = body_bytes / 2;
	memcpy(h->data, body, body_bytes);
	set_response(r, MHD_HTTP_OK,
	    MHD_create_response_from_callback(
		body_bytes, 4096, read_truncated, h, free));
}

const char *
fake_header(const struct fake_request *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->exchange->conn, MHD_HEADER_KIND, name);
}

struct header_callback {
	void (*each)(void *ctx, const char *name, const char *value);
	void *ctx;
};

static enum MHD_Result
on_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	const struct header_callback *v = cls;

	v->each(v->ctx, name, value != NULL ? value : "");
	return MHD_YES;
}

void
fake_headers_each(const struct fake_request *r,
    void (*each)(void *ctx, const char *name, const char *value), void *ctx)
{
	struct header_callback v = {each, ctx};

	MHD_get_connection_values(
	    r->exchange->conn, MHD_HEADER_KIND, on_header, &v);
}

const char *
fake_query(const struct fake_request *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->exchange->conn, MHD_GET_ARGUMENT_KIND, name);
}

uint64_t
fake_query_number(const struct fake_request *r, const char *name)
{
	const char *s = fake_query(r, name);

	return s != NULL ? strtoull(s, NULL, 10) : 0;
}
