/* Reads the target and headers of a caller's request. */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "io/callers/caller_headers.h"
#include "io/hop_headers.h"

#define HTTP_HEADERS_TOO_LARGE 431
#define KEY_HEADER "ibisrail-key"
#define AUTHORIZATION "authorization"
#define BEARER "bearer"
#define HTTP_SCHEME "http://"
#define MAX_KEY_BYTES 512
#define KEY_OUTSIDE_TEXT "The key stands outside its header."

static const struct ir_refusal accepted = {.error = IR_OK};

struct ir_refusal
ir_refusal_make(enum ir_error error, const char *reason, const char *text)
{
	const struct ir_error_info *i = ir_error_info(error);
	struct ir_refusal r = {
	    .error = error,
	    .http_status = i->http_status,
	    .reason = reason,
	    .text = text != NULL ? text : i->text,
	};

	return r;
}

static struct ir_refusal
refuse_headers(const char *reason, const char *text)
{
	struct ir_refusal r = ir_refusal_make(IR_E_TOO_LARGE, reason, text);

	r.http_status = HTTP_HEADERS_TOO_LARGE;
	return r;
}

bool
ir_raw_headers_add(
    struct ir_raw_headers *raw, const char *name, const char *value)
{
	size_t bytes = strlen(name) + strlen(value);

	if (raw->count == IR_MAX_RAW_HEADERS)
		return false;
	if (raw->bytes + bytes > IR_MAX_RAW_HEADER_BYTES)
		return false;
	/* XDR has no const; the strings are not modified. */
	raw->headers[raw->count].name = (char *)name;
	raw->headers[raw->count].value = (char *)value;
	raw->count++;
	raw->bytes += bytes;
	return true;
}

static bool
is_named(const struct ir_header *h, const char *name)
{
	return name != NULL && strcasecmp(h->name, name) == 0;
}

/* Whether h carries an API key; *key is then set to its text, untrimmed. */
static bool
is_key_header(
    const struct ir_dialect *d, const struct ir_header *h, const char **key)
{
	const char *p = h->value;

	*key = p;
	if (d->headers.key != NULL)
		return is_named(h, d->headers.key);
	if (strcasecmp(h->name, KEY_HEADER) == 0)
		return true;
	if (strcasecmp(h->name, AUTHORIZATION) != 0)
		return false;
	p += strspn(p, " \t");
	if (strncasecmp(p, BEARER, strlen(BEARER)) != 0)
		return false;
	p += strlen(BEARER);
	*key = p;
	return *p == ' ' || *p == '\t' || *p == '\0';
}

static char *
trimmed(TALLOC_CTX *mem, const char *p)
{
	size_t n;

	p += strspn(p, " \t");
	n = strlen(p);
	while (n > 0 && (p[n - 1] == ' ' || p[n - 1] == '\t'))
		n--;
	return talloc_strndup(mem, p, n);
}

static struct ir_refusal
read_key(TALLOC_CTX *mem, const struct ir_dialect *d,
    const struct ir_raw_headers *raw, struct ir_call *call)
{
	for (size_t i = 0; i < raw->count; i++) {
		const char *value;
		char *key;

		if (!is_key_header(d, &raw->headers[i], &value))
			continue;
		key = trimmed(mem, value);
		if (key == NULL)
			return ir_refusal_make(IR_E_OVERLOAD, "memory", NULL);
		if (key[0] == '\0')
			return ir_refusal_make(
			    IR_E_BAD_REQUEST, "key-empty", "The key is empty.");
		if (strlen(key) > MAX_KEY_BYTES)
			return refuse_headers(
			    "key-long", "The key is too long.");
		if (call->key != NULL && strcmp(call->key, key) != 0)
			return ir_refusal_make(IR_E_BAD_REQUEST, "keys-differ",
			    "The request carries different keys.");
		call->key = key;
	}
	return accepted;
}

static struct ir_refusal
read_deadline(const char *value, struct ir_call *call)
{
	char *end;
	unsigned long ms;

	if (value[0] < '0' || value[0] > '9')
		goto bad;
	ms = strtoul(value, &end, 10);
	if (*end != '\0' || ms == 0)
		goto bad;
	call->deadline_ms = ms > IR_MAX_DEADLINE_MS ? IR_MAX_DEADLINE_MS : ms;
	return accepted;

bad:
	return ir_refusal_make(IR_E_BAD_REQUEST, "deadline",
	    "The deadline is not a whole number above 0.");
}

static struct ir_refusal
read_idempotency_key(const char *value, struct ir_call *call)
{
	if (value[0] == '\0')
		return ir_refusal_make(IR_E_BAD_REQUEST, "idempotency-key",
		    "Idempotency-Key is empty.");
	if (strlen(value) > IR_MAX_NAME)
		return refuse_headers(
		    "idempotency-key", "Idempotency-Key is too long.");
	if (call->idempotency_key != NULL &&
	    strcmp(call->idempotency_key, value) != 0)
		return ir_refusal_make(IR_E_BAD_REQUEST, "idempotency-key",
		    "Idempotency-Key is given twice.");
	call->idempotency_key = value;
	return accepted;
}

static struct ir_refusal
read_attempt(const char *value, struct ir_call *call)
{
	if (value[0] == '\0' || strlen(value) > IR_MAX_CALLER_ATTEMPT ||
	    (call->caller_attempt != NULL &&
		strcmp(call->caller_attempt, value) != 0))
		return ir_refusal_make(IR_E_BAD_REQUEST, "attempt",
		    "The attempt's id is empty, too long or given twice.");
	call->caller_attempt = value;
	return accepted;
}

static struct ir_refusal
read_header(
    const struct ir_dialect *d, const struct ir_header *h, struct ir_call *call)
{
	if (is_named(h, d->headers.deadline))
		return read_deadline(h->value, call);
	if (is_named(h, d->headers.caller_attempt))
		return read_attempt(h->value, call);
	if (d->routes_by_authority)
		return accepted;
	if (strcasecmp(h->name, "idempotency-key") == 0)
		return read_idempotency_key(h->value, call);
	if (strcasecmp(h->name, "ibisrail-first-attempt") == 0)
		call->first_attempt = strcmp(h->value, "1") == 0;
	if (strcasecmp(h->name, "ibisrail-attempt") == 0 && call->egress)
		call->parent_attempt = h->value;
	return accepted;
}

/* Headers that ibisrail consumes, or sets itself towards the upstream. */
static bool
is_reserved(const struct ir_dialect *d, const struct ir_header *h)
{
	const struct ir_header_names *n = &d->headers;
	const char *key;

	return is_key_header(d, h, &key) || is_named(h, "cookie2") ||
	       is_named(h, n->deadline) || is_named(h, n->caller_attempt) ||
	       is_named(h, n->account) || is_named(h, n->origin_service) ||
	       is_named(h, n->expected_upstream);
}

static size_t
remove_reserved(
    const struct ir_dialect *d, struct ir_header *headers, size_t count)
{
	size_t kept = 0;

	for (size_t i = 0; i < count; i++) {
		if (!is_reserved(d, &headers[i]))
			headers[kept++] = headers[i];
	}
	return ir_hop_headers_drop(headers, kept);
}

static struct ir_refusal
check_sizes(const struct ir_call *call)
{
	if (call->header_count > IR_MAX_HEADERS)
		return refuse_headers("headers-many", "Too many headers.");
	for (size_t i = 0; i < call->header_count; i++) {
		const struct ir_header *h = &call->headers[i];

		if (strlen(h->name) > IR_MAX_NAME)
			return refuse_headers(
			    "header-name", "A header's name is too long.");
		if (strlen(h->value) > IR_MAX_HEADER_VALUE)
			return refuse_headers(
			    "header-value", "A header's value is too long.");
	}
	return accepted;
}

struct ir_refusal
ir_caller_headers_read(TALLOC_CTX *mem, const struct ir_dialect *d,
    struct ir_raw_headers *raw, struct ir_call *call)
{
	struct ir_refusal r = read_key(mem, d, raw, call);
	struct ir_header *rest;

	for (size_t i = 0; i < raw->count && r.error == IR_OK; i++)
		r = read_header(d, &raw->headers[i], call);
	if (r.error != IR_OK)
		return r;
	rest = talloc_array(mem, struct ir_header, raw->count + 1);
	if (rest == NULL)
		return ir_refusal_make(IR_E_OVERLOAD, "memory", NULL);
	memcpy(rest, raw->headers, raw->count * sizeof(*rest));
	call->headers = rest;
	call->header_count = remove_reserved(d, rest, raw->count);
	return check_sizes(call);
}

static bool
has_bad_byte(const char *target)
{
	for (const char *p = target; *p != '\0'; p++) {
		if ((unsigned char)*p <= ' ' || *p == 0x7f)
			return true;
	}
	return false;
}

/*
 * Whether the target is in absolute form: a URI with the scheme http.
 * *authority is then set to its host and port, and *path to what follows, which
 * is empty or starts with '/' or '?'.
 */
static bool
is_absolute(
    TALLOC_CTX *mem, const char *target, char **authority, const char **path)
{
	size_t size;

	if (strncasecmp(target, HTTP_SCHEME, strlen(HTTP_SCHEME)) != 0)
		return false;
	target += strlen(HTTP_SCHEME);
	size = strcspn(target, "/?#");
	*authority = talloc_strndup(mem, target, size);
	*path = target + size;
	return true;
}

static struct ir_refusal
check_target(const char *target)
{
	if (target[0] != '/' || has_bad_byte(target))
		return ir_refusal_make(IR_E_BAD_REQUEST, "target",
		    "The request target is not a path.");
	if (strchr(target, '#') != NULL)
		return ir_refusal_make(IR_E_BAD_REQUEST, "target",
		    "The request target has a fragment.");
	return accepted;
}

/* The service is the first segment of the path. */
static struct ir_refusal
read_service(TALLOC_CTX *mem, const char *target, struct ir_call *call)
{
	size_t size = strcspn(target + 1, "/?#");
	const char *rest = target + 1 + size;

	if (size == 0 || size > IR_MAX_NAME)
		return ir_refusal_make(IR_E_NO_ROUTE, "service", NULL);
	if (strlen(rest) + 1 > IR_MAX_PATH)
		return ir_refusal_make(
		    IR_E_TOO_LARGE, "path", "The path is too long.");
	call->service = talloc_strndup(mem, target + 1, size);
	call->path = rest[0] == '/' ? talloc_strdup(mem, rest)
				    : talloc_asprintf(mem, "/%s", rest);
	if (call->service == NULL || call->path == NULL)
		return ir_refusal_make(IR_E_OVERLOAD, "memory", NULL);
	return accepted;
}

static const char *
host_field(const struct ir_raw_headers *raw)
{
	for (size_t i = 0; i < raw->count; i++) {
		if (strcasecmp(raw->headers[i].name, "host") == 0)
			return raw->headers[i].value;
	}
	return "";
}

/* The authority is the host name in lower case, without the port. */
static struct ir_refusal
read_authority(
    TALLOC_CTX *mem, const char *target, const char *host, struct ir_call *call)
{
	char *name = talloc_strndup(mem, host, strcspn(host, ":"));

	call->path = talloc_strdup(mem, target);
	if (name == NULL || call->path == NULL)
		return ir_refusal_make(IR_E_OVERLOAD, "memory", NULL);
	if (name[0] == '\0' || strlen(name) > IR_MAX_AUTHORITY)
		return ir_refusal_make(
		    IR_E_BAD_REQUEST, "host", "The Host header names no host.");
	if (strlen(target) > IR_MAX_PATH)
		return ir_refusal_make(
		    IR_E_TOO_LARGE, "path", "The path is too long.");
	for (char *p = name; *p != '\0'; p++)
		*p = (char)tolower((unsigned char)*p);
	call->authority = name;
	return accepted;
}

static struct ir_refusal
read_path_target(TALLOC_CTX *mem, const struct ir_dialect *d,
    const char *target, const char *host, struct ir_call *call)
{
	struct ir_refusal r = check_target(target);

	if (r.error != IR_OK)
		return r;
	if (d->routes_by_authority)
		return read_authority(mem, target, host, call);
	return read_service(mem, target, call);
}

struct ir_refusal
ir_caller_target_read(TALLOC_CTX *mem, const struct ir_dialect *d,
    const char *target, const struct ir_raw_headers *raw, struct ir_call *call)
{
	const char *path;
	char *authority, *origin_form;

	if (!is_absolute(mem, target, &authority, &path))
		return read_path_target(mem, d, target, host_field(raw), call);
	origin_form =
	    talloc_asprintf(mem, "%s%s", path[0] == '/' ? "" : "/", path);
	if (authority == NULL || origin_form == NULL)
		return ir_refusal_make(IR_E_OVERLOAD, "memory", NULL);
	if (authority[0] == '\0' || strchr(authority, '@') != NULL)
		return ir_refusal_make(IR_E_BAD_REQUEST, "target",
		    "The request target names no host.");
	return read_path_target(mem, d, origin_form, authority, call);
}

static int
hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Decodes once, in place. True if anything was decoded. */
static bool
percent_decode(char *text, size_t *size)
{
	size_t from = 0, to = 0;
	bool any = false;

	while (from < *size) {
		int high = -1, low = -1;

		if (text[from] == '%' && from + 2 < *size) {
			high = hex_value(text[from + 1]);
			low = hex_value(text[from + 2]);
		}
		if (high >= 0 && low >= 0) {
			text[to++] = (char)(high * 16 + low);
			from += 3;
			any = true;
		} else {
			text[to++] = text[from++];
		}
	}
	*size = to;
	return any;
}

static bool
has_key(const void *data, size_t size, const char *key)
{
	return size > 0 && memmem(data, size, key, strlen(key)) != NULL;
}

/* Searches the text as it is and after each repeated percent-decoding. */
static bool
text_has_key(const char *text, const char *key)
{
	size_t size = strlen(text);
	bool found = has_key(text, size, key);
	char *copy;

	if (found || strchr(text, '%') == NULL)
		return found;
	/* With its NUL, so that an escape at the end is decoded. */
	copy = talloc_strdup(NULL, text);
	if (copy == NULL)
		return true;
	size++;
	while (!found && percent_decode(copy, &size))
		found = has_key(copy, size, key);
	talloc_free(copy);
	return found;
}

struct ir_refusal
ir_caller_key_check(const struct ir_dialect *d, const struct ir_call *call,
    const char *target, const struct ir_raw_headers *raw)
{
	bool found;

	if (call->key == NULL)
		return accepted;
	found = text_has_key(target, call->key) ||
		(call->body != NULL &&
		    has_key(call->body, call->body_bytes, call->key));
	for (size_t i = 0; i < raw->count && !found; i++) {
		const struct ir_header *h = &raw->headers[i];
		const char *key;

		found = has_key(h->name, strlen(h->name), call->key) ||
			(!is_key_header(d, h, &key) &&
			    text_has_key(h->value, call->key));
	}
	if (!found)
		return accepted;
	return ir_refusal_make(
	    IR_E_BAD_REQUEST, "key-outside-header", KEY_OUTSIDE_TEXT);
}
