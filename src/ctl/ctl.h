/*
 * ibisrailctl: subcommands and the functions they share.
 *
 * Exit codes: 0 success, 1 failure (a node does not answer, nothing found, bad
 * files), 2 wrong arguments, 3 risky changes (check only). Results go to
 * standard output, error messages to standard error.
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

/* Help text of a subcommand. */
struct ctl_usage {
	const char *name;
	const char *description; /* what it does */
	const char *exit_codes;	 /* its exit codes */
};

/*
 * Parses the arguments by an argtable. Its first entry must be the arg_lit of
 * --help, its last the struct arg_end. Returns CTL_OK to continue; otherwise
 * help or errors have been printed and *rc is the exit code.
 */
int ctl_parse(const struct ctl_usage *u, int argc, char **argv, void **table,
    size_t entry_count, int *rc);

/*
 * Sends a GET request to a node's admin listener. Returns the body under mem,
 * or NULL after an error message with a hint.
 */
char *ctl_get_admin(TALLOC_CTX *mem, const char *address, const char *path);
/* Like ctl_get_admin(), for any server. Prints hint with an error message. */
char *ctl_http_get(
    TALLOC_CTX *mem, const char *address, const char *path, const char *hint);

/* Published sections. */
struct ctl_sections {
	struct ir_section *sections;
	size_t count;
};

/*
 * Reads the sections in a directory: fleet.json, accounts.json and
 * service/NAME.json. Missing files are skipped. Returns false after an error
 * message.
 */
bool ctl_sections_read(
    TALLOC_CTX *mem, const char *dir, struct ctl_sections *to);
/*
 * Writes the sections of c to such a directory. A removed section becomes an
 * empty file. Returns false after an error message.
 */
bool ctl_sections_write(const char *dir, const struct ir_collect_result *c);

/*
 * Builds sections from the operators' files in dir and compares them with the
 * sections in force. Returns NULL after one message for each error.
 */
struct ir_collect_result *ctl_collect_sources(
    TALLOC_CTX *mem, const char *dir, const struct ctl_sections *in_force);
/* Prints the changes of c. Returns the number of risky ones. */
size_t ctl_print_changes(const struct ir_collect_result *c);

#endif
