/* What this node has seen of other hosts. */
#include "zone/seen.h"

#include "ibisrail/limits.h"
#include "upstream/priority.h"

/* Five heartbeats of a link in use. */
#define LOAD_VALID_US IR_US_PER_S
#define MIN_BACKOFF_US (200 * IR_US_PER_MS)
#define MAX_BACKOFF_US (2 * IR_US_PER_S)

/* uthash's macros count as size of the function that uses them. */
/* NOLINTBEGIN(readability-function-size) */
struct ir_seen *
ir_seen_find(const struct ir_seen_table *t, const char *host)
{
	struct ir_seen *s;

	HASH_FIND_STR(t->hosts, host, s);
	return s;
}

static void
add_host(struct ir_seen_table *t, struct ir_seen *s)
{
	HASH_ADD_KEYPTR(hh, t->hosts, s->host, strlen(s->host), s);
}

static struct ir_seen_level *
find_level(const struct ir_seen *s, const char *account)
{
	struct ir_seen_level *l;

	HASH_FIND_STR(s->levels, account, l);
	return l;
}

static void
add_level(struct ir_seen *s, struct ir_seen_level *l)
{
	HASH_ADD_KEYPTR(hh, s->levels, l->account, strlen(l->account), l);
}
/* NOLINTEND(readability-function-size) */

static int
free_levels(struct ir_seen *s)
{
	HASH_CLEAR(hh, s->levels);
	return 0;
}

static int
free_hosts(struct ir_seen_table *t)
{
	HASH_CLEAR(hh, t->hosts);
	return 0;
}

struct ir_seen_table *
ir_seen_new(TALLOC_CTX *mem)
{
	struct ir_seen_table *t = talloc_zero(mem, struct ir_seen_table);

	if (t != NULL)
		talloc_set_destructor(t, free_hosts);
	return t;
}

struct ir_seen *
ir_seen_get(struct ir_seen_table *t, const char *host)
{
	struct ir_seen *s = ir_seen_find(t, host);

	if (s != NULL)
		return s;
	s = talloc_zero(t, struct ir_seen);
	if (s == NULL)
		return NULL;
	s->host = talloc_strdup(s, host);
	if (s->host == NULL) {
		talloc_free(s);
		return NULL;
	}
	talloc_set_destructor(s, free_levels);
	add_host(t, s);
	return s;
}

void
ir_seen_load(struct ir_seen *s, int64_t now, const struct ir_load *load)
{
	s->has_load = true;
	s->load = *load;
	s->load_us = now;
	s->outstanding_then = s->outstanding;
}

void
ir_seen_level(
    struct ir_seen *s, int64_t now, const char *account, uint32_t level)
{
	struct ir_seen_level *l = find_level(s, account);

	if (l == NULL) {
		l = talloc_zero(s, struct ir_seen_level);
		if (l == NULL)
			return;
		l->account = talloc_strdup(l, account);
		if (l->account == NULL) {
			talloc_free(l);
			return;
		}
		add_level(s, l);
	}
	l->level = level;
	l->at_us = now;
}

void
ir_seen_lost(struct ir_seen *s, int64_t now)
{
	s->unreachable = true;
	s->has_load = false;
	s->backoff_us *= 2;
	if (s->backoff_us < MIN_BACKOFF_US)
		s->backoff_us = MIN_BACKOFF_US;
	if (s->backoff_us > MAX_BACKOFF_US)
		s->backoff_us = MAX_BACKOFF_US;
	s->try_us = now + s->backoff_us;
}

/* It may have restarted: what it reported before says nothing. */
void
ir_seen_greeted(struct ir_seen *s)
{
	struct ir_seen_level *l, *tmp;

	s->unreachable = false;
	s->backoff_us = 0;
	s->has_load = false;
	HASH_ITER (hh, s->levels, l, tmp) {
		HASH_DEL(s->levels, l);
		talloc_free(l);
	}
}

void
ir_seen_tried(struct ir_seen *s, int64_t now)
{
	if (s->unreachable)
		s->try_us = now + s->backoff_us;
}

bool
ir_seen_may_try(const struct ir_seen *s, int64_t now)
{
	if (s == NULL)
		return true;
	if (s->has_load && s->load.leaving)
		return false;
	return !s->unreachable || now >= s->try_us;
}

/* The report counts requests of this node too, those then out. */
double
ir_seen_use(const struct ir_seen *s, int64_t now, uint32_t slots)
{
	uint32_t limit = slots > 0 ? slots : 1;
	uint32_t held;

	if (s == NULL)
		return 0;
	if (!s->has_load || now - s->load_us > LOAD_VALID_US)
		return (double)s->outstanding / limit;
	if (s->load.limit > 0)
		limit = s->load.limit;
	held = s->load.running + s->load.queued;
	if (s->outstanding > s->outstanding_then)
		held += s->outstanding - s->outstanding_then;
	if (held < s->outstanding)
		held = s->outstanding;
	return (double)held / limit;
}

uint32_t
ir_seen_shed_level(const struct ir_seen *s, int64_t now, const char *account,
    int64_t max_age_us)
{
	const struct ir_seen_level *l;

	if (s == NULL)
		return 0;
	l = find_level(s, account);
	if (l != NULL && now - l->at_us <= max_age_us)
		return l->level;
	if (s->has_load && now - s->load_us <= max_age_us)
		return s->load.shed_level & ~IR_RANK_MASK;
	return 0;
}

static void
trim_levels(struct ir_seen *s, const struct ir_view *v)
{
	struct ir_seen_level *l, *tmp;

	HASH_ITER (hh, s->levels, l, tmp) {
		if (l->account[0] == '\0' ||
		    ir_view_account(v, l->account) != NULL)
			continue;
		HASH_DEL(s->levels, l);
		talloc_free(l);
	}
}

/* A host that is not chosen is not heard: the list tells that it is back. */
static void
follow_list(struct ir_seen *s, const struct ir_host *h)
{
	if (s->listed_leaving && !h->leaving)
		s->has_load = false;
	s->listed_leaving = h->leaving;
}

void
ir_seen_trim(struct ir_seen_table *t, const struct ir_view *v)
{
	const struct ir_host *h;
	struct ir_seen *s, *tmp;

	HASH_ITER (hh, t->hosts, s, tmp) {
		h = ir_view_host(v, s->host);
		trim_levels(s, v);
		if (h != NULL) {
			follow_list(s, h);
			continue;
		}
		HASH_DEL(t->hosts, s);
		talloc_free(s);
	}
}
