/*
 * Real processes: a host is stopped, in calm, while its callers go on sending
 * requests that take almost half of the grace period.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "fakes/lib/lifetime.h"
#include "ibisrail/limits.h"
#include "support/process_load.h"

#define HOSTS 2
#define STEP_MS 5
#define SEND_PERIOD_US (100 * IR_US_PER_MS)
#define MAX_SENT 100
#define HTTP_OK 200
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

struct outcomes {
	int sent;
	int ended;
	int served;
	int refused;
	int in_doubt; /* taken, and the caller does not know what became of it
		       */
	int not_taken;
};

static int
set_up(void **state)
{
	return processes_set_up_platform(HOSTS);
}

static void
on_done(void *ctx, uint64_t id, const struct fake_fetch_result *r)
{
	struct outcomes *o = ctx;

	o->ended++;
	if (!r->complete)
		o->not_taken++;
	else if (r->status == HTTP_OK)
		o->served++;
	else if (r->status == HTTP_UNAVAILABLE)
		o->refused++;
	else if (r->status == HTTP_BAD_GATEWAY ||
		 r->status == HTTP_GATEWAY_TIMEOUT)
		o->in_doubt++;
}

static void
send_one(struct outcomes *o, const char *path)
{
	struct pr_request r = {.port = procs->hosts[0].callers_port,
	    .method = "POST",
	    .path = path,
	    .key = procs->keys[KEY_MAIN]};

	pr_send(procs, &r, ++procs->next_id, on_done, o);
	o->sent++;
}

static void
wait_for_all(struct outcomes *o)
{
	while (o->ended < o->sent)
		fake_fetcher_step(procs->fetcher, STEP_MS);
}

/* Sends until the process has ended, or MAX_SENT requests. */
static struct outcomes
send_through_a_stop(const char *path)
{
	struct pr_host *h = &procs->hosts[0];
	struct outcomes before = {0}, o = {0};
	int status;

	/* The node learns how long such requests take. */
	for (int i = 0; i < 3; i++)
		send_one(&before, path);
	wait_for_all(&before);
	assert_int_equal(before.served, 3);
	pr_signal(&h->node, SIGTERM);
	for (int64_t next_us = fake_now_us(); o.sent < MAX_SENT;) {
		if (pr_reap(&h->node, &status))
			break;
		if (fake_now_us() >= next_us) {
			send_one(&o, path);
			next_us += SEND_PERIOD_US;
		}
		fake_fetcher_step(procs->fetcher, STEP_MS);
	}
	wait_for_all(&o);
	print_message("%d sent: %d served, %d refused, %d in doubt, %d not "
		      "taken\n",
	    o.sent, o.served, o.refused, o.in_doubt, o.not_taken);
	return o;
}

/* Requests that came late in the grace period were taken and then cut. */
static void
test_request_that_cannot_end_before_the_stop_is_refused(void **state)
{
	struct outcomes o;

	pr_set_upstream(procs, &procs->hosts[1], "{\"service_ms\":2600}");
	o = send_through_a_stop("/t/charge");
	assert_int_equal(o.in_doubt, 0);
	assert_true(o.served > 0);
	assert_true(o.refused > 0);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_request_that_cannot_end_before_the_stop_is_refused),
	};

	program_path = argv[0];
	return cmocka_run_group_tests(tests, set_up, processes_tear_down);
}
