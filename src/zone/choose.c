/* Choice of the host for a request. */
#include <string.h>

#include "core/random.h"
#include "ibisrail/limits.h"
#include "zone/choose.h"
#include "zone/seen.h"

/* Shed levels older than this are forgotten; jittered, so that the callers'
 * nodes don't come back all at once. */
#define MIN_LEVEL_AGE_US (150 * IR_US_PER_MS)
#define MAX_LEVEL_AGE_US (200 * IR_US_PER_MS)
/* One request in so many is sent though its level says shed. */
#define PROBE_DIVISOR 32
#define SHED_SHARE_WEIGHT (1.0 / 64)
#define RETRY_BASE_MS 100
#define MAX_RETRY_MS 5000
#define LINK_BURST_US IR_US_PER_S
#define MAX_LINK_FILL_US (3600 * IR_US_PER_S)

enum tier {
	SAME_ZONE,
	SAME_REGION,
	OTHER_REGION,
	TIER_COUNT
};

/* A sample of two of the hosts that are alike. */
struct sample {
	uint32_t count;
	const struct ir_host *host[2];
	double use[2];
};

struct ir_chooser {
	uint64_t random;
	struct ir_seen_table *seen;
	double shed_share; /* of recent choices */
	/* Byte budget of the link to the other region; may be overdrawn by one
	 * request. */
	int64_t link_bytes;
	int64_t link_filled_us;
};

/* One choice in progress. */
struct choice {
	struct ir_chooser *chooser;
	int64_t now;
	const struct ir_host *self;
	const struct ir_want *want;
	uint32_t slots;
	int64_t level_age_us;
	bool probe;
	bool shed; /* some host sheds the request */
	struct sample open[TIER_COUNT];
	struct sample saturated[TIER_COUNT];
};

struct ir_chooser *
ir_chooser_new(TALLOC_CTX *mem, uint64_t seed)
{
	struct ir_chooser *c = talloc_zero(mem, struct ir_chooser);

	if (c == NULL)
		return NULL;
	c->random = seed;
	c->link_filled_us = INT64_MIN / 2;
	c->seen = ir_seen_new(c);
	if (c->seen == NULL) {
		talloc_free(c);
		return NULL;
	}
	return c;
}

static enum tier
tier_of(const struct ir_host *self, const struct ir_host *h)
{
	if (strcmp(self->region, h->region) != 0)
		return OTHER_REGION;
	return strcmp(self->zone, h->zone) == 0 ? SAME_ZONE : SAME_REGION;
}

static bool
excluded(const struct ir_want *w, const struct ir_host *h)
{
	for (size_t i = 0; i < w->exclude_count; i++) {
		if (strcmp(w->exclude[i], h->name) == 0)
			return true;
	}
	return false;
}

/* Keeps two of all that are added, each pair as likely (reservoir). */
static void
add(struct sample *s, uint64_t *random, const struct ir_host *h, double use)
{
	uint32_t at = s->count++;

	if (at >= 2)
		at = ir_random_below(random, s->count);
	if (at >= 2)
		return;
	s->host[at] = h;
	s->use[at] = use;
}

static const struct ir_host *
better(const struct sample *s, uint64_t *random)
{
	uint32_t first = s->count > 1 ? ir_random_below(random, 2) : 0;
	uint32_t other = s->count > 1 ? 1 - first : 0;

	return s->use[other] < s->use[first] ? s->host[other] : s->host[first];
}

static void
consider(struct choice *c, const struct ir_host *h)
{
	const struct ir_seen *s = ir_seen_find(c->chooser->seen, h->name);
	enum tier tier = tier_of(c->self, h);
	double use;

	if (h->leaving || excluded(c->want, h) || !ir_seen_may_try(s, c->now))
		return;
	if (c->want->priority < ir_seen_shed_level(s, c->now, c->want->account,
				    c->level_age_us) &&
	    !c->probe) {
		c->shed = true;
		return;
	}
	use = ir_seen_use(s, c->now, h->slots != 0 ? h->slots : c->slots);
	add(use < 1 ? &c->open[tier] : &c->saturated[tier], &c->chooser->random,
	    h, use);
}

static uint64_t
region_hosts(const struct ir_view *v, const char *region)
{
	uint64_t n = 0;

	for (size_t i = 0; i < v->zone_count; i++) {
		if (strcmp(v->zones[i].region, region) == 0)
			n += v->zones[i].host_count;
	}
	return n > 0 ? n : 1;
}

/* This node's share of the link; true while it isn't overdrawn. */
static bool
fill_link(struct ir_chooser *c, int64_t now, const struct ir_view *v,
    const struct ir_host *self)
{
	uint64_t share = v->link_bytes_per_s / region_hosts(v, self->region);
	int64_t rate = (int64_t)share;
	int64_t burst = rate * LINK_BURST_US / IR_US_PER_S;
	int64_t bytes;

	if (rate == 0)
		return false;
	if (now - c->link_filled_us > MAX_LINK_FILL_US) {
		c->link_filled_us = now;
		c->link_bytes = burst;
	}
	bytes = (now - c->link_filled_us) * rate / IR_US_PER_S;
	c->link_filled_us += bytes * IR_US_PER_S / rate;
	c->link_bytes += bytes;
	if (c->link_bytes > burst)
		c->link_bytes = burst;
	return c->link_bytes > 0;
}

/* Near before far, and room before saturation. */
static const struct ir_host *
pick(const struct choice *c, int tiers)
{
	uint64_t *random = &c->chooser->random;

	for (int t = 0; t < tiers; t++) {
		if (c->open[t].count > 0)
			return better(&c->open[t], random);
	}
	for (int t = 0; t < tiers; t++) {
		if (c->saturated[t].count > 0)
			return better(&c->saturated[t], random);
	}
	return NULL;
}

static void
count_choice(struct ir_chooser *c, bool shed)
{
	c->shed_share += SHED_SHARE_WEIGHT * ((shed ? 1 : 0) - c->shed_share);
}

/* Longer the more is shed, and spread out. */
static uint32_t
retry_ms(struct ir_chooser *c)
{
	double spread = 0.5 + (double)ir_random_below(&c->random, 1000) / 1000;
	double ms = RETRY_BASE_MS * spread / (1.001 - c->shed_share);

	return ms < MAX_RETRY_MS ? (uint32_t)ms : MAX_RETRY_MS;
}

static void
begin(struct choice *ch, const struct ir_service *s)
{
	uint64_t *random = &ch->chooser->random;
	uint32_t spread_us = MAX_LEVEL_AGE_US - MIN_LEVEL_AGE_US;

	ch->slots = s->slots;
	ch->level_age_us =
	    MIN_LEVEL_AGE_US + ir_random_below(random, spread_us);
	ch->probe = ir_random_below(random, PROBE_DIVISOR) == 0;
	for (size_t i = 0; i < s->host_count; i++)
		consider(ch, s->hosts[i]);
}

enum ir_choice
ir_choose(struct ir_chooser *c, int64_t now, const struct ir_view *v,
    const struct ir_host *self, const struct ir_want *w,
    const struct ir_host **host, uint32_t *retry_after_ms)
{
	const struct ir_service *s = ir_view_service(v, w->service);
	struct choice ch = {.chooser = c, .now = now, .self = self, .want = w};
	struct ir_seen *seen;
	bool link;

	*host = NULL;
	*retry_after_ms = 0;
	if (s == NULL)
		return IR_CHOICE_NONE;
	begin(&ch, s);
	link = fill_link(c, now, v, self);
	*host = pick(&ch, link ? TIER_COUNT : OTHER_REGION);
	if (*host != NULL) {
		count_choice(c, false);
		seen = ir_seen_find(c->seen, (*host)->name);
		if (seen != NULL)
			ir_seen_tried(seen, now);
		return IR_CHOSEN;
	}
	if (!ch.shed && pick(&ch, TIER_COUNT) == NULL)
		return IR_CHOICE_NONE;
	count_choice(c, true);
	*retry_after_ms = retry_ms(c);
	return IR_CHOICE_SHED;
}

void
ir_chooser_sent(struct ir_chooser *c, int64_t now, const char *host,
    bool other_region, uint32_t bytes)
{
	struct ir_seen *s = ir_seen_get(c->seen, host);

	if (s != NULL)
		s->outstanding++;
	if (other_region)
		c->link_bytes -= bytes;
}

void
ir_chooser_done(struct ir_chooser *c, int64_t now, const char *host,
    const char *account, const struct ir_load *load, int64_t latency_us)
{
	struct ir_seen *s = ir_seen_find(c->seen, host);

	if (s == NULL)
		return;
	if (s->outstanding > 0)
		s->outstanding--;
	if (load == NULL)
		return;
	ir_seen_load(s, now, load);
	ir_seen_level(s, now, account, load->account_shed_level);
}

void
ir_chooser_heard(struct ir_chooser *c, int64_t now, const char *host,
    const struct ir_load *load)
{
	struct ir_seen *s = ir_seen_get(c->seen, host);

	if (s != NULL)
		ir_seen_load(s, now, load);
}

void
ir_chooser_reachable(
    struct ir_chooser *c, int64_t now, const char *host, bool reachable)
{
	struct ir_seen *s = ir_seen_get(c->seen, host);

	if (s == NULL)
		return;
	if (reachable)
		ir_seen_greeted(s);
	else
		ir_seen_lost(s, now);
}

void
ir_chooser_trim(struct ir_chooser *c, const struct ir_view *v)
{
	ir_seen_trim(c->seen, v);
}

const struct ir_load *
ir_chooser_load(
    const struct ir_chooser *c, int64_t now, const char *host, int64_t *age_us)
{
	const struct ir_seen *s = ir_seen_find(c->seen, host);

	if (s == NULL || !s->has_load)
		return NULL;
	*age_us = now - s->load_us;
	return &s->load;
}
