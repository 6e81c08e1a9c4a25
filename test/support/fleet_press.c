/* Steps that tests of a simulated fleet under steady calls share. */
#include "support/fleet_press.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/limits.h"

/* A new issuer waits until the former one's lease and grants end. */
#define SETTLE_US (6 * IR_US_PER_S)

void
fleet_start_all(struct fleet *f)
{
	fleet_publish_defaults(f);
	for (int i = 0; i < f->node_count; i++)
		fleet_start(f, i);
	assert_true(fleet_wait_ready(f));
	fleet_run(f, SETTLE_US);
}

void
fleet_press(struct fleet *f, int first, int count, int64_t period_us,
    int64_t for_us, const struct fleet_request *r)
{
	int64_t end_us = f->now_us + for_us;

	for (int i = 0; f->now_us < end_us && f->failure == NULL; i++) {
		(void)fleet_call(f, first + i % count, r);
		fleet_run(f, period_us);
	}
}

int
fleet_count_failed(const struct fleet *f, int from_call)
{
	int failed = 0;

	for (int i = from_call; i < f->call_count; i++)
		failed +=
		    !f->calls[i].abandoned && f->calls[i].answer.error != IR_OK;
	return failed;
}

void
fleet_finish(struct fleet *f)
{
	fleet_run(f, IR_US_PER_S);
	fleet_check_end(f);
	if (f->failure != NULL)
		fail_msg("%s", f->failure);
	talloc_free(f);
}
