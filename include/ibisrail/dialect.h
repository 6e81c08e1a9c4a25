/*
 * Dialect of a deployment: header names, HTTP statuses and the requests to its
 * configuration store, as data and callbacks.
 *
 * ir_native_dialect is the default dialect. A program for a deployment with
 * another dialect passes its own to ir_daemon_main().
 */
#ifndef IBISRAIL_DIALECT_H
#define IBISRAIL_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/error.h"
#include "ibisrail/node.h"

/* Names of headers; NULL for a header that the dialect does not have. */
struct ir_header_names {
	/* Requests of callers. */
	const char *key;      /* value is the key; NULL: the native headers */
	const char *deadline; /* milliseconds that the caller waits */
	const char *caller_attempt; /* the caller's id of its attempt */
	/* Requests to the upstream; also deadline and caller_attempt. */
	const char *account;
	const char *origin_service;    /* of the node that accepted the call */
	const char *expected_upstream; /* id of the upstream addressed */
	/* Id of the run; its egress calls send it back as their parent. */
	const char *gate_attempt;
	const char *request;
	const char *importance;
	/* Answers of the upstream. */
	const char *not_run;	   /* the request was not run */
	const char *answer_digest; /* on every answer of an upstream */
	struct ir_statement_headers statement;
	/* Answers to status checks. */
	const char *cold_remaining; /* ms for which the upstream stays cold */
	const char *upstream_id;    /* of the upstream that answers */
};

/* A key of the store: any bytes, followed by a NUL that is not one of them. */
struct ir_store_key {
	const char *bytes; /* NULL: no key */
	size_t size_bytes;
};

/* An item of the store, decoded to a section of the view. */
struct ir_store_item {
	struct ir_store_key key;
	char *section; /* name of the section; NULL: cannot be decoded */
	char *text;    /* of the section; "" if the item was removed */
	uint64_t revision;
	uint64_t created_revision; /* of the item's creation; 0: unknown */
	/* Of the upstream that an item of the host list describes. */
	const char *service;	     /* NULL: unknown */
	uint16_t upstream_port;	     /* 0: unknown */
	int64_t upstream_started_ms; /* 0: unknown */
};

/* Parameters of a read of the store. */
struct ir_store_query {
	bool hosts;	   /* the host list; false: the configuration */
	uint64_t revision; /* changes after this one; 0: everything */
	struct ir_store_key after_key; /* page after it; none: the first */
	uint32_t wait_ms; /* how long the store waits for a change */
};

/* A decoded answer. */
struct ir_store_page {
	/* This page and those after it hold all items; false: changes only. */
	bool full;
	struct ir_store_key next_key; /* after_key of the next page, if any */
	uint64_t revision;	      /* of the store */
	/*
	 * Era of the store's history. It rises when the store is restored from
	 * an older copy; its revisions may then stand for other contents.
	 */
	uint64_t era;
	bool has_era; /* false: the answer has none, or one that is invalid */
	struct ir_store_item *items;
	size_t item_count;
	/* Of the whole configuration in the answer; 0: each item has its own.
	 */
	uint64_t generation;
	/* hosts_include_config: all of a changed configuration, or NULL. */
	struct ir_store_item *config_items;
	size_t config_item_count;
};

enum ir_store_result {
	IR_STORE_OK,
	IR_STORE_FAILED, /* *error is set */
	IR_STORE_EXPIRED /* changes since the revision are no longer kept */
};

struct ir_settings;

struct ir_store_dialect {
	/* Returns the request target of a read, under mem. */
	char *(*request_target)(const struct ir_settings *s, TALLOC_CTX *mem,
	    const struct ir_store_query *query);
	/* Decodes an answer into page, under mem. text: NULL if no body. */
	enum ir_store_result (*parse_answer)(const struct ir_settings *s,
	    TALLOC_CTX *mem, const struct ir_store_query *query,
	    uint16_t status, const char *text, size_t size_bytes,
	    struct ir_store_page *page, const char **error);
	/* Header of all answers with the era; NULL: parse_answer() sets it. */
	const char *era_header;
	/* Items may change without a change of a section: see host_items.h. */
	bool uses_host_items;
	/* Changes of the host list come with those of the configuration. */
	bool hosts_include_config;
	uint32_t config_wait_ms; /* ir_store_query.wait_ms of each kind */
	uint32_t hosts_wait_ms;
	uint32_t full_read_ms; /* that a full read may take; 0: as a watch */
	uint32_t min_pause_ms; /* between an answer and the next request */
};

struct ir_dialect {
	struct ir_header_names headers;
	struct ir_store_dialect store;
	const char *ready_path; /* of the admin listener */
	/* Environment variable that names the settings file, or NULL. */
	const char *settings_variable;
	/* HTTP statuses by error; NULL or 0: as in ir_error_info(). */
	const uint16_t *error_status;
	/*
	 * The attempt id of an egress call is the attempt id of the request it
	 * belongs to, this character and more text. 0: ids are not compared.
	 */
	char child_separator;
	bool routes_by_authority;    /* from the Host header, not the path */
	bool fractional_retry_after; /* Retry-After with decimals */
	bool close_delimits_answer;  /* ends an answer that has no length */
	bool requires_answer_digest; /* no digest: answer incomplete */
};

extern const struct ir_dialect ir_native_dialect;

/* Returns the HTTP status of an error, for answers to callers. */
uint16_t ir_dialect_error_status(
    const struct ir_dialect *d, enum ir_error kind);

#endif
