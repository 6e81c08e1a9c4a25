/* The limit of descriptors is raised, and its division stays within it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <sys/resource.h>

#include <cmocka.h>

#include "io/descriptors.h"

#define LOW 64

static void
test_soft_limit_is_raised_to_hard_limit(void **state)
{
	struct rlimit before, r;

	assert_int_equal(getrlimit(RLIMIT_NOFILE, &before), 0);
	assert_true(before.rlim_max > LOW);
	r = before;
	r.rlim_cur = LOW;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &r), 0);
	assert_int_equal(ir_descriptor_limit_raise(),
	    before.rlim_max == RLIM_INFINITY ? UINT64_MAX : before.rlim_max);
	assert_int_equal(getrlimit(RLIMIT_NOFILE, &r), 0);
	assert_int_equal(r.rlim_cur, before.rlim_max);
	assert_int_equal(r.rlim_max, before.rlim_max);
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &before), 0);
}

static void
test_division_stays_within_the_limit(void **state)
{
	static const uint64_t limits[] = {1024, 4096, 4100, 8192, 1 << 20};

	for (size_t i = 0; i < sizeof(limits) / sizeof(*limits); i++) {
		struct ir_descriptor_limits d =
		    ir_descriptor_limits_divide(limits[i], 600);

		assert_true(d.callers > 0 && d.peers > 0 && d.upstream > 0);
		assert_true(d.upstream <= 600);
		/* 200 are for files, which may share the limit with sockets. */
		assert_true(d.callers + d.peers + d.upstream + 200 < limits[i]);
	}
	assert_int_equal(
	    ir_descriptor_limits_divide(UINT64_MAX, 300).upstream, 300);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_soft_limit_is_raised_to_hard_limit),
	    cmocka_unit_test(test_division_stays_within_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
