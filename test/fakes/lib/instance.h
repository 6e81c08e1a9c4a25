/*
 * HTTP dialect of an instance of our users' platform, for a stand-in upstream
 * whose options name an instance.
 */
#ifndef FAKE_INSTANCE_H
#define FAKE_INSTANCE_H

#include "fakes/lib/upstream.h"

/* Most headers of a call to another service, with the terminating NULL. */
#define FAKE_CALL_HEADERS 6
/* Host names of routes: the service's name with this suffix. */
#define FAKE_AUTHORITY_SUFFIX ".soak.example"

/*
 * Answers a request that must not run: 400 without an attempt id, 421 if it
 * expects another instance. Returns false if the request may run.
 */
bool fake_instance_refuse(struct fake_upstream *u, struct fake_request *r);
/* Adds the headers of an answer that says that the request was not run. */
void fake_instance_add_not_run_headers(
    struct fake_upstream *u, struct fake_request *r);
/* Adds the headers of the answer to a request that ran. */
void fake_instance_add_answer_headers(
    struct fake_upstream *u, struct fake_request *r);
/*
 * Prepares call number n (from 1) that a request makes to another service, from
 * "SERVICE/path". Fills in the headers, NULL-terminated, and returns the path;
 * both are under mem.
 */
const char *fake_instance_build_call(TALLOC_CTX *mem,
    const struct fake_request *r, uint32_t n, const char *call,
    const char *headers[FAKE_CALL_HEADERS]);

#endif
