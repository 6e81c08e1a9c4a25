/* A server on a loopback port that sends what a test wants. */
#include <sys/socket.h>

#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include <cmocka.h>

#include "platform/names.h"
#include "support/raw_server.h"

#define STEP_MS 5
#define POLL_MS 50
#define BACKLOG 128
#define SOCKET_TIMEOUT_S 20
#define MAX_REQUEST 16384

struct raw_server {
	int fd;
	pthread_t thread;
	int stop; /* atomic */
	raw_server_fn *serve;
	void *ctx;
};

struct raw_conn {
	struct raw_server *server;
	int fd;
};

static void *
serve_conn(void *ctx)
{
	struct raw_conn *c = ctx;

	c->server->serve(c->server->ctx, c->server, c->fd);
	close(c->fd);
	free(c);
	return NULL;
}

static void *
accept_conns(void *ctx)
{
	const struct timeval limit = {.tv_sec = SOCKET_TIMEOUT_S};
	struct raw_server *s = ctx;
	struct pollfd p = {.fd = s->fd, .events = POLLIN};

	while (!raw_server_is_stopping(s)) {
		struct raw_conn *c;
		pthread_t thread;
		int fd;

		if (poll(&p, 1, POLL_MS) <= 0)
			continue;
		fd = accept(s->fd, NULL, NULL);
		if (fd < 0)
			continue;
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		c = malloc(sizeof(*c));
		*c = (struct raw_conn){s, fd};
		if (pthread_create(&thread, NULL, serve_conn, c) == 0)
			pthread_detach(thread);
	}
	close(s->fd);
	return NULL;
}

struct raw_server *
raw_server_replace(struct processes *p, struct pr_child *child, uint16_t port,
    raw_server_fn *serve, void *ctx)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	struct raw_server *s = talloc_zero(p, struct raw_server);
	int on = 1, status;

	pr_signal(child, SIGKILL);
	while (!pr_reap(child, &status))
		poll(NULL, 0, STEP_MS);
	s->serve = serve;
	s->ctx = ctx;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(bind(s->fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(listen(s->fd, BACKLOG), 0);
	assert_int_equal(pthread_create(&s->thread, NULL, accept_conns, s), 0);
	return s;
}

bool
raw_server_is_stopping(const struct raw_server *s)
{
	return __atomic_load_n(&s->stop, __ATOMIC_RELAXED);
}

void
raw_server_stop(struct raw_server *s)
{
	__atomic_store_n(&s->stop, 1, __ATOMIC_RELAXED);
	pthread_join(s->thread, NULL);
}

bool
raw_server_read_request(int fd, char id[RAW_ID_BYTES])
{
	char text[MAX_REQUEST + 1];
	size_t size = 0;
	const char *at;

	do {
		ssize_t n = recv(fd, text + size, MAX_REQUEST - size, 0);

		if (n <= 0)
			return false;
		size += (size_t)n;
		text[size] = '\0';
	} while (strstr(text, "\r\n\r\n") == NULL && size < MAX_REQUEST);
	at = strstr(text, HEADER_ATTEMPT_ID ": ");
	id[0] = '\0';
	if (at != NULL) {
		at += strlen(HEADER_ATTEMPT_ID ": ");
		snprintf(id, RAW_ID_BYTES, "%.*s", (int)strcspn(at, "\r"), at);
	}
	return true;
}
