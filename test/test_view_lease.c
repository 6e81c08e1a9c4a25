/* The view lease: confirmations and outage evidence, one case per test. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "host/view_lease.h"
#include "ibisrail/limits.h"
#include "link/peer.h"

#define LEASE IR_VIEW_LEASE_US
#define MS IR_US_PER_MS
#define T0 (1000 * IR_US_PER_S)

static const struct ir_store_reader readers[] = {
    {"n0", "r1"}, {"n1", "r1"}, {"n2", "r1"}};

static struct ir_view_msg
message(uint64_t config, uint64_t list, uint64_t age_us)
{
	struct ir_view_msg m = {.config_revision = config,
	    .list_revision = list,
	    .confirm_age_us = age_us,
	    .outage_age_us = UINT64_MAX};

	return m;
}

static struct ir_view_msg
failed_report(uint64_t config, uint64_t list, uint64_t age_us)
{
	struct ir_view_msg m = message(config, list, UINT64_MAX);

	m.store_tried = true;
	m.store_age_us = age_us;
	return m;
}

static void
test_both_confirmations_are_needed(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);

	assert_int_equal(ir_view_lease_age_us(l, T0), INT64_MAX);
	assert_true(ir_view_lease_store_answered(l, T0, false, 5));
	assert_int_equal(ir_view_lease_state(l, T0, 5, 7), IR_VIEW_UNCONFIRMED);
	assert_true(ir_view_lease_store_answered(l, T0 + MS, true, 7));
	assert_int_equal(ir_view_lease_state(l, T0, 5, 7), IR_VIEW_CONFIRMED);
	assert_int_equal(ir_view_lease_age_us(l, T0 + 5), 5);
	ir_view_lease_store_answered(l, T0 + LEASE, true, 7);
	assert_int_equal(
	    ir_view_lease_state(l, T0 + LEASE, 5, 7), IR_VIEW_CONFIRMED);
	assert_int_equal(
	    ir_view_lease_state(l, T0 + LEASE + 1, 5, 7), IR_VIEW_UNCONFIRMED);
	talloc_free(l);
}

static void
test_confirmation_is_for_its_revisions_or_higher(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);

	ir_view_lease_store_answered(l, T0, false, 5);
	ir_view_lease_store_answered(l, T0, true, 7);
	assert_int_equal(ir_view_lease_state(l, T0, 4, 7), IR_VIEW_UNCONFIRMED);
	assert_int_equal(ir_view_lease_state(l, T0, 5, 6), IR_VIEW_UNCONFIRMED);
	assert_int_equal(ir_view_lease_state(l, T0, 6, 8), IR_VIEW_CONFIRMED);
	talloc_free(l);
}

static void
test_stale_answer_confirms_nothing(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	struct ir_view_msg m = message(6, 7, 100), out = {0};

	ir_view_lease_store_answered(l, T0, false, 5);
	ir_view_lease_store_answered(l, T0, true, 7);
	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	assert_false(ir_view_lease_store_answered(l, T0 + LEASE, false, 5));
	assert_true(ir_view_lease_store_answered(l, T0 + LEASE, true, 7));
	assert_int_equal(
	    ir_view_lease_state(l, T0 + LEASE, 6, 7), IR_VIEW_UNCONFIRMED);
	ir_view_lease_fill_reply(l, T0 + LEASE, 6, 7, &out);
	assert_true(out.store_tried);
	assert_false(out.store_reachable);
	assert_true(out.confirm_age_us == (uint64_t)LEASE + 100);
	talloc_free(l);
}

/* Revision 6 existed before 5 was confirmed as the highest one. */
static void
test_disproved_confirmation_is_replaced(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	struct ir_view_msg m = message(6, 7, 2 * IR_US_PER_S);

	ir_view_lease_store_answered(l, T0, false, 5);
	ir_view_lease_store_answered(l, T0, true, 7);
	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	assert_true(ir_view_lease_age_us(l, T0) == 2 * IR_US_PER_S);
	m = message(8, 7, UINT64_MAX);
	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	assert_int_equal(ir_view_lease_state(l, T0, 6, 7), IR_VIEW_UNCONFIRMED);
	assert_int_equal(ir_view_lease_state(l, T0, 8, 7), IR_VIEW_UNCONFIRMED);
	talloc_free(l);
}

/* A node with a revision below the highest known one confirms nothing. */
static void
test_no_age_for_lower_revisions(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	struct ir_view_msg m = message(6, 7, 0), out = {0};

	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	ir_view_lease_fill_reply(l, T0, 6, 7, &out);
	assert_true(out.confirm_age_us == 0);
	ir_view_lease_fill_reply(l, T0, 5, 7, &out);
	assert_true(out.confirm_age_us == UINT64_MAX);
	talloc_free(l);
}

static void
test_ages_are_bounded(void **state)
{
	static const uint64_t ages[] = {
	    UINT64_MAX, INT64_MAX, (uint64_t)INT64_MAX + 1, (uint64_t)T0 + 1};

	for (size_t i = 0; i < sizeof ages / sizeof ages[0]; i++) {
		struct ir_view_lease *l = ir_view_lease_new(NULL);
		struct ir_view_msg m = message(0, 0, ages[i]);

		ir_view_lease_peer_answered(l, T0, "x", false, &m);
		assert_int_equal(
		    ir_view_lease_state(l, T0, 0, 0), IR_VIEW_UNCONFIRMED);
		assert_int_equal(ir_view_lease_age_us(l, T0), INT64_MAX);
		talloc_free(l);
	}
}

/*
 * The state at now of n0, whose read failed at T0, after it received a from n1
 * and b from n2 (NULL: nothing) and evaluated them.
 */
static enum ir_view_state
state_after_evaluation(
    int64_t now, const struct ir_view_msg *a, const struct ir_view_msg *b)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	enum ir_view_state state;

	ir_view_lease_store_failed(l, T0);
	if (a != NULL)
		ir_view_lease_peer_answered(l, T0, "n1", true, a);
	if (b != NULL)
		ir_view_lease_peer_answered(l, T0, "n2", true, b);
	ir_view_lease_evaluate_outage(l, now, "n0", readers, 3, 5, 7);
	state = ir_view_lease_state(l, now, 5, 7);
	talloc_free(l);
	return state;
}

static void
test_outage_needs_a_majority(void **state)
{
	struct ir_view_msg ok = failed_report(5, 7, 1000);
	struct ir_view_msg old = failed_report(5, 7, (uint64_t)LEASE - 10);
	struct ir_view_msg lower = failed_report(5, 6, 0);
	struct ir_view_msg higher = failed_report(6, 7, 0);
	struct ir_view_msg untried = message(5, 7, UINT64_MAX);
	struct ir_view_msg answered = failed_report(4, 7, 0);

	answered.store_reachable = true;
	assert_int_equal(state_after_evaluation(T0, &ok, NULL), IR_VIEW_OUTAGE);
	assert_int_equal(state_after_evaluation(T0, NULL, &ok), IR_VIEW_OUTAGE);
	assert_int_equal(
	    state_after_evaluation(T0, NULL, NULL), IR_VIEW_UNCONFIRMED);
	assert_int_equal(
	    state_after_evaluation(T0, &lower, NULL), IR_VIEW_UNCONFIRMED);
	assert_int_equal(
	    state_after_evaluation(T0, &untried, NULL), IR_VIEW_UNCONFIRMED);
	assert_int_equal(
	    state_after_evaluation(T0, &ok, &lower), IR_VIEW_OUTAGE);
	assert_int_equal(
	    state_after_evaluation(T0, &ok, &higher), IR_VIEW_UNCONFIRMED);
	assert_int_equal(
	    state_after_evaluation(T0, &ok, &answered), IR_VIEW_UNCONFIRMED);
	answered.store_age_us = (uint64_t)LEASE;
	assert_int_equal(
	    state_after_evaluation(T0, &ok, &answered), IR_VIEW_UNCONFIRMED);
	assert_int_equal(
	    state_after_evaluation(T0 + 1, &ok, &answered), IR_VIEW_OUTAGE);
	assert_int_equal(
	    state_after_evaluation(T0 + 10, &old, NULL), IR_VIEW_OUTAGE);
	assert_int_equal(
	    state_after_evaluation(T0 + 11, &old, NULL), IR_VIEW_UNCONFIRMED);
	assert_int_equal(state_after_evaluation(T0 + LEASE - 1000, &ok, &old),
	    IR_VIEW_OUTAGE);
	assert_int_equal(state_after_evaluation(T0 + LEASE - 999, &ok, NULL),
	    IR_VIEW_UNCONFIRMED);
}

static void
test_sole_reader_is_its_own_majority(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);

	ir_view_lease_store_failed(l, T0);
	ir_view_lease_evaluate_outage(l, T0, "n0", readers, 1, 5, 7);
	assert_int_equal(ir_view_lease_state(l, T0, 5, 7), IR_VIEW_OUTAGE);
	assert_int_equal(ir_view_lease_state(l, T0, 5, 8), IR_VIEW_UNCONFIRMED);
	assert_int_equal(
	    ir_view_lease_state(l, T0 + LEASE + 1, 5, 7), IR_VIEW_UNCONFIRMED);
	talloc_free(l);
}

/* Of two reports of one reader, the one requested later is used. */
static void
test_reports_out_of_order(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	struct ir_view_msg failed = failed_report(5, 7, 0);
	struct ir_view_msg answered = failed_report(5, 7, 0);

	answered.store_reachable = true;
	ir_view_lease_store_failed(l, T0);
	ir_view_lease_peer_answered(l, T0 + 5, "n1", true, &failed);
	ir_view_lease_peer_answered(l, T0 + 4, "n1", true, &answered);
	ir_view_lease_evaluate_outage(l, T0 + 9, "n0", readers, 3, 5, 7);
	assert_int_equal(ir_view_lease_state(l, T0 + 9, 5, 7), IR_VIEW_OUTAGE);
	talloc_free(l);
}

/* The report's newer revisions are not known here yet. */
static void
test_report_of_newer_revisions_counts_but_confirms_nothing(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	struct ir_view_msg failed = failed_report(5, 7, 0);
	struct ir_view_msg answered = failed_report(6, 7, 0);

	ir_view_lease_store_answered(l, T0, false, 5);
	ir_view_lease_store_answered(l, T0, true, 7);
	answered.store_reachable = true;
	answered.confirm_age_us = 0;
	ir_view_lease_reader_reported(l, T0 + 5, "n2", &answered);
	assert_int_equal(ir_view_lease_age_us(l, T0 + 5), 5);
	assert_int_equal(
	    ir_view_lease_state(l, T0 + 5, 5, 7), IR_VIEW_CONFIRMED);
	assert_int_equal(
	    ir_view_lease_state(l, T0 + LEASE + 1, 5, 7), IR_VIEW_UNCONFIRMED);
	ir_view_lease_store_failed(l, T0 + 6);
	ir_view_lease_peer_answered(l, T0 + 6, "n1", true, &failed);
	ir_view_lease_evaluate_outage(l, T0 + 9, "n0", readers, 3, 5, 7);
	assert_int_equal(
	    ir_view_lease_state(l, T0 + LEASE + 1, 5, 7), IR_VIEW_UNCONFIRMED);
	talloc_free(l);
}

/* Evidence that is older or of lower revisions, or none, is ignored. */
static void
test_latest_evidence_is_retained(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	struct ir_view_msg m = message(5, 7, UINT64_MAX);

	m.outage_config_revision = 5;
	m.outage_list_revision = 7;
	m.outage_age_us = 10;
	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	m.outage_age_us = 20;
	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	m.outage_age_us = 0;
	m.outage_config_revision = 4;
	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	m.outage_age_us = UINT64_MAX;
	m.outage_config_revision = 6;
	ir_view_lease_peer_answered(l, T0, "x", false, &m);
	assert_int_equal(
	    ir_view_lease_state(l, T0 + LEASE - 10, 5, 7), IR_VIEW_OUTAGE);
	talloc_free(l);
}

/* Evidence is passed on with its age, and only for its revisions. */
static void
test_evidence_is_relayed(void **state)
{
	struct ir_view_lease *a = ir_view_lease_new(NULL),
			     *b = ir_view_lease_new(NULL);
	struct ir_view_msg m = {0};

	ir_view_lease_store_failed(a, T0);
	ir_view_lease_evaluate_outage(a, T0, "n0", readers, 1, 5, 7);
	ir_view_lease_fill_reply(a, T0 + 100, 5, 7, &m);
	ir_view_lease_peer_answered(b, 3 * T0, "n0", false, &m);
	assert_int_equal(
	    ir_view_lease_state(b, 3 * T0 + LEASE - 100, 5, 7), IR_VIEW_OUTAGE);
	assert_int_equal(ir_view_lease_state(b, 3 * T0 + LEASE - 99, 5, 7),
	    IR_VIEW_UNCONFIRMED);
	assert_int_equal(
	    ir_view_lease_state(b, 3 * T0, 6, 7), IR_VIEW_UNCONFIRMED);
	talloc_free(a);
	talloc_free(b);
}

/* Both reads must be answered again before the store counts as reachable. */
static void
test_reachable_needs_both_reads(void **state)
{
	struct ir_view_lease *l = ir_view_lease_new(NULL);
	struct ir_view_msg m = {0};

	ir_view_lease_fill_reply(l, T0, 5, 7, &m);
	assert_false(m.store_tried);
	ir_view_lease_store_answered(l, T0, false, 5);
	ir_view_lease_store_answered(l, T0, true, 7);
	ir_view_lease_fill_reply(l, T0 + 9, 5, 7, &m);
	assert_true(m.store_reachable && m.store_age_us == 9);
	ir_view_lease_store_failed(l, T0 + 1);
	ir_view_lease_store_answered(l, T0 + 2, true, 7);
	ir_view_lease_fill_reply(l, T0 + 9, 5, 7, &m);
	assert_true(m.store_tried && !m.store_reachable);
	assert_true(m.store_age_us == 8);
	ir_view_lease_store_answered(l, T0 + 3, false, 5);
	ir_view_lease_fill_reply(l, T0 + 9, 5, 7, &m);
	assert_true(m.store_reachable);
	talloc_free(l);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_both_confirmations_are_needed),
	    cmocka_unit_test(test_confirmation_is_for_its_revisions_or_higher),
	    cmocka_unit_test(test_stale_answer_confirms_nothing),
	    cmocka_unit_test(test_disproved_confirmation_is_replaced),
	    cmocka_unit_test(test_no_age_for_lower_revisions),
	    cmocka_unit_test(test_ages_are_bounded),
	    cmocka_unit_test(test_outage_needs_a_majority),
	    cmocka_unit_test(test_sole_reader_is_its_own_majority),
	    cmocka_unit_test(test_reports_out_of_order),
	    cmocka_unit_test(
		test_report_of_newer_revisions_counts_but_confirms_nothing),
	    cmocka_unit_test(test_latest_evidence_is_retained),
	    cmocka_unit_test(test_evidence_is_relayed),
	    cmocka_unit_test(test_reachable_needs_both_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
