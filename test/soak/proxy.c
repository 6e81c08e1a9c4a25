/* TCP proxies on the loopback interface with link faults. */
#include <sys/epoll.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "ibisrail/limits.h"
#include "io/clock.h"
#include "soak/proxy.h"

#define MAX_PROXIES 256
#define MAX_CONNS 8192
#define MAX_EVENTS 256
#define BUFFER_BYTES 16384
#define STEP_WAIT_MS 5

/* One direction of a connection, with the bytes read and not yet written. */
struct direction {
	int from;
	int to;
	char data[BUFFER_BYTES];
	size_t size;
	size_t sent;
	int64_t ready_us; /* data is not written before */
	bool readable;	  /* may have data: set by epoll, until a read fails */
	bool ended;
};

struct proxied_conn {
	uint32_t proxy;
	int client;
	int server;
	struct direction up;
	struct direction down;
	struct proxied_conn *prev;
	struct proxied_conn *next;
};

struct proxy {
	int listen_fd;
	struct in_addr target_address;
	uint16_t target_port;
	enum proxy_mode mode;
};

struct proxies {
	struct proxy all[MAX_PROXIES];
	uint32_t count;
	struct proxied_conn *conns;
	uint32_t conn_count;
	int epoll_fd; /* data is NULL for listeners, else a direction */
	bool has_new_conns;
	bool made_progress;		    /* in this step */
	struct proxy snapshot[MAX_PROXIES]; /* copy of all for this step */
	pthread_t thread;
	pthread_mutex_t lock; /* guards all and count */
	bool stopping;
};

const char *
proxy_mode_name(enum proxy_mode mode)
{
	static const char *const names[] = {
	    "pass", "delay", "silent", "one-way", "reset"};

	return names[mode];
}

static struct sockaddr_in
endpoint(struct in_addr address, uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};

	a.sin_addr = address;
	return a;
}

static void
reset(int fd)
{
	struct linger now = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

static void
close_conn(struct proxies *p, struct proxied_conn *c, bool with_reset)
{
	DL_DELETE(p->conns, c);
	p->conn_count--;
	if (with_reset) {
		reset(c->client);
		reset(c->server);
	} else {
		close(c->client);
		close(c->server);
	}
	talloc_free(c);
}

/* Edge-triggered for connections: readable keeps what is left to read. */
static void
watch(struct proxies *p, int fd, struct direction *h)
{
	struct epoll_event e = {.events = EPOLLIN | EPOLLRDHUP | EPOLLET};

	if (h == NULL)
		e.events = EPOLLIN;
	e.data.ptr = h;
	if (epoll_ctl(p->epoll_fd, EPOLL_CTL_ADD, fd, &e) != 0)
		abort();
}

static void
accept_one(struct proxies *p, uint32_t index, const struct proxy *s)
{
	struct sockaddr_in a = endpoint(s->target_address, s->target_port);
	int client =
	    accept4(s->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int server;
	struct proxied_conn *c;

	if (client < 0)
		return;
	server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (s->mode == PROXY_RESET || s->target_port == 0 ||
	    p->conn_count >= MAX_CONNS || server < 0 ||
	    connect(server, (struct sockaddr *)&a, sizeof(a)) != 0) {
		reset(client);
		if (server >= 0)
			close(server);
		return;
	}
	c = talloc_zero(p, struct proxied_conn);
	c->proxy = index;
	c->client = client;
	c->server = server;
	c->up = (struct direction){.from = client, .to = server};
	c->down = (struct direction){.from = server, .to = client};
	watch(p, client, &c->up);
	watch(p, server, &c->down);
	DL_APPEND(p->conns, c);
	p->conn_count++;
}

/* Returns false if the direction failed. */
static bool
receive(
    struct proxies *p, struct direction *h, enum proxy_mode mode, int64_t now)
{
	ssize_t n = recv(h->from, h->data, sizeof(h->data), MSG_DONTWAIT);

	if (n < 0) {
		h->readable = errno == EINTR;
		return errno == EAGAIN || errno == EINTR;
	}
	p->made_progress = true;
	h->ended = n == 0;
	h->size = (size_t)n;
	h->sent = 0;
	h->ready_us = now;
	if (mode == PROXY_DELAY)
		h->ready_us += PROXY_DELAY_MS * IR_US_PER_MS;
	return true;
}

static bool
forward(
    struct proxies *p, struct direction *h, enum proxy_mode mode, int64_t now)
{
	ssize_t n;

	if (h->size == 0 && !h->ended && h->readable &&
	    !receive(p, h, mode, now))
		return false;
	if (h->size == 0 || now < h->ready_us)
		return !h->ended;
	n = send(h->to, h->data + h->sent, h->size - h->sent,
	    MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	p->made_progress = true;
	h->sent += (size_t)n;
	if (h->sent == h->size)
		h->size = 0;
	return true;
}

static void
step_conn(struct proxies *p, struct proxied_conn *c, int64_t now)
{
	enum proxy_mode mode = p->snapshot[c->proxy].mode;
	bool ok = true;

	if (mode == PROXY_RESET) {
		close_conn(p, c, true);
		return;
	}
	if (mode != PROXY_SILENT)
		ok = forward(p, &c->up, mode, now);
	if (ok && mode != PROXY_SILENT && mode != PROXY_ONE_WAY)
		ok = forward(p, &c->down, mode, now);
	if (!ok)
		close_conn(p, c, false);
}

static void
wait_for_work(struct proxies *p)
{
	struct epoll_event events[MAX_EVENTS];
	int n = epoll_wait(p->epoll_fd, events, MAX_EVENTS,
	    p->made_progress ? 0 : STEP_WAIT_MS);

	p->has_new_conns = false;
	for (int i = 0; i < n; i++) {
		struct direction *h = events[i].data.ptr;

		if (h == NULL)
			p->has_new_conns = true;
		else
			h->readable = true;
	}
}

static void
accept_all(struct proxies *p, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		accept_one(p, i, &p->snapshot[i]);
}

static void
step(struct proxies *p)
{
	struct proxied_conn *c, *next;
	int64_t now = ir_clock_now();
	uint32_t count;

	pthread_mutex_lock(&p->lock);
	count = p->count;
	memcpy(p->snapshot, p->all, sizeof(p->snapshot));
	pthread_mutex_unlock(&p->lock);
	if (p->has_new_conns)
		accept_all(p, count);
	p->made_progress = false;
	DL_FOREACH_SAFE (p->conns, c, next) {
		step_conn(p, c, now);
	}
	wait_for_work(p);
}

static void *
run(void *ctx)
{
	struct proxies *p = ctx;

	while (!__atomic_load_n(&p->stopping, __ATOMIC_ACQUIRE))
		step(p);
	return NULL;
}

struct proxies *
proxies_start(TALLOC_CTX *mem)
{
	struct proxies *p = talloc_zero(mem, struct proxies);

	pthread_mutex_init(&p->lock, NULL);
	p->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (p->epoll_fd < 0)
		abort();
	if (pthread_create(&p->thread, NULL, run, p) != 0)
		abort();
	return p;
}

void
proxies_stop(struct proxies *p)
{
	__atomic_store_n(&p->stopping, true, __ATOMIC_RELEASE);
	pthread_join(p->thread, NULL);
	while (p->conns != NULL)
		close_conn(p, p->conns, true);
	for (uint32_t i = 0; i < p->count; i++)
		close(p->all[i].listen_fd);
	close(p->epoll_fd);
	pthread_mutex_destroy(&p->lock);
	talloc_free(p);
}

uint16_t
proxies_add(
    struct proxies *p, const char *address, uint16_t port, const char *target)
{
	struct sockaddr_in a =
	    endpoint((struct in_addr){inet_addr(address)}, port);
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || p->count == MAX_PROXIES ||
	    bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, SOMAXCONN) != 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &size) != 0)
		abort();
	pthread_mutex_lock(&p->lock);
	p->all[p->count].listen_fd = fd;
	p->all[p->count].target_address.s_addr = inet_addr(target);
	p->count++;
	pthread_mutex_unlock(&p->lock);
	watch(p, fd, NULL);
	return ntohs(a.sin_port);
}

void
proxies_set_target(struct proxies *p, uint32_t index, uint16_t port)
{
	pthread_mutex_lock(&p->lock);
	p->all[index].target_port = port;
	pthread_mutex_unlock(&p->lock);
}

uint16_t
proxies_port(const struct proxies *p, uint32_t index)
{
	struct sockaddr_in a = {0};
	socklen_t size = sizeof(a);

	if (getsockname(
		p->all[index].listen_fd, (struct sockaddr *)&a, &size) != 0)
		abort();
	return ntohs(a.sin_port);
}

void
proxies_set_mode(struct proxies *p, uint32_t index, enum proxy_mode mode)
{
	pthread_mutex_lock(&p->lock);
	p->all[index].mode = mode;
	pthread_mutex_unlock(&p->lock);
}
