/*
 * Record of the requests that a stand-in upstream received: header names, every
 * text (to search for leaked secrets), and how often each test id ran. Once a
 * bound is reached, the rest is not recorded and the record is incomplete.
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
/* Records a header: its name in lower case, and both texts as received. */
void fake_record_header(
    struct fake_record *s, const char *name, const char *value);
void fake_record_text(
    struct fake_record *s, const void *text, size_t size_bytes);
/* Counts a run of a test id. */
void fake_record_run(struct fake_record *s, const char *id);
/* Returns how often the id ran. */
uint32_t fake_record_run_count(const struct fake_record *s, const char *id);
/* Whether one of the texts contains this one; false if it is empty. */
bool fake_record_contains(const struct fake_record *s, const char *text);
bool fake_record_is_complete(const struct fake_record *s);
/*
 * Adds to a JSON object: header_names, double_runs (count of ids that ran more
 * than once), double_run_ids (the first of them), complete.
 */
void fake_record_report(const struct fake_record *s, struct json_object *out);

#endif
