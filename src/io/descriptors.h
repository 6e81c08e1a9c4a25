/* File descriptors: how many the process may have, and who gets them. */
#ifndef IR_IO_DESCRIPTORS_H
#define IR_IO_DESCRIPTORS_H

#include <stdint.h>

/* Connections that each duty may hold. */
struct ir_descriptors {
	uint32_t callers; /* both listeners together */
	uint32_t peers;
	uint32_t upstream;
};

/*
 * Divides limit descriptors, those that are not for sockets taken off: the
 * upstream gets what the settings say, at most a quarter; peers a quarter;
 * callers the rest; none more than its own bound.
 */
struct ir_descriptors ir_descriptors_divide(
    uint64_t limit, uint32_t upstream_connections);

/*
 * Raises this process's soft limit to its hard one; the limit that is then in
 * force, UINT64_MAX for none, 0 when it cannot be told.
 */
uint64_t ir_descriptors_raise(void);

#endif
