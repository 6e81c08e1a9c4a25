/* HTTP client by libcurl multi. */
#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "core/table.h"
#include "fakes/lib/fetch.h"
#include "fakes/lib/lifetime.h"

#define MAX_ANSWER_BYTES (8 * 1024 * 1024)

struct fetch_job {
	struct fake_fetch in;
	bool cancel; /* cancels the active job with this id */
	CURL *easy;
	int send_count; /* requests sent on a connection */
	int64_t send_us;
	struct curl_slist *headers;
	char *outcome;
	char *error;
	uint32_t retry_after_ms;
	uint8_t *body;
	size_t body_bytes;
	struct fetch_job *prev; /* while in the inbox */
	struct fetch_job *next;
	UT_hash_handle hh; /* while active */
};

struct fake_fetcher {
	CURLM *multi;
	pthread_mutex_t lock;
	struct fetch_job *inbox; /* guarded by lock */
	/* Used by the stepping thread only. */
	struct fetch_job *active; /* by id */
	int64_t polled_us; /* all sockets were last looked at after this */
};

struct fake_fetcher *
fake_fetcher_new(uint32_t max_connections)
{
	struct fake_fetcher *f = talloc_zero(NULL, struct fake_fetcher);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	pthread_mutex_init(&f->lock, NULL);
	f->multi = curl_multi_init();
	curl_multi_setopt(
	    f->multi, CURLMOPT_MAXCONNECTS, (long)max_connections);
	curl_multi_setopt(f->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	return f;
}

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct fetch_job *j = arg;
	size_t n = size * count;
	uint8_t *p;

	if (j->body_bytes + n > MAX_ANSWER_BYTES)
		return 0;
	p = talloc_realloc(j, j->body, uint8_t, j->body_bytes + n);
	if (p == NULL)
		return 0;
	memcpy(p + j->body_bytes, data, n);
	j->body = p;
	j->body_bytes += n;
	return n;
}

/* Returns the trimmed value under mem, NULL if the line is another header. */
static char *
header_value(TALLOC_CTX *mem, const char *line, size_t n, const char *name)
{
	size_t skip = strlen(name);

	if (n <= skip || strncasecmp(line, name, skip) != 0)
		return NULL;
	while (skip < n && line[skip] == ' ')
		skip++;
	while (n > skip && strchr("\r\n ", line[n - 1]) != NULL)
		n--;
	return talloc_strndup(mem, line + skip, n - skip);
}

static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
	struct fetch_job *j = arg;
	size_t n = size * count;
	char *v;

	v = header_value(j, data, n, "Ibisrail-Outcome:");
	if (v != NULL)
		j->outcome = v;
	v = header_value(j, data, n, "Ibisrail-Error:");
	if (v != NULL)
		j->error = v;
	v = header_value(j, data, n, "Ibisrail-Retry-After-Ms:");
	if (v != NULL)
		j->retry_after_ms = (uint32_t)strtoul(v, NULL, 10);
	return n;
}

static void
copy_request(struct fetch_job *j, const struct fake_fetch *in)
{
	j->in = *in;
	j->in.url = talloc_strdup(j, in->url);
	j->in.method = talloc_strdup(j, in->method);
	j->in.headers = NULL;
	j->in.body = talloc_memdup(j, in->body, in->body_bytes);
	for (size_t i = 0; in->headers != NULL && in->headers[i] != NULL; i++)
		j->headers = curl_slist_append(j->headers, in->headers[i]);
	j->headers = curl_slist_append(j->headers, "Expect:");
}

static void
enqueue(struct fake_fetcher *f, struct fetch_job *j)
{
	pthread_mutex_lock(&f->lock);
	DL_APPEND(f->inbox, j);
	pthread_mutex_unlock(&f->lock);
	curl_multi_wakeup(f->multi);
}

void
fake_fetch(struct fake_fetcher *f, const struct fake_fetch *in)
{
	struct fetch_job *j = talloc_zero(NULL, struct fetch_job);

	copy_request(j, in);
	enqueue(f, j);
}

void
fake_fetch_cancel(struct fake_fetcher *f, uint64_t id)
{
	struct fetch_job *j = talloc_zero(NULL, struct fetch_job);

	j->in.id = id;
	j->cancel = true;
	enqueue(f, j);
}

static void
free_job(struct fake_fetcher *f, struct fetch_job *j)
{
	if (j->easy != NULL) {
		curl_multi_remove_handle(f->multi, j->easy);
		curl_easy_cleanup(j->easy);
	}
	curl_slist_free_all(j->headers);
	talloc_free(j);
}

/* Prevents libcurl from resending a request when a reused connection breaks. */
static int
on_request(
    void *arg, char *remote, char *local, int remote_port, int local_port)
{
	struct fetch_job *j = arg;

	j->send_us = fake_now_us();
	return j->send_count++ == 0 ? CURL_PREREQFUNC_OK
				    : CURL_PREREQFUNC_ABORT;
}

static void
set_options(struct fetch_job *j)
{
	CURL *e = j->easy;

	curl_easy_setopt(e, CURLOPT_URL, j->in.url);
	curl_easy_setopt(e, CURLOPT_PRIVATE, (char *)j);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, j->in.method);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, j->headers);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, j);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, j);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_request);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, j);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)j->in.timeout_ms);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	if (j->in.body_bytes > 0) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)j->in.body_bytes);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, j->in.body);
	}
}

static void
add_active(struct fake_fetcher *f, struct fetch_job *j)
{
	HASH_ADD(hh, f->active, in.id, sizeof(j->in.id), j);
}

static void
remove_active(struct fake_fetcher *f, struct fetch_job *j)
{
	if (f->active != NULL)
		HASH_DEL(f->active, j);
}

static void
process_job(struct fake_fetcher *f, struct fetch_job *j)
{
	struct fetch_job *active;

	HASH_FIND(hh, f->active, &j->in.id, sizeof(j->in.id), active);
	if (!j->cancel) {
		add_active(f, j);
		j->easy = curl_easy_init();
		set_options(j);
		curl_multi_add_handle(f->multi, j->easy);
		return;
	}
	if (active != NULL) {
		remove_active(f, active);
		free_job(f, active);
	}
	free_job(f, j);
}

static void
process_inbox(struct fake_fetcher *f)
{
	struct fetch_job *list, *j, *tmp;

	pthread_mutex_lock(&f->lock);
	list = f->inbox;
	f->inbox = NULL;
	pthread_mutex_unlock(&f->lock);
	DL_FOREACH_SAFE (list, j, tmp) {
		DL_DELETE(list, j);
		process_job(f, j);
	}
}

static void
finish(struct fake_fetcher *f, struct fetch_job *j, CURLcode code)
{
	struct fake_fetch_result r = {0};
	long status = 0;

	curl_easy_getinfo(j->easy, CURLINFO_RESPONSE_CODE, &status);
	r.complete = code == CURLE_OK;
	r.failure = r.complete ? NULL : curl_easy_strerror(code);
	r.status = (uint32_t)status;
	r.outcome = j->outcome != NULL ? j->outcome : "";
	r.error = j->error != NULL ? j->error : "";
	r.retry_after_ms = j->retry_after_ms;
	r.body = j->body;
	r.body_bytes = j->body_bytes;
	if (j->send_us != 0 && f->polled_us > j->send_us)
		r.open_us = f->polled_us - j->send_us;
	remove_active(f, j);
	j->in.done(j->in.ctx, j->in.id, &r);
	free_job(f, j);
}

void
fake_fetcher_step(struct fake_fetcher *f, int wait_ms)
{
	int64_t begin_us = fake_now_us();
	int running, left;
	CURLMsg *m;
	char *private;

	process_inbox(f);
	curl_multi_perform(f->multi, &running);
	while ((m = curl_multi_info_read(f->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &private);
		finish(f, (struct fetch_job *)(void *)private, m->data.result);
		wait_ms = 0;
	}
	f->polled_us = begin_us;
	if (wait_ms > 0)
		curl_multi_poll(f->multi, NULL, 0, wait_ms, NULL);
}

void
fake_fetcher_free(struct fake_fetcher *f)
{
	struct fetch_job *j, *tmp;

	process_inbox(f);
	HASH_ITER (hh, f->active, j, tmp) {
		HASH_DEL(f->active, j);
		free_job(f, j);
	}
	curl_multi_cleanup(f->multi);
	pthread_mutex_destroy(&f->lock);
	talloc_free(f);
}
