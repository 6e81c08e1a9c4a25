/*
 * Issuer: no two hosts issue tokens of one bucket at a time, however the views
 * move the bucket and the handovers arrive.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "contract/issuer.h"
#include "ibisrail/limits.h"
#include "support/contract_view.h"
#include "zone/placement.h"

#define MS IR_US_PER_MS
#define S IR_US_PER_S
#define W IR_ISSUER_WAIT_US

/* Two hosts in one zone and one account: one bucket. */
struct fixture {
	struct ir_view *view;
	struct ir_view *leaving;  /* the first issuer is leaving */
	struct ir_view *restored; /* then it is live again */
	const char *first, *second;
	struct ir_issuer *a, *b; /* of the first host, of the second */
	struct ir_handover handover;
	const struct ir_host *to;
	int handovers;
	uint64_t sequence;
};

static int
setup(void **state)
{
	struct fixture *f = talloc_zero(NULL, struct fixture);

	f->view = contract_view_new(f, 1, 2);
	contract_view_set_account(f->view, "acme", 10, 20);
	f->first = ir_bucket_issuer(f->view, &f->view->accounts[0], 0)->name;
	f->leaving = contract_view_leaving(f, f->view, f->first);
	f->second =
	    ir_bucket_issuer(f->leaving, &f->view->accounts[0], 0)->name;
	f->restored = contract_view_without(f, f->view, NULL);
	f->restored->list_revision = f->leaving->list_revision + 1;
	f->a = ir_issuer_new(f);
	f->b = ir_issuer_new(f);
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
record_handover(
    void *ctx, const struct ir_host *to, const struct ir_handover *h)
{
	struct fixture *f = ctx;

	f->handover = *h;
	f->handover.account = talloc_strdup(f, h->account);
	f->to = to;
	f->handovers++;
}

static void
set_view(struct fixture *f, struct ir_issuer *m, int64_t now, struct ir_view *v)
{
	const char *name = m == f->a ? f->first : f->second;

	ir_issuer_set_view(
	    m, now, v, ir_view_host(v, name), record_handover, f);
}

static struct ir_grant
request_tokens(struct fixture *f, struct ir_issuer *m, int64_t now,
    struct ir_view *v, uint32_t want)
{
	struct ir_grant_request q = {.sequence = ++f->sequence,
	    .incarnation = 1,
	    .account = (char *)"acme",
	    .bucket_count = 1,
	    .requested_tokens = want};
	struct ir_grant g;

	ir_issuer_grant(m, now, true, v, &v->hosts[0], &q, &g);
	return g;
}

static void
deliver_handover(
    struct fixture *f, struct ir_issuer *m, int64_t now, struct ir_view *v)
{
	ir_issuer_handover(m, now, v, &v->hosts[0], &f->handover);
}

static void
test_new_process_waits(void **state)
{
	struct fixture *f = *state;

	set_view(f, f->a, 0, f->view);
	assert_int_equal(ir_issuer_bucket_count(f->a), 1);
	assert_false(request_tokens(f, f->a, W - 1, f->view, 1).issuing);
	assert_true(request_tokens(f, f->a, W, f->view, 1).issuing);
	assert_int_equal(
	    request_tokens(f, f->a, W + 100 * MS, f->view, 5).count, 1);
	set_view(f, f->b, 0, f->view);
	assert_false(request_tokens(f, f->b, W, f->view, 1).issuing);
}

static void
test_refuses_requests_that_do_not_match(void **state)
{
	struct fixture *f = *state;
	struct ir_grant_request q = {.sequence = 1,
	    .incarnation = 1,
	    .account = (char *)"acme",
	    .bucket_count = 1,
	    .requested_tokens = 1};
	struct ir_grant g;

	set_view(f, f->a, 0, f->view);
	ir_issuer_grant(f->a, W + S, false, f->view, f->view->hosts, &q, &g);
	assert_false(g.issuing);
	ir_issuer_grant(f->a, W + S, true, f->leaving, f->view->hosts, &q, &g);
	assert_false(g.issuing);
	ir_issuer_grant(f->a, W + S, true, f->view, f->view->hosts, &q, &g);
	assert_int_equal(g.count, 1);
	q.bucket_count = 2;
	ir_issuer_grant(f->a, W + S, true, f->view, f->view->hosts, &q, &g);
	assert_false(g.issuing);
	q.bucket = UINT32_MAX;
	q.bucket_count = 1;
	ir_issuer_grant(f->a, W + S, true, f->view, f->view->hosts, &q, &g);
	assert_false(g.issuing);
}

/* The bucket leaves the first host with 16 tokens and 4 outstanding. */
static void
move_to_second(struct fixture *f, int64_t now)
{
	set_view(f, f->a, now - W - 10 * S, f->view);
	set_view(f, f->b, now - W - 10 * S, f->view);
	assert_int_equal(request_tokens(f, f->a, now, f->view, 4).count, 4);
	set_view(f, f->a, now, f->leaving);
}

static void
test_leaving_host_hands_over_once(void **state)
{
	struct fixture *f = *state;

	move_to_second(f, 20 * S);
	assert_int_equal(f->handovers, 1);
	assert_string_equal(f->to->name, f->second);
	assert_int_equal(f->handover.available_mt, 16000);
	assert_int_equal(f->handover.outstanding_mt, 4000);
	assert_false(request_tokens(f, f->a, 20 * S, f->view, 1).issuing);
	set_view(f, f->a, 20 * S, f->leaving);
	assert_int_equal(f->handovers, 1);
	set_view(f, f->b, 20 * S, f->leaving);
	deliver_handover(f, f->b, 20 * S, f->leaving);
	assert_int_equal(
	    request_tokens(f, f->b, 20 * S, f->leaving, 99).count, 16);
	/* Outstanding tokens count against the burst until they expired. */
	assert_int_equal(
	    request_tokens(f, f->b, 20 * S + 399 * MS, f->leaving, 9).count, 0);
	deliver_handover(f, f->b, 20 * S + 399 * MS, f->leaving);
	assert_int_equal(
	    request_tokens(f, f->b, 20 * S + 399 * MS, f->leaving, 9).count, 0);
	assert_int_equal(
	    request_tokens(f, f->b, 20 * S + 500 * MS, f->leaving, 9).count, 1);
}

static void
test_early_handover_waits_for_its_view(void **state)
{
	struct fixture *f = *state;

	move_to_second(f, 20 * S);
	deliver_handover(f, f->b, 20 * S, f->view);
	deliver_handover(f, f->b, 20 * S, f->view);
	assert_false(request_tokens(f, f->b, 20 * S, f->view, 1).issuing);
	set_view(f, f->b, 21 * S, f->leaving);
	assert_int_equal(
	    request_tokens(f, f->b, 21 * S, f->leaving, 99).count, 16);
}

static void
test_new_issuer_waits_without_handover(void **state)
{
	struct fixture *f = *state;

	move_to_second(f, 20 * S);
	set_view(f, f->b, 20 * S, f->leaving);
	assert_false(
	    request_tokens(f, f->b, 20 * S + W - 1, f->leaving, 1).issuing);
	assert_true(request_tokens(f, f->b, 20 * S + W, f->leaving, 1).issuing);
	deliver_handover(f, f->b, 20 * S + W, f->leaving);
	assert_int_equal(
	    request_tokens(f, f->b, 20 * S + W, f->leaving, 1).count, 0);
}

static void
test_former_issuer_waits_when_reassigned(void **state)
{
	struct fixture *f = *state;

	move_to_second(f, 20 * S);
	set_view(f, f->a, 21 * S, f->restored);
	assert_false(
	    request_tokens(f, f->a, 21 * S + W - 1, f->restored, 1).issuing);
	assert_true(
	    request_tokens(f, f->a, 21 * S + W, f->restored, 1).issuing);
}

static void
test_handover_of_an_older_assignment_is_refused(void **state)
{
	struct fixture *f = *state;
	struct ir_handover old;

	move_to_second(f, 20 * S);
	old = f->handover;
	set_view(f, f->b, 20 * S, f->leaving);
	deliver_handover(f, f->b, 20 * S, f->leaving);
	set_view(f, f->b, 21 * S, f->restored);
	f->leaving->list_revision = f->restored->list_revision + 1;
	set_view(f, f->b, 22 * S, f->leaving);
	f->handover = old;
	deliver_handover(f, f->b, 22 * S, f->leaving);
	assert_false(request_tokens(f, f->b, 22 * S, f->leaving, 1).issuing);
}

static void
test_skipped_view_after_the_lease_restarts_bucket(void **state)
{
	struct fixture *f = *state;

	set_view(f, f->a, 0, f->view);
	assert_true(request_tokens(f, f->a, W + 9 * S, f->view, 1).issuing);
	set_view(f, f->a, W + 10 * S, f->restored);
	assert_false(
	    request_tokens(f, f->a, W + 10 * S, f->restored, 1).issuing);
	/* The lease never expired: no other host can have become active. */
	set_view(f, f->a, 50 * S, f->view);
	assert_true(request_tokens(f, f->a, 70 * S, f->view, 1).issuing);
	set_view(f, f->a, 70 * S + IR_GRANT_VALID_US, f->restored);
	assert_true(request_tokens(f, f->a, 71 * S, f->restored, 1).issuing);
}

static void
test_no_handover_after_the_lease_expired(void **state)
{
	struct fixture *f = *state;

	set_view(f, f->a, 0, f->view);
	request_tokens(f, f->a, W + 9 * S, f->view, 1);
	set_view(f, f->a, W + 10 * S, f->leaving);
	assert_int_equal(f->handovers, 0);
	assert_int_equal(ir_issuer_bucket_count(f->a), 0);
}

static void
test_no_handover_of_a_waiting_bucket(void **state)
{
	struct fixture *f = *state;

	set_view(f, f->a, 0, f->view);
	ir_issuer_note_lease(f->a, W - 1, true);
	set_view(f, f->a, W - 1, f->leaving);
	assert_int_equal(f->handovers, 0);
}

static void
test_skipped_view_restarts_the_wait(void **state)
{
	struct fixture *f = *state;
	struct ir_view *next = contract_view_without(f, f->view, NULL);

	set_view(f, f->a, 0, f->view);
	set_view(f, f->a, 3 * S, next);
	assert_true(request_tokens(f, f->a, W, next, 1).issuing);
	set_view(f, f->a, 50 * S, f->view);
	set_view(f, f->a, 53 * S, f->restored);
	assert_false(
	    request_tokens(f, f->a, 50 * S + W, f->restored, 1).issuing);
	assert_true(
	    request_tokens(f, f->a, 53 * S + W, f->restored, 1).issuing);
}

/*
 * Views move the bucket to a second host and then to a third. The first issuer
 * learns of both moves at once, within its lease, and hands over to the third;
 * the second knows of the first move only, until its lease ends.
 */
/* A list that changes again and again must not keep a bucket from starting. */
static void
test_skipped_views_do_not_restart_the_wait_where_overlap_is_tolerated(
    void **state)
{
	struct fixture *f = *state;
	struct ir_view *v = f->view;
	int64_t now;

	ir_issuer_tolerate_overlap(f->a);
	set_view(f, f->a, 0, v);
	for (now = 0; now < IR_ISSUER_SHORT_WAIT_US; now += 100 * MS) {
		v = contract_view_without(f, v, NULL);
		v->list_revision += 3;
		set_view(f, f->a, now, v);
	}
	assert_true(
	    request_tokens(f, f->a, IR_ISSUER_SHORT_WAIT_US, v, 1).issuing);
}

static void
test_wait_follows_the_length_of_the_lease(void **state)
{
	struct fixture *f = *state;
	int64_t wait_us = W + 2 * S;

	ir_issuer_set_lease(f->a, IR_VIEW_LEASE_US + S);
	set_view(f, f->a, 0, f->view);
	assert_false(request_tokens(f, f->a, wait_us - 1, f->view, 1).issuing);
	assert_true(request_tokens(f, f->a, wait_us, f->view, 1).issuing);
}

static void
test_two_moves_leave_one_active_issuer(void **state)
{
	struct fixture *f = *state;
	struct ir_view *v[3] = {contract_view_new(f, 1, 3)};
	struct ir_issuer *m[3];
	const int64_t second_move = 2100 * MS;

	contract_view_set_account(v[0], "acme", 10, 20);
	for (int i = 0; i < 3; i++) {
		const struct ir_host *h =
		    ir_bucket_issuer(v[i], &v[i]->accounts[0], 0);

		m[i] = ir_issuer_new(f);
		ir_issuer_set_view(m[i], -20 * S, v[0],
		    ir_view_host(v[0], h->name), record_handover, f);
		if (i < 2)
			v[i + 1] = contract_view_leaving(f, v[i], h->name);
	}
	ir_issuer_set_view(m[1], 0, v[1],
	    ir_bucket_issuer(v[1], &v[1]->accounts[0], 0), record_handover, f);
	request_tokens(f, m[0], second_move, v[0], 1);
	ir_issuer_set_view(m[0], second_move, v[2], NULL, record_handover, f);
	assert_int_equal(f->handovers, 1);
	ir_issuer_set_view(m[2], second_move, v[2], f->to, record_handover, f);
	deliver_handover(f, m[2], second_move, v[2]);
	assert_true(request_tokens(f, m[2], second_move, v[2], 1).issuing);
	assert_false(
	    request_tokens(f, m[1], second_move + IR_VIEW_LEASE_US, v[1], 1)
		.issuing);
}

static void
test_changed_bucket_count_restarts_buckets(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 2, 1);
	struct ir_issuer *m = ir_issuer_new(v);
	struct ir_grant_request q = {
	    .sequence = 1, .incarnation = 1, .account = (char *)"acme"};
	struct ir_grant g;

	contract_view_set_account(v, "acme", 10, 20);
	ir_issuer_set_view(m, 0, v, &v->hosts[0], NULL, NULL);
	assert_int_equal(ir_issuer_bucket_count(m), 1);
	ir_issuer_note_lease(m, W + S, true);
	contract_view_set_account(v, "acme", 10, 1);
	v->config_revision++;
	ir_issuer_set_view(m, W + S, v, &v->hosts[0], NULL, NULL);
	q.bucket_count = 1;
	q.requested_tokens = 1;
	ir_issuer_grant(m, W + S, true, v, &v->hosts[0], &q, &g);
	assert_false(g.issuing);
	v->account_count = 0;
	v->config_revision++;
	ir_issuer_set_view(m, W + S, v, &v->hosts[0], NULL, NULL);
	assert_int_equal(ir_issuer_bucket_count(m), 0);
	talloc_free(v);
}

static void
test_shares_add_up_to_the_contract(void **state)
{
	struct ir_view *v = contract_view_new(NULL, 4, 1);
	uint32_t sum = 0;

	contract_view_set_account(v, "acme", 10, 11);
	for (size_t i = 0; i < 4; i++) {
		struct ir_issuer *m = ir_issuer_new(v);

		ir_issuer_set_view(m, 0, v, &v->hosts[i], NULL, NULL);
		for (uint32_t j = 0; j < 4; j++) {
			struct ir_grant_request q = {.sequence = i * 4 + j + 1,
			    .incarnation = 1,
			    .account = (char *)"acme",
			    .bucket = j,
			    .bucket_count = 4,
			    .requested_tokens = 99};
			struct ir_grant g;

			ir_issuer_grant(
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
	    with_fixture(test_new_process_waits),
	    with_fixture(test_refuses_requests_that_do_not_match),
	    with_fixture(test_leaving_host_hands_over_once),
	    with_fixture(test_early_handover_waits_for_its_view),
	    with_fixture(test_new_issuer_waits_without_handover),
	    with_fixture(test_former_issuer_waits_when_reassigned),
	    with_fixture(test_handover_of_an_older_assignment_is_refused),
	    with_fixture(test_skipped_view_after_the_lease_restarts_bucket),
	    with_fixture(test_no_handover_after_the_lease_expired),
	    with_fixture(test_no_handover_of_a_waiting_bucket),
	    with_fixture(test_skipped_view_restarts_the_wait),
	    with_fixture(
		test_skipped_views_do_not_restart_the_wait_where_overlap_is_tolerated),
	    with_fixture(test_wait_follows_the_length_of_the_lease),
	    with_fixture(test_two_moves_leave_one_active_issuer),
	    cmocka_unit_test(test_changed_bucket_count_restarts_buckets),
	    cmocka_unit_test(test_shares_add_up_to_the_contract),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
