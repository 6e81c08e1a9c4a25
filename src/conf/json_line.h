/* Line of a member in JSON text. */
#ifndef IR_CONF_JSON_LINE_H
#define IR_CONF_JSON_LINE_H

#include <stddef.h>

/*
 * Line, from 1, of the value at a path such as "accounts[3].name". The text
 * must be one that ir_json_parse() accepts. If there is no such value, returns
 * the line of the innermost object or array on the path that exists.
 */
size_t ir_json_line(const char *text, size_t size_bytes, const char *path);

#endif
