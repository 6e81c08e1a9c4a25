/*
 * Which of several entries of one address in the host list describes its
 * upstream. Others may be those of an upstream that has ended, of its
 * successor, and of processes that another writer lists on the same host.
 *
 * An upstream rewrites its entry with each heartbeat. On one port there is one
 * process at a time: of two entries that are rewritten, the later one counts.
 * Of entries on different ports that all are rewritten, none is the successor
 * of another, as a host has one upstream: the one with the usual port counts,
 * else the one that counted before, else the earliest.
 *
 * For a few entries an address, of thousands of addresses; takes plain values.
 */
#ifndef IR_HOST_ENTRY_CHOICE_H
#define IR_HOST_ENTRY_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisrail/limits.h"

/* An entry that is not rewritten for this time may be that of no upstream. */
#define IR_ENTRY_SILENT_US (3500 * IR_US_PER_MS)

struct ir_host_entry {
	/* Its service is in the configuration, or that is not known yet. */
	bool service_known;
	bool usual_port;	     /* as at the reader's own host */
	uint16_t port;		     /* of the upstream; 0: unknown */
	int64_t upstream_started_ms; /* 0: unknown */
	uint64_t created_revision;   /* in the store */
	int64_t written_us; /* when the reader learned of its last write */
};

/*
 * Whether the entry was rewritten lately. One that was not may go on describing
 * the upstream of an address, but not begin to.
 */
bool ir_entry_is_live(const struct ir_host_entry *e, int64_t now);

/*
 * Whether a, rather than b, describes the upstream of their address. used: b is
 * the one that was taken to describe it so far.
 */
bool ir_entry_precedes(const struct ir_host_entry *a,
    const struct ir_host_entry *b, bool used, int64_t now);

/*
 * Whether other, listed at the time at which the upstream's entry was removed,
 * is that of another process on its host, not of a successor. An entry that was
 * silent before its removal has lapsed: its upstream may have been replaced
 * before.
 */
bool ir_entry_is_neighbor(const struct ir_host_entry *removed,
    const struct ir_host_entry *other, int64_t now);

#endif
