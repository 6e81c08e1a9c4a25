/* What a reader of the store has covered. */
#include "host/coverage.h"

static bool
is_joint(const struct ir_coverage *c)
{
	return c->joint && c->revision[IR_PART_CONFIG] != 0 &&
	       c->revision[IR_PART_HOSTS] != 0;
}

static uint64_t
lower(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

struct ir_read_plan
ir_coverage_plan(const struct ir_coverage *c, enum ir_store_part part)
{
	struct ir_read_plan p = {
	    .kind = IR_READ_CHANGES, .after = c->revision[part]};

	if (p.after == 0)
		p.kind = IR_READ_FULL;
	else if (is_joint(c) && part == IR_PART_CONFIG)
		p.kind = IR_READ_NONE;
	else if (is_joint(c))
		p.after = lower(c->revision[IR_PART_CONFIG], p.after);
	return p;
}

bool
ir_coverage_add(struct ir_coverage *c, enum ir_store_part part, uint64_t after,
    uint64_t revision)
{
	if (after > c->revision[part])
		return false;
	ir_coverage_raise(c, part, revision);
	return true;
}

void
ir_coverage_raise(
    struct ir_coverage *c, enum ir_store_part part, uint64_t revision)
{
	if (revision > c->revision[part])
		c->revision[part] = revision;
}

void
ir_coverage_drop(struct ir_coverage *c, enum ir_store_part part)
{
	c->revision[part] = 0;
}

void
ir_coverage_history_lost(struct ir_coverage *c, enum ir_store_part part)
{
	if (c->joint && part == IR_PART_HOSTS)
		ir_coverage_drop(c, IR_PART_CONFIG);
	ir_coverage_drop(c, part);
}
