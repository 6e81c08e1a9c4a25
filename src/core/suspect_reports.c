/*
 * Requests during which upstreams of this host's service ended: counted here,
 * told to the other hosts of the service, refused.
 */
#include <string.h>
#include <xxhash.h>

#include "core/internal.h"
#include "core/unconst.h"

/* Runs that break within this time are of the same end of the upstream. */
#define SAME_CRASH_US (300 * IR_US_PER_MS)
#define REPORT_ENTRIES IR_MAX_SUSPECTS
#define EXPIRE_PERIOD_US IR_US_PER_S
/*
 * Hosts that a host tells: those after it by name. They tell the next, so that
 * a service of any size is reached.
 */
#define MAX_TOLD_HOSTS 32

static uint64_t
crash_id(struct ir_node *n, int64_t now)
{
	struct local_upstream *u = &n->upstream;

	if (u->crash_count == 0 || now - u->crashed_us > SAME_CRASH_US)
		u->crash_count++;
	u->crashed_us = now;
	return XXH64(
	    &u->crash_count, sizeof(u->crash_count), n->settings.incarnation);
}

void
suspects_run_ended(struct ir_node *n, int64_t now, const struct ir_record *r,
    enum ir_run_end end)
{
	uint8_t digest[IR_DIGEST_BYTES];
	bool crashed = end == IR_RUN_UPSTREAM_ENDED;

	if (!crashed &&
	    (end != IR_RUN_ANSWERED || ir_suspects_is_empty(n->suspects)))
		return;
	ir_suspects_digest(r->forward, digest);
	if (crashed)
		ir_suspects_add(n->suspects, now, digest, crash_id(n, now));
	else
		ir_suspects_clear(n->suspects, now, digest);
}

bool
suspects_refuse(
    const struct ir_node *n, int64_t now, const struct ir_forward *f)
{
	uint8_t digest[IR_DIGEST_BYTES];

	if (ir_suspects_is_empty(n->suspects))
		return false;
	ir_suspects_digest(f, digest);
	return ir_suspects_refuses(n->suspects, now, digest);
}

void
suspects_handle_report(
    struct ir_node *n, int64_t now, const struct ir_suspect_report *m)
{
	if (strcmp(m->service, n->settings.service) != 0)
		return;
	for (uint32_t i = 0; i < m->entries.entries_len; i++)
		ir_suspects_merge(n->suspects, now, &m->entries.entries_val[i]);
}

/* Sends what the peer's process has not been sent yet. */
static void
tell_peer(struct ir_node *n, int64_t now, struct peer *p)
{
	struct ir_suspect entries[REPORT_ENTRIES];
	struct ir_msg m = {.kind = IR_MSG_SUSPECT_REPORT};
	struct ir_suspect_report *out = &m.ir_msg_u.suspect_report;

	/* Also keeps the link, whose loss shows that the process may be new. */
	if (!peer_ensure_link_for_poll(n, now, p) || !p->takes_suspects)
		return;
	out->service = ir_unconst(n->settings.service);
	out->entries.entries_val = entries;
	while (p->suspects_sent < ir_suspects_revision(n->suspects)) {
		uint64_t after = p->suspects_sent;

		out->entries.entries_len = (uint32_t)ir_suspects_changes(
		    n->suspects, now, &after, entries, REPORT_ENTRIES);
		if (out->entries.entries_len > 0 &&
		    peer_send(n, now, p, &m) == 0)
			return;
		p->suspects_sent = after;
	}
}

/* Position of this host among those of its service, or where it would be. */
static size_t
position_of_self(const struct ir_node *n, const struct ir_service *s)
{
	size_t i = 0;

	while (i < s->host_count &&
	       strcmp(s->hosts[i]->name, n->settings.host) <= 0)
		i++;
	return i;
}

void
suspects_tick(struct ir_node *n, int64_t now)
{
	const struct ir_service *s =
	    ir_view_service(node_view(n), n->settings.service);
	size_t told = 0, first;

	if (s == NULL || ir_suspects_is_empty(n->suspects))
		return;
	if (now - n->suspects_expired_us >= EXPIRE_PERIOD_US) {
		n->suspects_expired_us = now;
		ir_suspects_expire(n->suspects, now);
	}
	first = position_of_self(n, s);
	for (size_t i = 0; i < s->host_count && told < MAX_TOLD_HOSTS; i++) {
		const struct ir_host *h = s->hosts[(first + i) % s->host_count];
		struct peer *p = peer_get(n, h->name);

		if (p == NULL || peer_is_self(n, p))
			continue;
		tell_peer(n, now, p);
		told++;
	}
}
