/* Evacuated zones: log of their changes, and the gate of a host in one. */
#include "zone/evacuation.h"
#include "core/internal.h"

bool
evacuation_is_here(struct ir_node *n)
{
	const struct ir_host *self = node_self(n);

	return self != NULL && self->evacuated;
}

enum ir_error
evacuation_check(struct ir_node *n)
{
	if (!evacuation_is_here(n))
		return IR_OK;
	ir_counters_add(&n->counters, IR_COUNTER_EVACUATION_REFUSED, 1);
	return IR_E_WRONG_GATE;
}

static void
log_changes(struct ir_node *n, const struct ir_view *v)
{
	size_t max = n->evacuated_zone_count + v->evacuated_zone_count;
	struct ir_evacuation_change *changes =
	    talloc_array(n, struct ir_evacuation_change, max);
	size_t count;

	if (changes == NULL)
		return;
	count =
	    ir_evacuation_changes(n->evacuated_zones, n->evacuated_zone_count,
		v->evacuated_zones, v->evacuated_zone_count, changes);
	for (size_t i = 0; i < count; i++)
		node_log(n, IR_EVENT_ZONE_EVACUATION,
		    "zone=%s state=%s list=%llu", changes[i].zone,
		    changes[i].began ? "began" : "ended",
		    (unsigned long long)v->list_revision);
	talloc_free(changes);
}

/* The view that names point into is freed before the next one is compared. */
static void
keep_zones(struct ir_node *n, const struct ir_view *v)
{
	size_t count = v->evacuated_zone_count;
	const char **copy = talloc_array(n, const char *, count);

	for (size_t i = 0; copy != NULL && i < count; i++)
		copy[i] = talloc_strdup(copy, v->evacuated_zones[i]);
	talloc_free(n->evacuated_zones);
	n->evacuated_zones = copy;
	n->evacuated_zone_count = copy != NULL ? count : 0;
}

void
evacuation_view_changed(struct ir_node *n, int64_t now, const struct ir_view *v)
{
	if (n->evacuated_zone_count != 0 || v->evacuated_zone_count != 0) {
		log_changes(n, v);
		keep_zones(n, v);
	}
	if (evacuation_is_here(n))
		ir_counters_add(&n->counters, IR_COUNTER_EVACUATION_REFUSED,
		    ir_gate_refuse_queued(n->gate, now, IR_E_WRONG_GATE));
}
