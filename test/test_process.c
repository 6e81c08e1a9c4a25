/*
 * Real processes under faults: two regions of two zones, a node and an
 * upstream of each service in every zone. One fleet serves all tests; each
 * leaves it whole.
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
test_keys_stay_at_the_entry(void **state)
{
	const char *key = p->keys[KEY_MAIN];
	struct pr_request r = {.path = "/s/run?tap=1", .key = key};
	struct pr_answer a;
	int64_t before = 0, after = 0;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		r.port = p->hosts[i].callers_port;
		a = pr_ask(p, &r);
		assert_true(pr_ok(&a));
		assert_non_null(strstr(a.body, pr_test_id(p, p->next_id)));
		assert_non_null(strstr(a.body, "/run?tap=1"));
	}
	for (size_t i = 0; i < PR_HOSTS; i++)
		before += runs(&p->hosts[i]);
	/* The key in another header, percent-encoded in the query, the body. */
	for (int i = 0; i < 3; i++) {
		r.port = p->hosts[i].callers_port;
		r.header =
		    i == 0 ? talloc_asprintf(p, "X-Note: a%sb", key) : NULL;
		r.path = i == 1 ? talloc_asprintf(p, "/s/run?k=%%%02x%s",
				      (unsigned)key[0], key + 1)
				: "/s/run";
		r.method = i == 2 ? "POST" : "GET";
		r.body =
		    i == 2 ? talloc_asprintf(p, "{\"key\":\"%s\"}", key) : NULL;
		if (i == 2)
			r.path = "/s/charge";
		a = pr_ask(p, &r);
		assert_string_equal(a.error, "bad-request");
		assert_string_equal(a.outcome, "not-run");
		assert_int_equal(pr_seen(p, pr_test_id(p, p->next_id)), 0);
	}
	for (size_t i = 0; i < PR_HOSTS; i++)
		after += runs(&p->hosts[i]);
	assert_int_equal(before, after);
	assert_int_equal(pr_seen(p, key), 0);
	/* That it would be found: the path is. */
	assert_true(pr_seen(p, "tap=1") > 0);
}

/* The node ends under load; returns its status. */
static int
end_under_load(struct pr_host *h, struct load *l)
{
	int64_t until = fake_now_us() + PR_WAIT_US;
	int status = -1;

	while (!pr_ended(&h->node, &status)) {
		if (fake_now_us() > until)
			fail_msg("%s does not end", h->name);
		load_step(l);
	}
	return status;
}

static void
restart(struct pr_host *h, uint16_t peers_port)
{
	pr_node_start(p, h, peers_port);
	pr_publish(p, h, "live");
}

static void
test_leaving_hosts_cut_nothing_off(void **state)
{
	uint32_t refused = 0;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_host *h = &p->hosts[i];
		struct load *l = load_new("GET", "/s/run", h);
		int64_t ran;
		int status;

		load_more(l, 4 * AT_ONCE);
		pr_publish(p, h, "leaving");
		pr_signal(&h->node, SIGTERM);
		status = end_under_load(h, l);
		if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
			fail_msg("%s: status %x", h->name, status);
		ran = runs(h);
		load_more(l, 10 * AT_ONCE);
		load_end(l);
		refused += l->not_run;
		assert_none_cut_off(l);
		assert_int_equal(runs(h), ran);
		restart(h, 0);
		pr_wait_serving(p);
	}
	print_message("%u refused as not run\n", refused);
}

/* Of a load that was straight at service t. */
static void
assert_runs_fit_answers(struct load *l)
{
	for (uint32_t i = 0; i < l->sent; i++) {
		uint32_t seen = pr_seen(p, pr_test_id(p, l->first + i));

		if (seen > 1 || (seen > 0 && l->outcomes[i] == 'n') ||
		    (seen == 0 && l->outcomes[i] == 'r'))
			fail_msg("request %u, outcome %c, at %u upstreams", i,
			    l->outcomes[i], seen);
	}
	assert_int_equal(double_runs(), l->doubles);
	/* Else shown would not mean run. */
	for (size_t i = 0; i < PR_HOSTS; i++)
		assert_int_equal(pr_number(p, p->hosts[i].upstream_port,
				     "/control/stats", "shed"),
		    0);
}

static void
test_killed_node_runs_nothing_twice(void **state)
{
	struct pr_host *h = &p->hosts[1];
	struct load *l = load_new("POST", "/t/charge", h);
	int status;

	l->request.body = "one";
	load_more(l, 8 * AT_ONCE);
	pr_signal(&h->node, SIGKILL);
	status = end_under_load(h, l);
	assert_true(WIFSIGNALED(status));
	load_more(l, 16 * AT_ONCE);
	load_end(l);
	assert_int_equal(l->other, 0);
	assert_int_equal(l->ok + l->not_run + l->unknown, l->sent);
	assert_runs_fit_answers(l);
	print_message("%u sent: %u ran, %u not run, %u unknown\n", l->sent,
	    l->ok, l->not_run, l->unknown);
	restart(h, 0);
	pr_wait_serving(p);
	assert_true(runs(h) > 0);
}

/* A paused node wakes past the lease; the key went meanwhile. */
static void
wake_after_withdrawal(struct pr_host *h, enum key key, bool gone)
{
	struct load *l = load_new("POST", "/t/charge", NULL);
	struct key_at k = {h, key};
	struct moment late;
	int64_t ran;

	pr_signal(&h->node, SIGSTOP);
	/* Some at its own port, some sent on to it by others. */
	l->request.body = "late";
	l->request.key = p->keys[key];
	while (l->sent < 4 * PR_HOSTS) {
		l->request.port =
		    l->sent % 4 == 0
			? h->callers_port
			: p->hosts[l->sent % PR_HOSTS].callers_port;
		pr_send(p, &l->request, l->first + l->sent, load_on_done, l);
		l->sent++;
	}
	if (gone)
		pr_unpublish(p, h);
	pr_withdraw(p, key);
	pr_wait("others refuse the key", refused_by_all, &k);
	late = moment_after(h == &p->hosts[0] ? &p->hosts[2] : &p->hosts[0],
	    2 * IR_VIEW_LEASE_US);
	pr_wait("past the lease", uptime_reached, &late);
	ran = runs(h);
	pr_signal(&h->node, SIGCONT);
	load_end(l);
	assert_int_equal(runs(h), ran);
	for (uint32_t i = 0; i < l->sent; i += 4) {
		assert_true(l->outcomes[i] != 'r');
		assert_int_equal(pr_seen(p, pr_test_id(p, l->first + i)), 0);
	}
	assert_runs_fit_answers(l);
	if (gone)
		pr_publish(p, h, "live");
	pr_wait_serving(p);
}

static void
test_paused_node_wakes_to_withdrawn_key(void **state)
{
	wake_after_withdrawal(&p->hosts[3], KEY_PAUSED, false);
}

static void
test_paused_node_wakes_off_the_list(void **state)
{
	wake_after_withdrawal(&p->hosts[5], KEY_PAUSED_GONE, true);
}

struct revisions {
	int64_t config[PR_HOSTS];
	int64_t list[PR_HOSTS];
};

/* Revisions never go back. */
static void
look_at_revisions(struct revisions *held)
{
	for (size_t i = 0; i < PR_HOSTS; i++) {
		uint16_t port = p->hosts[i].admin_port;
		int64_t c =
		    pr_number(p, port, "/state", "view.config_revision");
		int64_t l = pr_number(p, port, "/state", "view.list_revision");

		assert_true(c >= held->config[i]);
		assert_true(l >= held->list[i]);
		held->config[i] = c;
		held->list[i] = l;
	}
}

static void
test_stale_platform_turns_nothing_back(void **state)
{
	struct key_at k = {NULL, KEY_OUTAGE};
	struct revisions held = {0};
	struct moment late;

	pr_withdraw(p, KEY_OUTAGE);
	pr_wait("the key is refused", refused_by_all, &k);
	pr_wait_serving(p);
	look_at_revisions(&held);
	/* The list as of before the tests; accounts of an old generation. */
	pr_faults(p, "{\"lag_ms\":3600000}");
	p->withdrawn[KEY_OUTAGE] = false;
	pr_publish_accounts(p, 1);
	p->withdrawn[KEY_OUTAGE] = true;
	late = moment_after(&p->hosts[0], 2 * IR_VIEW_LEASE_US);
	for (size_t i = 0; !uptime_reached(&late); i++) {
		struct pr_answer a =
		    ask(&p->hosts[i % PR_HOSTS], "/s/run", KEY_OUTAGE);

		assert_string_equal(a.outcome, "not-run");
		look_at_revisions(&held);
	}
	pr_faults(p, "{\"lag_ms\":0}");
	pr_publish_accounts(p, ++p->generation);
	pr_wait_serving(p);
	look_at_revisions(&held);
}

static void
test_withdrawal_on_open_connections(void **state)
{
	int64_t began, ms;
	uint32_t asked = 0, after = 0;

	for (size_t i = 0; i < PR_HOSTS; i++) {
		struct pr_answer a = ask(&p->hosts[i], "/s/run", KEY_OPEN);

		assert_true(pr_ok(&a));
	}
	pr_withdraw(p, KEY_OPEN);
	began = fake_now_us();
	for (size_t i = 0; i < PR_HOSTS; asked++) {
		struct pr_answer a = ask(&p->hosts[i], "/s/run", KEY_OPEN);

		if (strcmp(a.error, "key-unknown") == 0)
			i++;
		else if (strstr(a.body, "key-unknown") == NULL)
			/* Else s served it and its call on to t was refused. */
			assert_true(pr_ok(&a));
		assert_true(fake_now_us() - began < 10 * IR_US_PER_S);
	}
	ms = (fake_now_us() - began) / IR_US_PER_MS;
	/* For good. */
	for (; after < 10 * PR_HOSTS; after++) {
		struct pr_answer a =
		    ask(&p->hosts[after % PR_HOSTS], "/s/run", KEY_OPEN);

		assert_string_equal(a.error, "key-unknown");
	}
	print_message("withdrawn everywhere after %" PRId64
		      " ms and %u requests\n",
	    ms, asked);
}

/* Another host's node listens where the killed one did. */
static void
test_replaced_host_runs_nothing_for_the_old(void **state)
{
	struct pr_host *h = &p->hosts[7], *other = &p->spare;
	struct load *l = load_new("POST", "/t/charge", h);
	uint16_t port = h->peers_port;
	int status;

	*other = *h;
	other->name = "t-other";
	memset(&other->node, 0, sizeof(other->node));
	memset(&other->upstream, 0, sizeof(other->upstream));
	pr_upstream_start(p, other);
	pr_signal(&h->node, SIGKILL);
	status = end_under_load(h, l);
	assert_true(WIFSIGNALED(status));
	pr_node_start(p, other, port);
	assert_int_equal(other->peers_port, port);
	load_more(l, 40 * AT_ONCE);
	load_end(l);
	assert_int_equal(l->other, 0);
	assert_runs_fit_answers(l);
	assert_int_equal(runs(other), 0);
	pr_signal(&other->node, SIGTERM);
	end_under_load(other, l);
	load_end(l);
	restart(h, 0);
	pr_wait_serving(p);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    MENDED(test_keys_stay_at_the_entry),
	    MENDED(test_leaving_hosts_cut_nothing_off),
	    MENDED(test_killed_node_runs_nothing_twice),
	    MENDED(test_paused_node_wakes_to_withdrawn_key),
	    MENDED(test_paused_node_wakes_off_the_list),
	    MENDED(test_stale_platform_turns_nothing_back),
	    MENDED(test_withdrawal_on_open_connections),
	    MENDED(test_replaced_host_runs_nothing_for_the_old),
	};

	program = argv[0];
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(
	    tests, processes_set_up, processes_tear_down);
}
