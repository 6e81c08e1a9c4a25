/*
 * HTTP client for many concurrent requests, by libcurl multi. One thread drives
 * it by fake_fetcher_step(); any thread may add and cancel requests.
 */
#ifndef FAKE_FETCH_H
#define FAKE_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct fake_fetcher;

struct fake_fetch_result {
	bool complete;	     /* a complete HTTP answer was received */
	const char *failure; /* why not: a constant text; NULL if complete */
	uint32_t status;
	const char *outcome; /* Ibisrail-Outcome, "" if absent */
	const char *error;   /* Ibisrail-Error, "" if absent */
	uint32_t retry_after_ms;
	const uint8_t *body;
	size_t body_bytes;
	/*
	 * The connection was still open this long after the request was sent,
	 * in microseconds; 0 if it was not sent, or is not known to have been.
	 */
	int64_t open_us;
};

/* A request. */
struct fake_fetch {
	uint64_t id; /* unique among requests in flight */
	const char *url;
	const char *method;
	const char *const *headers; /* "Name: value", NULL-ended */
	const void *body;
	size_t body_bytes;
	uint32_t timeout_ms;
	void (*done)(void *ctx, uint64_t id, const struct fake_fetch_result *r);
	void *ctx;
};

struct fake_fetcher *fake_fetcher_new(uint32_t max_connections);
/*
 * Sends a request, from any thread. Copies all of it. done() is called from
 * fake_fetcher_step(), with a result that is valid during the call only.
 * A request is sent once: libcurl's own retries are prevented.
 */
void fake_fetch(struct fake_fetcher *f, const struct fake_fetch *in);
/* Closes the request's connection, from any thread; done() is not called. */
void fake_fetch_cancel(struct fake_fetcher *f, uint64_t id);
/* Sends and receives; waits up to wait_ms for work unless a request ended. */
void fake_fetcher_step(struct fake_fetcher *f, int wait_ms);
/* Drops requests in flight without calling done(). */
void fake_fetcher_free(struct fake_fetcher *f);

#endif
