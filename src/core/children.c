/* The calls that a run has made and waits for. */
#include "core/internal.h"

void
children_add(struct ir_record *r, int64_t now, struct call *c)
{
	if (r->children == NULL)
		r->callee_wait_start_us = now;
	DL_APPEND2(r->children, c, sibling_prev, sibling_next);
}

void
children_remove(struct ir_record *r, int64_t now, struct call *c)
{
	DL_DELETE2(r->children, c, sibling_prev, sibling_next);
	if (r->children == NULL)
		r->work.callee_wait_us += now - r->callee_wait_start_us;
}
