/* Fair division of the admitted requests among accounts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "upstream/fair_share.h"

/* Counts a number of requests of the account. */
static void
request_times(
    struct ir_fair_share *f, const char *account, uint32_t weight, int times)
{
	for (int i = 0; i < times; i++)
		(void)ir_fair_share_request(f, account, weight);
}

/* The number admitted of the requests, if each is by its share at the time. */
static double
count_admitted(
    struct ir_fair_share *f, const char *account, uint32_t weight, int times)
{
	double sum = 0;

	for (int i = 0; i < times; i++)
		sum += ir_fair_share_request(f, account, weight);
	return sum;
}

static void
test_admits_everything_until_divided(void **state)
{
	struct ir_fair_share *f = ir_fair_share_new(NULL);

	assert_true(count_admitted(f, "a", 1, 10) == 10);
	ir_fair_share_update(f, 1);
	assert_true(count_admitted(f, "a", 1, 1000) == 1000);
	assert_true(count_admitted(f, "b", 1, 1) == 1);
	talloc_free(f);
}

static void
test_small_demands_are_met_in_full(void **state)
{
	struct ir_fair_share *f = ir_fair_share_new(NULL);

	request_times(f, "large", 1, 800);
	request_times(f, "small", 1, 100);
	request_times(f, "tiny", 1, 10);
	ir_fair_share_update(f, 0.5);
	assert_true(ir_fair_share_request(f, "tiny", 1) == 1);
	assert_true(ir_fair_share_request(f, "small", 1) == 1);
	/* Half of 910 is 455, of which the two others take 110. */
	assert_in_range(
	    (int)(ir_fair_share_request(f, "large", 1) * 800 + 0.5), 344, 346);
	talloc_free(f);
}

static void
test_shares_follow_the_weights(void **state)
{
	struct ir_fair_share *f = ir_fair_share_new(NULL);

	request_times(f, "one", 1, 300);
	request_times(f, "three", 3, 300);
	ir_fair_share_update(f, 0.5);
	assert_in_range(
	    (int)(ir_fair_share_request(f, "one", 1) * 300 + 0.5), 74, 76);
	assert_in_range(
	    (int)(ir_fair_share_request(f, "three", 3) * 300 + 0.5), 224, 226);
	talloc_free(f);
}

/* Accounts with one request each have no earlier demand, but count together. */
static void
test_many_sparse_accounts_are_limited_too(void **state)
{
	struct ir_fair_share *f = ir_fair_share_new(NULL);
	double sum = 0;
	char name[16];

	for (int window = 0; window < 40; window++) {
		sum = 0;
		for (int i = 0; i < 200; i++) {
			(void)snprintf(
			    name, sizeof(name), "a%d", window * 200 + i);
			sum += ir_fair_share_request(f, name, 1);
		}
		ir_fair_share_update(f, 0.25);
	}
	assert_in_range((int)sum, 20, 80);
	talloc_free(f);
}

static void
test_burst_of_a_new_account_is_limited_at_once(void **state)
{
	struct ir_fair_share *f = ir_fair_share_new(NULL);

	request_times(f, "a", 1, 100);
	request_times(f, "b", 1, 100);
	ir_fair_share_update(f, 0.5);
	assert_true(count_admitted(f, "new", 1, 1000) < 400);
	talloc_free(f);
}

static void
test_demand_of_idle_accounts_decays(void **state)
{
	struct ir_fair_share *f = ir_fair_share_new(NULL);

	request_times(f, "a", 1, 1000);
	request_times(f, "b", 1, 10);
	ir_fair_share_update(f, 0.1);
	assert_true(ir_fair_share_request(f, "a", 1) < 0.2);
	for (int window = 0; window < 20; window++) {
		request_times(f, "b", 1, 100);
		ir_fair_share_update(f, 0.5);
	}
	assert_true(ir_fair_share_request(f, "a", 1) == 1);
	talloc_free(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_admits_everything_until_divided),
	    cmocka_unit_test(test_small_demands_are_met_in_full),
	    cmocka_unit_test(test_shares_follow_the_weights),
	    cmocka_unit_test(test_many_sparse_accounts_are_limited_too),
	    cmocka_unit_test(test_burst_of_a_new_account_is_limited_at_once),
	    cmocka_unit_test(test_demand_of_idle_accounts_decays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
