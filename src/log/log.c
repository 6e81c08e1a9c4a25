/* The logger: numbered events as lines of JSON, limited in rate. */
#include <errno.h>
#include <json-c/json.h>
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

/* The lines are ASCII: other bytes come from outside and are replaced. */
static void
to_ascii(char *s)
{
	for (; *s != '\0'; s++) {
		if ((unsigned char)*s >= 0x7f)
			*s = '?';
	}
}

static struct json_object *
field_value(const char *s)
{
	size_t n = strlen(s);

	if (n == 0 || n > MAX_NUMBER_DIGITS || strspn(s, "0123456789") != n)
		return json_object_new_string(s);
	if (n > 1 && s[0] == '0')
		return json_object_new_string(s);
	return json_object_new_int64(strtoll(s, NULL, 10));
}

static void
add_field(struct json_object *obj, const char *name, size_t name_bytes,
    const char *value, size_t value_bytes)
{
	char *n, *v;

	n = talloc_strndup(NULL, name, name_bytes);
	v = talloc_strndup(n, value, value_bytes);
	if (n != NULL && v != NULL) {
		to_ascii(v);
		json_object_object_add(obj, n, field_value(v));
	}
	talloc_free(n);
}

static struct json_object *
parse_fields(const char *s)
{
	struct json_object *obj = json_object_new_object();
	size_t name, value;

	while (s != NULL && *s != '\0') {
		name = name_length(s);
		value = value_length(s + name);
		if (name > 0)
			add_field(obj, s, name - 1, s + name, value);
		else
			add_field(obj, "text", 4, s, value);
		s += name + value;
		s += strspn(s, " ");
	}
	return obj;
}

static void
add_time(struct json_object *obj)
{
	char text[48], day[32];
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(
	    text, sizeof(text), "%s.%03dZ", day, (int)(ts.tv_nsec / 1000000));
	json_object_object_add(obj, "time", json_object_new_string(text));
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

/* A line with its end, under NULL; NULL without memory. */
static char *
make_line(const struct ir_log *l, const struct ir_event_info *e,
    uint64_t suppressed, const char *fields)
{
	struct json_object *obj = json_object_new_object();
	const char *text;
	char *line;

	add_time(obj);
	json_object_object_add(obj, "event", json_object_new_int(e->event));
	json_object_object_add(obj, "name", json_object_new_string(e->name));
	json_object_object_add(
	    obj, "level", json_object_new_string(ir_level_name(e->level)));
	json_object_object_add(obj, "host", json_object_new_string(l->host));
	if (suppressed > 0)
		json_object_object_add(obj, "suppressed",
		    json_object_new_int64((int64_t)suppressed));
	json_object_object_add(obj, "fields", parse_fields(fields));
	text = json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN);
	line = talloc_asprintf(NULL, "%s\n", text);
	json_object_put(obj);
	return line;
}

/* The lock is held. */
static void
put_line(struct ir_log *l, const char *line)
{
	size_t n = strlen(line);

	if (!l->started) {
		write_all(l->fd, line, n);
		return;
	}
	if (l->buffer_bytes + n > IR_LOG_BUFFER_BYTES) {
		l->dropped++;
		return;
	}
	if (l->buffer_bytes == 0)
		pthread_cond_signal(&l->filled);
	memcpy(l->buffer + l->buffer_bytes, line, n);
	l->buffer_bytes += n;
}

/* The lock is held: there is room, as the buffer was just taken. */
static void
note_dropped(struct ir_log *l)
{
	char fields[32], *line;

	if (l->dropped == 0)
		return;
	snprintf(fields, sizeof(fields), "lines=%llu",
	    (unsigned long long)l->dropped);
	l->dropped = 0;
	line = make_line(l, ir_event_info(IR_EVENT_LOG_DROPPED), 0, fields);
	if (line != NULL)
		put_line(l, line);
	talloc_free(line);
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
		return IR_LOG_REQUEST_BURST;
	return IR_LOG_BURST;
}

static bool
take_turn(struct ir_log *l, int64_t now, enum ir_event event,
    uint64_t *suppressed)
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
	char *line;

	if (l == NULL || e == NULL ||
	    e->level > __atomic_load_n(&l->level, __ATOMIC_RELAXED))
		return;
	if ((unsigned)event >= MAX_EVENT_NUMBER)
		return;
	if (!take_turn(l, now, event, &suppressed))
		return;
	line = make_line(l, e, suppressed, fields);
	if (line == NULL)
		return;
	pthread_mutex_lock(&l->lock);
	put_line(l, line);
	pthread_mutex_unlock(&l->lock);
	talloc_free(line);
}
