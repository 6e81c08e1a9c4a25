/* The platform's thread. */
#include <curl/curl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/admin/report.h"
#include "io/clock.h"
#include "io/store/curl_finished.h"
#include "io/store/platform.h"
#include "io/store/store_book.h"
#include "io/store/store_text.h"

/* For an answer, beyond the wait for a change: under IR_VIEW_POLL_US. */
#define ANSWER_MS 350
#define BACK_OFF_MIN_US (200 * IR_US_PER_MS)
#define BACK_OFF_MAX_US (1000 * IR_US_PER_MS)
/* Between reads that bring something, and after one that brought nothing. */
#define READ_GAP_US (10 * IR_US_PER_MS)
#define POLL_MS 1000
#define BACKLOG_POLL_MS 1

struct watch {
	struct ir_platform *owner;
	bool hosts;
	uint64_t revision;	    /* the highest held or read */
	char *next;		    /* of a whole read: the page to come */
	uint64_t whole_revision;    /* of its first page */
	struct ir_store_book *book; /* or NULL */
	uint64_t told_revision;	    /* highest of a section passed on */
	char *last_error;	    /* reported */
	bool failed;		    /* the last read */
	int64_t flush_us;	    /* removals held back end then; 0 */
	CURL *easy;		    /* NULL: no read is out */
	int64_t asked_us;
	int64_t next_us;
	int64_t back_off_us;
	struct ir_to_core *answer; /* owns the text */
	char *text;
	size_t text_bytes;
};

struct ir_platform {
	struct ir_channel *channel;
	struct ir_outbox out;
	CURLM *multi;
	char *base; /* "http://ADDRESS:PORT" */
	const struct ir_settings *settings;
	const struct ir_store_dialect *dialect;
	struct watch config;
	struct watch hosts;
	bool wanted;
	bool stopping;
};

static size_t
on_body(char *data, size_t size, size_t count, void *p)
{
	struct watch *w = p;
	size_t bytes = size * count;
	size_t wanted = w->text_bytes + bytes;
	size_t held = talloc_get_size(w->text);
	char *text;

	if (wanted > IR_MAX_STORE_BYTES)
		return 0;
	if (wanted > held) {
		held = held * 2 > wanted ? held * 2 : wanted;
		text = talloc_realloc(w->answer, w->text, char, held);
		if (text == NULL)
			return 0;
		w->text = text;
	}
	memcpy(w->text + w->text_bytes, data, bytes);
	w->text_bytes = wanted;
	return bytes;
}

static void
end_read(struct watch *w)
{
	if (w->easy == NULL)
		return;
	curl_multi_remove_handle(w->owner->multi, w->easy);
	curl_easy_cleanup(w->easy);
	w->easy = NULL;
	w->text = NULL;
	w->text_bytes = 0;
	TALLOC_FREE(w->answer);
}

static uint32_t
wait_ms(const struct watch *w)
{
	const struct ir_store_dialect *d = w->owner->dialect;

	return w->hosts ? d->hosts_wait_ms : d->config_wait_ms;
}

static struct ir_store_ask
ask_of(const struct watch *w)
{
	struct ir_store_ask ask = {
	    .hosts = w->hosts,
	    .revision = w->revision,
	    .after = w->next,
	    .wait_ms = wait_ms(w),
	};

	return ask;
}

static void
set_options(struct watch *w)
{
	struct ir_platform *p = w->owner;
	struct ir_store_ask ask = ask_of(w);
	CURL *e = w->easy;
	char *path = p->dialect->target(p->settings, w->answer, &ask);
	char *url =
	    ir_check_alloc(talloc_asprintf(w->answer, "%s%s", p->base, path));

	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)wait_ms(w) + ANSWER_MS);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, w);
	curl_easy_setopt(e, CURLOPT_PRIVATE, w);
	talloc_free(path);
}

static void
fail_read(struct watch *w, int64_t now)
{
	struct ir_to_core *m = ir_to_core_new(IR_TO_CORE_STORE_FAILED);

	m->asked_us = w->asked_us;
	ir_outbox_push(&w->owner->out, m);
	end_read(w);
	w->failed = true;
	w->next_us = now + w->back_off_us;
	w->back_off_us *= 2;
	if (w->back_off_us > BACK_OFF_MAX_US)
		w->back_off_us = BACK_OFF_MAX_US;
}

static void
begin_read(struct watch *w, int64_t now)
{
	w->asked_us = now;
	w->answer = ir_to_core_new(IR_TO_CORE_STORE_READ);
	w->easy = curl_easy_init();
	if (w->easy == NULL) {
		TALLOC_FREE(w->answer);
		fail_read(w, now);
		return;
	}
	set_options(w);
	if (curl_multi_add_handle(w->owner->multi, w->easy) != CURLM_OK)
		fail_read(w, now);
}

/* The sections of a page that needs no book. */
static void
take_items(struct watch *w, const struct ir_store_page *page)
{
	struct ir_store_read *r = &w->answer->u.store;
	struct ir_section *list = ir_check_alloc(talloc_zero_array(
	    w->answer, struct ir_section, page->item_count + 1));

	for (size_t i = 0; i < page->item_count; i++) {
		list[i].name = page->items[i].section;
		list[i].text = page->items[i].text;
		list[i].revision = page->items[i].revision;
	}
	r->sections = list;
	r->section_count = page->item_count;
	r->complete = page->whole;
	r->revision = page->revision;
	if (!w->owner->dialect->hosts_by_item)
		return;
	/* The store's revision rises all the time, the configuration's not. */
	for (size_t i = 0; i < page->item_count; i++) {
		if (page->items[i].revision > w->told_revision)
			w->told_revision = page->items[i].revision;
	}
	r->reached_revision = page->revision;
	r->revision = w->told_revision;
}

static void
report_unreadable(struct watch *w, const struct ir_store_item *item)
{
	ir_report(w->owner->channel->log, IR_EVENT_SECTION_REFUSED,
	    "unreadable", "key=%s revision=%" PRIu64, item->key,
	    item->revision);
}

/* Once for each kind of fault in a row. */
static void
report_bad(struct watch *w, const char *error)
{
	if (w->last_error != NULL && strcmp(w->last_error, error) == 0)
		return;
	talloc_free(w->last_error);
	w->last_error = ir_text_copy(w->owner, error);
	ir_report(w->owner->channel->log, IR_EVENT_SECTION_REFUSED, error,
	    "part=%s revision=%" PRIu64, w->hosts ? "hosts" : "config",
	    w->revision);
}

/* False while pages of a whole read are to come. */
static bool
take_page(struct watch *w, const struct ir_store_page *page)
{
	struct ir_store_read *r = &w->answer->u.store;
	bool first = page->whole && w->next == NULL;

	if (w->book == NULL) {
		take_items(w, page);
		return true;
	}
	if (first) {
		ir_store_book_begin_whole(w->book);
		w->whole_revision = page->revision;
	}
	for (size_t i = 0; i < page->item_count; i++) {
		if (ir_store_book_put(w->book, &page->items[i]))
			report_unreadable(w, &page->items[i]);
	}
	TALLOC_FREE(w->next);
	if (page->whole && page->next != NULL) {
		w->next = ir_text_copy(w->owner, page->next);
		return false;
	}
	if (page->whole)
		ir_store_book_end_whole(w->book);
	r->reached_revision = page->whole ? w->whole_revision : page->revision;
	return true;
}

/* What was read since the last failure ended goes to the core. */
static void
pass_on(struct watch *w, uint64_t reached)
{
	struct ir_store_read *r = &w->answer->u.store;

	r->request_sent_us = w->asked_us;
	r->is_host_list = w->hosts;
	if (reached > w->revision)
		w->revision = reached;
	TALLOC_FREE(w->text);
	ir_outbox_push(&w->owner->out, w->answer);
	w->answer = NULL;
}

static void
note_return(struct watch *w, int64_t now)
{
	if (w->failed && w->book != NULL) {
		ir_store_book_returned(w->book);
		w->flush_us = now + IR_RETURN_GRACE_US;
	}
	w->failed = false;
	TALLOC_FREE(w->last_error);
	w->back_off_us = BACK_OFF_MIN_US;
}

/* A store that does not wait must not be asked all the time. */
static void
set_next(struct watch *w, int64_t now, bool brought)
{
	int64_t wait_us = wait_ms(w) * IR_US_PER_MS;

	w->next_us = now + w->owner->dialect->read_gap_ms * IR_US_PER_MS;
	if (!brought && w->asked_us + wait_us > w->next_us)
		w->next_us = w->asked_us + wait_us;
}

/* What a joint read says of the configuration. */
static void
pass_on_config(
    struct ir_platform *p, int64_t asked_us, const struct ir_store_page *page)
{
	struct watch *w = &p->config;
	struct ir_store_page config = {
	    .whole = page->config_items != NULL,
	    .revision = page->revision,
	    .items = page->config_items,
	    .item_count = page->config_item_count,
	};

	/* Until its first read nothing is confirmed by an unchanged one. */
	if (w->revision == 0 && page->config_items == NULL)
		return;
	end_read(w);
	w->answer = ir_to_core_new(IR_TO_CORE_STORE_READ);
	w->asked_us = asked_us;
	if (page->config_items != NULL)
		talloc_steal(w->answer, page->config_items);
	take_items(w, &config);
	pass_on(w, page->revision);
}

static void
take_read(struct watch *w, int64_t now, const struct ir_store_page *page)
{
	struct ir_platform *p = w->owner;
	struct ir_store_read *r = &w->answer->u.store;
	uint64_t reached = page->revision;

	note_return(w, now);
	if (!take_page(w, page)) {
		end_read(w);
		w->next_us = now;
		return;
	}
	if (w->hosts && p->dialect->joint_changes && !page->whole)
		pass_on_config(p, w->asked_us, page);
	if (w->book != NULL) {
		reached = r->reached_revision;
		ir_store_book_take(w->book, now, w->answer, page->whole, r);
	}
	pass_on(w, reached);
	end_read(w);
	set_next(w, now, page->item_count + page->config_item_count != 0);
}

/* All is read again. */
static void
forget(struct watch *w, int64_t now)
{
	end_read(w);
	TALLOC_FREE(w->next);
	w->revision = 0;
	w->next_us = now;
}

static void
finish_read(struct watch *w, CURLcode code)
{
	struct ir_platform *p = w->owner;
	struct ir_store_ask ask = ask_of(w);
	struct ir_store_page page = {0};
	int64_t now = ir_clock_now();
	const char *error = "no answer";
	enum ir_store_result result = IR_STORE_BAD;
	long status = 0;

	curl_easy_getinfo(w->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK)
		result = p->dialect->read(p->settings, w->answer, &ask,
		    (uint16_t)status, w->text, w->text_bytes, &page, &error);
	if (result == IR_STORE_OK) {
		take_read(w, now, &page);
		return;
	}
	if (result == IR_STORE_EXPIRED) {
		forget(w, now);
		if (w->hosts && p->dialect->joint_changes)
			forget(&p->config, now);
		return;
	}
	report_bad(w, code == CURLE_OK ? error : curl_easy_strerror(code));
	fail_read(w, now);
}

static void
take_finished(struct ir_platform *p)
{
	CURLcode code;
	struct watch *w;

	while ((w = ir_curl_finished(p->multi, &code)) != NULL)
		finish_read(w, code);
}

static void
raise_revision(struct watch *w, uint64_t revision)
{
	if (revision > w->revision)
		w->revision = revision;
}

static void
take_messages(struct ir_platform *p)
{
	struct ir_from_core *m;

	while ((m = ir_ring_pop(p->channel->from_core)) != NULL) {
		if (m->kind == IR_FROM_CORE_STORE_POLLING) {
			p->wanted = m->u.store.wanted;
			raise_revision(&p->config, m->u.store.config_revision);
			/* A book has to see each change itself. */
			if (p->hosts.book == NULL)
				raise_revision(
				    &p->hosts, m->u.store.list_revision);
		}
		if (m->kind == IR_FROM_CORE_SETTINGS)
			p->settings = m->u.settings;
		if (m->kind == IR_FROM_CORE_STOP)
			p->stopping = true;
		talloc_free(m);
	}
}

/* Ends the hold of removals also when no read comes in. */
static void
flush_held(struct watch *w, int64_t now)
{
	struct ir_to_core *m;

	if (w->flush_us == 0 || now < w->flush_us || w->failed)
		return;
	w->flush_us = 0;
	m = ir_to_core_new(IR_TO_CORE_STORE_READ);
	m->u.store.request_sent_us = w->asked_us;
	m->u.store.is_host_list = w->hosts;
	m->u.store.reached_revision = w->revision;
	ir_store_book_take(w->book, now, m, false, &m->u.store);
	ir_outbox_push(&w->owner->out, m);
}

/* Joint reads of the host list tell of the configuration, once it was read. */
static bool
is_covered(const struct watch *w)
{
	const struct ir_platform *p = w->owner;

	return p->dialect->joint_changes && !w->hosts && w->revision != 0 &&
	       p->hosts.revision != 0;
}

static void
drive(struct watch *w, int64_t now)
{
	if (!w->owner->wanted) {
		end_read(w);
		return;
	}
	flush_held(w, now);
	if (is_covered(w))
		return;
	if (w->easy == NULL && now >= w->next_us)
		begin_read(w, now);
}

static int
until_ms(const struct watch *w, int64_t now, int least)
{
	int64_t left_ms;

	int64_t next_us = w->flush_us;

	if (!w->owner->wanted)
		return least;
	if (w->easy == NULL && !is_covered(w) &&
	    (next_us == 0 || w->next_us < next_us))
		next_us = w->next_us;
	if (next_us == 0)
		return least;
	left_ms = (next_us - now + IR_US_PER_MS - 1) / IR_US_PER_MS;
	if (left_ms < 0)
		left_ms = 0;
	return left_ms < least ? (int)left_ms : least;
}

static void
wait_for_work(struct ir_platform *p)
{
	struct curl_waitfd wake = {
	    .fd = ir_wakeup_fd(p->channel->wakeup), .events = CURL_WAIT_POLLIN};
	int64_t now = ir_clock_now();
	int timeout = ir_outbox_flush(&p->out) ? POLL_MS : BACKLOG_POLL_MS;

	timeout = until_ms(&p->config, now, timeout);
	timeout = until_ms(&p->hosts, now, timeout);
	ir_wakeup_arm(p->channel->wakeup);
	if (!ir_ring_empty(p->channel->from_core))
		timeout = 0;
	curl_multi_poll(p->multi, &wake, 1, timeout, NULL);
	ir_wakeup_disarm(p->channel->wakeup);
}

void *
ir_platform_run(void *ctx)
{
	struct ir_platform *p = ctx;
	int running;

	for (;;) {
		take_messages(p);
		if (p->stopping)
			break;
		drive(&p->config, ir_clock_now());
		drive(&p->hosts, ir_clock_now());
		curl_multi_perform(p->multi, &running);
		take_finished(p);
		wait_for_work(p);
	}
	return NULL;
}

static int
free_platform(struct ir_platform *p)
{
	end_read(&p->config);
	end_read(&p->hosts);
	if (p->multi != NULL)
		curl_multi_cleanup(p->multi);
	ir_outbox_clear(&p->out);
	return 0;
}

static void
init_watch(struct ir_platform *p, struct watch *w, bool hosts)
{
	w->owner = p;
	w->hosts = hosts;
	w->back_off_us = BACK_OFF_MIN_US;
}

struct ir_platform *
ir_platform_new(TALLOC_CTX *mem, struct ir_channel *channel,
    const struct ir_settings *settings, const struct ir_store_dialect *dialect)
{
	const struct ir_endpoint *platform = &settings->platform;
	struct ir_platform *p = talloc_zero(mem, struct ir_platform);
	bool v6 = strchr(platform->address, ':') != NULL;

	if (p == NULL)
		return NULL;
	talloc_set_destructor(p, free_platform);
	p->channel = channel;
	p->settings = settings;
	p->dialect = dialect;
	ir_outbox_init(&p->out, channel->to_core);
	init_watch(p, &p->config, false);
	init_watch(p, &p->hosts, true);
	if (dialect->hosts_by_item) {
		p->hosts.book = ir_store_book_new(p);
		if (p->hosts.book == NULL)
			goto fail;
	}
	p->multi = curl_multi_init();
	p->base = talloc_asprintf(p, v6 ? "http://[%s]:%u" : "http://%s:%u",
	    platform->address, platform->port);
	if (p->multi == NULL || p->base == NULL)
		goto fail;
	return p;

fail:
	talloc_free(p);
	return NULL;
}
