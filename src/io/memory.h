/* What the process holds, as the system counts it. */
#ifndef IR_IO_MEMORY_H
#define IR_IO_MEMORY_H

#include "ibisrail/memory.h"

/*
 * Notes the process's own pages, those of files not counted, in
 * m->process_bytes. Any one thread; leaves the last value when the system does
 * not tell.
 */
void ir_memory_measure(struct ir_memory *m);

#endif
