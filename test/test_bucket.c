/*
 * Token bucket: in any t seconds no more than burst + rate * t tokens can be
 * spent, whichever messages are repeated, late or lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "contract/bucket.h"
#include "ibisrail/limits.h"
#include "support/contract_view.h"

#define MS IR_US_PER_MS
#define S IR_US_PER_S

static int64_t retry_us;

static uint32_t
grant(struct ir_bucket *b, int64_t now, uint64_t sequence, uint32_t want)
{
	return ir_bucket_grant(b, now, 1, sequence, want, &retry_us);
}

static void
test_starts_empty_and_waits(void **state)
{
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 2 * S, 10000, 5000);

	assert_int_equal(grant(b, 2 * S - 1, 1, 1), 0);
	assert_true(retry_us > 0);
	assert_int_equal(ir_bucket_level_mt(b, 2 * S), 0);
	assert_int_equal(ir_bucket_level_mt(b, 2 * S + 100 * MS), 1000);
	assert_int_equal(grant(b, 2 * S + 100 * MS, 2, 4), 1);
	assert_int_equal(ir_bucket_level_mt(b, 10 * S), 5000);
	talloc_free(b);
}

static void
test_refill_keeps_remainders(void **state)
{
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 0, 333, 100000000);

	for (int64_t t = 0; t <= 1000 * S; t += 1237)
		ir_bucket_level_mt(b, t);
	assert_int_equal(ir_bucket_level_mt(b, 1000 * S), 333000);
	talloc_free(b);
}

static void
test_repeated_request_takes_no_more_tokens(void **state)
{
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 0, 1000, 9000);

	assert_int_equal(grant(b, 9 * S, 1, 4), 4);
	assert_int_equal(grant(b, 9 * S, 1, 4), 4);
	assert_int_equal(ir_bucket_level_mt(b, 9 * S), 5000);
	assert_int_equal(ir_bucket_outstanding_mt(b, 9 * S), 4000);
	/* After expiry a request, and any before it, gets no tokens. */
	assert_int_equal(grant(b, 10 * S, 2, 1), 1);
	assert_int_equal(grant(b, 11 * S, 2, 1), 0);
	assert_int_equal(grant(b, 11 * S, 1, 4), 0);
	assert_int_equal(grant(b, 11 * S, 3, 1), 1);
	talloc_free(b);
}

static void
test_release_frees_its_own_grant_once(void **state)
{
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 0, 1000, 9000);

	grant(b, 9 * S, 1, 4);
	grant(b, 9 * S, 2, 3);
	ir_bucket_release(b, 9 * S, 1, 1);
	ir_bucket_release(b, 9 * S, 1, 1);
	ir_bucket_release(b, 9 * S, 1, 77);
	ir_bucket_release(b, 9 * S, 2, 2);
	assert_int_equal(ir_bucket_outstanding_mt(b, 9 * S), 3000);
	assert_int_equal(grant(b, 9 * S, 1, 4), 0);
	assert_int_equal(
	    ir_bucket_outstanding_mt(b, 9 * S + IR_GRANT_VALID_US), 0);
	talloc_free(b);
}

static void
test_outstanding_grants_block_the_refill(void **state)
{
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 0, 100000, 5000);

	assert_int_equal(grant(b, S, 1, 5), 5);
	assert_int_equal(ir_bucket_level_mt(b, S + 399 * MS), 0);
	/* The grant may be spent just before it expires: refill starts then. */
	assert_int_equal(
	    ir_bucket_level_mt(b, S + IR_GRANT_VALID_US + 10 * MS), 1000);
	talloc_free(b);
}

static void
test_share_decreases_at_once_and_increases_later(void **state)
{
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 0, 10000, 10000);

	ir_bucket_set_share(b, 9 * S, 11 * S, 1000, 4000);
	assert_int_equal(ir_bucket_level_mt(b, 9 * S), 4000);
	assert_int_equal(grant(b, 9 * S, 1, 9), 4);
	ir_bucket_release(b, 9 * S, 1, 1);
	assert_int_equal(ir_bucket_level_mt(b, 10 * S), 1000);
	ir_bucket_set_share(b, 10 * S, 12 * S, 4000, 20000);
	ir_bucket_set_share(b, 11 * S, 13 * S, 4000, 20000);
	assert_int_equal(ir_bucket_level_mt(b, 12 * S), 3000);
	assert_int_equal(ir_bucket_level_mt(b, 13 * S), 7000);
	talloc_free(b);
}

static void
test_handover_keeps_the_amounts(void **state)
{
	struct ir_bucket *a = ir_bucket_new(NULL, 0, 0, 1000, 9000);
	struct ir_bucket *b = ir_bucket_new(NULL, 9 * S, 20 * S, 1000, 9000);
	uint64_t balance, outstanding;

	grant(a, 9 * S, 1, 4);
	ir_bucket_stop(a, 9 * S, &balance, &outstanding);
	assert_int_equal(balance, 5000);
	assert_int_equal(outstanding, 4000);
	assert_int_equal(grant(a, 10 * S, 2, 1), 0);
	ir_bucket_take_over(b, 10 * S, balance, outstanding);
	ir_bucket_take_over(b, 10 * S, balance, outstanding);
	assert_int_equal(grant(b, 10 * S, 1, 9), 5);
	assert_int_equal(ir_bucket_outstanding_mt(b, 10 * S + 399 * MS), 9000);
	assert_int_equal(ir_bucket_level_mt(b, 10 * S + 399 * MS), 0);
	talloc_free(a);
	talloc_free(b);
}

static void
test_refused_requesters_get_spaced_retry_times(void **state)
{
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 0, 10000, 1000);
	int64_t last = 0;

	grant(b, S, 1, 1);
	for (uint64_t i = 0; i < 4; i++) {
		assert_int_equal(grant(b, S, 2 + i, 1), 0);
		assert_int_equal(retry_us - last, 100 * MS);
		last = retry_us;
	}
	talloc_free(b);
}

/*
 * Grants are spent and released at once, or spent just before they expire and
 * never released.
 */
static void
run_random(uint64_t seed)
{
	enum {
		MAX = 20000
	};
	static int64_t spent[MAX];
	struct ir_bucket *b = ir_bucket_new(NULL, 0, 0, 7777, 6000);
	int64_t now = 0;
	size_t n = 0;

	for (uint64_t i = 1; i < 2000; i++) {
		uint32_t got;
		uint64_t r = contract_view_random(&seed);

		now += (int64_t)(r % 150) * MS;
		got = grant(b, now, i, 1 + r % 4);
		assert_true(ir_bucket_level_mt(b, now) +
				ir_bucket_outstanding_mt(b, now) <=
			    6000);
		if (r >> 60 < 8) { /* spent and released at once */
			ir_bucket_release(b, now, 1, i);
			for (uint32_t k = 0; k < got; k++)
				spent[n++] = now;
		} else {
			now += IR_GRANT_VALID_US - 1;
			for (uint32_t k = 0; k < got; k++)
				spent[n++] = now;
		}
	}
	for (size_t j = 0; j < n; j++)
		for (size_t i = j > 200 ? j - 200 : 0; i <= j; i++)
			assert_true((int64_t)(j - i + 1) * 1000 * S <=
				    6000 * S + 7777 * (spent[j] - spent[i]));
	assert_true(n > 500);
	talloc_free(b);
}

static void
test_tokens_spent_in_any_window_are_bounded(void **state)
{
	for (uint64_t seed = 1; seed <= 10; seed++)
		run_random(seed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_starts_empty_and_waits),
	    cmocka_unit_test(test_refill_keeps_remainders),
	    cmocka_unit_test(test_repeated_request_takes_no_more_tokens),
	    cmocka_unit_test(test_release_frees_its_own_grant_once),
	    cmocka_unit_test(test_outstanding_grants_block_the_refill),
	    cmocka_unit_test(test_share_decreases_at_once_and_increases_later),
	    cmocka_unit_test(test_handover_keeps_the_amounts),
	    cmocka_unit_test(test_refused_requesters_get_spaced_retry_times),
	    cmocka_unit_test(test_tokens_spent_in_any_window_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
