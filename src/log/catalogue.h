/*
 * The catalogue of log events: their fields, what they mean and what to do.
 * docs/EVENTS.md is the output of ir_catalogue_markdown(); a test compares
 * them.
 */
#ifndef IR_LOG_CATALOGUE_H
#define IR_LOG_CATALOGUE_H

#include <talloc.h>

#include "ibisrail/event.h"

struct ir_event_text {
	enum ir_event event;
	const char *fields; /* names and contents; "" for none */
	const char *meaning;
	const char *action; /* what the operator should do */
};

/* The entry of an event; NULL if the event is not listed. */
const struct ir_event_text *ir_event_text(enum ir_event event);
/* Finds an event by its name or decimal number; NULL if unknown. */
const struct ir_event_info *ir_event_find(const char *name_or_number);
/* "error", "warning", "notice" or "debug"; "unknown" if out of range. */
const char *ir_level_name(enum ir_level level);
/* All entries as a page in Markdown, allocated under mem. */
char *ir_catalogue_markdown(TALLOC_CTX *mem);

#endif
