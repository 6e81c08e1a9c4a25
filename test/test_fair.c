/* Parts of accounts, and what they get where one asks for most. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "upstream/fair.h"

/* Asks so often for the account, divides, and returns its part then. */
static void
ask(struct ir_fair *f, const char *account, uint32_t weight, int times)
{
	for (int i = 0; i < times; i++)
		(void)ir_fair_ask(f, account, weight);
}

/* Started of so many requests, as each is started by its part. */
static double
started(struct ir_fair *f, const char *account, uint32_t weight, int times)
{
	double sum = 0;

	for (int i = 0; i < times; i++)
		sum += ir_fair_ask(f, account, weight);
	return sum;
}

static void
test_all_is_started_until_divided(void **state)
{
	struct ir_fair *f = ir_fair_new(NULL);

	assert_true(started(f, "a", 1, 10) == 10);
	ir_fair_divide(f, 1);
	assert_true(started(f, "a", 1, 1000) == 1000);
	assert_true(started(f, "b", 1, 1) == 1);
	talloc_free(f);
}

static void
test_small_accounts_keep_what_they_ask_for(void **state)
{
	struct ir_fair *f = ir_fair_new(NULL);

	ask(f, "large", 1, 800);
	ask(f, "small", 1, 100);
	ask(f, "tiny", 1, 10);
	ir_fair_divide(f, 0.5);
	assert_true(ir_fair_ask(f, "tiny", 1) == 1);
	assert_true(ir_fair_ask(f, "small", 1) == 1);
	/* Half of all is 455, of which the two others take 110. */
	assert_in_range(
	    (int)(ir_fair_ask(f, "large", 1) * 800 + 0.5), 344, 346);
	talloc_free(f);
}

static void
test_parts_follow_the_weights(void **state)
{
	struct ir_fair *f = ir_fair_new(NULL);

	ask(f, "one", 1, 300);
	ask(f, "three", 3, 300);
	ir_fair_divide(f, 0.5);
	assert_in_range((int)(ir_fair_ask(f, "one", 1) * 300 + 0.5), 74, 76);
	assert_in_range(
	    (int)(ir_fair_ask(f, "three", 3) * 300 + 0.5), 224, 226);
	talloc_free(f);
}

/* Accounts that ask once in a while are new each time, and yet count. */
static void
test_many_sparse_accounts_are_cut_too(void **state)
{
	struct ir_fair *f = ir_fair_new(NULL);
	double sum = 0;
	char name[16];

	for (int window = 0; window < 40; window++) {
		sum = 0;
		for (int i = 0; i < 200; i++) {
			(void)snprintf(
			    name, sizeof(name), "a%d", window * 200 + i);
			sum += ir_fair_ask(f, name, 1);
		}
		ir_fair_divide(f, 0.25);
	}
	assert_in_range((int)sum, 20, 80);
	talloc_free(f);
}

static void
test_a_new_burst_is_cut_in_its_window(void **state)
{
	struct ir_fair *f = ir_fair_new(NULL);

	ask(f, "a", 1, 100);
	ask(f, "b", 1, 100);
	ir_fair_divide(f, 0.5);
	assert_true(started(f, "new", 1, 1000) < 400);
	talloc_free(f);
}

static void
test_quiet_accounts_get_their_part_back(void **state)
{
	struct ir_fair *f = ir_fair_new(NULL);

	ask(f, "a", 1, 1000);
	ask(f, "b", 1, 10);
	ir_fair_divide(f, 0.1);
	assert_true(ir_fair_ask(f, "a", 1) < 0.2);
	for (int window = 0; window < 20; window++) {
		ask(f, "b", 1, 100);
		ir_fair_divide(f, 0.5);
	}
	assert_true(ir_fair_ask(f, "a", 1) == 1);
	talloc_free(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_all_is_started_until_divided),
	    cmocka_unit_test(test_small_accounts_keep_what_they_ask_for),
	    cmocka_unit_test(test_parts_follow_the_weights),
	    cmocka_unit_test(test_many_sparse_accounts_are_cut_too),
	    cmocka_unit_test(test_a_new_burst_is_cut_in_its_window),
	    cmocka_unit_test(test_quiet_accounts_get_their_part_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
