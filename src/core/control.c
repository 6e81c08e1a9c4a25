/*
 * Control messages: reading and confirming the view, token grants, and
 * handovers of token buckets.
 */
#include <string.h>

#include "core/internal.h"
#include "host/read_duty.h"

/*
 * In a VIEW_REQUEST, a revision that is above all: the reply carries no
 * sections.
 */
#define REPORT_ONLY UINT64_MAX
/*
 * A reply that takes longer is requested again: bytes of other messages on its
 * link cannot be told from those of the reply.
 */
#define MAX_FETCH_US (10 * IR_US_PER_S)
/* How long a deputy has to come up with a confirmation. */
#define DEPUTY_TURN_US (3 * IR_DEPUTY_POLL_US)
/* Between the readers of a region that request sections from another one. */
#define FETCH_STAGGER_US (200 * IR_US_PER_MS)

/*
 * Age from which the confirmation of the view is overdue, two read periods:
 * readers then request the views of each other; for other hosts see
 * host/read_duty.h.
 */
static int64_t
view_overdue_us(const struct ir_node *n)
{
	return 2 * n->settings.store_read_period_us;
}

static void
log_view_state(struct ir_node *n, int64_t now)
{
	static const char *const names[] = {
	    [IR_VIEW_CONFIRMED] = "confirmed",
	    [IR_VIEW_OUTAGE] = "outage",
	    [IR_VIEW_UNCONFIRMED] = "unconfirmed",
	};
	enum ir_view_state s = node_view_state(n, now);

	if (s == n->view_state)
		return;
	n->view_state = s;
	node_log(n, IR_EVENT_VIEW_STATE, "state=%s age_ms=%lld", names[s],
	    (long long)(ir_view_lease_age_us(n->view_lease, now) /
			IR_US_PER_MS));
}

void
control_update_lease(struct ir_node *n, int64_t now)
{
	bool ok = node_view_state(n, now) != IR_VIEW_UNCONFIRMED;

	if (ok)
		n->lease_valid_us = now;
	ir_issuer_note_lease(n->issuer, now, ok);
}

static void
apply_section(struct ir_node *n, const struct ir_section *s)
{
	char *error = NULL;

	switch (ir_sections_put(n->sections, n, s, &error)) {
	case IR_SECTION_APPLIED:
		ir_counters_add(&n->counters, IR_COUNTER_SECTIONS_APPLIED, 1);
		break;
	case IR_SECTION_APPLIED_IN_PART:
		ir_counters_add(&n->counters, IR_COUNTER_SECTIONS_APPLIED, 1);
		ir_counters_add(&n->counters, IR_COUNTER_ENTRIES_DROPPED, 1);
		node_log(n, IR_EVENT_ENTRIES_DROPPED,
		    "name=%s revision=%llu error=%s", s->name,
		    (unsigned long long)s->revision, error);
		break;
	case IR_SECTION_REFUSED:
		ir_counters_add(&n->counters, IR_COUNTER_SECTIONS_REFUSED, 1);
		node_log(n, IR_EVENT_SECTION_REFUSED,
		    "name=%s revision=%llu error=%s", s->name,
		    (unsigned long long)s->revision,
		    error != NULL ? error : "");
		break;
	default:
		break;
	}
	talloc_free(error);
}

static void
remove_absent(struct ir_node *n, bool hosts, uint64_t revision,
    const struct ir_section *sections, size_t count)
{
	const char **names = talloc_array(n, const char *, count + 1);
	size_t name_count = 0;

	if (names == NULL)
		return;
	for (size_t i = 0; i < count; i++) {
		bool host = ir_section_is_of_host_list(
		    ir_section_kind_of(sections[i].name));

		if (host == hosts && sections[i].text[0] != '\0')
			names[name_count++] = sections[i].name;
	}
	ir_sections_remove_absent(
	    n->sections, hosts, names, name_count, revision);
	talloc_free(names);
}

static void
apply_store_read(
    struct ir_node *n, const struct ir_store_read *r, uint64_t reached)
{
	for (size_t i = 0; i < r->section_count; i++)
		apply_section(n, &r->sections[i]);
	if (r->complete)
		remove_absent(
		    n, r->is_host_list, reached, r->sections, r->section_count);
	ir_sections_raise_revisions(n->sections,
	    r->is_host_list ? 0 : r->revision,
	    r->is_host_list ? r->revision : 0);
}

static uint64_t
current_revision(const struct ir_node *n, bool hosts)
{
	uint64_t config, list;

	ir_node_revisions(n, &config, &list);
	return hosts ? list : config;
}

void
control_store_read(
    struct ir_node *n, int64_t now, const struct ir_store_read *r)
{
	uint64_t reached =
	    r->reached_revision != 0 ? r->reached_revision : r->revision;
	uint64_t current = current_revision(n, r->is_host_list);

	control_update_lease(n, now);
	ir_counters_add(&n->counters, IR_COUNTER_STORE_READS, 1);
	if (n->store_down)
		node_log(n, IR_EVENT_STORE_BACK, "revision=%llu",
		    (unsigned long long)r->revision);
	n->store_down = false;
	if (reached >= current) {
		apply_store_read(n, r, reached);
		/* The read confirms the revisions that are now current. */
		current = current_revision(n, r->is_host_list);
		reached = current;
	}
	if (!ir_view_lease_store_answered(
		n->view_lease, r->request_sent_us, r->is_host_list, reached))
		node_log(n, IR_EVENT_STORE_STALE, "revision=%llu held=%llu",
		    (unsigned long long)reached, (unsigned long long)current);
}

void
control_store_failed(struct ir_node *n, int64_t now, int64_t request_sent_us)
{
	if (!n->store_down) {
		node_log(n, IR_EVENT_STORE_FAILED, "after_ms=%lld",
		    (long long)((now - request_sent_us) / IR_US_PER_MS));
		n->deputy_since_us = now;
	}
	n->store_down = true;
	ir_view_lease_store_failed(n->view_lease, request_sent_us);
}

bool
ir_node_should_read_store(struct ir_node *n)
{
	const struct ir_view *v = node_view(n);
	const struct ir_host *self = node_self_or_placeholder(n);
	/* Where nothing is served unconfirmed, each host sees for itself. */
	bool believes_outage = v->serve_unconfirmed &&
			       node_view_state(n, n->now_us) == IR_VIEW_OUTAGE;
	const struct ir_read_duty duty = {
	    .is_reader = ir_is_store_reader(v, self) || v->host_count == 0,
	    .store_is_down = believes_outage,
	    .asked_to_read_us = n->asked_to_read_us == INT64_MIN
				    ? INT64_MAX
				    : n->now_us - n->asked_to_read_us,
	    .unanswered_polls = n->view_source_tries,
	    .peer_age_us = ir_view_lease_peer_age_us(n->view_lease, n->now_us),
	    .age_us = ir_view_lease_age_us(n->view_lease, n->now_us),
	    .read_period_us = n->settings.store_read_period_us,
	    .overdue_us = view_overdue_us(n) + IR_VIEW_POLL_US,
	    .rank = ir_relay_rank(v, self),
	};

	/* An unlisted host that may not serve asks nobody else. */
	if (node_self(n) == NULL && !node_serves_unlisted(n))
		return true;
	return ir_host_reads_store(&duty);
}

size_t
ir_node_service_names(struct ir_node *n, TALLOC_CTX *mem, char ***names)
{
	const struct ir_view *v = node_view(n);

	*names = talloc_array(mem, char *, v->service_count);
	if (*names == NULL)
		return 0;
	for (size_t i = 0; i < v->service_count; i++)
		(*names)[i] = talloc_strdup(*names, v->services[i].name);
	return v->service_count;
}

/* Returns whether there was room for it. */
static bool
send_view_request(struct ir_node *n, int64_t now, struct peer *p,
    uint64_t config_revision, uint64_t list_revision)
{
	struct ir_msg m = {.kind = IR_MSG_VIEW_REQUEST};

	m.ir_msg_u.view_request.config_revision = config_revision;
	m.ir_msg_u.view_request.list_revision = list_revision;
	p->view_request_sent_us = now;
	p->view_request_xid = peer_send(n, now, p, &m);
	if (p->view_request_xid == 0)
		return false;
	ir_counters_add(&n->counters, IR_COUNTER_VIEW_REQUESTS, 1);
	return true;
}

/* Whether bytes that may be those of the reply moved in the last period_us. */
static bool
is_reply_arriving(const struct peer *p, int64_t now, int64_t period_us)
{
	return p->view_request_xid != 0 && now - p->link.moved_us < period_us &&
	       now - p->view_request_sent_us < MAX_FETCH_US;
}

/* Forgets a request whose reply neither came nor is arriving. */
static void
expire_view_request(struct peer *p, int64_t now)
{
	if (now - p->view_request_sent_us > IR_LINK_TIMEOUT_US &&
	    !is_reply_arriving(p, now, IR_LINK_TIMEOUT_US))
		p->view_request_xid = 0;
}

static bool
can_request_view(struct ir_node *n, int64_t now, struct peer *p)
{
	expire_view_request(p, now);
	return !peer_is_self(n, p) && peer_ensure_link_for_poll(n, now, p) &&
	       p->view_request_xid == 0;
}

/*
 * Whether sections were requested in the last poll interval, or are arriving.
 * Another request would load the network with the same sections again.
 */
static bool
is_fetching_sections(const struct ir_node *n, int64_t now)
{
	const struct peer *p;

	if (now - n->sections_requested_us < IR_VIEW_POLL_US)
		return true;
	if (n->sections_source == NULL)
		return false;
	HASH_FIND_STR(n->peers, n->sections_source, p);
	return p != NULL && is_reply_arriving(p, now, IR_VIEW_POLL_US);
}

/* Requests the sections that are newer than those held. */
static void
fetch_sections(struct ir_node *n, int64_t now, struct peer *p)
{
	uint64_t config = 0, list = 0;

	if (is_fetching_sections(n, now) || !can_request_view(n, now, p))
		return;
	/*
	 * A new process requests the view from revision 0: the store may have
	 * older revisions than a peer.
	 */
	if (n->view_received)
		ir_node_revisions(n, &config, &list);
	p->view_report_only = false;
	if (!send_view_request(n, now, p, config, list))
		return;
	n->sections_requested_us = now;
	talloc_free(n->sections_source);
	n->sections_source = talloc_strdup(n, p->name);
}

/*
 * Sections come from the host's own region. From another one a host requests
 * them only when its view is overdue, the store readers of a region one after
 * the other, so that they cross the path between regions once.
 */
static bool
may_fetch_from(struct ir_node *n, int64_t now, const char *host)
{
	const struct ir_view *v = node_view(n);
	const struct ir_host *self = node_self(n), *h = ir_view_host(v, host);
	int64_t wait_us = view_overdue_us(n);

	if (self == NULL || h == NULL || strcmp(self->region, h->region) == 0)
		return true;
	wait_us += (int64_t)ir_store_reader_rank(v, self) * FETCH_STAGGER_US;
	return ir_view_lease_age_us(n->view_lease, now) >= wait_us;
}

void
control_check_peer_revisions(struct ir_node *n, int64_t now, struct peer *p,
    uint64_t config, uint64_t list)
{
	uint64_t own_config, own_list;

	ir_node_revisions(n, &own_config, &own_list);
	if ((config > own_config || list > own_list) &&
	    may_fetch_from(n, now, p->name))
		fetch_sections(n, now, p);
}

static void
count_sections_sent(
    struct ir_node *n, const struct ir_section *sections, size_t count)
{
	uint64_t bytes = 0;

	for (size_t i = 0; i < count; i++)
		bytes += strlen(sections[i].text);
	ir_counters_add(&n->counters, IR_COUNTER_VIEW_SECTIONS_SENT, count);
	ir_counters_add(&n->counters, IR_COUNTER_VIEW_BYTES_SENT, bytes);
}

/*
 * A reader of the zone that has no older view than this host asks for its
 * confirmation: the reader cannot read the store.
 */
static bool
is_asked_to_read(
    struct ir_node *n, const char *from, const struct ir_view_request *request)
{
	const struct ir_view *v = node_view(n);
	const struct ir_host *self = node_self(n), *h = ir_view_host(v, from);
	uint64_t config, list;

	if (self == NULL || h == NULL || strcmp(h->zone, self->zone) != 0 ||
	    !ir_is_store_reader(v, h) ||
	    request->config_revision == REPORT_ONLY)
		return false;
	ir_node_revisions(n, &config, &list);
	return request->config_revision >= config &&
	       request->list_revision >= list;
}

static void
handle_view_request(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const char *from, const struct ir_view_request *request)
{
	struct ir_msg m = {.kind = IR_MSG_VIEW};
	struct ir_msg again = {.kind = IR_MSG_VIEW_REQUEST};
	struct ir_view_msg *v = &m.ir_msg_u.view;
	struct ir_section *sections = NULL;
	bool full = false;
	size_t count;

	if (is_asked_to_read(n, from, request))
		n->asked_to_read_us = now;
	count = ir_sections_since(n->sections, n, request->config_revision,
	    request->list_revision, &sections, &full);
	ir_node_revisions(
	    n, (uint64_t *)&v->config_revision, (uint64_t *)&v->list_revision);
	v->full = full;
	v->sections.sections_val = sections;
	v->sections.sections_len = (uint32_t)count;
	ir_view_lease_fill_reply(
	    n->view_lease, now, v->config_revision, v->list_revision, v);
	if (peer_reply(n, conn, xid, &m)) {
		count_sections_sent(n, sections, count);
	} else {
		again.ir_msg_u.view_request = *request;
		unsent_keep(n, conn, xid, &again);
	}
	talloc_free(sections);
	if (ir_view_host(node_view(n), from) != NULL &&
	    request->config_revision != REPORT_ONLY)
		control_check_peer_revisions(n, now, peer_get(n, from),
		    request->config_revision, request->list_revision);
}

static bool
is_reader(struct ir_node *n, const char *name)
{
	const struct ir_view *v = node_view(n);
	const struct ir_host *h = ir_view_host(v, name);

	return h != NULL && ir_is_store_reader(v, h);
}

/* Evaluates by the readers' reports whether the store is down for all. */
static void
update_outage(struct ir_node *n, int64_t now)
{
	struct ir_store_reader *readers = NULL;
	uint64_t config, list;
	size_t count = ir_store_readers(node_view(n), n, &readers);

	ir_node_revisions(n, &config, &list);
	ir_view_lease_evaluate_outage(
	    n->view_lease, now, n->settings.host, readers, count, config, list);
	talloc_free(readers);
}

static void
apply_view(struct ir_node *n, const struct ir_view_msg *m)
{
	uint64_t config, list;

	ir_node_revisions(n, &config, &list);
	for (uint32_t i = 0; i < m->sections.sections_len; i++)
		apply_section(n, &m->sections.sections_val[i]);
	if (m->full && m->config_revision >= config)
		remove_absent(n, false, m->config_revision,
		    m->sections.sections_val, m->sections.sections_len);
	if (m->full && m->list_revision >= list)
		remove_absent(n, true, m->list_revision,
		    m->sections.sections_val, m->sections.sections_len);
	ir_sections_raise_revisions(
	    n->sections, m->config_revision, m->list_revision);
}

/* A reply without sections, from a host that has newer ones. */
static bool
lacks_sections(
    struct ir_node *n, const struct peer *p, const struct ir_view_msg *m)
{
	uint64_t config, list;

	ir_node_revisions(n, &config, &list);
	return p->view_report_only &&
	       (m->config_revision > config || m->list_revision > list);
}

static void
handle_view(struct ir_node *n, int64_t now, struct peer *p, uint32_t xid,
    const struct ir_view_msg *m)
{
	bool lacking;

	if (p->view_request_xid != xid)
		return;
	p->view_request_xid = 0;
	control_update_lease(n, now);
	lacking = lacks_sections(n, p, m);
	if (!p->view_report_only) {
		/* What heartbeats report next need not wait for the poll. */
		n->sections_requested_us = now - IR_VIEW_POLL_US;
		n->view_source_tries = 0;
		n->view_received = true;
		apply_view(n, m);
	}
	if (lacking && is_reader(n, p->name))
		ir_view_lease_reader_reported(
		    n->view_lease, p->view_request_sent_us, p->name, m);
	else if (!lacking)
		ir_view_lease_peer_answered(n->view_lease,
		    p->view_request_sent_us, p->name, is_reader(n, p->name), m);
	if (lacking)
		control_check_peer_revisions(
		    n, now, p, m->config_revision, m->list_revision);
	/* Not delayed to the next poll: relays wait for the outage evidence. */
	if (is_reader(n, n->settings.host) &&
	    ir_view_lease_age_us(n->view_lease, now) >= view_overdue_us(n))
		update_outage(n, now);
}

static void
handle_token_request(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_grant_request *request)
{
	struct ir_msg m = {.kind = IR_MSG_GRANT};
	bool lease_valid = node_view_state(n, now) != IR_VIEW_UNCONFIRMED;
	const struct ir_host *self = node_self(n);

	if (self == NULL)
		return;
	ir_issuer_grant(n->issuer, now, lease_valid, node_view(n), self,
	    request, &m.ir_msg_u.grant);
	ir_counters_add(
	    &n->counters, IR_COUNTER_GRANTS_ISSUED, m.ir_msg_u.grant.count);
	unsent_reply(n, conn, xid, &m);
}

static void
handle_handover(struct ir_node *n, int64_t now, uint32_t conn, uint32_t xid,
    const struct ir_handover *h)
{
	struct ir_msg m = {.kind = IR_MSG_HANDOVER_REPLY};
	const struct ir_host *self = node_self(n);

	if (self == NULL)
		return;
	ir_issuer_handover(n->issuer, now, node_view(n), self, h);
	node_log(n, IR_EVENT_BUCKET_TAKEN, "account=%s bucket=%u", h->account,
	    h->bucket);
	unsent_reply(n, conn, xid, &m);
}

void
control_handle_message(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const char *from, struct peer *p, const struct ir_msg *m)
{
	switch (m->kind) {
	case IR_MSG_VIEW_REQUEST:
		handle_view_request(
		    n, now, conn, xid, from, &m->ir_msg_u.view_request);
		break;
	case IR_MSG_VIEW:
		if (p != NULL)
			handle_view(n, now, p, xid, &m->ir_msg_u.view);
		break;
	case IR_MSG_GRANT_REQUEST:
		handle_token_request(
		    n, now, conn, xid, &m->ir_msg_u.grant_request);
		break;
	case IR_MSG_GRANT:
		if (p != NULL)
			ir_rate_limiter_add_grant(
			    n->rate_limiter, now, p->name, &m->ir_msg_u.grant);
		break;
	case IR_MSG_HANDOVER:
		handle_handover(n, now, conn, xid, &m->ir_msg_u.handover);
		break;
	default:
		break;
	}
}

void
control_retry_token_waiters(void *ctx, int64_t now, const char *account)
{
	struct ir_node *n = ctx;

	call_retry_token_waiters(n, now, account);
}

bool
control_send_token_request(void *ctx, int64_t now, const struct ir_host *issuer,
    const struct ir_grant_request *request)
{
	struct ir_node *n = ctx;
	struct ir_msg m = {.kind = IR_MSG_GRANT_REQUEST};
	struct peer *p = peer_get(n, issuer->name);

	if (p == NULL)
		return false;
	m.ir_msg_u.grant_request = *request;
	ir_counters_add(&n->counters, IR_COUNTER_GRANT_REQUESTS, 1);
	return peer_send_or_queue(n, now, p, &m);
}

static void
send_handover(void *ctx, const struct ir_host *to, const struct ir_handover *h)
{
	struct ir_node *n = ctx;
	struct ir_msg m = {.kind = IR_MSG_HANDOVER};
	struct peer *p = peer_get(n, to->name);

	m.ir_msg_u.handover = *h;
	if (p != NULL && peer_send_or_keep(n, n->now_us, p, &m))
		node_log(n, IR_EVENT_BUCKET_HANDED,
		    "account=%s bucket=%u to=%s", h->account, h->bucket,
		    to->name);
}

static void
apply_own_service(struct ir_node *n, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	const struct ir_service *s = ir_view_service(v, n->settings.service);
	uint64_t changes;

	if (s != NULL && !n->settings.baseline_policy)
		ir_gate_set_slots(n->gate,
		    s->slots != 0 ? s->slots : n->settings.initial_slots);
	if (self != NULL && !n->settings.baseline_policy)
		ir_gate_set_reported_slots(n->gate, self->slots);
	changes = ir_sections_host_changes(n->sections, n->settings.service);
	/* Allowed regions also move the hosts of Idempotency-Keys. */
	if (changes != n->seen_host_changes ||
	    v->regions_hash != n->seen_regions)
		n->hosts_changed_us = now;
	n->seen_host_changes = changes;
	n->seen_regions = v->regions_hash;
}

/*
 * Notes since when this host may have been listed as leaving. A process that
 * was paused may have missed the change at any time since its lease was last
 * valid.
 */
static void
update_leaving(struct ir_node *n, int64_t now, const struct ir_host *self)
{
	bool leaving = self == NULL || self->leaving;

	if (!leaving)
		n->leaving_since_us = 0;
	else if (n->leaving_since_us == 0)
		n->leaving_since_us =
		    n->lease_valid_us != 0 ? n->lease_valid_us : now;
}

void
control_view_changed(struct ir_node *n, int64_t now)
{
	const struct ir_view *v = node_view(n);
	const struct ir_host *self = node_self(n);

	if (v->config_revision == n->handled_config_revision &&
	    v->list_revision == n->handled_list_revision)
		return;
	n->handled_config_revision = v->config_revision;
	n->handled_list_revision = v->list_revision;
	node_log(n, IR_EVENT_VIEW_CHANGED, "config=%llu list=%llu hosts=%zu",
	    (unsigned long long)v->config_revision,
	    (unsigned long long)v->list_revision, v->host_count);
	update_leaving(n, now, self);
	local_upstream_view_changed(n, now, self);
	ir_balancer_apply_view(n->balancer, now, v);
	evacuation_view_changed(n, now, v);
	apply_own_service(n, now, v, self);
	ir_issuer_set_view(n->issuer, now, v, self, send_handover, n);
}

/*
 * Requests the reports of all readers, as evidence of a store outage, without
 * their sections.
 */
static void
request_reader_views(struct ir_node *n, int64_t now, const struct ir_view *v)
{
	struct ir_store_reader *readers = NULL;
	size_t count = ir_store_readers(v, n, &readers);

	for (size_t i = 0; i < count; i++) {
		struct peer *p = peer_get(n, readers[i].name);

		if (p == NULL || !can_request_view(n, now, p))
			continue;
		p->view_report_only = true;
		(void)send_view_request(n, now, p, REPORT_ONLY, REPORT_ONLY);
	}
	talloc_free(readers);
	update_outage(n, now);
}

static void
poll_view_source(struct ir_node *n, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	const struct ir_host *h = ir_view_source(v, self, n->view_source_tries);
	struct peer *p = h != NULL ? peer_get(n, h->name) : NULL;

	if (is_fetching_sections(n, now))
		return;
	/* A new process gives each source one poll for its link to come up. */
	if (p != NULL && !n->view_received && !n->view_source_waited &&
	    !peer_ensure_link_for_poll(n, now, p)) {
		n->view_source_waited = true;
		return;
	}
	/* A reply resets the count: the next poll is of the nearest source. */
	n->view_source_tries++;
	n->view_source_waited = false;
	if (p == NULL)
		return;
	fetch_sections(n, now, p);
}

/*
 * Asks a deputy for the view while the store does not answer this reader, and
 * another one if that brings no recent confirmation.
 */
static void
poll_deputy(struct ir_node *n, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	const struct ir_host *h;
	struct peer *p;

	if (ir_view_lease_age_us(n->view_lease, now) <
	    n->settings.store_read_period_us)
		n->deputy_since_us = now;
	if (now - n->deputy_polled_us < IR_DEPUTY_POLL_US ||
	    is_fetching_sections(n, now))
		return;
	h = ir_deputy(
	    v, self, (uint32_t)((now - n->deputy_since_us) / DEPUTY_TURN_US));
	p = h != NULL ? peer_get(n, h->name) : NULL;
	if (p == NULL || !can_request_view(n, now, p))
		return;
	n->deputy_polled_us = now;
	fetch_sections(n, now, p);
}

static void
poll_view(struct ir_node *n, int64_t now)
{
	const struct ir_view *v = node_view(n);
	const struct ir_host *self = node_self(n);
	bool reader;

	if (self == NULL && node_serves_unlisted(n))
		self = node_self_or_placeholder(n);
	if (self == NULL)
		return;
	reader = ir_is_store_reader(v, self);
	if (reader && n->view_received && n->store_down)
		poll_deputy(n, now, v, self);
	if (now - n->last_view_poll_us < IR_VIEW_POLL_US)
		return;
	n->last_view_poll_us = now;
	if (reader && n->view_received &&
	    ir_view_lease_age_us(n->view_lease, now) < view_overdue_us(n))
		return;
	/*
	 * A new process requests the whole view, and from one host only,
	 * as replies of all readers would load the links between regions.
	 */
	if (reader && n->view_received)
		request_reader_views(n, now, v);
	else
		poll_view_source(n, now, v, self);
}

void
control_tick(struct ir_node *n, int64_t now)
{
	const struct ir_host *self = node_self(n);

	poll_view(n, now);
	if ((self != NULL || node_serves_unlisted(n)) &&
	    !n->settings.baseline_policy)
		ir_rate_limiter_tick(n->rate_limiter, now, node_view(n),
		    node_self_or_placeholder(n));
	log_view_state(n, now);
}
