/* Items of the host list and the sections made of them. */
#include <string.h>

#include "core/table.h"
#include "io/message.h"
#include "io/store/host_items.h"

struct item {
	char *key;
	char *section;
	char *text;
	uint64_t revision;
	uint64_t created_revision;
	int64_t upstream_started_ms;
	uint64_t last_full_read; /* last full read that had the item */
	bool removed;		 /* freed by the next free_removed() */
	bool removal_delayed;	 /* not before removal_due_us */
	int64_t removal_due_us;	 /* 0: not known yet */
	bool unreadable;	 /* cannot be decoded */
	bool changed;		 /* since it was last passed on */
	/* Read from a restored store, not used yet; NULL: none. */
	char *restored_section;
	char *restored_text;
	uint64_t restored_created;
	int64_t restored_started_ms;
	UT_hash_handle hh;
};

/* A section: the item that it is made from, and the text last passed on. */
struct published_section {
	char *name;
	struct item *newest; /* set by choose_newest(); NULL: removed */
	char *text;	     /* last passed on; NULL: never */
	uint64_t created_revision;
	UT_hash_handle hh;
};

struct ir_host_items {
	struct item *items;
	struct published_section *published;
	uint64_t full_read_count;
	uint64_t published_revision; /* highest of a change passed on */
	bool in_recovery_read;	     /* in the first read after a failure */
	bool in_restored_read;	     /* in the first read of a restored store */
	int64_t grace_us;	     /* after the last failure */
	int64_t grace_end_us;
};

static int
free_host_items(struct ir_host_items *h)
{
	HASH_CLEAR(hh, h->items);
	HASH_CLEAR(hh, h->published);
	return 0;
}

struct ir_host_items *
ir_host_items_new(TALLOC_CTX *mem)
{
	struct ir_host_items *h = talloc_zero(mem, struct ir_host_items);

	if (h != NULL)
		talloc_set_destructor(h, free_host_items);
	return h;
}

void
ir_host_items_begin_full_read(struct ir_host_items *h)
{
	h->full_read_count++;
}

static struct item *
find_or_add_item(struct ir_host_items *h, const char *key)
{
	struct item *i;

	HASH_FIND_STR(h->items, key, i);
	if (i != NULL)
		return i;
	i = ir_check_alloc(talloc_zero(h, struct item));
	i->key = ir_text_copy(i, key);
	HASH_ADD_KEYPTR(hh, h->items, i->key, strlen(i->key), i);
	return i;
}

static void
set_item(struct item *i, const struct ir_store_item *in)
{
	char *old_section = i->section, *old_text = i->text;

	i->section = ir_text_copy(i, in->section);
	i->text = ir_text_copy(i, in->text);
	i->created_revision = in->created_revision;
	i->upstream_started_ms = in->upstream_started_ms;
	i->changed = true;
	talloc_free(old_section);
	talloc_free(old_text);
}

static bool
is_unchanged(const struct item *i, const struct ir_store_item *in)
{
	return i->text != NULL && i->created_revision == in->created_revision &&
	       i->upstream_started_ms == in->upstream_started_ms &&
	       strcmp(i->text, in->text) == 0 &&
	       strcmp(i->section, in->section) == 0;
}

void
ir_host_items_store_recovered(struct ir_host_items *h, int64_t outage_us)
{
	h->in_recovery_read = true;
	if (h->in_restored_read || outage_us > IR_REMOVAL_GRACE_US)
		outage_us = IR_REMOVAL_GRACE_US;
	h->grace_us = outage_us;
}

int64_t
ir_host_items_grace_us(const struct ir_host_items *h)
{
	return h->grace_us;
}

void
ir_host_items_store_restored(struct ir_host_items *h)
{
	h->in_recovery_read = true;
	h->in_restored_read = true;
	h->grace_us = IR_REMOVAL_GRACE_US;
}

static void
drop_restored(struct item *i)
{
	TALLOC_FREE(i->restored_section);
	TALLOC_FREE(i->restored_text);
}

static void
set_restored(struct item *i, const struct ir_store_item *in)
{
	i->restored_section = ir_text_copy(i, in->section);
	i->restored_text = ir_text_copy(i, in->text);
	i->restored_created = in->created_revision;
	i->restored_started_ms = in->upstream_started_ms;
}

/* Uses what the restored store has and nobody wrote again. */
static void
use_restored(struct ir_host_items *h)
{
	struct item *i, *next;

	HASH_ITER (hh, h->items, i, next) {
		struct ir_store_item in = {.section = i->restored_section,
		    .text = i->restored_text,
		    .created_revision = i->restored_created,
		    .upstream_started_ms = i->restored_started_ms};

		if (i->restored_text != NULL)
			set_item(i, &in);
		drop_restored(i);
	}
}

/* A removal found by the read in progress. */
static void
mark_removed(struct ir_host_items *h, struct item *i)
{
	if (!i->removed) {
		i->removal_delayed = h->in_recovery_read;
		i->removal_due_us = 0;
	}
	i->removed = true;
}

bool
ir_host_items_put(struct ir_host_items *h, const struct ir_store_item *in)
{
	struct item *i = find_or_add_item(h, in->key);
	bool was_unreadable = i->unreadable;

	i->last_full_read = h->full_read_count;
	i->revision = in->revision;
	i->unreadable = in->section == NULL;
	drop_restored(i);
	if (in->section == NULL || in->text[0] == '\0') {
		mark_removed(h, i);
	} else {
		i->removed = false;
		if (is_unchanged(i, in))
			return false;
		if (h->in_restored_read)
			set_restored(i, in);
		else
			set_item(i, in);
	}
	return i->unreadable && !was_unreadable;
}

void
ir_host_items_end_full_read(struct ir_host_items *h)
{
	struct item *i, *next;

	HASH_ITER (hh, h->items, i, next) {
		if (i->last_full_read != h->full_read_count)
			mark_removed(h, i);
	}
}

static void
free_removed(struct ir_host_items *h, int64_t now)
{
	struct item *i, *next;

	HASH_ITER (hh, h->items, i, next) {
		if (!i->removed || (i->removal_delayed && i->text != NULL &&
				       now < i->removal_due_us))
			continue;
		TALLOC_FREE(i->text);
		/* Kept while the store has it, so that it is logged once. */
		if (i->unreadable && i->last_full_read == h->full_read_count)
			continue;
		HASH_DEL(h->items, i);
		talloc_free(i);
	}
}

static struct published_section *
find_or_add_published(struct ir_host_items *h, const char *name)
{
	struct published_section *s;

	HASH_FIND_STR(h->published, name, s);
	if (s != NULL)
		return s;
	s = ir_check_alloc(talloc_zero(h, struct published_section));
	s->name = ir_text_copy(s, name);
	HASH_ADD_KEYPTR(hh, h->published, s->name, strlen(s->name), s);
	return s;
}

/*
 * Whether a describes a later upstream than b. A delayed heartbeat of an
 * upstream that has ended may create its item anew, so that the time of the
 * upstream's start goes before the creation of the item.
 */
static bool
is_newer(const struct item *a, const struct item *b)
{
	if (a->upstream_started_ms != 0 && b->upstream_started_ms != 0 &&
	    a->upstream_started_ms != b->upstream_started_ms)
		return a->upstream_started_ms > b->upstream_started_ms;
	return a->created_revision > b->created_revision;
}

/* Finds the item of the newest upstream for each section. */
static void
choose_newest(struct ir_host_items *h)
{
	struct item *i, *next_item;
	struct published_section *s, *next_section;

	HASH_ITER (hh, h->published, s, next_section) {
		s->newest = NULL;
	}
	HASH_ITER (hh, h->items, i, next_item) {
		if (i->text == NULL)
			continue;
		s = find_or_add_published(h, i->section);
		if (s->newest == NULL || is_newer(i, s->newest))
			s->newest = i;
	}
}

static void
add_section(struct ir_store_read *r, struct ir_section *list, const char *name,
    const char *text, uint64_t revision)
{
	struct ir_section *to = &list[r->section_count++];

	to->name = ir_text_copy(list, name);
	to->text = ir_text_copy(list, text);
	to->revision = revision;
}

/*
 * A change that was undone before it was read counts too: another host may have
 * read the text in between.
 */
static bool
is_published(const struct published_section *s)
{
	return s->text != NULL && !s->newest->changed &&
	       s->created_revision == s->newest->created_revision &&
	       strcmp(s->text, s->newest->text) == 0;
}

static void
publish(struct ir_host_items *h, struct published_section *s,
    struct ir_store_read *r, struct ir_section *list)
{
	uint64_t revision = s->newest->revision;

	s->newest->changed = false;
	talloc_free(s->text);
	s->text = ir_text_copy(s, s->newest->text);
	s->created_revision = s->newest->created_revision;
	add_section(r, list, s->name, s->text, revision);
	if (revision > h->published_revision)
		h->published_revision = revision;
}

static void
publish_removal(struct ir_host_items *h, struct published_section *s,
    struct ir_store_read *r, struct ir_section *list, uint64_t reached)
{
	add_section(r, list, s->name, "", reached);
	if (reached > h->published_revision)
		h->published_revision = reached;
	HASH_DEL(h->published, s);
	talloc_free(s);
}

/* Removals that an earlier read found stay due when they were. */
static void
begin_grace(struct ir_host_items *h, int64_t now)
{
	struct item *i, *next;

	h->grace_end_us = now + h->grace_us;
	HASH_ITER (hh, h->items, i, next) {
		if (i->removal_delayed && i->removal_due_us == 0)
			i->removal_due_us = h->grace_end_us;
	}
}

void
ir_host_items_take_changes(struct ir_host_items *h, int64_t now,
    TALLOC_CTX *mem, bool all, struct ir_store_read *r)
{
	uint64_t reached = r->reached_revision;
	struct ir_section *list;
	struct published_section *s, *next;

	if (h->in_recovery_read)
		begin_grace(h, now);
	h->in_recovery_read = false;
	h->in_restored_read = false;
	if (now >= h->grace_end_us)
		use_restored(h);
	free_removed(h, now);
	choose_newest(h);
	list = ir_check_alloc(talloc_zero_array(
	    mem, struct ir_section, HASH_COUNT(h->published) + 1));
	r->section_count = 0;
	HASH_ITER (hh, h->published, s, next) {
		if (s->newest == NULL)
			publish_removal(h, s, r, list, reached);
		else if (all || !is_published(s))
			publish(h, s, r, list);
	}
	r->complete = all;
	r->sections = list;
	r->revision = h->published_revision;
}
