/*
 * How a deployment's surroundings are spoken to: names of headers, statuses
 * and the reading of its configuration service, as data and callbacks.
 *
 * The product's own dialect is ir_own_dialect. Another one is given to
 * ir_daemon_main() by the program that is built for its deployment.
 */
#ifndef IBISRAIL_DIALECT_H
#define IBISRAIL_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/error.h"

/* Names of headers; NULL where a dialect has none. */
struct ir_header_names {
	/* From callers. */
	const char *key;      /* holds the key alone; NULL: the own forms */
	const char *deadline; /* milliseconds that the caller waits */
	const char *attempt;  /* the caller's own id of its attempt */
	/* To the upstream, beside deadline and attempt. */
	const char *account;
	const char *origin; /* the service beside which a call began */
	const char *expected_upstream;
	const char *run; /* the gate's attempt, the parent of egress calls */
	const char *request;
	const char *importance;
	/* From the upstream. */
	const char *not_run; /* says that the request was not run */
	const char *digest;  /* stands on each answer of an upstream */
};

/* One item of the configuration service, as a section of the view. */
struct ir_store_item {
	char *key;     /* there */
	char *section; /* name of the section that it tells of, or NULL */
	char *text;    /* of the section; "" when the item was removed */
	uint64_t revision;
	uint64_t created; /* revision of its creation; 0 when not told */
};

/* What a read is asked for. */
struct ir_store_ask {
	bool hosts;	   /* the host list, else the configuration */
	uint64_t revision; /* changes after it; 0: all */
	const char *after; /* the next page begins after this key, or NULL */
	uint32_t wait_ms;  /* for a change */
};

/* What a read brought. */
struct ir_store_page {
	bool whole; /* all there is, with the pages that follow */
	char *next; /* key after which the next page begins, or NULL */
	uint64_t revision;
	struct ir_store_item *items;
	size_t item_count;
	/* A read of the host list that tells of the configuration too. */
	struct ir_store_item *config_items; /* all there is, or NULL */
	size_t config_item_count;
};

enum ir_store_result {
	IR_STORE_OK,
	IR_STORE_BAD,	 /* failed, *error tells why */
	IR_STORE_EXPIRED /* the changes are no longer known: read all */
};

struct ir_settings;

struct ir_store_dialect {
	/* The request target of a read, under mem. */
	char *(*target)(const struct ir_settings *s, TALLOC_CTX *mem,
	    const struct ir_store_ask *ask);
	/* Decodes an answer; what it gives is under mem. */
	enum ir_store_result (*read)(const struct ir_settings *s,
	    TALLOC_CTX *mem, const struct ir_store_ask *ask, uint16_t status,
	    const char *text, size_t size_bytes, struct ir_store_page *page,
	    const char **error);
	/* Items change without what they tell of a host: see store_book.h. */
	bool hosts_by_item;
	/* Reads of changes to the host list tell those of the configuration. */
	bool joint_changes;
	uint32_t config_wait_ms; /* a read waits so long for a change */
	uint32_t hosts_wait_ms;
	uint32_t read_gap_ms; /* from a read that brought something */
};

struct ir_dialect {
	struct ir_header_names headers;
	struct ir_store_dialect store;
	const char *ready_path;	       /* of the admin listener */
	const char *settings_variable; /* names the settings file, or NULL */
	const uint16_t
	    *error_status;	   /* by error kind; 0 or NULL: the table's */
	char child_separator;	   /* see struct ir_node_settings; 0: none */
	bool routes_by_host;	   /* callers name hosts, not services */
	bool retry_after_fraction; /* Retry-After may be a fraction */
	bool close_ends_answer;	   /* an answer without a length is whole */
	bool digest_is_required;   /* an answer without one is not whole */
};

extern const struct ir_dialect ir_own_dialect;

/* The status for callers. */
uint16_t ir_dialect_status(const struct ir_dialect *d, enum ir_error kind);

#endif
