/*
 * Sets of allowed regions: the regions in which a request may be served.
 *
 * A set is an array of names that ends with NULL, as in the view. NULL is the
 * set of all regions; an array without names allows none. Designed for a few
 * names in a set: all functions compare each name with each.
 */
#ifndef IR_ZONE_REGION_SET_H
#define IR_ZONE_REGION_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <talloc.h>

/* Number of names; 0 also for the set of all regions. */
size_t ir_region_set_count(const char *const *set);
bool ir_region_set_has(const char *const *set, const char *region);
/* Whether every region of a is one of b. */
bool ir_region_set_is_within(const char *const *a, const char *const *b);
/*
 * The regions that are in both, as a copy under mem; NULL if both allow all
 * regions. Names that no host can have, as they are longer than IR_MAX_NAME,
 * are left out. Out of memory: the set without regions, so that a request is
 * refused rather than served where it may not be.
 */
const char *const *ir_region_set_intersect(
    TALLOC_CTX *mem, const char *const *a, const char *const *b);
/* A copy under mem of count names, which allow none if count is 0. */
const char *const *ir_region_set_new(
    TALLOC_CTX *mem, char *const *names, size_t count);
/* The names as text, separated by commas; "any" or "none". */
const char *ir_region_set_text(
    const char *const *set, char *buffer, size_t size_bytes);

#endif
