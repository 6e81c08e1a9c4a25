/*
 * Settings of one ibisraild process, read from a file of JSON with comments.
 *
 * Every key is checked: unknown, missing, duplicate, wrong type, out of range.
 * An error names the file, the path of the key and what was expected.
 */
#ifndef IR_CONF_SETTINGS_H
#define IR_CONF_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "ibisrail/event.h"

struct ir_endpoint {
	const char *address; /* IPv4 or IPv6 address */
	uint16_t port;	     /* 0 on a listener: chosen by the kernel */
};

/*
 * By how much all hosts together may exceed an account's rate limit in any
 * window of window_s seconds: by a fraction (share) of its rate and burst, and
 * by a number of requests.
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

/* Fields other than baseline_policy have the names of their keys in the file.
 */
struct ir_settings {
	const char *host;
	const char *service;
	const char *region;
	const char *zone;
	struct ir_endpoint callers; /* listener for callers */
	struct ir_endpoint egress;  /* listener for the local upstream */
	bool has_egress; /* false: the upstream calls the callers listener */
	struct ir_endpoint peers;      /* listener for other hosts */
	struct ir_endpoint admin;      /* listener for operators */
	struct ir_endpoint metrics;    /* listener for metric collectors */
	bool has_metrics;	       /* false: only admin serves them */
	struct ir_endpoint upstream;   /* the local upstream */
	struct ir_endpoint platform;   /* the configuration service */
	uint32_t slots;		       /* 1 to 4096 */
	uint32_t upstream_connections; /* 1 to 65535 */
	uint32_t memory_mb; /* killed above it; 32 or more; 0: unknown */
	uint32_t drain_ms;  /* time for requests after SIGTERM, 100 to 120000 */
	uint32_t stop_ms;   /* from SIGTERM to forced exit, above drain_ms */
	uint32_t leave_ms;  /* from SIGTERM to refusing calls, 0 to drain_ms */
	/*
	 * Calls that are accepted after SIGTERM must be able to end in this
	 * time: drain_ms, or less while the grace period is not known.
	 */
	uint32_t finish_ms;
	bool has_stop_times;	 /* the file gives grace_s or drain_ms */
	enum ir_level log_level; /* "error".."debug" */
	bool baseline_policy;	 /* "policy" is "plain", not "full" */
	bool cold_starts; /* upstreams are cold after a start; default false */
	bool evacuations; /* operators evacuate zones; default false */
	bool ramp;	  /* raise load slowly after a start; default false */
	struct ir_rate_tolerance rate_tolerance; /* all 0: none */
	struct ir_zone_region *zones;		 /* of the fleet, if needed */
	size_t zone_count;
};

/*
 * Derives the times of a stop from the supervisor's grace period, the seconds
 * from SIGTERM to SIGKILL, unless the file gives them. 0: not known, changes
 * nothing.
 */
void ir_settings_set_grace(struct ir_settings *s, double grace_s);

/*
 * Reads a grace period from text; "" gives 0. Returns false if it is not a
 * number in the range of the key grace_s.
 */
bool ir_settings_parse_grace(const char *text, double *grace_s);

/* Region of a zone, or NULL when the settings do not list the zone. */
const char *ir_settings_region(const struct ir_settings *s, const char *zone);

/*
 * Returns the first key with different values in a and b that takes effect only
 * after a restart; "none" if there is no such key.
 */
const char *ir_settings_restart_key(
    const struct ir_settings *a, const struct ir_settings *b);

/* On failure returns NULL with *error set to a string under mem. */
struct ir_settings *ir_settings_read(
    TALLOC_CTX *mem, const char *file, char **error);
/* The same from a string; file is only used in errors. */
struct ir_settings *ir_settings_parse(
    TALLOC_CTX *mem, const char *file, const char *text, char **error);

#endif
