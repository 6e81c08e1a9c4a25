/*
 * Scan of JSON text before json-c parses it. Overwrites comments with spaces
 * and refuses what json-c would accept: duplicate keys, control characters,
 * invalid UTF-8, escapes of U+0000, numbers with leading zeros, too deep
 * nesting.
 */
#ifndef IR_CONF_JSON_SCAN_H
#define IR_CONF_JSON_SCAN_H

#include <stddef.h>
#include <talloc.h>

/* Bound on the members of an object: duplicate keys are searched linearly. */
#define IR_JSON_MAX_MEMBERS 64

/*
 * Overwrites comments in text with spaces, except for line breaks. text must
 * end in NUL. Returns NULL, or an error message under mem with *at set to the
 * offset of the error.
 */
char *ir_json_scan(TALLOC_CTX *mem, char *text, size_t size_bytes, size_t *at);

#endif
