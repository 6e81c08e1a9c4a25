/* See kit.h. */
#include "kit.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_ITEMS 64
#define MAX_EVENTS 4096
#define HEARTBEAT_MS 1500
#define LINE_BYTES 1024

struct kit kit;

static int record_fd = -1;
static int64_t begin_ms;

int64_t
kit_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
kit_sleep_ms(int ms)
{
	struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		continue;
}

static void
record(const char *format, va_list args)
{
	char line[LINE_BYTES];
	int n = snprintf(line, sizeof(line), "%8.3f  ",
	    (double)(kit_now_ms() - begin_ms) / 1000);
	ssize_t written;

	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, format, args);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	written = write(record_fd, line, (size_t)n);
	(void)written;
}

void
kit_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	record(format, args);
	va_end(args);
}

void
kit_instance_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	record(format, args);
	va_end(args);
}

void
kit_fail(const char *what)
{
	kit_record("could not run: %s", what);
	fprintf(stderr, "could not run: %s\n", what);
	kit_end(KIT_COULD_NOT_RUN);
}

static void
end_child(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

void
kit_end(int status)
{
	char command[LINE_BYTES];
	int result;

	for (int i = 0; i < kit.node_count; i++) {
		end_child(kit.nodes[i].pid);
		end_child(kit.nodes[i].instance);
	}
	kit_record("end: %s",
	    status == KIT_HELD	   ? "the rule held"
	    : status == KIT_BROKEN ? "the rule was broken"
				   : "could not run");
	snprintf(command, sizeof(command), "rm -rf '%s'", kit.dir);
	result = strncmp(kit.dir, "/tmp/", 5) == 0 ? system(command) : 0;
	(void)result;
	_exit(status);
}

static void
on_alarm(int signal_number)
{
	(void)signal_number;
	kit_record("could not run: out of time");
	kit_end(KIT_COULD_NOT_RUN);
}

void
kit_begin(const char *case_dir)
{
	const char *trouble = getenv("TROUBLE");
	char path[LINE_BYTES];

	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(110);
	begin_ms = kit_now_ms();
	kit.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	if (getcwd(kit.root, sizeof(kit.root)) == NULL)
		exit(KIT_COULD_NOT_RUN);
	snprintf(path, sizeof(path), "%s/record.txt", case_dir);
	record_fd = open(
	    path, O_CREAT | O_TRUNC | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
	snprintf(kit.dir, sizeof(kit.dir), "/tmp/ibisrail-review-XXXXXX");
	if (record_fd < 0 || mkdtemp(kit.dir) == NULL)
		exit(KIT_COULD_NOT_RUN);
	/* A block of loopback addresses of this process alone. */
	snprintf(kit.store_ip, sizeof(kit.store_ip), "127.%d.%d.250",
	    100 + (getpid() >> 8) % 100, getpid() & 0xff);
	kit_record("trouble=%d", kit.trouble);
}

/* Sockets. */

static int
listen_on(const char *ip, int port, int backlog)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, backlog) != 0)
		kit_fail("cannot listen");
	return fd;
}

int
kit_connect(const char *ip, int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

bool
kit_send_all(int fd, const void *data, size_t size)
{
	const char *p = data;

	while (size > 0) {
		ssize_t n = send(fd, p, size, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		size -= (size_t)n;
	}
	return true;
}

bool
kit_read_exactly(int fd, void *data, size_t size)
{
	char *p = data;

	while (size > 0) {
		ssize_t n = recv(fd, p, size, 0);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		size -= (size_t)n;
	}
	return true;
}

bool
kit_read_head(int fd, char *head, size_t size, size_t *extra)
{
	size_t n = 0;

	*extra = 0;
	while (n + 1 < size) {
		if (!kit_read_exactly(fd, head + n, 1))
			return false;
		head[++n] = '\0';
		if (n >= 4 && memcmp(head + n - 4, "\r\n\r\n", 4) == 0)
			return true;
	}
	return false;
}

const char *
kit_header(const char *head, const char *name)
{
	static _Thread_local char values[8][LINE_BYTES];
	static _Thread_local int next;
	size_t n = strlen(name);
	char *to = values[next = (next + 1) % 8];

	to[0] = '\0';
	for (const char *p = strstr(head, "\r\n"); p != NULL;
	     p = strstr(p, "\r\n")) {
		size_t length;

		p += 2;
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		p += strspn(p, " \t");
		length = strcspn(p, "\r\n");
		if (length >= LINE_BYTES)
			length = LINE_BYTES - 1;
		memcpy(to, p, length);
		to[length] = '\0';
		return to;
	}
	return to;
}

/* The client. */

static bool
wait_readable(int fd, int64_t until_ms)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	int64_t left = until_ms - kit_now_ms();

	return left > 0 && poll(&p, 1, (int)left) == 1;
}

static bool
append(int fd, char **data, size_t *bytes, int64_t until_ms, bool *ended)
{
	ssize_t n;

	*data = realloc(*data, *bytes + 65537);
	if (!wait_readable(fd, until_ms))
		return false;
	n = recv(fd, *data + *bytes, 65536, 0);
	if (n <= 0) {
		*ended = n == 0;
		return false;
	}
	*bytes += (size_t)n;
	(*data)[*bytes] = '\0';
	return true;
}

struct kit_answer
kit_read_answer(int fd, bool head_only, int ms)
{
	struct kit_answer a = {0};
	int64_t until_ms = kit_now_ms() + ms;
	char *data = NULL, *end = NULL;
	size_t bytes = 0, head_bytes, length;
	bool ended = false;

	while (end == NULL) {
		if (!append(fd, &data, &bytes, until_ms, &ended)) {
			a.closes = true;
			free(data);
			return a;
		}
		end = strstr(data, "\r\n\r\n");
	}
	head_bytes = (size_t)(end - data) + 4;
	a.head = strndup(data, head_bytes);
	if (sscanf(a.head, "HTTP/1.%*d %d", &a.status) != 1)
		a.status = 0;
	a.signature = kit_header(a.head, "X-Ibisrail-Response-Signature")[0];
	a.closes = strcasecmp(kit_header(a.head, "Connection"), "close") == 0;
	snprintf(a.attempt, sizeof(a.attempt), "%s",
	    kit_header(a.head, "X-Ibisrail-Attempt-Id"));
	snprintf(a.not_run, sizeof(a.not_run), "%s",
	    kit_header(a.head, "Retry-After")[0] ? "yes" : "");
	length = strtoul(kit_header(a.head, "Content-Length"), NULL, 10);
	if (head_only)
		length = 0;
	while (bytes < head_bytes + length &&
	       append(fd, &data, &bytes, until_ms, &ended))
		continue;
	a.complete = bytes >= head_bytes + length &&
		     (head_only || length == 0 || length > 0);
	a.body_bytes = bytes - head_bytes < length ? bytes - head_bytes : length;
	a.body = malloc(a.body_bytes + 1);
	memcpy(a.body, data + head_bytes, a.body_bytes);
	a.body[a.body_bytes] = '\0';
	free(data);
	return a;
}

void
kit_answer_free(struct kit_answer *a)
{
	free(a->head);
	free(a->body);
	a->head = NULL;
	a->body = NULL;
}

/* The store. */

struct item {
	char key[200];
	char *value; /* NULL: none */
	uint64_t revision;
	uint64_t created;
};

struct event {
	char key[200];
	char *value; /* NULL: deleted */
	uint64_t revision;
	uint64_t created;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static struct item items[MAX_ITEMS];
static struct event events[MAX_EVENTS];
static size_t event_count;
static uint64_t revision = 100;

static void
put_locked(const char *key, const char *value)
{
	struct item *i = NULL;
	struct event *e = &events[event_count++ % MAX_EVENTS];

	for (size_t k = 0; k < MAX_ITEMS && i == NULL; k++) {
		if (strcmp(items[k].key, key) == 0)
			i = &items[k];
	}
	for (size_t k = 0; k < MAX_ITEMS && i == NULL; k++) {
		if (items[k].value == NULL)
			i = &items[k];
	}
	revision++;
	if (i->value == NULL)
		i->created = revision;
	free(i->value);
	snprintf(i->key, sizeof(i->key), "%s", key);
	i->value = value != NULL ? strdup(value) : NULL;
	i->revision = revision;
	free(e->value);
	snprintf(e->key, sizeof(e->key), "%s", key);
	e->value = value != NULL ? strdup(value) : NULL;
	e->revision = revision;
	e->created = i->created;
	if (value == NULL)
		i->key[0] = '\0';
	pthread_cond_broadcast(&store_changed);
}

void
kit_store_put(const char *key, const char *value)
{
	pthread_mutex_lock(&store_lock);
	put_locked(key, value);
	pthread_mutex_unlock(&store_lock);
}

void
kit_store_delete(const char *key)
{
	kit_store_put(key, NULL);
}

struct text {
	char *data;
	size_t bytes;
};

static void
add(struct text *t, const char *data)
{
	size_t n = strlen(data);

	t->data = realloc(t->data, t->bytes + n + 1);
	memcpy(t->data + t->bytes, data, n + 1);
	t->bytes += n;
}

static void
add_base64(struct text *t, const char *value)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(value);

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)value[i] << 16;
		char four[5] = "====";

		if (i + 1 < n)
			v |= (uint32_t)(uint8_t)value[i + 1] << 8;
		if (i + 2 < n)
			v |= (uint8_t)value[i + 2];
		four[0] = digits[v >> 18];
		four[1] = digits[v >> 12 & 63];
		if (i + 1 < n)
			four[2] = digits[v >> 6 & 63];
		if (i + 2 < n)
			four[3] = digits[v & 63];
		add(t, four);
	}
}

static void
add_item(struct text *t, const char *key, const char *value,
    uint64_t item_revision, uint64_t created)
{
	char line[400];

	snprintf(line, sizeof(line), "{\"key\":\"%s\",\"revision\":%llu,", key,
	    (unsigned long long)item_revision);
	add(t, line);
	if (value == NULL) {
		add(t, "\"deleted\":true}");
		return;
	}
	snprintf(line, sizeof(line), "\"created\":%llu,\"lease\":0,\"value\":\"",
	    (unsigned long long)created);
	add(t, line);
	add_base64(t, value);
	add(t, "\"}");
}

static bool
begins_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

static void
query_value(const char *target, const char *name, char *to, size_t size)
{
	const char *p = strchr(target, '?');
	size_t n = strlen(name), k = 0;

	to[0] = '\0';
	while (p != NULL) {
		p++;
		if (strncmp(p, name, n) == 0 && p[n] == '=') {
			for (p += n + 1; *p != '\0' && *p != '&' && k + 1 < size;
			     p++) {
				unsigned c = (uint8_t)*p;

				if (c == '%' && isxdigit((uint8_t)p[1])) {
					sscanf(p + 1, "%2x", &c);
					p += 2;
				}
				to[k++] = (char)c;
			}
			to[k] = '\0';
			return;
		}
		p = strchr(p, '&');
	}
}

static int
answer_key(struct text *t, const char *key)
{
	for (size_t i = 0; i < MAX_ITEMS; i++) {
		if (items[i].value == NULL || strcmp(items[i].key, key) != 0)
			continue;
		add_item(t, key, items[i].value, items[i].revision,
		    items[i].created);
		t->bytes--; /* the brace: store_revision follows */
		t->data[t->bytes] = '\0';
		add(t, ",");
		return 200;
	}
	add(t, "{");
	return 404;
}

static int
answer_range(struct text *t, const char *prefix)
{
	bool first = true;

	add(t, "{\"items\":[");
	for (size_t i = 0; i < MAX_ITEMS; i++) {
		if (items[i].value == NULL ||
		    !begins_with(items[i].key, prefix))
			continue;
		if (!first)
			add(t, ",");
		first = false;
		add_item(t, items[i].key, items[i].value, items[i].revision,
		    items[i].created);
	}
	add(t, "],\"truncated\":false,");
	return 200;
}

static int
answer_watch(struct text *t, const char *prefix, uint64_t after, int wait_ms)
{
	int64_t until = kit_now_ms() + wait_ms;
	bool first = true;

	for (;;) {
		bool any = false;
		struct timespec at;

		for (size_t i = 0; i < event_count; i++)
			any = any || (events[i].revision > after &&
					 begins_with(events[i].key, prefix));
		if (any || kit_now_ms() >= until)
			break;
		clock_gettime(CLOCK_REALTIME, &at);
		at.tv_nsec += 20000000;
		if (at.tv_nsec >= 1000000000) {
			at.tv_sec++;
			at.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&store_changed, &store_lock, &at);
	}
	add(t, "{\"events\":[");
	for (size_t i = 0; i < event_count; i++) {
		const struct event *e = &events[i];

		if (e->revision <= after || !begins_with(e->key, prefix))
			continue;
		if (!first)
			add(t, ",");
		first = false;
		add_item(t, e->key, e->value, e->revision, e->created);
	}
	add(t, "],");
	return 200;
}

static bool
serve_store_request(int fd, const char *head)
{
	char target[LINE_BYTES] = "", prefix[200], after[40], wait[40];
	char key[200], line[200];
	struct text t = {0};
	int status = 404;
	bool ok;

	sscanf(head, "GET %1000s", target);
	query_value(target, "path_prefix", prefix, sizeof(prefix));
	query_value(target, "key", key, sizeof(key));
	query_value(target, "after", after, sizeof(after));
	query_value(target, "wait_ms", wait, sizeof(wait));
	pthread_mutex_lock(&store_lock);
	if (begins_with(target, "/api/kv-key"))
		status = answer_key(&t, key);
	else if (begins_with(target, "/api/kv-range"))
		status = answer_range(&t, prefix);
	else if (begins_with(target, "/api/kv-watch"))
		status = answer_watch(
		    &t, prefix, strtoull(after, NULL, 10), atoi(wait));
	else
		add(&t, "{");
	snprintf(line, sizeof(line), "\"store_revision\":%llu}",
	    (unsigned long long)revision);
	add(&t, line);
	pthread_mutex_unlock(&store_lock);
	snprintf(line, sizeof(line),
	    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, t.bytes);
	ok = kit_send_all(fd, line, strlen(line)) &&
	     kit_send_all(fd, t.data, t.bytes);
	free(t.data);
	return ok;
}

static void *
serve_store_conn(void *ctx)
{
	int fd = (int)(intptr_t)ctx;
	char head[8192];
	size_t extra;

	while (kit_read_head(fd, head, sizeof(head), &extra) &&
	       serve_store_request(fd, head))
		continue;
	close(fd);
	return NULL;
}

static void
start_thread(void *(*run)(void *), void *ctx)
{
	pthread_t t;

	if (pthread_create(&t, NULL, run, ctx) != 0)
		kit_fail("no thread");
	pthread_detach(t);
}

static void *
run_store(void *ctx)
{
	int listen_fd = (int)(intptr_t)ctx;

	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			start_thread(serve_store_conn, (void *)(intptr_t)fd);
	}
	return NULL;
}

void
kit_store_start(void)
{
	start_thread(run_store,
	    (void *)(intptr_t)listen_on(kit.store_ip, KIT_STORE_PORT, 100));
}

/* Proxies. */

struct proxy {
	char to[16];
	int port;
	int listen_fd;
	struct kit_node *owner;
};

/* A connection that a proxy took. */
struct proxied {
	struct proxy *proxy;
	const struct kit_node *opener; /* NULL: not a node */
	int fd;
};

/* One direction of a connection. */
struct pipe_end {
	struct proxied conn;
	int from;
	int to;
};

static bool
is_silent(const struct proxied *c)
{
	return kit.silent && (kit.cut_off == c->proxy->owner ||
				 kit.cut_off == c->opener);
}

static void *
run_pipe(void *ctx)
{
	struct pipe_end *e = ctx;
	char data[16384];

	for (;;) {
		struct pollfd p = {.fd = e->from, .events = POLLIN};
		ssize_t n;

		if (is_silent(&e->conn)) {
			kit_sleep_ms(5);
			continue;
		}
		if (poll(&p, 1, 20) != 1 || is_silent(&e->conn))
			continue;
		n = recv(e->from, data, sizeof(data), 0);
		if (n <= 0 || !kit_send_all(e->to, data, (size_t)n))
			break;
	}
	/* The other direction ends by this too. */
	shutdown(e->to, SHUT_RDWR);
	shutdown(e->from, SHUT_RDWR);
	free(e);
	return NULL;
}

static void
start_pipe(const struct proxied *c, int from, int to)
{
	struct pipe_end *e = malloc(sizeof(*e));

	*e = (struct pipe_end){*c, from, to};
	start_thread(run_pipe, e);
}

/* The inode of the other end of an accepted connection; 0: not found. */
static unsigned long
inode_of_peer(int fd)
{
	struct sockaddr_in a;
	socklen_t size = sizeof(a);
	char line[400];
	unsigned long inode = 0, found = 0;
	unsigned port = 0, remote = 0;
	FILE *f = fopen("/proc/net/tcp", "r");

	if (f == NULL || getpeername(fd, (struct sockaddr *)&a, &size) != 0)
		kit_fail("the opener of a connection is not known");
	while (found == 0 && fgets(line, sizeof(line), f) != NULL) {
		if (sscanf(line, " %*d: %*x:%x %*x:%x %*x %*s %*s %*s %*d %*d "
				 "%lu",
			&port, &remote, &inode) == 3 &&
		    port == ntohs(a.sin_port))
			found = inode;
	}
	fclose(f);
	return found;
}

static bool
has_socket(pid_t pid, unsigned long inode)
{
	char path[64], link[64], wanted[64];

	snprintf(wanted, sizeof(wanted), "socket:[%lu]", inode);
	for (int k = 0; k < 512 && pid > 0; k++) {
		ssize_t n;

		snprintf(path, sizeof(path), "/proc/%d/fd/%d", (int)pid, k);
		n = readlink(path, link, sizeof(link) - 1);
		if (n <= 0)
			continue;
		link[n] = '\0';
		if (strcmp(link, wanted) == 0)
			return true;
	}
	return false;
}

static const struct kit_node *
opener_of(int fd)
{
	unsigned long inode = inode_of_peer(fd);

	for (int i = 0; i < kit.node_count && inode != 0; i++) {
		if (has_socket(kit.nodes[i].pid, inode))
			return &kit.nodes[i];
	}
	return NULL;
}

static void *
forward_conn(void *ctx)
{
	struct proxied *c = ctx;
	int to;

	c->opener = opener_of(c->fd);
	while (is_silent(c))
		kit_sleep_ms(5);
	to = kit_connect(c->proxy->to, c->proxy->port);
	if (to < 0) {
		close(c->fd);
	} else {
		start_pipe(c, c->fd, to);
		start_pipe(c, to, c->fd);
	}
	free(c);
	return NULL;
}

static void *
run_proxy(void *ctx)
{
	struct proxy *p = ctx;

	for (;;) {
		struct proxied *c = calloc(1, sizeof(*c));

		c->proxy = p;
		c->fd = accept4(p->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		if (c->fd >= 0)
			start_thread(forward_conn, c);
	}
	return NULL;
}

void
kit_proxy_start(
    const char *ip, int port, const char *to, struct kit_node *owner)
{
	struct proxy *p = calloc(1, sizeof(*p));

	snprintf(p->to, sizeof(p->to), "%s", to);
	p->port = port;
	p->owner = owner;
	p->listen_fd = listen_on(ip, port, 100);
	start_thread(run_proxy, p);
}

/* Nodes. */

void
kit_address(char ip[16], int last)
{
	snprintf(ip, 16, "%.*s%d",
	    (int)(strrchr(kit.store_ip, '.') - kit.store_ip + 1), kit.store_ip,
	    last);
}

struct kit_node *
kit_add_node(const char *service, const char *zone, const char *region)
{
	struct kit_node *n = &kit.nodes[kit.node_count++];

	kit_address(n->ip, kit.node_count);
	memcpy(n->peers_ip, n->ip, sizeof(n->peers_ip));
	memcpy(n->store_ip, kit.store_ip, sizeof(n->store_ip));
	n->service = service;
	n->zone = zone;
	n->region = region;
	snprintf(n->id, sizeof(n->id), "i-%d-1", kit.node_count);
	return n;
}

static void
write_settings(struct kit_node *n)
{
	FILE *f;

	snprintf(n->settings, sizeof(n->settings), "%s/%s.json", kit.dir, n->ip);
	f = fopen(n->settings, "w");
	if (f == NULL)
		kit_fail("settings");
	fprintf(f,
	    "{\"host\":\"%s\",\"service\":\"%s\",\"region\":\"%s\","
	    "\"zone\":\"%s\",\"callers\":\"%s:%d\",\"peers\":\"%s:%d\","
	    "\"admin\":\"%s:%d\",\"metrics\":\"%s:%d\",\"upstream\":\"%s:%d\","
	    "\"platform\":\"%s:%d\",\"slots\":8,\"upstream_connections\":600,"
	    "\"memory_mb\":260,\"leave_ms\":3000,\"log_level\":\"notice\","
	    "\"rate_tolerance\":{\"share\":0.25,\"requests\":20,"
	    "\"window_s\":5},\"zones\":{\"sierra-cuenca\":\"sierra\","
	    "\"costa-guayaquil\":\"costa\",\"sierra-quito\":\"sierra\","
	    "\"costa-manta\":\"costa\"}}\n",
	    n->ip, n->service, n->region, n->zone, n->ip, KIT_CALLERS_PORT,
	    n->peers_ip, KIT_PEERS_PORT, n->ip, KIT_READY_PORT, n->ip,
	    KIT_METRICS_PORT, n->ip, KIT_INSTANCE_PORT, n->store_ip,
	    KIT_STORE_PORT);
	fclose(f);
}

void
kit_node_start(struct kit_node *n)
{
	char variable[400], log[400];
	char *arguments[] = {"target/ibisraild-platform", "--grace-s=6", NULL};
	char *environment[] = {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
	    variable, NULL};

	write_settings(n);
	snprintf(variable, sizeof(variable), "IBISRAIL_CONFIG=%s", n->settings);
	snprintf(log, sizeof(log), "%s/%s.log", kit.dir, n->ip);
	n->pid = fork();
	if (n->pid == 0) {
		int fd = open(log, O_CREAT | O_WRONLY | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (n->max_descriptors > 0) {
			struct rlimit r = {(rlim_t)n->max_descriptors,
			    (rlim_t)n->max_descriptors};

			setrlimit(RLIMIT_NOFILE, &r);
		}
		dup2(fd, 1);
		dup2(fd, 2);
		execve(arguments[0], arguments, environment);
		_exit(127);
	}
	kit_record("node %s of %s started", n->ip, n->service);
}

bool
kit_node_is_ready(const struct kit_node *n)
{
	int fd = kit_connect(n->ip, KIT_READY_PORT);
	struct kit_answer a;
	char text[200];
	bool ready;

	if (fd < 0)
		return false;
	snprintf(text, sizeof(text),
	    "GET /api/readiness HTTP/1.1\r\nHost: %s\r\n\r\n", n->ip);
	kit_send_all(fd, text, strlen(text));
	a = kit_read_answer(fd, false, 1000);
	ready = a.status == 200;
	kit_answer_free(&a);
	close(fd);
	return ready;
}

int
kit_node_state(const struct kit_node *n, const char *name)
{
	int fd = kit_connect(n->ip, KIT_READY_PORT), value = -1;
	struct kit_answer a;
	char text[200], *at;

	if (fd < 0)
		return -1;
	snprintf(text, sizeof(text), "GET /state HTTP/1.1\r\nHost: %s\r\n\r\n",
	    n->ip);
	kit_send_all(fd, text, strlen(text));
	a = kit_read_answer(fd, false, 2000);
	snprintf(text, sizeof(text), "\"%s\"", name);
	at = a.body != NULL ? strstr(a.body, text) : NULL;
	at = at != NULL ? strchr(at, ':') : NULL;
	if (at != NULL)
		value = atoi(at + 1);
	kit_answer_free(&a);
	close(fd);
	return value;
}

void
kit_wait_ready(int seconds)
{
	int64_t until = kit_now_ms() + (int64_t)seconds * 1000;

	for (int i = 0; i < kit.node_count; i++) {
		while (kit.nodes[i].pid > 0 &&
		       !kit_node_is_ready(&kit.nodes[i])) {
			if (kit_now_ms() > until)
				kit_fail("nodes are not ready");
			kit_sleep_ms(50);
		}
	}
}

static void
put_entry(struct kit_node *n)
{
	char key[100], value[500];

	snprintf(key, sizeof(key), "servers/%s", n->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":36,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"sequence\":%llu,\"born\":%lld}",
	    n->service, n->ip, KIT_INSTANCE_PORT, n->zone,
	    n->draining ? "draining" : "ready",
	    (unsigned long long)++n->sequence, (long long)n->born_ms);
	kit_store_put(key, value);
}

void
kit_list(struct kit_node *n)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	if (n->born_ms == 0)
		n->born_ms = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	n->listed = true;
	put_entry(n);
}

void
kit_unlist(struct kit_node *n)
{
	char key[100];

	n->listed = false;
	snprintf(key, sizeof(key), "servers/%s", n->id);
	kit_store_delete(key);
}

static void *
run_heartbeats(void *ctx)
{
	(void)ctx;
	for (;;) {
		kit_sleep_ms(HEARTBEAT_MS);
		for (int i = 0; i < kit.node_count; i++) {
			if (kit.nodes[i].listed)
				put_entry(&kit.nodes[i]);
		}
	}
	return NULL;
}

void
kit_heartbeats_start(void)
{
	start_thread(run_heartbeats, NULL);
}

/* Instances. */

struct instance_conn {
	struct kit_node *node;
	kit_serve_fn *serve;
	int fd;
};

static void *
serve_instance_conn(void *ctx)
{
	struct instance_conn *c = ctx;

	c->serve(c->node, c->fd);
	close(c->fd);
	free(c);
	return NULL;
}

static _Noreturn void
run_instance(struct kit_node *n, kit_serve_fn *serve, int listen_fd)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (;;) {
		struct instance_conn *c = calloc(1, sizeof(*c));
		int on = 1;

		c->node = n;
		c->serve = serve;
		c->fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (c->fd >= 0)
			start_thread(serve_instance_conn, c);
	}
}

void
kit_instance_start(struct kit_node *n, kit_serve_fn *serve)
{
	int fd = listen_on(n->ip, KIT_INSTANCE_PORT, 100);

	n->instance = fork();
	if (n->instance == 0)
		run_instance(n, serve, fd);
	close(fd);
	kit_record("instance %s of %s started", n->id, n->service);
}

void
kit_instance_kill(struct kit_node *n)
{
	end_child(n->instance);
	n->instance = 0;
	kit_record("instance %s of %s killed", n->id, n->service);
}
