/* Sets of allowed regions. */
#include <stdio.h>
#include <string.h>

#include "link/peer.h"
#include "zone/region_set.h"

static const char *const no_regions[] = {NULL};

size_t
ir_region_set_count(const char *const *set)
{
	size_t n = 0;

	while (set != NULL && set[n] != NULL)
		n++;
	return n;
}

bool
ir_region_set_has(const char *const *set, const char *region)
{
	if (set == NULL)
		return true;
	for (; *set != NULL; set++) {
		if (strcmp(*set, region) == 0)
			return true;
	}
	return false;
}

bool
ir_region_set_is_within(const char *const *a, const char *const *b)
{
	if (b == NULL)
		return true;
	if (a == NULL)
		return false;
	for (; *a != NULL; a++) {
		if (!ir_region_set_has(b, *a))
			return false;
	}
	return true;
}

/* Copies the names that are also in other. */
static const char *const *
copy_common(TALLOC_CTX *mem, const char *const *names, size_t count,
    const char *const *other)
{
	const char **out = talloc_zero_array(mem, const char *, count + 1);
	size_t n = 0;

	if (out == NULL)
		return no_regions;
	for (size_t i = 0; i < count; i++) {
		if (strlen(names[i]) > IR_MAX_NAME ||
		    !ir_region_set_has(other, names[i]) ||
		    (n > 0 && ir_region_set_has(out, names[i])))
			continue;
		out[n] = talloc_strdup(out, names[i]);
		if (out[n] == NULL) {
			talloc_free(out);
			return no_regions;
		}
		n++;
	}
	return out;
}

const char *const *
ir_region_set_intersect(
    TALLOC_CTX *mem, const char *const *a, const char *const *b)
{
	if (a == NULL && b == NULL)
		return NULL;
	if (a == NULL)
		return copy_common(mem, b, ir_region_set_count(b), NULL);
	return copy_common(mem, a, ir_region_set_count(a), b);
}

const char *const *
ir_region_set_new(TALLOC_CTX *mem, char *const *names, size_t count)
{
	return copy_common(mem, (const char *const *)names, count, NULL);
}

const char *
ir_region_set_text(const char *const *set, char *buffer, size_t size_bytes)
{
	size_t at = 0;

	if (set == NULL)
		return "any";
	if (*set == NULL)
		return "none";
	buffer[0] = '\0';
	for (size_t i = 0; set[i] != NULL && at < size_bytes; i++)
		at += (size_t)snprintf(buffer + at, size_bytes - at, "%s%s",
		    i > 0 ? "," : "", set[i]);
	return buffer;
}
