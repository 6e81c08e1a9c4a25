/* Texts from outside as values of log fields. */
#include "log/value.h"

const char *
ir_log_value(
    char buffer[IR_LOG_VALUE_BYTES], const char *bytes, size_t size_bytes)
{
	size_t n = 0;

	for (; n < size_bytes && n < IR_LOG_VALUE_BYTES - 1; n++)
		buffer[n] = bytes[n] > ' ' && bytes[n] <= '~' ? bytes[n] : '?';
	buffer[n] = '\0';
	return buffer;
}
