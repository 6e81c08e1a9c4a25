/* Keys of the store: copies and order. */
#include "io/store/store_key.h"
#include <string.h>

#include "io/message.h"

bool
ir_store_key_is_after(
    const struct ir_store_key *a, const struct ir_store_key *b)
{
	bool longer = a->size_bytes > b->size_bytes;
	int order =
	    memcmp(a->bytes, b->bytes, longer ? b->size_bytes : a->size_bytes);

	return order > 0 || (order == 0 && longer);
}

struct ir_store_key
ir_store_key_copy(TALLOC_CTX *mem, const struct ir_store_key *k)
{
	struct ir_store_key copy = {NULL, k->size_bytes};

	if (k->bytes != NULL)
		copy.bytes = ir_check_alloc(
		    talloc_memdup(mem, k->bytes, k->size_bytes + 1));
	return copy;
}
