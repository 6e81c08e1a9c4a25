/* The store's answer to a read: JSON to sections. */
#ifndef IR_IO_STORE_TEXT_H
#define IR_IO_STORE_TEXT_H

#include "ibisrail/node.h"

/* Largest answer read, bytes. */
#define IR_MAX_STORE_BYTES (64 * 1024 * 1024)

/*
 * Fills whole, revision and sections of r, under mem. 0, or -1 with *error
 * set to a constant text. Shape:
 *
 *	{"revision": 7, "whole": false, "sections": [
 *	    {"name": "fleet", "revision": 7, "text": "..."}]}
 */
int ir_store_text_read(TALLOC_CTX *mem, const char *text, size_t size_bytes,
    struct ir_store_read *r, const char **error);

#endif
