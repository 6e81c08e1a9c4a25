/* Whether a host reads the store itself. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "host/read_duty.h"
#include "ibisrail/limits.h"

#define OVERDUE_US (2400 * IR_US_PER_MS)

static struct ir_read_duty
fresh(void)
{
	struct ir_read_duty d = {.age_us = IR_US_PER_S,
	    .peer_age_us = IR_US_PER_S,
	    .asked_to_read_us = INT64_MAX,
	    .read_period_us = OVERDUE_US / 2,
	    .overdue_us = OVERDUE_US,
	    .rank = 2};

	return d;
}

static void
test_confirmed_by_others_it_does_not_read(void **state)
{
	struct ir_read_duty d = fresh();

	assert_false(ir_host_reads_store(&d));
	d.unanswered_polls = 2;
	assert_false(ir_host_reads_store(&d));
	d.is_reader = true;
	assert_true(ir_host_reads_store(&d));
}

static void
test_never_confirmed_it_reads(void **state)
{
	struct ir_read_duty d = fresh();

	d.age_us = INT64_MAX;
	d.peer_age_us = INT64_MAX;
	assert_true(ir_host_reads_store(&d));
	d.store_is_down = true;
	assert_true(ir_host_reads_store(&d));
}

static void
test_others_have_a_read_period_to_confirm_what_it_read(void **state)
{
	struct ir_read_duty d = fresh();

	d.peer_age_us = INT64_MAX;
	d.age_us = OVERDUE_US / 2 - 1;
	assert_false(ir_host_reads_store(&d));
	d.age_us++;
	assert_true(ir_host_reads_store(&d));
}

static void
test_silence_of_others_makes_it_read_whatever_its_rank(void **state)
{
	struct ir_read_duty d = fresh();

	d.unanswered_polls = 3;
	d.rank = 400;
	assert_true(ir_host_reads_store(&d));
}

static void
test_hosts_with_old_confirmations_begin_one_after_the_other(void **state)
{
	struct ir_read_duty d = fresh();

	for (d.rank = 0; d.rank < 20; d.rank++) {
		d.peer_age_us = OVERDUE_US + (int64_t)d.rank * IR_VIEW_POLL_US;
		assert_true(ir_host_reads_store(&d));
		d.peer_age_us--;
		assert_false(ir_host_reads_store(&d));
	}
}

static void
test_it_reads_while_a_reader_asks_it_to(void **state)
{
	struct ir_read_duty d = fresh();

	d.asked_to_read_us = 0;
	assert_true(ir_host_reads_store(&d));
	d.asked_to_read_us = 4 * IR_DEPUTY_POLL_US;
	assert_true(ir_host_reads_store(&d));
	d.asked_to_read_us = 5 * IR_DEPUTY_POLL_US;
	assert_false(ir_host_reads_store(&d));
}

static void
test_store_that_answers_none_is_left_to_the_readers(void **state)
{
	struct ir_read_duty d = fresh();

	d.asked_to_read_us = 0;
	d.store_is_down = true;
	d.peer_age_us = 100 * IR_US_PER_S;
	assert_false(ir_host_reads_store(&d));
	d.is_reader = true;
	assert_true(ir_host_reads_store(&d));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_confirmed_by_others_it_does_not_read),
	    cmocka_unit_test(test_never_confirmed_it_reads),
	    cmocka_unit_test(
		test_others_have_a_read_period_to_confirm_what_it_read),
	    cmocka_unit_test(
		test_silence_of_others_makes_it_read_whatever_its_rank),
	    cmocka_unit_test(
		test_hosts_with_old_confirmations_begin_one_after_the_other),
	    cmocka_unit_test(test_it_reads_while_a_reader_asks_it_to),
	    cmocka_unit_test(
		test_store_that_answers_none_is_left_to_the_readers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
