/* Decodes an answer of the store in the native dialect (JSON). */
#ifndef IR_IO_STORE_ANSWER_H
#define IR_IO_STORE_ANSWER_H

#include "ibisrail/node.h"

/* Larger answers of a store, in any dialect, are rejected. */
#define IR_MAX_STORE_ANSWER_BYTES (64 * 1024 * 1024)

/*
 * Sets complete, revision and the sections of r, allocated under mem. Returns
 *0, or -1 with *error set to a constant text. Shape:
 *
 *	{"revision": 7, "whole": false, "sections": [
 *	    {"name": "fleet", "revision": 7, "text": "..."}]}
 */
int ir_store_answer_parse(TALLOC_CTX *mem, const char *text, size_t size_bytes,
    struct ir_store_read *r, const char **error);

#endif
