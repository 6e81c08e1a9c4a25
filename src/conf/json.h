/*
 * Strict JSON with comments. Parsing refuses duplicate keys, trailing text, too
 * deep nesting and too large documents, and gives line and column of the error.
 * The typed getters record the first error with the path of the member.
 *
 * A struct ir_json_reader is for one document. After an error, getters return a
 * default (the minimum, "", false or NULL) and later errors are ignored, so
 * that it is enough to check the error member once at the end.
 *
 * A tolerant reader drops the entries of a list that are invalid, and counts
 * them: what one entry holds says nothing of the others.
 */
#ifndef IR_CONF_JSON_H
#define IR_CONF_JSON_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct json_object;

struct ir_json_reader {
	TALLOC_CTX *mem;  /* parent of strings and errors */
	const char *file; /* for errors; NULL: errors name no file */
	char *error;	  /* the first error, or NULL */
	bool tolerant;
	char *entry_error; /* of a dropped entry: the first, or NULL */
	size_t entry_error_count;
};

#define IR_JSON_MAX_DEPTH 16
#define IR_JSON_MAX_BYTES (1024 * 1024)

/*
 * Returns the top object, for the caller to release with json_object_put(), or
 * NULL with in->error set.
 */
struct json_object *ir_json_parse(
    struct ir_json_reader *in, const char *text, size_t size_bytes);

/* Sets the error "file: path: what", unless an error is already set. */
void ir_json_error(struct ir_json_reader *in, const char *path, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

/*
 * Ends the reading of an entry of a list. Returns whether it is valid. If it is
 * not and the reader is tolerant, its error is counted as that of an entry,
 * with the entry's name before it if it has one, and what follows is read.
 */
bool ir_json_end_entry(struct ir_json_reader *in, const char *name);

/* Sets an error if obj has a key outside allowed, a NULL-terminated array. */
void ir_json_check_keys(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *const *allowed);

/*
 * Getters of required members; a missing one is an error. path is the path of
 * obj in the document, "" for the top object. Strings are copied.
 */
const char *ir_json_string(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, size_t min_bytes, size_t max_bytes);
int64_t ir_json_int(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, int64_t min, int64_t max);
double ir_json_number(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key, double min, double max);
bool ir_json_bool(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key);
struct json_object *ir_json_object(struct ir_json_reader *in,
    struct json_object *obj, const char *path, const char *key);
struct json_object *ir_json_array(struct ir_json_reader *in,
    struct json_object *obj, const char *path, const char *key,
    size_t max_count);
/* Whether obj has the member; false for a NULL obj. For optional members. */
bool ir_json_has(struct json_object *obj, const char *key);

#endif
