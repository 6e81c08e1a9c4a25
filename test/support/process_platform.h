/*
 * Fleets of real processes in the dialect of our users' platform: contents of
 * settings files, store entries and callers' requests.
 *
 * In this dialect a host is named by its address and all hosts listen for peers
 * at the same port. Host i listens at 127.1.0.i + 1 and is published at
 * 127.2.0.i + 1, where the program that starts the fleet runs a proxy.
 */
#ifndef TEST_PROCESS_PLATFORM_H
#define TEST_PROCESS_PLATFORM_H

#include "support/processes.h"

/* The route of t that instances of s call. */
#define PR_PLATFORM_INSTANCE_ROUTE "inner"

/*
 * Sets the addresses of the host and reserves the port for its callers, which
 * must stay the same as it is in the host's entry.
 */
void pr_platform_assign_addresses(struct pr_host *h, uint32_t number);
/* Returns the id of the host's upstream instance. */
char *pr_platform_instance(struct processes *p, const struct pr_host *h);
/* Returns the text of its settings file. */
char *pr_platform_settings(
    struct processes *p, const struct pr_host *h, uint16_t peers_port);
/* Return the store entry of its instance, and the path to write it. */
char *pr_platform_entry(
    struct processes *p, const struct pr_host *h, bool draining);
char *pr_platform_entry_path(struct processes *p, const struct pr_host *h);
/* Returns the operator's configuration, without the withdrawn keys. */
char *pr_platform_config(struct processes *p, uint32_t version);
/*
 * Returns the target of a request whose path begins with /s/ or /t/ and appends
 * its headers to the *n ones in headers. The path of other requests is returned
 * as it is.
 */
const char *pr_platform_build_headers(TALLOC_CTX *mem,
    const struct pr_request *r, uint64_t id, const char *headers[PR_HEADERS],
    size_t *n);

#endif
