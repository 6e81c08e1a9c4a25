/* When a process that was told to stop ends. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "ibisrail/limits.h"
#include "io/core/drain.h"

#define BEGIN_US (1000 * IR_US_PER_S)
#define LEAVE_MS 3000
#define DRAIN_MS 5000
#define STOP_MS 5600
#define STEP_US (10 * IR_US_PER_MS)

/* Returns the milliseconds from the signal to the end of the drain. */
static int64_t
drain_duration_ms(
    struct ir_drain *d, const struct ir_drain_work *work, int64_t work_ends_us)
{
	static const struct ir_drain_work none;
	int64_t now = d->begin_us;

	while (!ir_drain_is_done(d, now, now < work_ends_us ? work : &none))
		now += STEP_US;
	return (now - d->begin_us) / IR_US_PER_MS;
}

static struct ir_drain
begun(void)
{
	static const struct ir_drain_times times = {.leave_ms = LEAVE_MS,
	    .finish_ms = DRAIN_MS,
	    .drain_ms = DRAIN_MS,
	    .stop_ms = STOP_MS};
	struct ir_drain d = {0};

	ir_drain_begin(&d, BEGIN_US, &times);
	return d;
}

static void
test_idle_process_waits_for_callers_and_peers(void **state)
{
	struct ir_drain d = begun();
	int64_t linger_ms = 3 * IR_HEARTBEAT_PERIOD_US / IR_US_PER_MS;

	assert_true(ir_drain_has_begun(&d));
	assert_int_equal(drain_duration_ms(&d, NULL, 0), LEAVE_MS + linger_ms);
	d = begun();
	ir_drain_note_not_ready(&d);
	ir_drain_note_not_ready(&d);
	assert_int_equal(drain_duration_ms(&d, NULL, 0), linger_ms);
}

static void
test_unsent_answers_delay_the_end(void **state)
{
	const struct ir_drain_work work = {.unsent_answers = 1};
	struct ir_drain d = begun();
	int64_t taken_us = BEGIN_US + 4000 * IR_US_PER_MS;

	assert_in_range(drain_duration_ms(&d, &work, taken_us), 4001, DRAIN_MS);
}

static void
test_deadline_ends_work(void **state)
{
	const struct ir_drain_work unsent = {.unsent_answers = 1};
	const struct ir_drain_work calls = {.calls = true};
	struct ir_drain d = begun();

	assert_int_equal(drain_duration_ms(&d, &unsent, INT64_MAX), DRAIN_MS);
	d = begun();
	assert_int_equal(drain_duration_ms(&d, &calls, INT64_MAX), DRAIN_MS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_idle_process_waits_for_callers_and_peers),
	    cmocka_unit_test(test_unsent_answers_delay_the_end),
	    cmocka_unit_test(test_deadline_ends_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
