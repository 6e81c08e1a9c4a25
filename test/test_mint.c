/* A bucket is minted in one place at a time, through any change of minter. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "contract/mint.h"
#include "ibisrail/limits.h"
#include "support/contract_fleet.h"
#include "zone/placement.h"

#define MS IR_US_PER_MS
#define S IR_US_PER_S
#define W IR_MINT_WAIT_US

/* Two hosts in one zone and one account: one bucket. */
struct fixture {
	struct ir_view *view;
	struct ir_view *away; /* the first minter is leaving */
	struct ir_view *back; /* and live again */
	const char *first, *second;
	struct ir_mint *a, *b; /* of the first minter, of the second */
	struct ir_handover handover;
	const struct ir_host *to;
	int handovers;
	uint64_t sequence;
};

static int
setup(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->view = fleet_new(f, 1, 2);
	fleet_account(f->view, "acme", 10, 20);
	f->first = ir_bucket_host(f->view, &f->view->accounts[0], 0)->name;
	f->away = fleet_leaving(f, f->view, f->first);
	f->second = ir_bucket_host(f->away, &f->view->accounts[0], 0)->name;
	f->back = fleet_without(f, f->view, NULL);
	f->back->list_revision = f->away->list_revision + 1;
	f->a = ir_mint_new(f);
	f->b = ir_mint_new(f);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

static void
keep_handover(void *ctx, const struct ir_host *to, const struct ir_handover *h)
{
	struct fixture *f = ctx;

	f->handover = *h;
	f->handover.account = talloc_strdup(f, h->account);
	f->to = to;
	f->handovers++;
}

static void
follow(struct fixture *f, struct ir_mint *m, int64_t now, struct ir_view *v)
{
	const char *name = m == f->a ? f->first : f->second;

	ir_mint_view(m, now, v, ir_view_host(v, name), keep_handover, f);
}

static struct ir_grant
ask(struct fixture *f, struct ir_mint *m, int64_t now, struct ir_view *v,
    uint32_t want)
{
	struct ir_grant_request q = {.sequence = ++f->sequence,
	    .incarnation = 1,
	    .account = (char *)"acme",
	    .bucket_count = 1,
	    .requested_tokens = want};
	struct ir_grant g;

	ir_mint_ask(m, now, true, v, &v->hosts[0], &q, &g);
	return g;
}

static void
hand(struct fixture *f, struct ir_mint *m, int64_t now, struct ir_view *v)
{
	ir_mint_handover(m, now, v, &v->hosts[0], &f->handover);
}

static void
test_boot_waits(void **state)
{
	struct fixture *f = *state;

	follow(f, f->a, 0, f->view);
	assert_int_equal(ir_mint_bucket_count(f->a), 1);
	assert_false(ask(f, f->a, W - 1, f->view, 1).issuing);
	assert_true(ask(f, f->a, W, f->view, 1).issuing);
	assert_int_equal(ask(f, f->a, W + 100 * MS, f->view, 5).count, 1);
	follow(f, f->b, 0, f->view);
	assert_false(ask(f, f->b, W, f->view, 1).issuing);
}

static void
test_refuses_asks_that_do_not_fit(void **state)
{
	struct fixture *f = *state;
	struct ir_grant_request q = {.sequence = 1,
	    .incarnation = 1,
	    .account = (char *)"acme",
	    .bucket_count = 1,
	    .requested_tokens = 1};
	struct ir_grant g;

	follow(f, f->a, 0, f->view);
	ir_mint_ask(f->a, W + S, false, f->view, f->view->hosts, &q, &g);
	assert_false(g.issuing);
	ir_mint_ask(f->a, W + S, true, f->away, f->view->hosts, &q, &g);
	assert_false(g.issuing);
	ir_mint_ask(f->a, W + S, true, f->view, f->view->hosts, &q, &g);
	assert_int_equal(g.count, 1);
	q.bucket_count = 2;
	ir_mint_ask(f->a, W + S, true, f->view, f->view->hosts, &q, &g);
	assert_false(g.issuing);
	q.bucket = UINT32_MAX;
	q.bucket_count = 1;
	ir_mint_ask(f->a, W + S, true, f->view, f->view->hosts, &q, &g);
	assert_false(g.issuing);
}

/* The first minter with 16 tokens held and 4 out, just moved away. */
static void
leave(struct fixture *f, int64_t now)
{
	follow(f, f->a, now - W - 10 * S, f->view);
	follow(f, f->b, now - W - 10 * S, f->view);
	assert_int_equal(ask(f, f->a, now, f->view, 4).count, 4);
	follow(f, f->a, now, f->away);
}

static void
test_planned_leave_hands_over_once(void **state)
{
	struct fixture *f = *state;

	leave(f, 20 * S);
	assert_int_equal(f->handovers, 1);
	assert_string_equal(f->to->name, f->second);
	assert_int_equal(f->handover.available_mt, 16000);
	assert_int_equal(f->handover.outstanding_mt, 4000);
	assert_false(ask(f, f->a, 20 * S, f->view, 1).issuing);
	follow(f, f->a, 20 * S, f->away);
	assert_int_equal(f->handovers, 1);
	follow(f, f->b, 20 * S, f->away);
	hand(f, f->b, 20 * S, f->away);
	assert_int_equal(ask(f, f->b, 20 * S, f->away, 99).count, 16);
	/* What is out still takes room, until it has surely expired. */
	assert_int_equal(ask(f, f->b, 20 * S + 399 * MS, f->away, 9).count, 0);
	hand(f, f->b, 20 * S + 399 * MS, f->away);
	assert_int_equal(ask(f, f->b, 20 * S + 399 * MS, f->away, 9).count, 0);
	assert_int_equal(ask(f, f->b, 20 * S + 500 * MS, f->away, 9).count, 1);
}

static void
test_early_handover_is_kept_for_its_view(void **state)
{
	struct fixture *f = *state;

	leave(f, 20 * S);
	hand(f, f->b, 20 * S, f->view);
	hand(f, f->b, 20 * S, f->view);
	assert_false(ask(f, f->b, 20 * S, f->view, 1).issuing);
	follow(f, f->b, 21 * S, f->away);
	assert_int_equal(ask(f, f->b, 21 * S, f->away, 99).count, 16);
}

static void
test_without_handover_the_new_minter_waits(void **state)
{
	struct fixture *f = *state;

	leave(f, 20 * S);
	follow(f, f->b, 20 * S, f->away);
	assert_false(ask(f, f->b, 20 * S + W - 1, f->away, 1).issuing);
	assert_true(ask(f, f->b, 20 * S + W, f->away, 1).issuing);
	hand(f, f->b, 20 * S + W, f->away);
	assert_int_equal(ask(f, f->b, 20 * S + W, f->away, 1).count, 0);
}

static void
test_back_again_waits_the_whole_time(void **state)
{
	struct fixture *f = *state;

	leave(f, 20 * S);
	follow(f, f->a, 21 * S, f->back);
	assert_false(ask(f, f->a, 21 * S + W - 1, f->back, 1).issuing);
	assert_true(ask(f, f->a, 21 * S + W, f->back, 1).issuing);
}

static void
test_late_handover_of_an_older_view_is_refused(void **state)
{
	struct fixture *f = *state;
	struct ir_handover old;

	leave(f, 20 * S);
	old = f->handover;
	follow(f, f->b, 20 * S, f->away);
	hand(f, f->b, 20 * S, f->away);
	follow(f, f->b, 21 * S, f->back);
	f->away->list_revision = f->back->list_revision + 1;
	follow(f, f->b, 22 * S, f->away);
	f->handover = old;
	hand(f, f->b, 22 * S, f->away);
	assert_false(ask(f, f->b, 22 * S, f->away, 1).issuing);
}

static void
test_skipped_view_with_an_old_lease_starts_anew(void **state)
{
	struct fixture *f = *state;

	follow(f, f->a, 0, f->view);
	assert_true(ask(f, f->a, W + 9 * S, f->view, 1).issuing);
	follow(f, f->a, W + 10 * S, f->back);
	assert_false(ask(f, f->a, W + 10 * S, f->back, 1).issuing);
	/* The lease held: no other can have begun to mint. */
	follow(f, f->a, 50 * S, f->view);
	assert_true(ask(f, f->a, 70 * S, f->view, 1).issuing);
	follow(f, f->a, 70 * S + IR_GRANT_VALID_US, f->back);
	assert_true(ask(f, f->a, 71 * S, f->back, 1).issuing);
}

static void
test_lapsed_lease_hands_nothing_over(void **state)
{
	struct fixture *f = *state;

	follow(f, f->a, 0, f->view);
	ask(f, f->a, W + 9 * S, f->view, 1);
	follow(f, f->a, W + 10 * S, f->away);
	assert_int_equal(f->handovers, 0);
	assert_int_equal(ir_mint_bucket_count(f->a), 0);
}

static void
test_waiting_bucket_hands_nothing_over(void **state)
{
	struct fixture *f = *state;

	follow(f, f->a, 0, f->view);
	ir_mint_lease(f->a, W - 1, true);
	follow(f, f->a, W - 1, f->away);
	assert_int_equal(f->handovers, 0);
}

static void
test_waiting_bucket_waits_anew_after_a_skipped_view(void **state)
{
	struct fixture *f = *state;
	struct ir_view *next = fleet_without(f, f->view, NULL);

	follow(f, f->a, 0, f->view);
	follow(f, f->a, 3 * S, next);
	assert_true(ask(f, f->a, W, next, 1).issuing);
	follow(f, f->a, 50 * S, f->view);
	follow(f, f->a, 53 * S, f->back);
	assert_false(ask(f, f->a, 50 * S + W, f->back, 1).issuing);
	assert_true(ask(f, f->a, 53 * S + W, f->back, 1).issuing);
}

/*
 * The view moves the bucket to a second host and then to a third. The first
 * minter learns of both moves at once, within its lease, and hands over; the
 * second knows of the first move only until its lease ends.
 */
static void
test_two_moves_never_mint_at_once(void **state)
{
	struct fixture *f = *state;
	struct ir_view *v[3] = {fleet_new(f, 1, 3)};
	struct ir_mint *m[3];
	const int64_t second_move = 2100 * MS;

	fleet_account(v[0], "acme", 10, 20);
	for (int i = 0; i < 3; i++) {
		const struct ir_host *h =
		    ir_bucket_host(v[i], &v[i]->accounts[0], 0);

		m[i] = ir_mint_new(f);
		ir_mint_view(m[i], -20 * S, v[0], ir_view_host(v[0], h->name),
		    keep_handover, f);
		if (i < 2)
			v[i + 1] = fleet_leaving(f, v[i], h->name);
	}
	ir_mint_view(m[1], 0, v[1], ir_bucket_host(v[1], &v[1]->accounts[0], 0),
	    keep_handover, f);
	ask(f, m[0], second_move, v[0], 1);
	ir_mint_view(m[0], second_move, v[2], NULL, keep_handover, f);
	assert_int_equal(f->handovers, 1);
	ir_mint_view(m[2], second_move, v[2], f->to, keep_handover, f);
	hand(f, m[2], second_move, v[2]);
	assert_true(ask(f, m[2], second_move, v[2], 1).issuing);
	assert_false(
	    ask(f, m[1], second_move + IR_VIEW_LEASE_US, v[1], 1).issuing);
}

static void
test_other_bucket_count_starts_anew(void **state)
{
	struct ir_view *v = fleet_new(NULL, 2, 1);
	struct ir_mint *m = ir_mint_new(v);
	struct ir_grant_request q = {
	    .sequence = 1, .incarnation = 1, .account = (char *)"acme"};
	struct ir_grant g;

	fleet_account(v, "acme", 10, 20);
	ir_mint_view(m, 0, v, &v->hosts[0], NULL, NULL);
	assert_int_equal(ir_mint_bucket_count(m), 1);
	ir_mint_lease(m, W + S, true);
	fleet_account(v, "acme", 10, 1);
	v->config_revision++;
	ir_mint_view(m, W + S, v, &v->hosts[0], NULL, NULL);
	q.bucket_count = 1;
	q.requested_tokens = 1;
	ir_mint_ask(m, W + S, true, v, &v->hosts[0], &q, &g);
	assert_false(g.issuing);
	v->account_count = 0;
	v->config_revision++;
	ir_mint_view(m, W + S, v, &v->hosts[0], NULL, NULL);
	assert_int_equal(ir_mint_bucket_count(m), 0);
	talloc_free(v);
}

static void
test_shares_sum_up_to_the_contract(void **state)
{
	struct ir_view *v = fleet_new(NULL, 4, 1);
	uint32_t sum = 0;

	fleet_account(v, "acme", 10, 11);
	for (size_t i = 0; i < 4; i++) {
		struct ir_mint *m = ir_mint_new(v);

		ir_mint_view(m, 0, v, &v->hosts[i], NULL, NULL);
		for (uint32_t j = 0; j < 4; j++) {
			struct ir_grant_request q = {.sequence = i * 4 + j + 1,
			    .incarnation = 1,
			    .account = (char *)"acme",
			    .bucket = j,
			    .bucket_count = 4,
			    .requested_tokens = 99};
			struct ir_grant g;

			ir_mint_ask(
			    m, W + 60 * S, true, v, &v->hosts[i], &q, &g);
			sum += g.count;
		}
	}
	assert_int_equal(sum, 11);
	talloc_free(v);
}

#define with_fixture(t) cmocka_unit_test_setup_teardown(t, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    with_fixture(test_boot_waits),
	    with_fixture(test_refuses_asks_that_do_not_fit),
	    with_fixture(test_planned_leave_hands_over_once),
	    with_fixture(test_early_handover_is_kept_for_its_view),
	    with_fixture(test_without_handover_the_new_minter_waits),
	    with_fixture(test_back_again_waits_the_whole_time),
	    with_fixture(test_late_handover_of_an_older_view_is_refused),
	    with_fixture(test_skipped_view_with_an_old_lease_starts_anew),
	    with_fixture(test_lapsed_lease_hands_nothing_over),
	    with_fixture(test_waiting_bucket_hands_nothing_over),
	    with_fixture(test_waiting_bucket_waits_anew_after_a_skipped_view),
	    with_fixture(test_two_moves_never_mint_at_once),
	    cmocka_unit_test(test_other_bucket_count_starts_anew),
	    cmocka_unit_test(test_shares_sum_up_to_the_contract),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
