/*
 * Choice of the host for a request: same zone, then same region, then the
 * other region within the byte budget of the link between regions; among
 * those, two random choices compared by load seen and reported. Nearer hosts
 * that are saturated or shed the request are passed over while farther ones
 * have room. See docs/design/choice.md.
 */
#ifndef IR_ZONE_CHOOSE_H
#define IR_ZONE_CHOOSE_H

#include "host/view.h"
#include "link/peer.h"

struct ir_chooser;

/* What is wanted of the host. */
struct ir_want {
	const char *service;
	const char *account;
	uint32_t priority; /* ir_priority() */
	uint32_t request_bytes;
	const char *const *exclude; /* hosts tried already */
	size_t exclude_count;
};

/* Why no host was chosen. */
enum ir_choice {
	IR_CHOSEN,
	IR_CHOICE_SHED, /* every host sheds this priority, or only the other
			   region is left and its link's budget is spent */
	IR_CHOICE_NONE	/* none is live, reachable and untried */
};

struct ir_chooser *ir_chooser_new(TALLOC_CTX *mem, uint64_t seed);

enum ir_choice ir_choose(struct ir_chooser *c, int64_t now,
    const struct ir_view *v, const struct ir_host *self,
    const struct ir_want *w, const struct ir_host **host,
    uint32_t *retry_after_ms);

/* Bookkeeping of what this node has out at a host. */
void ir_chooser_sent(struct ir_chooser *c, int64_t now, const char *host,
    bool other_region, uint32_t bytes);
void ir_chooser_done(struct ir_chooser *c, int64_t now, const char *host,
    const char *account, const struct ir_load *load, int64_t latency_us);
/* Load that came without an answer, on a heartbeat. */
void ir_chooser_heard(struct ir_chooser *c, int64_t now, const char *host,
    const struct ir_load *load);
/* The link to a host was lost (false) or greeted again (true). */
void ir_chooser_reachable(
    struct ir_chooser *c, int64_t now, const char *host, bool reachable);
/* Forgets hosts that the view no longer names. */
void ir_chooser_trim(struct ir_chooser *c, const struct ir_view *v);

/* Load last seen of a host with its age; NULL when none. */
const struct ir_load *ir_chooser_load(
    const struct ir_chooser *c, int64_t now, const char *host, int64_t *age_us);

#endif
