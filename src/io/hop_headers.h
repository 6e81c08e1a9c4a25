/* Hop-by-hop headers, which are valid for one connection (RFC 9110, 7.6.1). */
#ifndef IR_IO_HOP_HEADERS_H
#define IR_IO_HOP_HEADERS_H

#include <stdbool.h>
#include <stddef.h>

#include "link/peer.h"

/*
 * Removes from the array: hop-by-hop headers, headers named by a Connection
 * header, "Proxy-" headers, Host, Content-Length, Expect, and headers whose
 * name starts with "Ibisrail-". Keeps the order of the others. Returns the new
 * count.
 */
size_t ir_hop_headers_drop(struct ir_header *headers, size_t count);

/* Whether the comma-separated list contains name, ignoring case. */
bool ir_header_list_has(const char *list, const char *name);

#endif
