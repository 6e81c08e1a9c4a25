/*
 * HTTP requests by libcurl multi, many at a time, driven by one thread.
 */
#ifndef FAKE_FETCH_H
#define FAKE_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct fake_fetcher;

struct fake_fetch_result {
	bool complete;	     /* a whole HTTP answer came */
	const char *failure; /* else why, a constant text */
	uint32_t status;
	const char *outcome; /* Ibisrail-Outcome, "" without */
	const char *error;   /* Ibisrail-Error, "" without */
	uint32_t retry_after_ms;
	const uint8_t *body;
	size_t body_bytes;
};

struct fake_fetch {
	uint64_t id;
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
/* Any thread; everything is copied. done() is called in the stepping one. */
void fake_fetch(struct fake_fetcher *f, const struct fake_fetch *in);
/* Any thread: closes the connection, done() is not called. */
void fake_fetch_cancel(struct fake_fetcher *f, uint64_t id);
/* Works for up to wait_ms, less when something ended. */
void fake_fetcher_step(struct fake_fetcher *f, int wait_ms);
/* Open requests are dropped without done(). */
void fake_fetcher_free(struct fake_fetcher *f);

#endif
