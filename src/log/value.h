/* Texts from outside the deployment's configuration as values of log fields. */
#ifndef IR_LOG_VALUE_H
#define IR_LOG_VALUE_H

#include <stddef.h>

/* Size of the buffer: a longer value is cut off. */
#define IR_LOG_VALUE_BYTES 208

/*
 * Copies bytes to buffer, which it returns. Each byte that is not visible ASCII
 * becomes '?': a blank could begin another field, a NUL would end the line.
 */
const char *ir_log_value(
    char buffer[IR_LOG_VALUE_BYTES], const char *bytes, size_t size_bytes);

#endif
