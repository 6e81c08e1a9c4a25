/*
 * Real processes under faults: two regions of two zones, with a node and an
 * upstream of each service in every zone. All tests use the same fleet and
 * leave all of it serving.
 */
#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "fakes/lib/lifetime.h"
#include "ibisrail/limits.h"
#include "support/process_load.h"

static void
test_upstreams_never_see_keys(void **state)
{
	const char *key = procs->keys[KEY_MAIN];
	struct pr_request r = {.path = "/s/run?tap=1", .key = key};
	struct pr_answer a;
	int64_t before = 0, after = 0;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		r.port = procs->hosts[i].callers_port;
		a = pr_fetch(procs, &r);
		assert_true(pr_is_served(&a));
		assert_non_null(
		    strstr(a.body, pr_test_id(procs, procs->next_id)));
		assert_non_null(strstr(a.body, "/run?tap=1"));
	}
	for (size_t i = 0; i < PR_HOSTS; i++)
		before += host_runs(&procs->hosts[i]);
	/* The key in another header, in the query (encoded) and in the body. */
	for (int i = 0; i < 3; i++) {
		r.port = procs->hosts[i].callers_port;
		r.header =
		    i == 0 ? talloc_asprintf(procs, "X-Note: a%sb", key) : NULL;
		r.path = i == 1 ? talloc_asprintf(procs, "/s/run?k=%%%02x%s",
				      (unsigned)key[0], key + 1)
				: "/s/run";
		r.method = i == 2 ? "POST" : "GET";
		r.body = i == 2
			     ? talloc_asprintf(procs, "{\"key\":\"%s\"}", key)
			     : NULL;
		if (i == 2)
			r.path = "/s/charge";
		a = pr_fetch(procs, &r);
		assert_string_equal(a.error, "bad-request");
		assert_string_equal(a.outcome, "not-run");
		assert_int_equal(
		    pr_count_seen(procs, pr_test_id(procs, procs->next_id)), 0);
	}
	for (size_t i = 0; i < PR_HOSTS; i++)
		after += host_runs(&procs->hosts[i]);
	assert_int_equal(before, after);
	assert_int_equal(pr_count_seen(procs, key), 0);
	/* Shows that pr_count_seen() finds text: the path. */
	assert_true(pr_count_seen(procs, "tap=1") > 0);
}

/* Sends load until the node has ended. Returns its wait status. */
static int
wait_end_under_load(struct pr_host *h, struct load *l)
{
	int64_t until = fake_now_us() + PR_WAIT_US;
	int status = -1;

	while (!pr_reap(&h->node, &status)) {
		if (fake_now_us() > until)
			fail_msg("%s has not ended in time", h->name);
		load_step(l);
	}
	return status;
}

static void
restart_node(struct pr_host *h, uint16_t peers_port)
{
	pr_node_start(procs, h, peers_port);
	pr_publish(procs, h, "live");
}

static void
test_leaving_hosts_finish_requests(void **state)
{
	uint32_t refused = 0;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &procs->hosts[i];
		struct load *l = load_new("GET", "/s/run", h);
		int64_t ran;
		int status;

		load_run(l, 4 * LOAD_CONCURRENCY);
		pr_publish(procs, h, "leaving");
		pr_signal(&h->node, SIGTERM);
		status = wait_end_under_load(h, l);
		if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
			fail_msg("%s: status %x", h->name, status);
		ran = host_runs(h);
		load_run(l, 10 * LOAD_CONCURRENCY);
		load_finish(l);
		refused += l->not_run;
		assert_served_or_refused(l);
		assert_int_equal(host_runs(h), ran);
		restart_node(h, 0);
		pr_wait_serving(procs);
	}
	print_message("%u refused as not run\n", refused);
}

/* For loads sent directly to service t, whose upstreams call no other. */
static void
assert_runs_match_answers(struct load *l)
{
	for (uint32_t i = 0; i < l->sent; i++) {
		uint32_t seen =
		    pr_count_seen(procs, pr_test_id(procs, l->first + i));

		if (seen > 1 || (seen > 0 && l->outcomes[i] == 'n') ||
		    (seen == 0 && l->outcomes[i] == 'r'))
			fail_msg("request %u, outcome %c, at %u upstreams", i,
			    l->outcomes[i], seen);
	}
	assert_int_equal(count_double_runs(), l->double_runs_before);
	/* Requests that an upstream sheds are seen there but not run. */
	for (size_t i = 0; i < PR_HOSTS; i++)
		assert_int_equal(
		    pr_fetch_number(procs, procs->hosts[i].upstream_port,
			"/control/stats", "shed"),
		    0);
}

static void
test_killed_node_runs_nothing_twice(void **state)
{
	struct pr_host *h = &procs->hosts[1];
	struct load *l = load_new("POST", "/t/charge", h);
	int status;

	l->request.body = "one";
	load_run(l, 8 * LOAD_CONCURRENCY);
	pr_signal(&h->node, SIGKILL);
	status = wait_end_under_load(h, l);
	assert_true(WIFSIGNALED(status));
	load_run(l, 16 * LOAD_CONCURRENCY);
	load_finish(l);
	assert_int_equal(l->other, 0);
	assert_int_equal(l->ok + l->not_run + l->unknown, l->sent);
	assert_runs_match_answers(l);
	print_message("%u sent: %u ran, %u not run, %u unknown\n", l->sent,
	    l->ok, l->not_run, l->unknown);
	restart_node(h, 0);
	pr_wait_serving(procs);
	assert_true(host_runs(h) > 0);
}

/*
 * Pauses a node, withdraws a key and resumes the node after its lease has
 * expired. It must not run requests with the key that reached it meanwhile.
 */
static void
resume_after_withdrawal(struct pr_host *h, enum key key, bool unlisted)
{
	struct load *l = load_new("POST", "/t/charge", NULL);
	struct key_refusal k = {h, key};
	struct uptime_mark lease_expired;
	int64_t ran;

	pr_signal(&h->node, SIGSTOP);
	/* Every fourth to the paused node, the rest to all in order. */
	l->request.body = "late";
	l->request.key = procs->keys[key];
	while (l->sent < 4 * PR_HOSTS) {
		l->request.port =
		    l->sent % 4 == 0
			? h->callers_port
			: procs->hosts[l->sent % PR_HOSTS].callers_port;
		pr_send(
		    procs, &l->request, l->first + l->sent, load_on_done, l);
		l->sent++;
	}
	if (unlisted)
		pr_unpublish(procs, h);
	pr_withdraw_key(procs, key);
	pr_wait_until("others refuse the key", key_refused_by_all, &k);
	lease_expired = uptime_after(
	    h == &procs->hosts[0] ? &procs->hosts[2] : &procs->hosts[0],
	    2 * IR_VIEW_LEASE_US);
	pr_wait_until("past the lease", uptime_reached, &lease_expired);
	ran = host_runs(h);
	pr_signal(&h->node, SIGCONT);
	load_finish(l);
	assert_int_equal(host_runs(h), ran);
	for (uint32_t i = 0; i < l->sent; i += 4) {
		assert_true(l->outcomes[i] != 'r');
		assert_int_equal(
		    pr_count_seen(procs, pr_test_id(procs, l->first + i)), 0);
	}
	assert_runs_match_answers(l);
	if (unlisted)
		pr_publish(procs, h, "live");
	pr_wait_serving(procs);
}

static void
test_resumed_node_refuses_withdrawn_key(void **state)
{
	resume_after_withdrawal(&procs->hosts[3], KEY_PAUSED, false);
}

static void
test_resumed_node_off_the_list_refuses_withdrawn_key(void **state)
{
	resume_after_withdrawal(&procs->hosts[5], KEY_PAUSED_UNLISTED, true);
}

struct revisions {
	int64_t config[PR_HOSTS];
	int64_t list[PR_HOSTS];
};

/* Checks that revisions did not decrease since the last call. */
static void
check_revisions(struct revisions *last)
{
	for (size_t i = 0; i < PR_HOSTS; i++) {
		uint16_t port = procs->hosts[i].admin_port;
		int64_t c = pr_fetch_number(
		    procs, port, "/state", "view.config_revision");
		int64_t l = pr_fetch_number(
		    procs, port, "/state", "view.list_revision");

		assert_true(c >= last->config[i]);
		assert_true(l >= last->list[i]);
		last->config[i] = c;
		last->list[i] = l;
	}
}

static void
test_stale_platform_does_not_revert_views(void **state)
{
	struct key_refusal k = {NULL, KEY_OUTAGE};
	struct revisions last = {0};
	struct uptime_mark lease_expired;

	pr_withdraw_key(procs, KEY_OUTAGE);
	pr_wait_until("the key is refused", key_refused_by_all, &k);
	pr_wait_serving(procs);
	check_revisions(&last);
	/* The list as before the tests, and accounts of an old generation. */
	pr_set_faults(procs, "{\"lag_ms\":3600000}");
	procs->withdrawn[KEY_OUTAGE] = false;
	pr_publish_accounts(procs, 1);
	procs->withdrawn[KEY_OUTAGE] = true;
	lease_expired = uptime_after(&procs->hosts[0], 2 * IR_VIEW_LEASE_US);
	for (size_t i = 0; !uptime_reached(&lease_expired); i++) {
		struct pr_answer a = fetch_from_host(
		    &procs->hosts[i % PR_HOSTS], "/s/run", KEY_OUTAGE);

		assert_string_equal(a.outcome, "not-run");
		check_revisions(&last);
	}
	pr_set_faults(procs, "{\"lag_ms\":0}");
	pr_publish_accounts(procs, ++procs->generation);
	pr_wait_serving(procs);
	check_revisions(&last);
}

static void
test_withdrawal_on_open_connections(void **state)
{
	int64_t began, ms;
	uint32_t sent = 0, after = 0;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_answer a =
		    fetch_from_host(&procs->hosts[i], "/s/run", KEY_OPEN);

		assert_true(pr_is_served(&a));
	}
	pr_withdraw_key(procs, KEY_OPEN);
	began = fake_now_us();
	for (size_t i = 0; i < PR_HOSTS; sent++) {
		struct pr_answer a =
		    fetch_from_host(&procs->hosts[i], "/s/run", KEY_OPEN);

		if (strcmp(a.error, "key-unknown") == 0)
			i++;
		else if (strstr(a.body, "key-unknown") == NULL)
			/* Else s ran it and its call to t was refused. */
			assert_true(pr_is_served(&a));
		assert_true(fake_now_us() - began < 10 * IR_US_PER_S);
	}
	ms = (fake_now_us() - began) / IR_US_PER_MS;
	/* It stays refused. */
	for (; after < 10 * PR_HOSTS; after++) {
		struct pr_answer a = fetch_from_host(
		    &procs->hosts[after % PR_HOSTS], "/s/run", KEY_OPEN);

		assert_string_equal(a.error, "key-unknown");
	}
	print_message("withdrawn everywhere after %" PRId64
		      " ms and %u requests\n",
	    ms, sent);
}

/* The node of another host listens at the address of the killed one. */
static void
test_replacement_runs_no_requests_of_old_host(void **state)
{
	struct pr_host *h = &procs->hosts[7], *other = &procs->spare;
	struct load *l = load_new("POST", "/t/charge", h);
	uint16_t port = h->peers_port;
	int status;

	*other = *h;
	other->name = "t-other";
	memset(&other->node, 0, sizeof(other->node));
	memset(&other->upstream, 0, sizeof(other->upstream));
	pr_upstream_start(procs, other);
	pr_signal(&h->node, SIGKILL);
	status = wait_end_under_load(h, l);
	assert_true(WIFSIGNALED(status));
	pr_node_start(procs, other, port);
	assert_int_equal(other->peers_port, port);
	load_run(l, 40 * LOAD_CONCURRENCY);
	load_finish(l);
	assert_int_equal(l->other, 0);
	assert_runs_match_answers(l);
	assert_int_equal(host_runs(other), 0);
	pr_signal(&other->node, SIGTERM);
	wait_end_under_load(other, l);
	load_finish(l);
	restart_node(h, 0);
	pr_wait_serving(procs);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    WITH_RESTORE(test_upstreams_never_see_keys),
	    WITH_RESTORE(test_leaving_hosts_finish_requests),
	    WITH_RESTORE(test_killed_node_runs_nothing_twice),
	    WITH_RESTORE(test_resumed_node_refuses_withdrawn_key),
	    WITH_RESTORE(test_resumed_node_off_the_list_refuses_withdrawn_key),
	    WITH_RESTORE(test_stale_platform_does_not_revert_views),
	    WITH_RESTORE(test_withdrawal_on_open_connections),
	    WITH_RESTORE(test_replacement_runs_no_requests_of_old_host),
	};

	program_path = argv[0];
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(
	    tests, processes_set_up, processes_tear_down);
}
