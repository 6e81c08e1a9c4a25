/* Changes between two sets of evacuated zones, by a merge of both lists. */
#include <string.h>

#include "zone/evacuation.h"

size_t
ir_evacuation_changes(const char *const *old_zones, size_t old_count,
    const char *const *new_zones, size_t new_count,
    struct ir_evacuation_change *changes)
{
	size_t i = 0, j = 0, n = 0;

	while (i < old_count || j < new_count) {
		int order = 0;

		if (i < old_count && j < new_count)
			order = strcmp(old_zones[i], new_zones[j]);
		else
			order = i < old_count ? -1 : 1;
		if (order < 0)
			changes[n++] =
			    (struct ir_evacuation_change){old_zones[i], false};
		else if (order > 0)
			changes[n++] =
			    (struct ir_evacuation_change){new_zones[j], true};
		i += order <= 0;
		j += order >= 0;
	}
	return n;
}
