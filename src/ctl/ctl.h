/*
 * ibisrailctl: subcommands and what they share.
 *
 * Exit codes: 0 done, 1 not done (a node does not answer, nothing found, bad
 * files), 2 wrong arguments, 3 risky changes (check only). Results go to
 * standard output, messages to standard error.
 */
#ifndef IR_CTL_CTL_H
#define IR_CTL_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "conf/collect.h"

#define CTL_OK 0
#define CTL_FAILED 1
#define CTL_USAGE 2
#define CTL_RISKY 3

#define CTL_MAX_ADDRESSES 256

struct ctl_command {
	const char *name;
	const char *summary;
	/* argv[0] is the subcommand's name. */
	int (*run)(int argc, char **argv);
};

int ctl_state(int argc, char **argv);
int ctl_top(int argc, char **argv);
int ctl_counters(int argc, char **argv);
int ctl_explain(int argc, char **argv);
int ctl_trace(int argc, char **argv);
int ctl_key(int argc, char **argv);
int ctl_collect(int argc, char **argv);
int ctl_check(int argc, char **argv);
int ctl_version(int argc, char **argv);

/* What a subcommand tells of itself and its arguments. */
struct ctl_usage {
	const char *name;
	const char *description; /* what it does */
	const char *exit_codes;	 /* its exit codes */
};

/*
 * Parses by an argtable whose last entry is its struct arg_end and whose
 * first is the arg_lit of --help. CTL_OK to go on, else *rc is the exit code.
 */
int ctl_parse(const struct ctl_usage *u, int argc, char **argv, void **table,
    size_t entries, int *rc);

/*
 * GET of a node's admin listener. The body under mem; NULL after a message
 * that says what to do.
 */
char *ctl_get_admin(TALLOC_CTX *mem, const char *address, const char *path);
/* The same of any server; hint: what to check when it does not answer. */
char *ctl_http_get(
    TALLOC_CTX *mem, const char *address, const char *path, const char *hint);

/* Sections, as they are in force. */
struct ctl_sections {
	struct ir_section *sections;
	size_t count;
};

/*
 * Sections that a directory holds, one file each: fleet.json, accounts.json,
 * service/NAME.json. What is not there is left out. False after a message.
 */
bool ctl_sections_read(
    TALLOC_CTX *mem, const char *dir, struct ctl_sections *to);
/* Writes the sections of c so; a removed one is an empty file. */
bool ctl_sections_write(const char *dir, const struct ir_collection *c);

/*
 * Collects the sources in dir against what is in force. NULL after messages,
 * one for each error.
 */
struct ir_collection *ctl_collect_sources(
    TALLOC_CTX *mem, const char *dir, const struct ctl_sections *in_force);
/* Prints the changes of c; the number of those that are risky. */
size_t ctl_print_changes(const struct ir_collection *c);

#endif
