/*
 * What a reader of the store has covered: up to which revision it knows every
 * change of the configuration and of the host list, and what it has to read
 * next. It is used by each store reader, a few a zone, and by hosts that reach
 * no reader.
 *
 * A read covers what it returns: a full read everything up to its revision,
 * the answer to a watch every change after the revision at which the watch
 * began. Data is confirmed by an answer only if that answer begins no later
 * than the data is covered; otherwise a change in between is in neither.
 *
 * Where a watch of the host list returns the changes of the configuration as
 * well (joint), it begins at the lower of the two revisions. If the store no
 * longer has the history since then, both are read in full again.
 *
 * Revisions are those of one era of the store, above 0. No function logs,
 * allocates or reads a clock.
 */
#ifndef IR_HOST_COVERAGE_H
#define IR_HOST_COVERAGE_H

#include <stdbool.h>
#include <stdint.h>

enum ir_store_part {
	IR_PART_CONFIG,
	IR_PART_HOSTS,
	IR_PART_COUNT
};

struct ir_coverage {
	bool joint; /* a watch of the host list returns both parts */
	uint64_t revision[IR_PART_COUNT]; /* covered; 0: not read yet */
};

enum ir_read_kind {
	IR_READ_NONE, /* the read of the other part returns this one */
	IR_READ_FULL,
	IR_READ_CHANGES
};

struct ir_read_plan {
	enum ir_read_kind kind;
	uint64_t after; /* IR_READ_CHANGES: the revision of its beginning */
};

/* The read of a part that is due next. */
struct ir_read_plan ir_coverage_plan(
    const struct ir_coverage *c, enum ir_store_part part);

/*
 * Adds an answer that has every change of the part after the one revision up
 * to the other. after is 0 for a full read. Returns false, and adds nothing, if
 * changes between what is covered and the answer are missing; the answer then
 * confirms nothing.
 */
bool ir_coverage_add(struct ir_coverage *c, enum ir_store_part part,
    uint64_t after, uint64_t revision);

/* Every change of the part up to the revision is known from another host. */
void ir_coverage_raise(
    struct ir_coverage *c, enum ir_store_part part, uint64_t revision);

/* The part has to be read in full. */
void ir_coverage_drop(struct ir_coverage *c, enum ir_store_part part);

/*
 * The store has no history since the beginning of the part's watch: what that
 * watch covered has to be read in full.
 */
void ir_coverage_history_lost(struct ir_coverage *c, enum ir_store_part part);

#endif
