/* HTTP GET requests by libcurl, to admin listeners and to the platform. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define TIMEOUT_MS 5000L
#define MAX_BODY_BYTES (64 * 1024 * 1024)

struct body {
	char *text;
	size_t used_bytes;
};

static size_t
append_body(char *data, size_t size, size_t count, void *arg)
{
	struct body *b = arg;
	size_t n = size * count;
	char *p;

	if (b->used_bytes + n > MAX_BODY_BYTES)
		return 0;
	p = talloc_realloc(NULL, b->text, char, b->used_bytes + n + 1);
	if (p == NULL)
		return 0;
	memcpy(p + b->used_bytes, data, n);
	b->text = p;
	b->used_bytes += n;
	p[b->used_bytes] = '\0';
	return n;
}

static CURLcode
http_get(const char *url, struct body *b, long *status)
{
	CURLcode code;
	CURL *e;

	e = curl_easy_init();
	if (e == NULL)
		return CURLE_OUT_OF_MEMORY;
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, b);
	code = curl_easy_perform(e);
	curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, status);
	curl_easy_cleanup(e);
	return code;
}

char *
ctl_http_get(
    TALLOC_CTX *mem, const char *address, const char *path, const char *hint)
{
	struct body b = {0};
	long status = 0;
	CURLcode code;
	char *url;

	b.text = talloc_strdup(NULL, "");
	url = talloc_asprintf(NULL, "http://%s%s", address, path);
	code = http_get(url, &b, &status);
	talloc_free(url);
	if (code == CURLE_OK && status == 200)
		return talloc_steal(mem, b.text);
	if (code != CURLE_OK)
		fprintf(stderr, "ibisrailctl: %s does not answer: %s. %s\n",
		    address, curl_easy_strerror(code), hint);
	else
		fprintf(stderr,
		    "ibisrailctl: %s answered %s with status %ld. %s\n",
		    address, path, status, hint);
	talloc_free(b.text);
	return NULL;
}

char *
ctl_get_admin(TALLOC_CTX *mem, const char *address, const char *path)
{
	return ctl_http_get(mem, address, path,
	    "Check that ibisraild runs there and that this is the address of "
	    "\"admin\" in its settings.");
}
