/*
 * The body of a stand-in upstream's answer. It is derived from the request, so
 * that a caller detects truncated answers and those to other requests.
 */
#ifndef FAKE_ECHO_H
#define FAKE_ECHO_H

#include <stddef.h>
#include <talloc.h>

#define FAKE_MAX_ECHO_BYTES (4 * 1024 * 1024 - 1)

/*
 * Returns the body as a string under mem: a line with id (X-Test-Id, or ""),
 * path (as the upstream received it, with its query) and a hash of the
 * request's body, repeated up to answer_bytes; at most FAKE_MAX_ECHO_BYTES.
 */
char *fake_echo(TALLOC_CTX *mem, const char *id, const char *path,
    const void *body, size_t body_bytes, size_t answer_bytes);

#endif
