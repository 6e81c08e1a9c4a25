/* The native dialect: header names and store requests of ibisrail itself. */
#include <string.h>

#include <inttypes.h>

#include "conf/settings.h"
#include "ibisrail/dialect.h"
#include "ibisrail/node.h"
#include "io/store/store_answer.h"
#include "link/peer.h"

#define HTTP_OK 200
/* Below IR_VIEW_POLL_US, so that each read confirms the view in time. */
#define WAIT_MS 350

static char *
target(const struct ir_settings *s, TALLOC_CTX *mem,
    const struct ir_store_query *query)
{
	return talloc_asprintf(mem, "/v1/%s?after=%" PRIu64 "&wait_ms=%" PRIu32,
	    query->hosts ? "hosts" : "config", query->revision, query->wait_ms);
}

static enum ir_store_result
read_page(const struct ir_settings *s, TALLOC_CTX *mem,
    const struct ir_store_query *query, uint16_t status, const char *text,
    size_t size_bytes, struct ir_store_page *page, const char **error)
{
	struct ir_store_read r = {0};

	*error = "status is not 200";
	if (status != HTTP_OK || text == NULL)
		return IR_STORE_FAILED;
	if (ir_store_answer_parse(mem, text, size_bytes, &r, error) != 0)
		return IR_STORE_FAILED;
	page->era = r.era;
	page->has_era = r.has_era;
	page->full = r.complete;
	page->revision = r.revision;
	page->items =
	    talloc_zero_array(mem, struct ir_store_item, r.section_count + 1);
	*error = "out of memory";
	if (page->items == NULL)
		return IR_STORE_FAILED;
	for (size_t i = 0; i < r.section_count; i++) {
		struct ir_store_item *to = &page->items[i];

		to->key.bytes = r.sections[i].name;
		to->key.size_bytes = strlen(r.sections[i].name);
		to->section = r.sections[i].name;
		to->text = r.sections[i].text;
		to->revision = r.sections[i].revision;
	}
	page->item_count = r.section_count;
	return IR_STORE_OK;
}

const struct ir_dialect ir_native_dialect = {
    .headers =
	{
	    .deadline = "Ibisrail-Deadline-Ms",
	    .account = "Ibisrail-Account",
	    .gate_attempt = "Ibisrail-Attempt",
	    .request = "Ibisrail-Request",
	    .importance = "Ibisrail-Importance",
	    .not_run = "Ibisrail-Outcome",
	    .statement = {.rate_limit = "Upstream-Rate-Limit"},
	    .cold_remaining = "Upstream-Cold-Remaining-Ms",
	    .upstream_id = "Upstream-Id",
	},
    .store =
	{
	    .request_target = target,
	    .parse_answer = read_page,
	    .config_wait_ms = WAIT_MS,
	    .hosts_wait_ms = WAIT_MS,
	    .min_pause_ms = 10,
	},
    .ready_path = "/ready",
};

uint16_t
ir_dialect_error_status(const struct ir_dialect *d, enum ir_error kind)
{
	if (d->error_status != NULL && d->error_status[kind] != 0)
		return d->error_status[kind];
	return ir_error_info(kind)->http_status;
}
