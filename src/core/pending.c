/* Encoded messages that wait to be sent or handled. */
#include "core/internal.h"
#include "link/codec.h"

struct pending_message *
pending_message_new(TALLOC_CTX *mem, uint32_t xid, const struct ir_msg *m)
{
	struct pending_message *q = talloc_zero(mem, struct pending_message);

	if (q == NULL)
		return NULL;
	q->size_bytes = ir_codec_encode(q, xid, m, &q->data);
	if (q->size_bytes == 0)
		TALLOC_FREE(q);
	return q;
}
