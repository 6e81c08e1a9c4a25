/*
 * Whether a host reads the store itself. A few hosts of each zone do (the store
 * readers); the others ask these for the view, and read the store only when
 * nobody confirms it: the hosts that they ask are silent, or have no
 * confirmation themselves.
 *
 * A reader whose reads fail asks a host of its zone to read in its place, and
 * gets the view from it, so that the hosts that ask the reader still get it.
 *
 * Silence is taken seriously soon, as it concerns few hosts: those that lost
 * contact with their zone. If the others answer but their view is old, the
 * store or the path to it is probably slow for all; hosts then begin one after
 * the other, by rank.
 */
#ifndef IR_HOST_READ_DUTY_H
#define IR_HOST_READ_DUTY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ir_read_duty {
	bool is_reader;
	/* The readers of all regions agree that the store answers none. */
	bool store_is_down;
	/* Since a reader asked this host to read; INT64_MAX: never. */
	int64_t asked_to_read_us;
	uint32_t unanswered_polls; /* of other hosts for the view, in a row */
	int64_t age_us; /* of the latest confirmation; INT64_MAX: none yet */
	/* Of the latest one by another host; INT64_MAX: none, or not of this
	   view but of an older one. */
	int64_t peer_age_us;
	int64_t read_period_us; /* of a reader */
	int64_t overdue_us;	/* age from which a confirmation is overdue */
	size_t rank; /* among the hosts of the zone that are not readers */
};

bool ir_host_reads_store(const struct ir_read_duty *d);

#endif
