/* The events that the I/O side reports to the node. */
#include "core/internal.h"

/*
 * Does the work that event handlers must not do while they run: applies a
 * changed view, delivers messages to this node and starts runs.
 */
static void
run_deferred(struct ir_node *n, int64_t now)
{
	control_view_changed(n, now);
	do {
		dispatch_own_messages(n, now);
		run_start_all(n, now);
	} while (n->self_head != NULL || n->runs_to_start);
}

void
ir_node_call(struct ir_node *n, int64_t now, const struct ir_call *in)
{
	n->now_us = now;
	call_accept(n, now, in);
	run_deferred(n, now);
}

void
ir_node_caller_disconnected(
    struct ir_node *n, int64_t now, uint64_t id, const char *reason)
{
	n->now_us = now;
	call_disconnected(n, now, id, reason);
	run_deferred(n, now);
}

void
ir_node_run_ended(struct ir_node *n, int64_t now, uint64_t run,
    const struct ir_run_result *res)
{
	n->now_us = now;
	run_ended(n, now, run, res);
	run_deferred(n, now);
}

void
ir_node_upstream_checked(
    struct ir_node *n, int64_t now, const struct ir_check_result *res)
{
	n->now_us = now;
	local_upstream_checked(n, now, res);
	run_deferred(n, now);
}

void
ir_node_store_read(
    struct ir_node *n, int64_t now, const struct ir_store_read *r)
{
	n->now_us = now;
	control_store_read(n, now, r);
	run_deferred(n, now);
}

void
ir_node_store_failed(struct ir_node *n, int64_t now, int64_t request_sent_us)
{
	n->now_us = now;
	control_store_failed(n, now, request_sent_us);
	run_deferred(n, now);
}

void
ir_node_conn_established(struct ir_node *n, int64_t now, uint32_t conn)
{
	n->now_us = now;
	link_conn_established(n, now, conn);
	run_deferred(n, now);
}

void
ir_node_conn_closed(struct ir_node *n, int64_t now, uint32_t conn)
{
	n->now_us = now;
	link_conn_closed(n, now, conn);
	run_deferred(n, now);
}

void
ir_node_conn_progress(struct ir_node *n, int64_t now, uint32_t conn)
{
	n->now_us = now;
	link_conn_progress(n, now, conn);
}

void
ir_node_message_received(struct ir_node *n, int64_t now, uint32_t conn,
    uint32_t xid, const struct ir_msg *m)
{
	n->now_us = now;
	dispatch_message(n, now, conn, xid, m);
	run_deferred(n, now);
}

bool
ir_node_send_unsent(struct ir_node *n, int64_t now)
{
	n->now_us = now;
	return serve_send_unsent(n, now) && n->unsent_replies == NULL;
}

void
ir_node_tick(struct ir_node *n, int64_t now)
{
	n->now_us = now;
	(void)(unsent_send(n, now, dispatch_repeat_request) &&
	       serve_send_unsent(n, now));
	control_update_lease(n, now);
	local_upstream_tick(n, now);
	/*
	 * After a pause of this process both are due: refusals by its own gate
	 * are handled before its calls time out, as their outcome is known.
	 */
	run_tick(n, now);
	dispatch_own_messages(n, now);
	call_tick(n, now);
	link_tick(n, now);
	suspects_tick(n, now);
	control_tick(n, now);
	run_deferred(n, now);
}

void
ir_node_stop(struct ir_node *n, int64_t now, const struct ir_stop_times *times)
{
	n->now_us = now;
	n->stopping = true;
	n->stop_times = *times;
	node_log(n, IR_EVENT_STOPPING, "calls=%u open_records=%zu",
	    HASH_COUNT(n->calls), ir_records_open_count(n->records));
	run_deferred(n, now);
}
