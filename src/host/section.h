/*
 * The sections that make up the view, with their revisions, as read from the
 * store or received from a peer.
 *
 * A text of a configuration section (fleet, accounts, routes, service/N) is
 * accepted only when the generation in it is above the current and the removed
 * one, whatever its revision. A host section is accepted only when its revision
 * is above the current and the removed one. A section that does not parse is
 * refused as a whole, and the last good text stays. Invalid accounts, keys and
 * fleet routes are not refused with their section, see conf/publication.h. The
 * revisions of the configuration and of the host list never decrease.
 *
 * A section with empty text is a removal. It removes a text that was first
 * received at a lower revision, and is kept as a tombstone; a removed text
 * returns only with a higher generation.
 *
 * Two texts of one generation are a fault of the publisher. The one with the
 * higher revision is used then, since it is the one that the store still has;
 * with equal revisions, the one whose XXH64 is lower.
 *
 * The final state does not depend on the order in which sections arrive.
 */
#ifndef IR_HOST_SECTION_H
#define IR_HOST_SECTION_H

#include "host/view.h"
#include "link/peer.h"

/* Limit of tombstones, for hosts and for configuration sections each. */
#define IR_MAX_TOMBSTONES 4096

struct ir_sections;

/* What ir_sections_put() did with a section. */
enum ir_section_result {
	IR_SECTION_APPLIED,
	IR_SECTION_APPLIED_IN_PART, /* without its invalid entries */
	IR_SECTION_NOT_NEWER,	    /* same as the current text, or older */
	IR_SECTION_REFUSED /* bad, see the error; the current text stays */
};

struct ir_sections *ir_sections_new(TALLOC_CTX *mem);

/*
 * Limits the texts of all sections together, which have no limit before. A
 * section that would exceed it is refused; those that are held stay.
 */
void ir_sections_set_max_bytes(struct ir_sections *s, size_t max_bytes);

/* Sets the margin of all accounts in views built from now on. */
void ir_sections_set_rate_margin(
    struct ir_sections *s, const struct ir_rate_margin *m);

/* The kind of the section of this name, or IR_SECTION_UNKNOWN. */
enum ir_section_kind ir_section_kind_of(const char *name);

/*
 * Whether sections of this kind come with the host list. They have no
 * generation: their version is their revision.
 */
bool ir_section_is_of_host_list(enum ir_section_kind kind);

/*
 * Parses and checks one text without applying it. An empty text (a
 * removal) is valid. Returns 0, or -1 with *error set to a text under mem that
 * names the place ("accounts[3].rate_per_s: must be a number from 0.001 to
 * 1000000000").
 */
int ir_section_check(
    TALLOC_CTX *mem, const char *name, const char *text, char **error);

/*
 * Merges one section. If it is a removal (empty text), in->generation is the
 * generation that was removed, as ir_sections_since() returns it, or 0.
 * Otherwise in->generation is ignored.
 *
 * If the section is refused, applied in part, or replaces another text of the
 * same generation, sets *error to a text under mem; otherwise sets *error to
 * NULL.
 */
enum ir_section_result ir_sections_put(struct ir_sections *s, TALLOC_CTX *mem,
    const struct ir_section *in, char **error);

/*
 * To be called when the whole host list (hosts) or configuration was read at
 * this revision, before ir_sections_raise_revisions(). Removes the sections of
 * the host list or configuration that are not in names ("host/h1", "fleet") and
 * whose revision is not above this one.
 */
void ir_sections_remove_absent(struct ir_sections *s, bool hosts,
    const char *const *names, size_t count, uint64_t revision);

/* Raises the revisions of both; lower values are ignored. */
void ir_sections_raise_revisions(
    struct ir_sections *s, uint64_t config_revision, uint64_t list_revision);
uint64_t ir_sections_config_revision(const struct ir_sections *s);
uint64_t ir_sections_list_revision(const struct ir_sections *s);

/*
 * The sections above the given revisions, including tombstones, for a VIEW
 * message: an array under mem, whose size is returned. Its strings belong to
 * s and are valid until the next change.
 *
 * Sets *full when the difference is unknown, because tombstones were evicted,
 * or has more than IR_MAX_SECTIONS sections. The array then has all current
 * sections, and the receiver removes those that it does not name.
 */
size_t ir_sections_since(const struct ir_sections *s, TALLOC_CTX *mem,
    uint64_t config_revision, uint64_t list_revision, struct ir_section **out,
    bool *full);

/*
 * The view of the current sections; rebuilt after a change, else the same. A
 * view stays valid until the second rebuild after it.
 */
const struct ir_view *ir_sections_view(struct ir_sections *s);

/*
 * Number of changes to the set of hosts of a service (added, leaving, removed,
 * moved to or from another service), from 0; includes changes that may have
 * been missed. Idempotency records are valid only while this number stays the
 * same.
 */
uint64_t ir_sections_host_changes(
    const struct ir_sections *s, const char *service);

#endif
