/* The logger: numbered events as lines of JSON, limited in rate. */
#include <errno.h>
#include <json-c/json.h>
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
};

static int
log_destroy(struct ir_log *l)
{
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
rate_take(struct rate *r, int64_t now, uint64_t *suppressed)
{
	if (r->lines == 0 || now - r->start_us >= IR_US_PER_S) {
		r->start_us = now;
		r->lines = 0;
	}
	if (r->lines >= IR_LOG_BURST) {
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

static void
write_line(const struct ir_log *l, const struct ir_event_info *e,
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
	if (line != NULL)
		write_all(l->fd, line, strlen(line));
	talloc_free(line);
	json_object_put(obj);
}

void
ir_log_event(
    struct ir_log *l, int64_t now, enum ir_event event, const char *fields)
{
	const struct ir_event_info *e = ir_event_info(event);
	uint64_t suppressed = 0;

	if (l == NULL || e == NULL || 
	    e->level > __atomic_load_n(&l->level, __ATOMIC_RELAXED))
		return;
	if ((unsigned)event >= MAX_EVENT_NUMBER)
		return;
	pthread_mutex_lock(&l->lock);
	if (rate_take(&l->rates[event], now, &suppressed))
		write_line(l, e, suppressed, fields);
	pthread_mutex_unlock(&l->lock);
}
