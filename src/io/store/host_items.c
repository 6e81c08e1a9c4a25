/* Items of the host list and the sections made of them. */
#include <stdlib.h>
#include <string.h>

#include "core/table.h"
#include "host/entry_choice.h"
#include "io/message.h"
#include "io/store/host_items.h"
#include "io/store/store_key.h"

struct item {
	struct ir_store_key key;
	char *section;
	char *text;
	char *service; /* of the upstream, or NULL */
	uint64_t revision;
	struct ir_host_entry entry;
	bool written;  /* since the last take_changes() */
	bool neighbor; /* of the upstream that left its address */
	struct published_section *chosen_for; /* NULL: for none */
	bool not_used_reported;
	uint64_t last_full_read;	/* last full read that had the item */
	bool removed;			/* freed by the next free_removed() */
	bool removal_delayed;		/* not before removal_due_us */
	int64_t removal_due_us;		/* 0: not known yet */
	bool unreadable;		/* cannot be decoded */
	bool changed;			/* since it was last passed on */
	struct ir_store_item *restored; /* not used yet; NULL: none */
	UT_hash_handle hh;
};

/* A section: the item that it is made from, and the text last passed on. */
struct published_section {
	char *name;
	struct item *chosen; /* NULL: none */
	struct item *used;   /* chosen before; valid in choose_items() */
	bool choice_changed; /* since the section was last passed on */
	char *text;	     /* last passed on; NULL: never */
	uint64_t created_revision;
	UT_hash_handle hh;
};

struct ir_host_items {
	struct item *items;
	struct published_section *published;
	char **services; /* of the configuration, sorted */
	size_t service_count;
	uint16_t usual_port;		  /* 0: none */
	ir_item_not_used_fn *on_not_used; /* or NULL */
	void *on_not_used_ctx;
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
ir_host_items_on_not_used(
    struct ir_host_items *h, ir_item_not_used_fn *fn, void *ctx)
{
	h->on_not_used = fn;
	h->on_not_used_ctx = ctx;
}

void
ir_host_items_set_port(struct ir_host_items *h, uint16_t port)
{
	h->usual_port = port;
}

void
ir_host_items_set_services(
    struct ir_host_items *h, char **services, size_t count)
{
	talloc_free(h->services);
	h->services = talloc_steal(h, services);
	h->service_count = count;
}

void
ir_host_items_begin_full_read(struct ir_host_items *h)
{
	h->full_read_count++;
}

static struct item *
find_or_add_item(struct ir_host_items *h, const struct ir_store_key *key)
{
	struct item *i;

	HASH_FIND(hh, h->items, key->bytes, key->size_bytes, i);
	if (i != NULL)
		return i;
	i = ir_check_alloc(talloc_zero(h, struct item));
	i->key = ir_store_key_copy(i, key);
	HASH_ADD_KEYPTR(hh, h->items, i->key.bytes, i->key.size_bytes, i);
	return i;
}

/* A copy of an optional text. */
static char *
copy_or_null(TALLOC_CTX *mem, const char *text)
{
	return text != NULL ? ir_text_copy(mem, text) : NULL;
}

static bool
equal_or_null(const char *a, const char *b)
{
	return a == b || (a != NULL && b != NULL && strcmp(a, b) == 0);
}

static void
set_item(struct item *i, const struct ir_store_item *in)
{
	char *old_section = i->section, *old_text = i->text;
	char *old_service = i->service;

	if (i->entry.created_revision != in->created_revision)
		i->neighbor = false;
	i->section = ir_text_copy(i, in->section);
	i->text = ir_text_copy(i, in->text);
	i->service = copy_or_null(i, in->service);
	i->entry.port = in->upstream_port;
	i->entry.created_revision = in->created_revision;
	i->entry.upstream_started_ms = in->upstream_started_ms;
	i->changed = true;
	talloc_free(old_section);
	talloc_free(old_text);
	talloc_free(old_service);
}

static bool
is_unchanged(const struct item *i, const struct ir_store_item *in)
{
	return i->text != NULL &&
	       i->entry.created_revision == in->created_revision &&
	       i->entry.upstream_started_ms == in->upstream_started_ms &&
	       i->entry.port == in->upstream_port &&
	       strcmp(i->text, in->text) == 0 &&
	       strcmp(i->section, in->section) == 0 &&
	       equal_or_null(i->service, in->service);
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
set_restored(struct item *i, const struct ir_store_item *in)
{
	struct ir_store_item *to =
	    ir_check_alloc(talloc_zero(i, struct ir_store_item));

	*to = *in;
	to->key = i->key;
	to->section = ir_text_copy(to, in->section);
	to->text = ir_text_copy(to, in->text);
	to->service = copy_or_null(to, in->service);
	i->restored = to;
}

/* Uses what the restored store has and nobody wrote again. */
static void
use_restored(struct ir_host_items *h)
{
	struct item *i, *next;

	HASH_ITER (hh, h->items, i, next) {
		if (i->restored != NULL)
			set_item(i, i->restored);
		TALLOC_FREE(i->restored);
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
	struct item *i = find_or_add_item(h, &in->key);
	bool was_unreadable = i->unreadable;

	i->last_full_read = h->full_read_count;
	if (i->revision != in->revision)
		i->written = true;
	i->revision = in->revision;
	i->unreadable = in->section == NULL;
	TALLOC_FREE(i->restored);
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

static struct published_section *
find_published(const struct ir_host_items *h, const char *name)
{
	struct published_section *s;

	HASH_FIND_STR(h->published, name, s);
	return s;
}

static void
set_choice(struct published_section *s, struct item *i)
{
	if (s->chosen != NULL)
		s->chosen->chosen_for = NULL;
	if (i != NULL)
		i->chosen_for = s;
	s->choice_changed = true;
	s->chosen = i;
}

/* Notes that an item is removed. */
static void
end_choice(struct ir_host_items *h, struct item *removed, int64_t now)
{
	struct item *i, *next;

	if (removed->chosen_for == NULL)
		return;
	set_choice(removed->chosen_for, NULL);
	HASH_ITER (hh, h->items, i, next) {
		if (i != removed && i->text != NULL &&
		    strcmp(i->section, removed->section) == 0 &&
		    ir_entry_is_neighbor(&removed->entry, &i->entry, now))
			i->neighbor = true;
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
		if (i->text != NULL)
			end_choice(h, i, now);
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
	struct published_section *s = find_published(h, name);

	if (s != NULL)
		return s;
	s = ir_check_alloc(talloc_zero(h, struct published_section));
	s->name = ir_text_copy(s, name);
	HASH_ADD_KEYPTR(hh, h->published, s->name, strlen(s->name), s);
	return s;
}

static int
compare_texts(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static bool
is_known_service(const struct ir_host_items *h, const char *service)
{
	return service == NULL || h->service_count == 0 ||
	       bsearch(&service, h->services, h->service_count,
		   sizeof(*h->services), compare_texts) != NULL;
}

static void
update_entries(struct ir_host_items *h, int64_t now)
{
	struct item *i, *next;

	HASH_ITER (hh, h->items, i, next) {
		if (i->written)
			i->entry.written_us = now;
		i->written = false;
		i->entry.service_known = is_known_service(h, i->service);
		i->entry.usual_port =
		    h->usual_port != 0 && i->entry.port == h->usual_port;
	}
}

/* Chooses an item for each section. */
static void
choose_items(struct ir_host_items *h, int64_t now)
{
	struct item *i, *next_item;
	struct published_section *s, *next_section;

	update_entries(h, now);
	HASH_ITER (hh, h->published, s, next_section) {
		s->used = s->chosen;
		/* An item that moved to another section. */
		if (s->chosen != NULL &&
		    strcmp(s->chosen->section, s->name) != 0)
			set_choice(s, NULL);
	}
	HASH_ITER (hh, h->items, i, next_item) {
		if (i->text == NULL || i->neighbor || i->chosen_for != NULL ||
		    !ir_entry_is_live(&i->entry, now))
			continue;
		s = find_or_add_published(h, i->section);
		if (s->chosen == NULL ||
		    ir_entry_precedes(&i->entry, &s->chosen->entry,
			s->chosen == s->used, now))
			set_choice(s, i);
	}
}

/* Reports the items that are not chosen, each of them once. */
static void
report_not_used(struct ir_host_items *h)
{
	static const struct ir_store_key no_key;
	struct item *i, *next;

	HASH_ITER (hh, h->items, i, next) {
		const struct published_section *s;

		if (i->chosen_for != NULL)
			i->not_used_reported = false;
		if (i->text == NULL || i->chosen_for != NULL ||
		    i->not_used_reported)
			continue;
		i->not_used_reported = true;
		s = find_published(h, i->section);
		if (h->on_not_used != NULL)
			h->on_not_used(h->on_not_used_ctx, &i->key, i->section,
			    s != NULL && s->chosen != NULL ? &s->chosen->key
							   : &no_key);
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
	return s->text != NULL && !s->chosen->changed &&
	       s->created_revision == s->chosen->entry.created_revision &&
	       strcmp(s->text, s->chosen->text) == 0;
}

/* An item that replaces another one may have been written before it. */
static void
publish(struct ir_host_items *h, struct published_section *s,
    struct ir_store_read *r, struct ir_section *list, uint64_t reached)
{
	uint64_t revision = s->chosen->revision;

	if (s->choice_changed && s->text != NULL && reached > revision)
		revision = reached;
	s->choice_changed = false;
	s->chosen->changed = false;
	talloc_free(s->text);
	s->text = ir_text_copy(s, s->chosen->text);
	s->created_revision = s->chosen->entry.created_revision;
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
	choose_items(h, now);
	report_not_used(h);
	list = ir_check_alloc(talloc_zero_array(
	    mem, struct ir_section, HASH_COUNT(h->published) + 1));
	r->section_count = 0;
	HASH_ITER (hh, h->published, s, next) {
		if (s->chosen == NULL)
			publish_removal(h, s, r, list, reached);
		else if (all || !is_published(s))
			publish(h, s, r, list, reached);
	}
	r->complete = all;
	r->sections = list;
	r->revision = h->published_revision;
}
