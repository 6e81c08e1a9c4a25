/*
 * Placement: all zones have store readers, all hosts have another one to poll
 * for the view, and a host that joins or leaves moves few buckets and keys.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "support/contract_view.h"
#include "zone/placement.h"

/* Per zone, in regions of three and four zones. */
#define READERS 2

static void
test_each_zone_has_store_readers(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 7, 443);
	struct ir_store_reader *readers;
	size_t n = 0;

	for (size_t i = 0; i < v->host_count; i++)
		n += ir_is_store_reader(v, &v->hosts[i]);
	assert_int_equal(n, 7 * READERS);
	assert_int_equal(ir_store_readers(v, v, &readers), 7 * READERS);
	talloc_free(v);
}

/*
 * Guards against a fault of an incident: without a store region in the
 * configuration there were no readers to detect an outage of the store, and
 * no token leases were granted while it lasted.
 */
static void
test_store_readers_without_store_region(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 7, 443);
	struct ir_store_reader *readers;

	v->store_region = "";
	assert_int_equal(ir_store_readers(v, v, &readers), 7 * READERS);
	v->store_anywhere = true;
	assert_int_equal(ir_store_readers(v, v, &readers), 7 * READERS);
	for (size_t i = 0; i < 7 * READERS; i++)
		assert_true(
		    ir_is_store_reader(v, ir_view_host(v, readers[i].name)));
	talloc_free(v);
}

static void
test_zones_of_small_regions_have_more_store_readers(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 17);
	struct ir_store_reader *readers;

	assert_int_equal(
	    ir_store_readers(v, v, &readers), 4 * IR_STORE_READERS_PER_ZONE);
	talloc_free(v);
}

static void
test_host_that_is_not_listed_is_no_store_reader(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 2);
	struct ir_view *without = contract_view_without(v, v, "z1-h0001");

	assert_true(ir_is_store_reader(v, ir_view_host(v, "z1-h0001")));
	assert_false(ir_is_store_reader(without, ir_view_host(v, "z1-h0001")));
	talloc_free(v);
}

static void
test_leaving_host_is_no_store_reader(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 1, 20);
	const char *first = v->zones[0].hosts[0]->name;
	struct ir_view *next = contract_view_leaving(v, v, first);

	assert_true(ir_is_store_reader(v, v->zones[0].hosts[0]));
	assert_false(ir_is_store_reader(next, next->zones[0].hosts[0]));
	assert_true(ir_is_store_reader(next, next->zones[0].hosts[3]));
	assert_non_null(ir_view_source(next, next->zones[0].hosts[0], 0));
	talloc_free(v);
}

static void
test_readers_have_different_deputies_of_their_zone(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 7, 443);

	for (size_t i = 0; i < v->zone_count; i++) {
		const struct ir_zone *z = &v->zones[i];

		for (uint32_t attempt = 0; attempt < 4; attempt++) {
			const struct ir_host *d =
			    ir_deputy(v, z->hosts[0], attempt);

			assert_string_equal(d->zone, z->name);
			assert_false(ir_is_store_reader(v, d));
			assert_ptr_not_equal(
			    d, ir_deputy(v, z->hosts[1], attempt));
			assert_ptr_not_equal(
			    d, ir_deputy(v, z->hosts[0], attempt + 1));
		}
	}
	talloc_free(v);
}

static void
test_zone_of_readers_only_has_no_deputy(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 7, READERS);
	struct ir_view *larger = contract_view_new(v, 7, READERS + 1);

	assert_null(ir_deputy(v, v->zones[0].hosts[0], 0));
	for (uint32_t attempt = 0; attempt < 3; attempt++)
		assert_ptr_equal(
		    ir_deputy(larger, larger->zones[0].hosts[0], attempt),
		    larger->zones[0].hosts[READERS]);
	talloc_free(v);
}

static void
test_readers_of_a_region_have_different_ranks(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 7, 443);
	struct ir_store_reader *readers;
	size_t count = ir_store_readers(v, v, &readers);

	for (size_t i = 0, rank = 0; i < count; i++, rank++) {
		if (i > 0 &&
		    strcmp(readers[i].region, readers[i - 1].region) != 0)
			rank = 0;
		assert_int_equal(
		    ir_store_reader_rank(v, ir_view_host(v, readers[i].name)),
		    rank);
	}
	talloc_free(v);
}

static unsigned
depth_of(const struct ir_view *v, const struct ir_host *h)
{
	unsigned depth = 0;

	while (!ir_is_store_reader(v, h)) {
		h = ir_view_source(v, h, 0);
		assert_non_null(h);
		assert_in_range(++depth, 1, 4);
	}
	return depth;
}

static void
test_first_view_sources_form_a_shallow_tree(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 7, 443);
	unsigned children[443] = {0};

	for (size_t i = 0; i < v->host_count; i += 5)
		depth_of(v, &v->hosts[i]);
	for (size_t i = 0; i < 443; i++) {
		const struct ir_host *h = v->zones[2].hosts[i];

		if (ir_is_store_reader(v, h))
			continue;
		for (size_t k = 0; k < i; k++)
			if (ir_view_source(v, h, 0) == v->zones[2].hosts[k])
				children[k]++;
	}
	for (size_t i = 0; i < 443; i++)
		assert_in_range(children[i], 0, IR_RELAY_FANOUT);
	talloc_free(v);
}

static void
test_attempts_reach_other_zones_and_wrap(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 10);
	const struct ir_host *self = v->zones[3].hosts[9];
	bool zones[4] = {false};
	const struct ir_host *first = ir_view_source(v, self, 0);
	bool wrapped = false;

	for (uint32_t attempt = 0; attempt < 40; attempt++) {
		const struct ir_host *h = ir_view_source(v, self, attempt);

		assert_non_null(h);
		assert_ptr_not_equal(h, self);
		zones[h->zone[1] - '1'] = true;
		wrapped = wrapped || (attempt > 13 && h == first);
	}
	assert_true(zones[0] && zones[1] && zones[2] && zones[3] && wrapped);
	talloc_free(v);
	v = contract_view_new(NULL, 1, 1);
	assert_null(ir_view_source(v, &v->hosts[0], 0));
	talloc_free(v);
}

/*
 * When the regions are partitioned, only the readers in the store region can
 * read; the other readers of the own zone are cut off like this one.
 */
static void
test_readers_poll_the_store_region_first(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 10);
	const struct ir_host *h;

	for (size_t i = 0; i < v->host_count; i++) {
		if (!ir_is_store_reader(v, &v->hosts[i]))
			continue;
		h = ir_view_source(v, &v->hosts[i], 0);
		assert_string_equal(h->region, v->store_region);
		assert_true(ir_is_store_reader(v, h));
	}
	talloc_free(v);
}

static void
test_bucket_count_follows_burst_and_live_zones(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 2);

	contract_view_set_account(v, "a", 10, 100);
	assert_int_equal(ir_bucket_count(v, &v->accounts[0]), 4);
	contract_view_set_account(v, "a", 10, 3);
	assert_int_equal(ir_bucket_count(v, &v->accounts[0]), 3);
	contract_view_set_account(v, "a", 10, 0);
	assert_int_equal(ir_bucket_count(v, &v->accounts[0]), 1);
	contract_view_set_account(v, "a", 10, 100);
	v = contract_view_leaving(v, v, v->zones[1].hosts[0]->name);
	v = contract_view_leaving(v, v, v->zones[1].hosts[1]->name);
	assert_int_equal(ir_bucket_count(v, &v->accounts[0]), 3);
	for (uint32_t j = 0; j < 3; j++)
		assert_non_null(ir_bucket_issuer(v, &v->accounts[0], j));
	talloc_free(talloc_parent(talloc_parent(v)));
}

static void
test_buckets_are_in_different_zones_and_move_little(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 50);
	struct ir_view *next;
	const char *removed;
	unsigned moved = 0;

	contract_view_set_account(v, "acme", 10, 100);
	for (uint32_t j = 1; j < 4; j++)
		assert_string_not_equal(
		    ir_bucket_issuer(v, &v->accounts[0], 0)->zone,
		    ir_bucket_issuer(v, &v->accounts[0], j)->zone);
	removed = ir_bucket_issuer(v, &v->accounts[0], 2)->name;
	next = contract_view_without(v, v, removed);
	for (uint32_t j = 0; j < 4; j++)
		moved +=
		    strcmp(ir_bucket_issuer(v, &v->accounts[0], j)->name,
			ir_bucket_issuer(next, &next->accounts[0], j)->name) !=
		    0;
	assert_int_equal(moved, 1);
	talloc_free(v);
}

static void
test_key_host_is_live_and_stable(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 1, 20);
	struct ir_service s = {
	    .hosts = v->zones[0].hosts, .host_count = v->zones[0].host_count};
	const struct ir_host *h =
	    ir_idempotency_key_host(&s, NULL, "acme", "k1");
	unsigned moved = 0;

	assert_ptr_equal(h, ir_idempotency_key_host(&s, NULL, "acme", "k1"));
	for (int i = 0; i < 100; i++) {
		char key[16];

		snprintf(key, sizeof key, "k%d", i);
		h = ir_idempotency_key_host(&s, NULL, "acme", key);
		v->hosts[0].leaving = true;
		moved += h != ir_idempotency_key_host(&s, NULL, "acme", key);
		v->hosts[0].leaving = false;
	}
	assert_in_range(moved, 1, 15);
	for (size_t i = 0; i < v->host_count; i++)
		v->hosts[i].leaving = true;
	assert_null(ir_idempotency_key_host(&s, NULL, "acme", "k1"));
	talloc_free(v);
}

static void
test_key_host_is_not_in_an_evacuated_zone(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 1, 20);
	struct ir_service s = {
	    .hosts = v->zones[0].hosts, .host_count = v->zones[0].host_count};
	struct ir_account a = {.name = "acme"};

	for (size_t i = 1; i < v->host_count; i++)
		v->hosts[i].evacuated = true;
	assert_ptr_equal(
	    ir_idempotency_key_host(&s, NULL, "acme", "k1"), &v->hosts[0]);
	v->hosts[0].evacuated = true;
	assert_null(ir_idempotency_key_host(&s, NULL, "acme", "k1"));
	/* They still issue tokens: their callers are served. */
	assert_non_null(ir_bucket_issuer(v, &a, 0));
	talloc_free(v);
}

/* The view that a new process requests may be large. */
static void
test_nearest_reader_is_polled_first(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 10);
	const struct ir_host *h;

	v->store_anywhere = true;
	for (size_t i = 0; i < v->host_count; i++) {
		h = ir_view_source(v, &v->hosts[i], 0);
		assert_string_equal(h->zone, v->hosts[i].zone);
		h = ir_view_source(v, &v->hosts[i], 4);
		assert_string_equal(h->region, v->hosts[i].region);
	}
	talloc_free(v);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_each_zone_has_store_readers),
	    cmocka_unit_test(test_store_readers_without_store_region),
	    cmocka_unit_test(
		test_zones_of_small_regions_have_more_store_readers),
	    cmocka_unit_test(test_host_that_is_not_listed_is_no_store_reader),
	    cmocka_unit_test(test_leaving_host_is_no_store_reader),
	    cmocka_unit_test(
		test_readers_have_different_deputies_of_their_zone),
	    cmocka_unit_test(test_zone_of_readers_only_has_no_deputy),
	    cmocka_unit_test(test_readers_of_a_region_have_different_ranks),
	    cmocka_unit_test(test_first_view_sources_form_a_shallow_tree),
	    cmocka_unit_test(test_attempts_reach_other_zones_and_wrap),
	    cmocka_unit_test(test_readers_poll_the_store_region_first),
	    cmocka_unit_test(test_nearest_reader_is_polled_first),
	    cmocka_unit_test(test_bucket_count_follows_burst_and_live_zones),
	    cmocka_unit_test(
		test_buckets_are_in_different_zones_and_move_little),
	    cmocka_unit_test(test_key_host_is_live_and_stable),
	    cmocka_unit_test(test_key_host_is_not_in_an_evacuated_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
