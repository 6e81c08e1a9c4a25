/* The logger: numbered events as lines of JSON, limited in rate. */
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ibisrail/limits.h"
#include "log/catalogue.h"
#include "log/log.h"

#define MAX_EVENT_NUMBER 1024
#define MAX_NUMBER_DIGITS 18
#define MAX_LINE_BYTES 2048
/* "}}" and the line's end. */
#define END_BYTES 3
#define FIRST_REQUEST_EVENT 400
#define LAST_REQUEST_EVENT 499
/* Lines are written together, so that the thread seldom wakes. */
#define BATCH_NS (50 * 1000 * 1000)
#define WAIT_MS 100
#define END_WAIT_MS 200
/* What a pipe that is ready takes without blocking. */
#define CHUNK_BYTES 4096

/* The lines of one event in the running second. */
struct rate {
	int64_t start_us;
	uint32_t lines;
	uint64_t suppressed;
};

struct ir_log {
	int fd;
	const char *host;
	enum ir_level level;
	pthread_mutex_t lock;
	struct rate rates[MAX_EVENT_NUMBER];
	/* With a thread of its own. */
	bool started;
	bool ending;
	pthread_t thread;
	pthread_cond_t filled;
	char *buffer;
	size_t buffer_bytes;
	uint64_t dropped; /* lines that found no room */
};

static void
end_thread(struct ir_log *l)
{
	pthread_mutex_lock(&l->lock);
	l->ending = true;
	pthread_cond_signal(&l->filled);
	pthread_mutex_unlock(&l->lock);
	pthread_join(l->thread, NULL);
	pthread_cond_destroy(&l->filled);
}

static int
log_destroy(struct ir_log *l)
{
	if (l->started)
		end_thread(l);
	pthread_mutex_destroy(&l->lock);
	return 0;
}

struct ir_log *
ir_log_new(TALLOC_CTX *mem, int fd, const char *host, enum ir_level level)
{
	struct ir_log *l;

	l = talloc_zero(mem, struct ir_log);
	if (l == NULL)
		return NULL;
	l->host = talloc_strdup(l, host);
	if (l->host == NULL || pthread_mutex_init(&l->lock, NULL) != 0) {
		talloc_free(l);
		return NULL;
	}
	l->fd = fd;
	l->level = level;
	talloc_set_destructor(l, log_destroy);
	return l;
}

void
ir_log_set_level(struct ir_log *l, enum ir_level level)
{
	__atomic_store_n(&l->level, level, __ATOMIC_RELAXED);
}

/* Whether a line may be written now; *suppressed is what was left out. */
static bool
rate_take(struct rate *r, int64_t now, uint32_t burst, uint64_t *suppressed)
{
	if (r->lines == 0 || now - r->start_us >= IR_US_PER_S) {
		r->start_us = now;
		r->lines = 0;
	}
	if (r->lines >= burst) {
		r->suppressed++;
		return false;
	}
	r->lines++;
	*suppressed = r->suppressed;
	r->suppressed = 0;
	return true;
}

/* Length of a field's name with its '=' at s, or 0. */
static size_t
name_length(const char *s)
{
	size_t n;

	n = strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789_");
	return n > 0 && s[n] == '=' ? n + 1 : 0;
}

/* Length of the value at s: up to the next field's name, or the end. */
static size_t
value_length(const char *s)
{
	const char *p;

	for (p = s; *p != '\0'; p++) {
		if (*p == ' ' && name_length(p + 1) > 0)
			break;
	}
	return (size_t)(p - s);
}

/* A line being made; what does not fit is left out at a field's end. */
struct line {
	char text[MAX_LINE_BYTES];
	size_t size;
	bool full;
};

static void
add_bytes(struct line *l, const char *s, size_t n)
{
	if (l->full || l->size + n > sizeof(l->text) - END_BYTES) {
		l->full = true;
		return;
	}
	memcpy(l->text + l->size, s, n);
	l->size += n;
}

static void
add_text(struct line *l, const char *s)
{
	add_bytes(l, s, strlen(s));
}

/*
 * A string with its quotes. Lines are ASCII: other bytes come from outside
 * and are replaced.
 */
static void
add_string(struct line *l, const char *s, size_t n)
{
	add_text(l, "\"");
	for (size_t i = 0; i < n; i++) {
		unsigned char c = (unsigned char)s[i];

		if (c == '"' || c == '\\')
			add_text(l, "\\");
		if (c < ' ' || c >= 0x7f)
			add_text(l, "?");
		else
			add_bytes(l, s + i, 1);
	}
	add_text(l, "\"");
}

/* A number of few digits without a leading 0. */
static bool
is_number(const char *s, size_t n)
{
	if (n == 0 || n > MAX_NUMBER_DIGITS || (n > 1 && s[0] == '0'))
		return false;
	return strspn(s, "0123456789") >= n;
}

static void
add_field(struct line *l, bool first, const char *name, size_t name_bytes,
    const char *value, size_t value_bytes)
{
	size_t before = l->size;

	if (!first)
		add_text(l, ",");
	add_string(l, name, name_bytes);
	add_text(l, ":");
	if (is_number(value, value_bytes))
		add_bytes(l, value, value_bytes);
	else
		add_string(l, value, value_bytes);
	if (l->full)
		l->size = before;
}

static void
add_fields(struct line *l, const char *s)
{
	bool first = true;

	while (s != NULL && *s != '\0') {
		size_t name = name_length(s);
		size_t value = value_length(s + name);

		if (name > 0)
			add_field(l, first, s, name - 1, s + name, value);
		else
			add_field(l, first, "text", 4, s, value);
		first = false;
		s += name + value;
		s += strspn(s, " ");
	}
}

/* The clock's parts change once a second. */
static void
add_time(struct line *l)
{
	static __thread time_t last;
	static __thread char day[32];
	struct timespec ts;
	struct tm tm;
	char text[48];

	clock_gettime(CLOCK_REALTIME, &ts);
	if (ts.tv_sec != last || day[0] == '\0') {
		last = ts.tv_sec;
		gmtime_r(&ts.tv_sec, &tm);
		strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
	}
	snprintf(text, sizeof(text), "{\"time\":\"%s.%03dZ\"", day,
	    (int)(ts.tv_nsec / 1000000));
	add_text(l, text);
}

static void
write_all(int fd, const char *data, size_t size_bytes)
{
	ssize_t n;

	while (size_bytes > 0) {
		n = write(fd, data, size_bytes);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		data += n;
		size_bytes -= (size_t)n;
	}
}

static void
make_line(const struct ir_log *l, const struct ir_event_info *e,
    uint64_t suppressed, const char *fields, struct line *line)
{
	char head[160];

	line->size = 0;
	line->full = false;
	add_time(line);
	snprintf(head, sizeof(head),
	    ",\"event\":%d,\"name\":\"%s\",\"level\":\"%s\",\"host\":",
	    e->event, e->name, ir_level_name(e->level));
	add_text(line, head);
	add_string(line, l->host, strlen(l->host));
	if (suppressed > 0) {
		snprintf(head, sizeof(head), ",\"suppressed\":%llu",
		    (unsigned long long)suppressed);
		add_text(line, head);
	}
	add_text(line, ",\"fields\":{");
	add_fields(line, fields);
	/* The room for this was kept. */
	memcpy(line->text + line->size, "}}\n", END_BYTES);
	line->size += END_BYTES;
}

/* The lock is held. */
static void
put_line(struct ir_log *l, const struct line *line)
{
	size_t n = line->size;

	if (!l->started) {
		write_all(l->fd, line->text, n);
		return;
	}
	if (l->buffer_bytes + n > IR_LOG_BUFFER_BYTES) {
		l->dropped++;
		return;
	}
	if (l->buffer_bytes == 0)
		pthread_cond_signal(&l->filled);
	memcpy(l->buffer + l->buffer_bytes, line->text, n);
	l->buffer_bytes += n;
}

/* The lock is held: there is room, as the buffer was just taken. */
static void
note_dropped(struct ir_log *l)
{
	struct line line;
	char fields[32];

	if (l->dropped == 0)
		return;
	snprintf(fields, sizeof(fields), "lines=%llu",
	    (unsigned long long)l->dropped);
	l->dropped = 0;
	make_line(l, ir_event_info(IR_EVENT_LOG_DROPPED), 0, fields, &line);
	put_line(l, &line);
}

/* Waits for the reader, for a moment only once the process ends. */
static void
write_slowly(struct ir_log *l, const char *data, size_t size)
{
	while (size > 0) {
		struct pollfd p = {.fd = l->fd, .events = POLLOUT};
		bool ending = __atomic_load_n(&l->ending, __ATOMIC_RELAXED);
		int ready = poll(&p, 1, ending ? END_WAIT_MS : WAIT_MS);
		ssize_t n;

		if (ready <= 0 && ending)
			return;
		if (ready <= 0)
			continue;
		n = write(l->fd, data, size < CHUNK_BYTES ? size : CHUNK_BYTES);
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			return;
		if (n > 0) {
			data += n;
			size -= (size_t)n;
		}
	}
}

static void *
write_lines(void *ctx)
{
	const struct timespec batch = {.tv_nsec = BATCH_NS};
	struct ir_log *l = ctx;
	char *full = l->buffer + IR_LOG_BUFFER_BYTES;
	size_t size;
	bool ending;

	do {
		pthread_mutex_lock(&l->lock);
		while (l->buffer_bytes == 0 && !l->ending)
			pthread_cond_wait(&l->filled, &l->lock);
		ending = l->ending;
		pthread_mutex_unlock(&l->lock);
		if (!ending)
			clock_nanosleep(CLOCK_MONOTONIC, 0, &batch, NULL);
		pthread_mutex_lock(&l->lock);
		size = l->buffer_bytes;
		memcpy(full, l->buffer, size);
		l->buffer_bytes = 0;
		note_dropped(l);
		pthread_mutex_unlock(&l->lock);
		write_slowly(l, full, size);
	} while (!ending);
	return NULL;
}

int
ir_log_start(struct ir_log *l)
{
	/* One half is filled while the other one is written. */
	l->buffer = talloc_size(l, 2 * IR_LOG_BUFFER_BYTES);
	if (l->buffer == NULL || pthread_cond_init(&l->filled, NULL) != 0)
		return -1;
	l->started = true;
	if (pthread_create(&l->thread, NULL, write_lines, l) == 0)
		return 0;
	l->started = false;
	pthread_cond_destroy(&l->filled);
	return -1;
}

static uint32_t
burst_of(enum ir_event event)
{
	if (event >= FIRST_REQUEST_EVENT && event <= LAST_REQUEST_EVENT)
		return IR_LOG_MAX_REQUEST_LINES_PER_S;
	return IR_LOG_MAX_LINES_PER_S;
}

static bool
take_turn(
    struct ir_log *l, int64_t now, enum ir_event event, uint64_t *suppressed)
{
	bool ok;

	pthread_mutex_lock(&l->lock);
	ok = rate_take(&l->rates[event], now, burst_of(event), suppressed);
	pthread_mutex_unlock(&l->lock);
	return ok;
}

void
ir_log_event(
    struct ir_log *l, int64_t now, enum ir_event event, const char *fields)
{
	const struct ir_event_info *e = ir_event_info(event);
	uint64_t suppressed = 0;
	struct line line;

	if (l == NULL || e == NULL ||
	    e->level > __atomic_load_n(&l->level, __ATOMIC_RELAXED))
		return;
	if ((unsigned)event >= MAX_EVENT_NUMBER)
		return;
	if (!take_turn(l, now, event, &suppressed))
		return;
	make_line(l, e, suppressed, fields, &line);
	pthread_mutex_lock(&l->lock);
	put_line(l, &line);
	pthread_mutex_unlock(&l->lock);
}
