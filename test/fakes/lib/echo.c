/* Builds the body of a stand-in upstream's answer. */
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "fakes/lib/echo.h"

char *
fake_echo(TALLOC_CTX *mem, const char *id, const char *path, const void *body,
    size_t body_bytes, size_t answer_bytes)
{
	size_t used, step;
	char *out;

	out = talloc_asprintf(mem, "id=%s path=%s body=%016" PRIx64 "\n", id,
	    path, (uint64_t)XXH64(body, body_bytes, 0));
	used = strlen(out);
	if (answer_bytes > FAKE_MAX_ECHO_BYTES)
		answer_bytes = FAKE_MAX_ECHO_BYTES;
	if (answer_bytes <= used)
		return out;
	step = used;
	out = talloc_realloc(mem, out, char, answer_bytes + 1);
	for (; used < answer_bytes; used++)
		out[used] = out[used - step];
	out[used] = '\0';
	return out;
}
