/* The process's limit of file descriptors and its division among threads. */
#ifndef IR_IO_DESCRIPTORS_H
#define IR_IO_DESCRIPTORS_H

#include <stdint.h>

/* Maximum number of connections of each I/O thread. */
struct ir_descriptor_limits {
	uint32_t callers; /* of both listeners together */
	uint32_t peers;
	uint32_t upstream;
};

/*
 * Divides limit descriptors among the connections, after a reserve for other
 * descriptors. The upstream gets upstream_connections, but at most a quarter;
 * peers get a quarter; callers get the rest. Each share is limited by the
 * maximum of its thread (IR_MAX_PEER_CONNECTIONS, IR_MAX_CALLER_CONNECTIONS).
 * A share is at least 16, even if fewer descriptors are left for it.
 */
struct ir_descriptor_limits ir_descriptor_limits_divide(
    uint64_t limit, uint32_t upstream_connections);

/*
 * Raises the soft limit of this process to the hard limit. Returns the limit
 * then in force; UINT64_MAX if unlimited; 0 if the limit cannot be read.
 */
uint64_t ir_descriptor_limit_raise(void);

#endif
