/*
 * Builds a view from parsed sections: sorts, groups hosts by service and by
 * zone, and omits hosts whose address a newer host also has.
 *
 * Takes O(n log n). The strings and routes of the view belong to the
 * sections, which must outlive the view; its arrays belong to the view.
 */
#ifndef IR_HOST_VIEW_BUILD_H
#define IR_HOST_VIEW_BUILD_H

#include "conf/publication.h"
#include "host/view.h"

/* A host with the revision of its section. */
struct ir_revised_host {
	const struct ir_host *host;
	uint64_t revision;
};

struct ir_view_input {
	struct ir_rate_margin margin; /* for all accounts */
	uint64_t config_revision;
	uint64_t list_revision;
	const struct ir_fleet *fleet;		 /* or NULL */
	const struct ir_account_list **accounts; /* parts of the list */
	size_t account_part_count;
	const struct ir_route_list **routes; /* parts of the list */
	size_t route_part_count;
	const struct ir_service **services; /* gets sorted */
	size_t service_count;
	struct ir_revised_host *hosts; /* gets sorted */
	size_t host_count;
	const struct ir_zone_state **zones;
	size_t zone_count;
};

struct ir_view *ir_view_build(TALLOC_CTX *mem, struct ir_view_input *in);

#endif
