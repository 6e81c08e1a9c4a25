/*
 * Strict checks of the head of an HTTP/1.1 message (RFC 9112), made before a
 * parser that forgives more sees it: what two readers may understand in two
 * ways is refused.
 */
#ifndef IR_IO_HTTP_HEAD_H
#define IR_IO_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes up to and with the empty line; 0 when it has not come yet. */
size_t ir_http_head_size(const uint8_t *data, size_t size_bytes);

/*
 * One word that names the fault of a request's head, or NULL: a bare CR or
 * LF, a control character, a folded line, a name that is no token (also one
 * that ends in a blank), lengths that differ or are no numbers, a length
 * beside a transfer coding, codings other than "chunked" alone, a coding
 * before HTTP/1.1, several Host fields.
 */
const char *ir_http_head_fault(const uint8_t *head, size_t size_bytes);

/* The standard phrase of a status; "Status" for one that has none. */
const char *ir_http_phrase(unsigned status);

#endif
