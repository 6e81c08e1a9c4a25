/* The life cycle of a caller's request, from its head to its answer. */
#include <string.h>
#include <strings.h>

#include "io/admin/io_log.h"
#include "io/callers/caller_conn.h"

#define RING_FULL_RETRY_MS 1000
#define MEMORY_RETRY_MS 1000
#define MAX_METHOD_BYTES 16

void
ir_request_report_abandoned(
    struct ir_callers *c, uint64_t id, const char *reason)
{
	struct ir_to_core *m = ir_to_core_new(IR_TO_CORE_CALL_ABANDONED);

	m->id = id;
	m->reason = reason;
	ir_outbox_push(&c->outbox, m);
}

static bool
is_caller_error(enum ir_error error)
{
	return error == IR_E_BAD_REQUEST || error == IR_E_TOO_LARGE ||
	       error == IR_E_NO_ROUTE;
}

static void
report_refusal(const struct request *r)
{
	struct ir_channel *ch = r->conn->listener->callers->channel;
	const struct ir_error_info *i = ir_error_info(r->refusal.error);

	if (i->outcome == IR_OUTCOME_UNKNOWN) {
		ir_counters_add(&ch->counters, IR_COUNTER_OUTCOME_UNKNOWN, 1);
		ir_io_log_event(ch->log, IR_EVENT_OUTCOME_UNKNOWN,
		    r->refusal.reason, "error=%s", i->name);
		return;
	}
	ir_counters_add(&ch->counters,
	    r->conn->listener->egress ? IR_COUNTER_EGRESS_CALLS
				      : IR_COUNTER_CALLS,
	    1);
	ir_counters_add(&ch->counters, IR_COUNTER_REFUSED, 1);
	if (is_caller_error(r->refusal.error))
		ir_io_log_event(ch->log, IR_EVENT_REQUEST_BAD,
		    r->refusal.reason, "error=%s", i->name);
}

/*
 * Only the last request of a connection may announce its end: a caller reads
 * nothing after an answer with "Connection: close".
 */
static void
decide_close(struct request *r)
{
	if (r->next != NULL)
		r->close_after = false;
	else if (r->conn->listener->callers->close_after_answers)
		r->close_after = true;
	if (r->close_after)
		r->conn->no_more_requests = true;
}

static struct ir_answer_format
answer_format(struct request *r)
{
	const struct ir_callers *c = r->conn->listener->callers;
	struct ir_answer_format format = {
	    .dialect = c->dialect,
	    .head_only = r->is_head_method,
	};

	decide_close(r);
	format.close = r->close_after;
	return format;
}

static void
set_answered(struct request *r)
{
	r->state = REQUEST_ANSWERED;
	r->conn->listener->callers->answered_requests++;
}

static void
free_received(struct request *r)
{
	TALLOC_FREE(r->head);
	TALLOC_FREE(r->call);
	r->body = NULL;
	r->body_bytes = 0;
}

void
ir_request_refuse(struct request *r)
{
	struct ir_answer_format format;

	/* After a malformed request the start of the next one is unknown. */
	if (r->refusal.error == IR_E_BAD_REQUEST)
		r->close_after = true;
	format = answer_format(r);
	report_refusal(r);
	free_received(r);
	r->answer = ir_caller_format_refusal(r, &format, &r->refusal);
	set_answered(r);
	ir_request_update_memory(r);
}

void
ir_request_answer(struct request *r, const struct ir_answer *a)
{
	struct ir_answer_format format;

	if (a->error == IR_E_STOPPING)
		r->close_after = true;
	format = answer_format(r);
	r->answer = ir_caller_format_answer(r, &format, a);
	/*
	 * Refusals are small and sent sooner than answers: they would bias the
	 * average.
	 */
	if (a->error == IR_OK)
		ir_answer_size_add(&r->conn->listener->callers->answer_size,
		    talloc_get_size(r->answer));
	set_answered(r);
	ir_request_update_memory(r);
}

void
ir_request_set_memory_refusal(struct request *r)
{
	struct ir_log *log = r->conn->listener->callers->channel->log;
	const char *attempt = r->call->u.call.caller_attempt;

	r->refusal = ir_refusal_make(IR_E_OVERLOAD, "memory", NULL);
	r->refusal.retry_after_ms = MEMORY_RETRY_MS;
	ir_io_log_event(log, IR_EVENT_CALL_REFUSED, r->refusal.reason,
	    "id=%s error=%s retry_ms=%u", attempt != NULL ? attempt : "none",
	    ir_error_info(IR_E_OVERLOAD)->name, MEMORY_RETRY_MS);
}

void
ir_request_check_head(struct request *r)
{
	const struct ir_callers *callers = r->conn->listener->callers;
	struct ir_call *call = &r->call->u.call;

	call->egress = r->conn->listener->egress;
	call->method = r->head->method;
	if (callers->stop.end_us != 0)
		r->refusal = ir_refusal_make(IR_E_STOPPING, "stopping", NULL);
	if (strlen(call->method) > MAX_METHOD_BYTES ||
	    strcmp(call->method, "CONNECT") == 0)
		r->refusal = ir_refusal_make(
		    IR_E_BAD_REQUEST, "method", "The method is not served.");
	if (r->refusal.error == IR_OK)
		r->refusal = ir_caller_target_read(r->call, callers->dialect,
		    r->head->target, &r->head->raw, call);
	if (r->refusal.error == IR_OK)
		r->refusal = ir_caller_headers_read(
		    r->call, callers->dialect, &r->head->raw, call);
	if (r->refusal.error == IR_OK &&
	    (!ir_callers_can_begin_request(callers) ||
		!ir_callers_can_submit_request(callers)))
		ir_request_set_memory_refusal(r);
}

/*
 * Grows the body to bytes; false if out of memory or over the bound. The growth
 * is charged after all input that was read has been parsed.
 */
static bool
grow_body(struct request *r, size_t bytes)
{
	size_t before = talloc_get_size(r->body);
	size_t grown;

	if (!ir_bytes_grow(r->call, &r->body, bytes))
		return false;
	grown = talloc_get_size(r->body) - before;
	return grown == 0 ||
	       ir_callers_have_memory(r->conn->listener->callers, grown);
}

void
ir_request_add_body(struct request *r, const uint8_t *data, size_t size)
{
	if (r->refusal.error != IR_OK)
		return;
	if (r->body_bytes + size > IR_MAX_BODY) {
		r->refusal = ir_refusal_make(
		    IR_E_TOO_LARGE, "body", "The body is too large.");
		return;
	}
	if (!grow_body(r, r->body_bytes + size)) {
		ir_request_set_memory_refusal(r);
		return;
	}
	memcpy(r->body + r->body_bytes, data, size);
	r->body_bytes += size;
}

static void
refuse_ring_full(struct request *r)
{
	struct ir_channel *ch = r->conn->listener->callers->channel;

	r->refusal = ir_refusal_make(IR_E_OVERLOAD, "ring-full", NULL);
	r->refusal.retry_after_ms = RING_FULL_RETRY_MS;
	ir_counters_add(&ch->counters, IR_COUNTER_RING_FULL, 1);
	ir_io_log_event(ch->log, IR_EVENT_RING_FULL, NULL, "ring=callers");
	ir_request_refuse(r);
}

/* Copies strings of the request, which is freed before the message. */
static void
copy_strings(struct request *r)
{
	struct ir_call *call = &r->call->u.call;

	call->method = ir_text_copy(r->call, call->method);
	call->headers =
	    ir_headers_copy(r->call, call->headers, call->header_count);
	call->idempotency_key = ir_text_copy(r->call, call->idempotency_key);
	call->parent_attempt = ir_text_copy(r->call, call->parent_attempt);
	call->caller_attempt = ir_text_copy(r->call, call->caller_attempt);
}

void
ir_request_submit(struct request *r)
{
	struct ir_callers *c = r->conn->listener->callers;
	struct ir_call *call = &r->call->u.call;

	call->body = r->body;
	call->body_bytes = r->body_bytes;
	if (r->refusal.error == IR_OK)
		r->refusal = ir_caller_key_check(
		    c->dialect, call, r->head->target, &r->head->raw);
	/* Other requests may have been submitted since the head was read. */
	if (r->refusal.error == IR_OK && !ir_callers_can_submit_request(c))
		ir_request_set_memory_refusal(r);
	if (r->refusal.error != IR_OK) {
		ir_request_refuse(r);
		return;
	}
	r->id = ++c->last_call_id;
	call->id = r->id;
	copy_strings(r);
	if (!ir_message_charge_has_room(c->memory, call->body_bytes)) {
		refuse_ring_full(r);
		return;
	}
	ir_message_charge_hold(&r->call->charge, c->memory, call->body_bytes);
	if (!ir_outbox_flush(&c->outbox) ||
	    !ir_ring_push(c->channel->to_core, r->call)) {
		refuse_ring_full(r);
		return;
	}
	/* The ring has taken ownership of the message. */
	r->call = NULL;
	free_received(r);
	r->state = REQUEST_SUBMITTED;
	HASH_ADD(hh, c->submitted, id, sizeof(r->id), r);
	ir_request_update_memory(r);
}
