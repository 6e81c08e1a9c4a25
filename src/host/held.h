/*
 * What ir_sections keeps; private to its files.
 *
 * Of each name a join is kept of all that was told of it, so that the order
 * of arrival does not matter: of its texts the one highest in (rank,
 * revision, lower hash), the lowest revision seen at that rank, and the
 * highest removal. The rank is the generation, of hosts the revision.
 */
#ifndef IR_HOST_HELD_H
#define IR_HOST_HELD_H

#include "core/table.h"
#include "host/section.h"

struct held {
	const char *name;
	enum ir_section_kind kind;
	char *text;		 /* NULL when removed */
	void *parsed;		 /* by kind; NULL when text is bad */
	TALLOC_CTX *memory;	 /* of parsed */
	char *service;		 /* of a host; kept when removed */
	uint64_t rank;		 /* highest seen; 0 of a bad text */
	uint64_t revision;	 /* of the text in force */
	uint64_t first_revision; /* lowest seen at this rank */
	uint64_t text_hash;
	uint64_t removed_revision;
	uint64_t removed_generation;
	struct held *prev, *next; /* in the list of tombstones, else NULL */
	UT_hash_handle hh;
};

struct host_changes {
	const char *service;
	uint64_t count;
	UT_hash_handle hh;
};

/* Of tombstones: [0] configuration, [1] hosts. */
struct tombstones {
	struct held *list; /* oldest first */
	size_t count;
	uint64_t dropped_revision; /* highest of those dropped */
};

struct ir_sections {
	struct held *held;
	struct tombstones tombstones[2];
	uint64_t revision[2]; /* [0] configuration, [1] list */
	struct host_changes *changes;
	uint64_t changes_of_all; /* hosts whose service is not known */
	struct ir_view *view;
	struct ir_view *previous;
	struct ir_rate_margin margin;
	bool changed;
};

/* Index of what is kept apart for configuration and for hosts. */
static inline size_t
ir_part_of(enum ir_section_kind kind)
{
	return kind == IR_SECTION_HOST ? 1 : 0;
}

static inline uint64_t
ir_max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

#endif
