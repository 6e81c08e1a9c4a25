/*
 * Builds a view from parsed sections: sorts, groups hosts by service and
 * zone, leaves out hosts whose address a newer host has taken over.
 *
 * O(n log n). The view's strings stay those of the parts, which must outlive
 * it; its arrays belong to it.
 */
#ifndef IR_HOST_COMPILE_H
#define IR_HOST_COMPILE_H

#include "conf/publication.h"
#include "host/view.h"

struct ir_host_part {
	const struct ir_host *host;
	uint64_t revision;
};

struct ir_view_parts {
	struct ir_rate_margin margin;
	uint64_t config_revision;
	uint64_t list_revision;
	const struct ir_fleet *fleet;		/* or NULL */
	const struct ir_account_list *accounts; /* or NULL */
	const struct ir_route_list *routes;	/* or NULL */
	const struct ir_service **services;	/* will be sorted */
	size_t service_count;
	struct ir_host_part *hosts; /* will be sorted */
	size_t host_count;
};

struct ir_view *ir_view_compile(TALLOC_CTX *mem, struct ir_view_parts *p);

#endif
