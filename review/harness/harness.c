/* See harness.h. */
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
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

int port_callers, port_peers, port_admin, port_metrics, port_app, port_store;
struct run runs[200000];
int run_count;
pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[128];
static char root[512];
static int net;
static int64_t start_us;
static struct node *nodes[64];
static int node_count;

static int64_t
clock_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000000LL + t.tv_nsec / 1000;
}

int64_t
now_ms(void)
{
	return (clock_us() - start_us) / 1000;
}

void
sleep_ms(int64_t ms)
{
	if (ms > 0)
		usleep((useconds_t)ms * 1000);
}

void
sleep_until(int64_t at_ms)
{
	while (now_ms() < at_ms)
		sleep_ms(at_ms - now_ms() < 500 ? at_ms - now_ms() : 500);
}

bool
trouble(void)
{
	const char *s = getenv("TROUBLE");

	return s == NULL || strcmp(s, "0") != 0;
}

void
record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

const char *
machine_ip(int machine)
{
	static char text[256][24];

	if (text[machine][0] == '\0')
		snprintf(text[machine], sizeof(text[machine]), "127.77.%d.%d",
		    net, machine);
	return text[machine];
}

static int
make_socket(const char *ip, int port, bool reuse)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	inet_pton(AF_INET, ip, &a.sin_addr);
	if (reuse)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Below the ports that connections are given. */
static int
free_port(void)
{
	static int last;
	int fd = -1;

	if (last == 0)
		last = 12000 + (int)(random() % 15000);
	while (fd < 0 && last < 32000)
		fd = make_socket("0.0.0.0", ++last, false);
	close(fd);
	return last;
}

bool
harness_init(void)
{
	struct timespec t;
	char program[700];

	signal(SIGPIPE, SIG_IGN);
	start_us = clock_us();
	clock_gettime(CLOCK_REALTIME, &t);
	net = 1 + (int)((t.tv_nsec / 1000 + getpid()) % 250);
	srandom((unsigned)(t.tv_nsec ^ getpid()));
	record_file = fopen("record.txt", "w");
	if (record_file == NULL || getcwd(root, sizeof(root) - 20) == NULL)
		return false;
	strcat(root, "/../..");
	snprintf(program, sizeof(program), "%s/target/ibisraild-platform", root);
	if (access(program, X_OK) != 0) {
		fprintf(stderr, "target/ibisraild-platform is not built\n");
		return false;
	}
	strcpy(folder, "/tmp/review-XXXXXX");
	if (mkdtemp(folder) == NULL)
		return false;
	port_callers = free_port();
	port_peers = free_port();
	port_admin = free_port();
	port_metrics = free_port();
	port_app = free_port();
	port_store = free_port();
	record("trouble=%d", trouble());
	return true;
}

void
harness_exit(int code)
{
	char command[200];

	for (int i = 0; i < node_count; i++) {
		if (nodes[i]->pid <= 0)
			continue;
		kill(nodes[i]->pid, SIGCONT);
		kill(nodes[i]->pid, SIGKILL);
		waitpid(nodes[i]->pid, NULL, 0);
	}
	record("exit %d", code);
	if (getenv("KEEP") == NULL) {
		snprintf(command, sizeof(command), "rm -rf %s", folder);
		if (system(command) != 0)
			code = 2;
	} else {
		fprintf(stderr, "logs in %s\n", folder);
	}
	_exit(code);
}

bool
write_all(int fd, const void *data, size_t size)
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
message_header(
    const struct message *m, const char *name, char *to, size_t size)
{
	const char *p = m->head;
	size_t n = strlen(name);

	to[0] = '\0';
	while (*p != '\0') {
		const char *end = strstr(p, "\r\n");

		if (end == NULL)
			return false;
		if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
			size_t len;

			p += n + 1;
			while (*p == ' ')
				p++;
			len = (size_t)(end - p);
			if (len >= size)
				len = size - 1;
			memcpy(to, p, len);
			to[len] = '\0';
			return true;
		}
		p = end + 2;
	}
	return false;
}

void
message_free(struct message *m)
{
	free(m->body);
	m->body = NULL;
}

/* Reads exactly n bytes. */
static bool
read_exact(int fd, char *to, size_t n)
{
	while (n > 0) {
		ssize_t k = recv(fd, to, n, 0);

		if (k < 0 && errno == EINTR)
			continue;
		if (k <= 0)
			return false;
		to += k;
		n -= (size_t)k;
	}
	return true;
}

static bool
read_line(int fd, char *to, size_t size)
{
	size_t n = 0;

	while (n + 1 < size) {
		if (!read_exact(fd, to + n, 1))
			return false;
		if (to[n++] == '\n')
			break;
	}
	to[n] = '\0';
	return true;
}

static bool
read_chunks(int fd, struct message *m)
{
	char line[128];

	for (;;) {
		size_t n;

		if (!read_line(fd, line, sizeof(line)))
			return false;
		n = strtoul(line, NULL, 16);
		if (n == 0)
			break;
		m->body = realloc(m->body, m->body_bytes + n);
		if (!read_exact(fd, m->body + m->body_bytes, n) ||
		    !read_line(fd, line, sizeof(line)))
			return false;
		m->body_bytes += n;
	}
	do {
		if (!read_line(fd, line, sizeof(line)))
			return false;
	} while (strcmp(line, "\r\n") != 0);
	return true;
}

static bool
read_to_end(int fd, struct message *m)
{
	char data[4096];
	ssize_t n;

	m->no_length = true;
	while ((n = recv(fd, data, sizeof(data), 0)) > 0) {
		m->body = realloc(m->body, m->body_bytes + (size_t)n);
		memcpy(m->body + m->body_bytes, data, (size_t)n);
		m->body_bytes += (size_t)n;
	}
	return n == 0;
}

bool
message_read(int fd, bool request, struct message *m)
{
	char value[64];
	size_t n = 0;

	memset(m, 0, sizeof(*m));
	/* One byte at a time, so that nothing of the next message is taken. */
	do {
		if (!read_line(fd, m->line, sizeof(m->line)))
			return false;
	} while (strcmp(m->line, "\r\n") == 0);
	if (request)
		(void)sscanf(m->line, "%15s %8199s", m->method, m->target);
	else
		(void)sscanf(m->line, "HTTP/1.1 %d", &m->status);
	for (;;) {
		if (n + 9000 > sizeof(m->head) ||
		    !read_line(fd, m->head + n, sizeof(m->head) - n))
			return false;
		if (strcmp(m->head + n, "\r\n") == 0)
			break;
		n += strlen(m->head + n);
	}
	m->head[n] = '\0';
	if (!request && (m->status < 200 || m->status == 204 ||
			    m->status == 304)) {
		m->complete = true;
	} else if (message_header(m, "Transfer-Encoding", value, 64)) {
		m->complete = read_chunks(fd, m);
	} else if (message_header(m, "Content-Length", value, 64)) {
		size_t size = strtoul(value, NULL, 10);

		m->body = malloc(size + 1);
		m->complete = read_exact(fd, m->body, size);
		m->body_bytes = size;
	} else if (!request) {
		m->complete = read_to_end(fd, m);
	} else {
		m->complete = true;
	}
	return m->complete;
}

int
tcp_connect(const char *from_ip, const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port)};
	struct timeval t = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	struct timeval none = {0, 0};
	int fd = from_ip != NULL
		     ? make_socket(from_ip, 0, false)
		     : socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof(none));
	return fd;
}

/* The store. */

#define MAX_ITEMS 512
#define MAX_EVENTS 20000

struct item {
	char *key;
	char *value; /* NULL: deleted */
	uint64_t revision, created;
};

struct event {
	uint64_t revision, created;
	char *key;
	char *value; /* NULL: deleted */
};

static struct item items[MAX_ITEMS];
static int item_count;
static struct event events[MAX_EVENTS];
static int event_count;
static uint64_t revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static struct item *
find_item(const char *key)
{
	for (int i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static void
add_event(const struct item *i)
{
	events[event_count++] = (struct event){.revision = i->revision,
	    .created = i->created,
	    .key = i->key,
	    .value = i->value != NULL ? strdup(i->value) : NULL};
	if (event_count == MAX_EVENTS)
		harness_exit(2);
	pthread_cond_broadcast(&store_changed);
}

uint64_t
store_put(const char *key, const char *value)
{
	struct item *i;
	uint64_t r;

	pthread_mutex_lock(&store_lock);
	i = find_item(key);
	if (i == NULL) {
		i = &items[item_count++];
		i->key = strdup(key);
	}
	r = ++revision;
	if (i->value == NULL)
		i->created = r;
	free(i->value);
	i->value = strdup(value);
	i->revision = r;
	add_event(i);
	pthread_mutex_unlock(&store_lock);
	return r;
}

void
store_delete(const char *key)
{
	struct item *i;

	pthread_mutex_lock(&store_lock);
	i = find_item(key);
	if (i != NULL && i->value != NULL) {
		free(i->value);
		i->value = NULL;
		i->revision = ++revision;
		add_event(i);
	}
	pthread_mutex_unlock(&store_lock);
}

static char *
base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(text), k = 0;
	char *out = malloc(n * 4 / 3 + 8);

	for (size_t i = 0; i < n; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < n)
			v |= (unsigned)(unsigned char)text[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)text[i + 2];
		out[k++] = digits[v >> 18];
		out[k++] = digits[v >> 12 & 63];
		out[k++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		out[k++] = i + 2 < n ? digits[v & 63] : '=';
	}
	out[k] = '\0';
	return out;
}

static void
print_item(FILE *f, const char *key, const char *value, uint64_t rev,
    uint64_t created)
{
	char *text;

	if (value == NULL) {
		fprintf(f, "{\"key\":\"%s\",\"revision\":%llu,\"deleted\":true",
		    key, (unsigned long long)rev);
		return;
	}
	text = base64(value);
	fprintf(f,
	    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
	    "\"created\":%llu,\"lease\":0",
	    key, text, (unsigned long long)rev, (unsigned long long)created);
	free(text);
}

static bool
query(const char *target, const char *name, char *to, size_t size)
{
	const char *p = strchr(target, '?');
	size_t n = strlen(name);

	to[0] = '\0';
	while (p != NULL) {
		p++;
		if (strncmp(p, name, n) == 0 && p[n] == '=') {
			size_t len = strcspn(p + n + 1, "&");

			if (len >= size)
				len = size - 1;
			memcpy(to, p + n + 1, len);
			to[len] = '\0';
			return true;
		}
		p = strchr(p, '&');
	}
	return false;
}

static int
compare_items(const void *a, const void *b)
{
	return strcmp((*(struct item *const *)a)->key,
	    (*(struct item *const *)b)->key);
}

static void
answer_range(FILE *f, const char *prefix, const char *after)
{
	struct item *list[MAX_ITEMS];
	int n = 0, sent = 0;
	bool cut = false;

	for (int i = 0; i < item_count; i++) {
		if (items[i].value != NULL &&
		    strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
		    strcmp(items[i].key, after) > 0)
			list[n++] = &items[i];
	}
	qsort(list, (size_t)n, sizeof(list[0]), compare_items);
	fprintf(f, "{\"items\":[");
	for (int i = 0; i < n; i++) {
		if (sent++ > 0)
			fputc(',', f);
		print_item(f, list[i]->key, list[i]->value, list[i]->revision,
		    list[i]->created);
		fputc('}', f);
	}
	fprintf(f, "],\"truncated\":%s,\"store_revision\":%llu}",
	    cut ? "true" : "false", (unsigned long long)revision);
}

static bool
has_event(const char *prefix, uint64_t after)
{
	for (int i = event_count - 1; i >= 0 && events[i].revision > after;
	     i--) {
		if (strncmp(events[i].key, prefix, strlen(prefix)) == 0)
			return true;
	}
	return false;
}

static void
answer_watch(FILE *f, const char *prefix, uint64_t after, int wait_ms)
{
	struct timespec end;
	int sent = 0;

	clock_gettime(CLOCK_REALTIME, &end);
	end.tv_sec += wait_ms / 1000;
	end.tv_nsec += wait_ms % 1000 * 1000000L;
	if (end.tv_nsec >= 1000000000L) {
		end.tv_sec++;
		end.tv_nsec -= 1000000000L;
	}
	while (!has_event(prefix, after)) {
		if (pthread_cond_timedwait(&store_changed, &store_lock, &end) !=
		    0)
			break;
	}
	fprintf(f, "{\"events\":[");
	for (int i = 0; i < event_count; i++) {
		if (events[i].revision <= after ||
		    strncmp(events[i].key, prefix, strlen(prefix)) != 0)
			continue;
		if (sent++ > 0)
			fputc(',', f);
		print_item(f, events[i].key, events[i].value,
		    events[i].revision, events[i].created);
		fputc('}', f);
	}
	fprintf(f, "],\"store_revision\":%llu}", (unsigned long long)revision);
}

/* Returns the status. */
static int
store_answer(FILE *f, const char *target)
{
	char prefix[256], after[256], wait[32], key[256];

	(void)query(target, "path_prefix", prefix, sizeof(prefix));
	(void)query(target, "after", after, sizeof(after));
	(void)query(target, "wait_ms", wait, sizeof(wait));
	if (strncmp(target, "/api/kv-range", 13) == 0) {
		answer_range(f, prefix, after);
		return 200;
	}
	if (strncmp(target, "/api/kv-watch", 13) == 0) {
		answer_watch(
		    f, prefix, strtoull(after, NULL, 10), atoi(wait));
		return 200;
	}
	if (strncmp(target, "/api/kv-key", 11) == 0 &&
	    query(target, "key", key, sizeof(key))) {
		struct item *i = find_item(key);

		if (i == NULL || i->value == NULL) {
			fprintf(f, "{\"store_revision\":%llu}",
			    (unsigned long long)revision);
			return 404;
		}
		print_item(f, i->key, i->value, i->revision, i->created);
		fprintf(f, ",\"store_revision\":%llu}",
		    (unsigned long long)revision);
		return 200;
	}
	fprintf(f, "{}");
	return 404;
}

static void *
serve_store(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct message *m = calloc(1, sizeof(*m));

	while (message_read(fd, true, m)) {
		char *text = NULL, head[256];
		size_t size = 0;
		FILE *f;
		int status;

		f = open_memstream(&text, &size);
		pthread_mutex_lock(&store_lock);
		status = store_answer(f, m->target);
		pthread_mutex_unlock(&store_lock);
		fclose(f);
		sleep_ms(4);
		snprintf(head, sizeof(head),
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, size);
		message_free(m);
		if (!write_all(fd, head, strlen(head)) ||
		    !write_all(fd, text, size)) {
			free(text);
			break;
		}
		free(text);
	}
	message_free(m);
	free(m);
	close(fd);
	return NULL;
}

struct acceptor {
	int fd;
	void *(*serve)(void *arg);
};

static void
start_thread(void *(*run)(void *arg), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 256 * 1024);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &a, run, arg) != 0)
		harness_exit(2);
}

static void *
accept_all(void *arg)
{
	struct acceptor *a = arg;
	int fd, on = 1;

	while ((fd = accept4(a->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		start_thread(a->serve, (void *)(intptr_t)fd);
	}
	return NULL;
}

void
store_start(void)
{
	static struct acceptor a;

	a.fd = make_socket(machine_ip(250), port_store, true);
	a.serve = serve_store;
	if (a.fd < 0 || listen(a.fd, 512) != 0)
		harness_exit(2);
	start_thread(accept_all, &a);
}

/* Instances. */

struct instance_conn {
	struct instance *instance;
	int fd;
};

static void
add_run(struct instance *i, const struct message *m)
{
	struct run *r;

	pthread_mutex_lock(&runs_lock);
	r = &runs[run_count++];
	r->at_ms = now_ms();
	snprintf(r->service, sizeof(r->service), "%s", i->service);
	snprintf(r->instance, sizeof(r->instance), "%s", i->id);
	snprintf(r->method, sizeof(r->method), "%s", m->method);
	snprintf(r->target, sizeof(r->target), "%.250s", m->target);
	(void)message_header(
	    m, "X-Ibisrail-Attempt-Id", r->attempt, sizeof(r->attempt));
	(void)message_header(
	    m, "X-Ibisrail-Caller-Service", r->caller, sizeof(r->caller));
	(void)message_header(
	    m, "X-Ibisrail-Tenant-Name", r->tenant, sizeof(r->tenant));
	(void)message_header(m, "X-Ibisrail-Expected-Instance", r->expected,
	    sizeof(r->expected));
	pthread_mutex_unlock(&runs_lock);
	record("run attempt=%s service=%s instance=%s %s %s expected=%s",
	    r->attempt, r->service, r->instance, r->method, r->target,
	    r->expected);
}

static bool
send_answer(struct instance *i, int fd, int status, const char *attempt,
    const char *extra, size_t body_bytes)
{
	char *text = malloc(body_bytes + 1024);
	int n = snprintf(text, 1000,
	    "HTTP/1.1 %d X\r\nX-Ibisrail-Attempt-Id: %s\r\n%s"
	    "X-Ibisrail-Instance-Load: %d,0,%d\r\nContent-Length: %zu\r\n\r\n",
	    status, attempt, extra, i->running, i->slots, body_bytes);
	bool ok;

	memset(text + n, 'x', body_bytes);
	ok = write_all(fd, text, (size_t)n + body_bytes);
	free(text);
	return ok;
}

static bool
serve_request(struct instance *i, int fd, const struct message *m)
{
	char attempt[64], expected[64], extra[256];
	int status, running;

	if (!message_header(
		m, "X-Ibisrail-Attempt-Id", attempt, sizeof(attempt)))
		return send_answer(i, fd, strcmp(m->target, "/health") == 0 ?
			200 : 400, "", "X-Ibisrail-Not-Executed: 1\r\n", 0);
	if (message_header(m, "X-Ibisrail-Expected-Instance", expected,
		sizeof(expected)) &&
	    strcmp(expected, i->id) != 0) {
		record("421 attempt=%s instance=%s expected=%s", attempt, i->id,
		    expected);
		snprintf(extra, sizeof(extra),
		    "X-Ibisrail-Instance-Id: %s\r\n"
		    "X-Ibisrail-Not-Executed: 1\r\n",
		    i->id);
		return send_answer(i, fd, 421, attempt, extra, 0);
	}
	running = __atomic_add_fetch(&i->running, 1, __ATOMIC_SEQ_CST);
	if (running > i->slots + i->slots) {
		__atomic_sub_fetch(&i->running, 1, __ATOMIC_SEQ_CST);
		return send_answer(i, fd, 503, attempt,
		    "X-Ibisrail-Not-Executed: 1\r\n", 0);
	}
	add_run(i, m);
	status = i->work != NULL ? i->work(i, m, fd) : 200;
	__atomic_sub_fetch(&i->running, 1, __ATOMIC_SEQ_CST);
	while (i->dark && !i->ended)
		sleep_ms(20);
	if (i->ended)
		return false;
	if (status <= 0)
		return status == 0;
	snprintf(extra, sizeof(extra),
	    "X-Ibisrail-Response-Signature: %s.%s\r\n", i->id, attempt);
	return send_answer(i, fd, status, attempt, extra, i->answer_bytes);
}

static void *
serve_instance(void *arg)
{
	struct instance_conn *c = arg;
	struct instance *i = c->instance;
	struct message *m = calloc(1, sizeof(*m));
	int slot = -1;

	pthread_mutex_lock(&i->lock);
	for (int k = 0; k < 4096 && slot < 0; k++) {
		if (i->fds[k] == 0)
			slot = k;
	}
	i->fds[slot] = c->fd + 1;
	pthread_mutex_unlock(&i->lock);
	while (!i->ended) {
		struct pollfd p = {.fd = c->fd, .events = POLLIN};

		while (!i->ended && (i->dark || poll(&p, 1, 20) == 0)) {
			if (i->dark)
				sleep_ms(20);
		}
		if (i->ended || !message_read(c->fd, true, m) ||
		    !serve_request(i, c->fd, m))
			break;
		message_free(m);
	}
	message_free(m);
	free(m);
	pthread_mutex_lock(&i->lock);
	i->fds[slot] = 0;
	if (i->ended) {
		struct linger l = {1, 0};

		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	}
	close(c->fd);
	pthread_mutex_unlock(&i->lock);
	free(c);
	return NULL;
}

static void *
accept_instance(void *arg)
{
	struct instance *i = arg;
	int fd, on = 1;

	while ((fd = accept4(i->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct instance_conn *c = malloc(sizeof(*c));

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c->instance = i;
		c->fd = fd;
		start_thread(serve_instance, c);
	}
	return NULL;
}

void
instance_write_entry(struct instance *i)
{
	char key[64], value[512];

	snprintf(key, sizeof(key), "servers/%s", i->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"sequence\":%llu,\"born\":%lld}",
	    i->service, machine_ip(i->machine), i->port, i->zone, i->slots,
	    i->state, (unsigned long long)++i->sequence,
	    (long long)i->born_ms);
	store_put(key, value);
}

static void *
beat(void *arg)
{
	struct instance *i = arg;

	while (!i->ended && !i->dark && i->registers) {
		instance_write_entry(i);
		for (int k = 0; k < HEARTBEAT_MS / 20; k++) {
			if (i->ended || i->dark || !i->registers)
				break;
			sleep_ms(20);
		}
	}
	return NULL;
}

struct instance *
instance_start(int machine, const char *service, const char *zone,
    const char *id, int slots, work_fn work)
{
	struct instance *i = calloc(1, sizeof(*i));
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	i->machine = machine;
	i->service = service;
	i->zone = zone;
	snprintf(i->id, sizeof(i->id), "%s", id);
	i->slots = slots;
	i->work = work;
	i->state = "ready";
	i->registers = true;
	i->answer_bytes = 400;
	i->port = port_app;
	i->born_ms = t.tv_sec * 1000LL + t.tv_nsec / 1000000;
	pthread_mutex_init(&i->lock, NULL);
	i->listen_fd = make_socket(machine_ip(machine), port_app, true);
	if (i->listen_fd < 0 || listen(i->listen_fd, 1024) != 0) {
		record("cannot listen for %s", id);
		harness_exit(2);
	}
	record("instance %s of %s starts at %s:%d", id, service,
	    machine_ip(machine), port_app);
	start_thread(accept_instance, i);
	start_thread(beat, i);
	return i;
}

void
instance_crash(struct instance *i)
{
	struct linger l = {1, 0};

	record("instance %s ends", i->id);
	pthread_mutex_lock(&i->lock);
	i->ended = true;
	shutdown(i->listen_fd, SHUT_RDWR);
	close(i->listen_fd);
	for (int k = 0; k < 4096; k++) {
		if (i->fds[k] == 0)
			continue;
		setsockopt(
		    i->fds[k] - 1, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		shutdown(i->fds[k] - 1, SHUT_RD);
	}
	pthread_mutex_unlock(&i->lock);
}

void
instance_go_dark(struct instance *i)
{
	record("instance %s falls silent", i->id);
	i->dark = true;
}

void
instance_release_address(struct instance *i)
{
	record("the address of %s is free", i->id);
	shutdown(i->listen_fd, SHUT_RDWR);
	close(i->listen_fd);
}

void
instance_remove_entry(struct instance *i)
{
	char key[64];

	i->registers = false;
	snprintf(key, sizeof(key), "servers/%s", i->id);
	store_delete(key);
	record("entry of %s removed", i->id);
}

/* Processes of the project. */

static void
write_settings(const struct node *n, const char *service, const char *zone,
    const char *region, int memory_mb)
{
	FILE *f = fopen(n->settings, "w");
	const char *ip = machine_ip(n->machine);

	fprintf(f,
	    "{\"host\":\"%s\",\"service\":\"%s\",\"region\":\"%s\","
	    "\"zone\":\"%s\",\"callers\":\"%s:%d\",\"peers\":\"%s:%d\","
	    "\"admin\":\"%s:%d\",\"metrics\":\"%s:%d\",\"upstream\":\"%s:%d\","
	    "\"platform\":\"%s:%d\",\"slots\":8,\"upstream_connections\":600,"
	    "\"memory_mb\":%d,\"leave_ms\":3000,\"log_level\":\"%s\","
	    "\"rate_tolerance\":{\"share\":0.25,\"requests\":20,"
	    "\"window_s\":5},\"zones\":{\"sierra-cuenca\":\"sierra\","
	    "\"costa-guayaquil\":\"costa\",\"sierra-quito\":\"sierra\","
	    "\"costa-manta\":\"costa\"}}\n",
	    ip, service, region, zone, ip, port_callers, ip, port_peers, ip,
	    port_admin, ip, port_metrics, ip, port_app, machine_ip(250),
	    port_store, memory_mb,
	    getenv("LOG_LEVEL") != NULL ? getenv("LOG_LEVEL") : "notice");
	fclose(f);
}

void
node_start(struct node *n, int machine, const char *service, const char *zone,
    const char *region, int memory_mb)
{
	char program[700];

	n->machine = machine;
	snprintf(n->settings, sizeof(n->settings), "%s/%d.json", folder,
	    machine);
	snprintf(n->log, sizeof(n->log), "%s/%d.log", folder, machine);
	write_settings(n, service, zone, region, memory_mb);
	snprintf(program, sizeof(program), "%s/target/ibisraild-platform", root);
	n->pid = fork();
	if (n->pid == 0) {
		/* Ends with the script, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int fd = open(n->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		setenv("IBISRAIL_CONFIG", n->settings, 1);
		if (chdir(root) != 0)
			_exit(127);
		execl(program, "target/ibisraild-platform", "--grace-s=6",
		    (char *)NULL);
		_exit(127);
	}
	for (int i = 0; i < node_count; i++) {
		if (nodes[i] == n)
			return;
	}
	nodes[node_count++] = n;
}

void
node_signal(struct node *n, int sig)
{
	record("signal %d to the process on machine %d", sig, n->machine);
	kill(n->pid, sig);
}

bool
node_is_running(struct node *n)
{
	if (n->pid <= 0)
		return false;
	if (waitpid(n->pid, NULL, WNOHANG) == n->pid) {
		n->pid = 0;
		return false;
	}
	return true;
}

long
node_rss_kb(struct node *n)
{
	char path[64], line[256];
	long kb = -1;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)n->pid);
	f = fopen(path, "r");
	while (f != NULL && fgets(line, sizeof(line), f) != NULL)
		(void)sscanf(line, "VmRSS: %ld", &kb);
	if (f != NULL)
		fclose(f);
	return kb;
}

bool
node_wait_ready(struct node *n, int timeout_ms)
{
	int64_t end = now_ms() + timeout_ms;
	struct message *m = calloc(1, sizeof(*m));
	bool ready = false;

	while (!ready && now_ms() < end) {
		int fd = tcp_connect(
		    NULL, machine_ip(n->machine), port_admin, 500);

		if (fd >= 0) {
			const char *text = "GET /api/readiness HTTP/1.1\r\n"
					   "Host: x\r\n\r\n";

			ready = write_all(fd, text, strlen(text)) &&
				message_read(fd, false, m) && m->status == 200;
			message_free(m);
			close(fd);
		}
		if (!ready)
			sleep_ms(50);
	}
	free(m);
	return ready;
}

/* Clients. */

void
new_attempt_id(char *to)
{
	snprintf(to, 64, "%08lx%08lx", random() & 0xffffffff,
	    random() & 0xffffffff);
}

void
client_request(int machine, const char *method, const char *host,
    const char *path, const char *headers, const char *body, size_t body_bytes,
    int deadline_ms, struct answer *a)
{
	struct message *m = calloc(1, sizeof(*m));
	struct timeval t = {
	    (deadline_ms + 2000) / 1000, (deadline_ms + 2000) % 1000 * 1000};
	char *head = malloc(40000);
	int fd, n;

	memset(a, 0, sizeof(*a));
	new_attempt_id(a->attempt);
	a->sent_ms = now_ms();
	fd = tcp_connect(machine_ip(machine), machine_ip(machine), port_callers,
	    1000);
	if (fd < 0)
		goto out;
	a->connected = true;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	n = snprintf(head, 40000,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nX-Ibisrail-Attempt-Id: %s\r\n"
	    "X-Ibisrail-Deadline-Remaining: %d\r\n%s",
	    method, path, host, a->attempt, deadline_ms, headers);
	if (body != NULL)
		n += snprintf(head + n, 40000 - (size_t)n,
		    "Content-Length: %zu\r\n", body_bytes);
	n += snprintf(head + n, 40000 - (size_t)n, "\r\n");
	if (write_all(fd, head, (size_t)n) &&
	    (body == NULL || write_all(fd, body, body_bytes)) &&
	    message_read(fd, false, m)) {
		a->status = m->status;
		a->complete = m->complete;
		a->body_bytes = m->body_bytes;
		a->has_signature = message_header(m,
		    "X-Ibisrail-Response-Signature", a->signature,
		    sizeof(a->signature));
	}
	message_free(m);
	close(fd);
out:
	a->done_ms = now_ms();
	record("client machine=%d attempt=%s %s %.80s sent=%lld status=%d "
	       "signature=%s",
	    machine, a->attempt, method, path, (long long)a->sent_ms,
	    a->status, a->signature);
	free(head);
	free(m);
}
