/* Real processes: the platform is down for longer than the lease. */
#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "fakes/lib/lifetime.h"
#include "ibisrail/limits.h"
#include "support/process_load.h"

static void
test_outage_of_the_platform(void **state)
{
	struct load *l = load_new("GET", "/s/run", NULL);
	struct key_at k = {NULL, KEY_OUTAGE};
	struct moment late;

	pr_faults(p, "{\"down\":true}");
	late = moment_after(&p->hosts[0], 3 * IR_VIEW_LEASE_US);
	while (!uptime_reached(&late))
		load_more(l, AT_ONCE);
	load_end(l);
	assert_all_served(l);
	pr_faults(p, "{\"down\":false}");
	pr_withdraw(p, KEY_OUTAGE);
	pr_wait("the key is refused", refused_by_all, &k);
	pr_wait_serving(p);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    MENDED(test_outage_of_the_platform),
	};

	program = argv[0];
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(
	    tests, processes_set_up, processes_tear_down);
}
