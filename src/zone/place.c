/*
 * Placement by rendezvous hash.
 *
 * The hosts of a zone stand in hash order in the view. Its first live hosts
 * are its readers; the order is also the breadth-first order of the zone's
 * relay tree, whose roots are the readers.
 */
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "zone/place.h"

/* Bijective, from splitmix64. */
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
hash_text(const char *s, uint64_t seed)
{
	return XXH64(s, strlen(s), seed);
}

/* The winner for key among the live hosts given and best; ties by name. */
static const struct ir_host *
winner(struct ir_host *const *hosts, size_t count, uint64_t key,
    const struct ir_host *best)
{
	uint64_t best_score = best ? mix(best->hash ^ key) : 0;

	for (size_t i = 0; i < count; i++) {
		const struct ir_host *h = hosts[i];
		uint64_t score = mix(h->hash ^ key);

		if (h->leaving)
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
has_live(const struct ir_zone *z)
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

/* The live host of that index in the zone, or NULL. */
static const struct ir_host *
live_at(const struct ir_zone *z, size_t index)
{
	for (size_t i = 0; i < z->host_count; i++)
		if (!z->hosts[i]->leaving && index-- == 0)
			return z->hosts[i];
	return NULL;
}

/* How many live hosts stand before h in its zone. */
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

bool
ir_is_reader(const struct ir_view *v, const struct ir_host *h)
{
	const struct ir_zone *z = zone_of(v, h);

	if (!z || h->leaving)
		return false;
	for (size_t i = 0, n = 0; i < z->host_count; i++) {
		if (z->hosts[i]->leaving)
			continue;
		if (n++ == IR_READERS_PER_ZONE)
			break;
		if (strcmp(z->hosts[i]->name, h->name) == 0)
			return true;
	}
	return false;
}

/* Whether the store is in that region, for all that is told. */
static bool
in_store_region(const struct ir_view *v, const char *region)
{
	if (v->store_anywhere)
		return true;
	return v->store_region != NULL && strcmp(region, v->store_region) == 0;
}

size_t
ir_readers(const struct ir_view *v, TALLOC_CTX *mem, struct ir_reader **readers)
{
	const struct ir_host *h;
	struct ir_reader *r;
	size_t n = 0;

	r = talloc_array(
	    mem, struct ir_reader, v->zone_count * IR_READERS_PER_ZONE);
	for (size_t i = 0; i < v->zone_count; i++) {
		for (size_t k = 0; k < IR_READERS_PER_ZONE; k++) {
			h = live_at(&v->zones[i], k);
			if (!h)
				break;
			r[n].name = talloc_strdup(r, h->name);
			r[n++].region = talloc_strdup(r, h->region);
		}
	}
	*readers = r;
	return n;
}

/* Walks the hosts that self may ask, in order, up to the wanted one. */
struct walk {
	const struct ir_view *view;
	const struct ir_host *self;
	uint32_t wanted;
	uint32_t seen;
	const struct ir_host *found;
};

static void
offer(struct walk *w, const struct ir_host *h)
{
	if (w->found || !h || strcmp(h->name, w->self->name) == 0)
		return;
	if (w->seen++ == w->wanted)
		w->found = h;
}

static void
offer_readers(struct walk *w, const struct ir_zone *z)
{
	for (size_t k = 0; k < IR_READERS_PER_ZONE; k++)
		offer(w, live_at(z, k));
}

static void
offer_ancestors(struct walk *w, const struct ir_zone *z)
{
	size_t i = live_index(z, w->self);

	if (w->self->leaving && i < IR_READERS_PER_ZONE)
		return;
	for (int up = 0; up < 2 && i >= IR_READERS_PER_ZONE; up++) {
		i = (i - IR_READERS_PER_ZONE) / IR_RELAY_FANOUT;
		offer(w, live_at(z, i));
	}
}

/* Lower is asked before; the bits say what is missing. */
enum {
	OTHER_ZONE = 1,
	OTHER_REGION = 2,
	WITHOUT_STORE = 4,
	DISTANCES = 8
};

static int
distance(const struct walk *w, const struct ir_zone *z)
{
	int d = 0;

	if (strcmp(z->name, w->self->zone) != 0)
		d |= OTHER_ZONE;
	if (strcmp(z->region, w->self->region) != 0)
		d |= OTHER_REGION;
	if (!in_store_region(w->view, z->region))
		d |= WITHOUT_STORE;
	return d;
}

static void
walk_sources(struct walk *w)
{
	const struct ir_view *v = w->view;
	const struct ir_zone *own = zone_of(v, w->self);
	bool reader = ir_is_reader(v, w->self);
	const struct ir_zone *skip = reader ? NULL : own;

	w->seen = 0;
	if (own && !reader) {
		offer_ancestors(w, own);
		offer_readers(w, own);
	}
	for (int d = 0; d < DISTANCES; d++)
		for (size_t i = 0; i < v->zone_count; i++)
			if (&v->zones[i] != skip &&
			    distance(w, &v->zones[i]) == d)
				offer_readers(w, &v->zones[i]);
}

const struct ir_host *
ir_view_source(
    const struct ir_view *v, const struct ir_host *self, uint32_t try)
{
	struct walk w = {.view = v, .self = self, .wanted = try};

	walk_sources(&w);
	if (w.found || w.seen == 0)
		return w.found;
	w.wanted = try % w.seen;
	walk_sources(&w);
	return w.found;
}

uint32_t
ir_bucket_count(const struct ir_view *v, const struct ir_account *a)
{
	uint64_t tokens = a->burst_mt / 1000;
	uint32_t n = 0;

	for (size_t i = 0; i < v->zone_count; i++)
		n += has_live(&v->zones[i]);
	if (tokens < n)
		n = (uint32_t)tokens;
	return n > 0 ? n : 1;
}

const struct ir_host *
ir_bucket_minter(
    const struct ir_view *v, const struct ir_account *a, uint32_t bucket)
{
	uint64_t account = hash_text(a->name, 0);
	uint64_t key = mix(account + bucket);
	const struct ir_zone *z;
	const struct ir_host *best;

	if (v->zone_count == 0)
		return NULL;
	z = &v->zones[(account % v->zone_count + bucket) % v->zone_count];
	best = winner(z->hosts, z->host_count, key, NULL);
	if (best)
		return best;
	for (size_t i = 0; i < v->zone_count; i++)
		best = winner(
		    v->zones[i].hosts, v->zones[i].host_count, key, best);
	return best;
}

const struct ir_host *
ir_key_host(const struct ir_service *s, const char *account,
    const char *idempotency_key)
{
	uint64_t key = hash_text(idempotency_key, hash_text(account, 0));

	return winner(s->hosts, s->host_count, key, NULL);
}
