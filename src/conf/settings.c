/* Reads the settings of a process. */
#include <arpa/inet.h>
#include <json.h>
#include <stdlib.h>
#include <string.h>

#include "conf/file.h"
#include "conf/json.h"
#include "conf/label.h"
#include "conf/settings.h"

/* For the last answers and the end of the threads. */
#define STOP_AFTER_DRAIN_MS 600
#define DEFAULT_DRAIN_MS 20000
/* Without a known grace period: shorter than supervisors usually give. */
#define DEFAULT_FINISH_MS 2500
#define MIN_DRAIN_MS 100
#define MAX_DRAIN_MS 120000
#define MIN_GRACE_S 0.5
#define MAX_GRACE_S 120
/* Parts of the grace period: for requests, and until the process ends. */
#define DRAIN_SHARE (5.0 / 6)
#define STOP_SHARE (14.0 / 15)
#define MS_PER_S 1000.0
#define MIN_MEMORY_MB 32
#define MAX_MEMORY_MB (1024 * 1024)

static const char *const known_keys[] = {"host", "service", "region", "zone",
    "callers", "egress", "peers", "admin", "metrics", "upstream", "platform",
    "slots", "upstream_connections", "memory_mb", "grace_s", "drain_ms",
    "leave_ms", "log_level", "policy", "zones", "rate_tolerance", "cold_starts",
    "evacuations", "ramp", NULL};
static const char *const known_endpoint_keys[] = {"address", "port", NULL};

static bool
is_ip_address(const char *address)
{
	uint8_t buf[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, address, buf) == 1 ||
	       inet_pton(AF_INET6, address, buf) == 1;
}

/* An endpoint as a string "ADDRESS:PORT". */
static void
read_short_endpoint(struct ir_json_reader *in, struct json_object *top,
    const char *key, uint16_t min_port, struct ir_endpoint *e)
{
	const char *s =
	    ir_json_string(in, top, "", key, 1, INET6_ADDRSTRLEN + 8);
	const char *colon = strrchr(s, ':');
	char *end = NULL;
	unsigned long port;

	if (colon != NULL && colon[1] >= '0' && colon[1] <= '9') {
		port = strtoul(colon + 1, &end, 10);
		e->address = talloc_strndup(in->mem, s, (size_t)(colon - s));
		e->port = (uint16_t)port;
		if (*end == '\0' && port >= min_port && port <= UINT16_MAX &&
		    is_ip_address(e->address))
			return;
	}
	ir_json_error(in, key,
	    "must be \"ADDRESS:PORT\" with an IP address and a port number");
}

static void
read_endpoint(struct ir_json_reader *in, struct json_object *top,
    const char *key, uint16_t min_port, struct ir_endpoint *e)
{
	struct json_object *obj, *value = NULL;

	if (top != NULL && json_object_object_get_ex(top, key, &value) &&
	    json_object_is_type(value, json_type_string)) {
		read_short_endpoint(in, top, key, min_port, e);
		return;
	}
	obj = ir_json_object(in, top, "", key);
	ir_json_check_keys(in, obj, key, known_endpoint_keys);
	e->address =
	    ir_json_string(in, obj, key, "address", 1, INET6_ADDRSTRLEN);
	e->port =
	    (uint16_t)ir_json_int(in, obj, key, "port", min_port, UINT16_MAX);
	if (in->error != NULL || is_ip_address(e->address))
		return;
	ir_json_error(in, talloc_asprintf(in->mem, "%s.address", key),
	    "must be an IPv4 or IPv6 number");
}

/* Index of an optional member among its allowed values. */
static size_t
read_choice(struct ir_json_reader *in, struct json_object *top, const char *key,
    const char *const *choices, size_t count, size_t default_index)
{
	const char *s, *list = "";

	if (in->error != NULL || !ir_json_has(top, key))
		return default_index;
	s = ir_json_string(in, top, "", key, 0, IR_LABEL_MAX_BYTES);
	for (size_t i = 0; i < count; i++) {
		if (strcmp(s, choices[i]) == 0)
			return i;
		list = talloc_asprintf(in->mem, "%s%s\"%s\"", list,
		    i == 0 ? "" : ", ", choices[i]);
	}
	ir_json_error(in, key, "must be one of %s", list);
	return default_index;
}

static bool
read_flag(struct ir_json_reader *in, struct json_object *top, const char *key)
{
	return ir_json_has(top, key) && ir_json_bool(in, top, "", key);
}

static void
set_times_of_grace(struct ir_settings *s, double grace_s)
{
	s->drain_ms = (uint32_t)(DRAIN_SHARE * MS_PER_S * grace_s);
	s->stop_ms = (uint32_t)(STOP_SHARE * MS_PER_S * grace_s);
	s->finish_ms = s->drain_ms;
	if (s->leave_ms > s->drain_ms)
		s->leave_ms = s->drain_ms;
}

void
ir_settings_set_grace(struct ir_settings *s, double grace_s)
{
	if (!s->has_stop_times && grace_s != 0)
		set_times_of_grace(s, grace_s);
}

bool
ir_settings_parse_grace(const char *text, double *grace_s)
{
	char *end;

	*grace_s = 0;
	if (*text == '\0')
		return true;
	*grace_s = strtod(text, &end);
	return *end == '\0' && *grace_s >= MIN_GRACE_S &&
	       *grace_s <= MAX_GRACE_S;
}

/* With grace_s, the times follow from it; drain_ms goes before it. */
static void
read_stop_times(
    struct ir_json_reader *in, struct json_object *top, struct ir_settings *s)
{
	bool has_grace = ir_json_has(top, "grace_s");
	uint32_t max_leave_ms = MAX_DRAIN_MS;

	s->drain_ms = DEFAULT_DRAIN_MS;
	s->stop_ms = DEFAULT_DRAIN_MS + STOP_AFTER_DRAIN_MS;
	s->finish_ms = DEFAULT_FINISH_MS;
	s->has_stop_times = has_grace || ir_json_has(top, "drain_ms");
	if (has_grace)
		set_times_of_grace(s, ir_json_number(in, top, "", "grace_s",
					  MIN_GRACE_S, MAX_GRACE_S));
	if (ir_json_has(top, "drain_ms")) {
		s->drain_ms = (uint32_t)ir_json_int(
		    in, top, "", "drain_ms", MIN_DRAIN_MS, MAX_DRAIN_MS);
		s->stop_ms = s->drain_ms + STOP_AFTER_DRAIN_MS;
		s->finish_ms = s->drain_ms;
	}
	if (!has_grace)
		max_leave_ms = s->drain_ms;
	if (ir_json_has(top, "leave_ms"))
		s->leave_ms = (uint32_t)ir_json_int(
		    in, top, "", "leave_ms", 0, max_leave_ms);
	if (s->leave_ms > s->drain_ms)
		s->leave_ms = s->drain_ms;
}

static void
read_options(
    struct ir_json_reader *in, struct json_object *top, struct ir_settings *s)
{
	static const char *const levels[] = {
	    "error", "warning", "notice", "debug"};
	static const char *const policies[] = {"full", "plain"};

	if (ir_json_has(top, "memory_mb"))
		s->memory_mb = (uint32_t)ir_json_number(
		    in, top, "", "memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB);
	read_stop_times(in, top, s);
	s->log_level = (enum ir_level)read_choice(
	    in, top, "log_level", levels, 4, IR_LEVEL_NOTICE);
	s->baseline_policy =
	    read_choice(in, top, "policy", policies, 2, 0) == 1;
	s->cold_starts = read_flag(in, top, "cold_starts");
	s->evacuations = read_flag(in, top, "evacuations");
	s->ramp = read_flag(in, top, "ramp");
}

/* The optional "zones": an object of region by zone. */
static void
read_zones(
    struct ir_json_reader *in, struct json_object *top, struct ir_settings *s)
{
	struct json_object *obj;
	size_t i = 0;

	if (in->error != NULL || !ir_json_has(top, "zones"))
		return;
	obj = ir_json_object(in, top, "", "zones");
	if (obj == NULL)
		return;
	s->zones = talloc_zero_array(in->mem, struct ir_zone_region,
	    (size_t)json_object_object_length(obj) + 1);
	json_object_object_foreach(obj, zone, value)
	{
		(void)value;
		if (!ir_is_label(zone))
			ir_json_error(in, "zones", "%s is no label", zone);
		s->zones[i].zone = talloc_strdup(s->zones, zone);
		s->zones[i++].region = ir_json_label(in, obj, "zones", zone);
	}
	s->zone_count = i;
}

static void
read_tolerance(
    struct ir_json_reader *in, struct json_object *top, struct ir_settings *s)
{
	static const char *const keys[] = {
	    "share", "requests", "window_s", NULL};
	struct ir_rate_tolerance *t = &s->rate_tolerance;
	struct json_object *obj;

	if (in->error != NULL || !ir_json_has(top, "rate_tolerance"))
		return;
	obj = ir_json_object(in, top, "", "rate_tolerance");
	ir_json_check_keys(in, obj, "rate_tolerance", keys);
	t->share = ir_json_number(in, obj, "rate_tolerance", "share", 0, 1);
	t->requests =
	    ir_json_number(in, obj, "rate_tolerance", "requests", 0, 1e6);
	t->window_s =
	    ir_json_number(in, obj, "rate_tolerance", "window_s", 0.1, 3600);
}

const char *
ir_settings_region(const struct ir_settings *s, const char *zone)
{
	for (size_t i = 0; i < s->zone_count; i++) {
		if (strcmp(s->zones[i].zone, zone) == 0)
			return s->zones[i].region;
	}
	return NULL;
}

static void
read_all(
    struct ir_json_reader *in, struct json_object *top, struct ir_settings *s)
{
	ir_json_check_keys(in, top, "", known_keys);
	s->host = ir_json_host_name(in, top, "", "host");
	s->service = ir_json_any_name(in, top, "", "service");
	s->region = ir_json_label(in, top, "", "region");
	s->zone = ir_json_label(in, top, "", "zone");
	read_endpoint(in, top, "callers", 0, &s->callers);
	s->has_egress = top != NULL && ir_json_has(top, "egress");
	if (s->has_egress)
		read_endpoint(in, top, "egress", 0, &s->egress);
	read_endpoint(in, top, "peers", 0, &s->peers);
	read_endpoint(in, top, "admin", 0, &s->admin);
	s->has_metrics = top != NULL && ir_json_has(top, "metrics");
	if (s->has_metrics)
		read_endpoint(in, top, "metrics", 0, &s->metrics);
	read_endpoint(in, top, "upstream", 1, &s->upstream);
	read_endpoint(in, top, "platform", 1, &s->platform);
	s->slots = (uint32_t)ir_json_int(in, top, "", "slots", 1, 4096);
	s->upstream_connections = (uint32_t)ir_json_int(
	    in, top, "", "upstream_connections", 1, 65535);
	read_options(in, top, s);
	read_zones(in, top, s);
	read_tolerance(in, top, s);
}

static bool
same_endpoint(const struct ir_endpoint *a, const struct ir_endpoint *b)
{
	if (a->address == NULL || b->address == NULL)
		return a->address == b->address;
	return a->port == b->port && strcmp(a->address, b->address) == 0;
}

const char *
ir_settings_restart_key(
    const struct ir_settings *a, const struct ir_settings *b)
{
	if (strcmp(a->host, b->host) != 0)
		return "host";
	if (strcmp(a->service, b->service) != 0)
		return "service";
	if (strcmp(a->region, b->region) != 0)
		return "region";
	if (strcmp(a->zone, b->zone) != 0)
		return "zone";
	if (!same_endpoint(&a->callers, &b->callers))
		return "callers";
	if (!same_endpoint(&a->egress, &b->egress))
		return "egress";
	if (!same_endpoint(&a->peers, &b->peers))
		return "peers";
	if (!same_endpoint(&a->admin, &b->admin))
		return "admin";
	if (!same_endpoint(&a->metrics, &b->metrics))
		return "metrics";
	if (!same_endpoint(&a->upstream, &b->upstream))
		return "upstream";
	if (!same_endpoint(&a->platform, &b->platform))
		return "platform";
	if (a->slots != b->slots)
		return "slots";
	if (a->upstream_connections != b->upstream_connections)
		return "upstream_connections";
	if (a->memory_mb != b->memory_mb)
		return "memory_mb";
	if (a->cold_starts != b->cold_starts)
		return "cold_starts";
	if (a->evacuations != b->evacuations)
		return "evacuations";
	if (a->ramp != b->ramp)
		return "ramp";
	return a->baseline_policy != b->baseline_policy ? "policy" : "none";
}

static struct ir_settings *
parse(TALLOC_CTX *mem, const char *file, const char *text, size_t size_bytes,
    char **error)
{
	struct ir_settings *s = talloc_zero(mem, struct ir_settings);
	struct ir_json_reader in = {.mem = s, .file = file};
	struct json_object *top = ir_json_parse(&in, text, size_bytes);

	if (top != NULL)
		read_all(&in, top, s);
	json_object_put(top);
	*error = NULL;
	if (in.error == NULL)
		return s;
	*error = talloc_steal(mem, in.error);
	talloc_free(s);
	return NULL;
}

struct ir_settings *
ir_settings_parse(
    TALLOC_CTX *mem, const char *file, const char *text, char **error)
{
	return parse(mem, file, text, strlen(text), error);
}

struct ir_settings *
ir_settings_read(TALLOC_CTX *mem, const char *file, char **error)
{
	struct ir_settings *s;
	size_t n;
	char *text = ir_file_read(mem, file, IR_JSON_MAX_BYTES, &n, error);

	if (text == NULL)
		return NULL;
	s = parse(mem, file, text, n, error);
	talloc_free(text);
	return s;
}
