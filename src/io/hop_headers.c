/* Removal of hop-by-hop headers. */
#include <string.h>
#include <strings.h>

#include "io/hop_headers.h"

#define OWN_PREFIX "ibisrail-"
#define PROXY_PREFIX "proxy-"

static const char *const removed[] = {"connection", "keep-alive", "te",
    "trailer", "transfer-encoding", "upgrade", "host", "content-length",
    "expect", NULL};

static bool
is_always_removed(const char *name)
{
	if (strncasecmp(name, OWN_PREFIX, strlen(OWN_PREFIX)) == 0)
		return true;
	if (strncasecmp(name, PROXY_PREFIX, strlen(PROXY_PREFIX)) == 0)
		return true;
	for (const char *const *d = removed; *d != NULL; d++) {
		if (strcasecmp(name, *d) == 0)
			return true;
	}
	return false;
}

bool
ir_header_list_has(const char *list, const char *name)
{
	size_t size = strlen(name);
	const char *p = list;

	while (*p != '\0') {
		size_t n;

		p += strspn(p, ", \t");
		n = strcspn(p, ", \t");
		if (n == size && size > 0 && strncasecmp(p, name, n) == 0)
			return true;
		p += n;
	}
	return false;
}

static bool
is_listed_in_connection(
    const struct ir_header *headers, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (strcasecmp(headers[i].name, "connection") == 0 &&
		    ir_header_list_has(headers[i].value, name))
			return true;
	}
	return false;
}

size_t
ir_hop_headers_drop(struct ir_header *headers, size_t count)
{
	size_t kept = 0;

	/* Connection headers are needed to check all others: removed last. */
	for (size_t i = 0; i < count; i++) {
		struct ir_header h = headers[i];

		if (strcasecmp(h.name, "connection") != 0 &&
		    (is_always_removed(h.name) ||
			is_listed_in_connection(headers, count, h.name)))
			continue;
		headers[i] = headers[kept];
		headers[kept++] = h;
	}
	count = kept;
	kept = 0;
	for (size_t i = 0; i < count; i++) {
		if (strcasecmp(headers[i].name, "connection") != 0)
			headers[kept++] = headers[i];
	}
	return kept;
}
