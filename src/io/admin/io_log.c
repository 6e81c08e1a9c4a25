/* Events logged by the I/O threads. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "io/admin/io_log.h"
#include "io/clock.h"

#define FIELDS_BYTES 512

static void
add_reason(char *fields, size_t size, const char *reason)
{
	size_t at = strlen(fields);

	snprintf(
	    fields + at, size - at, "%sreason=%s", at > 0 ? " " : "", reason);
	for (char *p = fields + at + 1; *p != '\0'; p++) {
		if (*p == ' ')
			*p = '-';
	}
}

void
ir_io_log_event(struct ir_log *log, enum ir_event event, const char *reason,
    const char *fmt, ...)
{
	char fields[FIELDS_BYTES];
	va_list args;

	va_start(args, fmt);
	vsnprintf(fields, sizeof(fields), fmt, args);
	va_end(args);
	if (reason != NULL)
		add_reason(fields, sizeof(fields), reason);
	ir_log_event(log, ir_clock_now(), event, fields);
}
