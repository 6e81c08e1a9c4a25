/* Keys of the store: copies and order. */
#include "io/store/store_key.h"
#include "io/message.h"

struct ir_store_key
ir_store_key_copy(TALLOC_CTX *mem, const struct ir_store_key *k)
{
	struct ir_store_key copy = {NULL, k->size_bytes};

	if (k->bytes != NULL)
		copy.bytes = ir_check_alloc(
		    talloc_memdup(mem, k->bytes, k->size_bytes + 1));
	return copy;
}
