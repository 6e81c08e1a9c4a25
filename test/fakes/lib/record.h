/*
 * What a stand-in upstream was shown: header names, every text it received
 * (to search for a secret), and how often each test id ran. Bounded: once a
 * bound is reached, complete turns false.
 */
#ifndef FAKE_RECORD_H
#define FAKE_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define FAKE_MAX_RECORD_BYTES (16 * 1024 * 1024)
#define FAKE_MAX_RECORD_IDS 1000000
#define FAKE_MAX_RECORD_NAMES 256

struct json_object;
struct fake_record;

struct fake_record *fake_record_new(TALLOC_CTX *mem);
void fake_record_header(
    struct fake_record *s, const char *name, const char *value);
void fake_record_text(
    struct fake_record *s, const void *text, size_t size_bytes);
void fake_record_run(struct fake_record *s, const char *id);
/* How often that id ran. */
uint32_t fake_record_run_count(const struct fake_record *s, const char *id);
bool fake_record_contains(const struct fake_record *s, const char *text);
bool fake_record_is_complete(const struct fake_record *s);
/* Adds header_names, double_runs (count) and double_run_ids (some of them). */
void fake_record_report(const struct fake_record *s, struct json_object *out);

#endif
