/* ibisrailctl: selects the subcommand. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

static const struct ctl_command commands[] = {
    {"state", "print the state of nodes", ctl_state},
    {"top", "show the load of nodes, refreshed periodically", ctl_top},
    {"counters", "print the counters of nodes", ctl_counters},
    {"explain", "explain a log event", ctl_explain},
    {"key", "generate a key, or the digest of a key", ctl_key},
    {"trace", "follow one request through the logs", ctl_trace},
    {"collect", "build sections from operators' files", ctl_collect},
    {"check", "check operators' files, print what would change", ctl_check},
    {"version", "print versions", ctl_version},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
print_help(FILE *f)
{
	fprintf(f, "Usage: ibisrailctl COMMAND [ARGUMENTS]\n\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(
		    f, "  %-10s %s\n", commands[i].name, commands[i].summary);
	fprintf(f, "\nibisrailctl COMMAND --help describes COMMAND.\n");
}

int
main(int argc, char **argv)
{
	if (argc < 2) {
		print_help(stderr);
		return CTL_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
		print_help(stdout);
		return CTL_OK;
	}
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr,
	    "ibisrailctl: no command \"%s\"; see ibisrailctl --help\n",
	    argv[1]);
	return CTL_USAGE;
}
