/* Messages between the core's thread and the others. */
#include <json.h>
#include <stdlib.h>

#include "io/message.h"
#include "link/codec.h"

/* Initial size of a buffer that ir_bytes_grow() allocates. */
#define START_BYTES 4096

struct ir_channel *
ir_channel_new(
    TALLOC_CTX *mem, struct ir_wakeup *core, struct ir_log *log, uint32_t slots)
{
	struct ir_channel *c = talloc_zero(mem, struct ir_channel);

	if (c == NULL)
		return NULL;
	c->log = log;
	c->wakeup = ir_wakeup_new(c);
	if (c->wakeup == NULL)
		goto fail;
	c->to_core = ir_ring_new(c, core, slots);
	c->from_core = ir_ring_new(c, c->wakeup, slots);
	if (c->to_core == NULL || c->from_core == NULL)
		goto fail;
	return c;

fail:
	talloc_free(c);
	return NULL;
}

void *
ir_check_alloc(void *p)
{
	if (p == NULL)
		abort();
	return p;
}

/* Typical size of a message without its content. */
#define MESSAGE_BYTES 2048

void
ir_message_charge_hold(
    struct ir_message_charge *c, struct ir_memory *memory, size_t content_bytes)
{
	c->memory = memory;
	c->bytes = MESSAGE_BYTES + content_bytes;
	ir_memory_hold(memory, IR_MEMORY_RINGS, c->bytes);
}

bool
ir_message_charge_has_room(const struct ir_memory *memory, size_t content_bytes)
{
	return ir_memory_has_room(
	    memory, IR_MEMORY_RINGS, MESSAGE_BYTES + content_bytes);
}

void
ir_message_charge_release(struct ir_message_charge *c)
{
	if (c->memory != NULL)
		ir_memory_release(c->memory, IR_MEMORY_RINGS, c->bytes);
	c->memory = NULL;
}

static int
free_to_core(struct ir_to_core *m)
{
	ir_message_charge_release(&m->charge);
	if (m->kind == IR_TO_CORE_PEER_MESSAGE)
		ir_codec_free(&m->u.msg);
	return 0;
}

struct ir_to_core *
ir_to_core_new(enum ir_to_core_kind kind)
{
	struct ir_to_core *m =
	    ir_check_alloc(talloc_zero(NULL, struct ir_to_core));

	m->kind = kind;
	talloc_set_destructor(m, free_to_core);
	return m;
}

static int
free_from_core(struct ir_from_core *m)
{
	ir_message_charge_release(&m->charge);
	if (m->kind == IR_FROM_CORE_REPORT && m->u.report.json != NULL)
		json_object_put(m->u.report.json);
	return 0;
}

struct ir_from_core *
ir_from_core_new(enum ir_from_core_kind kind)
{
	struct ir_from_core *m =
	    ir_check_alloc(talloc_zero(NULL, struct ir_from_core));

	m->kind = kind;
	talloc_set_destructor(m, free_from_core);
	return m;
}

struct ir_header *
ir_headers_copy(TALLOC_CTX *mem, const struct ir_header *headers, size_t count)
{
	struct ir_header *h;

	if (count == 0)
		return NULL;
	h = ir_check_alloc(talloc_array(mem, struct ir_header, count));
	for (size_t i = 0; i < count; i++) {
		h[i].name = ir_text_copy(h, headers[i].name);
		h[i].value = ir_text_copy(h, headers[i].value);
	}
	return h;
}

uint8_t *
ir_bytes_copy(TALLOC_CTX *mem, const uint8_t *data, size_t size_bytes)
{
	if (size_bytes == 0)
		return NULL;
	return ir_check_alloc(talloc_memdup(mem, data, size_bytes));
}

char *
ir_text_copy(TALLOC_CTX *mem, const char *text)
{
	if (text == NULL)
		return NULL;
	return ir_check_alloc(talloc_strdup(mem, text));
}

bool
ir_bytes_grow(TALLOC_CTX *mem, uint8_t **data, size_t wanted_bytes)
{
	size_t capacity = talloc_get_size(*data);
	uint8_t *p;

	if (wanted_bytes <= capacity)
		return true;
	if (capacity == 0)
		capacity = START_BYTES;
	while (capacity < wanted_bytes)
		capacity *= 2;
	p = talloc_realloc(mem, *data, uint8_t, capacity);
	if (p == NULL)
		return false;
	*data = p;
	return true;
}
