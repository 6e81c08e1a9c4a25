/*
 * The state of ir_sections, private to section.c and section_diff.c.
 *
 * The entry of a section name is a join (least upper bound) of all updates of
 * that name, so that the order of their arrival does not matter. It consists
 * of the text that is highest in (version, revision, lower hash), the lowest
 * revision that brought a text of that version, and the highest removal. The
 * version of a configuration section is its generation, that of a section of
 * the host list its revision.
 */
#ifndef IR_HOST_SECTION_INTERNAL_H
#define IR_HOST_SECTION_INTERNAL_H

#include "core/table.h"
#include "host/section.h"

struct section_entry {
	const char *name;
	enum ir_section_kind kind;
	char *text;		 /* NULL when removed */
	void *parsed;		 /* by kind; NULL when text does not parse */
	TALLOC_CTX *memory;	 /* of parsed */
	char *service;		 /* of a host; kept when removed */
	uint64_t version;	 /* highest received; 0 if it did not parse */
	uint64_t revision;	 /* of text */
	uint64_t first_revision; /* lowest received with this version */
	uint64_t text_hash;
	uint64_t removed_revision;	   /* highest removal, or 0 */
	uint64_t removed_generation;	   /* highest removed, or 0 */
	struct section_entry *prev, *next; /* in the list of tombstones */
	UT_hash_handle hh;
};

/* Number of changes to the set of hosts of a service. */
struct host_change_count {
	const char *service;
	uint64_t count;
	UT_hash_handle hh;
};

/* Entries of removed sections, at most IR_MAX_TOMBSTONES. */
struct tombstones {
	struct section_entry *list; /* oldest first */
	size_t count;
	uint64_t evicted_revision; /* highest of the evicted tombstones */
};

/* Each group of sections has a separate revision and list of tombstones. */
enum section_group {
	GROUP_CONFIG,
	GROUP_HOSTS,
	GROUP_COUNT
};

struct ir_sections {
	struct section_entry *entries;
	struct tombstones tombstones[GROUP_COUNT];
	uint64_t revision[GROUP_COUNT]; /* of the whole group */
	struct host_change_count *change_counts;
	uint64_t changes_of_all; /* changes that may concern any service */
	struct ir_view *view;
	struct ir_view *previous_view; /* still valid for callers */
	struct ir_rate_margin margin;
	size_t text_bytes; /* of all texts */
	size_t max_text_bytes;
	bool view_outdated; /* view must be rebuilt */
};

static inline size_t
ir_section_group_of(enum ir_section_kind kind)
{
	return ir_section_is_of_host_list(kind) ? GROUP_HOSTS : GROUP_CONFIG;
}

static inline uint64_t
ir_max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

#endif
