/* The store client's thread. */
#include <curl/curl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/random.h"
#include "core/unconst.h"

#include "host/coverage.h"
#include "host/position.h"
#include "ibisrail/memory.h"
#include "io/admin/io_log.h"
#include "io/clock.h"
#include "io/store/curl_finished.h"
#include "io/store/host_items.h"
#include "io/store/store_answer.h"
#include "io/store/store_client.h"
#include "io/store/store_key.h"
#include "log/value.h"

/* Added to the wait for a change; below IR_VIEW_POLL_US. */
#define ANSWER_TIMEOUT_MS 350
#define BACKOFF_MIN_US (200 * IR_US_PER_MS)
#define BACKOFF_MAX_US (1000 * IR_US_PER_MS)
/* Full reads that all hosts start for one reason are spread over this time. */
#define FULL_READ_SPREAD_MS 300
#define MAX_ERA_BYTES 24
/* Of an answer: headers, those of provisional answers, and trailers. */
#define MAX_HEADER_BYTES (64 * 1024)
/*
 * Wait of a watch after a failed read: what it finds is evidence of an outage
 * or of its end, and must not be old when it comes.
 */
#define FAILED_WAIT_MS 200
#define POLL_MS 1000
#define DECIMAL 10
/* Interval between attempts to push messages into a full ring. */
#define BACKLOG_RETRY_MS 1

/*
 * An answer may have this fraction of the memory limit: its text, the parsed
 * document and the sections made of it exist at the same time.
 */
#define ANSWER_DIVISOR 16
#define BYTES_PER_MB (UINT64_C(1024) * 1024)

static const struct ir_store_key no_key;

/* Repeated reads of the configuration or of the host list. */
struct watch {
	struct ir_store_client *client;
	enum ir_store_part part;
	uint64_t after; /* where the read in flight began; 0: full read */
	struct ir_store_key next_key; /* of a full read: its next page */
	uint64_t full_read_revision;  /* store revision of its first page */
	uint64_t reached; /* store revision up to which the last read went */
	struct ir_host_items *host_items; /* NULL: items are sections */
	uint64_t section_position;	  /* highest delivered to the core */
	uint64_t generation; /* of the whole configuration: highest delivered */
	char *reported_error; /* logged since the last success */
	bool failed;	      /* the last read failed */
	int64_t answered_us;  /* end of the last read that did not */
	bool full_read_due;   /* whatever the core holds */
	/*
	 * When sections absent from a full read are removed, by another one: an
	 * older copy may lack what peers hold. 0: they are by every one.
	 */
	int64_t removals_due_us;
	int64_t removal_due_us; /* of delayed removals; 0: none */
	CURL *easy;		/* NULL: no read in flight */
	int64_t started_us;
	int64_t next_read_us;
	int64_t backoff_us;
	struct ir_to_core *message; /* of the read; owns body */
	char *body;
	size_t body_bytes;
	size_t header_bytes;
	char era[MAX_ERA_BYTES]; /* value of the header; "": none */
	bool too_large;		 /* the answer, so its rest was not read */
};

struct ir_store_client {
	struct ir_channel *channel;
	struct ir_outbox outbox;
	size_t max_answer_bytes;
	CURLM *multi;
	char *base_url; /* "http://ADDRESS:PORT" */
	const struct ir_settings *settings;
	const struct ir_store_dialect *dialect;
	struct watch config;
	struct watch hosts;
	struct ir_coverage coverage; /* in the present era */
	uint64_t era;		     /* of the last valid answer */
	bool has_era;
	uint64_t random;
	bool polling;
	bool stopping;
};

static size_t
on_body_data(char *data, size_t size, size_t count, void *ctx)
{
	struct watch *w = ctx;
	size_t bytes = size * count;
	size_t wanted = w->body_bytes + bytes;
	size_t capacity = talloc_get_size(w->body);
	char *text;

	w->too_large = wanted > w->client->max_answer_bytes;
	if (w->too_large)
		return 0;
	if (wanted > capacity) {
		capacity = capacity * 2 > wanted ? capacity * 2 : wanted;
		text = talloc_realloc(w->message, w->body, char, capacity);
		if (text == NULL)
			return 0;
		w->body = text;
	}
	memcpy(w->body + w->body_bytes, data, bytes);
	w->body_bytes = wanted;
	return bytes;
}

/* A header of any part of the answer; libcurl keeps all of them. */
static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct watch *w = ctx;
	const char *name = w->client->dialect->era_header;
	size_t n = name != NULL ? strlen(name) : 0, length = 0;
	size_t bytes = size * count;

	w->header_bytes += bytes;
	w->too_large = w->header_bytes > MAX_HEADER_BYTES;
	if (w->too_large)
		return 0;
	if (n == 0 || bytes <= n || strncasecmp(data, name, n) != 0 ||
	    data[n] != ':')
		return bytes;
	for (size_t i = n + 1; i < bytes && length < MAX_ERA_BYTES - 1; i++) {
		if (strchr(" \t\r\n", data[i]) == NULL)
			w->era[length++] = data[i];
	}
	w->era[length] = '\0';
	return bytes;
}

static void
end_read(struct watch *w)
{
	if (w->easy == NULL)
		return;
	curl_multi_remove_handle(w->client->multi, w->easy);
	curl_easy_cleanup(w->easy);
	w->easy = NULL;
	w->body = NULL;
	w->body_bytes = 0;
	TALLOC_FREE(w->message);
}

static bool
is_of_hosts(const struct watch *w)
{
	return w->part == IR_PART_HOSTS;
}

static uint64_t
covered_revision(const struct watch *w)
{
	return w->client->coverage.revision[w->part];
}

static struct ir_read_plan
next_read(const struct watch *w)
{
	return ir_coverage_plan(&w->client->coverage, w->part);
}

static uint32_t
change_wait_ms(const struct watch *w)
{
	const struct ir_store_dialect *d = w->client->dialect;
	uint32_t wait_ms =
	    is_of_hosts(w) ? d->hosts_wait_ms : d->config_wait_ms;

	/* A full read needs the time for its answer. */
	if (w->failed && covered_revision(w) != 0 && wait_ms > FAILED_WAIT_MS)
		return FAILED_WAIT_MS;
	return wait_ms;
}

static long
read_timeout_ms(const struct watch *w)
{
	uint32_t full_read_ms = w->client->dialect->full_read_ms;

	if (w->after == 0 && full_read_ms != 0)
		return (long)full_read_ms;
	return (long)change_wait_ms(w) + ANSWER_TIMEOUT_MS;
}

static struct ir_store_query
make_query(const struct watch *w)
{
	struct ir_store_query query = {
	    .hosts = is_of_hosts(w),
	    .revision = w->after,
	    .after_key = w->next_key,
	    .wait_ms = change_wait_ms(w),
	};

	return query;
}

static void
set_transfer_options(struct watch *w)
{
	struct ir_store_client *c = w->client;
	struct ir_store_query query = make_query(w);
	CURL *e = w->easy;
	char *path =
	    c->dialect->request_target(c->settings, w->message, &query);
	char *url = ir_check_alloc(
	    talloc_asprintf(w->message, "%s%s", c->base_url, path));

	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, read_timeout_ms(w));
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body_data);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, w);
	curl_easy_setopt(e, CURLOPT_PRIVATE, w);
	w->era[0] = '\0';
	w->header_bytes = 0;
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, w);
	talloc_free(path);
}

static void
handle_read_failure(struct watch *w, int64_t now)
{
	struct ir_to_core *m = ir_to_core_new(IR_TO_CORE_STORE_FAILED);

	m->request_sent_us = w->started_us;
	ir_outbox_push(&w->client->outbox, m);
	end_read(w);
	w->failed = true;
	w->next_read_us = now + w->backoff_us;
	w->backoff_us *= 2;
	if (w->backoff_us > BACKOFF_MAX_US)
		w->backoff_us = BACKOFF_MAX_US;
}

static void
start_read(struct watch *w, int64_t now)
{
	w->started_us = now;
	w->after = next_read(w).after;
	w->message = ir_to_core_new(IR_TO_CORE_STORE_READ);
	w->easy = curl_easy_init();
	if (w->easy == NULL) {
		TALLOC_FREE(w->message);
		handle_read_failure(w, now);
		return;
	}
	set_transfer_options(w);
	if (curl_multi_add_handle(w->client->multi, w->easy) != CURLM_OK)
		handle_read_failure(w, now);
}

static uint64_t
position(const struct ir_store_client *c, uint64_t revision)
{
	return ir_position(c->era, revision);
}

static void
add_sections(struct watch *w, const struct ir_store_page *page)
{
	struct ir_store_read *r = &w->message->u.store;
	struct ir_section *list = ir_check_alloc(talloc_zero_array(
	    w->message, struct ir_section, page->item_count + 1));

	for (size_t i = 0; i < page->item_count; i++) {
		list[i].name = page->items[i].section;
		list[i].text = page->items[i].text;
		list[i].revision = position(w->client, page->items[i].revision);
	}
	r->sections = list;
	r->section_count = page->item_count;
}

/*
 * Converts each item of the page to a section. A configuration that is older as
 * a whole than the one delivered, from an older copy of the store, is left out:
 * the sections that it lacks must not be removed.
 */
static void
set_sections(struct watch *w, struct ir_store_page *page)
{
	struct ir_store_client *c = w->client;
	struct ir_store_read *r = &w->message->u.store;

	if (page->generation < w->generation) {
		page->item_count = 0;
		page->full = false;
	}
	if (page->generation > w->generation)
		w->generation = page->generation;
	add_sections(w, page);
	r->complete = page->full && w->removals_due_us == 0;
	r->revision = position(c, page->revision);
	if (!c->dialect->uses_host_items)
		return;
	/* Heartbeats raise page->revision, without a configuration change. */
	for (size_t i = 0; i < page->item_count; i++) {
		if (r->sections[i].revision > w->section_position)
			w->section_position = r->sections[i].revision;
	}
	r->reached_revision = r->revision;
	r->revision = w->section_position;
}
static const char *
log_key(char buffer[IR_LOG_VALUE_BYTES], const struct ir_store_key *key)
{
	return ir_log_value(buffer, key->bytes, key->size_bytes);
}

static void
log_unreadable_item(struct watch *w, const struct ir_store_item *item)
{
	char key[IR_LOG_VALUE_BYTES];

	ir_io_log_event(w->client->channel->log, IR_EVENT_SECTION_REFUSED,
	    "unreadable", "key=%s revision=%" PRIu64, log_key(key, &item->key),
	    item->revision);
}

static void
log_item_not_used(void *ctx, const struct ir_store_key *key,
    const char *section, const struct ir_store_key *used)
{
	const struct ir_store_client *c = ctx;
	char key_text[IR_LOG_VALUE_BYTES], used_text[IR_LOG_VALUE_BYTES];

	ir_io_log_event(c->channel->log, IR_EVENT_ENTRY_NOT_USED, NULL,
	    "key=%s section=%s used=%s", log_key(key_text, key), section,
	    log_key(used_text, used));
}

/* Logs an error once while successive reads fail with the same error. */
static void
log_invalid_answer(struct watch *w, const char *error)
{
	char after[IR_LOG_VALUE_BYTES];

	if (w->reported_error != NULL && strcmp(w->reported_error, error) == 0)
		return;
	talloc_free(w->reported_error);
	w->reported_error = ir_text_copy(w->client, error);
	ir_io_log_event(w->client->channel->log, IR_EVENT_SECTION_REFUSED,
	    error, "part=%s revision=%" PRIu64 " after=%s",
	    is_of_hosts(w) ? "hosts" : "config", covered_revision(w),
	    log_key(after, &w->next_key));
}

static void
set_next_key(struct watch *w, const struct ir_store_key *key)
{
	talloc_free(ir_unconst(w->next_key.bytes));
	w->next_key = ir_store_key_copy(w->client, key);
}

/* Adds a page to the read; false if the full read has further pages. */
static bool
add_page(struct watch *w, struct ir_store_page *page)
{
	struct ir_store_read *r = &w->message->u.store;
	bool first_page = page->full && ir_store_key_is_none(&w->next_key);

	if (w->host_items == NULL) {
		set_sections(w, page);
		return true;
	}
	if (first_page) {
		ir_host_items_begin_full_read(w->host_items);
		w->full_read_revision = page->revision;
	}
	for (size_t i = 0; i < page->item_count; i++) {
		struct ir_store_item item = page->items[i];

		item.revision = position(w->client, item.revision);
		if (ir_host_items_put(w->host_items, &item))
			log_unreadable_item(w, &page->items[i]);
	}
	set_next_key(w, &page->next_key);
	if (page->full && !ir_store_key_is_none(&w->next_key))
		return false;
	if (page->full)
		ir_host_items_end_full_read(w->host_items);
	w->reached = page->full ? w->full_read_revision : page->revision;
	r->reached_revision = position(w->client, w->reached);
	return true;
}

/* Sends the read to the core. */
static void
deliver(struct watch *w)
{
	struct ir_store_read *r = &w->message->u.store;

	r->request_sent_us = w->started_us;
	r->is_host_list = is_of_hosts(w);
	w->full_read_due = false;
	TALLOC_FREE(w->body);
	ir_outbox_push(&w->client->outbox, w->message);
	w->message = NULL;
}

static void
reset_failure_state(struct watch *w, int64_t now)
{
	if (w->failed && w->host_items != NULL) {
		ir_host_items_store_recovered(
		    w->host_items, now - w->answered_us);
		w->removal_due_us = now + ir_host_items_grace_us(w->host_items);
	}
	w->failed = false;
	w->answered_us = now;
}

/* A page of a read that fails later is no reason to repeat it sooner. */
static void
reset_backoff(struct watch *w)
{
	TALLOC_FREE(w->reported_error);
	w->backoff_us = BACKOFF_MIN_US;
}

/*
 * A read without changes is not repeated before its wait has passed, so that a
 * store that answers without waiting is not read continuously.
 */
static void
schedule_next_read(struct watch *w, int64_t now, bool has_items)
{
	int64_t wait_us = change_wait_ms(w) * IR_US_PER_MS;

	w->next_read_us = now + w->client->dialect->min_pause_ms * IR_US_PER_MS;
	if (!has_items && w->started_us + wait_us > w->next_read_us)
		w->next_read_us = w->started_us + wait_us;
}

/*
 * Delivers the configuration from the answer to a watch of the host list that
 * began at a revision.
 */
static void
deliver_config(struct ir_store_client *c, int64_t started_us, uint64_t after,
    const struct ir_store_page *page)
{
	struct watch *w = &c->config;
	struct ir_store_page config = {
	    .full = page->config_items != NULL,
	    .revision = page->revision,
	    .items = page->config_items,
	    .item_count = page->config_item_count,
	    .generation =
		page->config_items != NULL ? page->generation : w->generation,
	};

	/* A changed configuration comes as a whole. */
	if (!ir_coverage_add(&c->coverage, IR_PART_CONFIG,
		config.full ? 0 : after, page->revision))
		return;
	end_read(w);
	w->message = ir_to_core_new(IR_TO_CORE_STORE_READ);
	w->started_us = started_us;
	if (page->config_items != NULL)
		talloc_steal(w->message, page->config_items);
	set_sections(w, &config);
	deliver(w);
}

/* Whether the page is the last one, or ends behind the key that it follows. */
static bool
ends_further(const struct watch *w, const struct ir_store_page *page)
{
	return ir_store_key_is_none(&w->next_key) ||
	       ir_store_key_is_none(&page->next_key) ||
	       ir_store_key_is_after(&page->next_key, &w->next_key);
}

/* The next read of the list begins with its first page. */
static void
handle_stuck_list(struct watch *w, int64_t now)
{
	log_invalid_answer(
	    w, "page does not end behind the key that it follows");
	set_next_key(w, &no_key);
	handle_read_failure(w, now);
}

static void
handle_page(struct watch *w, int64_t now, struct ir_store_page *page)
{
	struct ir_store_client *c = w->client;
	struct ir_store_read *r = &w->message->u.store;
	uint64_t reached = page->revision;

	reset_failure_state(w, now);
	if (!add_page(w, page)) {
		end_read(w);
		w->next_read_us = now;
		return;
	}
	reset_backoff(w);
	if (is_of_hosts(w) && c->dialect->hosts_include_config && !page->full)
		deliver_config(c, w->started_us, w->after, page);
	if (w->host_items != NULL) {
		reached = w->reached;
		ir_host_items_take_changes(
		    w->host_items, now, w->message, page->full, r);
	}
	if (ir_coverage_add(
		&c->coverage, w->part, page->full ? 0 : w->after, reached))
		deliver(w);
	end_read(w);
	schedule_next_read(
	    w, now, page->item_count + page->config_item_count != 0);
}

static void
restart_full_read(struct watch *w, int64_t now)
{
	uint32_t delay_ms =
	    ir_random_below(&w->client->random, FULL_READ_SPREAD_MS);

	end_read(w);
	set_next_key(w, &no_key);
	ir_coverage_drop(&w->client->coverage, w->part);
	w->full_read_due = true;
	w->next_read_us = now + delay_ms * IR_US_PER_MS;
}

static void
handle_lost_history(struct watch *w, int64_t now)
{
	struct ir_store_client *c = w->client;

	ir_coverage_history_lost(&c->coverage, w->part);
	restart_full_read(w, now);
	if (is_of_hosts(w) && covered_revision(&c->config) == 0)
		restart_full_read(&c->config, now);
}

static void
set_page_era(const struct watch *w, struct ir_store_page *page)
{
	char *end;

	if (w->client->dialect->era_header == NULL)
		return;
	page->era = strtoull(w->era, &end, DECIMAL);
	page->has_era = w->era[0] >= '0' && w->era[0] <= '9' && *end == '\0';
}

/*
 * Returns an error if the answer cannot be used since its era is older than
 * the last or missing, NULL if it can. A store that never sends an era is not
 * expected to.
 */
static const char *
check_era(const struct ir_store_client *c, const struct ir_store_page *page)
{
	if (!c->has_era)
		return NULL;
	if (!page->has_era || page->era > IR_MAX_STORE_ERA)
		return "era of the store missing or not a valid number";
	return page->era < c->era ? "era of the store went back" : NULL;
}

/* The store was restored: forgets the positions in its former history. */
static void
begin_era(
    struct ir_store_client *c, int64_t now, const struct ir_store_page *page)
{
	ir_io_log_event(c->channel->log, IR_EVENT_STORE_RESTORED, NULL,
	    "era=%" PRIu64 " revision=%" PRIu64 " old_era=%" PRIu64
	    " config=%" PRIu64 " hosts=%" PRIu64,
	    page->era, page->revision, c->era, covered_revision(&c->config),
	    covered_revision(&c->hosts));
	restart_full_read(&c->config, now);
	restart_full_read(&c->hosts, now);
	/* What the copy lacks is written again, as after a failure. */
	c->hosts.failed = true;
	if (c->hosts.host_items != NULL)
		ir_host_items_store_restored(c->hosts.host_items);
}

static void
delay_removals(struct watch *w, int64_t now)
{
	if (w->host_items == NULL && w->generation == 0)
		w->removals_due_us = now + IR_REMOVAL_GRACE_US;
}

/* Returns whether a new era began, so that the answer is of no use. */
static bool
note_era(
    struct ir_store_client *c, int64_t now, const struct ir_store_page *page)
{
	bool began;

	if (!page->has_era || page->era > IR_MAX_STORE_ERA ||
	    (c->has_era && page->era <= c->era))
		return false;
	began = covered_revision(&c->config) != 0 ||
		covered_revision(&c->hosts) != 0;
	if (began)
		begin_era(c, now, page);
	delay_removals(&c->config, now);
	delay_removals(&c->hosts, now);
	c->era = page->era;
	c->has_era = true;
	return began;
}

static void
finish_read(struct watch *w, CURLcode code)
{
	struct ir_store_client *c = w->client;
	struct ir_store_query query = make_query(w);
	struct ir_store_page page = {0};
	int64_t now = ir_clock_now();
	const char *error = "no answer";
	enum ir_store_result result = IR_STORE_FAILED;
	long status = 0;

	curl_easy_getinfo(w->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK)
		result = c->dialect->parse_answer(c->settings, w->message,
		    &query, (uint16_t)status, w->body, w->body_bytes, &page,
		    &error);
	if (code == CURLE_OK)
		set_page_era(w, &page);
	if (note_era(c, now, &page))
		return;
	if (result == IR_STORE_OK && check_era(c, &page) != NULL) {
		result = IR_STORE_FAILED;
		error = check_era(c, &page);
	}
	if (result == IR_STORE_OK && !ends_further(w, &page)) {
		handle_stuck_list(w, now);
		return;
	}
	if (result == IR_STORE_OK) {
		handle_page(w, now, &page);
		return;
	}
	if (result == IR_STORE_EXPIRED) {
		handle_lost_history(w, now);
		return;
	}
	if (code == CURLE_WRITE_ERROR && w->too_large)
		error = w->header_bytes > MAX_HEADER_BYTES
			    ? "headers of the answer too large"
			    : "answer too large for the memory limit";
	else if (code != CURLE_OK)
		error = curl_easy_strerror(code);
	log_invalid_answer(w, error);
	handle_read_failure(w, now);
}

static void
handle_finished_transfers(struct ir_store_client *c)
{
	CURLcode code;
	struct watch *w;

	while ((w = ir_curl_next_finished(c->multi, &code)) != NULL)
		finish_read(w, code);
}

/* Skips what the core has from peers, unless it is of another era. */
static void
raise_revision(struct watch *w, uint64_t held)
{
	uint64_t revision = ir_position_revision(held);

	if (ir_position_era(held) != w->client->era || w->full_read_due)
		return;
	ir_coverage_raise(&w->client->coverage, w->part, revision);
}

static void
handle_core_messages(struct ir_store_client *c)
{
	struct ir_from_core *m;

	while ((m = ir_ring_pop(c->channel->from_core)) != NULL) {
		if (m->kind == IR_FROM_CORE_STORE_POLLING) {
			c->polling = m->u.store.wanted;
			raise_revision(&c->config, m->u.store.config_revision);
			/* Host items need every change of the list. */
			if (c->hosts.host_items == NULL)
				raise_revision(
				    &c->hosts, m->u.store.list_revision);
			else
				ir_host_items_set_services(c->hosts.host_items,
				    m->u.store.services,
				    m->u.store.service_count);
		}
		if (m->kind == IR_FROM_CORE_SETTINGS)
			c->settings = m->u.settings;
		if (m->kind == IR_FROM_CORE_STOP)
			c->stopping = true;
		talloc_free(m);
	}
}

/* Delivers delayed removals that are due, without waiting for a read. */
static void
deliver_due_removals(struct watch *w, int64_t now)
{
	struct ir_to_core *m;

	if (w->removal_due_us == 0 || now < w->removal_due_us || w->failed)
		return;
	w->removal_due_us = 0;
	m = ir_to_core_new(IR_TO_CORE_STORE_READ);
	m->u.store.request_sent_us = w->started_us;
	m->u.store.is_host_list = is_of_hosts(w);
	m->u.store.reached_revision = position(w->client, covered_revision(w));
	ir_host_items_take_changes(w->host_items, now, m, false, &m->u.store);
	ir_outbox_push(&w->client->outbox, m);
}

static void
run_watch(struct watch *w, int64_t now)
{
	if (!w->client->polling) {
		end_read(w);
		return;
	}
	deliver_due_removals(w, now);
	if (w->removals_due_us != 0 && now >= w->removals_due_us) {
		w->removals_due_us = 0;
		restart_full_read(w, now);
	}
	if (next_read(w).kind == IR_READ_NONE)
		return;
	if (w->easy == NULL && now >= w->next_read_us)
		start_read(w, now);
}

/* Time until the watch is to be run again, at most max_ms. */
static int
time_to_next_ms(const struct watch *w, int64_t now, int max_ms)
{
	int64_t left_ms;

	int64_t next_us = w->removal_due_us;

	if (!w->client->polling)
		return max_ms;
	if (w->easy == NULL && next_read(w).kind != IR_READ_NONE &&
	    (next_us == 0 || w->next_read_us < next_us))
		next_us = w->next_read_us;
	if (next_us == 0)
		return max_ms;
	left_ms = (next_us - now + IR_US_PER_MS - 1) / IR_US_PER_MS;
	if (left_ms < 0)
		left_ms = 0;
	return left_ms < max_ms ? (int)left_ms : max_ms;
}

static void
wait_for_events(struct ir_store_client *c)
{
	struct curl_waitfd wakeup_fd = {
	    .fd = ir_wakeup_fd(c->channel->wakeup), .events = CURL_WAIT_POLLIN};
	int64_t now = ir_clock_now();
	int timeout = ir_outbox_flush(&c->outbox) ? POLL_MS : BACKLOG_RETRY_MS;

	timeout = time_to_next_ms(&c->config, now, timeout);
	timeout = time_to_next_ms(&c->hosts, now, timeout);
	ir_wakeup_arm(c->channel->wakeup);
	if (!ir_ring_empty(c->channel->from_core))
		timeout = 0;
	curl_multi_poll(c->multi, &wakeup_fd, 1, timeout, NULL);
	ir_wakeup_disarm(c->channel->wakeup);
}

void *
ir_store_client_run(void *ctx)
{
	struct ir_store_client *c = ctx;
	int running;

	for (;;) {
		handle_core_messages(c);
		if (c->stopping)
			break;
		run_watch(&c->config, ir_clock_now());
		run_watch(&c->hosts, ir_clock_now());
		curl_multi_perform(c->multi, &running);
		handle_finished_transfers(c);
		wait_for_events(c);
	}
	return NULL;
}

static int
free_client(struct ir_store_client *c)
{
	end_read(&c->config);
	end_read(&c->hosts);
	if (c->multi != NULL)
		curl_multi_cleanup(c->multi);
	ir_outbox_clear(&c->outbox);
	return 0;
}

static size_t
max_answer_bytes(const struct ir_settings *s)
{
	uint64_t limit = s->memory_mb != 0 ? s->memory_mb * BYTES_PER_MB
					   : IR_MEMORY_DEFAULT_BYTES;
	uint64_t bytes = limit / ANSWER_DIVISOR;

	return bytes < IR_MAX_STORE_ANSWER_BYTES ? bytes
						 : IR_MAX_STORE_ANSWER_BYTES;
}

static void
init_watch(struct ir_store_client *c, struct watch *w, enum ir_store_part part)
{
	w->client = c;
	w->part = part;
	w->backoff_us = BACKOFF_MIN_US;
}

struct ir_store_client *
ir_store_client_new(TALLOC_CTX *mem, struct ir_channel *channel,
    const struct ir_settings *settings, const struct ir_store_dialect *dialect)
{
	const struct ir_endpoint *platform = &settings->platform;
	struct ir_store_client *c = talloc_zero(mem, struct ir_store_client);
	bool v6 = strchr(platform->address, ':') != NULL;

	if (c == NULL)
		return NULL;
	talloc_set_destructor(c, free_client);
	c->channel = channel;
	c->random = (uint64_t)ir_clock_now();
	c->settings = settings;
	c->dialect = dialect;
	c->max_answer_bytes = max_answer_bytes(settings);
	ir_outbox_init(&c->outbox, channel->to_core);
	init_watch(c, &c->config, IR_PART_CONFIG);
	init_watch(c, &c->hosts, IR_PART_HOSTS);
	c->coverage.joint = dialect->hosts_include_config;
	if (dialect->uses_host_items) {
		c->hosts.host_items = ir_host_items_new(c);
		if (c->hosts.host_items == NULL)
			goto fail;
		ir_host_items_on_not_used(
		    c->hosts.host_items, log_item_not_used, c);
		ir_host_items_set_port(
		    c->hosts.host_items, settings->upstream.port);
	}
	c->multi = curl_multi_init();
	c->base_url = talloc_asprintf(c, v6 ? "http://[%s]:%u" : "http://%s:%u",
	    platform->address, platform->port);
	if (c->multi == NULL || c->base_url == NULL)
		goto fail;
	return c;

fail:
	talloc_free(c);
	return NULL;
}
