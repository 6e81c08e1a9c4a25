/* Real processes: the platform is down for longer than the view lease. */
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
test_serves_during_platform_outage(void **state)
{
	struct load *l = load_new("GET", "/s/run", NULL);
	struct key_refusal k = {NULL, KEY_OUTAGE};
	struct uptime_mark lease_expired;

	pr_set_faults(procs, "{\"down\":true}");
	lease_expired = uptime_after(&procs->hosts[0], 3 * IR_VIEW_LEASE_US);
	while (!uptime_reached(&lease_expired))
		load_run(l, LOAD_CONCURRENCY);
	load_finish(l);
	assert_all_served(l);
	pr_set_faults(procs, "{\"down\":false}");
	pr_withdraw_key(procs, KEY_OUTAGE);
	pr_wait_until("the key is refused", key_refused_by_all, &k);
	pr_wait_serving(procs);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    WITH_RESTORE(test_serves_during_platform_outage),
	};

	program_path = argv[0];
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(
	    tests, processes_set_up, processes_tear_down);
}
