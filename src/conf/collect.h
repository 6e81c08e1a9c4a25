/*
 * Builds the sections of a publication from the operators' files, and lists the
 * changes against the sections in force.
 *
 * The files hold the sections as in host/view.h, without generation: one file
 * for the fleet, one for the accounts, one for each service. A section that is
 * equal to the one in force is not written again. All others get the same
 * generation, higher than every generation in force.
 */
#ifndef IR_CONF_COLLECT_H
#define IR_CONF_COLLECT_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "link/peer.h"

#define IR_MAX_SERVICE_FILES 2048

/* A file of the configuration. */
struct ir_config_file {
	const char *path;
	const char *text;
	size_t size_bytes;
};

struct ir_config_files {
	struct ir_config_file fleet;
	struct ir_config_file accounts;
	struct ir_config_file *services;
	size_t service_count;
};

/* A change that publishing would make. */
struct ir_config_change {
	const char *section;
	bool risky; /* should be reviewed before publishing */
	const char *text;
};

struct ir_collect_result {
	struct ir_section *sections; /* to write; empty text: remove */
	size_t section_count;
	struct ir_config_change *changes;
	size_t change_count;
	/* "file: line N: path: what"; with any, no sections or changes. */
	const char **errors;
	size_t error_count;
};

/*
 * Reads the files of the fleet and the accounts, and all service files
 * ("*.json") of a directory, sorted by name. On failure returns NULL with
 * *error set to a string under mem.
 */
struct ir_config_files *ir_config_files_read(TALLOC_CTX *mem,
    const char *fleet_file, const char *accounts_file, const char *service_dir,
    char **error);

/*
 * Checks the files and compares them with the sections in force, as read from
 * the store. New sections get a generation of least_generation or more. Callers
 * pass milliseconds since 1970: a section that is removed and added again then
 * has a higher generation than before, and two concurrent publications have
 * different generations. Always returns a result.
 */
struct ir_collect_result *ir_collect(TALLOC_CTX *mem,
    const struct ir_config_files *s, const struct ir_section *in_force,
    size_t count, uint64_t least_generation);

/* For ir_collect(): adds the changes between two texts of a section. */
void ir_collect_diff(struct ir_collect_result *c, const char *section,
    const char *old_text, const char *new_text);
/* Adds one change. */
void ir_collect_add_change(struct ir_collect_result *c, const char *section,
    bool risky, const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
