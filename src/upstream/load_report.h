/*
 * What an upstream reports of its own load and speed in its answers:
 * "running,waiting,slots[,work_percent]", plain decimal numbers. work_percent
 * is how long work takes on its machine at present; 100 is usual.
 *
 * Designed for an answer every few tens of microseconds, and for a speed that
 * changes several times a second.
 */
#ifndef IR_UPSTREAM_LOAD_REPORT_H
#define IR_UPSTREAM_LOAD_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibisrail/limits.h"
#include "ibisrail/node.h"
#include "link/peer.h"

/* A speed counts for this long after it was reported. */
#define IR_LOAD_REPORT_VALID_US IR_US_PER_S

/* The report of one answer. */
struct ir_load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t work_percent; /* 0: not reported */
};

/* What an upstream reported last. */
struct ir_upstream_load {
	struct ir_load_report report; /* the newest; slots 0: none */
	int64_t received_us;	      /* of the newest report */
	bool reports_speed;	      /* and has not stopped to */
};

enum ir_load_report_change {
	IR_LOAD_REPORT_SAME,
	IR_LOAD_REPORT_APPEARED,
	IR_LOAD_REPORT_DISAPPEARED
};

/* False, and *out unchanged, if text is malformed or implausible. */
bool ir_load_report_parse(const char *text, struct ir_load_report *out);
/*
 * Takes the report, if any, of an answer that was received at now. Returns
 * whether reports of a speed appeared, or stopped: the last one is older than
 * IR_LOAD_REPORT_VALID_US and this answer has none. *refused is set to whether
 * the answer had a report that could not be used.
 */
enum ir_load_report_change ir_upstream_load_answered(struct ir_upstream_load *l,
    int64_t now, const char *header, const struct ir_header *headers,
    size_t count, bool *refused);
/*
 * Slots that the upstream reports; 0: unknown. Unlike the speed they do not
 * expire while there are no answers.
 */
uint32_t ir_upstream_load_slots(const struct ir_upstream_load *l);
/* Present duration of work, 1.0 is usual; 0: unknown. */
double ir_upstream_load_slowdown(const struct ir_upstream_load *l, int64_t now);

#endif
