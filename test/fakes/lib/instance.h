/*
 * What a stand-in upstream says and asks as an instance of our users'
 * platform: where its options name an instance.
 */
#ifndef FAKE_INSTANCE_H
#define FAKE_INSTANCE_H

#include "fakes/lib/upstream.h"

/* Headers of a call to another service, the NULL that ends them too. */
#define FAKE_CALL_HEADERS 6
/* Host name of a service's routes, and the path of its route /run. */
#define FAKE_AUTHORITY_SUFFIX ".soak.example"

/* Answers a request that it does not run; false when there is none to say. */
bool fake_instance_refuse(struct fake_upstream *u, struct fake_request *r);
/* Adds the headers that say that a request was not run. */
void fake_instance_add_not_run_headers(
    struct fake_upstream *u, struct fake_request *r);
/* Adds the headers of an answer. */
void fake_instance_add_answer_headers(
    struct fake_upstream *u, struct fake_request *r);
/*
 * The headers of call number n of a request, under mem, and its path from
 * "SERVICE/path".
 */
const char *fake_instance_build_call(TALLOC_CTX *mem,
    const struct fake_request *r, uint32_t n, const char *call,
    const char *headers[FAKE_CALL_HEADERS]);

#endif
