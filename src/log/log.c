/* The logger: events as lines of JSON, each event limited in rate. */
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
#define MAX_INT_DIGITS 18
#define MAX_LINE_BYTES 2048
/* "}}\n" */
#define LINE_END_BYTES 3
#define FIRST_REQUEST_EVENT 400
#define LAST_REQUEST_EVENT 499
/* The writer thread waits this long for more lines, to wake less often. */
#define BATCH_DELAY_NS (50 * 1000 * 1000)
#define POLL_TIMEOUT_MS 100
#define STOP_POLL_TIMEOUT_MS 200
/* A pipe that polls writable accepts this much without blocking (PIPE_BUF). */
#define CHUNK_BYTES 4096

/* Lines of one event in the current second. */
struct event_rate {
	int64_t start_us;
	uint32_t lines;
	uint64_t suppressed;
};

struct ir_log {
	int fd;
	const char *host;
	enum ir_level level;
	pthread_mutex_t lock;
	struct event_rate event_rates[MAX_EVENT_NUMBER];
	/* Used once ir_log_start() has started the writer thread. */
	bool has_writer;
	bool stopping;
	pthread_t thread;
	pthread_cond_t not_empty;
	char *buffer;
	size_t buffer_bytes;
	uint64_t dropped_lines; /* buffer full */
};

static void
stop_writer(struct ir_log *l)
{
	pthread_mutex_lock(&l->lock);
	l->stopping = true;
	pthread_cond_signal(&l->not_empty);
	pthread_mutex_unlock(&l->lock);
	pthread_join(l->thread, NULL);
	pthread_cond_destroy(&l->not_empty);
}

static int
log_destroy(struct ir_log *l)
{
	if (l->has_writer)
		stop_writer(l);
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

/*
 * Whether a line may be written now. If so, sets *suppressed to the number of
 * lines suppressed since the last line of this event.
 */
static bool
rate_allow(
    struct event_rate *r, int64_t now, uint32_t max_lines, uint64_t *suppressed)
{
	if (r->lines == 0 || now - r->start_us >= IR_US_PER_S) {
		r->start_us = now;
		r->lines = 0;
	}
	if (r->lines >= max_lines) {
		r->suppressed++;
		return false;
	}
	r->lines++;
	*suppressed = r->suppressed;
	r->suppressed = 0;
	return true;
}

/* Length of the field name at s, including '='; 0 if s is not at one. */
static size_t
name_length(const char *s)
{
	size_t n;

	n = strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789_");
	return n > 0 && s[n] == '=' ? n + 1 : 0;
}

/* Length of the value at s, which extends to the next field name or the end. */
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

/* A line being formatted. A field that does not fit is omitted entirely. */
struct line {
	char text[MAX_LINE_BYTES];
	size_t size;
	bool full;
};

static void
append_bytes(struct line *l, const char *s, size_t n)
{
	if (l->full || l->size + n > sizeof(l->text) - LINE_END_BYTES) {
		l->full = true;
		return;
	}
	memcpy(l->text + l->size, s, n);
	l->size += n;
}

static void
append_text(struct line *l, const char *s)
{
	append_bytes(l, s, strlen(s));
}

/*
 * Appends a quoted string. Control characters and bytes that are not ASCII,
 * which only come from outside, are replaced by '?'.
 */
static void
append_string(struct line *l, const char *s, size_t n)
{
	append_text(l, "\"");
	for (size_t i = 0; i < n; i++) {
		unsigned char c = (unsigned char)s[i];

		if (c == '"' || c == '\\')
			append_text(l, "\\");
		if (c < ' ' || c >= 0x7f)
			append_text(l, "?");
		else
			append_bytes(l, s + i, 1);
	}
	append_text(l, "\"");
}

/* Whether s is written as a JSON number: not too long, no leading 0. */
static bool
is_decimal(const char *s, size_t n)
{
	if (n == 0 || n > MAX_INT_DIGITS || (n > 1 && s[0] == '0'))
		return false;
	return strspn(s, "0123456789") >= n;
}

static void
append_field(struct line *l, bool first, const char *name, size_t name_bytes,
    const char *value, size_t value_bytes)
{
	size_t before = l->size;

	if (!first)
		append_text(l, ",");
	append_string(l, name, name_bytes);
	append_text(l, ":");
	if (is_decimal(value, value_bytes))
		append_bytes(l, value, value_bytes);
	else
		append_string(l, value, value_bytes);
	if (l->full)
		l->size = before;
}

static void
append_fields(struct line *l, const char *s)
{
	bool first = true;

	while (s != NULL && *s != '\0') {
		size_t name = name_length(s);
		size_t value = value_length(s + name);

		if (name > 0)
			append_field(l, first, s, name - 1, s + name, value);
		else
			append_field(l, first, "text", 4, s, value);
		first = false;
		s += name + value;
		s += strspn(s, " ");
	}
}

/* Date and time are formatted only once a second. */
static void
append_time(struct line *l)
{
	static __thread time_t last;
	static __thread char date_time[32];
	struct timespec ts;
	struct tm tm;
	char text[48];

	clock_gettime(CLOCK_REALTIME, &ts);
	if (ts.tv_sec != last || date_time[0] == '\0') {
		last = ts.tv_sec;
		gmtime_r(&ts.tv_sec, &tm);
		strftime(
		    date_time, sizeof(date_time), "%Y-%m-%dT%H:%M:%S", &tm);
	}
	snprintf(text, sizeof(text), "{\"time\":\"%s.%03dZ\"", date_time,
	    (int)(ts.tv_nsec / 1000000));
	append_text(l, text);
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
format_line(const struct ir_log *l, const struct ir_event_info *e,
    uint64_t suppressed, const char *fields, struct line *line)
{
	char head[160];

	line->size = 0;
	line->full = false;
	append_time(line);
	snprintf(head, sizeof(head),
	    ",\"event\":%d,\"name\":\"%s\",\"level\":\"%s\",\"host\":",
	    e->event, e->name, ir_level_name(e->level));
	append_text(line, head);
	append_string(line, l->host, strlen(l->host));
	if (suppressed > 0) {
		snprintf(head, sizeof(head), ",\"suppressed\":%llu",
		    (unsigned long long)suppressed);
		append_text(line, head);
	}
	append_text(line, ",\"fields\":{");
	append_fields(line, fields);
	/* append_bytes() keeps room for this. */
	memcpy(line->text + line->size, "}}\n", LINE_END_BYTES);
	line->size += LINE_END_BYTES;
}

/* To be called with the lock held. */
static void
write_or_buffer(struct ir_log *l, const struct line *line)
{
	size_t n = line->size;

	if (!l->has_writer) {
		write_all(l->fd, line->text, n);
		return;
	}
	if (l->buffer_bytes + n > IR_LOG_BUFFER_BYTES) {
		l->dropped_lines++;
		return;
	}
	if (l->buffer_bytes == 0)
		pthread_cond_signal(&l->not_empty);
	memcpy(l->buffer + l->buffer_bytes, line->text, n);
	l->buffer_bytes += n;
}

/* To be called with the lock held and the buffer empty: the line fits. */
static void
log_dropped_lines(struct ir_log *l)
{
	struct line line;
	char fields[32];

	if (l->dropped_lines == 0)
		return;
	snprintf(fields, sizeof(fields), "lines=%llu",
	    (unsigned long long)l->dropped_lines);
	l->dropped_lines = 0;
	format_line(l, ir_event_info(IR_EVENT_LOG_DROPPED), 0, fields, &line);
	write_or_buffer(l, &line);
}

/*
 * Writes all data, waiting while the reader is slow. While stopping, gives up
 * on a reader that accepts nothing for STOP_POLL_TIMEOUT_MS.
 */
static void
write_when_ready(struct ir_log *l, const char *data, size_t size)
{
	while (size > 0) {
		struct pollfd p = {.fd = l->fd, .events = POLLOUT};
		bool stopping = __atomic_load_n(&l->stopping, __ATOMIC_RELAXED);
		int ready = poll(
		    &p, 1, stopping ? STOP_POLL_TIMEOUT_MS : POLL_TIMEOUT_MS);
		ssize_t n;

		if (ready <= 0 && stopping)
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
run_writer(void *ctx)
{
	const struct timespec batch = {.tv_nsec = BATCH_DELAY_NS};
	struct ir_log *l = ctx;
	char *output = l->buffer + IR_LOG_BUFFER_BYTES;
	size_t size;
	bool stopping;

	do {
		pthread_mutex_lock(&l->lock);
		while (l->buffer_bytes == 0 && !l->stopping)
			pthread_cond_wait(&l->not_empty, &l->lock);
		stopping = l->stopping;
		pthread_mutex_unlock(&l->lock);
		if (!stopping)
			clock_nanosleep(CLOCK_MONOTONIC, 0, &batch, NULL);
		pthread_mutex_lock(&l->lock);
		size = l->buffer_bytes;
		memcpy(output, l->buffer, size);
		l->buffer_bytes = 0;
		log_dropped_lines(l);
		pthread_mutex_unlock(&l->lock);
		write_when_ready(l, output, size);
	} while (!stopping);
	return NULL;
}

int
ir_log_start(struct ir_log *l)
{
	/* One half is filled while the other half is written. */
	l->buffer = talloc_size(l, 2 * IR_LOG_BUFFER_BYTES);
	if (l->buffer == NULL || pthread_cond_init(&l->not_empty, NULL) != 0)
		return -1;
	l->has_writer = true;
	if (pthread_create(&l->thread, NULL, run_writer, l) == 0)
		return 0;
	l->has_writer = false;
	pthread_cond_destroy(&l->not_empty);
	return -1;
}

static uint32_t
max_lines_per_s(enum ir_event event)
{
	if (event >= FIRST_REQUEST_EVENT && event <= LAST_REQUEST_EVENT)
		return IR_LOG_MAX_REQUEST_LINES_PER_S;
	return IR_LOG_MAX_LINES_PER_S;
}

static bool
limit_rate(
    struct ir_log *l, int64_t now, enum ir_event event, uint64_t *suppressed)
{
	bool ok;

	pthread_mutex_lock(&l->lock);
	ok = rate_allow(
	    &l->event_rates[event], now, max_lines_per_s(event), suppressed);
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
	if (!limit_rate(l, now, event, &suppressed))
		return;
	format_line(l, e, suppressed, fields, &line);
	pthread_mutex_lock(&l->lock);
	write_or_buffer(l, &line);
	pthread_mutex_unlock(&l->lock);
}
