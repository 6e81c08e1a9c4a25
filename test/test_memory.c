/* Memory bounds of a process, and detection of short memory. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "ibisrail/limits.h"
#include "io/memory.h"

#define MB (UINT64_C(1024) * 1024)
#define BLOCKS 300000
#define BLOCK_BYTES 300
#define KEEP_EVERY 64
#define CONNECTIONS 8192
#define MIN_GRANT_BYTES 4096 /* of a caller's connection */

static void
test_bounds_leave_40_percent(void **state)
{
	struct ir_memory m;
	uint64_t total = 0;

	ir_memory_init(&m, 160 * MB);
	for (int u = 0; u < IR_MEMORY_USE_COUNT; u++)
		total += m.bound_bytes[u];
	assert_true(total <= 160 * MB * 60 / 100);
	assert_int_equal(m.limit_bytes, 160 * MB);
	assert_true(m.enforced);
}

static void
test_without_a_limit_the_default_is_divided(void **state)
{
	struct ir_memory m;

	ir_memory_init(&m, 0);
	assert_int_equal(m.limit_bytes, IR_MEMORY_DEFAULT_BYTES);
	assert_false(m.enforced);
	assert_false(
	    ir_memory_set_process_bytes(&m, 100 * IR_MEMORY_DEFAULT_BYTES));
	assert_false(ir_memory_is_short(&m));
}

static void
test_room_is_bound_minus_held_bytes(void **state)
{
	struct ir_memory m;
	size_t bound;

	ir_memory_init(&m, 100 * MB);
	bound = m.bound_bytes[IR_MEMORY_CALLS];
	assert_true(ir_memory_has_room(&m, IR_MEMORY_CALLS, bound));
	assert_false(ir_memory_has_room(&m, IR_MEMORY_CALLS, bound + 1));
	ir_memory_hold(&m, IR_MEMORY_CALLS, 10);
	assert_false(ir_memory_has_room(&m, IR_MEMORY_CALLS, bound));
	assert_true(ir_memory_has_room(
	    &m, IR_MEMORY_PEERS, m.bound_bytes[IR_MEMORY_PEERS]));
	ir_memory_release(&m, IR_MEMORY_CALLS, 10);
	assert_int_equal(ir_memory_held(&m, IR_MEMORY_CALLS), 0);
}

static void
test_memory_stays_short_until_well_below_limit(void **state)
{
	struct ir_memory m;

	ir_memory_init(&m, 100 * MB);
	assert_false(ir_memory_set_process_bytes(&m, 79 * MB));
	assert_true(ir_memory_set_process_bytes(&m, 81 * MB));
	assert_true(ir_memory_is_short(&m));
	assert_false(ir_memory_set_process_bytes(&m, 77 * MB));
	assert_true(ir_memory_is_short(&m));
	assert_true(ir_memory_set_process_bytes(&m, 74 * MB));
	assert_false(ir_memory_is_short(&m));
}

static void
test_process_pages_are_measured(void **state)
{
	struct ir_memory m;
	uint64_t before;
	uint8_t *p;

	ir_memory_init(&m, 0);
	ir_memory_measure(&m, 0);
	before = m.process_bytes;
	assert_true(before > 0);
	p = talloc_size(NULL, 64 * MB);
	memset(p, 1, 64 * MB);
	ir_memory_measure(&m, 0);
	assert_true(m.process_bytes >= before + 60 * MB);
	talloc_free(p);
}

/*
 * Freed memory that the allocator does not return to the system would keep the
 * process short for ever. Blocks that stay allocated prevent malloc from
 * returning the pages by itself.
 */
static void
test_process_is_not_short_after_memory_is_freed(void **state)
{
	struct ir_memory probe, m;
	void **blocks = talloc_array(NULL, void *, BLOCKS);

	for (size_t i = 0; i < BLOCKS; i++) {
		blocks[i] = malloc(BLOCK_BYTES);
		assert_non_null(blocks[i]);
		memset(blocks[i], 1, BLOCK_BYTES);
	}
	ir_memory_init(&probe, 1);
	ir_memory_measure(&probe, 0);
	ir_memory_init(&m, probe.process_bytes * 10 / 9);
	assert_true(ir_memory_measure(&m, 0));
	ir_memory_measure(&m, 1);
	for (size_t i = 0; i < BLOCKS; i++) {
		if (i % KEEP_EVERY != 0)
			free(blocks[i]);
	}
	ir_memory_measure(&m, 2 * IR_US_PER_S);
#if !defined(__SANITIZE_ADDRESS__)
	/* The sanitizer's allocator does not return freed memory. */
	assert_false(ir_memory_is_short(&m));
#endif
	for (size_t i = 0; i < BLOCKS; i += KEEP_EVERY)
		free(blocks[i]);
	talloc_free(blocks);
}

static void
test_receive_buffers_of_many_connections_are_bounded(void **state)
{
	static size_t granted[CONNECTIONS];
	struct ir_memory m;
	uint64_t total = 0;

	ir_memory_init(&m, 160 * MB);
	for (int i = 0; i < CONNECTIONS; i++) {
		granted[i] = ir_memory_grant_socket(&m, IR_SOCKET_CALLER);
		total += granted[i];
	}
	assert_int_equal(
	    granted[0], ir_memory_max_socket_bytes(IR_SOCKET_CALLER));
	assert_int_equal(granted[CONNECTIONS - 1], MIN_GRANT_BYTES);
	assert_int_equal(ir_memory_sockets_held(&m), total);
	assert_true(total <= m.socket_bound_bytes[IR_SOCKET_CALLER] +
				 CONNECTIONS * MIN_GRANT_BYTES);
	/* Callers take nothing from peers. */
	assert_int_equal(ir_memory_grant_socket(&m, IR_SOCKET_PEER),
	    ir_memory_max_socket_bytes(IR_SOCKET_PEER));
	for (int i = 0; i < CONNECTIONS; i++)
		ir_memory_return_socket(&m, IR_SOCKET_CALLER, granted[i]);
	assert_int_equal(ir_memory_grant_socket(&m, IR_SOCKET_CALLER),
	    ir_memory_max_socket_bytes(IR_SOCKET_CALLER));
}

static void
test_many_receive_buffers_make_memory_short(void **state)
{
	struct ir_memory m;

	ir_memory_init(&m, 100 * MB);
	assert_false(ir_memory_set_process_bytes(&m, 75 * MB));
	while (ir_memory_sockets_held(&m) <= 20 * MB)
		(void)ir_memory_grant_socket(&m, IR_SOCKET_PEER);
	assert_false(ir_memory_set_process_bytes(&m, 75 * MB));
	while (ir_memory_sockets_held(&m) <= 25 * MB)
		(void)ir_memory_grant_socket(&m, IR_SOCKET_PEER);
	assert_true(ir_memory_set_process_bytes(&m, 75 * MB));
	assert_true(ir_memory_is_short(&m));
}

static void
test_tree_bytes_include_chunk_overhead(void **state)
{
	TALLOC_CTX *tree = talloc_new(NULL);
	size_t empty = ir_memory_tree_bytes(tree);

	assert_non_null(talloc_size(tree, 1000));
	assert_true(ir_memory_tree_bytes(tree) > empty + 1000);
	talloc_free(tree);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_bounds_leave_40_percent),
	    cmocka_unit_test(test_without_a_limit_the_default_is_divided),
	    cmocka_unit_test(test_room_is_bound_minus_held_bytes),
	    cmocka_unit_test(test_memory_stays_short_until_well_below_limit),
	    cmocka_unit_test(test_process_pages_are_measured),
	    cmocka_unit_test(test_process_is_not_short_after_memory_is_freed),
	    cmocka_unit_test(
		test_receive_buffers_of_many_connections_are_bounded),
	    cmocka_unit_test(test_many_receive_buffers_make_memory_short),
	    cmocka_unit_test(test_tree_bytes_include_chunk_overhead),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
