/* What the last reads of the host list brought. */
#include <string.h>

#include "core/table.h"
#include "io/message.h"
#include "io/store/store_book.h"

struct item {
	char *key;
	char *section;
	char *text;
	uint64_t revision;
	uint64_t created;
	uint64_t round;	 /* of the last whole read that named it */
	bool gone;	 /* removed; forgotten once the hold is over */
	bool held;	 /* gone, perhaps only lapsed */
	bool unreadable; /* names no host */
	UT_hash_handle hh;
};

/* A section: the item that counts, and what was last passed on of it. */
struct told {
	char *name;
	const struct item *best; /* while sections are taken */
	char *text;		 /* passed on; NULL: nothing yet */
	uint64_t created;
	UT_hash_handle hh;
};

struct ir_store_book {
	struct item *items;
	struct told *told;
	uint64_t round;
	uint64_t revision; /* highest passed on */
	bool returning;	   /* the first read after a failure is taken */
	int64_t hold_until_us;
};

static int
free_book(struct ir_store_book *b)
{
	HASH_CLEAR(hh, b->items);
	HASH_CLEAR(hh, b->told);
	return 0;
}

struct ir_store_book *
ir_store_book_new(TALLOC_CTX *mem)
{
	struct ir_store_book *b = talloc_zero(mem, struct ir_store_book);

	if (b != NULL)
		talloc_set_destructor(b, free_book);
	return b;
}

void
ir_store_book_begin_whole(struct ir_store_book *b)
{
	b->round++;
}

static struct item *
get_item(struct ir_store_book *b, const char *key)
{
	struct item *i;

	HASH_FIND_STR(b->items, key, i);
	if (i != NULL)
		return i;
	i = ir_check_alloc(talloc_zero(b, struct item));
	i->key = ir_text_copy(i, key);
	HASH_ADD_KEYPTR(hh, b->items, i->key, strlen(i->key), i);
	return i;
}

static void
set_item(struct item *i, const struct ir_store_item *in)
{
	char *old_section = i->section, *old_text = i->text;

	i->section = ir_text_copy(i, in->section);
	i->text = ir_text_copy(i, in->text);
	i->created = in->created;
	talloc_free(old_section);
	talloc_free(old_text);
}

static bool
same(const struct item *i, const struct ir_store_item *in)
{
	return i->text != NULL && i->created == in->created &&
	       strcmp(i->text, in->text) == 0 &&
	       strcmp(i->section, in->section) == 0;
}

void
ir_store_book_returned(struct ir_store_book *b)
{
	b->returning = true;
}

/* Found to be gone by this read. */
static void
end_item(struct ir_store_book *b, struct item *i)
{
	if (!i->gone)
		i->held = b->returning;
	i->gone = true;
}

bool
ir_store_book_put(struct ir_store_book *b, const struct ir_store_item *in)
{
	struct item *i = get_item(b, in->key);
	bool was_unreadable = i->unreadable;

	i->round = b->round;
	i->revision = in->revision;
	i->unreadable = in->section == NULL;
	if (in->section == NULL || in->text[0] == '\0') {
		end_item(b, i);
	} else {
		i->gone = false;
		if (!same(i, in))
			set_item(i, in);
	}
	return i->unreadable && !was_unreadable;
}

void
ir_store_book_end_whole(struct ir_store_book *b)
{
	struct item *i, *next;

	HASH_ITER (hh, b->items, i, next) {
		if (i->round != b->round)
			end_item(b, i);
	}
}

static void
drop_gone(struct ir_store_book *b, int64_t now)
{
	struct item *i, *next;

	HASH_ITER (hh, b->items, i, next) {
		if (!i->gone ||
		    (i->held && i->text != NULL && now < b->hold_until_us))
			continue;
		TALLOC_FREE(i->text);
		/* Still there, and known to be unreadable. */
		if (i->unreadable && i->round == b->round)
			continue;
		HASH_DEL(b->items, i);
		talloc_free(i);
	}
}

static struct told *
get_told(struct ir_store_book *b, const char *name)
{
	struct told *t;

	HASH_FIND_STR(b->told, name, t);
	if (t != NULL)
		return t;
	t = ir_check_alloc(talloc_zero(b, struct told));
	t->name = ir_text_copy(t, name);
	HASH_ADD_KEYPTR(hh, b->told, t->name, strlen(t->name), t);
	return t;
}

/* Finds the item that counts for each section. */
static void
choose(struct ir_store_book *b)
{
	struct item *i, *next_item;
	struct told *t, *next_told;

	HASH_ITER (hh, b->told, t, next_told) {
		t->best = NULL;
	}
	HASH_ITER (hh, b->items, i, next_item) {
		if (i->text == NULL)
			continue;
		t = get_told(b, i->section);
		if (t->best == NULL || i->created > t->best->created)
			t->best = i;
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

static bool
is_told(const struct told *t)
{
	return t->text != NULL && t->created == t->best->created &&
	       strcmp(t->text, t->best->text) == 0;
}

static void
tell(struct ir_store_book *b, struct told *t, struct ir_store_read *r,
    struct ir_section *list)
{
	uint64_t revision = t->best->revision;

	talloc_free(t->text);
	t->text = ir_text_copy(t, t->best->text);
	t->created = t->best->created;
	add_section(r, list, t->name, t->text, revision);
	if (revision > b->revision)
		b->revision = revision;
}

static void
tell_removed(struct ir_store_book *b, struct told *t, struct ir_store_read *r,
    struct ir_section *list, uint64_t reached)
{
	add_section(r, list, t->name, "", reached);
	if (reached > b->revision)
		b->revision = reached;
	HASH_DEL(b->told, t);
	talloc_free(t);
}

void
ir_store_book_take(struct ir_store_book *b, int64_t now, TALLOC_CTX *mem,
    bool all, struct ir_store_read *r)
{
	uint64_t reached = r->reached_revision;
	struct ir_section *list;
	struct told *t, *next;

	if (b->returning)
		b->hold_until_us = now + IR_RETURN_GRACE_US;
	b->returning = false;
	drop_gone(b, now);
	choose(b);
	list = ir_check_alloc(
	    talloc_zero_array(mem, struct ir_section, HASH_COUNT(b->told) + 1));
	r->section_count = 0;
	HASH_ITER (hh, b->told, t, next) {
		if (t->best == NULL)
			tell_removed(b, t, r, list, reached);
		else if (all || !is_told(t))
			tell(b, t, r, list);
	}
	r->complete = all;
	r->sections = list;
	r->revision = b->revision;
}
