/* Reads a whole file. */
#ifndef IR_CONF_FILE_H
#define IR_CONF_FILE_H

#include <stddef.h>
#include <talloc.h>

/*
 * Reads a file into memory under mem, without terminating NUL. Reads at most
 * max_bytes + 1 bytes: a *size_bytes above max_bytes means that the file is too
 * large. NULL with *error set to a string under mem.
 */
char *ir_file_read(TALLOC_CTX *mem, const char *file, size_t max_bytes,
    size_t *size_bytes, char **error);

#endif
