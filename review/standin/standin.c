#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ALL_S 115 /* the program ends itself after this time */
#define BEAT_MS 1500
#define READ_TIMEOUT_MS 60000

bool trouble = true;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char temporary[] = "/tmp/review-XXXXXX";
static struct node *nodes_started[MAX_NODES];
static int nodes_started_count;
static struct timespec started;

int64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - started.tv_sec) * 1000 +
	       (t.tv_nsec - started.tv_nsec) / 1000000;
}

static void
sleep_ms(int64_t ms)
{
	if (ms > 0)
		poll(NULL, 0, (int)ms);
}

void
sleep_until(int64_t ms)
{
	while (now_ms() < ms)
		sleep_ms(ms - now_ms());
}

static void
record_list(const char *fmt, va_list args)
{
	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	vfprintf(record_file, fmt, args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void
record(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	record_list(fmt, args);
	va_end(args);
}

static void
end_nodes(void)
{
	for (int i = 0; i < nodes_started_count; i++) {
		struct node *n = nodes_started[i];

		if (n->pid > 0 && !n->ended) {
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
		}
		n->ended = true;
	}
}

static void
remove_files(void)
{
	for (int i = 0; i < nodes_started_count; i++) {
		unlink(nodes_started[i]->settings_file);
		if (getenv("KEEP") == NULL)
			unlink(nodes_started[i]->log_file);
	}
	rmdir(temporary);
}

void
cannot_run(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	record_list(fmt, args);
	va_end(args);
	record("the case could not run");
	end_nodes();
	remove_files();
	_exit(EXIT_CANNOT_RUN);
}

void
finish(int code)
{
	end_nodes();
	remove_files();
	record("exit code %d", code);
	_exit(code);
}

static void *
limit_time(void *ctx)
{
	sleep_until(ALL_S * 1000);
	cannot_run("not done after %d s", ALL_S);
	return NULL;
}

static void
thread(void *(*run)(void *), void *ctx)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&a, 1024 * 1024);
	if (pthread_create(&t, &a, run, ctx) != 0)
		cannot_run("no thread");
	pthread_attr_destroy(&a);
}

void
setup(const char *dir)
{
	char path[512];
	const char *t = getenv("TROUBLE");

	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	trouble = t == NULL || strcmp(t, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", dir);
	record_file = fopen(path, "w");
	if (record_file == NULL || mkdtemp(temporary) == NULL)
		exit(EXIT_CANNOT_RUN);
	srand((unsigned)getpid());
	record("TROUBLE=%d", trouble);
	thread(limit_time, NULL);
}

/* Sockets. */

static struct sockaddr_in
socket_address(const char *address, uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};

	a.sin_port = htons(port);
	if (inet_pton(AF_INET, address, &a.sin_addr) != 1 ||
	    ntohl(a.sin_addr.s_addr) >> 24 != 127)
		cannot_run("not a loopback address: %s", address);
	return a;
}

static int
listen_at(const char *address, uint16_t *port)
{
	struct sockaddr_in a = socket_address(address, *port);
	socklen_t size = sizeof(a);
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, size) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &size) != 0)
		cannot_run("cannot listen at %s:%u", address, *port);
	*port = ntohs(a.sin_port);
	return fd;
}

void
address_of(char *out, size_t size, int last)
{
	int pid = (int)getpid();

	snprintf(out, size, "127.%d.%d.%d", 64 + pid % 128, 1 + pid / 128 % 250,
	    last);
}

uint16_t
free_port(const char *address)
{
	uint16_t port = 0;

	close(listen_at(address, &port));
	return port;
}

void
choose_ports(uint16_t *callers, uint16_t *peers, uint16_t *ready)
{
	char address[32];

	address_of(address, sizeof(address), 250);
	*callers = free_port(address);
	do
		*peers = free_port(address);
	while (*peers == *callers);
	do
		*ready = free_port(address);
	while (*ready == *callers || *ready == *peers);
}

static int
connect_to(const char *address, uint16_t port, int receive_bytes)
{
	struct sockaddr_in a = socket_address(address, port);
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (receive_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		    sizeof(receive_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (fd >= 0 && connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

static bool
send_all(int fd, const char *data, size_t size)
{
	while (size > 0) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		size -= (size_t)n;
	}
	return true;
}

static bool
wait_readable(int fd, int64_t until)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	int64_t left = until - now_ms();

	return poll(&p, 1, left > 0 ? (int)left : 0) > 0;
}

bool
header_get(const struct message *m, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);
	const char *line = strstr(m->head, "\r\n");

	out[0] = '\0';
	while (line != NULL && line[2] != '\0' && line[2] != '\r') {
		const char *at = line + 2, *end = strstr(at, "\r\n");

		if (end == NULL)
			return false;
		if (strncasecmp(at, name, n) == 0 && at[n] == ':') {
			at += n + 1;
			while (*at == ' ')
				at++;
			snprintf(out, size, "%.*s", (int)(end - at), at);
			return true;
		}
		line = end;
	}
	return false;
}

/* Reads a head; what follows it is in m->body. */
static bool
read_head(int fd, struct message *m, int64_t until)
{
	size_t got = 0;
	char *end;

	m->body = NULL;
	m->body_bytes = 0;
	for (;;) {
		ssize_t n;

		if (got == sizeof(m->head) - 1 || !wait_readable(fd, until))
			return false;
		n = recv(fd, m->head + got, sizeof(m->head) - 1 - got, 0);
		if (n <= 0)
			return false;
		got += (size_t)n;
		m->head[got] = '\0';
		end = strstr(m->head, "\r\n\r\n");
		if (end != NULL)
			break;
	}
	end += 4;
	m->body_bytes = got - (size_t)(end - m->head);
	if (m->body_bytes > 0) {
		m->body = malloc(m->body_bytes);
		memcpy(m->body, end, m->body_bytes);
	}
	*end = '\0';
	return true;
}

static size_t
content_length(const struct message *m)
{
	char text[32];

	if (!header_get(m, "Content-Length", text, sizeof(text)))
		return 0;
	return strtoul(text, NULL, 10);
}

/* Reads a request with its body. */
static bool
read_request(int fd, struct message *m, int64_t until)
{
	size_t wanted;

	if (!read_head(fd, m, until))
		return false;
	wanted = content_length(m);
	m->body = realloc(m->body, wanted + 1);
	while (m->body_bytes < wanted) {
		ssize_t n;

		if (!wait_readable(fd, until))
			return false;
		n = recv(
		    fd, m->body + m->body_bytes, wanted - m->body_bytes, 0);
		if (n <= 0)
			return false;
		m->body_bytes += (size_t)n;
	}
	return true;
}

static void
request_path(const struct message *m, char *out, size_t size)
{
	const char *from = strchr(m->head, ' ');
	const char *to = from != NULL ? strchr(from + 1, ' ') : NULL;

	out[0] = '\0';
	if (to != NULL)
		snprintf(out, size, "%.*s", (int)(to - from - 1), from + 1);
}

/* A server: a thread for each connection. */
struct server {
	int fd;
	void (*serve)(void *ctx, int fd);
	void *ctx;
};

struct accepted {
	const struct server *server;
	int fd;
};

static void *
serve_connection(void *ctx)
{
	struct accepted a = *(struct accepted *)ctx;
	int on = 1;

	free(ctx);
	setsockopt(a.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	a.server->serve(a.server->ctx, a.fd);
	close(a.fd);
	return NULL;
}

static void *
accept_connections(void *ctx)
{
	struct server *s = ctx;

	for (;;) {
		struct accepted *a = malloc(sizeof(*a));

		a->server = s;
		a->fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
		if (a->fd < 0)
			cannot_run("accept: %s", strerror(errno));
		thread(serve_connection, a);
	}
	return NULL;
}

static void
start_server(const char *address, uint16_t *port,
    void (*serve)(void *ctx, int fd), void *ctx)
{
	struct server *s = calloc(1, sizeof(*s));

	s->fd = listen_at(address, port);
	s->serve = serve;
	s->ctx = ctx;
	thread(accept_connections, s);
}

/* The store. */

static const char *
base64(const char *text, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(text), o = 0;

	for (size_t i = 0; i < n; i += 3) {
		unsigned b = (unsigned char)text[i] << 16;

		if (i + 1 < n)
			b |= (unsigned)(unsigned char)text[i + 1] << 8;
		if (i + 2 < n)
			b |= (unsigned char)text[i + 2];
		out[o++] = digits[b >> 18];
		out[o++] = digits[b >> 12 & 63];
		out[o++] = i + 1 < n ? digits[b >> 6 & 63] : '=';
		out[o++] = i + 2 < n ? digits[b & 63] : '=';
	}
	out[o] = '\0';
	return out;
}

static struct item *
find_item(struct store *s, const char *key)
{
	for (int i = 0; i < s->item_count; i++) {
		if (strcmp(s->items[i].key, key) == 0)
			return &s->items[i];
	}
	return NULL;
}

static void
add_event(struct store *s, const struct item *i)
{
	struct store_event *e;

	if (s->event_count == MAX_EVENTS)
		cannot_run("too many events");
	e = &s->events[s->event_count++];
	e->revision = s->revision;
	snprintf(e->key, sizeof(e->key), "%s", i->key);
	e->value = i->deleted ? NULL : strdup(i->value);
	e->created = i->created;
	pthread_cond_broadcast(&s->changed);
}

uint64_t
store_put_locked(struct store *s, const char *key, const char *value)
{
	struct item *i = find_item(s, key);

	if (i == NULL) {
		if (s->item_count == MAX_ITEMS)
			cannot_run("too many items");
		i = &s->items[s->item_count++];
		snprintf(i->key, sizeof(i->key), "%s", key);
		i->deleted = true;
	}
	s->revision++;
	if (i->deleted)
		i->created = s->revision;
	i->deleted = false;
	free(i->value);
	i->value = strdup(value);
	i->revision = s->revision;
	add_event(s, i);
	return s->revision;
}

uint64_t
store_put(struct store *s, const char *key, const char *value)
{
	uint64_t r;

	pthread_mutex_lock(&s->lock);
	r = store_put_locked(s, key, value);
	pthread_mutex_unlock(&s->lock);
	return r;
}

uint64_t
store_remove(struct store *s, const char *key)
{
	struct item *i;
	uint64_t r;

	pthread_mutex_lock(&s->lock);
	i = find_item(s, key);
	if (i == NULL || i->deleted)
		cannot_run("no item %s", key);
	s->revision++;
	i->deleted = true;
	i->revision = s->revision;
	add_event(s, i);
	r = s->revision;
	pthread_mutex_unlock(&s->lock);
	return r;
}

void
store_cut_watches(struct store *s)
{
	pthread_mutex_lock(&s->lock);
	s->watch_epoch++;
	pthread_cond_broadcast(&s->changed);
	pthread_mutex_unlock(&s->lock);
}

void
store_compact(struct store *s)
{
	__atomic_store_n(&s->deaf, true, __ATOMIC_RELEASE);
	sleep_ms(1000);
	pthread_mutex_lock(&s->lock);
	s->deaf = false;
	s->forgotten = s->revision;
	s->watch_epoch++;
	pthread_cond_broadcast(&s->changed);
	pthread_mutex_unlock(&s->lock);
}

static void
query_get(const char *path, const char *name, char *out, size_t size)
{
	const char *p = strchr(path, '?');
	size_t n = strlen(name);

	out[0] = '\0';
	while (p != NULL) {
		p++;
		if (strncmp(p, name, n) == 0 && p[n] == '=') {
			p += n + 1;
			snprintf(out, size, "%.*s", (int)strcspn(p, "&"), p);
			return;
		}
		p = strchr(p, '&');
	}
}

/* Whether the address is cut off; waits until it is not. */
static bool
wait_while_silent(const bool *silent)
{
	bool was = false;

	while (silent != NULL && __atomic_load_n(silent, __ATOMIC_ACQUIRE)) {
		was = true;
		sleep_ms(10);
	}
	return was;
}

#define ANSWER_BYTES (1024 * 1024)

static size_t
append_item(char *out, size_t at, const char *key, const char *value,
    uint64_t revision, uint64_t created)
{
	static __thread char encoded[65536];

	return at + (size_t)snprintf(out + at, ANSWER_BYTES - at,
			"%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu,"
			"\"created\":%lu,\"lease\":0}",
			out[at - 1] == '[' ? "" : ",", key,
			base64(value, encoded), (unsigned long)revision,
			(unsigned long)created);
}

static bool
answer_store(const struct store *s, int fd, int status, const char *body)
{
	char head[256];

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
	    "%sContent-Length: %zu\r\n\r\n",
	    status, s->closes ? "Connection: close\r\n" : "", strlen(body));
	return send_all(fd, head, strlen(head)) &&
	       send_all(fd, body, strlen(body)) && !s->closes;
}

static bool
answer_key(
    struct store *s, int fd, const char *path, char *out, const bool *silent)
{
	static __thread char encoded[65536];
	struct item *i;
	char key[256];
	bool found;

	query_get(path, "key", key, sizeof(key));
	pthread_mutex_lock(&s->lock);
	if (s->before_answer != NULL)
		s->before_answer(s, STORE_KEY);
	i = find_item(s, key);
	found = i != NULL && !i->deleted;
	if (found)
		snprintf(out, ANSWER_BYTES,
		    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu,"
		    "\"created\":%lu,\"lease\":0,\"store_revision\":%lu}",
		    key, base64(i->value, encoded), (unsigned long)i->revision,
		    (unsigned long)i->created, (unsigned long)s->revision);
	s->answered[STORE_KEY]++;
	pthread_mutex_unlock(&s->lock);
	if (wait_while_silent(silent))
		return false;
	return answer_store(s, fd, found ? 200 : 404, found ? out : "{}");
}

static int
compare_items(const void *a, const void *b)
{
	const struct item *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static bool
answer_range(
    struct store *s, int fd, const char *path, char *out, const bool *silent)
{
	struct item *list[MAX_ITEMS];
	char prefix[256], after[256];
	size_t at;
	int n = 0;

	query_get(path, "path_prefix", prefix, sizeof(prefix));
	query_get(path, "after", after, sizeof(after));
	pthread_mutex_lock(&s->lock);
	if (s->before_answer != NULL)
		s->before_answer(s, STORE_RANGE);
	for (int i = 0; i < s->item_count; i++) {
		struct item *it = &s->items[i];

		if (!it->deleted &&
		    strncmp(it->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(it->key, after) > 0)
			list[n++] = it;
	}
	qsort(list, (size_t)n, sizeof(list[0]), compare_items);
	at = (size_t)snprintf(out, ANSWER_BYTES, "{\"items\":[");
	for (int i = 0; i < n; i++)
		at = append_item(out, at, list[i]->key, list[i]->value,
		    list[i]->revision, list[i]->created);
	snprintf(out + at, ANSWER_BYTES - at,
	    "],\"truncated\":false,\"store_revision\":%lu}",
	    (unsigned long)s->revision);
	s->answered[STORE_RANGE]++;
	pthread_mutex_unlock(&s->lock);
	if (wait_while_silent(silent))
		return false;
	return answer_store(s, fd, 200, out);
}

/* Appends the events after a revision; returns how many. */
static int
append_events(
    struct store *s, uint64_t after, const char *prefix, char *out, size_t *at)
{
	int n = 0;

	for (int i = 0; i < s->event_count; i++) {
		struct store_event *e = &s->events[i];

		if (e->revision <= after ||
		    strncmp(e->key, prefix, strlen(prefix)) != 0)
			continue;
		n++;
		if (e->value != NULL)
			*at = append_item(out, *at, e->key, e->value,
			    e->revision, e->created);
		else
			*at += (size_t)snprintf(out + *at, ANSWER_BYTES - *at,
			    "%s{\"key\":\"%s\",\"revision\":%lu,"
			    "\"deleted\":true}",
			    out[*at - 1] == '[' ? "" : ",", e->key,
			    (unsigned long)e->revision);
	}
	return n;
}

static bool
client_left(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static bool
answer_watch(
    struct store *s, int fd, const char *path, char *out, const bool *silent)
{
	char prefix[256], text[32];
	uint64_t after;
	int64_t until;
	unsigned epoch;
	size_t at = 0;
	int n = 0;
	bool cut, gone;

	query_get(path, "path_prefix", prefix, sizeof(prefix));
	query_get(path, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	query_get(path, "wait_ms", text, sizeof(text));
	until = now_ms() + strtol(text, NULL, 10);
	pthread_mutex_lock(&s->lock);
	epoch = s->watch_epoch;
	s->waiting++;
	for (;;) {
		struct timespec t;

		cut = s->watch_epoch != epoch;
		gone = after < s->forgotten;
		at = (size_t)snprintf(out, ANSWER_BYTES, "{\"events\":[");
		if (!gone && !cut && !s->deaf)
			n = append_events(s, after, prefix, out, &at);
		if (cut || gone || n > 0 || now_ms() >= until ||
		    client_left(fd))
			break;
		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 5000000;
		if (t.tv_nsec >= 1000000000) {
			t.tv_nsec -= 1000000000;
			t.tv_sec++;
		}
		pthread_cond_timedwait(&s->changed, &s->lock, &t);
	}
	s->waiting--;
	if (s->before_answer != NULL && !cut)
		s->before_answer(s, STORE_WATCH);
	snprintf(out + at, ANSWER_BYTES - at, "],\"store_revision\":%lu}",
	    (unsigned long)s->revision);
	s->answered[STORE_WATCH]++;
	pthread_mutex_unlock(&s->lock);
	if (cut || wait_while_silent(silent))
		return false;
	return gone ? answer_store(s, fd, 410, "{}")
		    : answer_store(s, fd, 200, out);
}

/* What is asked or would be answered during a cut is lost. */
static void
serve_store_at(struct store *s, int fd, unsigned *reads, const bool *silent)
{
	struct message m;
	char path[1024], *out = malloc(ANSWER_BYTES);
	bool more = true;

	while (more && read_request(fd, &m, now_ms() + READ_TIMEOUT_MS)) {
		request_path(&m, path, sizeof(path));
		if (wait_while_silent(silent)) {
			free(m.body);
			break;
		}
		if (reads != NULL)
			__atomic_add_fetch(reads, 1, __ATOMIC_RELAXED);
		if (strncmp(path, "/api/kv-key?", 12) == 0)
			more = answer_key(s, fd, path, out, silent);
		else if (strncmp(path, "/api/kv-range?", 14) == 0)
			more = answer_range(s, fd, path, out, silent);
		else if (strncmp(path, "/api/kv-watch?", 14) == 0)
			more = answer_watch(s, fd, path, out, silent);
		else
			more = answer_store(s, fd, 404, "{}");
		free(m.body);
	}
	free(out);
}

static void
serve_store(void *ctx, int fd)
{
	serve_store_at(ctx, fd, NULL, NULL);
}

/* A further address of the store. */
struct store_door {
	struct store *store;
	int number;
};

static void
serve_door(void *ctx, int fd)
{
	struct store_door *d = ctx;

	serve_store_at(d->store, fd, &d->store->reads_at[d->number],
	    &d->store->silent_at[d->number]);
}

uint16_t
store_also_at(struct store *s, const char *address, int number)
{
	struct store_door *d = calloc(1, sizeof(*d));
	uint16_t port = 0;

	d->store = s;
	d->number = number;
	start_server(address, &port, serve_door, d);
	return port;
}

void
store_start(struct store *s, const char *address)
{
	pthread_mutex_init(&s->lock, NULL);
	pthread_cond_init(&s->changed, NULL);
	s->revision = 400;
	snprintf(s->address, sizeof(s->address), "%s", address);
	start_server(address, &s->port, serve_store, s);
}

/* Instances. */

static bool
answer_request(struct instance *i, int fd, int status, const char *id,
    const char *more_headers, size_t body_bytes)
{
	char head[1024];
	char *body = malloc(body_bytes + 1);
	bool ok;

	memset(body, 'x', body_bytes);
	snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Answer\r\nX-Ibisrail-Attempt-Id: %s\r\n"
	    "X-Test-Instance: %s\r\n%sContent-Length: %zu\r\n"
	    "Keep-Alive: timeout=10\r\n\r\n",
	    status, id, i->id, more_headers, body_bytes);
	ok = send_all(fd, head, strlen(head)) && send_all(fd, body, body_bytes);
	free(body);
	return ok;
}

/* Works for ms; false if the connection was closed meanwhile. */
static bool
work(int fd, int ms)
{
	int64_t until = now_ms() + ms;

	while (now_ms() < until) {
		if (client_left(fd))
			return false;
		sleep_ms(until - now_ms() < 5 ? until - now_ms() : 5);
	}
	return true;
}

static bool
serve_one(struct instance *i, int fd, const struct message *m)
{
	char path[1024], id[128], expected[64], headers[256];
	int ms;

	request_path(m, path, sizeof(path));
	if (strcmp(path, "/health") == 0) {
		snprintf(headers, sizeof(headers),
		    "X-Ibisrail-Instance-Id: %s\r\n", i->id);
		return answer_request(i, fd, 200, "", headers, 0);
	}
	header_get(m, "X-Ibisrail-Attempt-Id", id, sizeof(id));
	if (header_get(m, "X-Ibisrail-Expected-Instance", expected,
		sizeof(expected)) &&
	    strcmp(expected, i->id) != 0) {
		record("instance %s: 421 to %s, for instance %s", i->id, id,
		    expected);
		snprintf(headers, sizeof(headers),
		    "X-Ibisrail-Instance-Id: %s\r\n", i->id);
		return answer_request(i, fd, 421, id, headers, 0);
	}
	if (id[0] == '\0')
		return answer_request(
		    i, fd, 400, "", "X-Ibisrail-Not-Executed: 1\r\n", 0);
	record("instance %s: begins to run %s, %.*s", i->id, id,
	    (int)strcspn(m->head, "\r"), m->head);
	if (i->on_run != NULL)
		i->on_run(i, path, id);
	ms = i->work_ms_of != NULL ? i->work_ms_of(i, path) : i->work_ms;
	if (!work(fd, ms)) {
		record(
		    "instance %s: connection of %s closed, dropped", i->id, id);
		return false;
	}
	record("instance %s: answers %s with 200, %zu bytes", i->id, id,
	    i->answer_bytes);
	return answer_request(i, fd, 200, id,
	    "X-Ibisrail-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
	    i->answer_bytes);
}

static void
serve_instance(void *ctx, int fd)
{
	struct instance *i = ctx;
	struct message m;
	bool more = true;

	while (more && read_request(fd, &m, now_ms() + READ_TIMEOUT_MS)) {
		more = serve_one(i, fd, &m);
		free(m.body);
	}
}

static void
write_entry(struct instance *i)
{
	char key[64], value[512];

	snprintf(key, sizeof(key), "servers/%s", i->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"sequence\":%lu,\"born\":%lu}",
	    i->service, i->address, i->port, i->zone, i->slots, i->state,
	    (unsigned long)++i->sequence, 1700000000000ul);
	store_put(i->store, key, value);
}

static void *
beat(void *ctx)
{
	struct instance *i = ctx;

	for (;;) {
		sleep_ms(BEAT_MS);
		if (__atomic_load_n(&i->registered, __ATOMIC_ACQUIRE))
			write_entry(i);
	}
	return NULL;
}

void
instance_start(struct instance *i)
{
	if (i->slots == 0)
		i->slots = 36;
	start_server(i->address, &i->port, serve_instance, i);
	thread(beat, i);
}

void
instance_register(struct instance *i, const char *state)
{
	snprintf(i->state, sizeof(i->state), "%s", state);
	write_entry(i);
	__atomic_store_n(&i->registered, true, __ATOMIC_RELEASE);
}

void
instance_unregister(struct instance *i)
{
	char key[64];

	__atomic_store_n(&i->registered, false, __ATOMIC_RELEASE);
	snprintf(key, sizeof(key), "servers/%s", i->id);
	store_remove(i->store, key);
}

/* Nodes. */

static void
replace(char *text, size_t size, const char *from, const char *to)
{
	char *at;

	while ((at = strstr(text, from)) != NULL) {
		char *rest = strdup(at + strlen(from));

		snprintf(at, size - (size_t)(at - text), "%s%s", to, rest);
		free(rest);
	}
}

/* Removes a section of the template. */
static void
drop_section(char *text, const char *name)
{
	char begin[64], end[64], *from, *to;

	snprintf(begin, sizeof(begin), "{{#%s}}", name);
	snprintf(end, sizeof(end), "{{/%s}}", name);
	from = strstr(text, begin);
	to = strstr(text, end);
	if (from != NULL && to != NULL)
		memmove(from, to + strlen(end), strlen(to + strlen(end)) + 1);
}

static void
set_address(
    char *text, size_t size, const char *name, const char *ip, uint16_t port)
{
	char value[48];

	snprintf(value, sizeof(value), "%s:%u", ip, port);
	replace(text, size, name, value);
}

/* Fills in deploy/settings.tmpl as the platform does. */
static void
write_settings(struct node *n, const struct store *s)
{
	char text[16384], port[8];
	FILE *f = fopen("deploy/settings.tmpl", "r");
	size_t bytes;

	if (f == NULL)
		cannot_run("not in the root of the repository");
	bytes = fread(text, 1, sizeof(text) / 2, f);
	text[bytes] = '\0';
	fclose(f);
	snprintf(port, sizeof(port), "%u", n->peers_port);
	replace(text, sizeof(text), "{{internal_port_range.0}}", port);
	set_address(text, sizeof(text), "{{listen_addresses.outbound}}",
	    n->address, n->callers_port);
	set_address(text, sizeof(text), "{{listen_addresses.ready}}",
	    n->address, n->ready_port);
	if (n->platform_address[0] != '\0')
		replace(text, sizeof(text), "{{platform.address}}",
		    n->platform_address);
	else
		set_address(text, sizeof(text), "{{platform.address}}",
		    s->address, s->port);
	replace(text, sizeof(text), "{{application_address}}",
	    n->application_address);
	replace(text, sizeof(text), "{{ip}}", n->address);
	replace(text, sizeof(text), "{{service}}", n->service);
	replace(text, sizeof(text), "{{region}}", n->region);
	replace(text, sizeof(text), "{{zone}}", n->zone);
	replace(text, sizeof(text),
	    "{{#limits.memory_mb}}\"memory_mb\": {{.}},{{/limits.memory_mb}}",
	    "\"memory_mb\": 260,");
	drop_section(text, "bounds.cold_overage");
	drop_section(text, "bounds.evacuation_ms");
	replace(text, sizeof(text), "{{bounds.quota_overage}}", "0.25");
	replace(text, sizeof(text), "{{bounds.quota_slack}}", "20");
	replace(text, sizeof(text), "{{bounds.quota_window_s}}", "5");
	replace(text, sizeof(text), "{{zones|json}}",
	    "{\"sierra-cuenca\":\"sierra\",\"costa-guayaquil\":\"costa\","
	    "\"sierra-quito\":\"sierra\",\"costa-manta\":\"costa\"}");
	if (strstr(text, "{{") != NULL)
		cannot_run("a placeholder is left in the settings");
	f = fopen(n->settings_file, "w");
	if (f == NULL)
		cannot_run("cannot write settings");
	fputs(text, f);
	fclose(f);
}

static void
register_node(struct node *n)
{
	for (int i = 0; i < nodes_started_count; i++) {
		if (nodes_started[i] == n)
			return;
	}
	nodes_started[nodes_started_count++] = n;
}

void
node_start(struct node *n, const struct store *s)
{
	char variable[300];
	char *envp[] = {
	    "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", variable, NULL};
	char *argv[] = {"target/ibisraild-platform", NULL};
	int fd;

	snprintf(n->settings_file, sizeof(n->settings_file), "%s/%s.json",
	    temporary, n->address);
	snprintf(n->log_file, sizeof(n->log_file), "%s/%s.log", temporary,
	    n->address);
	write_settings(n, s);
	snprintf(
	    variable, sizeof(variable), "IBISRAIL_CONFIG=%s", n->settings_file);
	register_node(n);
	fd = open(n->log_file, O_WRONLY | O_CREAT | O_APPEND, 0600);
	n->ended = false;
	n->pid = fork();
	if (n->pid == 0) {
		/* Nodes don't outlive this program. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execve(argv[0], argv, envp);
		_exit(127);
	}
	close(fd);
	record("node %s (%s): started", n->address, n->service);
}

void
node_signal(struct node *n, int sig)
{
	record("node %s: %s", n->address, strsignal(sig));
	if (kill(n->pid, sig) != 0)
		cannot_run("kill: %s", strerror(errno));
}

static void
note_end(struct node *n)
{
	int status;

	if (n->ended || waitpid(n->pid, &status, WNOHANG) != n->pid)
		return;
	n->ended_ms = now_ms();
	n->ended = true;
	record("node %s: process ended, status %d", n->address, status);
}

bool
node_has_ended(struct node *n)
{
	note_end(n);
	return n->ended;
}

static int
get_status(const char *address, uint16_t port, const char *path)
{
	struct message m;
	char text[256];
	int status = 0, fd = connect_to(address, port, 0);

	if (fd < 0)
		return 0;
	snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
	    path, address);
	if (send_all(fd, text, strlen(text)) &&
	    read_head(fd, &m, now_ms() + 1000)) {
		sscanf(m.head, "HTTP/1.1 %d", &status);
		free(m.body);
	}
	close(fd);
	return status;
}

bool
node_is_ready(struct node *n)
{
	return get_status(n->address, n->ready_port, "/api/readiness") == 200;
}

struct readiness_poll {
	struct node *node[MAX_NODES];
	int count;
};

static int64_t next_poll_ms;

static void *
poll_nodes(void *ctx)
{
	struct readiness_poll *p = ctx;

	for (;;) {
		__atomic_store_n(
		    &next_poll_ms, now_ms() + 1000, __ATOMIC_RELEASE);
		for (int i = 0; i < p->count; i++) {
			struct node *n = p->node[i];
			bool ready;

			note_end(n);
			ready = !n->ended && node_is_ready(n);
			if (ready != (n->ready_ms != 0))
				record("node %s: %s", n->address,
				    ready ? "ready" : "not ready");
			if (!ready)
				n->ready_ms = 0;
			else if (n->ready_ms == 0)
				n->ready_ms = now_ms();
		}
		sleep_until(next_poll_ms);
	}
	return NULL;
}

void
wait_for_readiness_poll(int64_t ms)
{
	sleep_until(__atomic_load_n(&next_poll_ms, __ATOMIC_ACQUIRE) + ms);
}

void
poll_readiness(struct node *const *list, int count)
{
	struct readiness_poll *p = calloc(1, sizeof(*p));

	p->count = count;
	for (int i = 0; i < count; i++)
		p->node[i] = list[i];
	thread(poll_nodes, p);
}

void
wait_until_ready(struct node *const *list, int count, int64_t limit_ms)
{
	int64_t until = now_ms() + limit_ms;

	for (int i = 0; i < count; i++) {
		while (!node_is_ready(list[i])) {
			if (now_ms() > until)
				cannot_run("node %s does not become ready",
				    list[i]->address);
			sleep_ms(50);
		}
	}
}

/* Clients. */

static void
read_body(int fd, struct call *c, const struct message *m)
{
	size_t chunk = c->read_bytes != 0 ? c->read_bytes : 65536;
	char *buffer = malloc(chunk);

	c->got_bytes = m->body_bytes;
	c->wanted_bytes = content_length(m);
	while (c->got_bytes < c->wanted_bytes) {
		size_t want = c->wanted_bytes - c->got_bytes;
		ssize_t n;

		sleep_ms(c->read_delay_ms);
		if (!wait_readable(fd, c->sent_ms + c->deadline_ms))
			break;
		n = recv(fd, buffer, want < chunk ? want : chunk, 0);
		if (n <= 0) {
			record("client: %s: connection %s after %zu of %zu "
			       "bytes",
			    c->id, n == 0 ? "closed" : strerror(errno),
			    c->got_bytes, c->wanted_bytes);
			break;
		}
		c->got_bytes += (size_t)n;
	}
	c->complete = c->got_bytes == c->wanted_bytes;
	free(buffer);
}

void
call_run(const struct node *n, struct call *c)
{
	static unsigned count;
	struct message m;
	char text[2048], *body;
	int fd;

	snprintf(c->id, sizeof(c->id), "%08x%08x", (unsigned)getpid(),
	    __atomic_add_fetch(&count, 1, __ATOMIC_RELAXED));
	c->status = 0;
	c->complete = false;
	c->instance[0] = '\0';
	c->sent_ms = now_ms();
	fd = connect_to(
	    n->address, n->callers_port, c->read_bytes != 0 ? 16384 : 0);
	snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nX-Ibisrail-Attempt-Id: %s\r\n"
	    "X-Ibisrail-Deadline-Remaining: %d\r\n%s%s%s"
	    "Content-Length: %zu\r\n\r\n",
	    c->method, c->path, c->host, c->id, c->deadline_ms,
	    c->key != NULL ? "X-Api-Key: " : "", c->key != NULL ? c->key : "",
	    c->key != NULL ? "\r\n" : "", c->body_bytes);
	body = calloc(1, c->body_bytes + 1);
	if (fd >= 0 && send_all(fd, text, strlen(text)) &&
	    send_all(fd, body, c->body_bytes) &&
	    read_head(fd, &m, c->sent_ms + c->deadline_ms)) {
		sscanf(m.head, "HTTP/1.1 %d", &c->status);
		header_get(
		    &m, "X-Test-Instance", c->instance, sizeof(c->instance));
		read_body(fd, c, &m);
		free(m.body);
	}
	free(body);
	if (fd >= 0)
		close(fd);
	c->ended_ms = now_ms();
}

/* Deployments. */

void
deployment_init(struct deployment *d, const struct place *places, int count,
    const char *config)
{
	uint16_t callers, peers, ready;
	char address[32];

	choose_ports(&callers, &peers, &ready);
	address_of(address, sizeof(address), 200);
	store_start(&d->store, address);
	store_put(&d->store, "op/config", config);
	d->count = count;
	for (int i = 0; i < count; i++) {
		struct instance *s = &d->instance[i];
		struct node *n = &d->node[i];

		d->nodes[i] = n;
		snprintf(s->id, sizeof(s->id), "i-%08x", 0x7f3a91c0u + i);
		snprintf(
		    s->service, sizeof(s->service), "%s", places[i].service);
		snprintf(s->zone, sizeof(s->zone), "%s", places[i].zone);
		address_of(s->address, sizeof(s->address), i + 1);
		s->store = &d->store;
		s->work_ms = 100;
		s->answer_bytes = 1500;
		instance_start(s);
		snprintf(n->address, sizeof(n->address), "%s", s->address);
		snprintf(n->service, sizeof(n->service), "%s", s->service);
		snprintf(n->zone, sizeof(n->zone), "%s", s->zone);
		snprintf(n->region, sizeof(n->region), "%.*s",
		    (int)strcspn(n->zone, "-"), n->zone);
		snprintf(n->application_address, sizeof(n->application_address),
		    "%s:%u", s->address, s->port);
		n->callers_port = callers;
		n->peers_port = peers;
		n->ready_port = ready;
	}
}

void
deployment_start(struct deployment *d)
{
	for (int i = 0; i < d->count; i++) {
		instance_register(&d->instance[i], "ready");
		node_start(&d->node[i], &d->store);
	}
	wait_until_ready(d->nodes, d->count, 10000);
	poll_readiness(d->nodes, d->count);
	sleep_until(now_ms() + 3000);
}
