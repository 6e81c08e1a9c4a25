/*
 * Retries of a call tree stay within the quota of its request, retries toward a
 * service within a tenth of the first attempts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "contract/retry.h"
#include "ibisrail/limits.h"
#include "support/contract_view.h"

static void
test_splits_off_half_and_accepts_no_more_back(void **state)
{
	struct ir_retry_quota q = {.tokens = 5};

	assert_int_equal(ir_retry_quota_split(&q), 3);
	assert_int_equal(q.tokens, 2);
	ir_retry_quota_return(&q, 3, 100);
	assert_int_equal(q.tokens, 5);
	q.tokens = 0;
	assert_int_equal(ir_retry_quota_split(&q), 0);
	assert_false(ir_retry_quota_take(&q));
	q.tokens = UINT32_MAX;
	assert_int_equal(ir_retry_quota_split(&q), UINT32_C(1) << 31);
}

/*
 * A call whose attempts all fail, with nested calls down to depth, retried
 * while tokens last. One reply in four is lost. Returns the number of retries.
 */
static uint32_t
run_call(struct ir_retry_quota *q, int depth, uint64_t *rng)
{
	uint32_t retries = 0;

	for (;;) {
		uint32_t part = ir_retry_quota_split(q);
		struct ir_retry_quota child = {.tokens = part};

		if (depth > 0)
			retries += run_call(&child, depth - 1, rng);
		if (contract_view_random(rng) % 4 != 0)
			ir_retry_quota_return(q, part, child.tokens);
		if (!ir_retry_quota_take(q))
			return retries;
		retries++;
	}
}

static void
test_retries_in_a_tree_are_bounded_by_its_quota(void **state)
{
	uint64_t rng = 7;

	for (uint32_t tokens = 0; tokens < 20; tokens++)
		for (int depth = 0; depth < 10; depth++) {
			struct ir_retry_quota q = {.tokens = tokens};

			assert_in_range(run_call(&q, depth, &rng), 0, tokens);
		}
}

static void
test_retries_stay_within_a_tenth(void **state)
{
	struct ir_retry_budget b = {0};
	int64_t now = 0;
	uint32_t retries = 0;

	for (int i = 0; i < 100000; i++, now += 1000) {
		ir_retry_budget_add_first_attempt(&b, now);
		retries += ir_retry_budget_take(&b, now);
		retries += ir_retry_budget_take(&b, now);
	}
	assert_in_range(retries, 9000, 10000 + 3);
}

static void
test_idle_service_may_have_a_few_retries(void **state)
{
	struct ir_retry_budget b = {0};
	uint32_t retries = 0;

	for (int64_t now = 0; now < 100 * IR_US_PER_S; now += 10000)
		retries += ir_retry_budget_take(&b, now);
	assert_in_range(retries, 20, 34);
}

static void
test_old_first_attempts_allow_no_retries(void **state)
{
	struct ir_retry_budget b = {0};
	uint32_t retries = 0;

	for (int i = 0; i < 1000; i++)
		ir_retry_budget_add_first_attempt(&b, 0);
	for (int i = 0; i < 100; i++)
		retries += ir_retry_budget_take(&b, 100 * IR_US_PER_S);
	assert_int_equal(retries, 3);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_splits_off_half_and_accepts_no_more_back),
	    cmocka_unit_test(test_retries_in_a_tree_are_bounded_by_its_quota),
	    cmocka_unit_test(test_retries_stay_within_a_tenth),
	    cmocka_unit_test(test_idle_service_may_have_a_few_retries),
	    cmocka_unit_test(test_old_first_attempts_allow_no_retries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
