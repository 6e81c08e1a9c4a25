/* What the process holds, as the system counts it. */
#ifndef IR_IO_MEMORY_H
#define IR_IO_MEMORY_H

#include "ibisrail/memory.h"

/*
 * Notes the process's own pages, those of files not counted; leaves the last
 * value when the system does not tell. True when ir_memory_is_short() changed.
 * While it is short, what the allocator holds and nothing uses is given back
 * once a second. For one thread only.
 */
bool ir_memory_measure(struct ir_memory *m, int64_t now);

#endif
