/* What the files of the core share: view, own host, random numbers, log. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "core/internal.h"

const struct ir_view *
node_view(struct ir_node *n)
{
	return ir_sections_view(n->sections);
}

const struct ir_host *
node_self_or_placeholder(struct ir_node *n)
{
	const struct ir_host *self = node_self(n);

	return self != NULL ? self : &n->placeholder_self;
}

bool
node_serves_unlisted(struct ir_node *n)
{
	return node_view(n)->serve_unconfirmed;
}

const struct ir_host *
node_self(struct ir_node *n)
{
	return ir_view_host(node_view(n), n->settings.host);
}

uint64_t
node_random(struct ir_node *n)
{
	n->random_state++;
	return XXH64(
	    &n->random_state, sizeof(n->random_state), n->settings.seed);
}

uint32_t
node_jitter_ms(struct ir_node *n, uint32_t base_ms)
{
	return base_ms + (uint32_t)(node_random(n) % (base_ms + 1));
}

const char *
node_log_id(char *buffer, const char *caller_attempt,
    const struct ir_request_id *request)
{
	if (caller_attempt != NULL && caller_attempt[0] != '\0')
		return caller_attempt;
	(void)snprintf(buffer, NODE_LOG_ID_BYTES, "%016llx%016llx",
	    (unsigned long long)request->high,
	    (unsigned long long)request->low);
	return buffer;
}

void
node_log(struct ir_node *n, enum ir_event e, const char *fmt, ...)
{
	char fields[1024];
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	n->ops.log(n->ctx, e, fields);
}

enum ir_view_state
node_view_state(struct ir_node *n, int64_t now)
{
	if (n->settings.baseline_policy)
		return IR_VIEW_CONFIRMED;
	return ir_view_lease_state(n->view_lease, now,
	    ir_sections_config_revision(n->sections),
	    ir_sections_list_revision(n->sections));
}

enum ir_error
node_check_key(struct ir_node *n, int64_t now, bool open, const char *account,
    const char *key_digest)
{
	const struct ir_view *v = node_view(n);
	const struct ir_account *a;

	if (node_view_state(n, now) == IR_VIEW_UNCONFIRMED &&
	    !v->serve_unconfirmed)
		return IR_E_VIEW_UNCONFIRMED;
	if (open)
		return IR_OK;
	if (key_digest[0] == '\0')
		return IR_E_NO_KEY;
	a = ir_view_account_by_key(v, key_digest);
	if (a == NULL || strcmp(a->name, account) != 0)
		return IR_E_KEY_UNKNOWN;
	return IR_OK;
}

void
ir_node_revisions(const struct ir_node *n, uint64_t *config, uint64_t *list)
{
	*config = ir_sections_config_revision(n->sections);
	*list = ir_sections_list_revision(n->sections);
}
