/* Parsing of a subcommand's arguments, and its help text. */
#include <argtable2.h>
#include <stdio.h>

#include "ctl/ctl.h"

static void
print_usage(FILE *f, const struct ctl_usage *u, void **table)
{
	fprintf(f, "Usage: ibisrailctl %s", u->name);
	arg_print_syntax(f, table, "\n");
	fprintf(f, "\n%s\n\n", u->description);
	arg_print_glossary(f, table, "  %-22s %s\n");
	fprintf(f, "\nExit codes: %s\n", u->exit_codes);
}

int
ctl_parse(const struct ctl_usage *u, int argc, char **argv, void **table,
    size_t entry_count, int *rc)
{
	struct arg_lit *help = table[0];
	struct arg_end *end = table[entry_count - 1];
	int errors;

	if (arg_nullcheck(table) != 0) {
		fprintf(stderr, "ibisrailctl: out of memory\n");
		*rc = CTL_FAILED;
		return -1;
	}
	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		print_usage(stdout, u, table);
		*rc = CTL_OK;
		return -1;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, "ibisrailctl");
		fprintf(stderr, "See ibisrailctl %s --help.\n", u->name);
		*rc = CTL_USAGE;
		return -1;
	}
	return CTL_OK;
}
