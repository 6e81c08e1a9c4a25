/*
 * Load balancer: picks the host for a request to a service.
 *
 * Hosts of the same zone come before those of the same region, and these
 * before those of the other region, which are used only within the byte
 * budget of the link between regions. Among hosts of equal distance, two are
 * drawn at random and the one with the lower utilization is taken. Nearer
 * hosts that are saturated or shed the request are passed over while farther
 * ones have capacity. If a host has reported the speed of its upstream, the
 * expected time until the request is done decides instead, of two hosts at
 * random for each distance. See docs/design/choice.md.
 */
#ifndef IR_ZONE_BALANCER_H
#define IR_ZONE_BALANCER_H

#include "host/view.h"
#include "link/peer.h"
#include "upstream/statement.h"

struct ir_balancer;

/* The request that a host is picked for. */
struct ir_pick_criteria {
	const char *service;
	const char *account;
	uint32_t priority; /* ir_priority() */
	uint32_t request_bytes;
	const char *const *excluded_hosts; /* names of hosts tried already */
	size_t excluded_count;
	/* Hosts elsewhere are left out; ends with NULL, or NULL: none is. */
	const char *const *regions;
};

enum ir_pick_result {
	IR_PICK_OK,
	IR_PICK_SHED, /* some host sheds this priority and no other can take
			 it, or only the other region is left and the budget
			 of its link is spent */
	/*
	 * No host is live, reachable, untried, in an allowed region and in a
	 * zone that is not evacuated.
	 */
	IR_PICK_NO_HOST
};

/* seed of the random choices. NULL if out of memory. */
struct ir_balancer *ir_balancer_new(TALLOC_CTX *mem, uint64_t seed);

/*
 * Picks a host of the view for a request of the host self. *host is set to the
 * host on IR_PICK_OK and to NULL otherwise; *retry_after_ms is set to the time
 * after which to retry on IR_PICK_SHED and to 0 otherwise.
 */
enum ir_pick_result ir_balancer_pick(struct ir_balancer *b, int64_t now,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_pick_criteria *criteria, const struct ir_host **host,
    uint32_t *retry_after_ms);

/*
 * A request is about to be sent to the host. If it is unreachable, no other is
 * sent there before its backoff is over.
 */
void ir_balancer_host_tried(
    struct ir_balancer *b, int64_t now, const char *host);
/*
 * A request of this size was sent to the host. If the host is in the other
 * region, the bytes are taken from the budget of the link.
 */
void ir_balancer_request_sent(struct ir_balancer *b, int64_t now,
    const char *host, bool other_region, uint32_t bytes);
/*
 * A request that was sent has ended. load is the host's report on the reply;
 * NULL if there was no reply.
 */
void ir_balancer_request_done(struct ir_balancer *b, int64_t now,
    const char *host, const char *account, const struct ir_load *load,
    int64_t latency_us);
/* A heartbeat brought a load report. */
void ir_balancer_load_reported(struct ir_balancer *b, int64_t now,
    const char *host, const struct ir_load *load);
/*
 * An answer of the host's upstream to a request sent at sent_us passed through
 * this node, and said this of the upstream.
 */
void ir_balancer_upstream_said(struct ir_balancer *b, int64_t now,
    const struct ir_host *h, int64_t sent_us, const struct ir_statement *said);
/*
 * Whether answers of the host's upstream said something that still holds; sets
 * *notice to it, valid until the next call of another function.
 */
bool ir_balancer_upstream_notice(const struct ir_balancer *b, int64_t now,
    const char *host, struct ir_upstream_notice *notice);
/* The link to a host is up (true) or was lost (false). */
void ir_balancer_set_reachable(
    struct ir_balancer *b, int64_t now, const char *host, bool reachable);
/*
 * The process of a host, as it was just connected, handles requests with
 * allowed regions or not. If not, it is left out of the choice for these until
 * its connection has ended.
 */
void ir_balancer_set_takes_regions(
    struct ir_balancer *b, const char *host, bool takes);
/* Follows a new view: drops the status of hosts that it does not list. */
void ir_balancer_apply_view(
    struct ir_balancer *b, int64_t now, const struct ir_view *v);

/*
 * Returns the load last reported by a host and sets *age_us to the time since
 * it was received. Returns NULL and leaves *age_us unset if no load is known.
 */
const struct ir_load *ir_balancer_host_load(const struct ir_balancer *b,
    int64_t now, const char *host, int64_t *age_us);

#endif
