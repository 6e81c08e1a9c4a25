/* Includes uthash with XXH64 as its hash function. */
#ifndef IR_CORE_TABLE_H
#define IR_CORE_TABLE_H

#include <xxhash.h>

#define HASH_FUNCTION(key, size_bytes, hash) \
	((hash) = (unsigned)XXH64(key, size_bytes, 0))

#include <uthash.h>

#endif
