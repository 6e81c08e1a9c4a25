/*
 * Strict checks of the heads of HTTP/1.1 messages (RFC 9112), made before the
 * more lenient http_parser reads them. Rejects any head that two HTTP
 * implementations could interpret differently (request smuggling, response
 * splitting).
 */
#ifndef IR_IO_HTTP_HEAD_H
#define IR_IO_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of the head with its empty line; 0 if the head is incomplete. */
size_t ir_http_head_size(const uint8_t *data, size_t size_bytes);

/*
 * Check a complete head, with its empty line. Return NULL if the head has no
 * fault, else one word for the log that names the first fault. Faults are: a
 * bare CR, a control character, a folded line, a line without a colon, a field
 * name that is not a token (including one followed by a blank), a
 * Content-Length that is not a number, several different ones, Content-Length
 * together with Transfer-Encoding, a transfer coding other than a single
 * "chunked", and a transfer coding before HTTP/1.1.
 *
 * In requests also: a bare LF, no Host field or several.
 *
 * In answers also: a status that is not one of 100 to 599, and a version that
 * is not HTTP/1.x. Lines may end with a bare LF.
 */
const char *ir_http_head_fault(const uint8_t *head, size_t size_bytes);
const char *ir_http_answer_head_fault(const uint8_t *head, size_t size_bytes);

/* The standard reason phrase of a status; "Status" if it has none. */
const char *ir_http_reason_phrase(unsigned status);

#endif
