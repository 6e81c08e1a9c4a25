/*
 * Settings of one ibisraild, from a file of JSON with comments.
 *
 * Every key is checked: unknown, missing, duplicate, wrong type, out of range.
 * An error names the file, the key's path and what was expected.
 */
#ifndef IR_CONF_SETTINGS_H
#define IR_CONF_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/event.h"

struct ir_endpoint {
	const char *address; /* IPv4 or IPv6 number */
	uint16_t port;	     /* 0 on a listener: chosen by the kernel */
};

/*
 * By how much all hosts together may exceed an account's rate and burst in
 * any window: by a share of both, and by some requests.
 */
struct ir_rate_tolerance {
	double share;
	double requests;
	double window_s;
};

struct ir_zone_region {
	const char *zone;
	const char *region;
};

/* Source: "host", "service", "region", "zone", ... of the file. */
struct ir_settings {
	const char *host;
	const char *service;
	const char *region;
	const char *zone;
	struct ir_endpoint callers; /* listener for callers */
	struct ir_endpoint egress;  /* listener for the local upstream */
	bool has_egress; /* else its calls come to callers, without parent */
	struct ir_endpoint peers;      /* listener for other nodes */
	struct ir_endpoint admin;      /* listener for operators */
	struct ir_endpoint metrics;    /* listener for metric collectors */
	bool has_metrics;	       /* else admin serves them alone */
	struct ir_endpoint upstream;   /* the local upstream */
	struct ir_endpoint platform;   /* the configuration service */
	uint32_t slots;		       /* 1 to 4096 */
	uint32_t upstream_connections; /* 1 to 65535 */
	uint32_t memory_mb; /* the process ends above it, from 32; 0: unknown */
	uint32_t drain_ms;  /* SIGTERM to forced end, 100 to 120000 */
	uint32_t leave_ms;  /* SIGTERM to refusing callers, 0 to drain_ms */
	enum ir_level log_level; /* "error".."debug" */
	bool plain;		 /* "policy": "plain" or "full" */
	struct ir_rate_tolerance rate_tolerance; /* zeroes: exact */
	struct ir_zone_region *zones; /* of the fleet, where they are needed */
	size_t zone_count;
};

/* The region of a zone that the settings name, or NULL. */
const char *ir_settings_region(const struct ir_settings *s, const char *zone);

/*
 * The first key that differs and counts only after a restart; "none" without
 * one.
 */
const char *ir_settings_fixed_change(
    const struct ir_settings *a, const struct ir_settings *b);

/* NULL with *error set to a talloc'd text under mem. */
struct ir_settings *ir_settings_read(
    TALLOC_CTX *mem, const char *file, char **error);
/* The same from text; file is only named in errors. */
struct ir_settings *ir_settings_parse(
    TALLOC_CTX *mem, const char *file, const char *text, char **error);

#endif
