/*
 * Changes between two sets of evacuated zones. Designed for the zones of one
 * fleet: called once for each view, with a few names.
 */
#ifndef IR_ZONE_EVACUATION_H
#define IR_ZONE_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>

struct ir_evacuation_change {
	const char *zone; /* of the list that has it */
	bool began;	  /* else it ended */
};

/*
 * Writes the differences of two sorted lists of names to changes, which must
 * have room for old_count + new_count, and returns their number.
 */
size_t ir_evacuation_changes(const char *const *old_zones, size_t old_count,
    const char *const *new_zones, size_t new_count,
    struct ir_evacuation_change *changes);

#endif
