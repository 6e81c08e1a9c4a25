/* Resident memory of the process, as the kernel reports it. */
#ifndef IR_IO_MEMORY_H
#define IR_IO_MEMORY_H

#include "ibisrail/memory.h"

/*
 * Reads the resident memory of the process, without file-backed pages, and
 * stores it in m; keeps the last value if it cannot be read. While
 * ir_memory_is_short(), also returns free memory of the allocator to the
 * system, at most once a second. Returns whether ir_memory_is_short() changed.
 * Only one thread may call this.
 */
bool ir_memory_measure(struct ir_memory *m, int64_t now);

#endif
