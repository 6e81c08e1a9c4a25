/* Reads and checks the head of an answer. */
#include <string.h>
#include <talloc.h>

#include "io/http_head.h"
#include "io/message.h"
#include "io/upstream/answer_head.h"

/* CRs and LFs before the first line. */
static size_t
blank_bytes(const uint8_t *data, size_t size_bytes)
{
	size_t n = 0;

	while (n < size_bytes && (data[n] == '\r' || data[n] == '\n'))
		n++;
	return n;
}

/*
 * Number of bytes up to the end of the empty line that ends the head, or all of
 * them. Sets *complete if that line is among them.
 */
static size_t
find_end(struct ir_answer_head *h, const uint8_t *data, size_t size_bytes,
    bool *complete)
{
	for (size_t i = 0; i < size_bytes; i++) {
		if (data[i] == '\n' && h->line_bytes == 0) {
			*complete = true;
			return i + 1;
		}
		if (data[i] == '\n')
			h->line_bytes = 0;
		else if (data[i] != '\r')
			h->line_bytes++;
	}
	*complete = false;
	return size_bytes;
}

static bool
charge(struct ir_answer_head *h, size_t bytes)
{
	if (h->memory == NULL)
		return true;
	if (!ir_upstream_memory_reserve(h->memory, bytes))
		return false;
	h->charged_bytes += bytes;
	return true;
}

/* Keeps a piece; returns false if there is no memory for it. */
static bool
append(struct ir_answer_head *h, const uint8_t *data, size_t size_bytes)
{
	size_t wanted = h->pieces_bytes + size_bytes;
	size_t before = talloc_get_size(h->pieces);

	if (!ir_bytes_grow(NULL, &h->pieces, wanted) ||
	    !charge(h, talloc_get_size(h->pieces) - before)) {
		h->fault = "memory";
		return false;
	}
	memcpy(h->pieces + h->pieces_bytes, data, size_bytes);
	h->pieces_bytes = wanted;
	return true;
}

/* Sets the complete head, in data or in the pieces. */
static void
set_text(struct ir_answer_head *h, const uint8_t *data, size_t size_bytes)
{
	h->text = h->pieces_bytes > 0 ? h->pieces : data;
	h->text_bytes = h->pieces_bytes > 0 ? h->pieces_bytes : size_bytes;
	h->fault = ir_http_answer_head_fault(h->text, h->text_bytes);
	if (h->fault != NULL)
		h->text = NULL;
}

size_t
ir_answer_head_read(
    struct ir_answer_head *h, const uint8_t *data, size_t size_bytes)
{
	bool complete;
	size_t n;

	if (h->pieces_bytes == 0) {
		n = blank_bytes(data, size_bytes);
		if (n > 0)
			return n;
	}
	n = find_end(h, data, size_bytes, &complete);
	if (h->pieces_bytes + n > IR_MAX_ANSWER_HEAD_BYTES) {
		h->fault = "head-too-large";
		return n;
	}
	if ((!complete || h->pieces_bytes > 0) && !append(h, data, n))
		return n;
	if (complete)
		set_text(h, data, n);
	return n;
}

void
ir_answer_head_reset(struct ir_answer_head *h)
{
	struct ir_upstream_memory *memory = h->memory;

	/* Once nothing is charged, memory may have been freed. */
	if (h->charged_bytes > 0)
		ir_upstream_memory_release(memory, h->charged_bytes);
	talloc_free(h->pieces);
	*h = (struct ir_answer_head){.memory = memory};
}
