/*
 * The sections that make up the view, with their revisions, as read from the
 * store or learnt from a peer.
 *
 * A configuration section (fleet, accounts, service/N) is taken only when the
 * generation inside its text is above the one held or removed, whichever
 * revision it came with; a host section only when its revision is. A section
 * that does not parse is refused whole and the last good one stays. Revisions
 * of the whole (configuration, list) never go down.
 *
 * Removal is a section with empty text. It removes what was first seen at a
 * lower revision, and stays as a tombstone; what it removed returns only with
 * a higher generation.
 *
 * Two texts of one generation are a publishing fault. Then the one with the
 * higher revision, being the one that the store still holds, is in force;
 * with equal revisions the one whose XXH64 is lower.
 *
 * What is held in the end does not depend on the order of arrival.
 */
#ifndef IR_HOST_SECTION_H
#define IR_HOST_SECTION_H

#include "host/view.h"
#include "link/peer.h"

/* Tombstones kept, of hosts and of configuration sections each. */
#define IR_MAX_TOMBSTONES 4096

struct ir_sections;

/* What became of one section. */
enum ir_section_result {
	IR_SECTION_TAKEN,
	IR_SECTION_OLD,	   /* held already, or older than what is held */
	IR_SECTION_REFUSED /* bad, see the error text; what is held stays */
};

struct ir_sections *ir_sections_new(TALLOC_CTX *mem);

/* Of all accounts in the views from now on. */
void ir_sections_set_margin(
    struct ir_sections *s, const struct ir_rate_margin *m);

enum ir_section_kind ir_section_kind_of(const char *name);

/*
 * Parses and checks one text without taking it. 0, or -1 with *error set to
 * a talloc'd text under mem that names the place ("accounts[3].rate_per_s:
 * must be a number from 0.001 to 1000000000"). Empty text is a removal and
 * good.
 */
int ir_section_check(
    TALLOC_CTX *mem, const char *name, const char *text, char **error);

/*
 * Takes one section. in->generation counts for removals only: the generation
 * that was removed, as ir_sections_since() gives it, or 0.
 *
 * *error is set (under mem) when the section is refused, and also when it is
 * taken in place of another text of the same generation; else it is NULL.
 */
enum ir_section_result ir_sections_put(struct ir_sections *s, TALLOC_CTX *mem,
    const struct ir_section *in, char **error);

/*
 * A whole list or configuration of that revision was read: sections not in
 * names ("host/h1", "fleet") and not above that revision are removed. To be
 * called before ir_sections_reach().
 */
void ir_sections_remove_absent(struct ir_sections *s, bool hosts,
    const char *const *names, size_t count, uint64_t revision);

/* Raises the revisions of the whole; lower values are ignored. */
void ir_sections_reach(
    struct ir_sections *s, uint64_t config_revision, uint64_t list_revision);
uint64_t ir_sections_config_revision(const struct ir_sections *s);
uint64_t ir_sections_list_revision(const struct ir_sections *s);

/*
 * Sections above the given revisions, tombstones too, as an array under mem,
 * for a VIEW message. The strings belong to s and are valid until the next
 * change.
 *
 * *full is set when the difference cannot be told (tombstones were dropped,
 * or it has over IR_MAX_SECTIONS sections): then the array is all that is
 * held, and what it does not name is removed.
 */
size_t ir_sections_since(const struct ir_sections *s, TALLOC_CTX *mem,
    uint64_t config_revision, uint64_t list_revision, struct ir_section **out,
    bool *full);

/*
 * The view of what is held now; rebuilt after a change, else the same. A view
 * stays valid until the second rebuild after it.
 */
const struct ir_view *ir_sections_view(struct ir_sections *s);

/*
 * Counts changes to the set of hosts of a service (joined, leaving, gone,
 * moved), from 0; also those that may have been missed. Idempotency records
 * are trusted only while it stands still.
 */
uint64_t ir_sections_host_changes(
    const struct ir_sections *s, const char *service);

#endif
