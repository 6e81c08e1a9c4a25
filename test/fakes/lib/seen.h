/*
 * What a stand-in upstream was shown: header names, every text it received
 * (to search for a secret), and how often each test id ran. Bounded: once a
 * bound is reached, complete turns false.
 */
#ifndef FAKE_SEEN_H
#define FAKE_SEEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define FAKE_MAX_SEEN_BYTES (16 * 1024 * 1024)
#define FAKE_MAX_SEEN_IDS 1000000
#define FAKE_MAX_SEEN_NAMES 256

struct json_object;
struct fake_seen;

struct fake_seen *fake_seen_new(TALLOC_CTX *mem);
void fake_seen_header(struct fake_seen *s, const char *name, const char *value);
void fake_seen_text(struct fake_seen *s, const void *text, size_t size_bytes);
void fake_seen_run(struct fake_seen *s, const char *id);
/* How often that id ran. */
uint32_t fake_seen_runs(const struct fake_seen *s, const char *id);
bool fake_seen_contains(const struct fake_seen *s, const char *text);
bool fake_seen_complete(const struct fake_seen *s);
/* Adds header_names, double_runs (count) and double_run_ids (some of them). */
void fake_seen_report(const struct fake_seen *s, struct json_object *out);

#endif
