/*
 * Placement by rendezvous hash.
 *
 * The view lists the hosts of a zone in hash order. The first live ones are
 * the store readers of the zone. Its relay tree has the readers as roots and
 * the live hosts in breadth-first order, IR_RELAY_FANOUT children each.
 */
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "zone/placement.h"
#include "zone/region_set.h"

/*
 * Regions of more zones have one reader less in each: readers are there for
 * each other when some fail, and each read of the store is paid for.
 */
#define SMALL_REGION_ZONES 2

/* The finalizer of splitmix64, a bijection. */
static uint64_t
mix(uint64_t x)
{
	x ^= x >> 30;
	x *= UINT64_C(0xbf58476d1ce4e5b9);
	x ^= x >> 27;
	x *= UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}

static uint64_t
hash_string(const char *s, uint64_t seed)
{
	return XXH64(s, strlen(s), seed);
}

static bool
is_live(const struct ir_host *h)
{
	return !h->leaving;
}

/*
 * The host with the highest score for key, among those of hosts that may be
 * chosen and best (may be NULL). Of equal scores, the lower name.
 */
static const struct ir_host *
highest_score(struct ir_host *const *hosts, size_t count, uint64_t key,
    bool (*may_be_chosen)(const struct ir_host *h), const struct ir_host *best)
{
	uint64_t best_score = best ? mix(best->hash ^ key) : 0;

	for (size_t i = 0; i < count; i++) {
		const struct ir_host *h = hosts[i];
		uint64_t score = mix(h->hash ^ key);

		if (!may_be_chosen(h))
			continue;
		if (best && (score < best_score ||
				(score == best_score &&
				    strcmp(h->name, best->name) >= 0)))
			continue;
		best = h;
		best_score = score;
	}
	return best;
}

static bool
has_live_host(const struct ir_zone *z)
{
	for (size_t i = 0; i < z->host_count; i++)
		if (!z->hosts[i]->leaving)
			return true;
	return false;
}

static const struct ir_zone *
zone_of(const struct ir_view *v, const struct ir_host *h)
{
	for (size_t i = 0; i < v->zone_count; i++)
		if (strcmp(v->zones[i].name, h->zone) == 0)
			return &v->zones[i];
	return NULL;
}

/* The live host with this index among the live hosts of the zone, or NULL. */
static const struct ir_host *
live_host_at(const struct ir_zone *z, size_t index)
{
	for (size_t i = 0; i < z->host_count; i++)
		if (!z->hosts[i]->leaving && index-- == 0)
			return z->hosts[i];
	return NULL;
}

/* The number of live hosts before h in its zone. */
static size_t
live_index(const struct ir_zone *z, const struct ir_host *h)
{
	size_t n = 0;

	for (size_t i = 0; i < z->host_count; i++) {
		if (strcmp(z->hosts[i]->name, h->name) == 0)
			break;
		n += !z->hosts[i]->leaving;
	}
	return n;
}

/* The most readers of a zone in that region. */
static size_t
max_readers(const struct ir_view *v, const char *region)
{
	size_t zones = 0;

	for (size_t i = 0; i < v->zone_count; i++)
		zones += strcmp(v->zones[i].region, region) == 0;
	return zones <= SMALL_REGION_ZONES ? IR_STORE_READERS_PER_ZONE
					   : IR_STORE_READERS_PER_ZONE - 1;
}

bool
ir_is_store_reader(const struct ir_view *v, const struct ir_host *h)
{
	const struct ir_zone *z = zone_of(v, h);
	size_t index;

	if (z == NULL || h->leaving)
		return false;
	index = live_index(z, h);
	/* Of a host that is not listed, it is the number of live ones. */
	return index < max_readers(v, z->region) &&
	       live_host_at(z, index) != NULL;
}

/*
 * Whether the configuration allows the store to be in that region. True for all
 * regions if the configuration says that the region of the store is unknown.
 */
static bool
may_have_store(const struct ir_view *v, const char *region)
{
	if (v->store_anywhere)
		return true;
	return v->store_region != NULL && strcmp(region, v->store_region) == 0;
}

static size_t
live_reader_count(const struct ir_view *v, const struct ir_zone *z)
{
	size_t n = 0, most = max_readers(v, z->region);

	while (n < most && live_host_at(z, n) != NULL)
		n++;
	return n;
}

size_t
ir_store_reader_rank(const struct ir_view *v, const struct ir_host *h)
{
	size_t rank = 0;

	for (size_t i = 0; i < v->zone_count; i++) {
		const struct ir_zone *z = &v->zones[i];

		if (strcmp(z->region, h->region) != 0)
			continue;
		if (strcmp(z->name, h->zone) == 0 && ir_is_store_reader(v, h))
			return rank + live_index(z, h);
		rank += live_reader_count(v, z);
	}
	return rank;
}

size_t
ir_relay_rank(const struct ir_view *v, const struct ir_host *h)
{
	const struct ir_zone *z = zone_of(v, h);
	size_t index = z != NULL ? live_index(z, h) : 0;
	size_t readers = max_readers(v, h->region);

	return index > readers ? index - readers : 0;
}

const struct ir_host *
ir_deputy(
    const struct ir_view *v, const struct ir_host *reader, uint32_t attempt)
{
	const struct ir_zone *z = zone_of(v, reader);
	size_t first, count = 0;

	if (z == NULL)
		return NULL;
	first = max_readers(v, z->region);
	while (count < IR_DEPUTIES_PER_ZONE &&
	       live_host_at(z, first + count) != NULL)
		count++;
	if (count == 0)
		return NULL;
	return live_host_at(
	    z, first + (live_index(z, reader) + attempt) % count);
}

size_t
ir_store_readers(
    const struct ir_view *v, TALLOC_CTX *mem, struct ir_store_reader **readers)
{
	const struct ir_host *h;
	struct ir_store_reader *r;
	size_t n = 0;

	r = talloc_array(mem, struct ir_store_reader,
	    v->zone_count * IR_STORE_READERS_PER_ZONE);
	for (size_t i = 0; i < v->zone_count; i++) {
		size_t count = live_reader_count(v, &v->zones[i]);

		for (size_t k = 0; k < count; k++) {
			h = live_host_at(&v->zones[i], k);
			r[n].name = talloc_strdup(r, h->name);
			r[n++].region = talloc_strdup(r, h->region);
		}
	}
	*readers = r;
	return n;
}

/*
 * Visits the hosts from which self may request its view, in order, to find the
 * one with index target.
 */
struct source_search {
	const struct ir_view *view;
	const struct ir_host *self;
	uint32_t target;
	uint32_t visited;
	const struct ir_host *found;
};

static void
visit(struct source_search *s, const struct ir_host *h)
{
	if (s->found || !h || strcmp(h->name, s->self->name) == 0)
		return;
	if (s->visited++ == s->target)
		s->found = h;
}

static void
visit_readers(struct source_search *s, const struct ir_zone *z)
{
	size_t most = max_readers(s->view, z->region);

	for (size_t k = 0; k < most; k++)
		visit(s, live_host_at(z, k));
}

static void
visit_ancestors(struct source_search *s, const struct ir_zone *z)
{
	size_t i = live_index(z, s->self);
	size_t readers = max_readers(s->view, z->region);

	if (s->self->leaving && i < readers)
		return;
	for (int level = 0; level < 2 && i >= readers; level++) {
		i = (i - readers) / IR_RELAY_FANOUT;
		visit(s, live_host_at(z, i));
	}
}

/* A zone of lower distance is asked first. */
enum {
	OTHER_ZONE = 1,
	OTHER_REGION = 2,
	NO_STORE = 4,
	DISTANCE_COUNT = 8
};

static int
distance(const struct source_search *s, const struct ir_zone *z)
{
	int d = 0;

	if (strcmp(z->name, s->self->zone) != 0)
		d |= OTHER_ZONE;
	if (strcmp(z->region, s->self->region) != 0)
		d |= OTHER_REGION;
	if (!may_have_store(s->view, z->region))
		d |= NO_STORE;
	return d;
}

static void
visit_sources(struct source_search *s)
{
	const struct ir_view *v = s->view;
	const struct ir_zone *own = zone_of(v, s->self);
	bool is_reader = ir_is_store_reader(v, s->self);
	const struct ir_zone *skip = is_reader ? NULL : own;

	s->visited = 0;
	if (own && !is_reader) {
		visit_ancestors(s, own);
		visit_readers(s, own);
	}
	for (int d = 0; d < DISTANCE_COUNT; d++)
		for (size_t i = 0; i < v->zone_count; i++)
			if (&v->zones[i] != skip &&
			    distance(s, &v->zones[i]) == d)
				visit_readers(s, &v->zones[i]);
}

const struct ir_host *
ir_view_source(
    const struct ir_view *v, const struct ir_host *self, uint32_t attempt)
{
	struct source_search s = {.view = v, .self = self, .target = attempt};

	visit_sources(&s);
	if (s.found || s.visited == 0)
		return s.found;
	s.target = attempt % s.visited;
	visit_sources(&s);
	return s.found;
}

uint32_t
ir_bucket_count(const struct ir_view *v, const struct ir_account *a)
{
	uint64_t tokens = a->burst_mt / 1000;
	uint32_t n = 0;

	for (size_t i = 0; i < v->zone_count; i++)
		n += has_live_host(&v->zones[i]);
	if (tokens < n)
		n = (uint32_t)tokens;
	return n > 0 ? n : 1;
}

const struct ir_host *
ir_bucket_issuer(
    const struct ir_view *v, const struct ir_account *a, uint32_t bucket)
{
	uint64_t account = hash_string(a->name, 0);
	uint64_t key = mix(account + bucket);
	const struct ir_zone *z;
	const struct ir_host *best;

	if (v->zone_count == 0)
		return NULL;
	z = &v->zones[(account % v->zone_count + bucket) % v->zone_count];
	best = highest_score(z->hosts, z->host_count, key, is_live, NULL);
	if (best)
		return best;
	for (size_t i = 0; i < v->zone_count; i++)
		best = highest_score(v->zones[i].hosts, v->zones[i].host_count,
		    key, is_live, best);
	return best;
}

const struct ir_host *
ir_idempotency_key_host(const struct ir_service *s, const char *const *regions,
    const char *account, const char *idempotency_key)
{
	uint64_t key = hash_string(idempotency_key, hash_string(account, 0));
	const struct ir_host *best = NULL;

	for (size_t i = 0; i < s->host_count; i++) {
		if (ir_region_set_has(regions, s->hosts[i]->region))
			best = highest_score(
			    &s->hosts[i], 1, key, ir_host_takes_requests, best);
	}
	return best;
}
