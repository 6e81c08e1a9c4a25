/* Retries stay bounded over any tree and under a tenth of fresh requests. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "contract/retry.h"
#include "ibisrail/limits.h"
#include "support/contract_fleet.h"

static void
test_lends_half_and_takes_back_no_more(void **state)
{
	struct ir_retry_quota l = {.tokens = 5};

	assert_int_equal(ir_retry_quota_lend(&l), 3);
	assert_int_equal(l.tokens, 2);
	ir_retry_quota_return(&l, 3, 100);
	assert_int_equal(l.tokens, 5);
	l.tokens = 0;
	assert_int_equal(ir_retry_quota_lend(&l), 0);
	assert_false(ir_retry_quota_take(&l));
	l.tokens = UINT32_MAX;
	assert_int_equal(ir_retry_quota_lend(&l), UINT32_C(1) << 31);
}

/* A hop fails all its attempts while tokens last; returns the retries. */
static uint32_t
run_hop(struct ir_retry_quota *l, int depth, uint64_t *rng)
{
	uint32_t retries = 0;

	for (;;) {
		uint32_t lent = ir_retry_quota_lend(l);
		struct ir_retry_quota child = {.tokens = lent};

		if (depth > 0)
			retries += run_hop(&child, depth - 1, rng);
		if (fleet_random(rng) % 4 != 0)
			ir_retry_quota_return(l, lent, child.tokens);
		if (!ir_retry_quota_take(l))
			return retries;
		retries++;
	}
}

static void
test_tree_never_exceeds_its_tokens(void **state)
{
	uint64_t rng = 7;

	for (uint32_t tokens = 0; tokens < 20; tokens++)
		for (int depth = 0; depth < 10; depth++) {
			struct ir_retry_quota l = {.tokens = tokens};

			assert_in_range(run_hop(&l, depth, &rng), 0, tokens);
		}
}

static void
test_retries_stay_under_a_tenth(void **state)
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
test_idle_service_may_retry_a_little(void **state)
{
	struct ir_retry_budget b = {0};
	uint32_t retries = 0;

	for (int64_t now = 0; now < 100 * IR_US_PER_S; now += 10000)
		retries += ir_retry_budget_take(&b, now);
	assert_in_range(retries, 20, 34);
}

static void
test_old_requests_earn_nothing(void **state)
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
	    cmocka_unit_test(test_lends_half_and_takes_back_no_more),
	    cmocka_unit_test(test_tree_never_exceeds_its_tokens),
	    cmocka_unit_test(test_retries_stay_under_a_tenth),
	    cmocka_unit_test(test_idle_service_may_retry_a_little),
	    cmocka_unit_test(test_old_requests_earn_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
