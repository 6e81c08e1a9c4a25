/*
 * Real processes start while the host list comes in pages and another writer's
 * entry stands in it, under a key that a request target cannot hold as it is.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "platform/names.h"
#include "support/process_load.h"

#define HOSTS 2

struct odd_name {
	const char *name;    /* "%7A" and "a+b" are others if not encoded */
	const char *address; /* of the entry, where no node runs */
};

static int
set_up(void **state)
{
	int rc = processes_set_up_platform(HOSTS);

	/* Each entry is the last one of its page. */
	pr_set_faults(procs, "{\"page_items\":1}");
	return rc;
}

static char *
control_path(const char *name)
{
	char *encoded = curl_easy_escape(NULL, name, (int)strlen(name));
	char *path =
	    talloc_asprintf(procs, "/control/kv/" SERVERS_PREFIX "%s", encoded);

	curl_free(encoded);
	return path;
}

/* The content is that of an ordinary entry. */
static void
put_odd_entry(const struct odd_name *odd)
{
	pr_send_control(procs, procs->platform_port, "PUT",
	    control_path(odd->name),
	    talloc_asprintf(procs,
		"{\"" FIELD_SERVICE "\":\"t\",\"" FIELD_ADDRESS
		"\":\"%s:80\",\"" FIELD_ZONE
		"\":\"n1\",\"version\":\"1\",\"" FIELD_SLOTS
		"\":8,\"" FIELD_STATE
		"\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}",
		odd->address));
}

static void
restart_nodes(void)
{
	int status;

	for (size_t i = 0; i < HOSTS; i++)
		pr_signal(&procs->hosts[i].node, SIGKILL);
	for (size_t i = 0; i < HOSTS; i++) {
		struct pr_host *h = &procs->hosts[i];

		while (!pr_reap(&h->node, &status))
			continue;
		pr_node_start(procs, h, h->peers_port);
	}
}

static void
test_odd_key_of_an_entry_does_not_end_the_list(void **state)
{
	put_odd_entry(*state);
	restart_nodes();
	pr_wait_serving(procs);
}

static int
remove_odd_entry(void **state)
{
	const struct odd_name *odd = *state;

	pr_send_control(procs, procs->platform_port, "DELETE",
	    control_path(odd->name), NULL);
	return 0;
}

/* clang-format off */
#define WITH_NAME(name, number)                                      \
	{name, test_odd_key_of_an_entry_does_not_end_the_list, NULL, \
	    remove_odd_entry,                                        \
	    &(struct odd_name){name, "127.3.0." #number}}
/* clang-format on */

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    WITH_NAME("a&b", 1),
	    WITH_NAME("a#b", 2),
	    WITH_NAME("a+b", 3),
	    WITH_NAME("%7A", 4),
	    WITH_NAME("a b", 5),
	    WITH_NAME("a\tb", 6),
	    WITH_NAME("a\001b", 7),
	    WITH_NAME("a\"b\\", 8),
	    WITH_NAME("\xc3\xa9", 9),
	    WITH_NAME("a=b?c;d/e", 10),
	};

	program_path = argv[0];
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, set_up, processes_tear_down);
}
