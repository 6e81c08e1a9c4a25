/*
 * A small fleet of real processes in the dialect of our users' platform:
 * what its nodes' settings, its store's items and its callers' requests hold.
 *
 * There a host is named by its address, and all peers listen at one port: host
 * i listens at 127.1.0.i + 1, and is published at 127.2.0.i + 1, where a proxy
 * of the caller's stands.
 */
#ifndef TEST_PROCESS_PLATFORM_H
#define TEST_PROCESS_PLATFORM_H

#include "support/processes.h"

/* The route of t that instances of s call. */
#define PR_PLATFORM_INSTANCE_ROUTE "inner"

/* And the port for its callers, as entries need one that stays. */
void pr_platform_assign_addresses(struct pr_host *h, uint32_t number);
char *pr_platform_instance(struct processes *p, const struct pr_host *h);
char *pr_platform_settings(
    struct processes *p, const struct pr_host *h, uint16_t peers_port);
/* The entry of its instance, and the path to write it. */
char *pr_platform_entry(
    struct processes *p, const struct pr_host *h, bool draining);
char *pr_platform_entry_path(struct processes *p, const struct pr_host *h);
/* The operator's configuration, with the keys that are not withdrawn. */
char *pr_platform_config(struct processes *p, uint32_t version);
/*
 * The target of a request whose path begins with /s/ or /t/, its headers
 * added to a list of *n; other requests are left as they are.
 */
const char *pr_platform_build_headers(TALLOC_CTX *mem,
    const struct pr_request *r, uint64_t id, const char *headers[PR_HEADERS],
    size_t *n);

#endif
